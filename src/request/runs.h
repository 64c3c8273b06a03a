/**
 * DOC: runs - handles the end of runs on the local upstream
 */
#ifndef SWIFTARCH_REQUEST_RUNS_H
#define SWIFTARCH_REQUEST_RUNS_H

#include "request/state.h"

/** runs_end() - process the end of the run of @entry; @answer as sent by
 * the upstream */
void
runs_end(struct engine *engine, struct entry *entry, enum engine_upstream how,
         const uint8_t *answer, size_t answer_len);

/** runs_failed() - record a failed run of the local upstream; ejects it
 * after repeated failures if the peers have capacity and no dependency is
 * down */
void
runs_failed(struct engine *engine);

#endif
