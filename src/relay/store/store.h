/**
 * DOC: store - the platform's store as relay mode needs it
 *
 * Objects of a kind have a name, a revision and a value (JSON). A store here
 * is one connection with one call at a time; who needs more opens more.
 */
#ifndef SWIFTARCH_RELAY_STORE_STORE_H
#define SWIFTARCH_RELAY_STORE_STORE_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct store_object - an object, valid during the callback
 * @name: its name, unique in its kind
 * @revision: revision of its last change
 * @removed: it is no more
 * @value: its value, NULL when there is none
 */
struct store_object {
    const char *name;
    uint64_t revision;
    bool removed;
    struct json_object *value;
};

/**
 * struct store_reply - how a call ended
 * @status: 0, or -ENOENT (no such object), -EEXIST (another state than
 *          expected), -ESTALE (the history before that revision is gone),
 *          -EBUSY (refused, nothing was done), -EPROTO (an answer that can't
 *          be read), or what the connection met; for a write, whether it
 *          took effect is then unknown
 * @epoch: grows each time the store comes back from an older copy of itself
 * and has lost what was written since: revisions of two eras say nothing of
 *       each other. 0 when the answer doesn't say
 * @revision: the store's revision that the answer stands for
 * @more: the list goes on after its last name
 * @objects: what came
 * @count: how many
 * @unreadable: how many items were left out because they can't be read
 */
struct store_reply {
    uint32_t epoch;
    uint64_t revision;
    struct store_object *objects;
    size_t count;
    size_t unreadable;
    int status;
    bool more;
};

/** enum store_read_mode - how new the answer to a read must be */
enum store_read_mode {
    STORE_READ_LATEST, /* all that was acknowledged before the call */
    STORE_READ_STALE,  /* may be seconds old; a tenth of the price, and free
                        * of the store's limit of calls */
    STORE_READ_COUNT,
};

/** struct store_call - caller-owned; @done is told once, at the end */
struct store_call {
    void (*done)(struct store_call *call, const struct store_reply *reply);
};

struct store;

/** struct store_ops - what a store can do; all return 0 or a negative errno
 * and then don't tell @call */
struct store_ops {
    /** @list: objects of a kind; @after names the last one known, or NULL */
    int (*list)(struct store *store, const char *kind, const char *after,
                enum store_read_mode read, struct store_call *call);
    /** @watch: changes after @revision, as soon as there are any */
    int (*watch)(struct store *store, const char *kind, uint64_t revision,
                 unsigned wait_ms, enum store_read_mode read,
                 struct store_call *call);
    /** @get: one object, or -ENOENT */
    int (*get)(struct store *store, const char *kind, const char *name,
               enum store_read_mode read, struct store_call *call);
    /** @put: replace the value of an object that exists */
    int (*put)(struct store *store, const char *kind, const char *name,
               struct json_object *value, struct store_call *call);
    /** @create: make an object that doesn't exist */
    int (*create)(struct store *store, const char *kind, const char *name,
                  struct json_object *value, struct store_call *call);
    /** @remove: remove an object if it is still at @revision; 0 for any */
    int (*remove)(struct store *store, const char *kind, const char *name,
                  uint64_t revision, struct store_call *call);
    /** @cancel: end the open call, which isn't told */
    void (*cancel)(struct store *store);
    /** @free: end what is open and free the store */
    void (*free)(struct store *store);
};

/** struct store - any store; the vtable comes first */
struct store {
    const struct store_ops *ops;
};

#endif
