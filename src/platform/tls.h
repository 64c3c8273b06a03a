/**
 * DOC: tls - TLS transport of connections to the platform
 *
 * The peer needs a certificate for its name, signed by an authority that the
 * host trusts (OpenSSL's defaults, $SSL_CERT_FILE and $SSL_CERT_DIR).
 */
#ifndef SWIFTARCH_PLATFORM_TLS_H
#define SWIFTARCH_PLATFORM_TLS_H

#include <openssl/ssl.h>

#include "base/httpc.h"

/**
 * struct tls - transport to one peer
 * @base: operations for httpc; first member
 * @context: OpenSSL context
 * @host: name or address that the certificate must contain
 * @verify_error: why the last certificate was rejected, or NULL
 */
struct tls {
    struct httpc_transport base;
    SSL_CTX *context;
    char *host;
    const char *verify_error;
};

/** tls_init() - set up the transport to @host; 0 or -ENOMEM */
int
tls_init(struct tls *tls, const char *host);

/** tls_finish() - free; no connection may use the transport any more */
void
tls_finish(struct tls *tls);

#endif
