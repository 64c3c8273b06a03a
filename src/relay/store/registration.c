#include "relay/store/registration.h"

#include <errno.h>
#include <stddef.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/container.h"
#include "base/hash.h"

/* First and longest pause after a failed call. Balancers don't know a new
 * agent until it is registered, so the first is short; calls to a store that
 * is down are paid for, so pauses double. */
#define RETRY_MIN_US (100 * USEC_PER_MSEC)
#define RETRY_MAX_US (1600 * USEC_PER_MSEC)

/* Pauses vary by up to 1/JITTER_DIVISOR between agents. */
#define JITTER_DIVISOR 4

/* Pause before the second read: a stale read may be about ten seconds old, and
 * the object may have been removed since. */
#define RECHECK_DELAY_US (10 * USEC_PER_SEC)

/* Agents spread their reads after a rollback over this time. */
#define EPOCH_JITTER_US (3 * USEC_PER_SEC)

/* A string of 1 to @size - 1 bytes without NUL, or NULL. */
static const char *
get_string(struct json_object *object, const char *name, size_t size)
{
    struct json_object *value = NULL;
    const char *text;
    size_t len;

    if (!json_object_is_type(object, json_type_object) ||
        !json_object_object_get_ex(object, name, &value) ||
        !json_object_is_type(value, json_type_string)) {
        return NULL;
    }
    text = json_object_get_string(value);
    len = (size_t)json_object_get_string_len(value);
    return len > 0 && len < size && strlen(text) == len ? text : NULL;
}

void
registration_name(struct addr addr, char *name)
{
    g_snprintf(name, REGISTRATION_NAME_MAX, "%u-%u-%u-%u-%u", addr.ip >> 24,
               addr.ip >> 16 & 0xff, addr.ip >> 8 & 0xff, addr.ip & 0xff,
               addr.port);
}

/* Reads a decimal number up to @max, without leading zeros, followed by @end.
 */
static bool
parse_number(const char **at, char end, unsigned max, unsigned *number)
{
    const char *first = *at;

    *number = 0;
    while (g_ascii_isdigit(**at) && *number <= max) {
        *number = *number * 10 + (unsigned)(*(*at)++ - '0');
    }
    if (*at == first || *number > max || **at != end ||
        (*first == '0' && *at - first > 1)) {
        return false;
    }
    *at += end != '\0';
    return true;
}

int
registration_addr(const char *name, struct addr *addr)
{
    unsigned port;

    addr->ip = 0;
    for (unsigned i = 0; i < 4; i++) {
        unsigned value;

        if (!parse_number(&name, '-', UINT8_MAX, &value)) {
            return -EINVAL;
        }
        addr->ip = addr->ip << 8 | value;
    }
    if (!parse_number(&name, '\0', UINT16_MAX, &port)) {
        return -EINVAL;
    }
    addr->port = (uint16_t)port;
    return 0;
}

int
registration_decode(const char *name, struct json_object *value,
                    struct registration *registration)
{
    const char *addr = get_string(value, "address", ADDR_TEXT_MAX);
    const char *service =
        get_string(value, "service", sizeof(registration->service));
    const char *data_centre =
        get_string(value, "data_centre", sizeof(registration->data_centre));
    struct addr named;

    if (addr == NULL || service == NULL || data_centre == NULL ||
        addr_parse(addr, &registration->addr) < 0 ||
        registration_addr(name, &named) < 0 ||
        !addr_equal(named, registration->addr)) {
        return -EINVAL;
    }
    g_strlcpy(registration->service, service, sizeof(registration->service));
    g_strlcpy(registration->data_centre, data_centre,
              sizeof(registration->data_centre));
    return 0;
}

bool
registration_equal(const struct registration *a, const struct registration *b)
{
    return addr_equal(a->addr, b->addr) &&
           strcmp(a->service, b->service) == 0 &&
           strcmp(a->data_centre, b->data_centre) == 0;
}

struct json_object *
registration_encode(const struct registration *registration)
{
    struct json_object *value = json_object_new_object();
    char addr[ADDR_TEXT_MAX];

    json_object_object_add(
        value, "address",
        json_object_new_string(addr_format(registration->addr, addr)));
    json_object_object_add(value, "service",
                           json_object_new_string(registration->service));
    json_object_object_add(value, "data_centre",
                           json_object_new_string(registration->data_centre));
    return value;
}

static uint64_t
retry_pause_us(const struct registration_writer *writer)
{
    uint64_t pause_us = RETRY_MIN_US;
    uint64_t seed = hash_pair(writer->registration.addr.ip, writer->failures);

    for (unsigned i = 1; i < writer->failures && pause_us < RETRY_MAX_US;
         i++) {
        pause_us *= 2;
    }
    return pause_us + seed % (pause_us / JITTER_DIVISOR);
}

/* Whether the reply holds the registration as it would be written. */
static bool
holds_registration(const struct registration_writer *writer,
                   const struct store_reply *reply)
{
    struct registration stored;

    return reply->count == 1 &&
           registration_decode(reply->objects[0].name, reply->objects[0].value,
                               &stored) == 0 &&
           registration_equal(&stored, &writer->registration);
}

static void
on_success(struct registration_writer *writer, const struct store_reply *reply)
{
    writer->failures = 0;
    switch (writer->step) {
    case REGISTRATION_READ:
        writer->reads++;
        writer->step = holds_registration(writer, reply) ? REGISTRATION_DONE
                                                         : REGISTRATION_PUT;
        break;
    case REGISTRATION_REMOVE:
        writer->step = REGISTRATION_REMOVED;
        break;
    default:
        writer->revision = reply->count == 1 ? reply->objects[0].revision : 0;
        writer->reads = REGISTRATION_READS;
        writer->step = REGISTRATION_DONE;
    }
}

/* Follows whether the first calls show that no agent was at the address
 * before. The read may be stale, but a create of an existing object fails;
 * after a failed call an earlier agent may have run without an object. */
static void
note_new_address(struct registration_writer *writer, int status)
{
    bool creates = writer->called_step == REGISTRATION_CREATE;

    writer->created |= writer->undisturbed && creates && status == 0;
    writer->undisturbed &=
        writer->called_step == REGISTRATION_READ && status == -ENOENT;
}

static void
on_done(struct store_call *call, const struct store_reply *reply)
{
    struct registration_writer *writer =
        container_of(call, struct registration_writer, call);
    bool removing = writer->step == REGISTRATION_REMOVE;

    writer->open = false;
    note_new_address(writer, reply->status);
    writer->next_us = 0;
    if (writer->called_step != writer->step) {
        /* The step has changed since the call began; it is next. */
        return;
    }
    if (reply->epoch != 0 && reply->epoch < writer->epoch) {
        /* A reply from before the rollback. */
        writer->failures++;
        return;
    }
    if (writer->epoch != 0 && reply->epoch > writer->epoch) {
        /* The object that an earlier read found may be lost. */
        writer->reads = 0;
    }
    writer->epoch = MAX(writer->epoch, reply->epoch);
    if (reply->status == 0 || (removing && reply->status == -ENOENT)) {
        on_success(writer, reply);
    }
    else if (!removing && reply->status == -ENOENT) {
        writer->missing |= writer->reads == 0;
        writer->step = REGISTRATION_CREATE;
    }
    else if (!removing && reply->status == -EEXIST) {
        /* An earlier create whose reply was lost, or the object of an earlier
         * host at this address. */
        writer->step = REGISTRATION_PUT;
    }
    else {
        writer->failures++;
    }
}

static int
start_call(struct registration_writer *writer)
{
    struct store *store = writer->store;
    struct json_object *value;
    char name[REGISTRATION_NAME_MAX];
    int ret;

    registration_name(writer->registration.addr, name);
    if (writer->step == REGISTRATION_READ) {
        return store->ops->get(store, REGISTRATION_KIND, name,
                               STORE_READ_STALE, &writer->call);
    }
    if (writer->step == REGISTRATION_REMOVE) {
        return store->ops->remove(store, REGISTRATION_KIND, name, 0,
                                  &writer->call);
    }
    value = registration_encode(&writer->registration);
    if (writer->step == REGISTRATION_PUT) {
        ret = store->ops->put(store, REGISTRATION_KIND, name, value,
                              &writer->call);
    }
    else {
        ret = store->ops->create(store, REGISTRATION_KIND, name, value,
                                 &writer->call);
    }
    json_object_put(value);
    return ret;
}

static bool
has_work(const struct registration_writer *writer)
{
    bool settled = writer->step == REGISTRATION_DONE &&
                   writer->reads >= REGISTRATION_READS;

    return !writer->open && !settled && writer->step != REGISTRATION_REMOVED;
}

/* Pause before the next call. */
static uint64_t
call_delay_us(const struct registration_writer *writer)
{
    if (writer->failures > 0) {
        return retry_pause_us(writer);
    }
    return writer->step == REGISTRATION_DONE ? RECHECK_DELAY_US : 0;
}

void
registration_writer_init(struct registration_writer *writer,
                         struct store *store,
                         const struct registration *registration,
                         uint64_t now_us)
{
    *writer = (struct registration_writer){
        .call.done = on_done,
        .store = store,
        .registration = *registration,
        .step = REGISTRATION_READ,
        .undisturbed = true,
        .next_us = now_us,
    };
}

void
registration_writer_restore(struct registration_writer *writer,
                            uint64_t now_us)
{
    if (writer->step == REGISTRATION_DONE) {
        writer->step = REGISTRATION_CREATE;
        writer->next_us = now_us;
    }
}

void
registration_writer_remove(struct registration_writer *writer, uint64_t now_us)
{
    writer->step = REGISTRATION_REMOVE;
    writer->failures = 0;
    writer->next_us = now_us;
}

bool
registration_writer_set_epoch(struct registration_writer *writer,
                              uint32_t epoch, uint64_t now_us)
{
    uint64_t jitter_us =
        hash_pair(writer->registration.addr.ip, epoch) % EPOCH_JITTER_US;

    if (writer->epoch == 0 || epoch <= writer->epoch ||
        epoch <= writer->reported_epoch) {
        return false;
    }
    writer->reported_epoch = epoch;
    if (writer->step == REGISTRATION_REMOVED) {
        writer->step = REGISTRATION_REMOVE;
    }
    else if (writer->step == REGISTRATION_DONE) {
        writer->step = REGISTRATION_READ;
    }
    writer->reads = 0;
    if (!writer->open) {
        writer->next_us = now_us + jitter_us;
    }
    return true;
}

void
registration_writer_tick(struct registration_writer *writer, uint64_t now_us)
{
    if (!has_work(writer)) {
        return;
    }
    if (writer->next_us == 0) {
        writer->next_us = now_us + call_delay_us(writer);
    }
    if (writer->next_us > now_us) {
        return;
    }
    if (writer->step == REGISTRATION_DONE) {
        writer->step = REGISTRATION_READ;
    }
    writer->open = true;
    writer->called_step = writer->step;
    if (start_call(writer) < 0) {
        writer->open = false;
        writer->failures++;
        writer->next_us = 0;
    }
}

uint64_t
registration_writer_next_us(const struct registration_writer *writer)
{
    return has_work(writer) ? writer->next_us : UINT64_MAX;
}
