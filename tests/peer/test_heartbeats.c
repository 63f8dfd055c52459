/* Heartbeats between controllers: what a peer's message confirms, and the cancellations that it carries. */
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

static void confirmations_by_peers(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool speaks_first;
        struct peer_state said;
        bool other_answers;
        bool confirms; /* our lead, and that no cancellation is unknown to us */
        bool fences;   /* proves that nobody answers under an older term */
    } rows[] = {
        {"an answer", false, {.term = TERM}, true, true, true},
        {"a message of its own", true, {.term = TERM}, true, false, false},
        {"it leads under an older term", false, {.term = TERM - 1, .leading = true}, true, false, false},
        {"it leads", false, {.term = TERM, .leading = true}, true, false, false},
        {"it has not heard of our term", false, {.term = TERM - 1}, true, true, false},
        {"it knows a higher term", false, {.term = TERM + 1}, true, false, false},
        {"it has not read the state service since it began",
         false,
         {.term = TERM, .unloaded = true},
         true,
         false,
         true},
        {"the other peer does not answer", false, {.term = TERM}, false, false, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        amb_ms asked = amb_now();
        start_peer_heartbeats();
        fake_clock_advance(300);
        if (rows[i].other_answers) answer_peer_heartbeat(1, (struct peer_state){.term = TERM});
        if (rows[i].speaks_first)
            receive_peer_heartbeat(0, rows[i].said);
        else
            answer_peer_heartbeat(0, rows[i].said);
        amb_ms confirmed = amb_election_peers_confirmed_at(node, amb_now());
        if (confirmed != (rows[i].confirms ? asked : 0))
            fail_msg("%s: confirmed %lld ms after the question", rows[i].what,
                     (long long)(confirmed - asked));
        amb_ms quiet = amb_election_is_leader(node) ? amb_election_peers_fenced_at(node) : 0;
        if (quiet != (rows[i].fences ? asked + 300 : 0))
            fail_msg("%s: nobody answers under an older term since %lld ms after the question", rows[i].what,
                     (long long)(quiet - asked));
    }
}

/* The defence against a key-value store that refuses the leader alone, and then everybody, while another
 * controller confirms cancellations to users. */
static void cancellations_of_peers_are_applied(void **state) {
    (void)state;
    for (int speaks_first = 0; speaks_first <= 1; speaks_first++) {
        fixture_reset();
        start_peer_heartbeats();
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
        bind_task(job, 0, "m-1", 1);
        struct sent_heartbeat sent = {"m-1", "a", 1, 1, TERM, "wk-1/0", 1, "running"};
        send_heartbeat(sent);
        char cancelled[64];
        snprintf(cancelled, sizeof cancelled, "[\"wk-1\",%lld,61]", (long long)amb_wall_ms());
        (speaks_first ? receive_peer_heartbeat : answer_peer_heartbeat)(0, (struct peer_state){.term = TERM, .cancelled = cancelled});
        sent.sequence++;
        send_heartbeat(sent);
        if (count_replied_commands("halt") != 1)
            fail_msg("a peer %s of a cancellation, and the task is not told to stop",
                     speaks_first ? "speaks" : "answers");
    }
}

static void cancellations_are_sent_to_peers(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
    amb_job_apply_cancel_hint(node, "wk-1", amb_wall_ms(), 61);
    assert_int_equal(job->state, AMB_JOB_CANCELLED);
    node->watch.known_revision = 1234;
    start_peer_heartbeats();
    struct fake_call *heartbeat = open_call("POST", "/peer/heartbeat");
    amb_buf_append(&heartbeat->body, "", 1);
    if (!strstr(heartbeat->body.data, "\"epoch\":1234"))
        fail_msg("a question does not say what the node knows");
    if (!strstr(heartbeat->body.data, "wk-1"))
        fail_msg("a message to a peer does not name the cancelled job");
    receive_peer_heartbeat(0, (struct peer_state){.term = TERM});
    assert_int_equal(latest_reply()->status, 200);
    amb_buf_append(&latest_reply()->body, "", 1);
    if (!strstr(latest_reply()->body.data, "wk-1")) fail_msg("an answer to a peer does not name the cancelled job");
}

/* A cancellation in a peer's message stops the tasks of a leader that can't read the store's changes. */
static void cancellation_by_hint(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
    struct amb_task *task = bind_task(job, 0, "m-1", 1);
    struct amb_agent_task seen = make_agent_task("wk-1", 0, 1, AMB_AGENT_TASK_RUNNING, AMB_EXIT_NONE);
    deliver_heartbeat("m-1", 1, 1, TERM, amb_now(), &seen, 1);
    amb_job_apply_cancel_hint(node, "wk-1", amb_wall_ms(), 2);
    assert_true(task->stop_requested);
    deliver_heartbeat("m-1", 1, 2, TERM, amb_now(), &seen, 1);
    assert_int_equal(count_commands(AMB_COMMAND_STOP), 1);
}

/* The heartbeat of a large fleet's leader fits in a message, also when everything has changed. */
static void heartbeats_fit(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool changed;
        size_t most;
    } rows[] = {{"everything has changed", true, AMB_HEARTBEAT_MAX_BYTES},
                {"nothing has", false, AMB_HEARTBEAT_MAX_BYTES / 8}};
    for (uint32_t i = 0; i < 1300; i++) {
        char name[AMB_NAME_SIZE];
        snprintf(name, sizeof name, "m-%06u", i);
        struct amb_machine *machine = amb_machine_get(node, name, true);
        amb_machine_reserve_images(machine, AMB_IMAGES_MAX);
        for (machine->image_count = 0; machine->image_count < AMB_IMAGES_MAX; machine->image_count++) {
            snprintf(machine->images[machine->image_count], AMB_NAME_SIZE, "img-%02u", machine->image_count);
            machine->image_sizes_gb[machine->image_count] = 65.5;
        }
    }
    for (size_t i = 0; i < ROWS(rows); i++) {
        for (struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next)
            machine->images_changed = rows[i].changed;
        char *text = amb_peer_encode_heartbeat(node);
        size_t len = strlen(text);
        free(text);
        if (len < 1000 || len > rows[i].most) fail_msg("%s: %zu bytes", rows[i].what, len);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(confirmations_by_peers, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(cancellations_of_peers_are_applied, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(cancellations_are_sent_to_peers, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(cancellation_by_hint, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(heartbeats_fit, setup, fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
