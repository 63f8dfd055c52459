/* Starts rest on a fresh read of the state service that is sent after the heartbeat which they answer has
 * arrived. Leaders once ordered starts of jobs whose cancellation had been confirmed to a user
 * (docs/incidents, late-starts.md). The tests take the part of the agents and of the state service. */
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

#include "amberpin/kvstore/client.h"
#include "amberpin/kvstore/token_budget.h"
#include "amberpin/node/memory_budget.h"

static const char CHANGES_PATH[] = "/follow"; /* a fresh read of all changes */
enum { FIRST_REVISION = 100, CANCEL_REVISION = 150, LATE_MS = 2400 /* of 4 s, the agent's timeout */ };

/* ---- agents and reads ---- */

static uint64_t sequence;

/* Valid until the next call. */
static const char *machine_name(uint32_t number) {
    static char name[AMB_NAME_SIZE];
    snprintf(name, sizeof name, "m-%u", number);
    return name;
}

static struct amb_http_req *report(const char *machine) {
    return send_heartbeat(
        (struct sent_heartbeat){.machine = machine, .incarnation = 1, .sequence = ++sequence, .token = TERM});
}

static struct amb_http_req *report_running(const char *machine, const char *task, uint64_t attempt) {
    return send_heartbeat((struct sent_heartbeat){.machine = machine,
                                                  .incarnation = 1,
                                                  .sequence = ++sequence,
                                                  .token = TERM,
                                                  .task = task,
                                                  .attempt = attempt,
                                                  .task_state = "running"});
}

static struct amb_http_req *report_stopped(const char *machine, uint32_t tasks) {
    return send_heartbeat((struct sent_heartbeat){
        .machine = machine, .incarnation = 1, .sequence = ++sequence, .token = TERM, .stopped_tasks = tasks});
}

static size_t open_reads(void) {
    return fake_count_open_calls("GET", CHANGES_PATH);
}

static void answer_read(struct fake_call *read) {
    answer_change_list(read, FIRST_REVISION, NULL, AMB_JOB_QUEUED, 0);
    fake_clock_advance(0); /* responses are sent from the event loop */
}

static void answer_oldest_read(void) {
    answer_read(open_call("GET", CHANGES_PATH));
}

static void answer_remaining_reads(void) {
    while (amb_watch_is_reading_fresh(node)) {
        fake_clock_advance(10);
        if (open_reads()) answer_oldest_read();
    }
}

static void fail_oldest_read(int status) {
    fake_answer(open_call("GET", CHANGES_PATH), status, NULL);
    fake_clock_advance(0);
}

/* The read that was sent after this one. Calls are listed in the order in which they were sent. */
static struct fake_call *next_read(struct fake_call *read) {
    do read++;
    while (strncmp(read->path, CHANGES_PATH, strlen(CHANGES_PATH)) != 0);
    return read;
}

/* A job of one task that is bound to m-1, which has acknowledged the token. */
static struct amb_task *bound_task(void) {
    machine_up("m-1", 0);
    return bind_task(add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1), 0, "m-1", 1);
}

/* A job whose tasks are bound to machines from m-0 on, which have acknowledged the token. */
static struct amb_job *job_on_machines(enum amb_job_kind kind, uint32_t machines, uint32_t tasks_each) {
    struct amb_job *job = add_active_job("wk-1", kind, machines * tasks_each);
    for (uint32_t machine = 0; machine < machines; machine++) {
        const char *name = machine_name(machine);
        machine_up(name, 0);
        for (uint32_t i = 0; i < tasks_each; i++) bind_task(job, machine * tasks_each + i, name, 1);
    }
    return job;
}

/* Gives the leader its share of this many requests per second to the state service. */
static void limit_store_requests(double requests_per_second) {
    node->settings.store_rps = requests_per_second;
    amb_store_init(&node->store, &node->settings, 1000);
    amb_store_set_leadership(&node->store, true);
    node->election.ttl = 100 * LEADER_TTL_MS; /* its renewals are not part of these tests */
}

static void ignore_read(void *context, bool ok) {
    (void)context, (void)ok;
}

/* ---- when reads are sent ---- */

static void a_start_waits_for_a_read(void **state) {
    (void)state;
    struct amb_task *task = bound_task();
    report("m-1");
    assert_int_equal(count_replies(), 0);
    assert_int_equal(open_reads(), 1);
    assert_false(task->start_sent);
    answer_oldest_read();
    assert_int_equal(latest_reply()->status, 200);
    assert_int_equal(count_replied_commands("run"), 1);
    assert_true(task->start_sent);
}

/* The user may have been told of the cancellation after that read, and before the agent sent the heartbeat.
 */
static void a_read_sent_before_the_heartbeat_proves_nothing(void **state) {
    (void)state;
    bound_task();
    amb_watch_read_fresh(node, ignore_read, NULL);
    report("m-1");
    answer_oldest_read();
    assert_int_equal(count_replies(), 0);
    fake_clock_advance(100); /* reads are spaced out */
    assert_int_equal(open_reads(), 1);
    answer_oldest_read();
    assert_int_equal(count_replied_commands("run"), 1);
}

/* The function that orders starts refuses without a read of after the heartbeat, whoever calls it. */
static void an_earlier_read_allows_no_start(void **state) {
    (void)state;
    struct amb_machine *machine = bound_task()->machine;
    struct amb_agent_command entries[2];
    struct amb_command_list list = {entries, ROWS(entries), 0};
    struct amb_agent_heartbeat heartbeat = {
        .incarnation = 1, .sequence = 1, .fencing_token = TERM, .reclaim_notice_s = -1};
    strcpy(heartbeat.machine, "m-1");
    strcpy(heartbeat.type, "g8");
    strcpy(heartbeat.zone, "a");
    amb_watch_read_fresh(node, ignore_read, NULL);
    answer_oldest_read();
    amb_heartbeat_process(node, &heartbeat, amb_now(), &list);
    assert_true(amb_machine_has_start_due(node, machine));
    amb_command_list_add_starts(node, machine, &list);
    assert_int_equal(list.count, 0);
    amb_watch_read_fresh(node, ignore_read, NULL);
    answer_oldest_read();
    amb_command_list_add_starts(node, machine, &list);
    assert_int_equal(list.count, 1);
}

static void a_quiet_fleet_reads_nothing(void **state) {
    (void)state;
    machine_up("m-1", 0);
    for (int i = 0; i < 5; i++) {
        report("m-1");
        fake_clock_advance(1000);
    }
    assert_int_equal(fake_count_sent_calls(CHANGES_PATH), 0);
}

static void one_read_answers_all_that_wait(void **state) {
    (void)state;
    enum { MACHINES = 20 };
    struct amb_job *job = job_on_machines(AMB_JOB_KIND_ARRAY, MACHINES, 1);
    for (uint32_t i = 0; i < MACHINES; i++) report(machine_name(i));
    /* The first heartbeat's read was in flight when the others arrived. */
    answer_oldest_read();
    fake_clock_advance(100);
    assert_int_equal(count_replies(), 1);
    answer_oldest_read();
    assert_int_equal(count_replies(), MACHINES);
    assert_int_equal(fake_count_sent_calls(CHANGES_PATH), 2);
    for (uint32_t i = 0; i < MACHINES; i++) assert_true(job->tasks[i].start_sent);
}

/* However many tasks an array has, reads take no more than a quarter of the leader's requests to the state
 * service, and every machine gets its starts with the first response. */
static void reads_of_a_large_array_are_bounded(void **state) {
    (void)state;
    enum { MACHINES = 2500, TASKS_PER_MACHINE = 10, ANSWER_MS = 5, STORE_RPS = 800, PERIOD_MS = 1000 };
    const size_t most_reads = STORE_RPS / 2 / 4; /* half of the requests are the leader's */
    limit_store_requests(STORE_RPS);
    struct amb_job *job = job_on_machines(AMB_JOB_KIND_ARRAY, MACHINES, TASKS_PER_MACHINE);
    uint32_t reported = 0;
    size_t sent = 0; /* within the period */
    for (int ms = 0; ms < PERIOD_MS; ms++) {
        for (; reported < MACHINES * (uint32_t)(ms + 1) / PERIOD_MS; reported++)
            report(machine_name(reported));
        if (ms % ANSWER_MS == 0 && open_reads()) answer_oldest_read();
        sent = fake_count_sent_calls(CHANGES_PATH);
        fake_clock_advance(1);
    }
    assert_in_range(sent, 10, most_reads);
    answer_remaining_reads();
    assert_int_equal(count_replies(), MACHINES);
    for (uint32_t i = 0; i < MACHINES * TASKS_PER_MACHINE; i++) assert_true(job->tasks[i].start_sent);
}

/* Starts that become due one at a time, each just after the read before was answered, share no reads. Users
 * and the leadership lease must find request tokens all the same. */
static void reads_leave_requests_for_users_and_renewals(void **state) {
    (void)state;
    enum { MACHINES = 4000, STORE_RPS = 200, PERIOD_S = 10, EVERY_MS = 3, RENEWAL_MS = 250 };
    const size_t own_rps = STORE_RPS / 2;                       /* half of the requests are the leader's */
    const size_t most_reads = own_rps / 4 * PERIOD_S + own_rps; /* and a burst of one second's worth */
    limit_store_requests(STORE_RPS);
    job_on_machines(AMB_JOB_KIND_ARRAY, MACHINES, 1);
    for (uint32_t ms = 0, reported = 0; ms < PERIOD_S * 1000; ms++) {
        if (ms % EVERY_MS == 0 && reported < MACHINES) report(machine_name(reported++));
        if (ms % EVERY_MS == EVERY_MS - 1 && open_reads()) answer_oldest_read();
        if (!amb_store_can_write_for_user(&node->store, 1, 0)) fail_msg("no token for a user at %u ms", ms);
        if (ms % RENEWAL_MS == 0) {
            amb_store_renew_lease(&node->store, 7, NULL, NULL);
            answer_lease(open_call("POST", "/leases/7/extend"), 7);
        }
        fake_clock_advance(1);
    }
    assert_in_range(fake_count_sent_calls(CHANGES_PATH), 10, most_reads);
    answer_remaining_reads();
}

/* Guards against a start that was ordered, or not counted, because a read took long: the next one is sent
 * although it is in flight, and its answer serves all that have waited. */
static void a_slow_read_does_not_hold_up_later_ones(void **state) {
    (void)state;
    struct amb_job *job = job_on_machines(AMB_JOB_KIND_ARRAY, 2, 1);
    report("m-0");
    struct fake_call *slow = open_call("GET", CHANGES_PATH);
    fake_clock_advance(10);
    report("m-1");
    assert_int_equal(open_reads(), 1);
    fake_clock_advance(100);
    assert_int_equal(open_reads(), 2);
    answer_read(next_read(slow));
    assert_int_equal(count_replies(), 2);
    assert_true(job->tasks[0].start_sent && job->tasks[1].start_sent);
    answer_read(slow); /* changes nothing */
    assert_int_equal(count_replies(), 2);
}

static void reads_in_flight_are_bounded(void **state) {
    (void)state;
    enum { MOST = 4, ROUNDS = 10 };
    for (int i = 0; i < ROUNDS; i++) {
        amb_watch_read_fresh(node, ignore_read, NULL);
        fake_clock_advance(150);
    }
    assert_int_equal(open_reads(), MOST);
    answer_oldest_read();
    fake_clock_advance(150);
    assert_int_equal(open_reads(), MOST);
}

/* A page that left the state service before a newer one, and arrives after it, undoes nothing. */
static void an_older_page_undoes_nothing(void **state) {
    (void)state;
    struct amb_task *task = bound_task();
    struct amb_job *job = task->job;
    job->revision = FIRST_REVISION - 1;
    amb_watch_read_fresh(node, ignore_read, NULL);
    struct fake_call *older = open_call("GET", CHANGES_PATH);
    amb_watch_read_fresh(node, ignore_read, NULL);
    fake_clock_advance(100);
    struct fake_call *newer = next_read(older);
    answer_change_list(newer, CANCEL_REVISION, "wk-1", AMB_JOB_CANCELLED, CANCEL_REVISION);
    assert_int_equal(job->state, AMB_JOB_CANCELLED);
    answer_change_list(older, FIRST_REVISION, "wk-1", AMB_JOB_QUEUED, FIRST_REVISION);
    assert_int_equal(job->state, AMB_JOB_CANCELLED);
    assert_int_equal(job->revision, CANCEL_REVISION);
    assert_int_equal(node->watch.known_revision, CANCEL_REVISION);
    assert_true(amb_watch_has_fresh_read(node, 2));
}

/* ---- what the read shows ---- */

static void a_cancellation_in_the_read_prevents_the_start(void **state) {
    (void)state;
    struct amb_task *task = bound_task();
    report("m-1");
    answer_change_list(open_call("GET", CHANGES_PATH), CANCEL_REVISION, "wk-1", AMB_JOB_CANCELLED,
                       CANCEL_REVISION);
    fake_clock_advance(0);
    assert_int_equal(latest_reply()->status, 200);
    assert_int_equal(count_replied_commands("run"), 0);
    assert_false(task->start_sent);
}

/* ---- reads that are late or fail ---- */

/* The response is sent in time without the start, whose resources stay reserved, and which is not counted as
 * missed. The next heartbeat's response carries it. */
static void a_read_that_fails_costs_one_response(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int status;     /* of the read; -1: it is not answered */
        amb_ms wait_ms; /* until the response must have been sent */
    } rows[] = {
        {"refused", 503, 0}, {"too many requests", 429, 0}, {"no answer", 0, 0}, {"late", -1, LATE_MS}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        sequence = 0;
        struct amb_task *task = bound_task();
        const struct amb_machine *machine = task->machine;
        for (int reports = 1; reports <= 4; reports++) {
            node->election.renewed_at = amb_now();
            report("m-1");
            assert_int_equal(count_replies(), reports - 1);
            if (rows[i].status >= 0) fail_oldest_read(rows[i].status);
            node->election.renewed_at = amb_now() + rows[i].wait_ms;
            fake_clock_advance(rows[i].wait_ms);
            if (count_replies() != (size_t)reports || latest_reply()->status != 200 ||
                count_replied_commands("run"))
                fail_msg("%s: status %d, %zu starts", rows[i].what, latest_reply()->status,
                         count_replied_commands("run"));
            if (task->machine != machine || machine->avoid_until || task->missed_heartbeats ||
                task->start_sent)
                fail_msg("%s: counted as missed", rows[i].what);
            assert_true(machine->used.gpus > 0);
            fake_answer_all_lost();
            fake_clock_advance(500);
        }
        node->election.renewed_at = amb_now();
        report("m-1");
        answer_oldest_read();
        if (count_replied_commands("run") != 1) fail_msg("%s: never started", rows[i].what);
    }
}

/* Only a start that was sent is missed by the next heartbeat. */
static void only_starts_that_were_sent_are_missed(void **state) {
    (void)state;
    struct amb_task *task = bound_task();
    report("m-1");
    answer_oldest_read();
    assert_int_equal(count_replied_commands("run"), 1);
    for (int i = 0; i < 3; i++) {
        fake_clock_advance(500);
        node->election.renewed_at = amb_now();
        report("m-1");
        fail_oldest_read(503);
        assert_int_equal(task->missed_heartbeats, 1);
        assert_non_null(task->machine);
    }
    fake_clock_advance(500);
    node->election.renewed_at = amb_now();
    report("m-1");
    answer_oldest_read();
    assert_int_equal(count_replied_commands("run"), 1);
    fake_clock_advance(500);
    report("m-1");
    assert_null(task->machine); /* missed twice */
}

/* A leader that can't read keeps tasks alive and stops those that must end. */
static void stops_do_not_need_a_read(void **state) {
    (void)state;
    bound_task();
    report_running("m-1", "wk-9/0", 1); /* not on record */
    assert_int_equal(count_replies(), 0);
    fail_oldest_read(503);
    assert_int_equal(latest_reply()->status, 200);
    assert_int_equal(count_replied_commands("halt"), 1);
    assert_int_equal(count_replied_commands("run"), 0);
    assert_int_equal(replied_token(), TERM);
}

static void other_commands_are_sent_with_the_start(void **state) {
    (void)state;
    bound_task();
    report_running("m-1", "wk-9/0", 1);
    answer_oldest_read();
    assert_int_equal(count_replied_commands("halt"), 1);
    assert_int_equal(count_replied_commands("run"), 1);
}

/* Guards against a machine that is told to start nothing for as long as many of its tasks end in each period.
 */
static void many_other_commands_do_not_hold_back_starts(void **state) {
    (void)state;
    static const uint32_t counts[] = {1, 9, 30, AMB_COMMANDS_MAX - 1};
    for (size_t i = 0; i < ROWS(counts); i++) {
        fixture_reset();
        bound_task();
        report_stopped("m-1", counts[i]);
        answer_oldest_read();
        if (count_replied_commands("clear") != counts[i] || count_replied_commands("run") != 1)
            fail_msg("%u tasks have ended: %zu cleared, %zu started", counts[i],
                     count_replied_commands("clear"), count_replied_commands("run"));
    }
}

/* A response that the memory for deferred commands has no room for is sent at once, without its start. */
static void deferred_commands_have_a_bound(void **state) {
    (void)state;
    enum { MACHINES = 100, STOPPED = 200 };
    job_on_machines(AMB_JOB_KIND_ARRAY, MACHINES, 1);
    const size_t most = amb_memory_max_deferred_commands(&node->settings);
    for (uint32_t i = 0; i < MACHINES; i++) {
        report_stopped(machine_name(i), STOPPED);
        assert_true(node->fleet.deferred_commands <= most);
    }
    assert_int_equal(count_replies(), MACHINES - most / STOPPED);
    assert_int_equal(count_replied_commands("run"), 0);
    answer_remaining_reads();
    assert_int_equal(count_replies(), MACHINES);
    assert_int_equal(node->fleet.deferred_commands, 0);
}

/* ---- what happens while a response waits ---- */

enum meanwhile {
    STEPS_DOWN,
    FENCED,
    CLOSED,
    JOB_CANCELLED,
    STOP_REQUESTED,
    UNBOUND,
    RELEASED,
    RENEWAL_OVERDUE,
    REMOVED,
};

static void let_happen(enum meanwhile meanwhile, struct amb_task *task, struct amb_http_req *request) {
    struct amb_machine *machine = task->machine;
    switch (meanwhile) {
    case STEPS_DOWN:
        node->election.role = AMB_ROLE_FOLLOWER;
        amb_controller_stop_leading(node, "test");
        break;
    case FENCED: node->election.role = AMB_ROLE_FENCED; break;
    case CLOSED: request->connection = NULL; break;
    case JOB_CANCELLED: amb_job_apply_cancel_hint(node, "wk-1", amb_wall_ms(), CANCEL_REVISION); break;
    case STOP_REQUESTED: amb_task_request_stop(node, task, 0, "test"); break;
    case UNBOUND: amb_task_unbind(node, task, "test"); break;
    case RELEASED: machine->release_pending = true; break;
    case RENEWAL_OVERDUE: node->election.renewed_at = amb_now() - 2000; break;
    case REMOVED:
        amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_MACHINE_REMOVED,
                                                 .machine = machine,
                                                 .proof = AMB_ABSENCE_RELEASED});
        break;
    }
}

static void the_response_is_decided_after_the_read(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum meanwhile meanwhile;
        int status;
    } rows[] = {
        {"this node steps down", STEPS_DOWN, 421},
        {"this node is fenced", FENCED, 503},
        {"the agent closes the connection", CLOSED, 0},
        {"a peer tells of the cancellation", JOB_CANCELLED, 200},
        {"the task is to stop", STOP_REQUESTED, 200},
        {"the task is unbound", UNBOUND, 200},
        {"the machine is to be released", RELEASED, 200},
        {"the renewal of the lease is overdue", RENEWAL_OVERDUE, 200},
        {"the machine is gone", REMOVED, 200},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_task *task = bound_task();
        struct amb_http_req *request = report("m-1");
        assert_int_equal(count_replies(), 0);
        let_happen(rows[i].meanwhile, task, request);
        answer_oldest_read();
        if (latest_reply()->status != rows[i].status || count_replied_commands("run"))
            fail_msg("%s: answered %d, %zu starts", rows[i].what, latest_reply()->status,
                     count_replied_commands("run"));
    }
}

static void a_newer_heartbeat_needs_a_read_of_its_own(void **state) {
    (void)state;
    bound_task();
    report("m-1");
    fake_clock_advance(50);
    report("m-1");
    assert_int_equal(count_replies(), 1); /* the first one, for which the agent no longer waits */
    answer_oldest_read();
    assert_int_equal(count_replies(), 1);
    fake_clock_advance(100);
    answer_oldest_read();
    assert_int_equal(count_replies(), 2);
    assert_int_equal(count_replied_commands("run"), 1);
}

static void a_gang_that_loses_a_member_is_not_started(void **state) {
    (void)state;
    struct amb_job *job = job_on_machines(AMB_JOB_KIND_GANG, 2, 1);
    amb_gang_set_state(job, AMB_GANG_STARTING, "placed");
    report("m-0");
    amb_task_unbind(node, &job->tasks[1], "lost");
    amb_gang_tear_down(node, job, "a task is absent");
    answer_oldest_read();
    assert_int_equal(latest_reply()->status, 200);
    assert_int_equal(count_replied_commands("run"), 0);
}

/* A placement that becomes durable while the response waits for a start waits for a read, too. */
static void long_polls_wait_for_a_read(void **state) {
    (void)state;
    struct amb_task *task = bound_task();
    task->state = AMB_TASK_PLACED;
    report("m-1");
    assert_int_equal(count_replies() + open_reads(), 0);
    fake_clock_advance(100);
    task->state = AMB_TASK_BOUND;
    amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_PLACEMENT_DURABLE, .task = task});
    fake_clock_advance(0);
    assert_int_equal(count_replies(), 0);
    answer_oldest_read();
    assert_int_equal(count_replied_commands("run"), 1);
}

int main(void) {
#define TEST(name) cmocka_unit_test_setup_teardown(name, fixture_setup, fixture_teardown)
    const struct CMUnitTest tests[] = {
        TEST(a_start_waits_for_a_read),
        TEST(a_read_sent_before_the_heartbeat_proves_nothing),
        TEST(an_earlier_read_allows_no_start),
        TEST(a_quiet_fleet_reads_nothing),
        TEST(one_read_answers_all_that_wait),
        TEST(reads_of_a_large_array_are_bounded),
        TEST(reads_leave_requests_for_users_and_renewals),
        TEST(a_slow_read_does_not_hold_up_later_ones),
        TEST(reads_in_flight_are_bounded),
        TEST(an_older_page_undoes_nothing),
        TEST(a_cancellation_in_the_read_prevents_the_start),
        TEST(a_read_that_fails_costs_one_response),
        TEST(only_starts_that_were_sent_are_missed),
        TEST(stops_do_not_need_a_read),
        TEST(other_commands_are_sent_with_the_start),
        TEST(many_other_commands_do_not_hold_back_starts),
        TEST(deferred_commands_have_a_bound),
        TEST(the_response_is_decided_after_the_read),
        TEST(a_newer_heartbeat_needs_a_read_of_its_own),
        TEST(a_gang_that_loses_a_member_is_not_started),
        TEST(long_polls_wait_for_a_read),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
