/* Users who submit bursts of short jobs, so that machines are rented and returned throughout the run. */
#include "proof.h"

#include <string.h>

enum {
    FIRST_MS = 3000,
    PAUSE_LEAST_MS = 300,
    PAUSE_MOST_MS = 1500,
    BURST_MOST = 3,
    TASKS_MOST = 3,
    RUN_LEAST_MS = 200,
    RUN_MOST_MS = 1500,
    JOBS_MOST = 3000,
    DEATH_LEAST_MS = 3000,
    DEATH_MOST_MS = 9000,
};

static amb_ms next_burst, next_death;

static void submit_job(void) {
    struct sim_job *job = sim_job_new();
    struct amb_job_spec *spec = &job->spec;
    sim_draw_spec(spec);
    spec->kind = AMB_JOB_KIND_ARRAY;
    spec->priority = AMB_PRIORITY_NORMAL;
    spec->one_zone = spec->spread_zones = false;
    spec->spot_allowed = sim_random() % 2;
    spec->task_count = (uint32_t)sim_random_between(1, TASKS_MOST);
    spec->task_resources = (struct amb_resources){8, SIM_MACHINE_GPUS, 40}; /* each task fills a machine */
    spec->estimated_runtime_s = (double)sim_random_between(RUN_LEAST_MS, RUN_MOST_MS) / 1000;
    job->short_task = true;
    job->submit_at = world.now;
    sim_schedule_submission(job, world.now);
}

/* Fails a random machine that is up, with its tasks: the controllers have to give it up and return it. */
static void fail_some_machine(void) {
    int first = (int)sim_random_between(0, world.machine_count - 1);
    for (int i = 0; i < world.machine_count; i++) {
        struct sim_machine *machine = &world.machines[(first + i) % world.machine_count];
        if (!machine->exists || !machine->up || machine->dead) continue;
        struct proof_event event = {.type = PROOF_DIED, .node = -1};
        strcpy(event.machine, machine->name);
        proof_note(&event);
        machine->dead = true;
        machine->died_at = world.now;
        machine->task_count = 0;
        return;
    }
}

void proof_workload_tick(void) {
    if (run.quiesced || run.plan->idle) return;
    if (!next_death) next_death = world.now + sim_random_between(DEATH_LEAST_MS, DEATH_MOST_MS);
    if (world.now >= next_death && world.machine_count && !run.plan->calm) {
        fail_some_machine();
        next_death = world.now + sim_random_between(DEATH_LEAST_MS, DEATH_MOST_MS);
    }
    if (!next_burst) next_burst = world.now + FIRST_MS;
    if (world.now < next_burst || world.job_count > JOBS_MOST) return;
    for (amb_ms i = sim_random_between(1, BURST_MOST); i > 0; i--) submit_job();
    next_burst = world.now + sim_random_between(PAUSE_LEAST_MS, PAUSE_MOST_MS);
}

bool proof_workload_done(void) {
    for (int i = 0; i < world.job_count; i++)
        if (!world.jobs[i].accepted || !sim_all_tasks_done(&world.jobs[i])) return false;
    return true;
}
