#include "idem/state.h"
#include "sim_private.h"

static void
check_node(struct sim *sim, unsigned node)
{
    const struct record_table *records = &sim->nodes[node].idem->records;

    for (size_t i = 0; i < records->count; i++) {
        if (records->items[i]->state == IDEM_STARTED &&
            !state_owner_gone(sim->nodes[node].idem, SIM_SERVICE,
                              records->items[i]->owner,
                              records->items[i]->token, sim->now_us)) {
            sim_fail(sim,
                     "node %u still holds a reservation of node %u, age %u s, "
                     "queued %d",
                     node, sim_node_of(records->items[i]->owner),
                     (unsigned)((sim->now_us - records->items[i]->updated_us) /
                                USEC_PER_SEC),
                     records->items[i]->queued);
        }
    }
    if (idem_unacked_records(sim->nodes[node].idem) != 0) {
        sim_fail(sim, "node %u has %zu unacknowledged records", node,
                 idem_unacked_records(sim->nodes[node].idem));
    }
}

/* Checks that a request of the key is settled with a final verdict. */
static void
check_key(struct sim *sim, unsigned key)
{
    unsigned node = 0;
    uint64_t token;

    while (node < SIM_NODES &&
           (!sim->nodes[node].up || sim->nodes[node].leaving)) {
        node++;
    }
    if (node == SIM_NODES) {
        return;
    }
    token = sim_begin(sim, node, key);
    sim_advance(sim, USEC_PER_SEC);
    switch (sim_request(sim, token)->verdict) {
    case IDEM_PROCEED:
        sim_end(sim, token, false, IDEM_DONE);
        break;
    case IDEM_REPLAY:
    case IDEM_OUTCOME_UNKNOWN:
        break;
    default:
        sim_fail(sim, "key %u isn't settled: verdict %d, reason %d", key,
                 sim_request(sim, token)->verdict,
                 sim_request(sim, token)->reason);
    }
}

void
sim_quiesce(struct sim *sim)
{
    for (unsigned i = 0; i < SIM_NODES; i++) {
        sim_thaw(sim, i);
        for (unsigned j = 0; j < SIM_NODES; j++) {
            sim_partition(sim, i, j, 0);
        }
    }
    sim->net.loss_permille = 0;
    sim_advance(sim, sim->net.delay_us + USEC_PER_SEC);
    sim->net.delay_us = MIN(sim->net.delay_us, 20 * SIM_MSEC);
    for (size_t i = 0; i < sim->requests->len; i++) {
        sim_end(sim, i + 1, i % 3 == 0, i % 3 == 1 ? IDEM_DONE : IDEM_UNKNOWN);
    }
    sim_advance(sim, 90 * USEC_PER_SEC);
    for (unsigned i = 0; i < SIM_NODES; i++) {
        if (sim->nodes[i].up) {
            check_node(sim, i);
        }
    }
    for (unsigned i = 0; i < SIM_KEYS; i++) {
        check_key(sim, i);
    }
}
