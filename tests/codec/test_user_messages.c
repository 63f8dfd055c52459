/* Messages of users: the operation for a path and method, the field at fault in a submission, and the status
 * of a job. */
#include "amberpin/codec/user_messages.h"
#include "check.h"
#include "json_cbor.h"

static void routes(void **state) {
    (void)state;
    static const struct {
        const char *method, *path;
        enum amb_user_route_result result;
        enum amb_user_operation operation; /* if the route is found */
        const char *job_ref;
    } rows[] = {
        {"POST", "/v1/jobs", AMB_USER_ROUTE_FOUND, AMB_USER_SUBMIT, ""},
        {"GET", "/v1/jobs/wk-1", AMB_USER_ROUTE_FOUND, AMB_USER_QUERY, "wk-1"},
        {"POST", "/v1/jobs/wk-1/cancel", AMB_USER_ROUTE_FOUND, AMB_USER_CANCEL, "wk-1"},
        {"GET", "/v1/jobs/not-a-job-ref", AMB_USER_ROUTE_FOUND, AMB_USER_QUERY, "not-a-job-ref"},
        {"GET", "/v1/jobs", AMB_USER_ROUTE_WRONG_METHOD, 0, NULL},
        {"POST", "/v1/jobs/wk-1", AMB_USER_ROUTE_WRONG_METHOD, 0, NULL},
        {"GET", "/v1/jobs/wk-1/cancel", AMB_USER_ROUTE_WRONG_METHOD, 0, NULL},
        {"DELETE", "/v1/jobs/wk-1", AMB_USER_ROUTE_WRONG_METHOD, 0, NULL},
        {"GET", "/v1/jobs/", AMB_USER_ROUTE_UNKNOWN, 0, NULL},
        {"POST", "/v1/jobs//cancel", AMB_USER_ROUTE_UNKNOWN, 0, NULL},
        {"POST", "/v1/jobs/wk-1/", AMB_USER_ROUTE_UNKNOWN, 0, NULL},
        {"POST", "/v1/jobs/wk-1/cancel/", AMB_USER_ROUTE_UNKNOWN, 0, NULL},
        {"POST", "/v1/jobs/wk-1/restart", AMB_USER_ROUTE_UNKNOWN, 0, NULL},
        {"GET", "/v1/jobs/wk-4567890123456789012345678901234567890123456789012345678901234",
         AMB_USER_ROUTE_UNKNOWN, 0, NULL},
        {"GET", "/v1/jobsters", AMB_USER_ROUTE_FOREIGN, 0, NULL},
        {"GET", "/v1", AMB_USER_ROUTE_FOREIGN, 0, NULL},
        {"POST", "/hello", AMB_USER_ROUTE_FOREIGN, 0, NULL},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_user_route route;
        enum amb_user_route_result result = amb_codec_decode_user_route(rows[i].method, rows[i].path, &route);
        if (result != rows[i].result) fail_msg("%s %s: %d", rows[i].method, rows[i].path, result);
        if (result != AMB_USER_ROUTE_FOUND) continue;
        assert_int_equal(route.operation, rows[i].operation);
        assert_string_equal(route.job_ref, rows[i].job_ref);
    }
}

static json_t *good_submission(void) {
    json_t *job =
        json_loads("{\"ref\":\"wk-1\",\"berth\":\"train\",\"crew\":\"vision\",\"shape\":\"ensemble\","
                   "\"rank\":\"high\",\"legs\":16,\"vcpus\":8.0,\"accelerators\":1.0,"
                   "\"ram_gb\":64.0,\"cask\":\"img-07\",\"size_gb\":6.2,\"one_zone\":true,"
                   "\"scatter\":false,\"driftwood\":true,\"reckon_s\":240.0,\"mark_s\":30.0,"
                   "\"stow_s\":4.0}",
                   0, NULL);
    assert_non_null(job);
    return job;
}

/* Decodes the valid submission with one field changed, or left out if `change` is NULL. The parts of the
 * result are freed; only whether they are NULL may be read. */
static struct amb_submission_error decode_changed(const char *field, const char *change,
                                                  struct amb_submission *submission) {
    json_t *job = good_submission();
    struct amb_buf body = {0};
    if (field && change)
        json_object_set_new(job, field, json_loads(change, JSON_DECODE_ANY, NULL));
    else if (field)
        json_object_del(job, field);
    cbor_from_json(&body, job);
    json_decref(job);
    struct amb_submission_error error = amb_codec_decode_submission(body.data, body.len, submission);
    free(submission->spec);
    free(submission->dependencies);
    amb_buf_free(&body);
    return error;
}

static void errors_name_the_field(void **state) {
    (void)state;
    static const struct {
        const char *field, *change; /* change NULL: the field is left out */
        enum amb_submission_problem problem;
    } rows[] = {
        {NULL, NULL, AMB_SUBMISSION_VALID},
        {"yard", "\"a\"", AMB_SUBMISSION_VALID},
        {"yard", "null", AMB_SUBMISSION_VALID},
        {"awaits", "[]", AMB_SUBMISSION_VALID},
        {"awaits", "[\"wk-2\"]", AMB_SUBMISSION_VALID},
        {"ref", NULL, AMB_SUBMISSION_FIELD_MISSING},
        {"ref", "\"job\"", AMB_SUBMISSION_FIELD_INVALID},
        {"berth", NULL, AMB_SUBMISSION_FIELD_MISSING},
        {"crew", "\"a b\"", AMB_SUBMISSION_FIELD_INVALID},
        {"cask", "null", AMB_SUBMISSION_FIELD_MISSING},
        {"shape", "\"array\"", AMB_SUBMISSION_FIELD_INVALID},
        {"rank", NULL, AMB_SUBMISSION_FIELD_MISSING},
        {"legs", NULL, AMB_SUBMISSION_FIELD_MISSING},
        {"legs", "0", AMB_SUBMISSION_FIELD_INVALID},
        {"legs", "100001", AMB_SUBMISSION_FIELD_INVALID},
        {"vcpus", "-1", AMB_SUBMISSION_FIELD_INVALID},
        {"stow_s", NULL, AMB_SUBMISSION_FIELD_MISSING},
        {"scatter", "1", AMB_SUBMISSION_FIELD_INVALID},
        {"driftwood", NULL, AMB_SUBMISSION_FIELD_MISSING},
        {"yard", "1", AMB_SUBMISSION_FIELD_INVALID},
        {"due_s", "\"soon\"", AMB_SUBMISSION_FIELD_INVALID},
        {"hulls", "[]", AMB_SUBMISSION_FIELD_INVALID},
        {"hulls", "\"g8\"", AMB_SUBMISSION_FIELD_INVALID},
        {"awaits", "\"wk-2\"", AMB_SUBMISSION_FIELD_INVALID},
        {"awaits", "[\"job\"]", AMB_SUBMISSION_FIELD_INVALID},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_submission submission;
        struct amb_submission_error error = decode_changed(rows[i].field, rows[i].change, &submission);
        bool is_valid = rows[i].problem == AMB_SUBMISSION_VALID;
        const char *field = is_valid ? NULL : rows[i].field;
        if (error.problem != rows[i].problem || (submission.spec != NULL) != is_valid)
            fail_msg("row %zu: %s", i, amb_submission_problem_text(error.problem));
        if (field)
            assert_string_equal(error.field, field);
        else
            assert_null(error.field);
    }
}

static void name_is_read_from_malformed_submissions(void **state) {
    (void)state;
    struct amb_submission submission;
    decode_changed("legs", NULL, &submission);
    assert_string_equal(submission.job_ref, "wk-1");
    decode_changed("ref", NULL, &submission);
    assert_string_equal(submission.job_ref, "");
    decode_changed("ref", "412", &submission);
    assert_string_equal(submission.job_ref, "");
}

static void other_bodies_are_no_submissions(void **state) {
    (void)state;
    static const struct {
        const char *bytes;
        size_t len;
    } rows[] = {{"", 0}, {"\x01", 1}, {"\x80", 1}, {"\xff", 1}, {"\xa0\xa0", 2}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_submission submission;
        struct amb_submission_error error =
            amb_codec_decode_submission(rows[i].bytes, rows[i].len, &submission);
        assert_int_equal(error.problem, AMB_SUBMISSION_NOT_A_MAP);
        assert_null(error.field);
        assert_null(submission.spec);
        assert_string_equal(submission.job_ref, "");
    }
}

static void job_status(void **state) {
    (void)state;
    static const struct {
        struct amb_job_status status;
        enum amb_job_status_detail detail;
        const char *expected;
    } rows[] = {
        {{"wk-1", AMB_JOB_QUEUED, 0, 0}, AMB_JOB_STATUS_BRIEF, "{\"ref\":\"wk-1\",\"stance\":\"queued\"}"},
        {{"wk-1", AMB_JOB_QUEUED, 1, 2}, AMB_JOB_STATUS_BRIEF, "{\"ref\":\"wk-1\",\"stance\":\"running\"}"},
        {{"wk-1", AMB_JOB_QUEUED, 1, 2},
         AMB_JOB_STATUS_FULL,
         "{\"ref\":\"wk-1\",\"stance\":\"running\",\"done\":1,\"running\":2}"},
        {{"wk-1", AMB_JOB_DONE, 3, 0},
         AMB_JOB_STATUS_FULL,
         "{\"ref\":\"wk-1\",\"stance\":\"done\",\"done\":3,\"running\":0}"},
        {{"wk-1", AMB_JOB_CANCELLED, 3, 0},
         AMB_JOB_STATUS_FULL,
         "{\"ref\":\"wk-1\",\"stance\":\"cancelled\",\"done\":3,\"running\":0}"},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_buf body = {0}, expected = cbor_from_text("%s", rows[i].expected);
        amb_codec_encode_job_status(&body, &rows[i].status, rows[i].detail);
        assert_int_equal(body.len, expected.len);
        assert_memory_equal(body.data, expected.data, body.len);
        amb_buf_free(&body);
        amb_buf_free(&expected);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(routes),
        cmocka_unit_test(errors_name_the_field),
        cmocka_unit_test(name_is_read_from_malformed_submissions),
        cmocka_unit_test(other_bodies_are_no_submissions),
        cmocka_unit_test(job_status),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
