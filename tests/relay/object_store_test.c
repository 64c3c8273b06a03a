#include <errno.h>
#include <string.h>

#include <event2/event.h>
#include <glib.h>

#include "base/container.h"
#include "base/httpd.h"
#include "lib/harness.h"
#include "lib/loopback.h"
#include "platform/object_store.h"

#define SUITE "/relay/object_store"

/** struct fixture - an HTTP server with one response for all requests, and a
 * client */
struct fixture {
    struct event_base *base;
    struct httpd_handler handler;
    struct httpd *httpd;
    struct store *store;
    struct store_call call;
    int http;
    const char *body;
    const char *epoch;
    bool silent;
    char request_line[256];
    char sent[256];
    bool done;
    int status;
    uint32_t reported_epoch;
    uint64_t revision;
    bool more;
    size_t count;
    size_t unreadable;
    char names[128];
};

static int
on_request(struct httpd_handler *handler, struct httpd_request *request)
{
    struct fixture *fixture = container_of(handler, struct fixture, handler);
    size_t len;
    const char *body = httpd_request_body(request, &len);
    const char *after = httpd_request_query(request, "after");
    const char *watch = httpd_request_query(request, "watch");
    const char *rev = httpd_request_query(request, "rev");
    const char *stale = httpd_request_query(request, "staleOk");

    g_snprintf(fixture->request_line, sizeof(fixture->request_line),
               "%s %s after=%s watch=%s "
               "rev=%s%s%s",
               httpd_request_method(request), httpd_request_path(request),
               after != NULL ? after : "-", watch != NULL ? watch : "-",
               rev != NULL ? rev : "-", stale != NULL ? " stale=" : "",
               stale != NULL ? stale : "");
    g_snprintf(fixture->sent, sizeof(fixture->sent), "%.*s", (int)len, body);
    if (fixture->epoch != NULL) {
        httpd_add_header(request, "Store-Era", fixture->epoch);
    }
    httpd_respond(request, fixture->http, "application/json", fixture->body,
                  strlen(fixture->body));
    return 0;
}

static const struct httpd_ops httpd_ops = {on_request};

static void
on_done(struct store_call *call, const struct store_reply *reply)
{
    struct fixture *fixture = container_of(call, struct fixture, call);

    g_assert_false(fixture->done);
    fixture->done = true;
    fixture->status = reply->status;
    fixture->reported_epoch = reply->epoch;
    fixture->revision = reply->revision;
    fixture->more = reply->more;
    fixture->count = reply->count;
    fixture->unreadable = reply->unreadable;
    fixture->names[0] = '\0';
    for (size_t i = 0; i < reply->count; i++) {
        g_strlcat(fixture->names, reply->objects[i].name,
                  sizeof(fixture->names));
        g_strlcat(fixture->names, reply->objects[i].removed ? "! " : " ",
                  sizeof(fixture->names));
    }
    event_base_loopbreak(fixture->base);
}

static void
fixture_init(struct fixture *fixture)
{
    struct addr any = {LOOPBACK, 0};
    struct error err = {0};

    fixture->base = event_base_new();
    fixture->handler.ops = &httpd_ops;
    fixture->httpd = httpd_new(fixture->base, any, &fixture->handler, &err);
    g_assert_nonnull(fixture->httpd);
    fixture->store =
        object_store_new(fixture->base, httpd_addr(fixture->httpd));
    fixture->call.done = on_done;
    fixture->http = 200;
    fixture->body = "{}";
}

static void
fixture_finish(struct fixture *fixture)
{
    fixture->store->ops->free(fixture->store);
    httpd_free(fixture->httpd);
    event_base_free(fixture->base);
}

static void
wait_for(struct fixture *fixture)
{
    while (!fixture->done) {
        g_assert_cmpint(event_base_loop(fixture->base, EVLOOP_ONCE), ==, 0);
    }
    fixture->done = false;
}

static int
list(struct fixture *fixture, const char *after)
{
    g_assert_cmpint(fixture->store->ops->list(fixture->store, "k", after,
                                              STORE_READ_LATEST,
                                              &fixture->call),
                    ==, 0);
    wait_for(fixture);
    return fixture->status;
}

TEST_F(fixture, list_is_decoded)
{
    fixture->body = "{\"items\":[{\"meta\":{\"name\":\"a\",\"rev\":3},"
                    "\"spec\":{}},{\"meta\":{\"name\":\"b\",\"rev\":4}}],"
                    "\"hasMore\":true,\"at\":9}";
    g_assert_cmpint(list(fixture, "x y"), ==, 0);
    g_assert_cmpstr(fixture->request_line, ==,
                    "GET /objects/k after=x y watch=- rev=-");
    g_assert_cmpstr(fixture->names, ==, "a b ");
    g_assert_true(fixture->more);
    g_assert_cmpuint(fixture->revision, ==, 9);
}

/* All responses have the header, also those with an error status. */
TEST_F(fixture, epoch_header_is_decoded)
{
    static const struct {
        const char *epoch;
        int http;
        uint32_t expected;
    } answers[] = {
        {NULL, 200, 0}, {"0", 200, 1}, {"6", 410, 7}, {"7", 503, 8},
        {"-1", 200, 0}, {"x", 200, 0}, {"", 200, 0},  {"99999999999", 200, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        fixture->epoch = answers[i].epoch;
        fixture->http = answers[i].http;
        list(fixture, NULL);
        g_assert_cmpuint(fixture->reported_epoch, ==, answers[i].expected);
    }
}

TEST_F(fixture, watch_events_are_decoded)
{
    fixture->body = "{\"events\":[{\"deleted\":true,\"object\":{\"meta\":"
                    "{\"name\":\"a\",\"rev\":3}}}],\"at\":12}";
    g_assert_cmpint(fixture->store->ops->watch(fixture->store, "k", 8, 1000,
                                               STORE_READ_LATEST,
                                               &fixture->call),
                    ==, 0);
    wait_for(fixture);
    g_assert_cmpint(fixture->status, ==, 0);
    g_assert_cmpstr(fixture->request_line, ==,
                    "GET /objects/k after=- watch=8 rev=-");
    g_assert_cmpstr(fixture->names, ==, "a! ");
    g_assert_cmpuint(fixture->revision, ==, 12);
}

TEST_F(fixture, stale_reads_have_a_query_parameter)
{
    struct store *store = fixture->store;

    fixture->body = "{\"events\":[],\"at\":12}";
    g_assert_cmpint(store->ops->watch(store, "k", 8, 1000, STORE_READ_STALE,
                                      &fixture->call),
                    ==, 0);
    wait_for(fixture);
    g_assert_cmpstr(fixture->request_line, ==,
                    "GET /objects/k after=- watch=8 rev=- stale=1");
    fixture->body = "{\"items\":[],\"at\":12}";
    g_assert_cmpint(
        store->ops->list(store, "k", NULL, STORE_READ_STALE, &fixture->call),
        ==, 0);
    wait_for(fixture);
    g_assert_cmpstr(fixture->request_line, ==,
                    "GET /objects/k after=- watch=- rev=- stale=1");
    g_assert_cmpint(
        store->ops->list(store, "k", "x y", STORE_READ_STALE, &fixture->call),
        ==, 0);
    wait_for(fixture);
    g_assert_cmpstr(fixture->request_line, ==,
                    "GET /objects/k after=x y watch=- rev=- stale=1");
}

TEST_F(fixture, single_object_is_decoded)
{
    struct store *store = fixture->store;

    fixture->body = "{\"meta\":{\"name\":\"n\",\"rev\":3},\"spec\":{}}";
    g_assert_cmpint(
        store->ops->get(store, "k", "n", STORE_READ_LATEST, &fixture->call),
        ==, 0);
    wait_for(fixture);
    g_assert_cmpint(fixture->status, ==, 0);
    g_assert_cmpstr(fixture->request_line, ==,
                    "GET /objects/k/n after=- watch=- rev=-");
    g_assert_cmpstr(fixture->names, ==, "n ");
    fixture->http = 404;
    g_assert_cmpint(
        store->ops->get(store, "k", "n", STORE_READ_STALE, &fixture->call), ==,
        0);
    wait_for(fixture);
    g_assert_cmpint(fixture->status, ==, -ENOENT);
    g_assert_cmpstr(fixture->request_line, ==,
                    "GET /objects/k/n after=- watch=- rev=- stale=1");
}

TEST_F(fixture, writes_contain_name_and_value)
{
    struct json_object *value = json_object_new_string("v");

    fixture->body = "{\"meta\":{\"name\":\"n\",\"rev\":3}}";
    g_assert_cmpint(fixture->store->ops->create(fixture->store, "k", "n",
                                                value, &fixture->call),
                    ==, 0);
    wait_for(fixture);
    g_assert_cmpint(fixture->status, ==, 0);
    g_assert_cmpstr(fixture->request_line, ==,
                    "POST /objects/k after=- watch=- rev=-");
    g_assert_nonnull(strstr(fixture->sent, "\"name\":\"n\""));
    g_assert_nonnull(strstr(fixture->sent, "\"spec\":\"v\""));
    g_assert_cmpint(fixture->store->ops->put(fixture->store, "k", "n", value,
                                             &fixture->call),
                    ==, 0);
    wait_for(fixture);
    g_assert_cmpstr(fixture->request_line, ==,
                    "PUT /objects/k/n after=- watch=- rev=-");
    g_assert_cmpint(fixture->store->ops->replace(fixture->store, "k", "n",
                                                 value, 7, &fixture->call),
                    ==, 0);
    wait_for(fixture);
    g_assert_cmpstr(fixture->request_line, ==,
                    "PUT /objects/k/n after=- watch=- rev=7");
    g_assert_cmpint(fixture->store->ops->remove(fixture->store, "k", "n", 5,
                                                &fixture->call),
                    ==, 0);
    wait_for(fixture);
    g_assert_cmpstr(fixture->request_line, ==,
                    "DELETE /objects/k/n after=- watch=- rev=5");
    json_object_put(value);
}

TEST_F(fixture, http_errors_are_mapped_to_errno)
{
    static const struct {
        int http;
        int status;
    } rows[] = {{404, -ENOENT}, {409, -EEXIST}, {410, -ESTALE},
                {429, -EBUSY},  {503, -EBUSY},  {500, -EPROTO}};

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        fixture->http = rows[i].http;
        g_assert_cmpint(list(fixture, NULL), ==, rows[i].status);
    }
}

TEST_F(fixture, invalid_responses_are_refused)
{
    static const char *const invalid[] = {
        "{",
        "[]",
        "{\"items\":7}",
        "{\"events\":{}}",
        "{\"events\":null,\"at\":4}",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        fixture->body = invalid[i];
        g_assert_cmpint(list(fixture, NULL), ==, -EPROTO);
        g_assert_cmpuint(fixture->count, ==, 0);
    }
}

#define GOOD "{\"meta\":{\"name\":\"a\",\"rev\":3},\"spec\":{}}"

TEST_F(fixture, invalid_items_are_skipped)
{
    static const char *const invalid[] = {
        "7", "null", "[]", "{}", "{\"meta\":{}}", "{\"meta\":{\"name\":7}}",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        char body[256];

        g_snprintf(body, sizeof(body), "{\"items\":[%s," GOOD ",%s],\"at\":9}",
                   invalid[i], invalid[i]);
        fixture->body = body;
        g_assert_cmpint(list(fixture, NULL), ==, 0);
        g_assert_cmpstr(fixture->names, ==, "a ");
        g_assert_cmpuint(fixture->unreadable, ==, 2);
        g_snprintf(body, sizeof(body),
                   "{\"events\":[{\"object\":%s,\"deleted\":true},%s,"
                   "{\"object\":" GOOD "}],\"at\":9}",
                   invalid[i], invalid[i]);
        fixture->body = body;
        g_assert_cmpint(fixture->store->ops->watch(fixture->store, "k", 8,
                                                   1000, STORE_READ_LATEST,
                                                   &fixture->call),
                        ==, 0);
        wait_for(fixture);
        g_assert_cmpstr(fixture->names, ==, "a ");
        g_assert_cmpuint(fixture->unreadable, ==, 2);
    }
}

TEST_F(fixture, loss_and_return_of_the_store_are_reported)
{
    struct addr addr = httpd_addr(fixture->httpd);
    struct error err = {0};

    fixture->body = "{\"items\":[],\"at\":1}";
    g_assert_cmpint(list(fixture, NULL), ==, 0);
    httpd_free(fixture->httpd);
    g_assert_cmpint(list(fixture, NULL), <, 0);
    g_assert_cmpint(list(fixture, NULL), ==, -ECONNREFUSED);
    fixture->httpd = httpd_new(fixture->base, addr, &fixture->handler, &err);
    g_assert_nonnull(fixture->httpd);
    g_assert_cmpint(list(fixture, NULL), ==, 0);
}

TEST_F(fixture, one_call_at_a_time)
{
    g_assert_cmpint(fixture->store->ops->list(fixture->store, "k", NULL,
                                              STORE_READ_LATEST,
                                              &fixture->call),
                    ==, 0);
    g_assert_cmpint(fixture->store->ops->list(fixture->store, "k", NULL,
                                              STORE_READ_LATEST,
                                              &fixture->call),
                    ==, -EBUSY);
    wait_for(fixture);
}
