#include "user_fixture.h"

#include "amberpin/api/user_api.h"
#include "check.h"
#include "json_cbor.h"

const char *const VALID_SUBMISSION =
    "{\"ref\":\"" JOB_REF
    "\",\"berth\":\"train\",\"crew\":\"vision\",\"shape\":\"ensemble\",\"rank\":\"high\","
    "\"legs\":16,\"vcpus\":8.0,\"accelerators\":1.0,\"ram_gb\":64.0,\"cask\":\"img-07\",\"size_gb\":6.2,"
    "\"hulls\":[\"g8\"],\"yard\":null,\"one_zone\":true,\"scatter\":false,\"driftwood\":true,"
    "\"reckon_s\":240.0,\"mark_s\":30.0,\"stow_s\":4.0,\"due_s\":900.0}";

struct fake_reply replies[USERS];

int fixture_setup(void **state) {
    setup(state);
    node->election.role = AMB_ROLE_FOLLOWER;
    node->settings.store_rps = 1000;
    node->settings.store_write_rps = 1000;
    strcpy(node->settings.teams[0].name, "vision");
    node->settings.teams[0].limit.gpus = 16;
    amb_catalog_find_or_add_zone(&node->catalog, "a");
    amb_catalog_find_or_add_zone(&node->catalog, "b");
    node->catalog.type_count = 2;
    for (uint32_t i = 0; i < 2; i++) {
        struct amb_machine_type *type = &node->catalog.types[i];
        type->zone_count = 2 - i; /* g8 in zones a and b, c4 in a only */
        strcpy(type->zones[0], "a");
        strcpy(type->zones[1], "b");
    }
    strcpy(node->catalog.types[1].name, "c4");
    node->catalog.types[1].resources = (struct amb_resources){64, 0, 128};
    amb_store_init(&node->store, &node->settings, 1000);
    node->watch.loaded = true;
    node->watch.known_revision = FIXTURE_REVISION;
    return 0;
}

static void clear_replies(void) {
    for (size_t i = 0; i < USERS; i++) {
        amb_buf_free(&replies[i].body);
        memset(&replies[i], 0, sizeof replies[i]);
    }
}

int fixture_teardown(void **state) {
    fake_answer_all_lost();
    fake_http_reset();
    clear_replies();
    amb_timer_stop(&node->watch.fresh_read_timer);
    amb_timer_stop(&node->watch.watch_timer);
    amb_timer_stop(&node->store.dispatch_timer);
    amb_timer_stop(&node->election_timer);
    return teardown(state);
}

void fixture_reset(void) {
    fixture_teardown(NULL);
    fixture_setup(NULL);
}

/* ---- users ---- */

void issue_request(int user, const char *method, const char *path, struct amb_buf *body) {
    amb_buf_free(&replies[user].body);
    assert_true(amb_api_handle_request(node, fake_request(method, path, body, &replies[user])));
    if (body) amb_buf_free(body);
}

void user_submit(int user, const char *text) {
    struct amb_buf body = cbor_from_text("%s", text);
    issue_request(user, "POST", "/v1/jobs", &body);
}

void poll_job(int user) {
    issue_request(user, "GET", JOB_PATH, NULL);
}

void user_cancel(int user) {
    issue_request(user, "POST", JOB_PATH "/cancel", NULL);
}

void expect_reply(const char *what, int user, int status, const char *stance) {
    const struct fake_reply *reply = &replies[user];
    const struct amb_cbor_item *body =
        reply->body.len ? amb_cbor_parse(reply->body.data, reply->body.len) : NULL;
    bool matches =
        reply->status == status && (!stance || amb_cbor_equals(amb_cbor_map_get(body, "stance"), stance));
    if (!matches)
        fail_msg("%s: reply %d instead of %d %s", what, reply->status, status, stance ? stance : "");
}

void expect_no_reply(const char *what, int user) {
    expect_reply(what, user, 0, NULL);
}

/* ---- the key-value store ---- */

/* The answer of the key-value store to a read of all changes: no change (state NULL), or one change of the
 * job. */
struct amb_buf encode_changes(uint64_t revision, const char *state) {
    if (!state) return cbor_from_text("{\"epoch\":%d,\"news\":[]}", FIXTURE_REVISION);
    return cbor_from_text("{\"epoch\":%llu,\"news\":[{\"put\":\"a/job/" JOB_REF "\",\"stamp\":%llu,"
                          "\"value\":{\"s\":\"%s\",\"a\":1,\"c\":1,\"n\":16,\"d\":%s}}]}",
                          (unsigned long long)revision, (unsigned long long)revision, state,
                          VALID_SUBMISSION);
}

struct fake_call *open_call(const char *path) {
    struct fake_call *call = fake_open_call(path);
    if (!call) fail_msg("no open call of %s", path);
    return call;
}

void answer_fresh_read(uint64_t revision, const char *state) {
    struct amb_buf body = encode_changes(revision, state);
    fake_answer(open_call(CHANGES_PATH), 200, &body);
}

void answer_commit(int status, uint64_t store_revision) {
    struct amb_buf body = cbor_from_text("{\"epoch\":%llu}", (unsigned long long)store_revision);
    fake_answer(open_call(COMMIT_PATH), status, status ? &body : NULL);
    amb_buf_free(&body);
}

void apply_watched_change(uint64_t revision, const char *state) {
    struct amb_buf value =
        cbor_from_text("{\"s\":\"%s\",\"a\":1,\"c\":1,\"n\":16,\"d\":%s}", state, VALID_SUBMISSION);
    const struct amb_cbor_item *item = amb_cbor_parse(value.data, value.len);
    amb_jobs_apply_item(node, JOB_REF, item, revision);
    amb_buf_free(&value);
}

void fire_timer(struct amb_timer *timer) {
    assert_true(timer->position);
    amb_timer_stop(timer);
    timer->fn(timer->arg);
}

uint64_t compared_revision(void) {
    struct fake_call *call = open_call(COMMIT_PATH);
    const struct amb_cbor_item *body = amb_cbor_parse(call->body.data, call->body.len);
    const struct amb_cbor_item *guards = amb_cbor_map_get(body, "guards");
    uint64_t revision = UINT64_MAX;
    assert_int_equal(amb_cbor_list_length(guards), 1);
    assert_true(amb_cbor_equals(amb_cbor_map_get(amb_cbor_list_item(guards, 0), "path"), "a/job/" JOB_REF));
    assert_true(amb_cbor_get_uint(amb_cbor_map_get(amb_cbor_list_item(guards, 0), "stamp"), &revision));
    return revision;
}
