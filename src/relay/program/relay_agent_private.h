/**
 * DOC: relay_agent_private - state shared by the files of the agent process
 *
 * relay_agent.c starts, ticks and stops the process; relay_agent_out.c
 * receives datagrams and implements admission's outputs; relay_agent_http.c
 * serves heartbeats, metrics and state over HTTP; relay_agent_schedule.c
 * counts and logs scheduled requests; relay_agent_records.c keeps the record
 * of open flows.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_RELAY_AGENT_PRIVATE_H
#define SWIFTARCH_RELAY_PROGRAM_RELAY_AGENT_PRIVATE_H

#include <glib.h>

#include "base/event_log.h"
#include "base/httpd.h"
#include "relay/program/dgram.h"
#include "relay/admission/admission.h"
#include "relay/program/loop.h"
#include "relay/scheduler/wait_histogram.h"
#include "relay/records/record_writer.h"
#include "relay/store/registration.h"
#include "relay/program/probe.h"
#include "relay/program/relay_settings.h"
#include "relay/program/settings_file.h"

/** enum heartbeat_refusal - why a heartbeat was refused */
enum heartbeat_refusal {
    HEARTBEAT_REFUSED_NO_JSON,
    HEARTBEAT_REFUSED_NO_SERVICE,
    HEARTBEAT_REFUSED_NO_STATE,
    HEARTBEAT_REFUSED_WRONG_FIELD,
    HEARTBEAT_REFUSED_OTHER_SERVICE, /* not the service in the settings */
    HEARTBEAT_REFUSED_OTHER_ADDRESS, /* not the endpoint's in the settings */
    HEARTBEAT_REFUSED_STALE,         /* of an earlier incarnation */
    HEARTBEAT_ACCEPTED,              /* not refused; also the array size */
};

struct relay_agent;

/**
 * struct relay_agent_records - the record of open flows
 * @agent: the agent
 * @store: connection to the store for the record
 * @writer: reads and writes the record
 * @events: counters for /metrics
 * @reset: flows of the record that were reset
 */
struct relay_agent_records {
    struct relay_agent *agent;
    struct store *store;
    struct record_writer writer;
    uint64_t events[RECORD_EVENT_COUNT];
    uint64_t reset;
};

/**
 * struct relay_agent_schedule - counters of scheduled requests
 * @held: requests that were held
 * @given: requests given to the endpoint, by reason
 * @rejected: those of them that it rejected
 * @waits: how long they were held
 */
struct relay_agent_schedule {
    uint64_t held;
    uint64_t given[SCHEDULER_REASON_COUNT];
    uint64_t rejected;
    struct wait_histogram waits;
};

/**
 * struct relay_agent - state of the agent process
 * @loop: event loop
 * @out: outputs of @admission
 * @settings: settings in force
 * @file: the settings file, watched for changes
 * @admission: decisions on SYNs and flows
 * @frames: socket for frames and for packets to callers
 * @outbound: socket for packets from and to the endpoint
 * @ready_handler: serves /ready, /metrics, /state and /flow
 * @ready: listener of @ready_handler
 * @metrics: a second listener of @ready_handler, or NULL
 * @heartbeat_handler: serves the endpoint's heartbeats
 * @heartbeats: listener of @heartbeat_handler
 * @store: connection to the store
 * @registration: writes the agent's object to the store
 * @records: the record of open flows, NULL without the setting
 * @probe: checks whether the endpoint's process is listening
 * @log: event log on standard output
 * @started_us: when the process started
 * @stop_us: when the planned stop began, 0 for none
 * @packet_us: when the last packet arrived
 * @flush_us: when the log is flushed next
 * @last_refusal: result of the last heartbeat
 * @schedule: counters of scheduled requests for /metrics
 * @counts: other counters for /metrics
 */
struct relay_agent {
    struct loop loop;
    struct admission_out out;
    struct relay_settings settings;
    struct settings_file file;
    struct admission admission;
    struct dgram frames;
    struct dgram outbound;
    struct httpd_handler ready_handler;
    struct httpd *ready;
    struct httpd *metrics;
    struct httpd_handler heartbeat_handler;
    struct httpd *heartbeats;
    struct store *store;
    struct registration_writer registration;
    struct relay_agent_records *records;
    struct probe probe;
    struct event_log log;
    uint64_t started_us;
    uint64_t stop_us;
    uint64_t packet_us;
    uint64_t flush_us;
    enum heartbeat_refusal last_refusal;
    struct relay_agent_schedule schedule;
    struct {
        uint64_t to_endpoint;
        uint64_t to_caller;
        uint64_t frames_in;
        uint64_t frames_forwarded;
        uint64_t heartbeats;
        uint64_t refused_heartbeats[HEARTBEAT_ACCEPTED];
        uint64_t refused_goodbyes;
        uint64_t established;
        uint64_t queued;
        uint64_t resets;
        uint64_t refused;
        uint64_t orphan_queries;
        uint64_t redirected[FRAME_REASON_MAX + 1];
        uint64_t dropped[ADMISSION_DROP_COUNT];
    } counts;
};

/**
 * relay_agent_heartbeat() - handle a heartbeat of endpoint @id
 *
 * Return: HTTP status of the response.
 */
int
relay_agent_heartbeat(struct relay_agent *agent, const char *id,
                      const char *body, size_t len);

/** relay_agent_goodbye() - handle a goodbye of endpoint @id; returns the HTTP
 * status of the response */
int
relay_agent_goodbye(struct relay_agent *agent, const char *id,
                    const char *body, size_t len);

/* Names in metrics and log lines: enum heartbeat_refusal. */
extern const char *const relay_agent_refusal_names[];

/* Names in metrics and log lines: enum frame_reason, enum endpoint_state and
 * enum admission_drop. */
extern const char *const relay_agent_reason_names[];
extern const char *const relay_agent_state_names[];
extern const char *const relay_agent_drop_names[];

extern const struct probe_ops relay_agent_probe_ops;
extern const struct admission_out_ops relay_agent_out_ops;
extern const struct dgram_ops relay_agent_frames_ops;
extern const struct dgram_ops relay_agent_outbound_ops;
extern const struct httpd_ops relay_agent_heartbeat_ops;
extern const struct httpd_ops relay_agent_ready_ops;

/** relay_agent_flush() - send queued datagrams and schedule the next tick */
void
relay_agent_flush(struct relay_agent *agent);

/** relay_agent_scheduled() - count and log an event of a scheduled request */
void
relay_agent_scheduled(struct relay_agent *agent, struct relay_flow flow,
                      const struct admission_scheduled *scheduled);

/** relay_agent_schedule_metrics() - append the metrics of scheduled requests;
 * none if the settings don't ask for scheduling */
void
relay_agent_schedule_metrics(const struct relay_agent *agent, GString *text);
/** relay_agent_records_start() - start to keep a record of open flows if the
 * settings ask for it; 0 or -ENOMEM */
int
relay_agent_records_start(struct relay_agent *agent, uint64_t now_us);

/** relay_agent_records_finish() - free the record's state, also after a failed
 * start */
void
relay_agent_records_finish(struct relay_agent *agent);

/** relay_agent_records_tick() - do what is due; returns when the next tick is,
 * UINT64_MAX for never */
uint64_t
relay_agent_records_tick(struct relay_agent *agent, uint64_t now_us);

/** relay_agent_records_metrics() - append the record's metrics, if it is kept
 */
void
relay_agent_records_metrics(const struct relay_agent *agent, GString *text);

/** relay_agent_records_state() - add the record's fields to the state, if it
 * is kept */
void
relay_agent_records_state(const struct relay_agent *agent,
                          struct json_object *state);

#endif
