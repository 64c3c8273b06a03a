#include "lib/sample.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

struct service_config *
sample_parse(const char *source)
{
    struct service_config *config;
    char *error;
    int rc =
        service_config_parse(source, strlen(source), "t", &config, &error);

    g_assert_cmpstr(error, ==, NULL);
    g_assert_cmpint(rc, ==, 0);
    return config;
}

void
sample_agent(struct view_member *member, const char *name, const char *service)
{
    g_strlcpy(member->name, name, sizeof(member->name));
    member->id = hash_name(name);
    member->incarnation = 1;
    member->role = MEMBER_AGENT;
    member->state = MEMBER_READY;
    member->health = MEMBER_ALIVE;
    member->service = hash_service(service);
    member->slots = 2;
    member->since_us = 1;
}

struct view *
sample_pair(const char *self, const char *other, const char *service)
{
    struct view *view = view_new(2);

    view->seq = 1;
    view->count = 2;
    view->self = hash_name(self) < hash_name(other) ? 0 : 1;
    sample_agent(&view->members[view->self], self, service);
    sample_agent(&view->members[1 - view->self], other, service);
    return view;
}

static int
compare_ids(const void *a, const void *b)
{
    const struct view_member *x = a;
    const struct view_member *y = b;

    return (x->id > y->id) - (x->id < y->id);
}

void
sample_sort(struct view *view)
{
    qsort(view->members, view->count, sizeof(view->members[0]), compare_ids);
}
