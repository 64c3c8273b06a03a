/**
 * DOC: relay_query - HTTP query to a balancer or an agent of relay mode
 */
#ifndef SWIFTARCH_CLI_RELAY_QUERY_H
#define SWIFTARCH_CLI_RELAY_QUERY_H

#include <event2/event.h>
#include <json-c/json.h>
#include <stdbool.h>

#include "cli/cli.h"

/**
 * relay_query() - get @target from the process at @address and wait for the
 * reply
 * @json: set to the reply, for json_object_put(), if the result is CLI_OK
 *
 * Return: CLI_OK, or CLI_USAGE or CLI_NO_ANSWER after a message on standard
 * error.
 */
int
relay_query(struct event_base *base, const char *address, const char *target,
            struct json_object **json);

/** relay_query_text() - string at @key of a reply, "-" if it is missing */
const char *
relay_query_text(struct json_object *json, const char *key);

/** relay_query_number() - number at @key of a reply, 0 if it is missing */
int64_t
relay_query_number(struct json_object *json, const char *key);

/** relay_query_bool() - boolean at @key of a reply, false if it is missing */
bool
relay_query_bool(struct json_object *json, const char *key);

#endif
