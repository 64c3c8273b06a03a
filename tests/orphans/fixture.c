#include "fixture.h"

#include <string.h>

const struct addr fixture_service = {0x0a000001, 80};
const struct addr fixture_other_service = {0x0a000002, 80};

struct addr
fixture_caller(unsigned i)
{
    return (struct addr){0x0a090000 + i / 60000, (uint16_t)(1 + i % 60000)};
}

struct view_member *
fixture_add(struct view *view, uint64_t id, uint32_t service,
            const char *data_centre)
{
    struct view_member *member = &view->members[view->count++];

    memset(member, 0, sizeof(*member));
    member->id = id;
    member->role = MEMBER_AGENT;
    member->state = MEMBER_READY;
    member->health = MEMBER_ALIVE;
    member->service = service;
    member->since_us = START_US;
    g_strlcpy(member->data_centre, data_centre, sizeof(member->data_centre));
    return member;
}

/* A view of the backup and one owner. */
struct view *
fixture_pair(void)
{
    struct view *view = view_new(2);

    fixture_add(view, SELF, 1, "a");
    fixture_add(view, OWNER, 1, "b");
    return view;
}

struct orphan_message
fixture_batch(uint64_t boot, uint32_t session, uint32_t seq, unsigned first,
              size_t opened, size_t closed)
{
    struct orphan_message message = {.type = ORPHAN_MESSAGE_FLOWS,
                                     .boot = boot,
                                     .session = session,
                                     .seq = seq,
                                     .service = fixture_service,
                                     .opened = opened,
                                     .closed = closed};

    for (size_t i = 0; i < opened + closed; i++) {
        message.callers[i] = fixture_caller(first + (unsigned)i);
    }
    return message;
}

void
fixture_init(struct fixture *fixture)
{
    fixture->now_us = START_US;
    fixture->view = fixture_pair();
    fixture->owner = &fixture->view->members[1];
    orphan_init(&fixture->orphans, 1);
    orphan_set_view(&fixture->orphans, fixture->view, fixture->now_us);
}

void
fixture_finish(struct fixture *fixture)
{
    orphan_finish(&fixture->orphans);
    g_free(fixture->view);
}

/* Returns 1 for known, 0 for not known, -1 for no reply. */
int
fixture_receive(struct fixture *fixture, struct orphan_message message)
{
    struct orphan_message reply;

    if (!orphan_receive(&fixture->orphans, fixture->view, OWNER, &message,
                        fixture->now_us, &reply)) {
        return -1;
    }
    g_assert_cmpint(reply.type, ==, ORPHAN_MESSAGE_ACK);
    g_assert_cmpuint(reply.boot, ==, message.boot);
    g_assert_cmpuint(reply.session, ==, message.session);
    g_assert_cmpuint(reply.seq, ==, message.seq);
    return reply.known ? 1 : 0;
}

void
fixture_apply_view(struct fixture *fixture)
{
    orphan_set_view(&fixture->orphans, fixture->view, fixture->now_us);
}

/* Returns the number of probes sent within @us. */
size_t
fixture_probes(struct fixture *fixture, uint64_t us)
{
    struct orphan_probe probes[8];
    uint64_t until_us = fixture->now_us + us;
    size_t all = 0;
    size_t count;

    while (fixture->now_us < until_us) {
        orphan_tick(&fixture->orphans, fixture->now_us);
        do {
            count = orphan_next_probes(&fixture->orphans, fixture->now_us,
                                       probes, 8);
            all += count;
        } while (count == 8);
        fixture->now_us += TICK_US;
    }
    return all;
}
