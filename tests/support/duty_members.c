#include "duty_members.h"
#include "check.h"

enum {
    KEYS_MOST = 64,
    LEASES_MOST = 256,
    CALLS_MOST = 512,
    NEWS_MOST = 4096,
    RENTALS_MOST = 16,
    TICK_EVERY_MS = 100,
};

struct key {
    char name[AMB_DUTY_KEY_SIZE];
    cbor_item_t *value;
    uint64_t stamp, lease;
};

struct lease {
    uint64_t id;
    amb_ms ttl, end;
};

struct news {
    char name[AMB_DUTY_KEY_SIZE];
    cbor_item_t *value;
    uint64_t stamp;
};

enum verb { GRANT, EXTEND, DROP, LIST, COMMIT, CLOUD };

struct call {
    bool used;
    enum verb verb;
    int member;
    uint64_t life; /* of the member, when it was sent */
    amb_ms ttl;
    uint64_t lease, token;
    char prefix[AMB_DUTY_KEY_SIZE];
    cbor_item_t *body;
    enum member_call kind;
    struct amb_duty_intent_record order;
    uint32_t count, machine_count;
    char machines[AMB_DUTY_MAX_MACHINES][AMB_NAME_SIZE];
    amb_store_callback done;
    amb_duty_cloud_done cloud_done;
    void *arg;
    bool carried_out, hold;
    int status;
    cbor_item_t *answer;
    struct amb_duty_cloud_reply reply;
};

struct member members[MEMBERS];
struct member_cloud member_cloud;

static struct key keys[KEYS_MOST];
static size_t key_count;
static struct lease leases[LEASES_MOST];
static size_t lease_count;
static struct news news[NEWS_MOST];
static size_t news_count;
static size_t news_read[MEMBERS];
static struct call calls[CALLS_MOST];
static uint64_t lives[MEMBERS];
static uint64_t epoch, lease_serial;
static uint32_t writes;
static char unguarded[AMB_DUTY_KEY_SIZE * 2];
static amb_ms now_ms;
static struct member_fault plan;
static bool planned;
static char rentals[RENTALS_MOST][AMB_DUTY_INTENT_ID_SIZE];

/* ---- the key-value store ---- */

static struct key *key_find(const char *name) {
    for (size_t i = 0; i < key_count; i++)
        if (!strcmp(keys[i].name, name)) return &keys[i];
    return NULL;
}

static uint64_t stamp_of(const char *name) {
    const struct key *key = key_find(name);
    return key ? key->stamp : 0;
}

static void note(const char *name, cbor_item_t *value) {
    assert_true(news_count < NEWS_MOST);
    struct news *item = &news[news_count++];
    strcpy(item->name, name);
    item->value = value ? cbor_incref(value) : NULL;
    item->stamp = epoch;
}

static void key_put(const char *name, cbor_item_t *value, uint64_t lease) {
    struct key *key = key_find(name);
    if (!key) {
        assert_true(key_count < KEYS_MOST);
        key = &keys[key_count++];
        memset(key, 0, sizeof *key);
        strcpy(key->name, name);
    } else {
        cbor_decref(&key->value);
    }
    key->value = cbor_incref(value);
    key->stamp = epoch;
    key->lease = lease;
    note(name, value);
}

static void key_remove(struct key *key) {
    note(key->name, NULL);
    cbor_decref(&key->value);
    *key = keys[--key_count];
}

static void lease_end(size_t index) {
    uint64_t id = leases[index].id;
    leases[index] = leases[--lease_count];
    for (size_t i = key_count; i > 0; i--) {
        if (keys[i - 1].lease != id) continue;
        epoch++;
        key_remove(&keys[i - 1]);
    }
}

static struct lease *lease_find(uint64_t id) {
    for (size_t i = 0; i < lease_count; i++)
        if (leases[i].id == id) return &leases[i];
    return NULL;
}

static bool guards_hold(const cbor_item_t *guards) {
    for (size_t i = 0; i < amb_cbor_list_length(guards); i++) {
        char name[AMB_DUTY_KEY_SIZE];
        uint64_t stamp;
        const cbor_item_t *guard = amb_cbor_list_item(guards, i);
        assert_true(amb_cbor_copy_string(amb_cbor_map_get(guard, "path"), name, sizeof name));
        assert_true(amb_cbor_get_uint(amb_cbor_map_get(guard, "stamp"), &stamp));
        if (stamp_of(name) != stamp) return false;
    }
    return true;
}

static bool is_guarded(const cbor_item_t *guards, const char *prefix) {
    for (size_t i = 0; i < amb_cbor_list_length(guards); i++) {
        char name[AMB_DUTY_KEY_SIZE];
        const cbor_item_t *path = amb_cbor_map_get(amb_cbor_list_item(guards, i), "path");
        if (amb_cbor_copy_string(path, name, sizeof name) && !strncmp(name, prefix, strlen(prefix)))
            return true;
    }
    return false;
}

static void note_unguarded(const char *name, const char *by) {
    if (!unguarded[0]) snprintf(unguarded, sizeof unguarded, "%s is changed without a guard on %s", name, by);
}

const char *members_unconditional_change(void) {
    return unguarded;
}

/* What a member changes it guards by what it has read of it: an order by the order and the claim of its duty,
 * a duty by its record and, when it claims, by its own key; its own key by that. */
static void check_guards(const cbor_item_t *guards, const cbor_item_t *change) {
    char name[AMB_DUTY_KEY_SIZE];
    const cbor_item_t *put = amb_cbor_map_get(change, "put");
    const cbor_item_t *state = amb_cbor_map_get(amb_cbor_map_get(change, "value"), "state");
    assert_true(amb_cbor_copy_string(put ? put : amb_cbor_map_get(change, "remove"), name, sizeof name));
    if (!is_guarded(guards, name)) note_unguarded(name, "itself");
    if (!strncmp(name, AMB_DUTY_INTENT_KEYS, strlen(AMB_DUTY_INTENT_KEYS)) &&
        !is_guarded(guards, AMB_DUTY_RECORD_KEYS))
        note_unguarded(name, "the claim");
    if (!strncmp(name, AMB_DUTY_RECORD_KEYS, strlen(AMB_DUTY_RECORD_KEYS)) &&
        amb_cbor_equals(state, "held") && !is_guarded(guards, AMB_DUTY_MEMBER_KEYS))
        note_unguarded(name, "a member");
}

static int commit(const cbor_item_t *txn) {
    const cbor_item_t *then = amb_cbor_map_get(txn, "then");
    uint64_t lease = 0;
    char name[AMB_DUTY_KEY_SIZE];
    for (size_t i = 0; i < amb_cbor_list_length(then); i++)
        if (amb_cbor_get_uint(amb_cbor_map_get(amb_cbor_list_item(then, i), "tenure"), &lease) &&
            !lease_find(lease))
            return 400;
    for (size_t i = 0; i < amb_cbor_list_length(then); i++)
        check_guards(amb_cbor_map_get(txn, "guards"), amb_cbor_list_item(then, i));
    if (!guards_hold(amb_cbor_map_get(txn, "guards"))) return 409;
    epoch++;
    writes++;
    for (size_t i = 0; i < amb_cbor_list_length(then); i++) {
        const cbor_item_t *change = amb_cbor_list_item(then, i);
        if (amb_cbor_copy_string(amb_cbor_map_get(change, "remove"), name, sizeof name)) {
            if (key_find(name)) key_remove(key_find(name));
            continue;
        }
        assert_true(amb_cbor_copy_string(amb_cbor_map_get(change, "put"), name, sizeof name));
        if (!amb_cbor_get_uint(amb_cbor_map_get(change, "tenure"), &lease)) lease = 0;
        key_put(name, (cbor_item_t *)amb_cbor_map_get(change, "value"), lease);
    }
    return 200;
}

static void answer_map(struct call *call, int status, struct amb_buf *body) {
    call->status = status;
    if (body->len) call->answer = amb_cbor_parse(body->data, body->len);
    amb_buf_free(body);
}

static void answer_number(struct call *call, int status, const char *field, uint64_t number) {
    struct amb_buf body = {0};
    amb_cbor_write_map(&body, 1);
    amb_cbor_write_string(&body, field);
    amb_cbor_write_uint(&body, number);
    answer_map(call, status, &body);
}

static void answer_list(struct call *call) {
    struct amb_buf body = {0}, pairs = {0};
    size_t count = 0;
    for (size_t i = 0; i < key_count; i++) {
        unsigned char *text = NULL;
        size_t room;
        if (strncmp(keys[i].name, call->prefix, strlen(call->prefix)) != 0) continue;
        size_t len = cbor_serialize_alloc(keys[i].value, &text, &room);
        count++;
        amb_cbor_write_map(&pairs, 3);
        amb_cbor_write_string(&pairs, "path"), amb_cbor_write_string(&pairs, keys[i].name);
        amb_cbor_write_string(&pairs, "stamp"), amb_cbor_write_uint(&pairs, keys[i].stamp);
        amb_cbor_write_string(&pairs, "value"), amb_buf_append(&pairs, text, len);
        free(text);
    }
    amb_cbor_write_map(&body, 2);
    amb_cbor_write_string(&body, "epoch"), amb_cbor_write_uint(&body, epoch);
    amb_cbor_write_string(&body, "pairs"), amb_cbor_write_list(&body, count);
    amb_buf_append(&body, pairs.data, pairs.len);
    amb_buf_free(&pairs);
    answer_map(call, 200, &body);
}

/* ---- the cloud ---- */

static void rent(struct call *call) {
    uint32_t i = 0;
    while (i < member_cloud.rentals && strcmp(rentals[i], call->order.id) != 0) i++;
    if (i == member_cloud.rentals) {
        if (member_cloud.no_capacity) {
            call->reply.answer = AMB_DUTY_CLOUD_NO_CAPACITY;
            return;
        }
        assert_true(i < RENTALS_MOST);
        strcpy(rentals[member_cloud.rentals++], call->order.id);
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
    if (call->token < member_cloud.highest[call->order.duty]) {
        member_cloud.stale_token_refusals++;
        call->reply.answer = AMB_DUTY_CLOUD_FENCED;
        return;
    }
    member_cloud.highest[call->order.duty] = call->token;
    if (call->order.duty == AMB_DUTY_RENT) {
        rent(call);
        return;
    }
    member_cloud.releases++;
    call->reply.answer = AMB_DUTY_CLOUD_DONE;
}

/* ---- calls on their way ---- */

static int index_of(const void *context) {
    return (int)((const struct member *)context - members);
}

static struct call *call_new(void *context, enum verb verb) {
    size_t i = 0;
    while (i < CALLS_MOST && calls[i].used) i++;
    assert_true(i < CALLS_MOST);
    struct call *call = &calls[i];
    memset(call, 0, sizeof *call);
    call->used = true;
    call->verb = verb;
    call->member = index_of(context);
    call->life = lives[call->member];
    call->kind = MEMBER_CALL_OTHER;
    return call;
}

static void call_free(struct call *call) {
    if (call->body) cbor_decref(&call->body);
    if (call->answer) cbor_decref(&call->answer);
    amb_duty_intent_payload_free(&call->reply.acquired);
    call->used = false;
}

static void carry_out(struct call *call) {
    struct lease *lease = lease_find(call->lease);
    int status;
    call->carried_out = true;
    switch (call->verb) {
    case GRANT:
        assert_true(lease_count < LEASES_MOST);
        leases[lease_count++] = (struct lease){++lease_serial, call->ttl, now_ms + call->ttl};
        answer_number(call, 200, "tenure", lease_serial);
        break;
    case EXTEND:
        if (lease) lease->end = now_ms + lease->ttl;
        answer_number(call, lease ? 200 : 404, "tenure", call->lease);
        break;
    case DROP:
        if (lease) lease_end((size_t)(lease - leases));
        break;
    case LIST: answer_list(call); break;
    case COMMIT:
        status = commit(call->body);
        answer_number(call, status, "epoch", epoch);
        break;
    case CLOUD: serve_cloud(call); break;
    }
}

static bool asker_lives(const struct call *call) {
    return members[call->member].alive && call->life == lives[call->member];
}

/* The call is copied: what its answer leads to may use its place. */
static void tell(struct call *call) {
    struct call copy = *call;
    call->used = false;
    struct member *member = &members[copy.member];
    member->clock_jump_due = copy.kind == MEMBER_CALL_INTENT && member->clock_jump_after_intent;
    if (!asker_lives(&copy))
        free(copy.arg); /* as the end of a process does */
    else if (copy.verb == CLOUD)
        copy.cloud_done(copy.arg, &copy.reply);
    else if (copy.done)
        copy.done(copy.arg, copy.status, copy.answer);
    call_free(&copy);
}

static void member_dies(int index) {
    members[index].alive = false;
    lives[index]++;
}

static void lose_answer(struct call *call) {
    call->status = 0;
    if (call->answer) cbor_decref(&call->answer);
    call->answer = NULL;
    amb_duty_intent_payload_free(&call->reply.acquired);
    call->reply.answer = AMB_DUTY_CLOUD_NO_ANSWER;
}

static void meet_fate(struct call *call) {
    enum member_outcome fate = planned && plan.call == call->kind ? plan.outcome : MEMBER_UNDISTURBED;
    if (fate) planned = false;
    if (members[call->member].cut_off && call->verb != CLOUD)
        lose_answer(call);
    else if (fate != MEMBER_CRASHES_BEFORE)
        carry_out(call);
    if (fate == MEMBER_CRASHES_BEFORE || fate == MEMBER_CRASHES_AFTER) member_dies(call->member);
    if (fate == MEMBER_PAUSES_BEFORE) members[call->member].paused = true;
    if (fate == MEMBER_RESPONSE_LOST || (call->verb == CLOUD && member_cloud.responses_lost))
        lose_answer(call);
    call->carried_out = true;
}

static void serve_calls(void) {
    bool sent[CALLS_MOST];
    for (size_t i = 0; i < CALLS_MOST; i++) sent[i] = calls[i].used;
    for (size_t i = 0; i < CALLS_MOST; i++) {
        if (!sent[i]) continue;
        if (!calls[i].carried_out) meet_fate(&calls[i]);
        const struct member *member = &members[calls[i].member];
        bool held = member->paused || (member->lists_held && calls[i].verb == LIST);
        if (!held || !asker_lives(&calls[i])) tell(&calls[i]);
    }
}

/* ---- what a service needs ---- */

static amb_ms port_now(void *context) {
    struct member *member = context;
    amb_ms now = now_ms + member->clock_skew;
    if (member->clock_jump_due) {
        member->clock_skew += member->clock_jump_after_intent;
        member->clock_jump_due = false;
        member->clock_jump_after_intent = 0;
    }
    return now;
}

static void port_grant(void *context, amb_ms ttl, amb_store_callback done, void *arg) {
    struct call *call = call_new(context, GRANT);
    call->ttl = ttl;
    call->done = done;
    call->arg = arg;
}

static void port_extend(void *context, uint64_t lease, amb_store_callback done, void *arg) {
    struct call *call = call_new(context, EXTEND);
    call->lease = lease;
    call->done = done;
    call->arg = arg;
}

static void port_drop(void *context, uint64_t lease) {
    call_new(context, DROP)->lease = lease;
}

static void port_list(void *context, const char *prefix, const char *after, amb_store_callback done,
                      void *arg) {
    struct call *call = call_new(context, LIST);
    (void)after; /* all keys go into one page */
    strcpy(call->prefix, prefix);
    call->done = done;
    call->arg = arg;
}

static enum member_call kind_of(const cbor_item_t *change) {
    char key[AMB_DUTY_KEY_SIZE];
    if (amb_cbor_map_get(change, "remove")) return MEMBER_CALL_REMOVE;
    if (!amb_cbor_copy_string(amb_cbor_map_get(change, "put"), key, sizeof key)) return MEMBER_CALL_OTHER;
    const cbor_item_t *state = amb_cbor_map_get(amb_cbor_map_get(change, "value"), "state");
    if (!strncmp(key, AMB_DUTY_RECORD_KEYS, strlen(AMB_DUTY_RECORD_KEYS))) return MEMBER_CALL_CLAIM;
    if (strncmp(key, AMB_DUTY_INTENT_KEYS, strlen(AMB_DUTY_INTENT_KEYS)) != 0) return MEMBER_CALL_OTHER;
    return amb_cbor_equals(state, "settled") ? MEMBER_CALL_RESULT : MEMBER_CALL_INTENT;
}

static void port_commit(void *context, struct amb_txn *transaction, enum amb_store_priority urgency,
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
    call->body = amb_cbor_parse(body.data, body.len);
    amb_buf_free(&body);
    amb_buf_free(&transaction->compares);
    amb_buf_free(&transaction->operations);
    call->kind = kind_of(amb_cbor_list_item(amb_cbor_map_get(call->body, "then"), 0));
    call->done = done;
    call->arg = arg;
}

static bool port_call_cloud(void *context, const struct amb_duty_intent_record *order,
                            const struct amb_duty_intent_payload *work, uint64_t token,
                            amb_duty_cloud_done done, void *arg) {
    struct call *call = call_new(context, CLOUD);
    call->kind = MEMBER_CALL_CLOUD;
    call->order = *order;
    call->token = token;
    call->count = work->count;
    call->cloud_done = done;
    call->arg = arg;
    return true;
}

static bool port_proved_gone(void *context, const struct amb_duty_intent_payload *work) {
    const struct member *member = context;
    return member->proves_gone && work->machine_count;
}

static void port_order_changed(void *context, const struct amb_duty_intent_record *order,
                               const struct amb_duty_intent_payload *work) {
    (void)context, (void)order, (void)work;
}

static void port_loaded(void *context) {
    (void)context;
}

static void port_log(void *context, const char *line) {
    (void)context;
    assert_true(strlen(line) > 0);
}

/* ---- time ---- */

static void deliver_news(int index) {
    struct member *member = &members[index];
    if (!member->alive || member->paused || member->cut_off || member->watch_held) return;
    while (news_read[index] < news_count) {
        const struct news *item = &news[news_read[index]++];
        amb_duty_service_apply_change(&member->service, item->name, item->value, item->stamp);
    }
}

void members_run(amb_ms length) {
    for (amb_ms end = now_ms + length; now_ms < end;) {
        now_ms += MEMBER_STEP_MS;
        for (size_t i = lease_count; i > 0; i--)
            if (leases[i - 1].end <= now_ms) lease_end(i - 1);
        serve_calls();
        for (int i = 0; i < MEMBERS; i++) {
            deliver_news(i);
            if (members[i].alive && !members[i].paused && now_ms % TICK_EVERY_MS == 0)
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
    const struct amb_duty_service_callbacks ports = {.kvstore = {.context = member,
                                                                 .grant = port_grant,
                                                                 .extend = port_extend,
                                                                 .revoke = port_drop,
                                                                 .list = port_list,
                                                                 .commit = port_commit},
                                                     .context = member,
                                                     .now = port_now,
                                                     .call_cloud = port_call_cloud,
                                                     .is_absence_proven = port_proved_gone,
                                                     .intent_changed = port_order_changed,
                                                     .loaded = port_loaded,
                                                     .log = port_log};
    struct amb_duty_settings settings = amb_duty_settings_default(MEMBER_TTL_MS, MEMBER_LIST_MS);
    amb_duty_service_abort(&member->service);
    snprintf(member->name, sizeof member->name, "n-%d", index);
    member->alive = true;
    member->paused = member->cut_off = member->watch_held = member->lists_held = member->proves_gone = false;
    news_read[index] = news_count;
    amb_duty_service_start(&member->service, &ports, &settings, member->name,
                           (uint64_t)index * 7919 + ++lives[index]);
}

void members_begin(void) {
    now_ms = 1000000;
    epoch = 100;
    writes = 0;
    unguarded[0] = 0;
    planned = false;
    memset(&member_cloud, 0, sizeof member_cloud);
    for (int i = 0; i < MEMBERS; i++) members_start(i);
}

void members_end(void) {
    for (int i = 0; i < MEMBERS; i++) amb_duty_service_abort(&members[i].service);
    for (size_t i = 0; i < CALLS_MOST; i++) {
        if (!calls[i].used) continue;
        free(calls[i].arg);
        call_free(&calls[i]);
    }
    for (size_t i = 0; i < key_count; i++) cbor_decref(&keys[i].value);
    for (size_t i = 0; i < news_count; i++)
        if (news[i].value) cbor_decref(&news[i].value);
    key_count = lease_count = news_count = 0;
    memset(members, 0, sizeof members);
}

void members_inject_fault(struct member_fault next) {
    plan = next;
    planned = true;
}

int members_holder(enum amb_duty_name duty) {
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_duty_record record = {0};
    amb_duty_record_key(key, duty);
    const cbor_item_t *value = members_value(key);
    if (!value || amb_duty_decode_record(value, &record) != AMB_DUTY_DECODED ||
        record.state != AMB_DUTY_RECORD_HELD)
        return -1;
    for (int i = 0; i < MEMBERS; i++)
        if (!strcmp(members[i].name, record.holder)) return i;
    return -1;
}

/* ---- records ---- */

void members_put(const char *name, const struct amb_buf *value) {
    cbor_item_t *item = amb_cbor_parse(value->data, value->len);
    epoch++;
    key_put(name, item, 0);
    cbor_decref(&item);
}

const cbor_item_t *members_value(const char *name) {
    const struct key *key = key_find(name);
    return key ? key->value : NULL;
}

void members_put_intent(enum amb_duty_name duty, const char *id, const struct amb_duty_intent_payload *work) {
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_buf value = {0};
    struct amb_duty_intent_record order = {.duty = duty};
    amb_duty_intent_key(key, duty, id);
    amb_duty_encode_intent(&value, &order, work);
    members_put(key, &value);
    amb_buf_free(&value);
}

bool members_read_intent(enum amb_duty_name duty, const char *id, struct amb_duty_intent_record *out,
                         struct amb_duty_intent_payload *work) {
    char key[AMB_DUTY_KEY_SIZE];
    amb_duty_intent_key(key, duty, id);
    const cbor_item_t *value = members_value(key);
    memset(out, 0, sizeof *out);
    out->duty = duty;
    return value && amb_duty_decode_intent(value, out, work) == AMB_DUTY_DECODED;
}

uint32_t members_writes(void) {
    return writes;
}
