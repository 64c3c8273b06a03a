/**
 * DOC: limits_policy - checks and decodes the document of operators' limits
 *
 *   {"limits": [{
 *      "name": "noisy-caller",
 *      "callers": "198.51.100.0/24",   or "service": NAME, or "route": NAME
 *      "new_flows_per_s": 20, "burst": 40, "per": "balancer",
 *      "shed_below_priority": 1,
 *      "from": 1790000000, "until": 1790003600,
 *      "by": "ada", "why": "presses out the others"}]}
 *
 * Each limit has one scope, a rate of new flows or a priority or both, and
 * says who set it and why. The rate counts for each balancer ("per":
 * "balancer"), or for the fleet ("per": "fleet", "balancers": N), of which
 * each balancer allows one part in N. Rate 0 refuses all new flows. Priority 0
 * is the most urgent; "shed_below_priority": N refuses new flows of routes
 * with a higher number. A document with any fault is refused as a whole.
 */
#ifndef SWIFTARCH_RELAY_LIMITS_LIMITS_POLICY_H
#define SWIFTARCH_RELAY_LIMITS_LIMITS_POLICY_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "relay/forwarder/routes.h"

/* Kind and name of the object in the store. */
#define LIMITS_POLICY_KIND "swiftarch-limits"
#define LIMITS_POLICY_NAME "main"

/* Maximum limits; each is compared with each new flow. */
#define LIMITS_MAX 64

/* Largest document, in bytes. */
#define LIMITS_POLICY_SIZE_MAX (64u << 10)

#define LIMITS_NAME_MAX 64
#define LIMITS_WHY_MAX 256

/* End of a limit without one. */
#define LIMITS_FOREVER_S INT64_MAX

/** enum limits_scope - which new flows a limit applies to */
enum limits_scope {
    LIMITS_SERVICE,
    LIMITS_ROUTE,
    LIMITS_CALLERS,
};

/**
 * struct limits_rule - one limit
 * @name: unique name
 * @scope: which of the next fields counts
 * @target: name of the service or route, or the prefix as written
 * @service: hash_service() of the service's name
 * @prefix: first address of the prefix
 * @prefix_bits: length of the prefix
 * @has_rate: the rate counts
 * @per_s: new flows a second
 * @burst: new flows that may follow each other at once
 * @shares: balancers that the rate is divided among, 1 if it counts for each
 * @has_priority: @shed_below counts
 * @shed_below: routes with a higher number are refused
 * @from_s: start, Unix time, 0 for none
 * @until_s: end, Unix time, LIMITS_FOREVER_S for none
 * @by: who set it
 * @why: the reason
 */
struct limits_rule {
    char name[LIMITS_NAME_MAX];
    enum limits_scope scope;
    char target[ROUTES_NAME_MAX];
    uint32_t service;
    uint32_t prefix;
    unsigned prefix_bits;
    bool has_rate;
    uint32_t per_s;
    uint32_t burst;
    uint32_t shares;
    bool has_priority;
    unsigned shed_below;
    int64_t from_s;
    int64_t until_s;
    char by[LIMITS_NAME_MAX];
    char why[LIMITS_WHY_MAX];
};

/**
 * struct limits_policy - all limits of a document
 * @rules: limits in the order of the document
 * @count: number of @rules
 */
struct limits_policy {
    struct limits_rule rules[LIMITS_MAX];
    unsigned count;
};

/**
 * limits_policy_parse() - check a text and decode it
 * @json: set to the parsed text, for json_object_put(); may be NULL
 * @err: place with its line, value found and value expected
 *
 * Return: 0, or -EINVAL with @policy and @json unchanged.
 */
int
limits_policy_parse(struct limits_policy *policy, const char *text, size_t len,
                    struct json_object **json, struct error *err);

/** limits_policy_decode() - the same for a document that is parsed already */
int
limits_policy_decode(struct limits_policy *policy, struct json_object *json,
                     struct error *err);

/** limits_rule_covers() - whether a limit's prefix contains an address; true
 * for other scopes */
bool
limits_rule_covers(const struct limits_rule *rule, uint32_t ip);

#endif
