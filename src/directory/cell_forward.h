/**
 * DOC: forward - packets from a balancer to a gateway of another cell
 *
 * The inner packet goes on whole, behind a GUE header of the same length as
 * the bare one: version 0, Hlen 0, protocol 4, and of the flags only
 * CELL_FORWARD_FLAG, which packet/gue.h refuses as unknown. A marked packet is
 * decided about by the receiver's own text alone and is never forwarded to
 * another cell again, so packets can't loop, whatever the directories say.
 */
#ifndef SWIFTARCH_DIRECTORY_CELL_FORWARD_H
#define SWIFTARCH_DIRECTORY_CELL_FORWARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "directory/table.h"
#include "packet/packet.h"

#define CELL_FORWARD_HEADER_LEN 4
#define CELL_FORWARD_REFUSED_MAX 8
#define CELL_FORWARD_REFUSED_US                                               \
    (15 * USEC_PER_SEC) /* its cell has said so by then                       \
                         */
#define CELL_FORWARD_ROTATION_US (1 * USEC_PER_SEC)
#define CELL_FORWARD_FLAG 0x02 /* second byte of the GUE flags */

/** cell_forward_encode() - write the mark, CELL_FORWARD_HEADER_LEN bytes */
void
cell_forward_encode(uint8_t *buf);

/** cell_forward_is_marked() - whether the inner packet follows a mark */
bool
cell_forward_is_marked(const uint8_t *buf, size_t len);

/**
 * struct cell_forward_refused - gateways that refused packets of late
 * @addrs: gateways
 * @until_us: each is passed over until then
 * @next: place of the next one
 *
 * The directory drops a dead gateway only when its own cell has said so;
 * the kernel tells of a refusal within a round trip. One for each worker.
 */
struct cell_forward_refused {
    struct addr addrs[CELL_FORWARD_REFUSED_MAX];
    uint64_t until_us[CELL_FORWARD_REFUSED_MAX];
    size_t next;
};

/** cell_forward_note_refused() - nobody takes packets at @addr */
void
cell_forward_note_refused(struct cell_forward_refused *refused,
                          struct addr addr, uint64_t now_us);

/** cell_forward_has_priority() - whether another cell's claim to the address
 * of
 * @packet goes before the own cell's; @table may be NULL */
bool
cell_forward_has_priority(const struct directory_table *table,
                          const struct packet *packet);

/**
 * cell_forward_decide() - where a packet goes that is not the own cell's
 * @table: table in force, or NULL
 * @refused: gateways to pass over while there are others, or NULL
 * @packet: the inner packet, as read
 * @marked: it came with a mark
 * @now_us: clock; a flow's gateway changes every CELL_FORWARD_ROTATION_US, so
 * that what a silent one loses finds another when it is sent again
 * @to: the gateway
 *
 * Return: PACKET_OK, PACKET_NO_SERVICE (nobody serves it) or PACKET_HOP_LIMIT
 * (it was forwarded already).
 */
enum packet_drop
cell_forward_decide(const struct directory_table *table,
                    const struct cell_forward_refused *refused,
                    const struct packet *packet, bool marked, uint64_t now_us,
                    struct addr *to);

#endif
