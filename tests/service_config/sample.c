#include "sample.h"

#include <glib.h>

const char sample_config[] =
    "{\"services\": [\n"
    "  {\"name\": \"lots\", \"address\": \"10.0.0.1\", \"port\": 80,\n"
    "   \"protocol\": \"tcp\", \"class\": \"urgent\",\n"
    "   \"depends_on\": [\"albums\", \"clock\"],\n"
    "   \"limits\": {\"connections\": 100, \"queue\": 7, \"idle_s\": 60}},\n"
    "  {\"name\": \"albums\", \"address\": \"10.0.0.2\", \"port\": 80,\n"
    "   \"class\": \"ordinary\"},\n"
    "  {\"name\": \"clock\", \"address\": \"10.0.0.1\", \"port\": 80,\n"
    "   \"protocol\": \"udp\", \"class\": \"ordinary\"}\n"
    "]}\n";

void
sample_assert_same(const struct service_config *a,
                   const struct service_config *b)
{
    g_assert_cmpuint(a->count, ==, b->count);
    for (size_t i = 0; i < a->count; i++) {
        struct service_config_entry left = a->services[i];
        struct service_config_entry right = b->services[i];

        /* Line numbers differ when one of them had a leading blank line. */
        left.line = 0;
        right.line = 0;
        g_assert_cmpmem(&left, sizeof(left), &right, sizeof(right));
    }
    g_assert_cmpmem(a->retired, a->retired_count * sizeof(*a->retired),
                    b->retired, b->retired_count * sizeof(*b->retired));
    g_assert_cmpmem(a->source, a->source_len, b->source, b->source_len);
}
