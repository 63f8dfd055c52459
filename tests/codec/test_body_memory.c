/* What a body may make a node hold before it is known to be valid. The body itself is bounded by the
 * protocol; checking and reading it may take as much again at most, whatever the body claims to hold. */
#include "cbor_items.h"
#include "check.h"
#include "heap_peak.h"

#include "amberpin/base/util.h"
#include "amberpin/codec/cbor_check.h"
#include "amberpin/codec/messages.h"
#include "amberpin/codec/peer_messages.h"
#include "amberpin/codec/user_messages.h"

#include <math.h>

enum {
    BODY_MAX_BYTES = 64 * 1024,
    QUOTA_MIN_BYTES = 4 * 1024 * 1024, /* the least memory that settings allow */
    TASKS_MAX_BYTES =
        QUOTA_MIN_BYTES / 16, /* tasks of a heartbeat, as far as they were read when it is refused */
    NESTED = 1000,
};

/* ---- bodies ---- */

/* Heads of CBOR, of which some are followed by two bytes of length. */
enum {
    LIST = 0x99,
    MAP = 0xb9,
    ZERO = 0x00,
};

static unsigned char body[BODY_MAX_BYTES];
static size_t body_len;

/* Writes the head of a list or map that claims as many items or pairs as the bytes after it can hold. Returns
 * its end. */
static size_t claim_rest(size_t at, int head) {
    size_t items = BODY_MAX_BYTES - at - 3;
    if (head == MAP) items /= 2;
    body[at] = (unsigned char)head;
    body[at + 1] = (unsigned char)(items >> 8);
    body[at + 2] = (unsigned char)items;
    return at + 3;
}

/* Fills the body with `depth` times the bytes of `before` (zero bytes not included) and a list or map that
 * claims the rest, then zeros, which are integers. */
static void nest_claims(size_t depth, const char *before, int head) {
    size_t at = 0;
    for (size_t i = 0; i < depth; i++) {
        for (const char *byte = before; *byte; byte++) body[at++] = (unsigned char)*byte;
        at = claim_rest(at, head);
    }
    memset(body + at, ZERO, sizeof body - at);
    body_len = sizeof body;
}

struct bytes {
    const char *data;
    size_t len;
};

#define BYTES(literal)                                                                                       \
    { literal, sizeof literal - 1 }

/* Fills the body with `start`, as often as it fits with `unit`, and `end`. */
static void repeat(struct bytes start, struct bytes unit, struct bytes end) {
    memcpy(body, start.data, start.len);
    for (body_len = start.len; body_len + unit.len + end.len <= sizeof body; body_len += unit.len)
        memcpy(body + body_len, unit.data, unit.len);
    memcpy(body + body_len, end.data, end.len);
    body_len += end.len;
}

/* ---- tests ---- */

/* Returns the most memory that any of those who read bodies of users and agents takes. All must refuse it. */
static size_t memory_to_refuse(const char *what) {
    struct amb_submission submission;
    struct amb_agent_heartbeat heartbeat;
    heap_peak_begin();
    if (amb_codec_decode_submission(body, body_len, &submission).problem == AMB_SUBMISSION_VALID)
        fail_msg("%s: read as a submission", what);
    if (amb_codec_decode_heartbeat(body, body_len, &heartbeat) == AMB_CODEC_OK)
        fail_msg("%s: read as a heartbeat", what);
    return heap_peak_end();
}

/* A body of 64 KiB whose lists, each the first item of the one around it, together claimed 2,000 times the
 * body took 1 GB, and the node was ended for it. */
static void nested_claims_take_no_memory(void **state) {
    (void)state;
    static const struct {
        const char *what;
        size_t depth;
        const char *before;
        int head;
    } rows[] = {
        {"two lists", 2, "", LIST},
        {"lists in lists", NESTED, "", LIST},
        {"maps as values of maps", NESTED, "\x01", MAP},
        {"maps as keys of maps", NESTED, "", MAP},
        {"lists in tags", NESTED, "\xc1", LIST},
        {"lists in lists without a stated length", NESTED, "\x9f", LIST},
        {"lists in maps without a stated length", NESTED, "\xbf\x01", LIST},
        {"lists after items of the list around them", NESTED, "\x01\x02\x03\x60\x80", LIST},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        nest_claims(rows[i].depth, rows[i].before, rows[i].head);
        size_t taken = memory_to_refuse(rows[i].what);
        if (taken > BODY_MAX_BYTES)
            fail_msg("%s: %zu bytes, %d are allowed", rows[i].what, taken, BODY_MAX_BYTES);
    }
}

/* Submissions and heartbeats whose lists have a wrong form in the one field that is read last. */
#define SUBMISSION                                                                                           \
    "\xb2\x63ref\x64wk-1\x65"                                                                                \
    "berth\x61"                                                                                              \
    "a\x64"                                                                                                  \
    "crew\x61"                                                                                               \
    "a\x64"                                                                                                  \
    "cask\x61"                                                                                               \
    "a\x65shape\x65"                                                                                         \
    "batch\x64rank\x64prod\x64"                                                                              \
    "legs\x01\x65vcpus\x01\x6c"                                                                              \
    "accelerators\x01\x66ram_gb\x01\x67size_gb\x01\x68reckon_s\x01\x66mark_s\x01\x66stow_s"                  \
    "\x01\x68one_zone\xf4\x67scatter\xf4\x69"                                                                \
    "driftwood\xf4\x66"                                                                                      \
    "awaits"
#define HEARTBEAT                                                                                            \
    "\xa9\x63rig\x61"                                                                                        \
    "a\x67"                                                                                                  \
    "address\x61"                                                                                            \
    "a\x64hull\x61"                                                                                          \
    "a\x64yard\x61"                                                                                          \
    "a\x69"                                                                                                  \
    "driftwood\xf4\x65watch\x01\x65tally\x01\x65"                                                            \
    "baton\x01\x64legs"
#define TASK                                                                                                 \
    "\xa3\x63leg\x63"                                                                                        \
    "a/0\x63try\x01\x66stance\x66saving"

/* Well-formed bodies of small items became trees of a hundred times their size, 6.5 MB, and the tasks of a
 * heartbeat and the names of a submission took 88 and 64 bytes for each that was claimed. */
static void bodies_of_many_items_take_no_memory(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct bytes start, unit, end;
        size_t bound;
    } rows[] = {
        {"integers", BYTES("\x9f"), BYTES("\x00"), BYTES("\xff"), BODY_MAX_BYTES},
        {"integers, counted", BYTES("\x99\xff\xfd"), BYTES("\x00"), BYTES(""), BODY_MAX_BYTES},
        {"floats", BYTES("\x9f"), BYTES("\xf9\x3c\x00"), BYTES("\xff"), BODY_MAX_BYTES},
        {"nulls", BYTES("\x9f"), BYTES("\xf6"), BYTES("\xff"), BODY_MAX_BYTES},
        {"empty texts", BYTES("\x9f"), BYTES("\x60"), BYTES("\xff"), BODY_MAX_BYTES},
        {"empty lists", BYTES("\x9f"), BYTES("\x80"), BYTES("\xff"), BODY_MAX_BYTES},
        {"empty open-ended lists", BYTES("\x9f"), BYTES("\x9f\xff"), BYTES("\xff"), BODY_MAX_BYTES},
        {"empty maps as keys and values", BYTES("\xbf"), BYTES("\xa0\xa0"), BYTES("\xff"), BODY_MAX_BYTES},
        {"tagged integers", BYTES("\x9f"), BYTES("\xc1\x00"), BYTES("\xff"), BODY_MAX_BYTES},
        {"a text in empty chunks", BYTES("\x7f"), BYTES("\x60"), BYTES("\xff"), BODY_MAX_BYTES},
        {"a byte string in chunks", BYTES("\x5f"), BYTES("\x41\x00"), BYTES("\xff"), BODY_MAX_BYTES},
        {"texts in no chunks", BYTES("\x9f"), BYTES("\x7f\xff"), BYTES("\xff"), BODY_MAX_BYTES},
        {"lists of one, too deep", BYTES(""), BYTES("\x81"), BYTES("\x00"), BODY_MAX_BYTES},
        {"open-ended lists, too deep", BYTES(""), BYTES("\x9f"), BYTES(""), BODY_MAX_BYTES},
        {"tags, too deep", BYTES(""), BYTES("\xc1"), BYTES("\x00"), BODY_MAX_BYTES},
        {"a list in an unknown field", BYTES("\xa1\x61x\x9f"), BYTES("\x80"), BYTES("\xff"), BODY_MAX_BYTES},
        {"awaited jobs that are integers", BYTES(SUBMISSION "\x9f"), BYTES("\x00"), BYTES("\xff"),
         BODY_MAX_BYTES},
        {"awaited jobs of which the last has no name", BYTES(SUBMISSION "\x9f"), BYTES("\x64wk-2"),
         BYTES("\x00\xff"), BODY_MAX_BYTES},
        {"tasks that are integers", BYTES(HEARTBEAT "\x99\xff\x00"), BYTES("\x00"), BYTES(""),
         BODY_MAX_BYTES},
        {"tasks that are integers, open-ended", BYTES(HEARTBEAT "\x9f"), BYTES("\x00"), BYTES("\xff"),
         BODY_MAX_BYTES},
        {"more tasks claimed than there are", BYTES(HEARTBEAT "\x99\x09\x00"), BYTES(TASK), BYTES(""),
         TASKS_MAX_BYTES},
        {"tasks of which the last is an integer", BYTES(HEARTBEAT "\x9f"), BYTES(TASK), BYTES("\x00\xff"),
         TASKS_MAX_BYTES},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        repeat(rows[i].start, rows[i].unit, rows[i].end);
        size_t taken = memory_to_refuse(rows[i].what);
        if (taken > rows[i].bound)
            fail_msg("%s: %zu bytes, %zu are allowed", rows[i].what, taken, rows[i].bound);
    }
}

/* The bodies of the rows above are read when the field that is wrong there is right, also in these encodings.
 */
static void valid_bodies_of_these_forms_are_read(void **state) {
    (void)state;
    struct amb_submission submission;
    struct amb_agent_heartbeat heartbeat;
    repeat((struct bytes)BYTES(SUBMISSION "\x9f"), (struct bytes)BYTES("\x64wk-2"),
           (struct bytes)BYTES("\xff"));
    assert_int_equal(amb_codec_decode_submission(body, body_len, &submission).problem, AMB_SUBMISSION_VALID);
    assert_int_equal(submission.dependencies->count, 1);
    free(submission.spec);
    free(submission.dependencies);
    repeat((struct bytes)BYTES(HEARTBEAT "\x9f"), (struct bytes)BYTES(TASK), (struct bytes)BYTES("\xff"));
    size_t tasks = (body_len - strlen(HEARTBEAT) - 2) / strlen(TASK);
    assert_int_equal(amb_codec_decode_heartbeat(body, body_len, &heartbeat), AMB_CODEC_OK);
    assert_int_equal(heartbeat.task_count, tasks);
    amb_codec_free_heartbeat(&heartbeat);
}

/* ---- messages of peers ---- */

/* Messages of peers, of 1 MiB at most, became trees of up to 80 MB. A quarter of the quota is for one while
 * it is read. */
static void messages_of_many_values_take_a_share(void **state) {
    (void)state;
    enum {
        MESSAGE_MAX_BYTES = 1024 * 1024,
        SMALLEST_DEPLOYMENT_BYTES = 27 * 1024 * 1024,
        SHARE = SMALLEST_DEPLOYMENT_BYTES / 4
    };
    static const struct {
        const char *what;
        struct bytes start, unit, end;
        enum amb_peer_message_fault fault;
    } rows[] = {
        {"objects", BYTES("["), BYTES("{},"), BYTES("{}]"), AMB_PEER_MESSAGE_TOO_LARGE},
        {"arrays", BYTES("["), BYTES("[],"), BYTES("[]]"), AMB_PEER_MESSAGE_TOO_LARGE},
        {"empty texts", BYTES("["), BYTES("\"\","), BYTES("0]"), AMB_PEER_MESSAGE_TOO_LARGE},
        {"integers", BYTES("["), BYTES("1,"), BYTES("0]"), AMB_PEER_MESSAGE_TOO_LARGE},
        {"arrays in arrays", BYTES(""), BYTES("["), BYTES(""), AMB_PEER_MESSAGE_NOT_JSON},
        {"a long text", BYTES("[\""), BYTES("a"), BYTES("\"]"), AMB_PEER_MESSAGE_OK},
    };
    char *text = malloc(MESSAGE_MAX_BYTES);
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_peer_message *message;
        size_t len = rows[i].start.len;
        memcpy(text, rows[i].start.data, len);
        for (; len + rows[i].unit.len + rows[i].end.len <= MESSAGE_MAX_BYTES; len += rows[i].unit.len)
            memcpy(text + len, rows[i].unit.data, rows[i].unit.len);
        memcpy(text + len, rows[i].end.data, rows[i].end.len);
        len += rows[i].end.len;
        heap_peak_begin();
        enum amb_peer_message_fault fault = amb_peer_message_parse(text, len, SHARE, &message).fault;
        size_t taken = heap_peak_end();
        amb_peer_message_release(message);
        if (fault != rows[i].fault) fail_msg("%s: %s", rows[i].what, amb_peer_message_fault_name(fault));
        if (taken > SHARE) fail_msg("%s: %zu bytes, %d are allowed", rows[i].what, taken, SHARE);
    }
    free(text);
}

/* ---- what is read ---- */

/* Compares what the getters say of an item with libcbor's tree of it. */
/* NOLINTNEXTLINE(misc-no-recursion): drawn bodies have a few bytes */
static void compare_item(const struct amb_cbor_item *item, const cbor_item_t *tree) {
    uint64_t number;
    double value;
    bool flag;
    bool is_simple = cbor_isa_float_ctrl(tree) && cbor_float_get_width(tree) == CBOR_FLOAT_0;
    bool is_float = cbor_isa_float_ctrl(tree) && !is_simple;
    bool is_text = cbor_isa_string(tree) && cbor_string_is_definite(tree);
    assert_int_equal(amb_cbor_get_uint(item, &number), cbor_isa_uint(tree));
    if (cbor_isa_uint(tree)) assert_int_equal(number, cbor_get_int(tree));
    double wanted = cbor_isa_uint(tree)     ? (double)cbor_get_int(tree)
                    : cbor_isa_negint(tree) ? -1.0 - (double)cbor_get_int(tree)
                    : is_float              ? cbor_float_get_float(tree)
                                            : NAN;
    assert_int_equal(amb_cbor_get_number(item, &value), isfinite(wanted));
    if (isfinite(wanted)) assert_true(value == wanted);
    bool is_bool = is_simple && cbor_is_bool(tree);
    assert_int_equal(amb_cbor_get_bool(item, &flag), is_bool);
    if (is_bool) assert_int_equal(flag, cbor_get_bool(tree));
    assert_int_equal(amb_cbor_is_absent(item), is_simple && !is_bool);
    char text[32];
    bool has_zero =
        is_text && cbor_string_length(tree) && memchr(cbor_string_handle(tree), 0, cbor_string_length(tree));
    assert_int_equal(amb_cbor_copy_string(item, text, sizeof text), is_text && !has_zero);
    if (is_text && !has_zero) assert_memory_equal(text, cbor_string_handle(tree), cbor_string_length(tree));
    assert_int_equal(amb_cbor_is_list(item), cbor_isa_array(tree));
    assert_int_equal(amb_cbor_is_map(item), cbor_isa_map(tree));
    assert_int_equal(amb_cbor_list_length(item), cbor_isa_array(tree) ? cbor_array_size(tree) : 0);
    struct amb_cbor_cursor items = amb_cbor_list_begin(item), pairs = amb_cbor_map_begin(item);
    for (size_t i = 0; cbor_isa_array(tree) && i < cbor_array_size(tree); i++) {
        assert_ptr_equal(amb_cbor_list_item(item, i), items.next);
        compare_item(amb_cbor_next(&items), cbor_array_handle(tree)[i]);
    }
    for (size_t i = 0; cbor_isa_map(tree) && i < cbor_map_size(tree); i++) {
        compare_item(amb_cbor_next(&pairs), cbor_map_handle(tree)[i].key);
        compare_item(amb_cbor_next(&pairs), cbor_map_handle(tree)[i].value);
    }
    assert_null(amb_cbor_next(&items));
    assert_null(amb_cbor_next(&pairs));
}

/* Compares what is read of the bytes with what libcbor reads. Returns whether they are well-formed. */
static bool compare_with_library(const unsigned char *bytes, size_t len) {
    struct cbor_load_result result;
    cbor_item_t *tree = cbor_load(bytes, len, &result);
    bool is_read = tree && result.read == len;
    const struct amb_cbor_item *item = amb_cbor_parse(bytes, len);
    if ((item != NULL) != is_read) {
        enum { SHOWN = 16 };
        char text[3 * SHOWN + 1] = "";
        for (size_t i = 0; i < len && i < SHOWN; i++) sprintf(text + 3 * i, "%02x ", bytes[i]);
        fail_msg("%sis %s by libcbor", text, is_read ? "read" : "refused");
    }
    if (is_read) assert_int_equal(amb_cbor_encoded_len(item), len);
    if (is_read) compare_item(item, tree);
    if (tree) cbor_decref(&tree);
    return is_read;
}

/* What libcbor reads is read, as libcbor reads it, and nothing else is: all bodies of two bytes, and longer
 * ones of heads that open, fill and end items of every kind. */
static void bodies_are_read_as_by_the_library(void **state) {
    (void)state;
    enum { LONGEST = 12, DRAWN = 300000 };
    static const unsigned char heads[] = {0x00, 0x18, 0x20, 0x38, 0x40, 0x41, 0x58, 0x5f, 0x60,
                                          0x61, 0x62, 0x78, 0x7f, 0x80, 0x81, 0x82, 0x83, 0x98,
                                          0x9f, 0xa0, 0xa1, 0xa2, 0xb8, 0xbf, 0xc0, 0xd8, 0xe0,
                                          0xf4, 0xf6, 0xf7, 0xf8, 0xf9, 0xfa, 0xff, 0xff, 0xff};
    unsigned char bytes[LONGEST];
    for (unsigned pair = 0; pair < 0x10000; pair++) {
        bytes[0] = (unsigned char)(pair >> 8);
        bytes[1] = (unsigned char)pair;
        compare_with_library(bytes, 1);
        compare_with_library(bytes, 2);
    }
    uint32_t draw = 1;
    size_t read = 0;
    for (int i = 0; i < DRAWN; i++) {
        size_t len = 3 + (size_t)i % (LONGEST - 2);
        for (size_t k = 0; k < len; k++) {
            draw = draw * 1664525u + 1013904223u;
            bytes[k] = heads[(draw >> 16) % sizeof heads];
        }
        read += compare_with_library(bytes, len);
    }
    assert_true(read > DRAWN / 100);
}

/* Texts of two and three bytes over all first and second bytes, and of four over the edges of RFC 3629. */
static void texts_are_utf8_as_the_library_reads(void **state) {
    (void)state;
    static const unsigned char edges[] = {0x00, 0x7f, 0x80, 0x8f, 0x90, 0x9f, 0xa0, 0xbf, 0xc0};
    for (unsigned pair = 0; pair < 0x10000; pair++)
        for (size_t i = 0; i < ROWS(edges); i++) {
            const unsigned char bytes[] = {0x64, (unsigned char)(pair >> 8), (unsigned char)pair, edges[i],
                                           0x80};
            const unsigned char shorter[] = {0x63, bytes[1], bytes[2], bytes[3]};
            const unsigned char shortest[] = {0x62, bytes[1], bytes[2]};
            compare_with_library(bytes, sizeof bytes);
            compare_with_library(shorter, sizeof shorter);
            if (!i) compare_with_library(shortest, sizeof shortest);
        }
}

/* Nesting is limited as by libcbor, which counts containers and tags. */
static void nesting_is_limited(void **state) {
    (void)state;
    static const struct {
        int head;
        bool needs_end;
    } rows[] = {{0x81, false}, {0xc1, false}, {0x9f, true}};
    for (size_t i = 0; i < ROWS(rows); i++)
        for (size_t depth = CBOR_MAX_STACK_SIZE - 1; depth <= CBOR_MAX_STACK_SIZE + 1; depth++) {
            memset(body, rows[i].head, depth);
            body[depth] = ZERO;
            size_t len = depth + 1;
            for (size_t k = 0; rows[i].needs_end && k < depth; k++) body[len++] = 0xff;
            assert_int_equal(amb_cbor_is_well_formed(body, len), depth <= CBOR_MAX_STACK_SIZE);
            compare_with_library(body, len);
        }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(nested_claims_take_no_memory),
        cmocka_unit_test(bodies_of_many_items_take_no_memory),
        cmocka_unit_test(valid_bodies_of_these_forms_are_read),
        cmocka_unit_test(messages_of_many_values_take_a_share),
        cmocka_unit_test(bodies_are_read_as_by_the_library),
        cmocka_unit_test(texts_are_utf8_as_the_library_reads),
        cmocka_unit_test(nesting_is_limited),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
