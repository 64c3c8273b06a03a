/**
 * DOC: addresses - which addresses are those of the service served here
 */
#ifndef SWIFTARCH_AGENT_ADDRESSES_H
#define SWIFTARCH_AGENT_ADDRESSES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/flow_address.h"
#include "service_config/service_config.h"
#include "service_config/service_config_retire.h"

/** struct retired_address - an retired_address, and until when it stays the
 * service's */
struct retired_address {
    uint32_t ip;
    uint16_t port;
    uint8_t proto;
    uint64_t until_ms;
};

/**
 * struct addresses - those that the service had before
 * @removed: and the config gives it none now
 * @count: how many
 * @items: the addresses
 */
struct addresses {
    bool removed;
    size_t count;
    struct retired_address items[SERVICE_CONFIG_RETIRED_MAX];
};

/** addresses_set() - take over what @config retires of a service */
static inline void
addresses_set(struct addresses *addresses, const struct service_config *config,
              uint32_t service)
{
    addresses->count = 0;
    addresses->removed = service_config_find_id(config, service) == NULL;
    for (size_t i = 0; i < config->retired_count; i++) {
        const struct service_config_entry *retired =
            &config->retired[i].service;

        if (retired->id == service) {
            addresses->items[addresses->count++] = (struct retired_address){
                retired->ip, retired->port, (uint8_t)retired->proto,
                config->retired[i].until_ms};
        }
    }
}

/** addresses_find() - what an retired_address is to @service as it is now;
 * @now_ms since 1970, which may differ from the publisher's clock by
 * SERVICE_CONFIG_RETIRE_SKEW_MS */
static inline enum flow_address
addresses_find(const struct addresses *addresses,
               const struct service_config_entry *service, uint32_t ip,
               uint16_t port, uint8_t proto, uint64_t now_ms)
{
    if (!addresses->removed && service->ip == ip && service->port == port &&
        (uint8_t)service->proto == proto) {
        return FLOW_ADDRESS_CURRENT;
    }
    for (size_t i = 0; i < addresses->count; i++) {
        const struct retired_address *item = &addresses->items[i];

        if (item->ip == ip && item->port == port && item->proto == proto) {
            return now_ms + SERVICE_CONFIG_RETIRE_SKEW_MS < item->until_ms
                       ? FLOW_ADDRESS_RETIRED
                       : FLOW_ADDRESS_EXPIRED;
        }
    }
    return FLOW_ADDRESS_NONE;
}

#endif
