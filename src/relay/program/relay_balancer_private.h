/**
 * DOC: relay_balancer_private - state shared by the files of the balancer
 * process
 *
 * relay_balancer.c starts, ticks and stops the process; relay_balancer_out.c
 * receives datagrams and implements forwarder's outputs;
 * relay_balancer_store.c applies configuration and agents from the store and
 * from peers; relay_balancer_evacuations.c applies evacuated data centres;
 * relay_balancer_limits.c follows and enforces the operators' limits;
 * relay_balancer_http.c serves metrics, state and peers over HTTP.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_RELAY_BALANCER_PRIVATE_H
#define SWIFTARCH_RELAY_PROGRAM_RELAY_BALANCER_PRIVATE_H

#include "base/event_log.h"
#include "base/httpd.h"
#include "relay/store/confirm.h"
#include "relay/program/dgram.h"
#include "relay/store/watcher.h"
#include "relay/store/store_reader.h"
#include "relay/program/loop.h"
#include "relay/program/relay_settings.h"
#include "relay/program/settings_file.h"
#include "relay/program/config_peer.h"
#include "relay/forwarder/forwarder.h"
#include "relay/limits/limits.h"
#include "relay/overload/overload.h"
#include "relay/program/relay_pressure.h"

/**
 * struct relay_balancer - state of the balancer process
 * @loop: event loop
 * @out: outputs of @forwarder
 * @settings: settings in force
 * @file: the settings file, watched for changes
 * @forwarder: forwarding decisions
 * @overload: decides on new flows under pressure; used if the setting is on
 * @data: socket for packets of callers
 * @frames: socket for frames to and from agents
 * @ready_handler: serves /ready, /metrics, /state and /flow
 * @ready: listener of @ready_handler
 * @metrics: a second listener of @ready_handler, or NULL
 * @config_peer_handler: serves queries of peers
 * @config_peer_httpd: listener of @config_peer_handler
 * @stores: connections to the store, one for each watcher and for @confirm
 * @config_watcher: follows the configuration
 * @reader: decides whether this balancer is a store reader
 * @agents_watcher: follows the agents' objects
 * @evacuations_watcher: follows the evacuated data centres
 * @evacuated: names of evacuated data centres (a set)
 * @gate: asks @limits about new flows
 * @limits: operators' limits in force
 * @limits_watcher: follows the operators' limits
 * @limits_absent: the store doesn't hold the object, as far as has been read
 * @limits_read: the limits have been read from the store
 * @confirm: confirms that the list of agents is complete
 * @foreign_objects: names of agents' objects that are foreign (a set)
 * @config_peer: queries peers
 * @config: configuration in force as JSON, or NULL
 * @log: event log on standard output
 * @started_us: when the process started
 * @stop_us: when the planned stop began, 0 for none
 * @packet_us: when the last packet of a caller arrived
 * @flush_us: when the log is flushed next
 * @was_ready: readiness at the last check
 * @ready_us: when @was_ready last changed
 * @counts: counters for /metrics
 */
struct relay_balancer {
    struct loop loop;
    struct forwarder_out out;
    struct relay_settings settings;
    struct settings_file file;
    struct forwarder forwarder;
    struct overload overload;
    struct dgram data;
    struct dgram frames;
    struct httpd_handler ready_handler;
    struct httpd *ready;
    struct httpd *metrics;
    struct httpd_handler config_peer_handler;
    struct httpd *config_peer_httpd;
    struct store *stores[5];
    struct watcher config_watcher;
    struct store_reader reader;
    struct watcher agents_watcher;
    struct watcher evacuations_watcher;
    GHashTable *evacuated;
    struct forwarder_gate gate;
    struct limits limits;
    struct watcher limits_watcher;
    bool limits_absent;
    bool limits_read;
    struct confirm confirm;
    GHashTable *foreign_objects;
    struct config_peer config_peer;
    struct json_object *config;
    struct event_log log;
    uint64_t started_us;
    uint64_t stop_us;
    uint64_t packet_us;
    uint64_t flush_us;
    bool was_ready;
    uint64_t ready_us;
    struct {
        uint64_t packets;
        uint64_t frames_out;
        uint64_t opened;
        uint64_t flows_retried;
        uint64_t established;
        uint64_t lookups_started;
        uint64_t pings;
        uint64_t resets;
        uint64_t agent_objects_refused;
        uint64_t orphan_queries;
        uint64_t dropped[FORWARDER_DROP_COUNT];
        uint64_t levels[ENDPOINT_LEVEL_COUNT];
    } counts;
};

/* Names of enum forwarder_drop in metrics and log lines. */
extern const char *const relay_balancer_drop_names[];

extern const struct forwarder_out_ops relay_balancer_out_ops;
extern const struct dgram_ops relay_balancer_data_ops;
extern const struct dgram_ops relay_balancer_frames_ops;
extern const struct watcher_ops relay_balancer_config_ops;
extern const struct watcher_ops relay_balancer_agents_ops;
extern const struct watcher_ops relay_balancer_evacuations_ops;
extern const struct watcher_ops relay_balancer_limits_ops;
extern const struct forwarder_gate_ops relay_balancer_gate_ops;
extern const struct confirm_ops relay_balancer_confirm_ops;
extern const struct config_peer_ops relay_balancer_config_peer_ops;
extern const struct httpd_ops relay_balancer_ready_ops;
extern const struct httpd_ops relay_balancer_config_peer_httpd_ops;

/**
 * relay_balancer_apply_evacuations() - apply the evacuated data centres and
 * the store's epoch
 * @latest: as read from the store or reported by an agent
 * @source: "store" or "agent", for the log
 *
 * A later epoch restarts all watchers.
 */
void
relay_balancer_apply_evacuations(struct relay_balancer *balancer,
                                 const struct evacuations *latest,
                                 const char *source);

/** relay_balancer_evacuations_tick() - start the store call that is due */
void
relay_balancer_evacuations_tick(struct relay_balancer *balancer,
                                uint64_t now_us);

/** relay_balancer_evacuations_next_us() - when the next store call is due,
 * UINT64_MAX for never */
uint64_t
relay_balancer_evacuations_next_us(const struct relay_balancer *balancer,
                                   uint64_t now_us);

/** relay_balancer_limits_tick() - update the time of the limits and start the
 * store call that is due; nothing if the setting is off */
void
relay_balancer_limits_tick(struct relay_balancer *balancer, uint64_t now_us);

/** relay_balancer_limits_next_us() - when the next store call is due,
 * UINT64_MAX for never */
uint64_t
relay_balancer_limits_next_us(const struct relay_balancer *balancer);

/**
 * relay_balancer_store_ended() - a watcher's call to the store ended
 * @status: 0 or a negative errno
 * @changed: the store has become reachable or unreachable, which is logged
 *
 * Applies the store's epoch and schedules the next tick.
 */
void
relay_balancer_store_ended(struct relay_balancer *balancer,
                           const struct watcher *watcher, int status,
                           bool changed);

/** relay_balancer_log_readiness() - log a change of readiness */
void
relay_balancer_log_readiness(struct relay_balancer *balancer);

#endif
