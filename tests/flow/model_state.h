/**
 * DOC: model_state - what the files of the model share
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

/* A caller's side of a flow. */
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
    bool served; /* the owner has seen our acknowledgement */
};

/* A host; @epoch grows with each start of its process, @declared_dead each
 * time the others take it for dead. */
struct host {
    bool running;
    bool frozen;
    bool draining;
    uint64_t epoch;
    unsigned declared_dead;
    struct flow_table *table;
    uint32_t isn[FLOWS]; /* of our answer to the flow, 0 for none */
};

enum message_kind { TO_HOST, TO_CALLER, PIN };

struct message {
    enum message_kind kind;
    unsigned host; /* to, or from for TO_CALLER */
    uint64_t epoch;
    unsigned flow;
    struct packet packet;
    struct gue gue;
    struct flow_pin pin;
    unsigned hops;
    uint64_t sent_us;
};

/* What a process has heard. */
struct knowledge {
    struct view_member members[MODEL_HOSTS_MAX];
    bool known[MODEL_HOSTS_MAX];
    uint64_t heard_us[MODEL_HOSTS_MAX];
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
    struct knowledge knows[PROCESSES];
    struct caller callers[FLOWS];
    GArray *messages;
    uint32_t next_isn;
    uint16_t next_port;
};

/** model_update_view() - a process learns the truth about a host */
void
model_update_view(struct model *m, unsigned process, unsigned host);

/** model_update_all_views() - all learn what changed at least @older_us ago */
void
model_update_all_views(struct model *m, uint64_t older_us);

/** model_changed() - the truth about a host changed */
void
model_changed(struct model *m, unsigned host);

/** model_host_start() - start a process on a host */
void
model_host_start(struct model *m, unsigned i, uint32_t service);

/** model_live() - whether a flow's owner can still serve it */
bool
model_live(const struct model *m, const struct caller *caller);

/** model_change_planned() - a join, drain or leave */
void
model_change_planned(struct model *m, unsigned i);

/** model_change_suspicion() - others suspect a host, wrongly too; then it
 * refutes or is given up */
void
model_change_suspicion(struct model *m, unsigned i);

/** model_change_fault() - a death, freeze or restart for another service */
void
model_change_fault(struct model *m, unsigned i);

/** model_pick_silent() - a silent host, if there is one */
unsigned
model_pick_silent(struct model *m);

/** model_send_packet() - a caller's packet by any balancer */
void
model_send_packet(struct model *m, unsigned flow, uint8_t flags);

/** model_deliver() - a message arrives */
void
model_deliver(struct model *m, const struct message *message);

/** model_deliver_any() - any message arrives, perhaps twice or not at all */
void
model_deliver_any(struct model *m);

/** model_send_pins() - an agent sends what is due */
void
model_send_pins(struct model *m, unsigned i);

/** model_caller_act() - any caller does something */
void
model_caller_act(struct model *m);

/** model_pick() - a random number below @n */
unsigned
model_pick(struct model *m, unsigned n);

/** model_fail() - note the first violation */
void
model_fail(struct model *m, const char *what, unsigned flow, unsigned host);

#endif
