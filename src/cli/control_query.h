/**
 * DOC: control_query - queries the state of all processes of a site
 *
 * The seeds of the operator settings are queried for their members, then
 * every member in a reply is queried. If no seed answers and the settings
 * name a cell, further seeds are read from the platform's object "cell-NAME".
 * The published version is read from the platform at the same time.
 */
#ifndef SWIFTARCH_CLI_CONTROL_QUERY_H
#define SWIFTARCH_CLI_CONTROL_QUERY_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/auth.h"
#include "base/link.h"
#include "base/settings.h"
#include "control/control.pb-c.h"
#include "platform/platform.h"
#include "service_config/service_config.h"

#define CONTROL_QUERY_TIMEOUT_MS 2000
#define CONTROL_QUERY_NAME_MAX 64 /* bytes, with the final NUL */

/** enum control_query_state - progress of the query to one process */
enum control_query_state {
    CONTROL_QUERY_PENDING,
    CONTROL_QUERY_ANSWERED,
    CONTROL_QUERY_FAILED
};

/**
 * struct control_query_process - a queried process
 * @name: its name; empty for a seed that did not answer and is in no list
 * @control: control address
 * @seed: queried as a seed
 * @state: progress of the query
 * @reason: CONTROL_QUERY_FAILED: negative errno
 * @member: newest entry about it in the reply of another process, or NULL
 * @reply: its own reply, or NULL
 */
struct control_query_process {
    char name[CONTROL_QUERY_NAME_MAX];
    struct addr control;
    bool seed;
    enum control_query_state state;
    int reason;
    const Swiftarch__ShowMember *member;
    Swiftarch__ShowReply *reply;
};

/**
 * struct control_query_platform - a read from the platform
 * @call: platform call; first member
 * @query: query that it belongs to
 * @done: the call has ended
 * @status: status of the reply, 0 or a negative errno
 * @version: version of the object
 * @envelope: parsed object, without its source
 * @has_envelope: @envelope is valid
 * @error: reason of a failure
 */
struct control_query_platform {
    struct platform_call call;
    struct control_query *query;
    bool done;
    int status;
    uint64_t version;
    struct service_config_envelope envelope;
    bool has_envelope;
    struct error error;
};

/**
 * struct control_query - a query to all processes of a site
 * @handler: callbacks of @hub; first member
 * @settings: operator settings, owned by the caller
 * @counters: request the counters too
 * @seeds_only: don't query the members
 * @processes: struct control_query_process, in the order of discovery
 * @config: reply with the highest config version, or NULL
 * @platform: read of the published configuration
 * @cell: read of the cell's seed list
 * @cell_queried: @cell was started
 * @base: event loop, stopped when the query ends
 * @timer: timeout of the query
 * @client: client of the platform
 * @auth: keys of @hub
 * @hub: connections to the processes
 * @hub_ready: @hub is initialized
 * @ended: all processes have answered or failed, or the timeout expired
 */
struct control_query {
    struct link_handler handler;
    const struct settings *settings;
    bool counters;
    bool seeds_only;
    GPtrArray *processes;
    const Swiftarch__ShowReply *config;
    struct control_query_platform platform;
    struct control_query_platform cell;
    bool cell_queried;
    struct event_base *base;
    struct event *timer;
    struct platform *client;
    struct auth auth;
    struct link_hub hub;
    bool hub_ready;
    bool ended;
};

/**
 * control_query_init() - create the event loop and the clients
 *
 * Return: 0 or a negative errno with @err filled.
 */
int
control_query_init(struct control_query *query,
                   const struct settings *settings, struct error *err);

/** control_query_finish() - free all resources of @query */
void
control_query_finish(struct control_query *query);

/** control_query_run() - query until all processes have answered or failed,
 * for at most @timeout_ms */
void
control_query_run(struct control_query *query, unsigned timeout_ms);

/** control_query_process_at() - process @i */
static inline const struct control_query_process *
control_query_process_at(const struct control_query *query, size_t i)
{
    return g_ptr_array_index(query->processes, i);
}

#endif
