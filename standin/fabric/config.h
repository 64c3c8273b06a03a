/**
 * DOC: config - settings of the fabric stand-in (JSON), checked key by key
 *
 * {"listen": "ip:port", "balancers": [{"data": "ip:port", "http":
 * "ip:port", "delay_us": 0}], "callers": [{"ip": "10.9.0.1", "to":
 * "ip:port"}], "seed": 1, "client_delay_us": 3000, "loss": 0.0, "reorder":
 * 0.0, "health_interval_ms": 100, "spray": "random", "cut": ["ip:port"]}
 *
 * Only "listen" and "balancers" are needed.
 */
#ifndef SWIFTARCH_STANDIN_FABRIC_CONFIG_H
#define SWIFTARCH_STANDIN_FABRIC_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

#define CONFIG_BALANCERS_MAX 64
#define CONFIG_CALLERS_MAX 1024
#define CONFIG_CUT_MAX 64

/** enum spray - how the balancer of a packet is picked */
enum spray { SPRAY_RANDOM, SPRAY_ROUND_ROBIN };

/**
 * struct config_balancer - one balancer
 * @data: where it takes packets
 * @http: where it answers GET /ready
 * @delay_us: one-way delay to it, on top of the callers' delay
 */
struct config_balancer {
    struct addr data;
    struct addr http;
    uint32_t delay_us;
};

/**
 * struct config_caller - one caller address
 * @ip: its address in the packets
 * @to: where the process that plays it takes packets
 */
struct config_caller {
    uint32_t ip;
    struct addr to;
};

/**
 * struct config - the settings
 * @listen: where packets of callers and agents come in
 * @balancers: all that may ever run
 * @balancer_count: how many
 * @callers: all callers
 * @caller_count: how many
 * @seed: of the random choices
 * @client_delay_us: one-way delay between callers and hosts
 * @loss: share of packets lost
 * @reorder: share of packets that are held back and overtaken
 * @health_interval_ms: time between two GET /ready
 * @spray: how balancers are picked
 * @cut: destinations that get nothing, as if the link were cut
 * @cut_count: how many
 */
struct config {
    struct addr listen;
    struct config_balancer balancers[CONFIG_BALANCERS_MAX];
    size_t balancer_count;
    struct config_caller callers[CONFIG_CALLERS_MAX];
    size_t caller_count;
    uint32_t seed;
    uint32_t client_delay_us;
    double loss;
    double reorder;
    uint32_t health_interval_ms;
    enum spray spray;
    struct addr cut[CONFIG_CUT_MAX];
    size_t cut_count;
};

/**
 * config_load() - read and check a file
 * @report: all faults, one a line (g_free() it), NULL without faults
 *
 * Return: 0, -EINVAL, or what reading the file returned.
 */
int
config_load(struct config *config, const char *path, char **report);

/** config_parse() - the same for a text; @name is used in the report */
int
config_parse(struct config *config, const char *text, const char *name,
             char **report);

#endif
