/**
 * DOC: store - interface to the platform's object store
 *
 * Objects of a kind have a name, a revision and a JSON value. A struct store
 * is one connection that makes one call at a time; users that need concurrent
 * calls open several.
 */
#ifndef SWIFTARCH_RELAY_STORE_STORE_H
#define SWIFTARCH_RELAY_STORE_STORE_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct store_object - an object; valid during the callback only
 * @name: its name, unique within its kind
 * @revision: revision of its last change
 * @removed: the object was removed
 * @value: its value, NULL if it has none
 */
struct store_object {
    const char *name;
    uint64_t revision;
    bool removed;
    struct json_object *value;
};

/**
 * struct store_reply - result of a call
 * @epoch: number of the store's current epoch, 0 if the reply has none. It
 *         grows each time the store is restored from an older copy, which
 *         loses later writes; revisions of different epochs can't be compared
 * @revision: the store's revision as of this reply
 * @objects: objects of the reply
 * @count: number of objects
 * @unreadable: items that were left out because they can't be decoded
 * @status: 0, or -ENOENT (no such object), -EEXIST (the object isn't in the
 *          expected state), -ESTALE (history since that revision is gone),
 *          -EBUSY (refused, nothing was done), -EPROTO (the reply can't be
 *          decoded), or an error of the connection; it is unknown then whether
 *          a write took effect
 * @more: the list continues after its last name
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

/** enum store_read_mode - how current the reply to a read must be */
enum store_read_mode {
    STORE_READ_LATEST, /* includes every write acknowledged before the call */
    STORE_READ_STALE,  /* may be seconds old; costs a tenth of the price and
                          doesn't count against the store's rate limit */
    STORE_READ_COUNT,
};

/** struct store_call - caller-owned; @done is called once, when the call ends
 */
struct store_call {
    void (*done)(struct store_call *call, const struct store_reply *reply);
};

struct store;

/**
 * struct store_ops - operations of a store
 *
 * All calls return 0 or a negative errno; @call->done isn't called after an
 * error or after @cancel.
 */
struct store_ops {
    /**
     * @list: lists objects of a kind; @after is the last name of the page
     *        before, or NULL
     */
    int (*list)(struct store *store, const char *kind, const char *after,
                enum store_read_mode read, struct store_call *call);
    /** @watch: waits up to @wait_ms for changes after @revision */
    int (*watch)(struct store *store, const char *kind, uint64_t revision,
                 unsigned wait_ms, enum store_read_mode read,
                 struct store_call *call);
    /** @get: reads one object, or -ENOENT */
    int (*get)(struct store *store, const char *kind, const char *name,
               enum store_read_mode read, struct store_call *call);
    /** @put: replaces the value of an existing object */
    int (*put)(struct store *store, const char *kind, const char *name,
               struct json_object *value, struct store_call *call);
    /** @create: creates an object that doesn't exist */
    int (*create)(struct store *store, const char *kind, const char *name,
                  struct json_object *value, struct store_call *call);
    /** @remove: removes an object if it is still at @revision; 0 for any */
    int (*remove)(struct store *store, const char *kind, const char *name,
                  uint64_t revision, struct store_call *call);
    /** @cancel: cancels the open call */
    void (*cancel)(struct store *store);
    /** @free: cancels the open call and frees the store */
    void (*free)(struct store *store);
    /** @replace: replaces the value if the object is still at @revision */
    int (*replace)(struct store *store, const char *kind, const char *name,
                   struct json_object *value, uint64_t revision,
                   struct store_call *call);
};

/** struct store - base of all stores */
struct store {
    const struct store_ops *ops;
};

#endif
