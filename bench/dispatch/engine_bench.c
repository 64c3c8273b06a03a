/* Measures CPU time and memory of one engine by its number of peers. */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>

#include "request/engine.h"

#define SERVICE 1
#define SLOTS 2
#define CYCLES 20000
#define TICKS 2000
#define WARM_US (20 * USEC_PER_SEC)

static const unsigned sizes[] = {10, 100, 1000};
static const uint8_t answer[] = "HTTP/1.1 200 OK\r\n\r\n";

static struct engine *
engine_with_peers(unsigned peers, uint64_t now_us)
{
    unsigned count = peers + 1;
    struct view *view =
        g_malloc0(sizeof(*view) + count * sizeof(view->members[0]));
    struct engine *engine = engine_new(1, ENGINE_POLICY_DEFAULT, 1);
    struct engine_actions out = {0};

    view->count = count;
    for (unsigned i = 0; i < count; i++) {
        view->members[i].id = i + 1;
        view->members[i].role = MEMBER_AGENT;
        view->members[i].state = MEMBER_READY;
        view->members[i].service = SERVICE;
        view->members[i].slots = SLOTS;
        view->members[i].incarnation = 1;
    }
    engine_set_upstream(engine, SERVICE, SLOTS, true, now_us, &out);
    engine_set_view(engine, view, now_us, &out);
    engine_actions_finish(&out);
    g_free(view);
    return engine;
}

/* Delivers a load report of every peer. */
static void
report_loads(struct engine *engine, unsigned peers, uint64_t now_us)
{
    struct engine_peer_msg msg = {.type = ENGINE_PEER_STATUS};
    struct engine_actions out = {0};

    for (unsigned i = 0; i < peers; i++) {
        msg.load = (uint16_t)(500 + i % 100);
        engine_peer(engine, i + 2, &msg, NULL, 0, now_us, &out);
        out.count = 0;
    }
    engine_actions_finish(&out);
}

static double
ns_per_request(struct engine *engine, uint64_t *now_us)
{
    struct engine_request request = {.service = SERVICE};
    struct engine_actions out = {0};
    gint64 begin = g_get_monotonic_time();

    for (uint64_t i = 1; i <= CYCLES; i++) {
        *now_us += USEC_PER_MSEC;
        request.id = i;
        request.caller = (uint32_t)i;
        request.deadline_us = *now_us + USEC_PER_SEC;
        engine_arrive(engine, &request, *now_us, &out);
        engine_upstream_end(engine, 1, i, ENGINE_UP_ANSWERED, answer,
                            sizeof(answer), *now_us, &out);
        out.count = 0;
    }
    engine_actions_finish(&out);
    return 1000.0 * (double)(g_get_monotonic_time() - begin) / CYCLES;
}

static double
ns_per_tick(struct engine *engine, uint64_t *now_us)
{
    struct engine_actions out = {0};
    gint64 begin = g_get_monotonic_time();

    for (int i = 0; i < TICKS; i++) {
        *now_us += 10 * USEC_PER_MSEC;
        engine_tick(engine, *now_us, &out);
        out.count = 0;
    }
    engine_actions_finish(&out);
    return 1000.0 * (double)(g_get_monotonic_time() - begin) / TICKS;
}

int
main(void)
{
    printf("%6s %14s %10s %12s\n", "peers", "ns/request", "ns/tick", "bytes");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        uint64_t now_us = WARM_US;
        size_t before = mallinfo2().uordblks;
        struct engine *engine = engine_with_peers(sizes[i], now_us);
        size_t bytes = mallinfo2().uordblks - before;
        double request_ns;

        report_loads(engine, sizes[i], now_us);
        request_ns = ns_per_request(engine, &now_us);
        printf("%6u %14.0f %10.0f %12zu\n", sizes[i], request_ns,
               ns_per_tick(engine, &now_us), bytes);
        engine_free(engine);
    }
    return 0;
}
