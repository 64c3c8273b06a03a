#include "text/text.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "base/hash.h"
#include "text/text_check.h"
#include "text/text_fault.h"
#include "text/text_index.h"

#define SLOT_NONE UINT16_MAX

/**
 * struct text_slot - one slot of the hash table, by id and by address
 * @id: index of the service whose id falls here or nearby, or SLOT_NONE
 * @addr: the same for its address
 */
struct text_slot {
    uint16_t id;
    uint16_t addr;
};

static uint32_t
addr_hash(uint32_t ip, uint16_t port, enum text_proto proto)
{
    return (uint32_t)hash_pair(ip, (uint64_t)port << 8 | (uint64_t)proto);
}

static void
fill_slots(struct text *text)
{
    for (size_t i = 0; i < text->count; i++) {
        const struct text_service *service = &text->services[i];
        uint32_t at = service->id & text->slot_mask;

        while (text->slots[at].id != SLOT_NONE) {
            at = (at + 1) & text->slot_mask;
        }
        text->slots[at].id = (uint16_t)i;
        at = addr_hash(service->ip, service->port, service->proto) &
             text->slot_mask;
        while (text->slots[at].addr != SLOT_NONE) {
            at = (at + 1) & text->slot_mask;
        }
        text->slots[at].addr = (uint16_t)i;
    }
}

static int
build_slots(struct text *text)
{
    uint32_t size = 16;

    while (size < 2 * text->count) {
        size *= 2;
    }
    text->slots = malloc(size * sizeof(*text->slots));
    if (text->slots == NULL) {
        return -ENOMEM;
    }
    memset(text->slots, 0xff, size * sizeof(*text->slots));
    text->slot_mask = size - 1;
    fill_slots(text);
    return 0;
}

/* White space around the text isn't published, so it isn't kept. */
static int
keep_source(struct text *text, const char *source, size_t len)
{
    while (len > 0 && g_ascii_isspace(source[len - 1])) {
        len--;
    }
    while (len > 0 && g_ascii_isspace(*source)) {
        source++;
        len--;
    }
    text->source = malloc(len + 1);
    if (text->source == NULL) {
        return -ENOMEM;
    }
    memcpy(text->source, source, len);
    text->source[len] = '\0';
    text->source_len = len;
    return 0;
}

/* Size and encoding, which must hold before json-c sees the source. */
static int
check_raw(const char *source, size_t len, struct text_faults *faults)
{
    const char *end;

    if (len > TEXT_SIZE_MAX - TEXT_ENVELOPE_MAX) {
        text_faults_add(faults, 1, NULL,
                        "found %zu bytes, expected at most %u (a megabyte "
                        "with the envelope it is published in)",
                        len, TEXT_SIZE_MAX - TEXT_ENVELOPE_MAX);
        return -EFBIG;
    }
    if (!g_utf8_validate_len(source, len, &end)) {
        text_faults_add(faults, text_line_of(source, (size_t)(end - source)),
                        NULL, "found the byte 0x%02x, expected UTF-8",
                        (unsigned char)*end);
        return -EINVAL;
    }
    return 0;
}

static void
syntax_fault(const char *source, size_t len, size_t at, const char *what,
             struct text_faults *faults)
{
    uint32_t line = text_line_of(source, at < len ? at : len);

    if (at >= len) {
        text_faults_add(faults, line, NULL,
                        "found the end of the file, expected more JSON");
        return;
    }
    if ((unsigned char)source[at] < ' ') {
        text_faults_add(faults, line, NULL,
                        "found the byte 0x%02x, expected JSON (%s)",
                        (unsigned char)source[at], what);
        return;
    }
    text_faults_add(faults, line, NULL, "found '%.*s', expected JSON (%s)",
                    (int)(g_utf8_next_char(source + at) - (source + at)),
                    source + at, what);
}

static struct json_object *
parse_json(const char *source, size_t len, struct text_faults *faults)
{
    struct json_tokener *tok = json_tokener_new_ex(TEXT_DEPTH_MAX);
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
        syntax_fault(source, len,
                     error == json_tokener_error_parse_eof
                         ? len
                         : json_tokener_get_parse_end(tok),
                     json_tokener_error_desc(error), faults);
        json_object_put(root);
        root = NULL;
    }
    json_tokener_free(tok);
    return root;
}

static int
check_json(struct json_object *root, const char *source, size_t len,
           struct text_faults *faults, struct text *text)
{
    struct text_index index;
    size_t bad;
    int rc = text_index_init(&index, source, len, &bad);

    if (rc == -EINVAL) {
        syntax_fault(source, len, bad, "RFC 8259", faults);
    }
    if (rc < 0) {
        return rc;
    }
    rc = text_check_services(root, &index, faults, text);
    text_index_finish(&index);
    return rc;
}

static int
parse(const char *source, size_t len, struct text_faults *faults,
      struct text *text)
{
    struct json_object *root;
    int rc = check_raw(source, len, faults);

    if (rc < 0) {
        return rc;
    }
    root = parse_json(source, len, faults);
    if (root == NULL) {
        if (faults->count == 0) {
            text_faults_add(faults, 1, NULL, "found null, expected an object");
        }
        return -EINVAL;
    }
    rc = check_json(root, source, len, faults, text);
    json_object_put(root);
    if (rc == 0 && faults->count > 0) {
        rc = -EINVAL;
    }
    return rc;
}

int
text_parse(const char *source, size_t len, const char *name,
           struct text **text, char **report)
{
    struct text_faults faults;
    struct text *parsed = calloc(1, sizeof(*parsed));
    int rc = -ENOMEM;

    *text = NULL;
    text_faults_init(&faults, name);
    if (parsed != NULL) {
        rc = parse(source, len, &faults, parsed);
    }
    if (rc == 0) {
        rc = keep_source(parsed, source, len);
    }
    if (rc == 0) {
        rc = build_slots(parsed);
    }
    if (rc == 0) {
        *text = parsed;
    }
    else {
        text_free(parsed);
    }
    *report = text_faults_finish(&faults);
    return rc;
}

void
text_free(struct text *text)
{
    if (text == NULL) {
        return;
    }
    free(text->services);
    free(text->retired);
    free(text->slots);
    free(text->source);
    free(text);
}

const char *text_class_name(enum text_class class)
{
    return class == TEXT_URGENT ? "urgent" : "ordinary";
}

const char *
text_proto_name(enum text_proto proto)
{
    return proto == TEXT_UDP ? "udp" : "tcp";
}

const struct text_service *
text_find_name(const struct text *text, const char *name)
{
    for (size_t i = 0; i < text->count; i++) {
        if (strcmp(text->services[i].name, name) == 0) {
            return &text->services[i];
        }
    }
    return NULL;
}

const struct text_service *
text_find(const struct text *text, uint32_t id)
{
    uint32_t at = id & text->slot_mask;

    while (text->slots[at].id != SLOT_NONE) {
        const struct text_service *service =
            &text->services[text->slots[at].id];

        if (service->id == id) {
            return service;
        }
        at = (at + 1) & text->slot_mask;
    }
    return NULL;
}

const struct text_service *
text_find_served(const struct text *text, uint32_t id)
{
    const struct text_service *service = text_find(text, id);

    /* The one retired last tells what the service was in the end. */
    for (size_t i = text->retired_count; service == NULL && i-- > 0;) {
        if (text->retired[i].service.id == id) {
            service = &text->retired[i].service;
        }
    }
    return service;
}

const struct text_retired *
text_find_retired(const struct text *text, uint32_t ip, uint16_t port,
                  enum text_proto proto)
{
    for (size_t i = 0; i < text->retired_count; i++) {
        const struct text_service *service = &text->retired[i].service;

        if (service->ip == ip && service->port == port &&
            service->proto == proto) {
            return &text->retired[i];
        }
    }
    return NULL;
}

const struct text_service *
text_find_addr(const struct text *text, uint32_t ip, uint16_t port,
               enum text_proto proto)
{
    uint32_t at = addr_hash(ip, port, proto) & text->slot_mask;

    while (text->slots[at].addr != SLOT_NONE) {
        const struct text_service *service =
            &text->services[text->slots[at].addr];

        if (service->ip == ip && service->port == port &&
            service->proto == proto) {
            return service;
        }
        at = (at + 1) & text->slot_mask;
    }
    return NULL;
}
