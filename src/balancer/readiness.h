/**
 * DOC: readiness - decides the reply of /ready
 *
 * The fabric's health checks use /ready to decide whether to send packets to
 * this balancer.
 */
#ifndef SWIFTARCH_BALANCER_READINESS_H
#define SWIFTARCH_BALANCER_READINESS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "control/blackboard.h"

/*
 * A balancer without live peers drops packets that other balancers could
 * forward. A balancer that never saw a peer becomes ready after this time; one
 * that lost all its peers, because its control link is down, is not ready.
 */
#define READINESS_PEER_WAIT_US (5 * USEC_PER_SEC)

/** enum readiness - ready, or the reason for not being ready */
enum readiness {
    READINESS_READY,
    READINESS_STOPPING,
    READINESS_NO_CONFIG,
    READINESS_NO_VIEW,
    READINESS_WAITING_FOR_PEERS,
    READINESS_ISOLATED
};

/**
 * struct readiness_input - state that readiness depends on
 * @stopping: a planned stop has started
 * @built: a route table is published and the directory is ready
 * @self: own member id
 * @has_seeds: the settings list other processes
 * @seen_peers: an earlier view had another live member
 * @age_us: time since the process started
 */
struct readiness_input {
    bool stopping;
    bool built;
    uint64_t self;
    bool has_seeds;
    bool seen_peers;
    uint64_t age_us;
};

/** readiness_evaluate() - decide readiness; @view is NULL before the first */
enum readiness
readiness_evaluate(const struct readiness_input *input,
                   const struct view *view);

/** readiness_has_live_peers() - whether a member other than @self is alive or
 * suspected */
bool
readiness_has_live_peers(const struct view *view, uint64_t self);

/** readiness_text() - body of the /ready response, one line */
const char *
readiness_text(enum readiness readiness);

#endif
