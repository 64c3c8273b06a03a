/**
 * DOC: addr - IPv4 address and port, parsed from and formatted as text
 */
#ifndef SWIFTARCH_BASE_ADDR_H
#define SWIFTARCH_BASE_ADDR_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#define ADDR_TEXT_MAX 24 /* bytes of "a.b.c.d:port" with its null */

/**
 * struct addr - IPv4 address and port
 * @ip: address, host byte order
 * @port: port, host byte order
 */
struct addr {
    uint32_t ip;
    uint16_t port;
};

/** addr_equal() - whether both the addresses and the ports are equal */
bool
addr_equal(struct addr a, struct addr b);

/**
 * addr_parse() - parse "a.b.c.d:port"
 *
 * Return: 0, or -EINVAL with @addr unchanged.
 */
int
addr_parse(const char *text, struct addr *addr);

/** addr_parse_ip() - parse "a.b.c.d"; 0 or -EINVAL */
int
addr_parse_ip(const char *text, uint32_t *ip);

/**
 * addr_format() - format as "a.b.c.d:port"
 * @buf: result, ADDR_TEXT_MAX bytes
 *
 * Return: @buf.
 */
const char *
addr_format(struct addr addr, char *buf);

/** addr_to_sockaddr() - convert to a socket address */
struct sockaddr_in
addr_to_sockaddr(struct addr addr);

/** addr_from_sockaddr() - convert from a socket address */
struct addr
addr_from_sockaddr(const struct sockaddr_in *sin);

#endif
