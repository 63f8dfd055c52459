/* The protocol's rules, checked at every start, answer and tick. */
#include "node_side.h"
#include "world.h"

#include "amberpin/placement/bin_packing.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { LONGEST_WAIT_MS = 90000, LONGEST_SILENCE_MS = 75000 }; /* once troubles are over */

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
    if (status == 503 && is_submission(request) && !node->side->job_table_has_room(node->node))
        world.result.refused_for_memory++;
}

/* Nodes hear of what others accept a moment later: by then a tenth of a second's writes may have been
 * accepted beyond the share. */
static void check_memory(const struct sim_node *node) {
    size_t used = node->side->job_table_used(node->node);
    size_t most = node->side->job_table_most(node->node);
    size_t accepted_at_once =
        (size_t)world.size->store_write_rps / 10 * (sizeof(struct amb_job) + sizeof(struct amb_job_spec));
    if (used > world.result.peak_job_table_bytes) world.result.peak_job_table_bytes = used;
    if (used > accepted_at_once && used - accepted_at_once > most)
        sim_report_violation("memory: n%d holds %zu bytes of jobs", (int)(node - world.nodes), used);
}

/* Tasks on other machines, as a start finds them. */
struct crowd {
    uint32_t in_zone[SIM_ZONES]; /* of the same job */
    double team_gpus;
};

static uint32_t in_other_zones(const uint32_t in_zone[SIM_ZONES], int zone) {
    uint32_t others = 0;
    for (int other = 0; other < SIM_ZONES; other++)
        if (other != zone) others += in_zone[other];
    return others;
}

static void count_task(struct crowd *crowd, const struct sim_machine *machine, const struct sim_task *other,
                       const struct sim_task *task) {
    const struct sim_job *job = task->job;
    if (other->job == job) {
        crowd->in_zone[machine->zone]++;
        if (other->index == task->index)
            sim_report_violation("ran_twice: %s on %s too", task->ref, machine->name);
    }
    const struct sim_job *other_job = other->job;
    if (!strcmp(other_job->spec.team, job->spec.team))
        crowd->team_gpus += other_job->spec.task_resources.gpus;
}

static struct crowd count_tasks(const struct sim_task *task) {
    struct crowd crowd = {{0}, 0};
    for (int i = 0; i < world.machine_count; i++) {
        const struct sim_machine *machine = &world.machines[i];
        if (!machine->exists || machine->dead || world.now - machine->lease_from > world.size->agent_lease_ms)
            continue; /* hanging beyond its lease */
        for (uint32_t k = 0; k < machine->task_count; k++) {
            const struct sim_task *other = &machine->tasks[k];
            if (sim_has_started(other) && other != task) count_task(&crowd, machine, other, task);
        }
    }
    return crowd;
}

/* Its own cancellation, or that of a job before it, was told so long ago that nothing of it may be left. */
static bool past_cancel(const struct sim_job *job) {
    amb_ms told = sim_cancel_told_at(job);
    return told && world.now > told + world.size->cancel_ms;
}

/* Whoever is told that a job is cancelled will never see it done, whatever its tasks did. */
static void check_needs(const struct sim_job *job) {
    for (int i = 0; i < job->await_count; i++) {
        const struct sim_job *needed = &world.jobs[job->awaits[i]];
        if (!sim_all_tasks_done(needed))
            sim_report_violation("too_early: %s, %s is not done", job->spec.ref, needed->spec.ref);
        else if (needed->cancel_told)
            sim_report_violation("too_early: %s, %s is cancelled", job->spec.ref, needed->spec.ref);
    }
}

void sim_check_start(const struct sim_machine *machine, const struct sim_task *task) {
    const struct sim_job *job = task->job;
    const struct amb_job_spec *spec = &job->spec;
    world.result.starts++;
    struct crowd crowd = count_tasks(task);
    crowd.in_zone[machine->zone]++;
    if (crowd.team_gpus + spec->task_resources.gpus > sim_team_limit())
        sim_report_violation("quota: team of %s", task->ref);
    if (job->cancel_told) world.result.starts_after_cancel++;
    if (spec->zone[0] && machine->zone != sim_zone_of_name(spec->zone))
        sim_report_violation("wrong_place: %s on %s of another zone", task->ref, machine->name);
    if (machine->spot && !spec->spot_allowed)
        sim_report_violation("wrong_place: %s on spot %s", task->ref, machine->name);
    if (spec->spread_zones &&
        crowd.in_zone[machine->zone] > amb_placement_max_tasks_per_zone(spec->task_count))
        sim_report_violation("wrong_place: spread of %s on %s", task->ref, machine->name);
    if (spec->one_zone && in_other_zones(crowd.in_zone, machine->zone))
        sim_report_violation("wrong_place: %s not in one zone, %s", task->ref, machine->name);
    if (past_cancel(job)) sim_report_violation("ran_cancelled: %s started on %s", task->ref, machine->name);
    check_needs(job);
}

void sim_check_task(const struct sim_machine *machine, const struct sim_task *task) {
    if (sim_has_started(task) && past_cancel(task->job))
        sim_report_violation("ran_cancelled: %s on %s", task->ref, machine->name);
}

static enum sim_known known_by(int status, bool final) {
    if (status != 200 && status != 201) return SIM_UNKNOWN;
    return final ? SIM_FINAL : SIM_ACCEPTED;
}

/* 400: the submission is malformed; 422: the job can never run. */
static int refusal_of(enum sim_oddity oddity) {
    return oddity == SIM_LACKS_FIELD || oddity == SIM_AWAITS_MALFORMED ? 400 : 422;
}

static void check_refusal(struct sim_job *job, const struct sim_call *call) {
    if (call->known_before >= SIM_ACCEPTED)
        sim_report_violation("forgotten: %s refused", job->spec.ref);
    else if (job->oddity == SIM_SOUND)
        sim_report_violation("refused: %s, which can run", job->spec.ref);
    else if (call->status != refusal_of(job->oddity))
        sim_report_violation("refused: %s with %d, oddity %d", job->spec.ref, call->status, (int)job->oddity);
    if (!job->refused && job->oddity != SIM_SOUND) world.result.refused++;
    if (!job->refused && job->oddity == SIM_AWAITS_UNKNOWN) world.result.unknown_dependency_refusals++;
    job->refused = true;
}

/* An answer must not be older than one that had arrived when the question was sent. */
static void check_age(const struct sim_job *job, const struct sim_call *call, bool done, bool cancelled) {
    if (known_by(call->status, done || cancelled) < call->known_before)
        sim_report_violation("went_back: %s", job->spec.ref);
    if ((job->done_told && cancelled) || (job->cancel_told && done))
        sim_report_violation("went_back: %s, from one end to another", job->spec.ref);
}

/* A job that its user did not ask to cancel is cancelled only with one that it needs. */
static void check_cause(const struct sim_job *job) {
    if (!sim_cancel_wanted(job)) sim_report_violation("went_back: %s cancelled by nobody", job->spec.ref);
}

/* Jobs that were called cancelled with this one, which is now called done. */
static void check_cancelled_with(const struct sim_job *job) {
    for (int i = 0; i < world.job_count; i++) {
        const struct sim_job *other = &world.jobs[i];
        if (other->cancel_told && !other->cancel_wanted && sim_is_before(job, other)) check_cause(other);
    }
}

static void check_orphan(const struct sim_job *job) {
    amb_ms told = sim_cancel_told_at(job);
    if (told && world.now > told + world.size->cancel_ms)
        sim_report_violation("orphaned: %s, %lld ms after one that it needs was cancelled", job->spec.ref,
                             (long long)(world.now - told));
}

static void tell_cancelled(struct sim_job *job) {
    if (job->cancel_told) return;
    job->cancel_told = true;
    job->cancel_told_at = world.now;
    world.result.cancelled++;
    if (!job->cancel_wanted) world.result.dependents_cancelled++;
}

static void tell_done(struct sim_job *job) {
    if (job->done_told) return;
    job->done_told = true;
    world.result.done++;
    if (job->await_count) world.result.dependents_done++;
    if (job->pipeline) check_cancelled_with(job);
}

static void tell(struct sim_job *job, bool done, bool cancelled) {
    enum sim_known before = job->known;
    job->answered_at = world.now;
    if (!job->accepted) world.result.accepted++;
    if (!job->accepted && job->await_count) world.result.dependents++;
    job->accepted = true;
    if (done) tell_done(job);
    if (cancelled) tell_cancelled(job);
    job->known = done || cancelled ? SIM_FINAL : before > SIM_ACCEPTED ? before : SIM_ACCEPTED;
    if (job->known == before) return;
    sim_look_closely(job);
    sim_look_at_pipeline(job);
}

void sim_check_answer(const struct sim_call *call, const cbor_item_t *body) {
    struct sim_job *job = call->user;
    const cbor_item_t *stance = amb_cbor_map_get(body, "stance");
    bool done = amb_cbor_equals(stance, "done"), cancelled = amb_cbor_equals(stance, "cancelled");
    if (call->status == 404 && call->known_before >= SIM_ACCEPTED)
        sim_report_violation("forgotten: %s", job->spec.ref);
    if (call->status == 400 || call->status == 422) check_refusal(job, call);
    if (call->status == 200 && !job->submitted) sim_report_violation("invented: %s", job->spec.ref);
    if (call->status != 200 && call->status != 201) return;
    if (job->oddity != SIM_SOUND)
        sim_report_violation("took_unfit: %s, oddity %d", job->spec.ref, (int)job->oddity);
    if (done && !sim_all_tasks_done(job)) sim_report_violation("not_done: %s", job->spec.ref);
    if (cancelled) check_cause(job);
    if (!done && !cancelled) check_orphan(job);
    check_age(job, call, done, cancelled);
    tell(job, done, cancelled);
}

/* Who orders starts has renewed its lead within the leadership lease, and could have read of the cancellation
 * then; an order may wait a report period more to be sent. */
static amb_ms latest_ignorance(void) {
    struct amb_options options;
    amb_options_set_defaults(&options);
    return (amb_ms)(options.leader_lease_share * (double)world.size->agent_lease_ms) +
           world.size->heartbeat_ms;
}

void sim_check_order(const struct sim_job *job, amb_ms issued) {
    amb_ms told = sim_cancel_told_at(job);
    if (!told || issued <= told) return;
    amb_ms late = issued - told;
    world.result.commands_after_cancel++;
    if (late > world.result.latest_command_after_cancel_ms)
        world.result.latest_command_after_cancel_ms = late;
    if (late > latest_ignorance())
        sim_report_violation("started_cancelled: %s, ordered %lld ms after its cancellation was confirmed",
                             job->spec.ref, (long long)late);
}

/* What runs where, for the checks of what must not last. */
struct survey {
    uint64_t placed[SIM_JOBS]; /* a bit for each task */
    uint32_t in_zone[SIM_JOBS][SIM_ZONES];
    double room[SIM_MACHINES]; /* free GPUs, of machines that could be given work */
    double team_gpus[SIM_TEAMS];
};

static int team_of(const struct sim_job *job) {
    return job->spec.team[strlen("team-")] - '0';
}

static void survey_task(struct survey *survey, int machine, const struct sim_task *task) {
    const struct sim_job *job = task->job;
    ptrdiff_t index = job - world.jobs;
    if (task->on == AMB_AGENT_TASK_EXITED) return;
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

/* Tasks of the job that fit in a zone's machines as they are. */
static uint32_t fitting(const struct survey *survey, const struct sim_job *job, int zone) {
    uint32_t count = 0;
    for (int i = 0; i < world.machine_count; i++)
        if (world.machines[i].zone == zone && survey->room[i] >= job->spec.task_resources.gpus &&
            may_use(survey, job, i))
            count += (uint32_t)(survey->room[i] / job->spec.task_resources.gpus);
    return count;
}

static bool has_room(const struct survey *survey, const struct sim_job *job) {
    uint32_t together = job->spec.kind == AMB_JOB_KIND_GANG ? job->spec.task_count : 1;
    if (survey->team_gpus[team_of(job)] + together * job->spec.task_resources.gpus > sim_team_limit())
        return false;
    uint32_t all = 0, most = 0;
    for (int zone = 0; zone < sim_zones(); zone++) {
        uint32_t here = fitting(survey, job, zone);
        all += here;
        if (here > most) most = here;
    }
    return (job->spec.one_zone ? most : all) >= together;
}

static bool has_waiting_task(const struct survey *survey, const struct sim_job *job) {
    uint64_t placed = survey->placed[job - world.jobs];
    if (job->spec.kind == AMB_JOB_KIND_GANG && placed) return false;
    for (uint32_t i = 0; i < job->spec.task_count; i++)
        if (!job->done[i] && !(placed >> i & 1)) return true;
    return false;
}

static void check_waiting(const struct survey *survey, struct sim_job *job) {
    uint64_t placed = survey->placed[job - world.jobs];
    bool waits = job->accepted && !sim_cancel_wanted(job) && !job->done_told && sim_needs_done(job) &&
                 placed == job->was_placed && has_waiting_task(survey, job) && has_room(survey, job);
    job->was_placed = placed;
    if (!waits || world.now < world.troubles_over) job->waits_from = world.now;
    if (world.now - job->waits_from > LONGEST_WAIT_MS)
        sim_report_violation("left_waiting: %s, kind %d, %u tasks", job->spec.ref, (int)job->spec.kind,
                             job->spec.task_count);
}

static void check_answered(const struct sim_job *job) {
    amb_ms since = job->answered_at > world.troubles_over ? job->answered_at : world.troubles_over;
    if (job->accepted && world.now - since > LONGEST_SILENCE_MS)
        sim_report_violation("unanswered: %s", job->spec.ref);
}

void sim_check_second(void) {
    static struct survey survey;
    survey_take(&survey);
    for (int i = 0; i < world.job_count; i++) {
        check_waiting(&survey, &world.jobs[i]);
        check_answered(&world.jobs[i]);
    }
    for (int i = 0; i < world.size->nodes; i++)
        if (world.nodes[i].alive) check_memory(&world.nodes[i]);
}

static bool is_open(const struct sim_job *job) {
    return job->accepted && job->spec.kind != AMB_JOB_KIND_SERVICE && !sim_cancel_wanted(job) &&
           !job->done_told;
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
        if (getenv("SIM_TRACE") && job->accepted && !job->done_told && !job->cancel_told)
            printf("open: %s kind %d tasks %u\n", job->spec.ref, (int)job->spec.kind, job->spec.task_count);
    }
}
