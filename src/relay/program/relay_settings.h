/**
 * DOC: relay_settings - settings of a balancer or an agent in relay mode
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

/** enum relay_role - program that the file is for */
enum relay_role {
    RELAY_BALANCER,
    RELAY_AGENT,
};

/**
 * struct relay_settings - one process's settings
 * @name: unique name of the process (key "name")
 * @data_centre: key "data_centre"
 * @data: UDP address for packets of callers, at an agent for frames ("data")
 * @frames: balancer: UDP address for frames ("frames")
 * @ready: address of /ready and /metrics ("ready")
 * @metrics: another address of /metrics, ip 0 for none ("metrics")
 * @config_peer: balancer: address where other balancers read the configuration
 *         ("share")
 * @upstream: agent: where its endpoint takes packets ("upstream")
 * @outbound: agent: UDP address that the endpoint sends to ("outbound")
 * @heartbeats: agent: address for the endpoint's heartbeats ("heartbeats")
 * @service: agent: name of the endpoint's service ("service")
 * @callers_port: agent: port at which callers take packets ("callers_port",
 *                default the port of @data)
 * @frames_port: agent: port at which all balancers take frames, in place of
 *               those in @peers ("frames_port")
 * @store: the platform's store ("store")
 * @peers: hosts that may run a balancer, for when the store is away
 *         ("peers"): a balancer asks them for the configuration, an agent
 *         tells them that it is there
 * @peer_count: how many
 * @regions: balancer: in which region each data centre lies ("regions", an
 *           object from names to names): routes may name where they are served
 * @evacuations: balancer: operators may take data centres out of service, so
 *               the store is asked for that ("evacuations", default true)
 * @slow_start: balancer: an endpoint that warms up may get, in any second, its
 *           service's rate times the first ("warming_over", default 1) and so
 *           many requests more ("warming_slack", default 0)
 * @stop_ms: how long a planned stop may take ("stop_ms")
 * @log_per_s: routine lines a second in the log ("log_per_s")
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
    char service[ROUTES_NAME_MAX];
    unsigned callers_port;
    unsigned frames_port;
    struct addr store;
    struct addr peers[RELAY_PEERS_MAX];
    size_t peer_count;
    struct regions regions;
    bool evacuations;
    struct forwarder_slow_start slow_start;
    unsigned stop_ms;
    unsigned log_per_s;
};

/**
 * relay_settings_load() - read and check a settings file
 * @report: gets all faults, one a line (g_free() it), NULL when there are
 *          none
 *
 * Return: 0, -EINVAL, or what reading the file returned.
 */
int
relay_settings_load(struct relay_settings *settings, enum relay_role role,
                    const char *path, char **report, struct error *err);

/** relay_settings_read() - the same at a program's start: faults go to
 * standard error */
int
relay_settings_read(struct relay_settings *settings, enum relay_role role,
                    const char *path);

#endif
