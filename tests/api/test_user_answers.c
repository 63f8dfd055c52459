/* Answers to users: after the write, from fresh reads, and never from older news. */
#include "amberpin/api/user_api.h"
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

static void ask(const char *method, const char *path, struct amb_buf *body) {
    assert_true(amb_api_handle_request(node, new_request(method, path, body)));
}

static void submit(const char *ref, const char *team) {
    struct amb_job_spec spec = {.kind = AMB_JOB_KIND_SERVICE,
                                .priority = AMB_PRIORITY_HIGH,
                                .task_count = 1,
                                .task_resources = {8, 1, 40}};
    struct amb_buf buffer = {0};
    strcpy(spec.ref, ref);
    strcpy(spec.class_name, "c");
    strcpy(spec.team, team);
    strcpy(spec.image, "img");
    amb_codec_encode_spec(&buffer, &spec);
    ask("POST", "/v1/jobs", &buffer);
}

static const char *replied_state(void) {
    static char text[AMB_NAME_SIZE];
    if (!amb_cbor_copy_string(amb_cbor_map_get(latest_reply_body(), "stance"), text, sizeof text)) text[0] = 0;
    return text;
}

/* Users are answered once it is written, and by what became of the write. */
static void acceptance_is_guarded_and_written_first(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int written, want;
    } rows[] = {{"written", 200, 201}, {"no answer", 0, 503}, {"refused", 503, 503}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        submit("wk-000001", "t");
        struct fake_call *commit = open_call("POST", "/commit");
        uint64_t guard = fake_txn_compared_revision(commit, "a/job/wk-000001");
        if (guard != 0) fail_msg("%s: guard %lld", rows[i].what, (long long)guard);
        assert_non_null(fake_txn_put(commit, "a/job/wk-000001", NULL));
        if (count_replies()) fail_msg("%s: answered %d before", rows[i].what, latest_reply()->status);
        if (rows[i].written == 200)
            answer_committed(commit, 60);
        else
            fake_answer(commit, rows[i].written, NULL);
        if (latest_reply()->status != rows[i].want) fail_msg("%s: answered %d", rows[i].what, latest_reply()->status);
    }
}

static void cancellation_is_guarded_and_written_first(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int written, want;
        enum amb_job_state state;
    } rows[] = {{"written", 200, 200, AMB_JOB_CANCELLED},
                {"no answer", 0, 503, AMB_JOB_QUEUED},
                {"refused", 503, 503, AMB_JOB_QUEUED}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_job *job = add_active_job("wk-000001", AMB_JOB_KIND_SERVICE, 1);
        job->revision = 20;
        ask("POST", "/v1/jobs/wk-000001/cancel", NULL);
        answer_change_list(open_call("GET", "/follow"), 20, NULL, 0, 0);
        struct fake_call *commit = open_call("POST", "/commit");
        uint64_t guard = fake_txn_compared_revision(commit, "a/job/wk-000001");
        if (guard != 20) fail_msg("%s: guard %lld", rows[i].what, (long long)guard);
        if (count_replies()) fail_msg("%s: answered %d before", rows[i].what, latest_reply()->status);
        if (rows[i].written == 200)
            answer_committed(commit, 60);
        else
            fake_answer(commit, rows[i].written, NULL);
        if (latest_reply()->status != rows[i].want || job->state != rows[i].state)
            fail_msg("%s: answered %d, state %d", rows[i].what, latest_reply()->status, job->state);
    }
}

/* What waits for a read of all changes, and what it then says. */
static void answers_come_from_fresh_reads(void **state) {
    (void)state;
    enum known { UNKNOWN, QUEUED, CANCELLED };
    enum ranking_query { GET, CANCEL, SUBMIT_IMPOSSIBLE };
    enum { AT_ONCE = -1 };
    static const struct {
        const char *what;
        enum known known;
        enum ranking_query question;
        int read; /* its status; AT_ONCE: none is needed */
        bool news;
        enum amb_job_state becomes; /* by the news */
        int want;
        const char *state;
    } rows[] = {
        {"a final state is known", CANCELLED, GET, AT_ONCE, false, 0, 200, "cancelled"},
        {"a cancellation asked for again", CANCELLED, CANCEL, AT_ONCE, false, 0, 200, "cancelled"},
        {"queued", QUEUED, GET, 200, false, 0, 200, "queued"},
        {"cancelled at another node a moment ago", QUEUED, GET, 200, true, AMB_JOB_CANCELLED, 200,
         "cancelled"},
        {"done a moment ago", QUEUED, GET, 200, true, AMB_JOB_DONE, 200, "done"},
        {"the read fails", QUEUED, GET, 503, false, 0, 503, ""},
        {"no answer to the read", QUEUED, GET, 0, false, 0, 503, ""},
        {"nobody submitted it", UNKNOWN, GET, 200, false, 0, 404, ""},
        {"accepted at another node a moment ago", UNKNOWN, GET, 200, true, AMB_JOB_QUEUED, 200, "queued"},
        {"unknown, and the read fails", UNKNOWN, GET, 503, false, 0, 503, ""},
        {"cancelled by its user when it is done", QUEUED, CANCEL, 200, true, AMB_JOB_DONE, 200, "done"},
        {"a job that can never run", UNKNOWN, SUBMIT_IMPOSSIBLE, 200, false, 0, 422, ""},
        {"it was accepted all the same", UNKNOWN, SUBMIT_IMPOSSIBLE, 200, true, AMB_JOB_QUEUED, 200,
         "queued"},
        {"it can't be known", UNKNOWN, SUBMIT_IMPOSSIBLE, 503, false, 0, 503, ""},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        if (rows[i].known != UNKNOWN) add_active_job("wk-000001", AMB_JOB_KIND_SERVICE, 1)->revision = 20;
        if (rows[i].known == CANCELLED) amb_job_apply_cancel_hint(node, "wk-000001", amb_wall_ms(), 61);
        if (rows[i].question == SUBMIT_IMPOSSIBLE)
            submit("wk-000001", "no-such-team");
        else
            ask(rows[i].question == GET ? "GET" : "POST",
                rows[i].question == GET ? "/v1/jobs/wk-000001" : "/v1/jobs/wk-000001/cancel", NULL);
        struct fake_call *read = find_call("GET", "/follow");
        if ((read == NULL) != (rows[i].read == AT_ONCE) || (count_replies() > 0) != (rows[i].read == AT_ONCE))
            fail_msg("%s: %s, %zu answers", rows[i].what, read ? "a read" : "no read", count_replies());
        if (read && rows[i].read == 200)
            answer_change_list(read, 30, rows[i].news ? "wk-000001" : NULL, rows[i].becomes, 30);
        else if (read)
            fake_answer(read, rows[i].read, NULL);
        if (count_replies() != 1 || latest_reply()->status != rows[i].want || strcmp(replied_state(), rows[i].state) != 0)
            fail_msg("%s: %zu answers, %d %s", rows[i].what, count_replies(), latest_reply()->status, replied_state());
    }
}

static void reads_under_way_answer_no_later_question(void **state) {
    (void)state;
    ask("GET", "/v1/jobs/wk-000001", NULL);
    struct fake_call *read = open_call("GET", "/follow");
    fake_clock_advance(100);
    ask("GET", "/v1/jobs/wk-000002", NULL);
    answer_change_list(read, 30, NULL, 0, 0);
    if (count_replies() != 1) fail_msg("%zu answers by a read sent before the second question", count_replies());
    fake_clock_advance(1000);
    answer_change_list(open_call("GET", "/follow"), 31, "wk-000002", AMB_JOB_QUEUED, 31);
    assert_int_equal(count_replies(), 2);
    assert_int_equal(latest_reply()->status, 200);
}

static void older_news_change_nothing(void **state) {
    (void)state;
    static const struct {
        enum amb_job_state newer;
        const char *shown;
    } rows[] = {{AMB_JOB_CANCELLED, "cancelled"}, {AMB_JOB_DONE, "done"}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        ask("GET", "/v1/jobs/wk-000001", NULL);
        answer_change_list(open_call("GET", "/follow"), 30, "wk-000001", rows[i].newer, 30);
        ask("GET", "/v1/jobs/wk-000002", NULL);
        fake_clock_advance(1000);
        answer_change_list(open_call("GET", "/follow"), 31, "wk-000001", AMB_JOB_QUEUED, 20);
        ask("GET", "/v1/jobs/wk-000001", NULL);
        if (strcmp(replied_state(), rows[i].shown) != 0)
            fail_msg("%s, and by older news %s", rows[i].shown, replied_state());
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(acceptance_is_guarded_and_written_first, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(cancellation_is_guarded_and_written_first, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(answers_come_from_fresh_reads, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(reads_under_way_answer_no_later_question, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(older_news_change_nothing, fixture_setup, fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
