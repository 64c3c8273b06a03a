/**
 * DOC: relay_balancer_private - what the parts of the program config_peer
 *
 * relay_balancer starts, stops and keeps time; _out carries decisions and
 * datagrams, _store what the store and peers say, _evacuations which data
 * centres are out of service, _http answers calls.
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

/**
 * struct relay_balancer - the program
 * @loop: events and time
 * @out: outputs of @forwarder
 * @settings: settings
 * @file: the file that they are from
 * @forwarder: decisions
 * @data: packets of callers
 * @frames: frames from agents
 * @ready_handler: answers /ready and /metrics
 * @ready: its listener
 * @metrics: a second one, or NULL
 * @config_peer_handler: answers peers
 * @config_peer_httpd: its listener
 * @stores: connections to the store, one for each below
 * @confirm: asks whether the list of agents is whole
 * @config_watcher: the operators' configuration
 * @reader: how new its reads must be
 * @agents_watcher: the agents' objects
 * @evacuations_watcher: data centres that operators take out of service
 * @evacuated: their names, as a set
 * @malformed_objects: names of agents' objects that can't be read
 * @config_peer: asks peers
 * @config: configuration in force, as it was read
 * @log: lines on standard output
 * @started_us: when the program started
 * @stop_us: when the planned stop began, 0 for none
 * @packet_us: when the last packet came
 * @flush_us: when the log is written next
 * @was_ready: whether callers were served at the last look
 * @ready_us: since when, if they are
 * @counts: packets and frames
 */
struct relay_balancer {
    struct loop loop;
    struct forwarder_out out;
    struct relay_settings settings;
    struct settings_file file;
    struct forwarder forwarder;
    struct dgram data;
    struct dgram frames;
    struct httpd_handler ready_handler;
    struct httpd *ready;
    struct httpd *metrics;
    struct httpd_handler config_peer_handler;
    struct httpd *config_peer_httpd;
    struct store *stores[4];
    struct watcher config_watcher;
    struct store_reader reader;
    struct watcher agents_watcher;
    struct watcher evacuations_watcher;
    GHashTable *evacuated;
    struct confirm confirm;
    GHashTable *malformed_objects;
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
        uint64_t unreadable;
        uint64_t queried;
        uint64_t dropped[FORWARDER_DROP_COUNT];
    } counts;
};

/* Why packets end here, in words, by enum forwarder_drop. */
extern const char *const relay_balancer_drop_names[];

extern const struct forwarder_out_ops relay_balancer_out_ops;
extern const struct dgram_ops relay_balancer_data_ops;
extern const struct dgram_ops relay_balancer_frames_ops;
extern const struct watcher_ops relay_balancer_config_ops;
extern const struct watcher_ops relay_balancer_agents_ops;
extern const struct watcher_ops relay_balancer_evacuations_ops;
extern const struct confirm_ops relay_balancer_confirm_ops;
extern const struct config_peer_ops relay_balancer_config_peer_ops;
extern const struct httpd_ops relay_balancer_ready_ops;
extern const struct httpd_ops relay_balancer_config_peer_httpd_ops;

/**
 * relay_balancer_apply_evacuations() - the store or an agent told which data
 * centres are evacuated
 */
void
relay_balancer_apply_evacuations(struct relay_balancer *balancer,
                                 const struct evacuations *told,
                                 const char *source);

/** relay_balancer_evacuations_tick() - make the call that is due */
void
relay_balancer_evacuations_tick(struct relay_balancer *balancer,
                                uint64_t now_us);

/** relay_balancer_evacuations_next_us() - when that is, UINT64_MAX for never
 */
uint64_t
relay_balancer_evacuations_next_us(const struct relay_balancer *balancer,
                                   uint64_t now_us);

/** relay_balancer_store_ended() - a call to the store ended: minds what is due
 * next, and logs whether the store answers again, or no more, if @changed */
void
relay_balancer_store_ended(struct relay_balancer *balancer,
                           const struct watcher *watcher, int status,
                           bool changed);

/** relay_balancer_log_readiness() - tell in the log when readiness has changed
 */
void
relay_balancer_log_readiness(struct relay_balancer *balancer);

#endif
