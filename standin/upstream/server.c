#include "standin/upstream/server.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http_parser.h>
#include <math.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/hash.h"
#include "standin/upstream/record.h"

#define ANSWER_BYTES_DEFAULT 32
#define ANSWER_BYTES_MAX (8u << 20)
#define BODY_BLOCK 64
#define LATE_MS 200
#define TIMEOUT_MS_DEFAULT 5000
#define FIELD_MAX 64
#define US_PER_MS 1000.0

/* Where a request is. */
enum stage { STAGE_READING, STAGE_WAITING, STAGE_RUNNING, STAGE_ANSWERING };

/** struct exchange - one connection with its one request */
struct exchange {
    struct server *server;
    struct bufferevent *bev;
    http_parser parser;
    enum stage stage;
    struct record_run run;
    struct event *timer;
    char field[FIELD_MAX];
    bool in_value;
    char value[RECORD_TEXT_MAX];
    unsigned long answer_bytes;
    unsigned long timeout_ms;
    enum fault fault;
    bool head;
    bool gone;
    GList link;
    GList wait_link;
};

static uint64_t
now_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

static void
start_waiting(struct server *server);

static void
exchange_free(struct exchange *exchange)
{
    struct server *server = exchange->server;

    g_queue_unlink(&server->open, &exchange->link);
    if (exchange->stage == STAGE_WAITING) {
        g_queue_unlink(&server->waiting, &exchange->wait_link);
    }
    if (exchange->timer != NULL) {
        event_free(exchange->timer);
    }
    bufferevent_free(exchange->bev);
    g_free(exchange);
}

/* Byte i of a body depends on its request's id, so that a crossed or cut
 * answer shows. */
static void
fill_body(uint64_t id, uint8_t *body, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        body[i] = (uint8_t)('a' + (hash_pair(id, i / BODY_BLOCK) + i) % 26);
    }
}

static void
append_answer(struct exchange *exchange)
{
    struct evbuffer *out = bufferevent_get_output(exchange->bev);
    size_t len = exchange->answer_bytes;
    uint64_t id = g_ascii_strtoull(exchange->run.id, NULL, 16);

    evbuffer_add_printf(out,
                        "HTTP/1.1 200 OK\r\n"
                        "Content-Type: application/octet-stream\r\n"
                        "X-Service: %s\r\n"
                        "X-Endpoint: %s\r\n"
                        "X-Request-Id: %s\r\n"
                        "Content-Length: %zu\r\n"
                        "Connection: close\r\n\r\n",
                        exchange->server->config->service,
                        exchange->server->config->name, exchange->run.id, len);
    if (exchange->head) {
        return;
    }
    uint8_t *body = g_malloc(len + 1);
    fill_body(id, body, len);
    evbuffer_add(out, body, exchange->fault == FAULT_SHORT ? len / 2 : len);
    g_free(body);
}

/* Sheds before anything ran: the one case in which 503 with Retry-After
 * says so. */
static void
shed(struct exchange *exchange)
{
    exchange->stage = STAGE_ANSWERING;
    exchange->run.start_us = 0;
    record_write(&exchange->run, "shed", 0);
    evbuffer_add_printf(bufferevent_get_output(exchange->bev),
                        "HTTP/1.1 503 Service Unavailable\r\n"
                        "Retry-After: 1\r\n"
                        "Content-Length: 0\r\n"
                        "Connection: close\r\n\r\n");
}

static void
run_over(struct exchange *exchange, const char *event)
{
    struct server *server = exchange->server;

    record_write(&exchange->run, event, now_us());
    exchange->stage = STAGE_ANSWERING;
    server->busy--;
}

static void
on_run_over(evutil_socket_t fd, short what, void *arg)
{
    struct exchange *exchange = arg;
    struct server *server = exchange->server;

    run_over(exchange, "end");
    if (exchange->gone) {
        exchange_free(exchange);
    }
    else {
        append_answer(exchange);
        if (exchange->fault == FAULT_DOUBLE) {
            append_answer(exchange);
        }
    }
    start_waiting(server);
}

/* Box-Muller, scaled so that the mean of the log-normal is @mean_ms. */
static double
draw_ms(struct server *server)
{
    const struct config *config = server->config;
    double u = 1 - g_rand_double(server->random);
    double v = g_rand_double(server->random);
    double normal = sqrt(-2 * log(u)) * cos(2 * G_PI * v);
    double sigma = config->sigma;

    return config->mean_ms * exp(sigma * normal - sigma * sigma / 2);
}

static void
start_run(struct exchange *exchange)
{
    struct server *server = exchange->server;
    double ms = draw_ms(server);

    exchange->stage = STAGE_RUNNING;
    exchange->run.start_us = now_us();
    server->busy++;
    record_write(&exchange->run, "start", 0);
    if (exchange->fault == FAULT_SLOW || exchange->fault == FAULT_LIE) {
        ms *= server->config->slow_factor;
    }
    if (exchange->fault == FAULT_LATE) {
        ms = (double)exchange->timeout_ms + LATE_MS;
    }
    struct timeval delay = {(time_t)(ms / 1000),
                            (suseconds_t)(fmod(ms, 1000) * US_PER_MS)};
    exchange->timer = evtimer_new(server->base, on_run_over, exchange);
    evtimer_add(exchange->timer, &delay);
}

static void
start_waiting(struct server *server)
{
    while (server->busy < server->config->slots &&
           server->waiting.head != NULL) {
        struct exchange *exchange = server->waiting.head->data;
        g_queue_unlink(&server->waiting, &exchange->wait_link);
        start_run(exchange);
    }
}

static void
admit(struct exchange *exchange)
{
    struct server *server = exchange->server;
    const struct config *config = server->config;

    if (g_rand_double(server->random) < config->fault_share) {
        exchange->fault = config->fault;
    }
    if (exchange->fault == FAULT_REFUSE ||
        (server->busy >= config->slots &&
         server->waiting.length >= config->queue)) {
        shed(exchange);
        return;
    }
    exchange->stage = STAGE_WAITING;
    g_queue_push_tail_link(&server->waiting, &exchange->wait_link);
    start_waiting(server);
}

static void
take_field(struct exchange *exchange)
{
    const char *name = exchange->field;
    const char *value = exchange->value;
    struct record_run *run = &exchange->run;

    if (g_ascii_strcasecmp(name, "X-Request-Id") == 0) {
        g_strlcpy(run->id, value, sizeof(run->id));
    }
    else if (g_ascii_strcasecmp(name, "Idempotency-Key") == 0) {
        g_strlcpy(run->key, value, sizeof(run->key));
    }
    else if (g_ascii_strcasecmp(name, "Host") == 0) {
        g_strlcpy(run->host, value, sizeof(run->host));
    }
    else if (g_ascii_strcasecmp(name, "X-Answer-Bytes") == 0) {
        exchange->answer_bytes =
            MIN(strtoul(value, NULL, 10), ANSWER_BYTES_MAX);
    }
    else if (g_ascii_strcasecmp(name, "Request-Timeout-Ms") == 0) {
        exchange->timeout_ms = strtoul(value, NULL, 10);
    }
    exchange->field[0] = '\0';
    exchange->value[0] = '\0';
}

static void
append(char *buf, size_t size, const char *at, size_t len)
{
    size_t have = strlen(buf);
    size_t room = size - 1 - have;

    if (len > room) {
        len = room;
    }
    memcpy(buf + have, at, len);
    buf[have + len] = '\0';
}

static int
on_field(http_parser *parser, const char *at, size_t len)
{
    struct exchange *exchange = parser->data;

    if (exchange->in_value) {
        take_field(exchange);
        exchange->in_value = false;
    }
    append(exchange->field, sizeof(exchange->field), at, len);
    return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
    struct exchange *exchange = parser->data;

    exchange->in_value = true;
    append(exchange->value, sizeof(exchange->value), at, len);
    return 0;
}

static int
on_complete(http_parser *parser)
{
    struct exchange *exchange = parser->data;

    if (exchange->in_value) {
        take_field(exchange);
    }
    exchange->head = parser->method == HTTP_HEAD;
    g_strlcpy(exchange->run.method,
              http_method_str((enum http_method)parser->method),
              sizeof(exchange->run.method));
    http_parser_pause(parser, 1); /* one request a connection */
    admit(exchange);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_message_complete = on_complete,
};

static void
on_readable(struct bufferevent *bev, void *arg)
{
    struct exchange *exchange = arg;
    struct evbuffer *input = bufferevent_get_input(bev);
    size_t len = evbuffer_get_length(input);

    if (exchange->stage == STAGE_READING) {
        const char *data = (const char *)evbuffer_pullup(input, -1);
        http_parser_execute(&exchange->parser, &parser_settings, data, len);
        if (exchange->stage == STAGE_READING &&
            HTTP_PARSER_ERRNO(&exchange->parser) != HPE_OK) {
            exchange->stage = STAGE_ANSWERING;
            evbuffer_add_printf(bufferevent_get_output(bev),
                                "HTTP/1.1 400 Bad Request\r\n"
                                "Content-Length: 0\r\n"
                                "Connection: close\r\n\r\n");
        }
    }
    evbuffer_drain(input, len);
}

static void
on_written(struct bufferevent *bev, void *arg)
{
    struct exchange *exchange = arg;

    if (exchange->stage == STAGE_ANSWERING) {
        exchange_free(exchange);
    }
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    struct exchange *exchange = arg;
    struct server *server = exchange->server;

    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    if (exchange->stage == STAGE_RUNNING) {
        if (exchange->fault == FAULT_LATE) {
            exchange->gone = true;
            bufferevent_disable(bev, EV_READ | EV_WRITE);
            return;
        }
        run_over(exchange, "cancelled");
    }
    exchange_free(exchange);
    start_waiting(server);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *addr, int len, void *arg)
{
    struct server *server = arg;
    struct exchange *exchange = g_new0(struct exchange, 1);

    exchange->server = server;
    exchange->answer_bytes = ANSWER_BYTES_DEFAULT;
    exchange->timeout_ms = TIMEOUT_MS_DEFAULT;
    exchange->link.data = exchange;
    exchange->wait_link.data = exchange;
    http_parser_init(&exchange->parser, HTTP_REQUEST);
    exchange->parser.data = exchange;
    exchange->bev =
        bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
    g_queue_push_tail_link(&server->open, &exchange->link);
    bufferevent_setcb(exchange->bev, on_readable, on_written, on_event,
                      exchange);
    bufferevent_enable(exchange->bev, EV_READ | EV_WRITE);
}

static void
on_datagram(evutil_socket_t fd, short what, void *arg)
{
    uint8_t buf[2048];
    struct sockaddr_storage from;
    socklen_t from_len = sizeof(from);
    ssize_t len = recvfrom(fd, buf, sizeof(buf), MSG_DONTWAIT,
                           (struct sockaddr *)&from, &from_len);

    if (len >= 0) {
        sendto(fd, buf, (size_t)len, MSG_DONTWAIT, (struct sockaddr *)&from,
               from_len);
    }
}

static int
open_udp(struct server *server, const struct sockaddr_in *sin)
{
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return -errno;
    }
    if (bind(fd, (const struct sockaddr *)sin, sizeof(*sin)) < 0) {
        int code = -errno;
        close(fd);
        return code;
    }
    server->udp =
        event_new(server->base, fd, EV_READ | EV_PERSIST, on_datagram, server);
    event_add(server->udp, NULL);
    return 0;
}

int
server_init(struct server *server, const struct config *config,
            struct event_base *base)
{
    struct sockaddr_in sin = addr_to_sockaddr(config->listen);

    *server = (struct server){.config = config, .base = base};
    server->random = g_rand_new_with_seed((guint32)config->seed);
    g_queue_init(&server->waiting);
    g_queue_init(&server->open);
    server->listener = evconnlistener_new_bind(
        base, on_accept, server,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        (struct sockaddr *)&sin, sizeof(sin));
    if (server->listener == NULL) {
        return -errno;
    }
    return open_udp(server, &sin);
}

void
server_finish(struct server *server)
{
    struct exchange *exchange;

    while ((exchange = g_queue_peek_head(&server->open)) != NULL) {
        exchange_free(exchange);
    }
    if (server->listener != NULL) {
        evconnlistener_free(server->listener);
    }
    if (server->udp != NULL) {
        int fd = event_get_fd(server->udp);
        event_free(server->udp);
        close(fd);
    }
    g_rand_free(server->random);
}

bool
server_is_idle(const struct server *server)
{
    return server->open.length == 0;
}
