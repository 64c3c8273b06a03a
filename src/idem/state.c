#include "idem/state.h"

#define MSEC_PER_SEC 1000

struct idem_action *
state_add_action(struct idem_actions *out, enum idem_action_type type,
                 uint64_t token, enum idem_reason reason)
{
    struct idem_action *action;

    if (out->count == out->capacity) {
        out->capacity = out->capacity > 0 ? 2 * out->capacity : 16;
        out->items = g_renew(struct idem_action, out->items, out->capacity);
    }
    action = &out->items[out->count++];
    *action = (struct idem_action){
        .type = type,
        .token = token,
        .reason = reason,
    };
    return action;
}

struct idem_msg *
state_add_message(struct idem_actions *out, uint64_t to,
                  enum idem_msg_type type, const struct idem_key *key,
                  uint64_t owner, uint64_t token)
{
    struct idem_action *action = state_add_action(out, IDEM_SEND, 0, 0);

    action->to = to;
    action->msg = (struct idem_msg){
        .type = type,
        .key = *key,
        .owner = owner,
        .token = token,
    };
    return &action->msg;
}

void
state_add_record_message(struct idem_actions *out, uint64_t to,
                         enum idem_msg_type type, const struct record *record,
                         bool full)
{
    struct idem_msg *msg = state_add_message(out, to, type, &record->key,
                                             record->owner, record->token);

    msg->state = record->state;
    if (full) {
        msg->answer = record->answer;
        msg->answer_len = record->answer_len;
    }
}

static uint64_t
wall_ms(const struct idem *idem, uint64_t now_us)
{
    return (idem->replicas.incarnation + now_us - idem->replicas.start_us) /
           USEC_PER_MSEC;
}

uint64_t
state_next_wire_token(struct idem *idem, uint64_t now_us)
{
    uint64_t wire_token = wall_ms(idem, now_us) << STATE_WIRE_TOKEN_SHIFT;

    wire_token = MAX(wire_token, idem->next_wire_token);
    idem->next_wire_token = wire_token + 1;
    return wire_token;
}

uint64_t
state_token_age_us(const struct idem *idem, uint64_t token, uint64_t now_us)
{
    uint64_t now_ms = wall_ms(idem, now_us);
    uint64_t then_ms = token >> STATE_WIRE_TOKEN_SHIFT;

    return now_ms > then_ms ? (now_ms - then_ms) * USEC_PER_MSEC : 0;
}

int
state_certainty(enum idem_state state)
{
    switch (state) {
    case IDEM_DONE:
        return 2;
    case IDEM_UNKNOWN:
        return 1;
    case IDEM_STARTED:
        break;
    }
    return 0;
}

bool
state_is_own_wire_token(const struct idem *idem, uint64_t wire_token)
{
    return wire_token >= idem->first_wire_token &&
           wire_token < idem->next_wire_token;
}

bool
state_owner_gone(const struct idem *idem, uint32_t service, uint64_t owner,
                 uint64_t token, uint64_t now_us)
{
    bool known = false;

    if (owner == idem->self) {
        return !state_is_own_wire_token(idem, token);
    }
    for (size_t i = 0; i < idem->replicas.count; i++) {
        const struct replica_session *session = &idem->replicas.sessions[i];
        uint64_t start_ms = session->incarnation / USEC_PER_MSEC;

        if (session->id != owner || session->service != service) {
            continue;
        }
        known = true;
        /* A refuted suspicion raises the incarnation by less than 1 s. */
        if (!session->gone &&
            (token >> STATE_WIRE_TOKEN_SHIFT) + MSEC_PER_SEC >= start_ms) {
            return false;
        }
    }
    return known ||
           state_token_age_us(idem, token, now_us) >= IDEM_ELIGIBLE_AFTER_US;
}
