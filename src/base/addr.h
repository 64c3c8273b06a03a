/**
 * DOC: addr - IPv4 address and port, host byte order
 */
#ifndef SWIFTARCH_BASE_ADDR_H
#define SWIFTARCH_BASE_ADDR_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#define ADDR_TEXT_MAX 24

/**
 * struct addr - IPv4 address and port
 * @ip: address, host byte order
 * @port: port, host byte order
 */
struct addr {
    uint32_t ip;
    uint16_t port;
};

/** addr_equal() - whether both name the same address and port */
bool
addr_equal(struct addr a, struct addr b);

/** addr_parse() - read "a.b.c.d:port"; 0 or -EINVAL */
int
addr_parse(const char *text, struct addr *addr);

/** addr_parse_ip() - read "a.b.c.d"; 0 or -EINVAL */
int
addr_parse_ip(const char *text, uint32_t *ip);

/** addr_format() - write "a.b.c.d:port" into @buf (ADDR_TEXT_MAX), return it
 */
const char *
addr_format(struct addr addr, char *buf);

/** addr_to_sockaddr() - the same as a socket address */
struct sockaddr_in
addr_to_sockaddr(struct addr addr);

/** addr_from_sockaddr() - the same from a socket address */
struct addr
addr_from_sockaddr(const struct sockaddr_in *sin);

#endif
