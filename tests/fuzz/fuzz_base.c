#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "base/auth.h"
#include "base/link_wire.h"
#include "base/settings.h"
#include "mutate.h"

#define SUITE "/fuzz"
#define RUNS 20000
#define FILE_RUNS 1500
#define WALL_MS UINT64_C(1790000000000)

static const uint8_t key[] = "0123456789abcdef";
static char *folder;

static const char settings_text[] =
    "{\"name\": \"a1\", \"data_centre\": \"ubungo\", \"cell\": \"c1\",\n"
    "\"data\": \"127.0.0.1:1\", \"control\": \"127.0.0.1:2\",\n"
    "\"http\": \"127.0.0.1:0\", \"platform\": \"http://127.0.0.1:4\",\n"
    "\"seeds\": [\"127.0.0.1:5\", \"127.0.0.2:6\"],\n"
    "\"site_key_file\": \"site.key\", \"fabric\": \"127.0.0.1:7\",\n"
    "\"drain_s\": 12, \"trace_file\": \"\", \"trace_sample\": 10}\n";

static void
decode_settings(const uint8_t *data, size_t len)
{
    g_autofree char *path = g_build_filename(folder, "agent.json", NULL);
    struct settings settings;
    struct error err = {0};
    char *report = NULL;
    int rc;

    g_assert_true(
        g_file_set_contents(path, (const char *)data, (gssize)len, NULL));
    rc = settings_load(&settings, SETTINGS_AGENT, path, &report, &err);
    g_assert_true(rc == 0 || err.code == rc);
    if (rc == 0) {
        g_assert_cmpuint(settings.seed_count, <=, SETTINGS_SEEDS_MAX);
        g_assert_cmpuint(settings.site_key_len, <=, SETTINGS_KEY_MAX);
    }
    g_free(report);
}

TEST(settings)
{
    struct mutate_sample samples[] = {mutate_string(settings_text)};
    g_autofree char *path = NULL;
    g_autofree char *key_path = NULL;

    folder = g_dir_make_tmp("fuzz-XXXXXX", NULL);
    path = g_build_filename(folder, "agent.json", NULL);
    key_path = g_build_filename(folder, "site.key", NULL);
    g_assert_true(
        g_file_set_contents(key_path, "0123456789abcdef\n", -1, NULL));
    MUTATE("settings_load", samples, FILE_RUNS, decode_settings);
    g_unlink(path);
    g_unlink(key_path);
    g_rmdir(folder);
    g_free(folder);
}

static uint8_t sealed[256];
static size_t sealed_len;

/* Only the unmodified message is accepted, and only once. */
static void
decode_sealed(const uint8_t *data, size_t len)
{
    bool same = len == sealed_len && memcmp(data, sealed, len) == 0;
    struct auth auth;
    uint64_t sender;
    const uint8_t *body;
    size_t body_len;
    int rc;

    g_assert_cmpint(auth_init(&auth, key, sizeof(key) - 1, 2, WALL_MS), ==, 0);
    rc = auth_open(&auth, data, len, WALL_MS, &sender, &body, &body_len);
    g_assert_true((rc == 0) == same);
    if (rc == 0) {
        g_assert_cmpuint(body_len, ==, len - AUTH_OVERHEAD);
        g_assert_cmpint(
            auth_open(&auth, data, len, WALL_MS, &sender, &body, &body_len), <,
            0);
    }
    auth_finish(&auth);
}

TEST(auth)
{
    static const uint8_t body[] = "news of a member";
    struct mutate_sample samples[1];
    struct auth auth;

    g_assert_cmpint(auth_init(&auth, key, sizeof(key) - 1, 1, WALL_MS), ==, 0);
    sealed_len = auth_seal(&auth, body, sizeof(body), WALL_MS, sealed);
    auth_finish(&auth);
    samples[0] = (struct mutate_sample){sealed, sealed_len};
    MUTATE("auth_open", samples, RUNS, decode_sealed);
}

static struct link_wire receiver;

/* Only the unmodified frame of this connection is accepted. */
static void
decode_frame(const uint8_t *data, size_t len)
{
    bool same = len == sealed_len && memcmp(data, sealed, len) == 0;
    struct link_wire wire = receiver;
    struct link_frame frame;
    struct auth auth;
    int rc;

    g_assert_cmpint(auth_init(&auth, key, sizeof(key) - 1, 2, WALL_MS), ==, 0);
    /* Callers of link_wire_open() pass exactly one frame. */
    if (len < LINK_WIRE_LENGTH_LEN || link_wire_frame_size(data) != len) {
        auth_finish(&auth);
        return;
    }
    rc = link_wire_open(&wire, &auth, data, len, &frame);
    g_assert_true((rc == 0) == same);
    auth_finish(&auth);
}

TEST(link)
{
    static const uint8_t body[] = "a frame";
    uint8_t hello_a[LINK_WIRE_HELLO_LEN];
    uint8_t hello_b[LINK_WIRE_HELLO_LEN];
    struct mutate_sample samples[1];
    struct link_wire sender;
    struct auth auth;

    g_assert_cmpint(auth_init(&auth, key, sizeof(key) - 1, 1, WALL_MS), ==, 0);
    g_assert_cmpint(link_wire_init(&sender, hello_a), ==, 0);
    g_assert_cmpint(link_wire_init(&receiver, hello_b), ==, 0);
    g_assert_cmpint(link_wire_read_hello(&sender, hello_b), ==, 0);
    g_assert_cmpint(link_wire_read_hello(&receiver, hello_a), ==, 0);
    link_wire_seal(&sender, &auth, 7, body, sizeof(body), sealed,
                   sealed + LINK_WIRE_HEADER_LEN + sizeof(body));
    memcpy(sealed + LINK_WIRE_HEADER_LEN, body, sizeof(body));
    sealed_len = LINK_WIRE_OVERHEAD + sizeof(body);
    g_assert_cmpuint(link_wire_frame_size(sealed), ==, sealed_len);
    auth_finish(&auth);
    samples[0] = (struct mutate_sample){sealed, sealed_len};
    MUTATE("link_wire_open", samples, RUNS, decode_frame);
}
