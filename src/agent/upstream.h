/**
 * DOC: upstream - state of the local upstream, and the agent's HTTP pages
 *
 * Serves /announce, /ready and /metrics. The upstream repeats its
 * announcement. When announcements stop or connections are refused it is lost:
 * it gets no new requests, but its service stays for flows that are still
 * open.
 */
#ifndef SWIFTARCH_AGENT_UPSTREAM_H
#define SWIFTARCH_AGENT_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/error.h"
#include "base/httpd.h"
#include "control/view.h"

struct agent;

#define UPSTREAM_TIMEOUT_US (1500 * UINT64_C(1000))
#define UPSTREAM_SLOTS_MAX 1024
#define UPSTREAM_NAME_MAX 64

/**
 * struct upstream - the announced upstream
 * @handler: callbacks of the listener; first member
 * @agent: agent that owns the upstream
 * @httpd: listener on settings.http
 * @announced: an announcement was received since the start
 * @lost: announcements have stopped, or connections are refused
 * @addr: address of its HTTP server
 * @service: id of its service; 0 without one
 * @name: name of that service
 * @slots: maximum of concurrent requests
 * @state: announced state
 * @announced_us: time of the last announcement
 * @warned: a warning that the configuration lacks its service was logged
 */
struct upstream {
    struct httpd_handler handler;
    struct agent *agent;
    struct httpd *httpd;
    bool announced;
    bool lost;
    struct addr addr;
    uint32_t service;
    char name[UPSTREAM_NAME_MAX];
    uint16_t slots;
    enum member_state state;
    uint64_t announced_us;
    bool warned;
};

/**
 * struct announcement - validated body of a PUT /announce
 * @service: name of the service
 * @addr: address of the upstream's HTTP server
 * @slots: maximum of concurrent requests
 * @state: warming, ready or draining
 */
struct announcement {
    char service[UPSTREAM_NAME_MAX];
    struct addr addr;
    uint16_t slots;
    enum member_state state;
};

/** announcement_parse() - parse the JSON @body; 0, or -EINVAL or -ENOMEM with
 * @err filled */
int
announcement_parse(const char *body, size_t len, struct announcement *out,
                   struct error *err);

/** upstream_init() - listen on settings.http; 0 or a negative errno with @err
 * filled */
int
upstream_init(struct agent *agent, struct error *err);

/** upstream_finish() - close the listener */
void
upstream_finish(struct agent *agent);

/** upstream_tick() - mark the upstream lost without announcements for
 * UPSTREAM_TIMEOUT_US; called every 10 ms */
void
upstream_tick(struct agent *agent);

/** upstream_connect_failed() - mark the upstream lost: it refused a
 * connection */
void
upstream_connect_failed(struct agent *agent);

/** upstream_takes_work() - whether it is announced, not lost and not draining
 */
bool
upstream_takes_work(const struct upstream *upstream);

#endif
