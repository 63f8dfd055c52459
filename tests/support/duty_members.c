#include "duty_members.h"
#include "cbor_items.h"
#include "check.h"

enum {
    MAX_KEYS = 64,
    MAX_LEASES = 256,
    MAX_CALLS = 512,
    MAX_CHANGES = 4096,
    MAX_RENTALS = 16,
    TICK_INTERVAL_MS = 100,
};

struct key {
    char name[AMB_DUTY_KEY_SIZE];
    const struct amb_cbor_item *value;
    uint64_t revision, lease;
};

struct lease {
    uint64_t id;
    amb_ms ttl, end;
};

struct change_record {
    char name[AMB_DUTY_KEY_SIZE];
    const struct amb_cbor_item *value;
    uint64_t revision;
};

enum verb { GRANT, EXTEND, DROP, LIST, COMMIT, CLOUD };

struct call {
    bool used;
    enum verb verb;
    int member;
    uint64_t incarnation; /* of the member, when it was sent */
    amb_ms ttl;
    uint64_t lease, token;
    char prefix[AMB_DUTY_KEY_SIZE];
    const struct amb_cbor_item *body;
    enum member_call kind;
    struct amb_duty_intent_record intent;
    uint32_t count, machine_count;
    char machines[AMB_DUTY_MAX_MACHINES][AMB_NAME_SIZE];
    amb_store_callback done;
    amb_duty_cloud_done cloud_done;
    void *arg;
    bool applied, is_held;
    int status;
    const struct amb_cbor_item *answer;
    struct amb_duty_cloud_reply reply;
};

struct member members[MEMBERS];
struct member_cloud member_cloud;

static struct key keys[MAX_KEYS];
static size_t key_count;
static struct lease leases[MAX_LEASES];
static size_t lease_count;
static struct change_record changes[MAX_CHANGES];
static size_t change_count;
static size_t applied_changes[MEMBERS];
static struct call calls[MAX_CALLS];
static uint64_t incarnations[MEMBERS];
static uint64_t revision, lease_serial;
static uint32_t writes;
static char first_unguarded_change[AMB_DUTY_KEY_SIZE * 2];
static amb_ms now_ms;
static struct member_fault pending_fault;
static bool fault_pending;
static char rentals[MAX_RENTALS][AMB_DUTY_INTENT_ID_SIZE];

/* ---- the key-value store ---- */

static struct key *key_find(const char *name) {
    for (size_t i = 0; i < key_count; i++)
        if (!strcmp(keys[i].name, name)) return &keys[i];
    return NULL;
}

static uint64_t revision_of(const char *name) {
    const struct key *key = key_find(name);
    return key ? key->revision : 0;
}

static void record_change(const char *name, const struct amb_cbor_item *value) {
    assert_true(change_count < MAX_CHANGES);
    struct change_record *item = &changes[change_count++];
    strcpy(item->name, name);
    item->value = value ? cbor_item_copy(value) : NULL;
    item->revision = revision;
}

static void key_put(const char *name, const struct amb_cbor_item *value, uint64_t lease) {
    struct key *key = key_find(name);
    if (!key) {
        assert_true(key_count < MAX_KEYS);
        key = &keys[key_count++];
        memset(key, 0, sizeof *key);
        strcpy(key->name, name);
    } else {
        cbor_item_free(key->value);
    }
    key->value = cbor_item_copy(value);
    key->revision = revision;
    key->lease = lease;
    record_change(name, value);
}

static void key_remove(struct key *key) {
    record_change(key->name, NULL);
    cbor_item_free(key->value);
    *key = keys[--key_count];
}

static void lease_end(size_t index) {
    uint64_t id = leases[index].id;
    leases[index] = leases[--lease_count];
    for (size_t i = key_count; i > 0; i--) {
        if (keys[i - 1].lease != id) continue;
        revision++;
        key_remove(&keys[i - 1]);
    }
}

static struct lease *lease_find(uint64_t id) {
    for (size_t i = 0; i < lease_count; i++)
        if (leases[i].id == id) return &leases[i];
    return NULL;
}

static bool guards_hold(const struct amb_cbor_item *guards) {
    for (size_t i = 0; i < amb_cbor_list_length(guards); i++) {
        char name[AMB_DUTY_KEY_SIZE];
        uint64_t compared;
        const struct amb_cbor_item *guard = amb_cbor_list_item(guards, i);
        assert_true(amb_cbor_copy_string(amb_cbor_map_get(guard, "path"), name, sizeof name));
        assert_true(amb_cbor_get_uint(amb_cbor_map_get(guard, "stamp"), &compared));
        if (revision_of(name) != compared) return false;
    }
    return true;
}

static bool is_guarded(const struct amb_cbor_item *guards, const char *prefix) {
    for (size_t i = 0; i < amb_cbor_list_length(guards); i++) {
        char name[AMB_DUTY_KEY_SIZE];
        const struct amb_cbor_item *path = amb_cbor_map_get(amb_cbor_list_item(guards, i), "path");
        if (amb_cbor_copy_string(path, name, sizeof name) && !strncmp(name, prefix, strlen(prefix)))
            return true;
    }
    return false;
}

static void record_unguarded_change(const char *name, const char *by) {
    if (!first_unguarded_change[0])
        snprintf(first_unguarded_change, sizeof first_unguarded_change, "%s is changed without a guard on %s",
                 name, by);
}

const char *members_unconditional_change(void) {
    return first_unguarded_change;
}

/* A member guards each change by the revisions that it has read: an intent by the intent and the claim of its
 * duty, a duty by its record and, in a claim, by the member's own key, and its own key by that key. */
static void check_guards(const struct amb_cbor_item *guards, const struct amb_cbor_item *change) {
    char name[AMB_DUTY_KEY_SIZE];
    const struct amb_cbor_item *put = amb_cbor_map_get(change, "put");
    const struct amb_cbor_item *state = amb_cbor_map_get(amb_cbor_map_get(change, "value"), "state");
    assert_true(amb_cbor_copy_string(put ? put : amb_cbor_map_get(change, "remove"), name, sizeof name));
    if (!is_guarded(guards, name)) record_unguarded_change(name, "itself");
    if (!strncmp(name, AMB_DUTY_INTENT_KEYS, strlen(AMB_DUTY_INTENT_KEYS)) &&
        !is_guarded(guards, AMB_DUTY_RECORD_KEYS))
        record_unguarded_change(name, "the claim");
    if (!strncmp(name, AMB_DUTY_RECORD_KEYS, strlen(AMB_DUTY_RECORD_KEYS)) &&
        amb_cbor_equals(state, "held") && !is_guarded(guards, AMB_DUTY_MEMBER_KEYS))
        record_unguarded_change(name, "a member");
}

static int commit(const struct amb_cbor_item *txn) {
    const struct amb_cbor_item *then = amb_cbor_map_get(txn, "then");
    uint64_t lease = 0;
    char name[AMB_DUTY_KEY_SIZE];
    for (size_t i = 0; i < amb_cbor_list_length(then); i++)
        if (amb_cbor_get_uint(amb_cbor_map_get(amb_cbor_list_item(then, i), "tenure"), &lease) &&
            !lease_find(lease))
            return 400;
    for (size_t i = 0; i < amb_cbor_list_length(then); i++)
        check_guards(amb_cbor_map_get(txn, "guards"), amb_cbor_list_item(then, i));
    if (!guards_hold(amb_cbor_map_get(txn, "guards"))) return 409;
    revision++;
    writes++;
    for (size_t i = 0; i < amb_cbor_list_length(then); i++) {
        const struct amb_cbor_item *change = amb_cbor_list_item(then, i);
        if (amb_cbor_copy_string(amb_cbor_map_get(change, "remove"), name, sizeof name)) {
            if (key_find(name)) key_remove(key_find(name));
            continue;
        }
        assert_true(amb_cbor_copy_string(amb_cbor_map_get(change, "put"), name, sizeof name));
        if (!amb_cbor_get_uint(amb_cbor_map_get(change, "tenure"), &lease)) lease = 0;
        key_put(name, amb_cbor_map_get(change, "value"), lease);
    }
    return 200;
}

static void set_answer(struct call *call, int status, struct amb_buf *body) {
    call->status = status;
    if (body->len) call->answer = cbor_item_copy(amb_cbor_parse(body->data, body->len));
    amb_buf_free(body);
}

static void set_number_answer(struct call *call, int status, const char *field, uint64_t number) {
    struct amb_buf body = {0};
    amb_cbor_write_map(&body, 1);
    amb_cbor_write_string(&body, field);
    amb_cbor_write_uint(&body, number);
    set_answer(call, status, &body);
}

static void set_list_answer(struct call *call) {
    struct amb_buf body = {0}, pairs = {0};
    size_t count = 0;
    for (size_t i = 0; i < key_count; i++) {
        if (strncmp(keys[i].name, call->prefix, strlen(call->prefix)) != 0) continue;
        count++;
        amb_cbor_write_map(&pairs, 3);
        amb_cbor_write_string(&pairs, "path"), amb_cbor_write_string(&pairs, keys[i].name);
        amb_cbor_write_string(&pairs, "stamp"), amb_cbor_write_uint(&pairs, keys[i].revision);
        amb_cbor_write_string(&pairs, "value"), cbor_item_append(&pairs, keys[i].value);
    }
    amb_cbor_write_map(&body, 2);
    amb_cbor_write_string(&body, "epoch"), amb_cbor_write_uint(&body, revision);
    amb_cbor_write_string(&body, "pairs"), amb_cbor_write_list(&body, count);
    amb_buf_append(&body, pairs.data, pairs.len);
    amb_buf_free(&pairs);
    set_answer(call, 200, &body);
}

/* ---- the cloud ---- */

static void rent(struct call *call) {
    uint32_t i = 0;
    while (i < member_cloud.rentals && strcmp(rentals[i], call->intent.id) != 0) i++;
    if (i == member_cloud.rentals) {
        if (member_cloud.no_capacity) {
            call->reply.answer = AMB_DUTY_CLOUD_NO_CAPACITY;
            return;
        }
        assert_true(i < MAX_RENTALS);
        strcpy(rentals[member_cloud.rentals++], call->intent.id);
        member_cloud.rented += call->count;
    }
    call->reply.answer = AMB_DUTY_CLOUD_DONE;
    for (uint32_t k = 0; k < call->count; k++) {
        char name[AMB_NAME_SIZE];
        snprintf(name, sizeof name, "m-%u-%u", i, k);
        amb_duty_intent_payload_add_machine(&call->reply.acquired, name);
    }
}

static void serve_cloud(struct call *call) {
    member_cloud.calls++;
    if (call->token < member_cloud.highest[call->intent.duty]) {
        member_cloud.stale_token_refusals++;
        call->reply.answer = AMB_DUTY_CLOUD_FENCED;
        return;
    }
    member_cloud.highest[call->intent.duty] = call->token;
    if (call->intent.duty == AMB_DUTY_RENT) {
        rent(call);
        return;
    }
    member_cloud.releases++;
    call->reply.answer = AMB_DUTY_CLOUD_DONE;
}

/* ---- calls in transit ---- */

static int index_of(const void *context) {
    return (int)((const struct member *)context - members);
}

static struct call *call_new(void *context, enum verb verb) {
    size_t i = 0;
    while (i < MAX_CALLS && calls[i].used) i++;
    assert_true(i < MAX_CALLS);
    struct call *call = &calls[i];
    memset(call, 0, sizeof *call);
    call->used = true;
    call->verb = verb;
    call->member = index_of(context);
    call->incarnation = incarnations[call->member];
    call->kind = MEMBER_CALL_OTHER;
    return call;
}

static void call_free(struct call *call) {
    if (call->body) cbor_item_free(call->body);
    if (call->answer) cbor_item_free(call->answer);
    amb_duty_intent_payload_free(&call->reply.acquired);
    call->used = false;
}

static void apply_call(struct call *call) {
    struct lease *lease = lease_find(call->lease);
    int status;
    call->applied = true;
    switch (call->verb) {
    case GRANT:
        assert_true(lease_count < MAX_LEASES);
        leases[lease_count++] = (struct lease){++lease_serial, call->ttl, now_ms + call->ttl};
        set_number_answer(call, 200, "tenure", lease_serial);
        break;
    case EXTEND:
        if (lease) lease->end = now_ms + lease->ttl;
        set_number_answer(call, lease ? 200 : 404, "tenure", call->lease);
        break;
    case DROP:
        if (lease) lease_end((size_t)(lease - leases));
        break;
    case LIST: set_list_answer(call); break;
    case COMMIT:
        status = commit(call->body);
        set_number_answer(call, status, "epoch", revision);
        break;
    case CLOUD: serve_cloud(call); break;
    }
}

static bool is_caller_alive(const struct call *call) {
    return members[call->member].alive && call->incarnation == incarnations[call->member];
}

/* Works on a copy, since the callback may reuse the entry. */
static void complete_call(struct call *call) {
    struct call copy = *call;
    call->used = false;
    struct member *member = &members[copy.member];
    member->clock_jump_due = copy.kind == MEMBER_CALL_INTENT && member->clock_jump_after_intent;
    if (!is_caller_alive(&copy))
        free(copy.arg); /* a crashed process frees its memory as well */
    else if (copy.verb == CLOUD)
        copy.cloud_done(copy.arg, &copy.reply);
    else if (copy.done)
        copy.done(copy.arg, copy.status, copy.answer);
    call_free(&copy);
}

static void crash_member(int index) {
    members[index].alive = false;
    incarnations[index]++;
}

static void drop_response(struct call *call) {
    call->status = 0;
    if (call->answer) cbor_item_free(call->answer);
    call->answer = NULL;
    amb_duty_intent_payload_free(&call->reply.acquired);
    call->reply.answer = AMB_DUTY_CLOUD_NO_ANSWER;
}

static void process_call(struct call *call) {
    enum member_outcome outcome =
        fault_pending && pending_fault.call == call->kind ? pending_fault.outcome : MEMBER_UNDISTURBED;
    if (outcome) fault_pending = false;
    if (members[call->member].cut_off && call->verb != CLOUD)
        drop_response(call);
    else if (outcome != MEMBER_CRASHES_BEFORE)
        apply_call(call);
    if (outcome == MEMBER_CRASHES_BEFORE || outcome == MEMBER_CRASHES_AFTER) crash_member(call->member);
    if (outcome == MEMBER_PAUSES_BEFORE) members[call->member].paused = true;
    if (outcome == MEMBER_RESPONSE_LOST || (call->verb == CLOUD && member_cloud.responses_lost))
        drop_response(call);
    call->applied = true;
}

static void serve_calls(void) {
    bool sent[MAX_CALLS];
    for (size_t i = 0; i < MAX_CALLS; i++) sent[i] = calls[i].used;
    for (size_t i = 0; i < MAX_CALLS; i++) {
        if (!sent[i]) continue;
        if (!calls[i].applied) process_call(&calls[i]);
        const struct member *member = &members[calls[i].member];
        bool held = member->paused || (member->lists_held && calls[i].verb == LIST);
        if (!held || !is_caller_alive(&calls[i])) complete_call(&calls[i]);
    }
}

/* ---- callbacks of the duty service ---- */

static amb_ms callback_now(void *context) {
    struct member *member = context;
    amb_ms now = now_ms + member->clock_skew;
    if (member->clock_jump_due) {
        member->clock_skew += member->clock_jump_after_intent;
        member->clock_jump_due = false;
        member->clock_jump_after_intent = 0;
    }
    return now;
}

static void callback_grant(void *context, amb_ms ttl, amb_store_callback done, void *arg) {
    struct call *call = call_new(context, GRANT);
    call->ttl = ttl;
    call->done = done;
    call->arg = arg;
}

static void callback_extend(void *context, uint64_t lease, amb_store_callback done, void *arg) {
    struct call *call = call_new(context, EXTEND);
    call->lease = lease;
    call->done = done;
    call->arg = arg;
}

static void callback_revoke(void *context, uint64_t lease) {
    call_new(context, DROP)->lease = lease;
}

static void callback_list(void *context, const char *prefix, const char *after, amb_store_callback done,
                          void *arg) {
    struct call *call = call_new(context, LIST);
    (void)after; /* all keys fit in one page */
    strcpy(call->prefix, prefix);
    call->done = done;
    call->arg = arg;
}

static enum member_call kind_of(const struct amb_cbor_item *change) {
    char key[AMB_DUTY_KEY_SIZE];
    if (amb_cbor_map_get(change, "remove")) return MEMBER_CALL_REMOVE;
    if (!amb_cbor_copy_string(amb_cbor_map_get(change, "put"), key, sizeof key)) return MEMBER_CALL_OTHER;
    const struct amb_cbor_item *state = amb_cbor_map_get(amb_cbor_map_get(change, "value"), "state");
    if (!strncmp(key, AMB_DUTY_RECORD_KEYS, strlen(AMB_DUTY_RECORD_KEYS))) return MEMBER_CALL_CLAIM;
    if (strncmp(key, AMB_DUTY_INTENT_KEYS, strlen(AMB_DUTY_INTENT_KEYS)) != 0) return MEMBER_CALL_OTHER;
    return amb_cbor_equals(state, "settled") ? MEMBER_CALL_RESULT : MEMBER_CALL_INTENT;
}

static void callback_commit(void *context, struct amb_txn *transaction, enum amb_store_priority urgency,
                            amb_store_callback done, void *arg) {
    struct call *call = call_new(context, COMMIT);
    struct amb_buf body = {0};
    (void)urgency;
    amb_cbor_write_map(&body, 2);
    amb_cbor_write_string(&body, "guards");
    amb_cbor_write_list(&body, transaction->compare_count);
    amb_buf_append(&body, transaction->compares.data, transaction->compares.len);
    amb_cbor_write_string(&body, "then");
    amb_cbor_write_list(&body, transaction->operation_count);
    amb_buf_append(&body, transaction->operations.data, transaction->operations.len);
    call->body = cbor_item_copy(amb_cbor_parse(body.data, body.len));
    amb_buf_free(&body);
    amb_buf_free(&transaction->compares);
    amb_buf_free(&transaction->operations);
    call->kind = kind_of(amb_cbor_list_item(amb_cbor_map_get(call->body, "then"), 0));
    call->done = done;
    call->arg = arg;
}

static bool callback_call_cloud(void *context, const struct amb_duty_intent_record *intent,
                                const struct amb_duty_intent_payload *payload, uint64_t token,
                                amb_duty_cloud_done done, void *arg) {
    struct call *call = call_new(context, CLOUD);
    call->kind = MEMBER_CALL_CLOUD;
    call->intent = *intent;
    call->token = token;
    call->count = payload->count;
    call->cloud_done = done;
    call->arg = arg;
    return true;
}

static bool callback_is_absence_proven(void *context, const struct amb_duty_intent_payload *payload) {
    const struct member *member = context;
    return member->proves_gone && payload->machine_count;
}

static void callback_intent_changed(void *context, const struct amb_duty_intent_record *intent,
                                    const struct amb_duty_intent_payload *payload) {
    (void)context, (void)intent, (void)payload;
}

static void callback_loaded(void *context) {
    (void)context;
}

static void callback_log(void *context, const char *line) {
    (void)context;
    assert_true(strlen(line) > 0);
}

/* ---- time ---- */

static void deliver_changes(int index) {
    struct member *member = &members[index];
    if (!member->alive || member->paused || member->cut_off || member->watch_held) return;
    while (applied_changes[index] < change_count) {
        const struct change_record *item = &changes[applied_changes[index]++];
        amb_duty_service_apply_change(&member->service, item->name, item->value, item->revision);
    }
}

void members_run(amb_ms length) {
    for (amb_ms end = now_ms + length; now_ms < end;) {
        now_ms += MEMBER_STEP_MS;
        for (size_t i = lease_count; i > 0; i--)
            if (leases[i - 1].end <= now_ms) lease_end(i - 1);
        serve_calls();
        for (int i = 0; i < MEMBERS; i++) {
            deliver_changes(i);
            if (members[i].alive && !members[i].paused && now_ms % TICK_INTERVAL_MS == 0)
                amb_duty_service_tick(&members[i].service);
        }
    }
}

void members_resume(int index) {
    members[index].paused = false;
}

/* ---- members ---- */

void members_start(int index) {
    struct member *member = &members[index];
    const struct amb_duty_service_callbacks callbacks = {.kvstore = {.context = member,
                                                                     .grant = callback_grant,
                                                                     .extend = callback_extend,
                                                                     .revoke = callback_revoke,
                                                                     .list = callback_list,
                                                                     .commit = callback_commit},
                                                         .context = member,
                                                         .now = callback_now,
                                                         .call_cloud = callback_call_cloud,
                                                         .is_absence_proven = callback_is_absence_proven,
                                                         .intent_changed = callback_intent_changed,
                                                         .loaded = callback_loaded,
                                                         .log = callback_log};
    struct amb_duty_settings settings = amb_duty_settings_default(MEMBER_TTL_MS, MEMBER_LIST_MS);
    amb_duty_service_abort(&member->service);
    snprintf(member->name, sizeof member->name, "n-%d", index);
    member->alive = true;
    member->paused = member->cut_off = member->watch_held = member->lists_held = member->proves_gone = false;
    applied_changes[index] = change_count;
    amb_duty_service_start(&member->service, &callbacks, &settings, member->name,
                           (uint64_t)index * 7919 + ++incarnations[index]);
}

void members_begin(void) {
    now_ms = 1000000;
    revision = 100;
    writes = 0;
    first_unguarded_change[0] = 0;
    fault_pending = false;
    memset(&member_cloud, 0, sizeof member_cloud);
    for (int i = 0; i < MEMBERS; i++) members_start(i);
}

void members_end(void) {
    for (int i = 0; i < MEMBERS; i++) amb_duty_service_abort(&members[i].service);
    for (size_t i = 0; i < MAX_CALLS; i++) {
        if (!calls[i].used) continue;
        free(calls[i].arg);
        call_free(&calls[i]);
    }
    for (size_t i = 0; i < key_count; i++) cbor_item_free(keys[i].value);
    for (size_t i = 0; i < change_count; i++)
        if (changes[i].value) cbor_item_free(changes[i].value);
    key_count = lease_count = change_count = 0;
    memset(members, 0, sizeof members);
}

void members_inject_fault(struct member_fault fault) {
    pending_fault = fault;
    fault_pending = true;
}

int members_holder(enum amb_duty_name duty) {
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_duty_record record = {0};
    amb_duty_record_key(key, duty);
    const struct amb_cbor_item *value = members_value(key);
    if (!value || amb_duty_decode_record(value, &record) != AMB_DUTY_DECODED ||
        record.state != AMB_DUTY_RECORD_HELD)
        return -1;
    for (int i = 0; i < MEMBERS; i++)
        if (!strcmp(members[i].name, record.holder)) return i;
    return -1;
}

/* ---- records ---- */

void members_put(const char *name, const struct amb_buf *value) {
    const struct amb_cbor_item *item = amb_cbor_parse(value->data, value->len);
    revision++;
    key_put(name, item, 0);
}

const struct amb_cbor_item *members_value(const char *name) {
    const struct key *key = key_find(name);
    return key ? key->value : NULL;
}

void members_put_intent(enum amb_duty_name duty, const char *id,
                        const struct amb_duty_intent_payload *payload) {
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_buf value = {0};
    struct amb_duty_intent_record intent = {.duty = duty};
    amb_duty_intent_key(key, duty, id);
    amb_duty_encode_intent(&value, &intent, payload);
    members_put(key, &value);
    amb_buf_free(&value);
}

bool members_read_intent(enum amb_duty_name duty, const char *id, struct amb_duty_intent_record *out,
                         struct amb_duty_intent_payload *payload) {
    char key[AMB_DUTY_KEY_SIZE];
    amb_duty_intent_key(key, duty, id);
    const struct amb_cbor_item *value = members_value(key);
    memset(out, 0, sizeof *out);
    out->duty = duty;
    return value && amb_duty_decode_intent(value, out, payload) == AMB_DUTY_DECODED;
}

uint32_t members_writes(void) {
    return writes;
}
