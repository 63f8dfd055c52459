#include "amberpin/codec/cbor_item.h"

#include "amberpin/base/util.h"
#include "amberpin/codec/cbor_check.h"
#include "cbor_head.h"

#include <cbor.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

const struct amb_cbor_item *amb_cbor_parse(const void *data, size_t len) {
    return amb_cbor_is_well_formed(data, len) ? data : NULL;
}

/* ---- heads ---- */

struct head {
    enum cbor_major major;
    bool is_open_ended;
    uint64_t argument; /* value, length, number of items or pairs, tag, or the bits of a float */
    const unsigned char *end;
};

static struct head read_head(const unsigned char *at) {
    struct head head = {.major = (enum cbor_major)(*at >> CBOR_INFO_BITS)};
    int info = *at++ & CBOR_INFO_MASK;
    if (info == CBOR_INFO_OPEN_ENDED)
        head.is_open_ended = true;
    else if (info < CBOR_INFO_ARGUMENT_1)
        head.argument = (uint64_t)info;
    else
        for (size_t bytes = (size_t)1 << (info - CBOR_INFO_ARGUMENT_1); bytes; bytes--)
            head.argument = head.argument << 8 | *at++;
    head.end = at;
    return head;
}

static bool is_major(const struct amb_cbor_item *item, enum cbor_major major) {
    return item && item->head >> CBOR_INFO_BITS == (int)major;
}

/* ---- ends of items ---- */

/* Returns the number of items that directly follow the head of an item of stated length, and moves *at past
 * the head and past the content of a text or byte string. */
static uint64_t skip_shallow(const struct head *head, const unsigned char **at) {
    *at = head->end;
    switch (head->major) {
    case CBOR_MAJOR_BYTES:
    case CBOR_MAJOR_TEXT: *at += head->argument; return 0;
    case CBOR_MAJOR_LIST: return head->argument;
    case CBOR_MAJOR_MAP: return 2 * head->argument;
    case CBOR_MAJOR_TAG: return 1;
    default: return 0;
    }
}

/* Returns the end of an open-ended item. Only open-ended items within others need a place on the stack. */
static const unsigned char *skip_open_ended(const unsigned char *at) {
    static const uint64_t UNTIL_BREAK = UINT64_MAX;
    uint64_t items_left[CBOR_MAX_STACK_SIZE + 1]; /* of the items around this one */
    size_t depth = 0;
    uint64_t left = UNTIL_BREAK;
    at++;
    for (;;) {
        if (!left) { /* an item of stated length has ended */
            left = items_left[--depth];
            continue;
        }
        if (*at == CBOR_BYTE_BREAK) {
            at++;
            if (!depth) return at;
            left = items_left[--depth];
            continue;
        }
        if (left != UNTIL_BREAK) left--;
        struct head head = read_head(at);
        uint64_t nested = head.is_open_ended ? UNTIL_BREAK : skip_shallow(&head, &at);
        if (head.is_open_ended) at = head.end;
        if (!nested) continue;
        if (left == UNTIL_BREAK || nested == UNTIL_BREAK) {
            items_left[depth++] = left;
            left = nested;
        } else {
            left += nested;
        }
    }
}

/* Returns the end of the item that begins here. */
static const unsigned char *skip_item(const unsigned char *at) {
    for (uint64_t left = 1; left; left--) {
        struct head head = read_head(at);
        if (head.is_open_ended)
            at = skip_open_ended(at);
        else
            left += skip_shallow(&head, &at);
    }
    return at;
}

size_t amb_cbor_encoded_len(const struct amb_cbor_item *item) {
    return (size_t)(skip_item(&item->head) - &item->head);
}

/* ---- lists and maps ---- */

bool amb_cbor_is_map(const struct amb_cbor_item *item) {
    return is_major(item, CBOR_MAJOR_MAP);
}

bool amb_cbor_is_list(const struct amb_cbor_item *item) {
    return is_major(item, CBOR_MAJOR_LIST);
}

static struct amb_cbor_cursor begin(const struct amb_cbor_item *item, enum cbor_major major,
                                    uint64_t items_each) {
    if (!is_major(item, major)) return (struct amb_cbor_cursor){NULL, 0, false};
    struct head head = read_head(&item->head);
    return (struct amb_cbor_cursor){head.end, items_each * head.argument, head.is_open_ended};
}

struct amb_cbor_cursor amb_cbor_list_begin(const struct amb_cbor_item *list) {
    return begin(list, CBOR_MAJOR_LIST, 1);
}

struct amb_cbor_cursor amb_cbor_map_begin(const struct amb_cbor_item *map) {
    return begin(map, CBOR_MAJOR_MAP, 2);
}

const struct amb_cbor_item *amb_cbor_next(struct amb_cbor_cursor *cursor) {
    const unsigned char *at = cursor->next;
    if (cursor->is_open_ended ? *at == CBOR_BYTE_BREAK : !cursor->items_left) return NULL;
    if (!cursor->is_open_ended) cursor->items_left--;
    cursor->next = skip_item(at);
    return (const struct amb_cbor_item *)at;
}

size_t amb_cbor_list_length(const struct amb_cbor_item *list) {
    struct amb_cbor_cursor cursor = amb_cbor_list_begin(list);
    if (!cursor.is_open_ended) return (size_t)cursor.items_left;
    size_t length = 0;
    while (amb_cbor_next(&cursor)) length++;
    return length;
}

const struct amb_cbor_item *amb_cbor_list_item(const struct amb_cbor_item *list, size_t index) {
    struct amb_cbor_cursor cursor = amb_cbor_list_begin(list);
    const struct amb_cbor_item *item = amb_cbor_next(&cursor);
    while (item && index--) item = amb_cbor_next(&cursor);
    return item;
}

/* ---- texts ---- */

struct text {
    const char *data; /* NULL: the item is no text of stated length */
    size_t len;
};

static struct text read_text(const struct amb_cbor_item *item) {
    if (!is_major(item, CBOR_MAJOR_TEXT)) return (struct text){NULL, 0};
    struct head head = read_head(&item->head);
    if (head.is_open_ended) return (struct text){NULL, 0};
    return (struct text){(const char *)head.end, (size_t)head.argument};
}

static bool is_this_text(const struct amb_cbor_item *item, const char *expected, size_t len) {
    struct text text = read_text(item);
    return text.data && text.len == len && !memcmp(text.data, expected, len);
}

const struct amb_cbor_item *amb_cbor_map_get(const struct amb_cbor_item *map, const char *key) {
    struct amb_cbor_cursor cursor = amb_cbor_map_begin(map);
    const struct amb_cbor_item *found;
    size_t key_len = strlen(key);
    while ((found = amb_cbor_next(&cursor)) != NULL) {
        bool is_key = is_this_text(found, key, key_len);
        if (is_key) return (const struct amb_cbor_item *)cursor.next;
        amb_cbor_next(&cursor);
    }
    return NULL;
}

bool amb_cbor_equals(const struct amb_cbor_item *item, const char *text) {
    return is_this_text(item, text, strlen(text));
}

bool amb_cbor_copy_string(const struct amb_cbor_item *item, char *out, size_t cap) {
    struct text text = read_text(item);
    if (!text.data || text.len >= cap || memchr(text.data, 0, text.len)) return false;
    memcpy(out, text.data, text.len);
    out[text.len] = 0;
    return true;
}

char *amb_cbor_dup_string(const struct amb_cbor_item *item) {
    struct text text = read_text(item);
    if (!text.data) return NULL;
    size_t cap = text.len + 1;
    char *copy = amb_alloc(cap);
    if (amb_cbor_copy_string(item, copy, cap)) return copy;
    free(copy);
    return NULL;
}

/* ---- numbers and simple values ---- */

bool amb_cbor_get_uint(const struct amb_cbor_item *item, uint64_t *out) {
    if (!is_major(item, CBOR_MAJOR_UINT)) return false;
    *out = read_head(&item->head).argument;
    return true;
}

/* As in RFC 8949, appendix D. */
static double half_to_double(uint64_t bits) {
    enum { FRACTION_BITS = 10, EXPONENT_BIAS = 15, EXPONENT_MAX = 31, SIGN = 0x8000 };
    int exponent = (int)(bits >> FRACTION_BITS) & EXPONENT_MAX;
    int fraction = (int)bits & ((1 << FRACTION_BITS) - 1);
    double value;
    if (!exponent)
        value = ldexp(fraction, 1 - EXPONENT_BIAS - FRACTION_BITS);
    else if (exponent < EXPONENT_MAX)
        value = ldexp(fraction + (1 << FRACTION_BITS), exponent - EXPONENT_BIAS - FRACTION_BITS);
    else
        value = fraction ? NAN : INFINITY;
    return bits & SIGN ? -value : value;
}

static double single_to_double(uint64_t bits) {
    uint32_t single_bits = (uint32_t)bits;
    float value;
    memcpy(&value, &single_bits, sizeof value);
    return value;
}

static double bits_to_double(uint64_t bits) {
    double value;
    memcpy(&value, &bits, sizeof value);
    return value;
}

bool amb_cbor_get_number(const struct amb_cbor_item *item, double *out) {
    if (!item) return false;
    struct head head = read_head(&item->head);
    if (head.major == CBOR_MAJOR_UINT)
        *out = (double)head.argument;
    else if (head.major == CBOR_MAJOR_NEGINT)
        *out = -1.0 - (double)head.argument;
    else if (item->head == CBOR_BYTE_HALF)
        *out = half_to_double(head.argument);
    else if (item->head == CBOR_BYTE_SINGLE)
        *out = single_to_double(head.argument);
    else if (item->head == CBOR_BYTE_DOUBLE)
        *out = bits_to_double(head.argument);
    else
        return false;
    return isfinite(*out);
}

bool amb_cbor_get_bool(const struct amb_cbor_item *item, bool *out) {
    if (!item || (item->head != CBOR_BYTE_FALSE && item->head != CBOR_BYTE_TRUE)) return false;
    *out = item->head == CBOR_BYTE_TRUE;
    return true;
}

bool amb_cbor_is_absent(const struct amb_cbor_item *item) {
    return !item || item->head == CBOR_BYTE_NULL || item->head == CBOR_BYTE_UNDEFINED;
}
