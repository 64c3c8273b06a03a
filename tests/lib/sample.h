/**
 * DOC: sample - operators' texts and views for tests
 */
#ifndef SWIFTARCH_TESTS_LIB_SAMPLE_H
#define SWIFTARCH_TESTS_LIB_SAMPLE_H

#include "control/view.h"
#include "text/text.h"

/** sample_parse() - a text that must be right; its file is called "t" */
struct text *
sample_parse(const char *source);

/** sample_agent() - a member that is an alive, ready agent with two slots */
void
sample_agent(struct view_member *member, const char *name,
             const char *service);

/** sample_pair() - a view of the agents @self and @other of one service;
 * free() it */
struct view *
sample_pair(const char *self, const char *other, const char *service);

/** sample_sort() - put members in the order of a view */
void
sample_sort(struct view *view);

#endif
