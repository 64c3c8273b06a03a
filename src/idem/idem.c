#include "idem/idem.h"

#include <errno.h>

#include "idem/replica_store.h"
#include "idem/push.h"
#include "idem/reserve.h"
#include "idem/state.h"

struct idem *
idem_new(uint64_t self, size_t max_records)
{
    struct idem *idem = g_new0(struct idem, 1);

    if (record_table_init(&idem->records) < 0) {
        g_free(idem);
        return NULL;
    }
    idem->self = self;
    idem->max_records = max_records;
    TAILQ_INIT(&idem->pending);
    released_init(&idem->released);
    idem->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    idem->by_wire_token = g_hash_table_new(g_int64_hash, g_int64_equal);
    return idem;
}

void
idem_free(struct idem *idem)
{
    if (idem == NULL) {
        return;
    }
    g_hash_table_destroy(idem->by_wire_token);
    g_hash_table_destroy(idem->requests);
    record_table_finish(&idem->records);
    released_finish(&idem->released);
    replicas_finish(&idem->replicas);
    g_free(idem);
}

/* Treats a long gap between calls as a pause of this process. */
static void
detect_pause(struct idem *idem, uint64_t now_us)
{
    if (idem->first_wire_token != 0 &&
        idem->last_us + IDEM_PAUSE_US <= now_us) {
        (void)replicas_resume(&idem->replicas, idem->self,
                              now_us - idem->last_us, now_us);
        idem->pass_due = true;
    }
    idem->last_us = now_us;
}

int
idem_set_view(struct idem *idem, const struct view *view, uint64_t now_us,
              struct idem_actions *out)
{
    bool changed;
    int rc;

    detect_pause(idem, now_us);
    rc = replicas_update(&idem->replicas, view, now_us, &changed);
    if (rc < 0) {
        return rc;
    }
    if (idem->first_wire_token == 0) {
        idem->first_wire_token =
            MAX(idem->replicas.incarnation / USEC_PER_MSEC, 1)
            << STATE_WIRE_TOKEN_SHIFT;
        idem->next_wire_token = idem->first_wire_token;
    }
    idem->pass_due |= changed;
    reserve_tick(idem, now_us, out);
    return 0;
}

int
idem_begin(struct idem *idem, uint64_t token, const struct idem_key *key,
           uint64_t now_us, struct idem_actions *out)
{
    detect_pause(idem, now_us);
    return reserve_begin(idem, token, key, now_us, out);
}

int
idem_end(struct idem *idem, uint64_t token, bool not_run,
         enum idem_state state, const uint8_t *answer, size_t answer_len,
         uint64_t now_us, struct idem_actions *out)
{
    detect_pause(idem, now_us);
    return reserve_end(idem, token, not_run, state, answer, answer_len, now_us,
                       out);
}

int
idem_receive(struct idem *idem, uint64_t from, const struct idem_msg *msg,
             uint64_t now_us, struct idem_actions *out)
{
    if (msg->state > IDEM_UNKNOWN || from == idem->self ||
        idem->first_wire_token == 0) {
        return -EINVAL;
    }
    detect_pause(idem, now_us);
    switch (msg->type) {
    case IDEM_MSG_RESERVE:
        replica_store_reserve(idem, from, msg, now_us, out);
        return 0;
    case IDEM_MSG_RELEASE:
        replica_store_release(idem, msg);
        return 0;
    case IDEM_MSG_RECORD:
        replica_store_record(idem, from, msg, now_us, out);
        reserve_receive(idem, from, msg, now_us, out);
        return 0;
    case IDEM_MSG_ACK:
        replica_store_ack(idem, from, msg);
        return 0;
    case IDEM_MSG_GRANT:
    case IDEM_MSG_EXISTS:
    case IDEM_MSG_DENY:
        reserve_receive(idem, from, msg, now_us, out);
        return 0;
    }
    return -EINVAL;
}

int
idem_tick(struct idem *idem, uint64_t now_us, struct idem_actions *out)
{
    detect_pause(idem, now_us);
    reserve_tick(idem, now_us, out);
    push_tick(idem, now_us, out);
    return 0;
}

size_t
idem_unacked_records(const struct idem *idem)
{
    return idem->records.unacked + idem->cursor +
           (idem->pass_due ? idem->records.count : 0);
}

size_t
idem_records(const struct idem *idem)
{
    return idem->records.count;
}
