/* Compares the dispatch policies under load; prints a table and writes
 * JSON. */
#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"

#define SECONDS 120
#define SEED 20261202
#define POLICIES 5
#define THREADS 4

static const double loads[] = {0.5, 0.8, 0.95, 1.3};
static const struct site *const sites[] = {&site_dar, &site_perth};
static const char *const conditions[] = {"plain", "lying", "cold", "drain"};

struct job {
    struct site_case run;
    struct site_result result;
};

static void
run_job(gpointer data, gpointer unused)
{
    struct job *job = data;

    job->result = site_run(&job->run);
}

static double
ms(uint64_t us)
{
    return (double)us / USEC_PER_MSEC;
}

static double
messages_per_request(const struct site_result *r)
{
    return (double)r->messages / (double)(r->requests[0] + r->requests[1]);
}

static void
print_head(void)
{
    printf("%-5s %-5s %4s %-11s | %5s %5s | %5s %5s | %6s %6s %6s %6s %6s "
           "%6s | %7s %6s %6s | %5s\n",
           "site", "cond", "load", "policy", "imb-u", "imb-o", "use-u",
           "use-o", "u-p50", "u-p99", "u-ref", "u-late", "u-miss", "behind",
           "o-p99", "o-ref", "o-miss", "msg/r");
}

static void
print_row(const struct job *job)
{
    const struct site_result *r = &job->result;

    printf("%-5s %-5s %4.2f %-11s | %5.3f %5.3f | %5.3f %5.3f | %6.1f %6.1f "
           "%6" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT
           " %6" G_GUINT64_FORMAT " | %7.1f %6" G_GUINT64_FORMAT
           " %6" G_GUINT64_FORMAT " | %5.2f\n",
           job->run.site->name, conditions[job->run.condition], job->run.load,
           engine_policy_name(job->run.policy), r->imbalance[0],
           r->imbalance[1], r->useful[0], r->useful[1], ms(r->p50_us[0]),
           ms(r->p99_us[0]), r->refused[0], r->refused_late[0], r->missed[0],
           r->urgent_behind, ms(r->p99_us[1]), r->refused[1], r->missed[1],
           messages_per_request(r));
}

static void
add_number(json_object *row, const char *key, double value)
{
    json_object_object_add(row, key, json_object_new_double(value));
}

static void
add_count(json_object *row, const char *key, uint64_t value)
{
    json_object_object_add(row, key, json_object_new_int64((int64_t)value));
}

static json_object *
row_json(const struct job *job)
{
    const struct site_result *r = &job->result;
    json_object *row = json_object_new_object();

    json_object_object_add(row, "site",
                           json_object_new_string(job->run.site->name));
    json_object_object_add(
        row, "condition",
        json_object_new_string(conditions[job->run.condition]));
    json_object_object_add(
        row, "policy",
        json_object_new_string(engine_policy_name(job->run.policy)));
    add_number(row, "load", job->run.load);
    add_count(row, "seed", job->run.seed);
    add_number(row, "imbalance_urgent", r->imbalance[0]);
    add_number(row, "imbalance_ordinary", r->imbalance[1]);
    add_number(row, "useful_urgent", r->useful[0]);
    add_number(row, "useful_ordinary", r->useful[1]);
    add_count(row, "urgent_requests", r->requests[0]);
    add_count(row, "urgent_answered", r->answered[0]);
    add_count(row, "urgent_refused", r->refused[0]);
    add_count(row, "urgent_refused_after_10ms", r->refused_late[0]);
    add_count(row, "urgent_missed", r->missed[0]);
    add_count(row, "urgent_failed_while_ordinary_waits", r->urgent_behind);
    add_number(row, "urgent_p50_ms", ms(r->p50_us[0]));
    add_number(row, "urgent_p99_ms", ms(r->p99_us[0]));
    add_count(row, "ordinary_requests", r->requests[1]);
    add_count(row, "ordinary_answered", r->answered[1]);
    add_count(row, "ordinary_refused", r->refused[1]);
    add_count(row, "ordinary_missed", r->missed[1]);
    add_number(row, "ordinary_p99_ms", ms(r->p99_us[1]));
    add_number(row, "messages_per_request", messages_per_request(r));
    return row;
}

static GArray *
make_jobs(unsigned seconds, guint32 seed, int only)
{
    GArray *jobs = g_array_new(FALSE, TRUE, sizeof(struct job));

    for (size_t s = 0; s < G_N_ELEMENTS(sites); s++) {
        for (int c = 0; c < SITE_CONDITIONS; c++) {
            for (size_t l = 0; l < G_N_ELEMENTS(loads); l++) {
                for (int p = 0; p < POLICIES; p++) {
                    struct job job = {
                        .run = {sites[s], p, c, loads[l], seed, seconds}};

                    if (only < 0 || only == p) {
                        g_array_append_val(jobs, job);
                    }
                }
            }
        }
    }
    return jobs;
}

static void
run_all(GArray *jobs)
{
    GThreadPool *pool = g_thread_pool_new(run_job, NULL, THREADS, FALSE, NULL);

    for (guint i = 0; i < jobs->len; i++) {
        g_thread_pool_push(pool, &g_array_index(jobs, struct job, i), NULL);
    }
    g_thread_pool_free(pool, FALSE, TRUE);
}

static int
write_json(const GArray *jobs, const char *path)
{
    json_object *rows = json_object_new_array();
    int rc;

    for (guint i = 0; i < jobs->len; i++) {
        json_object_array_add(rows,
                              row_json(&g_array_index(jobs, struct job, i)));
    }
    rc = json_object_to_file_ext(path, rows, JSON_C_TO_STRING_PRETTY);
    json_object_put(rows);
    return rc;
}

/* Usage: dispatch_bench [JSON [SECONDS [SEED [POLICY]]]] */
int
main(int argc, char **argv)
{
    unsigned seconds = argc > 2 ? (unsigned)atoi(argv[2]) : SECONDS;
    guint32 seed = argc > 3 ? (guint32)atoi(argv[3]) : SEED;
    int only = argc > 4 ? atoi(argv[4]) : -1;
    GArray *jobs;
    int rc = 0;

    if (seconds == 0) {
        fprintf(stderr, "dispatch_bench: seconds must be a number above 0\n");
        return 2;
    }
    jobs = make_jobs(seconds, seed, only);
    printf("seed %u, %u s each after 10 s of warming up\n", seed, seconds);
    run_all(jobs);
    print_head();
    for (guint i = 0; i < jobs->len; i++) {
        print_row(&g_array_index(jobs, struct job, i));
    }
    if (argc > 1 && strcmp(argv[1], "-") != 0) {
        rc = write_json(jobs, argv[1]);
    }
    g_array_free(jobs, TRUE);
    return rc == 0 ? 0 : 1;
}
