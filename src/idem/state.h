/**
 * DOC: state - state shared by the files of idem
 *
 * A wire token (token of a message) holds the wall clock in milliseconds above
 * a counter of STATE_WIRE_TOKEN_SHIFT bits. It identifies tokens of an earlier
 * process of the member and the age of a record. Clocks of hosts may differ
 * by seconds.
 */
#ifndef SWIFTARCH_IDEM_STATE_H
#define SWIFTARCH_IDEM_STATE_H

#include <glib.h>

#include "idem/types.h"
#include "idem/record.h"
#include "idem/released.h"
#include "idem/replicas.h"

struct reserve;

TAILQ_HEAD(reserve_list, reserve);

#define STATE_WIRE_TOKEN_SHIFT 22

/**
 * struct idem - coordinator and replica state, see DOC of idem.h
 * @self: member id of this agent
 * @max_records: bound on records of new keys
 * @replicas: sessions of the members
 * @records: stored records
 * @requests: local requests by the caller's token
 * @by_wire_token: local requests by wire token
 * @pending: undecided local requests
 * @first_wire_token: first wire token of this process; 0 before the first view
 * @next_wire_token: lower bound of the next wire token
 * @released: reservations whose requests were not run
 * @last_us: time of the last call
 * @cursor: the current pass continues below this record index
 * @pass_us: when the last pass started
 * @pass_due: the members changed, another pass is due
 * @answer_bytes_left: bytes of answers that this tick may still send
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
    bool pass_due;
    size_t answer_bytes_left;
};

/** state_add_action() - append an action */
struct idem_action *
state_add_action(struct idem_actions *out, enum idem_action_type type,
                 uint64_t token, enum idem_reason reason);

/** state_add_message() - append an IDEM_SEND of a message about @key */
struct idem_msg *
state_add_message(struct idem_actions *out, uint64_t to,
                  enum idem_msg_type type, const struct idem_key *key,
                  uint64_t owner, uint64_t token);

/** state_add_record_message() - append a message of @type with the record;
 * @full: including its answer */
void
state_add_record_message(struct idem_actions *out, uint64_t to,
                         enum idem_msg_type type, const struct record *record,
                         bool full);

/** state_owner_gone() - whether the process that created @token for a key of
 * @service has ended. An unknown @owner counts as gone once @token is
 * IDEM_ELIGIBLE_AFTER_US old */
bool
state_owner_gone(const struct idem *idem, uint32_t service, uint64_t owner,
                 uint64_t token, uint64_t now_us);

/** state_next_wire_token() - allocate a wire token */
uint64_t
state_next_wire_token(struct idem *idem, uint64_t now_us);

/** state_token_age_us() - approximate age of @token by the wall clock */
uint64_t
state_token_age_us(const struct idem *idem, uint64_t token, uint64_t now_us);

/** state_certainty() - rank of a state; a higher one replaces a lower one */
int
state_certainty(enum idem_state state);

/** state_is_own_wire_token() - whether this process allocated @wire_token */
bool
state_is_own_wire_token(const struct idem *idem, uint64_t wire_token);

#endif
