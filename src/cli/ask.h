/**
 * DOC: ask - asks the processes of a site what is in force on them
 *
 * The seeds of the operator's settings are asked for their members, then
 * every member that any of them names is asked itself. When no seed
 * answers, the platform's object "cell-NAME" names others, if the settings
 * have a cell. The platform is read beside it for the published version.
 */
#ifndef SWIFTARCH_CLI_ASK_H
#define SWIFTARCH_CLI_ASK_H

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
#include "text/text.h"

#define ASK_TIMEOUT_MS 2000
#define ASK_NAME_MAX 64

/** enum ask_state - how far a question has come */
enum ask_state { ASK_OPEN, ASK_ANSWERED, ASK_FAILED };

/**
 * struct ask_process - one process
 * @name: its name; empty for an address of which nothing is known
 * @control: where it was asked
 * @seed: asked as a seed
 * @state: of the question
 * @reason: ASK_FAILED: negative errno
 * @member: what others say of it, in a reply held by struct ask, or NULL
 * @reply: its own answer, or NULL
 */
struct ask_process {
    char name[ASK_NAME_MAX];
    struct addr control;
    bool seed;
    enum ask_state state;
    int reason;
    const Swiftarch__ShowMember *member;
    Swiftarch__ShowReply *reply;
};

/**
 * struct ask_platform - what the platform answered
 * @call: first member
 * @done: it answered or failed
 * @status: of the reply
 * @version: of the object "config"
 * @envelope: what it holds; no text in it
 * @has_envelope: whether it could be read
 * @error: of a failure
 */
struct ask_platform {
    struct platform_call call;
    struct ask *ask;
    bool done;
    int status;
    uint64_t version;
    struct text_envelope envelope;
    bool has_envelope;
    struct error error;
};

/**
 * struct ask - one round of questions
 * @handler: of @hub; first member
 * @settings: operator's; kept
 * @counters: ask for counters
 * @only_seeds: don't ask the members
 * @processes: struct ask_process, in the order they became known
 * @config: config version and text come from this reply, the highest
 *          version heard; NULL while there is none
 * @platform: see there
 * @cell: answer to the fallback question
 */
struct ask {
    struct link_handler handler;
    const struct settings *settings;
    bool counters;
    bool only_seeds;
    GPtrArray *processes;
    const Swiftarch__ShowReply *config;
    struct ask_platform platform;
    struct ask_platform cell;
    bool cell_asked;
    struct event_base *base;
    struct event *timer;
    struct platform *client;
    struct auth auth;
    struct link_hub hub;
    bool hub_ready;
    bool ended;
};

/** ask_init() - prepare; 0 or a negative errno with @err filled */
int
ask_init(struct ask *ask, const struct settings *settings, struct error *err);

/** ask_finish() - free */
void
ask_finish(struct ask *ask);

/** ask_run() - ask until all have answered or failed, @timeout_ms at most */
void
ask_run(struct ask *ask, unsigned timeout_ms);

/** ask_at() - process @i */
static inline const struct ask_process *
ask_at(const struct ask *ask, size_t i)
{
    return g_ptr_array_index(ask->processes, i);
}

#endif
