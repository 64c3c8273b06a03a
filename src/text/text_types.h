/**
 * DOC: text_types - what a checked text holds
 */
#ifndef SWIFTARCH_TEXT_TEXT_TYPES_H
#define SWIFTARCH_TEXT_TEXT_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu.h>

#define TEXT_SIZE_MAX (1u << 20)
#define TEXT_ENVELOPE_MAX 1024 /* what the envelope adds, at most */
#define TEXT_AUTHOR_MAX 64
#define TEXT_WRITE_ID_MAX 33
#define TEXT_HISTORY_MAX 8
#define TEXT_NAME_MAX 64
#define TEXT_DEPENDS_MAX 32
#define TEXT_SERVICES_MAX 4096
#define TEXT_RETIRED_MAX 256

struct text_slot;

/** enum text_class - order in which work is served */
enum text_class { TEXT_URGENT, TEXT_ORDINARY };

/** enum text_proto - transport of a service (IP protocol numbers) */
enum text_proto { TEXT_TCP = 6, TEXT_UDP = 17 };

/**
 * struct text_limits - limits of a service, with defaults
 * @connections: open flows at one endpoint (2000)
 * @connections_per_caller: of one caller address at one endpoint (200)
 * @queue: requests waiting at one endpoint (64)
 * @requests_per_caller: waiting or running, of one caller, one endpoint (32)
 * @deadline_ms: for requests that bring none (5000)
 * @body_bytes: largest request or answer body (1 MiB)
 * @idle_s: a flow without bytes for so long may be closed (3600)
 */
struct text_limits {
    uint32_t connections;
    uint32_t connections_per_caller;
    uint32_t queue;
    uint32_t requests_per_caller;
    uint32_t deadline_ms;
    uint32_t body_bytes;
    uint32_t idle_s;
};

/**
 * struct text_service - one service
 * @id: hash_service(name)
 * @name: its name
 * @ip: address callers use, host order
 * @port: port callers use
 * @proto: transport
 * @class: urgent or ordinary
 * @limits: its limits
 * @depends: indexes of the services it depends on
 * @depends_count: how many
 * @line: where it stands in what text_parse() was given, from 1; 0 in a text
 *        from text_parse_envelope()
 */
struct text_service {
    uint32_t id;
    char name[TEXT_NAME_MAX];
    uint32_t ip;
    uint16_t port;
    enum text_proto proto;
    enum text_class class;
    struct text_limits limits;
    uint16_t depends[TEXT_DEPENDS_MAX];
    size_t depends_count;
    uint32_t line;
};

/**
 * struct text_retired - an address that a service had before
 * @service: the service as it was then; depends on nothing
 * @until_ms: the address stays that service's until then at least,
 *            milliseconds since 1970 by the publisher's clock
 *
 * Flows that were opened to the address go on; no new one is opened. Who
 * publishes a text decides what is retired and for how long: a process
 * goes by the list it was given and by no clock of its own.
 */
struct text_retired {
    struct text_service service;
    uint64_t until_ms;
};

/**
 * struct text - a checked configuration
 * @rcu: for freeing after a grace period
 * @version: of the platform's object, 0 when not from the platform
 * @services: sorted as written
 * @count: how many
 * @retired: addresses that services had before, none of them in use again
 * @retired_count: how many, TEXT_RETIRED_MAX at most
 * @source: what others may be given to learn the same: the text as
 *          published, without white space around it, and with it the
 *          retired addresses when there are any
 * @source_len: its length in bytes
 * @slots: hash table behind text_find() and text_find_addr()
 * @slot_mask: its size less one
 */
struct text {
    struct rcu_head rcu;
    uint64_t version;
    struct text_service *services;
    size_t count;
    struct text_retired *retired;
    size_t retired_count;
    char *source;
    size_t source_len;
    struct text_slot *slots;
    uint32_t slot_mask;
};

#endif
