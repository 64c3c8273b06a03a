/**
 * DOC: measure - cost of a cell of a given size
 */
#ifndef SWIFTARCH_BENCH_MEASURE_H
#define SWIFTARCH_BENCH_MEASURE_H

#include <stddef.h>
#include <stdint.h>

/** enum measure_column - results for one size */
enum measure_column {
    MEASURE_BYTES_OUT,     /* idle: bytes/s that a node sends, with headers */
    MEASURE_BYTES_IN,      /* idle: bytes/s that a node receives */
    MEASURE_MESSAGES_OUT,  /* idle: datagrams/s that a node sends */
    MEASURE_CPU_US,        /* idle: CPU us per second and node */
    MEASURE_CONFIG_P50_MS, /* until a change is in force, all nodes */
    MEASURE_CONFIG_P99_MS,
    MEASURE_CONFIG_MAX_MS,
    MEASURE_CONFIG_BYTES, /* additional bytes per node and change */
    MEASURE_STATE_P50_MS, /* until a state is received, all nodes */
    MEASURE_STATE_P99_MS,
    MEASURE_STATE_MAX_MS,
    MEASURE_SUSPECT_P50_MS, /* until a failed host is suspected, all nodes */
    MEASURE_SUSPECT_P99_MS,
    MEASURE_SUSPECT_MAX_MS,
    MEASURE_REFUSED_P99_MS, /* the same for a killed process */
    MEASURE_DEATH_BYTES,    /* additional bytes per node, death and return */
    MEASURE_RACK_P99_MS,    /* a tenth fails: until suspected, all nodes
                             */
    MEASURE_RACK_MAX_MS,
    MEASURE_RACK_BYTES,      /* bytes/s that a node sends in the 30 s after */
    MEASURE_PARTITION_BYTES, /* split in halves: bytes/s that a node sends */
    MEASURE_HEAL_S,          /* split ends: until all lists are complete */
    MEASURE_FLOOD_S,         /* all join at once: until lists are complete */
    MEASURE_FLOOD_BYTES,     /* mean bytes/s that a node sends meanwhile */
    MEASURE_FLOOD_PEAK,      /* maximum bytes of one node in one second */
    MEASURE_LOSS_SUSPECT,    /* 30% loss: false suspicions per node and hour */
    MEASURE_LOSS_DEATHS,     /* 30% loss: false deaths in the run */
    MEASURE_LOSS_BYTES,      /* 30% loss: bytes/s that a node sends */
    MEASURE_MEMORY_BYTES,    /* membership tables of one node */
    MEASURE_PLATFORM_IDLE,   /* platform calls/s of the cell */
    MEASURE_PLATFORM_DOWN,   /* the same in an outage */
    MEASURE_PLATFORM_RECOVERY, /* peak calls/s in the 30 s after it */
    MEASURE_COLUMNS
};

/** measure_names - names of the columns in the table and JSON */
extern const char *const measure_names[MEASURE_COLUMNS];

/** measure_cell() - fill @columns for a cell of @size members */
void
measure_cell(size_t size, double *columns);

/** struct measure_threads - cost of control threads with real sockets */
struct measure_threads {
    double cpu_us;        /* idle: CPU us per second and thread */
    double cpu_us_worst;  /* maximum of all threads */
    double memory_bytes;  /* additional resident bytes per thread */
    double bytes_out;     /* bytes/s, without IP and UDP headers */
    double platform;      /* idle: calls/s of all to the platform */
    double config_p50_ms; /* until a change is in force, all threads */
    double config_max_ms;
};

/** measure_threads() - run @size control threads on loopback; 0 or -errno */
int
measure_threads(size_t size, unsigned seconds, struct measure_threads *out);

/** struct measure_config_edit - cost of a change of one line */
struct measure_config_edit {
    double bytes;      /* size of the configuration */
    double edit_bytes; /* size of the edit */
    double diff_us;    /* to compute the edit */
    double apply_us;   /* to apply the edit and parse the result */
};

/** measure_config_edit() - for a configuration of @services; 0 or -errno */
int
measure_config_edit(size_t services, struct measure_config_edit *out);

#endif
