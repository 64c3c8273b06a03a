#include "scene.h"

#include <string.h>

const struct addr scene_service = {0x0a000001, 80};
const struct addr scene_other_service = {0x0a000002, 80};

struct addr
scene_caller(unsigned i)
{
    return (struct addr){0x0a090000 + i / 60000, (uint16_t)(1 + i % 60000)};
}

struct view_member *
scene_add(struct view *view, uint64_t id, uint32_t its_service,
          const char *data_centre)
{
    struct view_member *member = &view->members[view->count++];

    memset(member, 0, sizeof(*member));
    member->id = id;
    member->role = MEMBER_AGENT;
    member->state = MEMBER_READY;
    member->health = MEMBER_ALIVE;
    member->service = its_service;
    member->since_us = START_US;
    g_strlcpy(member->data_centre, data_centre, sizeof(member->data_centre));
    return member;
}

/* Ourselves and one owner. */
struct view *
scene_pair(void)
{
    struct view *view = view_new(2);

    scene_add(view, SELF, 1, "a");
    scene_add(view, OWNER, 1, "b");
    return view;
}

struct orphan_message
scene_batch(uint64_t boot, uint32_t session, uint32_t seq, unsigned first,
            size_t opened, size_t closed)
{
    struct orphan_message message = {.type = ORPHAN_MESSAGE_FLOWS,
                                     .boot = boot,
                                     .session = session,
                                     .seq = seq,
                                     .service = scene_service,
                                     .opened = opened,
                                     .closed = closed};

    for (size_t i = 0; i < opened + closed; i++) {
        message.callers[i] = scene_caller(first + (unsigned)i);
    }
    return message;
}

void
scene_init(struct scene *scene)
{
    scene->now_us = START_US;
    scene->view = scene_pair();
    scene->owner = &scene->view->members[1];
    orphan_init(&scene->orphans, 1);
    orphan_set_view(&scene->orphans, scene->view, scene->now_us);
}

void
scene_finish(struct scene *scene)
{
    orphan_finish(&scene->orphans);
    g_free(scene->view);
}

/* 1 known, 0 asked anew, -1 no answer. */
int
scene_receive(struct scene *scene, struct orphan_message message)
{
    struct orphan_message reply;

    if (!orphan_receive(&scene->orphans, scene->view, OWNER, &message,
                        scene->now_us, &reply)) {
        return -1;
    }
    g_assert_cmpint(reply.type, ==, ORPHAN_MESSAGE_ACK);
    g_assert_cmpuint(reply.boot, ==, message.boot);
    g_assert_cmpuint(reply.session, ==, message.session);
    g_assert_cmpuint(reply.seq, ==, message.seq);
    return reply.known ? 1 : 0;
}

void
scene_apply_view(struct scene *scene)
{
    orphan_set_view(&scene->orphans, scene->view, scene->now_us);
}

/* Probes sent within @us. */
size_t
scene_probes(struct scene *scene, uint64_t us)
{
    struct orphan_probe probes[8];
    uint64_t until_us = scene->now_us + us;
    size_t all = 0;
    size_t count;

    while (scene->now_us < until_us) {
        orphan_tick(&scene->orphans, scene->now_us);
        do {
            count =
                orphan_next_probes(&scene->orphans, scene->now_us, probes, 8);
            all += count;
        } while (count == 8);
        scene->now_us += TICK_US;
    }
    return all;
}
