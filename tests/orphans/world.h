/**
 * DOC: world - the model's agents and the messages in flight between them
 */
#ifndef SWIFTARCH_TESTS_ORPHANS_WORLD_H
#define SWIFTARCH_TESTS_ORPHANS_WORLD_H

#include <glib.h>

#include "model.h"
#include "orphans/orphans.h"

#define TICK_US (10 * USEC_PER_MSEC)
#define FAULTS_US (20 * USEC_PER_SEC)
#define QUIET_US (75 * USEC_PER_SEC)
#define PROBE_DEADLINE_US (8 * USEC_PER_SEC)
#define MESSAGE_DELAY_MAX_US (5 * USEC_PER_SEC)
#define FREEZE_MAX_US (3 * USEC_PER_SEC)
#define LAG_MAX_US (2 * USEC_PER_SEC)

/* A backup must have a flow if it was selected and the flow opened this long
 * ago, without a fault since. */
#define REPORTED_US (4 * USEC_PER_SEC)

/* A flow closed within this time may still be open at its backups. */
#define CLOSED_US (1 * USEC_PER_SEC)
#define LONE_SERVICE 2
#define COMMON_SERVICE 1

/** struct member_info - state of a member in another's view */
struct member_info {
    uint64_t boot; /* 0: not in the view */
    enum member_health health;
    gboolean leaving;
};

/** struct member_update - change of a member in flight to agent @to */
struct member_update {
    uint64_t at_us;
    unsigned to;
    unsigned about;
    struct member_info info;
};

/** struct queued_message - message in flight */
struct queued_message {
    uint64_t at_us;
    unsigned from;
    unsigned to;
    uint64_t to_boot;
    struct orphan_message message;
};

/** struct flow - an open flow */
struct flow {
    struct addr caller;
    uint64_t opened_us;
};

/** struct ended - a flow that was closed */
struct ended {
    struct addr caller;
    uint64_t at_us;
};

/** struct expected_probe - a flow of a dead owner that has to be probed */
struct expected_probe {
    uint64_t due_us;
    uint64_t dead_us;
    struct addr caller;
    unsigned backup;      /* the backup that has to probe */
    uint64_t backup_boot; /* its process when the owner died */
};

struct agent {
    gboolean running;
    gboolean leaving;
    uint64_t boot;
    uint64_t frozen_until_us;
    uint64_t backups_since_us[OWNER_BACKUPS];
    uint64_t backups_seen[OWNER_BACKUPS];
    struct orphans orphans;
    GArray *flows;
    GArray *ended; /* flows closed recently */
    struct member_info known_members[MODEL_AGENTS_MAX];
    struct view *view;
    gboolean changed;
};

struct model {
    const struct model_config *config;
    GRand *rand;
    uint64_t now_us;
    uint64_t last_boot;
    uint64_t lossy_until_us;
    gboolean faults_off; /* no new failures */
    struct agent agents[MODEL_AGENTS_MAX];
    GArray *member_updates;
    GArray *queued_messages;
    GArray *expected_probes;
    GHashTable *probed;   /* caller to time last probed, microseconds */
    GHashTable *expected; /* callers that may be probed now; NULL: any */
    struct model_result result;
};

/** world_service() - service address that a caller uses */
struct addr
world_service(struct addr caller);

/** world_id() - member id of agent @i */
uint64_t
world_id(unsigned i);

/** world_fail() - record the first violation */
void
world_fail(struct model *model, const char *failure);

/** world_up_to() - random time below @max_us */
uint64_t
world_up_to(struct model *model, uint64_t max_us);

/** world_key() - hash table key of a caller */
gpointer
world_key(struct addr caller);

/** world_is_frozen() - whether an agent is frozen now */
gboolean
world_is_frozen(const struct model *model, const struct agent *agent);

/** world_send_updates() - send an agent's state to all agents after random
 * delays */
void
world_send_updates(struct model *model, unsigned about,
                   enum member_health health);

/** world_start() - start an agent that is not running */
void
world_start(struct model *model, unsigned i);

/** world_die() - kill an agent if it is running, and record expected probes */
void
world_die(struct model *model, unsigned i);

/** world_agent_finish() - free an agent's flows and state */
void
world_agent_finish(struct agent *agent);

/** world_apply_update() - apply an update to the receiver's view */
void
world_apply_update(struct model *model,
                   const struct member_update *member_update);

/** world_build_view() - create a view from an agent's known members */
struct view *
world_build_view(const struct model *model, unsigned self);

/** traffic_open() - open a flow from a caller that has none */
void
traffic_open(struct model *model, unsigned i);

/** traffic_close() - close one of the flows */
void
traffic_close(struct model *model, unsigned i);

/** traffic_deliver() - deliver the messages that are due */
void
traffic_deliver(struct model *model);

/** traffic_deliver_updates() - deliver the member updates that are due */
void
traffic_deliver_updates(struct model *model);

/** traffic_tick() - run an agent's timers and send its messages and probes */
void
traffic_tick(struct model *model, unsigned i);

/** traffic_check_expected_probes() - check that flows of dead owners were
 * probed in time */
void
traffic_check_expected_probes(struct model *model);

#endif
