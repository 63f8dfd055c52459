/* Jobs with dependencies: which lists of dependencies submissions may contain, and how they appear in records
 * and messages. */
#include "check.h"
#include "json_cbor.h"
#include "peer_json.h"
#include "pipeline_fixture.h"

/* Which lists of dependencies are well-formed. */
static void well_formed_and_malformed_lists(void **state) {
    (void)state;
    static const struct {
        const char *awaits; /* NULL: left out */
        int status;
        uint32_t count;
    } rows[] = {
        {NULL, 201, 0},
        {"null", 201, 0},
        {"[]", 201, 0},
        {"[\"wk-a\"]", 201, 1},
        {"[\"wk-a\",\"wk-a\"]", 201, 1},
        {"[\"wk-c\",\"wk-a\",\"wk-c\",\"wk-a\"]", 201, 2},
        {"\"wk-a\"", 400, 0},
        {"7", 400, 0},
        {"true", 400, 0},
        {"false", 400, 0},
        {"{}", 400, 0},
        {"{\"wk-a\":1}", 400, 0},
        {"[7]", 400, 0},
        {"[null]", 400, 0},
        {"[\"wk-a\",null]", 400, 0},
        {"[[\"wk-a\"]]", 400, 0},
        {"[\"\"]", 400, 0},
        {"[\"wk-\"]", 400, 0},
        {"[\"a\"]", 400, 0},
        {"[\"wk-a/0\"]", 400, 0},
        {"[\"wk-a b\"]", 400, 0},
        {"[\"wk-012345678901234567890123456789012345678901234\"]", 422, 0},  /* 48 letters: valid */
        {"[\"wk-0123456789012345678901234567890123456789012345\"]", 400, 0}, /* 49 letters */
        {"[\"wk-z\"]", 422, 0},
        {"[\"wk-a\",\"wk-z\"]", 422, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        run_script("setup", "+a=201q +c=201q");
        json_t *job = json_loads(format_submission('b', NULL, "batch"), 0, NULL);
        if (rows[i].awaits)
            json_object_set_new(job, "awaits", json_loads(rows[i].awaits, JSON_DECODE_ANY, NULL));
        submit_json(job);
        const struct amb_job *known = amb_job_find(node, "wk-b");
        uint32_t count = known && known->dependencies ? known->dependencies->count : 0;
        if (latest_status() != rows[i].status || count != rows[i].count)
            fail_msg("%s: %s, %u names", rows[i].awaits ? rows[i].awaits : "left out", latest_answer(),
                     count);
    }
}

/* Applies a change by which a job is done. */
static void apply_done(const char *name, uint64_t revision) {
    struct amb_buf value = cbor_from_text("{\"s\":\"done\",\"n\":1}");
    const struct amb_cbor_item *item = amb_cbor_parse(value.data, value.len);
    amb_jobs_apply_item(node, name, item, revision);
    amb_buf_free(&value);
}

/* A list that is too long for the job's record is refused, whatever names it contains. The value of every
 * record that is written stays below the limit. */
static void lists_too_long_for_the_record(void **state) {
    (void)state;
    static const struct {
        double value_kb, announced_kb; /* present limit, and announced limit (0: none) */
        uint32_t names;                /* of 12 bytes each, with quotes and comma */
        int status;
    } rows[] = {{2, 0, 85, 201}, {2, 0, 86, 422}, {8, 0, 341, 201}, {8, 0, 342, 422}, {8, 2, 85, 201},
                {8, 2, 86, 422}, {2, 8, 85, 201}, {2, 8, 86, 422},  {8, 0, 4000, 422}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        node->settings.value_kb = rows[i].value_kb;
        node->settings.announced_limits.value_kb = rows[i].announced_kb;
        double least_kb = amb_settings_lowered_limits(&node->settings).value_kb;
        json_t *job = json_loads(format_submission('b', NULL, "batch"), 0, NULL), *list = json_array();
        for (uint32_t k = 0; k < rows[i].names; k++) {
            char name[AMB_NAME_SIZE];
            snprintf(name, sizeof name, "wk-%06u", k);
            apply_done(name, 10 + k);
            json_array_append_new(list, json_string(name));
        }
        json_object_set_new(job, "awaits", list);
        char *text = json_dumps(job, JSON_COMPACT);
        if (rows[i].status == 201) assert_true((double)strlen(text) + 100 < least_kb * 1024);
        free(text);
        submit_json(job);
        if (latest_status() != rows[i].status)
            fail_msg("%u names in %g KiB: %s", rows[i].names, rows[i].value_kb, latest_answer());
    }
}

/* Each part of a description may be within its own limit while the whole description is not. Such a job could
 * neither be written nor cancelled, and its user would be asked to retry forever. */
static void descriptions_too_large_for_the_record(void **state) {
    (void)state;
    static const struct {
        double value_kb, announced_kb;
        uint32_t types, names; /* of 63 and 9 letters */
        int status;
    } rows[] = {{2, 0, 16, 0, 201},   {2, 0, 0, 60, 201},   {2, 0, 16, 60, 422}, {2, 0, 16, 16, 201},
                {16, 0, 16, 60, 201}, {16, 2, 16, 60, 422}, {16, 2, 16, 16, 201}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        node->settings.value_kb = rows[i].value_kb;
        node->settings.announced_limits.value_kb = rows[i].announced_kb;
        json_t *job = json_loads(format_submission('b', NULL, "batch"), 0, NULL);
        json_t *types = json_array(), *names = json_array();
        json_array_append_new(types, json_string(node->catalog.types[0].name));
        for (uint32_t k = 1; k < rows[i].types; k++)
            json_array_append_new(types, json_sprintf("%058u-%04u", 0, k));
        for (uint32_t k = 0; k < rows[i].names; k++) {
            char name[AMB_NAME_SIZE];
            snprintf(name, sizeof name, "wk-%06u", k);
            apply_done(name, 10 + k);
            json_array_append_new(names, json_string(name));
        }
        if (rows[i].types) json_object_set(job, "hulls", types);
        if (rows[i].names) json_object_set(job, "awaits", names);
        json_decref(types);
        json_decref(names);
        submit_json(job);
        if (latest_status() != rows[i].status)
            fail_msg("%u types and %u names in %g KiB: %s", rows[i].types, rows[i].names, rows[i].value_kb,
                     latest_answer());
    }
}

/* A leader of the previous version would start a job at once, whatever its dependencies. Therefore no job
 * with dependencies is accepted while a peer is known to be of that version. */
static void no_dependencies_beside_a_peer_of_the_old_version(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_format peer_format, recorded_format;
        const char *script;
    } rows[] = {
        {"format of the peer unknown", AMB_FORMAT_UNKNOWN, AMB_FORMAT_UNKNOWN, "+a=201q +b:a=201q"},
        {"old peer", AMB_FORMAT_1, AMB_FORMAT_UNKNOWN, "+a=201q +b:a=503 +b=201q"},
        {"old peer, and the dependency is unknown", AMB_FORMAT_1, AMB_FORMAT_UNKNOWN, "+b:a=503"},
        {"old peer, and the job is known", AMB_FORMAT_1, AMB_FORMAT_UNKNOWN, "@+a @+b:a ~ +b:a=200q"},
        {"new peer", AMB_FORMAT_2, AMB_FORMAT_UNKNOWN, "+a=201q +b:a=201q"},
        {"late message of an old peer", AMB_FORMAT_1, AMB_FORMAT_2, "+a=201q +b:a=201q"},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        node->peers.count = 1;
        node->peers.list[0].node = node;
        node->peers.list[0].format = rows[i].peer_format;
        node->formats.recorded = rows[i].recorded_format;
        run_script(rows[i].what, rows[i].script);
    }
}

/* A service is never done, so no job may depend on it; a job that depends on a cancelled service is
 * cancelled. */
static void services_cannot_be_dependencies(void **state) {
    (void)state;
    submit_text(format_submission('a', NULL, "daemon"));
    assert_string_equal(latest_answer(), "201q");
    run_script("while it runs", "+b:a=422 +b=201q -a=200c +c:a=201c");
}

/* The description in the record of a cancelled job still contains the dependencies. The record of a job that
 * is done has no description. */
static void records_keep_the_dependencies(void **state) {
    (void)state;
    static const struct {
        const char *script;
        bool described;
        uint32_t names;
    } rows[] = {
        {"+a +c +b:ac", true, 2},
        {"+a +c +b:ac -b=200c", true, 2},
        {"lead +a +b:a !a !b", false, 0},
        {"+b -b", true, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        run_script("record", rows[i].script);
        const struct job_value *record = &job_values['b' - 'a'];
        const struct amb_cbor_item *value = amb_cbor_parse(record->value.data, record->value.len);
        const struct amb_cbor_item *described = amb_cbor_map_get(value, "d");
        struct amb_job_spec spec;
        if ((described != NULL) != rows[i].described) fail_msg("%s: described", rows[i].script);
        if (described) assert_int_equal(amb_codec_decode_spec(described, &spec), AMB_CODEC_OK);
        if (amb_cbor_list_length(amb_cbor_map_get(described, "awaits")) != rows[i].names)
            fail_msg("%s: names", rows[i].script);
    }
}

/* A job whose list of dependencies cannot be decoded is not treated as a job without dependencies. */
static void undecodable_dependencies_never_start(void **state) {
    (void)state;
    start_leading();
    json_t *job = json_loads(format_submission('b', NULL, "batch"), 0, NULL);
    json_object_set_new(job, "awaits", json_string("wk-a"));
    char *text = json_dumps(job, 0);
    struct job_value *record = &job_values['b' - 'a'];
    record->value = cbor_from_text("{\"s\":\"queued\",\"a\":1,\"d\":%s}", text);
    record->revision = ++fake_service.revision;
    free(text);
    json_decref(job);
    run_script("unreadable", "~ live= ?b=200q -b=200c");
}

/* Heartbeats report a job that is cancelled with its dependency under the revision and the time of the
 * dependency's cancellation. */
static void heartbeats_report_derived_cancellations(void **state) {
    (void)state;
    run_script("setup", "@+a @+b:a @+c:b @-a ~");
    const struct amb_job *head = amb_job_find(node, "wk-a"), *last = amb_job_find(node, "wk-c");
    assert_int_equal(last->cancel_revision, job_values[0].revision);
    assert_int_equal(last->cancelled_wall_ms, head->cancelled_wall_ms);
    json_t *reply = peer_reply_json(node, job_values[0].revision - 1);
    assert_int_equal(json_array_size(json_object_get(reply, "cancelled")), 3);
    json_decref(reply);
    reply = peer_reply_json(node, job_values[0].revision);
    assert_int_equal(json_array_size(json_object_get(reply, "cancelled")), 0);
    json_decref(reply);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(well_formed_and_malformed_lists),       TEST(lists_too_long_for_the_record),
        TEST(descriptions_too_large_for_the_record), TEST(no_dependencies_beside_a_peer_of_the_old_version),
        TEST(services_cannot_be_dependencies),       TEST(records_keep_the_dependencies),
        TEST(undecodable_dependencies_never_start),  TEST(heartbeats_report_derived_cancellations),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
