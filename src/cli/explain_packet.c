#include "cli/explain_packet.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <string.h>

#include "balancer/route.h"
#include "cli/format.h"
#include "packet/packet.h"
#include "packet/rank.h"
#include "service_config/service_config_retire.h"

#define TTL 64

/* Current time passed to route_decide(), after the end of every slow start. */
#define AFTER_SLOW_START_US UINT64_C(3600000000)

int
packet_spec_parse(const char *input, struct packet_spec *spec)
{
    char **parts = g_strsplit_set(input, " ", -1);
    guint count = g_strv_length(parts);
    int rc = -EINVAL;

    *spec = (struct packet_spec){.proto = SERVICE_CONFIG_TCP, .is_syn = true};
    if (count < 3 || count > 4 || addr_parse(parts[1], &spec->src) < 0 ||
        addr_parse(parts[2], &spec->dst) < 0) {
        goto out;
    }
    if (strcmp(parts[0], "udp") == 0) {
        spec->proto = SERVICE_CONFIG_UDP;
    }
    else if (strcmp(parts[0], "tcp") != 0) {
        goto out;
    }
    if (count == 4) {
        spec->is_syn = strcmp(parts[3], "syn") == 0;
        if (spec->proto != SERVICE_CONFIG_TCP ||
            (!spec->is_syn && strcmp(parts[3], "ack") != 0)) {
            goto out;
        }
    }
    rc = 0;

out:
    g_strfreev(parts);
    return rc;
}

static size_t
build_tcp(const struct packet_spec *spec, uint8_t *buf)
{
    struct iphdr ip = {
        .version = 4,
        .ihl = sizeof(ip) / 4,
        .tot_len = htons(sizeof(struct iphdr) + sizeof(struct tcphdr)),
        .ttl = TTL,
        .protocol = SERVICE_CONFIG_TCP,
        .saddr = htonl(spec->src.ip),
        .daddr = htonl(spec->dst.ip),
    };
    struct tcphdr tcp = {
        .source = htons(spec->src.port),
        .dest = htons(spec->dst.port),
        .doff = sizeof(tcp) / 4,
        .syn = spec->is_syn,
        .ack = !spec->is_syn,
    };

    memcpy(buf, &ip, sizeof(ip));
    ip.check = htons(packet_checksum(buf, sizeof(ip)));
    memcpy(buf, &ip, sizeof(ip));
    memcpy(buf + sizeof(ip), &tcp, sizeof(tcp));
    return sizeof(ip) + sizeof(tcp);
}

static size_t
build(const struct packet_spec *spec, uint8_t *buf)
{
    if (spec->proto == SERVICE_CONFIG_TCP) {
        return build_tcp(spec, buf);
    }
    return packet_build_udp(spec->src.ip, spec->src.port, spec->dst.ip,
                            spec->dst.port, NULL, 0, buf);
}

static void
print_packet(const struct packet_spec *spec, GString *out)
{
    char src[ADDR_TEXT_MAX];
    char dst[ADDR_TEXT_MAX];

    g_string_append_printf(
        out, "packet   %s %s -> %s, %s\n",
        service_config_proto_name(spec->proto), addr_format(spec->src, src),
        addr_format(spec->dst, dst),
        spec->proto == SERVICE_CONFIG_UDP ? "any datagram may open a flow"
        : spec->is_syn                    ? "SYN, may open a flow"
                                          : "ACK, belongs to an open flow");
}

static const char *
describe_eligibility(const struct view_member *member)
{
    if (member->health == MEMBER_DEAD) {
        return "dead: gets no packets";
    }
    if (member->health == MEMBER_SUSPECT) {
        return "suspect: gets no new flow, packets of its flows try the "
               "other endpoints first";
    }
    switch (member->state) {
    case MEMBER_READY:
        return "takes new flows";
    case MEMBER_WARMING:
        return "takes an increasing share of new flows (slow start)";
    case MEMBER_DRAINING:
        return "keeps its flows, gets no new flow";
    default:
        return "keeps its flows until it stops, gets no new flow";
    }
}

static void
print_member(const struct view_member *member, const char *label, GString *out)
{
    char data[ADDR_TEXT_MAX];

    g_string_append_printf(
        out, "%s %-24s %-12s %-21s %s, %s: %s\n", label, member->name,
        member->data_centre, addr_format(member->data, data),
        format_state(member->state), format_health(member->health),
        describe_eligibility(member));
}

static void
print_hops(const struct snapshot *snapshot, const struct gue *gue,
           GString *out)
{
    g_string_append(
        out, gue->flags & GUE_OPEN
                 ? "goes to  the first of these, which opens the flow unless "
                   "another of them has\n         it already\n"
                 : "goes to  the first of these; an agent without the flow "
                   "forwards it to the next\n");
    g_string_append(out, "order    by health rank, then by the score of each "
                         "endpoint for the bucket\n         (rendezvous "
                         "hashing), highest first\n");
    for (size_t i = 0; i < gue->count; i++) {
        const struct view_member *member =
            view_find(snapshot->view, gue->hops[i].member);
        char label[16];

        g_snprintf(label, sizeof(label), "  %zu.", i + 1);
        if (member != NULL) {
            print_member(member, label, out);
        }
    }
}

static bool
is_listed(const struct gue *gue, uint64_t member)
{
    for (size_t i = 0; i < gue->count; i++) {
        if (gue->hops[i].member == member) {
            return true;
        }
    }
    return false;
}

static void
print_others(const struct snapshot *snapshot, uint32_t service,
             const struct gue *gue, GString *out)
{
    const struct view *view = snapshot->view;
    bool any = false;

    for (size_t i = 0; i < view->count; i++) {
        const struct view_member *member = &view->members[i];

        if (member->role != MEMBER_AGENT || member->service != service ||
            is_listed(gue, member->id)) {
            continue;
        }
        if (!any) {
            g_string_append(out, "not used, being ranked lower or dead\n");
            any = true;
        }
        print_member(member, "   -", out);
    }
}

static void
print_service(const struct service_config_entry *service,
              const struct service_config_retired *retired,
              const struct packet *packet, GString *out)
{
    g_string_append_printf(out, "service  %s, %s\n", service->name,
                           service_config_class_name(service->class));
    g_string_append_printf(out,
                           "bucket   %u of %d, from the hash of the flow's "
                           "5-tuple\n",
                           rank_bucket(packet_flow_hash(packet)),
                           RANK_BUCKETS);
    if (retired != NULL) {
        char *until = service_config_format_time(retired->until_ms);

        g_string_append_printf(out,
                               "retired  the service has left this address; "
                               "it is kept for its open flows until\n"
                               "         %s. A new flow is reset, a new "
                               "datagram dropped.\n",
                               until);
        g_free(until);
    }
}

static void
print_dropped(const struct snapshot *snapshot, enum packet_drop drop,
              GString *out)
{
    const char *reason = drop == PACKET_NO_SERVICE
                             ? "no service of the configuration has this "
                               "address, port and protocol"
                             : "the service has no live endpoint";

    if (drop == PACKET_NO_ENDPOINT && snapshot->source_process[0] == '\0') {
        g_string_append(out, "goes to  endpoints are not part of the "
                             "configuration; use --operator\n");
        return;
    }
    g_string_append_printf(out, "dropped  %s (counted as reason=\"%s\")\n",
                           reason, packet_drop_name(drop));
}

int
explain_packet(const struct snapshot *snapshot, const struct packet_spec *spec,
               GString *out)
{
    const struct service_config_retired *retired = service_config_find_retired(
        snapshot->config, spec->dst.ip, spec->dst.port, spec->proto);
    const struct service_config_entry *service =
        retired != NULL
            ? &retired->service
            : service_config_find_addr(snapshot->config, spec->dst.ip,
                                       spec->dst.port, spec->proto);
    struct route_decision decision = {0};
    struct route_table *table;
    uint8_t buf[PACKET_MAX];
    size_t len = build(spec, buf);
    enum packet_drop drop;
    int rc = route_table_new(snapshot->view, snapshot->config, NULL, &table);

    if (rc < 0) {
        return rc;
    }
    drop = route_decide(table, buf, len, AFTER_SLOW_START_US, &decision);
    route_table_free(table);
    print_packet(spec, out);
    if (service == NULL) {
        print_dropped(snapshot, PACKET_NO_SERVICE, out);
        return 0;
    }
    print_service(service, retired, &decision.packet, out);
    if (drop != PACKET_OK) {
        print_dropped(snapshot, drop, out);
        return 0;
    }
    print_hops(snapshot, &decision.gue, out);
    print_others(snapshot, service->id, &decision.gue, out);
    return 0;
}
