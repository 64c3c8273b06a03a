/**
 * DOC: apply_run_test - "apply" against the stand-in platform, with faults and
 * concurrent writers
 */
#include <string.h>

#include "cli/apply_run.h"
#include "standin/platform/server.h"
#include "lib/harness.h"
#include "lib/sample.h"

#define SUITE "/apply_run"
#define SERVICE(name, port)                                                   \
    "{\"name\":\"" name "\",\"address\":\"10.0.0.1\",\"port\":" port          \
    ",\"class\":\"urgent\"}"
#define FIRST "{\"services\":[" SERVICE("lots", "80") "]}"
#define SECOND "{\"services\":[" SERVICE("lots", "81") "]}"

/** struct fixture - stand-in platform in this process, and two configs */
struct fixture {
    struct server server;
    char *url;
    struct service_config *first;
    struct service_config *second;
};

static void
fixture_init(struct fixture *fixture)
{
    struct addr any = {.ip = INADDR_LOOPBACK};
    struct error err;

    g_assert_cmpint(server_init(&fixture->server, any, &err), ==, 0);
    fixture->url =
        g_strdup_printf("http://127.0.0.1:%u", server_port(&fixture->server));
    fixture->first = sample_parse(FIRST);
    fixture->second = sample_parse(SECOND);
}

static void
fixture_finish(struct fixture *fixture)
{
    server_finish(&fixture->server);
    service_config_free(fixture->first);
    service_config_free(fixture->second);
    g_free(fixture->url);
}

static struct apply_action
publish(struct fixture *fixture, const struct service_config *config,
        const char *author, const uint64_t *expect)
{
    struct apply_run run;
    struct apply_action end;
    struct error err;

    g_assert_cmpint(apply_run_init(&run, fixture->url, config, author, &err),
                    ==, 0);
    apply_run_publish(&run, expect);
    end = run.end;
    apply_run_finish(&run);
    g_assert_cmpint(end.type, ==, APPLY_DO_FINISH);
    return end;
}

static void
assert_published(struct fixture *fixture, uint64_t version,
                 const struct service_config *config, const char *author,
                 size_t history_count)
{
    struct service_config_envelope envelope;
    g_autoptr(GBytes) value = NULL;
    const char *data;
    gsize len;

    g_assert_cmpuint(store_get(&fixture->server.store, APPLY_OBJECT, &value),
                     ==, version);
    data = g_bytes_get_data(value, &len);
    g_assert_cmpint(service_config_envelope_read(data, len, &envelope), ==, 0);
    g_assert_cmpmem(envelope.source, envelope.source_len, config->source,
                    config->source_len);
    g_assert_cmpstr(envelope.author, ==, author);
    g_assert_cmpuint(envelope.history_count, ==, history_count);
}

TEST_F(fixture, publish)
{
    const uint64_t one = 1;
    struct apply_action end = publish(fixture, fixture->first, "asha", NULL);

    g_assert_cmpint(end.outcome, ==, APPLY_APPLIED);
    assert_published(fixture, 1, fixture->first, "asha", 0);
    end = publish(fixture, fixture->first, "rehema", NULL);
    g_assert_cmpint(end.outcome, ==, APPLY_UNCHANGED);
    end = publish(fixture, fixture->second, "rehema", NULL);
    g_assert_cmpint(end.outcome, ==, APPLY_APPLIED);
    assert_published(fixture, 2, fixture->second, "rehema", 1);
    end = publish(fixture, fixture->first, "asha", &one);
    g_assert_cmpint(end.outcome, ==, APPLY_RACE_LOST);
    assert_published(fixture, 2, fixture->second, "rehema", 1);
}

TEST_F(fixture, reply_lost_after_write)
{
    struct apply_action end;

    server_set_fault(&fixture->server,
                     (struct server_fault){SERVER_LOSE_ANSWER, 0, 1});
    end = publish(fixture, fixture->first, "asha", NULL);
    g_assert_cmpint(end.outcome, ==, APPLY_APPLIED);
    g_assert_cmpuint(end.version, ==, 1);
    g_assert_cmpuint(server_read_stats(&fixture->server).writes, ==, 1);
    assert_published(fixture, 1, fixture->first, "asha", 0);
}

TEST_F(fixture, write_lost)
{
    struct apply_action end;

    server_set_fault(&fixture->server,
                     (struct server_fault){SERVER_LOSE_WRITE, 0, 1});
    end = publish(fixture, fixture->first, "asha", NULL);
    g_assert_cmpint(end.outcome, ==, APPLY_APPLIED);
    g_assert_cmpuint(server_read_stats(&fixture->server).writes, ==, 2);
    assert_published(fixture, 1, fixture->first, "asha", 0);
}

/* After a write whose reply times out, the object is read back and not written
 * again. */
TEST_F(fixture, reply_after_timeout)
{
    struct apply_action end;

    publish(fixture, fixture->first, "asha", NULL);
    server_set_fault(&fixture->server,
                     (struct server_fault){SERVER_SLOW_WRITE, 60000, 1});
    end = publish(fixture, fixture->second, "asha", NULL);
    g_assert_cmpint(end.outcome, ==, APPLY_APPLIED);
    g_assert_cmpuint(server_read_stats(&fixture->server).writes, ==, 2);
    assert_published(fixture, 2, fixture->second, "asha", 1);
}

TEST_F(fixture, platform_unavailable)
{
    struct apply_action end;

    server_set_fault(&fixture->server,
                     (struct server_fault){SERVER_BUSY, 0, 0});
    end = publish(fixture, fixture->first, "asha", NULL);
    g_assert_cmpint(end.outcome, ==, APPLY_NOT_WRITTEN);
    g_assert_cmpuint(store_get(&fixture->server.store, APPLY_OBJECT, NULL), ==,
                     0);
}

/** struct concurrent_writer - an operator that publishes in its own thread */
struct concurrent_writer {
    struct fixture *fixture;
    const struct service_config *config;
    const char *author;
    struct apply_action end;
};

static gpointer
publish_in_thread(gpointer data)
{
    const uint64_t one = 1;
    struct concurrent_writer *writer = data;

    writer->end =
        publish(writer->fixture, writer->config, writer->author, &one);
    return NULL;
}

TEST_F(fixture, concurrent_writers)
{
    struct service_config *zero =
        sample_parse("{\"services\":[" SERVICE("zero", "1") "]}");
    struct concurrent_writer writers[2] = {
        {.fixture = fixture, .config = fixture->first, .author = "asha"},
        {.fixture = fixture, .config = fixture->second, .author = "rehema"},
    };
    GThread *threads[2];
    unsigned won = 0;

    publish(fixture, zero, "start", NULL);
    for (size_t i = 0; i < 2; i++) {
        threads[i] = g_thread_new("writer", publish_in_thread, &writers[i]);
    }
    for (size_t i = 0; i < 2; i++) {
        g_thread_join(threads[i]);
    }
    for (size_t i = 0; i < 2; i++) {
        if (writers[i].end.outcome == APPLY_APPLIED) {
            won++;
            assert_published(fixture, 2, writers[i].config, writers[i].author,
                             1);
        }
        else {
            g_assert_cmpint(writers[i].end.outcome, ==, APPLY_RACE_LOST);
        }
    }
    g_assert_cmpuint(won, ==, 1);
    service_config_free(zero);
}

static struct service_config *
published(struct fixture *fixture)
{
    struct service_config *config;
    g_autoptr(GBytes) value = NULL;
    char *report;
    gsize len;
    uint64_t version = store_get(&fixture->server.store, APPLY_OBJECT, &value);
    const char *data = g_bytes_get_data(value, &len);

    g_assert_cmpint(
        service_config_parse_envelope(data, len, version, &config, &report),
        ==, 0);
    return config;
}

/* The retired addresses follow from the version that is replaced. */
TEST_F(fixture, retired)
{
    struct service_config *config;

    publish(fixture, fixture->first, "asha", NULL);
    publish(fixture, fixture->second, "asha", NULL);
    config = published(fixture);
    g_assert_cmpuint(config->retired_count, ==, 1);
    g_assert_cmpuint(config->retired[0].service.port, ==, 80);
    service_config_free(config);
    publish(fixture, fixture->first, "asha", NULL);
    config = published(fixture);
    g_assert_cmpuint(config->retired_count, ==, 1);
    g_assert_cmpuint(config->retired[0].service.port, ==, 81);
    service_config_free(config);
}

/* An operator's clock that is behind doesn't shorten the hold time. */
TEST_F(fixture, clock_behind)
{
    const uint64_t ahead_ms = UINT64_C(1) << 42;
    struct service_config_envelope envelope = {
        .write_id = "1",
        .author = "rehema",
        .written_ms = ahead_ms,
        .source = fixture->first->source,
        .source_len = fixture->first->source_len,
    };
    struct service_config *config;
    uint64_t version;
    size_t len;
    char *value = service_config_envelope_write(&envelope, &len);
    g_autoptr(GBytes) bytes = g_bytes_new_take(value, len);

    g_assert_cmpint(
        store_put(&fixture->server.store, APPLY_OBJECT, 0, bytes, &version),
        ==, 0);
    publish(fixture, fixture->second, "asha", NULL);
    config = published(fixture);
    g_assert_cmpuint(config->retired_count, ==, 1);
    g_assert_cmpuint(config->retired[0].until_ms, ==,
                     ahead_ms + SERVICE_CONFIG_RETIRE_HOLD_MS +
                         SERVICE_CONFIG_RETIRE_SKEW_MS);
    service_config_free(config);
}
