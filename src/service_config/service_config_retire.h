/**
 * DOC: service_config_retire - which addresses a new config retires
 *
 * An established flow survives any change of the config, so the address that
 * a service leaves stays that service's for as long as its flows may last.
 * Nobody but the platform keeps state: who publishes a config works out the
 * list from what is published and writes it beside the config, in the same
 * conditional write.
 *
 * An address of the list is taken off it when the service has it again, when
 * its time is over, or when the operator gives it up. Until then no other
 * service may have it: packets of the old flows would reach the other's
 * endpoints. A renamed service is another one, for its name is its identity.
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_RETIRE_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_RETIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "service_config/service_config.h"

#define SERVICE_CONFIG_RETIRE_HOLD_MS (24 * 3600 * UINT64_C(1000))

/* Added to the hold: clocks of two operators may differ by so much before
 * an address is held for less than it should be. */
#define SERVICE_CONFIG_RETIRE_SKEW_MS (300 * UINT64_C(1000))

/** struct service_config_forget - an address given up before its time */
struct service_config_forget {
    struct addr addr;
    enum service_config_proto proto;
};

/**
 * struct service_config_change - one config is to replace another
 * @from: what is published, or NULL
 * @to: what is to replace it
 * @name: file name of @to for messages
 * @now_ms: publisher's clock, milliseconds since 1970
 * @hold_ms: how long an address stays retired
 * @forget: addresses to give up
 * @forget_count: how many
 * @forget_all: give up all, those that @to retires too
 */
struct service_config_change {
    const struct service_config *from;
    const struct service_config *to;
    const char *name;
    uint64_t now_ms;
    uint64_t hold_ms;
    const struct service_config_forget *forget;
    size_t forget_count;
    bool forget_all;
};

/**
 * service_config_retire() - the addresses that are retired once @to is
 * published
 * @retired: result, SERVICE_CONFIG_RETIRED_MAX at most, those retired last at
 * the end
 * @count: how many
 * @report: what forbids the change, one diag a line (g_free() it), or NULL
 *
 * Return: 0 or -EINVAL.
 */
int
service_config_retire(
    const struct service_config_change *change,
    struct service_config_retired retired[SERVICE_CONFIG_RETIRED_MAX],
    size_t *count, char **report);

/** service_config_retired_write() - the list as JSON, g_free() it */
char *
service_config_retired_write(const struct service_config_retired *retired,
                             size_t count);

/** service_config_format_time() - a time of day in words, g_free() it */
char *
service_config_format_time(uint64_t ms);

#endif
