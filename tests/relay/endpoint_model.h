/**
 * DOC: endpoint_model - an endpoint that runs some requests at a time, queues
 * a few more in order of arrival and rejects the others at once
 */
#ifndef SWIFTARCH_TESTS_RELAY_ENDPOINT_MODEL_H
#define SWIFTARCH_TESTS_RELAY_ENDPOINT_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#define ENDPOINT_MODEL_MAX 64

/**
 * struct endpoint_model - the endpoint
 * @slots: requests that it runs at a time
 * @takes: requests that it takes at a time, queued ones included
 * @service_us: time of a request
 * @handles: requests that it has, in order of arrival
 * @end_us: when each ends, 0 for those queued
 * @count: number of these
 */
struct endpoint_model {
    unsigned slots;
    unsigned takes;
    uint64_t service_us;
    uint32_t handles[ENDPOINT_MODEL_MAX];
    uint64_t end_us[ENDPOINT_MODEL_MAX];
    unsigned count;
};

/** endpoint_model_take() - give it a request; false if it rejects it */
bool
endpoint_model_take(struct endpoint_model *model, uint32_t handle,
                    uint64_t now_us);

/** endpoint_model_next_us() - when the next request ends, UINT64_MAX if none
 * runs */
uint64_t
endpoint_model_next_us(const struct endpoint_model *model);

/** endpoint_model_end() - end the request that is due and return it */
uint32_t
endpoint_model_end(struct endpoint_model *model, uint64_t now_us);

#endif
