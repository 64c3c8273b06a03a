/**
 * DOC: tls_test - the client accepts only trusted certificates for its host
 */
#include <event2/bufferevent_ssl.h>
#include <event2/http.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <stdbool.h>
#include <unistd.h>

#include "lib/harness.h"
#include "platform/platform.h"

#define SUITE "/platform/tls"
#define DAY_S 86400L

/**
 * struct fixture - platform server with TLS, and its client
 * @call: call in progress; first member
 * @base: event loop of server and client
 * @server: HTTPS server
 * @context: TLS context of the server
 * @trusted: path of the file with the client's trusted certificate
 * @platform: client
 * @err: error of the last reply
 * @status: status of the last reply
 * @version: version in the last reply
 * @requests: requests that the server received
 */
struct fixture {
    struct platform_call call;
    struct event_base *base;
    struct evhttp *server;
    SSL_CTX *context;
    char *trusted;
    struct platform *platform;
    struct error err;
    int status;
    uint64_t version;
    unsigned requests;
};

static X509 *
make_certificate(EVP_PKEY *key, const char *names)
{
    X509 *cert = X509_new();
    X509_NAME *name = X509_get_subject_name(cert);
    X509_EXTENSION *extension =
        X509V3_EXT_conf_nid(NULL, NULL, NID_subject_alt_name, names);

    X509_set_version(cert, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(cert), 1);
    X509_gmtime_adj(X509_getm_notBefore(cert), -DAY_S);
    X509_gmtime_adj(X509_getm_notAfter(cert), DAY_S);
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                               (const unsigned char *)"platform", -1, -1, 0);
    X509_set_issuer_name(cert, name);
    X509_set_pubkey(cert, key);
    X509_add_ext(cert, extension, -1);
    X509_EXTENSION_free(extension);
    g_assert_cmpint(X509_sign(cert, key, EVP_sha256()), >, 0);
    return cert;
}

static void
trust(struct fixture *fixture, X509 *cert)
{
    int fd = g_file_open_tmp("trusted-XXXXXX", &fixture->trusted, NULL);
    FILE *file = fdopen(fd, "w");

    g_assert_nonnull(file);
    PEM_write_X509(file, cert);
    fclose(file);
    g_setenv("SSL_CERT_FILE", fixture->trusted, TRUE);
}

static struct bufferevent *
on_accept(struct event_base *base, void *data)
{
    struct fixture *fixture = data;

    return bufferevent_openssl_socket_new(base, -1, SSL_new(fixture->context),
                                          BUFFEREVENT_SSL_ACCEPTING,
                                          BEV_OPT_CLOSE_ON_FREE);
}

static void
on_request(struct evhttp_request *request, void *data)
{
    struct fixture *fixture = data;

    fixture->requests++;
    evhttp_add_header(evhttp_request_get_output_headers(request), "ETag",
                      "\"3\"");
    evhttp_send_reply(request, 200, "OK", NULL);
}

static void
on_done(struct platform_call *call, const struct platform_reply *reply)
{
    struct fixture *fixture = (struct fixture *)call;

    fixture->status = reply->status;
    fixture->version = reply->version;
    fixture->err = reply->error;
    event_base_loopbreak(fixture->base);
}

/* The server's certificate is for @names. The client trusts it, or only a
 * certificate for the same names with another key. */
static void
fixture_init(struct fixture *fixture, const char *names, bool trusted)
{
    EVP_PKEY *key = EVP_EC_gen("P-256");
    EVP_PKEY *other = EVP_EC_gen("P-256");
    X509 *cert = make_certificate(key, names);
    X509 *untrusted = make_certificate(other, names);
    struct evhttp_bound_socket *bound;
    g_autofree char *url = NULL;
    ev_uint16_t port;
    struct sockaddr_in addr = {0};
    socklen_t len = sizeof(addr);

    fixture->context = SSL_CTX_new(TLS_server_method());
    SSL_CTX_use_certificate(fixture->context, cert);
    SSL_CTX_use_PrivateKey(fixture->context, key);
    trust(fixture, trusted ? cert : untrusted);
    fixture->base = event_base_new();
    fixture->server = evhttp_new(fixture->base);
    evhttp_set_bevcb(fixture->server, on_accept, fixture);
    evhttp_set_gencb(fixture->server, on_request, fixture);
    bound = evhttp_bind_socket_with_handle(fixture->server, "127.0.0.1", 0);
    g_assert_cmpint(getsockname(evhttp_bound_socket_get_fd(bound),
                                (struct sockaddr *)&addr, &len),
                    ==, 0);
    port = ntohs(addr.sin_port);
    url = g_strdup_printf("https://127.0.0.1:%u", port);
    fixture->platform = platform_new(fixture->base, url, &fixture->err);
    g_assert_nonnull(fixture->platform);
    fixture->call.done = on_done;
    X509_free(cert);
    X509_free(untrusted);
    EVP_PKEY_free(key);
    EVP_PKEY_free(other);
}

static void
fixture_finish(struct fixture *fixture)
{
    platform_free(fixture->platform);
    evhttp_free(fixture->server);
    event_base_free(fixture->base);
    SSL_CTX_free(fixture->context);
    unlink(fixture->trusted);
    g_free(fixture->trusted);
}

static void
get(struct fixture *fixture)
{
    g_assert_cmpint(platform_get(fixture->platform, "config", &fixture->call),
                    ==, 0);
    event_base_dispatch(fixture->base);
}

TEST_F(fixture, a_trusted_certificate_is_accepted, "IP:127.0.0.1", true)
{
    get(fixture);
    g_assert_cmpint(fixture->status, ==, 0);
    g_assert_cmpuint(fixture->version, ==, 3);
    get(fixture);
    g_assert_cmpuint(fixture->requests, ==, 2);
}

TEST_F(fixture, a_certificate_for_another_name_is_rejected, "DNS:elsewhere",
       true)
{
    get(fixture);
    g_assert_cmpint(fixture->status, <, 0);
    g_assert_cmpuint(fixture->requests, ==, 0);
    g_assert_nonnull(strstr(fixture->err.detail, "mismatch"));
}

TEST_F(fixture, an_untrusted_certificate_is_rejected, "IP:127.0.0.1", false)
{
    get(fixture);
    g_assert_cmpint(fixture->status, <, 0);
    g_assert_cmpuint(fixture->requests, ==, 0);
    g_assert_nonnull(strstr(fixture->err.detail, "self-signed"));
}
