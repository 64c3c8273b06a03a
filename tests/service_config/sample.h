/**
 * DOC: sample - a good config for the tests of src/config
 */
#ifndef SWIFTARCH_TESTS_SERVICE_CONFIG_SAMPLE_H
#define SWIFTARCH_TESTS_SERVICE_CONFIG_SAMPLE_H

#include "lib/sample.h"

extern const char sample_config[];

/** sample_assert_same() - both hold the same services and source */
void
sample_assert_same(const struct service_config *a,
                   const struct service_config *b);

#endif
