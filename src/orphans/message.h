/**
 * DOC: message - messages between owners and backups
 */
#ifndef SWIFTARCH_ORPHANS_MESSAGE_H
#define SWIFTARCH_ORPHANS_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

#define ORPHAN_BATCH_MAX 128

/** enum orphan_message_type - type of a message */
enum orphan_message_type {
    ORPHAN_MESSAGE_FLOWS, /* owner to backup: flows opened and closed */
    ORPHAN_MESSAGE_ACK    /* backup to owner: whether it has all up to @seq */
};

/**
 * struct orphan_message - one message
 * @type: type of the message
 * @known: in an ACK, false requests a new session with all flows
 * @boot: start of the owner's process; greater for a later one
 * @session: session number; each begins with all flows at @seq 1
 * @seq: number of the batch in its session
 * @service: address that the flows were opened to, if there are any
 * @opened: number of flows opened, first in @callers
 * @closed: number of flows closed, after them
 * @callers: addresses of the callers
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
