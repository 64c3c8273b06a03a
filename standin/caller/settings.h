/**
 * DOC: settings - what a caller stand-in is to do (JSON, checked key by key)
 */
#ifndef STANDIN_CALLER_SETTINGS_H
#define STANDIN_CALLER_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/error.h"

#define CALLER_ADDRESSES_MAX 64
#define CALLER_LOADS_MAX 16
#define CALLER_NAME_MAX 32
#define CALLER_PATH_MAX 256

/**
 * struct load_settings - one load towards one service
 * @service: name of the service (key "service")
 * @to: its address (keys "ip", "port")
 * @udp: datagrams instead of HTTP over TCP (key "proto")
 * @urgent: class (key "class")
 * @flows: flows kept open (key "flows")
 * @flow_requests: requests after which a flow is closed, 0 never
 * @rate: requests a second over all flows, Poisson (key "rate")
 * @post_share: share of POSTs with an idempotency key (key "post_share")
 * @deadline_ms: from the intended start (key "deadline_ms")
 * @patience_ms: after the deadline, before a flow is given up
 * @body_bytes: of a POST, or of a datagram (key "body_bytes")
 * @answer_bytes: asked of the upstream (key "answer_bytes")
 * @pipeline: requests in progress on one flow (key "pipeline")
 */
struct load_settings {
    char service[CALLER_NAME_MAX];
    struct addr to;
    bool udp;
    bool urgent;
    unsigned flows;
    unsigned flow_requests;
    double rate;
    double post_share;
    unsigned deadline_ms;
    unsigned patience_ms;
    unsigned body_bytes;
    unsigned answer_bytes;
    unsigned pipeline;
};

/**
 * struct caller_settings - the whole file
 * @fabric: UDP address that takes our packets
 * @listen: our own UDP address
 * @seed: of arrivals and ids
 * @seconds: how long requests are started
 * @record: file for the JSON lines
 * @traces: file for spans, empty is off
 * @addresses: IP addresses of the callers played
 * @address_count: how many
 * @loads: what is sent
 * @load_count: how many
 */
struct caller_settings {
    struct addr fabric;
    struct addr listen;
    unsigned seed;
    double seconds;
    char record[CALLER_PATH_MAX];
    char traces[CALLER_PATH_MAX];
    uint32_t addresses[CALLER_ADDRESSES_MAX];
    size_t address_count;
    struct load_settings loads[CALLER_LOADS_MAX];
    size_t load_count;
};

/**
 * caller_settings_load() - read and check a file
 * @report: gets all faults, one a line (g_free() it)
 *
 * Return: 0, -EINVAL, or what reading the file returned.
 */
int
caller_settings_load(struct caller_settings *settings, const char *path,
                     char **report, struct error *err);

#endif
