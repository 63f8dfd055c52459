/* The record of machines that the leader returns: written before the cloud is called, read by a new leader.
 */
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

#define RETURNS_KEY "b/returns"

enum { FIRST_STAMP = 60, NEXT_STAMP = 70 };

/* ---- the leader's turns ---- */

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

/* The record that is being written: these machines, under the leader's term and this stamp of the key. */
static struct fake_call *expect_write(const char *name, uint64_t revision) {
    struct fake_call *commit = open_call("POST", "/commit");
    const cbor_item_t *value = fake_txn_put(commit, RETURNS_KEY, NULL);
    assert_non_null(value);
    assert_int_equal(fake_txn_compared_revision(commit, LEADER_KEY), TERM);
    assert_int_equal(fake_txn_compared_revision(commit, RETURNS_KEY), revision);
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

/* What the key holds, as it is read back; NULL: it is not there. */
static void answer_read(const char *name, uint64_t revision) {
    struct amb_buf body = {0};
    if (!name) {
        fake_answer(open_call("GET", "/store/" RETURNS_KEY), 404, NULL);
        return;
    }
    amb_cbor_write_map(&body, 3);
    amb_cbor_write_string(&body, "path"), amb_cbor_write_string(&body, RETURNS_KEY);
    amb_cbor_write_string(&body, "stamp"), amb_cbor_write_uint(&body, revision);
    amb_cbor_write_string(&body, "value"), encode_record(&body, name);
    fake_answer(open_call("GET", "/store/" RETURNS_KEY), 200, &body);
}

/* ---- writing ---- */

static void recorded_before_the_cloud_is_called(void **state) {
    (void)state;
    scale_in("m-1");
    struct fake_call *commit = expect_write("m-1", 0);
    run_tick();
    if (is_cloud_called()) fail_msg("called before the record is known to stand");
    answer_committed(commit, FIRST_STAMP);
    run_tick();
    assert_true(is_cloud_called());
    answer_released();
    assert_null(amb_machine_get(node, "m-1", false));
    /* The next one replaces it. */
    scale_in("m-2");
    answer_committed(expect_write("m-2", FIRST_STAMP), NEXT_STAMP);
    run_tick();
    assert_true(is_cloud_called());
}

/* Whatever becomes of a write, the cloud is called once the record is known to stand, and not before; and a
 * late copy of the write can't replace a later record. */
static void writes_without_an_answer(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int status;         /* of the write; 0: no answer */
        const char *stands; /* what is read back; NULL: nothing */
        bool read, called;  /* the key is read; that is enough to call the cloud */
    } rows[] = {
        {"lost, but carried out", 0, "m-1", true, true},
        {"lost, and not carried out yet", 0, "m-0", true, false},
        {"lost, and there is none", 0, NULL, true, false},
        {"a guard did not hold", 409, "m-0", true, false},
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
            answer_read(rows[i].stands, NEXT_STAMP);
            run_tick();
        }
        if (is_cloud_called() != rows[i].called) fail_msg("%s: called %d", rows[i].what, !rows[i].called);
        if (rows[i].called) continue;
        answer_committed(expect_write("m-1", rows[i].stands ? NEXT_STAMP : 0), NEXT_STAMP + 1);
        run_tick();
        if (!is_cloud_called()) fail_msg("%s: never called", rows[i].what);
    }
}

static void not_recorded_while_old_versions_may_lead(void **state) {
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
    cbor_item_t *item = amb_cbor_parse(value.data, value.len);
    amb_scale_in_log_restore(node, RETURNS_KEY, item, FIRST_STAMP);
    cbor_decref(&item);
    amb_buf_free(&value);
}

/* The call may still be on its way: nothing is placed there, whenever the machine becomes known, and the call
 * is made again until it is answered. */
static void new_leaders_know_what_is_being_returned(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool known_before, known_after;
    } rows[] = {
        {"known from a record", true, false}, {"known later", false, true}, {"never known", false, false}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        node->formats.recorded = AMB_FORMAT_2;
        if (rows[i].known_before) machine_up("m-1", 0);
        restore_record("m-1");
        if (rows[i].known_after) machine_up("m-1", 0)->state = AMB_MACHINE_UP;
        struct amb_machine *machine = amb_machine_get(node, "m-1", false);
        if (machine && amb_machine_is_schedulable(node, machine, amb_now()))
            fail_msg("%s: used", rows[i].what);
        if (machine && !machine->release_pending) fail_msg("%s: not known to be returned", rows[i].what);
        run_tick();
        assert_null(find_call("POST", "/commit")); /* it is on record */
        fake_answer(open_call("POST", "/machines/release"), 0, NULL);
        run_tick();
        answer_released();
        assert_null(amb_machine_get(node, "m-1", false));
        assert_true(amb_machine_was_removed(node, "m-1"));
        scale_in("m-2");
        expect_write("m-2", FIRST_STAMP);
    }
}

/* All calls for it had been answered before duties came into use. */
static void the_record_is_of_the_past_once_duties_are_in_use(void **state) {
    (void)state;
    node->formats.recorded = AMB_FORMAT_2;
    node->duties.mode = AMB_DUTY_MODE_DUTIES;
    restore_record("m-1");
    run_tick();
    assert_false(is_cloud_called());
    assert_int_equal(node->cloud.scale_in_log.revision, FIRST_STAMP);
}

static void answers_of_an_earlier_term_mean_nothing(void **state) {
    (void)state;
    scale_in("m-1");
    struct fake_call *commit = expect_write("m-1", 0);
    node->election.term = TERM + 1;
    answer_committed(commit, FIRST_STAMP);
    assert_int_equal(node->cloud.scale_in_log.state, AMB_SCALE_IN_LOG_WRITING);
    amb_cloud_reset(node);
    assert_int_equal(node->cloud.scale_in_log.state, AMB_SCALE_IN_LOG_UNRECORDED);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(recorded_before_the_cloud_is_called, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(writes_without_an_answer, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(not_recorded_while_old_versions_may_lead, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(new_leaders_know_what_is_being_returned, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(the_record_is_of_the_past_once_duties_are_in_use, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(answers_of_an_earlier_term_mean_nothing, fixture_setup,
                                        fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
