#include "platform/tls.h"

#include <errno.h>
#include <event2/bufferevent_ssl.h>
#include <openssl/x509v3.h>
#include <string.h>

#include <glib.h>

static int
on_certificate(int ok, X509_STORE_CTX *store)
{
    SSL *ssl = X509_STORE_CTX_get_ex_data(
        store, SSL_get_ex_data_X509_STORE_CTX_idx());
    struct tls *tls = SSL_CTX_get_app_data(SSL_get_SSL_CTX(ssl));

    if (!ok) {
        tls->verify_error =
            X509_verify_cert_error_string(X509_STORE_CTX_get_error(store));
    }
    return ok;
}

/* Requires a certificate for the host name or address; sets SNI for a name. */
static bool
expect_host(SSL *ssl, const char *host)
{
    X509_VERIFY_PARAM *param = SSL_get0_param(ssl);

    if (g_hostname_is_ip_address(host)) {
        return X509_VERIFY_PARAM_set1_ip_asc(param, host) == 1;
    }
    return X509_VERIFY_PARAM_set1_host(param, host, strlen(host)) == 1 &&
           SSL_set_tlsext_host_name(ssl, host) == 1;
}

static struct bufferevent *
open_transport(struct httpc_transport *base, struct event_base *events)
{
    struct tls *tls = (struct tls *)base;
    struct bufferevent *bev;
    SSL *ssl = SSL_new(tls->context);

    tls->verify_error = NULL;
    if (ssl == NULL) {
        return NULL;
    }
    if (!expect_host(ssl, tls->host)) {
        SSL_free(ssl);
        return NULL;
    }
    bev = bufferevent_openssl_socket_new(
        events, -1, ssl, BUFFEREVENT_SSL_CONNECTING, BEV_OPT_CLOSE_ON_FREE);
    if (bev == NULL) {
        SSL_free(ssl);
        return NULL;
    }
    /* Accept a close without close_notify: HTTP delimits its own messages. */
    bufferevent_openssl_set_allow_dirty_shutdown(bev, 1);
    return bev;
}

static const struct httpc_transport_ops ops = {open_transport};

int
tls_init(struct tls *tls, const char *host)
{
    *tls = (struct tls){
        .base.ops = &ops,
        .context = SSL_CTX_new(TLS_client_method()),
    };
    if (tls->context == NULL) {
        return -ENOMEM;
    }
    tls->host = g_strdup(host);
    SSL_CTX_set_app_data(tls->context, tls);
    SSL_CTX_set_min_proto_version(tls->context, TLS1_2_VERSION);
    SSL_CTX_set_verify(tls->context, SSL_VERIFY_PEER, on_certificate);
    if (SSL_CTX_set_default_verify_paths(tls->context) != 1) {
        tls_finish(tls);
        return -ENOMEM;
    }
    return 0;
}

void
tls_finish(struct tls *tls)
{
    SSL_CTX_free(tls->context);
    g_free(tls->host);
    *tls = (struct tls){0};
}
