#include "flow/flow.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "flow/flow_private.h"

struct flow_table *
flow_table_new(uint64_t self, size_t capacity)
{
    struct flow_table *table = calloc(1, sizeof(*table));

    if (table == NULL) {
        return NULL;
    }
    table->self = self;
    table->continuation_tokens = FLOW_CONTINUATIONS_PER_S;
    if (entries_init(&table->entries, capacity) < 0) {
        goto err;
    }
    if (pins_init(&table->pins) < 0) {
        goto err_entries;
    }
    if (registrar_init(&table->registrar) < 0) {
        goto err_pins;
    }
    return table;
err_pins:
    pins_finish(&table->pins);
err_entries:
    entries_finish(&table->entries);
err:
    free(table);
    return NULL;
}

void
flow_table_free(struct flow_table *table)
{
    if (table == NULL) {
        return;
    }
    registrar_finish(&table->registrar);
    pins_finish(&table->pins);
    members_finish(&table->members);
    entries_finish(&table->entries);
    free(table);
}

int
flow_set_view(struct flow_table *table, const struct view *view,
              uint32_t service, bool accept, uint64_t now_us)
{
    int rc =
        members_update(&table->members, view, service, table->self, now_us);

    if (rc < 0) {
        return rc;
    }
    if (service != table->service) {
        table->start_delay_until_us = now_us + FLOW_START_DELAY_US;
    }
    table->service = service;
    table->accept = accept;
    if (rc > 0) {
        registrar_mark_all(&table->registrar, &table->entries);
    }
    return 0;
}

void
flow_sent_syn_ack(struct flow_table *table, const struct packet *out)
{
    struct packet key = {.src = out->dst,
                         .dst = out->src,
                         .sport = out->dport,
                         .dport = out->sport,
                         .proto = out->proto};
    struct entry *entry = entries_find(&table->entries, &key);

    if (entry == NULL || entry->state != ENTRY_HALF_OPEN) {
        return;
    }
    entry->isn = out->seq;
    entry->isn_known = true;
    /* A retransmitted SYN-ACK extends the time for the handshake. */
    entries_touch(&table->entries, entry, ENTRY_HALF_OPEN, table->now_us);
}

void
flow_close(struct flow_table *table, const struct packet *key)
{
    struct entry *entry = entries_find(&table->entries, key);

    if (entry != NULL) {
        entries_remove(&table->entries, entry);
    }
}

size_t
flow_count(const struct flow_table *table, size_t *half_open)
{
    if (half_open != NULL) {
        *half_open = table->entries.lists[ENTRY_HALF_OPEN].count;
    }
    return table->entries.used;
}

size_t
flow_pins_due(struct flow_table *table, uint64_t now_us, struct flow_pin *pins,
              uint64_t *to, size_t max)
{
    return registrar_due(&table->registrar, &table->entries, &table->members,
                         table->self, now_us, pins, to, max);
}

int
flow_pin_add(struct flow_table *table, const struct flow_pin *pin,
             uint64_t now_us)
{
    const struct member_copy *owner;

    if (pin->bucket >= RANK_BUCKETS || pin->owner == 0 ||
        pin->owner == table->self) {
        return -EINVAL;
    }
    owner = members_find(&table->members, pin->owner);
    if (owner != NULL && owner->health == MEMBER_DEAD) {
        return -ESTALE;
    }
    return pins_add(&table->pins, pin->bucket, pin->owner,
                    now_us + FLOW_PIN_TTL_US);
}

static void
expire_entries(struct entries *entries, enum entry_state state,
               uint64_t ttl_us, uint64_t now_us)
{
    struct entry *entry;

    while ((entry = entries_oldest(entries, state)) != NULL &&
           entry->used_us + ttl_us <= now_us) {
        entries_remove(entries, entry);
    }
}

void
flow_tick(struct flow_table *table, uint64_t now_us)
{
    table->now_us = now_us;
    expire_entries(&table->entries, ENTRY_HALF_OPEN, FLOW_HALF_OPEN_TTL_US,
                   now_us);
    expire_entries(&table->entries, ENTRY_DATAGRAM, FLOW_DATAGRAM_TTL_US,
                   now_us);
    pins_expire(&table->pins, now_us);
}
