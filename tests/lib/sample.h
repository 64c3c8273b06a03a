/**
 * DOC: sample - parsed configuration texts and membership views for tests
 */
#ifndef SWIFTARCH_TESTS_LIB_SAMPLE_H
#define SWIFTARCH_TESTS_LIB_SAMPLE_H

#include "control/view.h"
#include "service_config/service_config.h"

/** sample_parse() - parse a valid config under the file name "t" */
struct service_config *
sample_parse(const char *source);

/** sample_agent() - fill in a member: an alive, ready agent with two slots */
void
sample_agent(struct view_member *member, const char *name,
             const char *service);

/** sample_pair() - a view of the agents @self and @other of one service; the
 * caller frees it with free() */
struct view *
sample_pair(const char *self, const char *other, const char *service);

/** sample_sort() - sort the members by id, as views require */
void
sample_sort(struct view *view);

#endif
