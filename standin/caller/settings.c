#include "caller/settings.h"

#include <glib.h>
#include <string.h>

#include "base/json_file.h"

#define FLOWS_MAX 20000
#define BYTES_MAX (1 << 20)
#define DATAGRAM_MIN 16
#define DATAGRAM_MAX 1200
#define DEADLINE_MAX_MS 600000
#define SECONDS_MAX 3600
#define RATE_MAX 100000
#define PIPELINE_MAX 64
#define SEED_MAX UINT32_MAX
#define REQUESTS_MAX 1000000000

static void
read_port(struct json_file *json_file, const struct json_key_rule *rule,
          json_object *value, void *field)
{
    unsigned port = 0;

    json_file_read_unsigned(json_file, rule, value, &port);
    *(uint16_t *)field = (uint16_t)port;
}

/* One of two words, the second of which sets the field. */
static void
read_choice(struct json_file *json_file, const struct json_key_rule *rule,
            json_object *value, bool *field, const char *off, const char *on)
{
    char expected[64];
    const char *text;

    g_snprintf(expected, sizeof(expected), "\"%s\" or \"%s\"", off, on);
    text = json_file_string(json_file, rule->name, value, expected);
    if (text == NULL)
        return;
    *field = strcmp(text, on) == 0;
    if (!*field && strcmp(text, off) != 0)
        json_file_fault_value(json_file, rule->name, value, expected);
}

static void
read_class(struct json_file *json_file, const struct json_key_rule *rule,
           json_object *value, void *field)
{
    read_choice(json_file, rule, value, field, "ordinary", "urgent");
}

static void
read_proto(struct json_file *json_file, const struct json_key_rule *rule,
           json_object *value, void *field)
{
    read_choice(json_file, rule, value, field, "tcp", "udp");
}

#define LOAD_FIELD(member) JSON_FILE_FIELD(struct load_settings, member)

static const struct json_key_rule load_rules[] = {
    {"service", 1, 1, json_file_read_name, LOAD_FIELD(service)},
    {"ip", 1, 1, json_file_read_ip, LOAD_FIELD(to.ip)},
    {"port", 1, 1, read_port, LOAD_FIELD(to.port), .min = 1, .max = 65535},
    {"proto", 0, 1, read_proto, LOAD_FIELD(udp)},
    {"class", 1, 1, read_class, LOAD_FIELD(urgent)},
    {"flows", 1, 1, json_file_read_unsigned, LOAD_FIELD(flows), .min = 1,
     .max = FLOWS_MAX},
    {"flow_requests", 0, 1, json_file_read_unsigned, LOAD_FIELD(flow_requests),
     .min = 0, .max = REQUESTS_MAX},
    {"rate", 1, 1, json_file_read_double, LOAD_FIELD(rate), .min = 0.001,
     .max = RATE_MAX},
    {"post_share", 0, 1, json_file_read_double, LOAD_FIELD(post_share),
     .min = 0, .max = 1},
    {"deadline_ms", 0, 1, json_file_read_unsigned, LOAD_FIELD(deadline_ms),
     .min = 1, .max = DEADLINE_MAX_MS},
    {"patience_ms", 0, 1, json_file_read_unsigned, LOAD_FIELD(patience_ms),
     .min = 1, .max = DEADLINE_MAX_MS},
    {"body_bytes", 0, 1, json_file_read_unsigned, LOAD_FIELD(body_bytes),
     .min = 0, .max = BYTES_MAX},
    {"answer_bytes", 0, 1, json_file_read_unsigned, LOAD_FIELD(answer_bytes),
     .min = 0, .max = BYTES_MAX},
    {"pipeline", 0, 1, json_file_read_unsigned, LOAD_FIELD(pipeline), .min = 1,
     .max = PIPELINE_MAX},
};

static const struct load_settings load_defaults = {
    .post_share = 0.5,
    .deadline_ms = 1000,
    .patience_ms = 2000,
    .body_bytes = 200,
    .answer_bytes = 2000,
    .pipeline = 1,
};

static void
read_load(struct json_file *json_file, json_object *value, size_t index,
          struct load_settings *load)
{
    char scope[32];

    *load = load_defaults;
    g_snprintf(scope, sizeof(scope), "loads[%zu].", index);
    json_file->scope = scope;
    json_file_read(json_file, value, load_rules, G_N_ELEMENTS(load_rules),
                   load);
    if (load->udp &&
        (load->body_bytes < DATAGRAM_MIN || load->body_bytes > DATAGRAM_MAX))
        json_file_fault(json_file, "body_bytes",
                        "is %u; expected %d to %d for datagrams",
                        load->body_bytes, DATAGRAM_MIN, DATAGRAM_MAX);
    json_file->scope = "";
}

static void
read_loads(struct json_file *json_file, const struct json_key_rule *rule,
           json_object *value, void *field)
{
    struct caller_settings *settings =
        (struct caller_settings *)((char *)field - rule->offset);
    const char *expected = "an array of 1 to 16 objects";
    size_t count = 0;

    if (json_object_is_type(value, json_type_array))
        count = json_object_array_length(value);
    if (count == 0 || count > CALLER_LOADS_MAX) {
        json_file_fault_value(json_file, rule->name, value, expected);
        return;
    }
    for (size_t i = 0; i < count; i++) {
        json_object *item = json_object_array_get_idx(value, i);

        if (json_object_is_type(item, json_type_object))
            read_load(json_file, item, i, &settings->loads[i]);
        else
            json_file_fault_value(json_file, rule->name, item, expected);
    }
    settings->load_count = count;
}

static void
read_addresses(struct json_file *json_file, const struct json_key_rule *rule,
               json_object *value, void *field)
{
    struct caller_settings *settings =
        (struct caller_settings *)((char *)field - rule->offset);
    const char *expected =
        "an array of 1 to 64 addresses such as [\"10.9.0.1\"]";
    size_t count = 0;

    if (json_object_is_type(value, json_type_array))
        count = json_object_array_length(value);
    if (count == 0 || count > CALLER_ADDRESSES_MAX) {
        json_file_fault_value(json_file, rule->name, value, expected);
        return;
    }
    for (size_t i = 0; i < count; i++) {
        json_object *item = json_object_array_get_idx(value, i);

        if (!json_object_is_type(item, json_type_string) ||
            addr_parse_ip(json_object_get_string(item),
                          &settings->addresses[i]) < 0) {
            json_file_fault_value(json_file, rule->name, value, expected);
            return;
        }
    }
    settings->address_count = count;
}

#define FIELD(member) JSON_FILE_FIELD(struct caller_settings, member)

static const struct json_key_rule rules[] = {
    {"fabric", 1, 1, json_file_read_addr, FIELD(fabric)},
    {"listen", 1, 1, json_file_read_addr, FIELD(listen)},
    {"seed", 0, 1, json_file_read_unsigned, FIELD(seed), .min = 0,
     .max = SEED_MAX},
    {"seconds", 1, 1, json_file_read_double, FIELD(seconds), .min = 0.1,
     .max = SECONDS_MAX},
    {"record", 1, 1, json_file_read_string, FIELD(record)},
    {"traces", 0, 1, json_file_read_string, FIELD(traces)},
    {"addresses", 1, 1, read_addresses, FIELD(addresses)},
    {"loads", 1, 1, read_loads, FIELD(loads)},
};

int
caller_settings_load(struct caller_settings *settings, const char *path,
                     char **report, struct error *err)
{
    struct json_file json_file;
    int ret;

    memset(settings, 0, sizeof(*settings));
    *report = NULL;
    ret =
        json_file_open(&json_file, path, JSON_FILE_ALL_KINDS, "a caller", err);
    if (ret < 0)
        return ret;
    if (json_file.root != NULL)
        json_file_read(&json_file, json_file.root, rules, G_N_ELEMENTS(rules),
                       settings);
    return json_file_close(&json_file, report, err);
}
