/**
 * DOC: presence - an agent's object in the store
 *
 * It says only that an agent is at an address, of which service and in which
 * data centre; how its endpoint is goes from agent to balancer directly. So
 * it is written once in a host's life: an agent that starts looks first, with
 * a read that costs a tenth of a write and may be seconds old, and writes only
 * what isn't there. It looks once more when such a read can't be that old any
 * longer.
 */
#ifndef SWIFTARCH_RELAY_STORE_PRESENCE_H
#define SWIFTARCH_RELAY_STORE_PRESENCE_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/addr.h"
#include "relay/steer/agents.h"
#include "relay/steer/routes.h"
#include "relay/store/store.h"

#define PRESENCE_KIND "swiftarch-agents"
#define PRESENCE_NAME_MAX 32

/**
 * struct presence - what the object says
 * @addr: where the agent takes frames
 * @service: name of its endpoint's service
 * @data_centre: where it stands
 */
struct presence {
    struct addr addr;
    char service[ROUTES_NAME_MAX];
    char data_centre[AGENT_DATA_CENTRE_MAX];
};

/** presence_name() - name of the object of the agent at @addr, into
 * PRESENCE_NAME_MAX bytes */
void
presence_name(struct addr addr, char *name);

/** presence_addr() - address that an object's name stands for; 0 or
 * -EINVAL */
int
presence_addr(const char *name, struct addr *addr);

/**
 * presence_decode() - read an object
 *
 * Others may write objects of the kind: one whose name isn't that of the
 * address in it, or whose value can't be read, names no agent.
 *
 * Return: 0 or -EINVAL.
 */
int
presence_decode(const char *name, struct json_object *value,
                struct presence *presence);

/** presence_equal() - whether two say the same */
bool
presence_equal(const struct presence *a, const struct presence *b);

/** presence_encode() - the value of an object */
struct json_object *
presence_encode(const struct presence *presence);

/** enum presence_step - what the writer does next */
enum presence_step {
    PRESENCE_LOOK,   /* read what is there */
    PRESENCE_PUT,    /* replace: it says something else */
    PRESENCE_CREATE, /* there is none */
    PRESENCE_KEPT,   /* it stands */
    PRESENCE_REMOVE, /* the endpoint has ended for good */
    PRESENCE_GONE,   /* it is removed */
};

/* Looks after which an object that was found is taken to stand. */
#define PRESENCE_LOOKS 2

/**
 * struct presence_writer - writes the object until it stands
 * @call: the open call
 * @store: connection of its own
 * @presence: what is written
 * @step: what is done or due
 * @open: a call is open
 * @failures: calls that failed in a row
 * @called: what the open call is for; @step may have changed since
 * @looks: looks that found the object, PRESENCE_LOOKS once it was written
 * @next_us: when the next call is due, 0 when the last one has just ended
 */
struct presence_writer {
    struct store_call call;
    struct store *store;
    struct presence presence;
    enum presence_step step;
    bool open;
    unsigned failures;
    enum presence_step called;
    unsigned looks;
    uint64_t next_us;
};

/** presence_writer_init() - begin to write @presence at @now_us */
void
presence_writer_init(struct presence_writer *writer, struct store *store,
                     const struct presence *presence, uint64_t now_us);

/** presence_writer_again() - the object that stood is gone: write it anew */
void
presence_writer_again(struct presence_writer *writer, uint64_t now_us);

/** presence_writer_remove() - remove the object instead */
void
presence_writer_remove(struct presence_writer *writer, uint64_t now_us);

/** presence_writer_tick() - make the call that is due */
void
presence_writer_tick(struct presence_writer *writer, uint64_t now_us);

/** presence_writer_next_us() - when the tick is due, UINT64_MAX for never */
uint64_t
presence_writer_next_us(const struct presence_writer *writer);

#endif
