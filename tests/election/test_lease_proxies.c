/* Lease proxies: which agents a proxy answers and when, and what a leader concludes from one. */
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

/* The leader n-1 is silent, and the watch is current: the node becomes its lease proxy in zone a. */
static struct fake_call *begin_lease_proxy(void) {
    follow_leader("n-1", TERM);
    node->peers.count = 1;
    strcpy(node->peers.list[0].member, "n-1");
    node->peers.list[0].last_heard_at = amb_now() - 10000;
    amb_lease_proxy_tick(node, amb_now());
    answer_lease(open_call("POST", "/leases"), 9);
    return open_call("POST", "/commit");
}

static void proxies_write_their_key_before_they_answer(void **state) {
    (void)state;
    struct fake_call *commit = begin_lease_proxy();
    uint64_t lease = 0, term = 0;
    if (fake_txn_compared_revision(commit, LEADER_KEY) != TERM)
        fail_msg("the transaction does not compare the leader's term");
    const struct amb_cbor_item *value = fake_txn_put(commit, "a/deputy/n-0", &lease);
    assert_true(amb_cbor_get_uint(amb_cbor_map_get(value, "term"), &term));
    assert_int_equal(term, TERM);
    if (lease != 9) fail_msg("the key is on lease %llu", (unsigned long long)lease);
    struct sent_heartbeat heartbeat = {.machine = "m-1", .incarnation = 1, .sequence = 1, .token = TERM};
    send_heartbeat(heartbeat);
    if (latest_reply()->status != 421)
        fail_msg("answered %d before the key is written", latest_reply()->status);
    answer_committed(commit, 60);
    send_heartbeat(heartbeat);
    assert_int_equal(latest_reply()->status, 200);
    assert_int_equal(replied_token(), TERM);
    assert_int_equal(amb_cbor_list_length(amb_cbor_map_get(latest_reply_body(), "orders")), 0);
}

static void agents_that_proxies_answer(void **state) {
    (void)state;
    static const struct {
        const char *what, *zone;
        uint64_t token, highest_term;
        amb_ms renewed; /* how long ago */
        int status;
    } rows[] = {
        {"an agent of its zone", "a", TERM, TERM, 0, 200},
        {"an agent with an older token", "a", TERM - 1, TERM, 0, 200},
        {"an agent of another zone", "b", TERM, TERM, 0, 421},
        {"an agent with a newer token", "a", TERM + 1, TERM, 0, 421},
        {"the node knows a newer term", "a", TERM, TERM + 1, 0, 421},
        {"its lease is about to end", "a", TERM, TERM, 2699, 200},
        {"its lease may have ended", "a", TERM, TERM, 2700, 421},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        answer_committed(begin_lease_proxy(), 60);
        node->election.highest_term = rows[i].highest_term;
        node->lease_proxy.renewed_at = amb_now() - rows[i].renewed;
        send_heartbeat((struct sent_heartbeat){
            .machine = "m-1", .zone = rows[i].zone, .incarnation = 1, .sequence = 1, .token = rows[i].token});
        if (latest_reply()->status != rows[i].status)
            fail_msg("%s: answered %d", rows[i].what, latest_reply()->status);
    }
}

static void lease_of_a_proxy_is_valid_from_when_it_was_requested(void **state) {
    (void)state;
    answer_committed(begin_lease_proxy(), 60);
    fake_clock_advance(LEADER_TTL_MS / 4);
    amb_lease_proxy_tick(node, amb_now());
    struct fake_call *renewal = open_call("POST", "/leases/9/extend");
    fake_clock_advance(1000);
    answer_lease(renewal, 9);
    struct sent_heartbeat heartbeat = {.machine = "m-1", .incarnation = 1, .sequence = 1, .token = TERM};
    fake_clock_advance(1699);
    send_heartbeat(heartbeat);
    assert_int_equal(latest_reply()->status, 200);
    fake_clock_advance(1);
    send_heartbeat(heartbeat);
    if (latest_reply()->status != 421)
        fail_msg("answered %d a lease after the renewal was sent", latest_reply()->status);
}

/* The watch shows that n-1 is a lease proxy in zone a. */
static void add_known_proxy(void) {
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 1);
    amb_cbor_write_string(&buffer, "zone");
    amb_cbor_write_string(&buffer, "a");
    const struct amb_cbor_item *value = amb_cbor_parse(buffer.data, buffer.len);
    amb_lease_proxy_apply_key(node, "n-1", value, 55);
    amb_buf_free(&buffer);
}

/* While a proxy's key exists, agents of its zone may be alive, however long the leader has not heard from
 * them. */
static void known_proxies_keep_their_zone_alive(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
    machine_up("m-1", 0);
    struct amb_task *task = bind_task(job, 0, "m-1", 1);
    task->state = AMB_TASK_SEEN;
    add_known_proxy();
    for (int i = 0; i < 30; i++) {
        fake_clock_advance(1000);
        node->watch.last_read_at = node->watch.last_read_sent_at = amb_now();
        amb_lease_proxy_tick(node, amb_now());
        amb_fleet_tick(node, amb_now());
        if (!task->machine) fail_msg("lost after %d s while the proxy key exists", i + 1);
    }
    amb_lease_proxy_apply_key(node, "n-1", NULL, 56);
    fake_clock_advance(11000);
    node->watch.last_read_sent_at = amb_now();
    amb_fleet_tick(node, amb_now());
    assert_null(task->machine);
}

/* A proxy that existed only briefly may still have answered agents of its zone. */
static void short_lived_proxies_count(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
    machine_up("m-1", 0);
    bind_task(job, 0, "m-1", 1)->state = AMB_TASK_SEEN;
    fake_clock_advance(8000);
    add_known_proxy();
    amb_lease_proxy_apply_key(node, "n-1", NULL, 56);
    fake_clock_advance(9000);
    node->watch.last_read_sent_at = amb_now();
    amb_fleet_tick(node, amb_now());
    if (!job->tasks[0].machine) fail_msg("lost less than a lease after a proxy was known");
    fake_clock_advance(2000);
    node->watch.last_read_sent_at = amb_now();
    amb_fleet_tick(node, amb_now());
    assert_null(job->tasks[0].machine);
}

/* Any proxy may be answering a machine whose zone is unknown. */
static void proxies_of_any_zone_cover_machines_of_unknown_zone(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
    machine_up("m-1", -1);
    bind_task(job, 0, "m-1", 1)->state = AMB_TASK_SEEN;
    fake_clock_advance(8000);
    add_known_proxy();
    fake_clock_advance(9000);
    node->watch.last_read_sent_at = amb_now();
    amb_fleet_tick(node, amb_now());
    if (!job->tasks[0].machine) fail_msg("lost less than a lease after a proxy was known");
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(proxies_write_their_key_before_they_answer, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(agents_that_proxies_answer, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(lease_of_a_proxy_is_valid_from_when_it_was_requested, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(known_proxies_keep_their_zone_alive, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(short_lived_proxies_count, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(proxies_of_any_zone_cover_machines_of_unknown_zone, fixture_setup,
                                        fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
