/* The simulated state service: keys, leases, transactions and watches. */
#include "cbor_items.h"
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static uint64_t key_hash(const char *key) {
    uint64_t hash = 1469598103934665603u; /* FNV-1a */
    for (; *key; key++) hash = (hash ^ (unsigned char)*key) * 1099511628211u;
    return hash;
}

static int key_find(const char *key) {
    uint64_t hash = key_hash(key);
    for (int i = 0; i < world.store.key_count; i++)
        if (world.store.key_hashes[i] == hash && !strcmp(world.store.keys[i].key, key)) return i;
    return -1;
}

static void record_change(const char *key, const struct amb_buf *value) {
    if (world.store.change_count == SIM_CHANGES) abort();
    struct sim_change *change = &world.store.changes[world.store.change_count++];
    memset(change, 0, sizeof *change);
    memcpy(change->key, key, strnlen(key, SIM_KEY_SIZE - 1));
    if (value) amb_buf_append(&change->value, value->data, value->len);
    change->revision = world.store.revision;
}

static void key_remove(int index) {
    record_change(world.store.keys[index].key, NULL);
    amb_buf_free(&world.store.keys[index].value);
    world.store.keys[index] = world.store.keys[--world.store.key_count];
    world.store.key_hashes[index] = world.store.key_hashes[world.store.key_count];
}

static void notify_watchers(void);

static bool remove_leased(uint64_t lease) {
    bool any_removed = false;
    for (int k = world.store.key_count - 1; k >= 0; k--) {
        if (world.store.keys[k].lease != lease) continue;
        world.store.revision++;
        key_remove(k);
        any_removed = true;
    }
    return any_removed;
}

static void expire_leases(void) {
    bool any_removed = false, outage = sim_fault_active(SIM_STORE_OUTAGE, -1);
    for (int i = 0; i < world.store.lease_count; i++) {
        struct sim_lease *lease = &world.store.leases[i];
        if (outage) lease->end = world.now + lease->ttl; /* leases have their full duration after an outage */
        if (lease->end > world.now) continue;
        any_removed |= remove_leased(lease->id);
        *lease = world.store.leases[--world.store.lease_count];
        i--;
    }
    if (any_removed) notify_watchers();
}

void sim_store_tick(void) {
    int refused = 0;
    for (int i = 0; i < world.size->nodes; i++) refused += sim_fault_active(SIM_STORE_REFUSES_NODE, i);
    if (refused < world.store.refused_nodes) notify_watchers();
    world.store.refused_nodes = refused;
    expire_leases();
}

static void get_parameter(const char *path, const char *name, char *out, size_t cap) {
    out[0] = 0;
    const char *value = strstr(path, name);
    if (!value) return;
    value += strlen(name);
    size_t length = strcspn(value, "&");
    snprintf(out, cap, "%.*s", (int)length, value);
}

static void put_value(struct amb_buf *buffer, const struct amb_buf *value) {
    amb_buf_append(buffer, value->data, value->len);
}

static bool answer_changes(struct sim_call *call, bool allow_empty) {
    char prefix[64], after[32];
    get_parameter(call->path, "prefix=", prefix, sizeof prefix);
    get_parameter(call->path, "after=", after, sizeof after);
    uint64_t from = strtoull(after, NULL, 10);
    size_t count = 0;
    struct amb_buf buffer = {0}, list = {0};
    int first = world.store.change_count; /* revisions only increase */
    while (first && world.store.changes[first - 1].revision > from) first--;
    for (int i = first; i < world.store.change_count; i++) {
        if (strncmp(world.store.changes[i].key, prefix, strlen(prefix))) continue;
        count++;
        bool put = world.store.changes[i].value.len > 0;
        amb_cbor_write_map(&list, put ? 3 : 2);
        amb_cbor_write_string(&list, put ? "put" : "remove");
        amb_cbor_write_string(&list, world.store.changes[i].key);
        if (put) {
            amb_cbor_write_string(&list, "value");
            put_value(&list, &world.store.changes[i].value);
        }
        amb_cbor_write_string(&list, "stamp");
        amb_cbor_write_uint(&list, world.store.changes[i].revision);
    }
    if (!count && !allow_empty) {
        amb_buf_free(&list);
        return false;
    }
    amb_cbor_write_map(&buffer, 2);
    amb_cbor_write_string(&buffer, "epoch");
    amb_cbor_write_uint(&buffer, world.store.revision);
    amb_cbor_write_string(&buffer, "news");
    amb_cbor_write_list(&buffer, count);
    amb_buf_append(&buffer, list.data, list.len);
    amb_buf_free(&list);
    sim_call_answer(call, 200, &buffer);
    return true;
}

static bool is_refused(const struct sim_call *call) {
    return sim_fault_active(SIM_STORE_OUTAGE, -1) || sim_fault_active(SIM_STORE_REFUSES_NODE, call->from);
}

static void changes_read_timed_out(void *arg) {
    struct sim_call *call = arg;
    if (call->answered) return;
    if (!is_refused(call)) answer_changes(call, true);
}

static bool is_open_watch(const struct sim_call *call) {
    return call->used && call->destination == SIM_TO_STORE && !call->answered &&
           !strncmp(call->path, "/follow", 7) && !call->delivery_timer.position && !call->timed_out;
}

/* Watches of nodes that are refused stay open; they get the missed changes once the refusal ends. */
static void notify_watchers(void) {
    for (int i = 0; i < SIM_CALLS; i++)
        if (is_open_watch(&world.calls[i]) && !is_refused(&world.calls[i]))
            answer_changes(&world.calls[i], false);
}

static void answer_number(struct sim_call *call, int status, const char *name, uint64_t value) {
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 1);
    amb_cbor_write_string(&buffer, name);
    amb_cbor_write_uint(&buffer, value);
    sim_call_answer(call, status, &buffer);
}

static bool is_lease_alive(uint64_t id) {
    for (int i = 0; i < world.store.lease_count; i++)
        if (world.store.leases[i].id == id) return true;
    return false;
}

/* Writes the names of the keys whose guards fail; returns their number. */
static size_t failed_guards(const struct amb_cbor_item *guards, struct amb_buf *names) {
    size_t count = 0;
    for (size_t i = 0; i < amb_cbor_list_length(guards); i++) {
        const struct amb_cbor_item *guard = amb_cbor_list_item(guards, i);
        char key[SIM_KEY_SIZE] = "";
        uint64_t compared = 0;
        amb_cbor_copy_string(amb_cbor_map_get(guard, "path"), key, sizeof key);
        amb_cbor_get_uint(amb_cbor_map_get(guard, "stamp"), &compared);
        int k = key_find(key);
        if ((k < 0 ? 0 : world.store.keys[k].revision) == compared) continue;
        count++;
        amb_cbor_write_string(names, key);
    }
    return count;
}

/* ---- limits; sizes are those of the JSON form ---- */

static size_t json_text_size(const cbor_item_t *text) {
    enum { QUOTES = 2, ESCAPED = 2, ESCAPED_CONTROL = 6, FIRST_PRINTED = 32 };
    const unsigned char *bytes = cbor_string_handle(text);
    size_t size = QUOTES;
    for (size_t i = 0; i < cbor_string_length(text); i++)
        size += bytes[i] == '"' || bytes[i] == '\\' ? ESCAPED
                : bytes[i] < FIRST_PRINTED          ? ESCAPED_CONTROL
                                                    : 1;
    return size;
}

static size_t json_number_size(const cbor_item_t *number) {
    char text[64];
    if (cbor_isa_uint(number))
        return (size_t)snprintf(text, sizeof text, "%llu", (unsigned long long)cbor_get_int(number));
    if (cbor_isa_negint(number))
        return 1 + (size_t)snprintf(text, sizeof text, "%llu", (unsigned long long)cbor_get_int(number) + 1);
    return (size_t)snprintf(text, sizeof text, "%.17g", cbor_float_get_float(number)) + strlen(".0");
}

/* The recursion is bounded: values are nested no deeper than a job's specification in its record. */
static size_t json_tree_size(const cbor_item_t *value) { /* NOLINT(misc-no-recursion) */
    enum { LITERAL = 5, BRACKETS = 2, SEPARATOR = 1 };
    size_t size = BRACKETS;
    if (cbor_isa_string(value)) return json_text_size(value);
    if (cbor_isa_map(value)) {
        for (size_t i = 0; i < cbor_map_size(value); i++) {
            const struct cbor_pair *pair = &cbor_map_handle(value)[i];
            size += json_tree_size(pair->key) + json_tree_size(pair->value) + (size_t)2 * SEPARATOR;
        }
        return size;
    }
    if (cbor_isa_array(value)) {
        for (size_t i = 0; i < cbor_array_size(value); i++)
            size += json_tree_size(cbor_array_handle(value)[i]) + SEPARATOR;
        return size;
    }
    if (cbor_isa_float_ctrl(value) && cbor_float_ctrl_is_ctrl(value)) return LITERAL;
    return json_number_size(value);
}

static size_t json_size(const struct amb_cbor_item *value) {
    cbor_item_t *tree = cbor_tree_of(value);
    size_t size = json_tree_size(tree);
    cbor_decref(&tree);
    return size;
}

static bool are_limits_lowered(void) {
    if (!world.upgraded) return false;
    for (size_t i = 0; i < world.fault_count; i++)
        if (world.faults[i].kind == SIM_LOWER_STORE_LIMITS && world.now >= world.faults[i].at) return true;
    return false;
}

static bool exceeds(const struct amb_cbor_item *operations, size_t max_operations, size_t max_value_bytes) {
    if (amb_cbor_list_length(operations) > max_operations) return true;
    for (size_t i = 0; i < amb_cbor_list_length(operations); i++) {
        const struct amb_cbor_item *value = amb_cbor_map_get(amb_cbor_list_item(operations, i), "value");
        if (value && json_size(value) > max_value_bytes) return true;
    }
    return false;
}

/* Exceeding the initial limits is a violation. Exceeding the lowered limits can happen once, before the
 * writer adapts, and is only refused. */
static bool exceeds_size_limits(const struct amb_cbor_item *operations) {
    if (exceeds(operations, SIM_TXN_OPS, SIM_VALUE_BYTES)) {
        sim_report_violation("a transaction over the limit");
        return true;
    }
    if (!are_limits_lowered() || !exceeds(operations, SIM_LOWERED_TXN_OPS, SIM_LOWERED_VALUE_BYTES))
        return false;
    world.result.size_refusals++;
    return true;
}

/* The token bucket holds the changes of one second. */
static void refill_change_tokens(double rate) {
    double elapsed_s = (double)(world.now - world.store.change_tokens_at) / 1000;
    double tokens = world.store.change_tokens + elapsed_s * rate;
    world.store.change_tokens = tokens < rate ? tokens : rate;
    world.store.change_tokens_at = world.now;
}

/* The rate is enforced only in scenarios that lower the limits. */
static bool exceeds_change_rate(const struct amb_cbor_item *operations) {
    double count = (double)amb_cbor_list_length(operations);
    if (!sim_fault_scheduled(SIM_LOWER_STORE_LIMITS)) return false;
    refill_change_tokens(world.size->store_write_rps * (are_limits_lowered() ? sim_lowered_write_share : 1));
    if (world.store.change_tokens < count) {
        world.result.rate_refusals++;
        return true;
    }
    world.store.change_tokens -= count;
    return false;
}

static bool uses_expired_lease(const struct amb_cbor_item *operations) {
    uint64_t lease;
    for (size_t i = 0; i < amb_cbor_list_length(operations); i++)
        if (amb_cbor_get_uint(amb_cbor_map_get(amb_cbor_list_item(operations, i), "tenure"), &lease) &&
            !is_lease_alive(lease))
            return true;
    return false;
}

bool sim_duties_in_use(void) {
    enum amb_duty_mode mode = AMB_DUTY_MODE_LEADER;
    int k = key_find(AMB_DUTY_MODE_KEY);
    if (k < 0) return false;
    const struct amb_buf *value = &world.store.keys[k].value;
    const struct amb_cbor_item *item = amb_cbor_parse(value->data, value->len);
    bool read = amb_duty_decode_mode(item, &mode) == AMB_DUTY_DECODED;
    return read && mode == AMB_DUTY_MODE_DUTIES;
}

uint64_t sim_leader_revision(void) {
    int k = key_find("a/leader");
    return k < 0 ? 0 : world.store.keys[k].revision;
}

bool sim_are_returns_recorded(void) {
    return key_find("a/format") >= 0;
}

/* The fencing token must increase by one with each claim and must not change otherwise. */
static void check_duty_record(const char *key, const struct amb_buf *old, const struct amb_cbor_item *now) {
    struct amb_duty_record before = {0}, after = {0};
    if (strncmp(key, AMB_DUTY_RECORD_KEYS, strlen(AMB_DUTY_RECORD_KEYS)) != 0) return;
    const struct amb_cbor_item *item = old->len ? amb_cbor_parse(old->data, old->len) : NULL;
    if (item) amb_duty_decode_record(item, &before);
    if (amb_duty_decode_record(now, &after) != AMB_DUTY_DECODED)
        sim_report_violation("duty: %s can't be read", key);
    bool claim = after.state == AMB_DUTY_RECORD_HELD;
    if (after.fencing_token != before.fencing_token + claim)
        sim_report_violation("duty: %s: token %llu after %llu", key, (unsigned long long)after.fencing_token,
                             (unsigned long long)before.fencing_token);
    world.result.handovers += claim;
}

static int key_make(const char *key) {
    int k = key_find(key);
    if (k >= 0) return k;
    if (world.store.key_count == SIM_KEYS) abort();
    k = world.store.key_count++;
    memset(&world.store.keys[k], 0, sizeof world.store.keys[k]);
    strcpy(world.store.keys[k].key, key);
    world.store.key_hashes[k] = key_hash(key);
    return k;
}

static void put(const char *key, const struct amb_cbor_item *operation) {
    struct sim_key *entry = &world.store.keys[key_make(key)];
    const struct amb_cbor_item *value = amb_cbor_map_get(operation, "value");
    uint64_t lease;
    check_duty_record(key, &entry->value, value);
    world.result.mode_changes += !strcmp(key, AMB_DUTY_MODE_KEY);
    amb_buf_free(&entry->value);
    cbor_item_append(&entry->value, value);
    entry->revision = world.store.revision;
    entry->lease = amb_cbor_get_uint(amb_cbor_map_get(operation, "tenure"), &lease) ? lease : 0;
    record_change(key, &entry->value);
}

static void apply(const struct amb_cbor_item *operations) {
    world.store.revision++;
    for (size_t i = 0; i < amb_cbor_list_length(operations); i++) {
        const struct amb_cbor_item *operation = amb_cbor_list_item(operations, i);
        char key[SIM_KEY_SIZE] = "";
        if (amb_cbor_copy_string(amb_cbor_map_get(operation, "remove"), key, sizeof key)) {
            int k = key_find(key);
            if (k >= 0) key_remove(k);
        } else {
            amb_cbor_copy_string(amb_cbor_map_get(operation, "put"), key, sizeof key);
            put(key, operation);
        }
    }
}

static void answer_conflict(struct sim_call *call, size_t count, const struct amb_buf *names) {
    struct amb_buf body = {0};
    amb_cbor_write_map(&body, 2);
    amb_cbor_write_string(&body, "failed");
    amb_cbor_write_list(&body, count);
    amb_buf_append(&body, names->data, names->len);
    amb_cbor_write_string(&body, "epoch");
    amb_cbor_write_uint(&body, world.store.revision);
    sim_call_answer(call, 409, &body);
}

static void commit(struct sim_call *call) {
    const struct amb_cbor_item *body = amb_cbor_parse(call->body, call->len);
    const struct amb_cbor_item *operations = amb_cbor_map_get(body, "then");
    struct amb_buf names = {0};
    size_t failed = failed_guards(amb_cbor_map_get(body, "guards"), &names);
    /* Sizes are checked first, so that a violation is found also while the rate is exceeded. */
    if (exceeds_size_limits(operations) || uses_expired_lease(operations)) {
        sim_call_answer(call, 400, NULL);
    } else if (exceeds_change_rate(operations)) {
        sim_call_answer(call, 429, NULL);
    } else if (failed) {
        answer_conflict(call, failed, &names);
    } else {
        apply(operations);
        if (sim_on_transaction) sim_on_transaction(call, body);
        answer_number(call, 200, "epoch", world.store.revision);
        notify_watchers();
    }
    amb_buf_free(&names);
}

static int by_key(const void *left, const void *right) {
    return strcmp(world.store.keys[*(const int *)left].key, world.store.keys[*(const int *)right].key);
}

static void list_keys(struct sim_call *call) {
    char prefix[64], after[SIM_KEY_SIZE];
    get_parameter(call->path, "prefix=", prefix, sizeof prefix);
    get_parameter(call->path, "after=", after, sizeof after);
    int found[SIM_KEYS], index = 0;
    int page_size = SIM_CAPACITY > 1
                        ? 200
                        : 3; /* small pages, so that paging occurs; for large fleets the requested size */
    for (int i = 0; i < world.store.key_count; i++)
        if (!strncmp(world.store.keys[i].key, prefix, strlen(prefix)) &&
            strcmp(world.store.keys[i].key, after) > 0)
            found[index++] = i;
    qsort(found, (size_t)index, sizeof *found, by_key);
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 3);
    amb_cbor_write_string(&buffer, "pairs");
    amb_cbor_write_list(&buffer, (size_t)(index < page_size ? index : page_size));
    for (int i = 0; i < index && i < page_size; i++) {
        amb_cbor_write_map(&buffer, 3);
        amb_cbor_write_string(&buffer, "path");
        amb_cbor_write_string(&buffer, world.store.keys[found[i]].key);
        amb_cbor_write_string(&buffer, "value");
        put_value(&buffer, &world.store.keys[found[i]].value);
        amb_cbor_write_string(&buffer, "stamp");
        amb_cbor_write_uint(&buffer, world.store.keys[found[i]].revision);
    }
    amb_cbor_write_string(&buffer, "truncated");
    amb_cbor_write_bool(&buffer, index > page_size);
    amb_cbor_write_string(&buffer, "epoch");
    amb_cbor_write_uint(&buffer, world.store.revision);
    sim_call_answer(call, 200, &buffer);
}

static void read_key(struct sim_call *call, const char *key) {
    int k = key_find(key);
    if (k < 0) {
        answer_number(call, 404, "epoch", world.store.revision);
        return;
    }
    struct amb_buf body = {0};
    amb_cbor_write_map(&body, 2);
    amb_cbor_write_string(&body, "value");
    put_value(&body, &world.store.keys[k].value);
    amb_cbor_write_string(&body, "stamp");
    amb_cbor_write_uint(&body, world.store.keys[k].revision);
    sim_call_answer(call, 200, &body);
}

static void read_changes(struct sim_call *call) {
    char wait[32];
    get_parameter(call->path, "wait_ms=", wait, sizeof wait);
    if (!answer_changes(call, !strcmp(wait, "0")))
        amb_timer_set_after(&call->reply_timer, strtol(wait, NULL, 10), changes_read_timed_out, call);
}

static void grant_lease(struct sim_call *call) {
    const struct amb_cbor_item *body = amb_cbor_parse(call->body, call->len);
    uint64_t ttl = 0;
    amb_cbor_get_uint(amb_cbor_map_get(body, "ttl_ms"), &ttl);
    if (world.store.lease_count == SIM_LEASES) abort();
    struct sim_lease *lease = &world.store.leases[world.store.lease_count++];
    lease->id = ++world.store.lease_serial;
    lease->ttl = (amb_ms)ttl;
    lease->end = world.now + lease->ttl;
    answer_number(call, 200, "tenure", lease->id);
}

static void change_lease(struct sim_call *call) {
    uint64_t id = strtoull(call->path + strlen("/leases/"), NULL, 10);
    int i = 0;
    while (i < world.store.lease_count && world.store.leases[i].id != id) i++;
    if (i == world.store.lease_count) {
        sim_call_answer(call, 404, NULL);
        return;
    }
    if (!strcmp(call->method, "DELETE")) {
        world.store.leases[i].end = world.now;
        expire_leases();
    } else {
        world.store.leases[i].end = world.now + world.store.leases[i].ttl;
    }
    answer_number(call, 200, "tenure", id);
}

static void count_fresh_read(int node) {
    amb_ms second = world.now / 1000;
    if (world.store.counted_second[node] != second) world.store.fresh_reads[node] = 0;
    world.store.counted_second[node] = second;
    world.result.fresh_reads++;
    if (++world.store.fresh_reads[node] > world.result.most_fresh_reads)
        world.result.most_fresh_reads = world.store.fresh_reads[node];
}

void sim_serve_store(struct sim_call *call) {
    if (strstr(call->path, "&wait_ms=0")) count_fresh_read(call->from);
    expire_leases();
    if (is_refused(call))
        sim_call_answer(call, 503, NULL);
    else if (!strncmp(call->path, "/commit", 7))
        commit(call);
    else if (!strncmp(call->path, "/follow", 7))
        read_changes(call);
    else if (!strncmp(call->path, "/store?", 7))
        list_keys(call);
    else if (!strncmp(call->path, "/store/", 7))
        read_key(call, call->path + 7);
    else if (!strcmp(call->path, "/leases"))
        grant_lease(call);
    else
        change_lease(call);
}
