/**
 * DOC: frame - what balancers and agents tell each other, one datagram each
 *
 * A carried packet travels behind a small head of ours that holds what its
 * endpoint needn't see: the service, where else the flow may be, and whom to
 * tell. Each frame, whichever way it goes, names the store's epoch and the
 * evacuated data centres that its sender knows of. All integers are
 * little-endian; a frame of another version or with a wrong length is refused.
 */
#ifndef SWIFTARCH_RELAY_WIRE_FRAME_H
#define SWIFTARCH_RELAY_WIRE_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "relay/wire/evacuations.h"
#include "relay/wire/packet.h"

/* Agents that a carried packet may still visit. A SYN names those that its
 * flow ranks highest; a packet whose flow is looked for names more, as the
 * order of agents may have changed since. */
#define FRAME_NEXT_MAX 15
#define FRAME_HEADER_MAX 309
#define FRAME_MAX (FRAME_HEADER_MAX + RELAY_PACKET_MAX)

/** enum frame_type - kinds of frames */
enum frame_type {
    FRAME_FORWARD = 1,     /* a caller's packet towards an endpoint */
    FRAME_ESTABLISHED = 2, /* an agent's endpoint holds the flow */
    FRAME_REDIRECTED = 3,  /* an agent sent the flow on, or let go of it */
    FRAME_QUEUED = 4,      /* an agent keeps a SYN until a slot is free */
    FRAME_STATE = 5,       /* how an agent's endpoint is */
    FRAME_PING = 6,        /* asks for FRAME_STATE */
    FRAME_SERVED = 7,      /* addresses that an endpoint serves */
    FRAME_QUERY = 8,       /* asks an agent which flows its endpoint holds */
    FRAME_QUERY_REPLY = 9, /* the flows among these that it doesn't hold */
    FRAME_TYPE_MAX = FRAME_QUERY_REPLY,
};

/** enum frame_reason - why an agent passed a flow on */
enum frame_reason {
    FRAME_REASON_NONE = 0,
    FRAME_REASON_BUSY = 1,          /* all slots taken, others may be free */
    FRAME_REASON_LEAVING = 2,       /* draining or gone */
    FRAME_REASON_SILENT = 3,        /* the endpoint didn't answer */
    FRAME_REASON_REFUSED = 4,       /* the endpoint bounced the packet */
    FRAME_REASON_WRONG_SERVICE = 5, /* the endpoint is of another service */
    FRAME_REASON_FAILING = 6,       /* it resets requests; others may not */
    FRAME_REASON_EVACUATED = 7,     /* its data centre is evacuated */
    FRAME_REASON_MAX = FRAME_REASON_EVACUATED,
};

/** enum endpoint_state - what an agent knows of its endpoint */
enum endpoint_state {
    ENDPOINT_UNKNOWN = 0,  /* no heartbeat yet; may be tried */
    ENDPOINT_READY = 1,    /* takes new flows */
    ENDPOINT_DRAINING = 2, /* keeps its flows, takes no new ones */
    ENDPOINT_GONE = 3,     /* said that it ends */
    ENDPOINT_SILENT = 4,   /* doesn't answer */
    ENDPOINT_STATE_MAX = ENDPOINT_SILENT,
};

/**
 * struct frame_health - an agent's word on its endpoint
 * @service: hash_service() of its service
 * @state: enum endpoint_state
 * @busy: requests in progress, and those that wait for a slot and can still be
 *        in time, as the agent counts them
 * @slots: requests that the endpoint runs at a time
 * @failing: resets much of what it is asked
 * @data_centre: evacuations_key() of where it stands, 0 when it doesn't say
 */
struct frame_health {
    uint32_t service;
    uint8_t state;
    uint8_t busy;
    uint8_t slots;
    bool failing;
    uint32_t data_centre;
};

/**
 * struct frame_config_version - highest configuration that a host has heard of
 * @version: its number, 0 for none
 * @holder: a balancer that has it
 */
struct frame_config_version {
    uint64_t version;
    struct addr holder;
};

/** enum frame_reader_state - a balancer's part in reading the store's latest
 */
enum frame_reader_state {
    FRAME_READER_NONE = 0,    /* it leaves that to others */
    FRAME_READER_READING = 1, /* it reads, and the store answers */
    FRAME_READER_TRYING = 2,  /* it would, and the store doesn't answer */
    FRAME_READER_MAX = FRAME_READER_TRYING,
};

/**
 * struct frame_store_view - how a balancer keeps up with the store
 * @version: configuration that it follows, 0 for none
 * @reader: enum frame_reader_state
 */
struct frame_store_view {
    uint64_t version;
    uint8_t reader;
};

/**
 * struct frame_readers - balancers but for the addressee that an agent heard
 * from of late
 * @reading: those that read the store's latest
 * @trying: those that try to
 */
struct frame_readers {
    uint8_t reading;
    uint8_t trying;
};

/**
 * struct frame_forward - a caller's packet on its way
 * @service: hash_service() of the service that its route names
 * @origin: balancer that took it from the caller
 * @view: how that balancer keeps up with the store
 * @forced: take it though all slots are busy
 * @target_ms: of a SYN, how soon its request should be answered to be in
 *             time; 0 when it is late already
 * @priority: of its route, 0 is most urgent
 * @caller_timeout_ms: of a SYN, how long its caller waits for an answer
 * @request_timeout_ms: of a SYN, how long its request may take until its
 * answer is of no use
 * @slow_start_limit: of a SYN, requests that the endpoint may get in a second
 *                 until it is warm; 0 for any number
 * @hops: agents that have seen it
 * @best: agent with the least load so far, ip 0 for none
 * @best_load: its load, in 1/16 of its slots
 * @next: agents to go on to, best first
 * @next_count: how many
 * @bytes: the packet
 * @size: its size
 */
struct frame_forward {
    uint32_t service;
    struct addr origin;
    struct frame_store_view view;
    bool forced;
    uint16_t target_ms;
    uint8_t priority;
    uint16_t caller_timeout_ms;
    uint16_t request_timeout_ms;
    uint16_t slow_start_limit;
    uint8_t hops;
    struct addr best;
    uint16_t best_load;
    struct addr next[FRAME_NEXT_MAX];
    uint8_t next_count;
    const uint8_t *bytes;
    size_t size;
};

/**
 * struct frame_ping - a balancer asks an agent for its word
 * @view: how the balancer keeps up with the store
 * @unlisted: the store named the agent once and doesn't any more
 */
struct frame_ping {
    struct frame_store_view view;
    bool unlisted;
};

/**
 * struct frame_status - an agent's answer to a balancer
 * @type: FRAME_ESTABLISHED, FRAME_REDIRECTED, FRAME_QUEUED or FRAME_STATE
 * @reason: for FRAME_REDIRECTED, enum frame_reason
 * @target: for FRAME_REDIRECTED, the agent that has the packet now; ip 0 when
 *          nobody has
 * @flow: the flow, but for FRAME_STATE
 * @seq: for FRAME_ESTABLISHED, sequence number of the endpoint's SYN+ACK
 * @health: the endpoint
 * @heard: newest configuration that the agent has heard of
 * @readers: who reads the store
 */
struct frame_status {
    uint8_t type;
    uint8_t reason;
    struct addr target;
    struct relay_flow flow;
    uint32_t seq;
    struct frame_health health;
    struct frame_config_version heard;
    struct frame_readers readers;
};

/* Addresses that one frame tells. */
#define FRAME_SERVED_MAX 16

/**
 * struct frame_served - addresses under which callers reach an endpoint
 *
 * Seen in flows that the endpoint held before its agent started: for
 * balancers that have no configuration and can't get one.
 *
 * @service: hash_service() of its service
 * @addrs: the addresses
 * @count: how many
 */
struct frame_served {
    uint32_t service;
    struct addr addrs[FRAME_SERVED_MAX];
    uint8_t count;
};

/* Flows that one frame asks for: 12 bytes each, the whole no larger than a
 * carried packet. A multiple of 32. */
#define FRAME_QUERY_MAX 96
#define FRAME_QUERY_WORDS (FRAME_QUERY_MAX / 32)

/**
 * struct frame_query - a balancer asks all agents of a service for flows that
 * no search has found
 * @query: names the question
 * @view: how the balancer keeps up with the store
 * @flows: the flows
 * @count: how many
 */
struct frame_query {
    uint32_t query;
    struct frame_store_view view;
    struct relay_flow flows[FRAME_QUERY_MAX];
    uint8_t count;
};

/**
 * struct frame_query_reply - an agent's answer
 * @query: the question
 * @silent: the endpoint shows no sign of life: the rest says nothing
 * @down: the endpoint's process isn't there
 * @partial: the endpoint may hold flows that the agent doesn't know, so that
 *           only their packets can tell
 * @absent: a bit for each flow that the endpoint doesn't hold, for certain
 */
struct frame_query_reply {
    uint32_t query;
    bool silent;
    bool down;
    bool partial;
    uint32_t absent[FRAME_QUERY_WORDS];
};

/** frame_type() - kind of a frame, -EBADMSG for what is none of ours */
int
frame_type(const uint8_t *bytes, size_t size);

/** frame_evacuations_decode() - the store's epoch and the evacuated data
 * centres that a frame names; frame_type() has accepted it */
void
frame_evacuations_decode(const uint8_t *bytes,
                         struct evacuations *evacuations);

/** frame_forward_encode() - write @forward into FRAME_MAX bytes; its size */
size_t
frame_forward_encode(const struct frame_forward *forward,
                     const struct evacuations *evacuations, uint8_t *bytes);

/** frame_forward_decode() - read it; 0 or -EBADMSG. @forward->bytes points
 * into
 * @bytes. */
int
frame_forward_decode(const uint8_t *bytes, size_t size,
                     struct frame_forward *forward);

/** frame_status_encode() - write @status into FRAME_HEADER_MAX bytes */
size_t
frame_status_encode(const struct frame_status *status,
                    const struct evacuations *evacuations, uint8_t *bytes);

/** frame_status_decode() - read it; 0 or -EBADMSG */
int
frame_status_decode(const uint8_t *bytes, size_t size,
                    struct frame_status *status);

/** frame_served_encode() - write @served into FRAME_HEADER_MAX bytes */
size_t
frame_served_encode(const struct frame_served *served,
                    const struct evacuations *evacuations, uint8_t *bytes);

/** frame_served_decode() - read it; 0 or -EBADMSG */
int
frame_served_decode(const uint8_t *bytes, size_t size,
                    struct frame_served *served);

/** frame_query_encode() - write @query into FRAME_MAX bytes */
size_t
frame_query_encode(const struct frame_query *query,
                   const struct evacuations *evacuations, uint8_t *bytes);

/** frame_query_decode() - read it; 0 or -EBADMSG */
int
frame_query_decode(const uint8_t *bytes, size_t size,
                   struct frame_query *query);

/** frame_query_reply_encode() - write @absent into FRAME_HEADER_MAX bytes */
size_t
frame_query_reply_encode(const struct frame_query_reply *absent,
                         const struct evacuations *evacuations,
                         uint8_t *bytes);

/** frame_query_reply_decode() - read it; 0 or -EBADMSG */
int
frame_query_reply_decode(const uint8_t *bytes, size_t size,
                         struct frame_query_reply *absent);

/** frame_ping_encode() - write @ping into FRAME_HEADER_MAX bytes */
size_t
frame_ping_encode(const struct frame_ping *ping,
                  const struct evacuations *evacuations, uint8_t *bytes);

/** frame_ping_decode() - read it; 0 or -EBADMSG */
int
frame_ping_decode(const uint8_t *bytes, size_t size, struct frame_ping *ping);

#endif
