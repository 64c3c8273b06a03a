/**
 * DOC: route_fixture - views, configurations and packets for balancer tests
 */
#ifndef SWIFTARCH_TESTS_BALANCER_ROUTE_FIXTURE_H
#define SWIFTARCH_TESTS_BALANCER_ROUTE_FIXTURE_H

#include <stddef.h>
#include <stdint.h>

#include "control/view.h"
#include "packet/packet.h"
#include "service_config/service_config.h"

#define ROUTE_FIXTURE_LOTS_IP 0x0a640001u
#define ROUTE_FIXTURE_ALBUMS_IP 0x0a640002u
#define ROUTE_FIXTURE_PORT 80
#define ROUTE_FIXTURE_FIRST_SEEN_US UINT64_C(5000000)

/** route_fixture_text() - configuration version 1 with the services lots
 * (TCP), albums (TCP) and names (UDP); names has the address and port of lots
 */
struct service_config *
route_fixture_text(void);

/** route_fixture_view() - view of @count ready agents of @service, sorted by
 * id */
struct view *
route_fixture_view(size_t count, const char *service);

/** route_fixture_tcp() - write a TCP packet to @ip from caller number @caller;
 * returns its length */
size_t
route_fixture_tcp(uint8_t *buf, uint32_t ip, uint32_t caller, uint8_t flags,
                  const char *payload);

/** route_fixture_udp() - write a UDP packet, as route_fixture_tcp() */
size_t
route_fixture_udp(uint8_t *buf, uint32_t ip, uint32_t caller);

#endif
