/**
 * DOC: fabric - sprays packets over balancers and hands answers to callers
 *
 * One thread, on an event base. What comes is passed on as it is, with its
 * bare encapsulation; a packet to a caller's address goes to that caller,
 * any other to a balancer that is up, picked anew for each packet.
 */
#ifndef SWIFTARCH_STANDIN_FABRIC_FABRIC_H
#define SWIFTARCH_STANDIN_FABRIC_FABRIC_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/clock.h"
#include "base/error.h"
#include "standin/fabric/config.h"

struct fabric;

/**
 * struct fabric_counts - what happened so far
 * @to_balancers: packets put under way to balancers
 * @to_callers: packets put under way to callers
 * @lost: dropped by the setting "loss"
 * @cut: dropped by the setting "cut"
 * @reordered: held back by the setting "reorder"
 * @no_balancer: dropped since no balancer was up
 * @malformed: too short to hold an address
 * @queue_full: dropped since too many were under way
 * @send_failed: refused by the socket
 * @health_changes: balancers that went up or down
 */
struct fabric_counts {
    uint64_t to_balancers;
    uint64_t to_callers;
    uint64_t lost;
    uint64_t cut;
    uint64_t reordered;
    uint64_t no_balancer;
    uint64_t malformed;
    uint64_t queue_full;
    uint64_t send_failed;
    uint64_t health_changes;
};

/**
 * fabric_new() - open the socket and start to ask the balancers
 * @config: copied
 *
 * Return: the fabric or NULL with @err filled.
 */
struct fabric *
fabric_new(struct event_base *base, const struct config *config,
           struct clock *clock, struct error *err);

/** fabric_free() - close it; packets under way are lost */
void
fabric_free(struct fabric *fabric);

/**
 * fabric_reload() - use other settings; "listen" and "seed" stay
 *
 * The balancers are asked anew before they get packets again, unless the
 * list of balancers and the interval stayed the same.
 *
 * Return: 0 or -ENOMEM.
 */
int
fabric_reload(struct fabric *fabric, const struct config *config);

/** fabric_addr() - address listened on */
struct addr
fabric_addr(const struct fabric *fabric);

/** fabric_idle() - whether no packet is under way */
bool
fabric_idle(const struct fabric *fabric);

/** fabric_counts() - what happened so far */
struct fabric_counts
fabric_counts(const struct fabric *fabric);

#endif
