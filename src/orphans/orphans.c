#include "orphans/orphans.h"

#include "orphans/backup_choice.h"

void
orphan_init(struct orphans *orphans, uint64_t boot)
{
    owner_init(&orphans->owner, boot);
    backup_init(&orphans->backup);
}

void
orphan_finish(struct orphans *orphans)
{
    owner_finish(&orphans->owner);
    backup_finish(&orphans->backup);
}

void
orphan_set_view(struct orphans *orphans, const struct view *view,
                uint64_t now_us)
{
    uint64_t members[OWNER_BACKUPS];
    uint64_t since_us[OWNER_BACKUPS];

    backup_choice_select(view, members, since_us, OWNER_BACKUPS);
    owner_set_backups(&orphans->owner, members, since_us, now_us);
    backup_set_view(&orphans->backup, view, now_us);
}

int
orphan_flow_opened(struct orphans *orphans, struct addr caller,
                   struct addr service)
{
    return owner_flow_opened(&orphans->owner, caller, service);
}

void
orphan_flow_closed(struct orphans *orphans, struct addr caller,
                   struct addr service)
{
    owner_flow_closed(&orphans->owner, caller, service);
}

bool
orphan_next_message(struct orphans *orphans, uint64_t now_us, uint64_t *to,
                    struct orphan_message *message)
{
    return owner_next_batch(&orphans->owner, now_us, to, message);
}

bool
orphan_receive(struct orphans *orphans, const struct view *view, uint64_t from,
               const struct orphan_message *message, uint64_t now_us,
               struct orphan_message *reply)
{
    if (message->type == ORPHAN_MESSAGE_ACK) {
        owner_acknowledged(&orphans->owner, from, message, now_us);
        return false;
    }
    return backup_receive(&orphans->backup, view, from, message, now_us,
                          reply);
}

size_t
orphan_next_probes(struct orphans *orphans, uint64_t now_us,
                   struct orphan_probe *probes, size_t max)
{
    return backup_probes(&orphans->backup, now_us, probes, max);
}

void
orphan_tick(struct orphans *orphans, uint64_t now_us)
{
    backup_tick(&orphans->backup, now_us);
}

size_t
orphan_replicated_flows(const struct orphans *orphans)
{
    return orphans->backup.flows;
}
