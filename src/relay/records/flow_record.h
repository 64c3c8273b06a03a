/**
 * DOC: flow_record - the record of an endpoint's open flows
 *
 * An agent keeps one in the store. It names one incarnation of the endpoint
 * and the flows that this incarnation held. Once a later incarnation runs at
 * the same address, all flows of the record have ended, so their callers can
 * be reset before they send their next requests.
 */
#ifndef SWIFTARCH_RELAY_RECORDS_FLOW_RECORD_H
#define SWIFTARCH_RELAY_RECORDS_FLOW_RECORD_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "relay/admission/endpoint.h"
#include "relay/forwarder/routes.h"
#include "relay/wire/packet.h"

#define FLOW_RECORD_KIND "swiftarch-flows"

/* Flows of a record; those of an endpoint, some 2,000. */
#define FLOW_RECORD_FLOWS_MAX 2048

/**
 * struct flow_record_flow - an open flow
 * @flow: its key
 * @seq: a sequence number near the caller's last acknowledgement
 */
struct flow_record_flow {
    struct relay_flow flow;
    uint32_t seq;
};

/**
 * struct flow_record - decoded record
 * @service: name of the endpoint's service
 * @id: the endpoint's id
 * @started_ms: start of its incarnation, Unix time
 * @written_ms: when the record was written, Unix time
 * @pace_ms: the writer's interval of writes, 0 if it isn't known yet
 * @count: number of flows
 * @left_out: flows that a full record didn't take; not stored
 * @flows: the flows, in the order of flow_record_sort() when written by this
 * program
 */
struct flow_record {
    char service[ROUTES_NAME_MAX];
    char id[ENDPOINT_ID_MAX];
    uint64_t started_ms;
    uint64_t written_ms;
    uint32_t pace_ms;
    unsigned count;
    unsigned left_out;
    struct flow_record_flow flows[FLOW_RECORD_FLOWS_MAX];
};

/** flow_record_add() - append a flow; a full record counts it as left out */
void
flow_record_add(struct flow_record *record, struct relay_flow flow,
                uint32_t seq);

/** flow_record_sort() - order the flows by key */
void
flow_record_sort(struct flow_record *record);

/** flow_record_copy() - copy a record with as many flows as it has */
void
flow_record_copy(struct flow_record *to, const struct flow_record *from);

/** flow_record_encode() - encode the value of an object; the caller owns it */
struct json_object *
flow_record_encode(const struct flow_record *record);

/**
 * flow_record_decode() - decode an object's value
 *
 * Others may write objects of this kind: one that isn't a whole record is an
 * error.
 *
 * Return: 0 or -EINVAL; @record has no flows then.
 */
int
flow_record_decode(struct json_object *value, struct flow_record *record);

/** flow_record_same_incarnation() - whether both records name the same
 * incarnation */
bool
flow_record_same_incarnation(const struct flow_record *a,
                             const struct flow_record *b);

/**
 * flow_record_has_ended() - whether all flows of @earlier have ended
 * @current: a record of the incarnation that runs now
 *
 * They have if both are of the same service and the current incarnation
 * started later. An incarnation without a start proves nothing.
 */
bool
flow_record_has_ended(const struct flow_record *earlier,
                      const struct flow_record *current);

/**
 * flow_record_uncovered() - number of flows of @current for which @written is
 * of no use
 *
 * They aren't in it, or its sequence number will soon be out of the caller's
 * window. Both must be sorted.
 */
unsigned
flow_record_uncovered(const struct flow_record *current,
                      const struct flow_record *written);

#endif
