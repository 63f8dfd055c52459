/* Gangs and single-zone jobs: one attempt at a time, all tasks or none, and preemption for them. */
#include "amberpin/placement/wdrr.h"
#include "amberpin/scheduler/cycle.h"
#include "amberpin/scheduler/start_deadline.h"
#include "check.h"
#include "leader_fixture.h"

static void gang_starts_and_stops_as_one(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_GANG, 2);
    struct amb_task *first = bind_task(job, 0, "m-1", 1), *second = bind_task(job, 1, "m-2", 1);
    amb_gang_set_state(job, AMB_GANG_STARTING, "placed");
    /* All or none: while the placement of one task is not durable, the other is not started either. */
    second->state = AMB_TASK_PLACED;
    deliver_heartbeat("m-1", 1, 1, TERM, amb_now(), NULL, 0);
    assert_int_equal(count_commands(AMB_COMMAND_RUN), 0);
    second->state = AMB_TASK_BOUND;
    deliver_heartbeat("m-1", 1, 2, TERM, amb_now(), NULL, 0);
    assert_int_equal(count_commands(AMB_COMMAND_RUN), 1);
    struct amb_agent_task first_listing =
        make_agent_task("wk-1", 0, 1, AMB_AGENT_TASK_RUNNING, AMB_EXIT_NONE);
    struct amb_agent_task second_listing =
        make_agent_task("wk-1", 1, 1, AMB_AGENT_TASK_RUNNING, AMB_EXIT_NONE);
    deliver_heartbeat("m-1", 1, 3, TERM, amb_now(), &first_listing, 1);
    deliver_heartbeat("m-2", 1, 3, TERM, amb_now(), &second_listing, 1);
    assert_int_equal(job->gang_state, AMB_GANG_RUNNING);
    /* One task is lost: the other one gets a stop command, and nothing starts before it is gone. */
    deliver_heartbeat("m-2", 2, 1, TERM, amb_now(), NULL, 0);
    assert_int_equal(job->gang_state, AMB_GANG_TEARING);
    assert_null(second->machine);
    assert_non_null(first->machine);
    deliver_heartbeat("m-1", 1, 4, TERM, amb_now(), &first_listing, 1);
    assert_int_equal(count_commands(AMB_COMMAND_STOP), 1);
    first_listing.state = AMB_AGENT_TASK_EXITED;
    first_listing.exit_reason = AMB_EXIT_GANG_PEER_GONE;
    deliver_heartbeat("m-1", 1, 5, TERM, amb_now(), &first_listing, 1);
    assert_int_equal(job->gang_state, AMB_GANG_IDLE);
    assert_int_equal(job->bound_count, 0);
}

/* All tasks of a gang on one machine are unbound when one of them tears the attempt down while the heartbeat
 * is being processed. */
static void gang_on_one_machine_is_torn_down(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_GANG, 3);
    struct amb_agent_task listings[3];
    for (uint32_t i = 0; i < 3; i++) {
        bind_task(job, i, "m-1", 1);
        listings[i] = make_agent_task("wk-1", i, 1, AMB_AGENT_TASK_RUNNING, AMB_EXIT_NONE);
    }
    amb_gang_set_state(job, AMB_GANG_STARTING, "placed");
    deliver_heartbeat("m-1", 1, 1, TERM, amb_now(), listings, 3);
    assert_int_equal(job->gang_state, AMB_GANG_RUNNING);
    deliver_heartbeat("m-1", 2, 1, TERM, amb_now(), NULL, 0);
    assert_int_equal(job->bound_count, 0);
    assert_int_equal(job->gang_state, AMB_GANG_IDLE);
}

static void tasks_of_a_gang_share_the_attempt(void **state) {
    (void)state;
    amb_wdrr_prepare(node->settings.teams, 1, true);
    amb_wdrr_refill(node->settings.teams, 1, 1000);
    machine_up("m-1", 0);
    machine_up("m-2", 0);
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_GANG, 2);
    job->spec->task_resources.gpus = 8;
    struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
    amb_cycle_admit(cycle);
    amb_cycle_free(cycle);
    assert_int_equal(job->bound_count, 2);
    if (job->tasks[0].attempt != job->tasks[1].attempt)
        fail_msg("attempts %llu and %llu", (unsigned long long)job->tasks[0].attempt,
                 (unsigned long long)job->tasks[1].attempt);
    assert_true(job->next_attempt > job->tasks[0].attempt);
    assert_true(node->settings.teams[0].used.gpus ==
                16); /* charged to the team before the placement is written */
}

static void next_attempt_waits_for_all_tasks(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_gang_state gang;
        bool task_left, starts;
    } rows[] = {
        {"all tasks are gone", AMB_GANG_IDLE, false, true},
        {"one task of a failed attempt is left", AMB_GANG_TEARING, true, false},
        {"one task is left, found by a new leader", AMB_GANG_IDLE, true, false},
        {"an attempt is in progress", AMB_GANG_STARTING, false, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_GANG, 2);
        machine_up("m-1", 0);
        if (rows[i].task_left) bind_task(job, 0, "m-1", 1);
        job->gang_state = rows[i].gang;
        struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
        bool starts = amb_cycle_is_schedulable(cycle, job);
        amb_cycle_free(cycle);
        if (starts != rows[i].starts) fail_msg("%s: schedulable %d", rows[i].what, starts);
    }
}

static void bound_tasks_fix_the_zone(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 2);
    job->spec->one_zone = true;
    machine_up("m-1", 1);
    bind_task(job, 0, "m-1", 1);
    struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
    struct amb_placement_request request;
    amb_cycle_init_request(cycle, job, &request);
    amb_cycle_free(cycle);
    if (request.zone != 1) fail_msg("may start in zone %d", request.zone);
}

/* Preemption for a gang within its team's guarantee: tasks of another team beyond that team's guarantee are
 * stopped, on all machines that the gang needs or on none. Without it, gangs waited for machines to boot
 * while such tasks kept running. */
static void preemption_for_gangs(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint32_t tasks;
        double guaranteed; /* GPUs, to the gang's team; the other team has 4 */
        double checkpoint_s;
        bool preempt, room;
        uint32_t stopped;
        bool has_start_objective; /* the gang's class has an objective for its start */
        double save_s, grace;
        enum amb_priority sweep_priority; /* the gang's priority is normal */
    } rows[] = {
        {"one machine", 1, 16, 10, true, true, 8, false, 3, 3, AMB_PRIORITY_NORMAL},
        {"all machines", 2, 16, 10, true, true, 16, false, 3, 3, AMB_PRIORITY_NORMAL},
        {"more machines than there are", 3, 32, 10, true, false, 0, false, 3, 0, AMB_PRIORITY_NORMAL},
        {"beyond the gang team's guarantee", 2, 8, 10, true, false, 0, false, 3, 0, AMB_PRIORITY_NORMAL},
        {"tasks without checkpoints", 2, 16, 0, true, false, 0, false, 3, 0, AMB_PRIORITY_NORMAL},
        {"preemption switched off", 2, 16, 10, false, false, 0, false, 3, 0, AMB_PRIORITY_NORMAL},
        {"a start objective does not wait to save little work", 2, 16, 10, true, true, 16, true, 3, 0,
         AMB_PRIORITY_NORMAL},
        {"a start objective waits to save much work", 2, 16, 20, true, true, 16, true, 3, 3,
         AMB_PRIORITY_NORMAL},
        {"lower priority, tasks without checkpoints", 2, 16, 0, true, true, 16, false, 3, 0,
         AMB_PRIORITY_BEST_EFFORT},
        {"lower priority, beyond the guarantee", 2, 8, 0, true, false, 0, false, 3, 0,
         AMB_PRIORITY_BEST_EFFORT},
        {"higher priority", 2, 16, 0, true, false, 0, false, 3, 0, AMB_PRIORITY_HIGH},
    };
    for (size_t k = 0; k < ROWS(rows); k++) {
        node->settings.team_count = 2;
        node->settings.teams[0].guarantee.gpus = 4;
        node->settings.teams[1].guarantee.gpus = rows[k].guaranteed;
        node->options.preempt = rows[k].preempt;
        node->settings.objective_count = rows[k].has_start_objective;
        strcpy(node->settings.objectives[0].kind, "wait");
        strcpy(node->settings.objectives[0].class_name, "tune");
        node->settings.objectives[0].within_s = 25;
        struct amb_job *sweep = add_active_job("wk-1", AMB_JOB_KIND_ARRAY, 16),
                       *gang = add_active_job("wk-2", AMB_JOB_KIND_GANG, rows[k].tasks);
        sweep->spec->priority = rows[k].sweep_priority;
        gang->spec->priority = AMB_PRIORITY_NORMAL;
        sweep->spec->checkpoint_interval_s = rows[k].checkpoint_s;
        sweep->spec->checkpoint_save_s = rows[k].save_s;
        strcpy(gang->spec->class_name, "tune");
        sweep->spec->spot_allowed = gang->spec->spot_allowed = true;
        gang->spec->task_resources = (struct amb_resources){80, 8, 500};
        gang->team = &node->settings.teams[1];
        for (uint32_t i = 0; i < 16; i++) {
            struct amb_task *task = bind_task(sweep, i, i < 8 ? "m-1" : "m-2", 1);
            task->state = AMB_TASK_SEEN;
            task->agent_state = AMB_AGENT_TASK_RUNNING;
        }
        deliver_heartbeat("m-1", k + 1, 1, TERM, amb_now(), NULL, 0);
        deliver_heartbeat("m-2", k + 1, 1, TERM, amb_now(), NULL, 0);
        for (uint32_t i = 0; i < 16; i++) {
            if (!sweep->tasks[i].machine) bind_task(sweep, i, i < 8 ? "m-1" : "m-2", 2);
            sweep->tasks[i].state = AMB_TASK_SEEN;
        }
        struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
        amb_cycle_annotate_for_image(cycle, gang->spec, gang->spec->image);
        uint32_t stopped = 0, claimed = 0;
        bool room = amb_cycle_preempt_for_gang(cycle, gang);
        for (uint32_t i = 0; i < cycle->slot_count; i++) claimed += cycle->slots[i].machine->claimed_by_gang;
        amb_cycle_free(cycle);
        for (uint32_t i = 0; i < 16; i++) stopped += sweep->tasks[i].stop_requested;
        for (uint32_t i = 0; i < 16; i++)
            if (sweep->tasks[i].stop_requested && sweep->tasks[i].grace_s != rows[k].grace)
                fail_msg("%s: stopped with grace %g", rows[k].what, sweep->tasks[i].grace_s);
        if (room != rows[k].room || stopped != rows[k].stopped || claimed != rows[k].stopped / 8)
            fail_msg("%s: preempted %d, %u stopped, %u machines claimed", rows[k].what, room, stopped,
                     claimed);
        for (uint32_t i = 0; i < 16; i++) amb_task_unbind(node, &sweep->tasks[i], "end of row");
        struct amb_job *jobs[] = {sweep, gang};
        for (size_t i = 0; i < ROWS(jobs); i++) {
            amb_job_deactivate(node, jobs[i]);
            HASH_DEL(node->jobs.all, jobs[i]);
            free(jobs[i]->spec);
            free(jobs[i]);
        }
        struct amb_machine *machine, *next;
        HASH_ITER(hh, node->fleet.machines, machine, next) machine->claimed_by_gang = false;
    }
}

/* Guards against treating batch jobs as urgent if their start objective leaves time to rent a machine. Such
 * jobs took the slots that were freed for gangs, were preempted for them, and took the slots again. */
static void start_objective_that_applies(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_job_kind kind;
        double within[3], want; /* seconds; want 0: no objective applies */
    } rows[] = {
        {"no objective", AMB_JOB_KIND_ARRAY, {0}, 0},
        {"arrays that may start after a boot and an image fetch", AMB_JOB_KIND_ARRAY, {120}, 0},
        {"arrays that may not", AMB_JOB_KIND_ARRAY, {30}, 30},
        {"gangs, by their shortest objective", AMB_JOB_KIND_GANG, {70, 25, 50}, 25},
        {"services, whatever the time", AMB_JOB_KIND_SERVICE, {120}, 120},
    };
    node->catalog.types[0].boot_s = 50;
    node->catalog.types[0].image_fetch_gb_per_s = 1.7;
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_job_spec spec = {.kind = rows[i].kind, .class_name = "class", .image_gb = 16};
        node->settings.objective_count = 0;
        for (size_t k = 0; k < 3 && rows[i].within[k] > 0; k++) {
            struct amb_objective *objective = &node->settings.objectives[node->settings.objective_count++];
            strcpy(objective->kind, "wait");
            strcpy(objective->class_name, "class");
            objective->within_s = rows[i].within[k];
        }
        const struct amb_objective *objective = amb_start_find_objective(node, &spec);
        if ((objective ? objective->within_s : 0) != rows[i].want) fail_msg("%s", rows[i].what);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(gang_starts_and_stops_as_one, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(gang_on_one_machine_is_torn_down, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(tasks_of_a_gang_share_the_attempt, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(next_attempt_waits_for_all_tasks, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(bound_tasks_fix_the_zone, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(preemption_for_gangs, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(start_objective_that_applies, setup, fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
