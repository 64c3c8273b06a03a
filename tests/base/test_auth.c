/**
 * DOC: test_auth - rejection of altered, replayed and outdated datagrams
 */
#include <errno.h>
#include <string.h>

#include "base/auth.h"
#include "lib/harness.h"

#define SUITE "/base/auth"
#define NOW_MS UINT64_C(1700000000000)
#define BODY_MAX 64

static const uint8_t key[16] = "0123456789abcdef";

/** struct message - a sealed message */
struct message {
    uint8_t data[BODY_MAX + AUTH_OVERHEAD];
    size_t len;
};

static struct message
seal(struct auth *auth, const char *body, uint64_t wall_ms)
{
    struct message msg;

    msg.len = auth_seal(auth, (const uint8_t *)body, strlen(body), wall_ms,
                        msg.data);
    return msg;
}

static int
open_at(struct auth *auth, const struct message *msg, uint64_t wall_ms)
{
    const uint8_t *body;
    uint64_t sender;
    size_t len;

    return auth_open(auth, msg->data, msg->len, wall_ms, &sender, &body, &len);
}

static void
new_auth(struct auth *auth, uint64_t self)
{
    g_assert_cmpint(auth_init(auth, key, sizeof(key), self, NOW_MS), ==, 0);
}

/** struct pair - a sender and a receiver */
struct pair {
    struct auth a;
    struct auth b;
};

static void
pair_init(struct pair *pair)
{
    new_auth(&pair->a, 11);
    new_auth(&pair->b, 12);
}

static void
pair_finish(struct pair *pair)
{
    auth_finish(&pair->a);
    auth_finish(&pair->b);
}

TEST_F(pair, round_trip)
{
    struct message msg;
    const uint8_t *body;
    uint64_t sender;
    size_t len;

    msg = seal(&pair->a, "hello", NOW_MS);
    g_assert_cmpuint(msg.len, ==, 5 + AUTH_OVERHEAD);
    g_assert_cmpint(
        auth_open(&pair->b, msg.data, msg.len, NOW_MS, &sender, &body, &len),
        ==, 0);
    g_assert_cmpuint(sender, ==, 11);
    g_assert_cmpmem(body, len, "hello", 5);
    msg = seal(&pair->a, "", NOW_MS);
    g_assert_cmpint(open_at(&pair->b, &msg, NOW_MS), ==, 0);
}

TEST_F(pair, rejects_altered_messages)
{
    struct message msg;

    msg = seal(&pair->a, "reserve lot 7", NOW_MS);
    for (size_t bit = 0; bit < msg.len * 8; bit++) {
        struct message changed = msg;

        changed.data[bit / 8] ^= (uint8_t)(1 << bit % 8);
        g_assert_cmpint(open_at(&pair->b, &changed, NOW_MS), ==, -EBADMSG);
    }
    for (size_t len = 0; len < msg.len; len++) {
        struct message cut = msg;

        cut.len = len;
        g_assert_cmpint(open_at(&pair->b, &cut, NOW_MS), ==, -EBADMSG);
    }
    /* Rejected copies must not mark the sequence as seen. */
    g_assert_cmpint(open_at(&pair->b, &msg, NOW_MS), ==, 0);
}

TEST(rejects_wrong_key)
{
    static const uint8_t other[16] = "0123456789abcdeF";
    struct auth a, b;
    struct message msg;

    new_auth(&a, 11);
    g_assert_cmpint(auth_init(&b, other, sizeof(other), 12, NOW_MS), ==, 0);
    msg = seal(&a, "x", NOW_MS);
    g_assert_cmpint(open_at(&b, &msg, NOW_MS), ==, -EBADMSG);
    auth_finish(&b);
    g_assert_cmpint(auth_init(&b, other, 15, 12, NOW_MS), ==, -EINVAL);
    auth_finish(&a);
}

TEST_F(pair, rejects_clock_skew)
{
    struct message msg;

    msg = seal(&pair->a, "x", NOW_MS);
    g_assert_cmpint(open_at(&pair->b, &msg, NOW_MS + AUTH_SKEW_MS + 1), ==,
                    -ETIME);
    g_assert_cmpint(open_at(&pair->b, &msg, NOW_MS - AUTH_SKEW_MS - 1), ==,
                    -ETIME);
    g_assert_cmpint(open_at(&pair->b, &msg, NOW_MS - AUTH_SKEW_MS), ==, 0);
}

/* Reordered messages are accepted once, unless older than the window. */
TEST_F(pair, replay_in_any_order)
{
    enum { COUNT = 4 * AUTH_WINDOW };
    g_autofree struct message *msgs = g_new(struct message, COUNT);
    g_autofree bool *accepted = g_new0(bool, COUNT);
    int highest = -1;

    for (int i = 0; i < COUNT; i++)
        msgs[i] = seal(&pair->a, "x", NOW_MS);
    for (int i = 0; i < 4 * COUNT; i++) {
        int middle = i / 4;
        int low = MAX(middle - 2 * AUTH_WINDOW, 0);
        int index = g_test_rand_int_range(low, MIN(middle + 20, COUNT));
        bool fresh = !accepted[index] && highest - index < AUTH_WINDOW;

        g_assert_cmpint(open_at(&pair->b, &msgs[index], NOW_MS), ==,
                        fresh ? 0 : -EALREADY);
        accepted[index] = true;
        highest = MAX(highest, index);
    }
}

/* Messages of a restarted sender aren't rejected as replays. */
TEST_F(pair, accepts_restarted_sender)
{
    struct message msg;

    for (int i = 0; i < 3 * AUTH_WINDOW; i++) {
        msg = seal(&pair->a, "x", NOW_MS);
        g_assert_cmpint(open_at(&pair->b, &msg, NOW_MS), ==, 0);
    }
    auth_finish(&pair->a);
    g_assert_cmpint(auth_init(&pair->a, key, sizeof(key), 11, NOW_MS + 1), ==,
                    0);
    msg = seal(&pair->a, "x", NOW_MS + 1);
    g_assert_cmpint(open_at(&pair->b, &msg, NOW_MS + 1), ==, 0);
}

/* A full table evicts only the least recently used sender. */
TEST(evicts_least_recent_sender)
{
    struct message first[AUTH_PEERS_MAX];
    struct message extra;
    struct auth b;

    new_auth(&b, 1);
    for (unsigned i = 0; i < AUTH_PEERS_MAX; i++) {
        struct auth a;

        new_auth(&a, 100 + i);
        first[i] = seal(&a, "x", NOW_MS);
        g_assert_cmpint(open_at(&b, &first[i], NOW_MS), ==, 0);
        if (i == AUTH_PEERS_MAX - 1) {
            a.self = 5;
            extra = seal(&a, "x", NOW_MS);
        }
        auth_finish(&a);
    }
    g_assert_cmpint(open_at(&b, &first[0], NOW_MS), ==, -EALREADY);
    g_assert_cmpint(open_at(&b, &extra, NOW_MS), ==, 0);
    for (unsigned i = 0; i < AUTH_PEERS_MAX; i++) {
        if (i != 1)
            g_assert_cmpint(open_at(&b, &first[i], NOW_MS), ==, -EALREADY);
    }
    g_assert_cmpint(open_at(&b, &first[1], NOW_MS), ==, 0);
    auth_finish(&b);
}
