/* Responses to users who submit jobs, in any order of events that the network allows. */
#include "check.h"
#include "json_cbor.h"
#include "user_fixture.h"

/* A job that another node has accepted is never refused, whatever a repeated submission contains. */
static void repeated_submissions_are_never_refused(void **state) {
    (void)state;
    static const struct {
        const char *what, *body;
        int unknown_status; /* the response if no job of the name is known */
    } rows[] = {
        {"a field is missing", "{\"ref\":\"" JOB_REF "\",\"berth\":\"train\"}", 400},
        {"nothing but the name", "{\"ref\":\"" JOB_REF "\"}", 400},
        {"an unknown team",
         "{\"ref\":\"" JOB_REF "\",\"berth\":\"t\",\"crew\":\"nobody\",\"shape\":\"batch\",\"rank\":\"high\","
         "\"legs\":1,\"vcpus\":1,\"accelerators\":0,\"ram_gb\":1,\"cask\":\"i\",\"size_gb\":1,"
         "\"one_zone\":false,\"scatter\":false,\"driftwood\":false,\"reckon_s\":1,\"mark_s\":0,"
         "\"stow_s\":0}",
         422},
    };
    static const struct {
        const char *what, *known_state; /* in the key-value store; NULL: no such job */
        int read_status;                /* of the fresh read */
        int status;                     /* the response; 0: unknown_status */
    } stores[] = {
        {"unknown", NULL, 200, 0},
        {"accepted elsewhere", "queued", 200, 200},
        {"done elsewhere", "done", 200, 200},
        {"cancelled elsewhere", "cancelled", 200, 200},
        {"the state service does not answer", NULL, 0, 503},
        {"the state service refuses", NULL, 503, 503},
    };
    for (size_t i = 0; i < ROWS(rows); i++)
        for (size_t k = 0; k < ROWS(stores); k++) {
            char what[128];
            snprintf(what, sizeof what, "%s, %s", rows[i].what, stores[k].what);
            fixture_reset();
            user_submit(0, rows[i].body);
            expect_no_reply(what, 0);
            if (stores[k].read_status == 200)
                answer_fresh_read(ACCEPTED_REVISION, stores[k].known_state);
            else
                fake_answer(open_call(CHANGES_PATH), stores[k].read_status, NULL);
            expect_reply(what, 0, stores[k].status ? stores[k].status : rows[i].unknown_status,
                         stores[k].known_state);
            assert_int_equal(fake_count_sent_calls(COMMIT_PATH), 0);
        }
}

/* A submission whose name no accepted job can have is refused without a request to the key-value store. */
static void submissions_without_a_valid_name(void **state) {
    (void)state;
    static const char *const texts[] = {"[]",
                                        "1",
                                        "\"wk-000412\"",
                                        "{}",
                                        "{\"ref\":412}",
                                        "{\"ref\":null}",
                                        "{\"ref\":\"\"}",
                                        "{\"ref\":\"wk-\"}",
                                        "{\"ref\":\"wk-4/12\"}",
                                        "{\"ref\":\"job-000412\"}",
                                        "{\"ref\":\"wk-4 12\"}"};
    for (size_t i = 0; i < ROWS(texts); i++) {
        user_submit(0, texts[i]);
        expect_reply(texts[i], 0, 400, NULL);
    }
    struct amb_buf bytes = {0};
    amb_buf_append(&bytes, "\xbf\xff\x00garbage", 10);
    issue_request(0, "POST", "/v1/jobs", &bytes);
    expect_reply("not CBOR", 0, 400, NULL);
    issue_request(0, "POST", "/v1/jobs", NULL);
    expect_reply("no body", 0, 400, NULL);
    assert_int_equal(fake_count_sent_calls(""), 0);
}

/* Submits a valid job with one field changed, or removed if the change is NULL. */
static void submit_with_changed_field(const char *field, const char *change) {
    json_t *job = json_loads(VALID_SUBMISSION, 0, NULL);
    json_object_del(job, field);
    if (change) json_object_set_new(job, field, json_loads(change, JSON_DECODE_ANY, NULL));
    struct amb_buf body = {0};
    cbor_from_json(&body, job);
    json_decref(job);
    issue_request(0, "POST", "/v1/jobs", &body);
}

/* For every field of the protocol: values that are malformed (400), values with which the job can never run
 * (422), and valid values, with which the job is written. */
static void every_field(void **state) {
    (void)state;
    static const struct {
        const char *field;
        const char *valid[5], *malformed[11], *never_runs[4]; /* "-": the field is removed */
    } rows[] = {
        {"ref", {0}, {"-", "null", "7", "\"\"", "\"wk-\"", "\"wk-a/b\"", "\"x-000412\"", "[]"}, {0}},
        {"berth", {"\"any\""}, {"-", "null", "7", "\"\"", "\"a b\"", "true"}, {0}},
        {"crew", {0}, {"-", "null", "7", "\"\"", "[\"vision\"]"}, {"\"nobody\"", "\"Vision\""}},
        {"shape", {"\"batch\"", "\"daemon\""}, {"-", "null", "0", "\"\"", "\"array\"", "\"Batch\""}, {0}},
        {"rank",
         {"\"prod\"", "\"normal\"", "\"best_effort\""},
         {"-", "null", "1", "\"\"", "\"low\"", "\"PROD\""},
         {0}},
        {"legs", {"1"}, {"-", "null", "0", "-1", "100001", "2.5", "\"16\"", "true"}, {"17", "100000"}},
        {"vcpus", {"0", "96.0", "4"}, {"-", "null", "-1", "-0.5", "1e12", "\"8\"", "true"}, {"96.5"}},
        {"accelerators", {"0", "0.5"}, {"-", "null", "-1", "\"1\"", "false"}, {"8.5", "1.1"}},
        {"ram_gb", {"0", "576"}, {"-", "null", "-0.1", "\"64\"", "[64]"}, {"577"}},
        {"cask", {"\"other\""}, {"-", "null", "7", "\"\""}, {0}},
        {"size_gb", {"0", "6"}, {"-", "null", "-1", "\"6.2\""}, {0}},
        {"hulls",
         {"-", "null", "[\"g8\",\"c4\"]", "[\"g8\",\"unknown\"]"},
         {"\"g8\"", "[8]", "[\"\"]", "[\"g8\",null]", "{}", "[]"},
         {"[\"unknown\"]", "[\"c4\"]"}},
        {"yard", {"-", "null", "\"a\"", "\"b\""}, {"7", "\"\"", "[\"a\"]", "false"}, {"\"c\"", "\"A\""}},
        {"one_zone", {"false"}, {"-", "null", "0", "\"true\""}, {0}},
        {"scatter", {0}, {"-", "null", "1", "\"no\""}, {"true"}},
        {"driftwood", {"false"}, {"-", "null", "1", "\"no\""}, {0}},
        {"reckon_s", {"0", "1"}, {"-", "null", "-1", "\"240\""}, {0}},
        {"mark_s", {"0", "1"}, {"-", "null", "-1", "\"30\""}, {0}},
        {"stow_s", {"0", "1"}, {"-", "null", "-1", "\"4\""}, {0}},
        {"due_s", {"-", "null", "0", "1"}, {"-1", "\"900\"", "[]", "false"}, {0}},
        {"a field of tomorrow", {"{}", "1"}, {0}, {0}},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        const struct {
            const char *const *values;
            size_t count;
            int status; /* 0: written */
        } sets[] = {{rows[i].valid, ROWS(rows[i].valid), 0},
                    {rows[i].malformed, ROWS(rows[i].malformed), 400},
                    {rows[i].never_runs, ROWS(rows[i].never_runs), 422}};
        for (size_t size = 0; size < ROWS(sets); size++)
            for (size_t k = 0; k < sets[size].count && sets[size].values[k]; k++) {
                const char *value = sets[size].values[k];
                char what[128];
                snprintf(what, sizeof what, "%s: %s", rows[i].field, value);
                fixture_reset();
                submit_with_changed_field(rows[i].field, strcmp(value, "-") ? value : NULL);
                if (fake_open_call(CHANGES_PATH)) answer_fresh_read(0, NULL);
                expect_reply(what, 0, sets[size].status, NULL);
                if ((fake_open_call(COMMIT_PATH) != NULL) != !sets[size].status)
                    fail_msg("%s: %s", what, sets[size].status ? "is written" : "is not written");
            }
    }
}

/* Combinations of fields: jobs that can never run because of more than one field, and unusual jobs that can
 * run. */
static void field_combinations(void **state) {
    (void)state;
    static const struct {
        const char *what, *changes;
        bool catalog_known; /* the machine types are known */
        bool can_run;
    } rows[] = {
        {"an array larger than its team's limit", "{\"shape\":\"batch\",\"legs\":1000}", true, true},
        {"a service larger than its team's limit", "{\"shape\":\"daemon\",\"legs\":17}", true, false},
        {"at most half in one zone", "{\"one_zone\":false,\"scatter\":true}", true, true},
        {"at most half in one zone, and all in one zone", "{\"one_zone\":true,\"scatter\":true}", true,
         false},
        {"at most half in one zone, of one task: half is rounded up", "{\"legs\":1,\"scatter\":true}", true,
         true},
        {"at most half in one zone, and only one zone allowed",
         "{\"one_zone\":false,\"scatter\":true,\"yard\":\"a\"}", true, false},
        {"at most half in one zone, of a type that only one zone has",
         "{\"one_zone\":false,\"scatter\":true,\"hulls\":[\"c4\"],\"accelerators\":0}", true, false},
        {"an array runs a task at a time", "{\"shape\":\"batch\",\"scatter\":true}", true, true},
        {"a service runs in part", "{\"shape\":\"daemon\",\"scatter\":true}", true, true},
        {"a type that the only allowed zone lacks", "{\"hulls\":[\"c4\"],\"accelerators\":0,\"yard\":\"b\"}",
         true, false},
        {"a type that the only allowed zone has", "{\"hulls\":[\"c4\"],\"accelerators\":0,\"yard\":\"a\"}",
         true, true},
        {"unknown team, unknown types", "{\"crew\":\"nobody\"}", false, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        node->cloud.catalog_known = rows[i].catalog_known;
        json_t *job = json_loads(VALID_SUBMISSION, 0, NULL), *changes = json_loads(rows[i].changes, 0, NULL);
        json_object_update(job, changes);
        struct amb_buf body = {0};
        cbor_from_json(&body, job);
        json_decref(job);
        json_decref(changes);
        issue_request(0, "POST", "/v1/jobs", &body);
        if (fake_open_call(CHANGES_PATH)) answer_fresh_read(0, NULL);
        expect_reply(rows[i].what, 0, rows[i].can_run ? 0 : 422, NULL);
        assert_int_equal(fake_count_sent_calls(COMMIT_PATH), rows[i].can_run);
    }
    fixture_reset();
    node->cloud.catalog_known = false;
    user_submit(0, VALID_SUBMISSION);
    expect_reply("machine types unknown: undecided", 0, 503, NULL);
}

/* Every outcome of a submission's transaction, with changes delivered before it and a fresh read after it. */
static void submission_outcomes(void **state) {
    (void)state;
    static const struct {
        const char *what;
        const char *watched_state; /* delivered by the watch before the transaction is answered */
        uint64_t watched_revision;
        int commit_status;
        const char *read_state; /* by the fresh read after it; "": none is made, NULL: it is not answered */
        int status;
        const char *state;
    } rows[] = {
        {"carried out", NULL, 0, 200, "", 201, "queued"},
        {"the watch delivers it first", "queued", ACCEPTED_REVISION, 200, "", 201, "queued"},
        {"cancelled elsewhere meanwhile", "cancelled", CHANGED_REVISION, 200, "", 201, "cancelled"},
        {"done meanwhile", "done", CHANGED_REVISION, 200, "", 201, "done"},
        {"no answer, nothing from the watch", NULL, 0, 0, "", 503, NULL},
        {"refused, nothing from the watch", NULL, 0, 503, "", 503, NULL},
        {"only the answer is lost", "queued", ACCEPTED_REVISION, 0, "queued", 200, "queued"},
        {"only the answer is lost, and the change is old", "queued", ACCEPTED_REVISION, 0, "cancelled", 200,
         "cancelled"},
        {"only the answer is lost, no fresh read", "queued", ACCEPTED_REVISION, 0, NULL, 503, NULL},
        {"only the answer is lost, final since", "done", CHANGED_REVISION, 0, NULL, 200, "done"},
        {"another node wrote first", NULL, 0, 409, "queued", 200, "queued"},
        {"another node wrote first, final since", NULL, 0, 409, "cancelled", 200, "cancelled"},
        {"another node wrote first, no fresh read", NULL, 0, 409, NULL, 503, NULL},
        {"another node wrote first, the change is old", "queued", ACCEPTED_REVISION, 409, "done", 200,
         "done"},
        {"malformed according to the state service", NULL, 0, 400, "", 503, NULL},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        user_submit(0, VALID_SUBMISSION);
        assert_int_equal(compared_revision(), 0);
        if (rows[i].watched_state) apply_watched_change(rows[i].watched_revision, rows[i].watched_state);
        answer_commit(rows[i].commit_status, ACCEPTED_REVISION);
        if (rows[i].read_state && !*rows[i].read_state) {
            assert_int_equal(fake_count_sent_calls(CHANGES_PATH), 0);
        } else {
            expect_no_reply(rows[i].what, 0);
            if (rows[i].read_state)
                answer_fresh_read(CHANGED_REVISION, rows[i].read_state);
            else
                fake_answer(open_call(CHANGES_PATH), 0, NULL);
        }
        expect_reply(rows[i].what, 0, rows[i].status, rows[i].state);
        if (rows[i].status == 503) assert_int_equal(replies[0].retry_after_s, 1);
    }
}

/* Two users submit a job of the same name to the same node, while others send requests to other nodes. */
static void concurrent_submissions(void **state) {
    (void)state;
    user_submit(0, VALID_SUBMISSION);
    user_submit(1, VALID_SUBMISSION);
    struct fake_call *first = open_call(COMMIT_PATH);
    first->answered = true; /* so that open_call returns the second */
    struct fake_call *second = open_call(COMMIT_PATH);
    struct amb_buf epoch = cbor_from_text("{\"epoch\":%d}", ACCEPTED_REVISION);
    fake_answer(second, 200, &epoch);
    expect_reply("the second transaction is carried out first", 1, 201, "queued");
    user_cancel(2);
    answer_fresh_read(0, NULL);
    answer_commit(200, CHANGED_REVISION);
    expect_reply("the job is cancelled", 2, 200, "cancelled");
    struct amb_buf failed =
        cbor_from_text("{\"failed\":[\"a/job/" JOB_REF "\"],\"epoch\":%d}", CHANGED_REVISION);
    fake_answer(first, 409, &failed);
    if (fake_open_call(CHANGES_PATH)) answer_fresh_read(0, NULL);
    if (node->watch.fresh_read_timer.position) fire_timer(&node->watch.fresh_read_timer);
    if (fake_open_call(CHANGES_PATH)) answer_fresh_read(0, NULL);
    expect_reply("the first transaction fails, and the job is cancelled", 0, 200, "cancelled");
}

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(repeated_submissions_are_never_refused),
        TEST(submissions_without_a_valid_name),
        TEST(every_field),
        TEST(field_combinations),
        TEST(submission_outcomes),
        TEST(concurrent_submissions),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
