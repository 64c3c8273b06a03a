/**
 * DOC: text_diff - what differs between two texts, for a person
 */
#ifndef SWIFTARCH_CLI_TEXT_DIFF_H
#define SWIFTARCH_CLI_TEXT_DIFF_H

#include <glib.h>

#include "text/text.h"

/**
 * text_diff() - add a line to @out for each difference
 * @from: one text, or NULL for none
 * @to: the other
 *
 * "+ NAME" is only in @to, "- NAME" only in @from, "~ NAME.KEY: A -> B" in
 * both.
 *
 * Return: number of differences.
 */
size_t
text_diff(const struct text *from, const struct text *to, GString *out);

#endif
