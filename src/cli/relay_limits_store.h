/**
 * DOC: relay_limits_store - reads and writes the operators' limits in the
 * platform's store, one call at a time
 */
#ifndef SWIFTARCH_CLI_RELAY_LIMITS_STORE_H
#define SWIFTARCH_CLI_RELAY_LIMITS_STORE_H

#include <json-c/json.h>
#include <stdint.h>

struct event_base;
struct store;

/**
 * struct relay_limits_store - a connection to the store
 * @base: event loop of its calls
 * @store: the connection
 * @address: its address, for messages
 */
struct relay_limits_store {
    struct event_base *base;
    struct store *store;
    const char *address;
};

/** relay_limits_store_init() - connect to "a.b.c.d:port"; CLI_OK, or an exit
 * code after a message on standard error */
int
relay_limits_store_init(struct relay_limits_store *limits_store,
                        const char *address);

/** relay_limits_store_finish() - close the connection */
void
relay_limits_store_finish(struct relay_limits_store *limits_store);

/**
 * relay_limits_store_read() - read the document
 * @json: set to the document, for json_object_put(); NULL if there is none
 * @revision: set to its revision, 0 if there is none
 *
 * Return: CLI_OK, or an exit code after a message.
 */
int
relay_limits_store_read(struct relay_limits_store *limits_store,
                        struct json_object **json, uint64_t *revision);

/**
 * relay_limits_store_write() - write the document if it is still at a revision
 * @json: the document, NULL to remove it
 * @revision: the revision expected, 0 if there must be none; set to that of
 * the write
 *
 * Return: CLI_OK; CLI_RACE_LOST, CLI_FAILED or CLI_UNKNOWN after a message.
 */
int
relay_limits_store_write(struct relay_limits_store *limits_store,
                         struct json_object *json, uint64_t *revision);

#endif
