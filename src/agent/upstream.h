/**
 * DOC: upstream - what the local upstream says of itself
 *
 * Serves /announce, /ready and /metrics. The upstream repeats its
 * announcement; when it falls silent or refuses connections it is lost: it
 * takes no new work, its service stays for the flows still open.
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
 * @handler: what the listener calls; first member
 * @agent: the program
 * @httpd: listener on settings.http
 * @announced: an upstream has announced itself since the start
 * @lost: it is silent or refuses connections
 * @addr: where it takes requests
 * @service: id of its service, 0 without
 * @name: name of that service
 * @slots: requests it runs at once
 * @state: what it says of itself
 * @announced_us: when it was last heard
 * @warned: that the text doesn't know its service was logged
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
 * struct announcement - a PUT /announce, checked
 * @service: name of the service
 * @addr: where the upstream takes requests
 * @slots: requests it runs at once
 * @state: warming, ready or draining
 */
struct announcement {
    char service[UPSTREAM_NAME_MAX];
    struct addr addr;
    uint16_t slots;
    enum member_state state;
};

/** announcement_parse() - read the JSON; 0 or -EINVAL with @err filled */
int
announcement_parse(const char *body, size_t len, struct announcement *out,
                   struct error *err);

/** upstream_init() - listen on settings.http */
int
upstream_init(struct agent *agent, struct error *err);

/** upstream_finish() - close the listener */
void
upstream_finish(struct agent *agent);

/** upstream_tick() - notice silence */
void
upstream_tick(struct agent *agent);

/** upstream_connect_failed() - it refused a connection */
void
upstream_connect_failed(struct agent *agent);

/** upstream_takes_work() - heard lately, and warming or ready */
bool
upstream_takes_work(const struct upstream *upstream);

#endif
