/**
 * DOC: model_state - state and functions shared by the model's files
 */
#ifndef SWIFTARCH_TESTS_FLOW_MODEL_STATE_H
#define SWIFTARCH_TESTS_FLOW_MODEL_STATE_H

#include "base/hash.h"
#include "flow/flow.h"
#include "model.h"

#define BALANCERS 3
#define FLOWS 60
#define SERVICES_MAX 2
#define PROCESSES (MODEL_HOSTS_MAX + BALANCERS)
#define SKEW_US (1500 * USEC_PER_MSEC)
#define MESSAGE_AGE_US (2 * USEC_PER_SEC)
#define CAPACITY 400
#define TCP 6
#define SERVICE_IP 0x0a000000u

enum flow_phase { IDLE, OPENING, OPEN };

/* A flow as its caller sees it. */
struct caller {
    enum flow_phase phase;
    struct packet key;
    uint32_t service;
    uint32_t isn;
    uint32_t peer_isn;
    unsigned owner;
    uint64_t owner_epoch;
    unsigned owner_declared_dead;
    uint64_t syn_ack_sent_us;
    bool served; /* the owner has received the caller's ACK */
};

/* A host. @epoch grows with each start and stop of its process, @declared_dead
 * each time that it is declared dead. */
struct host {
    bool running;
    bool frozen;
    bool draining;
    uint64_t epoch;
    unsigned declared_dead;
    struct flow_table *table;
    uint32_t isn[FLOWS]; /* of the SYN-ACK for each flow, 0 for none */
};

enum message_kind { TO_HOST, TO_CALLER, PIN };

struct message {
    enum message_kind kind;
    unsigned host; /* receiver; sender for TO_CALLER */
    uint64_t epoch;
    unsigned flow;
    struct packet packet;
    struct gue gue;
    struct flow_pin pin;
    unsigned hops;
    uint64_t sent_us;
};

/* The members as one process sees them. */
struct local_view {
    struct view_member members[MODEL_HOSTS_MAX];
    bool known[MODEL_HOSTS_MAX];
    uint64_t updated_us[MODEL_HOSTS_MAX];
    struct view *view;
    struct rank ranks[SERVICES_MAX + 1]; /* balancers only */
};

struct model {
    struct model_config config;
    struct model_result result;
    GRand *rand;
    uint64_t now_us;
    struct host hosts[MODEL_HOSTS_MAX];
    struct view_member truth[MODEL_HOSTS_MAX];
    uint64_t changed_us[MODEL_HOSTS_MAX];
    struct local_view local_views[PROCESSES];
    struct caller callers[FLOWS];
    GArray *messages;
    uint32_t next_isn;
    uint16_t next_port;
};

/** model_update_view() - update a process's view of a host */
void
model_update_view(struct model *m, unsigned process, unsigned host);

/** model_update_all_views() - update all views with changes at least @older_us
 * old */
void
model_update_all_views(struct model *m, uint64_t older_us);

/** model_changed() - record a change of a host, and update its own view */
void
model_changed(struct model *m, unsigned host);

/** model_host_start() - start a process on a host */
void
model_host_start(struct model *m, unsigned i, uint32_t service);

/** model_live() - whether a flow's owner can still serve it */
bool
model_live(const struct model *m, const struct caller *caller);

/** model_change_planned() - make a host join, drain or leave */
void
model_change_planned(struct model *m, unsigned i);

/** model_change_suspicion() - make a host suspected, perhaps wrongly; a
 * suspected one refutes it or is declared dead */
void
model_change_suspicion(struct model *m, unsigned i);

/** model_change_fault() - make a host die, freeze or restart */
void
model_change_fault(struct model *m, unsigned i);

/** model_pick_silent() - pick a frozen or stopped host, any if there is none
 */
unsigned
model_pick_silent(struct model *m);

/** model_send_packet() - send a caller's packet through any balancer */
void
model_send_packet(struct model *m, unsigned flow, uint8_t flags);

/** model_deliver() - deliver a message */
void
model_deliver(struct model *m, const struct message *message);

/** model_deliver_any() - deliver, duplicate or lose a random message */
void
model_deliver_any(struct model *m);

/** model_send_pins() - send the pins that are due at an agent */
void
model_send_pins(struct model *m, unsigned i);

/** model_caller_act() - perform a random action of a random caller */
void
model_caller_act(struct model *m);

/** model_pick() - random number below @n */
unsigned
model_pick(struct model *m, unsigned n);

/** model_fail() - record the first violation */
void
model_fail(struct model *m, const char *failure, unsigned flow, unsigned host);

#endif
