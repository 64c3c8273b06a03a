/**
 * DOC: text_fault - the faults found in a text, collected into one report
 */
#ifndef SWIFTARCH_TEXT_TEXT_FAULT_H
#define SWIFTARCH_TEXT_TEXT_FAULT_H

#include <glib.h>
#include <json-c/json.h>
#include <stddef.h>
#include <stdint.h>

#define TEXT_FAULTS_MAX 1000 /* listed one by one; the rest are counted */
#define TEXT_FOUND_MAX 64
#define TEXT_PATH_MAX 160

/**
 * struct text_fault - one fault
 * @line: where
 * @order: place among the faults found
 * @sentence: the rest of its line, owned
 */
struct text_fault {
    uint32_t line;
    uint32_t order;
    char *sentence;
};

/**
 * struct text_faults - report under construction
 * @name: file name for messages
 * @lines: struct text_fault, TEXT_FAULTS_MAX at most
 * @count: faults found
 */
struct text_faults {
    const char *name;
    GArray *lines;
    size_t count;
};

/** text_faults_init() - no fault yet */
void
text_faults_init(struct text_faults *faults, const char *name);

/**
 * text_faults_add() - add "name:line: key: sentence"
 * @key: path of the key, empty or NULL for the file as a whole
 */
void
text_faults_add(struct text_faults *faults, uint32_t line, const char *key,
                const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/**
 * text_faults_finish() - end the report, sorted by line
 *
 * Return: the report (g_free() it), or NULL when there was no fault.
 */
char *
text_faults_finish(struct text_faults *faults);

/** text_found() - a value in a few words; @buf has TEXT_FOUND_MAX bytes */
const char *
text_found(struct json_object *value, char *buf);

#endif
