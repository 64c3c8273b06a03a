#include "text/text_check.h"
#include "text/text_value.h"

#include <stdlib.h>
#include <string.h>

#define CYCLES_MAX 100 /* named one by one */

/** enum mark - how far the search for cycles has come with a service */
enum mark { MARK_NEW, MARK_OPEN, MARK_DONE };

/**
 * struct walk - search for cycles
 * @text: services with their dependencies
 * @lines: line of each service's list
 * @marks: one for each service
 * @path: services being followed
 * @depth: how many
 * @cycles: cycles found
 */
struct walk {
    const struct text *text;
    struct text_faults *faults;
    uint32_t *lines;
    uint8_t *marks;
    uint16_t *path;
    size_t depth;
    size_t cycles;
};

static GHashTable *
names_of(const struct text *text)
{
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

    for (size_t i = 0; i < text->count; i++) {
        char *name = text->services[i].name;

        if (name[0] != '\0' && !g_hash_table_contains(names, name)) {
            g_hash_table_insert(names, name, GUINT_TO_POINTER(i));
        }
    }
    return names;
}

static bool
depends_already(const struct text_service *service, uint16_t on)
{
    for (size_t i = 0; i < service->depends_count; i++) {
        if (service->depends[i] == on) {
            return true;
        }
    }
    return false;
}

/* One name of a "depends_on" list; what was found wrong, or NULL. */
static const char *
add_dependency(struct text_service *service, GHashTable *names,
               struct json_object *value)
{
    const char *name = text_value_bytes(value);
    gpointer other;

    if (name == NULL) {
        return "the name of a service, a string";
    }
    if (!g_hash_table_lookup_extended(names, name, NULL, &other)) {
        return "the name of a service of this text";
    }
    if (depends_already(service, (uint16_t)GPOINTER_TO_UINT(other))) {
        return "each name once";
    }
    service->depends[service->depends_count++] =
        (uint16_t)GPOINTER_TO_UINT(other);
    return NULL;
}

static void
read_names(struct json_object *list, const struct text_index *index,
           uint32_t node, struct text_faults *faults, GHashTable *names,
           struct text *text, size_t i)
{
    char path[TEXT_PATH_MAX];
    char found[TEXT_FOUND_MAX];
    size_t count = json_object_array_length(list);
    uint32_t child = index->nodes[node].first;

    for (size_t j = 0; j < count; j++) {
        struct json_object *value = json_object_array_get_idx(list, j);
        const char *expected =
            add_dependency(&text->services[i], names, value);

        if (expected != NULL) {
            g_snprintf(path, sizeof(path), "services[%zu].depends_on[%zu]", i,
                       j);
            text_faults_add(faults, index->nodes[child].line, path,
                            "found %s, expected %s", text_found(value, found),
                            expected);
        }
        child = index->nodes[child].next;
    }
}

static void
read_depends(struct json_object *service, const struct text_index *index,
             uint32_t node, struct text_faults *faults, GHashTable *names,
             struct text *text, size_t i)
{
    char path[TEXT_PATH_MAX];
    char found[TEXT_FOUND_MAX];
    struct json_object *list;

    if (!json_object_is_type(service, json_type_object) ||
        !json_object_object_get_ex(service, "depends_on", &list)) {
        return;
    }
    g_snprintf(path, sizeof(path), "services[%zu].depends_on", i);
    if (!json_object_is_type(list, json_type_array)) {
        text_faults_add(faults, index->nodes[node].line, path,
                        "found %s, expected a list of names",
                        text_found(list, found));
    }
    else if (json_object_array_length(list) > TEXT_DEPENDS_MAX) {
        text_faults_add(faults, index->nodes[node].line, path,
                        "found %zu names, expected at most %d",
                        json_object_array_length(list), TEXT_DEPENDS_MAX);
    }
    else {
        read_names(list, index, node, faults, names, text, i);
    }
}

static void
report_cycle(struct walk *walk, uint16_t back_to)
{
    GString *names = g_string_new(NULL);
    char path[TEXT_PATH_MAX];
    uint16_t last = walk->path[walk->depth - 1];
    size_t at = 0;

    while (walk->path[at] != back_to) {
        at++;
    }
    for (; at < walk->depth; at++) {
        g_string_append_printf(names, "%s -> ",
                               walk->text->services[walk->path[at]].name);
    }
    g_string_append(names, walk->text->services[back_to].name);
    g_snprintf(path, sizeof(path), "services[%u].depends_on", last);
    text_faults_add(walk->faults, walk->lines[last], path,
                    "found the cycle %s, expected no cycle", names->str);
    g_string_free(names, TRUE);
}

static void
follow(struct walk *walk, uint16_t at)
{
    const struct text_service *service = &walk->text->services[at];

    walk->marks[at] = MARK_OPEN;
    walk->path[walk->depth++] = at;
    for (size_t i = 0; i < service->depends_count; i++) {
        uint16_t next = service->depends[i];

        if (walk->marks[next] == MARK_OPEN) {
            if (++walk->cycles <= CYCLES_MAX) {
                report_cycle(walk, next);
            }
        }
        else if (walk->marks[next] == MARK_NEW) {
            follow(walk, next);
        }
    }
    walk->depth--;
    walk->marks[at] = MARK_DONE;
}

static void
find_cycles(const struct text *text, struct text_faults *faults,
            uint32_t *lines)
{
    struct walk walk = {
        .text = text,
        .faults = faults,
        .lines = lines,
        .marks = g_new0(uint8_t, text->count),
        .path = g_new0(uint16_t, text->count),
    };

    for (size_t i = 0; i < text->count; i++) {
        if (walk.marks[i] == MARK_NEW) {
            follow(&walk, (uint16_t)i);
        }
    }
    if (walk.cycles > CYCLES_MAX) {
        text_faults_add(faults, lines[0], "services",
                        "found %zu more cycles, expected no cycle",
                        walk.cycles - CYCLES_MAX);
    }
    g_free(walk.marks);
    g_free(walk.path);
}

void
text_check_depends(struct json_object *services,
                   const struct text_index *index, uint32_t node,
                   struct text_faults *faults, struct text *text)
{
    GHashTable *names = names_of(text);
    uint32_t *lines = g_new0(uint32_t, text->count);
    uint32_t child = index->nodes[node].first;

    for (size_t i = 0; i < text->count; i++) {
        struct json_object *service = json_object_array_get_idx(services, i);
        uint32_t list = text_index_child(index, child, "depends_on");

        lines[i] = index->nodes[list != 0 ? list : child].line;
        read_depends(service, index, list, faults, names, text, i);
        child = index->nodes[child].next;
    }
    find_cycles(text, faults, lines);
    g_free(lines);
    g_hash_table_destroy(names);
}
