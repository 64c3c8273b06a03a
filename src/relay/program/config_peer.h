/**
 * DOC: config_peer - configuration and agents from another balancer
 *
 * Each balancer serves its configuration and its list of agents over HTTP. A
 * balancer without a configuration queries the peers in its settings in turn
 * while the store doesn't reply. A balancer that is behind queries the one
 * that has advertised a newer configuration.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_CONFIG_PEER_H
#define SWIFTARCH_RELAY_PROGRAM_CONFIG_PEER_H

#include <event2/event.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/httpc.h"
#include "relay/forwarder/agents.h"
#include "relay/program/relay_settings.h"

/* Path of the HTTP resource. */
#define CONFIG_PEER_PATH "/share"

/* Query parameter: the reply leaves out the agents. */
#define CONFIG_PEER_CONFIG_ONLY "config"

struct config_peer;

/** struct config_peer_ops - callbacks into the owner */
struct config_peer_ops {
    /** @config: a peer's configuration, NULL if it has none */
    void (*config)(struct config_peer *config_peer,
                   struct json_object *config);
    /** @agent: an agent in a peer's list */
    void (*agent)(struct config_peer *config_peer, struct addr addr,
                  uint32_t service, const char *data_centre);
    /** @replied: a query ended; @status is 0 or a negative errno */
    void (*replied)(struct config_peer *config_peer, struct addr peer,
                    int status);
};

/**
 * struct config_peer - client that queries peers, one at a time
 * @ops: callbacks into the owner
 * @call: the call in progress
 * @base: event loop
 * @httpc: connection to @peer, or NULL
 * @peer: the peer queried last
 * @peers: peers in the settings, without this balancer
 * @peer_count: number of @peers
 * @next_peer: counter; modulo @peer_count, the index of the next peer
 * @next_us: earliest time of the next query
 */
struct config_peer {
    const struct config_peer_ops *ops;
    struct httpc_call call;
    struct event_base *base;
    struct httpc *httpc;
    struct addr peer;
    struct addr peers[RELAY_PEERS_MAX];
    size_t peer_count;
    size_t next_peer;
    uint64_t next_us;
};

/**
 * config_peer_init() - initialize without peers
 * @seed: differs between processes, so that they start with different peers
 */
void
config_peer_init(struct config_peer *config_peer,
                 const struct config_peer_ops *ops, struct event_base *base,
                 uint64_t seed);

/** config_peer_set_peers() - replace the peers; @self is left out */
void
config_peer_set_peers(struct config_peer *config_peer,
                      const struct addr *peers, size_t count,
                      struct addr self);

/** config_peer_finish() - cancel the call and close the connection */
void
config_peer_finish(struct config_peer *config_peer);

/**
 * config_peer_query_config() - query @peer for its configuration only
 *
 * Does nothing while a call is in progress or shortly after one.
 */
void
config_peer_query_config(struct config_peer *config_peer, struct addr peer,
                         uint64_t now_us);

/**
 * config_peer_query_next() - query the next peer in the settings for its
 * configuration and agents
 *
 * Does nothing while a call is in progress or shortly after one.
 */
void
config_peer_query_next(struct config_peer *config_peer, uint64_t now_us);

/**
 * config_peer_encode() - encode the reply to a query
 * @config: configuration, may be NULL
 * @agents: agents, NULL to leave them out; suspect agents and those whose
 *          endpoint is gone are skipped
 *
 * Return: a new object for json_object_put().
 */
struct json_object *
config_peer_encode(struct json_object *config, const struct agents *agents);

#endif
