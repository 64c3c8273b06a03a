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

#define SCENE_LOTS_IP 0x0a640001u
#define SCENE_ALBUMS_IP 0x0a640002u
#define SCENE_PORT 80
#define SCENE_FIRST_SEEN_US UINT64_C(5000000)

/** scene_text() - services lots (TCP), albums (TCP) and names (UDP), version
 * 1; the UDP one has the address and port of lots */
struct text *
scene_text(void);

/** scene_view() - @count ready agents of service @service, sorted by id */
struct view *
scene_view(size_t count, const char *service);

/** scene_tcp() - a TCP packet to @ip from a caller numbered @caller */
size_t
scene_tcp(uint8_t *buf, uint32_t ip, uint32_t caller, uint8_t flags,
          const char *payload);

/** scene_udp() - the same for a datagram */
size_t
scene_udp(uint8_t *buf, uint32_t ip, uint32_t caller);

#endif
