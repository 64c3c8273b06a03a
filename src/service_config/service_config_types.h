/**
 * DOC: service_config_types - what a checked config holds
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_TYPES_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu.h>

#define SERVICE_CONFIG_SIZE_MAX (1u << 20)
#define SERVICE_CONFIG_ENVELOPE_MAX 1024 /* what the envelope adds, at most   \
                                          */
#define SERVICE_CONFIG_AUTHOR_MAX 64
#define SERVICE_CONFIG_WRITE_ID_MAX 33
#define SERVICE_CONFIG_HISTORY_MAX 8
#define SERVICE_CONFIG_NAME_MAX 64
#define SERVICE_CONFIG_DEPENDS_MAX 32
#define SERVICE_CONFIG_SERVICES_MAX 4096
#define SERVICE_CONFIG_RETIRED_MAX 256

struct service_config_slot;

/** enum service_config_class - order in which work is served */
enum service_config_class { SERVICE_CONFIG_URGENT, SERVICE_CONFIG_ORDINARY };

/** enum service_config_proto - transport of a service (IP protocol numbers) */
enum service_config_proto { SERVICE_CONFIG_TCP = 6, SERVICE_CONFIG_UDP = 17 };

/**
 * struct service_config_limits - limits of a service, with defaults
 * @connections: open flows at one endpoint (2000)
 * @connections_per_caller: of one caller address at one endpoint (200)
 * @queue: requests waiting at one endpoint (64)
 * @requests_per_caller: waiting or running, of one caller, one endpoint (32)
 * @deadline_ms: for requests that bring none (5000)
 * @body_bytes: largest request or answer body (1 MiB)
 * @idle_s: a flow without bytes for so long may be closed (3600)
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
 * struct service_config_entry - one service
 * @id: hash_service(name)
 * @name: its name
 * @ip: address callers use, host order
 * @port: port callers use
 * @proto: transport
 * @class: urgent or ordinary
 * @limits: its limits
 * @depends: indexes of the services it depends on
 * @depends_count: how many
 * @line: where it stands in what service_config_parse() was given, from 1; 0
 * in a config from service_config_parse_envelope()
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
 * struct service_config_retired - an address that a service had before
 * @service: the service as it was then; depends on nothing
 * @until_ms: the address stays that service's until then at least,
 *            milliseconds since 1970 by the publisher's clock
 *
 * Flows that were opened to the address go on; no new one is opened. Who
 * publishes a config decides what is retired and for how long: a process
 * goes by the list it was given and by no clock of its own.
 */
struct service_config_retired {
    struct service_config_entry service;
    uint64_t until_ms;
};

/**
 * struct service_config - a checked configuration
 * @rcu: for freeing after a grace period
 * @version: of the platform's object, 0 when not from the platform
 * @services: sorted as written
 * @count: how many
 * @retired: addresses that services had before, none of them in use again
 * @retired_count: how many, SERVICE_CONFIG_RETIRED_MAX at most
 * @source: what others may be given to learn the same: the config as
 *          published, without white space around it, and with it the
 *          retired addresses when there are any
 * @source_len: its length in bytes
 * @slots: hash table behind service_config_find_id() and
 * service_config_find_addr()
 * @slot_mask: its size less one
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
