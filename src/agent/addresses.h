/**
 * DOC: addresses - current and retired addresses of the local service
 *
 * Decides whether an address is current, retired (its flows continue until a
 * set time), expired or not the service's.
 */
#ifndef SWIFTARCH_AGENT_ADDRESSES_H
#define SWIFTARCH_AGENT_ADDRESSES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/flow_address.h"
#include "service_config/service_config.h"
#include "service_config/service_config_retire.h"

/**
 * struct retired_address - an address that the service had before
 * @ip: address, host byte order
 * @port: port
 * @proto: SERVICE_CONFIG_TCP or SERVICE_CONFIG_UDP
 * @until_ms: end of its retirement, ms since 1970
 */
struct retired_address {
    uint32_t ip;
    uint16_t port;
    uint8_t proto;
    uint64_t until_ms;
};

/**
 * struct addresses - retired addresses of a service
 * @removed: the configuration no longer has the service
 * @count: number of @items
 * @items: the retired addresses
 */
struct addresses {
    bool removed;
    size_t count;
    struct retired_address items[SERVICE_CONFIG_RETIRED_MAX];
};

/** addresses_set() - copy the retired addresses of @service from @config */
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

/** addresses_find() - classify an address; @service is the current entry.
 * @now_ms is the time since 1970. A retired address expires
 * SERVICE_CONFIG_RETIRE_SKEW_MS early, as the publisher's clock may differ. */
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
