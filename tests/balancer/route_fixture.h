/**
 * DOC: scene - views, texts and packets for the balancer's tests
 */
#ifndef SWIFTARCH_TESTS_BALANCER_SCENE_H
#define SWIFTARCH_TESTS_BALANCER_SCENE_H

#include <stddef.h>
#include <stdint.h>

#include "control/view.h"
#include "packet/packet.h"
#include "text/text.h"

#define ROUTE_FIXTURE_LOTS_IP 0x0a640001u
#define ROUTE_FIXTURE_ALBUMS_IP 0x0a640002u
#define ROUTE_FIXTURE_PORT 80
#define ROUTE_FIXTURE_FIRST_SEEN_US UINT64_C(5000000)

/** route_fixture_text() - services lots (TCP), albums (TCP) and names (UDP),
 * version 1; the UDP one has the address and port of lots */
struct text *
route_fixture_text(void);

/** route_fixture_view() - @count ready agents of service @service, sorted by
 * id */
struct view *
route_fixture_view(size_t count, const char *service);

/** route_fixture_tcp() - a TCP packet to @ip from a caller numbered @caller */
size_t
route_fixture_tcp(uint8_t *buf, uint32_t ip, uint32_t caller, uint8_t flags,
                  const char *payload);

/** route_fixture_udp() - the same for a datagram */
size_t
route_fixture_udp(uint8_t *buf, uint32_t ip, uint32_t caller);

#endif
