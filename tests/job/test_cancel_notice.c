/* Cancellation notices: to which peers a node sends them and when, and that a leader starts no task of the
 * job after it has received one. The node is set up by hand; the test takes the place of the key-value store
 * and of the other nodes. */
#include "amberpin/api/user_api.h"
#include "amberpin/job/cancellation_notice.h"
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "json_cbor.h"
#include "node_fixture.h"

#include <jansson.h>

enum { PEERS = 2, CALL_TIMEOUT_MS = 1000, STORE_REVISION = 1000, CANCEL_REVISION = 1010 };

#define JOB "wk-1"
static const char PEER_LISTEN[] = "peers:1";
static const char NOTICE_PATH[] = "/peer/cancellation";
static const char CHANGES_PATH[] = "/follow"; /* a fresh read of all changes */
static const char COMMIT_PATH[] = "/commit";

static struct amb_job *job;
static struct fake_reply reply; /* to the latest request */

/* ---- the node: n-0, a follower or the leader, and its peers n-1 and n-2 ---- */

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
    amb_store_init(&node->store, &node->settings, CALL_TIMEOUT_MS);
    amb_catalog_find_or_add_zone(&node->catalog, "a");
    node->watch.loaded = true;
    node->watch.known_revision = STORE_REVISION;
    node->watch.last_read_sent_at = amb_now();
    amb_peer_start(node);
    job = add_active_job(JOB, AMB_JOB_KIND_ARRAY, 1);
    job->revision = STORE_REVISION;
    return 0;
}

static int end(void **state) {
    fake_answer_all_lost();
    fake_http_reset();
    fake_clock_reset();
    amb_buf_free(&reply.body);
    return teardown(state);
}

static void reset(bool leads) {
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

static void answer_with_revision(const char *path, uint64_t revision) {
    struct amb_buf body = cbor_from_text("{\"epoch\":%llu,\"news\":[]}", (unsigned long long)revision);
    fake_answer(open_call(path), 200, &body);
}

static const struct fake_call *open_notice(const char *peer) {
    return fake_call_find(peer, "POST", NOTICE_PATH);
}

static json_int_t get_notice_revision(const struct fake_call *notice) {
    json_t *message = json_loadb(notice->body.data, notice->body.len, 0, NULL);
    assert_string_equal(json_string_value(json_object_get(message, "ref")), JOB);
    json_int_t notice_revision = json_integer_value(json_object_get(message, "stamp"));
    json_decref(message);
    return notice_revision;
}

static int receive(const char *method, const char *text) {
    struct amb_buf body = {0};
    amb_buf_append(&body, text, strlen(text));
    amb_buf_free(&reply.body);
    fake_serve(PEER_LISTEN, fake_request(method, NOTICE_PATH, &body, &reply));
    amb_buf_free(&body);
    return reply.status;
}

static int receive_notice_of_revision(uint64_t notice_revision) {
    char text[128];
    snprintf(text, sizeof text, "{\"ref\":\"" JOB "\",\"wall\":%lld,\"stamp\":%llu}",
             (long long)amb_wall_ms(), (unsigned long long)notice_revision);
    return receive("POST", text);
}

/* ---- the tests ---- */

/* The leader gets a notice while the cancellation is being written, and another one when the user gets the
 * reply. The reply waits for neither. */
static void leader_gets_notice_before_user_gets_reply(void **state) {
    (void)state;
    reset(false);
    node->peers.list[1].is_leader = true;
    user_request("POST", "/v1/jobs/" JOB "/cancel");
    assert_null(open_notice(NULL)); /* the job may be done, so its record is read first */
    answer_with_revision(CHANGES_PATH, STORE_REVISION);
    assert_int_equal(fake_count_sent_calls(COMMIT_PATH), 1);
    const struct fake_call *pending = open_notice("n-2:1");
    assert_non_null(pending);
    assert_int_equal(get_notice_revision(pending), 0);
    assert_int_equal(reply.status, 0);
    answer_with_revision(COMMIT_PATH, CANCEL_REVISION);
    assert_int_equal(reply.status, 200);
    assert_int_equal(fake_count_open_calls("POST", NOTICE_PATH), 2);
    assert_null(open_notice("n-1:1"));
    fake_answer(fake_call_find("n-2:1", "POST", NOTICE_PATH), 200, NULL);
    assert_int_equal(get_notice_revision(open_notice("n-2:1")), CANCEL_REVISION);
}

/* A cancellation that this node knows from a read, because its own write was not answered or because another
 * node wrote it, is reported to the leader when a user is first told of it. */
static void notice_goes_out_when_a_user_is_first_told(void **state) {
    (void)state;
    reset(false);
    node->peers.list[0].is_leader = true;
    amb_job_apply_cancel_hint(node, JOB, amb_wall_ms(), CANCEL_REVISION);
    assert_int_equal(fake_count_sent_calls(NOTICE_PATH), 0);
    user_request("GET", "/v1/jobs/" JOB);
    assert_int_equal(reply.status, 200);
    assert_int_equal(fake_count_sent_calls(NOTICE_PATH), 1);
    assert_int_equal(get_notice_revision(open_notice("n-1:1")), CANCEL_REVISION);
    user_request("GET", "/v1/jobs/" JOB);
    assert_int_equal(fake_count_sent_calls(NOTICE_PATH), 1);
}

static void notice_recipients(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool leads, peer_leads[PEERS], notified[PEERS];
    } rows[] = {
        {"another node leads", false, {true, false}, {true, false}},
        {"no leader is known: all peers", false, {false, false}, {true, true}},
        {"two peers claim to lead", false, {true, true}, {true, true}},
        {"this node leads", true, {false, false}, {false, false}},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        reset(rows[i].leads);
        for (int peer = 0; peer < PEERS; peer++) node->peers.list[peer].is_leader = rows[i].peer_leads[peer];
        amb_cancellation_notice_send_pending(node, job);
        if (!open_notice("n-1:1") != !rows[i].notified[0] || !open_notice("n-2:1") != !rows[i].notified[1])
            fail_msg("%s", rows[i].what);
        if (!amb_cancellation_is_pending(node, job)) fail_msg("%s: not pending on this node", rows[i].what);
    }
}

/* A leader that has a notice of a written cancellation starts no task of the job. If the cancellation may or
 * may not be written, it starts none until a read that was sent late enough would have shown the
 * cancellation. */
static void leader_starts_nothing_after_a_notice(void **state) {
    (void)state;
    enum notice { NONE, PENDING, WRITTEN_NOTICE };
    static const struct {
        const char *what;
        enum notice notice;
        amb_ms read_sent_after; /* from the notice to the sending of the read answered last; 0: none */
        size_t starts;
    } rows[] = {
        {"no notice", NONE, 0, 1},
        {"the cancellation may be written", PENDING, 0, 0},
        {"the last read was not sent late enough", PENDING, 2 * CALL_TIMEOUT_MS, 0},
        {"the last read would have shown it", PENDING, 2 * CALL_TIMEOUT_MS + 1, 1},
        {"the cancellation is written", WRITTEN_NOTICE, 0, 0},
        {"the cancellation is written, whatever reads show", WRITTEN_NOTICE, 5 * CALL_TIMEOUT_MS, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        reset(true);
        bind_task(job, 0, "m-1", 1);
        deliver_heartbeat("m-1", 1, 1, TERM - 1, amb_now(), NULL, 0); /* the reply shows our fencing token */
        if (rows[i].notice != NONE)
            assert_int_equal(
                receive_notice_of_revision(rows[i].notice == WRITTEN_NOTICE ? CANCEL_REVISION : 0), 200);
        if (rows[i].read_sent_after) node->watch.last_read_sent_at = amb_now() + rows[i].read_sent_after;
        deliver_heartbeat("m-1", 1, 2, TERM, amb_now(), NULL, 0);
        if (count_commands(AMB_COMMAND_RUN) != rows[i].starts)
            fail_msg("%s: %zu starts", rows[i].what, count_commands(AMB_COMMAND_RUN));
        bool cancelled = job->state == AMB_JOB_CANCELLED;
        if (cancelled != (rows[i].notice == WRITTEN_NOTICE)) fail_msg("%s: state", rows[i].what);
    }
}

static void malformed_notices_are_refused(void **state) {
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
        if (job->state != AMB_JOB_QUEUED || job->cancel_pending_at)
            fail_msg("row %zu: the message was applied", i);
    }
    assert_int_equal(receive("GET", "{\"ref\":\"" JOB "\",\"wall\":1,\"stamp\":1}"), 400);
    assert_int_equal(job->state, AMB_JOB_QUEUED);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(leader_gets_notice_before_user_gets_reply, begin, end),
        cmocka_unit_test_setup_teardown(notice_goes_out_when_a_user_is_first_told, begin, end),
        cmocka_unit_test_setup_teardown(notice_recipients, begin, end),
        cmocka_unit_test_setup_teardown(leader_starts_nothing_after_a_notice, begin, end),
        cmocka_unit_test_setup_teardown(malformed_notices_are_refused, begin, end),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
