/* Placement blocks: their keys, sizes, precedence and values. The rows of the first format are what the
 * version in production reads and writes. */
#include "amberpin/codec/cbor_reader.h"
#include "amberpin/codec/messages.h"
#include "amberpin/codec/placement_block.h"
#include "check.h"
#include "json_cbor.h"

#define BY_SETTINGS AMB_LAYOUT_BY_SETTINGS
#define BY_KEY AMB_LAYOUT_BY_KEY

static void sizes(void **state) {
    (void)state;
    static const struct {
        enum amb_block_layout layout;
        double value_kb;
        uint32_t want;
    } rows[] = {
        {BY_SETTINGS, 16, 327}, {BY_SETTINGS, 8, 163}, {BY_SETTINGS, 2, 40}, {BY_SETTINGS, 1, 20},
        {BY_SETTINGS, 0.01, 1}, {BY_KEY, 16, 468},     {BY_KEY, 8, 234},     {BY_KEY, 2, 58},
        {BY_KEY, 1, 29},        {BY_KEY, 0.01, 1},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        uint32_t got = amb_placement_block_capacity(rows[i].layout, rows[i].value_kb);
        if (got != rows[i].want) fail_msg("row %zu: %u", i, got);
    }
}

static void ranges(void **state) {
    (void)state;
    static const struct {
        struct amb_placement_block_id id;
        uint32_t tasks, first, end;
    } rows[] = {
        {{BY_SETTINGS, 327, 0}, 500, 0, 327},
        {{BY_SETTINGS, 327, 1}, 500, 327, 500},
        {{BY_KEY, 58, 0}, 1, 0, 1},
        {{BY_KEY, 58, 2}, 500, 116, 174},
        {{BY_KEY, 58, 2}, 116, 116, 116},
        {{BY_KEY, 58, 100000}, 500, 500, 500},
        {{BY_KEY, 100000, 100000}, 100000, 100000, 100000},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_task_range got = amb_placement_block_task_range(rows[i].id, rows[i].tasks);
        if (got.first != rows[i].first || got.end != rows[i].end)
            fail_msg("row %zu: %u to %u", i, got.first, got.end);
    }
}

static void keys(void **state) {
    (void)state;
    static const struct {
        const char *key, *ref; /* ref NULL: not the key of a block */
        struct amb_placement_block_id id;
    } rows[] = {
        {"b/p/wk-000001/00003", "wk-000001", {BY_SETTINGS, 0, 3}},
        {"b/n/wk-000001/000058/000003", "wk-000001", {BY_KEY, 58, 3}},
        {"b/n/wk-000001/000001/099999", "wk-000001", {BY_KEY, 1, 99999}},
        {"b/r/r-50-1", NULL, {0}},
        {"b/p/wk-000001", NULL, {0}},
        {"b/p/wk-000001/", NULL, {0}},
        {"b/p/wk-000001/x", NULL, {0}},
        {"b/p/wk-000001/-1", NULL, {0}},
        {"b/p/wk-000001/00003/1", NULL, {0}},
        {"b/p//00003", NULL, {0}},
        {"b/n/wk-000001/00003", NULL, {0}},
        {"b/n/wk-000001/000000/000003", NULL, {0}},
        {"b/n/wk-000001/000058/4294967296", NULL, {0}},
        {"b/n/wk-000001/000058/000003x", NULL, {0}},
        {"b/p/1234567890123456789012345678901234567890123456789012345678901234/00003", NULL, {0}},
        {"a/job/wk-000001", NULL, {0}},
        {"", NULL, {0}},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        char ref[AMB_NAME_SIZE] = "", key[AMB_BLOCK_KEY_SIZE];
        struct amb_placement_block_id id;
        bool ok = amb_placement_key_parse(rows[i].key, ref, &id);
        if (ok != (rows[i].ref != NULL)) fail_msg("%s: %s", rows[i].key, ok ? "accepted" : "rejected");
        if (!ok) continue;
        assert_string_equal(ref, rows[i].ref);
        assert_memory_equal(&id, &rows[i].id, sizeof id);
        amb_placement_key_format(key, ref, id);
        assert_string_equal(key, rows[i].key);
    }
}

/* The block with fewer tasks takes precedence, but a block of the first format never does over one of the
 * second. The block that takes precedence comes first in a listing. */
static void precedence(void **state) {
    (void)state;
    static const struct {
        struct amb_placement_block_id id, other;
        bool precedes;
    } rows[] = {
        {{BY_KEY, 58, 0}, {BY_SETTINGS, 327, 0}, true},
        {{BY_SETTINGS, 327, 0}, {BY_KEY, 58, 0}, false},
        {{BY_KEY, 58, 0}, {BY_SETTINGS, 40, 0}, true},
        {{BY_SETTINGS, 40, 0}, {BY_KEY, 58, 0}, false},
        {{BY_KEY, 29, 5}, {BY_KEY, 58, 2}, true},
        {{BY_KEY, 58, 2}, {BY_KEY, 29, 5}, false},
        {{BY_KEY, 9, 16}, {BY_KEY, 100, 1}, true},
        {{BY_KEY, 58, 2}, {BY_KEY, 58, 2}, false},
        {{BY_KEY, 58, 1}, {BY_KEY, 58, 2}, false},
        {{BY_SETTINGS, 327, 1}, {BY_SETTINGS, 327, 2}, false},
        {{BY_SETTINGS, 163, 1}, {BY_SETTINGS, 327, 0}, false},
        {{BY_SETTINGS, 327, 0}, {BY_SETTINGS, 163, 1}, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        if (amb_placement_block_precedes(rows[i].id, rows[i].other) != rows[i].precedes)
            fail_msg("row %zu", i);
        char first_key[AMB_BLOCK_KEY_SIZE], second_key[AMB_BLOCK_KEY_SIZE];
        amb_placement_key_format(first_key, "wk-000001", rows[i].id);
        amb_placement_key_format(second_key, "wk-000001", rows[i].other);
        if (rows[i].precedes && strcmp(first_key, second_key) >= 0)
            fail_msg("row %zu: %s is listed after %s", i, first_key, second_key);
    }
}

static void placements(void **state) {
    (void)state;
    static const struct {
        const char *text, *want; /* want: task@machine/attempt:type.zone.spot */
    } rows[] = {
        {"", ""},
        {"0,1,m-1,0,2,1;", "0@m-1/1:0.2.1 "},
        {"0,1,m-1,0,0,0;7,12,m-000231,3,1,0;", "0@m-1/1:0.0.0 7@m-000231/12:3.1.0 "},
        {"99999,18446744073709551615,m-1,0,0,0;", "99999@m-1/18446744073709551615:0.0.0 "},
        {"0,1,m-1,-1,-1,0;", "0@m-1/1:-1.-1.0 "},
        {"0,1,m-1,99,99,0;", "0@m-1/1:-1.-1.0 "},
        {"0,1,m-1,0,0", ""},
        {"0,1,m-1,0,0,0", ""},
        {"0,1,m-1,0,0,0;1,", "0@m-1/1:0.0.0 "},
        {"100000,1,m-1,0,0,0;", ""},
        {"-1,1,m-1,0,0,0;", ""},
        {"x,y,z;", ""},
        {";", ""},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        const char *at = rows[i].text;
        struct amb_placement placement;
        struct amb_buf got = {0};
        while (amb_placement_block_next_placement(&at, &placement))
            amb_buf_append_format(&got, "%u@%s/%llu:%d.%d.%d ", placement.task, placement.machine,
                                  (unsigned long long)placement.attempt, placement.type, placement.zone,
                                  placement.spot);
        amb_buf_append(&got, "", 1);
        if (strcmp(got.data, rows[i].want)) fail_msg("'%s': %s", rows[i].text, got.data);
        amb_buf_free(&got);
    }
}

static void results(void **state) {
    (void)state;
    static const struct {
        const char *text, *want;
    } rows[] = {
        {"", ""},          {"4;", "4-5 "},
        {"4-4;", "4-5 "},  {"0-2;7-7;", "0-3 7-8 "},
        {"4", ""},         {"4-", ""},
        {"4-3;", ""},      {"-1;", ""},
        {"0-1;x", "0-2 "}, {"99999;", "99999-100000 "},
        {"100000;", ""},   {"5-200000;", "5-100000 "},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        const char *at = rows[i].text;
        struct amb_task_range range;
        struct amb_buf got = {0};
        while (amb_placement_block_next_completed(&at, &range))
            amb_buf_append_format(&got, "%u-%u ", range.first, range.end);
        amb_buf_append(&got, "", 1);
        if (strcmp(got.data, rows[i].want)) fail_msg("'%s': %s", rows[i].text, got.data);
        amb_buf_free(&got);
    }
}

static struct amb_catalog *catalog(void) {
    static struct amb_catalog names;
    names = (struct amb_catalog){.type_count = 2, .zone_count = 2};
    strcpy(names.types[0].name, "g8");
    strcpy(names.types[1].name, "anboto-large");
    strcpy(names.zones[0], "a");
    strcpy(names.zones[1], "miribilla");
    return &names;
}

static struct amb_buf value_of(struct amb_placement_block_builder *text) {
    struct amb_buf value = {0};
    const struct amb_placement_block_header head = {
        .written_wall_ms = 1700000000000, .write_id = "412-77", .next_attempt = 9, .catalog = catalog()};
    amb_placement_block_encode(&value, &head, text);
    return value;
}

/* Values are byte for byte what the first version writes. */
static void value(void **state) {
    (void)state;
    static const char want[] =
        "{\"at\":1700000000000,\"w\":\"412-77\",\"n\":9,\"p\":\"5,8,m-000231,1,0,1;7,2,m-1,0,1,0;\","
        "\"d\":\"0-4;6-6;\",\"t\":[\"g8\",\"anboto-large\"],\"z\":[\"a\",\"miribilla\"]}";
    struct amb_placement_block_builder text = {0};
    amb_placement_block_add_placement(&text, &(struct amb_placement){5, 8, "m-000231", 1, 0, true});
    amb_placement_block_add_placement(&text, &(struct amb_placement){7, 2, "m-1", 0, 1, false});
    amb_placement_block_add_completed(&text, (struct amb_task_range){0, 5});
    amb_placement_block_add_completed(&text, (struct amb_task_range){6, 7});
    struct amb_buf got = value_of(&text), expected = cbor_from_text(want);
    assert_int_equal(got.len, expected.len);
    assert_memory_equal(got.data, expected.data, got.len);
    amb_buf_free(&got);
    amb_buf_free(&expected);
}

/* A full block fits into a value: in the first format with the longest possible entries, in the second with
 * those of a large fleet. */
static void full_blocks_fit(void **state) {
    (void)state;
    static const struct {
        enum amb_block_layout layout;
        double value_kb;
        const char *machine;
        uint64_t attempt;
    } rows[] = {
        {BY_SETTINGS, 16, "m-000231-of-the-far", 100000},
        {BY_SETTINGS, 8, "m-000231-of-the-far", 100000},
        {BY_SETTINGS, 2, "m-000231-of-the-far", 100000},
        {BY_KEY, 16, "m-000231", 100},
        {BY_KEY, 8, "m-000231", 100},
        {BY_KEY, 2, "m-000231", 100},
        {BY_KEY, 1, "m-000231", 1},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_placement_block_builder text = {0};
        uint32_t tasks = amb_placement_block_capacity(rows[i].layout, rows[i].value_kb);
        for (uint32_t task_index = 0; task_index < tasks; task_index++) {
            struct amb_placement placement = {
                .task = 98000 + task_index, .attempt = rows[i].attempt, .type = 1, .zone = 1};
            strcpy(placement.machine, rows[i].machine);
            amb_placement_block_add_placement(&text, &placement);
        }
        struct amb_buf got = value_of(&text);
        size_t size = amb_cbor_json_size(got.data, got.len);
        if ((double)size > rows[i].value_kb * 1024) fail_msg("row %zu: %zu bytes", i, size);
        amb_buf_free(&got);
    }
}

/* The size as JSON is never underestimated, even with blanks after separators, and only slightly
 * overestimated. */
static void json_sizes(void **state) {
    (void)state;
    static const char *const rows[] = {
        "{}",
        "[]",
        "\"\"",
        "0",
        "9223372036854775807",
        "1700000000000",
        "true",
        "null",
        "[1, 22, 333]",
        "{\"a\": \"b\", \"c\": [], \"d\": {\"e\": 1000000}}",
        "{\"p\": \"5,8,m-000231,1,0,1;7,2,m-1,0,1,0;\", \"n\": 12, \"z\": [\"a\", \"miribilla\"]}",
        "\"a \\\" and a \\\\\"",
        "{\"price\": 21.55}",
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_buf buffer = cbor_from_text(rows[i]);
        size_t size = amb_cbor_json_size(buffer.data, buffer.len), want = strlen(rows[i]);
        if (size < want || size > want + 32 + want / 4) fail_msg("%s: %zu of %zu", rows[i], size, want);
        amb_buf_free(&buffer);
    }
    /* The size of anything that the reader does not support is overestimated. */
    static const char umlauts[] =
        "\x68\xc3\xa4\xc3\xa4\xc3\xa4\xc3\xa4"; /* four letters, six bytes each in JSON */
    assert_true(amb_cbor_json_size(umlauts, sizeof umlauts - 1) >= 2 + 4 * 6);
    assert_true(amb_cbor_json_size("\xa2\x61", 2) >= 2);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(sizes),      cmocka_unit_test(ranges),          cmocka_unit_test(keys),
        cmocka_unit_test(precedence), cmocka_unit_test(placements),      cmocka_unit_test(results),
        cmocka_unit_test(value),      cmocka_unit_test(full_blocks_fit), cmocka_unit_test(json_sizes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
