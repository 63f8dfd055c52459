/* The scale-in intent log: it is written before the cloud is called, and read by a new leader. */
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

#define SCALE_IN_KEY "b/returns"

enum { FIRST_REVISION = 60, NEXT_REVISION = 70 };

/* ---- steps of the leader ---- */

static void run_tick(void) {
    fake_clock_advance(1000);
    node->election.renewed_at = node->cloud.list.started_at = amb_now();
    amb_cloud_tick(node, amb_now());
}

static void scale_in(const char *name) {
    node->formats.recorded = AMB_FORMAT_2;
    amb_cloud_scale_in(node, machine_up(name, 0), "idle");
    run_tick();
}

static bool is_cloud_called(void) {
    return find_call("POST", "/machines/release") != NULL;
}

/* Returns the write of the record in flight, and checks that it names only this machine and compares the
 * leader's term and this revision of the key. */
static struct fake_call *expect_write(const char *name, uint64_t revision) {
    struct fake_call *commit = open_call("POST", "/commit");
    const struct amb_cbor_item *value = fake_txn_put(commit, SCALE_IN_KEY, NULL);
    assert_non_null(value);
    assert_int_equal(fake_txn_compared_revision(commit, LEADER_KEY), TERM);
    assert_int_equal(fake_txn_compared_revision(commit, SCALE_IN_KEY), revision);
    assert_int_equal(amb_cbor_list_length(amb_cbor_map_get(value, "machines")), 1);
    assert_true(amb_cbor_equals(amb_cbor_list_item(amb_cbor_map_get(value, "machines"), 0), name));
    return commit;
}

static void encode_record(struct amb_buf *out, const char *name) {
    amb_cbor_write_map(out, 2);
    amb_cbor_write_string(out, "form"), amb_cbor_write_uint(out, 1);
    amb_cbor_write_string(out, "machines"), amb_cbor_write_list(out, 1), amb_cbor_write_string(out, name);
}

static void answer_released(void) {
    struct amb_buf empty = {0};
    amb_cbor_write_map(&empty, 0);
    fake_answer(open_call("POST", "/machines/release"), 200, &empty);
}

/* Answers the read of the key with a record that names this machine; NULL: the key does not exist. */
static void answer_read(const char *name, uint64_t revision) {
    struct amb_buf body = {0};
    if (!name) {
        fake_answer(open_call("GET", "/store/" SCALE_IN_KEY), 404, NULL);
        return;
    }
    amb_cbor_write_map(&body, 3);
    amb_cbor_write_string(&body, "path"), amb_cbor_write_string(&body, SCALE_IN_KEY);
    amb_cbor_write_string(&body, "stamp"), amb_cbor_write_uint(&body, revision);
    amb_cbor_write_string(&body, "value"), encode_record(&body, name);
    fake_answer(open_call("GET", "/store/" SCALE_IN_KEY), 200, &body);
}

/* ---- writing ---- */

static void release_is_recorded_before_the_cloud_is_called(void **state) {
    (void)state;
    scale_in("m-1");
    struct fake_call *commit = expect_write("m-1", 0);
    run_tick();
    if (is_cloud_called()) fail_msg("the cloud is called before the write is answered");
    answer_committed(commit, FIRST_REVISION);
    run_tick();
    assert_true(is_cloud_called());
    answer_released();
    assert_null(amb_machine_get(node, "m-1", false));
    /* The next record replaces this one. */
    scale_in("m-2");
    answer_committed(expect_write("m-2", FIRST_REVISION), NEXT_REVISION);
    run_tick();
    assert_true(is_cloud_called());
}

/* Whatever happens to a write, the cloud is called only once the record is known to be stored, and a late
 * copy of the write cannot replace a later record. */
static void unconfirmed_write_is_resolved_before_the_cloud_is_called(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int status;         /* of the write; 0: no answer */
        const char *stored; /* the machine in the record that is read back; NULL: the key does not exist */
        bool read, called;  /* the key is read back; after that the cloud is called without another write */
    } rows[] = {
        {"answer lost, write carried out", 0, "m-1", true, true},
        {"answer lost, write not carried out, old record", 0, "m-0", true, false},
        {"answer lost, write not carried out, no record", 0, NULL, true, false},
        {"comparison failed", 409, "m-0", true, false},
        {"refused", 503, NULL, false, false},
        {"too many changes", 429, NULL, false, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        scale_in("m-1");
        fake_answer(expect_write("m-1", 0), rows[i].status, NULL);
        run_tick();
        if (rows[i].read) {
            if (is_cloud_called()) fail_msg("%s: the cloud is called", rows[i].what);
            answer_read(rows[i].stored, NEXT_REVISION);
            run_tick();
        }
        if (is_cloud_called() != rows[i].called) fail_msg("%s: called %d", rows[i].what, !rows[i].called);
        if (rows[i].called) continue;
        answer_committed(expect_write("m-1", rows[i].stored ? NEXT_REVISION : 0), NEXT_REVISION + 1);
        run_tick();
        if (!is_cloud_called()) fail_msg("%s: never called", rows[i].what);
    }
}

static void nothing_is_recorded_while_format_1_may_lead(void **state) {
    (void)state;
    amb_cloud_scale_in(node, machine_up("m-1", 0), "idle");
    run_tick();
    assert_true(is_cloud_called());
    assert_null(find_call("POST", "/commit"));
}

/* ---- a new leader ---- */

static void restore_record(const char *name) {
    struct amb_buf value = {0};
    encode_record(&value, name);
    const struct amb_cbor_item *item = amb_cbor_parse(value.data, value.len);
    amb_scale_in_log_restore(node, SCALE_IN_KEY, item, FIRST_REVISION);
    amb_buf_free(&value);
}

/* A release call of the earlier leader may still be in flight: no task is placed on its machines, whenever
 * the machine becomes known, and the call is repeated until it is answered. */
static void new_leader_continues_the_recorded_release(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool known_before, known_after;
    } rows[] = {{"known before", true, false}, {"known later", false, true}, {"never known", false, false}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        node->formats.recorded = AMB_FORMAT_2;
        if (rows[i].known_before) machine_up("m-1", 0);
        restore_record("m-1");
        if (rows[i].known_after) machine_up("m-1", 0)->state = AMB_MACHINE_UP;
        struct amb_machine *machine = amb_machine_get(node, "m-1", false);
        if (machine && amb_machine_is_schedulable(node, machine, amb_now()))
            fail_msg("%s: schedulable", rows[i].what);
        if (machine && !machine->release_pending) fail_msg("%s: not marked for release", rows[i].what);
        run_tick();
        assert_null(find_call("POST", "/commit")); /* the release is already recorded */
        fake_answer(open_call("POST", "/machines/release"), 0, NULL);
        run_tick();
        answer_released();
        assert_null(amb_machine_get(node, "m-1", false));
        assert_true(amb_machine_was_removed(node, "m-1"));
        scale_in("m-2");
        expect_write("m-2", FIRST_REVISION);
    }
}

/* The record dates from before duties came into use, and all its release calls had been answered by then. */
static void record_is_ignored_while_duties_are_in_use(void **state) {
    (void)state;
    node->formats.recorded = AMB_FORMAT_2;
    node->duties.mode = AMB_DUTY_MODE_DUTIES;
    restore_record("m-1");
    run_tick();
    assert_false(is_cloud_called());
    assert_int_equal(node->cloud.scale_in_log.revision, FIRST_REVISION);
}

static void answers_of_an_earlier_term_are_ignored(void **state) {
    (void)state;
    scale_in("m-1");
    struct fake_call *commit = expect_write("m-1", 0);
    node->election.term = TERM + 1;
    answer_committed(commit, FIRST_REVISION);
    assert_int_equal(node->cloud.scale_in_log.state, AMB_SCALE_IN_LOG_WRITING);
    amb_cloud_reset(node);
    assert_int_equal(node->cloud.scale_in_log.state, AMB_SCALE_IN_LOG_UNRECORDED);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(release_is_recorded_before_the_cloud_is_called, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(unconfirmed_write_is_resolved_before_the_cloud_is_called,
                                        fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(nothing_is_recorded_while_format_1_may_lead, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(new_leader_continues_the_recorded_release, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(record_is_ignored_while_duties_are_in_use, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(answers_of_an_earlier_term_are_ignored, fixture_setup,
                                        fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
