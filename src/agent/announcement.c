#include <errno.h>
#include <json-c/json.h>
#include <string.h>

#include "agent/upstream.h"

static int
key_error(struct error *err, const char *key, const char *expected)
{
    return error_set(err, -EINVAL, "announce", key, "expected %s", expected);
}

static json_object *
json_member(json_object *root, const char *key, json_type type)
{
    json_object *value;

    if (!json_object_object_get_ex(root, key, &value) ||
        !json_object_is_type(value, type)) {
        return NULL;
    }
    return value;
}

static int
parse_state(const char *text, enum member_state *state)
{
    if (strcmp(text, "warming") == 0) {
        *state = MEMBER_WARMING;
    }
    else if (strcmp(text, "ready") == 0) {
        *state = MEMBER_READY;
    }
    else if (strcmp(text, "draining") == 0) {
        *state = MEMBER_DRAINING;
    }
    else {
        return -EINVAL;
    }
    return 0;
}

static int
read_members(json_object *root, struct announcement *out, struct error *err)
{
    json_object *service = json_member(root, "service", json_type_string);
    json_object *address = json_member(root, "address", json_type_string);
    json_object *slots = json_member(root, "slots", json_type_int);
    json_object *state = json_member(root, "state", json_type_string);

    if (service == NULL || json_object_get_string_len(service) == 0 ||
        json_object_get_string_len(service) >= UPSTREAM_NAME_MAX) {
        return key_error(err, "service", "the name of a service");
    }
    memcpy(out->service, json_object_get_string(service),
           (size_t)json_object_get_string_len(service) + 1);
    if (address == NULL ||
        addr_parse(json_object_get_string(address), &out->addr) < 0 ||
        out->addr.port == 0) {
        return key_error(err, "address", "IP:PORT");
    }
    if (slots == NULL || json_object_get_int64(slots) < 1 ||
        json_object_get_int64(slots) > UPSTREAM_SLOTS_MAX) {
        return key_error(err, "slots", "a number from 1 to 1024");
    }
    out->slots = (uint16_t)json_object_get_int64(slots);
    if (state == NULL ||
        parse_state(json_object_get_string(state), &out->state) < 0) {
        return key_error(err, "state", "warming, ready or draining");
    }
    return 0;
}

int
announcement_parse(const char *body, size_t len, struct announcement *out,
                   struct error *err)
{
    json_tokener *tokener = json_tokener_new();
    json_object *root = NULL;
    int ret;

    *out = (struct announcement){0};
    if (tokener == NULL) {
        return error_set(err, -ENOMEM, "announce", NULL, "out of memory");
    }
    if (len <= HTTPD_BODY_MAX) {
        root = json_tokener_parse_ex(tokener, body, (int)len);
    }
    if (root == NULL || !json_object_is_type(root, json_type_object)) {
        ret = key_error(err, "body", "a JSON object");
    }
    else {
        ret = read_members(root, out, err);
    }
    json_object_put(root);
    json_tokener_free(tokener);
    return ret;
}
