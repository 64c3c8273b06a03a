/**
 * DOC: control_internal - declarations shared by the control thread's files
 *
 * control.c calls control_config, control_net and control_show. They don't
 * call each other, and reach control.c through struct control_ops only.
 *
 * Only the control thread uses struct control, except for @lock, the reports
 * that it guards, @stopping and @wake.
 */
#ifndef SWIFTARCH_CONTROL_CONTROL_INTERNAL_H
#define SWIFTARCH_CONTROL_CONTROL_INTERNAL_H

#include <event2/event.h>
#include <pthread.h>

#include "base/auth.h"
#include "base/link.h"
#include "control/config.h"
#include "control/control.h"
#include "control/history.h"
#include "control/member.h"
#include "control/seeds.h"
#include "platform/platform.h"

#define CONTROL_REPORTS_MAX 64

/** enum control_frame - types of the frames between control threads */
enum control_frame {
    CONTROL_FRAME_SYNC = 0x101,
    CONTROL_FRAME_CONFIG_REQUEST = 0x102,
    CONTROL_FRAME_CONFIG_REPLY = 0x103,
    CONTROL_FRAME_SHOW_REQUEST = 0x110,
    CONTROL_FRAME_SHOW_REPLY = 0x111,
    CONTROL_FRAME_EXTENSION = 0x120
};

/** enum control_counter - handles in struct control */
enum control_counter {
    CONTROL_BYTES_OUT,
    CONTROL_BYTES_IN,
    CONTROL_MESSAGES_OUT,
    CONTROL_MESSAGES_IN,
    CONTROL_MESSAGES_BAD,
    CONTROL_PROBES,
    CONTROL_PROBES_FAILED,
    CONTROL_SUSPICIONS,
    CONTROL_REFUTED,
    CONTROL_DEATHS_TIMEOUT,
    CONTROL_DEATHS_PROVEN,
    CONTROL_JOINS_REFUSED,
    CONTROL_LIST_FULL,
    CONTROL_SYNCS,
    CONTROL_STALLS,
    CONTROL_LATE,
    CONTROL_NAME_CONFLICTS,
    CONTROL_OTHER_CELL,
    CONTROL_PLATFORM_CALLS,
    CONTROL_PLATFORM_FAILED,
    CONTROL_SELF_READS,
    CONTROL_CONFIG_FETCHES,
    CONTROL_CONFIG_STALE,
    CONTROL_CONFIG_REFUSED,
    CONTROL_CONFIG_VERSION,
    CONTROL_MEMBERS_ALIVE,
    CONTROL_MEMBERS_SUSPECT,
    CONTROL_COUNTERS
};

/** struct control_dead_report - a process proved dead by the data side */
struct control_dead_report {
    uint64_t member;
    uint64_t incarnation;
};

struct control;

/** struct control_ops - callbacks into control.c */
struct control_ops {
    /** @step: run the controllers, send and publish; call after any change */
    void (*step)(struct control *control);
    /** @on_peer: handle a configuration frame or a ShowRequest */
    void (*on_peer)(struct control *control, struct link_conn *conn,
                    enum control_frame type, const uint8_t *body, size_t len);
};

/**
 * struct control - the control thread
 * @ops: callbacks into control.c
 * @fetch_from: peer that the pending configuration fetch was sent to
 * @conn: connection whose frame is being handled, or NULL
 * @cell: hash of the cell's name
 * @load_us: when a view that differs in loads only may be published again
 * @extension_us: next on_step() of the extension, UINT64_MAX without one
 * @local_seq: sequence of the last copy of blackboard_local()
 */
struct control {
    struct link_handler handler;
    const struct control_ops *ops;
    const struct settings *settings;
    struct blackboard *blackboard;
    struct clock *clock;
    struct counter_table *counters;
    int handles[CONTROL_COUNTERS];
    struct event_base *base;
    struct auth auth;
    struct link_hub hub;
    int udp;
    int wake;
    struct event *udp_event;
    struct event *wake_event;
    struct event *timer;
    struct platform *platform;
    struct platform_call config_call;
    struct platform_call seeds_call;
    struct member_core members;
    struct member_actions out;
    struct config_core config;
    struct seeds_core seeds;
    struct history history;
    struct addr fetch_from;
    struct link_conn *conn;
    uint64_t cell;
    uint64_t view_seq;
    uint64_t load_us;
    uint64_t extension_us;
    uint64_t local_seq;
    uint64_t datagrams_out;
    uint64_t datagrams_in;
    uint64_t bytes_out;
    uint64_t bytes_in;
    uint64_t bad_messages;
    pthread_t thread;
    pthread_mutex_t lock;
    struct control_dead_report reports[CONTROL_REPORTS_MAX];
    size_t report_count;
    bool stopping;
};

/* control_clock.c */

/** control_now() - monotonic time, microseconds */
uint64_t
control_now(struct control *control);

/** control_wall_ms() - wall clock, milliseconds */
uint64_t
control_wall_ms(void);

/* control_net.c */

/** control_net_open() - bind UDP and TCP sockets to settings.control */
int
control_net_open(struct control *control, struct error *err);

/** control_net_close() - close the sockets and connections */
void
control_net_close(struct control *control);

/** control_net_send() - send the messages in control->out and clear it */
void
control_net_send(struct control *control);

/** control_net_send_extension() - send a message of the extension, as a
 * datagram if it fits */
void
control_net_send_extension(struct control *control, struct addr to,
                           const uint8_t *body, size_t len);

/* control_config.c */

/** control_config_step() - start platform calls and fetches that are due */
void
control_config_step(struct control *control);

/** control_config_request() - answer a peer's ConfigRequest */
void
control_config_request(struct control *control, struct link_conn *conn,
                       const uint8_t *body, size_t len);

/** control_config_reply() - apply a peer's ConfigReply */
void
control_config_reply(struct control *control, const uint8_t *body, size_t len);

/** control_config_open() - create the platform client */
int
control_config_open(struct control *control, struct error *err);

/* control_show.c */

/** control_show() - answer a ShowRequest */
void
control_show(struct control *control, struct link_conn *conn,
             const uint8_t *body, size_t len);

/** control_register_counters() - 0 or an error of the counter table */
int
control_register_counters(struct control *control, struct error *err);

/** control_update_counters() - copy the cores' statistics to the counters */
void
control_update_counters(struct control *control);

#endif
