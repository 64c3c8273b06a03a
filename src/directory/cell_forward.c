#include "directory/cell_forward.h"

#include <string.h>

static const uint8_t mark[CELL_FORWARD_HEADER_LEN] = {0x00, 0x04, 0x00,
                                                      CELL_FORWARD_FLAG};

void
cell_forward_encode(uint8_t *buf)
{
    memcpy(buf, mark, sizeof(mark));
}

bool
cell_forward_is_marked(const uint8_t *buf, size_t len)
{
    return len >= sizeof(mark) && memcmp(buf, mark, sizeof(mark)) == 0;
}

void
cell_forward_note_refused(struct cell_forward_refused *refused,
                          struct addr addr, uint64_t now_us)
{
    size_t at = refused->next;

    for (size_t i = 0; i < CELL_FORWARD_REFUSED_MAX; i++) {
        if (addr_equal(refused->addrs[i], addr))
            at = i;
    }
    if (at == refused->next)
        refused->next = (refused->next + 1) % CELL_FORWARD_REFUSED_MAX;
    refused->addrs[at] = addr;
    refused->until_us[at] = now_us + CELL_FORWARD_REFUSED_US;
}

static bool
is_refused(const struct cell_forward_refused *refused, struct addr addr,
           uint64_t now_us)
{
    for (size_t i = 0; refused != NULL && i < CELL_FORWARD_REFUSED_MAX; i++) {
        if (now_us < refused->until_us[i] &&
            addr_equal(refused->addrs[i], addr))
            return true;
    }
    return false;
}

static struct addr
choose_gateway(const struct directory_table_cell *cell,
               const struct cell_forward_refused *refused, uint64_t turn,
               uint64_t now_us)
{
    for (size_t i = 0; i < cell->gateway_count; i++) {
        struct addr addr = directory_table_gateway(cell, turn + i);

        if (!is_refused(refused, addr, now_us))
            return addr;
    }
    return directory_table_gateway(cell, turn);
}

bool
cell_forward_has_priority(const struct directory_table *table,
                          const struct packet *packet)
{
    return table != NULL && table->overridden > 0 &&
           directory_table_find(table, packet->dst, packet->dport,
                                packet->proto) != NULL;
}

enum packet_drop
cell_forward_decide(const struct directory_table *table,
                    const struct cell_forward_refused *refused,
                    const struct packet *packet, bool marked, uint64_t now_us,
                    struct addr *to)
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
    /* Use the high bits: the gateway picks its endpoint by the low bits. */
    turn =
        (packet_flow_hash(packet) >> 32) + now_us / CELL_FORWARD_ROTATION_US;
    *to = choose_gateway(cell, refused, turn, now_us);
    return PACKET_OK;
}
