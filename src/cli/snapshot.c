#include "cli/snapshot.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/hash.h"

static void
fill_self(struct view_member *self)
{
    self->id = hash_name(SNAPSHOT_SELF);
    self->incarnation = (uint64_t)g_get_real_time();
    g_strlcpy(self->name, SNAPSHOT_SELF, sizeof(self->name));
    self->role = MEMBER_BALANCER;
    self->state = MEMBER_READY;
}

static void
fill_member(struct view_member *member, const Swiftarch__ShowMember *shown)
{
    member->id = shown->id;
    member->incarnation = shown->incarnation;
    g_strlcpy(member->name, shown->name, sizeof(member->name));
    g_strlcpy(member->data_centre, shown->data_centre,
              sizeof(member->data_centre));
    member->role =
        shown->role == MEMBER_AGENT ? MEMBER_AGENT : MEMBER_BALANCER;
    member->state = (enum member_state)MIN(shown->state, MEMBER_LEAVING);
    member->health = (enum member_health)MIN(shown->health, MEMBER_DEAD);
    member->data = (struct addr){shown->data_ip, (uint16_t)shown->data_port};
    member->control =
        (struct addr){shown->control_ip, (uint16_t)shown->control_port};
    member->service = shown->service;
    member->slots = (uint16_t)shown->slots;
    member->busy = (uint16_t)shown->busy;
    member->waiting = (uint16_t)shown->waiting;
    member->config_version = shown->config_version;
}

static int
by_id(const void *a, const void *b)
{
    const struct view_member *left = a;
    const struct view_member *right = b;

    if (left->id == right->id) {
        return 0;
    }
    return left->id < right->id ? -1 : 1;
}

static struct view *
view_of(Swiftarch__ShowMember *const *members, size_t count)
{
    struct view *view = view_new(count + 1);
    uint64_t self = hash_name(SNAPSHOT_SELF);

    if (view == NULL) {
        return NULL;
    }
    view->seq = 1;
    view->count = count + 1;
    fill_self(&view->members[0]);
    for (size_t i = 0; i < count; i++) {
        fill_member(&view->members[i + 1], members[i]);
    }
    qsort(view->members, view->count, sizeof(view->members[0]), by_id);
    view->self = (size_t)(view_find(view, self) - view->members);
    return view;
}

int
snapshot_of_reply(struct snapshot *snapshot, const Swiftarch__ShowReply *reply)
{
    char *report = NULL;
    int rc;

    *snapshot = (struct snapshot){0};
    if (reply->config.len == 0) {
        return -ENODATA;
    }
    rc = service_config_parse_envelope(
        (const char *)reply->config.data, reply->config.len,
        reply->config_version, &snapshot->config, &report);
    g_free(report);
    if (rc < 0) {
        return rc;
    }
    g_strlcpy(snapshot->source_process, reply->name,
              sizeof(snapshot->source_process));
    snapshot->view = view_of(reply->members, reply->n_members);
    return snapshot->view != NULL ? 0 : -ENOMEM;
}

int
snapshot_of_config(struct snapshot *snapshot, struct service_config *config)
{
    *snapshot = (struct snapshot){.config = config, .view = view_of(NULL, 0)};
    return snapshot->view != NULL ? 0 : -ENOMEM;
}

void
snapshot_finish(struct snapshot *snapshot)
{
    service_config_free(snapshot->config);
    free(snapshot->view);
    *snapshot = (struct snapshot){0};
}
