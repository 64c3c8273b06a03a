#include "agent/fields.h"

#include <string.h>
#include <strings.h>

static const char *const not_forwarded[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Connection",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    NULL,
};

/* Fields forwarded even when Connection lists them. */
static const char *const always_forwarded[] = {"Host", NULL};

static bool
name_in(const char *const *names, const char *name)
{
    for (; *names != NULL; names++) {
        if (strcasecmp(*names, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether @name is one of the comma-separated tokens of @list. */
static bool
token_in(const char *list, const char *name)
{
    size_t len = strlen(name);

    while (*list != '\0') {
        list += strspn(list, " \t,");
        size_t token = strcspn(list, " \t,");
        if (token == len && strncasecmp(list, name, len) == 0) {
            return true;
        }
        list += token;
    }
    return false;
}

static const struct field *
field_at(const struct fields *fields, size_t i)
{
    return &g_array_index(fields->items, struct field, i);
}

static size_t
fields_len(const struct fields *fields)
{
    return fields->items == NULL ? 0 : fields->items->len;
}

static bool
listed_in_connection(const struct fields *fields, const char *name)
{
    for (size_t i = 0; i < fields_len(fields); i++) {
        const struct field *field = field_at(fields, i);
        if (strcasecmp(field->name->str, "Connection") == 0 &&
            token_in(field->value->str, name)) {
            return true;
        }
    }
    return false;
}

void
fields_clear(struct fields *fields)
{
    for (size_t i = 0; i < fields_len(fields); i++) {
        const struct field *field = field_at(fields, i);
        g_string_free(field->name, TRUE);
        g_string_free(field->value, TRUE);
    }
    if (fields->items != NULL) {
        g_array_free(fields->items, TRUE);
    }
    *fields = (struct fields){0};
}

void
fields_add_name(struct fields *fields, const char *at, size_t len)
{
    if (fields->items == NULL) {
        fields->items = g_array_new(FALSE, FALSE, sizeof(struct field));
        fields->in_value = true;
    }
    if (fields->in_value) {
        struct field field = {g_string_new(NULL), g_string_new(NULL)};
        g_array_append_val(fields->items, field);
        fields->in_value = false;
    }
    const struct field *last = field_at(fields, fields->items->len - 1);
    g_string_append_len(last->name, at, (gssize)len);
    fields->bytes += len;
}

void
fields_add_value(struct fields *fields, const char *at, size_t len)
{
    if (fields_len(fields) == 0) {
        return;
    }
    const struct field *last = field_at(fields, fields->items->len - 1);
    g_string_append_len(last->value, at, (gssize)len);
    fields->in_value = true;
    fields->bytes += len;
}

const char *
fields_get(const struct fields *fields, const char *name)
{
    for (size_t i = 0; i < fields_len(fields); i++) {
        const struct field *field = field_at(fields, i);
        if (strcasecmp(field->name->str, name) == 0) {
            return field->value->str;
        }
    }
    return NULL;
}

size_t
fields_count(const struct fields *fields, const char *name)
{
    size_t count = 0;

    for (size_t i = 0; i < fields_len(fields); i++) {
        if (strcasecmp(field_at(fields, i)->name->str, name) == 0) {
            count++;
        }
    }
    return count;
}

void
fields_write(const struct fields *fields, const char *const *skip,
             GByteArray *out)
{
    for (size_t i = 0; i < fields_len(fields); i++) {
        const struct field *field = field_at(fields, i);
        const char *name = field->name->str;
        if (name_in(not_forwarded, name) || name_in(skip, name) ||
            (!name_in(always_forwarded, name) &&
             listed_in_connection(fields, name))) {
            continue;
        }
        g_byte_array_append(out, (const guint8 *)name,
                            (guint)field->name->len);
        g_byte_array_append(out, (const guint8 *)": ", 2);
        g_byte_array_append(out, (const guint8 *)field->value->str,
                            (guint)field->value->len);
        g_byte_array_append(out, (const guint8 *)"\r\n", 2);
    }
}
