#include "caller/datagram.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "caller/caller.h"

#define ID_LEN 16

static void
write_payload(uint64_t id, uint8_t *payload, size_t len)
{
    char text[ID_LEN + 1];

    g_snprintf(text, sizeof(text), "%016" PRIx64, id);
    memcpy(payload, text, ID_LEN);
    for (size_t at = ID_LEN; at < len; at++)
        payload[at] = request_body_byte(id, at);
}

static void
send_one(struct datagram_load *load)
{
    uint64_t id = hash_pair(load->id_seed, ++load->line.sent);
    struct addr src = load->sources[load->line.sent % load->settings->flows];
    struct addr to = load->settings->to;
    uint8_t payload[PACKET_MAX];
    uint8_t packet[PACKET_MAX];
    size_t len;

    write_payload(id, payload, load->settings->body_bytes);
    len = packet_build_udp(src.ip, src.port, to.ip, to.port, payload,
                           load->settings->body_bytes, packet);
    g_hash_table_add(load->waiting, g_memdup2(&id, sizeof(id)));
    caller_send(load->caller, packet, len);
}

static void
arm_timer(struct datagram_load *load, uint64_t now_us)
{
    uint64_t delay = load->next_us > now_us ? load->next_us - now_us : 0;
    struct timeval tv = {.tv_sec = (time_t)(delay / USEC_PER_SEC),
                         .tv_usec = (suseconds_t)(delay % USEC_PER_SEC)};

    event_add(load->timer, &tv);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    struct datagram_load *load = data;
    uint64_t now_us = clock_now_us(&load->caller->clock);

    (void)fd;
    (void)what;
    while (load->next_us <= now_us) {
        send_one(load);
        load->next_us += load_next_arrival(load->rand, load->settings->rate);
    }
    arm_timer(load, now_us);
}

/* Whether the payload is an echo that is due, whole and unchanged. */
static bool
take_echo(struct datagram_load *load, const uint8_t *payload, size_t len)
{
    uint8_t expected[PACKET_MAX];
    char text[ID_LEN + 1] = "";
    uint64_t id;

    if (len != load->settings->body_bytes)
        return false;
    memcpy(text, payload, ID_LEN);
    id = g_ascii_strtoull(text, NULL, 16);
    write_payload(id, expected, len);
    return memcmp(expected, payload, len) == 0 &&
           g_hash_table_remove(load->waiting, &id);
}

int
datagram_load_init(struct datagram_load *load, struct caller *caller,
                   const struct load_settings *settings, unsigned index)
{
    load->caller = caller;
    load->settings = settings;
    load->line.service = settings->service;
    load->id_seed = hash_pair(caller->settings->seed, index + 1);
    load->rand = g_rand_new_with_seed((guint32)load->id_seed);
    load->waiting =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    load->sources = g_new(struct addr, settings->flows);
    for (unsigned i = 0; i < settings->flows; i++)
        caller_next_flow(caller, &load->sources[i]);
    load->timer = evtimer_new(caller->event_base, on_timer, load);
    return load->timer != NULL ? 0 : -ENOMEM;
}

void
datagram_load_finish(struct datagram_load *load)
{
    if (load->timer != NULL)
        event_free(load->timer);
    g_hash_table_destroy(load->waiting);
    g_rand_free(load->rand);
    g_free(load->sources);
}

void
datagram_load_start(struct datagram_load *load, uint64_t now_us)
{
    load->next_us =
        now_us + load_next_arrival(load->rand, load->settings->rate);
    arm_timer(load, now_us);
}

void
datagram_load_stop(struct datagram_load *load)
{
    event_del(load->timer);
}

bool
datagram_load_is_idle(const struct datagram_load *load)
{
    return g_hash_table_size(load->waiting) == 0;
}

static bool
is_own_source(const struct datagram_load *load, struct addr dst)
{
    for (unsigned i = 0; i < load->settings->flows; i++) {
        if (addr_equal(load->sources[i], dst))
            return true;
    }
    return false;
}

bool
datagram_load_input(struct datagram_load *load, const struct packet *packet,
                    const uint8_t *buf)
{
    struct addr src = {.ip = packet->src, .port = packet->sport};
    struct addr dst = {.ip = packet->dst, .port = packet->dport};

    if (!is_own_source(load, dst))
        return false;
    if (addr_equal(src, load->settings->to) &&
        take_echo(load, buf + packet->payload, packet->payload_len))
        load->line.echoed++;
    else
        load->line.foreign++;
    return true;
}

void
datagram_load_record(struct datagram_load *load)
{
    load->line.lost = g_hash_table_size(load->waiting);
    record_datagrams(&load->caller->record, &load->line);
}
