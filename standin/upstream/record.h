/**
 * DOC: record - what the upstream ran, as JSON lines flushed at once
 */
#ifndef SWIFTARCH_STANDIN_UPSTREAM_RECORD_H
#define SWIFTARCH_STANDIN_UPSTREAM_RECORD_H

#include <stdint.h>

#include "standin/upstream/config.h"

#define RECORD_TEXT_MAX 256

/**
 * struct record_run - one request
 * @id: X-Request-Id as it came
 * @key: Idempotency-Key, or empty
 * @method: its method
 * @host: Host field as it came
 * @start_us: CLOCK_MONOTONIC when its run began
 */
struct record_run {
    char id[RECORD_TEXT_MAX];
    char key[RECORD_TEXT_MAX];
    char method[32];
    char host[RECORD_TEXT_MAX];
    uint64_t start_us;
};

/** record_open() - append to config->record; 0 or negative errno */
int
record_open(const struct config *config);

/** record_write() - one line; @event is start, end, cancelled or shed,
 * @end_us 0 while it runs */
void
record_write(const struct record_run *run, const char *event, uint64_t end_us);

/** record_close() - close the file */
void
record_close(void);

#endif
