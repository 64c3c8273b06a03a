#include "service_config/service_config.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "service_config/service_config_check.h"
#include "service_config/service_config_diag.h"
#include "service_config/service_config_index.h"

/* Copies the source without the white space around it. */
static int
copy_source(struct service_config *config, const char *source, size_t len)
{
    while (len > 0 && g_ascii_isspace(source[len - 1])) {
        len--;
    }
    while (len > 0 && g_ascii_isspace(*source)) {
        source++;
        len--;
    }
    config->source = malloc(len + 1);
    if (config->source == NULL) {
        return -ENOMEM;
    }
    memcpy(config->source, source, len);
    config->source[len] = '\0';
    config->source_len = len;
    return 0;
}

/* json-c takes an int length and doesn't validate UTF-8. */
static int
check_size_and_encoding(const char *source, size_t len,
                        struct service_config_diags *diags)
{
    const char *end;

    if (len > SERVICE_CONFIG_SIZE_MAX - SERVICE_CONFIG_ENVELOPE_MAX) {
        service_config_diags_add(
            diags, 1, NULL,
            "found %zu bytes, expected at most %u (a megabyte "
            "with the envelope it is published in)",
            len, SERVICE_CONFIG_SIZE_MAX - SERVICE_CONFIG_ENVELOPE_MAX);
        return -EFBIG;
    }
    if (!g_utf8_validate_len(source, len, &end)) {
        service_config_diags_add(
            diags, service_config_line_at(source, (size_t)(end - source)),
            NULL, "found the byte 0x%02x, expected UTF-8",
            (unsigned char)*end);
        return -EINVAL;
    }
    return 0;
}

static void
add_syntax_diag(const char *source, size_t len, size_t at, const char *what,
                struct service_config_diags *diags)
{
    uint32_t line = service_config_line_at(source, at < len ? at : len);

    if (at >= len) {
        service_config_diags_add(
            diags, line, NULL,
            "found the end of the file, expected more JSON");
        return;
    }
    if ((unsigned char)source[at] < ' ') {
        service_config_diags_add(diags, line, NULL,
                                 "found the byte 0x%02x, expected JSON (%s)",
                                 (unsigned char)source[at], what);
        return;
    }
    service_config_diags_add(
        diags, line, NULL, "found '%.*s', expected JSON (%s)",
        (int)(g_utf8_next_char(source + at) - (source + at)), source + at,
        what);
}

static struct json_object *
parse_json(const char *source, size_t len, struct service_config_diags *diags)
{
    struct json_tokener *tok = json_tokener_new_ex(SERVICE_CONFIG_DEPTH_MAX);
    struct json_object *root;
    enum json_tokener_error error;

    if (tok == NULL) {
        return NULL;
    }
    json_tokener_set_flags(tok, JSON_TOKENER_STRICT);
    root = json_tokener_parse_ex(tok, source, (int)len);
    error = json_tokener_get_error(tok);
    if (error == json_tokener_continue) {
        root = json_tokener_parse_ex(tok, "", 1);
        error = json_tokener_get_error(tok);
    }
    if (error != json_tokener_success) {
        add_syntax_diag(source, len,
                        error == json_tokener_error_parse_eof
                            ? len
                            : json_tokener_get_parse_end(tok),
                        json_tokener_error_desc(error), diags);
        json_object_put(root);
        root = NULL;
    }
    json_tokener_free(tok);
    return root;
}

static int
check_json(struct json_object *root, const char *source, size_t len,
           struct service_config_diags *diags, struct service_config *config)
{
    struct service_config_index index;
    size_t error_at;
    int rc = service_config_index_init(&index, source, len, &error_at);

    if (rc == -EINVAL) {
        add_syntax_diag(source, len, error_at, "RFC 8259", diags);
    }
    if (rc < 0) {
        return rc;
    }
    rc = service_config_check_services(root, &index, diags, config);
    service_config_index_finish(&index);
    return rc;
}

static int
parse(const char *source, size_t len, struct service_config_diags *diags,
      struct service_config *config)
{
    struct json_object *root;
    int rc = check_size_and_encoding(source, len, diags);

    if (rc < 0) {
        return rc;
    }
    root = parse_json(source, len, diags);
    if (root == NULL) {
        if (diags->count == 0) {
            service_config_diags_add(diags, 1, NULL,
                                     "found null, expected an object");
        }
        return -EINVAL;
    }
    rc = check_json(root, source, len, diags, config);
    json_object_put(root);
    if (rc == 0 && diags->count > 0) {
        rc = -EINVAL;
    }
    return rc;
}

int
service_config_parse(const char *source, size_t len, const char *name,
                     struct service_config **config, char **report)
{
    struct service_config_diags diags;
    struct service_config *parsed = calloc(1, sizeof(*parsed));
    int rc = -ENOMEM;

    *config = NULL;
    service_config_diags_init(&diags, name);
    if (parsed != NULL) {
        rc = parse(source, len, &diags, parsed);
    }
    if (rc == 0) {
        rc = copy_source(parsed, source, len);
    }
    if (rc == 0) {
        rc = service_config_lookup_build(parsed);
    }
    if (rc == 0) {
        *config = parsed;
    }
    else {
        service_config_free(parsed);
    }
    *report = service_config_diags_finish(&diags);
    return rc;
}

void
service_config_free(struct service_config *config)
{
    if (config == NULL) {
        return;
    }
    free(config->services);
    free(config->retired);
    free(config->slots);
    free(config->source);
    free(config);
}
