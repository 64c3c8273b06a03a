/**
 * DOC: registration - an agent's object in the store
 *
 * The object holds the address of an agent, its service and its data centre.
 * Health of its endpoint goes from agent to balancer directly, so the object
 * is written once in a host's life. An agent that starts first reads the
 * object with a stale read, which costs a tenth of a write, and writes only if
 * the object is missing or differs. As a stale read may be seconds old, the
 * agent reads once more when it can't be that old any longer. It does both
 * again after the store has been restored from an older copy.
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
 * struct registration - decoded object
 * @addr: address at which the agent receives frames
 * @service: name of its endpoint's service
 * @data_centre: name of its data centre
 */
struct registration {
    struct addr addr;
    char service[ROUTES_NAME_MAX];
    char data_centre[AGENT_DATA_CENTRE_MAX];
};

/** registration_name() - writes the object name of the agent at @addr into
 * REGISTRATION_NAME_MAX bytes */
void
registration_name(struct addr addr, char *name);

/** registration_addr() - address in an object's name; 0 or -EINVAL */
int
registration_addr(const char *name, struct addr *addr);

/**
 * registration_decode() - decodes an object
 *
 * Others may write objects of this kind: one that can't be decoded, or whose
 * name doesn't match its address, is an error.
 *
 * Return: 0 or -EINVAL.
 */
int
registration_decode(const char *name, struct json_object *value,
                    struct registration *registration);

/** registration_equal() - whether all fields are equal */
bool
registration_equal(const struct registration *a, const struct registration *b);

/** registration_encode() - encodes the value of an object; the caller owns it
 */
struct json_object *
registration_encode(const struct registration *registration);

/** enum registration_step - the writer's current or next call */
enum registration_step {
    REGISTRATION_READ,    /* read the object */
    REGISTRATION_PUT,     /* replace it, as it differs */
    REGISTRATION_CREATE,  /* create it, as it doesn't exist */
    REGISTRATION_DONE,    /* it is in the store */
    REGISTRATION_REMOVE,  /* remove it, as the endpoint has ended */
    REGISTRATION_REMOVED, /* it has been removed */
};

/* Reads that must find the object before the writer stops reading. */
#define REGISTRATION_READS 2

/**
 * struct registration_writer - keeps one object in the store
 * @call: the open call
 * @store: connection for this use only; not owned
 * @registration: the object
 * @step: current or next call
 * @open: a call is open
 * @failures: consecutive failed calls
 * @called_step: @step when the open call began; @step may have changed since
 * @epoch: the store's epoch in its last reply, 0 if unknown
 * @reported_epoch: last epoch passed to registration_writer_set_epoch()
 * @missing: the first read found no object: the address is new
 * @undisturbed: each call so far has had the result that it has at a new
 * address
 * @created: the address is new for certain, as the first calls found no object
 * and created it
 * @revision: the store's revision in the reply to the last write, 0 for none
 * @reads: reads that found the object, REGISTRATION_READS after a write
 * @next_us: when the next call is due; 0 until the first tick after a call
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
    bool missing;
    bool undisturbed;
    bool created;
    uint64_t revision;
    unsigned reads;
    uint64_t next_us;
};

/** registration_writer_init() - starts to write @registration at @now_us */
void
registration_writer_init(struct registration_writer *writer,
                         struct store *store,
                         const struct registration *registration,
                         uint64_t now_us);

/** registration_writer_restore() - creates the object again after it was
 * removed by others; no effect unless it was in the store */
void
registration_writer_restore(struct registration_writer *writer,
                            uint64_t now_us);

/** registration_writer_remove() - removes the object, also while it is being
 * written */
void
registration_writer_remove(struct registration_writer *writer,
                           uint64_t now_us);

/**
 * registration_writer_set_epoch() - handles an epoch that a frame reported
 *
 * Return: whether the epoch is later than that of the last reply, so that the
 * object is read or removed again.
 */
bool
registration_writer_set_epoch(struct registration_writer *writer,
                              uint32_t epoch, uint64_t now_us);

/** registration_writer_tick() - makes the call that is due */
void
registration_writer_tick(struct registration_writer *writer, uint64_t now_us);

/** registration_writer_next_us() - when the tick is due, UINT64_MAX for never
 */
uint64_t
registration_writer_next_us(const struct registration_writer *writer);

#endif
