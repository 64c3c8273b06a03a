/**
 * DOC: config_peer - what balancers tell each other when the store can't
 *
 * A balancer serves the configuration that it follows and the agents that it
 * knows. One that has none, or has heard of a newer one, asks: first whoever
 * is known to have it, then the hosts that its settings name.
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

#define CONFIG_PEER_PATH "/share"

/* Query of a call that wants the configuration alone. */
#define CONFIG_PEER_CONFIG_ONLY "config"

struct config_peer;

/** struct config_peer_ops - what the owner is told */
struct config_peer_ops {
    /** @config: a peer's configuration; NULL when it has none */
    void (*config)(struct config_peer *config_peer,
                   struct json_object *config);
    /** @agent: an agent that a peer knows */
    void (*agent)(struct config_peer *config_peer, struct addr addr,
                  uint32_t service, const char *data_centre);
    /** @replied: a peer replied (0), or why it didn't */
    void (*replied)(struct config_peer *config_peer, struct addr peer,
                    int status);
};

/**
 * struct config_peer - asks peers; the vtable comes first
 * @ops: the owner
 * @call: the open call
 * @base: events
 * @httpc: connection to the peer that is asked
 * @peer: that peer
 * @peers: hosts to ask in next_peer
 * @peer_count: how many
 * @next_peer: which is next
 * @next_us: when the next may be asked
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

/** config_peer_init() - nobody to ask yet; @seed differs between processes, so
 * that they don't all ask the same peer first */
void
config_peer_init(struct config_peer *config_peer,
                 const struct config_peer_ops *ops, struct event_base *base,
                 uint64_t seed);

/** config_peer_set_peers() - ask @peers from now on, but never @self */
void
config_peer_set_peers(struct config_peer *config_peer,
                      const struct addr *peers, size_t count,
                      struct addr self);

/** config_peer_finish() - end the open call */
void
config_peer_finish(struct config_peer *config_peer);

/** config_peer_query_config() - ask @peer for its configuration alone, unless
 * a call is open or was just made: many ask the few that have a new one first
 */
void
config_peer_query_config(struct config_peer *config_peer, struct addr peer,
                         uint64_t now_us);

/** config_peer_query_next() - ask the next of the hosts in the settings for
 * all that it knows */
void
config_peer_query_next(struct config_peer *config_peer, uint64_t now_us);

/** config_peer_encode() - what a balancer answers; @config may be NULL, and
 * @agents where they aren't wanted */
struct json_object *
config_peer_encode(struct json_object *config, const struct agents *agents);

#endif
