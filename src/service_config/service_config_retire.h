/**
 * DOC: service_config_retire - addresses that a config change retires
 *
 * Established flows survive any change of the config, so an address that a
 * service no longer uses stays reserved for it while its flows may last: with
 * another service there, packets of the old flows would reach the endpoints of
 * that service. A renamed service counts as another service.
 *
 * The publisher computes the list from the published config, and writes it
 * with the new config in one conditional write. An address leaves the list
 * when its service uses it again, when its time has expired, or when the
 * operator releases it.
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_RETIRE_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_RETIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "service_config/service_config.h"

/* Default time for which an address stays retired. */
#define SERVICE_CONFIG_RETIRE_HOLD_MS (24 * 3600 * UINT64_C(1000))

/* Added to the hold time to allow for clock differences between operators. */
#define SERVICE_CONFIG_RETIRE_SKEW_MS (300 * UINT64_C(1000))

/**
 * struct service_config_forget - address to release before its time expires
 * @addr: address and port
 * @proto: transport
 */
struct service_config_forget {
    struct addr addr;
    enum service_config_proto proto;
};

/**
 * struct service_config_change - replacement of a published config
 * @from: published config, or NULL when there is none
 * @to: config to publish
 * @name: file name of @to for messages
 * @now_ms: publisher's clock, milliseconds since 1970
 * @hold_ms: time for which an address stays retired
 * @forget: addresses to release
 * @forget_count: number of addresses in @forget
 * @forget_all: release all addresses, also those that @to would retire
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
 * service_config_retire() - compute the retired addresses of a change
 * @change: the change
 * @retired: result, in the order in which the addresses were retired
 * @count: set to the number of addresses in @retired
 * @report: set to the errors that forbid the change, one per line (free with
 *          g_free()), or to NULL
 *
 * Return: 0, or -EINVAL when the change is forbidden.
 */
int
service_config_retire(
    const struct service_config_change *change,
    struct service_config_retired retired[SERVICE_CONFIG_RETIRED_MAX],
    size_t *count, char **report);

/** service_config_retired_write() - serialize the list as JSON; free the
 * result with g_free() */
char *
service_config_retired_write(const struct service_config_retired *retired,
                             size_t count);

/** service_config_format_time() - format milliseconds since 1970 as a UTC date
 * and time; free the result with g_free() */
char *
service_config_format_time(uint64_t ms);

#endif
