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

enum packet_drop
forward_decide(const struct directory_table *table,
               const struct packet *packet, bool marked, struct addr *to)
{
    const struct directory_table_cell *cell;

    if (marked)
        return PACKET_HOPS;
    if (table == NULL)
        return PACKET_SERVICE;
    cell =
        directory_table_find(table, packet->dst, packet->dport, packet->proto);
    if (cell == NULL)
        return PACKET_SERVICE;
    *to = directory_table_gateway(cell, packet_flow_hash(packet));
    return PACKET_OK;
}
