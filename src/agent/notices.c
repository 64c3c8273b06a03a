#define G_LOG_DOMAIN "swiftarch-agent"

#include "agent/notices.h"

#include "agent/notice_wire.h"
#include "agent/program.h"
#include "base/log.h"
#include "orphans/segment.h"

#define PROBES_AT_ONCE 64

void
notices_register(struct agent *agent)
{
    struct notices *notices = &agent->notices;
    struct counter_table *counters = &agent->counters;

    notices->batches = counter_register(counters, "notice_batches_total", "");
    notices->probes =
        counter_register(counters, "notice_probes_sent_total", "");
    notices->held = counter_register_gauge(counters, "notice_flows_held", "");
    notices->refused =
        counter_register_gauge(counters, "notice_refused_total", "");
}

void
notices_init(struct agent *agent)
{
    orphan_init(&agent->notices.core, (uint64_t)g_get_real_time());
}

void
notices_finish(struct agent *agent)
{
    orphan_finish(&agent->notices.core);
}

void
notices_set_view(struct agent *agent, const struct view *view)
{
    orphan_set_view(&agent->notices.core, view, agent_now(agent));
}

void
notices_flow(struct agent *agent, const struct stack_conn *conn, bool open)
{
    struct orphans *core = &agent->notices.core;
    struct addr caller = stack_conn_peer(conn);
    struct addr service = stack_conn_local(conn);

    if (!open) {
        orphan_flow_closed(core, caller, service);
    }
    else if (orphan_flow_opened(core, caller, service) < 0) {
        g_info("A flow is not told to a backup: no room.");
    }
}

void
notices_receive(struct agent *agent, uint64_t from,
                const struct peer_wire *wire)
{
    struct orphans *core = &agent->notices.core;
    struct orphan_message message;
    struct orphan_message reply;
    bool answer = false;

    if (notice_wire_read(wire, &message) < 0) {
        g_warning("A malformed notice of a peer was dropped.");
        return;
    }
    rcu_read_lock();
    const struct view *view = blackboard_view(&agent->blackboard);
    if (view != NULL) {
        answer = orphan_receive(core, view, from, &message, agent_now(agent),
                                &reply);
    }
    rcu_read_unlock();
    if (answer) {
        peer_links_send_notice(agent, from, &reply);
    }
}

static void
send_messages(struct agent *agent, uint64_t now_us)
{
    struct notices *notices = &agent->notices;
    struct orphan_message message;
    uint64_t to;

    while (orphan_next_message(&notices->core, now_us, &to, &message)) {
        /* What fails to be sent is sent again without an answer. */
        peer_links_send_notice(agent, to, &message);
        counter_add(&agent->counters, 0, notices->batches, 1);
    }
}

static void
send_probe(struct agent *agent, const struct orphan_probe *probe)
{
    uint8_t buf[SEGMENT_PROBE_LEN];
    size_t len = segment_build_probe(probe->service, probe->caller,
                                     g_random_int(), buf);

    egress_foreign(agent, buf, len);
}

static void
send_probes(struct agent *agent, uint64_t now_us)
{
    struct notices *notices = &agent->notices;
    struct orphan_probe probes[PROBES_AT_ONCE];
    size_t count;

    do {
        count =
            orphan_next_probes(&notices->core, now_us, probes, PROBES_AT_ONCE);
        for (size_t i = 0; i < count; i++) {
            send_probe(agent, &probes[i]);
        }
        counter_add(&agent->counters, 0, notices->probes, count);
    } while (count == PROBES_AT_ONCE);
}

void
notices_tick(struct agent *agent)
{
    uint64_t now_us = agent_now(agent);

    orphan_tick(&agent->notices.core, now_us);
    send_messages(agent, now_us);
    send_probes(agent, now_us);
}

void
notices_set_gauges(struct agent *agent)
{
    struct notices *notices = &agent->notices;

    counter_set(&agent->counters, notices->held,
                orphan_replicated_flows(&notices->core));
    counter_set(&agent->counters, notices->refused,
                notices->core.backup.refused);
}
