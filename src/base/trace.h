/**
 * DOC: trace - a span for each hop of a request, one JSON line each
 *
 * The context travels in the W3C traceparent header. Lines are appended
 * with one write(2) each, so threads and processes may share a file.
 */
#ifndef SWIFTARCH_BASE_TRACE_H
#define SWIFTARCH_BASE_TRACE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

#define TRACE_PARENT_LEN 55
#define TRACE_PARENT_MAX (TRACE_PARENT_LEN + 1)
#define TRACE_FLAG_SAMPLED 0x01
#define TRACE_PROCESS_MAX 64

/**
 * struct trace - where a process's spans go
 * @process: name of the process
 * @fd: file, or -1 when tracing is off
 * @sample: one request in so many
 * @epoch_us: added to span times, so that spans of several hosts compare
 *            (wall clock minus monotonic clock; tests may set 0)
 * @seed: random part of the ids
 * @next: counted part of the ids
 */
struct trace {
    char process[TRACE_PROCESS_MAX];
    int fd;
    uint64_t sample;
    uint64_t epoch_us;
    uint64_t seed;
    uint64_t next;
};

/**
 * struct trace_context - one hop's place in a trace
 * @trace_id: trace, all zero where there is none
 * @span_id: span of this hop
 * @flags: TRACE_FLAG_SAMPLED
 */
struct trace_context {
    uint8_t trace_id[16];
    uint8_t span_id[8];
    uint8_t flags;
};

/** trace_init() - open @file for appending; empty or NULL turns it off */
int
trace_init(struct trace *trace, const char *process, const char *file,
           uint64_t sample, struct error *err);

/** trace_finish() - close the file */
void
trace_finish(struct trace *trace);

/** trace_sampled() - whether the request with this hash is traced */
bool
trace_sampled(const struct trace *trace, uint64_t hash);

/** trace_root() - context of a new trace; sampled */
void
trace_root(struct trace *trace, struct trace_context *ctx);

/** trace_child() - context of the next hop: same trace, new span */
void
trace_child(struct trace *trace, const struct trace_context *parent,
            struct trace_context *child);

/** trace_parse() - read a traceparent header; 0 or -EINVAL */
int
trace_parse(const char *text, struct trace_context *ctx);

/** trace_format() - write a traceparent (TRACE_PARENT_MAX), return it */
const char *
trace_format(const struct trace_context *ctx, char *buf);

/**
 * trace_span() - write the span of a finished hop
 * @ctx: trace and span; nothing is written when it isn't sampled
 * @parent_span: 8 bytes, or NULL for the first span of a trace
 * @hop: what the hop did, for example "dispatch"
 * @start_us: monotonic microseconds
 * @end_us: monotonic microseconds
 * @detail: more about it, or NULL
 */
void
trace_span(struct trace *trace, const struct trace_context *ctx,
           const uint8_t *parent_span, const char *hop, uint64_t start_us,
           uint64_t end_us, const char *detail);

#endif
