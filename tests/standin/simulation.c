/* Runs a scenario: begins its faults, runs timers, advances machines and checks the rules. */
#include "world.h"

#include <stdlib.h>
#include <string.h>

enum {
    START_MS = 100000 /* a monotonic clock has an arbitrary origin */,
    INITIAL_MACHINES = 2,
    INITIAL_BOOT_MS = 500,
    DEFAULT_MEMORY_MB = 40
};

const struct sim_size sim_small = {3, 12, 16, 12, 3, 1000, 10000, 30000, 200, 20, 3},
                      sim_grown = {7, 120, 120, 40, 3, 1000, 10000, 30000, 200, 20, 3},
                      sim_fleet = {7, 600, 700, 60, 12, 4000, 22000, 42000, 700, 70, 6},
                      sim_slow = {3, 12, 16, 12, 3, 12000, 60000, 120000, 200, 20, 3},
                      sim_zonal = {5, 24, 40, 16, 3, 1000, 10000, 30000, 400, 60, 6};

const struct sim_cloud_timing sim_cloud_timing = {.list_lag = 5000, .boot = 8000, .fetch = 2000};

struct sim_world world;
void (*sim_on_transaction)(const struct sim_call *call, const struct amb_cbor_item *transaction);
void (*sim_on_peer_message)(const struct sim_call *call);
void (*sim_on_node_switch)(int node);

static void free_memory(void) {
    for (int i = 0; i < world.machine_count; i++) free(world.machines[i].tasks);
    for (int i = 0; i < world.store.key_count; i++) amb_buf_free(&world.store.keys[i].value);
    for (int i = 0; i < world.store.change_count; i++) amb_buf_free(&world.store.changes[i].value);
    for (int i = 0; i < SIM_REPLAYS; i++) amb_buf_free(&world.recorded_heartbeats[i].body);
}

static void reset(const struct sim_size *size, uint64_t seed) {
    free_memory();
    memset(&world, 0, sizeof world);
    world.size = size;
    world.random = seed * 2654435761u + 88172645463325252u;
    world.now = START_MS;
    world.current = -1;
    world.result.worst_served_share = 1;
}

static void schedule_faults(const struct sim_fault *faults, size_t count) {
    if (count > SIM_MAX_FAULTS) abort();
    for (size_t i = 0; i < count; i++) {
        world.faults[i] = faults[i];
        world.faults[i].at += START_MS;
    }
    world.fault_count = count;
    world.fault_effects_end = sim_fault_effects_end();
}

/* Scans all machines once for all gangs. With thousands of each, one scan per gang took most of the run time.
 */
static void advance_gangs(void) {
    static struct sim_task *last[SIM_JOBS];
    for (int i = 0; i < world.job_count; i++) world.jobs[i].first_task = last[i] = NULL;
    for (int i = 0; i < world.machine_count; i++) {
        struct sim_machine *machine = &world.machines[i];
        for (uint32_t k = 0; k < machine->task_count; k++) {
            struct sim_task *task = &machine->tasks[k];
            long job = task->job - world.jobs;
            task->machine = machine;
            task->next_of_job = NULL;
            *(last[job] ? &last[job]->next_of_job : &task->job->first_task) = task;
            last[job] = task;
        }
    }
    for (int i = 0; i < world.job_count; i++)
        if (world.jobs[i].spec.kind == AMB_JOB_KIND_GANG && world.jobs[i].first_task)
            sim_gang_advance(&world.jobs[i]);
}

static void run_tick(amb_ms end) {
    bool replays_heartbeats = sim_fault_scheduled(SIM_REPLAYED_HEARTBEATS);
    while (!world.result.violation[0] && sim_run_timer(end))
        if (replays_heartbeats && sim_new_leader_began()) sim_replay_heartbeats();
    world.now = end;
    sim_begin_faults();
    sim_check_upgrade_complete();
    sim_store_tick();
    for (int i = 0; i < world.machine_count; i++) sim_machine_advance(i);
    advance_gangs();
    if (end % 1000 == 0) {
        sim_check_liveness();
        sim_sample_recovery();
    }
}

static struct sim_result run_scenario(const struct sim_scenario *plan, double memory_mb, amb_ms overtime) {
    reset(plan->size, plan->seed);
    world.load = plan->load;
    world.memory_mb = memory_mb;
    schedule_faults(plan->faults, plan->fault_count);
    sim_start_nodes();
    int initial_machines = plan->load & SIM_LOAD_ZONAL ? plan->size->machines : INITIAL_MACHINES;
    for (int i = 0; i < initial_machines; i++) sim_machine_new(i % sim_zone_count(), false, INITIAL_BOOT_MS);
    sim_draw_jobs(plan->length);
    amb_ms end = START_MS + plan->length, latest_end = end + overtime;
    amb_ms at = START_MS;
    for (; !world.result.violation[0] && (at < end || (at < latest_end && sim_open_jobs()));
         at += SIM_TICK_MS)
        run_tick(at + SIM_TICK_MS);
    if (at >= end + SIM_TICK_MS) world.result.overtime_ms = at - end;
    sim_check_end(overtime > 0);
    sim_check_recovery_complete();
    return world.result;
}

struct sim_result sim_run(const struct sim_scenario *plan) {
    return run_scenario(plan, DEFAULT_MEMORY_MB, 0);
}

struct sim_result sim_run_with_memory(const struct sim_scenario *plan, double memory_mb) {
    return run_scenario(plan, memory_mb, 0);
}

struct sim_result sim_run_until_done(const struct sim_scenario *plan, amb_ms overtime) {
    return run_scenario(plan, DEFAULT_MEMORY_MB, overtime);
}

struct sim_result sim_run_large(const struct sim_scenario *plan, double memory_mb, amb_ms overtime) {
    return run_scenario(plan, memory_mb, overtime);
}

struct sim_result sim_run_default_load(const struct sim_size *size, uint64_t seed, amb_ms length,
                                       const struct sim_fault *faults, size_t count) {
    const struct sim_scenario plan = {size, seed, length, 0, faults, count};
    return sim_run(&plan);
}
