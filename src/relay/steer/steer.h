/**
 * DOC: steer - what a balancer does with each packet (decisions only)
 *
 * A caller's SYN goes to the agent that seems best; the agent answers that
 * its endpoint holds the flow, and the balancer pins the flow to it. An
 * agent that doesn't answer within milliseconds costs one more try
 * elsewhere, long before the caller sends a copy. A packet of a flow that is
 * not pinned here (the fabric moved it) travels along the agents that may
 * hold it until one does, which then tells.
 *
 * Every output goes through struct steer_out; there is no socket and no
 * clock inside.
 */
#ifndef SWIFTARCH_RELAY_STEER_STEER_H
#define SWIFTARCH_RELAY_STEER_STEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "relay/steer/agents.h"
#include "relay/wire/flow_index.h"
#include "relay/wire/frame.h"
#include "relay/wire/packet.h"
#include "relay/steer/routes.h"
#include "relay/steer/syn_queue.h"

/* Endpoints that answered one SYN, at most: one for each try that was only
 * slow; more are not remembered. */
#define STEER_PLACES_MAX 2

/* Flows that a balancer remembers: hundreds of thousands at full size, 248
 * bytes each, and pages that were never used cost nothing. */
#define STEER_FLOWS_MAX (1u << 18)

/** enum steer_drop - why a packet wasn't carried */
enum steer_drop {
    STEER_DROP_MALFORMED, /* no packet, or one that no caller sends */
    STEER_DROP_NO_CONFIG, /* no configuration is known yet */
    STEER_DROP_NO_ROUTE,  /* nothing stands at that address */
    STEER_DROP_NO_AGENT,  /* its service has no agent that might take it */
    STEER_DROP_EVACUATED, /* all agents of its service are in evacuated data
                           * centres */
    STEER_DROP_FOREIGN,   /* a frame that is none of ours */
    STEER_DROP_COUNT,
};

/** enum steer_did - what became of a flow */
enum steer_did {
    STEER_DID_SEND,   /* its SYN went to an agent */
    STEER_DID_PLACE,  /* an agent says that its endpoint holds it */
    STEER_DID_RESET,  /* no endpoint holds it, and its caller is told */
    STEER_DID_SEARCH, /* it is open, and not known where: agents are asked */
};

struct steer_out;
struct steer_round;

/** struct steer_out_ops - what a decision leads to */
struct steer_out_ops {
    /** @carry: send a caller's packet to an agent */
    void (*carry)(struct steer_out *out, struct addr agent,
                  const struct frame_carry *frame);
    /** @reset: tell a caller that its flow is over, or won't open; @seq: what
     * it last acknowledged */
    void (*reset)(struct steer_out *out, struct relay_flow flow, uint32_t seq);
    /** @ping: ask an agent for its word; @unlisted: tell it that the store
     * doesn't name it any more */
    void (*ping)(struct steer_out *out, struct addr agent, bool unlisted);
    /** @ask: ask an agent which of some flows its endpoint holds */
    void (*ask)(struct steer_out *out, struct addr agent,
                const struct frame_ask *ask);
    /** @confirm: ask the store whether the list of agents is whole; the
     * answer comes with steer_confirmed() */
    void (*confirm)(struct steer_out *out, uint64_t now_us);
    /** @behind: some balancer follows a newer configuration */
    void (*behind)(struct steer_out *out, const struct frame_version *newer);
    /** @readers: an agent tells who else reads the store's latest */
    void (*readers)(struct steer_out *out, struct frame_readers others);
    /** @dropped: a packet was dropped; @packet may be NULL */
    void (*dropped)(struct steer_out *out, enum steer_drop why,
                    const struct relay_packet *packet);
    /** @decided: a new flow was sent, sent again, or placed */
    void (*decided)(struct steer_out *out, enum steer_did did,
                    struct relay_flow flow, struct addr agent, unsigned tries,
                    uint64_t age_us);
    /** @concluded: a question about lost flows has ended; @over of them are
     * held by nobody */
    void (*concluded)(struct steer_out *out, const struct steer_round *round,
                      unsigned over);
};

/** struct steer_out - where outputs go; the vtable comes first */
struct steer_out {
    const struct steer_out_ops *ops;
};

struct steer_pin;
struct steer_wait;

/* Agents that one question goes to at most: at 1 ms each, as many as can be
 * asked while a caller waits for its flow. */
#define STEER_ASK_AGENTS_MOST 1500

/* Stands for all services; no service's hash is 0. */
#define STEER_ANY_SERVICE 0

/* Flows that are waited for at a time; the next packet of one that found no
 * room brings it again. */
#define STEER_LOST_MAX 1024

/**
 * struct steer_lost_flow - a flow that its callers send on and no search found
 * @handle: its pin
 * @flow: its key, as the pin may be another's by now
 * @since_us: when it was looked for first
 */
struct steer_lost_flow {
    uint32_t handle;
    struct relay_flow flow;
    uint64_t since_us;
};

/**
 * struct steer_round - one question to all agents that may hold some flows
 * @number: names it
 * @open: it waits for answers
 * @service: whose agents, STEER_ANY_SERVICE for all
 * @started_us: when it was asked
 * @changes: of the agents until then: one that has come since wasn't asked
 * @confirmed: the list of agents was whole after that
 * @questions: agents that were asked
 * @answers: those that have answered
 * @asked: agents that were not silent before, or have answered
 * @missing: those of them that haven't answered
 * @unreachable: the others, and those whose endpoints are silent
 * @listed: the store is asked, or needn't be
 * @due_us: how long silent agents are waited for
 * @flows: what was asked for
 * @count: how many
 * @absent: a bit for each that nobody has claimed so far
 */
struct steer_round {
    uint32_t number;
    bool open;
    uint32_t service;
    uint64_t started_us;
    uint64_t changes;
    bool confirmed;
    unsigned questions;
    unsigned answers;
    bool listed;
    uint64_t due_us;
    unsigned asked;
    unsigned missing;
    unsigned unreachable;
    struct steer_lost_flow flows[FRAME_ASK_MAX];
    unsigned count;
    uint32_t absent[FRAME_ASK_WORDS];
};

/**
 * struct steer_lost - flows that may be held by nobody
 * @flows: the flows
 * @count: how many
 * @round: the question that is open, or was last
 * @gap_us: pause between two questions
 * @next_us: when the next may be asked
 */
struct steer_lost {
    struct steer_lost_flow flows[STEER_LOST_MAX];
    unsigned count;
    struct steer_round round;
    uint64_t gap_us;
    uint64_t next_us;
};

/**
 * struct steer_warming - an endpoint that warms up may get in any second its
 * service's rate times @over, and @slack requests
 */
struct steer_warming {
    double over;
    unsigned slack;
};

/**
 * struct steer - state of a balancer
 * @out: where outputs go
 * @self: address that agents answer to
 * @reader: this balancer's part in reading the store's latest
 * @warming: how far operators let the rate of a cold endpoint be passed
 * @current: no newer configuration can have been known to others for long
 * @agents: the agents
 * @routes: configuration in force
 * @learned: what agents saw, used while there is no configuration
 * @flows: keys of the pins
 * @pins: a pin for each handle
 * @trip_us: how long agents take to answer a new flow, the slower ones
 * @waits: SYNs whose agent hasn't answered, in the order they fall due
 * @wait_first: first of them
 * @wait_count: how many
 * @early: SYNs that came before anybody was known to take them
 * @lost: open flows that no search has found
 */
struct steer {
    struct steer_out *out;
    struct addr self;
    enum frame_reader reader;
    struct steer_warming warming;
    bool current;
    struct agents agents;
    struct routes routes;
    struct routes learned;
    struct flow_index flows;
    struct steer_pin *pins;
    uint64_t trip_us;
    struct steer_wait *waits;
    uint32_t wait_first;
    uint32_t wait_count;
    struct syn_queue early;
    struct steer_lost lost;
};

/** steer_init() - nothing known yet; 0 or -ENOMEM */
int
steer_init(struct steer *steer, struct steer_out *out, struct addr self,
           const char *data_centre);

/** steer_finish() - free the memory */
void
steer_finish(struct steer *steer);

/**
 * steer_routes() - follow a configuration
 *
 * Takes over @routes. One that is not newer is freed and changes nothing: a
 * process never goes back. Open flows stay where they are.
 *
 * Return: whether it is in force now.
 */
bool
steer_routes(struct steer *steer, struct routes *routes, uint64_t now_us);

/**
 * steer_served() - an agent's endpoint serves addresses
 *
 * Where data centres lie in several regions, a learned address is served only
 * in those whose endpoints have served it before: it may have homes.
 *
 * Counts only while no configuration is known: callers of a site that lost
 * every process while the store is away are served all the same.
 */
void
steer_served(struct steer *steer, struct addr agent,
             const struct frame_served *served);

/** steer_store_view() - how this balancer keeps up with the store, for
 * frames */
struct frame_store_view
steer_store_view(const struct steer *steer);

/** steer_ping_witnesses() - tell and ask agents who reads the store */
void
steer_ping_witnesses(struct steer *steer);

/**
 * steer_evacuations() - which data centres take no new flow
 * @first: told by the store, not by another host: the agents there may not
 * know it yet and are told
 *
 * Return: whether that has changed.
 */
bool
steer_evacuations(struct steer *steer, const struct evacuations *told,
                  bool first, uint64_t now_us);

/** steer_packet() - a caller's packet came */
void
steer_packet(struct steer *steer, const struct relay_packet *packet,
             uint64_t now_us);

/** steer_status() - an agent's word came */
void
steer_status(struct steer *steer, struct addr agent,
             const struct frame_status *status, uint64_t now_us);

/** steer_absent() - an agent answered which flows its endpoint doesn't hold */
void
steer_absent(struct steer *steer, struct addr agent,
             const struct frame_absent *absent, uint64_t now_us);

/** steer_confirmed() - the store, asked at @asked_us, says that the list of
 * agents is whole */
void
steer_confirmed(struct steer *steer, uint64_t asked_us, uint64_t now_us);

/** steer_tick() - do what is due; call it at steer_next_us() or later */
void
steer_tick(struct steer *steer, uint64_t now_us);

/** steer_next_us() - when steer_tick() is due next; UINT64_MAX for never */
uint64_t
steer_next_us(const struct steer *steer);

/** steer_ready() - whether callers are served: a configuration is known, and
 * an agent for at least one service in it */
bool
steer_ready(const struct steer *steer);

/**
 * struct steer_explanation - what is known of one flow
 * @route: its route, NULL for none; valid until the next configuration
 * @service: service that it goes to
 * @known: its packets came here, or an agent told of it
 * @opened: its caller has sent more than its SYN
 * @held: its SYN waits at @holder until a slot is free
 * @holder: agent that had its packets last; address 0 for none
 * @tries: agents that its SYN was sent to
 * @searches: how often it was looked for
 * @age_us: since it is known
 * @places: agents whose endpoints answered its SYN
 * @place_count: how many
 * @evacuated: all agents of its service are in evacuated data centres: a new
 *             flow is refused
 * @next: agents that a new flow of the same ends would go to, best first
 */
struct steer_explanation {
    const struct route *route;
    uint32_t service;
    bool known;
    bool opened;
    bool held;
    struct addr holder;
    unsigned tries;
    unsigned searches;
    uint64_t age_us;
    struct addr places[STEER_PLACES_MAX];
    unsigned place_count;
    bool evacuated;
    struct agents_choice next;
};

/** steer_explain() - tell what is known of a flow; changes nothing */
void
steer_explain(const struct steer *steer, struct relay_flow flow,
              uint64_t now_us, struct steer_explanation *told);

#endif
