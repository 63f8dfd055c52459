/* What users are told of a job, and the reads of the state service on which answers rest. */
#include "check.h"
#include "json_cbor.h"
#include "user_fixture.h"

/* Only a read that was sent after the question answers it. */
static void a_read_sent_before_answers_nobody(void **state) {
    (void)state;
    apply_watched_change(ACCEPTED_REVISION, "queued");
    poll_job(0);
    assert_int_equal(fake_count_sent_calls(CHANGES_PATH), 1);
    poll_job(1); /* the job is cancelled elsewhere after the first read was made, and before this question */
    user_cancel(2);
    user_submit(3, VALID_SUBMISSION);
    assert_int_equal(fake_count_sent_calls(CHANGES_PATH), 1);
    answer_fresh_read(0, NULL);
    expect_reply("asked before the read", 0, 200, "queued");
    for (int user = 1; user < 4; user++) expect_no_reply("asked after it was sent", user);
    fire_timer(&node->watch.fresh_read_timer);
    answer_fresh_read(CHANGED_REVISION, "cancelled");
    for (int user = 1; user < 4; user++) expect_reply("asked before the second read", user, 200, "cancelled");
    assert_int_equal(fake_count_sent_calls(COMMIT_PATH), 0);
}

/* What a question is answered, by what the node knows and what a fresh read says. */
static void questions(void **state) {
    (void)state;
    static const struct {
        const char *what, *known; /* NULL: the job is unknown here */
        int sync;                 /* the read's status; -1: none is made */
        const char *read;
        int poll, cancel; /* statuses; cancel 0: a transaction is sent */
        const char *stance;
    } rows[] = {
        {"unknown everywhere", NULL, 200, NULL, 404, 404, NULL},
        {"accepted elsewhere", NULL, 200, "queued", 200, 0, "queued"},
        {"done elsewhere", NULL, 200, "done", 200, 200, "done"},
        {"unknown, and nothing can be read", NULL, 0, NULL, 503, 503, NULL},
        {"accepted", "queued", 200, NULL, 200, 0, "queued"},
        {"accepted, done elsewhere", "queued", 200, "done", 200, 200, "done"},
        {"accepted, cancelled elsewhere", "queued", 200, "cancelled", 200, 200, "cancelled"},
        {"accepted, and nothing can be read", "queued", 503, NULL, 503, 503, NULL},
        {"accepted, and changes are gone", "queued", 410, NULL, 503, 503, NULL},
        {"done", "done", -1, NULL, 200, 200, "done"},
        {"cancelled", "cancelled", -1, NULL, 200, 200, "cancelled"},
    };
    for (size_t i = 0; i < ROWS(rows); i++)
        for (int kind = 0; kind < 2; kind++) {
            fixture_reset();
            if (rows[i].known) apply_watched_change(ACCEPTED_REVISION, rows[i].known);
            kind ? user_cancel(0) : poll_job(0);
            assert_int_equal(fake_count_sent_calls(CHANGES_PATH), rows[i].sync >= 0);
            if (rows[i].sync == 200)
                answer_fresh_read(CHANGED_REVISION, rows[i].read);
            else if (rows[i].sync >= 0)
                fake_answer(open_call(CHANGES_PATH), rows[i].sync, NULL);
            int status = kind ? rows[i].cancel : rows[i].poll;
            expect_reply(rows[i].what, 0, status, status ? rows[i].stance : NULL);
            if (!status)
                assert_int_equal(compared_revision(),
                                 rows[i].known && !rows[i].read ? ACCEPTED_REVISION : CHANGED_REVISION);
        }
}

/* What was final while the read was under way is answered though the read gets no answer. */
static void final_states_need_no_read(void **state) {
    (void)state;
    static const char *const states[] = {"done", "cancelled"};
    for (size_t i = 0; i < ROWS(states); i++) {
        fixture_reset();
        apply_watched_change(ACCEPTED_REVISION, "queued");
        poll_job(0);
        apply_watched_change(CHANGED_REVISION, states[i]);
        fake_answer(open_call(CHANGES_PATH), 0, NULL);
        expect_reply("final by the watch", 0, 200, states[i]);
    }
    fixture_reset();
    apply_watched_change(ACCEPTED_REVISION, "queued");
    poll_job(0);
    amb_job_apply_cancel_hint(node, JOB_REF, amb_wall_ms(), CHANGED_REVISION);
    fake_answer(open_call(CHANGES_PATH), 0, NULL);
    expect_reply("by a peer's word", 0, 200, "cancelled");
    apply_watched_change(CHANGED_REVISION, "cancelled");
    poll_job(1);
    expect_reply("and when news bring it", 1, 200, "cancelled");
}

/* Older news than what is known change nothing, whichever way they come. */
static void old_news(void **state) {
    (void)state;
    apply_watched_change(CHANGED_REVISION, "cancelled");
    apply_watched_change(ACCEPTED_REVISION, "queued");
    poll_job(0);
    expect_reply("after an older change", 0, 200, "cancelled");
    apply_watched_change(CHANGED_REVISION, "done");
    poll_job(1);
    expect_reply("after another of the same stamp", 1, 200, "cancelled");
    node->watch.known_revision = CHANGED_REVISION;
    user_submit(2, "{\"ref\":\"wk-7\"}");
    answer_fresh_read(ACCEPTED_REVISION, "queued"); /* a read that lags */
    assert_int_equal(node->watch.known_revision, CHANGED_REVISION);
    poll_job(3);
    expect_reply("after a read that lags", 3, 200, "cancelled");
}

static void answer_list(int epoch, const char *pairs, bool more) {
    struct amb_buf body = cbor_from_text("{\"pairs\":[%s],\"truncated\":%s,\"epoch\":%d}", pairs,
                                         more ? "true" : "false", epoch);
    fake_answer(open_call("/store?"), 200, &body);
}

/* Changes are gone by when the node asks for them: it lists all keys, once, and what changes meanwhile is
 * followed from where the listing began. */
static void list_once(int status) {
    static const char queued[] =
        "{\"path\":\"a/job/" JOB_REF "\",\"stamp\":5,\"value\":{\"s\":\"queued\",\"a\":1}}";
    apply_watched_change(5, "queued");
    node->watch.known_revision = 5;
    for (int user = 0; user < 3; user++) {
        if (node->watch.fresh_read_timer.position) fire_timer(&node->watch.fresh_read_timer);
        poll_job(user);
        fake_answer(open_call(CHANGES_PATH), status, NULL);
        expect_reply("while it lists", user, 503, NULL);
        if (user == 0) answer_list(20000, queued, true);
    }
    assert_int_equal(fake_count_sent_calls("/store?"), 2);
    /* The job is cancelled between the pages, at 20010. */
    answer_list(20020, "{\"path\":\"a/leader\",\"stamp\":7,\"value\":{\"member\":\"n\",\"nonce\":1}}", false);
    assert_int_equal(node->watch.known_revision, 20000);
    assert_string_equal(open_call(CHANGES_PATH)->path, "/follow?prefix=a/&after=20000&wait_ms=2000");
}

static void one_listing_at_a_time(void **state) {
    (void)state;
    list_once(410);
}

/* More has changed than the node may read at a time: asked for again, it would be as long. */
static void changes_too_long_to_read_are_listed(void **state) {
    (void)state;
    list_once(AMB_HTTP_RESPONSE_TOO_LARGE);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(a_read_sent_before_answers_nobody),
        TEST(questions),
        TEST(final_states_need_no_read),
        TEST(old_news),
        TEST(one_listing_at_a_time),
        TEST(changes_too_long_to_read_are_listed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
