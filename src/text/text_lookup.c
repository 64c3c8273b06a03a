#include "text/text_lookup.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define SLOT_NONE UINT16_MAX

/**
 * struct text_slot - one slot of the hash table, by id and by address
 * @id: index of the service whose id falls here or nearby, or SLOT_NONE
 * @addr: the same for its address
 */
struct text_slot {
    uint16_t id;
    uint16_t addr;
};

static uint32_t
addr_hash(uint32_t ip, uint16_t port, enum text_proto proto)
{
    return (uint32_t)hash_pair(ip, (uint64_t)port << 8 | (uint64_t)proto);
}

static void
fill_slots(struct text *text)
{
    for (size_t i = 0; i < text->count; i++) {
        const struct text_service *service = &text->services[i];
        uint32_t at = service->id & text->slot_mask;

        while (text->slots[at].id != SLOT_NONE) {
            at = (at + 1) & text->slot_mask;
        }
        text->slots[at].id = (uint16_t)i;
        at = addr_hash(service->ip, service->port, service->proto) &
             text->slot_mask;
        while (text->slots[at].addr != SLOT_NONE) {
            at = (at + 1) & text->slot_mask;
        }
        text->slots[at].addr = (uint16_t)i;
    }
}

int
text_lookup_build(struct text *text)
{
    uint32_t size = 16;

    while (size < 2 * text->count) {
        size *= 2;
    }
    text->slots = malloc(size * sizeof(*text->slots));
    if (text->slots == NULL) {
        return -ENOMEM;
    }
    memset(text->slots, 0xff, size * sizeof(*text->slots));
    text->slot_mask = size - 1;
    fill_slots(text);
    return 0;
}

const char *text_class_name(enum text_class class)
{
    return class == TEXT_URGENT ? "urgent" : "ordinary";
}

const char *
text_proto_name(enum text_proto proto)
{
    return proto == TEXT_UDP ? "udp" : "tcp";
}

const struct text_service *
text_find_name(const struct text *text, const char *name)
{
    for (size_t i = 0; i < text->count; i++) {
        if (strcmp(text->services[i].name, name) == 0) {
            return &text->services[i];
        }
    }
    return NULL;
}

const struct text_service *
text_find(const struct text *text, uint32_t id)
{
    uint32_t at = id & text->slot_mask;

    while (text->slots[at].id != SLOT_NONE) {
        const struct text_service *service =
            &text->services[text->slots[at].id];

        if (service->id == id) {
            return service;
        }
        at = (at + 1) & text->slot_mask;
    }
    return NULL;
}

const struct text_service *
text_find_served(const struct text *text, uint32_t id)
{
    const struct text_service *service = text_find(text, id);

    /* The one retired last tells what the service was in the end. */
    for (size_t i = text->retired_count; service == NULL && i-- > 0;) {
        if (text->retired[i].service.id == id) {
            service = &text->retired[i].service;
        }
    }
    return service;
}

const struct text_retired *
text_find_retired(const struct text *text, uint32_t ip, uint16_t port,
                  enum text_proto proto)
{
    for (size_t i = 0; i < text->retired_count; i++) {
        const struct text_service *service = &text->retired[i].service;

        if (service->ip == ip && service->port == port &&
            service->proto == proto) {
            return &text->retired[i];
        }
    }
    return NULL;
}

const struct text_service *
text_find_addr(const struct text *text, uint32_t ip, uint16_t port,
               enum text_proto proto)
{
    uint32_t at = addr_hash(ip, port, proto) & text->slot_mask;

    while (text->slots[at].addr != SLOT_NONE) {
        const struct text_service *service =
            &text->services[text->slots[at].addr];

        if (service->ip == ip && service->port == port &&
            service->proto == proto) {
            return service;
        }
        at = (at + 1) & text->slot_mask;
    }
    return NULL;
}
