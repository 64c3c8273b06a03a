/**
 * DOC: test_json_scan - paths and line numbers of keys
 */
#include <json-c/json.h>
#include <string.h>

#include "base/json_scan.h"
#include "lib/harness.h"

#define SUITE "/base/json-scan"

/* Lists all keys of @text, each as "line:path ". */
static char *
keys_of(const char *text)
{
    GString *out = g_string_new(NULL);
    struct json_scan scan;

    json_scan_init(&scan, text);
    while (json_scan_next(&scan))
        g_string_append_printf(out, "%u:%s ", scan.line, scan.path->str);
    json_scan_finish(&scan);
    return g_string_free(out, FALSE);
}

TEST(paths_and_lines)
{
    static const char *const cases[][2] = {
        {"{}", ""},
        {"{\"a\": 1, \"b\" : {\"c\": 2}, \"d\": 3}", "1:a 1:b 1:b.c 1:d "},
        {"{\"a\": [1, {\"b\": [2]},\n{\"b\": 3}],\n\"c\": []}",
         "1:a 1:a[1].b 2:a[2].b 3:c "},
        {"{\"a\": [[{\"b\": 1}], {\"c\": 1}]}", "1:a 1:a[0][0].b 1:a[1].c "},
        {"{\"a\": \"x\\\": {[,\", \"b\\\"\": \"c\"}", "1:a 1:b\\\" "},
        {"{\"a\": \"b\"\n, \"a\"\n: 1}", "1:a 2:a "},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *keys = keys_of(cases[i][0]);

        g_assert_cmpstr(keys, ==, cases[i][1]);
    }
}

static json_object *
random_value(unsigned depth, unsigned *keys)
{
    int kind = g_test_rand_int_range(0, depth > 4 ? 2 : 4);
    unsigned count = (unsigned)g_test_rand_int_range(0, 4);
    json_object *value;

    if (kind == 0)
        return json_object_new_int(7);
    if (kind == 1)
        return json_object_new_string("a\":{[,\\");
    value = kind == 2 ? json_object_new_array() : json_object_new_object();
    for (unsigned i = 0; i < count; i++) {
        char name[8];

        g_snprintf(name, sizeof(name), "k%u", i);
        if (kind == 2) {
            json_object_array_add(value, random_value(depth + 1, keys));
            continue;
        }
        json_object_object_add(value, name, random_value(depth + 1, keys));
        ++*keys;
    }
    return value;
}

/* Each key of a random text is found once, under a unique path. */
TEST(random_text)
{
    for (int i = 0; i < 500; i++) {
        GHashTable *paths =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        json_object *root = json_object_new_object();
        struct json_scan scan;
        unsigned count = 1;

        json_object_object_add(root, "root", random_value(0, &count));
        json_scan_init(&scan, json_object_to_json_string_ext(
                                  root, JSON_C_TO_STRING_PRETTY));
        while (json_scan_next(&scan))
            g_assert_true(g_hash_table_add(paths, g_strdup(scan.path->str)));
        g_assert_cmpuint(g_hash_table_size(paths), ==, count);
        json_scan_finish(&scan);
        json_object_put(root);
        g_hash_table_destroy(paths);
    }
}
