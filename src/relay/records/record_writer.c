#include "relay/records/record_writer.h"

#include <errno.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/container.h"
#include "base/hash.h"

/* Shortest interval of writes. A flow that opened since the last one isn't
 * recorded; kept-open flows live for some tens of seconds. */
#define PACE_MIN_US (5 * USEC_PER_SEC)

/* Longest interval, beyond the life of most flows: the record is of little
 * use then, and costs little. */
#define PACE_MAX_US (600 * USEC_PER_SEC)

/* Time over which agents that don't know their pace spread their first writes:
 * 20,000 that start at once stay below the store's limit of writes. */
#define FIRST_SPREAD_US (20 * USEC_PER_SEC)

/* Time from an agent's first write to its query for the store's revision, to
 * learn the rate of changes before the second. */
#define PROBE_DELAY_US (4 * USEC_PER_SEC)

/* Shortest time over which a rate of changes counts: agents that start at once
 * register within seconds. */
#define RATE_TIME_MIN_US PROBE_DELAY_US

/* Name after those of all agents: a list from there is empty. */
#define NAME_LAST "~"

/* Changes of the store a second, by all writers, above which agents write
 * less often: a small part of what a store allows. */
#define STORE_CHANGES_PER_S 60

/* Intervals vary by up to 1/JITTER_DIVISOR. */
#define JITTER_DIVISOR 4

/* Checks for changes in an interval, once a write is due. The agents of a
 * fleet whose traffic starts write within one such check. */
#define CHECK_DIVISOR 8

/* Write when one of so many flows isn't covered by the stored record. */
#define UNCOVERED_DIVISOR 8

/* First and longest pause after a failed read: idle callers' next requests
 * come soon, so the first is short. */
#define RETRY_MIN_US (100 * USEC_PER_MSEC)
#define RETRY_MAX_US (1600 * USEC_PER_MSEC)

/* Time after the first try when reading is given up: most callers have sent
 * their next request. */
#define READ_MAX_US (15 * USEC_PER_SEC)

/* Doublings of the pace after failed writes. */
#define BACKOFF_MAX 3u

/* Age of a record that is too old to matter: beyond any flow's life, also if
 * the host's clock was set by tens of minutes since. */
#define RECORD_AGE_MAX_MS (UINT64_C(3600) * 1000)

static uint64_t
jitter(const struct record_writer *writer, uint64_t salt, uint64_t range_us)
{
    return hash_pair((uint64_t)writer->addr.ip << 16 | writer->addr.port,
                     salt) %
           range_us;
}

static void
report(struct record_writer *writer, enum record_event event,
       const struct flow_record *record)
{
    writer->ops->report(writer, event, record);
}

/* The first write, or the first that finds an open flow. */
static void
plan_first_write(struct record_writer *writer, uint64_t now_us)
{
    writer->next_us = now_us + jitter(writer, now_us, writer->pace_us);
}

static void
start_writing(struct record_writer *writer, uint64_t now_us)
{
    writer->step = RECORD_WRITE;
    writer->failures = 0;
    plan_first_write(writer, now_us);
}

/* Pause after a failed read, or UINT64_MAX for none further. */
static uint64_t
retry_pause_us(const struct record_writer *writer)
{
    uint64_t pause_us = RETRY_MIN_US;

    for (unsigned i = 1; i < writer->failures && pause_us < RETRY_MAX_US;
         i++) {
        pause_us *= 2;
    }
    return pause_us +
           jitter(writer, writer->failures, pause_us / JITTER_DIVISOR);
}

static void
on_read(struct record_writer *writer, const struct store_reply *reply)
{
    enum record_event event = RECORD_EVENT_READ;

    if (reply->status != 0 && reply->status != -ENOENT) {
        writer->failures++;
        writer->next_us = writer->called_us + retry_pause_us(writer);
        report(writer, RECORD_EVENT_FAILED, &writer->stored);
        return;
    }
    writer->failures = 0;
    writer->exists = reply->status == 0;
    writer->step = RECORD_WAIT;
    writer->next_us = 0;
    if (writer->exists &&
        (reply->count != 1 ||
         flow_record_decode(reply->objects[0].value, &writer->stored) < 0)) {
        event = RECORD_EVENT_FOREIGN;
    }
    report(writer, event, &writer->stored);
}

static void
set_pace(struct record_writer *writer, double pace_us)
{
    writer->pace_us =
        (uint64_t)CLAMP(pace_us, (double)PACE_MIN_US, (double)PACE_MAX_US);
    writer->pace_known = true;
}

/* Sets the pace by the rate of all changes since the last write. */
static void
update_pace(struct record_writer *writer, uint64_t revision, uint64_t now_us)
{
    uint64_t elapsed_us = now_us - writer->replied_us;

    if (writer->replied_us != 0 &&
        now_us < writer->replied_us + RATE_TIME_MIN_US) {
        /* Too soon, or another write's reply came during this one. */
        return;
    }
    if (writer->replied_us != 0 && revision > writer->revision) {
        double per_s = (double)(revision - writer->revision) *
                       (double)USEC_PER_SEC / (double)elapsed_us;
        double pace_us = (double)writer->pace_us * per_s / STORE_CHANGES_PER_S;

        set_pace(writer, pace_us);
    }
    writer->revision = revision;
    writer->replied_us = now_us;
}

/* The write after the one that began at @called_us. */
static void
plan_write(struct record_writer *writer)
{
    unsigned backoff = MIN(writer->failures, BACKOFF_MAX);

    writer->next_us =
        writer->called_us + MIN(writer->pace_us << backoff, PACE_MAX_US) +
        jitter(writer, writer->called_us, writer->pace_us / JITTER_DIVISOR);
}

static bool
must_probe(const struct record_writer *writer)
{
    return !writer->pace_known && writer->replied_us != 0 &&
           writer->stored.count > 0;
}

/* Status of a write or a query. It failed if the reply is from before a
 * rollback. */
static int
reply_status(const struct record_writer *writer,
             const struct store_reply *reply)
{
    if (reply->epoch != 0 && reply->epoch < writer->epoch) {
        return -ESTALE;
    }
    return reply->status;
}

/* Whether a write is followed at once by one that expects the other state of
 * the object. The second in a row isn't: each is paid for. */
static bool
note_missed(struct record_writer *writer, int status)
{
    bool missed_before = writer->missed;

    writer->missed = status == -ENOENT || status == -EEXIST;
    if (writer->missed) {
        writer->exists = status == -EEXIST;
    }
    return writer->missed && !missed_before;
}

static void
on_written(struct record_writer *writer, const struct store_reply *reply)
{
    int status = reply_status(writer, reply);

    if (note_missed(writer, status)) {
        writer->next_us = writer->called_us;
        return;
    }
    if (status == 0) {
        writer->failures = 0;
        writer->exists = true;
        flow_record_copy(&writer->stored, &writer->current);
        if (reply->count == 1) {
            update_pace(writer, reply->objects[0].revision, writer->called_us);
        }
        report(writer, RECORD_EVENT_WRITTEN, &writer->current);
    }
    else {
        writer->failures++;
        report(writer, RECORD_EVENT_FAILED, &writer->current);
    }
    plan_write(writer);
    if (must_probe(writer)) {
        writer->next_us = writer->called_us + PROBE_DELAY_US;
    }
}

static void
on_probed(struct record_writer *writer, const struct store_reply *reply)
{
    uint64_t probed_us = writer->called_us;

    writer->probing = false;
    if (writer->replied_us != 0) {
        writer->called_us = writer->replied_us;
    }
    if (reply_status(writer, reply) == 0) {
        update_pace(writer, reply->revision, probed_us);
    }
    if (!writer->pace_known) {
        /* Without changes or without a reply. */
        set_pace(writer, FIRST_SPREAD_US);
    }
    plan_write(writer);
}

static void
on_done(struct store_call *call, const struct store_reply *reply)
{
    struct record_writer *writer =
        container_of(call, struct record_writer, call);

    writer->open = false;
    record_writer_set_epoch(writer, reply->epoch);
    if (writer->step == RECORD_READ) {
        on_read(writer, reply);
    }
    else if (writer->probing) {
        on_probed(writer, reply);
    }
    else {
        on_written(writer, reply);
    }
}

static void
start_read(struct record_writer *writer, uint64_t now_us)
{
    char name[REGISTRATION_NAME_MAX];

    if (writer->first_read_us == 0) {
        writer->first_read_us = now_us;
    }
    if (now_us - writer->first_read_us > READ_MAX_US) {
        report(writer, RECORD_EVENT_GIVEN_UP, &writer->stored);
        start_writing(writer, now_us);
        return;
    }
    registration_name(writer->addr, name);
    writer->open = true;
    writer->called_us = now_us;
    if (writer->store->ops->get(writer->store, FLOW_RECORD_KIND, name,
                                STORE_READ_LATEST, &writer->call) < 0) {
        writer->open = false;
        writer->failures++;
        writer->next_us = now_us + retry_pause_us(writer);
    }
}

static enum record_endpoint
collect(struct record_writer *writer)
{
    enum record_endpoint endpoint;

    memset(&writer->current, 0, offsetof(struct flow_record, flows));
    endpoint = writer->ops->collect(writer, &writer->current);
    writer->current.pace_ms =
        writer->pace_known ? (uint32_t)(writer->pace_us / USEC_PER_MSEC) : 0;
    flow_record_sort(&writer->current);
    return endpoint;
}

static bool
is_outdated(const struct record_writer *writer)
{
    return writer->stored.written_ms != 0 &&
           writer->current.written_ms >
               writer->stored.written_ms + RECORD_AGE_MAX_MS;
}

/* Whether all flows of the stored record have ended. */
static bool
has_ended(const struct record_writer *writer, enum record_endpoint endpoint)
{
    if (endpoint == RECORD_ENDPOINT_DOWN) {
        return strcmp(writer->stored.service, writer->current.service) == 0;
    }
    return flow_record_has_ended(&writer->stored, &writer->current);
}

/* Compares the record with the endpoint once it is heard or found down. */
static void
compare(struct record_writer *writer, uint64_t now_us)
{
    enum record_endpoint endpoint = collect(writer);

    if (endpoint == RECORD_ENDPOINT_UNKNOWN) {
        return;
    }
    if (is_outdated(writer)) {
        report(writer, RECORD_EVENT_OUTDATED, &writer->stored);
        start_writing(writer, now_us);
        return;
    }
    if (writer->stored.pace_ms != 0) {
        set_pace(writer, (double)writer->stored.pace_ms * USEC_PER_MSEC);
    }
    if (has_ended(writer, endpoint)) {
        writer->ops->reset(writer, &writer->stored);
    }
    start_writing(writer, now_us);
}

static bool
has_changed(const struct record_writer *writer)
{
    unsigned uncovered =
        flow_record_uncovered(&writer->current, &writer->stored);

    return uncovered > 0 &&
           uncovered * UNCOVERED_DIVISOR >= writer->current.count;
}

/* The next check after one that found too little to write. */
static void
plan_check(struct record_writer *writer, uint64_t now_us)
{
    if (!writer->pace_known) {
        plan_first_write(writer, now_us);
        return;
    }
    writer->next_us = now_us + writer->pace_us / CHECK_DIVISOR;
}

static void
start_probe(struct record_writer *writer, uint64_t now_us)
{
    writer->open = writer->probing = true;
    writer->called_us = now_us;
    if (writer->store->ops->list(writer->store, FLOW_RECORD_KIND, NAME_LAST,
                                 STORE_READ_LATEST, &writer->call) < 0) {
        writer->open = writer->probing = false;
        writer->next_us = now_us + PROBE_DELAY_US;
    }
}

static void
start_write(struct record_writer *writer, uint64_t now_us)
{
    struct store *store = writer->store;
    struct json_object *value;
    char name[REGISTRATION_NAME_MAX];
    int ret;

    if (must_probe(writer)) {
        start_probe(writer, now_us);
        return;
    }
    if (collect(writer) != RECORD_ENDPOINT_HEARD || !has_changed(writer)) {
        plan_check(writer, now_us);
        return;
    }
    registration_name(writer->addr, name);
    value = flow_record_encode(&writer->current);
    writer->open = true;
    writer->called_us = now_us;
    ret = writer->exists ? store->ops->put(store, FLOW_RECORD_KIND, name,
                                           value, &writer->call)
                         : store->ops->create(store, FLOW_RECORD_KIND, name,
                                              value, &writer->call);
    json_object_put(value);
    if (ret < 0) {
        writer->open = false;
        writer->next_us = now_us + writer->pace_us;
    }
}

void
record_writer_init(struct record_writer *writer,
                   const struct record_writer_ops *ops, struct store *store,
                   struct addr addr, uint64_t now_us)
{
    memset(writer, 0, sizeof(*writer));
    writer->call.done = on_done;
    writer->ops = ops;
    writer->store = store;
    writer->addr = addr;
    writer->pace_us = FIRST_SPREAD_US;
    writer->next_us = now_us;
}

void
record_writer_set_epoch(struct record_writer *writer, uint32_t epoch)
{
    if (epoch <= writer->epoch) {
        return;
    }
    if (writer->epoch != 0 && writer->step == RECORD_WRITE) {
        /* The store was restored from an older copy: write again. */
        writer->stored.count = 0;
        writer->replied_us = 0;
    }
    writer->epoch = epoch;
}

void
record_writer_skip_read(struct record_writer *writer)
{
    if (writer->step == RECORD_READ && !writer->open) {
        writer->step = RECORD_WAIT;
    }
}

void
record_writer_set_revision(struct record_writer *writer, uint64_t revision,
                           uint64_t now_us)
{
    if (writer->revision_taken) {
        return;
    }
    writer->revision_taken = true;
    if (writer->replied_us == 0) {
        writer->replied_us = now_us;
        writer->revision = revision;
    }
}

void
record_writer_tick(struct record_writer *writer, uint64_t now_us)
{
    if (writer->open) {
        return;
    }
    if (writer->step == RECORD_WAIT) {
        compare(writer, now_us);
    }
    if (writer->step == RECORD_WAIT || now_us < writer->next_us) {
        return;
    }
    if (writer->step == RECORD_READ) {
        start_read(writer, now_us);
    }
    else {
        start_write(writer, now_us);
    }
}

uint64_t
record_writer_next_us(const struct record_writer *writer)
{
    if (writer->open || writer->step == RECORD_WAIT) {
        return UINT64_MAX;
    }
    return writer->next_us;
}
