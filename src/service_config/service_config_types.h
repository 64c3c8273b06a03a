/**
 * DOC: service_config_types - a checked config and its services
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_TYPES_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu.h>

#define SERVICE_CONFIG_SIZE_MAX (1u << 20) /* bytes, with the envelope */
#define SERVICE_CONFIG_ENVELOPE_MAX 1024   /* bytes added by the envelope */
#define SERVICE_CONFIG_AUTHOR_MAX 64
#define SERVICE_CONFIG_WRITE_ID_MAX 33
#define SERVICE_CONFIG_HISTORY_MAX 8
#define SERVICE_CONFIG_NAME_MAX 64
#define SERVICE_CONFIG_DEPENDS_MAX 32
#define SERVICE_CONFIG_SERVICES_MAX 4096
#define SERVICE_CONFIG_RETIRED_MAX 256

struct service_config_slot;

/** enum service_config_class - priority of a service's requests */
enum service_config_class { SERVICE_CONFIG_URGENT, SERVICE_CONFIG_ORDINARY };

/** enum service_config_proto - transport of a service (IP protocol numbers) */
enum service_config_proto { SERVICE_CONFIG_TCP = 6, SERVICE_CONFIG_UDP = 17 };

/**
 * struct service_config_limits - limits of a service (defaults in parentheses)
 * @connections: open flows per endpoint (2000)
 * @connections_per_caller: open flows per caller address and endpoint (200)
 * @queue: queued requests per endpoint (64)
 * @requests_per_caller: queued and running requests per caller address and
 *                       endpoint (32)
 * @deadline_ms: timeout of requests without one of their own (5000)
 * @body_bytes: largest body of a request or response (1 MiB)
 * @idle_s: time without data after which a flow may be closed (3600)
 */
struct service_config_limits {
    uint32_t connections;
    uint32_t connections_per_caller;
    uint32_t queue;
    uint32_t requests_per_caller;
    uint32_t deadline_ms;
    uint32_t body_bytes;
    uint32_t idle_s;
};

/**
 * struct service_config_entry - a service
 * @id: hash_service(@name)
 * @name: name, unique in the config
 * @ip: address that callers use, host byte order
 * @port: port that callers use
 * @proto: transport
 * @class: priority of its requests
 * @limits: limits
 * @depends: indexes of the services it depends on
 * @depends_count: number of indexes in @depends
 * @line: line number in the source, from 1; 0 in a config from
 *        service_config_parse_envelope()
 */
struct service_config_entry {
    uint32_t id;
    char name[SERVICE_CONFIG_NAME_MAX];
    uint32_t ip;
    uint16_t port;
    enum service_config_proto proto;
    enum service_config_class class;
    struct service_config_limits limits;
    uint16_t depends[SERVICE_CONFIG_DEPENDS_MAX];
    size_t depends_count;
    uint32_t line;
};

/**
 * struct service_config_retired - an address that a service used before
 * @service: the service as it was then, without dependencies
 * @until_ms: end of the reservation, milliseconds since 1970 by the
 *            publisher's clock
 *
 * Flows established to the address continue; no new flow is accepted. Only the
 * publisher of a config removes expired addresses; other processes use the
 * published list regardless of their clocks.
 */
struct service_config_retired {
    struct service_config_entry service;
    uint64_t until_ms;
};

/**
 * struct service_config - a checked configuration
 * @rcu: for freeing after a grace period
 * @version: version of the platform's object, 0 when read from a file
 * @services: services in the order of the source
 * @count: number of services
 * @retired: addresses that services used before, none of them in use
 * @retired_count: number of retired addresses
 * @source: NUL-terminated JSON to send to other processes: the config as
 *          published, without surrounding white space, and the retired
 *          addresses, if any
 * @source_len: length of @source in bytes
 * @slots: hash tables of service_config_find_id() and
 *         service_config_find_addr()
 * @slot_mask: number of slots, a power of two, minus one
 */
struct service_config {
    struct rcu_head rcu;
    uint64_t version;
    struct service_config_entry *services;
    size_t count;
    struct service_config_retired *retired;
    size_t retired_count;
    char *source;
    size_t source_len;
    struct service_config_slot *slots;
    uint32_t slot_mask;
};

#endif
