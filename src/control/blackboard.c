#include "control/blackboard.h"

#include <stdlib.h>
#include <string.h>
#include <urcu.h>

static void
free_view(struct rcu_head *head)
{
    free(caa_container_of(head, struct view, rcu));
}

static void
free_config(struct rcu_head *head)
{
    service_config_free(caa_container_of(head, struct service_config, rcu));
}

static bool
local_equal(const struct blackboard_local *a, const struct blackboard_local *b)
{
    return a->state == b->state && a->service == b->service &&
           a->slots == b->slots && a->busy == b->busy &&
           a->waiting == b->waiting;
}

void
blackboard_init(struct blackboard *blackboard)
{
    memset(blackboard, 0, sizeof(*blackboard));
    pthread_mutex_init(&blackboard->lock, NULL);
    blackboard->local.state = MEMBER_WARMING;
}

void
blackboard_finish(struct blackboard *blackboard)
{
    /* Wait for pending frees of older views and configurations. */
    rcu_barrier();
    free(blackboard->view);
    service_config_free(blackboard->text);
    blackboard->view = NULL;
    blackboard->text = NULL;
    pthread_mutex_destroy(&blackboard->lock);
}

const struct view *
blackboard_view(struct blackboard *blackboard)
{
    return rcu_dereference(blackboard->view);
}

const struct service_config *
blackboard_config(struct blackboard *blackboard)
{
    return rcu_dereference(blackboard->text);
}

void
blackboard_publish_view(struct blackboard *blackboard, struct view *view)
{
    struct view *old = rcu_xchg_pointer(&blackboard->view, view);

    if (old != NULL)
        call_rcu(&old->rcu, free_view);
}

bool
blackboard_publish_config(struct blackboard *blackboard,
                          struct service_config *config, uint64_t now_us)
{
    struct service_config *old;

    pthread_mutex_lock(&blackboard->lock);
    old = blackboard->text;
    if (old != NULL && old->version >= config->version) {
        pthread_mutex_unlock(&blackboard->lock);
        return false;
    }
    __atomic_store_n(&blackboard->config_since_us, now_us, __ATOMIC_RELAXED);
    rcu_assign_pointer(blackboard->text, config);
    pthread_mutex_unlock(&blackboard->lock);
    if (old != NULL)
        call_rcu(&old->rcu, free_config);
    return true;
}

void
blackboard_set_local(struct blackboard *blackboard,
                     const struct blackboard_local *local)
{
    pthread_mutex_lock(&blackboard->lock);
    if (!local_equal(&blackboard->local, local)) {
        blackboard->local = *local;
        blackboard->local_seq++;
    }
    pthread_mutex_unlock(&blackboard->lock);
}

struct blackboard_local
blackboard_local(struct blackboard *blackboard, uint64_t *seq)
{
    struct blackboard_local local;

    pthread_mutex_lock(&blackboard->lock);
    local = blackboard->local;
    if (seq != NULL)
        *seq = blackboard->local_seq;
    pthread_mutex_unlock(&blackboard->lock);
    return local;
}
