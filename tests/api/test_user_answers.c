/* Responses to users: sent only after the write or after a fresh read, and never based on older changes. */
#include "amberpin/api/user_api.h"
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

static void send_request(const char *method, const char *path, struct amb_buf *body) {
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
    send_request("POST", "/v1/jobs", &buffer);
}

static const char *replied_state(void) {
    static char text[AMB_NAME_SIZE];
    if (!amb_cbor_copy_string(amb_cbor_map_get(latest_reply_body(), "stance"), text, sizeof text))
        text[0] = 0;
    return text;
}

/* A user is answered only after the transaction is answered, and according to its outcome. */
static void acceptance_is_compared_and_written_first(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int commit_status, expected_status;
    } rows[] = {{"written", 200, 201}, {"no answer", 0, 503}, {"refused", 503, 503}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        submit("wk-000001", "t");
        struct fake_call *commit = open_call("POST", "/commit");
        uint64_t compared = fake_txn_compared_revision(commit, "a/job/wk-000001");
        if (compared != 0) fail_msg("%s: compared %lld", rows[i].what, (long long)compared);
        assert_non_null(fake_txn_put(commit, "a/job/wk-000001", NULL));
        if (count_replies()) fail_msg("%s: answered %d before", rows[i].what, latest_reply()->status);
        if (rows[i].commit_status == 200)
            answer_committed(commit, 60);
        else
            fake_answer(commit, rows[i].commit_status, NULL);
        if (latest_reply()->status != rows[i].expected_status)
            fail_msg("%s: answered %d", rows[i].what, latest_reply()->status);
    }
}

static void cancellation_is_compared_and_written_first(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int commit_status, expected_status;
        enum amb_job_state state;
    } rows[] = {{"written", 200, 200, AMB_JOB_CANCELLED},
                {"no answer", 0, 503, AMB_JOB_QUEUED},
                {"refused", 503, 503, AMB_JOB_QUEUED}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_job *job = add_active_job("wk-000001", AMB_JOB_KIND_SERVICE, 1);
        job->revision = 20;
        send_request("POST", "/v1/jobs/wk-000001/cancel", NULL);
        answer_change_list(open_call("GET", "/follow"), 20, NULL, 0, 0);
        struct fake_call *commit = open_call("POST", "/commit");
        uint64_t compared = fake_txn_compared_revision(commit, "a/job/wk-000001");
        if (compared != 20) fail_msg("%s: compared %lld", rows[i].what, (long long)compared);
        if (count_replies()) fail_msg("%s: answered %d before", rows[i].what, latest_reply()->status);
        if (rows[i].commit_status == 200)
            answer_committed(commit, 60);
        else
            fake_answer(commit, rows[i].commit_status, NULL);
        if (latest_reply()->status != rows[i].expected_status || job->state != rows[i].state)
            fail_msg("%s: answered %d, state %d", rows[i].what, latest_reply()->status, job->state);
    }
}

/* Which requests wait for a fresh read, and what they are answered after it. */
static void answers_come_from_fresh_reads(void **state) {
    (void)state;
    enum known { UNKNOWN, QUEUED, CANCELLED };
    enum user_request { QUERY, CANCEL, SUBMIT_IMPOSSIBLE };
    enum { AT_ONCE = -1 };
    static const struct {
        const char *what;
        enum known known_state;
        enum user_request request;
        int read_status; /* of the fresh read; AT_ONCE: none is needed */
        bool has_change; /* the read returns a change of the job */
        enum amb_job_state changed_state;
        int expected_status;
        const char *state;
    } rows[] = {
        {"a final state is known", CANCELLED, QUERY, AT_ONCE, false, 0, 200, "cancelled"},
        {"a repeated cancellation", CANCELLED, CANCEL, AT_ONCE, false, 0, 200, "cancelled"},
        {"queued", QUEUED, QUERY, 200, false, 0, 200, "queued"},
        {"cancelled at another node a moment ago", QUEUED, QUERY, 200, true, AMB_JOB_CANCELLED, 200,
         "cancelled"},
        {"done a moment ago", QUEUED, QUERY, 200, true, AMB_JOB_DONE, 200, "done"},
        {"the read fails", QUEUED, QUERY, 503, false, 0, 503, ""},
        {"no answer to the read", QUEUED, QUERY, 0, false, 0, 503, ""},
        {"nobody submitted it", UNKNOWN, QUERY, 200, false, 0, 404, ""},
        {"accepted at another node a moment ago", UNKNOWN, QUERY, 200, true, AMB_JOB_QUEUED, 200, "queued"},
        {"unknown, and the read fails", UNKNOWN, QUERY, 503, false, 0, 503, ""},
        {"cancelled by its user when it is done", QUEUED, CANCEL, 200, true, AMB_JOB_DONE, 200, "done"},
        {"a job that can never run", UNKNOWN, SUBMIT_IMPOSSIBLE, 200, false, 0, 422, ""},
        {"it was accepted at another node nevertheless", UNKNOWN, SUBMIT_IMPOSSIBLE, 200, true,
         AMB_JOB_QUEUED, 200, "queued"},
        {"it can never run, and the read fails", UNKNOWN, SUBMIT_IMPOSSIBLE, 503, false, 0, 503, ""},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        if (rows[i].known_state != UNKNOWN)
            add_active_job("wk-000001", AMB_JOB_KIND_SERVICE, 1)->revision = 20;
        if (rows[i].known_state == CANCELLED) amb_job_apply_cancel_hint(node, "wk-000001", amb_wall_ms(), 61);
        if (rows[i].request == SUBMIT_IMPOSSIBLE)
            submit("wk-000001", "no-such-team");
        else
            send_request(rows[i].request == QUERY ? "GET" : "POST",
                         rows[i].request == QUERY ? "/v1/jobs/wk-000001" : "/v1/jobs/wk-000001/cancel", NULL);
        struct fake_call *read = find_call("GET", "/follow");
        if ((read == NULL) != (rows[i].read_status == AT_ONCE) ||
            (count_replies() > 0) != (rows[i].read_status == AT_ONCE))
            fail_msg("%s: %s, %zu answers", rows[i].what, read ? "a read" : "no read", count_replies());
        if (read && rows[i].read_status == 200)
            answer_change_list(read, 30, rows[i].has_change ? "wk-000001" : NULL, rows[i].changed_state, 30);
        else if (read)
            fake_answer(read, rows[i].read_status, NULL);
        if (count_replies() != 1 || latest_reply()->status != rows[i].expected_status ||
            strcmp(replied_state(), rows[i].state) != 0)
            fail_msg("%s: %zu answers, %d %s", rows[i].what, count_replies(), latest_reply()->status,
                     replied_state());
    }
}

static void reads_in_progress_answer_no_later_request(void **state) {
    (void)state;
    send_request("GET", "/v1/jobs/wk-000001", NULL);
    struct fake_call *read = open_call("GET", "/follow");
    fake_clock_advance(100);
    send_request("GET", "/v1/jobs/wk-000002", NULL);
    answer_change_list(read, 30, NULL, 0, 0);
    if (count_replies() != 1)
        fail_msg("%zu answers by a read sent before the second request", count_replies());
    fake_clock_advance(1000);
    answer_change_list(open_call("GET", "/follow"), 31, "wk-000002", AMB_JOB_QUEUED, 31);
    assert_int_equal(count_replies(), 2);
    assert_int_equal(latest_reply()->status, 200);
}

static void older_changes_have_no_effect(void **state) {
    (void)state;
    static const struct {
        enum amb_job_state final_state;
        const char *shown;
    } rows[] = {{AMB_JOB_CANCELLED, "cancelled"}, {AMB_JOB_DONE, "done"}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        send_request("GET", "/v1/jobs/wk-000001", NULL);
        answer_change_list(open_call("GET", "/follow"), 30, "wk-000001", rows[i].final_state, 30);
        send_request("GET", "/v1/jobs/wk-000002", NULL);
        fake_clock_advance(1000);
        answer_change_list(open_call("GET", "/follow"), 31, "wk-000001", AMB_JOB_QUEUED, 20);
        send_request("GET", "/v1/jobs/wk-000001", NULL);
        if (strcmp(replied_state(), rows[i].shown) != 0)
            fail_msg("%s, and after an older change %s", rows[i].shown, replied_state());
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(acceptance_is_compared_and_written_first, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(cancellation_is_compared_and_written_first, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(answers_come_from_fresh_reads, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(reads_in_progress_answer_no_later_request, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(older_changes_have_no_effect, fixture_setup, fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
