/**
 * DOC: capacity - what an endpoint can bear, learned from its requests
 *
 * The service time is the mean of the middle half of the last requests, so
 * that a few long requests don't make an endpoint slow and a change of its
 * speed shows after a few requests. A request in progress that has taken many
 * times as long is stuck: it holds a slot.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_CAPACITY_H
#define SWIFTARCH_RELAY_ADMISSION_CAPACITY_H

#include <stdbool.h>
#include <stdint.h>

#define CAPACITY_SAMPLES 8

/* Seconds after its last request in which a flow still counts. */
#define CAPACITY_FLOW_SECONDS 10

/**
 * struct capacity - the last samples, and flows by time of their last request
 * @samples: service times, in microseconds
 * @count: number of valid @samples
 * @next: index that the next sample is written to
 * @sampled_us: when the last sample came
 * @flows: open flows by second of their last request, a ring
 * @second: second that @flows was last brought up to
 * @hanging: stuck requests held half of the slots, and the endpoint hasn't
 *     answered enough requests since
 * @answers: requests answered since they last did
 * @used_us: when the endpoint last got a request or a new flow
 */
struct capacity {
    uint64_t samples[CAPACITY_SAMPLES];
    unsigned count;
    unsigned next;
    uint64_t sampled_us;
    unsigned flows[CAPACITY_FLOW_SECONDS];
    uint64_t second;
    bool hanging;
    unsigned answers;
    uint64_t used_us;
};

/** capacity_forget_samples() - begin anew, as another endpoint process runs;
 * the flows are kept */
void
capacity_forget_samples(struct capacity *capacity);

/**
 * capacity_add() - add an answered request
 * @elapsed_us: time since it was given to the endpoint
 * @depth: requests in progress at that time, this one included
 * @slots: requests that the endpoint runs at a time
 */
void
capacity_add(struct capacity *capacity, uint64_t elapsed_us, unsigned depth,
             unsigned slots, uint64_t now_us);

/** capacity_service_us() - time of a request without queueing, in
 * microseconds; 0 if unknown */
uint64_t
capacity_service_us(const struct capacity *capacity, uint64_t now_us);

/** capacity_is_stuck() - whether a request in progress takes much longer than
 * others; parameters as for capacity_add() */
bool
capacity_is_stuck(const struct capacity *capacity, uint64_t elapsed_us,
                  unsigned depth, unsigned slots, uint64_t now_us);

/** capacity_note_stuck() - note how many of the slots are held by stuck
 * requests */
void
capacity_note_stuck(struct capacity *capacity, unsigned stuck, unsigned slots);

/** capacity_trial_due() - whether a hanging endpoint may get a new flow: none
 * of its open flows has had a request lately that shows whether it is well */
bool
capacity_trial_due(const struct capacity *capacity, uint64_t now_us);

/** capacity_flow_used() - a flow had a request; @used_us: when it had the one
 * before, 0 for none; set to @now_us */
void
capacity_flow_used(struct capacity *capacity, uint64_t *used_us,
                   uint64_t now_us);

/** capacity_flow_ended() - a flow has ended; @used_us as for
 * capacity_flow_used(), set to 0 */
void
capacity_flow_ended(struct capacity *capacity, uint64_t *used_us);

/** capacity_flows() - open flows that had a request lately */
unsigned
capacity_flows(const struct capacity *capacity, uint64_t now_us);

#endif
