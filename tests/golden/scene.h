/**
 * DOC: scene - deterministic simulation of a small cluster in one process
 *
 * Connects the cores without I/O (route, flow, engine with idem, member,
 * config, apply) by encoded messages that arrive SCENE_DELAY_US later, on a
 * manual clock. Without sockets, threads or unseeded random numbers, the
 * transcript of a scene is the same on every machine. TCP of the callers is
 * simplified: a handshake, requests as payload, answers, resets.
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
#define SCENE_DELAY_US (1 * USEC_PER_MSEC) /* latency of a message */
#define SCENE_TICK_US (10 * USEC_PER_MSEC) /* interval of host timers */
#define SCENE_RUN_US (5 * USEC_PER_MSEC)   /* time of a run at an upstream */
#define SCENE_SLOTS 2                      /* slots of each agent */

/* Senders and receivers of messages that are not hosts. */
#define SCENE_CALLER (-1)
#define SCENE_PLATFORM (-2)
#define SCENE_OPERATOR (-3)

/** enum scene_kind - kind of a message or event; those before
 * SCENE_HOST_KINDS_END go from host to host */
enum scene_kind {
    SCENE_GOSSIP,         /* member message in a datagram */
    SCENE_SYNC,           /* member message on a stream */
    SCENE_CONFIG_QUERY,   /* stream: query for a newer configuration */
    SCENE_CONFIG_REPLY,   /* stream: reply to SCENE_CONFIG_QUERY */
    SCENE_PEER,           /* stream: message between engines, or pins */
    SCENE_PACKET,         /* encapsulated packet */
    SCENE_HOST_KINDS_END, /* not a message: end of the kinds above */
    SCENE_ANSWER,         /* packet to a caller */
    SCENE_PLATFORM_REPLY, /* the platform's reply to a read or watch */
    SCENE_REFUSED,        /* connection refused: the process has ended */
    SCENE_BROKEN,         /* the connections to the peer broke */
    SCENE_RUN_END,        /* a run at the agent's own upstream ended */
    SCENE_OPERATOR_CALL,  /* call of an operator to the platform */
    SCENE_OPERATOR_REPLY  /* reply of the platform to an operator */
};

/**
 * struct scene_message - a message in flight
 * @at_us: time of arrival
 * @seq: order of sending, which sorts messages that arrive at the same time
 * @kind: kind
 * @from: host or SCENE_CALLER, SCENE_PLATFORM, SCENE_OPERATOR
 * @to: likewise; G_MININT when the message is lost
 * @generation: generation of the receiving process, or 0 for any
 * @bytes: encoded content, or NULL
 * @a: argument, depends on @kind
 * @b: argument, depends on @kind
 * @status: argument, depends on @kind
 * @description: description for the transcript; NULL to count it only
 */
struct scene_message {
    uint64_t at_us;
    uint64_t seq;
    enum scene_kind kind;
    int from;
    int to;
    unsigned generation;
    GBytes *bytes;
    uint64_t a;
    uint64_t b;
    int status;
    char *description;
};

/**
 * struct scene_rule - loses or delays the next matching messages
 * @kind: kind of message, "*" for any, or "probe" for gossip without updates
 * @from: name of the sender, or "*"
 * @to: name of the receiver, or "*"
 * @count: matching messages left
 * @delay_us: additional delay; 0 to lose the message
 */
struct scene_rule {
    char *kind;
    char *from;
    char *to;
    unsigned count;
    uint64_t delay_us;
};

/**
 * struct scene_flow - a caller's side of a flow
 * @key: addresses and ports
 * @next_seq: next sequence number of the caller
 * @acked: next sequence number expected by the caller; 0 before the SYN-ACK
 * @last: last packet sent, for retransmission
 */
struct scene_flow {
    struct packet key;
    uint32_t next_seq;
    uint32_t acked;
    GBytes *last;
};

/**
 * struct scene_conn - an owner's side of a flow
 * @flow: the caller's side
 * @expected: next sequence number expected from the caller
 */
struct scene_conn {
    struct scene_flow *flow;
    uint32_t expected;
};

/**
 * struct scene_request - a caller's request; its id is its index plus one
 * @flow: flow it arrived on
 * @host: owner of the flow
 * @text: the request
 * @runs: times that it ran at an upstream
 * @closed: answered, or cancelled by its caller
 */
struct scene_request {
    struct scene_flow *flow;
    int host;
    char *text;
    unsigned runs;
    bool closed;
};

/**
 * struct scene_host - a balancer or agent process
 * @name: name of the member
 * @service: service of an agent, or ""
 * @agent: whether it is an agent
 * @up: whether the process runs
 * @frozen: the process runs but handles no messages and timers
 * @manual_upstream: its upstream ends runs only on "upstream-end"
 * @generation: number of starts of the process
 * @state: state to announce
 * @data: address for encapsulated packets
 * @control: address for control messages
 * @start: incarnation of the member
 * @members: membership core
 * @out: pending actions of @members
 * @config: core that distributes the configuration
 * @service_config: configuration in force, or NULL
 * @view: last published view, or NULL
 * @next_load_us: earliest time of the next view with only load changes
 * @stream_from: sender of the stream message being handled, or -1
 * @config_source: host to which the last configuration query was sent
 * @table: routes of a balancer
 * @flows: flows of an agent
 * @engine: request engine of an agent
 * @actions: pending actions of @engine
 * @conns: struct scene_conn of each open struct scene_flow
 * @answers: answers, by request id
 * @connected: whether it has a connection with a host
 * @inbox: messages that arrived while it was frozen
 */
struct scene_host {
    char name[VIEW_NAME_MAX];
    char service[SERVICE_CONFIG_NAME_MAX];
    bool agent;
    bool up;
    bool frozen;
    bool manual_upstream;
    unsigned generation;
    enum member_state state;
    struct addr data;
    struct addr control;
    uint64_t start;
    struct member_core members;
    struct member_actions out;
    struct config_core config;
    struct service_config *service_config;
    struct view *view;
    uint64_t next_load_us;
    int stream_from;
    int config_source;
    struct route_table *table;
    struct flow_table *flows;
    struct engine *engine;
    struct engine_actions actions;
    GHashTable *conns;
    GHashTable *answers;
    bool connected[SCENE_HOSTS_MAX];
    GQueue inbox;
};

/**
 * struct scene_watch - a pending watch at the platform
 * @host: host that watches
 * @generation: generation of its process
 * @after: version that it has
 * @until_us: time at which the watch expires
 */
struct scene_watch {
    int host;
    unsigned generation;
    uint64_t after;
    uint64_t until_us;
};

/* Constant wall clock of operators and agents, milliseconds since 1970. */
#define SCENE_WALL_MS UINT64_C(1700000000000)

/**
 * struct scene_apply - an operator's run of "apply"
 * @core: apply core
 * @source: config to publish
 * @author: name of the operator
 * @call: number of the pending platform call; replies to others are ignored
 * @last_value: value read last, or NULL
 * @retired: JSON list of retired addresses to publish, or NULL
 */
struct scene_apply {
    struct apply_core core;
    char *source;
    char author[SERVICE_CONFIG_AUTHOR_MAX];
    unsigned call;
    GBytes *last_value;
    char *retired;
};

/**
 * struct scene - the simulated cluster
 * @clock: manual clock
 * @origin_us: time shown as 0 in the transcript
 * @muted: whether scene_log() is off
 * @quiet_count: messages without a description since the last step
 * @log: transcript
 * @hosts: processes, also those that have ended
 * @count: number of hosts
 * @in_flight: messages in flight, by time of arrival
 * @seq: sequence number of the next message
 * @rules: rules for lost and delayed messages
 * @flows: flows of all callers
 * @requests: requests of all callers
 * @version: version of the published configuration, 0 for none
 * @value: published value, or NULL
 * @outage: whether the platform is down
 * @watches: pending watches
 * @operators: runs of the operators a and b
 */
struct scene {
    struct clock_manual clock;
    uint64_t origin_us;
    bool muted;
    unsigned quiet_count;
    GString *log;
    struct scene_host hosts[SCENE_HOSTS_MAX];
    int count;
    GQueue in_flight;
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

/** scene_init() - initialize a scene without hosts */
void
scene_init(struct scene *scene);

/** scene_finish() - free a scene */
void
scene_finish(struct scene *scene);

/** scene_now() - current time of the manual clock, microseconds */
uint64_t
scene_now(struct scene *scene);

/** scene_run_to() - advance the clock to @at_us, delivering messages and
 * running timers */
void
scene_run_to(struct scene *scene, uint64_t at_us);

/** scene_log() - add a line to the transcript, with the time */
void
scene_log(struct scene *scene, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** scene_log_quiet() - log and reset the number of messages without a
 * description */
void
scene_log_quiet(struct scene *scene);

/** scene_send() - send a message; takes ownership of @bytes and @description
 */
struct scene_message *
scene_send(struct scene *scene, enum scene_kind kind, int from, int to,
           GBytes *bytes, char *description);

/** scene_delay() - change the arrival of a message to @delay_us from now */
void
scene_delay(struct scene *scene, struct scene_message *msg, uint64_t delay_us);

/** scene_clear_rules() - remove all rules */
void
scene_clear_rules(struct scene *scene);

/** scene_node_name() - name of the sender or receiver of a message */
const char *
scene_node_name(const struct scene *scene, int node);

/** scene_find() - index of a host by name, or -1 */
int
scene_find(const struct scene *scene, const char *name);

/** scene_member_name() - name of the host with the member id @id */
const char *
scene_member_name(const struct scene *scene, uint64_t id);

/** scene_start() - start a process: an agent of @service, or a balancer when
 * @service is NULL */
void
scene_start(struct scene *scene, const char *name, const char *service);

/** scene_kill() - end a process abruptly and break the connections to it */
void
scene_kill(struct scene *scene, int host);

/** scene_thaw() - resume a frozen process, which first handles its inbox */
void
scene_thaw(struct scene *scene, int host);

/* scene_control.c */

/** scene_control_init() - initialize the control cores of a process */
void
scene_control_init(struct scene *scene, int host);

/** scene_control_step() - run the work of the control thread after an event */
void
scene_control_step(struct scene *scene, int host);

/** scene_control_receive() - handle a control message */
void
scene_control_receive(struct scene *scene, const struct scene_message *msg);

/** scene_receive_refused() - handle a message refused because host msg->a has
 * ended */
void
scene_receive_refused(struct scene *scene, const struct scene_message *msg);

/** scene_platform_tick() - end watches that are due, or all with an error */
void
scene_platform_tick(struct scene *scene, bool all);

/* scene_apply.c */

/** scene_apply_step() - execute an action of an operator's run */
void
scene_apply_step(struct scene *scene, int at, struct apply_action action);

/** scene_apply_receive() - handle an operator's call or the reply to it */
void
scene_apply_receive(struct scene *scene, const struct scene_message *msg);

/* scene_packet.c */

/** scene_packet() - send a packet of a caller; repeats the last packet of the
 * flow when @payload is NULL */
void
scene_packet(struct scene *scene, const struct packet *key, uint8_t flags,
             const char *payload, int balancer);

/** scene_answer() - send a packet from an agent to the caller of @flow, with
 * the flags and sequence numbers of @packet */
void
scene_answer(struct scene *scene, int host, const struct scene_flow *flow,
             struct packet packet, const char *payload);

/** scene_isn() - initial sequence number of the host's TCP connections */
uint32_t
scene_isn(int host);

/** scene_receive_packet() - handle a packet at a balancer or an agent */
void
scene_receive_packet(struct scene *scene, const struct scene_message *msg);

/** scene_receive_answer() - handle a packet at its caller */
void
scene_receive_answer(struct scene *scene, const struct scene_message *msg);

/* scene_request.c */

/** scene_refresh() - update the cores after a change of the view,
 * configuration or state */
void
scene_refresh(struct scene *scene, int host);

/** scene_request() - submit a complete request of an owned flow to the engine
 */
void
scene_request(struct scene *scene, int host, struct scene_flow *flow,
              const char *text);

/** scene_cancel() - cancel the requests of a flow that its caller has reset */
void
scene_cancel(struct scene *scene, int host, const struct scene_flow *flow);

/** scene_receive_peer() - handle a message between engines, or pins */
void
scene_receive_peer(struct scene *scene, const struct scene_message *msg);

/** scene_receive_broken() - handle the loss of the connection to msg->from */
void
scene_receive_broken(struct scene *scene, const struct scene_message *msg);

/** scene_request_tick() - run the timers of an agent, every SCENE_TICK_US */
void
scene_request_tick(struct scene *scene, int host);

/** scene_run_end() - handle the end of a run at the upstream */
void
scene_run_end(struct scene *scene, int host, uint64_t id,
              enum engine_upstream how);

/** scene_act() - execute the pending actions of the engine */
void
scene_act(struct scene *scene, int host);

#endif
