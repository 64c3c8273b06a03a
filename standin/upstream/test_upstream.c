/* The stand-in upstream over real sockets, in the test's own event loop. */
#include <event2/event.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/hash.h"
#include "standin/upstream/record.h"
#include "standin/upstream/server.h"

#define CLIENTS 3
#define ID "00000000000000ab"

/** struct world - a server, its record and a few clients */
struct world {
    struct config config;
    struct event_base *base;
    struct server server;
    char *folder;
    int clients[CLIENTS];
    GString *got[CLIENTS];
};

static struct addr
free_addr(void)
{
    struct sockaddr_in sin = {.sin_family = AF_INET,
                              .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(sin);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    g_assert_cmpint(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), ==, 0);
    getsockname(fd, (struct sockaddr *)&sin, &len);
    close(fd);
    return addr_from_sockaddr(&sin);
}

static void
world_init(struct world *world, enum fault fault)
{
    memset(world, 0, sizeof(*world));
    world->folder = g_dir_make_tmp("upstream-XXXXXX", NULL);
    world->config = (struct config){
        .listen = free_addr(),
        .name = "lots-1",
        .service = "lots",
        .slots = 2,
        .mean_ms = 5,
        .seed = 1,
        .fault = fault,
        .fault_share = 1,
        .slow_factor = 1,
    };
    g_snprintf(world->config.record, sizeof(world->config.record), "%s/r",
               world->folder);
    world->base = event_base_new();
    g_assert_cmpint(record_open(&world->config), ==, 0);
    g_assert_cmpint(server_init(&world->server, &world->config, world->base),
                    ==, 0);
    for (size_t i = 0; i < CLIENTS; i++) {
        world->clients[i] = -1;
        world->got[i] = g_string_new(NULL);
    }
}

static void
world_finish(struct world *world)
{
    server_finish(&world->server);
    record_close();
    event_base_free(world->base);
    for (size_t i = 0; i < CLIENTS; i++) {
        g_string_free(world->got[i], TRUE);
        if (world->clients[i] >= 0) {
            close(world->clients[i]);
        }
    }
    g_unlink(world->config.record);
    g_rmdir(world->folder);
    g_free(world->folder);
}

static void
ask(struct world *world, size_t i, const char *text)
{
    struct sockaddr_in sin = addr_to_sockaddr(world->config.listen);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    g_assert_cmpint(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), ==, 0);
    g_assert_cmpint(send(fd, text, strlen(text), 0), ==, (gssize)strlen(text));
    fcntl(fd, F_SETFL, O_NONBLOCK);
    world->clients[i] = fd;
}

/* Runs the loop until nothing runs or waits any more. */
static void
run(struct world *world)
{
    char buf[4096];

    for (int round = 0; round < 500; round++) {
        const struct timeval step = {0, 2000};
        event_base_loopexit(world->base, &step);
        event_base_dispatch(world->base);
        for (size_t i = 0; i < CLIENTS; i++) {
            ssize_t len = world->clients[i] < 0
                              ? 0
                              : recv(world->clients[i], buf, sizeof(buf), 0);
            if (len > 0) {
                g_string_append_len(world->got[i], buf, len);
            }
        }
        if (round > 2 && server_is_idle(&world->server)) {
            return;
        }
    }
    g_assert_not_reached();
}

static size_t
recorded(const struct world *world, const char *event)
{
    char *text = NULL;
    char *want = g_strdup_printf("\"event\":\"%s\"", event);
    size_t count = 0;

    g_file_get_contents(world->config.record, &text, NULL, NULL);
    for (const char *at = text; at != NULL && (at = strstr(at, want));) {
        count++;
        at++;
    }
    g_free(text);
    g_free(want);
    return count;
}

#define GET                                                                   \
    "GET /x HTTP/1.1\r\nHost: lots\r\nX-Request-Id: " ID                      \
    "\r\nX-Answer-Bytes: 100\r\n\r\n"

/* Two run, the third is shed before anything of it ran. */
static void
test_slots(void)
{
    struct world world;

    world_init(&world, FAULT_NONE);
    world.config.mean_ms = 200; /* all three are read long before it ends */
    for (size_t i = 0; i < CLIENTS; i++) {
        ask(&world, i, GET);
    }
    run(&world);
    g_assert_cmpuint(recorded(&world, "start"), ==, 2);
    g_assert_cmpuint(recorded(&world, "end"), ==, 2);
    g_assert_cmpuint(recorded(&world, "shed"), ==, 1);
    size_t whole = 0;
    size_t shed = 0;
    for (size_t i = 0; i < CLIENTS; i++) {
        whole += g_str_has_prefix(world.got[i]->str, "HTTP/1.1 200 ");
        shed += strstr(world.got[i]->str, "503") != NULL &&
                strstr(world.got[i]->str, "Retry-After: 1") != NULL;
    }
    g_assert_cmpuint(whole, ==, 2);
    g_assert_cmpuint(shed, ==, 1);
    world_finish(&world);
}

static void
test_queue(void)
{
    struct world world;

    world_init(&world, FAULT_NONE);
    world.config.queue = 1;
    for (size_t i = 0; i < CLIENTS; i++) {
        ask(&world, i, GET);
    }
    run(&world);
    g_assert_cmpuint(recorded(&world, "end"), ==, 3);
    world_finish(&world);
}

static void
test_body(void)
{
    struct world world;

    world_init(&world, FAULT_NONE);
    ask(&world, 0, GET);
    run(&world);
    const char *body = strstr(world.got[0]->str, "\r\n\r\n");
    g_assert_nonnull(strstr(world.got[0]->str, "X-Service: lots\r\n"));
    g_assert_nonnull(strstr(world.got[0]->str, "X-Request-Id: " ID "\r\n"));
    g_assert_nonnull(body);
    body += 4;
    g_assert_cmpuint(strlen(body), ==, 100);
    for (size_t i = 0; i < 100; i++) {
        char want = (char)('a' + (hash_pair(0xab, i / 64) + i) % 26);
        g_assert_true(body[i] == want);
    }
    world_finish(&world);
}

static void
test_cancelled(void)
{
    struct world world;

    world_init(&world, FAULT_NONE);
    world.config.mean_ms = 5000;
    ask(&world, 0, GET);
    const struct timeval step = {0, 20000};
    event_base_loopexit(world.base, &step);
    event_base_dispatch(world.base);
    g_assert_cmpuint(recorded(&world, "start"), ==, 1);
    close(world.clients[0]);
    world.clients[0] = -1;
    run(&world);
    g_assert_cmpuint(recorded(&world, "cancelled"), ==, 1);
    g_assert_cmpuint(recorded(&world, "end"), ==, 0);
    world_finish(&world);
}

static size_t
answer_bytes(enum fault fault)
{
    struct world world;

    world_init(&world, fault);
    ask(&world, 0, GET);
    run(&world);
    size_t len = world.got[0]->len;
    world_finish(&world);
    return len;
}

static void
test_faults(void)
{
    size_t whole = answer_bytes(FAULT_NONE);

    g_assert_cmpuint(answer_bytes(FAULT_SHORT), ==, whole - 50);
    g_assert_cmpuint(answer_bytes(FAULT_DOUBLE), ==, 2 * whole);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/upstream/slots", test_slots);
    g_test_add_func("/upstream/queue", test_queue);
    g_test_add_func("/upstream/body", test_body);
    g_test_add_func("/upstream/cancelled", test_cancelled);
    g_test_add_func("/upstream/faults", test_faults);
    return g_test_run();
}
