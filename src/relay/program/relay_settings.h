/**
 * DOC: relay_settings - the settings file of a balancer or an agent in relay
 * mode
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_RELAY_SETTINGS_H
#define SWIFTARCH_RELAY_PROGRAM_RELAY_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>

#include "base/addr.h"
#include "base/error.h"
#include "relay/forwarder/agents.h"
#include "relay/forwarder/routes.h"
#include "relay/forwarder/forwarder.h"

#define RELAY_NAME_MAX 64
#define RELAY_PEERS_MAX 8

/** enum relay_role - which process the settings are for */
enum relay_role {
    RELAY_BALANCER,
    RELAY_AGENT,
};

/**
 * struct relay_settings - settings of one process; keys in quotes
 * @name: "name": unique name of the process
 * @data_centre: "data_centre": the process's data centre
 * @data: "data": UDP address for packets of callers; at an agent, for frames
 * @frames: "frames" (balancer): UDP address for frames
 * @ready: "ready": HTTP address of /ready, /metrics, /state and /flow
 * @metrics: "metrics": a second HTTP address of the same, ip 0 for none
 * @config_peer: "share" (balancer): HTTP address for queries of peers
 * @upstream: "upstream" (agent): UDP address at which the endpoint receives
 *            packets
 * @outbound: "outbound" (agent): UDP address to which the endpoint sends
 * @heartbeats: "heartbeats" (agent): HTTP address for heartbeats
 * @heartbeat_ms: "heartbeat_ms" (agent): interval of the endpoint's
 *                heartbeats, 1200 by default
 * @service: "service" (agent): name of the endpoint's service
 * @callers_port: "callers_port" (agent): UDP port at which callers receive
 *                packets; by default the port of @data
 * @frames_port: "frames_port" (agent): UDP port at which all balancers receive
 *               frames; replaces the ports in @peers
 * @store: "store": HTTP address of the platform's store
 * @peers: "peers": addresses on hosts that may run a balancer, for outages of
 *         the store; a balancer queries them for the configuration, an agent
 *         announces itself to them
 * @peer_count: number of @peers
 * @regions: "regions" (balancer): region of each data centre; routes may be
 *           limited to regions
 * @evacuations: "evacuations" (balancer): follow the evacuated data centres in
 *               the store; true by default
 * @slow_start: "warming_over" and "warming_slack" (balancer): a cold endpoint
 *              may get, in any second, its service's rate times the first (1
 *              by default) plus the second (0 by default) in requests
 * @scheduling: "scheduling" (agent): decide on each request of a flow that
 *              stays open, and report the endpoint's load
 * @flow_records: "flow_records" (agent): keep a record of open flows in the
 *                store, for a loss of all hosts
 * @overload: "overload" (balancer): reject new flows that can't be served in
 *            time, and share room between callers under pressure
 * @caller_prefix_bits: "caller_prefix_bits" (balancer): callers with the same
 *                      first bits of their addresses share as one; 32 by
 *                      default
 * @expected_wait: "expected_wait" (balancer): place new flows by expected wait
 * @limits: "limits" (balancer): follow the operators' limits in the store
 * @stop_ms: "stop_ms": longest duration of a planned stop, in milliseconds
 * @log_per_s: "log_per_s": limit of routine log lines a second
 */
struct relay_settings {
    char name[RELAY_NAME_MAX];
    char data_centre[AGENT_DATA_CENTRE_MAX];
    struct addr data;
    struct addr frames;
    struct addr ready;
    struct addr metrics;
    struct addr config_peer;
    struct addr upstream;
    struct addr outbound;
    struct addr heartbeats;
    unsigned heartbeat_ms;
    char service[ROUTES_NAME_MAX];
    unsigned callers_port;
    unsigned frames_port;
    struct addr store;
    struct addr peers[RELAY_PEERS_MAX];
    size_t peer_count;
    struct regions regions;
    bool evacuations;
    struct forwarder_slow_start slow_start;
    bool scheduling;
    bool flow_records;
    bool overload;
    unsigned caller_prefix_bits;
    bool expected_wait;
    bool limits;
    unsigned stop_ms;
    unsigned log_per_s;
};

/**
 * relay_settings_load() - read and validate a settings file
 * @report: set to all faults, one per line, for g_free(); NULL without faults
 *
 * Return: 0, -EINVAL for an invalid file, or the errno of reading it, negated.
 */
int
relay_settings_load(struct relay_settings *settings, enum relay_role role,
                    const char *path, char **report, struct error *err);

/** relay_settings_read() - relay_settings_load() at the start of a process,
 * which prints faults on standard error */
int
relay_settings_read(struct relay_settings *settings, enum relay_role role,
                    const char *path);

#endif
