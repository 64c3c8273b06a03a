/**
 * DOC: runs - what the end of a run on the local upstream means
 */
#ifndef SWIFTARCH_REQUEST_RUNS_H
#define SWIFTARCH_REQUEST_RUNS_H

#include "request/state.h"

/** runs_end() - the run of @entry ended; @answer as the upstream sent it */
void
runs_end(struct engine *engine, struct entry *entry, enum engine_upstream how,
         const uint8_t *answer, size_t answer_len);

/** runs_failed() - the local upstream lost, cut or hung a run: it is shunned
 * if that goes on, the peers have room, and no dependency is to blame */
void
runs_failed(struct engine *engine);

#endif
