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

/**
 * struct site - a listener with one answer for all, and a client of it
 */
struct site {
    struct event_base *base;
    struct httpd_handler handler;
    struct httpd *httpd;
    struct store *store;
    struct store_call call;
    int http;
    const char *body;
    const char *era;
    bool mute;
    char asked[256];
    char sent[256];
    bool done;
    int status;
    uint32_t told_era;
    uint64_t revision;
    bool more;
    size_t count;
    size_t unreadable;
    char names[128];
};

static int
on_request(struct httpd_handler *handler, struct httpd_request *request)
{
    struct site *site = container_of(handler, struct site, handler);
    size_t len;
    const char *body = httpd_request_body(request, &len);
    const char *after = httpd_request_query(request, "after");
    const char *watch = httpd_request_query(request, "watch");
    const char *rev = httpd_request_query(request, "rev");
    const char *stale = httpd_request_query(request, "staleOk");

    g_snprintf(site->asked, sizeof(site->asked),
               "%s %s after=%s watch=%s "
               "rev=%s%s%s",
               httpd_request_method(request), httpd_request_path(request),
               after != NULL ? after : "-", watch != NULL ? watch : "-",
               rev != NULL ? rev : "-", stale != NULL ? " stale=" : "",
               stale != NULL ? stale : "");
    g_snprintf(site->sent, sizeof(site->sent), "%.*s", (int)len, body);
    if (site->era != NULL) {
        httpd_add_header(request, "Store-Era", site->era);
    }
    httpd_respond(request, site->http, "application/json", site->body,
                  strlen(site->body));
    return 0;
}

static const struct httpd_ops httpd_ops = {on_request};

static void
on_done(struct store_call *call, const struct store_reply *reply)
{
    struct site *site = container_of(call, struct site, call);

    g_assert_false(site->done);
    site->done = true;
    site->status = reply->status;
    site->told_era = reply->era;
    site->revision = reply->revision;
    site->more = reply->more;
    site->count = reply->count;
    site->unreadable = reply->unreadable;
    site->names[0] = '\0';
    for (size_t i = 0; i < reply->count; i++) {
        g_strlcat(site->names, reply->objects[i].name, sizeof(site->names));
        g_strlcat(site->names, reply->objects[i].removed ? "! " : " ",
                  sizeof(site->names));
    }
    event_base_loopbreak(site->base);
}

static void
site_init(struct site *site)
{
    struct addr any = {LOOPBACK, 0};
    struct error err = {0};

    site->base = event_base_new();
    site->handler.ops = &httpd_ops;
    site->httpd = httpd_new(site->base, any, &site->handler, &err);
    g_assert_nonnull(site->httpd);
    site->store = object_store_new(site->base, httpd_addr(site->httpd));
    site->call.done = on_done;
    site->http = 200;
    site->body = "{}";
}

static void
site_finish(struct site *site)
{
    site->store->ops->free(site->store);
    httpd_free(site->httpd);
    event_base_free(site->base);
}

static void
wait_for(struct site *site)
{
    while (!site->done) {
        g_assert_cmpint(event_base_loop(site->base, EVLOOP_ONCE), ==, 0);
    }
    site->done = false;
}

static int
list(struct site *site, const char *after)
{
    g_assert_cmpint(site->store->ops->list(site->store, "k", after,
                                           STORE_READ_LATEST, &site->call),
                    ==, 0);
    wait_for(site);
    return site->status;
}

TEST_F(site, a_list_is_read)
{
    site->body = "{\"items\":[{\"meta\":{\"name\":\"a\",\"rev\":3},"
                 "\"spec\":{}},{\"meta\":{\"name\":\"b\",\"rev\":4}}],"
                 "\"hasMore\":true,\"at\":9}";
    g_assert_cmpint(list(site, "x y"), ==, 0);
    g_assert_cmpstr(site->asked, ==, "GET /objects/k after=x y watch=- rev=-");
    g_assert_cmpstr(site->names, ==, "a b ");
    g_assert_true(site->more);
    g_assert_cmpuint(site->revision, ==, 9);
}

/* All answers tell it, refusals too. */
TEST_F(site, the_stores_era_is_read)
{
    static const struct {
        const char *era;
        int http;
        uint32_t told;
    } answers[] = {
        {NULL, 200, 0}, {"0", 200, 1}, {"6", 410, 7}, {"7", 503, 8},
        {"-1", 200, 0}, {"x", 200, 0}, {"", 200, 0},  {"99999999999", 200, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        site->era = answers[i].era;
        site->http = answers[i].http;
        list(site, NULL);
        g_assert_cmpuint(site->told_era, ==, answers[i].told);
    }
}

TEST_F(site, events_are_read)
{
    site->body = "{\"events\":[{\"deleted\":true,\"object\":{\"meta\":"
                 "{\"name\":\"a\",\"rev\":3}}}],\"at\":12}";
    g_assert_cmpint(site->store->ops->watch(site->store, "k", 8, 1000,
                                            STORE_READ_LATEST, &site->call),
                    ==, 0);
    wait_for(site);
    g_assert_cmpint(site->status, ==, 0);
    g_assert_cmpstr(site->asked, ==, "GET /objects/k after=- watch=8 rev=-");
    g_assert_cmpstr(site->names, ==, "a! ");
    g_assert_cmpuint(site->revision, ==, 12);
}

TEST_F(site, a_read_that_may_be_old_says_so)
{
    struct store *store = site->store;

    site->body = "{\"events\":[],\"at\":12}";
    g_assert_cmpint(
        store->ops->watch(store, "k", 8, 1000, STORE_READ_ANY, &site->call),
        ==, 0);
    wait_for(site);
    g_assert_cmpstr(site->asked, ==,
                    "GET /objects/k after=- watch=8 rev=- stale=1");
    site->body = "{\"items\":[],\"at\":12}";
    g_assert_cmpint(
        store->ops->list(store, "k", NULL, STORE_READ_ANY, &site->call), ==,
        0);
    wait_for(site);
    g_assert_cmpstr(site->asked, ==,
                    "GET /objects/k after=- watch=- rev=- stale=1");
    g_assert_cmpint(
        store->ops->list(store, "k", "x y", STORE_READ_ANY, &site->call), ==,
        0);
    wait_for(site);
    g_assert_cmpstr(site->asked, ==,
                    "GET /objects/k after=x y watch=- rev=- stale=1");
}

TEST_F(site, one_object_is_read)
{
    struct store *store = site->store;

    site->body = "{\"meta\":{\"name\":\"n\",\"rev\":3},\"spec\":{}}";
    g_assert_cmpint(
        store->ops->get(store, "k", "n", STORE_READ_LATEST, &site->call), ==,
        0);
    wait_for(site);
    g_assert_cmpint(site->status, ==, 0);
    g_assert_cmpstr(site->asked, ==, "GET /objects/k/n after=- watch=- rev=-");
    g_assert_cmpstr(site->names, ==, "n ");
    site->http = 404;
    g_assert_cmpint(
        store->ops->get(store, "k", "n", STORE_READ_ANY, &site->call), ==, 0);
    wait_for(site);
    g_assert_cmpint(site->status, ==, -ENOENT);
    g_assert_cmpstr(site->asked, ==,
                    "GET /objects/k/n after=- watch=- rev=- stale=1");
}

TEST_F(site, writes_carry_name_and_value)
{
    struct json_object *value = json_object_new_string("v");

    site->body = "{\"meta\":{\"name\":\"n\",\"rev\":3}}";
    g_assert_cmpint(
        site->store->ops->create(site->store, "k", "n", value, &site->call),
        ==, 0);
    wait_for(site);
    g_assert_cmpint(site->status, ==, 0);
    g_assert_cmpstr(site->asked, ==, "POST /objects/k after=- watch=- rev=-");
    g_assert_nonnull(strstr(site->sent, "\"name\":\"n\""));
    g_assert_nonnull(strstr(site->sent, "\"spec\":\"v\""));
    g_assert_cmpint(
        site->store->ops->put(site->store, "k", "n", value, &site->call), ==,
        0);
    wait_for(site);
    g_assert_cmpstr(site->asked, ==, "PUT /objects/k/n after=- watch=- rev=-");
    g_assert_cmpint(
        site->store->ops->remove(site->store, "k", "n", 5, &site->call), ==,
        0);
    wait_for(site);
    g_assert_cmpstr(site->asked, ==,
                    "DELETE /objects/k/n after=- watch=- rev=5");
    json_object_put(value);
}

TEST_F(site, refusals_have_their_own_errors)
{
    static const struct {
        int http;
        int status;
    } rows[] = {{404, -ENOENT}, {409, -EEXIST}, {410, -ESTALE},
                {429, -EBUSY},  {503, -EBUSY},  {500, -EPROTO}};

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        site->http = rows[i].http;
        g_assert_cmpint(list(site, NULL), ==, rows[i].status);
    }
}

TEST_F(site, answers_that_cannot_be_read_are_refused)
{
    static const char *const wrong[] = {
        "{",
        "[]",
        "{\"items\":7}",
        "{\"events\":{}}",
        "{\"events\":null,\"at\":4}",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
        site->body = wrong[i];
        g_assert_cmpint(list(site, NULL), ==, -EPROTO);
        g_assert_cmpuint(site->count, ==, 0);
    }
}

#define GOOD "{\"meta\":{\"name\":\"a\",\"rev\":3},\"spec\":{}}"

TEST_F(site, an_item_that_cannot_be_read_hides_no_other)
{
    static const char *const wrong[] = {
        "7", "null", "[]", "{}", "{\"meta\":{}}", "{\"meta\":{\"name\":7}}",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
        char body[256];

        g_snprintf(body, sizeof(body), "{\"items\":[%s," GOOD ",%s],\"at\":9}",
                   wrong[i], wrong[i]);
        site->body = body;
        g_assert_cmpint(list(site, NULL), ==, 0);
        g_assert_cmpstr(site->names, ==, "a ");
        g_assert_cmpuint(site->unreadable, ==, 2);
        g_snprintf(body, sizeof(body),
                   "{\"events\":[{\"object\":%s,\"deleted\":true},%s,"
                   "{\"object\":" GOOD "}],\"at\":9}",
                   wrong[i], wrong[i]);
        site->body = body;
        g_assert_cmpint(site->store->ops->watch(site->store, "k", 8, 1000,
                                                STORE_READ_LATEST,
                                                &site->call),
                        ==, 0);
        wait_for(site);
        g_assert_cmpstr(site->names, ==, "a ");
        g_assert_cmpuint(site->unreadable, ==, 2);
    }
}

TEST_F(site, a_store_that_is_gone_is_told_and_its_return_too)
{
    struct addr addr = httpd_addr(site->httpd);
    struct error err = {0};

    site->body = "{\"items\":[],\"at\":1}";
    g_assert_cmpint(list(site, NULL), ==, 0);
    httpd_free(site->httpd);
    g_assert_cmpint(list(site, NULL), <, 0);
    g_assert_cmpint(list(site, NULL), ==, -ECONNREFUSED);
    site->httpd = httpd_new(site->base, addr, &site->handler, &err);
    g_assert_nonnull(site->httpd);
    g_assert_cmpint(list(site, NULL), ==, 0);
}

TEST_F(site, one_call_at_a_time)
{
    g_assert_cmpint(site->store->ops->list(site->store, "k", NULL,
                                           STORE_READ_LATEST, &site->call),
                    ==, 0);
    g_assert_cmpint(site->store->ops->list(site->store, "k", NULL,
                                           STORE_READ_LATEST, &site->call),
                    ==, -EBUSY);
    wait_for(site);
}
