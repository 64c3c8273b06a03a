#include <glib.h>
#include <string.h>

#include "base/hash.h"
#include "idem/idem.h"
#include "mutate.h"

#define SUITE "/fuzz"
#define RUNS 40000
#define MEMBERS 4

/* A call of fixed layout, so that mutations change its fields. */
struct raw {
    uint8_t call;
    uint8_t type;
    uint8_t state;
    uint8_t key;
    uint8_t fingerprint;
    uint8_t from;
    uint8_t owner;
    uint8_t answer_len;
    uint64_t token;
};

static struct idem *idem;
static uint64_t now_us;
static uint64_t last_token;
static uint64_t sent_token;

static struct view *
make_view(void)
{
    struct view *view = view_new(MEMBERS);

    view->count = MEMBERS;
    for (uint64_t i = 0; i < MEMBERS; i++) {
        view->members[i] = (struct view_member){
            .id = i + 1,
            .incarnation = UINT64_C(1790000000000000),
            .role = MEMBER_AGENT,
            .state = MEMBER_READY,
            .service = 7,
            .since_us = 1,
        };
    }
    return view;
}

static void
check_actions(struct idem_actions *out)
{
    for (size_t i = 0; i < out->count; i++) {
        const struct idem_action *action = &out->items[i];

        if (action->type == IDEM_SEND) {
            g_assert_cmpuint(action->to, !=, 1);
            sent_token = action->msg.token;
        }
        else {
            g_assert_cmpuint(action->token, <=, last_token);
        }
        g_assert_true(action->msg.answer_len == 0 ||
                      action->msg.answer != NULL);
    }
    idem_actions_finish(out);
}

static void
receive(const struct raw *raw, const struct idem_key *key)
{
    static const uint8_t answer[256] = {'H'};
    struct idem_actions out = {0};
    struct idem_msg msg = {
        .type = (enum idem_msg_type)(raw->type % (IDEM_MSG_DENY + 2)),
        .key = *key,
        .owner = raw->owner % (MEMBERS + 2),
        .token = raw->token % 4 == 0 ? sent_token : raw->token,
        .state = (enum idem_state)(raw->state % 4),
        .answer = raw->answer_len > 0 ? answer : NULL,
        .answer_len = raw->answer_len,
    };

    (void)idem_receive(idem, raw->from % (MEMBERS + 2), &msg, now_us, &out);
    check_actions(&out);
}

static void
call(const struct raw *raw)
{
    struct idem_actions out = {0};
    struct idem_key key = {
        .service = raw->key % 16 == 0 ? 8 : 7,
        .hash = {hash_pair(raw->key % 8, 1), raw->key % 8},
        .fingerprint = raw->fingerprint % 2,
    };

    switch (raw->call % 4) {
    case 0:
        (void)idem_begin(idem, ++last_token, &key, now_us, &out);
        break;
    case 1:
        (void)idem_end(idem, last_token - raw->key % 8, raw->state % 2 == 0,
                       (enum idem_state)(raw->state % 3), (const uint8_t *)raw,
                       raw->answer_len % sizeof(*raw), now_us, &out);
        break;
    case 2:
        now_us += raw->token % 100000;
        (void)idem_tick(idem, now_us, &out);
        break;
    default:
        receive(raw, &key);
        break;
    }
    check_actions(&out);
}

static void
decode_calls(const uint8_t *data, size_t len)
{
    struct raw raw;

    for (size_t at = 0; at + sizeof(raw) <= len; at += sizeof(raw)) {
        memcpy(&raw, data + at, sizeof(raw));
        call(&raw);
    }
}

/* Arbitrary calls and messages of a faulty member are handled. */
TEST(idem)
{
    static const struct raw calls[] = {
        {.call = 0, .key = 1},
        {.call = 3, .type = IDEM_MSG_GRANT, .key = 1, .from = 2, .owner = 1},
        {.call = 3, .type = IDEM_MSG_GRANT, .key = 1, .from = 3, .owner = 1},
        {.call = 3, .type = IDEM_MSG_RELEASE, .key = 1, .from = 3, .owner = 1},
        {.call = 1, .key = 1, .state = IDEM_DONE, .answer_len = 5},
        {.call = 3, .type = IDEM_MSG_RESERVE, .key = 2, .from = 3, .owner = 3},
        {.call = 3,
         .type = IDEM_MSG_RECORD,
         .key = 2,
         .from = 2,
         .owner = 3,
         .state = IDEM_DONE,
         .answer_len = 9,
         .token = 77},
        {.call = 2, .token = 90000},
    };
    struct mutate_sample samples[] = {
        {(const uint8_t *)calls, sizeof(calls)},
        {(const uint8_t *)&calls[1], 3 * sizeof(calls[0])},
    };
    struct idem_actions out = {0};
    struct view *view = make_view();

    now_us = 60 * USEC_PER_SEC;
    idem = idem_new(1, 64);
    g_assert_cmpint(idem_set_view(idem, view, now_us, &out), ==, 0);
    check_actions(&out);
    MUTATE("idem", samples, RUNS, decode_calls);
    idem_free(idem);
    g_free(view);
}
