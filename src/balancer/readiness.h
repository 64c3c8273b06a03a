/**
 * DOC: readiness - whether the fabric may send packets here
 */
#ifndef SWIFTARCH_BALANCER_READINESS_H
#define SWIFTARCH_BALANCER_READINESS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "control/board.h"

/*
 * A process that sees nobody else alive would drop what others can forward.
 * One that never saw anybody waits so long for them and then serves alone;
 * one that has lost the others (its control link is cut) is not ready.
 */
#define READINESS_PEER_WAIT_US (5 * USEC_PER_SEC)

/** enum readiness - answer of /ready, and why */
enum readiness {
    READINESS_READY,
    READINESS_STOPPING,
    READINESS_NO_CONFIG,
    READINESS_NO_VIEW,
    READINESS_WAITING_FOR_PEERS,
    READINESS_ISOLATED
};

/**
 * struct readiness_input - what it is judged by
 * @stopping: a planned stop has begun
 * @built: a route table is in force
 * @self: own member id
 * @has_seeds: the settings name other processes
 * @seen_peers: other members were alive in an earlier view
 * @age_us: time since the start
 */
struct readiness_input {
    bool stopping;
    bool built;
    uint64_t self;
    bool has_seeds;
    bool seen_peers;
    uint64_t age_us;
};

/** readiness_evaluate() - @view may be NULL */
enum readiness
readiness_evaluate(const struct readiness_input *input,
                   const struct view *view);

/** readiness_has_live_peers() - whether another member is not dead in @view */
bool
readiness_has_live_peers(const struct view *view, uint64_t self);

/** readiness_text() - one line that says so */
const char *
readiness_text(enum readiness readiness);

#endif
