/**
 * DOC: forward - packets from a balancer to a gateway of another cell
 *
 * The inner packet goes on whole, behind a GUE header of the same length as
 * the bare one: version 0, Hlen 0, protocol 4, and of the flags only
 * FORWARD_FLAG, which packet/gue.h refuses as unknown. A marked packet is
 * decided about by the receiver's own text alone and is never forwarded to
 * another cell again, so packets can't loop, whatever the directories say.
 */
#ifndef SWIFTARCH_DIRECTORY_FORWARD_H
#define SWIFTARCH_DIRECTORY_FORWARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "directory/table.h"
#include "packet/packet.h"

#define FORWARD_HEADER 4
#define FORWARD_GONE_MAX 8
#define FORWARD_GONE_US                                                       \
    (15 * USEC_PER_SEC) /* its cell has said so by then                       \
                         */
#define FORWARD_TURN_US (1 * USEC_PER_SEC)
#define FORWARD_FLAG 0x02 /* second byte of the GUE flags */

/** forward_encode() - write the mark, FORWARD_HEADER bytes */
void
forward_encode(uint8_t *buf);

/** forward_is_marked() - whether the inner packet follows a mark */
bool
forward_is_marked(const uint8_t *buf, size_t len);

/**
 * struct forward_gone - gateways that refused packets of late
 * @addrs: gateways
 * @until_us: each is passed over until then
 * @next: place of the next one
 *
 * The directory drops a dead gateway only when its own cell has said so;
 * the kernel tells of a refusal within a round trip. One for each worker.
 */
struct forward_gone {
    struct addr addrs[FORWARD_GONE_MAX];
    uint64_t until_us[FORWARD_GONE_MAX];
    size_t next;
};

/** forward_note_gone() - nobody takes packets at @addr */
void
forward_note_gone(struct forward_gone *gone, struct addr addr,
                  uint64_t now_us);

/** forward_goes_before() - whether another cell's claim to the address of
 * @packet goes before the own cell's; @table may be NULL */
bool
forward_goes_before(const struct directory_table *table,
                    const struct packet *packet);

/**
 * forward_decide() - where a packet goes that is not the own cell's
 * @table: table in force, or NULL
 * @gone: gateways to pass over while there are others, or NULL
 * @packet: the inner packet, as read
 * @marked: it came with a mark
 * @now_us: clock; a flow's gateway changes every FORWARD_TURN_US, so that
 *          what a silent one loses finds another when it is sent again
 * @to: the gateway
 *
 * Return: PACKET_OK, PACKET_NO_SERVICE (nobody serves it) or PACKET_HOP_LIMIT
 * (it was forwarded already).
 */
enum packet_drop
forward_decide(const struct directory_table *table,
               const struct forward_gone *gone, const struct packet *packet,
               bool marked, uint64_t now_us, struct addr *to);

#endif
