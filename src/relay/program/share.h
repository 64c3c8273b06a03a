/**
 * DOC: share - what balancers tell each other when the store can't
 *
 * A balancer serves the configuration that it follows and the agents that it
 * knows. One that has none, or has heard of a newer one, asks: first whoever
 * is known to have it, then the hosts that its settings name.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_SHARE_H
#define SWIFTARCH_RELAY_PROGRAM_SHARE_H

#include <event2/event.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/httpc.h"
#include "relay/forwarder/agents.h"
#include "relay/program/relay_settings.h"

#define SHARE_PATH "/share"

/* Query of a call that wants the configuration alone. */
#define SHARE_CONFIG_ONLY "config"

struct share;

/** struct share_ops - what the owner is told */
struct share_ops {
    /** @config: a peer's configuration; NULL when it has none */
    void (*config)(struct share *share, struct json_object *config);
    /** @agent: an agent that a peer knows */
    void (*agent)(struct share *share, struct addr addr, uint32_t service,
                  const char *data_centre);
    /** @answered: a peer answered (0), or why it didn't */
    void (*answered)(struct share *share, struct addr peer, int status);
};

/**
 * struct share - asks peers; the vtable comes first
 * @ops: the owner
 * @call: the open call
 * @base: events
 * @httpc: connection to the peer that is asked
 * @peer: that peer
 * @peers: hosts to ask in turn
 * @peer_count: how many
 * @turn: which is next
 * @next_us: when the next may be asked
 */
struct share {
    const struct share_ops *ops;
    struct httpc_call call;
    struct event_base *base;
    struct httpc *httpc;
    struct addr peer;
    struct addr peers[RELAY_PEERS_MAX];
    size_t peer_count;
    size_t turn;
    uint64_t next_us;
};

/** share_init() - nobody to ask yet; @seed differs between processes, so that
 * they don't all ask the same peer first */
void
share_init(struct share *share, const struct share_ops *ops,
           struct event_base *base, uint64_t seed);

/** share_peers() - ask @peers from now on, but never @self */
void
share_peers(struct share *share, const struct addr *peers, size_t count,
            struct addr self);

/** share_finish() - end the open call */
void
share_finish(struct share *share);

/** share_ask_config() - ask @peer for its configuration alone, unless a call
 * is open or was just made: many ask the few that have a new one first */
void
share_ask_config(struct share *share, struct addr peer, uint64_t now_us);

/** share_ask_next() - ask the next of the hosts in the settings for all that
 * it knows */
void
share_ask_next(struct share *share, uint64_t now_us);

/** share_encode() - what a balancer answers; @config may be NULL, and @agents
 * where they aren't wanted */
struct json_object *
share_encode(struct json_object *config, const struct agents *agents);

#endif
