/**
 * DOC: cell_forward - forwards packets to gateways of other cells
 *
 * The inner packet is sent unchanged behind a marked GUE header, as long as
 * the bare one: version 0, Hlen 0, protocol 4, and only CELL_FORWARD_FLAG set,
 * which packet/gue.h rejects as unknown. The receiver routes a marked packet
 * by its own configuration alone and never forwards it to another cell, so
 * packets can't loop even if directories disagree.
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
    (15 * USEC_PER_SEC) /* enough for its cell to remove a dead gateway */
#define CELL_FORWARD_ROTATION_US (1 * USEC_PER_SEC)
#define CELL_FORWARD_FLAG 0x02 /* second byte of the GUE flags */

/** cell_forward_encode() - write the CELL_FORWARD_HEADER_LEN bytes of a marked
 * header */
void
cell_forward_encode(uint8_t *buf);

/** cell_forward_is_marked() - whether @buf starts with a marked header */
bool
cell_forward_is_marked(const uint8_t *buf, size_t len);

/**
 * struct cell_forward_refused - gateways that recently refused packets
 * @addrs: gateways
 * @until_us: time until which each gateway is avoided
 * @next: index that the next new gateway overwrites
 *
 * The directory drops a dead gateway only after the gateway's cell has
 * published its removal; the kernel reports a refusal within a round trip.
 * Each worker has its own.
 */
struct cell_forward_refused {
    struct addr addrs[CELL_FORWARD_REFUSED_MAX];
    uint64_t until_us[CELL_FORWARD_REFUSED_MAX];
    size_t next;
};

/** cell_forward_note_refused() - avoid the gateway at @addr for
 * CELL_FORWARD_REFUSED_US */
void
cell_forward_note_refused(struct cell_forward_refused *refused,
                          struct addr addr, uint64_t now_us);

/**
 * cell_forward_has_priority() - whether another cell's claim to the
 * destination of @packet takes priority over the own cell's
 * @table: current table, or NULL
 */
bool
cell_forward_has_priority(const struct directory_table *table,
                          const struct packet *packet);

/**
 * cell_forward_decide() - select the gateway of a packet for another cell
 * @table: current table, or NULL
 * @refused: gateways to avoid while there are others, or NULL
 * @packet: parsed inner packet
 * @marked: whether the packet came with a marked header
 * @now_us: current time; a flow's gateway changes every
 *          CELL_FORWARD_ROTATION_US, so that retransmissions avoid a silent
 *          gateway
 * @to: set to the data address of the gateway
 *
 * Return: PACKET_OK, PACKET_NO_SERVICE if no other cell serves the address, or
 * PACKET_HOP_LIMIT if the packet was forwarded already.
 */
enum packet_drop
cell_forward_decide(const struct directory_table *table,
                    const struct cell_forward_refused *refused,
                    const struct packet *packet, bool marked, uint64_t now_us,
                    struct addr *to);

#endif
