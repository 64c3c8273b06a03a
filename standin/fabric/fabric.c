#define G_LOG_DOMAIN "swiftarch-fabric"

#include "standin/fabric/fabric.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin/fabric/delay.h"
#include "standin/fabric/health.h"

#define SOCKET_BUFFER (4 << 20)
#define PACKETS_AT_ONCE 256
#define BUFFER_MAX 2048
#define BARE_GUE 4
#define INNER_DST (BARE_GUE + 16)

/* A packet held back is late by so many times the callers' delay at most. */
#define REORDER_SPREAD 2
#define REORDER_MIN_US 1000

struct fabric {
    struct config config;
    struct clock *clock;
    struct event_base *base;
    int fd;
    struct addr addr;
    struct event *readable;
    struct event *due;
    struct health *health;
    struct delay *delay;
    GRand *random;
    size_t next_balancer;
    struct fabric_counts counts;
};

static bool
is_cut(const struct config *config, struct addr to)
{
    for (size_t i = 0; i < config->cut_count; i++)
        if (addr_equal(config->cut[i], to))
            return true;
    return false;
}

static const struct config_caller *
find_caller(const struct config *config, uint32_t ip)
{
    for (size_t i = 0; i < config->caller_count; i++)
        if (config->callers[i].ip == ip)
            return &config->callers[i];
    return NULL;
}

/* One of the balancers that are up, or NULL */
static const struct config_balancer *
pick_balancer(struct fabric *fabric)
{
    const struct config_balancer *up[CONFIG_BALANCERS_MAX];
    size_t count = 0;

    for (size_t i = 0; i < fabric->config.balancer_count; i++)
        if (health_is_up(fabric->health, i))
            up[count++] = &fabric->config.balancers[i];
    if (count == 0)
        return NULL;
    if (fabric->config.spray == SPRAY_ROUND_ROBIN)
        return up[fabric->next_balancer++ % count];
    return up[g_rand_int_range(fabric->random, 0, (gint32)count)];
}

static void
arm_timer(struct fabric *fabric)
{
    uint64_t next_us = delay_next_us(fabric->delay);
    uint64_t now_us = clock_now_us(fabric->clock);
    uint64_t wait_us = next_us > now_us ? next_us - now_us : 0;
    struct timeval wait = {
        .tv_sec = (time_t)(wait_us / USEC_PER_SEC),
        .tv_usec = (suseconds_t)(wait_us % USEC_PER_SEC),
    };

    if (next_us == UINT64_MAX)
        event_del(fabric->due);
    else
        event_add(fabric->due, &wait);
}

static uint64_t
hold_back_us(struct fabric *fabric)
{
    gdouble most =
        REORDER_MIN_US + REORDER_SPREAD * fabric->config.client_delay_us;
    return (uint64_t)g_rand_double_range(fabric->random, 1, most);
}

static void
put_under_way(struct fabric *fabric, const uint8_t *bytes, size_t len,
              struct addr to, uint64_t delay_us)
{
    uint64_t due_us = clock_now_us(fabric->clock) + delay_us;
    bool overtaken = g_rand_double(fabric->random) < fabric->config.reorder;

    if (overtaken) {
        fabric->counts.reordered++;
        due_us += hold_back_us(fabric);
    }
    if (delay_put(fabric->delay, bytes, len, to, due_us, overtaken) < 0)
        fabric->counts.queue_full++;
}

static void
handle_packet(struct fabric *fabric, const uint8_t *bytes, size_t len)
{
    const struct config *config = &fabric->config;
    struct addr to;
    uint64_t delay_us = config->client_delay_us;
    uint32_t ip;

    if (len < INNER_DST + sizeof(ip)) {
        fabric->counts.malformed++;
        return;
    }
    if (g_rand_double(fabric->random) < config->loss) {
        fabric->counts.lost++;
        return;
    }
    memcpy(&ip, bytes + INNER_DST, sizeof(ip));

    const struct config_caller *caller = find_caller(config, ntohl(ip));
    if (caller != NULL) {
        to = caller->to;
    }
    else {
        const struct config_balancer *balancer = pick_balancer(fabric);
        if (balancer == NULL) {
            fabric->counts.no_balancer++;
            return;
        }
        to = balancer->data;
        delay_us += balancer->delay_us;
    }
    if (is_cut(config, to)) {
        fabric->counts.cut++;
        return;
    }
    if (caller != NULL)
        fabric->counts.to_callers++;
    else
        fabric->counts.to_balancers++;
    put_under_way(fabric, bytes, len, to, delay_us);
}

static void
on_readable(evutil_socket_t fd, short what, void *data)
{
    struct fabric *fabric = data;
    uint8_t bytes[BUFFER_MAX];

    for (int i = 0; i < PACKETS_AT_ONCE; i++) {
        ssize_t len = recv(fabric->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (len < 0)
            break;
        handle_packet(fabric, bytes, (size_t)len);
    }
    arm_timer(fabric);
}

static void
on_due(evutil_socket_t fd, short what, void *data)
{
    struct fabric *fabric = data;
    struct delay_packet *packet;
    uint64_t now_us = clock_now_us(fabric->clock);

    while ((packet = delay_take(fabric->delay, now_us)) != NULL) {
        struct sockaddr_in sin = addr_to_sockaddr(packet->to);
        if (sendto(fabric->fd, packet->bytes, packet->len, 0,
                   (struct sockaddr *)&sin, sizeof(sin)) < 0)
            fabric->counts.send_failed++;
        g_free(packet);
    }
    arm_timer(fabric);
}

static int
open_socket(struct fabric *fabric)
{
    struct sockaddr_in sin = addr_to_sockaddr(fabric->config.listen);
    socklen_t len = sizeof(sin);
    int size = SOCKET_BUFFER;

    fabric->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (fabric->fd < 0)
        return -errno;
    setsockopt(fabric->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    setsockopt(fabric->fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
    if (bind(fabric->fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 ||
        getsockname(fabric->fd, (struct sockaddr *)&sin, &len) < 0)
        return -errno;
    fabric->addr = addr_from_sockaddr(&sin);
    return 0;
}

static int
add_events(struct fabric *fabric)
{
    fabric->readable = event_new(fabric->base, fabric->fd,
                                 EV_READ | EV_PERSIST, on_readable, fabric);
    fabric->due = event_new(fabric->base, -1, 0, on_due, fabric);
    fabric->health = health_new(fabric->base, &fabric->config);
    if (fabric->readable == NULL || fabric->due == NULL ||
        fabric->health == NULL || event_add(fabric->readable, NULL) < 0)
        return -ENOMEM;
    return 0;
}

/* Whether the same balancers are asked in the same way */
static bool
same_balancers(const struct config *a, const struct config *b)
{
    if (a->balancer_count != b->balancer_count ||
        a->health_interval_ms != b->health_interval_ms)
        return false;
    for (size_t i = 0; i < a->balancer_count; i++)
        if (!addr_equal(a->balancers[i].data, b->balancers[i].data) ||
            !addr_equal(a->balancers[i].http, b->balancers[i].http))
            return false;
    return true;
}

struct fabric *
fabric_new(struct event_base *base, const struct config *config,
           struct clock *clock, struct error *err)
{
    struct fabric *fabric = g_new0(struct fabric, 1);
    char text[ADDR_TEXT_MAX];
    int result;

    fabric->config = *config;
    fabric->clock = clock;
    fabric->base = base;
    fabric->fd = -1;
    fabric->random = g_rand_new_with_seed(config->seed);
    fabric->delay = delay_new();
    result = open_socket(fabric);
    if (result == 0)
        result = add_events(fabric);
    if (result == 0)
        return fabric;

    error_set(err, result, "open fabric", addr_format(config->listen, text),
              "the address can't be used");
    fabric_free(fabric);
    return NULL;
}

void
fabric_free(struct fabric *fabric)
{
    health_free(fabric->health);
    if (fabric->readable != NULL)
        event_free(fabric->readable);
    if (fabric->due != NULL)
        event_free(fabric->due);
    if (fabric->fd >= 0)
        close(fabric->fd);
    delay_free(fabric->delay);
    g_rand_free(fabric->random);
    g_free(fabric);
}

int
fabric_reload(struct fabric *fabric, const struct config *config)
{
    bool same = same_balancers(&fabric->config, config);

    if (!same) {
        fabric->counts.health_changes += health_changes(fabric->health);
        health_free(fabric->health);
    }
    fabric->config = *config;
    if (same)
        return 0;
    fabric->health = health_new(fabric->base, &fabric->config);
    return fabric->health != NULL ? 0 : -ENOMEM;
}

struct addr
fabric_addr(const struct fabric *fabric)
{
    return fabric->addr;
}

bool
fabric_idle(const struct fabric *fabric)
{
    return delay_next_us(fabric->delay) == UINT64_MAX;
}

struct fabric_counts
fabric_counts(const struct fabric *fabric)
{
    struct fabric_counts counts = fabric->counts;

    if (fabric->health != NULL)
        counts.health_changes += health_changes(fabric->health);
    return counts;
}
