#include "amberpin/codec/change_page.h"

#include "amberpin/codec/cbor_reader.h"

/* ---- names on the wire ---- */

static const char PUT[] = "put";
static const char REMOVE[] = "remove";
static const char REVISION[] = "stamp";
static const char VALUE[] = "value";
static const char STORE_REVISION[] = "epoch";
static const char CHANGES[] = "news";
static const char PAIRS[] = "pairs";
static const char KEY[] = "path";
static const char HAS_MORE[] = "truncated";

/* ---- changes, directly from the bytes ---- */

/* Reads a field name and returns its bit in `names`, or 0 for an unknown name, whose value the caller must
 * skip. The reader fails on a duplicate name. */
static uint32_t decode_field_name(struct amb_cbor_reader *reader, const char *const *names, uint32_t *seen) {
    struct amb_cbor_text name = amb_cbor_read_text(reader);
    for (uint32_t i = 0; names[i]; i++) {
        if (!amb_cbor_text_equals(name, names[i])) continue;
        if (*seen & 1u << i) reader->failed = true;
        *seen |= 1u << i;
        return 1u << i;
    }
    return 0;
}

enum { CHANGE_PUT = 1, CHANGE_REMOVE = 2, CHANGE_REVISION = 4, CHANGE_VALUE = 8 };
static const char *const CHANGE_FIELDS[] = {PUT, REMOVE, REVISION, VALUE, NULL};

static void decode_value(struct amb_cbor_reader *reader, struct amb_change *change) {
    const unsigned char *start = reader->at;
    amb_cbor_skip_value(reader);
    change->value = start;
    change->value_len = (size_t)(reader->at - start);
}

static void decode_change(struct amb_cbor_reader *reader, struct amb_change *change) {
    uint32_t seen = 0;
    change->value = NULL;
    change->value_len = 0;
    for (size_t pairs = amb_cbor_read_map(reader); pairs && !reader->failed; pairs--) {
        switch (decode_field_name(reader, CHANGE_FIELDS, &seen)) {
        case CHANGE_PUT:
        case CHANGE_REMOVE:
            amb_cbor_copy_text(reader, amb_cbor_read_text(reader), change->key, sizeof change->key);
            break;
        case CHANGE_REVISION: change->revision = amb_cbor_read_uint(reader); break;
        case CHANGE_VALUE: decode_value(reader, change); break;
        default: amb_cbor_skip_value(reader);
        }
    }
    if (seen != (CHANGE_PUT | CHANGE_REVISION | CHANGE_VALUE) && seen != (CHANGE_REMOVE | CHANGE_REVISION))
        reader->failed = true;
}

static void decode_changes(struct amb_cbor_reader *reader, amb_change_visitor visit, void *context) {
    struct amb_change change;
    for (size_t left = amb_cbor_read_list(reader); left && !reader->failed; left--) {
        decode_change(reader, &change);
        if (visit && !reader->failed) visit(context, &change);
    }
}

enum { PAGE_STORE_REVISION = 1, PAGE_CHANGE_LIST = 2 };
static const char *const PAGE_FIELDS[] = {STORE_REVISION, CHANGES, NULL};

/* If `visit` is NULL the page is only validated. */
static bool decode_page(const void *page, size_t len, uint64_t *store_revision, amb_change_visitor visit,
                        void *context) {
    struct amb_cbor_reader reader = amb_cbor_reader_init(page, len);
    uint32_t seen = 0;
    for (size_t pairs = amb_cbor_read_map(&reader); pairs && !reader.failed; pairs--) {
        switch (decode_field_name(&reader, PAGE_FIELDS, &seen)) {
        case PAGE_STORE_REVISION: *store_revision = amb_cbor_read_uint(&reader); break;
        case PAGE_CHANGE_LIST:
            if (!reader.failed)
                decode_changes(&reader, visit, context); /* a duplicate name made the reader fail */
            break;
        default: amb_cbor_skip_value(&reader);
        }
    }
    return !reader.failed && seen == (PAGE_STORE_REVISION | PAGE_CHANGE_LIST) && reader.at == reader.end;
}

bool amb_change_page_decode(const void *page, size_t len, uint64_t *store_revision, amb_change_visitor visit,
                            void *context) {
    /* The page is validated first, because a page that is unreadable in the middle must not be applied in
     * part. */
    return decode_page(page, len, store_revision, NULL, NULL) &&
           decode_page(page, len, store_revision, visit, context);
}

/* ---- changes, parsed in full ---- */

static bool decode_parsed_change(const struct amb_cbor_item *item, struct amb_parsed_change *change) {
    if (!amb_cbor_get_uint(amb_cbor_map_get(item, REVISION), &change->revision)) return false;
    bool is_put = amb_cbor_copy_string(amb_cbor_map_get(item, PUT), change->key, sizeof change->key);
    change->value = is_put ? amb_cbor_map_get(item, VALUE) : NULL;
    return is_put || amb_cbor_copy_string(amb_cbor_map_get(item, REMOVE), change->key, sizeof change->key);
}

bool amb_change_page_parse(const void *page, size_t len, uint64_t *store_revision,
                           amb_parsed_change_visitor visit, void *context) {
    const struct amb_cbor_item *body = amb_cbor_parse(page, len);
    bool is_page = amb_cbor_get_uint(amb_cbor_map_get(body, STORE_REVISION), store_revision);
    struct amb_cbor_cursor changes = amb_cbor_list_begin(is_page ? amb_cbor_map_get(body, CHANGES) : NULL);
    const struct amb_cbor_item *item;
    struct amb_parsed_change change;
    while ((item = amb_cbor_next(&changes)) != NULL)
        if (decode_parsed_change(item, &change)) visit(context, &change);
    return is_page;
}

/* ---- listings ---- */

bool amb_list_page_decode(const struct amb_cbor_item *body, struct amb_list_page *page) {
    bool is_truncated = false;
    if (!amb_cbor_get_uint(amb_cbor_map_get(body, STORE_REVISION), &page->store_revision)) return false;
    amb_cbor_get_bool(amb_cbor_map_get(body, HAS_MORE), &is_truncated);
    const struct amb_cbor_item *pairs = amb_cbor_map_get(body, PAIRS);
    page->pairs = amb_cbor_list_begin(pairs);
    page->has_more = is_truncated && amb_cbor_list_length(pairs);
    return true;
}

static bool decode_pair(const struct amb_cbor_item *item, struct amb_parsed_change *pair) {
    pair->value = amb_cbor_map_get(item, VALUE);
    return amb_cbor_copy_string(amb_cbor_map_get(item, KEY), pair->key, sizeof pair->key) &&
           amb_cbor_get_uint(amb_cbor_map_get(item, REVISION), &pair->revision);
}

bool amb_list_page_next(struct amb_cbor_cursor *position, struct amb_parsed_change *pair) {
    const struct amb_cbor_item *item;
    while ((item = amb_cbor_next(position)) != NULL)
        if (decode_pair(item, pair)) return true;
    return false;
}
