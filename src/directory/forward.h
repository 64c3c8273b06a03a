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

#include "directory/table.h"
#include "packet/packet.h"

#define FORWARD_HEADER 4
#define FORWARD_FLAG 0x02 /* second byte of the GUE flags */

/** forward_encode() - write the mark, FORWARD_HEADER bytes */
void
forward_encode(uint8_t *buf);

/** forward_is_marked() - whether the inner packet follows a mark */
bool
forward_is_marked(const uint8_t *buf, size_t len);

/**
 * forward_decide() - where a packet goes that no service of the own cell
 * takes
 * @table: table in force, or NULL
 * @packet: the inner packet, as read
 * @marked: it came with a mark
 * @to: the gateway
 *
 * Return: PACKET_OK, PACKET_SERVICE (nobody serves it) or PACKET_HOPS (it
 * was forwarded already).
 */
enum packet_drop
forward_decide(const struct directory_table *table,
               const struct packet *packet, bool marked, struct addr *to);

#endif
