/* What users are told when they cancel a job. */
#include "check.h"
#include "json_cbor.h"
#include "user_fixture.h"

static void cancellations_end(void **state) {
    (void)state;
    static const struct {
        const char *what;
        const char *heard; /* before the transaction is answered */
        int commit;
        const char *read; /* "": no read is made */
        int status;       /* 0: another transaction is sent */
        const char *stance;
    } rows[] = {
        {"carried out", NULL, 200, "", 200, "cancelled"},
        {"heard of first", "cancelled", 200, "", 200, "cancelled"},
        {"no answer, nothing heard", NULL, 0, "", 503, NULL},
        {"refused", NULL, 503, "", 503, NULL},
        {"only the answer lost", "cancelled", 0, "", 200, "cancelled"},
        {"no answer, and the job has ended", "done", 0, "", 200, "done"},
        {"another node was first", "cancelled", 409, "", 200, "cancelled"},
        {"the end was first", "done", 409, "", 200, "done"},
        {"the end was first, and is not heard of", NULL, 409, "done", 200, "done"},
        {"another node was first, and is not heard of", NULL, 409, "cancelled", 200, "cancelled"},
        {"it changed, and is not over", NULL, 409, "queued", 0, NULL},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        apply_watched_change(ACCEPTED_REVISION, "queued");
        user_cancel(0);
        answer_fresh_read(0, NULL);
        assert_int_equal(compared_revision(), ACCEPTED_REVISION);
        if (rows[i].heard) apply_watched_change(CHANGED_REVISION, rows[i].heard);
        answer_commit(rows[i].commit, CHANGED_REVISION);
        if (*rows[i].read) answer_fresh_read(CHANGED_REVISION, rows[i].read);
        expect_reply(rows[i].what, 0, rows[i].status, rows[i].stance);
        if (!rows[i].status) assert_int_equal(compared_revision(), CHANGED_REVISION);
    }
}

/* A cancellation whose answer is lost is carried out late, after the user was told to ask again. */
static void late_cancellation(void **state) {
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
    assert_int_equal(compared_revision(), ACCEPTED_REVISION); /* whichever comes first makes the other fail */
    apply_watched_change(CHANGED_REVISION, "cancelled");
    answer_commit(409, 0);
    expect_reply("the first was written late", 2, 200, "cancelled");
}

/* A job whose record can't be read never runs; its user can be rid of it all the same. */
static void unreadable_job_is_cancelled(void **state) {
    (void)state;
    struct amb_buf value = cbor_from_text("{\"s\":\"queued\",\"a\":1,\"d\":{\"ref\":\"" JOB_REF "\"}}");
    cbor_item_t *item = amb_cbor_parse(value.data, value.len);
    amb_jobs_apply_item(node, JOB_REF, item, ACCEPTED_REVISION);
    cbor_decref(&item);
    amb_buf_free(&value);
    user_cancel(0);
    answer_fresh_read(0, NULL);
    assert_int_equal(compared_revision(), ACCEPTED_REVISION);
    answer_commit(200, CHANGED_REVISION);
    expect_reply("cancelled", 0, 200, "cancelled");
}

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(cancellations_end),
        TEST(late_cancellation),
        TEST(unreadable_job_is_cancelled),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
