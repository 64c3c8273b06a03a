/**
 * DOC: registration - an agent's object in the store
 *
 * It says only that an agent is at an address, of which service and in which
 * data centre; how its endpoint is goes from agent to balancer directly. So
 * it is written once in a host's life: an agent that starts reads first, with
 * a read that costs a tenth of a write and may be seconds old, and writes only
 * what isn't there. It looks once more when such a read can't be that old any
 * longer, and both again when the store has come back from an older copy of
 * itself.
 */
#ifndef SWIFTARCH_RELAY_STORE_REGISTRATION_H
#define SWIFTARCH_RELAY_STORE_REGISTRATION_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/addr.h"
#include "relay/forwarder/agents.h"
#include "relay/forwarder/routes.h"
#include "relay/store/store.h"

#define REGISTRATION_KIND "swiftarch-agents"
#define REGISTRATION_NAME_MAX 32

/**
 * struct registration - what the object says
 * @addr: where the agent takes frames
 * @service: name of its endpoint's service
 * @data_centre: where it stands
 */
struct registration {
    struct addr addr;
    char service[ROUTES_NAME_MAX];
    char data_centre[AGENT_DATA_CENTRE_MAX];
};

/** registration_name() - name of the object of the agent at @addr, into
 * REGISTRATION_NAME_MAX bytes */
void
registration_name(struct addr addr, char *name);

/** registration_addr() - address that an object's name stands for; 0 or
 * -EINVAL */
int
registration_addr(const char *name, struct addr *addr);

/**
 * registration_decode() - read an object
 *
 * Others may write objects of the kind: one whose name isn't that of the
 * address in it, or whose value can't be read, names no agent.
 *
 * Return: 0 or -EINVAL.
 */
int
registration_decode(const char *name, struct json_object *value,
                    struct registration *registration);

/** registration_equal() - whether two say the same */
bool
registration_equal(const struct registration *a, const struct registration *b);

/** registration_encode() - the value of an object */
struct json_object *
registration_encode(const struct registration *registration);

/** enum registration_step - what the writer does next */
enum registration_step {
    REGISTRATION_READ,    /* read what is there */
    REGISTRATION_PUT,     /* replace: it says something else */
    REGISTRATION_CREATE,  /* there is none */
    REGISTRATION_DONE,    /* it stands */
    REGISTRATION_REMOVE,  /* the endpoint has ended for good */
    REGISTRATION_REMOVED, /* it is removed */
};

/* Looks after which an object that was found is taken to stand. */
#define REGISTRATION_READS 2

/**
 * struct registration_writer - writes the object until it stands
 * @call: the open call
 * @store: connection of its own
 * @registration: what is written
 * @step: what is done or due
 * @open: a call is open
 * @failures: calls that failed in a row
 * @called_step: what the open call is for; @step may have changed since
 * @epoch: the store's era by its last answer, 0 when it isn't known
 * @reported_epoch: the last that others told of
 * @reads: reads that found the object, REGISTRATION_READS once it was written
 * @next_us: when the next call is due, 0 when the last one has just ended
 */
struct registration_writer {
    struct store_call call;
    struct store *store;
    struct registration registration;
    enum registration_step step;
    bool open;
    unsigned failures;
    enum registration_step called_step;
    uint32_t epoch;
    uint32_t reported_epoch;
    unsigned reads;
    uint64_t next_us;
};

/** registration_writer_init() - begin to write @registration at @now_us */
void
registration_writer_init(struct registration_writer *writer,
                         struct store *store,
                         const struct registration *registration,
                         uint64_t now_us);

/** registration_writer_restore() - the object that stood is gone: write it
 * anew
 */
void
registration_writer_restore(struct registration_writer *writer,
                            uint64_t now_us);

/** registration_writer_remove() - remove the object instead */
void
registration_writer_remove(struct registration_writer *writer,
                           uint64_t now_us);

/** registration_writer_set_epoch() - the store's epoch is @epoch, somebody
 * told; whether it has come back older since the object was written or
 * removed, which is looked after then */
bool
registration_writer_set_epoch(struct registration_writer *writer,
                              uint32_t epoch, uint64_t now_us);

/** registration_writer_tick() - make the call that is due */
void
registration_writer_tick(struct registration_writer *writer, uint64_t now_us);

/** registration_writer_next_us() - when the tick is due, UINT64_MAX for never
 */
uint64_t
registration_writer_next_us(const struct registration_writer *writer);

#endif
