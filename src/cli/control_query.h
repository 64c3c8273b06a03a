/**
 * DOC: query - asks the processes of a site what is in force on them
 *
 * The seeds of the operator's settings are asked for their members, then
 * every member that any of them names is asked itself. When no seed
 * answers, the platform's object "cell-NAME" names others, if the settings
 * have a cell. The platform is read beside it for the published version.
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
#define CONTROL_QUERY_NAME_MAX 64

/** enum control_query_state - how far a question has come */
enum control_query_state {
    CONTROL_QUERY_PENDING,
    CONTROL_QUERY_ANSWERED,
    CONTROL_QUERY_FAILED
};

/**
 * struct control_query_process - one process
 * @name: its name; empty for an address of which nothing is known
 * @control: where it was asked
 * @seed: asked as a seed
 * @state: of the question
 * @reason: CONTROL_QUERY_FAILED: negative errno
 * @member: what others say of it, in a reply held by struct control_query, or
 * NULL
 * @reply: its own answer, or NULL
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
 * struct control_query_platform - what the platform answered
 * @call: first member
 * @done: it answered or failed
 * @status: of the reply
 * @version: of the object "config"
 * @envelope: what it holds; no text in it
 * @has_envelope: whether it could be read
 * @error: of a failure
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
 * struct control_query - one round of questions
 * @handler: of @hub; first member
 * @settings: operator's; kept
 * @counters: query for counters
 * @seeds_only: don't query the members
 * @processes: struct control_query_process, in the order they became known
 * @config: config version and text come from this reply, the highest
 *          version heard; NULL while there is none
 * @platform: see there
 * @cell: answer to the fallback question
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

/** control_query_init() - prepare; 0 or a negative errno with @err filled */
int
control_query_init(struct control_query *query,
                   const struct settings *settings, struct error *err);

/** control_query_finish() - free */
void
control_query_finish(struct control_query *query);

/** control_query_run() - query until all have answered or failed, @timeout_ms
 * at most */
void
control_query_run(struct control_query *query, unsigned timeout_ms);

/** control_query_process_at() - process @i */
static inline const struct control_query_process *
control_query_process_at(const struct control_query *query, size_t i)
{
    return g_ptr_array_index(query->processes, i);
}

#endif
