/* Proofs of absence on a leader: heartbeats, leases, releases and lists. test_absence.c tests the pure
 * functions alone. */
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

static void usage_counts_until_absence(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_ARRAY, 2);
    struct amb_team *team = &node->settings.teams[0];
    bind_task(job, 0, "m-1", 1);
    bind_task(job, 1, "m-1", 2);
    struct amb_machine *machine = amb_machine_get(node, "m-1", false);
    assert_true(team->used.gpus == 2 && machine->used.gpus == 2);
    amb_task_request_stop(node, &job->tasks[0], 0, "test");
    assert_true(team->used.gpus == 2);
    amb_task_unbind(node, &job->tasks[0], "test");
    assert_true(team->used.gpus == 1 && machine->used.gpus == 1);
}

/* ---- proof by lease expiry ---- */

/* Silence proves absence only once the lease has expired, only for a machine that has acknowledged our token,
 * only with a read sent after the expiry, and only if no lease proxy may have answered the machine since. */
static void lease_expiry_proves_absence(void **state) {
    (void)state;
    static const struct {
        uint64_t token;
        /* Times after the response. read -1: none; lease_proxy -1: none, otherwise when it was last known. */
        amb_ms silent, read, lease_proxy;
        bool absent;
    } rows[] = {
        {TERM, 9000, 9000, -1, false},       {TERM, 10000, 10000, -1, false},  {TERM, 11000, 11000, -1, true},
        {TERM - 1, 11000, 11000, -1, false}, {TERM, 11000, 9000, -1, false},   {TERM, 11000, -1, -1, false},
        {TERM, 11000, 11000, 5000, false},   {TERM, 16000, 16000, 5000, true},
    };
    node->peers.count = 1; /* an unfenced peer: it may answer machines that have not acknowledged our token */
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_job *job =
            add_active_job(i ? (char[]){'w', 'k', '-', (char)('0' + i), 0} : "wk-0", AMB_JOB_KIND_SERVICE, 1);
        char name[16];
        snprintf(name, sizeof name, "m-%zu", i);
        struct amb_task *task = bind_task(job, 0, name, 1);
        struct amb_agent_task seen = make_agent_task(job->ref, 0, 1, AMB_AGENT_TASK_RUNNING, AMB_EXIT_NONE);
        amb_ms now = amb_now();
        node->controller.leader_since = now;
        assert_true(deliver_heartbeat(name, 1, 1, rows[i].token, now, &seen, 1));
        node->watch.last_read_sent_at = rows[i].read < 0 ? 0 : now + rows[i].read;
        node->watch.fresh_reads_in_flight = 1; /* suppresses the read that would be requested */
        int zone = amb_catalog_find_or_add_zone(&node->catalog, "a");
        node->lease_proxy.zone_covered_at[zone] = rows[i].lease_proxy < 0 ? 0 : now + rows[i].lease_proxy;
        amb_fleet_tick(node, now + rows[i].silent);
        if ((task->machine == NULL) != rows[i].absent) fail_msg("row %zu", i);
    }
}

/* An agent may treat any response with status 200 as a renewal, even one to a duplicate that arrives late. */
static void answering_a_copy_counts_as_renewal(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
    struct amb_task *task = bind_task(job, 0, "m-1", 1);
    struct amb_agent_task seen = make_agent_task("wk-1", 0, 1, AMB_AGENT_TASK_RUNNING, AMB_EXIT_NONE);
    amb_ms now = amb_now();
    assert_true(deliver_heartbeat("m-1", 1, 2, TERM, now, &seen, 1));
    assert_true(deliver_heartbeat("m-1", 1, 1, TERM, now + 6000, &seen, 1));
    node->watch.last_read_sent_at = now + 20000;
    amb_fleet_tick(node, now + 11000);
    assert_non_null(task->machine);
    amb_fleet_tick(node, now + 17000);
    assert_null(task->machine);
}

/* The span is a lease of 10 s on a clock that may be 1% off, plus a quarter heartbeat interval for work in
 * progress. */
static void leases_expire_with_a_margin(void **state) {
    (void)state;
    static const struct {
        amb_ms silent;
        bool absent;
    } rows[] = {{10050, false}, {10300, false}, {10400, true}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
        machine_up("m-1", 0);
        bind_task(job, 0, "m-1", 1)->state = AMB_TASK_SEEN;
        fake_clock_advance(rows[i].silent);
        node->watch.last_read_sent_at = amb_now();
        amb_fleet_tick(node, amb_now());
        if ((job->tasks[0].machine == NULL) != rows[i].absent)
            fail_msg("after %lld ms: %s", (long long)rows[i].silent,
                     rows[i].absent ? "still counted" : "taken as absent");
    }
}

/* The tasks of a machine that never acknowledged our token are proven absent once no other node can have
 * answered it for the duration of a lease. */
static void unverified_machine_fenced_by_all_peers(void **state) {
    (void)state;
    static const struct {
        const char *what;
        amb_ms fenced, answered, read; /* how long ago */
        uint64_t fenced_term;          /* of the peer */
        bool lost;
    } rows[] = {
        {"for longer than a lease", 12000, 90000, 500, TERM, true},
        {"not for a lease yet", 9000, 90000, 500, TERM, false},
        {"a peer is fenced for an earlier term only", 12000, 90000, 500, TERM - 1, false},
        {"we have answered it since", 12000, 5000, 500, TERM, false},
        {"the read is older than the lease's end", 12000, 90000, 3000, TERM, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_teardown(NULL);
        setup(NULL);
        amb_ms now = amb_now() + 1000000;
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
        struct amb_task *task = bind_task(job, 0, "m-1", 1);
        struct amb_machine *machine = amb_machine_get(node, "m-1", false);
        machine->type_index = machine->zone_index = 0;
        machine->exists_since = machine->first_known_at = now - 20000;
        machine->last_response_at = now - rows[i].answered;
        node->controller.leader_since = now - 20000;
        node->watch.last_read_sent_at = now - rows[i].read;
        node->watch.fresh_reads_in_flight = 1; /* suppresses calls */
        node->peers.count = 1;
        node->peers.list[0].fenced_term = rows[i].fenced_term;
        node->peers.list[0].fenced_at = now - rows[i].fenced;
        amb_fleet_tick(node, now);
        if ((task->state == AMB_TASK_WAITING) != rows[i].lost) fail_msg("%s", rows[i].what);
    }
}

/* ---- proof by a release or a list ---- */

static void releases_count_once_they_are_confirmed(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
    struct amb_machine *machine = machine_up("m-1", 0);
    bind_task(job, 0, "m-1", 1);
    amb_cloud_release(node, machine, "test");
    amb_cloud_tick(node, amb_now());
    fake_answer(open_call("POST", "/machines/release"), 0, NULL);
    if (!job->tasks[0].machine) fail_msg("taken as absent though the release was not confirmed");
    fake_clock_advance(500);
    amb_cloud_tick(node, amb_now());
    fake_answer(open_call("POST", "/machines/release"), 200, NULL);
    assert_null(job->tasks[0].machine);
}

/* Answers with a page of the cloud's list: one machine, or none if name is NULL. */
static void answer_list(struct fake_call *call, const char *name, const char *stance, bool truncated) {
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 2);
    amb_cbor_write_string(&buffer, "rigs"), amb_cbor_write_list(&buffer, name ? 1 : 0);
    if (name) {
        amb_cbor_write_map(&buffer, 2);
        amb_cbor_write_string(&buffer, "ref"), amb_cbor_write_string(&buffer, name);
        amb_cbor_write_string(&buffer, "stance"), amb_cbor_write_string(&buffer, stance);
    }
    amb_cbor_write_string(&buffer, "truncated"), amb_cbor_write_bool(&buffer, truncated);
    fake_answer(call, 200, &buffer);
}

/* Lists lag by 5 s nominally and by up to twice that; 2.2 lags and a heartbeat interval are 12 s. */
static void what_lists_prove(void **state) {
    (void)state;
    enum { NEVER = -1 };
    static const struct {
        const char *what;
        amb_ms known, reported, listed; /* how long before the list was requested */
        amb_ms takes;                   /* time until the list arrives */
        const char *stance;             /* NULL: it does not name the machine */
        bool absent;
    } rows[] = {
        {"known and listed long ago, and left out", 60000, 60000, 60000, 0, NULL, true},
        {"never listed, and known long ago", 60000, NEVER, NEVER, 0, NULL, true},
        {"known recently", 11000, NEVER, NEVER, 0, NULL, false},
        {"recent heartbeat", 60000, 11000, 60000, 0, NULL, false},
        {"listed recently", 60000, 60000, 11000, 0, NULL, false},
        {"the list comes late", 60000, 11000, 60000, 2500, NULL, false},
        {"listed as running", 60000, 60000, 60000, 0, "running", false},
        {"listed as failed", 60000, 60000, 60000, 0, "failed", true},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
        struct amb_machine *machine = machine_up("m-1", 0);
        bind_task(job, 0, "m-1", 1);
        amb_ms now = amb_now();
        machine->exists_since = machine->first_known_at = now - rows[i].known;
        machine->last_heartbeat_at = rows[i].reported == NEVER ? 0 : now - rows[i].reported;
        machine->last_listed_at = rows[i].listed == NEVER ? 0 : now - rows[i].listed;
        amb_cloud_tick(node, now);
        fake_clock_advance(rows[i].takes);
        answer_list(open_call("GET", "/machines"), rows[i].stance ? "m-1" : NULL, rows[i].stance, false);
        amb_fleet_tick(node, amb_now());
        if ((job->tasks[0].machine == NULL) != rows[i].absent)
            fail_msg("%s: %s", rows[i].what, rows[i].absent ? "still counted" : "taken as absent");
    }
}

/* Absence from an incomplete list proves nothing. */
static void incomplete_lists_prove_nothing(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int status; /* of the second page */
        bool absent;
    } rows[] = {
        {"all pages come", 200, true}, {"the last page is rejected", 503, false}, {"no answer", 0, false}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
        struct amb_machine *machine = machine_up("m-1", 0);
        bind_task(job, 0, "m-1", 1);
        machine->exists_since = machine->first_known_at = machine->last_heartbeat_at = amb_now() - 60000;
        amb_cloud_tick(node, amb_now());
        answer_list(open_call("GET", "/machines"), "m-0", "running", true);
        if (!job->tasks[0].machine) fail_msg("taken as absent though more of the list is to come");
        struct fake_call *second = open_call("GET", "/machines?after=m-0");
        if (rows[i].status == 200)
            answer_list(second, NULL, NULL, false);
        else
            fake_answer(second, rows[i].status, NULL);
        if ((job->tasks[0].machine == NULL) != rows[i].absent)
            fail_msg("%s: %s", rows[i].what, rows[i].absent ? "still counted" : "taken as absent");
    }
}

/* ---- machines that have not acknowledged our token ---- */

/* Tasks on a machine may be on record in blocks that were not read yet. */
static void nothing_is_concluded_before_the_records_are_read(void **state) {
    (void)state;
    node->controller.restored_at = 0;
    struct sent_heartbeat heartbeat = heartbeat_of_running_task();
    send_heartbeat(heartbeat);
    assert_int_equal(latest_reply()->status, 200);
    if (count_replied_commands("halt")) fail_msg("a task that is not known yet is told to stop");
    heartbeat.sequence++;
    heartbeat.task_state = "exited";
    send_heartbeat(heartbeat);
    if (count_replied_commands("clear")) fail_msg("the result of a task that is not known yet is cleared");
}

static void unverified_machines_are_probed_with_the_token_alone(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
    struct amb_machine *machine = machine_in("m-1", 0);
    strcpy(machine->address, "worker:1");
    bind_task(job, 0, "m-1", 1);
    node->peers.count = 1; /* the peer may still answer it */
    fake_clock_advance(2500);
    amb_fleet_tick(node, amb_now());
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 1);
    amb_cbor_write_string(&buffer, "watch"), amb_cbor_write_uint(&buffer, 3);
    fake_answer(open_call("GET", "/inspect"), 200, &buffer);
    struct fake_call *commands = open_call("POST", "/commands");
    assert_non_null(commands);
    uint64_t token = 0, incarnation = 0;
    amb_cbor_get_uint(amb_cbor_map_get(commands->cbor_body, "baton"), &token);
    amb_cbor_get_uint(amb_cbor_map_get(commands->cbor_body, "watch"), &incarnation);
    assert_int_equal(token, TERM);
    assert_int_equal(incarnation, 3);
    assert_int_equal(amb_cbor_list_length(amb_cbor_map_get(commands->cbor_body, "orders")), 0);
    fake_clock_advance(12000);
    node->election.renewed_at = amb_now();
    amb_fleet_tick(node, amb_now());
    assert_false(machine->release_pending);
    fake_clock_advance(1000);
    node->election.renewed_at = amb_now();
    amb_fleet_tick(node, amb_now());
    if (!machine->release_pending) fail_msg("not released after more than 1.5 leases");
}

/* A machine whose heartbeats arrive, but which never acknowledges our token. */
static void machine_that_ignores_replies(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint64_t token;
        bool has_task, lease_proxy;
        amb_ms since, loaded,
            reported; /* how long ago: it became unverified, records were restored, it sent a heartbeat */
        bool released;
    } rows[] = {
        {"a task there, just within 1.5 leases", TERM - 1, true, false, 15000, 60000, 100, false},
        {"a task there, beyond 1.5 leases", TERM - 1, true, false, 15001, 60000, 100, true},
        {"a task there, records read since", TERM - 1, true, false, 60000, 15000, 100, false},
        {"nothing there, within 3 leases", TERM - 1, false, false, 30000, 60000, 100, false},
        {"nothing there, beyond 3 leases", TERM - 1, false, false, 30001, 60000, 100, true},
        {"it has acknowledged our token", TERM, true, false, 60000, 60000, 100, false},
        {"a lease proxy answers it", TERM - 1, true, true, 60000, 60000, 100, false},
        {"no recent heartbeat", TERM - 1, true, false, 60000, 60000, 2001, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_teardown(NULL);
        setup(NULL);
        amb_ms now = amb_now() + 1000000;
        node->election.renewed_at = node->controller.leader_since =
            now;               /* keeps unresponsive machines out of the test */
        node->peers.count = 1; /* unfenced */
        node->lease_proxy.known_count = 1;
        node->lease_proxy.known[0].present = rows[i].lease_proxy;
        node->lease_proxy.known[0].zone = amb_catalog_find_or_add_zone(&node->catalog, "a");
        if (rows[i].has_task) bind_task(add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1), 0, "m-1", 1);
        node->controller.ready = false; /* suppresses run commands */
        assert_true(deliver_heartbeat("m-1", 1, 1, rows[i].token, now - rows[i].reported, NULL, 0));
        struct amb_machine *machine = amb_machine_get(node, "m-1", false);
        machine->state_since = now - rows[i].since;
        node->controller.restored_at = now - rows[i].loaded;
        node->watch.fresh_reads_in_flight = 1;
        amb_fleet_tick(node, now);
        if (machine->release_pending != rows[i].released) fail_msg("%s", rows[i].what);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(usage_counts_until_absence, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(lease_expiry_proves_absence, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(answering_a_copy_counts_as_renewal, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(leases_expire_with_a_margin, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(unverified_machine_fenced_by_all_peers, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(releases_count_once_they_are_confirmed, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(what_lists_prove, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(incomplete_lists_prove_nothing, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(nothing_is_concluded_before_the_records_are_read, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(unverified_machines_are_probed_with_the_token_alone, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(machine_that_ignores_replies, setup, fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
