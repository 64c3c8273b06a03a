/**
 * DOC: sample - a valid config for the tests of src/service_config
 */
#ifndef SWIFTARCH_TESTS_SERVICE_CONFIG_SAMPLE_H
#define SWIFTARCH_TESTS_SERVICE_CONFIG_SAMPLE_H

#include "lib/sample.h"

/** Three services: tcp with limits and dependencies, one with defaults, udp.
 */
extern const char sample_config[];

/** sample_assert_same() - assert equal services, retired addresses and
 * sources; ignores line numbers and versions */
void
sample_assert_same(const struct service_config *a,
                   const struct service_config *b);

#endif
