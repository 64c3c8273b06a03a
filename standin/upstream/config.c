#include "standin/upstream/config.h"

#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define SLOTS_MAX 1024
#define SECONDS_MAX 86400
#define MS_MAX 60000
#define SIGMA_MAX 3
#define FACTOR_MAX 1000

/** struct reader - state of one check */
struct reader {
    const char *path;
    int faults;
};

static const char *const fault_names[] = {
    [FAULT_NONE] = "none", [FAULT_DOUBLE] = "double", [FAULT_SHORT] = "short",
    [FAULT_LATE] = "late", [FAULT_REFUSE] = "refuse", [FAULT_SLOW] = "slow",
    [FAULT_LIE] = "lie",
};

static const char *const known_keys[] = {
    "listen", "agent",      "name",          "service",
    "slots",  "queue",      "record",        "seed",
    "state",  "service_ms", "fault",         "fault_share",
    "fault",  "warming_s",  "drain_after_s", "slow_factor",
};

static void
fault(struct reader *reader, const char *key, json_object *found,
      const char *expected)
{
    fprintf(stderr, "%s: %s: found %s, expected %s\n", reader->path, key,
            found == NULL ? "nothing" : json_object_to_json_string(found),
            expected);
    reader->faults++;
}

static json_object *
get(json_object *root, const char *key)
{
    json_object *value = NULL;

    json_object_object_get_ex(root, key, &value);
    return value;
}

static void
read_text(struct reader *reader, json_object *root, const char *key,
          bool required, char *out, size_t size)
{
    json_object *value = get(root, key);

    if (value == NULL && !required) {
        return;
    }
    if (!json_object_is_type(value, json_type_string) ||
        (required && json_object_get_string_len(value) == 0) ||
        (size_t)json_object_get_string_len(value) >= size ||
        strpbrk(json_object_get_string(value), "\"\\\r\n") != NULL) {
        fault(reader, key, value, "a text without quotes or line ends");
        return;
    }
    snprintf(out, size, "%s", json_object_get_string(value));
}

static void
read_addr(struct reader *reader, json_object *root, const char *key,
          struct addr *out)
{
    json_object *value = get(root, key);

    if (!json_object_is_type(value, json_type_string) ||
        addr_parse(json_object_get_string(value), out) < 0) {
        fault(reader, key, value, "\"IP:PORT\"");
    }
}

static void
read_number(struct reader *reader, json_object *root, const char *key,
            double min, double max, double *out)
{
    json_object *value = get(root, key);
    char expected[64];

    if (value == NULL) {
        return;
    }
    if ((!json_object_is_type(value, json_type_int) &&
         !json_object_is_type(value, json_type_double)) ||
        json_object_get_double(value) < min ||
        json_object_get_double(value) > max) {
        snprintf(expected, sizeof(expected), "a number from %g to %g", min,
                 max);
        fault(reader, key, value, expected);
        return;
    }
    *out = json_object_get_double(value);
}

static void
read_count(struct reader *reader, json_object *root, const char *key,
           unsigned min, unsigned max, unsigned *out)
{
    double number = *out;
    json_object *value = get(root, key);

    if (value != NULL && !json_object_is_type(value, json_type_int)) {
        fault(reader, key, value, "a whole number");
        return;
    }
    read_number(reader, root, key, min, max, &number);
    *out = (unsigned)number;
}

static void
read_fault(struct reader *reader, json_object *root, struct config *config)
{
    json_object *value = get(root, "fault");

    if (value == NULL) {
        return;
    }
    for (size_t i = 0; i < sizeof(fault_names) / sizeof(*fault_names); i++) {
        if (json_object_is_type(value, json_type_string) &&
            strcmp(json_object_get_string(value), fault_names[i]) == 0) {
            config->fault = (enum fault)i;
            return;
        }
    }
    fault(reader, "fault", value,
          "none, double, short, late, refuse, slow or lie");
}

static void
read_state(struct reader *reader, json_object *root, struct config *config)
{
    json_object *value = get(root, "state");
    const char *text = json_object_get_string(value);

    if (value == NULL || strcmp(text, "ready") == 0) {
        return;
    }
    if (strcmp(text, "draining") == 0) {
        config->draining = true;
        return;
    }
    fault(reader, "state", value, "ready or draining");
}

static void
read_service_ms(struct reader *reader, json_object *root,
                struct config *config)
{
    json_object *value = get(root, "service_ms");

    if (value == NULL) {
        return;
    }
    if (!json_object_is_type(value, json_type_object)) {
        fault(reader, "service_ms", value, "an object of mean and sigma");
        return;
    }
    read_number(reader, value, "mean", 0, MS_MAX, &config->mean_ms);
    read_number(reader, value, "sigma", 0, SIGMA_MAX, &config->sigma);
    json_object_object_foreach(value, key, member)
    {
        if (strcmp(key, "mean") != 0 && strcmp(key, "sigma") != 0) {
            fault(reader, key, member, "only mean and sigma here");
        }
    }
}

static void
check_keys(struct reader *reader, json_object *root)
{
    json_object_object_foreach(root, key, value)
    {
        bool known = false;
        for (size_t i = 0; i < sizeof(known_keys) / sizeof(*known_keys); i++) {
            known = known || strcmp(key, known_keys[i]) == 0;
        }
        if (!known) {
            fault(reader, key, value, "no such key");
        }
    }
}

static void
read_all(struct reader *reader, json_object *root, struct config *config)
{
    double seed = 1;

    check_keys(reader, root);
    read_addr(reader, root, "listen", &config->listen);
    read_addr(reader, root, "agent", &config->agent);
    read_text(reader, root, "name", true, config->name, sizeof(config->name));
    read_text(reader, root, "service", true, config->service,
              sizeof(config->service));
    read_text(reader, root, "record", false, config->record,
              sizeof(config->record));
    read_count(reader, root, "slots", 1, SLOTS_MAX, &config->slots);
    read_count(reader, root, "queue", 0, SLOTS_MAX, &config->queue);
    read_service_ms(reader, root, config);
    read_number(reader, root, "seed", 0, UINT32_MAX, &seed);
    config->seed = (uint64_t)seed;
    read_state(reader, root, config);
    read_number(reader, root, "warming_s", 0, SECONDS_MAX, &config->warming_s);
    read_number(reader, root, "drain_after_s", 0, SECONDS_MAX,
                &config->drain_after_s);
    read_fault(reader, root, config);
    read_number(reader, root, "fault_share", 0, 1, &config->fault_share);
    read_number(reader, root, "slow_factor", 1, FACTOR_MAX,
                &config->slow_factor);
}

int
config_load(struct config *config, const char *path)
{
    struct reader reader = {.path = path};
    json_object *root = json_object_from_file(path);

    *config = (struct config){
        .slots = 2,
        .mean_ms = 20,
        .sigma = 0.3,
        .fault_share = 1,
        .slow_factor = 10,
    };
    if (root == NULL || !json_object_is_type(root, json_type_object)) {
        fprintf(stderr, "%s: cannot be read as a JSON object\n", path);
        json_object_put(root);
        return -EINVAL;
    }
    read_all(&reader, root, config);
    json_object_put(root);
    return reader.faults == 0 ? 0 : -EINVAL;
}
