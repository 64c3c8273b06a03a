#include "caller/settings.h"

#include <glib.h>
#include <string.h>

#include "base/keys.h"

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
read_port(struct keys *keys, const struct key_rule *rule, json_object *value,
          void *field)
{
    unsigned port = 0;

    keys_read_number(keys, rule, value, &port);
    *(uint16_t *)field = (uint16_t)port;
}

/* One of two words, the second of which sets the field. */
static void
read_choice(struct keys *keys, const struct key_rule *rule, json_object *value,
            bool *field, const char *off, const char *on)
{
    char expected[64];
    const char *text;

    g_snprintf(expected, sizeof(expected), "\"%s\" or \"%s\"", off, on);
    text = keys_text(keys, rule->name, value, expected);
    if (text == NULL)
        return;
    *field = strcmp(text, on) == 0;
    if (!*field && strcmp(text, off) != 0)
        keys_fault_value(keys, rule->name, value, expected);
}

static void
read_class(struct keys *keys, const struct key_rule *rule, json_object *value,
           void *field)
{
    read_choice(keys, rule, value, field, "ordinary", "urgent");
}

static void
read_proto(struct keys *keys, const struct key_rule *rule, json_object *value,
           void *field)
{
    read_choice(keys, rule, value, field, "tcp", "udp");
}

#define LOAD_FIELD(member) KEYS_FIELD(struct load_settings, member)

static const struct key_rule load_rules[] = {
    {"service", 1, 1, keys_read_name, LOAD_FIELD(service)},
    {"ip", 1, 1, keys_read_ip, LOAD_FIELD(to.ip)},
    {"port", 1, 1, read_port, LOAD_FIELD(to.port), .min = 1, .max = 65535},
    {"proto", 0, 1, read_proto, LOAD_FIELD(udp)},
    {"class", 1, 1, read_class, LOAD_FIELD(urgent)},
    {"flows", 1, 1, keys_read_number, LOAD_FIELD(flows), .min = 1,
     .max = FLOWS_MAX},
    {"flow_requests", 0, 1, keys_read_number, LOAD_FIELD(flow_requests),
     .min = 0, .max = REQUESTS_MAX},
    {"rate", 1, 1, keys_read_real, LOAD_FIELD(rate), .min = 0.001,
     .max = RATE_MAX},
    {"post_share", 0, 1, keys_read_real, LOAD_FIELD(post_share), .min = 0,
     .max = 1},
    {"deadline_ms", 0, 1, keys_read_number, LOAD_FIELD(deadline_ms), .min = 1,
     .max = DEADLINE_MAX_MS},
    {"patience_ms", 0, 1, keys_read_number, LOAD_FIELD(patience_ms), .min = 1,
     .max = DEADLINE_MAX_MS},
    {"body_bytes", 0, 1, keys_read_number, LOAD_FIELD(body_bytes), .min = 0,
     .max = BYTES_MAX},
    {"answer_bytes", 0, 1, keys_read_number, LOAD_FIELD(answer_bytes),
     .min = 0, .max = BYTES_MAX},
    {"pipeline", 0, 1, keys_read_number, LOAD_FIELD(pipeline), .min = 1,
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
read_load(struct keys *keys, json_object *value, size_t index,
          struct load_settings *load)
{
    char scope[32];

    *load = load_defaults;
    g_snprintf(scope, sizeof(scope), "loads[%zu].", index);
    keys->scope = scope;
    keys_read(keys, value, load_rules, G_N_ELEMENTS(load_rules), load);
    if (load->udp &&
        (load->body_bytes < DATAGRAM_MIN || load->body_bytes > DATAGRAM_MAX))
        keys_fault(keys, "body_bytes",
                   "is %u; expected %d to %d for datagrams", load->body_bytes,
                   DATAGRAM_MIN, DATAGRAM_MAX);
    keys->scope = "";
}

static void
read_loads(struct keys *keys, const struct key_rule *rule, json_object *value,
           void *field)
{
    struct caller_settings *settings =
        (struct caller_settings *)((char *)field - rule->offset);
    const char *expected = "an array of 1 to 16 objects";
    size_t count = 0;

    if (json_object_is_type(value, json_type_array))
        count = json_object_array_length(value);
    if (count == 0 || count > CALLER_LOADS_MAX) {
        keys_fault_value(keys, rule->name, value, expected);
        return;
    }
    for (size_t i = 0; i < count; i++) {
        json_object *item = json_object_array_get_idx(value, i);

        if (json_object_is_type(item, json_type_object))
            read_load(keys, item, i, &settings->loads[i]);
        else
            keys_fault_value(keys, rule->name, item, expected);
    }
    settings->load_count = count;
}

static void
read_addresses(struct keys *keys, const struct key_rule *rule,
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
        keys_fault_value(keys, rule->name, value, expected);
        return;
    }
    for (size_t i = 0; i < count; i++) {
        json_object *item = json_object_array_get_idx(value, i);

        if (!json_object_is_type(item, json_type_string) ||
            addr_parse_ip(json_object_get_string(item),
                          &settings->addresses[i]) < 0) {
            keys_fault_value(keys, rule->name, value, expected);
            return;
        }
    }
    settings->address_count = count;
}

#define FIELD(member) KEYS_FIELD(struct caller_settings, member)

static const struct key_rule rules[] = {
    {"fabric", 1, 1, keys_read_addr, FIELD(fabric)},
    {"listen", 1, 1, keys_read_addr, FIELD(listen)},
    {"seed", 0, 1, keys_read_number, FIELD(seed), .min = 0, .max = SEED_MAX},
    {"seconds", 1, 1, keys_read_real, FIELD(seconds), .min = 0.1,
     .max = SECONDS_MAX},
    {"record", 1, 1, keys_read_text, FIELD(record)},
    {"traces", 0, 1, keys_read_text, FIELD(traces)},
    {"addresses", 1, 1, read_addresses, FIELD(addresses)},
    {"loads", 1, 1, read_loads, FIELD(loads)},
};

int
caller_settings_load(struct caller_settings *settings, const char *path,
                     char **report, struct error *err)
{
    struct keys keys;
    int ret;

    memset(settings, 0, sizeof(*settings));
    *report = NULL;
    ret = keys_open(&keys, path, KEYS_ALWAYS, "a caller", err);
    if (ret < 0)
        return ret;
    if (keys.root != NULL)
        keys_read(&keys, keys.root, rules, G_N_ELEMENTS(rules), settings);
    return keys_close(&keys, report, err);
}
