/**
 * DOC: span - writes the balancer's span of a traced request
 */
#ifndef SWIFTARCH_BALANCER_SPAN_H
#define SWIFTARCH_BALANCER_SPAN_H

#include <stdint.h>

#include "balancer/route.h"
#include "base/trace.h"

/**
 * span_write() - write a span if the packet carries a sampled traceparent
 * @packet: complete packet, parsed into @decision
 * @now_us: time of the decision
 *
 * The first hop of the trace made the sampling decision; it is taken from
 * the header's flags.
 */
void
span_write(struct trace *trace, const uint8_t *packet,
           const struct route_decision *decision, uint64_t now_us);

/**
 * span_find_parent() - parse the first traceparent header in @payload
 *
 * Return: 0 with @context filled, or -ENOENT without a valid header.
 */
int
span_find_parent(const uint8_t *payload, size_t len,
                 struct trace_context *context);

#endif
