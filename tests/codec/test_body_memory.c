/* What a body may make a node hold before it is known to be valid. The body itself is bounded by the
 * protocol; checking and reading it may take as much again at most, whatever the body claims to hold. */
#include "check.h"
#include "heap_peak.h"

#include "amberpin/base/util.h"
#include "amberpin/codec/cbor_check.h"
#include "amberpin/codec/messages.h"
#include "amberpin/codec/user_messages.h"

#include <cbor.h>

enum { BODY_MAX_BYTES = 64 * 1024, NESTED = 1000 };

/* ---- bodies ---- */

/* Heads of CBOR, of which some are followed by two bytes of length. */
enum {
    LIST = 0x99,
    MAP = 0xb9,
    ZERO = 0x00,
};

static unsigned char body[BODY_MAX_BYTES];

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
}

/* ---- tests ---- */

/* Returns the most memory that any of those who read bodies of users and agents takes. All must refuse it. */
static size_t memory_to_refuse(const char *what) {
    struct amb_submission submission;
    struct amb_agent_heartbeat heartbeat;
    heap_peak_begin();
    if (amb_codec_decode_submission(body, sizeof body, &submission).problem == AMB_SUBMISSION_VALID)
        fail_msg("%s: read as a submission", what);
    if (amb_codec_decode_heartbeat(body, sizeof body, &heartbeat) == AMB_CODEC_OK)
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

/* Whether libcbor reads the bytes as one item. */
static bool is_read_by_library(const unsigned char *bytes, size_t len) {
    struct cbor_load_result result;
    cbor_item_t *item = cbor_load(bytes, len, &result);
    if (!item) return false;
    cbor_decref(&item);
    return result.read == len;
}

static void compare_with_library(const unsigned char *bytes, size_t len) {
    if (amb_cbor_is_well_formed(bytes, len) == is_read_by_library(bytes, len)) return;
    enum { SHOWN = 16 };
    char text[3 * SHOWN + 1] = "";
    for (size_t i = 0; i < len && i < SHOWN; i++) sprintf(text + 3 * i, "%02x ", bytes[i]);
    fail_msg("%sis %s by libcbor", text, is_read_by_library(bytes, len) ? "read" : "refused");
}

/* What libcbor reads is well-formed, and nothing else is: all bodies of two bytes, and longer ones of heads
 * that open, fill and end items of every kind. */
static void well_formed_is_what_the_library_reads(void **state) {
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
    for (int i = 0; i < DRAWN; i++) {
        size_t len = 3 + (size_t)i % (LONGEST - 2);
        for (size_t k = 0; k < len; k++) {
            draw = draw * 1664525u + 1013904223u;
            bytes[k] = heads[(draw >> 16) % sizeof heads];
        }
        compare_with_library(bytes, len);
    }
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
        cmocka_unit_test(well_formed_is_what_the_library_reads),
        cmocka_unit_test(texts_are_utf8_as_the_library_reads),
        cmocka_unit_test(nesting_is_limited),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
