#include "standin/upstream/announce.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <stdio.h>

static void
on_readable(struct bufferevent *bev, void *arg)
{
    struct evbuffer *input = bufferevent_get_input(bev);

    evbuffer_drain(input, evbuffer_get_length(input));
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
        bufferevent_free(bev);
    }
}

static void
send_request(struct event_base *base, const struct config *config,
             const char *method, const char *body)
{
    const struct timeval timeout = {1, 0};
    struct sockaddr_in sin = addr_to_sockaddr(config->agent);
    char agent[ADDR_TEXT_MAX];
    struct bufferevent *bev = bufferevent_socket_new(
        base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);

    if (bev == NULL) {
        return;
    }
    evbuffer_add_printf(bufferevent_get_output(bev),
                        "%s /announce HTTP/1.1\r\n"
                        "Host: %s\r\n"
                        "Content-Type: application/json\r\n"
                        "Content-Length: %zu\r\n"
                        "Connection: close\r\n\r\n%s",
                        method, addr_format(config->agent, agent),
                        strlen(body), body);
    bufferevent_setcb(bev, on_readable, NULL, on_event, NULL);
    bufferevent_set_timeouts(bev, &timeout, &timeout);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(bev, (struct sockaddr *)&sin, sizeof(sin)) <
        0) {
        bufferevent_free(bev);
    }
}

void
announce_put(struct event_base *base, const struct config *config,
             const char *state, unsigned busy)
{
    char body[512];
    char listen[ADDR_TEXT_MAX];

    snprintf(body, sizeof(body),
             "{\"service\":\"%s\",\"address\":\"%s\",\"slots\":%u,"
             "\"state\":\"%s\",\"busy\":%u}",
             config->service, addr_format(config->listen, listen),
             config->slots, state, busy);
    send_request(base, config, "PUT", body);
}

void
announce_delete(struct event_base *base, const struct config *config)
{
    send_request(base, config, "DELETE", "");
}
