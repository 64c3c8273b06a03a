#include "relay/program/relay_agent_private.h"

#include <errno.h>
#include <inttypes.h>

#include <glib.h>

#include "base/container.h"
#include "platform/object_store.h"

/* Names in log lines. */
static const char *const event_names[] = {
    [RECORD_EVENT_READ] = "read",         [RECORD_EVENT_FOREIGN] = "foreign",
    [RECORD_EVENT_GIVEN_UP] = "given_up", [RECORD_EVENT_OUTDATED] = "outdated",
    [RECORD_EVENT_WRITTEN] = "written",   [RECORD_EVENT_FAILED] = "failed",
};

static struct relay_agent *
agent_of_writer(struct record_writer *writer)
{
    return container_of(writer, struct relay_agent_records, writer)->agent;
}

static enum record_endpoint
on_collect(struct record_writer *writer, struct flow_record *record)
{
    struct relay_agent *agent = agent_of_writer(writer);
    const struct endpoint *endpoint = &agent->admission.endpoint;
    struct relay_flow flow;
    uint32_t seq;
    uint32_t at = 0;

    g_strlcpy(record->service, agent->settings.service,
              sizeof(record->service));
    record->written_ms = (uint64_t)g_get_real_time() / USEC_PER_MSEC;
    if (endpoint->incarnation_count == 0) {
        return endpoint->down ? RECORD_ENDPOINT_DOWN : RECORD_ENDPOINT_UNKNOWN;
    }
    g_strlcpy(record->id, endpoint->incarnations[0].id, sizeof(record->id));
    record->started_ms = endpoint->incarnations[0].started_ms;
    while (admission_next_open_flow(&agent->admission, &at, &flow, &seq)) {
        flow_record_add(record, flow, seq);
    }
    return RECORD_ENDPOINT_HEARD;
}

static void
on_reset(struct record_writer *writer, const struct flow_record *ended)
{
    struct relay_agent *agent = agent_of_writer(writer);
    unsigned reset = 0;

    for (unsigned i = 0; i < ended->count; i++) {
        reset += admission_reset_ended(&agent->admission, ended->flows[i].flow,
                                       ended->flows[i].seq);
    }
    agent->records->reset += reset;
    event_log_write(&agent->log, EVENT_UNLIMITED, "recorded_flows_reset",
                    "flows=%u recorded=%u id=%s", reset, ended->count,
                    ended->id);
}

static void
on_report(struct record_writer *writer, enum record_event event,
          const struct flow_record *record)
{
    struct relay_agent *agent = agent_of_writer(writer);
    bool is_error =
        event == RECORD_EVENT_FOREIGN || event == RECORD_EVENT_GIVEN_UP;
    bool is_frequent =
        event == RECORD_EVENT_WRITTEN || event == RECORD_EVENT_FAILED;

    agent->records->events[event]++;
    event_log_write(&agent->log,
                    is_frequent ? EVENT_RATE_LIMITED : EVENT_UNLIMITED,
                    is_error ? "flow_record_error" : "flow_record",
                    "result=%s flows=%u left_out=%u id=%s", event_names[event],
                    record->count, record->left_out, record->id);
}

static const struct record_writer_ops writer_ops = {on_collect, on_reset,
                                                    on_report};

int
relay_agent_records_start(struct relay_agent *agent, uint64_t now_us)
{
    struct relay_agent_records *records;

    if (!agent->settings.flow_records) {
        return 0;
    }
    records = g_new0(struct relay_agent_records, 1);
    agent->records = records;
    records->agent = agent;
    records->store = object_store_new(agent->loop.base, agent->settings.store);
    if (records->store == NULL) {
        return -ENOMEM;
    }
    record_writer_init(&records->writer, &writer_ops, records->store,
                       agent->frames.addr, now_us);
    return 0;
}

void
relay_agent_records_finish(struct relay_agent *agent)
{
    if (agent->records != NULL && agent->records->store != NULL) {
        agent->records->store->ops->free(agent->records->store);
    }
    g_free(agent->records);
}

/* Takes from the registration's calls what saves calls for the record. Returns
 * whether its first read has ended. */
static bool
follow_registration(struct relay_agent *agent, uint64_t now_us)
{
    const struct registration_writer *registration = &agent->registration;
    struct record_writer *writer = &agent->records->writer;

    if (registration->missing) {
        record_writer_skip_read(writer);
    }
    if (registration->revision != 0) {
        record_writer_set_revision(writer, registration->revision, now_us);
    }
    return registration->step != REGISTRATION_READ || registration->reads > 0;
}

uint64_t
relay_agent_records_tick(struct relay_agent *agent, uint64_t now_us)
{
    if (agent->records == NULL || !follow_registration(agent, now_us)) {
        return UINT64_MAX;
    }
    record_writer_set_epoch(&agent->records->writer,
                            agent->admission.store.latest.epoch);
    record_writer_tick(&agent->records->writer, now_us);
    dgram_flush(&agent->frames);
    return record_writer_next_us(&agent->records->writer);
}

void
relay_agent_records_metrics(const struct relay_agent *agent, GString *text)
{
    const struct relay_agent_records *records = agent->records;

    if (records == NULL) {
        return;
    }
    for (size_t i = 0; i < RECORD_EVENT_COUNT; i++) {
        g_string_append_printf(
            text, "swiftarch_flow_records_total{result=\"%s\"} %" PRIu64 "\n",
            event_names[i], records->events[i]);
    }
    g_string_append_printf(text,
                           "swiftarch_recorded_flows %u\n"
                           "swiftarch_unrecorded_flows %u\n"
                           "swiftarch_recorded_flows_reset_total %" PRIu64
                           "\n",
                           records->writer.stored.count,
                           records->writer.stored.left_out, records->reset);
}

void
relay_agent_records_state(const struct relay_agent *agent,
                          struct json_object *state)
{
    const struct relay_agent_records *records = agent->records;

    if (records == NULL) {
        return;
    }
    json_object_object_add(
        state, "recorded_flows",
        json_object_new_int64(records->writer.stored.count));
    json_object_object_add(state, "recorded_flows_reset",
                           json_object_new_int64((int64_t)records->reset));
}
