#include "directory/local_entry.h"

#include <assert.h>
#include <errno.h>
#include <string.h>

#include "base/hash.h"

_Static_assert(SERVICE_CONFIG_SERVICES_MAX + SERVICE_CONFIG_RETIRED_MAX <=
                   DIRECTORY_ADDRESSES_MAX,
               "every configuration fits in an entry");

/* Only balancers hold a directory. */
static bool
is_author(const struct view_member *member)
{
    return member->role == MEMBER_BALANCER && member->health == MEMBER_ALIVE &&
           member->state != MEMBER_LEAVING;
}

static bool
is_gateway(const struct view_member *member)
{
    return is_author(member) && member->state == MEMBER_READY;
}

/* Writes the @limit highest_ranked-ranked members that @accept admits to @out,
 * in descending order, and returns their number. */
static size_t
highest_ranked(const struct view *view, uint64_t key,
               bool (*accept)(const struct view_member *), size_t limit,
               const struct view_member **out)
{
    size_t count = 0;

    for (size_t i = 0; i < view->count; i++) {
        const struct view_member *member = &view->members[i];
        uint64_t rank = hash_pair(key, member->id);
        size_t at = count;

        if (!accept(member))
            continue;
        while (at > 0 && hash_pair(key, out[at - 1]->id) < rank)
            at--;
        if (at == limit)
            continue;
        if (count < limit)
            count++;
        for (size_t j = count - 1; j > at; j--)
            out[j] = out[j - 1];
        out[at] = member;
    }
    return count;
}

/* Rank key of a cell, the same as in the control thread */
static uint64_t
cell_key(const char *cell)
{
    return hash_bytes(cell, strlen(cell), 0);
}

static void
add_members(const char *cell, const struct view *view,
            struct directory_entry *entry)
{
    const struct view_member *members[DIRECTORY_GATEWAYS];
    uint64_t key = cell_key(cell);
    size_t count =
        highest_ranked(view, key, is_author, DIRECTORY_AUTHORS, members);

    entry->author_count = count;
    for (size_t i = 0; i < count; i++)
        entry->authors[i] = members[i]->control;
    count = highest_ranked(view, key, is_gateway, DIRECTORY_GATEWAYS, members);
    entry->gateway_count = count;
    for (size_t i = 0; i < count; i++) {
        entry->gateways[i].data = members[i]->data;
        entry->gateways[i].control = members[i]->control;
    }
}

static uint64_t
address_of(const struct service_config_entry *service, bool retired)
{
    return directory_address(service->ip, service->port,
                             (uint8_t)service->proto, retired);
}

int
directory_local_entry_new(const char *cell, const struct view *view,
                          const struct service_config *config,
                          struct directory_entry **result)
{
    struct directory_entry *entry;

    if (config->version == 0)
        return -EAGAIN;
    entry = directory_entry_new(cell, config->count + config->retired_count);
    if (entry == NULL)
        return -ENOMEM;
    for (size_t i = 0; i < config->count; i++)
        entry->addresses[i] = address_of(&config->services[i], false);
    for (size_t i = 0; i < config->retired_count; i++)
        entry->addresses[config->count + i] =
            address_of(&config->retired[i].service, true);
    entry->version.config_version = config->version;
    add_members(cell, view, entry);
    directory_entry_finalize(entry);
    *result = entry;
    return 0;
}

void
directory_role_from_view(const char *cell, const struct view *view,
                         struct directory_role *role)
{
    const struct view_member *authors[DIRECTORY_AUTHORS];
    const struct view_member *self = &view->members[view->self];
    size_t count = highest_ranked(view, cell_key(cell), is_author,
                                  DIRECTORY_AUTHORS, authors);

    memset(role, 0, sizeof(*role));
    for (size_t i = 0; i < count; i++) {
        if (authors[i] == self)
            role->author = true;
        else
            role->authors[role->author_count++] = authors[i]->control;
    }
    role->holds = self->role == MEMBER_BALANCER;
    for (size_t i = 0; i < view->count; i++) {
        const struct view_member *member = &view->members[i];

        if (member == self || !is_author(member) ||
            role->balancer_count == DIRECTORY_PEERS_MAX)
            continue;
        role->balancers[role->balancer_count++] = member->control;
    }
}
