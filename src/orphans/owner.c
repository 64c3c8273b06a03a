#include "orphans/owner.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>

#define QUEUE_INITIAL_CAPACITY 16

/* Flags of a flow: it is open; backup i has it as open; it is in the queue of
 * backup i. */
#define FLOW_FLAG_LIVE 0x10
#define FLOW_FLAG_REPORTED(i) (uint8_t)(0x01 << (i))
#define FLOW_FLAG_QUEUED(i) (uint8_t)(0x04 << (i))

static int
queue_grow(struct caller_queue *queue)
{
    size_t allocated =
        queue->allocated == 0 ? QUEUE_INITIAL_CAPACITY : queue->allocated * 2;
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

/* Stores the flags of a flow; removes it when none is set. */
static int
set_flow_flags(struct owner *owner, struct caller caller, uint8_t flags)
{
    size_t *flows = &owner->service_addrs.flows[caller.service];
    size_t before = owner->flows.used;
    int ret = 0;

    if (flags == 0) {
        caller_set_remove(&owner->flows, caller);
    }
    else {
        ret = caller_set_put(&owner->flows, caller, flags);
    }
    *flows = *flows + owner->flows.used - before;
    return ret;
}

/* Queues a flow for each backup whose last reported state is outdated. */
static uint8_t
queue_flow(struct owner *owner, struct caller caller, uint8_t flags)
{
    bool live = (flags & FLOW_FLAG_LIVE) != 0;
    size_t i;

    for (i = 0; i < OWNER_BACKUPS; i++) {
        struct owner_backup *backup = &owner->backups[i];
        bool reported = (flags & FLOW_FLAG_REPORTED(i)) != 0;

        if (backup->member == 0 || reported == live ||
            (flags & FLOW_FLAG_QUEUED(i)) != 0) {
            continue;
        }
        if (queue_push(&backup->queue, caller) == 0) {
            flags |= FLOW_FLAG_QUEUED(i);
        }
    }
    return flags;
}

/* Resets the reported state of backup @i and queues all flows for it. */
static void
reset_reported(struct owner *owner, size_t i)
{
    struct owner_backup *backup = &owner->backups[i];
    size_t cursor = 0;
    struct caller caller;
    uint8_t flags = 0;

    queue_finish(&backup->queue);
    while (caller_set_next(&owner->flows, &cursor, &caller)) {
        caller_set_flags(&owner->flows, caller, &flags);
        flags &= (uint8_t) ~(FLOW_FLAG_REPORTED(i) | FLOW_FLAG_QUEUED(i));
        /* Closed flows too: report_flow() removes them. */
        if (backup->member != 0 && queue_push(&backup->queue, caller) == 0) {
            flags |= FLOW_FLAG_QUEUED(i);
        }
        /* Flows without flags stay until remove_ended(). */
        caller_set_put(&owner->flows, caller, flags);
    }
}

/* Removes flows that have ended and need no report to any backup. */
static void
remove_ended(struct owner *owner)
{
    struct service_addrs service_addrs = owner->service_addrs;
    struct caller_set remaining = {0};
    size_t cursor = 0;
    struct caller caller;
    uint8_t flags = 0;

    while (caller_set_next(&owner->flows, &cursor, &caller)) {
        caller_set_flags(&owner->flows, caller, &flags);
        if (flags == 0) {
            service_addrs.flows[caller.service]--;
        }
        else if (caller_set_put(&remaining, caller, flags) < 0) {
            caller_set_finish(&remaining);
            return;
        }
    }
    caller_set_finish(&owner->flows);
    owner->flows = remaining;
    owner->service_addrs = service_addrs;
}

static void
begin_session(struct owner *owner, size_t i, uint64_t now_us)
{
    struct owner_backup *backup = &owner->backups[i];

    backup->session = ++owner->sessions;
    backup->awaiting_ack = false;
    backup->session_start_us = now_us;
    backup->more_queued = false;
    backup->last = (struct orphan_message){0};
    reset_reported(owner, i);
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
owner_flow_opened(struct owner *owner, struct addr caller, struct addr service)
{
    int index = service_addrs_add(&owner->service_addrs, service);
    struct caller flow = {caller, (uint8_t)index};
    uint8_t flags = 0;
    int ret;

    if (index < 0) {
        return index;
    }
    caller_set_flags(&owner->flows, flow, &flags);
    if ((flags & FLOW_FLAG_LIVE) != 0) {
        return 0;
    }
    if (owner->live >= OWNER_FLOWS_MAX) {
        return -ENOSPC;
    }
    ret = set_flow_flags(owner, flow, flags | FLOW_FLAG_LIVE);
    if (ret < 0) {
        return ret;
    }
    owner->live++;
    return set_flow_flags(owner, flow,
                          queue_flow(owner, flow, flags | FLOW_FLAG_LIVE));
}

void
owner_flow_closed(struct owner *owner, struct addr caller, struct addr service)
{
    int index = service_addrs_find(&owner->service_addrs, service);
    struct caller flow = {caller, (uint8_t)index};
    uint8_t flags = 0;

    if (index < 0) {
        return;
    }
    caller_set_flags(&owner->flows, flow, &flags);
    if ((flags & FLOW_FLAG_LIVE) == 0) {
        return;
    }
    owner->live--;
    flags = (uint8_t)(flags & ~FLOW_FLAG_LIVE);
    set_flow_flags(owner, flow, queue_flow(owner, flow, flags));
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
add_backup(struct owner *owner, uint64_t member, uint64_t since_us,
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
            backup->awaiting_ack = false;
            reset_reported(owner, i);
            dropped = true;
        }
    }
    if (dropped) {
        remove_ended(owner);
    }
    for (i = 0; i < OWNER_BACKUPS; i++) {
        if (members[i] != 0 && !has_backup(owner, members[i])) {
            add_backup(owner, members[i], since_us[i], now_us);
        }
    }
}

/* Adds the flow at the head of the queue to the batch if its state was not
 * reported. A batch has one service address: flows to others are queued
 * again. */
static void
report_flow(struct owner *owner, size_t i, struct orphan_message *message,
            struct addr *closed)
{
    struct caller_queue *queue = &owner->backups[i].queue;
    struct caller caller = queue_pop(queue);
    struct addr service = owner->service_addrs.items[caller.service];
    uint8_t flags = 0;
    bool live;
    bool reported;

    if (!caller_set_flags(&owner->flows, caller, &flags)) {
        return;
    }
    live = (flags & FLOW_FLAG_LIVE) != 0;
    reported = (flags & FLOW_FLAG_REPORTED(i)) != 0;
    if (live != reported && message->opened + message->closed > 0 &&
        !addr_equal(message->service, service)) {
        if (queue_push(queue, caller) < 0) {
            set_flow_flags(owner, caller,
                           flags & (uint8_t)~FLOW_FLAG_QUEUED(i));
        }
        return;
    }
    flags &= (uint8_t) ~(FLOW_FLAG_QUEUED(i) | FLOW_FLAG_REPORTED(i));
    if (live && !reported) {
        message->callers[message->opened++] = caller.addr;
    }
    else if (reported && !live) {
        closed[message->closed++] = caller.addr;
    }
    if (live != reported) {
        message->service = service;
    }
    set_flow_flags(owner, caller,
                   live ? flags | FLOW_FLAG_REPORTED(i) : flags);
}

static void
fill_batch(struct owner *owner, size_t i, struct orphan_message *message)
{
    struct owner_backup *backup = &owner->backups[i];
    struct addr closed[ORPHAN_BATCH_MAX];
    size_t left = backup->queue.count;
    size_t j;

    *message = (struct orphan_message){
        .type = ORPHAN_MESSAGE_FLOWS,
        .boot = owner->boot,
        .session = backup->session,
        .seq = backup->last.seq + 1,
    };
    for (; left > 0 && message->opened + message->closed < ORPHAN_BATCH_MAX;
         left--) {
        report_flow(owner, i, message, closed);
    }
    backup->more_queued = backup->queue.count > 0;
    for (j = 0; j < message->closed; j++) {
        message->callers[message->opened + j] = closed[j];
    }
}

static bool
is_due(const struct owner_backup *backup, uint64_t now_us)
{
    uint64_t gap_us = OWNER_KEEPALIVE_US;

    if (backup->awaiting_ack) {
        gap_us = OWNER_RESEND_US;
    }
    else if (backup->last.seq == 0) {
        gap_us = 0;
    }
    else if (backup->more_queued || backup->queue.count >= ORPHAN_BATCH_MAX) {
        gap_us = OWNER_FULL_BATCH_INTERVAL_US;
    }
    else if (backup->queue.count > 0) {
        gap_us = OWNER_BATCH_INTERVAL_US;
    }
    return now_us >= backup->session_start_us &&
           now_us >= backup->sent_us + gap_us;
}

/* Prepares a new batch; false when there is nothing to report. */
static bool
prepare_batch(struct owner *owner, size_t i, uint64_t now_us)
{
    struct owner_backup *backup = &owner->backups[i];
    bool needed = backup->last.seq == 0 || backup->queue.count == 0;
    struct orphan_message message;

    fill_batch(owner, i, &message);
    if (message.opened + message.closed == 0 && !needed) {
        return false;
    }
    backup->last = message;
    backup->awaiting_ack = true;
    return true;
}

bool
owner_next_batch(struct owner *owner, uint64_t now_us, uint64_t *to,
                 struct orphan_message *message)
{
    size_t i;

    for (i = 0; i < OWNER_BACKUPS; i++) {
        struct owner_backup *backup = &owner->backups[i];

        if (backup->member == 0 || !is_due(backup, now_us)) {
            continue;
        }
        if (!backup->awaiting_ack && !prepare_batch(owner, i, now_us)) {
            continue;
        }
        backup->sent_us = now_us;
        *to = backup->member;
        *message = backup->last;
        return true;
    }
    return false;
}

/* Limits the rate of sessions with a backup that keeps rejecting batches. */
static uint64_t
next_session_start(const struct owner_backup *backup, uint64_t now_us)
{
    uint64_t earliest_us = backup->session_start_us + OWNER_RESEND_US;

    return now_us > earliest_us ? now_us : earliest_us;
}

void
owner_acknowledged(struct owner *owner, uint64_t from,
                   const struct orphan_message *message, uint64_t now_us)
{
    size_t i;

    for (i = 0; i < OWNER_BACKUPS; i++) {
        struct owner_backup *backup = &owner->backups[i];

        if (backup->member != from || !backup->awaiting_ack ||
            message->boot != owner->boot ||
            message->session != backup->session ||
            message->seq != backup->last.seq) {
            continue;
        }
        if (message->known) {
            backup->awaiting_ack = false;
        }
        else {
            begin_session(owner, i, next_session_start(backup, now_us));
        }
    }
}
