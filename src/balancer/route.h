/**
 * DOC: route - selects the endpoints of a packet without per-flow state
 *
 * A route table is built from one view and one configuration and is immutable;
 * packet workers read it under RCU. One thread builds and frees all tables,
 * because consecutive tables share the ranks of unchanged services.
 *
 * Hop list of a packet that opens no flow: live endpoints in rank order in any
 * announced state, then suspected ones, never dead ones. Hop list of a packet
 * that may open a flow (a TCP SYN or any datagram): endpoints that take new
 * flows in rank order, then other live ones, then suspected ones. Up to
 * ROUTE_RESERVED_HOPS hops are reserved for the last two groups, which may
 * own the flow already.
 *
 * Slow start: a cold endpoint keeps its rank for a share of the new flows and
 * comes last among the endpoints that take new flows for the rest. The share
 * grows linearly from 1/4 to 1 within ROUTE_SLOW_START_US after this process
 * first saw the member. It is selected by flow hash and member, so balancers
 * differ only by that time. When all candidates are cold, rank alone decides.
 *
 * Retired addresses: packets to a former address of a service go to the
 * service's endpoints by the same rank and open no flow. A removed service
 * has endpoints while agents announce it.
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
#include "service_config/service_config.h"

#define ROUTE_SLOW_START_US (10 * USEC_PER_SEC)
#define ROUTE_SLOW_START_MIN_SHARE                                            \
    256 /* initial share, of ROUTE_SLOW_START_FULL_SHARE */
#define ROUTE_SLOW_START_FULL_SHARE 1024
#define ROUTE_RESERVED_HOPS 2

/** enum route_endpoint_state - which packets an endpoint may receive */
enum route_endpoint_state {
    ROUTE_READY,      /* any packet */
    ROUTE_SLOW_START, /* any packet, but only a share of the new flows */
    ROUTE_DRAINING,   /* packets of its own flows: draining or leaving */
    ROUTE_SUSPECT     /* packets of its own flows, after all other hops */
};

/**
 * struct route_endpoint - one endpoint of a service
 * @member: member id
 * @incarnation: incarnation of the agent when the table was built
 * @since_us: time at which this process first saw the member
 * @data: address for packets
 * @state: which packets it may receive
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
 * @id: hash_service() of the name
 * @count: number of endpoints, 0 while none is announced
 * @endpoints: endpoints, indexed by the handles of @all
 * @all: rank of all endpoints; NULL without endpoints
 * @open: rank of the endpoints that take new flows; NULL if there are none
 * @open_handles: maps the handles of @open to those of @all
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
 * struct route_address - a current or retired service address
 * @ip: IPv4 address, host byte order
 * @port: port
 * @proto: IP protocol number
 * @retired: opens no new flows
 * @service: index in route_table.services
 */
struct route_address {
    uint32_t ip;
    uint16_t port;
    uint8_t proto;
    bool retired;
    uint16_t service;
};

/**
 * struct route_table - immutable routes of one view and configuration
 * @view_seq: sequence number of the view
 * @config_version: version of the configuration
 * @services: services in configuration order, then removed ones
 * @count: number of services
 * @addresses: current addresses of the services, then retired ones
 * @address_count: number of addresses
 * @slots: hash table keyed by address, port and protocol; holds the index in
 *         @addresses plus one, 0 when free
 * @slot_mask: size of @slots, a power of two, minus one
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
 * struct route_decision - parsed packet and its route
 * @packet: parsed headers
 * @gue: hop list of the encapsulation; the packet is sent to the first hop
 */
struct route_decision {
    struct packet packet;
    struct gue gue;
};

/**
 * route_table_new() - build a table
 * @view: members of the cell; not referenced afterwards
 * @config: current configuration; not referenced afterwards
 * @previous: current table, whose ranks are reused, or NULL
 * @table: set to the new table
 *
 * Return: 0, -ENOMEM, or -E2BIG if a service has more endpoints than a rank
 * holds.
 */
int
route_table_new(const struct view *view, const struct service_config *config,
                const struct route_table *previous,
                struct route_table **table);

/** route_table_free() - free a table without readers; NULL is allowed */
void
route_table_free(struct route_table *table);

/**
 * route_decide() - find the service and the hop list of a packet
 * @buf: complete IPv4 packet
 * @now_us: current time, for slow start
 *
 * Return: PACKET_OK with @decision filled, or the drop reason.
 */
enum packet_drop
route_decide(const struct route_table *table, const uint8_t *buf, size_t len,
             uint64_t now_us, struct route_decision *decision);

/** route_find_address() - find a current or retired address, or NULL */
const struct route_address *
route_find_address(const struct route_table *table, uint32_t ip, uint16_t port,
                   uint8_t proto);

/** route_find() - find the service of an address, or NULL */
const struct route_service *
route_find(const struct route_table *table, uint32_t ip, uint16_t port,
           uint8_t proto);

/** route_endpoint_at() - find the endpoint with data address @data, or NULL */
const struct route_endpoint *
route_endpoint_at(const struct route_table *table, struct addr data);

/** route_table_bytes() - memory of a table in bytes, with shared ranks */
size_t
route_table_bytes(const struct route_table *table);

#endif
