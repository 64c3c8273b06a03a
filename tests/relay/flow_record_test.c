#include <errno.h>
#include <string.h>

#include "lib/harness.h"
#include "relay/records/flow_record.h"
#include "relay/relay_fixture.h"

#define SUITE "/relay/flow_record"

/** struct fixture - a record with two flows, and a second record */
struct fixture {
    struct flow_record record;
    struct flow_record other;
};

static void
fixture_init(struct fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    g_strlcpy(fixture->record.service, "lots", ROUTES_NAME_MAX);
    g_strlcpy(fixture->record.id, "i-1", ENDPOINT_ID_MAX);
    fixture->record.started_ms = 1700000000000;
    fixture->record.written_ms = 1700000007000;
    fixture->record.pace_ms = 5000;
    flow_record_add(&fixture->record, fixture_flow(2), 4000000000u);
    flow_record_add(&fixture->record, fixture_flow(1), 500);
    flow_record_sort(&fixture->record);
    flow_record_copy(&fixture->other, &fixture->record);
}

static void
fixture_finish(struct fixture *fixture)
{
    (void)fixture;
}

/* Decodes the record's encoding with @name replaced by @value. */
static int
decode_with(struct fixture *fixture, const char *name,
            struct json_object *value)
{
    struct json_object *json = flow_record_encode(&fixture->record);
    int ret;

    json_object_object_add(json, name, value);
    ret = flow_record_decode(json, &fixture->other);
    json_object_put(json);
    return ret;
}

TEST_F(fixture, a_record_is_decoded_as_it_was_encoded)
{
    struct json_object *json = flow_record_encode(&fixture->record);

    memset(&fixture->other, 0xff, sizeof(fixture->other));
    g_assert_cmpint(flow_record_decode(json, &fixture->other), ==, 0);
    json_object_put(json);
    g_assert_cmpstr(fixture->other.service, ==, "lots");
    g_assert_cmpstr(fixture->other.id, ==, "i-1");
    g_assert_cmpuint(fixture->other.started_ms, ==, 1700000000000);
    g_assert_cmpuint(fixture->other.written_ms, ==, 1700000007000);
    g_assert_cmpuint(fixture->other.pace_ms, ==, 5000);
    g_assert_cmpuint(fixture->other.count, ==, 2);
    g_assert_true(relay_flow_equal(fixture->other.flows[0].flow,
                                   fixture->record.flows[0].flow));
    g_assert_cmpuint(fixture->other.flows[1].seq, ==,
                     fixture->record.flows[1].seq);
}

TEST_F(fixture, a_full_record_takes_no_further_flow)
{
    struct json_object *json;

    while (fixture->record.count < FLOW_RECORD_FLOWS_MAX) {
        flow_record_add(&fixture->record, fixture_flow(fixture->record.count),
                        1);
    }
    g_assert_cmpuint(fixture->record.left_out, ==, 0);
    flow_record_add(&fixture->record, fixture_flow(9000), 1);
    g_assert_cmpuint(fixture->record.count, ==, FLOW_RECORD_FLOWS_MAX);
    g_assert_cmpuint(fixture->record.left_out, ==, 1);
    json = flow_record_encode(&fixture->record);
    g_assert_cmpint(flow_record_decode(json, &fixture->other), ==, 0);
    g_assert_cmpuint(fixture->other.count, ==, FLOW_RECORD_FLOWS_MAX);
    json_object_put(json);
}

/* Others may write objects of the same kind. */
TEST_F(fixture, an_object_that_is_no_whole_record_is_refused)
{
    static const char *const names[] = {"service",    "endpoint", "started_ms",
                                        "written_ms", "pace_ms",  "flows"};
    struct json_object *array = json_object_new_array();
    char *text = g_strnfill(ENDPOINT_ID_MAX, 'x');

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        g_assert_cmpint(decode_with(fixture, names[i], NULL), ==, -EINVAL);
        g_assert_cmpint(
            decode_with(fixture, names[i], json_object_new_array()), ==,
            -EINVAL);
    }
    g_assert_cmpint(
        decode_with(fixture, "started_ms", json_object_new_int64(-1)), ==,
        -EINVAL);
    g_assert_cmpint(
        decode_with(fixture, "pace_ms", json_object_new_int64(INT64_MAX)), ==,
        -EINVAL);
    /* A key of no use to this program, as of an earlier one. */
    g_assert_cmpint(decode_with(fixture, "epoch", json_object_new_int64(3)),
                    ==, 0);
    g_assert_cmpint(
        decode_with(fixture, "endpoint", json_object_new_string(text)), ==,
        -EINVAL);
    g_assert_cmpint(flow_record_decode(array, &fixture->other), ==, -EINVAL);
    g_assert_cmpint(flow_record_decode(NULL, &fixture->other), ==, -EINVAL);
    json_object_put(array);
    g_free(text);
}

TEST_F(fixture, broken_flows_are_refused)
{
    char *text = g_strnfill((FLOW_RECORD_FLOWS_MAX + 3) * 64 / 3, 'A');
    const char *const broken[] = {"AAAA", "AAAAAAAAAAAAAAAAAAAAAA==!", "????",
                                  "AAAAAAAAAAAAAAAAAAAAAA", text};

    for (size_t i = 0; i < G_N_ELEMENTS(broken); i++) {
        g_assert_cmpint(
            decode_with(fixture, "flows", json_object_new_string(broken[i])),
            ==, -EINVAL);
        g_assert_cmpuint(fixture->other.count, ==, 0);
    }
    g_free(text);
}

TEST_F(fixture, flows_have_ended_only_before_a_later_start_of_the_service)
{
    g_assert_false(flow_record_has_ended(&fixture->record, &fixture->other));
    /* Another id with the same start, or an earlier one, proves nothing: its
     * heartbeat may have been delayed. */
    g_strlcpy(fixture->other.id, "i-2", ENDPOINT_ID_MAX);
    g_assert_false(flow_record_has_ended(&fixture->record, &fixture->other));
    fixture->other.started_ms--;
    g_assert_false(flow_record_has_ended(&fixture->record, &fixture->other));
    fixture->other.started_ms += 2;
    g_assert_true(flow_record_has_ended(&fixture->record, &fixture->other));
    /* The same id may start again. */
    g_strlcpy(fixture->other.id, "i-1", ENDPOINT_ID_MAX);
    g_assert_true(flow_record_has_ended(&fixture->record, &fixture->other));
    g_strlcpy(fixture->other.service, "albums", ROUTES_NAME_MAX);
    g_assert_false(flow_record_has_ended(&fixture->record, &fixture->other));
}

TEST_F(fixture, an_incarnation_without_a_start_proves_nothing)
{
    fixture->other.started_ms = 0;
    g_strlcpy(fixture->other.id, "i-2", ENDPOINT_ID_MAX);
    g_assert_false(flow_record_has_ended(&fixture->record, &fixture->other));
    g_assert_false(flow_record_has_ended(&fixture->other, &fixture->record));
}

TEST_F(fixture, flows_that_are_new_or_far_on_are_not_covered)
{
    struct flow_record *current = &fixture->record;

    g_assert_cmpuint(flow_record_uncovered(current, &fixture->other), ==, 0);
    flow_record_add(current, fixture_flow(3), 1);
    flow_record_sort(current);
    g_assert_cmpuint(flow_record_uncovered(current, &fixture->other), ==, 1);
    current->flows[0].seq += 38400;
    g_assert_cmpuint(flow_record_uncovered(current, &fixture->other), ==, 1);
    current->flows[0].seq += 1;
    g_assert_cmpuint(flow_record_uncovered(current, &fixture->other), ==, 2);
    g_strlcpy(current->id, "i-2", ENDPOINT_ID_MAX);
    g_assert_cmpuint(flow_record_uncovered(current, &fixture->other), ==, 3);
}
