/* Gangs and jobs of one zone: one attempt at a time, all tasks or none, and the room that is made for them.
 */
#include "amberpin/placement/wdrr.h"
#include "amberpin/scheduler/cycle.h"
#include "amberpin/scheduler/start_deadline.h"
#include "check.h"
#include "leader_fixture.h"

static void gangs(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_GANG, 2);
    struct amb_task *first = bind_task(job, 0, "m-1", 1), *second = bind_task(job, 1, "m-2", 1);
    amb_gang_set_state(job, AMB_GANG_STARTING, "placed");
    /* All or none: one record not durable yet keeps the other task waiting too. */
    second->state = AMB_TASK_PLACED;
    deliver_heartbeat("m-1", 1, 1, TERM, amb_now(), NULL, 0);
    assert_int_equal(count_commands(AMB_COMMAND_RUN), 0);
    second->state = AMB_TASK_BOUND;
    deliver_heartbeat("m-1", 1, 2, TERM, amb_now(), NULL, 0);
    assert_int_equal(count_commands(AMB_COMMAND_RUN), 1);
    struct amb_agent_task first_listing = make_agent_task("wk-1", 0, 1, AMB_AGENT_TASK_RUNNING, AMB_EXIT_NONE);
    struct amb_agent_task second_listing = make_agent_task("wk-1", 1, 1, AMB_AGENT_TASK_RUNNING, AMB_EXIT_NONE);
    deliver_heartbeat("m-1", 1, 3, TERM, amb_now(), &first_listing, 1);
    deliver_heartbeat("m-2", 1, 3, TERM, amb_now(), &second_listing, 1);
    assert_int_equal(job->gang_state, AMB_GANG_RUNNING);
    /* One task is lost: the other is told to stop, and nothing starts before it is gone. */
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

/* A gang's tasks on one machine all go when one of them tears the attempt down in mid-report. */
static void gang_on_one_machine(void **state) {
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

static void gangs_have_one_attempt(void **state) {
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
    assert_true(node->settings.teams[0].used.gpus == 16); /* debited, though no record is written yet */
}

static void gangs_start_anew_when_all_are_gone(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_gang_state gang;
        bool one_left, starts;
    } rows[] = {
        {"all are gone", AMB_GANG_IDLE, false, true},
        {"one is left of a failed attempt", AMB_GANG_TEARING, true, false},
        {"one is left, found by a new leader", AMB_GANG_IDLE, true, false},
        {"an attempt is under way", AMB_GANG_STARTING, false, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_GANG, 2);
        machine_up("m-1", 0);
        if (rows[i].one_left) bind_task(job, 0, "m-1", 1);
        job->gang_state = rows[i].gang;
        struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
        bool starts = amb_cycle_is_schedulable(cycle, job);
        amb_cycle_free(cycle);
        if (starts != rows[i].starts) fail_msg("%s: starts %d", rows[i].what, starts);
    }
}

static void old_tasks_bind_the_zone(void **state) {
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

/* Room for a gang that its team is guaranteed: what another team runs beyond its own guarantee makes way, on
 * all machines that it takes or on none. (Gangs once waited for machines to boot while such work ran on.) */
static void gangs_make_room(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint32_t tasks;
        double guaranteed; /* to the gang's team; the other has 4 */
        double checkpoint_s;
        bool preempt, room;
        uint32_t stopped;
        bool starts_count; /* the gang's class is to start in time */
        double save_s, grace;
        enum amb_priority sweep_priority; /* the gang's is normal */
    } rows[] = {
        {"one machine's worth", 1, 16, 10, true, true, 8, false, 3, 3, AMB_PRIORITY_NORMAL},
        {"all that there is", 2, 16, 10, true, true, 16, false, 3, 3, AMB_PRIORITY_NORMAL},
        {"more than there is", 3, 32, 10, true, false, 0, false, 3, 0, AMB_PRIORITY_NORMAL},
        {"not guaranteed", 2, 8, 10, true, false, 0, false, 3, 0, AMB_PRIORITY_NORMAL},
        {"what would lose its work", 2, 16, 0, true, false, 0, false, 3, 0, AMB_PRIORITY_NORMAL},
        {"by the operators' wish", 2, 16, 10, false, false, 0, false, 3, 0, AMB_PRIORITY_NORMAL},
        {"a start that counts does not wait for little to be saved", 2, 16, 10, true, true, 16, true, 3, 0,
         AMB_PRIORITY_NORMAL},
        {"but for much", 2, 16, 20, true, true, 16, true, 3, 3, AMB_PRIORITY_NORMAL},
        {"lower work, that would lose its own", 2, 16, 0, true, true, 16, false, 3, 0,
         AMB_PRIORITY_BEST_EFFORT},
        {"lower work, but not guaranteed", 2, 8, 0, true, false, 0, false, 3, 0, AMB_PRIORITY_BEST_EFFORT},
        {"higher work", 2, 16, 0, true, false, 0, false, 3, 0, AMB_PRIORITY_HIGH},
    };
    for (size_t k = 0; k < ROWS(rows); k++) {
        node->settings.team_count = 2;
        node->settings.teams[0].guarantee.gpus = 4;
        node->settings.teams[1].guarantee.gpus = rows[k].guaranteed;
        node->options.preempt = rows[k].preempt;
        node->settings.objective_count = rows[k].starts_count;
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
            fail_msg("%s: room %d, %u stopped, %u machines claimed", rows[k].what, room, stopped, claimed);
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

/* Batch work that may start later than a rented machine could take it once counted as hurried: it took the
 * room that was made for gangs, was stopped for them, and took it again. */
static void hurry(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_job_kind kind;
        double within[3], want; /* seconds; want 0: in no hurry */
    } rows[] = {
        {"no aim", AMB_JOB_KIND_ARRAY, {0}, 0},
        {"sweeps that may start after a boot and a fetch", AMB_JOB_KIND_ARRAY, {120}, 0},
        {"sweeps that may not", AMB_JOB_KIND_ARRAY, {30}, 30},
        {"gangs, by the soonest of their aims", AMB_JOB_KIND_GANG, {70, 25, 50}, 25},
        {"services, however late", AMB_JOB_KIND_SERVICE, {120}, 120},
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
        cmocka_unit_test_setup_teardown(gangs, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(gang_on_one_machine, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(gangs_have_one_attempt, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(gangs_start_anew_when_all_are_gone, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(old_tasks_bind_the_zone, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(gangs_make_room, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(hurry, setup, fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
