#define G_LOG_DOMAIN "swiftarch-agent"

#include "agent/orphan_notifier.h"

#include "agent/orphan_wire.h"
#include "agent/program.h"
#include "base/log.h"
#include "orphans/segment.h"

#define PROBE_BATCH 64

void
orphan_notifier_register(struct agent *agent)
{
    struct orphan_notifier *orphan_notifier = &agent->orphan_notifier;
    struct counter_table *counters = &agent->counters;

    orphan_notifier->batches =
        counter_register(counters, "notice_batches_total", "");
    orphan_notifier->probes =
        counter_register(counters, "notice_probes_sent_total", "");
    orphan_notifier->replicated_flows =
        counter_register_gauge(counters, "notice_flows_held", "");
    orphan_notifier->refused =
        counter_register_gauge(counters, "notice_refused_total", "");
}

void
orphan_notifier_init(struct agent *agent)
{
    orphan_init(&agent->orphan_notifier.core, (uint64_t)g_get_real_time());
}

void
orphan_notifier_finish(struct agent *agent)
{
    orphan_finish(&agent->orphan_notifier.core);
}

void
orphan_notifier_set_view(struct agent *agent, const struct view *view)
{
    orphan_set_view(&agent->orphan_notifier.core, view, agent_now(agent));
}

void
orphan_notifier_flow(struct agent *agent, const struct stack_conn *conn,
                     bool open)
{
    struct orphans *core = &agent->orphan_notifier.core;
    struct addr caller = stack_conn_peer(conn);
    struct addr service = stack_conn_local(conn);

    if (!open) {
        orphan_flow_closed(core, caller, service);
    }
    else if (orphan_flow_opened(core, caller, service) < 0) {
        g_info("A flow is not replicated to backups: limit reached.");
    }
}

void
orphan_notifier_receive(struct agent *agent, uint64_t from,
                        const struct peer_wire *wire)
{
    struct orphans *core = &agent->orphan_notifier.core;
    struct orphan_message message;
    struct orphan_message reply;
    bool has_reply = false;

    if (orphan_wire_read(wire, &message) < 0) {
        g_warning("Dropped a malformed orphan message of a peer.");
        return;
    }
    rcu_read_lock();
    const struct view *view = blackboard_view(&agent->blackboard);
    if (view != NULL) {
        has_reply = orphan_receive(core, view, from, &message,
                                   agent_now(agent), &reply);
    }
    rcu_read_unlock();
    if (has_reply) {
        peer_links_send_orphans(agent, from, &reply);
    }
}

static void
send_messages(struct agent *agent, uint64_t now_us)
{
    struct orphan_notifier *orphan_notifier = &agent->orphan_notifier;
    struct orphan_message message;
    uint64_t to;

    while (
        orphan_next_message(&orphan_notifier->core, now_us, &to, &message)) {
        /* A send error is ignored: unacknowledged messages are resent. */
        peer_links_send_orphans(agent, to, &message);
        counter_add(&agent->counters, 0, orphan_notifier->batches, 1);
    }
}

static void
send_probe(struct agent *agent, const struct orphan_probe *probe)
{
    uint8_t buf[SEGMENT_PROBE_LEN];
    size_t len = segment_build_probe(probe->service, probe->caller,
                                     g_random_int(), buf);

    egress_output_untracked(agent, buf, len);
}

static void
send_probes(struct agent *agent, uint64_t now_us)
{
    struct orphan_notifier *orphan_notifier = &agent->orphan_notifier;
    struct orphan_probe probes[PROBE_BATCH];
    size_t count;

    do {
        count = orphan_next_probes(&orphan_notifier->core, now_us, probes,
                                   PROBE_BATCH);
        for (size_t i = 0; i < count; i++) {
            send_probe(agent, &probes[i]);
        }
        counter_add(&agent->counters, 0, orphan_notifier->probes, count);
    } while (count == PROBE_BATCH);
}

void
orphan_notifier_tick(struct agent *agent)
{
    uint64_t now_us = agent_now(agent);

    orphan_tick(&agent->orphan_notifier.core, now_us);
    send_messages(agent, now_us);
    send_probes(agent, now_us);
}

void
orphan_notifier_set_gauges(struct agent *agent)
{
    struct orphan_notifier *orphan_notifier = &agent->orphan_notifier;

    counter_set(&agent->counters, orphan_notifier->replicated_flows,
                orphan_replicated_flows(&orphan_notifier->core));
    counter_set(&agent->counters, orphan_notifier->refused,
                orphan_notifier->core.backup.refused);
}
