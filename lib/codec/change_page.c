#include "amberpin/codec/change_page.h"

#include "amberpin/codec/cbor_reader.h"

/* Which of the keys comes next, as a bit; 0: none of them, and its value is to be skipped. A key that comes
 * twice makes the reader odd. */
static uint32_t read_field(struct amb_cbor_reader *in, const char *const *names, uint32_t *seen) {
    struct amb_cbor_text name = amb_cbor_read_text(in);
    for (uint32_t i = 0; names[i]; i++) {
        if (!amb_cbor_text_is(name, names[i])) continue;
        if (*seen & 1u << i) in->odd = true;
        *seen |= 1u << i;
        return 1u << i;
    }
    return 0;
}

enum { CHANGE_PUT = 1, CHANGE_REMOVE = 2, CHANGE_STAMP = 4, CHANGE_VALUE = 8 };
static const char *const change_fields[] = {"put", "remove", "stamp", "value", NULL};

static void read_value(struct amb_cbor_reader *in, struct amb_change *change) {
    const unsigned char *start = in->at;
    amb_cbor_skip(in);
    change->value = start;
    change->value_len = (size_t)(in->at - start);
}

static void read_change(struct amb_cbor_reader *in, struct amb_change *change) {
    uint32_t seen = 0;
    change->value = NULL;
    change->value_len = 0;
    for (size_t pairs = amb_cbor_read_map(in); pairs && !in->odd; pairs--) {
        switch (read_field(in, change_fields, &seen)) {
        case CHANGE_PUT:
        case CHANGE_REMOVE:
            amb_cbor_copy_text(in, amb_cbor_read_text(in), change->key, sizeof change->key);
            break;
        case CHANGE_STAMP: change->stamp = amb_cbor_read_uint(in); break;
        case CHANGE_VALUE: read_value(in, change); break;
        default: amb_cbor_skip(in);
        }
    }
    if (seen != (CHANGE_PUT | CHANGE_STAMP | CHANGE_VALUE) && seen != (CHANGE_REMOVE | CHANGE_STAMP))
        in->odd = true;
}

static void read_changes(struct amb_cbor_reader *in, amb_change_fn visit, void *context) {
    struct amb_change change;
    for (size_t left = amb_cbor_read_list(in); left && !in->odd; left--) {
        read_change(in, &change);
        if (visit && !in->odd) visit(context, &change);
    }
}

enum { PAGE_EPOCH = 1, PAGE_NEWS = 2 };
static const char *const page_fields[] = {"epoch", "news", NULL};

/* With `visit` NULL it is only looked through. */
static bool read_page(const void *page, size_t len, uint64_t *epoch, amb_change_fn visit, void *context) {
    struct amb_cbor_reader in = amb_cbor_reader(page, len);
    uint32_t seen = 0;
    for (size_t pairs = amb_cbor_read_map(&in); pairs && !in.odd; pairs--) {
        switch (read_field(&in, page_fields, &seen)) {
        case PAGE_EPOCH: *epoch = amb_cbor_read_uint(&in); break;
        case PAGE_NEWS:
            if (!in.odd) read_changes(&in, visit, context); /* a key that comes twice has made it odd */
            break;
        default: amb_cbor_skip(&in);
        }
    }
    return !in.odd && seen == (PAGE_EPOCH | PAGE_NEWS) && in.at == in.end;
}

bool amb_change_page_read(const void *page, size_t len, uint64_t *epoch, amb_change_fn visit, void *context) {
    /* Looked through first: a page that turns out unreadable in the middle must not be applied by half. */
    return read_page(page, len, epoch, NULL, NULL) && read_page(page, len, epoch, visit, context);
}
