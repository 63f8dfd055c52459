/* Responses to users who cancel a job. */
#include "check.h"
#include "json_cbor.h"
#include "user_fixture.h"

static void cancellation_outcomes(void **state) {
    (void)state;
    static const struct {
        const char *what;
        const char *watched_state; /* delivered by the watch before the transaction is answered */
        int commit_status;         /* 0: the answer is lost */
        const char *read_state;    /* by the fresh read after it; "": none is made */
        int status;                /* 0: another transaction is sent */
        const char *state;
    } rows[] = {
        {"carried out", NULL, 200, "", 200, "cancelled"},
        {"the watch delivers it first", "cancelled", 200, "", 200, "cancelled"},
        {"no answer, nothing from the watch", NULL, 0, "", 503, NULL},
        {"refused", NULL, 503, "", 503, NULL},
        {"only the answer is lost", "cancelled", 0, "", 200, "cancelled"},
        {"no answer, and the job is done", "done", 0, "", 200, "done"},
        {"another node wrote first", "cancelled", 409, "", 200, "cancelled"},
        {"the job was done first", "done", 409, "", 200, "done"},
        {"the job was done first, not delivered by the watch", NULL, 409, "done", 200, "done"},
        {"another node wrote first, not delivered by the watch", NULL, 409, "cancelled", 200, "cancelled"},
        {"the job changed and is still queued", NULL, 409, "queued", 0, NULL},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        apply_watched_change(ACCEPTED_REVISION, "queued");
        user_cancel(0);
        answer_fresh_read(0, NULL);
        assert_int_equal(compared_revision(), ACCEPTED_REVISION);
        if (rows[i].watched_state) apply_watched_change(CHANGED_REVISION, rows[i].watched_state);
        answer_commit(rows[i].commit_status, CHANGED_REVISION);
        if (*rows[i].read_state) answer_fresh_read(CHANGED_REVISION, rows[i].read_state);
        expect_reply(rows[i].what, 0, rows[i].status, rows[i].state);
        if (!rows[i].status) assert_int_equal(compared_revision(), CHANGED_REVISION);
    }
}

/* A cancellation whose answer is lost may be carried out late, after the user was told to retry. */
static void cancellation_is_carried_out_late(void **state) {
    (void)state;
    apply_watched_change(ACCEPTED_REVISION, "queued");
    user_cancel(0);
    answer_fresh_read(0, NULL);
    answer_commit(0, 0);
    expect_reply("not known to be written", 0, 503, NULL);
    poll_job(1);
    answer_fresh_read(0, NULL);
    expect_reply("still to be written", 1, 200, "queued");
    user_cancel(2);
    answer_fresh_read(0, NULL);
    /* Whichever transaction is carried out first makes the other fail. */
    assert_int_equal(compared_revision(), ACCEPTED_REVISION);
    apply_watched_change(CHANGED_REVISION, "cancelled");
    answer_commit(409, 0);
    expect_reply("the first transaction was carried out late", 2, 200, "cancelled");
}

/* A job whose record can't be decoded never runs, but its user can still cancel it. */
static void job_with_unreadable_record_is_cancelled(void **state) {
    (void)state;
    struct amb_buf value = cbor_from_text("{\"s\":\"queued\",\"a\":1,\"d\":{\"ref\":\"" JOB_REF "\"}}");
    const struct amb_cbor_item *item = amb_cbor_parse(value.data, value.len);
    amb_jobs_apply_item(node, JOB_REF, item, ACCEPTED_REVISION);
    amb_buf_free(&value);
    user_cancel(0);
    answer_fresh_read(0, NULL);
    assert_int_equal(compared_revision(), ACCEPTED_REVISION);
    answer_commit(200, CHANGED_REVISION);
    expect_reply("cancelled", 0, 200, "cancelled");
}

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(cancellation_outcomes),
        TEST(cancellation_is_carried_out_late),
        TEST(job_with_unreadable_record_is_cancelled),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
