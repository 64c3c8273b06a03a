/**
 * DOC: health - which balancers may get packets, by GET /ready
 *
 * Each balancer is asked at an interval, one question at a time. It is up
 * after an answer 200, and down after any other answer or after
 * HEALTH_FAILURES questions in a row without one.
 */
#ifndef SWIFTARCH_STANDIN_FABRIC_HEALTH_H
#define SWIFTARCH_STANDIN_FABRIC_HEALTH_H

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>

#include "standin/fabric/config.h"

#define HEALTH_FAILURES 2
#define HEALTH_TIMEOUT_INTERVALS 3

struct health;

/** health_new() - start asking; @config is kept; NULL without memory */
struct health *
health_new(struct event_base *base, const struct config *config);

/** health_free() - stop asking */
void
health_free(struct health *health);

/** health_is_up() - whether balancer @index may get packets */
bool
health_is_up(const struct health *health, size_t index);

/** health_note() - judge an answer; 0 is none (for tests too) */
void
health_note(struct health *health, size_t index, int status);

/** health_changes() - how often a balancer went up or down */
size_t
health_changes(const struct health *health);

#endif
