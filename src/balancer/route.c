#include "balancer/route.h"

#include <stdbool.h>

#include "balancer/route_rank.h"
#include "base/hash.h"

#define PROTO_UDP 17

/**
 * struct hop_list - hop list being built
 * @count: number of hops
 * @handles: indices into route_service.endpoints
 */
struct hop_list {
    size_t count;
    uint16_t handles[GUE_HOPS_MAX];
};

static void
hops_add(struct hop_list *list, uint16_t handle)
{
    if (list->count < GUE_HOPS_MAX)
        list->handles[list->count++] = handle;
}

static bool
opens_flow(const struct packet *packet)
{
    if (packet->proto == PROTO_UDP)
        return true;
    return (packet->flags & (PACKET_TCP_SYN | PACKET_TCP_ACK)) ==
           PACKET_TCP_SYN;
}

/* Whether a flow is in the current share of an endpoint in slow start */
static bool
slow_start_admits(const struct route_endpoint *endpoint, uint64_t flow_hash,
                  uint64_t now_us)
{
    uint64_t age = now_us - endpoint->since_us;
    if (now_us < endpoint->since_us)
        age = 0;
    if (age >= ROUTE_SLOW_START_US)
        return true;

    uint64_t share =
        ROUTE_SLOW_START_MIN_SHARE +
        (ROUTE_SLOW_START_FULL_SHARE - ROUTE_SLOW_START_MIN_SHARE) * age /
            ROUTE_SLOW_START_US;
    return hash_pair(flow_hash, endpoint->member) %
               ROUTE_SLOW_START_FULL_SHARE <
           share;
}

static size_t
hops_add_live(struct hop_list *list, const struct route_service *service,
              const uint16_t *row)
{
    size_t suspects = 0;

    for (size_t i = 0; i < RANK_DEPTH && row[i] != RANK_NONE; i++) {
        if (service->endpoints[row[i]].state == ROUTE_SUSPECT)
            suspects++;
        else
            hops_add(list, row[i]);
    }
    return suspects;
}

static void
hops_add_state(struct hop_list *list, const struct route_service *service,
               const uint16_t *row, enum route_endpoint_state state)
{
    for (size_t i = 0; i < RANK_DEPTH && row[i] != RANK_NONE; i++)
        if (service->endpoints[row[i]].state == state)
            hops_add(list, row[i]);
}

/* Cold endpoints are deferred only if the row has an endpoint that is not. */
static bool
row_has_ready(const struct route_service *service, const uint16_t *row)
{
    for (size_t i = 0; i < RANK_DEPTH && row[i] != RANK_NONE; i++)
        if (service->endpoints[service->open_handles[row[i]]].state ==
            ROUTE_READY)
            return true;
    return false;
}

/* Adds endpoints that take new flows, up to @limit hops in total. */
static void
hops_add_ready(struct hop_list *list, const struct route_service *service,
               uint64_t flow_hash, uint64_t now_us, size_t limit)
{
    if (service->open == NULL)
        return;

    const uint16_t *row = rank_row(&service->open->rank, flow_hash);
    bool defer_cold = row_has_ready(service, row);
    struct hop_list deferred = {0};
    for (size_t i = 0; i < RANK_DEPTH && row[i] != RANK_NONE; i++) {
        uint16_t handle = service->open_handles[row[i]];
        const struct route_endpoint *endpoint = &service->endpoints[handle];
        if (list->count + deferred.count == limit)
            break;
        if (defer_cold && endpoint->state == ROUTE_SLOW_START &&
            !slow_start_admits(endpoint, flow_hash, now_us))
            hops_add(&deferred, handle);
        else
            hops_add(list, handle);
    }
    for (size_t i = 0; i < deferred.count; i++)
        hops_add(list, deferred.handles[i]);
}

static size_t
count_established_only(const struct route_service *service,
                       const uint16_t *row)
{
    size_t count = 0;
    for (size_t i = 0; i < RANK_DEPTH && row[i] != RANK_NONE; i++)
        count += service->endpoints[row[i]].state >= ROUTE_DRAINING;
    return count;
}

static void
hops_for_new_flow(struct hop_list *list, const struct route_service *service,
                  uint64_t flow_hash, uint64_t now_us)
{
    const uint16_t *row = rank_row(&service->all->rank, flow_hash);
    size_t reserve = count_established_only(service, row);

    if (reserve > ROUTE_RESERVED_HOPS)
        reserve = ROUTE_RESERVED_HOPS;
    hops_add_ready(list, service, flow_hash, now_us, GUE_HOPS_MAX - reserve);
    hops_add_state(list, service, row, ROUTE_DRAINING);
    hops_add_state(list, service, row, ROUTE_SUSPECT);
}

static void
hops_for_established(struct hop_list *list,
                     const struct route_service *service, uint64_t flow_hash)
{
    const uint16_t *row = rank_row(&service->all->rank, flow_hash);
    if (hops_add_live(list, service, row) > 0)
        hops_add_state(list, service, row, ROUTE_SUSPECT);
}

static void
fill_gue(struct gue *gue, const struct route_service *service,
         const struct hop_list *list, bool open)
{
    gue->service = service->id;
    gue->flags = open ? GUE_OPEN : 0;
    gue->index = 0;
    gue->count = (uint8_t)list->count;
    for (size_t i = 0; i < list->count; i++) {
        const struct route_endpoint *endpoint =
            &service->endpoints[list->handles[i]];
        gue->hops[i].member = endpoint->member;
        gue->hops[i].data = endpoint->data;
        if (endpoint->state == ROUTE_SUSPECT)
            gue->flags |= GUE_SUSPECTS;
    }
}

enum packet_drop
route_decide(const struct route_table *table, const uint8_t *buf, size_t len,
             uint64_t now_us, struct route_decision *decision)
{
    const struct packet *packet = &decision->packet;
    enum packet_drop drop = packet_parse(buf, len, 0, &decision->packet);
    if (drop != PACKET_OK)
        return drop;

    const struct route_address *address =
        route_find_address(table, packet->dst, packet->dport, packet->proto);
    if (address == NULL)
        return PACKET_NO_SERVICE;
    const struct route_service *service = &table->services[address->service];
    if (service->count == 0)
        return PACKET_NO_ENDPOINT;

    uint64_t flow_hash = packet_flow_hash(packet);
    bool open = opens_flow(packet) && !address->retired;
    struct hop_list list = {0};
    if (open)
        hops_for_new_flow(&list, service, flow_hash, now_us);
    else
        hops_for_established(&list, service, flow_hash);
    fill_gue(&decision->gue, service, &list, open);
    return PACKET_OK;
}
