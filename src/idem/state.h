/**
 * DOC: state - what the parts of idem share
 *
 * Numbers on the wire_token (tokens of messages) hold the wall clock in
 * milliseconds above STATE_WIRE_TOKEN_SHIFT bits of a count, so that those of
 * an earlier session of the process can be told, and how old a record is.
 * Clocks of hosts may differ by seconds.
 */
#ifndef SWIFTARCH_IDEM_STATE_H
#define SWIFTARCH_IDEM_STATE_H

#include <glib.h>

#include "idem/idem.h"
#include "idem/record.h"
#include "idem/released.h"
#include "idem/replicas.h"

struct reserve;

TAILQ_HEAD(reserve_list, reserve);

#define STATE_WIRE_TOKEN_SHIFT 22

/**
 * struct idem - both sides, see DOC of idem.h
 * @self: own member id
 * @max_records: bound on records of new keys
 * @replicas: members
 * @records: records held
 * @requests: own requests, by the token of the program
 * @by_wire_token: the same by their number on the wire_token
 * @pending: those that aren't decided
 * @first_wire_token: first number of this session
 * @next_wire_token: next number
 * @released: what was reserved and not run
 * @last_us: when it was called last
 * @cursor: the pass over all records goes on below this index
 * @pass_us: when the last pass began
 * @pass_wanted: members changed: another pass is due
 * @answer_credit: bytes of answers that may still be pushed in this tick
 */
struct idem {
    uint64_t self;
    size_t max_records;
    struct replicas replicas;
    struct record_table records;
    GHashTable *requests;
    GHashTable *by_wire_token;
    struct reserve_list pending;
    uint64_t first_wire_token;
    uint64_t next_wire_token;
    struct released released;
    uint64_t last_us;
    size_t cursor;
    uint64_t pass_us;
    bool pass_wanted;
    size_t answer_credit;
};

/** state_add_action() - append an action */
struct idem_action *
state_add_action(struct idem_actions *out, enum idem_action_type type,
                 uint64_t token, enum idem_reason reason);

/** state_add_message() - append a message about @key */
struct idem_msg *
state_add_message(struct idem_actions *out, uint64_t to,
                  enum idem_msg_type type, const struct idem_key *key,
                  uint64_t owner, uint64_t token);

/** state_add_record_message() - append @type with the record, @full: its
 * answer too */
void
state_add_record_message(struct idem_actions *out, uint64_t to,
                         enum idem_msg_type type, const struct record *record,
                         bool full);

/** state_owner_gone() - whether the process that got @token for a key of
 * @service is known to be gone */
bool
state_owner_gone(const struct idem *idem, uint32_t service, uint64_t owner,
                 uint64_t token, uint64_t now_us);

/** state_next_wire_token() - number of the next request */
uint64_t
state_next_wire_token(struct idem *idem, uint64_t now_us);

/** state_token_age_us() - how long ago @token was given out, about */
uint64_t
state_token_age_us(const struct idem *idem, uint64_t token, uint64_t now_us);

/** state_certainty() - what is known for sure goes before what isn't */
int
state_certainty(enum idem_state state);

/** state_is_own_wire_token() - whether @wire_token is a number of this session
 * of the process
 */
bool
state_is_own_wire_token(const struct idem *idem, uint64_t wire_token);

#endif
