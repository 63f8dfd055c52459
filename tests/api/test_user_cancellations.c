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
        anew();
        hear(ACCEPTED, "queued");
        cancel(0);
        answer_sync(0, NULL);
        assert_int_equal(guarded_stamp(), ACCEPTED);
        if (rows[i].heard) hear(CHANGED, rows[i].heard);
        answer_commit(rows[i].commit, CHANGED);
        if (*rows[i].read) answer_sync(CHANGED, rows[i].read);
        expect(rows[i].what, 0, rows[i].status, rows[i].stance);
        if (!rows[i].status) assert_int_equal(guarded_stamp(), CHANGED);
    }
}

/* A cancellation whose answer is lost is carried out late, after the user was told to ask again. */
static void late_cancellation(void **state) {
    (void)state;
    hear(ACCEPTED, "queued");
    cancel(0);
    answer_sync(0, NULL);
    answer_commit(0, 0);
    expect("not known to be written", 0, 503, NULL);
    poll_job(1);
    answer_sync(0, NULL);
    expect("still to be written", 1, 200, "queued");
    cancel(2);
    answer_sync(0, NULL);
    assert_int_equal(guarded_stamp(), ACCEPTED); /* whichever comes first makes the other fail */
    hear(CHANGED, "cancelled");
    answer_commit(409, 0);
    expect("the first was written late", 2, 200, "cancelled");
}

/* A job whose record can't be read never runs; its user can be rid of it all the same. */
static void unreadable_job_is_cancelled(void **state) {
    (void)state;
    struct amb_buf value = cbor_from_text("{\"s\":\"queued\",\"a\":1,\"d\":{\"ref\":\"" JOB "\"}}");
    cbor_item_t *item = amb_cbor_parse(value.data, value.len);
    amb_jobs_apply_item(node, JOB, item, ACCEPTED);
    cbor_decref(&item);
    amb_buf_free(&value);
    cancel(0);
    answer_sync(0, NULL);
    assert_int_equal(guarded_stamp(), ACCEPTED);
    answer_commit(200, CHANGED);
    expect("cancelled", 0, 200, "cancelled");
}

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(cancellations_end),
        TEST(late_cancellation),
        TEST(unreadable_job_is_cancelled),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
