/**
 * DOC: tls - connections to the platform that are encrypted
 *
 * The peer must show a certificate for its name, signed by somebody whom the
 * host trusts ($SSL_CERT_FILE and $SSL_CERT_DIR, as for other programs).
 */
#ifndef SWIFTARCH_PLATFORM_TLS_H
#define SWIFTARCH_PLATFORM_TLS_H

#include <openssl/ssl.h>

#include "base/httpc.h"

/**
 * struct tls - transport to one peer
 * @base: for httpc
 * @context: OpenSSL's settings
 * @host: name or address that the certificate must hold
 * @verify_error: verify_error the last certificate was refused, NULL for not
 * at all
 */
struct tls {
    struct httpc_transport base;
    SSL_CTX *context;
    char *host;
    const char *verify_error;
};

/** tls_init() - 0 or -ENOMEM */
int
tls_init(struct tls *tls, const char *host);

/** tls_finish() - free; no client may use it any more */
void
tls_finish(struct tls *tls);

#endif
