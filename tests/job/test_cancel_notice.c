/* Notices of cancellations: whom a node tells, and when; and that a leader which was told starts nothing of
 * the job. The node is put together by hand; the test plays the state service and the other nodes. */
#include "amberpin/api/user_api.h"
#include "amberpin/job/cancellation_notice.h"
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "json_cbor.h"
#include "node_fixture.h"

#include <jansson.h>

enum { PEERS = 2, CALL_TIMEOUT = 1000, EPOCH = 1000, WRITTEN = 1010 };

#define JOB "wk-1"
static const char PEER_LISTEN[] = "peers:1";
static const char NOTICE[] = "/peer/cancellation";
static const char SYNC[] = "/follow"; /* a read of all changes */
static const char COMMIT[] = "/commit";

static struct amb_job *job;
static struct fake_reply reply; /* to the latest request */

/* ---- the node: n-0, which follows or leads, and its peers n-1 and n-2 ---- */

static int begin(void **state) {
    fake_http_reset();
    fake_clock_reset();
    setup(state);
    strcpy(node->settings.member, "n-0");
    strcpy(node->settings.peer_listen, PEER_LISTEN);
    node->settings.peer_count = PEERS;
    for (int i = 0; i < PEERS; i++) {
        snprintf(node->settings.peers[i].member, AMB_NAME_SIZE, "n-%d", i + 1);
        snprintf(node->settings.peers[i].addr, AMB_NAME_SIZE, "n-%d:1", i + 1);
    }
    node->settings.store_rps = node->settings.store_write_rps = 1000;
    amb_store_init(&node->store, &node->settings, CALL_TIMEOUT);
    amb_catalog_find_or_add_zone(&node->catalog, "a");
    node->watch.loaded = true;
    node->watch.known_revision = EPOCH;
    node->watch.last_read_sent_at = amb_now();
    amb_peer_start(node);
    job = add_active_job(JOB, AMB_JOB_KIND_ARRAY, 1);
    job->revision = EPOCH;
    return 0;
}

static int end(void **state) {
    fake_answer_all_lost();
    fake_http_reset();
    fake_clock_reset();
    amb_buf_free(&reply.body);
    return teardown(state);
}

static void anew(bool leads) {
    end(NULL);
    begin(NULL);
    if (!leads) node->election.role = AMB_ROLE_FOLLOWER;
}

static void user_request(const char *method, const char *path) {
    amb_buf_free(&reply.body);
    assert_true(amb_api_handle_request(node, fake_request(method, path, NULL, &reply)));
}

static struct fake_call *open_call(const char *path) {
    struct fake_call *call = fake_open_call(path);
    if (!call) fail_msg("no call of %s is open", path);
    return call;
}

static void answer_epoch(const char *path, uint64_t epoch) {
    struct amb_buf body = cbor_from_text("{\"epoch\":%llu,\"news\":[]}", (unsigned long long)epoch);
    fake_answer(open_call(path), 200, &body);
}

static const struct fake_call *open_notice(const char *peer) {
    return fake_call_find(peer, "POST", NOTICE);
}

static json_int_t stamp_of(const struct fake_call *notice) {
    json_t *message = json_loadb(notice->body.data, notice->body.len, 0, NULL);
    assert_string_equal(json_string_value(json_object_get(message, "ref")), JOB);
    json_int_t stamp = json_integer_value(json_object_get(message, "stamp"));
    json_decref(message);
    return stamp;
}

static int receive(const char *method, const char *text) {
    struct amb_buf body = {0};
    amb_buf_append(&body, text, strlen(text));
    amb_buf_free(&reply.body);
    fake_serve(PEER_LISTEN, fake_request(method, NOTICE, &body, &reply));
    amb_buf_free(&body);
    return reply.status;
}

static int receive_stamp(uint64_t stamp) {
    char text[128];
    snprintf(text, sizeof text, "{\"ref\":\"" JOB "\",\"wall\":%lld,\"stamp\":%llu}",
             (long long)amb_wall_ms(), (unsigned long long)stamp);
    return receive("POST", text);
}

/* ---- the tests ---- */

/* The leader is told while the cancellation is being written, and again as the user is told; the user's
 * answer waits for neither. */
static void the_leader_is_told_before_the_user(void **state) {
    (void)state;
    anew(false);
    node->peers.list[1].is_leader = true;
    user_request("POST", "/v1/jobs/" JOB "/cancel");
    assert_null(open_notice(NULL)); /* it may be done: that is read first */
    answer_epoch(SYNC, EPOCH);
    assert_int_equal(fake_count_sent_calls(COMMIT), 1);
    const struct fake_call *pending = open_notice("n-2:1");
    assert_non_null(pending);
    assert_int_equal(stamp_of(pending), 0);
    assert_int_equal(reply.status, 0);
    answer_epoch(COMMIT, WRITTEN);
    assert_int_equal(reply.status, 200);
    assert_int_equal(fake_count_open_calls("POST", NOTICE), 2);
    assert_null(open_notice("n-1:1"));
    fake_answer(fake_call_find("n-2:1", "POST", NOTICE), 200, NULL);
    assert_int_equal(stamp_of(open_notice("n-2:1")), WRITTEN);
}

/* A cancellation that this node knows from news, its own write unanswered or another node's. */
static void told_when_a_user_first_is(void **state) {
    (void)state;
    anew(false);
    node->peers.list[0].is_leader = true;
    amb_job_apply_cancel_hint(node, JOB, amb_wall_ms(), WRITTEN);
    assert_int_equal(fake_count_sent_calls(NOTICE), 0);
    user_request("GET", "/v1/jobs/" JOB);
    assert_int_equal(reply.status, 200);
    assert_int_equal(fake_count_sent_calls(NOTICE), 1);
    assert_int_equal(stamp_of(open_notice("n-1:1")), WRITTEN);
    user_request("GET", "/v1/jobs/" JOB);
    assert_int_equal(fake_count_sent_calls(NOTICE), 1);
}

static void who_is_told(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool leads, peer_leads[PEERS], told[PEERS];
    } rows[] = {
        {"another node leads", false, {true, false}, {true, false}},
        {"nobody is known to lead: whoever begins", false, {false, false}, {true, true}},
        {"two have said that they lead", false, {true, true}, {true, true}},
        {"this node leads", true, {false, false}, {false, false}},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        anew(rows[i].leads);
        for (int peer = 0; peer < PEERS; peer++) node->peers.list[peer].is_leader = rows[i].peer_leads[peer];
        amb_cancellation_notice_send_pending(node, job);
        if (!open_notice("n-1:1") != !rows[i].told[0] || !open_notice("n-2:1") != !rows[i].told[1])
            fail_msg("%s", rows[i].what);
        if (!amb_cancellation_is_pending(node, job)) fail_msg("%s: this node itself heeds it", rows[i].what);
    }
}

/* A leader that has been told of a cancellation starts nothing of the job; of one that may be written, not
 * before its news would tell of it. */
static void a_leader_heeds_notices(void **state) {
    (void)state;
    enum notice { NONE, PENDING, WRITTEN_ONE };
    static const struct {
        const char *what;
        enum notice notice;
        amb_ms
            news_after; /* how long after the notice the question was sent whose answer came last; 0: none */
        size_t starts;
    } rows[] = {
        {"no notice", NONE, 0, 1},
        {"it may be written", PENDING, 0, 0},
        {"the news are not late enough", PENDING, 2 * CALL_TIMEOUT, 0},
        {"the news would tell", PENDING, 2 * CALL_TIMEOUT + 1, 1},
        {"it is written", WRITTEN_ONE, 0, 0},
        {"it is written, whatever news say", WRITTEN_ONE, 5 * CALL_TIMEOUT, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        anew(true);
        bind_task(job, 0, "m-1", 1);
        deliver_heartbeat("m-1", 1, 1, TERM - 1, amb_now(), NULL, 0); /* meets our token in the answer */
        if (rows[i].notice != NONE)
            assert_int_equal(receive_stamp(rows[i].notice == WRITTEN_ONE ? WRITTEN : 0), 200);
        if (rows[i].news_after) node->watch.last_read_sent_at = amb_now() + rows[i].news_after;
        deliver_heartbeat("m-1", 1, 2, TERM, amb_now(), NULL, 0);
        if (count_commands(AMB_COMMAND_RUN) != rows[i].starts)
            fail_msg("%s: %zu starts", rows[i].what, count_commands(AMB_COMMAND_RUN));
        bool cancelled = job->state == AMB_JOB_CANCELLED;
        if (cancelled != (rows[i].notice == WRITTEN_ONE)) fail_msg("%s: state", rows[i].what);
    }
}

static void what_is_no_notice_is_refused(void **state) {
    (void)state;
    static const char *const bad[] = {
        "",
        "[]",
        "{}",
        "{\"ref\":1,\"wall\":1,\"stamp\":1}",
        "{\"ref\":\"" JOB "\",\"wall\":1}",
        "{\"ref\":\"" JOB "\",\"stamp\":1}",
        "{\"ref\":\"" JOB "\",\"wall\":1,\"stamp\":-1}",
        "{\"ref\":\"" JOB "\",\"wall\":1,\"stamp\":\"1\"}",
    };
    for (size_t i = 0; i < ROWS(bad); i++) {
        if (receive("POST", bad[i]) != 400) fail_msg("row %zu: %d", i, reply.status);
        if (job->state != AMB_JOB_QUEUED || job->cancel_pending_at) fail_msg("row %zu: heeded", i);
    }
    assert_int_equal(receive("GET", "{\"ref\":\"" JOB "\",\"wall\":1,\"stamp\":1}"), 400);
    assert_int_equal(job->state, AMB_JOB_QUEUED);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(the_leader_is_told_before_the_user, begin, end),
        cmocka_unit_test_setup_teardown(told_when_a_user_first_is, begin, end),
        cmocka_unit_test_setup_teardown(who_is_told, begin, end),
        cmocka_unit_test_setup_teardown(a_leader_heeds_notices, begin, end),
        cmocka_unit_test_setup_teardown(what_is_no_notice_is_refused, begin, end),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
