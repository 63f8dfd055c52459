#include "fake_store.h"
#include "cbor_items.h"
#include "check.h"
#include "fake_http.h"

#include "amberpin/node/node.h"

enum { MAX_KEYS = 1024, MAX_LATE = 64, MAX_STATUS = 600 };

struct key {
    char name[256];
    const struct amb_cbor_item *value;
    uint64_t revision;
};

static struct key keys[MAX_KEYS]; /* sorted by name */
static size_t key_count, late_count, largest_value;
static const struct amb_cbor_item *late_txns[MAX_LATE];
static uint64_t revision;
static struct fake_store_limits limits;
static uint32_t changes_since_refill;
static size_t answer_counts[MAX_STATUS];

void fake_store_reset(void) {
    for (size_t i = 0; i < key_count; i++) cbor_item_free(keys[i].value);
    for (size_t i = 0; i < late_count; i++) cbor_item_free(late_txns[i]);
    key_count = late_count = largest_value = 0;
    revision = 100;
    changes_since_refill = 0;
    limits = (struct fake_store_limits){.value_kb = 64};
    memset(answer_counts, 0, sizeof answer_counts);
}

void fake_store_set_limits(struct fake_store_limits new_limits) {
    limits = new_limits;
}

void fake_store_refill(void) {
    changes_since_refill = 0;
}

/* ---- keys ---- */

static size_t lower_bound(const char *name) {
    size_t i = 0;
    while (i < key_count && strcmp(keys[i].name, name) < 0) i++;
    return i;
}

static struct key *find(const char *name) {
    size_t i = lower_bound(name);
    return i < key_count && !strcmp(keys[i].name, name) ? &keys[i] : NULL;
}

static void set_key(const char *name, const struct amb_cbor_item *value, uint64_t at_revision) {
    struct key *key = find(name);
    if (!key) {
        size_t i = lower_bound(name);
        assert_true(key_count < MAX_KEYS);
        memmove(&keys[i + 1], &keys[i], (key_count++ - i) * sizeof *keys);
        key = &keys[i];
        memset(key, 0, sizeof *key);
        snprintf(key->name, sizeof key->name, "%s", name);
    } else {
        cbor_item_free(key->value);
    }
    key->value = cbor_item_copy(value);
    key->revision = at_revision;
}

static void remove_key(const char *name) {
    struct key *key = find(name);
    if (!key) return;
    cbor_item_free(key->value);
    size_t i = (size_t)(key - keys);
    memmove(key, key + 1, (--key_count - i) * sizeof *keys);
}

uint64_t fake_store_put(const char *name, const struct amb_buf *value) {
    revision++;
    if (!value) {
        remove_key(name);
        return revision;
    }
    const struct amb_cbor_item *item = amb_cbor_parse(value->data, value->len);
    set_key(name, item, revision);
    return revision;
}

uint64_t fake_store_revision(const char *name) {
    const struct key *key = find(name);
    return key ? key->revision : 0;
}

const struct amb_cbor_item *fake_store_value(const char *name) {
    const struct key *key = find(name);
    return key ? key->value : NULL;
}

const char *fake_store_key(const char *prefix, size_t index) {
    for (size_t i = 0; i < key_count; i++)
        if (!strncmp(keys[i].name, prefix, strlen(prefix)) && !index--) return keys[i].name;
    return NULL;
}

size_t fake_store_count(const char *prefix) {
    size_t count = 0;
    while (fake_store_key(prefix, count)) count++;
    return count;
}

/* ---- sizes, computed independently of the library ---- */

/* Size of one item without its children, which are pushed on the stack; ", " and ": " are the separators. */
static size_t json_item_size(const cbor_item_t *item, const cbor_item_t **stack, size_t *depth) {
    char number[32];
    if (cbor_isa_string(item)) return cbor_string_length(item) + 2;
    if (cbor_isa_uint(item))
        return (size_t)snprintf(number, sizeof number, "%llu", (unsigned long long)cbor_get_int(item));
    size_t separators = 0;
    if (cbor_isa_array(item)) {
        size_t count = cbor_array_size(item);
        separators = count ? count - 1 : 0;
        for (size_t i = 0; i < count; i++) stack[(*depth)++] = cbor_array_handle(item)[i];
    } else if (cbor_isa_map(item)) {
        size_t count = cbor_map_size(item);
        const struct cbor_pair *pairs = cbor_map_handle(item);
        separators = count ? 2 * count - 1 : 0;
        for (size_t i = 0; i < count; i++)
            stack[(*depth)++] = pairs[i].key, stack[(*depth)++] = pairs[i].value;
    } else {
        return 5; /* true, false, null */
    }
    return 2 + 2 * separators;
}

static size_t json_size(const struct amb_cbor_item *value) {
    enum { ITEMS = 256 };
    cbor_item_t *tree = cbor_tree_of(value);
    const cbor_item_t *stack[ITEMS] = {tree};
    size_t size = 0;
    for (size_t depth = 1; depth;) {
        assert_true(depth < ITEMS / 2);
        const cbor_item_t *item = stack[--depth];
        size += json_item_size(item, stack, &depth);
    }
    cbor_decref(&tree);
    return size;
}

/* ---- calls ---- */

static const struct amb_cbor_item *change_key(const struct amb_cbor_item *change, char *name,
                                              size_t capacity) {
    const struct amb_cbor_item *put = amb_cbor_map_get(change, "put");
    assert_true(amb_cbor_copy_string(put ? put : amb_cbor_map_get(change, "remove"), name, capacity));
    return put ? amb_cbor_map_get(change, "value") : NULL;
}

static bool is_within_limits(const struct amb_cbor_item *then) {
    if (limits.txn_ops && amb_cbor_list_length(then) > limits.txn_ops) return false;
    for (size_t i = 0; i < amb_cbor_list_length(then); i++) {
        char name[256];
        const struct amb_cbor_item *value = change_key(amb_cbor_list_item(then, i), name, sizeof name);
        if (value && (double)json_size(value) > limits.value_kb * 1024) return false;
    }
    return true;
}

static bool guards_hold(const struct amb_cbor_item *guards) {
    for (size_t i = 0; i < amb_cbor_list_length(guards); i++) {
        char name[256];
        uint64_t compared;
        const struct amb_cbor_item *guard = amb_cbor_list_item(guards, i);
        assert_true(amb_cbor_copy_string(amb_cbor_map_get(guard, "path"), name, sizeof name));
        assert_true(amb_cbor_get_uint(amb_cbor_map_get(guard, "stamp"), &compared));
        if (fake_store_revision(name) != compared) return false;
    }
    return true;
}

/* Applies the transaction and returns the status of its answer. */
static int apply_txn(const struct amb_cbor_item *txn) {
    const struct amb_cbor_item *then = amb_cbor_map_get(txn, "then");
    if (!is_within_limits(then)) return 400;
    if (limits.burst && changes_since_refill + amb_cbor_list_length(then) > limits.burst) return 429;
    changes_since_refill += (uint32_t)amb_cbor_list_length(then);
    if (!guards_hold(amb_cbor_map_get(txn, "guards"))) return 409;
    revision++;
    for (size_t i = 0; i < amb_cbor_list_length(then); i++) {
        char name[256];
        const struct amb_cbor_item *value = change_key(amb_cbor_list_item(then, i), name, sizeof name);
        if (!value) {
            remove_key(name);
            continue;
        }
        if (json_size(value) > largest_value) largest_value = json_size(value);
        set_key(name, value, revision);
    }
    return 200;
}

static void answer_call(struct fake_call *call, int status) {
    struct amb_buf body = {0};
    answer_counts[status]++;
    amb_cbor_write_map(&body, 2);
    amb_cbor_write_string(&body, "epoch"), amb_cbor_write_uint(&body, revision);
    amb_cbor_write_string(&body, "failed"), amb_cbor_write_list(&body, 0);
    fake_answer(call, status, &body);
}

static void answer_read(struct fake_call *call) {
    const struct key *key = find(call->path + strlen("/store/"));
    if (!key) {
        answer_call(call, 404);
        return;
    }
    struct amb_buf body = {0};
    amb_cbor_write_map(&body, 2);
    amb_cbor_write_string(&body, "stamp"), amb_cbor_write_uint(&body, key->revision);
    amb_cbor_write_string(&body, "value"), cbor_item_append(&body, key->value);
    answer_counts[200]++;
    fake_answer(call, 200, &body);
}

bool fake_store_serve(enum fake_outcome outcome) {
    struct fake_call *call = fake_open_call("/commit"), *read = fake_open_call("/store/");
    if (!call || (read && read < call)) call = read; /* calls are stored in the order of sending */
    if (!call) return false;
    bool commit = call != read;
    int status =
        commit && (outcome == FAKE_APPLIED || outcome == FAKE_ANSWER_LOST) ? apply_txn(call->cbor_body) : 0;
    if (commit && outcome == FAKE_APPLIED_LATE) {
        assert_true(late_count < MAX_LATE);
        late_txns[late_count++] = cbor_item_copy(call->cbor_body);
    }
    if (outcome != FAKE_APPLIED)
        fake_answer(call, 0, NULL);
    else if (commit)
        answer_call(call, status);
    else
        answer_read(call);
    return true;
}

void fake_store_serve_late(size_t *refused, size_t *applied) {
    *refused = *applied = 0;
    for (size_t i = 0; i < late_count; i++) {
        int status = apply_txn(late_txns[i]);
        *refused += status == 409;
        *applied += status == 200;
        cbor_item_free(late_txns[i]);
    }
    late_count = 0;
}

size_t fake_store_answers(int status) {
    return answer_counts[status];
}

size_t fake_store_largest(void) {
    return largest_value;
}

void fake_store_load_records(struct amb_node *node) {
    const char *name;
    for (size_t i = 0; (name = fake_store_key("b/", i)); i++) {
        const struct key *key = find(name);
        amb_placement_log_restore(node, key->name, key->value, key->revision);
    }
}
