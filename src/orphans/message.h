/**
 * DOC: message - what owners and backups tell each other
 */
#ifndef SWIFTARCH_ORPHANS_MESSAGE_H
#define SWIFTARCH_ORPHANS_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

#define ORPHAN_BATCH_MAX 128

/** enum orphan_message_type - kinds of messages */
enum orphan_message_type {
    ORPHAN_MESSAGE_FLOWS, /* owner to backup: flows opened and closed */
    ORPHAN_MESSAGE_ACK /* backup to owner: all up to @seq is known, or nothing
                        */
};

/**
 * struct orphan_message - one message
 * @type: kind
 * @known: ACK: false asks for all flows anew
 * @boot: start of the owner's process; a later start has a greater one
 * @session: number of the transfer; each begins with all flows at @seq 1
 * @seq: number of the batch in its session
 * @service: address that the flows were opened to, if there are any
 * @opened: flows opened, first in @callers
 * @closed: flows closed, after them
 * @callers: the callers' addresses
 */
struct orphan_message {
    enum orphan_message_type type;
    bool known;
    uint64_t boot;
    uint32_t session;
    uint32_t seq;
    struct addr service;
    size_t opened;
    size_t closed;
    struct addr callers[ORPHAN_BATCH_MAX];
};

#endif
