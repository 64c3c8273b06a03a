/**
 * DOC: sample - a good text for the tests of src/text
 */
#ifndef SWIFTARCH_TESTS_TEXT_SAMPLE_H
#define SWIFTARCH_TESTS_TEXT_SAMPLE_H

#include "lib/sample.h"

extern const char sample_text[];

/** sample_assert_same() - both hold the same services and source */
void
sample_assert_same(const struct text *a, const struct text *b);

#endif
