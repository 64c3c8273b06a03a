/**
 * DOC: text - the operators' one text: services and what each depends on
 */
#ifndef SWIFTARCH_TEXT_TEXT_H
#define SWIFTARCH_TEXT_TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu.h>

#include "base/error.h"

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

/**
 * struct text_envelope - what the platform's object "config" holds
 * @write_id: random, 32 hexadecimal digits: tells one write from another
 * @author: who published it (key "operator")
 * @written_ms: when, by that operator's clock, milliseconds since 1970
 * @history: write ids of the versions before it, the latest first
 * @history_count: how many
 * @text: the operators' text inside the value it was read from
 * @text_len: its length in bytes
 * @retired: list of retired addresses (JSON) inside the value, or NULL
 * @retired_len: its length in bytes
 */
struct text_envelope {
    char write_id[TEXT_WRITE_ID_MAX];
    char author[TEXT_AUTHOR_MAX];
    uint64_t written_ms;
    char history[TEXT_HISTORY_MAX][TEXT_WRITE_ID_MAX];
    size_t history_count;
    const char *text;
    size_t text_len;
    const char *retired;
    size_t retired_len;
};

/**
 * text_parse() - check a text and read it
 * @source: JSON, not necessarily ended by NUL
 * @len: its length
 * @name: file name for messages
 * @text: result, calloc()ed, or NULL
 * @report: all faults, one a line "name:line: key: found, expected"
 *          (g_free() it), NULL when there are none
 *
 * Return: 0 or -EINVAL, -EFBIG, -ENOMEM.
 */
int
text_parse(const char *source, size_t len, const char *name,
           struct text **text, char **report);

/**
 * text_parse_envelope() - check and read the value of the object "config"
 * @value: the object's value: an envelope, or a bare text
 * @len: its length
 * @version: the object's version
 * @text: result as from text_parse(), with @version and the retired
 *        addresses
 * @report: as from text_parse()
 *
 * What this function makes of a text's source and of the value from which
 * it was read are equal but for the version, so processes may pass on
 * either form.
 *
 * Return: 0 or -EINVAL, -EFBIG, -ENOMEM.
 */
int
text_parse_envelope(const char *value, size_t len, uint64_t version,
                    struct text **text, char **report);

/**
 * text_envelope_read() - read an envelope without checking the text in it
 * @envelope: result; points into @value
 *
 * Return: 0 or -EINVAL when @value is no envelope.
 */
int
text_envelope_read(const char *value, size_t len,
                   struct text_envelope *envelope);

/**
 * text_envelope_write() - value to publish for a text
 * @envelope: all fields set
 * @len: its length
 *
 * Return: the value, g_free() it.
 */
char *
text_envelope_write(const struct text_envelope *envelope, size_t *len);

/** text_free() - free a text; NULL is allowed */
void
text_free(struct text *text);

/** text_class_name() - word of a class in the text */
const char *text_class_name(enum text_class class);

/** text_proto_name() - word of a transport in the text */
const char *
text_proto_name(enum text_proto proto);

/** text_find_name() - service by name or NULL */
const struct text_service *
text_find_name(const struct text *text, const char *name);

/** text_find() - service by id or NULL */
const struct text_service *
text_find(const struct text *text, uint32_t id);

/** text_find_served() - service by id, or, when the text has none, as it was
 * when its address was retired; NULL when neither is known */
const struct text_service *
text_find_served(const struct text *text, uint32_t id);

/** text_find_retired() - retired address or NULL */
const struct text_retired *
text_find_retired(const struct text *text, uint32_t ip, uint16_t port,
                  enum text_proto proto);

/** text_find_addr() - service at an address, port and transport or NULL */
const struct text_service *
text_find_addr(const struct text *text, uint32_t ip, uint16_t port,
               enum text_proto proto);

#endif
