#include "fixture.h"

static const uint8_t ok[] = "HTTP/1.1 200 OK\r\n\r\n";
const uint8_t server_error[20] = "HTTP/1.1 500 No\r\n\r\n";

void
fixture_members(struct fixture *f, enum member_state own, unsigned peers,
                bool needed_alive)
{
    unsigned count = 1 + peers + 1;
    struct view *view =
        g_malloc0(sizeof(*view) + count * sizeof(view->members[0]));

    view->count = count;
    for (unsigned i = 0; i < count; i++) {
        view->members[i].id = SELF + i;
        view->members[i].role = MEMBER_AGENT;
        view->members[i].state = i == 0 ? own : MEMBER_READY;
        view->members[i].service = i == count - 1 ? NEEDED : SERVICE;
        view->members[i].slots = 2;
        view->members[i].incarnation = 1;
    }
    if (!needed_alive) {
        view->members[count - 1].health = MEMBER_DEAD;
    }
    engine_set_view(f->engine, view, f->now_us, &f->out);
    g_free(view);
}

void
fixture_services(struct fixture *f, enum service_config_class needed_class)
{
    struct service_config_entry services[3] = {
        {.id = SERVICE, .class = SERVICE_CONFIG_URGENT},
        {.id = NEEDED, .class = needed_class},
        {.id = UNNEEDED, .class = SERVICE_CONFIG_ORDINARY},
    };
    struct service_config text = {.services = services, .count = 3};

    services[0].depends[0] = 1;
    services[0].depends_count = 1;
    services[0].limits.queue = 16;
    services[0].limits.requests_per_caller = 100;
    services[1].limits = services[0].limits;
    services[1].limits.requests_per_caller = 4;
    engine_set_text(f->engine, &text, f->now_us, &f->out);
}

void
fixture_set_up(struct fixture *f, gconstpointer data)
{
    *f = (struct fixture){.now_us = 1000 * USEC_PER_SEC};
    f->engine = engine_new(SELF, ENGINE_PULL, 42);
    fixture_services(f, SERVICE_CONFIG_ORDINARY);
    fixture_members(f, MEMBER_READY, 2, true);
    engine_set_upstream(f->engine, SERVICE, 2, true, f->now_us, &f->out);
    f->out.count = 0;
}

void
fixture_tear_down(struct fixture *f, gconstpointer data)
{
    engine_actions_finish(&f->out);
    engine_free(f->engine);
}

uint64_t
fixture_arrive(struct fixture *f, enum service_config_class class,
               bool idempotent, uint64_t left_us)
{
    struct engine_request request = {
        .id = ++f->next_id,
        .service = SERVICE,
        .caller = 9,
        .class = class,
        .idempotent = idempotent,
        .deadline_us = f->now_us + left_us,
    };

    f->out.count = 0;
    g_assert_cmpint(engine_arrive(f->engine, &request, f->now_us, &f->out), ==,
                    0);
    return request.id;
}

uint64_t
fixture_arrive_keyed(struct fixture *f)
{
    struct engine_request request = {
        .id = ++f->next_id,
        .service = SERVICE,
        .caller = 9,
        .keyed = true,
        .key = {SERVICE, {f->next_id, 2}, 3},
        .deadline_us = f->now_us + USEC_PER_SEC,
    };

    f->out.count = 0;
    g_assert_cmpint(engine_arrive(f->engine, &request, f->now_us, &f->out), ==,
                    0);
    return request.id;
}

void
fixture_grant(struct fixture *f)
{
    const uint64_t replicas[] = {PEER, OTHER};
    struct engine_peer_msg grant =
        fixture_find_sent(f, ENGINE_PEER_IDEM, PEER)->msg;

    g_assert_nonnull(fixture_find_sent(f, ENGINE_PEER_IDEM, OTHER));
    grant.idem.type = IDEM_MSG_GRANT;
    f->out.count = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(replicas); i++) {
        engine_peer(f->engine, replicas[i], &grant, NULL, 0, f->now_us,
                    &f->out);
    }
}

void
fixture_acknowledge(struct fixture *f)
{
    const uint64_t replicas[] = {PEER, OTHER};
    struct engine_peer_msg ack =
        fixture_find_sent(f, ENGINE_PEER_IDEM, PEER)->msg;

    g_assert_cmpint(ack.idem.type, ==, IDEM_MSG_RECORD);
    ack.idem.type = IDEM_MSG_ACK;
    ack.idem.answer = NULL;
    ack.idem.answer_len = 0;
    f->out.count = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(replicas); i++) {
        engine_peer(f->engine, replicas[i], &ack, NULL, 0, f->now_us, &f->out);
    }
}

void
fixture_end(struct fixture *f, uint64_t origin, uint64_t id,
            enum engine_upstream how)
{
    f->out.count = 0;
    engine_upstream_end(f->engine, origin, id, how, ok, sizeof(ok), f->now_us,
                        &f->out);
}

void
fixture_receive(struct fixture *f, enum engine_peer_type type, uint64_t id,
                enum engine_outcome outcome, enum engine_reason reason)
{
    struct engine_peer_msg msg = {
        .type = type,
        .request = {.id = id, .service = SERVICE},
        .origin = type == ENGINE_PEER_DONE ? SELF : PEER,
        .outcome = outcome,
        .reason = reason,
        .free_slots = 1,
    };

    msg.request.deadline_us = f->now_us + USEC_PER_SEC;
    f->out.count = 0;
    engine_peer(f->engine, PEER, &msg, ok, sizeof(ok), f->now_us, &f->out);
}

void
fixture_tick_to(struct fixture *f, uint64_t at_us)
{
    f->out.count = 0;
    while (f->now_us < at_us) {
        f->now_us = MIN(f->now_us + 10 * MS, at_us);
        engine_tick(f->engine, f->now_us, &f->out);
    }
}

const struct engine_action *
fixture_find(const struct fixture *f, enum engine_action_type type,
             uint64_t id)
{
    for (size_t i = 0; i < f->out.count; i++) {
        if (f->out.items[i].type == type && f->out.items[i].id == id) {
            return &f->out.items[i];
        }
    }
    return NULL;
}

const struct engine_action *
fixture_find_sent(const struct fixture *f, enum engine_peer_type type,
                  uint64_t to)
{
    for (size_t i = 0; i < f->out.count; i++) {
        const struct engine_action *action = &f->out.items[i];

        if (action->type == ENGINE_SEND && action->msg.type == type &&
            action->to == to) {
            return action;
        }
    }
    return NULL;
}

void
fixture_assert_finished(const struct fixture *f, uint64_t id,
                        enum engine_outcome outcome, enum engine_reason reason)
{
    const struct engine_action *action = fixture_find(f, ENGINE_FINISH, id);

    g_assert_nonnull(action);
    g_assert_cmpint(action->outcome, ==, outcome);
    g_assert_cmpint(action->reason, ==, reason);
}

void
fixture_set_run_time(struct fixture *f, uint64_t run_us)
{
    for (int i = 0; i < 20; i++) {
        uint64_t id =
            fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 10 * USEC_PER_SEC);

        f->now_us += run_us;
        fixture_end(f, SELF, id, ENGINE_UP_ANSWERED);
    }
}

void
fixture_fill_slots(struct fixture *f)
{
    fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 10 * USEC_PER_SEC);
    fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 10 * USEC_PER_SEC);
    g_assert_cmpuint(engine_busy(f->engine), ==, 2);
}

void
fixture_report_load(struct fixture *f, uint64_t from, uint16_t load)
{
    struct engine_peer_msg msg = {.type = ENGINE_PEER_STATUS, .load = load};

    engine_peer(f->engine, from, &msg, NULL, 0, f->now_us, &f->out);
}
