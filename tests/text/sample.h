/**
 * DOC: sample - a good text for the tests of src/text
 */
#ifndef SWIFTARCH_TESTS_TEXT_SAMPLE_H
#define SWIFTARCH_TESTS_TEXT_SAMPLE_H

#include "text/text.h"

extern const char sample_text[];

/** sample_parse() - parse what must be a good text */
struct text *
sample_parse(const char *source);

/** sample_assert_same() - both hold the same services and source */
void
sample_assert_same(const struct text *a, const struct text *b);

#endif
