#include "stack/pcbs.h"

#include <lwip/priv/tcp_priv.h>

/* A peer that retransmits its last packets after a backoff must not get a
 * reset. lwIP scans all connections in TIME-WAIT for each SYN, so beyond
 * PCBS_TIME_WAIT_MAX the oldest are freed sooner. */
#define TIME_WAIT_TICKS (60000 / TCP_SLOW_INTERVAL)
#define TIME_WAIT_SHORT_TICKS (10000 / TCP_SLOW_INTERVAL)
/* Bounds the memory used in a SYN flood. */
#define HALF_OPEN_MAX 4096
#define HALF_OPEN_EVICT (HALF_OPEN_MAX / 4)

void
pcbs_sweep_time_wait_locked(void)
{
    struct tcp_pcb *pcb;
    struct tcp_pcb *next;
    size_t count = 0;
    uint32_t age;

    /* lwIP inserts new connections at the head. */
    for (pcb = tcp_tw_pcbs; pcb != NULL; pcb = next) {
        next = pcb->next;
        age = tcp_ticks - pcb->tmr;
        if (age > TIME_WAIT_TICKS ||
            (count >= PCBS_TIME_WAIT_MAX && age > TIME_WAIT_SHORT_TICKS)) {
            tcp_abort(pcb);
        }
        else {
            count++;
        }
    }
}

static bool
pcb_matches(const struct tcp_pcb *pcb, struct addr from, struct addr to)
{
    return pcb->remote_port == from.port && pcb->local_port == to.port &&
           ip_addr_get_ip4_u32(&pcb->remote_ip) == lwip_htonl(from.ip) &&
           ip_addr_get_ip4_u32(&pcb->local_ip) == lwip_htonl(to.ip);
}

void
pcbs_abort_time_wait_locked(struct addr from, struct addr to)
{
    struct tcp_pcb *pcb;

    for (pcb = tcp_tw_pcbs; pcb != NULL; pcb = pcb->next) {
        if (pcb_matches(pcb, from, to)) {
            tcp_abort(pcb);
            return;
        }
    }
}

size_t
pcbs_half_open_locked(void)
{
    const struct tcp_pcb *pcb;
    size_t count = 0;

    for (pcb = tcp_active_pcbs; pcb != NULL; pcb = pcb->next) {
        count += pcb->state == SYN_RCVD;
    }
    return count;
}

/* Returns the age of the oldest half-open connection, in ticks. */
static uint32_t
oldest_half_open_locked(void)
{
    const struct tcp_pcb *pcb;
    uint32_t oldest = 0;

    for (pcb = tcp_active_pcbs; pcb != NULL; pcb = pcb->next) {
        if (pcb->state == SYN_RCVD && tcp_ticks - pcb->tmr > oldest) {
            oldest = tcp_ticks - pcb->tmr;
        }
    }
    return oldest;
}

/* Sends no reset: another agent may serve the caller's flow. */
static void
evict_half_open_locked(void)
{
    uint32_t oldest = oldest_half_open_locked();
    size_t evicted = 0;
    struct tcp_pcb *pcb;
    struct tcp_pcb *next;

    for (pcb = tcp_active_pcbs; pcb != NULL && evicted < HALF_OPEN_EVICT;
         pcb = next) {
        next = pcb->next;
        if (pcb->state == SYN_RCVD && tcp_ticks - pcb->tmr == oldest) {
            tcp_abandon(pcb, 0);
            evicted++;
        }
    }
}

void
pcbs_limit_half_open_locked(size_t *estimate)
{
    /* Count only when the estimate reaches the bound. */
    if (*estimate < HALF_OPEN_MAX) {
        return;
    }
    *estimate = pcbs_half_open_locked();
    if (*estimate >= HALF_OPEN_MAX) {
        evict_half_open_locked();
        *estimate = pcbs_half_open_locked();
    }
}
