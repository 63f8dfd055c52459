/* The protocol's rules, checked at every task start, answer and tick. */
#include "node_version.h"
#include "world.h"

#include "amberpin/placement/bin_packing.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Apply once the effects of all faults have ended. */
enum { MAX_PLACEMENT_WAIT_MS = 90000, MAX_UNANSWERED_MS = 75000 };

void sim_report_violation(const char *format, ...) {
    char text[sizeof world.result.violation - 32];
    va_list arguments;
    if (world.result.violation[0]) return;
    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    snprintf(world.result.violation, sizeof world.result.violation, "at %lld ms: %s", (long long)world.now,
             text);
}

static bool is_submission(const struct amb_http_req *request) {
    return !strcmp(request->method, "POST") && !strcmp(request->path, "/v1/jobs");
}

void sim_check_reply(const struct sim_node *node, const struct amb_http_req *request, int status,
                     int retry_after_s) {
    if (status == 503 && !retry_after_s && strcmp(request->path, "/healthz"))
        sim_report_violation("a 503 without Retry-After for %s", request->path);
    if (status == 503 && is_submission(request) && !node->version->job_table_has_room(node->node))
        world.result.refused_for_memory++;
}

/* Nodes learn of jobs accepted by other nodes with a delay. In the meantime the jobs of a tenth of a second's
 * writes may be accepted in excess of the job table's share of memory. */
static void check_memory(const struct sim_node *node) {
    size_t used = node->version->job_table_used(node->node);
    size_t max_bytes = node->version->job_table_max(node->node);
    size_t accepted_at_once =
        (size_t)world.size->store_write_rps / 10 * (sizeof(struct amb_job) + sizeof(struct amb_job_spec));
    if (used > world.result.peak_job_table_bytes) world.result.peak_job_table_bytes = used;
    if (used > accepted_at_once && used - accepted_at_once > max_bytes)
        sim_report_violation("memory: n%d holds %zu bytes of jobs", (int)(node - world.nodes), used);
}

/* Tasks that run when a task starts. */
struct running_tasks {
    uint32_t in_zone[SIM_ZONES]; /* of the same job */
    double team_gpus;
};

static uint32_t in_other_zones(const uint32_t in_zone[SIM_ZONES], int zone) {
    uint32_t count = 0;
    for (int other = 0; other < SIM_ZONES; other++)
        if (other != zone) count += in_zone[other];
    return count;
}

static void count_task(struct running_tasks *running_tasks, const struct sim_machine *machine,
                       const struct sim_task *other, const struct sim_task *task) {
    const struct sim_job *job = task->job;
    if (other->job == job) {
        running_tasks->in_zone[machine->zone]++;
        if (other->index == task->index)
            sim_report_violation("ran_twice: %s on %s too", task->ref, machine->name);
    }
    const struct sim_job *other_job = other->job;
    if (!strcmp(other_job->spec.team, job->spec.team))
        running_tasks->team_gpus += other_job->spec.task_resources.gpus;
}

static struct running_tasks count_tasks(const struct sim_task *task) {
    struct running_tasks running_tasks = {{0}, 0};
    for (int i = 0; i < world.machine_count; i++) {
        const struct sim_machine *machine = &world.machines[i];
        if (!machine->exists || machine->dead || world.now - machine->lease_from > world.size->agent_lease_ms)
            continue; /* hangs, and its lease has expired */
        for (uint32_t k = 0; k < machine->task_count; k++) {
            const struct sim_task *other = &machine->tasks[k];
            if (sim_has_started(other) && other != task) count_task(&running_tasks, machine, other, task);
        }
    }
    return running_tasks;
}

/* True if its cancellation, or that of a dependency, was confirmed so long ago that none of its tasks may
 * run. */
static bool is_past_cancel_deadline(const struct sim_job *job) {
    amb_ms confirmed_at = sim_cancel_confirmed_at(job);
    return confirmed_at && world.now > confirmed_at + world.size->cancel_ms;
}

/* A job that was reported cancelled never counts as done, even if all its tasks completed. */
static void check_dependencies(const struct sim_job *job) {
    for (int i = 0; i < job->dependency_count; i++) {
        const struct sim_job *dependency = &world.jobs[job->dependencies[i]];
        if (!sim_all_tasks_done(dependency))
            sim_report_violation("too_early: %s, %s is not done", job->spec.ref, dependency->spec.ref);
        else if (dependency->cancel_confirmed)
            sim_report_violation("too_early: %s, %s is cancelled", job->spec.ref, dependency->spec.ref);
    }
}

void sim_check_start(const struct sim_machine *machine, const struct sim_task *task) {
    const struct sim_job *job = task->job;
    const struct amb_job_spec *spec = &job->spec;
    world.result.starts++;
    struct running_tasks running_tasks = count_tasks(task);
    running_tasks.in_zone[machine->zone]++;
    if (running_tasks.team_gpus + spec->task_resources.gpus > sim_team_limit())
        sim_report_violation("quota: team of %s", task->ref);
    if (job->cancel_confirmed) world.result.starts_after_cancel++;
    if (spec->zone[0] && machine->zone != sim_zone_of_name(spec->zone))
        sim_report_violation("wrong_place: %s on %s of another zone", task->ref, machine->name);
    if (machine->spot && !spec->spot_allowed)
        sim_report_violation("wrong_place: %s on spot %s", task->ref, machine->name);
    if (spec->spread_zones &&
        running_tasks.in_zone[machine->zone] > amb_placement_max_tasks_per_zone(spec->task_count))
        sim_report_violation("wrong_place: spread of %s on %s", task->ref, machine->name);
    if (spec->one_zone && in_other_zones(running_tasks.in_zone, machine->zone))
        sim_report_violation("wrong_place: %s not in one zone, %s", task->ref, machine->name);
    if (is_past_cancel_deadline(job))
        sim_report_violation("ran_cancelled: %s started on %s", task->ref, machine->name);
    check_dependencies(job);
}

void sim_check_task(const struct sim_machine *machine, const struct sim_task *task) {
    if (sim_has_started(task) && is_past_cancel_deadline(task->job))
        sim_report_violation("ran_cancelled: %s on %s", task->ref, machine->name);
}

static enum sim_reported_state reported_by(int status, bool final) {
    if (status != 200 && status != 201) return SIM_NOT_REPORTED;
    return final ? SIM_REPORTED_FINAL : SIM_REPORTED_ACCEPTED;
}

/* 400: the submission is malformed; 422: the job can never run. */
static int expected_refusal(enum sim_defect defect) {
    return defect == SIM_MISSING_FIELD || defect == SIM_MALFORMED_DEPENDENCIES ? 400 : 422;
}

static void check_refusal(struct sim_job *job, const struct sim_call *call) {
    if (call->reported_before >= SIM_REPORTED_ACCEPTED)
        sim_report_violation("forgotten: %s refused", job->spec.ref);
    else if (job->defect == SIM_NO_DEFECT)
        sim_report_violation("refused: %s, which can run", job->spec.ref);
    else if (call->status != expected_refusal(job->defect))
        sim_report_violation("refused: %s with %d, oddity %d", job->spec.ref, call->status, (int)job->defect);
    if (!job->refused && job->defect != SIM_NO_DEFECT) world.result.refused++;
    if (!job->refused && job->defect == SIM_UNKNOWN_DEPENDENCY) world.result.unknown_dependency_refusals++;
    job->refused = true;
}

/* An answer must not be older than one that had arrived before the request was sent. */
static void check_monotonic(const struct sim_job *job, const struct sim_call *call, bool done,
                            bool cancelled) {
    if (reported_by(call->status, done || cancelled) < call->reported_before)
        sim_report_violation("went_back: %s", job->spec.ref);
    if ((job->done_reported && cancelled) || (job->cancel_confirmed && done))
        sim_report_violation("went_back: %s, from one end to another", job->spec.ref);
}

/* A job is cancelled only at its user's request or with a dependency. */
static void check_cancel_cause(const struct sim_job *job) {
    if (!sim_cancel_requested(job)) sim_report_violation("went_back: %s cancelled by nobody", job->spec.ref);
}

/* Rechecks dependents that were reported cancelled, now that this job is reported done. */
static void check_cancelled_dependents(const struct sim_job *job) {
    for (int i = 0; i < world.job_count; i++) {
        const struct sim_job *other = &world.jobs[i];
        if (other->cancel_confirmed && !other->cancel_requested && sim_is_dependency_of(job, other))
            check_cancel_cause(other);
    }
}

static void check_dependents_cancelled(const struct sim_job *job) {
    amb_ms confirmed_at = sim_cancel_confirmed_at(job);
    if (confirmed_at && world.now > confirmed_at + world.size->cancel_ms)
        sim_report_violation("orphaned: %s, %lld ms after one that it needs was cancelled", job->spec.ref,
                             (long long)(world.now - confirmed_at));
}

static void record_cancelled(struct sim_job *job) {
    if (job->cancel_confirmed) return;
    job->cancel_confirmed = true;
    job->cancel_confirmed_at = world.now;
    world.result.cancelled++;
    if (!job->cancel_requested) world.result.dependents_cancelled++;
}

static void record_done(struct sim_job *job) {
    if (job->done_reported) return;
    job->done_reported = true;
    world.result.done++;
    if (job->dependency_count) world.result.dependents_done++;
    if (job->pipeline) check_cancelled_dependents(job);
}

static void record_answer(struct sim_job *job, bool done, bool cancelled) {
    enum sim_reported_state before = job->reported;
    job->answered_at = world.now;
    bool is_new = !job->accepted;
    if (is_new) world.result.accepted++;
    if (is_new && job->dependency_count) world.result.dependents++;
    job->accepted = true;
    if (done) record_done(job);
    if (cancelled) record_cancelled(job);
    job->reported = done || cancelled                ? SIM_REPORTED_FINAL
                    : before > SIM_REPORTED_ACCEPTED ? before
                                                     : SIM_REPORTED_ACCEPTED;
    if (job->reported == before) return;
    if (is_new && !done && !cancelled) sim_job_accepted(job);
    sim_start_poll_burst(job);
    sim_poll_pipeline(job);
}

void sim_check_answer(const struct sim_call *call, const struct amb_cbor_item *body) {
    struct sim_job *job = call->user;
    const struct amb_cbor_item *stance = amb_cbor_map_get(body, "stance");
    bool done = amb_cbor_equals(stance, "done"), cancelled = amb_cbor_equals(stance, "cancelled");
    if (call->status == 404 && call->reported_before >= SIM_REPORTED_ACCEPTED)
        sim_report_violation("forgotten: %s", job->spec.ref);
    if (call->status == 400 || call->status == 422) check_refusal(job, call);
    if (call->status == 200 && !job->submitted) sim_report_violation("invented: %s", job->spec.ref);
    if (call->status != 200 && call->status != 201) return;
    if (job->defect != SIM_NO_DEFECT)
        sim_report_violation("took_unfit: %s, oddity %d", job->spec.ref, (int)job->defect);
    if (done && !sim_all_tasks_done(job)) sim_report_violation("not_done: %s", job->spec.ref);
    if (cancelled) check_cancel_cause(job);
    if (!done && !cancelled) check_dependents_cancelled(job);
    check_monotonic(job, call, done, cancelled);
    record_answer(job, done, cancelled);
}

/* A leader that sends start commands has renewed its leadership lease within the lease's duration and could
 * read of the cancellation then; a command may wait for another heartbeat interval before it is sent. */
static amb_ms max_command_delay(void) {
    struct amb_options options;
    amb_options_set_defaults(&options);
    return (amb_ms)(options.leader_lease_share * (double)world.size->agent_lease_ms) +
           world.size->heartbeat_ms;
}

/* A user who was told of the cancellation before the agent sent the heartbeat must not see a start in
 * response to it. The production version does not guarantee this. */
static void check_heartbeat_order(const struct sim_job *job, amb_ms confirmed_at, amb_ms heartbeat_sent_at) {
    if (heartbeat_sent_at <= confirmed_at) return;
    world.result.late_commands++;
    sim_report_violation("started_cancelled: %s, ordered in response to a heartbeat sent %lld ms after its "
                         "cancellation was confirmed",
                         job->spec.ref, (long long)(heartbeat_sent_at - confirmed_at));
}

void sim_check_start_command(const struct sim_job *job, const struct sim_command_origin *origin) {
    amb_ms confirmed_at = sim_cancel_confirmed_at(job);
    if (!confirmed_at || origin->issued_at <= confirmed_at) return;
    amb_ms delay = origin->issued_at - confirmed_at;
    world.result.commands_after_cancel++;
    if (delay > world.result.latest_command_after_cancel_ms)
        world.result.latest_command_after_cancel_ms = delay;
    if (!origin->production) check_heartbeat_order(job, confirmed_at, origin->heartbeat_sent_at);
    if (delay > max_command_delay())
        sim_report_violation("started_cancelled: %s, ordered %lld ms after its cancellation was confirmed",
                             job->spec.ref, (long long)delay);
}

/* Placement of all tasks, for the liveness checks. */
struct survey {
    uint64_t placed[SIM_JOBS]; /* bit per task */
    uint32_t in_zone[SIM_JOBS][SIM_ZONES];
    double room[SIM_MACHINES]; /* free GPUs of machines that are up and do not hang */
    double team_gpus[SIM_TEAMS];
};

static int team_of(const struct sim_job *job) {
    return job->spec.team[strlen("team-")] - '0';
}

static void survey_task(struct survey *survey, int machine, const struct sim_task *task) {
    const struct sim_job *job = task->job;
    ptrdiff_t index = job - world.jobs;
    if (task->state == AMB_AGENT_TASK_EXITED) return;
    survey->placed[index] |= (uint64_t)1 << task->index;
    survey->in_zone[index][world.machines[machine].zone]++;
    survey->room[machine] -= job->spec.task_resources.gpus;
    survey->team_gpus[team_of(job)] += job->spec.task_resources.gpus;
}

static void survey_take(struct survey *survey) {
    memset(survey, 0, sizeof *survey);
    for (int i = 0; i < world.machine_count; i++) {
        const struct sim_machine *machine = &world.machines[i];
        if (!machine->exists || machine->dead) continue;
        if (machine->up && world.now >= machine->hang_until) survey->room[i] = SIM_MACHINE_GPUS;
        for (uint32_t k = 0; k < machine->task_count; k++) survey_task(survey, i, &machine->tasks[k]);
    }
}

static bool may_use(const struct survey *survey, const struct sim_job *job, int machine) {
    const struct amb_job_spec *spec = &job->spec;
    const uint32_t *in_zone = survey->in_zone[job - world.jobs];
    int zone = world.machines[machine].zone;
    if (world.machines[machine].spot && !spec->spot_allowed) return false;
    if (spec->zone[0] && zone != sim_zone_of_name(spec->zone)) return false;
    if (spec->one_zone && in_other_zones(in_zone, zone)) return false;
    return !spec->spread_zones || in_zone[zone] < amb_placement_max_tasks_per_zone(spec->task_count);
}

/* Number of the job's tasks that fit on the zone's machines. */
static uint32_t count_fitting_tasks(const struct survey *survey, const struct sim_job *job, int zone) {
    uint32_t count = 0;
    for (int i = 0; i < world.machine_count; i++)
        if (world.machines[i].zone == zone && survey->room[i] >= job->spec.task_resources.gpus &&
            may_use(survey, job, i))
            count += (uint32_t)(survey->room[i] / job->spec.task_resources.gpus);
    return count;
}

static bool has_capacity(const struct survey *survey, const struct sim_job *job) {
    uint32_t tasks_at_once = job->spec.kind == AMB_JOB_KIND_GANG ? job->spec.task_count : 1;
    if (survey->team_gpus[team_of(job)] + tasks_at_once * job->spec.task_resources.gpus > sim_team_limit())
        return false;
    uint32_t all = 0, max_bytes = 0;
    for (int zone = 0; zone < sim_zone_count(); zone++) {
        uint32_t here = count_fitting_tasks(survey, job, zone);
        all += here;
        if (here > max_bytes) max_bytes = here;
    }
    return (job->spec.one_zone ? max_bytes : all) >= tasks_at_once;
}

static bool has_waiting_task(const struct survey *survey, const struct sim_job *job) {
    uint64_t placed = survey->placed[job - world.jobs];
    if (job->spec.kind == AMB_JOB_KIND_GANG && placed) return false;
    for (uint32_t i = 0; i < job->spec.task_count; i++)
        if (!job->done[i] && !(placed >> i & 1)) return true;
    return false;
}

static void check_placement_delay(const struct survey *survey, struct sim_job *job) {
    uint64_t placed = survey->placed[job - world.jobs];
    bool can_be_placed = job->accepted && !sim_cancel_requested(job) && !job->done_reported &&
                         sim_dependencies_done(job) && placed == job->previously_placed &&
                         has_waiting_task(survey, job) && has_capacity(survey, job);
    job->previously_placed = placed;
    if (!can_be_placed || world.now < world.fault_effects_end) job->placeable_since = world.now;
    if (world.now - job->placeable_since > MAX_PLACEMENT_WAIT_MS)
        sim_report_violation("left_waiting: %s, kind %d, %u tasks", job->spec.ref, (int)job->spec.kind,
                             job->spec.task_count);
}

static void check_response_delay(const struct sim_job *job) {
    amb_ms since = job->answered_at > world.fault_effects_end ? job->answered_at : world.fault_effects_end;
    if (job->accepted && world.now - since > MAX_UNANSWERED_MS)
        sim_report_violation("unanswered: %s", job->spec.ref);
}

void sim_check_liveness(void) {
    static struct survey survey;
    survey_take(&survey);
    for (int i = 0; i < world.job_count; i++) {
        check_placement_delay(&survey, &world.jobs[i]);
        check_response_delay(&world.jobs[i]);
    }
    for (int i = 0; i < world.size->nodes; i++)
        if (world.nodes[i].alive) check_memory(&world.nodes[i]);
}

static bool is_open(const struct sim_job *job) {
    return job->accepted && job->spec.kind != AMB_JOB_KIND_SERVICE && !sim_cancel_requested(job) &&
           !job->done_reported;
}

uint32_t sim_open_jobs(void) {
    uint32_t open = 0;
    for (int i = 0; i < world.job_count; i++) open += is_open(&world.jobs[i]);
    return open;
}

void sim_check_end(bool all_must_be_done) {
    for (int i = 0; i < world.job_count; i++) {
        const struct sim_job *job = &world.jobs[i];
        if (is_open(job)) {
            world.result.open_jobs++;
            if (all_must_be_done) sim_report_violation("unfinished: %s", job->spec.ref);
        }
        if (getenv("SIM_TRACE") && job->accepted && !job->done_reported && !job->cancel_confirmed)
            printf("open: %s kind %d tasks %u\n", job->spec.ref, (int)job->spec.kind, job->spec.task_count);
    }
}
