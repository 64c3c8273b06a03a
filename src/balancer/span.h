/**
 * DOC: span - the balancer's hop in the trace of a request
 */
#ifndef SWIFTARCH_BALANCER_SPAN_H
#define SWIFTARCH_BALANCER_SPAN_H

#include <stdint.h>

#include "balancer/route.h"
#include "base/trace.h"

/**
 * span_write() - write a span if the packet carries a sampled traceparent
 * @packet: the whole packet, as parsed into @decision
 * @now_us: clock when it was decided about
 *
 * Whoever began the trace has drawn the sample; the header's flag says so.
 */
void
span_write(struct trace *trace, const uint8_t *packet,
           const struct route_decision *decision, uint64_t now_us);

/**
 * span_find_parent() - context of the first traceparent header in @payload
 *
 * Return: 0 or -ENOENT.
 */
int
span_find_parent(const uint8_t *payload, size_t len,
                 struct trace_context *context);

#endif
