/* Messages between controllers, passed to the handlers that the HTTP server and client call. A message must
 * be applied each time that it arrives, even if it is identical, byte for byte, to the last one. */
#include "amberpin/codec/messages.h"
#include "amberpin/node/node.h"
#include "bare_node.h"
#include "check.h"
#include "peer_json.h"

#include <jansson.h>

static struct amb_node *node;
static amb_http_handler handler;
static int last_status;
static char last_reply_text[32768];

static struct call { /* a heartbeat that the node has sent and that is not replied to */
    amb_http_done done;
    void *arg;
} calls[8];
static int call_count;

/* Replacements of the library's functions, by the linker's option --wrap. */
struct amb_http_server *__wrap_amb_server_open(const char *addr, int max, size_t body_max, amb_ms idle_ms,
                                               amb_http_handler fn, void *arg);
void __wrap_amb_server_set_max_input_bytes(struct amb_http_server *server, size_t bytes);
void __wrap_amb_http_reply(struct amb_http_req *request, int status, const char *type, const void *body,
                           size_t len, int retry_after_s);
struct amb_http_client_connection *__wrap_amb_http_call(const char *addr, const char *method,
                                                        const char *path, const char *type, const void *body,
                                                        size_t len, amb_ms timeout, amb_http_done fn,
                                                        void *arg);

struct amb_http_server *__wrap_amb_server_open(const char *addr, int max, size_t body_max, amb_ms idle_ms,
                                               amb_http_handler fn, void *arg) {
    (void)addr, (void)max, (void)body_max, (void)idle_ms, (void)arg;
    handler = fn;
    return (struct amb_http_server *)&handler;
}

void __wrap_amb_server_set_max_input_bytes(struct amb_http_server *server, size_t bytes) {
    (void)server, (void)bytes;
}

void __wrap_amb_http_reply(struct amb_http_req *request, int status, const char *type, const void *body,
                           size_t len, int retry_after_s) {
    (void)type, (void)retry_after_s;
    last_status = status;
    assert_true(len < sizeof last_reply_text);
    if (len) memcpy(last_reply_text, body, len);
    last_reply_text[len] = 0;
    free(request->body);
    free(request);
}

struct amb_http_client_connection *__wrap_amb_http_call(const char *addr, const char *method,
                                                        const char *path, const char *type, const void *body,
                                                        size_t len, amb_ms timeout, amb_http_done fn,
                                                        void *arg) {
    (void)addr, (void)method, (void)path, (void)type, (void)body, (void)len, (void)timeout;
    if (call_count < (int)ROWS(calls)) calls[call_count++] = (struct call){fn, arg};
    return NULL;
}

static amb_ms now_ms;

amb_ms amb_now(void) {
    return now_ms;
}
int64_t amb_wall_ms(void) {
    return 1700000000000 + now_ms;
}
uint64_t amb_nonce(void) {
    return 4096;
}

static int setup(void **state) {
    (void)state;
    now_ms = 1000000;
    call_count = 0;
    amb_loop_init();
    node = bare_node_new();
    strcpy(node->settings.member, "n0");
    node->settings.peer_count = 2;
    strcpy(node->settings.peers[0].member, "n1");
    strcpy(node->settings.peers[1].member, "n2");
    node->settings.heartbeat_s = 1;
    node->settings.agent_lease_s = 10;
    node->settings.cancel_s = 30;
    node->settings.memory_mb = 40;
    amb_peer_start(node);
    return 0;
}

static int teardown(void **state) {
    (void)state;
    bare_node_free(node);
    return 0;
}

static void receive_heartbeat(const char *text) {
    struct amb_http_req *request = amb_alloc(sizeof *request);
    strcpy(request->method, "POST");
    strcpy(request->path, "/peer/heartbeat");
    request->body_len = strlen(text);
    request->body = amb_alloc(request->body_len + 1);
    if (request->body_len) memcpy(request->body, text, request->body_len);
    handler(node, request);
}

/* Applies a queued job as it is read from the key-value store. */
static void accept_job(const char *ref, uint64_t revision) {
    struct amb_job_spec spec = {.kind = AMB_JOB_KIND_ARRAY, .task_count = 1};
    struct amb_buf buffer = {0};
    strcpy(spec.ref, ref);
    strcpy(spec.class_name, "train");
    strcpy(spec.team, "team");
    strcpy(spec.image, "img");
    amb_cbor_write_map(&buffer, 2);
    amb_cbor_write_string(&buffer, "s");
    amb_cbor_write_string(&buffer, "queued");
    amb_cbor_write_string(&buffer, "d");
    amb_codec_encode_spec(&buffer, &spec);
    const struct amb_cbor_item *value = amb_cbor_parse(buffer.data, buffer.len);
    amb_jobs_apply_item(node, ref, value, revision);
    amb_buf_free(&buffer);
}

static const char STATUS_FORMAT[] =
    "{\"from\":\"%s\",\"loaded\":true,\"born\":1,\"term\":%d,\"leading\":false,\"store\":%s,"
    "\"reports_arrive\":false,\"cancelled\":[%s]}";

static void format_status(char out[512], const char *from, int term, const char *store,
                          const char *cancelled) {
    snprintf(out, 512, STATUS_FORMAT, from, term, store, cancelled);
}

static void a_repeated_heartbeat_updates_last_heard(void **state) {
    (void)state;
    char text[512];
    format_status(text, "n1", 5, "true", "");
    for (int i = 0; i < 3; i++) {
        now_ms += 500;
        receive_heartbeat(text);
        assert_int_equal(last_status, 200);
        assert_int_equal(node->peers.list[0].last_heard_at, now_ms);
        assert_int_equal(node->peers.list[1].last_heard_at, 0);
    }
    assert_int_equal(node->election.highest_term, 5);
}

static void a_changed_heartbeat_is_parsed_again(void **state) {
    (void)state;
    char text[512];
    static const struct {
        const char *from, *store;
        int term;
    } rows[] = {{"n1", "true", 5},  {"n1", "false", 5}, {"n2", "true", 5}, {"n1", "true", 5},
                {"n2", "false", 5}, {"n1", "true", 6},  {"n1", "true", 5}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        format_status(text, rows[i].from, rows[i].term, rows[i].store, "");
        receive_heartbeat(text);
        const struct amb_peer *peer = &node->peers.list[rows[i].from[1] - '1'];
        if (peer->store_reachable != !strcmp(rows[i].store, "true") || peer->term != (uint64_t)rows[i].term)
            fail_msg("row %zu: store %d, term %llu", i, peer->store_reachable,
                     (unsigned long long)peer->term);
    }
}

/* A peer's message may list a cancelled job before this node has read the job from the store. The same
 * message must cancel the job when it arrives again after that. */
static void a_repeated_cancellation_is_applied(void **state) {
    (void)state;
    char text[512];
    format_status(text, "n1", 5, "true", "[\"wk-000001\",1700000990000,50]");
    receive_heartbeat(text);
    accept_job("wk-000001", 40);
    receive_heartbeat(text);
    const struct amb_job *job = amb_job_find(node, "wk-000001");
    assert_non_null(job);
    assert_int_equal(job->state, AMB_JOB_CANCELLED);
}

/* Each reply confirms the leadership as of the time at which our heartbeat was sent, even if the reply is the
 * same as the last one. */
static void a_repeated_reply_confirms_again(void **state) {
    (void)state;
    char text[512];
    node->election.role = AMB_ROLE_LEADER;
    node->election.term = 7;
    node->election.ttl = 3600000;
    node->election.renewed_at = now_ms;
    format_status(text, "n1", 7, "true", "");
    for (int i = 0; i < 3; i++) {
        now_ms += 500;
        node->peers.list[0].heartbeat_sent_at = now_ms - 3;
        assert_ptr_equal(calls[0].arg, &node->peers.list[0]);
        calls[0].done(calls[0].arg, 200, text, strlen(text));
        assert_int_equal(node->peers.list[0].confirmed_at, now_ms - 3);
        assert_int_equal(node->peers.list[0].last_heard_at, now_ms);
    }
    assert_int_equal(node->peers.list[1].confirmed_at, 0);
}

static uint32_t random_below(uint32_t below) {
    static uint32_t seed = 12345;
    seed = seed * 1664525u + 1013904223u;
    return (seed >> 8) % below;
}

/* Applies a random change to the node, which may or may not change its messages. */
static void apply_random_change(uint64_t *revision) {
    char ref[AMB_NAME_SIZE];
    now_ms += random_below(4) ? random_below(700) : random_below(30000);
    snprintf(ref, sizeof ref, "wk-%06u", random_below(200));
    switch (random_below(9)) {
    case 0: accept_job(ref, ++*revision); break;
    case 1: /* a peer's cancellation hint, in some cases of long ago */
        ++*revision;
        amb_job_apply_cancel_hint(node, ref, amb_wall_ms() - random_below(2) * random_below(80000),
                                  *revision - random_below(2) * random_below(20));
        break;
    case 2: node->watch.loaded = random_below(2); break;
    case 3: node->fleet.last_heartbeat_at = now_ms; break;
    case 4: node->store.last_failure_at = now_ms; break;
    case 5: node->store.last_success_at = now_ms + 1; break;
    case 6: node->election.highest_term += random_below(2); break;
    case 7: node->election.term = node->election.highest_term; break;
    default: node->election.role = random_below(8) ? AMB_ROLE_FOLLOWER : AMB_ROLE_LEADER;
    }
}

/* Replies are cached as text until their content would change. Each must equal a newly encoded one. */
static void cached_replies_equal_new_ones(void **state) {
    (void)state;
    char text[256];
    uint64_t revision = 10;
    uint32_t listed = 0;
    for (int i = 0; i < 4000; i++) {
        apply_random_change(&revision);
        uint64_t known_revision =
            random_below(3) ? random_below(3) ? revision : revision - random_below(10) : 0;
        snprintf(text, sizeof text, "{\"from\":\"n1\",\"epoch\":%llu}", (unsigned long long)known_revision);
        json_t *reply = peer_reply_json(node, known_revision);
        char *expected = json_dumps(reply, JSON_COMPACT);
        listed += json_array_size(json_object_get(reply, "cancelled")) > 0;
        receive_heartbeat(text);
        if (strcmp(last_reply_text, expected)) fail_msg("step %d: %s, not %s", i, last_reply_text, expected);
        free(expected);
        json_decref(reply);
    }
    assert_in_range(listed, 400, 3600); /* replies with cancellations and without both occur */
}

static void malformed_heartbeats_are_refused(void **state) {
    (void)state;
    static const char *const malformed[] = {"", "{", "[1]", "{}", "{\"from\":1}", "{\"from\":\"n1\""};
    for (size_t i = 0; i < ROWS(malformed); i++) {
        receive_heartbeat(malformed[i]);
        if (last_status != 400) fail_msg("row %zu: %d", i, last_status);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(a_repeated_heartbeat_updates_last_heard, setup, teardown),
        cmocka_unit_test_setup_teardown(a_changed_heartbeat_is_parsed_again, setup, teardown),
        cmocka_unit_test_setup_teardown(a_repeated_cancellation_is_applied, setup, teardown),
        cmocka_unit_test_setup_teardown(a_repeated_reply_confirms_again, setup, teardown),
        cmocka_unit_test_setup_teardown(cached_replies_equal_new_ones, setup, teardown),
        cmocka_unit_test_setup_teardown(malformed_heartbeats_are_refused, setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
