#include "service_config/service_config_lookup.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define SLOT_NONE UINT16_MAX

/**
 * struct service_config_slot - slot of two open-addressing hash tables
 * @id: table by service id: index of the service, or SLOT_NONE
 * @addr: table by address, port and transport: likewise
 */
struct service_config_slot {
    uint16_t id;
    uint16_t addr;
};

static uint32_t
addr_hash(uint32_t ip, uint16_t port, enum service_config_proto proto)
{
    return (uint32_t)hash_pair(ip, (uint64_t)port << 8 | (uint64_t)proto);
}

static void
fill_slots(struct service_config *config)
{
    for (size_t i = 0; i < config->count; i++) {
        const struct service_config_entry *service = &config->services[i];
        uint32_t at = service->id & config->slot_mask;

        while (config->slots[at].id != SLOT_NONE) {
            at = (at + 1) & config->slot_mask;
        }
        config->slots[at].id = (uint16_t)i;
        at = addr_hash(service->ip, service->port, service->proto) &
             config->slot_mask;
        while (config->slots[at].addr != SLOT_NONE) {
            at = (at + 1) & config->slot_mask;
        }
        config->slots[at].addr = (uint16_t)i;
    }
}

int
service_config_lookup_build(struct service_config *config)
{
    uint32_t size = 16;

    while (size < 2 * config->count) {
        size *= 2;
    }
    config->slots = malloc(size * sizeof(*config->slots));
    if (config->slots == NULL) {
        return -ENOMEM;
    }
    memset(config->slots, 0xff, size * sizeof(*config->slots));
    config->slot_mask = size - 1;
    fill_slots(config);
    return 0;
}

const char *service_config_class_name(enum service_config_class class)
{
    return class == SERVICE_CONFIG_URGENT ? "urgent" : "ordinary";
}

const char *
service_config_proto_name(enum service_config_proto proto)
{
    return proto == SERVICE_CONFIG_UDP ? "udp" : "tcp";
}

const struct service_config_entry *
service_config_find_name(const struct service_config *config, const char *name)
{
    for (size_t i = 0; i < config->count; i++) {
        if (strcmp(config->services[i].name, name) == 0) {
            return &config->services[i];
        }
    }
    return NULL;
}

const struct service_config_entry *
service_config_find_id(const struct service_config *config, uint32_t id)
{
    uint32_t at = id & config->slot_mask;

    while (config->slots[at].id != SLOT_NONE) {
        const struct service_config_entry *service =
            &config->services[config->slots[at].id];

        if (service->id == id) {
            return service;
        }
        at = (at + 1) & config->slot_mask;
    }
    return NULL;
}

const struct service_config_entry *
service_config_find_with_retired(const struct service_config *config,
                                 uint32_t id)
{
    const struct service_config_entry *service =
        service_config_find_id(config, id);

    /* The address retired last has the latest properties of the service. */
    for (size_t i = config->retired_count; service == NULL && i-- > 0;) {
        if (config->retired[i].service.id == id) {
            service = &config->retired[i].service;
        }
    }
    return service;
}

const struct service_config_retired *
service_config_find_retired(const struct service_config *config, uint32_t ip,
                            uint16_t port, enum service_config_proto proto)
{
    for (size_t i = 0; i < config->retired_count; i++) {
        const struct service_config_entry *service =
            &config->retired[i].service;

        if (service->ip == ip && service->port == port &&
            service->proto == proto) {
            return &config->retired[i];
        }
    }
    return NULL;
}

const struct service_config_entry *
service_config_find_addr(const struct service_config *config, uint32_t ip,
                         uint16_t port, enum service_config_proto proto)
{
    uint32_t at = addr_hash(ip, port, proto) & config->slot_mask;

    while (config->slots[at].addr != SLOT_NONE) {
        const struct service_config_entry *service =
            &config->services[config->slots[at].addr];

        if (service->ip == ip && service->port == port &&
            service->proto == proto) {
            return service;
        }
        at = (at + 1) & config->slot_mask;
    }
    return NULL;
}
