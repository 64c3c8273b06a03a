/**
 * DOC: loopback - loopback sockets and bounded waits for tests
 */
#ifndef SWIFTARCH_TESTS_LIB_LOOPBACK_H
#define SWIFTARCH_TESTS_LIB_LOOPBACK_H

#include <glib.h>

#include "base/addr.h"

#define LOOPBACK 0x7f000001u
#define LOOPBACK_RECEIVE_S 10
#define LOOPBACK_WAIT_MS 30000

/** loopback_open() - open a socket of @type, bound to an ephemeral port that
 * is stored in @addr; blocking receives time out after LOOPBACK_RECEIVE_S */
int
loopback_open(int type, struct addr *addr);

/** loopback_closed() - an address without a listener */
struct addr
loopback_closed(int type);

/** loopback_send() - send a datagram; asserts that all of it was sent */
void
loopback_send(int fd, struct addr to, const void *bytes, size_t len);

/** LOOPBACK_WAIT() - poll until @cond holds; fails the test after
 * LOOPBACK_WAIT_MS */
#define LOOPBACK_WAIT(cond)                                                   \
    do {                                                                      \
        for (int waited_ = 0; !(cond); waited_ += 5) {                        \
            g_assert_cmpint(waited_, <, LOOPBACK_WAIT_MS);                    \
            g_usleep(5000);                                                   \
        }                                                                     \
    } while (0)

#endif
