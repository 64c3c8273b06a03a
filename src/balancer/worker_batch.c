#include "balancer/worker_batch.h"

#include <string.h>

#include "balancer/span.h"

_Static_assert(CELL_FORWARD_HEADER_LEN == BATCH_BARE_GUE_LEN,
               "both headers have the same length");

static enum packet_drop
check_encap(const uint8_t *buf, size_t len)
{
    struct gue gue;

    if (len < BATCH_BARE_GUE_LEN)
        return PACKET_BAD_ENCAP;
    if (cell_forward_is_marked(buf, len))
        return PACKET_OK;
    if (buf[0] == 0) /* no hop list: gue_decode() reads the bare header only */
        return gue_decode(buf, len, &gue) == BATCH_BARE_GUE_LEN
                   ? PACKET_OK
                   : PACKET_BAD_ENCAP;
    return PACKET_BAD_ENCAP;
}

static void
add_output(struct worker_batch *batch, uint8_t *packet, size_t len,
           const uint8_t *header, size_t header_len, struct addr to)
{
    unsigned i = batch->out_count++;

    memcpy(packet - header_len, header, header_len);
    batch->out_iov[i].iov_base = packet - header_len;
    batch->out_iov[i].iov_len = header_len + len;
    batch->out_to[i] = addr_to_sockaddr(to);
}

/* Whether a packet is for another cell; a marked one never is if its address
 * is served here. */
static bool
is_for_other_cell(const struct worker_batch *batch,
                  const struct packet *packet, enum packet_drop drop,
                  bool marked)
{
    if (drop == PACKET_NO_SERVICE)
        return true;
    return !marked && (drop == PACKET_OK || drop == PACKET_NO_ENDPOINT) &&
           cell_forward_has_priority(batch->directory, packet);
}

/* Adds a packet of another cell to the output, or returns the drop reason. */
static enum packet_drop
forward_to_cell(struct worker_batch *batch, uint8_t *packet, size_t len,
                const struct packet *parsed, bool marked, uint64_t now_us)
{
    uint8_t header[CELL_FORWARD_HEADER_LEN];
    struct addr to;
    enum packet_drop drop =
        cell_forward_decide(batch->directory, &batch->refused_gateways, parsed,
                            marked, now_us, &to);

    if (drop != PACKET_OK)
        return drop;
    cell_forward_encode(header);
    add_output(batch, packet, len, header, sizeof(header), to);
    batch->to_cells++;
    return PACKET_OK;
}

static enum packet_drop
decide_one(struct worker_batch *batch, unsigned i,
           const struct route_table *table, struct trace *trace,
           uint64_t now_us)
{
    uint8_t *encap = batch->in_iov[i].iov_base;
    size_t len = batch->in[i].msg_len;
    struct route_decision decision;
    uint8_t header[GUE_HEADER_MAX];
    size_t header_len;

    enum packet_drop drop = check_encap(encap, len);
    if (drop != PACKET_OK)
        return drop;
    if (table == NULL)
        return PACKET_NO_ENDPOINT;

    bool marked = cell_forward_is_marked(encap, len);
    uint8_t *packet = encap + BATCH_BARE_GUE_LEN;
    batch->from_cells += marked;
    len -= BATCH_BARE_GUE_LEN;
    drop = route_decide(table, packet, len, now_us, &decision);
    if (is_for_other_cell(batch, &decision.packet, drop, marked))
        return forward_to_cell(batch, packet, len, &decision.packet, marked,
                               now_us);
    if (drop != PACKET_OK)
        return drop;

    if (trace->fd >= 0)
        span_write(trace, packet, &decision, now_us);
    header_len = gue_encode(&decision.gue, header);
    add_output(batch, packet, len, header, header_len,
               decision.gue.hops[0].data);
    return PACKET_OK;
}

void
worker_batch_init(struct worker_batch *batch)
{
    memset(batch, 0, sizeof(*batch));
    for (unsigned i = 0; i < WORKER_BATCH; i++) {
        batch->in_iov[i].iov_base = batch->buffers[i].bytes + BATCH_HEADROOM;
        batch->in_iov[i].iov_len = BATCH_BUFFER_SIZE - BATCH_HEADROOM;
        batch->in[i].msg_hdr.msg_iov = &batch->in_iov[i];
        batch->in[i].msg_hdr.msg_iovlen = 1;
        batch->out[i].msg_hdr.msg_iov = &batch->out_iov[i];
        batch->out[i].msg_hdr.msg_iovlen = 1;
        batch->out[i].msg_hdr.msg_name = &batch->out_to[i];
        batch->out[i].msg_hdr.msg_namelen = sizeof(batch->out_to[i]);
    }
}

void
worker_batch_decide(struct worker_batch *batch, unsigned count,
                    const struct route_table *table, struct trace *trace,
                    uint64_t now_us)
{
    batch->out_count = 0;
    batch->to_cells = 0;
    batch->from_cells = 0;
    memset(batch->drops, 0, sizeof(batch->drops));
    for (unsigned i = 0; i < count; i++) {
        enum packet_drop drop = decide_one(batch, i, table, trace, now_us);
        batch->drops[drop]++;
    }
    batch->drops[PACKET_OK] = 0;
}
