#include "notice/backup.h"

#include <string.h>

/* When each round begins, after the death was noticed. Some stacks answer
 * two unacceptable segments a second for each connection. The late rounds
 * are for callers whose answer met no reset, since another member was
 * suspected: that takes up to MEMBER_DEATH_US. */
static const uint64_t round_starts_us[BACKUP_ROUNDS] = {
    0,
    150 * USEC_PER_MSEC,
    700 * USEC_PER_MSEC,
    1300 * USEC_PER_MSEC,
    2500 * USEC_PER_MSEC,
    7 * USEC_PER_SEC,
    BACKUP_ROUNDS_US,
};

/* At most so many probes at once after a pause. */
#define TOKENS_MAX (BACKUP_PROBES_PER_S / 10)

static void
held_remove(struct backup *backup, size_t i)
{
    struct held *last = &backup->items[backup->count - 1];

    backup->flows -= backup->items[i].flows.used;
    caller_set_finish(&backup->items[i].flows);
    backup->items[i] = *last;
    memset(last, 0, sizeof(*last));
    backup->count--;
}

static void
held_clear(struct backup *backup, struct held *held)
{
    backup->flows -= held->flows.used;
    caller_set_finish(&held->flows);
    memset(&held->called, 0, sizeof(held->called));
}

static void
held_die(struct held *held, uint64_t now_us)
{
    if (held->dead) {
        return;
    }
    held->dead = true;
    held->dead_us = now_us;
    held->round = 0;
    held->extra = 0;
    held->cursor = 0;
}

static bool
is_done(const struct held *held)
{
    return held->dead && held->round == BACKUP_ROUNDS && held->extra == 0;
}

/* Gives up those that are only kept in case their owners come back. */
static void
make_room(struct backup *backup)
{
    size_t i = 0;

    while (i < backup->count) {
        if (is_done(&backup->items[i])) {
            held_remove(backup, i);
            continue;
        }
        i++;
    }
}

static struct held *
held_find(struct backup *backup, uint64_t owner, uint64_t boot)
{
    size_t i;

    for (i = 0; i < backup->count; i++) {
        if (backup->items[i].owner == owner && backup->items[i].boot == boot) {
            return &backup->items[i];
        }
    }
    return NULL;
}

/* Whether a later process than that of @boot has been heard; earlier ones
 * are known to be gone now. */
static bool
replace_earlier(struct backup *backup, uint64_t owner, uint64_t boot,
                uint64_t now_us)
{
    bool later = false;
    size_t i;

    for (i = 0; i < backup->count; i++) {
        struct held *held = &backup->items[i];

        if (held->owner != owner) {
            continue;
        }
        later |= held->boot > boot;
        if (held->boot < boot) {
            held->replaced = true;
            held_die(held, now_us);
        }
    }
    return later;
}

static struct held *
held_add(struct backup *backup, const struct view_member *owner,
         const struct notice_message *message)
{
    struct held *held;

    if (backup->count == BACKUP_OWNERS_MAX) {
        make_room(backup);
    }
    if (backup->count == BACKUP_OWNERS_MAX) {
        backup->refused++;
        return NULL;
    }
    held = &backup->items[backup->count++];
    *held = (struct held){.owner = owner->id,
                          .since_us = owner->since_us,
                          .boot = message->boot};
    return held;
}

static void
held_begin_session(struct backup *backup, struct held *held,
                   const struct notice_message *message)
{
    held_clear(backup, held);
    held->session = message->session;
    held->seq = 0;
}

static void
held_open(struct backup *backup, struct held *held, struct addr service,
          struct addr caller)
{
    int place = called_place(&held->called, service);
    struct caller flow = {caller, (uint8_t)place};

    if (place >= 0 && caller_set_marks(&held->flows, flow, NULL)) {
        return;
    }
    if (place < 0 || backup->flows >= BACKUP_FLOWS_MAX ||
        caller_set_put(&held->flows, flow, 0) < 0) {
        backup->refused++;
        return;
    }
    held->called.flows[place]++;
    backup->flows++;
}

static void
held_close(struct backup *backup, struct held *held, struct addr service,
           struct addr caller)
{
    int place = called_find(&held->called, service);
    struct caller flow = {caller, (uint8_t)place};

    if (place < 0 || !caller_set_marks(&held->flows, flow, NULL)) {
        return;
    }
    caller_set_remove(&held->flows, flow);
    held->called.flows[place]--;
    backup->flows--;
}

static void
held_apply(struct backup *backup, struct held *held,
           const struct notice_message *message)
{
    const struct addr *closed = message->callers + message->opened;
    size_t i;

    held->seq = message->seq;
    for (i = 0; i < message->opened; i++) {
        held_open(backup, held, message->service, message->callers[i]);
    }
    for (i = 0; i < message->closed; i++) {
        held_close(backup, held, message->service, closed[i]);
    }
}

/* Whether the batch follows what is known; true for a repeated one too. */
static bool
held_take(struct backup *backup, struct held *held,
          const struct notice_message *message)
{
    if (message->session > held->session && message->seq == 1) {
        held_begin_session(backup, held, message);
    }
    if (message->session != held->session || message->seq > held->seq + 1) {
        return false;
    }
    if (message->seq == held->seq + 1) {
        held_apply(backup, held, message);
    }
    return true;
}

static bool
is_usable(const struct notice_message *message)
{
    return message->type == NOTICE_FLOWS && message->boot != 0 &&
           message->session != 0 && message->seq != 0 &&
           message->opened <= NOTICE_BATCH_MAX &&
           message->closed <= NOTICE_BATCH_MAX - message->opened;
}

/* The entry that the batch is for, or NULL; then @answer tells whether the
 * owner is to be asked for all flows anew. */
static struct held *
held_for(struct backup *backup, const struct view_member *owner,
         const struct notice_message *message, uint64_t now_us, bool *answer)
{
    struct held *held;

    *answer = false;
    if (replace_earlier(backup, owner->id, message->boot, now_us)) {
        return NULL;
    }
    held = held_find(backup, owner->id, message->boot);
    if (message->seq != 1 &&
        (held == NULL || held->since_us != owner->since_us)) {
        *answer = true;
        return NULL;
    }
    if (held != NULL) {
        held->since_us = owner->since_us;
        return held;
    }
    /* The view will be put right before the owner sends this again. */
    if (owner->health == MEMBER_DEAD) {
        return NULL;
    }
    return held_add(backup, owner, message);
}

/* Whether the view shows the process of @held as not dead. A batch may come
 * before the view knows of its process and after it knows of the next one;
 * the start noted with the first batch stays until the owner begins anew. */
static bool
is_living(const struct held *held, const struct view_member *owner)
{
    return owner != NULL && owner->health != MEMBER_DEAD &&
           owner->since_us == held->since_us && !held->replaced;
}

void
backup_init(struct backup *backup)
{
    memset(backup, 0, sizeof(*backup));
}

void
backup_finish(struct backup *backup)
{
    size_t i;

    for (i = 0; i < backup->count; i++) {
        caller_set_finish(&backup->items[i].flows);
    }
    backup_init(backup);
}

bool
backup_receive(struct backup *backup, const struct view *view, uint64_t from,
               const struct notice_message *message, uint64_t now_us,
               struct notice_message *reply)
{
    const struct view_member *owner = view_find(view, from);
    struct held *held;
    bool answer;

    if (owner == NULL || owner->role != MEMBER_AGENT || !is_usable(message)) {
        return false;
    }
    if (backup->flows + NOTICE_BATCH_MAX > BACKUP_FLOWS_MAX) {
        make_room(backup);
    }
    *reply = (struct notice_message){.type = NOTICE_ACK,
                                     .boot = message->boot,
                                     .session = message->session,
                                     .seq = message->seq};
    held = held_for(backup, owner, message, now_us, &answer);
    if (held == NULL) {
        return answer;
    }
    if (message->session < held->session) {
        return false; /* late, of a transfer that was given up */
    }
    reply->known = held_take(backup, held, message);
    held->heard_us = now_us;
    held->alive = owner->health == MEMBER_ALIVE;
    if (is_living(held, owner)) {
        held->dead = false;
    }
    return true;
}

static bool
has_suspects(const struct view *view)
{
    size_t i;

    for (i = 0; i < view->count; i++) {
        if (view->members[i].role == MEMBER_AGENT &&
            view->members[i].health == MEMBER_SUSPECT) {
            return true;
        }
    }
    return false;
}

/* Answers to earlier probes may have met no reset till now. */
static void
probe_again(struct backup *backup, uint64_t now_us)
{
    size_t i;

    for (i = 0; i < backup->count; i++) {
        struct held *held = &backup->items[i];

        if (held->dead && now_us > held->dead_us &&
            now_us < held->dead_us + BACKUP_ROUNDS_US) {
            held->extra = BACKUP_EXTRA_ROUNDS;
            held->extra_us = now_us;
            held->cursor = 0;
        }
    }
}

void
backup_set_view(struct backup *backup, const struct view *view,
                uint64_t now_us)
{
    bool suspects = has_suspects(view);
    size_t i;

    for (i = 0; i < backup->count; i++) {
        struct held *held = &backup->items[i];
        const struct view_member *owner = view_find(view, held->owner);

        if (!is_living(held, owner)) {
            held->alive = false;
            held_die(held, now_us);
            continue;
        }
        held->alive = owner->health == MEMBER_ALIVE;
        held->dead = false;
    }
    if (backup->suspects && !suspects) {
        probe_again(backup, now_us);
    }
    backup->suspects = suspects;
}

static void
fill_tokens(struct backup *backup, uint64_t now_us)
{
    uint64_t filled =
        (now_us - backup->tokens_us) * BACKUP_PROBES_PER_S / USEC_PER_SEC;

    if (now_us < backup->tokens_us || filled == 0) {
        return;
    }
    backup->tokens += filled;
    backup->tokens_us = now_us;
    if (backup->tokens > TOKENS_MAX) {
        backup->tokens = TOKENS_MAX;
    }
}

static bool
is_round_due(const struct held *held, uint64_t now_us)
{
    if (!held->dead) {
        return false;
    }
    if (held->extra > 0 && now_us >= held->extra_us) {
        return true;
    }
    return held->round < BACKUP_ROUNDS &&
           now_us >= held->dead_us + round_starts_us[held->round];
}

/* An extra round that is due stands for a regular one that is due too. */
static void
end_query(struct held *held, uint64_t now_us)
{
    held->cursor = 0;
    if (held->round < BACKUP_ROUNDS &&
        now_us >= held->dead_us + round_starts_us[held->round]) {
        held->round++;
    }
    if (held->extra > 0 && now_us >= held->extra_us) {
        held->extra--;
        held->extra_us = now_us + BACKUP_EXTRA_GAP_US;
    }
}

/* Goes on with the present round. */
static void
held_probe(struct backup *backup, struct held *held, uint64_t now_us,
           struct notice_probe *probes, size_t *count, size_t max)
{
    struct caller caller;

    if (!is_round_due(held, now_us)) {
        return;
    }
    while (*count < max && backup->tokens > 0) {
        if (!caller_set_next(&held->flows, &held->cursor, &caller)) {
            end_query(held, now_us);
            return;
        }
        probes[(*count)++] = (struct notice_probe){
            held->called.items[caller.service], caller.addr};
        backup->tokens--;
    }
}

size_t
backup_probes(struct backup *backup, uint64_t now_us,
              struct notice_probe *probes, size_t max)
{
    size_t count = 0;
    size_t i;

    fill_tokens(backup, now_us);
    for (i = 0; i < backup->count; i++) {
        held_probe(backup, &backup->items[i], now_us, probes, &count, max);
    }
    return count;
}

static bool
is_over(const struct held *held, uint64_t now_us)
{
    if (held->dead) {
        return is_done(held) &&
               (held->replaced || now_us >= held->dead_us + BACKUP_SILENCE_US);
    }
    return held->alive && now_us >= held->heard_us + BACKUP_SILENCE_US;
}

void
backup_tick(struct backup *backup, uint64_t now_us)
{
    size_t i = 0;

    while (i < backup->count) {
        if (is_over(&backup->items[i], now_us)) {
            held_remove(backup, i);
            continue;
        }
        i++;
    }
}
