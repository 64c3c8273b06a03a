/**
 * DOC: record - what the caller saw, one JSON line each
 *
 * Times are CLOCK_MONOTONIC microseconds.
 */
#ifndef STANDIN_CALLER_RECORD_H
#define STANDIN_CALLER_RECORD_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "base/addr.h"
#include "base/error.h"

#define RECORD_NO_FLOW (-1)
#define RECORD_VIA_MAX 64

/** enum result - how an attempt ended */
enum result {
    RESULT_ANSWERED,    /* the service's whole answer, status as recorded */
    RESULT_REFUSED,     /* Swiftarch-Outcome: not-run */
    RESULT_UNKNOWN,     /* Swiftarch-Outcome: unknown, or another 5xx */
    RESULT_IN_PROGRESS, /* 409: the key's first request still runs */
    RESULT_BROKEN,      /* the flow was lost while waiting */
    RESULT_TIMEOUT      /* no answer in the deadline and two seconds */
};

/** enum flow_end - how a flow ended */
enum flow_end {
    FLOW_CLOSED,
    FLOW_RESET,
    FLOW_TIMEOUT,
    FLOW_OPEN_FAILED,
    FLOW_ALIVE
};

/**
 * struct request_line - one attempt of a request
 * @id: X-Request-Id, of this attempt only
 * @key: Idempotency-Key, of all attempts of a POST
 * @flow: number of its flow, or RECORD_NO_FLOW when it was never sent
 * @start_us: intended start
 * @retry_after_ms: 0 when none was given
 * @crossed: an answer that belongs to another request
 * @truncated: an answer without all of its bytes
 * @wrong_service: an answer of another service
 */
struct request_line {
    uint64_t id;
    const char *service;
    bool urgent;
    bool post;
    uint64_t key;
    unsigned attempt;
    int64_t flow;
    struct addr src;
    uint64_t start_us;
    uint64_t end_us;
    uint64_t deadline_us;
    enum result result;
    unsigned status;
    unsigned retry_after_ms;
    bool crossed;
    bool truncated;
    bool wrong_service;
};

/**
 * struct flow_line - one flow
 * @via: host that owns it, as its answers said, or ""
 * @peer_closed: the first FIN was not ours
 * @requests: sent over it
 */
struct flow_line {
    int64_t flow;
    const char *service;
    struct addr src;
    const char *via;
    uint64_t open_us;
    uint64_t end_us;
    enum flow_end end;
    bool peer_closed;
    unsigned requests;
};

/**
 * struct datagram_line - what became of a load's datagrams
 * @sent: datagrams sent
 * @echoed: came back whole and once
 * @lost: never came back
 * @foreign: came back changed, twice, or from another service
 */
struct datagram_line {
    const char *service;
    uint64_t sent;
    uint64_t echoed;
    uint64_t lost;
    uint64_t foreign;
};

/** struct record - the file */
struct record {
    FILE *file;
};

/** record_init() - create @path; 0 or negative errno */
int
record_init(struct record *record, const char *path, struct error *err);

/** record_finish() - close it; -EIO when lines were lost */
int
record_finish(struct record *record);

/** result_name() - as in the file */
const char *
result_name(enum result result);

/** record_request() - write the line of an attempt */
void
record_request(struct record *record, const struct request_line *line);

/** record_flow() - write the line of a flow */
void
record_flow(struct record *record, const struct flow_line *line);

/** record_datagrams() - write the line of a load of datagrams */
void
record_datagrams(struct record *record, const struct datagram_line *line);

#endif
