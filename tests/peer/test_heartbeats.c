/* Heartbeats between controllers: which messages confirm the leadership, and the cancellations that they
 * carry. */
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

static void confirmations_by_peers(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool sends_heartbeat;
        struct peer_state status;
        bool other_replies;
        bool confirms; /* our leadership, and that we know every cancellation */
        bool fences;   /* proves that no node responds under an older term */
    } rows[] = {
        {"a reply", false, {.term = TERM}, true, true, true},
        {"a heartbeat of its own", true, {.term = TERM}, true, false, false},
        {"it leads under an older term", false, {.term = TERM - 1, .leading = true}, true, false, false},
        {"it leads", false, {.term = TERM, .leading = true}, true, false, false},
        {"it does not know our term", false, {.term = TERM - 1}, true, true, false},
        {"it knows a higher term", false, {.term = TERM + 1}, true, false, false},
        {"it has not read the state service since it started",
         false,
         {.term = TERM, .unloaded = true},
         true,
         false,
         true},
        {"the other peer does not reply", false, {.term = TERM}, false, false, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        amb_ms sent_at = amb_now();
        start_peer_heartbeats();
        fake_clock_advance(300);
        if (rows[i].other_replies) answer_peer_heartbeat(1, (struct peer_state){.term = TERM});
        if (rows[i].sends_heartbeat)
            receive_peer_heartbeat(0, rows[i].status);
        else
            answer_peer_heartbeat(0, rows[i].status);
        amb_ms confirmed = amb_election_peers_confirmed_at(node, amb_now());
        if (confirmed != (rows[i].confirms ? sent_at : 0))
            fail_msg("%s: confirmed %lld ms after our heartbeat", rows[i].what,
                     (long long)(confirmed - sent_at));
        amb_ms fenced_at = amb_election_is_leader(node) ? amb_election_peers_fenced_at(node) : 0;
        if (fenced_at != (rows[i].fences ? sent_at + 300 : 0))
            fail_msg("%s: no node responds under an older term since %lld ms after our heartbeat",
                     rows[i].what, (long long)(fenced_at - sent_at));
    }
}

/* Guards against a key-value store that refuses first the leader alone and then every controller, while
 * another controller confirms cancellations to users: the leader must learn of them from its peers. */
static void cancellations_of_peers_are_applied(void **state) {
    (void)state;
    for (int sends_heartbeat = 0; sends_heartbeat <= 1; sends_heartbeat++) {
        fixture_reset();
        start_peer_heartbeats();
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
        bind_task(job, 0, "m-1", 1);
        struct sent_heartbeat sent = heartbeat_of_running_task();
        send_heartbeat(sent);
        char cancelled[64];
        snprintf(cancelled, sizeof cancelled, "[\"wk-1\",%lld,61]", (long long)amb_wall_ms());
        (sends_heartbeat ? receive_peer_heartbeat : answer_peer_heartbeat)(
            0, (struct peer_state){.term = TERM, .cancelled = cancelled});
        sent.sequence++;
        send_heartbeat(sent);
        if (count_replied_commands("halt") != 1)
            fail_msg("a cancellation in a peer's %s does not stop the task",
                     sends_heartbeat ? "heartbeat" : "reply");
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
        fail_msg("a heartbeat does not state the revision that the node knows");
    if (!strstr(heartbeat->body.data, "wk-1")) fail_msg("a heartbeat does not list the cancelled job");
    receive_peer_heartbeat(0, (struct peer_state){.term = TERM});
    assert_int_equal(latest_reply()->status, 200);
    amb_buf_append(&latest_reply()->body, "", 1);
    if (!strstr(latest_reply()->body.data, "wk-1")) fail_msg("a reply does not list the cancelled job");
}

/* A cancellation in a peer's message stops the job's tasks even if the leader can't read the changes of the
 * store. */
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

/* The heartbeat of a large fleet's leader fits into a message even if the images of every machine have
 * changed. */
static void heartbeats_fit(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool changed;
        size_t max_bytes;
    } rows[] = {{"everything has changed", true, AMB_HEARTBEAT_MAX_BYTES},
                {"nothing has changed", false, AMB_HEARTBEAT_MAX_BYTES / 8}};
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
        if (len < 1000 || len > rows[i].max_bytes) fail_msg("%s: %zu bytes", rows[i].what, len);
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
