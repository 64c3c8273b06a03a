/**
 * DOC: scene - a small site in one process, with the clock stepped by hand
 *
 * Composes the pure cores (route, flow, engine with idem, member, config,
 * apply) with messages that pass as bytes and arrive SCENE_DELAY_US later.
 * There are no sockets, threads or random numbers but seeded ones, so the
 * transcript of a scene is the same everywhere. The callers' TCP is played
 * by hand: a handshake, requests as payload, answers, resets.
 */
#ifndef SWIFTARCH_TESTS_GOLDEN_SCENE_H
#define SWIFTARCH_TESTS_GOLDEN_SCENE_H

#include <glib.h>

#include "agent/addresses.h"
#include "balancer/route.h"
#include "base/clock.h"
#include "cli/apply_core.h"
#include "control/config.h"
#include "control/member.h"
#include "flow/flow.h"
#include "request/engine.h"
#include "service_config/service_config_retire.h"

#define SCENE_HOSTS_MAX 16
#define SCENE_DELAY_US (1 * USEC_PER_MSEC)
#define SCENE_TICK_US (10 * USEC_PER_MSEC)
#define SCENE_RUN_US (5 * USEC_PER_MSEC)
#define SCENE_SLOTS 2

/** Places of a message that are no host */
#define SCENE_CALLER (-1)
#define SCENE_PLATFORM (-2)
#define SCENE_OPERATOR (-3)

/** enum scene_kind - messages; up to SCENE_FAR they go from host to host */
enum scene_kind {
    SCENE_GOSSIP,  /* member message in a datagram */
    SCENE_SYNC,    /* member message on a stream */
    SCENE_ASK,     /* stream: have you a newer configuration? */
    SCENE_CONFIG,  /* stream: answer to it */
    SCENE_PEER,    /* stream: between engines, or pins */
    SCENE_PACKET,  /* encapsulated packet */
    SCENE_FAR,     /* no message: end of those above */
    SCENE_ANSWER,  /* packet to a caller */
    SCENE_READ,    /* the platform's answer to a read or watch */
    SCENE_REFUSED, /* nobody listens there any more */
    SCENE_BROKEN,  /* the peer's connections broke */
    SCENE_RUN_END, /* a run at the own upstream ended */
    SCENE_CALL,    /* an operator's call gets to the platform */
    SCENE_REPLY    /* an answer gets to an operator */
};

/**
 * struct scene_message - something under way
 * @at_us: when it arrives; ties in the order of sending
 * @life: of the process it is for, 0: any
 * @bytes: what it carries, or NULL
 * @a, @b, @status: by kind
 * @what: short readable form
 */
struct scene_message {
    uint64_t at_us;
    uint64_t seq;
    enum scene_kind kind;
    int from;
    int to;
    unsigned life;
    GBytes *bytes;
    uint64_t a;
    uint64_t b;
    int status;
    char *what;
};

/** struct scene_rule - what befalls the next @count messages from a place to
 * a place: lost, or delayed by @delay_us; "*" is any kind or place, "probe"
 * the gossip that carries no news */
struct scene_rule {
    char *kind;
    char *from;
    char *to;
    unsigned count;
    uint64_t delay_us;
};

/** struct scene_flow - a caller's flow; @acked 0 before an answer to SYN */
struct scene_flow {
    struct packet key;
    uint32_t next_seq;
    uint32_t acked;
    GBytes *last;
};

/** struct scene_conn - a flow in the stack of its owner */
struct scene_conn {
    struct scene_flow *flow;
    uint32_t expected;
};

/** struct scene_request - a caller's request; its id is its index plus one */
struct scene_request {
    struct scene_flow *flow;
    int host;
    char *text;
    unsigned runs;
    bool gone; /* its caller went away, or has its answer */
};

/** struct scene_host - one process; @bytes: answers it holds, by request */
struct scene_host {
    char name[VIEW_NAME_MAX];
    char service[SERVICE_CONFIG_NAME_MAX];
    bool agent;
    bool up;
    bool frozen;
    bool holds; /* its upstream answers only when told to */
    unsigned life;
    enum member_state state;
    struct addr data;
    struct addr control;
    uint64_t start;
    struct member_core members;
    struct member_actions out;
    struct config_core config;
    struct service_config *text;
    struct view *view;
    uint64_t load_us;
    int conn; /* whose stream message is being handled */
    int asked;
    struct route_table *table;
    struct flow_table *flows;
    struct engine *engine;
    struct engine_actions actions;
    GHashTable *conns;
    GHashTable *bytes;
    bool linked[SCENE_HOSTS_MAX];
    GQueue inbox;
};

/** struct scene_watch - a watch that waits at the platform */
struct scene_watch {
    int host;
    unsigned life;
    uint64_t after;
    uint64_t until_us;
};

/* The wall clock of operators and agents stands still. */
#define SCENE_WALL_MS UINT64_C(1700000000000)

/** struct scene_apply - one run of "apply" */
struct scene_apply {
    struct apply_core core;
    char *text;
    char author[SERVICE_CONFIG_AUTHOR_MAX];
    unsigned call; /* number of the platform call under way */
    GBytes *seen;  /* value read last */
    char *retired; /* list to publish beside the text, or NULL */
};

/** struct scene - all of it; the transcript grows in @log */
struct scene {
    struct clock_manual clock;
    uint64_t zero_us;
    bool muted;
    unsigned quiet;
    GString *log;
    struct scene_host hosts[SCENE_HOSTS_MAX];
    int count;
    GQueue under_way;
    uint64_t seq;
    GQueue rules;
    GPtrArray *flows;
    GPtrArray *requests;
    uint64_t version;
    GBytes *value;
    bool outage;
    GQueue watches;
    struct scene_apply operators[2];
};

/** scene_init() - an empty site */
void
scene_init(struct scene *scene);

/** scene_finish() - free it */
void
scene_finish(struct scene *scene);

/** scene_now() - time shown, microseconds */
uint64_t
scene_now(struct scene *scene);

/** scene_run_to() - let time pass until @at_us */
void
scene_run_to(struct scene *scene, uint64_t at_us);

/** scene_log() - a line of the transcript */
void
scene_log(struct scene *scene, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** scene_told() - log how many messages without news went since */
void
scene_told(struct scene *scene);

/** scene_send() - @kind from place to place; @bytes and @what are taken */
struct scene_message *
scene_send(struct scene *scene, enum scene_kind kind, int from, int to,
           GBytes *bytes, char *what);

/** scene_delay() - let a message arrive @delay_us from now instead */
void
scene_delay(struct scene *scene, struct scene_message *msg, uint64_t delay_us);

/** scene_heal() - no rules any more */
void
scene_heal(struct scene *scene);

/** scene_place() - name of a place */
const char *
scene_place(const struct scene *scene, int place);

/** scene_find() - host by name, or -1 */
int
scene_find(const struct scene *scene, const char *name);

/** scene_name() - name of member @id */
const char *
scene_name(const struct scene *scene, uint64_t id);

/** scene_start() - a process begins; an agent with a @service, or NULL */
void
scene_start(struct scene *scene, const char *name, const char *service);

/** scene_kill() - a process dies; connections to it break */
void
scene_kill(struct scene *scene, int host);

/** scene_thaw() - a frozen process reads what came, then goes on */
void
scene_thaw(struct scene *scene, int host);

/* scene_control.c */

/** scene_control_init() - the control cores of a process */
void
scene_control_init(struct scene *scene, int host);

/** scene_control_step() - what its control thread does after each event */
void
scene_control_step(struct scene *scene, int host);

/** scene_control_receive() - a control message came */
void
scene_control_receive(struct scene *scene, const struct scene_message *msg);

/** scene_refused() - nobody listens at host msg->a any more */
void
scene_refused(struct scene *scene, const struct scene_message *msg);

/** scene_platform_tick() - end watches whose time is over, or all */
void
scene_platform_tick(struct scene *scene, bool all);

/* scene_apply.c */

/** scene_apply_step() - carry out an action of an operator's run */
void
scene_apply_step(struct scene *scene, int at, struct apply_action action);

/** scene_apply_receive() - a write or an answer of it arrived */
void
scene_apply_receive(struct scene *scene, const struct scene_message *msg);

/* scene_packet.c */

/** scene_packet() - a caller sends SYN, ACK, RST or a request; the last
 * packet again when @payload is NULL */
void
scene_packet(struct scene *scene, const struct packet *key, uint8_t flags,
             const char *payload, int balancer);

/** scene_answer() - an agent's stack sends a packet to the caller of @flow;
 * flags and numbers are those of @packet */
void
scene_answer(struct scene *scene, int host, const struct scene_flow *flow,
             struct packet packet, const char *payload);

/** scene_isn() - initial sequence number that a host's stack uses */
uint32_t
scene_isn(int host);

/** scene_receive_packet() - a packet came to a balancer or an agent */
void
scene_receive_packet(struct scene *scene, const struct scene_message *msg);

/** scene_receive_answer() - a packet came to its caller */
void
scene_receive_answer(struct scene *scene, const struct scene_message *msg);

/* scene_request.c */

/** scene_refresh() - hand a changed view, text or state to the cores */
void
scene_refresh(struct scene *scene, int host);

/** scene_request() - an agent has read a whole request of a flow it owns */
void
scene_request(struct scene *scene, int host, struct scene_flow *flow,
              const char *text);

/** scene_cancel() - the caller of a flow is gone */
void
scene_cancel(struct scene *scene, int host, const struct scene_flow *flow);

/** scene_receive_peer() - a message between engines came */
void
scene_receive_peer(struct scene *scene, const struct scene_message *msg);

/** scene_broken() - the connection to msg->from broke */
void
scene_broken(struct scene *scene, const struct scene_message *msg);

/** scene_request_tick() - what an agent does every SCENE_TICK_US */
void
scene_request_tick(struct scene *scene, int host);

/** scene_run_end() - the upstream ends a run */
void
scene_run_end(struct scene *scene, int host, uint64_t id,
              enum engine_upstream how);

/** scene_act() - carry out what the engine wants */
void
scene_act(struct scene *scene, int host);

#endif
