#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "control/seeds.h"

char *
seeds_encode(const struct seed_list *list, size_t *len)
{
    struct json_object *root = json_object_new_object();
    struct json_object *members = json_object_new_array();
    char *text;

    for (size_t i = 0; i < list->count; i++) {
        const struct seed *seed = &list->items[i];
        struct json_object *item = json_object_new_object();
        char addr[ADDR_TEXT_MAX];

        json_object_object_add(item, "name",
                               json_object_new_string(seed->name));
        json_object_object_add(
            item, "control",
            json_object_new_string(addr_format(seed->control, addr)));
        json_object_object_add(item, "incarnation",
                               json_object_new_uint64(seed->incarnation));
        json_object_array_add(members, item);
    }
    json_object_object_add(root, "members", members);
    text = g_strdup(json_object_to_json_string(root));
    *len = strlen(text);
    json_object_put(root);
    return text;
}

static int
decode_seed(struct json_object *item, struct seed *seed)
{
    struct json_object *name;
    struct json_object *control;
    struct json_object *incarnation;
    const char *text;

    if (!json_object_object_get_ex(item, "name", &name) ||
        !json_object_object_get_ex(item, "control", &control) ||
        !json_object_object_get_ex(item, "incarnation", &incarnation) ||
        !json_object_is_type(name, json_type_string) ||
        !json_object_is_type(control, json_type_string) ||
        !json_object_is_type(incarnation, json_type_int))
        return -EINVAL;
    text = json_object_get_string(name);
    if (text[0] == '\0' || strlen(text) >= sizeof(seed->name))
        return -EINVAL;
    g_strlcpy(seed->name, text, sizeof(seed->name));
    seed->incarnation = json_object_get_uint64(incarnation);
    return addr_parse(json_object_get_string(control), &seed->control);
}

static int
decode_members(struct json_object *root, struct seed_list *list)
{
    struct json_object *members;

    if (!json_object_object_get_ex(root, "members", &members) ||
        !json_object_is_type(members, json_type_array) ||
        json_object_array_length(members) > SEEDS_MAX)
        return -EINVAL;
    for (size_t i = 0; i < json_object_array_length(members); i++) {
        struct json_object *item = json_object_array_get_idx(members, i);

        if (decode_seed(item, &list->items[i]) < 0)
            return -EINVAL;
        list->count++;
    }
    return 0;
}

int
seeds_decode(const char *value, size_t len, struct seed_list *list)
{
    struct json_tokener *tokener;
    struct json_object *root;
    int ret;

    memset(list, 0, sizeof(*list));
    if (len > SEEDS_VALUE_MAX)
        return -EINVAL;
    tokener = json_tokener_new();
    root = json_tokener_parse_ex(tokener, value, (int)len);
    json_tokener_free(tokener);
    if (root == NULL || !json_object_is_type(root, json_type_object))
        ret = -EINVAL;
    else
        ret = decode_members(root, list);
    json_object_put(root);
    if (ret < 0)
        memset(list, 0, sizeof(*list));
    return ret;
}
