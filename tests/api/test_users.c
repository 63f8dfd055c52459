/* What users are told when they submit jobs, in any order of events that the network allows. */
#include "check.h"
#include "json_cbor.h"
#include "user_fixture.h"

/* A job that was accepted at another node is never refused, whatever its repetition looks like. */
static void repetitions_are_never_refused(void **state) {
    (void)state;
    static const struct {
        const char *what, *body;
        int unknown; /* what it is answered when no job of the name is known */
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
        const char *what, *known; /* NULL: nothing */
        int sync, status;         /* 0: as if unknown */
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
            if (stores[k].sync == 200)
                answer_fresh_read(ACCEPTED_REVISION, stores[k].known);
            else
                fake_answer(open_call(CHANGES_PATH), stores[k].sync, NULL);
            expect_reply(what, 0, stores[k].status ? stores[k].status : rows[i].unknown, stores[k].known);
            assert_int_equal(fake_count_sent_calls(COMMIT_PATH), 0);
        }
}

/* What names no job that can have been accepted is refused without asking anybody. */
static void malformed_without_a_name(void **state) {
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

/* One field of a good job changed, or left out where the change is NULL. */
static void submit_changed(const char *field, const char *change) {
    json_t *job = json_loads(VALID_SUBMISSION, 0, NULL);
    json_object_del(job, field);
    if (change) json_object_set_new(job, field, json_loads(change, JSON_DECODE_ANY, NULL));
    struct amb_buf body = {0};
    cbor_from_json(&body, job);
    json_decref(job);
    issue_request(0, "POST", "/v1/jobs", &body);
}

/* Every field of the protocol's table: which values are malformed (400), can never run (422), are written. */
static void every_field(void **state) {
    (void)state;
    static const struct {
        const char *field;
        const char *good[5], *malformed[11], *never[4]; /* "-": left out */
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
        } sets[] = {{rows[i].good, ROWS(rows[i].good), 0},
                    {rows[i].malformed, ROWS(rows[i].malformed), 400},
                    {rows[i].never, ROWS(rows[i].never), 422}};
        for (size_t size = 0; size < ROWS(sets); size++)
            for (size_t k = 0; k < sets[size].count && sets[size].values[k]; k++) {
                const char *value = sets[size].values[k];
                char what[128];
                snprintf(what, sizeof what, "%s: %s", rows[i].field, value);
                fixture_reset();
                submit_changed(rows[i].field, strcmp(value, "-") ? value : NULL);
                if (fake_open_call(CHANGES_PATH)) answer_fresh_read(0, NULL);
                expect_reply(what, 0, sets[size].status, NULL);
                if ((fake_open_call(COMMIT_PATH) != NULL) != !sets[size].status)
                    fail_msg("%s: %s", what, sets[size].status ? "is written" : "is not written");
            }
    }
}

/* What can never run for more than one field's sake, and what can although it looks odd. */
static void odd_jobs(void **state) {
    (void)state;
    static const struct {
        const char *what, *changes;
        bool catalog, runs; /* catalog: the machine types are known */
    } rows[] = {
        {"an array larger than its team's limit", "{\"shape\":\"batch\",\"legs\":1000}", true, true},
        {"a service larger than that", "{\"shape\":\"daemon\",\"legs\":17}", true, false},
        {"half at most in one zone", "{\"one_zone\":false,\"scatter\":true}", true, true},
        {"half at most, and all in one", "{\"one_zone\":true,\"scatter\":true}", true, false},
        {"one task is half of one, rounded up", "{\"legs\":1,\"scatter\":true}", true, true},
        {"half at most, and one zone allowed", "{\"one_zone\":false,\"scatter\":true,\"yard\":\"a\"}", true,
         false},
        {"half at most, of a type that is in one zone only",
         "{\"one_zone\":false,\"scatter\":true,\"hulls\":[\"c4\"],\"accelerators\":0}", true, false},
        {"an array runs a task at a time", "{\"shape\":\"batch\",\"scatter\":true}", true, true},
        {"a service runs in part", "{\"shape\":\"daemon\",\"scatter\":true}", true, true},
        {"a type that is not in the only zone", "{\"hulls\":[\"c4\"],\"accelerators\":0,\"yard\":\"b\"}",
         true, false},
        {"a type that is", "{\"hulls\":[\"c4\"],\"accelerators\":0,\"yard\":\"a\"}", true, true},
        {"unknown team, unknown types", "{\"crew\":\"nobody\"}", false, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        node->cloud.catalog_known = rows[i].catalog;
        json_t *job = json_loads(VALID_SUBMISSION, 0, NULL), *changes = json_loads(rows[i].changes, 0, NULL);
        json_object_update(job, changes);
        struct amb_buf body = {0};
        cbor_from_json(&body, job);
        json_decref(job);
        json_decref(changes);
        issue_request(0, "POST", "/v1/jobs", &body);
        if (fake_open_call(CHANGES_PATH)) answer_fresh_read(0, NULL);
        expect_reply(rows[i].what, 0, rows[i].runs ? 0 : 422, NULL);
        assert_int_equal(fake_count_sent_calls(COMMIT_PATH), rows[i].runs);
    }
    fixture_reset();
    node->cloud.catalog_known = false;
    user_submit(0, VALID_SUBMISSION);
    expect_reply("types unknown: it can't be decided yet", 0, 503, NULL);
}

/* A submission's transaction ends in every way, with news before it and a fresh read after it. */
static void submissions_end(void **state) {
    (void)state;
    static const struct {
        const char *what;
        const char *heard; /* by the watch, before the transaction is answered */
        uint64_t heard_stamp;
        int commit;
        const char *read; /* by the fresh read after it; "": none is made, NULL: it is not answered */
        int status;
        const char *stance;
    } rows[] = {
        {"carried out", NULL, 0, 200, "", 201, "queued"},
        {"heard of first", "queued", ACCEPTED_REVISION, 200, "", 201, "queued"},
        {"cancelled elsewhere meanwhile", "cancelled", CHANGED_REVISION, 200, "", 201, "cancelled"},
        {"done meanwhile", "done", CHANGED_REVISION, 200, "", 201, "done"},
        {"no answer, nothing heard", NULL, 0, 0, "", 503, NULL},
        {"refused, nothing heard", NULL, 0, 503, "", 503, NULL},
        {"only the answer lost", "queued", ACCEPTED_REVISION, 0, "queued", 200, "queued"},
        {"only the answer lost, and the news is old", "queued", ACCEPTED_REVISION, 0, "cancelled", 200,
         "cancelled"},
        {"only the answer lost, no fresh read", "queued", ACCEPTED_REVISION, 0, NULL, 503, NULL},
        {"only the answer lost, over since", "done", CHANGED_REVISION, 0, NULL, 200, "done"},
        {"another node was first", NULL, 0, 409, "queued", 200, "queued"},
        {"another node was first, over since", NULL, 0, 409, "cancelled", 200, "cancelled"},
        {"another node was first, no fresh read", NULL, 0, 409, NULL, 503, NULL},
        {"another node was first, the news is old", "queued", ACCEPTED_REVISION, 409, "done", 200, "done"},
        {"malformed, says the state service", NULL, 0, 400, "", 503, NULL},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        user_submit(0, VALID_SUBMISSION);
        assert_int_equal(compared_revision(), 0);
        if (rows[i].heard) apply_watched_change(rows[i].heard_stamp, rows[i].heard);
        answer_commit(rows[i].commit, ACCEPTED_REVISION);
        if (rows[i].read && !*rows[i].read) {
            assert_int_equal(fake_count_sent_calls(CHANGES_PATH), 0);
        } else {
            expect_no_reply(rows[i].what, 0);
            if (rows[i].read)
                answer_fresh_read(CHANGED_REVISION, rows[i].read);
            else
                fake_answer(open_call(CHANGES_PATH), 0, NULL);
        }
        expect_reply(rows[i].what, 0, rows[i].status, rows[i].stance);
        if (rows[i].status == 503) assert_int_equal(replies[0].retry_after_s, 1);
    }
}

/* Two users send one name to one node, and others to other nodes. */
static void submissions_race(void **state) {
    (void)state;
    user_submit(0, VALID_SUBMISSION);
    user_submit(1, VALID_SUBMISSION);
    struct fake_call *first = open_call(COMMIT_PATH);
    first->answered = true; /* to reach the second */
    struct fake_call *second = open_call(COMMIT_PATH);
    struct amb_buf epoch = cbor_from_text("{\"epoch\":%d}", ACCEPTED_REVISION);
    fake_answer(second, 200, &epoch);
    expect_reply("the second is written first", 1, 201, "queued");
    user_cancel(2);
    answer_fresh_read(0, NULL);
    answer_commit(200, CHANGED_REVISION);
    expect_reply("and cancelled", 2, 200, "cancelled");
    struct amb_buf failed =
        cbor_from_text("{\"failed\":[\"a/job/" JOB_REF "\"],\"epoch\":%d}", CHANGED_REVISION);
    fake_answer(first, 409, &failed);
    if (fake_open_call(CHANGES_PATH)) answer_fresh_read(0, NULL);
    if (node->watch.fresh_read_timer.position) fire_timer(&node->watch.fresh_read_timer);
    if (fake_open_call(CHANGES_PATH)) answer_fresh_read(0, NULL);
    expect_reply("the first learns that it is over", 0, 200, "cancelled");
}

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(repetitions_are_never_refused),
        TEST(malformed_without_a_name),
        TEST(every_field),
        TEST(odd_jobs),
        TEST(submissions_end),
        TEST(submissions_race),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
