/* How a leader processes agents' heartbeats: the task states that it derives, the commands that it sends, and
 * that late copies have no effect. */
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

/* ---- states and commands of one task ---- */

/* Each row binds a task to m-1 under OWN_ATTEMPT_NUMBER and then delivers heartbeats, one after the other. */
enum { OWN_ATTEMPT_NUMBER = 7, OTHER_ATTEMPT_NUMBER = 3 };
enum listed { NOT_LISTED, OWN_ATTEMPT, OTHER_ATTEMPT };

struct expected_commands {
    size_t starts, stops, clears;
};
#define NO_COMMANDS                                                                                          \
    { 0, 0, 0 }

struct step {
    struct {
        uint64_t incarnation, sequence, token;
    } heartbeat;
    struct {
        enum listed listed;
        enum amb_agent_task_state state;
        enum amb_exit_reason reason;
    } task;
    struct expected_commands commands; /* in the response */
    enum amb_task_state expected_state;
};

static bool commands_match(const struct expected_commands *expected) {
    return count_commands(AMB_COMMAND_RUN) == expected->starts &&
           count_commands(AMB_COMMAND_STOP) == expected->stops &&
           count_commands(AMB_COMMAND_CLEAR) == expected->clears;
}

/* Delivers the heartbeat of a step. Returns false if it is refused because of its higher term. */
static bool send_step(const struct step *step) {
    uint64_t attempt = step->task.listed == OTHER_ATTEMPT ? OTHER_ATTEMPT_NUMBER : OWN_ATTEMPT_NUMBER;
    struct amb_agent_task seen = make_agent_task("wk-1", 0, attempt, step->task.state, step->task.reason);
    return deliver_heartbeat("m-1", step->heartbeat.incarnation, step->heartbeat.sequence,
                             step->heartbeat.token, amb_now(), &seen, step->task.listed != NOT_LISTED);
}

static void heartbeats_determine_task_states(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_task_state initial_state;
        bool cancelled, inherited;
        struct step steps[6];
    } rows[] = {
        {"no start before our token is acknowledged", .initial_state = AMB_TASK_BOUND,
         .steps = {{{1, 1, 0}, {NOT_LISTED}, NO_COMMANDS, AMB_TASK_BOUND},
                   {{1, 2, TERM}, {NOT_LISTED}, {.starts = 1}, AMB_TASK_BOUND}}},
        {"no start before the record is durable", .initial_state = AMB_TASK_PLACED,
         .steps = {{{1, 1, TERM}, {NOT_LISTED}, NO_COMMANDS, AMB_TASK_PLACED},
                   {{1, 2, TERM}, {NOT_LISTED}, NO_COMMANDS, AMB_TASK_PLACED}}},
        {"an earlier leader's token proves nothing", .initial_state = AMB_TASK_BOUND, .inherited = true,
         .steps = {{{1, 5, TERM - 1}, {NOT_LISTED}, NO_COMMANDS, AMB_TASK_BOUND},
                   {{1, 6, TERM - 1}, {NOT_LISTED}, NO_COMMANDS, AMB_TASK_BOUND}}},
        {"seen, then not listed under our token: absent", .initial_state = AMB_TASK_BOUND,
         .steps = {{{1, 1, TERM}, {OWN_ATTEMPT, AMB_AGENT_TASK_RUNNING}, NO_COMMANDS, AMB_TASK_SEEN},
                   {{1, 2, TERM}, {NOT_LISTED}, NO_COMMANDS, AMB_TASK_WAITING}}},
        {"seen, then a new incarnation without it: absent", .initial_state = AMB_TASK_BOUND,
         .steps = {{{1, 9, TERM}, {OWN_ATTEMPT, AMB_AGENT_TASK_RUNNING}, NO_COMMANDS, AMB_TASK_SEEN},
                   {{2, 1, TERM}, {NOT_LISTED}, NO_COMMANDS, AMB_TASK_WAITING}}},
        {"a late copy causes no command and no change of state", .initial_state = AMB_TASK_BOUND,
         .steps = {{{1, 5, TERM}, {OWN_ATTEMPT, AMB_AGENT_TASK_RUNNING}, NO_COMMANDS, AMB_TASK_SEEN},
                   {{1, 4, TERM}, {NOT_LISTED}, NO_COMMANDS, AMB_TASK_SEEN},
                   {{1, 5, TERM}, {NOT_LISTED}, NO_COMMANDS, AMB_TASK_SEEN}}},
        {"a late copy does not receive the start again", .initial_state = AMB_TASK_BOUND,
         .steps = {{{1, 5, TERM}, {NOT_LISTED}, {.starts = 1}, AMB_TASK_BOUND},
                   {{1, 5, TERM}, {NOT_LISTED}, NO_COMMANDS, AMB_TASK_BOUND}}},
        {"a machine that does not act on responses loses the task", .initial_state = AMB_TASK_BOUND,
         .steps = {{{1, 1, TERM}, {NOT_LISTED}, {.starts = 1}, AMB_TASK_BOUND},
                   {{1, 2, TERM}, {NOT_LISTED}, {.starts = 1}, AMB_TASK_BOUND},
                   {{1, 3, TERM}, {NOT_LISTED}, NO_COMMANDS, AMB_TASK_WAITING}}},
        {"a completion is not cleared before it is on record", .initial_state = AMB_TASK_BOUND,
         .steps =
             {{{1, 1, TERM}, {OWN_ATTEMPT, AMB_AGENT_TASK_EXITED, AMB_EXIT_DONE}, NO_COMMANDS, AMB_TASK_DONE},
              {{1, 2, TERM},
               {OWN_ATTEMPT, AMB_AGENT_TASK_EXITED, AMB_EXIT_DONE},
               NO_COMMANDS,
               AMB_TASK_DONE}}},
        {"a failed start is cleared", .initial_state = AMB_TASK_BOUND,
         .steps = {{{1, 1, TERM},
                    {OWN_ATTEMPT, AMB_AGENT_TASK_EXITED, AMB_EXIT_ERROR},
                    {.clears = 1},
                    AMB_TASK_WAITING}}},
        {"an exit under an earlier token proves nothing", .initial_state = AMB_TASK_BOUND, .inherited = true,
         .steps = {{{1, 1, TERM - 1},
                    {OWN_ATTEMPT, AMB_AGENT_TASK_EXITED, AMB_EXIT_DONE},
                    NO_COMMANDS,
                    AMB_TASK_BOUND}}},
        {"cancelled: commanded to stop until it has exited", .initial_state = AMB_TASK_BOUND,
         .cancelled = true,
         .steps = {{{1, 1, TERM}, {OWN_ATTEMPT, AMB_AGENT_TASK_RUNNING}, {.stops = 1}, AMB_TASK_SEEN},
                   {{1, 2, TERM}, {OWN_ATTEMPT, AMB_AGENT_TASK_RUNNING}, {.stops = 1}, AMB_TASK_SEEN},
                   {{1, 3, TERM},
                    {OWN_ATTEMPT, AMB_AGENT_TASK_EXITED, AMB_EXIT_STOPPED},
                    {.clears = 1},
                    AMB_TASK_WAITING}}},
        {"cancelled and not listed: never started", .initial_state = AMB_TASK_BOUND, .cancelled = true,
         .inherited = true, .steps = {{{1, 1, TERM}, {NOT_LISTED}, NO_COMMANDS, AMB_TASK_WAITING}}},
        {"another attempt of ours on the machine is stopped", .initial_state = AMB_TASK_BOUND,
         .steps = {{{1, 1, TERM},
                    {OTHER_ATTEMPT, AMB_AGENT_TASK_RUNNING},
                    {.starts = 1, .stops = 1},
                    AMB_TASK_BOUND}}},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        setup(NULL);
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_ARRAY, 2);
        struct amb_task *task = bind_task(job, 0, "m-1", OWN_ATTEMPT_NUMBER);
        task->state = rows[i].initial_state;
        task->inherited = rows[i].inherited;
        if (rows[i].cancelled) {
            job->state = AMB_JOB_CANCELLED;
            amb_task_request_stop(node, task, 0, "cancelled");
        }
        for (size_t k = 0; k < ROWS(rows[i].steps) && rows[i].steps[k].heartbeat.incarnation; k++) {
            const struct step *step = &rows[i].steps[k];
            assert_true(send_step(step));
            if (!commands_match(&step->commands) || task->state != step->expected_state)
                fail_msg("%s, step %zu: %zu starts, %zu stops, %zu clears, state %d", rows[i].what, k,
                         count_commands(AMB_COMMAND_RUN), count_commands(AMB_COMMAND_STOP),
                         count_commands(AMB_COMMAND_CLEAR), task->state);
        }
        fixture_teardown(NULL);
    }
}

/* A command request may be carried out minutes late, so it may contain stops but no starts. */
static void command_requests_contain_no_starts(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 2);
    machine_up("m-1", 0);
    bind_task(job, 0, "m-1", 1)->state = AMB_TASK_SEEN;
    bind_task(job, 1, "m-1", 2);
    amb_task_request_stop(node, &job->tasks[0], 0, "test");
    amb_fleet_tick(node, amb_now());
    struct fake_call *commands = open_call("POST", "/commands");
    assert_non_null(commands);
    assert_int_equal(count_commands_in(commands->cbor_body, "halt"), 1);
    if (count_commands_in(commands->cbor_body, "run")) fail_msg("a command request contains a start");
}

/* ---- placements of an earlier leader ---- */

/* A task that an earlier leader placed, and that its machine does not list, is started there only if all
 * limits hold. */
static void inherited_placements_need_limits(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double limit;
        bool spread;
        uint32_t others; /* tasks of the job bound elsewhere in the zone */
        bool starts;
    } rows[] = {
        {"all limits hold", 10, false, 1, true},
        {"the team is over its limit", 2, false, 2, false},
        {"the spread over zones is violated", 10, true, 2, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_teardown(NULL);
        setup(NULL);
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 3);
        job->spec->spread_zones = rows[i].spread;
        node->settings.teams[0].limit.gpus = rows[i].limit;
        int zone = amb_catalog_find_or_add_zone(&node->catalog, "a");
        const char *names[] = {"m-0", "m-1", "m-2"};
        for (uint32_t k = 0; k <= rows[i].others; k++) {
            struct amb_machine *machine = amb_machine_get(node, names[k], true);
            machine->zone_index = zone;
            machine->type_index = 0;
            bind_task(job, k, names[k], 1)->inherited = true;
        }
        deliver_heartbeat("m-0", 1, 1, TERM, amb_now(), NULL, 0);
        if ((count_commands(AMB_COMMAND_RUN) == 1) != rows[i].starts ||
            (job->tasks[0].machine != NULL) != rows[i].starts)
            fail_msg("%s", rows[i].what);
    }
}

/* The same for the resources of the machine and for jobs that must run within one zone. */
static void inherited_placements_need_resources_and_zone(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double others_gpus; /* taken on the machine by another job's task */
        bool one_zone, elsewhere;
        bool starts;
    } rows[] = {
        {"its resources are free", 7, false, false, true},
        {"its resources are used by another job", 8, false, false, false},
        {"the job must run in one zone, and all its tasks are there", 0, true, false, true},
        {"the job must run in one zone, and has a task elsewhere", 0, true, true, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 2),
                       *other = add_active_job("wk-2", AMB_JOB_KIND_SERVICE, 1);
        job->spec->one_zone = rows[i].one_zone;
        other->spec->task_resources.gpus = rows[i].others_gpus;
        machine_in("m-1", 0);
        machine_in("m-2", 1);
        bind_task(job, 0, "m-1", 1)->inherited = true;
        if (rows[i].elsewhere) bind_task(job, 1, "m-2", 2)->inherited = true;
        if (rows[i].others_gpus > 0) {
            bind_task(other, 0, "m-1", 1);
            other->tasks[0].state = AMB_TASK_PLACED;
        }
        deliver_heartbeat("m-1", 1, 1, TERM, amb_now(), NULL, 0);
        if (count_commands(AMB_COMMAND_RUN) != (rows[i].starts ? 1 : 0))
            fail_msg("%s: %zu starts", rows[i].what, count_commands(AMB_COMMAND_RUN));
    }
}

/* ---- deferred responses ---- */

static const char CHANGES_PATH[] = "/follow"; /* a fresh read of all changes */

/* Answers the open read with no change. Responses that wait for it are sent from the event loop. */
static void answer_fresh_read(void) {
    answer_change_list(open_call("GET", CHANGES_PATH), 100, NULL, AMB_JOB_QUEUED, 0);
    fake_clock_advance(0);
}

/* Sends two heartbeats from m-1. Returns the second request, whose response is deferred. */
static struct amb_http_req *defer_response(void) {
    struct sent_heartbeat heartbeat = {.machine = "m-1", .incarnation = 1, .sequence = 1, .token = TERM};
    send_heartbeat(heartbeat);
    assert_int_equal(count_replies(), 1);
    heartbeat.sequence = 2;
    struct amb_http_req *request = send_heartbeat(heartbeat);
    if (count_replies() != 1) fail_msg("the response is not deferred");
    return request;
}

/* The content of a deferred response is decided when the response is sent, at the end of its delay. */
static void deferred_responses_are_decided_when_sent(void **state) {
    (void)state;
    enum meanwhile { NOTHING, CANCELLED, SENT_BEFORE, INHERITED, FENCED, CLOSED };
    static const struct {
        const char *what;
        enum amb_task_state state;
        enum meanwhile meanwhile;
        int status;
        size_t starts;
        bool sent;
    } rows[] = {
        {"recorded", AMB_TASK_BOUND, NOTHING, 200, 1, true},
        {"not recorded yet", AMB_TASK_PLACED, NOTHING, 200, 0, false},
        {"cancelled meanwhile", AMB_TASK_BOUND, CANCELLED, 200, 0, false},
        {"start sent before", AMB_TASK_BOUND, SENT_BEFORE, 200, 0, true},
        {"placed by an earlier leader", AMB_TASK_BOUND, INHERITED, 200, 0, false},
        {"the node no longer leads", AMB_TASK_BOUND, FENCED, 503, 0, false},
        {"the agent has closed the connection", AMB_TASK_BOUND, CLOSED, 0, 0, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_http_req *request = defer_response();
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
        struct amb_task *task = bind_task(job, 0, "m-1", 1);
        task->state = rows[i].state;
        task->start_sent = rows[i].meanwhile == SENT_BEFORE;
        task->inherited = rows[i].meanwhile == INHERITED;
        if (rows[i].meanwhile == CANCELLED) amb_job_apply_cancel_hint(node, "wk-1", amb_wall_ms(), 61);
        if (rows[i].meanwhile == FENCED) node->election.role = AMB_ROLE_FENCED;
        if (rows[i].meanwhile == CLOSED) request->connection = NULL;
        fake_clock_advance(400);
        if ((find_call("GET", CHANGES_PATH) != NULL) != (rows[i].starts > 0))
            fail_msg("%s: reads of changes", rows[i].what);
        if (rows[i].starts) answer_fresh_read();
        if (latest_reply()->status != rows[i].status)
            fail_msg("%s: answered %d", rows[i].what, latest_reply()->status);
        if (count_replied_commands("run") != rows[i].starts || task->start_sent != rows[i].sent)
            fail_msg("%s: %zu starts, sent %d", rows[i].what, count_replied_commands("run"),
                     task->start_sent);
    }
}

static void deferred_responses_are_sent_in_time(void **state) {
    (void)state;
    static const struct {
        double period_s;
        amb_ms delay_ms;
    } rows[] = {{1, 400}, {4, 1600}, {12, 1600}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        node->settings.heartbeat_s = rows[i].period_s;
        defer_response();
        struct amb_machine *machine = amb_machine_get(node, "m-1", false);
        fake_clock_advance(rows[i].delay_ms - 1);
        assert_int_equal(count_replies(), 1);
        fake_clock_advance(1);
        if (count_replies() != 2) fail_msg("heartbeats every %g s: no response in time", rows[i].period_s);
        if (machine->last_response_at != amb_now())
            fail_msg("the machine's lease counts from %lld ms before the response",
                     (long long)(amb_now() - machine->last_response_at));
    }
}

static void only_the_newest_heartbeat_is_deferred(void **state) {
    (void)state;
    defer_response();
    send_heartbeat((struct sent_heartbeat){.machine = "m-1", .incarnation = 1, .sequence = 3, .token = TERM});
    if (count_replies() != 2) fail_msg("%zu responses after a newer heartbeat", count_replies());
    fake_clock_advance(400);
    assert_int_equal(count_replies(), 3);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(heartbeats_determine_task_states),
        cmocka_unit_test_setup_teardown(command_requests_contain_no_starts, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(inherited_placements_need_limits, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(inherited_placements_need_resources_and_zone, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(deferred_responses_are_decided_when_sent, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(deferred_responses_are_sent_in_time, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(only_the_newest_heartbeat_is_deferred, fixture_setup,
                                        fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
