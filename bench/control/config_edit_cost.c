#include <string.h>
#include <time.h>

#include <glib.h>

#include "control/history.h"
#include "measure.h"
#include "service_config/service_config.h"

#define ROUNDS 10

static double
cpu_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return now.tv_sec * 1e6 + now.tv_nsec / 1e3;
}

/* A configuration of @services, one of which has the deadline @deadline_ms. */
static GString *
make_config(size_t services, unsigned deadline_ms)
{
    GString *text = g_string_new("{\"services\":[\n");

    for (size_t i = 0; i < services; i++) {
        g_string_append_printf(
            text,
            "{\"name\":\"service-%zu\",\"address\":\"10.%zu.%zu.%zu\","
            "\"port\":80,\"protocol\":\"tcp\",\"class\":\"%s\","
            "\"limits\":{\"deadline_ms\":%u}%s}%s\n",
            i, i >> 16, (i >> 8) & 255, i & 255, i % 2 ? "urgent" : "ordinary",
            i == services / 2 ? deadline_ms : 5000,
            i > 0 ? ",\"depends_on\":[\"service-0\"]" : "",
            i + 1 < services ? "," : "");
    }
    g_string_append(text, "]}\n");
    return text;
}

/* Times the steps of one change: computing the edit, then applying it and
 * parsing the result. */
int
measure_config_edit(size_t services, struct measure_config_edit *out)
{
    GString *old = make_config(services, 5000);
    GString *new = make_config(services, 4000);
    struct history history = {0};
    const struct history_step *step;
    double begin;
    size_t count = 0;
    int ret = 0;

    memset(out, 0, sizeof(*out));
    out->bytes = new->len;
    begin = cpu_us();
    for (uint64_t i = 1; i <= ROUNDS; i++)
        history_add(&history, i, (uint8_t *)old->str, old->len, i + 1,
                    (uint8_t *)new->str, new->len);
    out->diff_us = (cpu_us() - begin) / ROUNDS;
    step = history_find(&history, ROUNDS, &count);
    g_assert_nonnull(step);
    out->edit_bytes = step->edit.middle_len;
    for (unsigned i = 0; i < ROUNDS && ret == 0; i++) {
        size_t len = old->len;
        struct service_config *config = NULL;
        char *report = NULL;
        uint8_t *body;

        begin = cpu_us();
        body = history_apply(&step->edit, (uint8_t *)old->str, &len);
        ret = service_config_parse_envelope((char *)body, len, 1, &config,
                                            &report);
        out->apply_us += (cpu_us() - begin) / ROUNDS;
        service_config_free(config);
        g_free(report);
        g_free(body);
    }
    history_finish(&history);
    g_string_free(old, TRUE);
    g_string_free(new, TRUE);
    return ret;
}
