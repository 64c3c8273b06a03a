/**
 * DOC: route - which endpoints a packet goes to, decided without state
 *
 * A route_table is built from one view and one text and never changes
 * afterwards; packet workers read it under RCU. Building and freeing is
 * done by one thread, since tables that follow each other share the ranks
 * of services whose members did not change.
 *
 * Hop list of a packet that opens no flow: endpoints that are alive, in
 * rank order, whatever they announce; suspected ones after them; dead ones
 * never. Hop list of a packet that may open one (a TCP SYN, any datagram):
 * first the endpoints that take new flows, in rank order, then the other
 * live ones, then the suspected ones; up to ROUTE_RESERVED_HOPS places are
 * kept for those others, which may own the flow already.
 *
 * Cold starts: a warming endpoint takes its place among those that take
 * new flows for a share of the flows only, and the last place among them
 * for the others. The share grows evenly from 1/4 to all within
 * ROUTE_SLOW_START_US of its first being seen. Which flows are in the share
 * depends on the flow's hash and the member only, so balancers agree but
 * for the time at which they first saw the member. Where all candidates of
 * a flow are warming, as after a start of the whole site, rank alone decides.
 *
 * Retired addresses: packets to an address that a service had before go to
 * that service's endpoints, by the same rank, and open no flow. A service
 * that was removed has endpoints as long as agents announce it.
 */
#ifndef SWIFTARCH_BALANCER_ROUTE_H
#define SWIFTARCH_BALANCER_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "control/view.h"
#include "packet/gue.h"
#include "packet/packet.h"
#include "packet/rank.h"
#include "text/text.h"

#define ROUTE_SLOW_START_US (10 * USEC_PER_SEC)
#define ROUTE_SLOW_START_MIN_SHARE                                            \
    256 /* first share, of ROUTE_SLOW_START_FULL_SHARE */
#define ROUTE_SLOW_START_FULL_SHARE 1024
#define ROUTE_RESERVED_HOPS 2

/** enum route_endpoint_state - what an endpoint may be given */
enum route_endpoint_state {
    ROUTE_READY,      /* any packet */
    ROUTE_SLOW_START, /* any packet, but a share of the new flows */
    ROUTE_DRAINING,   /* packets of flows it has: draining or leaving */
    ROUTE_SUSPECT     /* the same, and only after the others */
};

/**
 * struct route_endpoint - one endpoint of a service
 * @member: member id
 * @incarnation: of the process when the table was built
 * @since_us: when this process first saw it
 * @data: where it takes packets
 * @state: what it may be given
 */
struct route_endpoint {
    uint64_t member;
    uint64_t incarnation;
    uint64_t since_us;
    struct addr data;
    enum route_endpoint_state state;
};

struct route_rank;

/**
 * struct route_service - one service and its endpoints
 * @id: hash_service() of its name
 * @count: endpoints, 0 while none is announced
 * @endpoints: by handle of @all
 * @all: rank of all endpoints; NULL without endpoints
 * @open: rank of those that take new flows; NULL when there is none
 * @open_handles: handle of @all for each handle of @open
 */
struct route_service {
    uint32_t id;
    uint16_t count;
    struct route_endpoint *endpoints;
    struct route_rank *all;
    struct route_rank *open;
    uint16_t *open_handles;
};

/**
 * struct route_address - an address that callers use, or used
 * @ip: address
 * @port: port
 * @proto: IP protocol number
 * @retired: it opens no flow any more
 * @service: index of its service
 */
struct route_address {
    uint32_t ip;
    uint16_t port;
    uint8_t proto;
    bool retired;
    uint16_t service;
};

/**
 * struct route_table - see DOC
 * @view_seq: of the view it was built from
 * @config_version: of the text it was built from
 * @services: in the order of the text, then those that were removed
 * @count: services
 * @addresses: of the services, then the retired ones
 * @address_count: how many
 * @slots: hash from address, port and protocol to index of @addresses + 1
 * @slot_mask: size of @slots less one, which is a power of two
 */
struct route_table {
    uint64_t view_seq;
    uint64_t config_version;
    struct route_service *services;
    size_t count;
    struct route_address *addresses;
    size_t address_count;
    uint16_t *slots;
    uint32_t slot_mask;
};

/**
 * struct route_decision - where a packet goes
 * @packet: what was read of the packet
 * @gue: hop list to write before it; it goes to the first hop
 */
struct route_decision {
    struct packet packet;
    struct gue gue;
};

/**
 * route_table_new() - build a table
 * @view: members known; taken as it is, nothing of it is kept
 * @text: configuration in force; nothing of it is kept
 * @previous: table to be replaced, whose ranks are reused, or NULL
 * @table: result
 *
 * Return: 0, -ENOMEM, or -E2BIG for more endpoints than a rank holds.
 */
int
route_table_new(const struct view *view, const struct text *text,
                const struct route_table *previous,
                struct route_table **table);

/** route_table_free() - free a table that no reader has; NULL is allowed */
void
route_table_free(struct route_table *table);

/**
 * route_decide() - find the service and the hop list of a packet
 * @buf: a whole IPv4 packet as it came
 * @now_us: clock, for cold starts
 *
 * Return: PACKET_OK with @decision filled, or why the packet is dropped.
 */
enum packet_drop
route_decide(const struct route_table *table, const uint8_t *buf, size_t len,
             uint64_t now_us, struct route_decision *decision);

/** route_find_address() - address that a service has or had, or NULL */
const struct route_address *
route_find_address(const struct route_table *table, uint32_t ip, uint16_t port,
                   uint8_t proto);

/** route_find() - service at an address, or NULL */
const struct route_service *
route_find(const struct route_table *table, uint32_t ip, uint16_t port,
           uint8_t proto);

/** route_endpoint_at() - endpoint that takes packets at @data, or NULL */
const struct route_endpoint *
route_endpoint_at(const struct route_table *table, struct addr data);

/** route_table_bytes() - memory held by a table, shared ranks included */
size_t
route_table_bytes(const struct route_table *table);

#endif
