/**
 * DOC: frame - datagrams between balancers and agents
 *
 * A forwarded packet follows a header that names its service, the balancer
 * that sent it and the other agents that may hold its flow. The endpoint gets
 * the packet without the header. Every frame carries the store's epoch and the
 * evacuated data centres that its sender knows of. Integers are little-endian;
 * a frame of another version or of a wrong length is refused.
 */
#ifndef SWIFTARCH_RELAY_WIRE_FRAME_H
#define SWIFTARCH_RELAY_WIRE_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "relay/wire/evacuations.h"
#include "relay/wire/packet.h"

/* Agents that a forwarded packet may still be redirected to. A SYN lists the
 * highest ranked agents of its flow; a lookup lists more, as the ranking may
 * have changed since the flow was opened. */
#define FRAME_NEXT_MAX 15
#define FRAME_HEADER_MAX 309
#define FRAME_MAX (FRAME_HEADER_MAX + RELAY_PACKET_MAX)

/** enum frame_type - kinds of frames */
enum frame_type {
    FRAME_FORWARD = 1,     /* a caller's packet towards an endpoint */
    FRAME_ESTABLISHED = 2, /* an agent's endpoint holds the flow */
    FRAME_REDIRECTED = 3, /* the flow went to another agent or was abandoned */
    FRAME_QUEUED = 4,     /* an agent queues a SYN until a slot is free */
    FRAME_STATE = 5,      /* health of an agent's endpoint */
    FRAME_PING = 6,       /* requests a FRAME_STATE */
    FRAME_SERVED = 7,     /* addresses that an endpoint serves */
    FRAME_QUERY = 8,      /* asks which flows an agent's endpoint holds */
    FRAME_QUERY_REPLY =
        9, /* flows of a query that the endpoint doesn't hold */
    FRAME_TYPE_MAX = FRAME_QUERY_REPLY,
};

/** enum frame_reason - why an agent redirected or abandoned a flow */
enum frame_reason {
    FRAME_REASON_NONE = 0,
    FRAME_REASON_BUSY = 1,          /* all slots are taken */
    FRAME_REASON_LEAVING = 2,       /* the endpoint is draining or has ended */
    FRAME_REASON_SILENT = 3,        /* the endpoint didn't answer */
    FRAME_REASON_REFUSED = 4,       /* the endpoint bounced the packet */
    FRAME_REASON_WRONG_SERVICE = 5, /* the endpoint is of another service */
    FRAME_REASON_FAILING = 6,       /* the endpoint resets requests */
    FRAME_REASON_EVACUATED = 7,     /* its data centre is evacuated */
    FRAME_REASON_FULL = 8,   /* no endpoint on the SYN's way has room, and none
                                was given it */
    FRAME_REASON_ABSENT = 9, /* the endpoint certainly doesn't hold the flow */
    FRAME_REASON_MAX = FRAME_REASON_ABSENT,
};

/** enum endpoint_state - state of an agent's endpoint */
enum endpoint_state {
    ENDPOINT_UNKNOWN = 0,  /* no heartbeat yet; may be tried */
    ENDPOINT_READY = 1,    /* takes new flows */
    ENDPOINT_DRAINING = 2, /* keeps its flows, takes no new ones */
    ENDPOINT_GONE = 3,     /* has announced its end */
    ENDPOINT_SILENT = 4,   /* doesn't answer */
    ENDPOINT_STATE_MAX = ENDPOINT_SILENT,
};

/* Unit of frame_load.service_time. */
#define FRAME_SERVICE_TIME_UNIT_US 100

/**
 * struct frame_load - what an endpoint bears and what it was given
 *
 * Sent only by agents whose settings ask for scheduling.
 *
 * @known: the other fields are valid
 * @service_time: mean time of a request without queueing, in
 *     FRAME_SERVICE_TIME_UNIT_US; 0 if unknown
 * @wait_ms: time that a new request of the lowest priority would wait for a
 *     slot
 * @limit: requests that the endpoint takes at a time, queued ones included
 * @stuck: requests in progress that take much longer than others; half of
 *     the slots while an endpoint that hung hasn't answered a few since
 * @flows: open flows of the endpoint that had a request lately
 * @rejects: per mille of the last second's requests that the endpoint didn't
 *     take
 */
struct frame_load {
    bool known;
    uint16_t service_time;
    uint16_t wait_ms;
    uint8_t limit;
    uint8_t stuck;
    uint16_t flows;
    uint16_t rejects;
};

/**
 * struct frame_health - health of an agent's endpoint
 * @service: hash_service() of its service
 * @state: enum endpoint_state
 * @busy: requests in progress, and queued ones that can still meet their
 *        response target
 * @slots: requests that the endpoint runs at a time
 * @failing: the endpoint resets a large part of its requests
 * @data_centre: evacuations_key() of the agent's data centre, 0 if unknown
 * @load: what the endpoint bears
 */
struct frame_health {
    uint32_t service;
    uint8_t state;
    uint8_t busy;
    uint8_t slots;
    bool failing;
    uint32_t data_centre;
    struct frame_load load;
};

/**
 * struct frame_config_version - newest configuration that a host has heard of
 * @version: its version, 0 for none
 * @holder: a balancer that has it
 */
struct frame_config_version {
    uint64_t version;
    struct addr holder;
};

/** enum frame_reader_state - whether a balancer reads the store's latest state
 */
enum frame_reader_state {
    FRAME_READER_NONE = 0,    /* uses stale reads */
    FRAME_READER_READING = 1, /* reads the latest, and the store answers */
    FRAME_READER_TRYING = 2,  /* a reader whose calls to the store fail */
    FRAME_READER_MAX = FRAME_READER_TRYING,
};

/**
 * struct frame_store_view - a balancer's view of the store
 * @version: configuration that the balancer follows, 0 for none
 * @reader: enum frame_reader_state
 */
struct frame_store_view {
    uint64_t version;
    uint8_t reader;
};

/**
 * struct frame_readers - readers, without the addressee, that an agent
 * received frames from in the last second
 * @reading: in state FRAME_READER_READING
 * @trying: in state FRAME_READER_TRYING
 */
struct frame_readers {
    uint8_t reading;
    uint8_t trying;
};

/**
 * struct frame_forward - a caller's packet from a balancer to an agent, or
 * between agents
 * @service: hash_service() of the service that its route names
 * @origin: balancer that received the packet from the caller
 * @view: that balancer's view of the store
 * @forced: accept the SYN even if all slots are busy
 * @given: an endpoint on the SYN's way was given it and may still answer
 * @target_ms: of a SYN, time left to meet the response target; 0 if it is past
 *             already; of data, the response target
 * @priority: of its route, 0 is most urgent
 * @caller_timeout_ms: of a SYN, how long its caller waits for an answer
 * @request_timeout_ms: of a SYN, what is left of its request's time budget;
 *                      of data, the time budget
 * @slow_start_limit: of a SYN, requests a second that a cold endpoint may get;
 *                    0 for no limit
 * @hops: agents that the packet has visited
 * @best: least loaded agent visited so far, ip 0 for none
 * @best_load: its load in 1/16 of its slots
 * @next: agents to redirect to, best first
 * @next_count: number of these
 * @bytes: the packet
 * @size: its size in bytes
 */
struct frame_forward {
    uint32_t service;
    struct addr origin;
    struct frame_store_view view;
    bool forced;
    bool given;
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
 * struct frame_ping - a balancer requests an agent's health
 * @view: the balancer's view of the store
 * @unlisted: the store listed the agent before and doesn't any more, so that
 *            the agent registers again
 */
struct frame_ping {
    struct frame_store_view view;
    bool unlisted;
};

/**
 * struct frame_status - status report of an agent to a balancer
 * @type: FRAME_ESTABLISHED, FRAME_REDIRECTED, FRAME_QUEUED or FRAME_STATE
 * @reason: for FRAME_REDIRECTED, enum frame_reason
 * @target: for FRAME_REDIRECTED, the agent that the packet was sent to; ip 0
 *          if the flow was abandoned
 * @flow: the flow; unused in FRAME_STATE
 * @seq: for FRAME_ESTABLISHED, sequence number of the endpoint's SYN+ACK
 * @health: health of the endpoint
 * @heard: newest configuration that the agent has heard of
 * @readers: readers that the agent counts
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

/* Maximum number of addresses in a frame. */
#define FRAME_SERVED_MAX 16

/**
 * struct frame_served - service addresses of an endpoint
 *
 * The agent takes them from flows that the endpoint held before the agent
 * started. Balancers without a configuration route by them.
 *
 * @service: hash_service() of its service
 * @addrs: the addresses
 * @count: number of addresses
 */
struct frame_served {
    uint32_t service;
    struct addr addrs[FRAME_SERVED_MAX];
    uint8_t count;
};

/* Maximum number of flows in a query, a multiple of 32. At 12 bytes each the
 * frame is no larger than one with a forwarded packet. */
#define FRAME_QUERY_MAX 96
#define FRAME_QUERY_WORDS (FRAME_QUERY_MAX / 32)

/**
 * struct frame_query - a balancer asks all agents of a service which of the
 * flows their endpoints hold, after a lookup found none
 * @query: identifies the query
 * @view: the balancer's view of the store
 * @flows: the flows
 * @count: number of flows
 */
struct frame_query {
    uint32_t query;
    struct frame_store_view view;
    struct relay_flow flows[FRAME_QUERY_MAX];
    uint8_t count;
};

/**
 * struct frame_query_reply - an agent's reply to a query
 * @query: the query
 * @silent: the endpoint doesn't answer; the other fields aren't valid
 * @down: the endpoint's process isn't running
 * @partial: the endpoint may hold flows that the agent doesn't track
 * @absent: a bit for each flow of the query that the endpoint certainly
 *          doesn't hold
 */
struct frame_query_reply {
    uint32_t query;
    bool silent;
    bool down;
    bool partial;
    uint32_t absent[FRAME_QUERY_WORDS];
};

/** frame_type() - enum frame_type of a datagram; -EBADMSG if it isn't a frame
 * of this version */
int
frame_type(const uint8_t *bytes, size_t size);

/** frame_evacuations_decode() - reads epoch and evacuated data centres of a
 * frame that frame_type() has accepted */
void
frame_evacuations_decode(const uint8_t *bytes,
                         struct evacuations *evacuations);

/** frame_forward_encode() - writes @forward into FRAME_MAX bytes; returns the
 * frame's size, as do the other encoders */
size_t
frame_forward_encode(const struct frame_forward *forward,
                     const struct evacuations *evacuations, uint8_t *bytes);

/** frame_forward_decode() - reads a FRAME_FORWARD; 0 or -EBADMSG.
 * @forward->bytes points into @bytes. */
int
frame_forward_decode(const uint8_t *bytes, size_t size,
                     struct frame_forward *forward);

/** frame_status_encode() - writes @status into FRAME_HEADER_MAX bytes */
size_t
frame_status_encode(const struct frame_status *status,
                    const struct evacuations *evacuations, uint8_t *bytes);

/** frame_status_decode() - reads a status frame; 0 or -EBADMSG */
int
frame_status_decode(const uint8_t *bytes, size_t size,
                    struct frame_status *status);

/** frame_served_encode() - writes @served into FRAME_HEADER_MAX bytes */
size_t
frame_served_encode(const struct frame_served *served,
                    const struct evacuations *evacuations, uint8_t *bytes);

/** frame_served_decode() - reads a FRAME_SERVED; 0 or -EBADMSG */
int
frame_served_decode(const uint8_t *bytes, size_t size,
                    struct frame_served *served);

/** frame_query_encode() - writes @query into FRAME_MAX bytes */
size_t
frame_query_encode(const struct frame_query *query,
                   const struct evacuations *evacuations, uint8_t *bytes);

/** frame_query_decode() - reads a FRAME_QUERY; 0 or -EBADMSG */
int
frame_query_decode(const uint8_t *bytes, size_t size,
                   struct frame_query *query);

/** frame_query_reply_encode() - writes @reply into FRAME_HEADER_MAX bytes */
size_t
frame_query_reply_encode(const struct frame_query_reply *reply,
                         const struct evacuations *evacuations,
                         uint8_t *bytes);

/** frame_query_reply_decode() - reads a FRAME_QUERY_REPLY; 0 or -EBADMSG */
int
frame_query_reply_decode(const uint8_t *bytes, size_t size,
                         struct frame_query_reply *reply);

/** frame_ping_encode() - writes @ping into FRAME_HEADER_MAX bytes */
size_t
frame_ping_encode(const struct frame_ping *ping,
                  const struct evacuations *evacuations, uint8_t *bytes);

/** frame_ping_decode() - reads a FRAME_PING; 0 or -EBADMSG */
int
frame_ping_decode(const uint8_t *bytes, size_t size, struct frame_ping *ping);

#endif
