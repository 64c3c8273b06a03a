/**
 * DOC: measure - what one cell of a given size costs
 */
#ifndef SWIFTARCH_BENCH_MEASURE_H
#define SWIFTARCH_BENCH_MEASURE_H

#include <stddef.h>
#include <stdint.h>

/** enum measure_column - figures of one size */
enum measure_column {
    MEASURE_BYTES_OUT,     /* rest: bytes/s a node sends, headers included */
    MEASURE_BYTES_IN,      /* rest: bytes/s a node receives */
    MEASURE_MESSAGES_OUT,  /* rest: datagrams/s a node sends */
    MEASURE_CPU_US,        /* rest: us of a core a second and node */
    MEASURE_CONFIG_P50_MS, /* a change in force, over all nodes */
    MEASURE_CONFIG_P99_MS,
    MEASURE_CONFIG_MAX_MS,
    MEASURE_CONFIG_BYTES, /* bytes a node sends more for one change */
    MEASURE_STATE_P50_MS, /* a change of state known, over all nodes */
    MEASURE_STATE_P99_MS,
    MEASURE_STATE_MAX_MS,
    MEASURE_SUSPECT_P50_MS, /* a vanished host suspected, over all nodes */
    MEASURE_SUSPECT_P99_MS,
    MEASURE_SUSPECT_MAX_MS,
    MEASURE_REFUSED_P99_MS, /* the same for a killed process */
    MEASURE_DEATH_BYTES,    /* bytes a node sends more for one death, return */
    MEASURE_RACK_P99_MS,    /* a tenth vanishes: each suspected, over all */
    MEASURE_RACK_MAX_MS,
    MEASURE_RACK_BYTES,        /* bytes/s a node sends in the 30 s after it */
    MEASURE_PARTITION_BYTES,   /* cut in halves: bytes/s a node sends */
    MEASURE_HEAL_S,            /* the cut ends: until all know all */
    MEASURE_FLOOD_S,           /* all join at once: until all know all */
    MEASURE_FLOOD_BYTES,       /* mean bytes/s a node sends meanwhile */
    MEASURE_FLOOD_PEAK,        /* most that any node sent in one second */
    MEASURE_LOSS_SUSPECT,      /* 30% loss: false suspicions a node and hour */
    MEASURE_LOSS_DEATHS,       /* 30% loss: false deaths in the run */
    MEASURE_LOSS_BYTES,        /* 30% loss: bytes/s a node sends */
    MEASURE_MEMORY_BYTES,      /* membership tables of one node */
    MEASURE_PLATFORM_IDLE,     /* calls/s of the cell */
    MEASURE_PLATFORM_DOWN,     /* in an outage */
    MEASURE_PLATFORM_RECOVERY, /* peak calls/s in the 30 s after it */
    MEASURE_COLUMNS
};

/** measure_names - one for each column, for the table and JSON */
extern const char *const measure_names[MEASURE_COLUMNS];

/** measure_cell() - all columns for a cell of @size */
void
measure_cell(size_t size, double *columns);

/** struct measure_threads - control threads with real sockets */
struct measure_threads {
    double cpu_us;       /* us of a core a second and thread, in rest */
    double cpu_us_worst; /* the thread that spent most */
    double memory_bytes; /* resident bytes more for each process's control */
    double bytes_out;    /* bytes/s, without IP and UDP headers */
    double platform;     /* calls/s of all to the stand-in platform, in rest */
    double config_p50_ms; /* a change in force, over all threads */
    double config_max_ms;
};

/** measure_threads() - @size control threads on loopback for some seconds */
int
measure_threads(size_t size, unsigned seconds, struct measure_threads *out);

/** struct measure_config_edit - a change of one line in a text */
struct measure_config_edit {
    double bytes;      /* of the text */
    double edit_bytes; /* what is sent in its place */
    double diff_us;    /* to find the edit, at the first reader */
    double apply_us;   /* to apply it and read the text, at each process */
};

/** measure_config_edit() - for a text of @services */
int
measure_config_edit(size_t services, struct measure_config_edit *out);

#endif
