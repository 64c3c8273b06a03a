#include "relay/limits/limits.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

void
limits_init(struct limits *limits)
{
    memset(limits, 0, sizeof(*limits));
}

void
limits_set_time(struct limits *limits, int64_t unix_us, uint64_t now_us)
{
    limits->unix_us = unix_us - (int64_t)now_us;
}

/* State of the limit of the same name and target, or NULL. */
static const struct limits_state *
find_state(const struct limits *limits, const struct limits_rule *rule)
{
    for (unsigned i = 0; i < limits->policy.count; i++) {
        const struct limits_rule *before = &limits->policy.rules[i];

        if (strcmp(before->name, rule->name) == 0 &&
            before->scope == rule->scope &&
            strcmp(before->target, rule->target) == 0) {
            return &limits->states[i];
        }
    }
    return NULL;
}

static struct limits_state
next_state(const struct limits_rule *rule, const struct limits_state *before,
           uint64_t now_us)
{
    uint32_t shares = MAX(rule->shares, 1);
    struct limits_state state = {.since_us = now_us};

    if (before == NULL) {
        limiter_init(&state.limiter, rule->per_s, rule->burst, shares, now_us);
        return state;
    }
    state = *before;
    limiter_change(&state.limiter, rule->per_s, rule->burst, shares, now_us);
    return state;
}

bool
limits_apply(struct limits *limits, const struct limits_policy *policy,
             uint32_t epoch, uint64_t revision, uint64_t now_us)
{
    struct limits_state states[LIMITS_MAX];

    if (epoch < limits->epoch ||
        (epoch == limits->epoch && revision <= limits->revision)) {
        return false;
    }
    for (unsigned i = 0; i < policy->count; i++) {
        const struct limits_rule *rule = &policy->rules[i];

        states[i] = next_state(rule, find_state(limits, rule), now_us);
    }
    memcpy(limits->states, states, policy->count * sizeof(states[0]));
    limits->policy = *policy;
    limits->epoch = epoch;
    limits->revision = revision;
    return true;
}

bool
limits_in_force(const struct limits *limits, unsigned index, uint64_t now_us)
{
    const struct limits_rule *rule = &limits->policy.rules[index];
    int64_t unix_s =
        (limits->unix_us + (int64_t)now_us) / (int64_t)USEC_PER_SEC;

    return unix_s >= rule->from_s && unix_s < rule->until_s;
}

bool
limits_applies(const struct limits *limits, unsigned index,
               const struct limits_flow *flow, uint64_t now_us)
{
    const struct limits_rule *rule = &limits->policy.rules[index];
    bool covered;

    switch (rule->scope) {
    case LIMITS_SERVICE:
        covered = rule->service == flow->service;
        break;
    case LIMITS_ROUTE:
        covered = strcmp(rule->target, flow->route) == 0;
        break;
    default:
        covered = limits_rule_covers(rule, flow->caller);
        break;
    }
    return covered && limits_in_force(limits, index, now_us);
}

/* Whether a limit that applies to a flow refuses it. */
static enum limits_reason
refusal(const struct limits *limits, unsigned index,
        const struct limits_flow *flow, uint64_t now_us)
{
    const struct limits_rule *rule = &limits->policy.rules[index];

    if (rule->has_priority && flow->priority > rule->shed_below) {
        return LIMITS_PRIORITY;
    }
    if (rule->has_rate &&
        !limiter_allows(&limits->states[index].limiter, now_us)) {
        return LIMITS_RATE;
    }
    return LIMITS_ALLOWED;
}

struct limits_decision
limits_explain(const struct limits *limits, const struct limits_flow *flow,
               uint64_t now_us)
{
    struct limits_decision decision = {.reason = LIMITS_ALLOWED};

    for (unsigned i = 0; i < limits->policy.count; i++) {
        if (!limits_applies(limits, i, flow, now_us)) {
            continue;
        }
        decision.index = i;
        decision.reason = refusal(limits, i, flow, now_us);
        if (decision.reason != LIMITS_ALLOWED) {
            break;
        }
    }
    return decision;
}

struct limits_decision
limits_decide(struct limits *limits, const struct limits_flow *flow,
              uint64_t now_us)
{
    struct limits_decision decision = limits_explain(limits, flow, now_us);

    if (decision.reason != LIMITS_ALLOWED) {
        limits->states[decision.index].refused++;
        return decision;
    }
    for (unsigned i = 0; i < limits->policy.count; i++) {
        if (!limits_applies(limits, i, flow, now_us)) {
            continue;
        }
        limits->states[i].allowed++;
        if (limits->policy.rules[i].has_rate) {
            limiter_count(&limits->states[i].limiter, now_us);
        }
    }
    return decision;
}
