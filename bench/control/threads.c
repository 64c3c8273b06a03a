#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "control/control_internal.h"
#include "fit.h"
#include "measure.h"
#include "standin/platform/server.h"

#define LOOPBACK 0x7f000001
#define SETTLE_S 20
#define CHANGES 5
#define CHANGE_MAX_S 30
#define PAGE_COUNT_FILE "/proc/self/statm"

struct process {
    struct settings settings;
    struct blackboard blackboard;
    struct counter_table counters;
    struct control *control;
};

static double
resident_bytes(void)
{
    FILE *file = fopen(PAGE_COUNT_FILE, "r");
    unsigned long pages = 0;
    unsigned long resident = 0;

    if (file == NULL)
        return 0;
    if (fscanf(file, "%lu %lu", &pages, &resident) != 2)
        resident = 0;
    fclose(file);
    return (double)resident * sysconf(_SC_PAGESIZE);
}

static double
thread_cpu_us(const struct process *process)
{
    clockid_t clock;
    struct timespec now;

    if (pthread_getcpuclockid(process->control->thread, &clock) != 0 ||
        clock_gettime(clock, &now) != 0)
        return 0;
    return now.tv_sec * 1e6 + now.tv_nsec / 1e3;
}

static int
start(struct process *process, size_t i, const char *platform,
      struct addr seed, struct clock *clock)
{
    struct settings *settings = &process->settings;
    struct blackboard_local local = {.state = MEMBER_READY, .service = 1};
    struct error err = {0};

    settings->role = SETTINGS_AGENT;
    snprintf(settings->name, sizeof(settings->name), "dar-kariakoo-%04u",
             (unsigned)i);
    g_strlcpy(settings->data_centre, "kariakoo", SETTINGS_NAME_MAX);
    g_strlcpy(settings->cell, "kariakoo-1", SETTINGS_NAME_MAX);
    g_strlcpy(settings->platform, platform, sizeof(settings->platform));
    settings->data = (struct addr){LOOPBACK, 1};
    settings->control = (struct addr){LOOPBACK, 0};
    memset(settings->site_key, 'k', 32);
    settings->site_key_len = 32;
    if (seed.port != 0) {
        settings->seeds[0] = seed;
        settings->seed_count = 1;
    }
    blackboard_init(&process->blackboard);
    blackboard_set_local(&process->blackboard, &local);
    if (counter_table_init(&process->counters) < 0)
        return -ENOMEM;
    process->control = control_start(settings, &process->blackboard, clock,
                                     &process->counters, &err);
    if (process->control == NULL)
        g_printerr("%s: %s\n", err.step, err.detail);
    return process->control == NULL ? err.code : 0;
}

static void
stop(struct process *process)
{
    if (process->control == NULL)
        return;
    control_stop(process->control);
    blackboard_finish(&process->blackboard);
    counter_table_finish(&process->counters);
}

static uint64_t
bytes_out(struct process *process)
{
    return counter_read(&process->counters,
                        process->control->handles[CONTROL_BYTES_OUT]);
}

static void
sleep_s(unsigned seconds)
{
    g_usleep(seconds * G_USEC_PER_SEC);
}

static void
publish(struct server *server, uint64_t expect)
{
    static const char text[] =
        "{\"services\":[{\"name\":\"lots\",\"address\":\"10.0.0.1\","
        "\"port\":80,\"protocol\":\"tcp\",\"class\":\"urgent\"}]}";
    GBytes *value = g_bytes_new_static(text, sizeof(text) - 1);
    uint64_t version;

    /* Like a put by the server, wakes the watches. */
    g_mutex_lock(&server->lock);
    store_put(&server->store, "config", expect, value, &version);
    g_cond_broadcast(&server->changed);
    g_mutex_unlock(&server->lock);
    g_bytes_unref(value);
}

static size_t
count_in_force(struct process *processes, size_t size, uint64_t version)
{
    size_t count = 0;

    rcu_read_lock();
    for (size_t i = 0; i < size; i++) {
        const struct service_config *config =
            blackboard_config(&processes[i].blackboard);

        count += config != NULL && config->version >= version;
    }
    rcu_read_unlock();
    return count;
}

/* Publishes changes and times when they come into force. */
static int
time_changes(struct process *processes, size_t size, struct server *server,
             struct measure_threads *out)
{
    uint64_t *samples = g_new(uint64_t, CHANGES * size);
    size_t count = 0;

    for (uint64_t version = 1; version <= CHANGES; version++) {
        gint64 begin = g_get_monotonic_time();
        size_t done = 0;

        publish(server, version - 1);
        while (done < size) {
            gint64 passed = g_get_monotonic_time() - begin;
            size_t now = count_in_force(processes, size, version);

            if (passed > CHANGE_MAX_S * G_USEC_PER_SEC) {
                g_free(samples);
                return -ETIMEDOUT;
            }
            while (done < now) {
                samples[count++] = passed;
                done++;
            }
            g_usleep(500);
        }
        sleep_s(2);
    }
    fit_sort(samples, count);
    out->config_p50_ms = fit_quantile(samples, count, 0.5) / 1e3;
    out->config_max_ms = fit_quantile(samples, count, 1) / 1e3;
    g_free(samples);
    return 0;
}

static void
read_all(struct process *processes, size_t size, struct server *server,
         unsigned seconds, struct measure_threads *out)
{
    double *before = g_new(double, size);
    uint64_t calls = server_read_stats(server).calls;
    uint64_t bytes = 0;

    for (size_t i = 0; i < size; i++) {
        before[i] = thread_cpu_us(&processes[i]);
        bytes -= bytes_out(&processes[i]);
    }
    sleep_s(seconds);
    for (size_t i = 0; i < size; i++) {
        double spent = (thread_cpu_us(&processes[i]) - before[i]) / seconds;

        bytes += bytes_out(&processes[i]);
        out->cpu_us += spent / size;
        out->cpu_us_worst = MAX(out->cpu_us_worst, spent);
    }
    out->platform =
        (server_read_stats(server).calls - calls) / (double)seconds;
    out->bytes_out = (double)bytes / size / seconds;
    g_free(before);
}

int
measure_threads(size_t size, unsigned seconds, struct measure_threads *out)
{
    struct process *processes = g_new0(struct process, size);
    struct addr seed = {0};
    struct server server;
    struct clock clock;
    struct error err = {0};
    double before;
    char url[64];
    int ret;

    memset(out, 0, sizeof(*out));
    clock_runtime_init(&clock);
    ret = server_init(&server, (struct addr){LOOPBACK, 0}, &err);
    if (ret < 0) {
        g_free(processes);
        return ret;
    }
    snprintf(url, sizeof(url), "http://127.0.0.1:%u", server_port(&server));
    before = resident_bytes();
    for (size_t i = 0; i < size && ret == 0; i++) {
        ret = start(&processes[i], i, url, seed, &clock);
        if (ret == 0 && i == 0)
            seed = link_hub_addr(&processes[0].control->hub);
    }
    if (ret == 0) {
        sleep_s(SETTLE_S);
        out->memory_bytes = (resident_bytes() - before) / size;
        ret = time_changes(processes, size, &server, out);
    }
    if (ret == 0)
        read_all(processes, size, &server, seconds, out);
    for (size_t i = 0; i < size; i++)
        stop(&processes[i]);
    server_finish(&server);
    g_free(processes);
    return ret;
}
