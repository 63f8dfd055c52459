/* Messages between nodes and their effect on the leader: which peers confirm it, and cancellations that it
 * learns of before its watch reports them. The tests build the nodes directly. */
#include "check.h"
#include "fake_http.h"
#include "node_fixture.h"
#include "peer_json.h"

#include <jansson.h>

/* ---- answers to agents ---- */

static int response_status;
static uint64_t response_token;
static size_t response_stops, response_starts;

static void read_response(struct fake_reply *reply) {
    response_status = reply->status;
    response_token = response_stops = response_starts = 0;
    const struct amb_cbor_item *map =
        reply->body.len ? amb_cbor_parse(reply->body.data, reply->body.len) : NULL;
    amb_cbor_get_uint(amb_cbor_map_get(map, "baton"), &response_token);
    const struct amb_cbor_item *list = amb_cbor_map_get(map, "orders");
    for (size_t i = 0; i < amb_cbor_list_length(list); i++) {
        const struct amb_cbor_item *verb = amb_cbor_map_get(amb_cbor_list_item(list, i), "verb");
        response_stops += amb_cbor_equals(verb, "halt");
        response_starts += amb_cbor_equals(verb, "run");
    }
    amb_buf_free(&reply->body);
}

static void write_pair(struct amb_buf *buffer, const char *name, const char *value) {
    amb_cbor_write_string(buffer, name);
    amb_cbor_write_string(buffer, value);
}

/* An agent in zone a sends a heartbeat over HTTP that lists one running task. */
static void post_heartbeat(uint64_t token, const char *task) {
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 9);
    write_pair(&buffer, "rig", "m-1");
    write_pair(&buffer, "address", "127.0.0.1:1");
    write_pair(&buffer, "hull", "g8");
    write_pair(&buffer, "yard", "a");
    amb_cbor_write_string(&buffer, "driftwood");
    amb_cbor_write_bool(&buffer, false);
    amb_cbor_write_string(&buffer, "watch");
    amb_cbor_write_uint(&buffer, 1);
    amb_cbor_write_string(&buffer, "tally");
    amb_cbor_write_uint(&buffer, 1);
    amb_cbor_write_string(&buffer, "baton");
    amb_cbor_write_uint(&buffer, token);
    amb_cbor_write_string(&buffer, "legs");
    amb_cbor_write_list(&buffer, 1);
    amb_cbor_write_map(&buffer, 3);
    write_pair(&buffer, "leg", task);
    amb_cbor_write_string(&buffer, "try");
    amb_cbor_write_uint(&buffer, 1);
    write_pair(&buffer, "stance", "running");
    struct fake_reply reply = {0};
    assert_true(amb_agent_handle_request(node, fake_request("POST", "/hello", &buffer, &reply)));
    read_response(&reply);
    amb_buf_free(&buffer);
}

/* ---- job records reported by the watch ---- */

static void apply_job_change(const char *ref, enum amb_job_state state, uint64_t revision,
                             int64_t cancelled_wall_ms) {
    struct amb_job_spec spec = {.kind = AMB_JOB_KIND_SERVICE,
                                .priority = AMB_PRIORITY_HIGH,
                                .task_count = 1,
                                .task_resources = {8, 1, 40}};
    struct amb_job draft = {.spec = &spec, .accepted_wall_ms = 1, .cancelled_wall_ms = cancelled_wall_ms};
    struct amb_buf buffer = {0};
    strcpy(spec.ref, ref);
    strcpy(spec.class_name, "c");
    strcpy(spec.team, "t");
    strcpy(spec.image, "img");
    amb_job_encode_record(&buffer, &draft, NULL, state);
    const struct amb_cbor_item *item = amb_cbor_parse(buffer.data, buffer.len);
    amb_jobs_apply_item(node, ref, item, revision);
    amb_buf_free(&buffer);
}

static enum amb_job_state job_state(const char *ref) {
    const struct amb_job *job = amb_job_find(node, ref);
    assert_non_null(job);
    return job->state;
}

/* ---- the tests ---- */

/* The answer to a leader's heartbeat lists every cancellation that the leader cannot know, however old it is.
 */
static void answers_list_cancellations_unknown_to_the_leader(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint64_t revision;
        int64_t sent_ago_ms; /* when the transaction was sent */
        uint64_t known_revision;
        bool listed;
    } rows[] = {
        {"newer than the revision that the sender knows", 40, 1000, 39, true},
        {"known to the sender", 40, 1000, 40, false},
        {"committed long after it was sent", 40, 600000, 39, true},
        {"the sender names no revision: recent", 40, 1000, 0, true},
        {"the sender names no revision: long ago", 40, 600000, 0, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        teardown(NULL);
        setup(NULL);
        apply_job_change("wk-1", AMB_JOB_QUEUED, 1, 0);
        apply_job_change("wk-2", AMB_JOB_QUEUED, 50, 0);
        apply_job_change("wk-1", AMB_JOB_CANCELLED, rows[i].revision, amb_wall_ms() - rows[i].sent_ago_ms);
        json_t *answer = peer_reply_json(node, rows[i].known_revision);
        if (json_array_size(json_object_get(answer, "cancelled")) != rows[i].listed)
            fail_msg("%s", rows[i].what);
        json_decref(answer);
    }
}

/* A peer confirms a leader by its answer to a heartbeat, provided that it has read the state service since it
 * started, does not lead and knows no higher term. */
static void answers_that_confirm_the_leader(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool is_answer, loaded, leading;
        json_int_t term;
        bool confirms;
    } rows[] = {
        {"a follower's answer", true, true, false, TERM, true},
        {"an answer from a follower that does not know our term yet", true, true, false, 0, true},
        {"a heartbeat of the peer, which may be old", false, true, false, TERM, false},
        {"restarted, and has not read the state service yet", true, false, false, TERM, false},
        {"it leads itself", true, true, true, TERM, false},
        {"it knows a higher term", true, true, false, TERM + 1, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        teardown(NULL);
        setup(NULL);
        amb_ms request_sent_at = amb_now() - 300;
        struct amb_peer *peer = &node->peers.list[0];
        node->peers.count = 1;
        strcpy(peer->member, "peer");
        json_t *message =
            json_pack("{s:b, s:I, s:b, s:b, s:b}", "loaded", rows[i].loaded, "term", rows[i].term, "leading",
                      rows[i].leading, "store", 1, "reports_arrive", 0);
        apply_peer_json(node, peer, message, rows[i].is_answer ? request_sent_at : 0);
        if (amb_election_peers_confirmed_at(node, amb_now()) != (rows[i].confirms ? request_sent_at : 0))
            fail_msg("%s", rows[i].what);
        json_decref(message);
    }
}

/* A peer reports the cancellation of a job that this node may not know yet. Older records of the job do not
 * undo it. */
static void cancellations_are_known_before_their_job(void **state) {
    (void)state;
    json_t *message =
        json_pack("{s:b, s:i, s:b, s:b, s:b, s:[[s,I,I]]}", "loaded", 1, "term", TERM, "leading", 0, "store",
                  1, "reports_arrive", 0, "cancelled", "wk-1", (json_int_t)amb_wall_ms(), (json_int_t)40);
    node->peers.count = 1;
    apply_peer_json(node, &node->peers.list[0], message, amb_now());
    json_decref(message);
    assert_int_equal(job_state("wk-1"), AMB_JOB_CANCELLED);
    struct amb_agent_task listed = make_agent_task("wk-1", 0, 1, AMB_AGENT_TASK_RUNNING, AMB_EXIT_NONE);
    deliver_heartbeat("m-1", 1, 1, TERM, amb_now(), &listed, 1);
    assert_int_equal(count_commands(AMB_COMMAND_STOP), 1);
    apply_job_change("wk-1", AMB_JOB_QUEUED, 30, 0);
    assert_int_equal(job_state("wk-1"), AMB_JOB_CANCELLED);
    assert_false(amb_job_find(node, "wk-1")->active);
    apply_job_change("wk-1", AMB_JOB_CANCELLED, 40, amb_wall_ms());
    assert_int_equal(job_state("wk-1"), AMB_JOB_CANCELLED);
}

/* The answers of a new leader that has not restored the records yet keep tasks alive, except those of jobs
 * that it knows to be cancelled. */
static void restoring_leaders_stop_cancelled_tasks(void **state) {
    (void)state;
    node->controller.restored_at = 0;
    apply_job_change("wk-1", AMB_JOB_QUEUED, 30, 0);
    struct amb_agent_task listed = make_agent_task("wk-1", 0, 1, AMB_AGENT_TASK_RUNNING, AMB_EXIT_NONE);
    deliver_heartbeat("m-1", 1, 1, TERM - 1, amb_now(), &listed, 1);
    assert_int_equal(reply_command_count, 0);
    apply_job_change("wk-1", AMB_JOB_CANCELLED, 40, amb_wall_ms());
    deliver_heartbeat("m-1", 1, 2, TERM - 1, amb_now(), &listed, 1);
    assert_int_equal(count_commands(AMB_COMMAND_STOP), 1);
    listed.state = AMB_AGENT_TASK_EXITED;
    deliver_heartbeat("m-1", 1, 3, TERM, amb_now(), &listed, 1);
    assert_int_equal(reply_command_count, 0);
}

/* A lease proxy also stops tasks of cancelled jobs. It sends no other commands and answers no agent with a
 * newer token. */
static void lease_proxies_stop_cancelled_tasks(void **state) {
    (void)state;
    node->election.role = AMB_ROLE_FOLLOWER;
    node->election.term = 0;
    node->election.highest_term = TERM;
    node->election.ttl = 3000;
    strcpy(node->settings.zone, "a");
    node->lease_proxy.state = AMB_LEASE_PROXY_ACTIVE;
    node->lease_proxy.term = TERM;
    node->lease_proxy.renewed_at = amb_now();
    apply_job_change("wk-1", AMB_JOB_QUEUED, 30, 0);
    post_heartbeat(TERM, "wk-1/0");
    assert_int_equal(response_status, 200);
    assert_int_equal(response_token, TERM);
    assert_int_equal(response_stops + response_starts, 0);
    apply_job_change("wk-1", AMB_JOB_CANCELLED, 40, amb_wall_ms());
    post_heartbeat(TERM, "wk-1/0");
    assert_int_equal(response_status, 200);
    assert_int_equal(response_stops, 1);
    post_heartbeat(TERM + 1, "wk-1/0");
    assert_int_equal(response_status, 421);
}

/* After a stall, a leader does not answer heartbeats that arrived meanwhile, even before the next tick. */
static void no_response_after_a_stall(void **state) {
    (void)state;
    static const struct {
        const char *what;
        amb_ms watch_read_ago, confirmed_ago;
        int status;
    } rows[] = {
        {"the watch read is recent enough", 18000, 60000, 200},
        {"neither watch read nor confirmation is", 19500, 60000, 421},
        {"the peer's confirmation is", 60000, 18000, 200},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        teardown(NULL);
        setup(NULL);
        amb_ms now = amb_now();
        node->election.ttl = 3000;
        node->election.renewed_at = node->watch.last_read_sent_at = now - rows[i].watch_read_ago;
        node->peers.count = 1;
        node->peers.list[0].confirmed_at = now - rows[i].confirmed_ago;
        post_heartbeat(TERM, "wk-1/0");
        if (response_status != rows[i].status) fail_msg("%s: %d", rows[i].what, response_status);
    }
}

/* Time until a leader without contact is fenced: a share of cancel_s less the agent lease. */
static void fencing_time_fits_cancellation(void **state) {
    (void)state;
    static const struct {
        double lease_s, cancel_s;
        amb_ms fence_after;
    } rows[] = {{10, 30, 19000}, {22, 42, 19000}, {60, 120, 57000}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        node->settings.agent_lease_s = rows[i].lease_s;
        node->settings.cancel_s = rows[i].cancel_s;
        amb_election_init(node);
        if (node->election.fence_after != rows[i].fence_after)
            fail_msg("row %zu: %lld ms", i, (long long)node->election.fence_after);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(answers_list_cancellations_unknown_to_the_leader, setup, teardown),
        cmocka_unit_test_setup_teardown(answers_that_confirm_the_leader, setup, teardown),
        cmocka_unit_test_setup_teardown(cancellations_are_known_before_their_job, setup, teardown),
        cmocka_unit_test_setup_teardown(restoring_leaders_stop_cancelled_tasks, setup, teardown),
        cmocka_unit_test_setup_teardown(no_response_after_a_stall, setup, teardown),
        cmocka_unit_test_setup_teardown(fencing_time_fits_cancellation, setup, teardown),
        cmocka_unit_test_setup_teardown(lease_proxies_stop_cancelled_tasks, setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
