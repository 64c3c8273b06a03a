#include <stdlib.h>
#include <string.h>

#include "sim_private.h"

#define WALL_US UINT64_C(1790000000000000)

static int
compare_members(gconstpointer a, gconstpointer b)
{
    const struct view_member *x = a;
    const struct view_member *y = b;

    return x->id < y->id ? -1 : x->id > y->id;
}

void
sim_publish_view(struct sim *sim, unsigned node)
{
    struct sim_node *self = &sim->nodes[node];
    struct idem_actions out = {0};
    struct view *view = view_new(SIM_NODES);

    for (unsigned i = 0; i < SIM_NODES; i++) {
        if (self->known[i].member.id != 0) {
            view->members[view->count++] = self->known[i].member;
        }
    }
    qsort(view->members, view->count, sizeof(view->members[0]),
          compare_members);
    for (size_t i = 0; i < view->count; i++) {
        if (view->members[i].id == sim_id(node)) {
            view->self = i;
        }
    }
    g_assert_cmpint(idem_set_view(self->idem, view, sim->now_us, &out), ==, 0);
    free(view);
    sim_apply_actions(sim, node, &out);
}

static struct view_member
make_member(const struct sim *sim, unsigned node, enum member_health health)
{
    const struct sim_node *subject = &sim->nodes[node];

    return (struct view_member){
        .id = sim_id(node),
        .incarnation = subject->incarnation,
        .role = MEMBER_AGENT,
        .state = subject->leaving ? MEMBER_LEAVING : MEMBER_READY,
        .health = health,
        .service = SIM_SERVICE,
        .slots = 2,
    };
}

void
sim_announce(struct sim *sim, unsigned about, enum member_health health,
             uint64_t after_us)
{
    uint64_t seq = ++sim->seq;

    for (unsigned i = 0; i < SIM_NODES; i++) {
        struct event event = {
            .type = EVENT_MEMBER,
            .queue.at_us =
                sim->now_us + after_us + sim_random_us(sim, sim->net.skew_us),
            .to = i,
            .about = about,
            .seq = seq,
            .member = make_member(sim, about, health),
        };

        if (i != about) {
            queue_push(&sim->events, &event);
        }
    }
}

void
sim_start(struct sim *sim, unsigned node)
{
    struct sim_node *self = &sim->nodes[node];
    struct event join = {.type = EVENT_JOIN, .to = node};

    if (self->up) {
        return;
    }
    self->generation++;
    self->up = true;
    self->frozen = false;
    self->leaving = false;
    self->joined = false;
    self->started_us = sim->now_us;
    self->incarnation =
        WALL_US + sim->now_us + sim_random_us(sim, USEC_PER_SEC);
    self->idem = idem_new(sim_id(node), 1000);
    memset(self->known, 0, sizeof(self->known));
    self->known[node].member = make_member(sim, node, MEMBER_ALIVE);
    self->known[node].member.since_us = sim->now_us;
    sim_publish_view(sim, node);
    sim_announce(sim, node, MEMBER_ALIVE, 0);
    join.to_generation = self->generation;
    join.queue.at_us = sim->now_us + sim_random_us(sim, USEC_PER_SEC);
    queue_push(&sim->events, &join);
}

void
sim_start_first(struct sim *sim, unsigned nodes, uint64_t after_us)
{
    for (unsigned i = 0; i < nodes; i++) {
        sim_start(sim, i);
    }
    sim_advance(sim, after_us);
}

void
sim_join(struct sim *sim, unsigned node)
{
    struct sim_node *self = &sim->nodes[node];
    unsigned first = (unsigned)g_rand_int_range(sim->rand, 0, SIM_NODES);

    self->joined = true;
    for (unsigned i = 0; i < SIM_NODES; i++) {
        const struct sim_node *peer = &sim->nodes[(first + i) % SIM_NODES];

        if (!peer->up || peer->frozen || peer == self || !peer->joined) {
            continue;
        }
        for (unsigned j = 0; j < SIM_NODES; j++) {
            struct sim_known *known = &self->known[j];

            if (j != node && peer->known[j].seq >= known->seq &&
                peer->known[j].member.id != 0) {
                uint64_t since_us = known->member.since_us;
                bool same = known->member.id != 0 &&
                            known->member.incarnation ==
                                peer->known[j].member.incarnation;

                *known = peer->known[j];
                known->member.since_us = same ? since_us : sim->now_us;
            }
        }
        break;
    }
    sim_publish_view(sim, node);
}

static void
stop(struct sim *sim, unsigned node)
{
    struct sim_node *self = &sim->nodes[node];

    idem_free(self->idem);
    self->idem = NULL;
    self->up = false;
    self->frozen = false;
    sim_drain(&self->inbox);
    for (size_t i = 0; i < sim->requests->len; i++) {
        struct sim_request *request = sim_request(sim, i + 1);

        if (request->node == node && request->phase != SIM_ENDED) {
            request->phase = SIM_CRASHED;
        }
    }
}

void
sim_crash(struct sim *sim, unsigned node, bool noticed)
{
    if (!sim->nodes[node].up) {
        return;
    }
    stop(sim, node);
    sim->memory_lost_us = sim->now_us;
    if (!noticed) {
        sim_announce(sim, node, MEMBER_SUSPECT, USEC_PER_SEC);
    }
    sim_announce(sim, node, MEMBER_DEAD, noticed ? 0 : 3 * USEC_PER_SEC);
}

void
sim_leave(struct sim *sim, unsigned node)
{
    struct sim_node *self = &sim->nodes[node];

    if (self->up && !self->frozen && !self->leaving) {
        self->leaving = true;
        self->known[node].member.state = MEMBER_LEAVING;
        sim_publish_view(sim, node);
        sim_announce(sim, node, MEMBER_ALIVE, 0);
    }
}

void
sim_freeze(struct sim *sim, unsigned node)
{
    if (sim->nodes[node].up && !sim->nodes[node].frozen) {
        sim->nodes[node].frozen = true;
        sim->nodes[node].frozen_us = sim->now_us;
    }
}

void
sim_thaw(struct sim *sim, unsigned node)
{
    struct sim_node *self = &sim->nodes[node];
    struct event event;

    if (!self->frozen) {
        return;
    }
    self->frozen = false;
    self->incarnation++;
    self->known[node].member.incarnation = self->incarnation;
    sim_announce(sim, node, MEMBER_ALIVE, 0);
    while (queue_pop(&self->inbox, UINT64_MAX, &event)) {
        sim_deliver(sim, &event);
        g_free(event.answer);
    }
}

void
sim_set_observed_health(struct sim *sim, unsigned observer, unsigned about,
                        enum member_health health)
{
    struct sim_known *known = &sim->nodes[observer].known[about];

    known->member.health = health;
    known->seq = ++sim->seq;
    sim_publish_view(sim, observer);
}

void
sim_partition(struct sim *sim, unsigned a, unsigned b, uint64_t for_us)
{
    sim->partitioned_until_us[a][b] = for_us > 0 ? sim->now_us + for_us : 0;
    sim->partitioned_until_us[b][a] = sim->partitioned_until_us[a][b];
}

void
sim_apply_member_change(struct sim *sim, const struct event *event)
{
    struct sim_known *known = &sim->nodes[event->to].known[event->about];
    uint64_t since_us = known->member.since_us;
    uint64_t incarnation = known->member.incarnation;

    if (event->seq <= known->seq) {
        return;
    }
    known->seq = event->seq;
    /* A refuted suspicion raises the incarnation by 1, a restart by more. */
    if (known->member.id == 0 ||
        event->member.incarnation > incarnation + 99) {
        since_us = sim->now_us;
    }
    known->member = event->member;
    known->member.since_us = since_us;
    sim_publish_view(sim, event->to);
}
