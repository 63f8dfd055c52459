#include "amberpin/codec/cbor_check.h"

#include "amberpin/base/utf8.h"

#include <cbor.h>
#include <stdint.h>

/* ---- tokens: the head of an item, with its text or bytes if it has any ---- */

enum token_kind {
    TOKEN_SCALAR,
    TOKEN_TEXT,
    TOKEN_BYTES,
    TOKEN_COUNTED, /* a list, map or tag, whose head states how many items follow */
    TOKEN_OPEN_LIST,
    TOKEN_OPEN_MAP,
    TOKEN_OPEN_TEXT,
    TOKEN_OPEN_BYTES,
    TOKEN_BREAK,    /* the end of an open-ended item */
    TOKEN_BAD_TEXT, /* not UTF-8 */
};

struct token {
    enum token_kind kind;
    size_t items; /* of TOKEN_COUNTED */
};

static void set_counted(void *context, size_t items) {
    *(struct token *)context = (struct token){TOKEN_COUNTED, items};
}

static void set_map(void *context, size_t pairs) {
    set_counted(context, pairs > SIZE_MAX / 2 ? SIZE_MAX : 2 * pairs);
}

static void set_tag(void *context, uint64_t tag) {
    (void)tag;
    set_counted(context, 1);
}

static void set_text(void *context, cbor_data text, size_t len) {
    *(struct token *)context = (struct token){amb_is_utf8(text, len) ? TOKEN_TEXT : TOKEN_BAD_TEXT, 0};
}

static void set_bytes(void *context, cbor_data bytes, size_t len) {
    (void)bytes;
    (void)len;
    *(struct token *)context = (struct token){TOKEN_BYTES, 0};
}

static void set_open_list(void *context) {
    *(struct token *)context = (struct token){TOKEN_OPEN_LIST, 0};
}

static void set_open_map(void *context) {
    *(struct token *)context = (struct token){TOKEN_OPEN_MAP, 0};
}

static void set_open_text(void *context) {
    *(struct token *)context = (struct token){TOKEN_OPEN_TEXT, 0};
}

static void set_open_bytes(void *context) {
    *(struct token *)context = (struct token){TOKEN_OPEN_BYTES, 0};
}

static void set_break(void *context) {
    *(struct token *)context = (struct token){TOKEN_BREAK, 0};
}

static struct cbor_callbacks token_callbacks(void) {
    struct cbor_callbacks callbacks = cbor_empty_callbacks; /* which leave a token as it is: a scalar */
    callbacks.array_start = set_counted;
    callbacks.map_start = set_map;
    callbacks.tag = set_tag;
    callbacks.string = set_text;
    callbacks.byte_string = set_bytes;
    callbacks.indef_array_start = set_open_list;
    callbacks.indef_map_start = set_open_map;
    callbacks.string_start = set_open_text;
    callbacks.byte_string_start = set_open_bytes;
    callbacks.indef_break = set_break;
    return callbacks;
}

/* ---- nesting ---- */

struct level {
    enum token_kind kind; /* TOKEN_COUNTED, or the open-ended item that it is */
    size_t items;         /* TOKEN_COUNTED: that are still to end; open-ended: that have ended */
};

struct check {
    size_t bytes_left;
    bool is_complete;
    size_t depth;
    struct level levels[CBOR_MAX_STACK_SIZE];
};

static struct level *innermost(struct check *check) {
    return check->depth ? &check->levels[check->depth - 1] : NULL;
}

static bool open_level(struct check *check, const struct token *token) {
    if (check->depth == CBOR_MAX_STACK_SIZE) return false;
    check->levels[check->depth++] = (struct level){token->kind, token->items};
    return true;
}

/* An item has ended: and so has each counted level of which it was the last item. */
static void end_item(struct check *check) {
    for (; check->depth; check->depth--) {
        struct level *level = innermost(check);
        if (level->kind != TOKEN_COUNTED) {
            level->items++;
            return;
        }
        if (--level->items) return;
    }
    check->is_complete = true;
}

static bool end_open_level(struct check *check) {
    const struct level *level = innermost(check);
    if (!level || level->kind == TOKEN_COUNTED) return false;
    if (level->kind == TOKEN_OPEN_MAP && level->items % 2) return false; /* a key without a value */
    check->depth--;
    end_item(check);
    return true;
}

/* Whether such an item may stand in this level: an open-ended text consists of texts of stated length. */
static bool may_stand_in(const struct level *level, enum token_kind kind) {
    if (level->kind == TOKEN_OPEN_TEXT) return kind == TOKEN_TEXT;
    if (level->kind == TOKEN_OPEN_BYTES) return kind == TOKEN_BYTES;
    return true;
}

static bool begin_counted_level(struct check *check, const struct token *token) {
    if (!token->items) {
        end_item(check);
        return true;
    }
    return open_level(check, token);
}

static bool begin_item(struct check *check, const struct token *token) {
    const struct level *level = innermost(check);
    if (level && !may_stand_in(level, token->kind)) return false;
    switch (token->kind) {
    case TOKEN_BAD_TEXT: return false;
    case TOKEN_COUNTED: return begin_counted_level(check, token);
    case TOKEN_OPEN_LIST:
    case TOKEN_OPEN_MAP:
    case TOKEN_OPEN_TEXT:
    case TOKEN_OPEN_BYTES: return open_level(check, token);
    default: end_item(check); return true;
    }
}

static bool take_token(struct check *check, const struct token *token) {
    return token->kind == TOKEN_BREAK ? end_open_level(check) : begin_item(check, token);
}

bool amb_cbor_is_well_formed(const void *data, size_t len) {
    const struct cbor_callbacks callbacks = token_callbacks();
    const unsigned char *bytes = data;
    struct check check;
    check.bytes_left = len;
    check.depth = 0;
    check.is_complete = false;
    while (check.bytes_left && !check.is_complete) {
        struct token token = {TOKEN_SCALAR, 0};
        struct cbor_decoder_result head =
            cbor_stream_decode(bytes + (len - check.bytes_left), check.bytes_left, &callbacks, &token);
        if (head.status != CBOR_DECODER_FINISHED || !head.read) return false;
        check.bytes_left -= head.read;
        if (!take_token(&check, &token)) return false;
    }
    return check.is_complete && !check.bytes_left;
}
