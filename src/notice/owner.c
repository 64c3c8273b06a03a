#include "notice/owner.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>

#define QUEUE_FIRST 16

/* Marks of a flow: it is open; the backup was told so; it is queued for it. */
#define MARK_LIVE 0x10
#define MARK_TOLD(i) (uint8_t)(0x01 << (i))
#define MARK_QUEUED(i) (uint8_t)(0x04 << (i))

static int
queue_grow(struct caller_queue *queue)
{
    size_t allocated =
        queue->allocated == 0 ? QUEUE_FIRST : queue->allocated * 2;
    struct caller *items = calloc(allocated, sizeof(items[0]));
    size_t i;

    if (items == NULL) {
        return -ENOMEM;
    }
    for (i = 0; i < queue->count; i++) {
        items[i] = queue->items[(queue->head + i) & (queue->allocated - 1)];
    }
    free(queue->items);
    queue->items = items;
    queue->allocated = allocated;
    queue->head = 0;
    return 0;
}

static int
queue_push(struct caller_queue *queue, struct caller caller)
{
    if (queue->count == queue->allocated && queue_grow(queue) < 0) {
        return -ENOMEM;
    }
    queue->items[(queue->head + queue->count) & (queue->allocated - 1)] =
        caller;
    queue->count++;
    return 0;
}

static void
queue_finish(struct caller_queue *queue)
{
    free(queue->items);
    *queue = (struct caller_queue){0};
}

static struct caller
queue_pop(struct caller_queue *queue)
{
    struct caller caller;

    assert(queue->count > 0 && queue->items != NULL);
    caller = queue->items[queue->head];
    queue->head = (queue->head + 1) & (queue->allocated - 1);
    queue->count--;
    if (queue->count == 0) {
        queue_finish(queue);
    }
    return caller;
}

/* Stores the marks of a flow, and forgets it when nothing is left to say. */
static int
set_marks(struct owner *owner, struct caller caller, uint8_t marks)
{
    size_t *flows = &owner->called.flows[caller.service];
    size_t before = owner->flows.used;
    int ret = 0;

    if (marks == 0) {
        caller_set_remove(&owner->flows, caller);
    }
    else {
        ret = caller_set_put(&owner->flows, caller, marks);
    }
    *flows = *flows + owner->flows.used - before;
    return ret;
}

/* Queues a flow for each backup whose knowledge differs from the truth. */
static uint8_t
queue_flow(struct owner *owner, struct caller caller, uint8_t marks)
{
    bool live = (marks & MARK_LIVE) != 0;
    size_t i;

    for (i = 0; i < OWNER_BACKUPS; i++) {
        struct owner_backup *backup = &owner->backups[i];
        bool told = (marks & MARK_TOLD(i)) != 0;

        if (backup->member == 0 || told == live ||
            (marks & MARK_QUEUED(i)) != 0) {
            continue;
        }
        if (queue_push(&backup->queue, caller) == 0) {
            marks |= MARK_QUEUED(i);
        }
    }
    return marks;
}

/* Takes back what backup @i was told; flows to be told of are queued. */
static void
untell(struct owner *owner, size_t i)
{
    struct owner_backup *backup = &owner->backups[i];
    size_t cursor = 0;
    struct caller caller;
    uint8_t marks = 0;

    queue_finish(&backup->queue);
    while (caller_set_next(&owner->flows, &cursor, &caller)) {
        caller_set_marks(&owner->flows, caller, &marks);
        marks &= (uint8_t) ~(MARK_TOLD(i) | MARK_QUEUED(i));
        /* Ended ones too: they are forgotten when their turn comes. */
        if (backup->member != 0 && queue_push(&backup->queue, caller) == 0) {
            marks |= MARK_QUEUED(i);
        }
        /* A flow without any mark is kept as it is until the sweep. */
        caller_set_put(&owner->flows, caller, marks);
    }
}

/* Forgets flows that have ended and of which no backup has to hear. */
static void
sweep(struct owner *owner)
{
    struct called called = owner->called;
    struct caller_set kept = {0};
    size_t cursor = 0;
    struct caller caller;
    uint8_t marks = 0;

    while (caller_set_next(&owner->flows, &cursor, &caller)) {
        caller_set_marks(&owner->flows, caller, &marks);
        if (marks == 0) {
            called.flows[caller.service]--;
        }
        else if (caller_set_put(&kept, caller, marks) < 0) {
            caller_set_finish(&kept);
            return;
        }
    }
    caller_set_finish(&owner->flows);
    owner->flows = kept;
    owner->called = called;
}

static void
begin_session(struct owner *owner, size_t i, uint64_t now_us)
{
    struct owner_backup *backup = &owner->backups[i];

    backup->session = ++owner->sessions;
    backup->waiting = false;
    backup->begun_us = now_us;
    backup->more = false;
    backup->last = (struct notice_message){0};
    untell(owner, i);
}

void
owner_init(struct owner *owner, uint64_t boot)
{
    *owner = (struct owner){.boot = boot};
}

void
owner_finish(struct owner *owner)
{
    size_t i;

    for (i = 0; i < OWNER_BACKUPS; i++) {
        queue_finish(&owner->backups[i].queue);
    }
    caller_set_finish(&owner->flows);
}

int
owner_opened(struct owner *owner, struct addr caller, struct addr service)
{
    int place = called_place(&owner->called, service);
    struct caller flow = {caller, (uint8_t)place};
    uint8_t marks = 0;
    int ret;

    if (place < 0) {
        return place;
    }
    caller_set_marks(&owner->flows, flow, &marks);
    if ((marks & MARK_LIVE) != 0) {
        return 0;
    }
    if (owner->live >= OWNER_FLOWS_MAX) {
        return -ENOSPC;
    }
    ret = set_marks(owner, flow, marks | MARK_LIVE);
    if (ret < 0) {
        return ret;
    }
    owner->live++;
    return set_marks(owner, flow, queue_flow(owner, flow, marks | MARK_LIVE));
}

void
owner_closed(struct owner *owner, struct addr caller, struct addr service)
{
    int place = called_find(&owner->called, service);
    struct caller flow = {caller, (uint8_t)place};
    uint8_t marks = 0;

    if (place < 0) {
        return;
    }
    caller_set_marks(&owner->flows, flow, &marks);
    if ((marks & MARK_LIVE) == 0) {
        return;
    }
    owner->live--;
    marks = (uint8_t)(marks & ~MARK_LIVE);
    set_marks(owner, flow, queue_flow(owner, flow, marks));
}

static bool
is_chosen(const struct owner_backup *backup, const uint64_t *members,
          const uint64_t *since_us)
{
    size_t i;

    for (i = 0; i < OWNER_BACKUPS; i++) {
        if (members[i] == backup->member && since_us[i] == backup->since_us) {
            return true;
        }
    }
    return false;
}

static bool
has_backup(const struct owner *owner, uint64_t member)
{
    size_t i;

    for (i = 0; i < OWNER_BACKUPS; i++) {
        if (owner->backups[i].member == member) {
            return true;
        }
    }
    return false;
}

static void
use_backup(struct owner *owner, uint64_t member, uint64_t since_us,
           uint64_t now_us)
{
    size_t i = 0;

    while (owner->backups[i].member != 0) {
        i++;
        assert(i < OWNER_BACKUPS);
    }
    owner->backups[i].member = member;
    owner->backups[i].since_us = since_us;
    begin_session(owner, i, now_us);
}

void
owner_set_backups(struct owner *owner, const uint64_t *members,
                  const uint64_t *since_us, uint64_t now_us)
{
    bool dropped = false;
    size_t i;

    for (i = 0; i < OWNER_BACKUPS; i++) {
        struct owner_backup *backup = &owner->backups[i];

        if (backup->member != 0 && !is_chosen(backup, members, since_us)) {
            backup->member = 0;
            backup->waiting = false;
            untell(owner, i);
            dropped = true;
        }
    }
    if (dropped) {
        sweep(owner);
    }
    for (i = 0; i < OWNER_BACKUPS; i++) {
        if (members[i] != 0 && !has_backup(owner, members[i])) {
            use_backup(owner, members[i], since_us[i], now_us);
        }
    }
}

/* Takes the flow at the head of the queue into the batch, if there is
 * anything to say. A batch is of one address: others go back. */
static void
tell_one(struct owner *owner, size_t i, struct notice_message *message,
         struct addr *closed)
{
    struct caller_queue *queue = &owner->backups[i].queue;
    struct caller caller = queue_pop(queue);
    struct addr service = owner->called.items[caller.service];
    uint8_t marks = 0;
    bool live;
    bool told;

    if (!caller_set_marks(&owner->flows, caller, &marks)) {
        return;
    }
    live = (marks & MARK_LIVE) != 0;
    told = (marks & MARK_TOLD(i)) != 0;
    if (live != told && message->opened + message->closed > 0 &&
        !addr_equal(message->service, service)) {
        if (queue_push(queue, caller) < 0) {
            set_marks(owner, caller, marks & (uint8_t)~MARK_QUEUED(i));
        }
        return;
    }
    marks &= (uint8_t) ~(MARK_QUEUED(i) | MARK_TOLD(i));
    if (live && !told) {
        message->callers[message->opened++] = caller.addr;
    }
    else if (told && !live) {
        closed[message->closed++] = caller.addr;
    }
    if (live != told) {
        message->service = service;
    }
    set_marks(owner, caller, live ? marks | MARK_TOLD(i) : marks);
}

static void
fill(struct owner *owner, size_t i, struct notice_message *message)
{
    struct owner_backup *backup = &owner->backups[i];
    struct addr closed[NOTICE_BATCH_MAX];
    size_t left = backup->queue.count;
    size_t j;

    *message = (struct notice_message){
        .type = NOTICE_FLOWS,
        .boot = owner->boot,
        .session = backup->session,
        .seq = backup->last.seq + 1,
    };
    for (; left > 0 && message->opened + message->closed < NOTICE_BATCH_MAX;
         left--) {
        tell_one(owner, i, message, closed);
    }
    backup->more = backup->queue.count > 0;
    for (j = 0; j < message->closed; j++) {
        message->callers[message->opened + j] = closed[j];
    }
}

static bool
is_due(const struct owner_backup *backup, uint64_t now_us)
{
    uint64_t gap_us = OWNER_KEEPALIVE_US;

    if (backup->waiting) {
        gap_us = OWNER_RESEND_US;
    }
    else if (backup->last.seq == 0) {
        gap_us = 0;
    }
    else if (backup->more || backup->queue.count >= NOTICE_BATCH_MAX) {
        gap_us = OWNER_FULL_GAP_US;
    }
    else if (backup->queue.count > 0) {
        gap_us = OWNER_GAP_US;
    }
    return now_us >= backup->begun_us && now_us >= backup->sent_us + gap_us;
}

/* A new batch; false when nothing has to be said after all. */
static bool
send_new(struct owner *owner, size_t i, uint64_t now_us)
{
    struct owner_backup *backup = &owner->backups[i];
    bool needed = backup->last.seq == 0 || backup->queue.count == 0;
    struct notice_message message;

    fill(owner, i, &message);
    if (message.opened + message.closed == 0 && !needed) {
        return false;
    }
    backup->last = message;
    backup->waiting = true;
    return true;
}

bool
owner_next(struct owner *owner, uint64_t now_us, uint64_t *to,
           struct notice_message *message)
{
    size_t i;

    for (i = 0; i < OWNER_BACKUPS; i++) {
        struct owner_backup *backup = &owner->backups[i];

        if (backup->member == 0 || !is_due(backup, now_us)) {
            continue;
        }
        if (!backup->waiting && !send_new(owner, i, now_us)) {
            continue;
        }
        backup->sent_us = now_us;
        *to = backup->member;
        *message = backup->last;
        return true;
    }
    return false;
}

/* A backup that refuses must not be told all again at once. */
static uint64_t
next_begin(const struct owner_backup *backup, uint64_t now_us)
{
    uint64_t earliest_us = backup->begun_us + OWNER_RESEND_US;

    return now_us > earliest_us ? now_us : earliest_us;
}

void
owner_acknowledged(struct owner *owner, uint64_t from,
                   const struct notice_message *message, uint64_t now_us)
{
    size_t i;

    for (i = 0; i < OWNER_BACKUPS; i++) {
        struct owner_backup *backup = &owner->backups[i];

        if (backup->member != from || !backup->waiting ||
            message->boot != owner->boot ||
            message->session != backup->session ||
            message->seq != backup->last.seq) {
            continue;
        }
        if (message->known) {
            backup->waiting = false;
        }
        else {
            begin_session(owner, i, next_begin(backup, now_us));
        }
    }
}
