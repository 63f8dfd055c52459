/* What nodes tell one another, and what the leader makes of it: whose word counts, and cancellations that no
 * news tells of. The nodes are put together by hand. */
#include "check.h"
#include "fake_http.h"
#include "node_fixture.h"
#include "peer_json.h"

#include <jansson.h>

/* ---- answers to workers ---- */

static int response_status;
static uint64_t response_token;
static size_t response_halts, response_starts;

static void read_response(struct fake_reply *reply) {
    response_status = reply->status;
    response_token = response_halts = response_starts = 0;
    cbor_item_t *map = reply->body.len ? amb_cbor_parse(reply->body.data, reply->body.len) : NULL;
    amb_cbor_get_uint(amb_cbor_map_get(map, "baton"), &response_token);
    const cbor_item_t *list = amb_cbor_map_get(map, "orders");
    for (size_t i = 0; i < amb_cbor_list_length(list); i++) {
        const cbor_item_t *verb = amb_cbor_map_get(amb_cbor_list_item(list, i), "verb");
        response_halts += amb_cbor_equals(verb, "halt");
        response_starts += amb_cbor_equals(verb, "run");
    }
    if (map) cbor_decref(&map);
    amb_buf_free(&reply->body);
}

static void write_pair(struct amb_buf *buffer, const char *name, const char *value) {
    amb_cbor_write_string(buffer, name);
    amb_cbor_write_string(buffer, value);
}

/* A worker of zone a reports one running task over HTTP. */
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

/* ---- jobs as news tell of them ---- */

static void apply_job_change(const char *ref, enum amb_job_state state, uint64_t revision,
                             int64_t cancelled_wall) {
    struct amb_job_spec spec = {.kind = AMB_JOB_KIND_SERVICE,
                                .priority = AMB_PRIORITY_HIGH,
                                .task_count = 1,
                                .task_resources = {8, 1, 40}};
    struct amb_job draft = {.spec = &spec, .accepted_wall_ms = 1, .cancelled_wall_ms = cancelled_wall};
    struct amb_buf buffer = {0};
    strcpy(spec.ref, ref);
    strcpy(spec.class_name, "c");
    strcpy(spec.team, "t");
    strcpy(spec.image, "img");
    amb_job_encode_record(&buffer, &draft, state);
    cbor_item_t *item = amb_cbor_parse(buffer.data, buffer.len);
    amb_jobs_apply_item(node, ref, item, revision);
    cbor_decref(&item);
    amb_buf_free(&buffer);
}

static enum amb_job_state state_of(const char *ref) {
    const struct amb_job *job = amb_job_find(node, ref);
    assert_non_null(job);
    return job->state;
}

/* ---- the tests ---- */

/* The answer to a leader's question lists every cancellation that the leader can't know, however old. */
static void responses_list_what_the_asker_lacks(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint64_t stamp;
        int64_t ago_ms; /* when the transaction was sent */
        uint64_t epoch;
        bool listed;
    } rows[] = {
        {"newer than what the asker knows", 40, 1000, 39, true},
        {"known to the asker", 40, 1000, 40, false},
        {"carried out long after it was sent", 40, 600000, 39, true},
        {"to who does not say what it knows: recent", 40, 1000, 0, true},
        {"to who does not say what it knows: long ago", 40, 600000, 0, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        teardown(NULL);
        setup(NULL);
        apply_job_change("wk-1", AMB_JOB_QUEUED, 1, 0);
        apply_job_change("wk-2", AMB_JOB_QUEUED, 50, 0);
        apply_job_change("wk-1", AMB_JOB_CANCELLED, rows[i].stamp, amb_wall_ms() - rows[i].ago_ms);
        json_t *answer = peer_reply_json(node, rows[i].epoch);
        if (json_array_size(json_object_get(answer, "cancelled")) != rows[i].listed)
            fail_msg("%s", rows[i].what);
        json_decref(answer);
    }
}

/* A peer confirms a leader by its answer to a question, if it has read the state service since it began, does
 * not lead and knows no higher term. */
static void which_peers_confirm_the_leader(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool answer, loaded, leading;
        json_int_t term;
        bool counts;
    } rows[] = {
        {"a follower's answer", true, true, false, TERM, true},
        {"one that has not heard of our term", true, true, false, 0, true},
        {"it spoke first: the message may be old", false, true, false, TERM, false},
        {"restarted, and the state service not read yet", true, false, false, TERM, false},
        {"it leads itself", true, true, true, TERM, false},
        {"it knows a higher term", true, true, false, TERM + 1, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        teardown(NULL);
        setup(NULL);
        amb_ms asked = amb_now() - 300;
        struct amb_peer *peer = &node->peers.list[0];
        node->peers.count = 1;
        strcpy(peer->member, "peer");
        json_t *message =
            json_pack("{s:b, s:I, s:b, s:b, s:b}", "loaded", rows[i].loaded, "term", rows[i].term, "leading",
                      rows[i].leading, "store", 1, "reports_arrive", 0);
        apply_peer_json(node, peer, message, rows[i].answer ? asked : 0);
        if (amb_election_peers_confirmed_at(node, amb_now()) != (rows[i].counts ? asked : 0))
            fail_msg("%s", rows[i].what);
        json_decref(message);
    }
}

/* A peer tells of a cancellation whose job we may not know yet: news of before do not undo it. */
static void cancellations_known_before_the_job(void **state) {
    (void)state;
    json_t *message =
        json_pack("{s:b, s:i, s:b, s:b, s:b, s:[[s,I,I]]}", "loaded", 1, "term", TERM, "leading", 0, "store",
                  1, "reports_arrive", 0, "cancelled", "wk-1", (json_int_t)amb_wall_ms(), (json_int_t)40);
    node->peers.count = 1;
    apply_peer_json(node, &node->peers.list[0], message, amb_now());
    json_decref(message);
    assert_int_equal(state_of("wk-1"), AMB_JOB_CANCELLED);
    struct amb_agent_task seen = make_agent_task("wk-1", 0, 1, AMB_AGENT_TASK_RUNNING, AMB_EXIT_NONE);
    deliver_heartbeat("m-1", 1, 1, TERM, amb_now(), &seen, 1);
    assert_int_equal(count_commands(AMB_COMMAND_STOP), 1);
    apply_job_change("wk-1", AMB_JOB_QUEUED, 30, 0);
    assert_int_equal(state_of("wk-1"), AMB_JOB_CANCELLED);
    assert_false(amb_job_find(node, "wk-1")->active);
    apply_job_change("wk-1", AMB_JOB_CANCELLED, 40, amb_wall_ms());
    assert_int_equal(state_of("wk-1"), AMB_JOB_CANCELLED);
}

/* A new leader that has not read the records yet keeps tasks alive by its answers: not those of jobs that it
 * knows to be cancelled. */
static void reading_records_stops_cancelled_tasks(void **state) {
    (void)state;
    node->controller.restored_at = 0;
    apply_job_change("wk-1", AMB_JOB_QUEUED, 30, 0);
    struct amb_agent_task seen = make_agent_task("wk-1", 0, 1, AMB_AGENT_TASK_RUNNING, AMB_EXIT_NONE);
    deliver_heartbeat("m-1", 1, 1, TERM - 1, amb_now(), &seen, 1);
    assert_int_equal(reply_command_count, 0);
    apply_job_change("wk-1", AMB_JOB_CANCELLED, 40, amb_wall_ms());
    deliver_heartbeat("m-1", 1, 2, TERM - 1, amb_now(), &seen, 1);
    assert_int_equal(count_commands(AMB_COMMAND_STOP), 1);
    seen.state = AMB_AGENT_TASK_EXITED;
    deliver_heartbeat("m-1", 1, 3, TERM, amb_now(), &seen, 1);
    assert_int_equal(reply_command_count, 0);
}

/* So does a deputy, which orders nothing else and answers nobody once it knows a newer term. */
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
    assert_int_equal(response_halts + response_starts, 0);
    apply_job_change("wk-1", AMB_JOB_CANCELLED, 40, amb_wall_ms());
    post_heartbeat(TERM, "wk-1/0");
    assert_int_equal(response_status, 200);
    assert_int_equal(response_halts, 1);
    post_heartbeat(TERM + 1, "wk-1/0");
    assert_int_equal(response_status, 421);
}

/* A leader that stood still answers nothing that came meanwhile, though no tick has found it out yet. */
static void no_response_after_a_stall(void **state) {
    (void)state;
    static const struct {
        const char *what;
        amb_ms news_ago, word_ago;
        int status;
    } rows[] = {
        {"news and word are fresh enough", 18000, 60000, 200},
        {"neither is", 19500, 60000, 421},
        {"the peer's word is", 60000, 18000, 200},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        teardown(NULL);
        setup(NULL);
        amb_ms now = amb_now();
        node->election.ttl = 3000;
        node->election.renewed_at = node->watch.last_read_sent_at = now - rows[i].news_ago;
        node->peers.count = 1;
        node->peers.list[0].confirmed_at = now - rows[i].word_ago;
        post_heartbeat(TERM, "wk-1/0");
        if (response_status != rows[i].status) fail_msg("%s: %d", rows[i].what, response_status);
    }
}

/* What a leader without news may use of the time that a cancellation leaves after a worker's lease. */
static void fenced_in_time_for_a_cancellation(void **state) {
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
        cmocka_unit_test_setup_teardown(responses_list_what_the_asker_lacks, setup, teardown),
        cmocka_unit_test_setup_teardown(which_peers_confirm_the_leader, setup, teardown),
        cmocka_unit_test_setup_teardown(cancellations_known_before_the_job, setup, teardown),
        cmocka_unit_test_setup_teardown(reading_records_stops_cancelled_tasks, setup, teardown),
        cmocka_unit_test_setup_teardown(no_response_after_a_stall, setup, teardown),
        cmocka_unit_test_setup_teardown(fenced_in_time_for_a_cancellation, setup, teardown),
        cmocka_unit_test_setup_teardown(lease_proxies_stop_cancelled_tasks, setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
