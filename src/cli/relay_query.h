/**
 * DOC: relay_query - one question to a process of relay mode
 */
#ifndef SWIFTARCH_CLI_RELAY_QUERY_H
#define SWIFTARCH_CLI_RELAY_QUERY_H

#include <event2/event.h>
#include <json-c/json.h>
#include <stdbool.h>

#include "cli/cli.h"

/**
 * relay_query() - get @target from the process at @address
 * @json: what it answered; json_object_put() it after CLI_OK
 *
 * Return: CLI_OK, or CLI_USAGE or CLI_NO_ANSWER after a message on standard
 * error.
 */
int
relay_query(struct event_base *base, const char *address, const char *target,
            struct json_object **json);

/** relay_query_text() - a text of an answer, "-" when it holds none */
const char *
relay_query_text(struct json_object *json, const char *key);

/** relay_query_number() - a number of an answer, 0 when it holds none */
int64_t
relay_query_number(struct json_object *json, const char *key);

/** relay_query_bool() - true or false of an answer, false when it holds none
 */
bool
relay_query_bool(struct json_object *json, const char *key);

#endif
