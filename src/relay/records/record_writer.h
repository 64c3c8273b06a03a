/**
 * DOC: record_writer - reads and writes an agent's flow record in the store
 *
 * After the agent's start the writer reads the record once. When the
 * endpoint's incarnation is known and is later than the record's, or no
 * process of the endpoint is running, the flows of the record have ended, and
 * their callers are reset. From then on it writes the record when enough has
 * changed, at a pace.
 *
 * The pace bounds the writes of the whole fleet: from the store's revision in
 * the replies to two of its own writes an agent knows how many changes all
 * writers make, and lengthens its pace until these are few enough. No agent
 * needs to know how many there are. The record holds the pace for the agent's
 * next start.
 */
#ifndef SWIFTARCH_RELAY_RECORDS_RECORD_WRITER_H
#define SWIFTARCH_RELAY_RECORDS_RECORD_WRITER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/addr.h"
#include "relay/records/flow_record.h"
#include "relay/store/registration.h"
#include "relay/store/store.h"

/** enum record_step - what the writer does next */
enum record_step {
    RECORD_READ,  /* read the record */
    RECORD_WAIT,  /* wait for the endpoint's incarnation */
    RECORD_WRITE, /* write it when enough has changed */
};

/** enum record_event - what the writer reports */
enum record_event {
    RECORD_EVENT_READ,     /* read: the record was found or is missing */
    RECORD_EVENT_FOREIGN,  /* the object can't be decoded: an error */
    RECORD_EVENT_GIVEN_UP, /* the store didn't reply for too long */
    RECORD_EVENT_OUTDATED, /* the record is too old to matter */
    RECORD_EVENT_WRITTEN,
    RECORD_EVENT_FAILED, /* a call failed */
    RECORD_EVENT_COUNT,
};

/** enum record_endpoint - what is known of the endpoint */
enum record_endpoint {
    RECORD_ENDPOINT_UNKNOWN, /* neither heard nor found to be down */
    RECORD_ENDPOINT_DOWN,    /* not heard yet, and its process isn't running */
    RECORD_ENDPOINT_HEARD,   /* its incarnation is known */
};

struct record_writer;

/** struct record_writer_ops - callbacks into the owner */
struct record_writer_ops {
    /** @collect: fill an empty record with the service, the time and, if the
     * endpoint was heard, its incarnation and its open flows */
    enum record_endpoint (*collect)(struct record_writer *writer,
                                    struct flow_record *record);
    /** @reset: reset the flows of a record whose incarnation has ended */
    void (*reset)(struct record_writer *writer,
                  const struct flow_record *ended);
    /** @report: for logs and metrics; @record: the record that was read or
     * written */
    void (*report)(struct record_writer *writer, enum record_event event,
                   const struct flow_record *record);
};

/**
 * struct record_writer - keeps one record in the store
 * @call: the open call
 * @ops: callbacks into the owner
 * @store: connection for this use only; not owned
 * @addr: the agent's address, which names the object
 * @step: what is next
 * @open: a call is open
 * @probing: it asks for the store's revision
 * @exists: the object exists, as far as known
 * @missed: the last write didn't find the object in the expected state
 * @failures: consecutive failed calls
 * @epoch: the latest epoch of the store known
 * @first_read_us: when the first read was tried, 0 for not yet
 * @pace_us: interval of writes
 * @pace_known: @pace_us follows from the rate of changes
 * @next_us: when the next step is due
 * @called_us: when the last call began
 * @replied_us: when the reply to the last write came, 0 for none
 * @revision: the store's revision in that reply
 * @revision_taken: another write's revision was given; it serves only once
 * @current: the record being written
 * @stored: the record in the store, as far as known
 */
struct record_writer {
    struct store_call call;
    const struct record_writer_ops *ops;
    struct store *store;
    struct addr addr;
    enum record_step step;
    bool open;
    bool probing;
    bool exists;
    bool missed;
    unsigned failures;
    uint32_t epoch;
    uint64_t first_read_us;
    uint64_t pace_us;
    bool pace_known;
    uint64_t next_us;
    uint64_t called_us;
    uint64_t replied_us;
    uint64_t revision;
    bool revision_taken;
    struct flow_record current;
    struct flow_record stored;
};

/** record_writer_init() - start to keep the record of the agent at @addr */
void
record_writer_init(struct record_writer *writer,
                   const struct record_writer_ops *ops, struct store *store,
                   struct addr addr, uint64_t now_us);

/** record_writer_set_epoch() - handle the store's epoch as others report it;
 * a later one means that the stored record may be lost */
void
record_writer_set_epoch(struct record_writer *writer, uint32_t epoch);

/** record_writer_skip_read() - there is no record, as the agent's address is
 * new */
void
record_writer_skip_read(struct record_writer *writer);

/** record_writer_set_revision() - handle the store's revision in the reply to
 * another write of the agent; the first one given serves to learn the pace */
void
record_writer_set_revision(struct record_writer *writer, uint64_t revision,
                           uint64_t now_us);

/** record_writer_tick() - do what is due; to be called after a heartbeat too
 */
void
record_writer_tick(struct record_writer *writer, uint64_t now_us);

/** record_writer_next_us() - when the tick is due, UINT64_MAX for never */
uint64_t
record_writer_next_us(const struct record_writer *writer);

#endif
