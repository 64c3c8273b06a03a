/* Runs the default policy with growing numbers of endpoints of a service. */
#include <stdio.h>

#include "site.h"

#define SEED 20261202
#define SECONDS 20
#define LOAD 0.8

static const unsigned sizes[] = {7, 20, 60, 200};

int
main(void)
{
    printf("seed %d, %d s, load %.2f, policy %s\n", SEED, SECONDS, LOAD,
           engine_policy_name(ENGINE_POLICY_DEFAULT));
    printf("%9s %9s %8s %8s %14s\n", "endpoints", "imbalance", "u-p99 ms",
           "u-failed", "messages/req");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct site site = site_dar;
        struct site_case run = {
            &site, ENGINE_POLICY_DEFAULT, SITE_PLAIN, LOAD, SEED, SECONDS};
        struct site_result r;

        site.services[0].endpoints = sizes[i];
        r = site_run(&run);
        printf("%9u %9.3f %8.1f %8" G_GUINT64_FORMAT " %14.2f\n", sizes[i],
               r.imbalance[0], (double)r.p99_us[0] / USEC_PER_MSEC,
               r.refused[0] + r.missed[0],
               (double)r.messages / (double)(r.requests[0] + r.requests[1]));
    }
    return 0;
}
