#include "directory/forward.h"

#include <string.h>

static const uint8_t mark[FORWARD_HEADER] = {0x00, 0x04, 0x00, FORWARD_FLAG};

void
forward_encode(uint8_t *buf)
{
    memcpy(buf, mark, sizeof(mark));
}

bool
forward_is_marked(const uint8_t *buf, size_t len)
{
    return len >= sizeof(mark) && memcmp(buf, mark, sizeof(mark)) == 0;
}

void
forward_note_gone(struct forward_gone *gone, struct addr addr, uint64_t now_us)
{
    size_t at = gone->next;

    for (size_t i = 0; i < FORWARD_GONE_MAX; i++) {
        if (addr_equal(gone->addrs[i], addr))
            at = i;
    }
    if (at == gone->next)
        gone->next = (gone->next + 1) % FORWARD_GONE_MAX;
    gone->addrs[at] = addr;
    gone->until_us[at] = now_us + FORWARD_GONE_US;
}

static bool
is_gone(const struct forward_gone *gone, struct addr addr, uint64_t now_us)
{
    for (size_t i = 0; gone != NULL && i < FORWARD_GONE_MAX; i++) {
        if (now_us < gone->until_us[i] && addr_equal(gone->addrs[i], addr))
            return true;
    }
    return false;
}

static struct addr
choose(const struct directory_table_cell *cell,
       const struct forward_gone *gone, uint64_t turn, uint64_t now_us)
{
    for (size_t i = 0; i < cell->gateway_count; i++) {
        struct addr addr = directory_table_gateway(cell, turn + i);

        if (!is_gone(gone, addr, now_us))
            return addr;
    }
    return directory_table_gateway(cell, turn);
}

bool
forward_goes_before(const struct directory_table *table,
                    const struct packet *packet)
{
    return table != NULL && table->lost > 0 &&
           directory_table_find(table, packet->dst, packet->dport,
                                packet->proto) != NULL;
}

enum packet_drop
forward_decide(const struct directory_table *table,
               const struct forward_gone *gone, const struct packet *packet,
               bool marked, uint64_t now_us, struct addr *to)
{
    const struct directory_table_cell *cell;
    uint64_t turn;

    if (marked)
        return PACKET_HOP_LIMIT;
    if (table == NULL)
        return PACKET_NO_SERVICE;
    cell =
        directory_table_find(table, packet->dst, packet->dport, packet->proto);
    if (cell == NULL)
        return PACKET_NO_SERVICE;
    /* The low bits of the hash choose among the gateway's own candidates. */
    turn = (packet_flow_hash(packet) >> 32) + now_us / FORWARD_TURN_US;
    *to = choose(cell, gone, turn, now_us);
    return PACKET_OK;
}
