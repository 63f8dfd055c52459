/* Responses to users' requests about a job, and the fresh reads of the key-value store that they depend on.
 */
#include "check.h"
#include "json_cbor.h"
#include "user_fixture.h"

/* Only a read that was sent after a request may answer it. */
static void a_read_sent_before_a_request_does_not_answer_it(void **state) {
    (void)state;
    apply_watched_change(ACCEPTED_REVISION, "queued");
    poll_job(0);
    assert_int_equal(fake_count_sent_calls(CHANGES_PATH), 1);
    /* Another node cancels the job after the read was carried out and before these requests. */
    poll_job(1);
    user_cancel(2);
    user_submit(3, VALID_SUBMISSION);
    assert_int_equal(fake_count_sent_calls(CHANGES_PATH), 1);
    answer_fresh_read(0, NULL);
    expect_reply("request before the read", 0, 200, "queued");
    for (int user = 1; user < 4; user++) expect_no_reply("request after the read was sent", user);
    fire_timer(&node->watch.fresh_read_timer);
    answer_fresh_read(CHANGED_REVISION, "cancelled");
    for (int user = 1; user < 4; user++)
        expect_reply("request before the second read", user, 200, "cancelled");
    assert_int_equal(fake_count_sent_calls(COMMIT_PATH), 0);
}

/* The responses to a query and to a cancellation, by what the node knows and what a fresh read returns. */
static void queries_and_cancellations(void **state) {
    (void)state;
    static const struct {
        const char *what, *known_state; /* NULL: the job is unknown here */
        int read_status;                /* of the fresh read; -1: none is made */
        const char *read_state;
        int query_status, cancel_status; /* 0: a transaction is sent */
        const char *state;
    } rows[] = {
        {"unknown everywhere", NULL, 200, NULL, 404, 404, NULL},
        {"accepted elsewhere", NULL, 200, "queued", 200, 0, "queued"},
        {"done elsewhere", NULL, 200, "done", 200, 200, "done"},
        {"unknown, and nothing can be read", NULL, 0, NULL, 503, 503, NULL},
        {"accepted", "queued", 200, NULL, 200, 0, "queued"},
        {"accepted, done elsewhere", "queued", 200, "done", 200, 200, "done"},
        {"accepted, cancelled elsewhere", "queued", 200, "cancelled", 200, 200, "cancelled"},
        {"accepted, and nothing can be read", "queued", 503, NULL, 503, 503, NULL},
        {"accepted, and the changes have been compacted", "queued", 410, NULL, 503, 503, NULL},
        {"done", "done", -1, NULL, 200, 200, "done"},
        {"cancelled", "cancelled", -1, NULL, 200, 200, "cancelled"},
    };
    for (size_t i = 0; i < ROWS(rows); i++)
        for (int kind = 0; kind < 2; kind++) {
            fixture_reset();
            if (rows[i].known_state) apply_watched_change(ACCEPTED_REVISION, rows[i].known_state);
            kind ? user_cancel(0) : poll_job(0);
            assert_int_equal(fake_count_sent_calls(CHANGES_PATH), rows[i].read_status >= 0);
            if (rows[i].read_status == 200)
                answer_fresh_read(CHANGED_REVISION, rows[i].read_state);
            else if (rows[i].read_status >= 0)
                fake_answer(open_call(CHANGES_PATH), rows[i].read_status, NULL);
            int status = kind ? rows[i].cancel_status : rows[i].query_status;
            expect_reply(rows[i].what, 0, status, status ? rows[i].state : NULL);
            if (!status)
                assert_int_equal(compared_revision(), rows[i].known_state && !rows[i].read_state
                                                          ? ACCEPTED_REVISION
                                                          : CHANGED_REVISION);
        }
}

/* A state that becomes final while the read is in progress is returned even if the read is not answered. */
static void final_states_need_no_read(void **state) {
    (void)state;
    static const char *const states[] = {"done", "cancelled"};
    for (size_t i = 0; i < ROWS(states); i++) {
        fixture_reset();
        apply_watched_change(ACCEPTED_REVISION, "queued");
        poll_job(0);
        apply_watched_change(CHANGED_REVISION, states[i]);
        fake_answer(open_call(CHANGES_PATH), 0, NULL);
        expect_reply("final according to the watch", 0, 200, states[i]);
    }
    fixture_reset();
    apply_watched_change(ACCEPTED_REVISION, "queued");
    poll_job(0);
    amb_job_apply_cancel_hint(node, JOB_REF, amb_wall_ms(), CHANGED_REVISION);
    fake_answer(open_call(CHANGES_PATH), 0, NULL);
    expect_reply("final according to a peer", 0, 200, "cancelled");
    apply_watched_change(CHANGED_REVISION, "cancelled");
    poll_job(1);
    expect_reply("final according to the watch, too", 1, 200, "cancelled");
}

/* A change older than what is known has no effect, whether the watch or a read delivers it. */
static void older_changes_are_ignored(void **state) {
    (void)state;
    apply_watched_change(CHANGED_REVISION, "cancelled");
    apply_watched_change(ACCEPTED_REVISION, "queued");
    poll_job(0);
    expect_reply("after an older change", 0, 200, "cancelled");
    apply_watched_change(CHANGED_REVISION, "done");
    poll_job(1);
    expect_reply("after another change of the same revision", 1, 200, "cancelled");
    node->watch.known_revision = CHANGED_REVISION;
    user_submit(2, "{\"ref\":\"wk-7\"}");
    answer_fresh_read(ACCEPTED_REVISION, "queued"); /* a stale read */
    assert_int_equal(node->watch.known_revision, CHANGED_REVISION);
    poll_job(3);
    expect_reply("after a stale read", 3, 200, "cancelled");
}

static void answer_store_page(int epoch, const char *pairs, bool more) {
    struct amb_buf body = cbor_from_text("{\"pairs\":[%s],\"truncated\":%s,\"epoch\":%d}", pairs,
                                         more ? "true" : "false", epoch);
    fake_answer(open_call("/store?"), 200, &body);
}

/* The changes that the node asks for can't be read: it lists all keys once, and then watches for changes from
 * the revision at which the listing began. */
static void check_single_listing(int status) {
    static const char queued[] =
        "{\"path\":\"a/job/" JOB_REF "\",\"stamp\":5,\"value\":{\"s\":\"queued\",\"a\":1}}";
    apply_watched_change(5, "queued");
    node->watch.known_revision = 5;
    for (int user = 0; user < 3; user++) {
        if (node->watch.fresh_read_timer.position) fire_timer(&node->watch.fresh_read_timer);
        poll_job(user);
        fake_answer(open_call(CHANGES_PATH), status, NULL);
        expect_reply("during the listing", user, 503, NULL);
        if (user == 0) answer_store_page(20000, queued, true);
    }
    assert_int_equal(fake_count_sent_calls("/store?"), 2);
    /* The job is cancelled between the pages, at 20010. */
    answer_store_page(20020, "{\"path\":\"a/leader\",\"stamp\":7,\"value\":{\"member\":\"n\",\"nonce\":1}}",
                      false);
    assert_int_equal(node->watch.known_revision, 20000);
    assert_string_equal(open_call(CHANGES_PATH)->path, "/follow?prefix=a/&after=20000&wait_ms=2000");
}

static void compacted_changes_cause_one_listing(void **state) {
    (void)state;
    check_single_listing(410);
}

/* The response is longer than the node accepts, and would be as long if the read were repeated. */
static void too_many_changes_cause_a_listing(void **state) {
    (void)state;
    check_single_listing(AMB_HTTP_RESPONSE_TOO_LARGE);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(a_read_sent_before_a_request_does_not_answer_it),
        TEST(queries_and_cancellations),
        TEST(final_states_need_no_read),
        TEST(older_changes_are_ignored),
        TEST(compacted_changes_cause_one_listing),
        TEST(too_many_changes_cause_a_listing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
