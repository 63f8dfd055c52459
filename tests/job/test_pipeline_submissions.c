/* Jobs that await others: what submissions may say, and what records and messages say of it. */
#include "check.h"
#include "json_cbor.h"
#include "peer_json.h"
#include "pipeline_fixture.h"

/* What is malformed and what is not, in the list itself. */
static void awaits_as_users_write_them(void **state) {
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
        {"[\"wk-012345678901234567890123456789012345678901234\"]", 422, 0},  /* 48 letters: a name */
        {"[\"wk-0123456789012345678901234567890123456789012345\"]", 400, 0}, /* 49 */
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
            fail_msg("%s: %s, %u names", rows[i].awaits ? rows[i].awaits : "left out", latest_answer(), count);
    }
}

/* News of a job that is done. */
static void know_done(const char *name, uint64_t stamp) {
    struct amb_buf value = cbor_from_text("{\"s\":\"done\",\"n\":1}");
    cbor_item_t *item = amb_cbor_parse(value.data, value.len);
    amb_jobs_apply_item(node, name, item, stamp);
    cbor_decref(&item);
    amb_buf_free(&value);
}

/* A list that a record can't hold with the rest is refused, whatever it names; in every record that is
 * written the value stays below the limit. */
static void long_lists(void **state) {
    (void)state;
    static const struct {
        double value_kb, next_kb; /* the limit now, and as announced (0: not) */
        uint32_t names;           /* of 12 bytes each, with quotes and comma */
        int status;
    } rows[] = {{2, 0, 85, 201}, {2, 0, 86, 422}, {8, 0, 341, 201}, {8, 0, 342, 422}, {8, 2, 85, 201},
                {8, 2, 86, 422}, {2, 8, 85, 201}, {2, 8, 86, 422},  {8, 0, 4000, 422}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        node->settings.value_kb = rows[i].value_kb;
        node->settings.announced_limits.value_kb = rows[i].next_kb;
        double least_kb = amb_settings_lowered_limits(&node->settings).value_kb;
        json_t *job = json_loads(format_submission('b', NULL, "batch"), 0, NULL), *list = json_array();
        for (uint32_t k = 0; k < rows[i].names; k++) {
            char name[AMB_NAME_SIZE];
            snprintf(name, sizeof name, "wk-%06u", k);
            know_done(name, 10 + k);
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

/* Each part may be within its own bound while the whole is not: such a job could neither be written nor
 * cancelled, and its user would be told to come back for ever. */
static void large_descriptions(void **state) {
    (void)state;
    static const struct {
        double value_kb, next_kb;
        uint32_t types, names; /* of 63 and 9 letters */
        int status;
    } rows[] = {{2, 0, 16, 0, 201},   {2, 0, 0, 60, 201},   {2, 0, 16, 60, 422}, {2, 0, 16, 16, 201},
                {16, 0, 16, 60, 201}, {16, 2, 16, 60, 422}, {16, 2, 16, 16, 201}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        node->settings.value_kb = rows[i].value_kb;
        node->settings.announced_limits.value_kb = rows[i].next_kb;
        json_t *job = json_loads(format_submission('b', NULL, "batch"), 0, NULL);
        json_t *types = json_array(), *names = json_array();
        json_array_append_new(types, json_string(node->catalog.types[0].name));
        for (uint32_t k = 1; k < rows[i].types; k++)
            json_array_append_new(types, json_sprintf("%058u-%04u", 0, k));
        for (uint32_t k = 0; k < rows[i].names; k++) {
            char name[AMB_NAME_SIZE];
            snprintf(name, sizeof name, "wk-%06u", k);
            know_done(name, 10 + k);
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

/* Nodes of the version before would start a job at once if they led: none that awaits others is accepted
 * while one is known to serve. */
static void not_beside_an_old_node(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_format last_word, written;
        const char *script;
    } rows[] = {
        {"not heard of yet", AMB_FORMAT_UNKNOWN, AMB_FORMAT_UNKNOWN, "+a=201q +b:a=201q"},
        {"old", AMB_FORMAT_1, AMB_FORMAT_UNKNOWN, "+a=201q +b:a=503 +b=201q"},
        {"old, and the name unknown", AMB_FORMAT_1, AMB_FORMAT_UNKNOWN, "+b:a=503"},
        {"old, and the job known", AMB_FORMAT_1, AMB_FORMAT_UNKNOWN, "@+a @+b:a ~ +b:a=200q"},
        {"new", AMB_FORMAT_2, AMB_FORMAT_UNKNOWN, "+a=201q +b:a=201q"},
        {"a late word of an old one", AMB_FORMAT_1, AMB_FORMAT_2, "+a=201q +b:a=201q"},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        node->peers.count = 1;
        node->peers.list[0].node = node;
        node->peers.list[0].format = rows[i].last_word;
        node->formats.recorded = rows[i].written;
        run_script(rows[i].what, rows[i].script);
    }
}

/* A service is never done, so nothing can await it; what awaits a cancelled one is cancelled. */
static void services_are_not_awaited(void **state) {
    (void)state;
    submit_text(format_submission('a', NULL, "daemon"));
    assert_string_equal(latest_answer(), "201q");
    run_script("while it runs", "+b:a=422 +b=201q -a=200c +c:a=201c");
}

/* The description that a cancellation writes again still names what the job awaits; the end drops both. */
static void records_keep_the_names(void **state) {
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
        cbor_item_t *value = amb_cbor_parse(record->value.data, record->value.len);
        const cbor_item_t *described = amb_cbor_map_get(value, "d");
        struct amb_job_spec spec;
        if ((described != NULL) != rows[i].described) fail_msg("%s: described", rows[i].script);
        if (described) assert_int_equal(amb_codec_decode_spec(described, &spec), AMB_CODEC_OK);
        if (amb_cbor_list_length(amb_cbor_map_get(described, "awaits")) != rows[i].names)
            fail_msg("%s: names", rows[i].script);
        cbor_decref(&value);
    }
}

/* A record whose list can't be read is no job that awaits none. */
static void unreadable_records_never_start(void **state) {
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

/* Derived cancellations are told to other nodes with the stamp and the time of what they follow from. */
static void heartbeats_tell_of_derived_ones(void **state) {
    (void)state;
    run_script("setup", "@+a @+b:a @+c:b @-a ~");
    const struct amb_job *head = amb_job_find(node, "wk-a"), *last = amb_job_find(node, "wk-c");
    assert_int_equal(last->cancel_revision, job_values[0].revision);
    assert_int_equal(last->cancelled_wall_ms, head->cancelled_wall_ms);
    json_t *told = peer_reply_json(node, job_values[0].revision - 1);
    assert_int_equal(json_array_size(json_object_get(told, "cancelled")), 3);
    json_decref(told);
    told = peer_reply_json(node, job_values[0].revision);
    assert_int_equal(json_array_size(json_object_get(told, "cancelled")), 0);
    json_decref(told);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(awaits_as_users_write_them),
        TEST(long_lists),
        TEST(large_descriptions),
        TEST(not_beside_an_old_node),
        TEST(services_are_not_awaited),
        TEST(records_keep_the_names),
        TEST(unreadable_records_never_start),
        TEST(heartbeats_tell_of_derived_ones),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
