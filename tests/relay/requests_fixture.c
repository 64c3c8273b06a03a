#include "relay/requests_fixture.h"

#include "lib/harness.h"

void
requests_init(struct fixture *fixture)
{
    fixture_init(fixture);
    fixture->admission.scheduling = true;
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
}

void
requests_send_packet(struct fixture *fixture, struct relay_packet packet,
                     uint8_t priority)
{
    struct frame_forward frame = {
        .service = fixture->admission.endpoint.service,
        .origin = fixture_addr(FIXTURE_BALANCER),
        .view.version = 1,
        .priority = priority,
        .target_ms = REQUESTS_TARGET_MS,
        .caller_timeout_ms = 1400,
        .request_timeout_ms = REQUESTS_TIMEOUT_MS,
        .bytes = packet.bytes,
        .size = packet.size,
    };

    admission_handle_forward(&fixture->admission, &frame, &packet,
                             fixture->now_us);
}

void
requests_send_part(struct fixture *fixture, unsigned number, unsigned before,
                   unsigned at, uint16_t len, uint8_t flags, uint8_t priority)
{
    requests_send_packet(
        fixture,
        fixture_from_caller(fixture_flow(number), RELAY_ACK | flags,
                            REQUESTS_SEQ(before) + at,
                            501 + REQUESTS_ANSWER * before, len),
        priority);
}

void
requests_send_request(struct fixture *fixture, unsigned number,
                      unsigned before, uint8_t priority)
{
    requests_send_part(fixture, number, before, 0, 40, 0, priority);
}

void
requests_answer(struct fixture *fixture, unsigned number, unsigned before)
{
    fixture_answer(fixture, fixture_from_endpoint(
                                fixture_flow(number), RELAY_ACK,
                                501 + REQUESTS_ANSWER * before,
                                REQUESTS_SEQ(before + 1), REQUESTS_ANSWER));
}

void
requests_send_syn(struct fixture *fixture, unsigned number, uint8_t priority)
{
    requests_send_packet(
        fixture,
        fixture_from_caller(fixture_flow(number), RELAY_SYN, 100, 0, 0),
        priority);
}

void
requests_answer_syn(struct fixture *fixture, unsigned number)
{
    fixture_answer(fixture,
                   fixture_from_endpoint(fixture_flow(number),
                                         RELAY_SYN | RELAY_ACK, 500, 101, 0));
}

void
requests_open_flow(struct fixture *fixture, unsigned number)
{
    requests_send_syn(fixture, number, REQUESTS_ORDINARY);
    requests_answer_syn(fixture, number);
}

void
requests_open_flows(struct fixture *fixture, unsigned count)
{
    for (unsigned i = 1; i <= count; i++) {
        requests_open_flow(fixture, i);
        requests_send_request(fixture, i, 0, REQUESTS_ORDINARY);
        requests_answer(fixture, i, 0);
    }
}

void
requests_start_full(struct fixture *fixture, unsigned count)
{
    requests_open_flows(fixture, REQUESTS_ROOM + count);
    for (unsigned i = 1; i <= REQUESTS_ROOM; i++) {
        requests_send_request(fixture, i, 1, REQUESTS_ORDINARY);
    }
    g_assert_true(fixture->admission.engaged);
    g_assert_cmpuint(fixture->admission.scheduler.running_count, ==,
                     REQUESTS_ROOM);
    g_string_truncate(fixture->record, 0);
}
