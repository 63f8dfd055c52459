/* CBOR messages: which are accepted, which are rejected, and that malformed bytes do no harm. */
#include "amberpin/codec/messages.h"
#include "check.h"

enum field_kind { K_TEXT, K_NUM, K_UINT, K_BOOL, K_NULL, K_LIST, K_NEG };

struct field {
    const char *key;
    enum field_kind kind;
    const char *text;
    double num;
};

static const struct field good[] = {
    {"ref", K_TEXT, "wk-000412", 0},  {"berth", K_TEXT, "train", 0},  {"crew", K_TEXT, "vision", 0},
    {"shape", K_TEXT, "ensemble", 0}, {"rank", K_TEXT, "high", 0},    {"legs", K_UINT, "", 16},
    {"vcpus", K_NUM, "", 8},          {"accelerators", K_NUM, "", 1}, {"ram_gb", K_NUM, "", 64},
    {"cask", K_TEXT, "img-07", 0},    {"size_gb", K_NUM, "", 6.2},    {"hulls", K_LIST, "g8", 0},
    {"yard", K_NULL, "", 0},          {"one_zone", K_BOOL, "", 1},    {"scatter", K_BOOL, "", 0},
    {"driftwood", K_BOOL, "", 1},     {"reckon_s", K_NUM, "", 240},   {"mark_s", K_NUM, "", 30},
    {"stow_s", K_NUM, "", 4},         {"due_s", K_NUM, "", 900},
};

static void put(struct amb_buf *buffer, const struct field *field) {
    amb_cbor_write_string(buffer, field->key);
    switch (field->kind) {
    case K_TEXT: amb_cbor_write_string(buffer, field->text); break;
    case K_NUM: amb_cbor_write_number(buffer, field->num); break;
    case K_UINT: amb_cbor_write_uint(buffer, (uint64_t)field->num); break;
    case K_BOOL: amb_cbor_write_bool(buffer, field->num != 0); break;
    case K_NULL: amb_cbor_write_null(buffer); break;
    case K_LIST:
        amb_cbor_write_list(buffer, 1);
        amb_cbor_write_string(buffer, field->text);
        break;
    case K_NEG: amb_buf_append(buffer, "\x20", 1); break; /* -1 */
    }
}

/* Decodes the valid job with one field changed, or left out if `change` is NULL. */
static enum amb_codec_result parse_with(const char *key, const struct field *change,
                                        struct amb_job_spec *out) {
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, ROWS(good) - (change == NULL && key ? 1 : 0));
    for (size_t i = 0; i < ROWS(good); i++) {
        if (key && !strcmp(good[i].key, key)) {
            if (change) put(&buffer, change);
        } else {
            put(&buffer, &good[i]);
        }
    }
    const struct amb_cbor_item *item = amb_cbor_parse(buffer.data, buffer.len);
    assert_non_null(item);
    enum amb_codec_result result = amb_codec_decode_spec(item, out);
    amb_buf_free(&buffer);
    return result;
}

static void job_is_read_and_written_back(void **state) {
    (void)state;
    struct amb_job_spec spec, again;
    assert_int_equal(parse_with(NULL, NULL, &spec), AMB_CODEC_OK);
    assert_int_equal(spec.kind, AMB_JOB_KIND_GANG);
    assert_int_equal(spec.priority, AMB_PRIORITY_HIGH);
    assert_int_equal(spec.task_count, 16);
    assert_true(spec.one_zone && !spec.spread_zones && spec.spot_allowed);
    assert_string_equal(spec.allowed_types[0], "g8");
    struct amb_buf buffer = {0};
    amb_codec_encode_spec(&buffer, &spec);
    const struct amb_cbor_item *item = amb_cbor_parse(buffer.data, buffer.len);
    assert_int_equal(amb_codec_decode_spec(item, &again), AMB_CODEC_OK);
    assert_memory_equal(&spec, &again, sizeof spec);
    amb_buf_free(&buffer);
}

static void bad_fields_are_refused(void **state) {
    (void)state;
    static const struct field bad[] = {
        {"ref", K_TEXT, "job 1", 0},   {"ref", K_TEXT, "wk-../x", 0},  {"ref", K_NUM, "", 1},
        {"berth", K_TEXT, "", 0},      {"crew", K_TEXT, "a b", 0},     {"shape", K_TEXT, "array", 0},
        {"rank", K_TEXT, "urgent", 0}, {"legs", K_UINT, "", 0},        {"legs", K_UINT, "", 100001},
        {"legs", K_NUM, "", 3},        {"legs", K_NEG, "", 0},         {"vcpus", K_NUM, "", -1},
        {"vcpus", K_TEXT, "8", 0},     {"accelerators", K_NEG, "", 0}, {"ram_gb", K_NULL, "", 0},
        {"cask", K_NULL, "", 0},       {"size_gb", K_NUM, "", 1e300},  {"hulls", K_TEXT, "g8", 0},
        {"yard", K_NUM, "", 1},        {"one_zone", K_UINT, "", 1},    {"driftwood", K_NULL, "", 0},
        {"one_zone", K_NUM, "", 1},    {"scatter", K_NUM, "", 0.5},    {"driftwood", K_TEXT, "no", 0},
        {"due_s", K_TEXT, "soon", 0},  {"mark_s", K_NUM, "", -0.5},
    };
    struct amb_job_spec spec;
    for (size_t i = 0; i < ROWS(bad); i++)
        if (parse_with(bad[i].key, &bad[i], &spec) != AMB_CODEC_MALFORMED)
            fail_msg("row %zu: %s", i, bad[i].key);
}

static void only_nullable_fields_may_be_missing(void **state) {
    (void)state;
    struct amb_job_spec spec;
    for (size_t i = 0; i < ROWS(good); i++) {
        const char *k = good[i].key;
        bool may = !strcmp(k, "hulls") || !strcmp(k, "yard") || !strcmp(k, "due_s");
        if (parse_with(k, NULL, &spec) != (may ? AMB_CODEC_OK : AMB_CODEC_MALFORMED))
            fail_msg("%s left out", k);
    }
}

static void not_a_map_is_refused(void **state) {
    (void)state;
    static const struct {
        const char *bytes;
        size_t len;
        bool cbor;
    } rows[] = {
        {"", 0, false},         {"\x01", 1, true},       {"\x80", 1, true},
        {"\xa1\x61", 2, false}, {"\xa0\xa0", 2, false},  {"\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9, false},
        {"\xff", 1, false},     {"{\"a\":1}", 7, false}, {"\x5b\x00\x00\x00\x10\x00\x00\x00\x00", 9, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        const struct amb_cbor_item *item = amb_cbor_parse(rows[i].bytes, rows[i].len);
        struct amb_job_spec spec;
        if ((item != NULL) != rows[i].cbor) fail_msg("row %zu", i);
        assert_int_equal(amb_codec_decode_spec(item, &spec), AMB_CODEC_MALFORMED);
    }
}

/* Lists and maps that claim far more items than the body holds must not cause an allocation of that size. The
 * sanitizer rejects such an allocation, so this test fails without the check. */
static void absurd_lengths_take_no_memory(void **state) {
    (void)state;
    static const struct {
        const char *bytes;
        size_t len;
    } rows[] = {
        {"\x9a\x7f\xff\xff\xff\x00\x00", 7},
        {"\xba\x7f\xff\xff\xff\x00\x00", 7},
        {"\xa1\x61\x61\x9b\x00\x00\x00\xff\xff\xff\xff\xff", 12},
        {"\x7b\x00\x00\x00\xff\xff\xff\xff\xff", 9},
        {"\x82\x01", 2},
    };
    for (size_t i = 0; i < ROWS(rows); i++)
        if (amb_cbor_parse(rows[i].bytes, rows[i].len)) fail_msg("row %zu", i);
}

/* A heartbeat that is truncated, or has any one byte changed, is accepted or rejected without a crash. */
static void heartbeats_survive_damage(void **state) {
    (void)state;
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 9);
    const char *texts[][2] = {{"rig", "m-1"}, {"address", "1.2.3.4:9"}, {"hull", "g8"}, {"yard", "a"}};
    for (size_t i = 0; i < 4; i++) {
        amb_cbor_write_string(&buffer, texts[i][0]);
        amb_cbor_write_string(&buffer, texts[i][1]);
    }
    amb_cbor_write_string(&buffer, "driftwood");
    amb_cbor_write_bool(&buffer, true);
    const char *counts[] = {"watch", "tally", "baton"};
    for (size_t i = 0; i < 3; i++) {
        amb_cbor_write_string(&buffer, counts[i]);
        amb_cbor_write_uint(&buffer, i + 1);
    }
    amb_cbor_write_string(&buffer, "legs");
    amb_cbor_write_list(&buffer, 1);
    amb_cbor_write_map(&buffer, 4);
    amb_cbor_write_string(&buffer, "leg");
    amb_cbor_write_string(&buffer, "wk-1/3");
    amb_cbor_write_string(&buffer, "try");
    amb_cbor_write_uint(&buffer, 2);
    amb_cbor_write_string(&buffer, "stance");
    amb_cbor_write_string(&buffer, "exited");
    amb_cbor_write_string(&buffer, "cause");
    amb_cbor_write_string(&buffer, "done");
    const struct amb_cbor_item *item = amb_cbor_parse(buffer.data, buffer.len);
    struct amb_agent_heartbeat heartbeat;
    assert_int_equal(amb_codec_decode_heartbeat_item(item, &heartbeat), AMB_CODEC_OK);
    assert_int_equal(heartbeat.task_count, 1);
    assert_string_equal(heartbeat.tasks[0].job_ref, "wk-1");
    assert_int_equal(heartbeat.tasks[0].index, 3);
    assert_int_equal(heartbeat.tasks[0].exit_reason, AMB_EXIT_DONE);
    assert_true(heartbeat.reclaim_notice_s < 0);
    amb_codec_free_heartbeat(&heartbeat);
    size_t read = 0;
    for (size_t at = 0; at < buffer.len; at++)
        for (int value = 0; value < 256; value += 5) {
            char *copy = malloc(buffer.len);
            memcpy(copy, buffer.data, buffer.len);
            copy[at] = (char)value;
            item = amb_cbor_parse(copy, value % 2 ? buffer.len : at);
            if (amb_codec_decode_heartbeat_item(item, &heartbeat) == AMB_CODEC_OK) {
                read++;
                amb_codec_free_heartbeat(&heartbeat);
            }
            free(copy);
        }
    assert_true(read > 0);
    amb_buf_free(&buffer);
}

/* ---- heartbeats: the fast path against the slow path ---- */

static uint32_t draw(uint32_t below) {
    static uint32_t seed = 2463534242u;
    seed ^= seed << 13, seed ^= seed >> 17, seed ^= seed << 5;
    return seed % below;
}

static const char *pick(const char *const *words, size_t count) {
    return words[draw((uint32_t)count)];
}

/* Appends a random scalar, valid or not, in an encoding that an agent may use. */
static void put_random_scalar(struct amb_buf *buffer) {
    static const char *const texts[] = {"running",  "exited", "done", "m-000231",    "",     "wk-000412/3",
                                        "wk-1/1x",  "a b",    "g8",   "caf\xc3\xa9", "\xff", "fetching",
                                        "wk-1/070", "wk-1",   "no",   "wk-1/100000"};
    static const char *const raw[] = {
        "\x18\x07", "\x19\x01\x00", "\xf7",     "\xf9\x3c\x00", "\xfa\x40\x00\x00\x01",
        "\x20",     "\xf8\x20",     "\xc1\x05", "\x41\x61",     "\x7f\x61\x61\xff"};
    static const size_t raw_len[] = {2, 3, 1, 3, 5, 1, 2, 2, 2, 4};
    switch (draw(7)) {
    case 0: amb_cbor_write_string(buffer, pick(texts, ROWS(texts))); break;
    case 1: amb_cbor_write_uint(buffer, draw(3) ? draw(300) : (uint64_t)draw(1u << 31) << draw(34)); break;
    case 2: amb_cbor_write_bool(buffer, draw(2)); break;
    case 3: amb_cbor_write_null(buffer); break;
    case 4: amb_cbor_write_number(buffer, draw(2) ? draw(100) * 0.5 : draw(2) ? -3.5 : 1.0 / 0.0); break;
    case 5: {
        size_t i = draw(ROWS(raw));
        if (i != 2 && i != 1)
            amb_buf_append(buffer, raw[i], raw_len[i]);
        else
            amb_cbor_write_null(buffer);
        break;
    }
    default: amb_cbor_write_string(buffer, pick(texts, ROWS(texts))); break;
    }
}

static void put_random_value(struct amb_buf *buffer) {
    uint32_t luck = draw(9);
    if (luck >= 7) {
        amb_cbor_write_map(buffer, 1);
        amb_cbor_write_string(buffer, "x");
    }
    if (luck >= 6) amb_cbor_write_list(buffer, 2);
    if (luck >= 6) put_random_scalar(buffer);
    put_random_scalar(buffer);
}

/* Appends a pair, which is sometimes left out or has another key or value. Returns the number of pairs
 * appended. */
static size_t put_random_pair(struct amb_buf *buffer, uint32_t odds, const char *key,
                              const struct field *value) {
    static const char *const keys[] = {"rig", "legs", "try", "leg", "zz", "", "stance", "watch"};
    uint32_t luck = odds ? draw(odds) : 5;
    if (luck == 0) return 0;
    if (luck == 1) {
        amb_cbor_write_string(buffer, pick(keys, ROWS(keys)));
        put_random_value(buffer);
    } else if (luck == 2) {
        amb_cbor_write_string(buffer, key);
        put_random_value(buffer);
    } else {
        struct field field = *value;
        field.key = key;
        put(buffer, &field);
    }
    return 1;
}

static void put_random_task(struct amb_buf *list, uint32_t odds) {
    static const char *const states[] = {"fetching", "waiting", "running", "saving", "exited"};
    static const char *const causes[] = {"done", "stopped", "peers", "incomplete", "error", "full", "odd"};
    char name[32];
    struct amb_buf buffer = {0};
    snprintf(name, sizeof name, "wk-%06u/%u", draw(1000), draw(120000));
    const struct field fields[] = {{"leg", K_TEXT, name, 0},
                                   {"try", K_UINT, "", draw(50)},
                                   {"stance", K_TEXT, pick(states, ROWS(states)), 0},
                                   {"cause", K_TEXT, pick(causes, ROWS(causes)), 0},
                                   {"stored", K_BOOL, "", draw(2)}};
    size_t pairs = 0, most = draw(3) ? 3 : ROWS(fields);
    for (size_t i = 0; i < most; i++) pairs += put_random_pair(&buffer, odds, fields[i].key, &fields[i]);
    amb_cbor_write_map(list, pairs);
    if (buffer.len) amb_buf_append(list, buffer.data, buffer.len);
    amb_buf_free(&buffer);
}

static void put_random_heartbeat(struct amb_buf *out, uint32_t odds) {
    struct amb_buf buffer = {0};
    const struct field fields[] = {{"rig", K_TEXT, "m-000231", 0},
                                   {"address", K_TEXT, "10.1.0.232:9000", 0},
                                   {"hull", K_TEXT, "g8", 0},
                                   {"yard", K_TEXT, "a", 0},
                                   {"driftwood", K_BOOL, "", draw(2)},
                                   {"watch", K_UINT, "", draw(9)},
                                   {"tally", K_UINT, "", draw(100000)},
                                   {"baton", K_UINT, "", draw(70000)},
                                   {"recall_s", draw(3) ? K_NULL : K_NUM, "", draw(10)}};
    size_t pairs = 0, first = draw(ROWS(fields));
    for (size_t i = 0; i < ROWS(fields); i++) {
        const struct field *field = &fields[(first + i) % ROWS(fields)];
        pairs += put_random_pair(&buffer, odds, field->key, field);
    }
    if (draw(20)) {
        uint32_t tasks = draw(6);
        pairs++;
        amb_cbor_write_string(&buffer, "legs");
        amb_cbor_write_list(&buffer, tasks);
        for (uint32_t i = 0; i < tasks; i++) put_random_task(&buffer, odds);
    }
    amb_cbor_write_map(out, pairs);
    amb_buf_append(out, buffer.data, buffer.len);
    amb_buf_free(&buffer);
}

static void assert_same_heartbeat(const struct amb_agent_heartbeat *left,
                                  const struct amb_agent_heartbeat *right) {
    assert_string_equal(left->machine, right->machine);
    assert_string_equal(left->address, right->address);
    assert_string_equal(left->type, right->type);
    assert_string_equal(left->zone, right->zone);
    assert_int_equal(left->spot, right->spot);
    assert_true(left->incarnation == right->incarnation && left->sequence == right->sequence &&
                left->fencing_token == right->fencing_token);
    assert_true(left->reclaim_notice_s == right->reclaim_notice_s);
    assert_int_equal(left->task_count, right->task_count);
    for (size_t i = 0; i < left->task_count; i++) {
        const struct amb_agent_task *left_task = &left->tasks[i], *right_task = &right->tasks[i];
        assert_string_equal(left_task->job_ref, right_task->job_ref);
        assert_true(left_task->index == right_task->index && left_task->attempt == right_task->attempt);
        assert_true(left_task->state == right_task->state &&
                    left_task->exit_reason == right_task->exit_reason &&
                    left_task->checkpoint_saved == right_task->checkpoint_saved);
    }
}

/* Decodes the bytes by both paths and compares the results. Returns whether the fast path accepted them. */
static bool compare_readings(const char *data, size_t len, enum amb_codec_result *result) {
    struct amb_agent_heartbeat quick, full;
    char *copy = malloc(len ? len : 1); /* of exact size, so that the sanitizer detects reads beyond it */
    memcpy(copy, data, len);
    const struct amb_cbor_item *item = amb_cbor_parse(copy, len);
    *result = amb_codec_decode_heartbeat_item(item, &full);
    bool taken = amb_codec_decode_heartbeat_fast(copy, len, &quick);
    if (taken) {
        assert_int_equal(*result, AMB_CODEC_OK);
        assert_same_heartbeat(&quick, &full);
        amb_codec_free_heartbeat(&quick);
    }
    struct amb_agent_heartbeat either;
    assert_int_equal(amb_codec_decode_heartbeat(copy, len, &either), *result);
    if (*result == AMB_CODEC_OK) {
        assert_same_heartbeat(&either, &full);
        amb_codec_free_heartbeat(&either);
        amb_codec_free_heartbeat(&full);
    }
    free(copy);
    return taken;
}

static void fast_heartbeats_equal_plain_ones(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint32_t odds; /* one pair in `odds` is faulty; 0: none */
        bool damaged;
        size_t min_taken, max_taken; /* of 10000 heartbeats */
    } rows[] = {{"as agents send them", 0, false, 4000, 9990},
                {"sometimes faulty", 60, false, 1000, 8000},
                {"often faulty", 12, false, 50, 5000},
                {"damaged", 0, true, 500, 8000}};
    for (size_t row = 0; row < ROWS(rows); row++) {
        size_t taken = 0, good = 0;
        for (int i = 0; i < 10000; i++) {
            struct amb_buf buffer = {0};
            enum amb_codec_result result;
            put_random_heartbeat(&buffer, rows[row].odds);
            if (rows[row].damaged) buffer.data[draw((uint32_t)buffer.len)] = (char)draw(256);
            if (rows[row].damaged && !draw(4)) buffer.len = draw((uint32_t)buffer.len + 1);
            taken += compare_readings(buffer.data, buffer.len, &result);
            good += result == AMB_CODEC_OK;
            /* The fast path accepts every valid heartbeat in the encoding that agents use. */
            if (!row && result == AMB_CODEC_OK) assert_int_equal(taken, good);
            amb_buf_free(&buffer);
        }
        if (taken < rows[row].min_taken || taken > rows[row].max_taken || good < taken)
            fail_msg("%s: %zu accepted by the fast path, %zu valid", rows[row].what, taken, good);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(job_is_read_and_written_back),        cmocka_unit_test(bad_fields_are_refused),
        cmocka_unit_test(only_nullable_fields_may_be_missing), cmocka_unit_test(not_a_map_is_refused),
        cmocka_unit_test(absurd_lengths_take_no_memory),       cmocka_unit_test(heartbeats_survive_damage),
        cmocka_unit_test(fast_heartbeats_equal_plain_ones),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
