/* Zone limits of a job (one zone, or spread over zones) while some of its tasks are not proven absent, or are
 * on machines whose zone is unknown. */
#include "amberpin/scheduler/cycle.h"
#include "check.h"
#include "node_fixture.h"

#include "amberpin/placement/wdrr.h"

enum { A, B, UNKNOWN = -1 };

/* Sets up a leader with two zones, and teams that are prepared for scheduling. */
static void begin(void) {
    setup(NULL);
    amb_wdrr_prepare(node->settings.teams, node->settings.team_count, true);
    amb_catalog_find_or_add_zone(&node->catalog, "a");
    amb_catalog_find_or_add_zone(&node->catalog, "b");
}

/* Adds a machine in this zone that has shown our fencing token. */
static struct amb_machine *machine_in(const char *name, int zone) {
    deliver_heartbeat(name, 1, 1, TERM, amb_now(), NULL, 0);
    struct amb_machine *machine = amb_machine_get(node, name, false);
    machine->zone_index = zone;
    return machine;
}

static struct amb_job *job_on(enum amb_job_kind kind, bool one_zone, bool spread, uint32_t tasks,
                              const int *zones, uint32_t count) {
    struct amb_job *job = add_active_job("wk-1", kind, tasks);
    job->spec->one_zone = one_zone;
    job->spec->spread_zones = spread;
    for (uint32_t i = 0; i < count; i++) {
        char name[AMB_NAME_SIZE];
        snprintf(name, sizeof name, "m-old-%u", i);
        amb_machine_get(node, name, true)->zone_index = zones[i];
        bind_task(job, i, name, 1)->inherited = true;
    }
    return job;
}

static void zones_left(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_job_kind kind;
        bool one_zone, spread;
        uint32_t tasks;
        int on_record[3];
        uint32_t count;
        uint32_t want_a, want_b; /* resulting tasks per zone, of those whose zone is known */
        bool either;             /* the zones may be swapped */
    } rows[] = {
        {"array bound to one zone, nothing placed yet",
         AMB_JOB_KIND_ARRAY,
         true,
         false,
         4,
         {0},
         0,
         4,
         0,
         true},
        {"array with a task in a", AMB_JOB_KIND_ARRAY, true, false, 4, {A}, 1, 4, 0, false},
        {"array with a task in b", AMB_JOB_KIND_ARRAY, true, false, 4, {B}, 1, 0, 4, false},
        {"array on record in both: a block still names tasks that are gone",
         AMB_JOB_KIND_ARRAY,
         true,
         false,
         4,
         {A, B},
         2,
         1,
         1,
         false},
        {"array with a task in an unknown zone",
         AMB_JOB_KIND_ARRAY,
         true,
         false,
         4,
         {UNKNOWN},
         1,
         0,
         0,
         false},
        {"array with one in a and one in an unknown zone",
         AMB_JOB_KIND_ARRAY,
         true,
         false,
         4,
         {A, UNKNOWN},
         2,
         1,
         0,
         false},
        {"service bound to one zone, on record in both",
         AMB_JOB_KIND_SERVICE,
         true,
         false,
         3,
         {B, A},
         2,
         1,
         1,
         false},
        {"spread: half in each", AMB_JOB_KIND_SERVICE, false, true, 4, {A}, 1, 2, 2, false},
        {"spread: one may be in either", AMB_JOB_KIND_SERVICE, false, true, 4, {A, UNKNOWN}, 2, 1, 1, false},
        {"spread: two may be in either",
         AMB_JOB_KIND_SERVICE,
         false,
         true,
         4,
         {UNKNOWN, UNKNOWN},
         2,
         0,
         0,
         false},
        {"spread of five: two may be in either",
         AMB_JOB_KIND_SERVICE,
         false,
         true,
         5,
         {UNKNOWN, UNKNOWN},
         2,
         1,
         1,
         false},
        {"neither: anywhere", AMB_JOB_KIND_ARRAY, false, false, 4, {UNKNOWN}, 1, 3, 0, true},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        begin();
        machine_in("m-a", A);
        machine_in("m-b", B);
        struct amb_job *job = job_on(rows[i].kind, rows[i].one_zone, rows[i].spread, rows[i].tasks,
                                     rows[i].on_record, rows[i].count);
        struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
        amb_cycle_admit(cycle);
        amb_cycle_free(cycle);
        uint32_t count_a = job->zone_task_counts[A], count_b = job->zone_task_counts[B];
        bool same = count_a == rows[i].want_a && count_b == rows[i].want_b;
        if (!same && !(rows[i].either && count_a == rows[i].want_b && count_b == rows[i].want_a))
            fail_msg("%s: %u in a, %u in b", rows[i].what, count_a, count_b);
        teardown(NULL);
    }
}

/* A task placed by an earlier leader that its machine does not list is started there only if its zone limits
 * hold for certain. */
static void restarts(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool one_zone, spread;
        uint32_t tasks;
        int others[3];
        uint32_t count;
        bool starts;
    } rows[] = {
        {"alone in its zone", true, false, 4, {0}, 0, true},
        {"with another in its zone", true, false, 4, {A}, 1, true},
        {"another in the other zone", true, false, 4, {B}, 1, false},
        {"another in an unknown zone", true, false, 4, {UNKNOWN}, 1, false},
        {"spread: one more in its zone", false, true, 4, {A}, 1, true},
        {"spread: two more in its zone", false, true, 4, {A, A}, 2, false},
        {"spread: one more there, one in an unknown zone", false, true, 4, {A, UNKNOWN}, 2, false},
        {"spread: one more there, one in the other zone", false, true, 4, {A, B}, 2, true},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        begin();
        struct amb_job *job =
            job_on(rows[i].spread ? AMB_JOB_KIND_SERVICE : AMB_JOB_KIND_ARRAY, rows[i].one_zone,
                   rows[i].spread, rows[i].tasks, rows[i].others, rows[i].count);
        machine_in("m-a", A);
        bind_task(job, rows[i].count, "m-a", 1)->inherited = true;
        deliver_heartbeat("m-a", 1, 2, TERM, amb_now(), NULL, 0);
        if ((count_commands(AMB_COMMAND_RUN) == 1) != rows[i].starts)
            fail_msg("%s: %zu starts", rows[i].what, count_commands(AMB_COMMAND_RUN));
        teardown(NULL);
    }
}

/* The first zone reported for a machine is kept, and the tasks on record there are counted in it once. */
static void zone_learned_late(void **state) {
    (void)state;
    begin();
    static const int unknown[] = {UNKNOWN};
    struct amb_job *job = job_on(AMB_JOB_KIND_ARRAY, true, false, 4, unknown, ROWS(unknown));
    struct amb_machine *machine = job->tasks[0].machine;
    amb_machine_set_zone(machine, UNKNOWN);
    assert_int_equal(amb_placement_count_tasks_in_unknown_zones(job), 1);
    amb_machine_set_zone(machine, B);
    amb_machine_set_zone(machine, A);
    assert_int_equal(machine->zone_index, B);
    assert_int_equal(job->zone_task_counts[A], 0);
    assert_int_equal(job->zone_task_counts[B], 1);
    assert_int_equal(amb_placement_count_tasks_in_unknown_zones(job), 0);
    amb_task_unbind(node, &job->tasks[0], "gone");
    assert_int_equal(job->zone_task_counts[B], 0);
    teardown(NULL);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(zones_left),
        cmocka_unit_test(restarts),
        cmocka_unit_test(zone_learned_late),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
