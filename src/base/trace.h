/**
 * DOC: trace - spans of a request's hops, written as JSON lines
 *
 * The context is propagated in the W3C traceparent header. Each line is
 * appended by one write(2), so threads and processes may share a file.
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
 * struct trace - tracing state of a process
 * @process: name of the process
 * @fd: trace file, -1 when tracing is disabled
 * @sample: one request in this many is traced
 * @epoch_us: wall clock minus monotonic clock, added to the times of spans
 * @seed: random number that ids are derived from
 * @next: counter that ids are derived from
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
 * struct trace_context - trace and span of one hop
 * @trace_id: id of the trace, all zero for none
 * @span_id: id of the hop's span
 * @flags: TRACE_FLAG_SAMPLED
 */
struct trace_context {
    uint8_t trace_id[16];
    uint8_t span_id[8];
    uint8_t flags;
};

/**
 * trace_init() - open the trace file
 * @process: name of the process
 * @file: file to append to; NULL or empty disables tracing
 * @sample: trace one request in this many
 *
 * Return: 0 or a negative errno value, with @err set.
 */
int
trace_init(struct trace *trace, const char *process, const char *file,
           uint64_t sample, struct error *err);

/** trace_finish() - close the trace file */
void
trace_finish(struct trace *trace);

/** trace_sampled() - whether a request with @hash is traced */
bool
trace_sampled(const struct trace *trace, uint64_t hash);

/** trace_root() - start a new, sampled trace */
void
trace_root(struct trace *trace, struct trace_context *ctx);

/** trace_child() - context of the next hop: same trace, new span id */
void
trace_child(struct trace *trace, const struct trace_context *parent,
            struct trace_context *child);

/** trace_parse() - parse a traceparent header; 0 or -EINVAL */
int
trace_parse(const char *text, struct trace_context *ctx);

/** trace_format() - write a traceparent into @buf (TRACE_PARENT_MAX bytes);
 * returns @buf */
const char *
trace_format(const struct trace_context *ctx, char *buf);

/**
 * trace_span() - write the span of a finished hop, if sampled
 * @ctx: trace and span of the hop
 * @parent_span: id of the parent span (8 bytes), NULL for a root span
 * @hop: name of the hop, for example "dispatch"
 * @start_us: monotonic microseconds
 * @end_us: monotonic microseconds
 * @detail: further text, or NULL
 */
void
trace_span(struct trace *trace, const struct trace_context *ctx,
           const uint8_t *parent_span, const char *hop, uint64_t start_us,
           uint64_t end_us, const char *detail);

#endif
