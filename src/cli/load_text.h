/**
 * DOC: load_text - the operators' text from a file
 */
#ifndef SWIFTARCH_CLI_LOAD_TEXT_H
#define SWIFTARCH_CLI_LOAD_TEXT_H

#include "text/text.h"

/**
 * load_text() - read and parse a text; every fault goes to standard error
 * @path: file, "-" for standard input
 * @text: text_free() it after CLI_OK
 *
 * Return: CLI_OK or CLI_USAGE.
 */
int
load_text(const char *path, struct text **text);

#endif
