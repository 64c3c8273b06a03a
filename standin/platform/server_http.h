/**
 * DOC: server_http - answers of the stand-in platform, and what tests use
 */
#ifndef SWIFTARCH_STANDIN_SERVER_HTTP_H
#define SWIFTARCH_STANDIN_SERVER_HTTP_H

#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "standin/platform/server.h"

/** server_answer() - queue an answer; an ETag unless @version is 0 */
enum MHD_Result
server_answer(struct MHD_Connection *connection, unsigned status,
              uint64_t version, GBytes *value);

/** server_answer_text() - queue an answer for a person */
enum MHD_Result
server_answer_text(struct MHD_Connection *connection, unsigned status,
                   const char *text);

/** server_query_number() - whether the query has @key with a number */
bool
server_query_number(struct MHD_Connection *connection, const char *key,
                    uint64_t *number);

/** server_serve_fault() - PUT /fault */
enum MHD_Result
server_serve_fault(struct server *server, struct MHD_Connection *connection);

/** server_serve_stats() - GET /stats */
enum MHD_Result
server_serve_stats(struct server *server, struct MHD_Connection *connection);

#endif
