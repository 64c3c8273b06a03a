#include "notice/notice.h"

#include "notice/choose.h"

void
notice_init(struct notice *notice, uint64_t boot)
{
    owner_init(&notice->owner, boot);
    backup_init(&notice->backup);
}

void
notice_finish(struct notice *notice)
{
    owner_finish(&notice->owner);
    backup_finish(&notice->backup);
}

void
notice_set_view(struct notice *notice, const struct view *view,
                uint64_t now_us)
{
    uint64_t members[OWNER_BACKUPS];
    uint64_t since_us[OWNER_BACKUPS];

    choose_backups(view, members, since_us, OWNER_BACKUPS);
    owner_set_backups(&notice->owner, members, since_us, now_us);
    backup_set_view(&notice->backup, view, now_us);
}

int
notice_opened(struct notice *notice, struct addr caller, struct addr service)
{
    return owner_opened(&notice->owner, caller, service);
}

void
notice_closed(struct notice *notice, struct addr caller, struct addr service)
{
    owner_closed(&notice->owner, caller, service);
}

bool
notice_next(struct notice *notice, uint64_t now_us, uint64_t *to,
            struct notice_message *message)
{
    return owner_next(&notice->owner, now_us, to, message);
}

bool
notice_receive(struct notice *notice, const struct view *view, uint64_t from,
               const struct notice_message *message, uint64_t now_us,
               struct notice_message *reply)
{
    if (message->type == NOTICE_ACK) {
        owner_acknowledged(&notice->owner, from, message, now_us);
        return false;
    }
    return backup_receive(&notice->backup, view, from, message, now_us, reply);
}

size_t
notice_probes(struct notice *notice, uint64_t now_us,
              struct notice_probe *probes, size_t max)
{
    return backup_probes(&notice->backup, now_us, probes, max);
}

void
notice_tick(struct notice *notice, uint64_t now_us)
{
    backup_tick(&notice->backup, now_us);
}

size_t
notice_held(const struct notice *notice)
{
    return notice->backup.flows;
}
