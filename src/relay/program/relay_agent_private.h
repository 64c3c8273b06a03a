/**
 * DOC: relay_agent_private - what the parts of the program share
 *
 * relay_agent starts, stops and keeps time; _out carries decisions and
 * datagrams, _http takes heartbeats and answers calls.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_RELAY_AGENT_PRIVATE_H
#define SWIFTARCH_RELAY_PROGRAM_RELAY_AGENT_PRIVATE_H

#include "base/event_log.h"
#include "base/httpd.h"
#include "relay/program/dgram.h"
#include "relay/admission/admission.h"
#include "relay/program/loop.h"
#include "relay/store/registration.h"
#include "relay/program/probe.h"
#include "relay/program/relay_settings.h"
#include "relay/program/settings_file.h"

/** enum heartbeat_refusal - why a heartbeat wasn't believed */
enum heartbeat_refusal {
    HEARTBEAT_REFUSED_NO_JSON,
    HEARTBEAT_REFUSED_NO_SERVICE,
    HEARTBEAT_REFUSED_NO_STATE,
    HEARTBEAT_REFUSED_WRONG_FIELD,
    HEARTBEAT_REFUSED_OTHER_SERVICE, /* of a service that isn't the endpoint's
                                        here */
    HEARTBEAT_REFUSED_STALE,         /* of a start before the current one */
    HEARTBEAT_ACCEPTED,              /* it was believed */
};

/**
 * struct relay_agent - the program
 * @loop: events and time
 * @out: outputs of @admission
 * @settings: settings
 * @file: the file that they are from
 * @admission: decisions
 * @frames: frames, and packets to callers
 * @outbound: packets from and to the endpoint
 * @ready_handler: answers /ready and /metrics
 * @ready: its listener
 * @metrics: a second one, or NULL
 * @heartbeat_handler: answers the endpoint's heartbeats
 * @heartbeats: its listener
 * @store: connection to the store
 * @registration: writes the agent's object
 * @probe: asks whether the endpoint's process is there
 * @log: lines on standard output
 * @started_us: when the program started
 * @stop_us: when the planned stop began, 0 for none
 * @packet_us: when the last packet came
 * @flush_us: when the log is written next
 * @last_refusal: why the last heartbeat wasn't believed
 * @counts: packets and frames
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
    struct probe probe;
    struct event_log log;
    uint64_t started_us;
    uint64_t stop_us;
    uint64_t packet_us;
    uint64_t flush_us;
    enum heartbeat_refusal last_refusal;
    struct {
        uint64_t to_endpoint;
        uint64_t to_caller;
        uint64_t frames_in;
        uint64_t frames_forwarded;
        uint64_t heartbeats;
        uint64_t refused_heartbeats[HEARTBEAT_ACCEPTED];
        uint64_t established;
        uint64_t queued;
        uint64_t resets;
        uint64_t orphan_queries;
        uint64_t redirected[FRAME_REASON_MAX + 1];
        uint64_t dropped[ADMISSION_DROP_COUNT];
    } counts;
};

/* In words, by enum frame_reason, enum endpoint_state, enum admission_drop. */
extern const char *const relay_agent_reason_names[];
extern const char *const relay_agent_state_names[];
extern const char *const relay_agent_drop_names[];

extern const struct probe_ops relay_agent_probe_ops;
extern const struct admission_out_ops relay_agent_out_ops;
extern const struct dgram_ops relay_agent_frames_ops;
extern const struct dgram_ops relay_agent_outbound_ops;
extern const struct httpd_ops relay_agent_heartbeat_ops;
extern const struct httpd_ops relay_agent_ready_ops;

/** relay_agent_flush() - send what is queued, and mind what is due next */
void
relay_agent_flush(struct relay_agent *agent);

#endif
