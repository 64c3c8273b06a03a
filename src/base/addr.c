#include "base/addr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>

#define IP_TEXT_MAX 16
#define PORT_DIGITS_MAX 5
#define PORT_MAX 65535

static int
parse_port(const char *text, uint16_t *port)
{
    unsigned value = 0;
    size_t digits = strspn(text, "0123456789");

    if (digits == 0 || digits > PORT_DIGITS_MAX || text[digits] != '\0')
        return -EINVAL;
    for (const char *c = text; *c != '\0'; c++)
        value = value * 10 + (unsigned)(*c - '0');
    if (value > PORT_MAX)
        return -EINVAL;
    *port = (uint16_t)value;
    return 0;
}

bool
addr_equal(struct addr a, struct addr b)
{
    return a.ip == b.ip && a.port == b.port;
}

int
addr_parse_ip(const char *text, uint32_t *ip)
{
    struct in_addr in;

    if (inet_pton(AF_INET, text, &in) != 1)
        return -EINVAL;
    *ip = ntohl(in.s_addr);
    return 0;
}

int
addr_parse(const char *text, struct addr *addr)
{
    char ip[IP_TEXT_MAX];
    const char *colon = strchr(text, ':');
    struct addr parsed;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
        return -EINVAL;
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    if (addr_parse_ip(ip, &parsed.ip) < 0 ||
        parse_port(colon + 1, &parsed.port) < 0)
        return -EINVAL;
    *addr = parsed;
    return 0;
}

const char *
addr_format(struct addr addr, char *buf)
{
    g_snprintf(buf, ADDR_TEXT_MAX, "%u.%u.%u.%u:%u", addr.ip >> 24,
               addr.ip >> 16 & 0xff, addr.ip >> 8 & 0xff, addr.ip & 0xff,
               addr.port);
    return buf;
}

struct sockaddr_in
addr_to_sockaddr(struct addr addr)
{
    struct sockaddr_in sin = {.sin_family = AF_INET};

    sin.sin_addr.s_addr = htonl(addr.ip);
    sin.sin_port = htons(addr.port);
    return sin;
}

struct addr
addr_from_sockaddr(const struct sockaddr_in *sin)
{
    struct addr addr = {.ip = ntohl(sin->sin_addr.s_addr),
                        .port = ntohs(sin->sin_port)};

    return addr;
}
