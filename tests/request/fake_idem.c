/* idem with nobody else in the cell: every key is granted at once. */
#include "idem/idem.h"

#include <glib.h>

struct idem {
    uint64_t self;
};

void
idem_actions_finish(struct idem_actions *out)
{
    g_free(out->items);
    *out = (struct idem_actions){0};
}

struct idem *
idem_new(uint64_t self, size_t max_records)
{
    struct idem *idem = g_new0(struct idem, 1);

    idem->self = self;
    return idem;
}

void
idem_free(struct idem *idem)
{
    g_free(idem);
}

int
idem_set_view(struct idem *idem, const struct view *view, uint64_t now_us,
              struct idem_actions *out)
{
    return 0;
}

int
idem_begin(struct idem *idem, uint64_t token, const struct idem_key *key,
           uint64_t now_us, struct idem_actions *out)
{
    out->items = g_renew(struct idem_action, out->items, out->count + 1);
    out->items[out->count++] =
        (struct idem_action){.type = IDEM_PROCEED, .token = token};
    return 0;
}

int
idem_end(struct idem *idem, uint64_t token, bool not_run,
         enum idem_state state, const uint8_t *answer, size_t answer_len,
         uint64_t now_us, struct idem_actions *out)
{
    return 0;
}

int
idem_receive(struct idem *idem, uint64_t from, const struct idem_msg *msg,
             uint64_t now_us, struct idem_actions *out)
{
    return 0;
}

int
idem_tick(struct idem *idem, uint64_t now_us, struct idem_actions *out)
{
    return 0;
}

size_t
idem_records(const struct idem *idem)
{
    return 0;
}
