/* Simulated users: submit jobs, poll them, resubmit some and cancel some. */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { SUBMIT_TIMEOUT_MS = 5000, QUERY_TIMEOUT_MS = 2000, EARLY_QUERY_MS = 1500 };
/* Interval at which a user checks whether the dependencies are ready. */
enum { MIN_DEPENDENCY_CHECK_MS = 10, MAX_DEPENDENCY_CHECK_MS = 100 };
enum { /* of SIM_CANCEL_BURST */
       MIN_REMAINING_RUN_MS = 3000,
       MIN_HANG_MS = 1000, /* with a shorter fault no machine hangs */
       MAX_HUNG_MACHINES = 8,
       DEFAULT_BURST_JOBS = 8 /* unless the fault sets the number */
};
enum { MAX_CANCEL_AT_COMPLETION_DELAY_MS = 500, MAX_EARLY_CANCEL_DELAY_MS = 400 };
enum { POLLING_FACTOR = 8, FAILING_JOB_PERIOD = 4, UNGUARANTEED_RUN_S = 4 };

int sim_team_limit(void) {
    if (world.load & (SIM_LOAD_OVERLOAD | SIM_LOAD_ZONAL)) return SIM_MACHINE_GPUS * world.size->machines;
    if (world.load & SIM_LOAD_SMALL_QUOTAS)
        return world.size->machines / 2 > SIM_MACHINE_GPUS ? world.size->machines / 2 : SIM_MACHINE_GPUS;
    return 2 * world.size->machines;
}

struct sim_job *sim_find_job(const char *ref) {
    long i = strtol(ref + 3, NULL, 10); /* the number in names of sim_job_new */
    return i >= 0 && i < world.job_count && !strcmp(world.jobs[i].spec.ref, ref) ? &world.jobs[i] : NULL;
}

bool sim_all_tasks_done(const struct sim_job *job) {
    for (uint32_t i = 0; i < job->spec.task_count; i++)
        if (!job->done[i]) return false;
    return true;
}

static struct sim_call *user_call(struct sim_job *job, int node, void (*answered)(struct sim_call *call)) {
    struct sim_call *call = sim_call_new();
    call->destination = SIM_TO_API;
    call->node = node;
    call->user = job;
    call->on_reply = answered;
    call->reported_before = job->reported;
    return call;
}

/* Renames a mandatory field of the submission. */
static void corrupt_field(struct amb_buf *body) {
    static const char *const fields[] = {"crew", "legs", "shape", "rank", "reckon_s"};
    const char *field = fields[sim_random() % (sizeof fields / sizeof *fields)];
    char *at = memmem(body->data, body->len, field, strlen(field));
    if (at) *at = 'x';
}

static void send_submission(struct sim_job *job, struct sim_call *call, bool corrupted) {
    struct amb_buf body = {0};
    strcpy(call->method, "POST");
    strcpy(call->path, "/v1/jobs");
    amb_codec_encode_spec(&body, &job->spec);
    sim_encode_dependencies(&body, job);
    if (corrupted) corrupt_field(&body);
    call->body = body.data;
    call->len = body.len;
    sim_call_start(call, SUBMIT_TIMEOUT_MS);
}

static void send_query(struct sim_job *job, struct sim_call *call, bool cancel) {
    strcpy(call->method, cancel ? "POST" : "GET");
    snprintf(call->path, sizeof call->path, "/v1/jobs/%s%s", job->spec.ref, cancel ? "/cancel" : "");
    sim_call_start(call, QUERY_TIMEOUT_MS);
}

static void user_step(void *arg);

static void take_answer(struct sim_call *call) {
    const struct amb_cbor_item *body =
        call->answer.len ? amb_cbor_parse(call->answer.data, call->answer.len) : NULL;
    sim_check_answer(call, body);
}

static void user_answered(struct sim_call *call) {
    struct sim_job *job = call->user;
    take_answer(call);
    if (job->timer.position) return;
    bool is_final = job->short_task && job->reported == SIM_REPORTED_FINAL;
    amb_ms pause = is_final ? sim_random_between(10000, 30000) : sim_random_between(1000, 4000);
    if (sim_fault_active(SIM_FREQUENT_POLLING, -1)) pause /= POLLING_FACTOR;
    amb_timer_set_after(&job->timer, pause, user_step, job);
}

static void user_step(void *arg) {
    struct sim_job *job = arg;
    if (!job->submitted && !sim_may_submit(job)) {
        sim_schedule_submission(
            job, world.now + sim_random_between(MIN_DEPENDENCY_CHECK_MS, MAX_DEPENDENCY_CHECK_MS));
        return;
    }
    /* A resubmission may happen at any time. */
    bool submit = job->submitted && !job->refused && (!job->accepted || sim_random() % 16 == 0);
    if (!job->submitted && world.now >= job->submit_at) job->submitted = submit = true;
    if (job->accepted && job->cancel_at && world.now >= job->cancel_at) job->cancel_requested = true;
    struct sim_call *call = user_call(job, sim_random_node(), user_answered);
    if (submit)
        send_submission(job, call, job->defect == SIM_MISSING_FIELD);
    else
        send_query(job, call, job->cancel_requested && !job->cancel_confirmed && !job->done_reported);
}

/* ---- requests in addition to the regular polling ---- */

static void send_extra_request(void *arg) {
    struct sim_extra_request *extra = arg;
    struct sim_job *job = extra->job;
    int node = extra->node < 0 ? sim_random_node() : extra->node;
    struct sim_call *call = user_call(job, node, take_answer);
    switch (extra->request) {
    case SIM_QUERY: send_query(job, call, false); break;
    case SIM_RESUBMIT: send_submission(job, call, false); break;
    case SIM_RESUBMIT_INVALID: send_submission(job, call, true); break;
    case SIM_CANCEL:
        if (!job->done_reported) job->cancel_requested = true;
        send_query(job, call, true);
        break;
    }
}

void sim_schedule_request(struct sim_job *job, enum sim_request request, int node, amb_ms delay) {
    for (int index = 0; index < SIM_EXTRA_REQUESTS; index++) {
        world.last_extra_request = (world.last_extra_request + 1) % SIM_EXTRA_REQUESTS;
        struct sim_extra_request *extra = &world.extra_requests[world.last_extra_request];
        if (extra->timer.position) continue;
        extra->job = job;
        extra->request = request;
        extra->node = node;
        int previous = sim_switch_to(-1);
        amb_timer_set_after(&extra->timer, delay, send_extra_request, extra);
        sim_switch_to(previous);
        return;
    }
    abort();
}

void sim_job_accepted(struct sim_job *job) {
    if (!job->cancel_requested && sim_fault_hits(SIM_CANCEL_EARLY))
        sim_schedule_request(job, SIM_CANCEL, -1, sim_random_between(0, MAX_EARLY_CANCEL_DELAY_MS));
}

/* Queries to all nodes, resubmissions and sometimes a cancellation, within milliseconds. */
void sim_start_poll_burst(struct sim_job *job) {
    if (!sim_fault_active(SIM_POLL_BURST, -1)) return;
    for (int node = 0; node < world.size->nodes; node++) {
        sim_schedule_request(job, SIM_QUERY, node, sim_random_between(0, 5));
        sim_schedule_request(job, SIM_QUERY, node, sim_random_between(5, 50));
        sim_schedule_request(job, SIM_QUERY, node, sim_random_between(50, 400));
    }
    sim_schedule_request(job, SIM_RESUBMIT, -1, sim_random_between(0, 20));
    sim_schedule_request(job, SIM_RESUBMIT, -1, sim_random_between(20, 200));
    if (sim_fault_active(SIM_INVALID_REQUESTS, -1))
        sim_schedule_request(job, SIM_RESUBMIT_INVALID, -1, sim_random_between(0, 20));
    if (sim_random() % 4 == 0) sim_schedule_request(job, SIM_CANCEL, -1, sim_random_between(0, 20));
}

void sim_schedule_submission(struct sim_job *job, amb_ms at) {
    amb_timer_set(&job->timer, at, user_step, job);
}

void sim_job_completed(struct sim_job *job) {
    if (job->cancel_at_completion && !job->cancel_requested && job->accepted)
        sim_schedule_request(job, SIM_CANCEL, -1, sim_random_between(0, MAX_CANCEL_AT_COMPLETION_DELAY_MS));
    if (!job->cancel_requested && job->accepted && sim_fault_hits(SIM_CANCEL_AT_COMPLETION))
        sim_schedule_request(job, SIM_CANCEL, -1, sim_random_between(0, MAX_CANCEL_AT_COMPLETION_DELAY_MS));
    if (job->accepted) sim_start_poll_burst(job);
}

/* Earliest end of the job's running tasks, and its machine; 0: none runs. */
static amb_ms earliest_task_end(const struct sim_job *job, struct sim_machine **where) {
    amb_ms end = 0;
    for (int i = 0; i < world.machine_count; i++) {
        struct sim_machine *machine = &world.machines[i];
        for (uint32_t k = 0; machine->exists && !machine->dead && k < machine->task_count; k++) {
            const struct sim_task *task = &machine->tasks[k];
            if (task->state != AMB_AGENT_TASK_RUNNING || strcmp(task->ref, job->spec.ref)) continue;
            if (end && end <= task->end_at) continue;
            end = task->end_at;
            *where = machine;
        }
    }
    return end;
}

void sim_cancel_burst(int count, amb_ms hang) {
    if (count < 0) count = DEFAULT_BURST_JOBS;
    if (!world.job_count) return;
    int first = (int)(sim_random() % (uint64_t)world.job_count), hung = 0;
    for (int i = 0; i < world.job_count && count; i++) {
        struct sim_job *job = &world.jobs[(first + i) % world.job_count];
        struct sim_machine *machine = NULL;
        if (!job->accepted || job->cancel_requested || job->done_reported) continue;
        if (earliest_task_end(job, &machine) < world.now + MIN_REMAINING_RUN_MS || !machine) continue;
        sim_schedule_request(job, SIM_CANCEL, -1, sim_random_between(0, 200));
        count--;
        if (!machine || hang < MIN_HANG_MS || hung == MAX_HUNG_MACHINES) continue;
        hung++;
        machine->hang_until = world.now + hang;
    }
}

/* ---- invalid requests ---- */

static struct sim_job *find_random_job(bool (*fits)(const struct sim_job *job)) {
    int first = (int)(sim_random() % (uint64_t)world.job_count);
    for (int i = 0; i < world.job_count; i++) {
        struct sim_job *job = &world.jobs[(first + i) % world.job_count];
        if (fits(job)) return job;
    }
    return NULL;
}

static bool is_unfinished(const struct sim_job *job) {
    return job->accepted && !job->done_reported && !job->cancel_confirmed;
}

static bool is_done(const struct sim_job *job) {
    return job->done_reported;
}

struct sim_job *sim_job_new(void) {
    if (world.job_count == SIM_JOBS) abort();
    struct sim_job *job = &world.jobs[world.job_count];
    memset(job, 0, sizeof *job);
    snprintf(job->spec.ref, sizeof job->spec.ref, "wk-%06d", world.job_count++);
    return job;
}

static void submit_invalid_job(void) {
    if (world.job_count == SIM_JOBS) return;
    struct sim_job *job = sim_job_new();
    struct amb_job_spec *spec = &job->spec;
    sim_draw_spec(spec);
    bool of_pipelines = world.load & SIM_LOAD_PIPELINES;
    job->defect = (enum sim_defect)sim_random_between(SIM_TOO_LARGE,
                                                      of_pipelines ? SIM_DEFECTS - 1 : SIM_MISSING_FIELD);
    if (job->defect == SIM_TOO_LARGE) spec->task_resources.gpus = 2 * SIM_MACHINE_GPUS;
    if (job->defect == SIM_UNKNOWN_TEAM) strcpy(spec->team, "team-none");
    if (job->defect == SIM_OVER_LIMIT) {
        spec->kind = AMB_JOB_KIND_GANG;
        spec->task_count = (uint32_t)(sim_team_limit() / (int)spec->task_resources.gpus) + 1;
    }
    job->submit_at = world.now;
    amb_timer_set_after(&job->timer, 0, user_step, job);
}

static void send_invalid_request(void *arg) {
    struct sim_job *job = NULL;
    uint64_t choice = sim_random() % 4;
    (void)arg;
    if (!sim_fault_active(SIM_INVALID_REQUESTS, -1)) return;
    if (choice == 0)
        submit_invalid_job();
    else if (choice == 1 && (job = find_random_job(is_done)))
        sim_schedule_request(job, SIM_CANCEL, -1, 0);
    else if (choice > 1 && (job = find_random_job(is_unfinished)))
        sim_schedule_request(job, choice == 2 ? SIM_RESUBMIT : SIM_RESUBMIT_INVALID, -1, 0);
    amb_timer_set_after(&world.invalid_request_timer, sim_random_between(200, 600), send_invalid_request,
                        NULL);
}

void sim_start_invalid_requests(void) {
    amb_timer_set_after(&world.invalid_request_timer, 0, send_invalid_request, NULL);
}

/* ---- jobs of the scenario ---- */

void sim_draw_spec(struct amb_job_spec *spec) {
    strcpy(spec->class_name, "train");
    snprintf(spec->team, sizeof spec->team, "team-%d", (int)(sim_random() % 2));
    snprintf(spec->image, sizeof spec->image, "img-%d", (int)(sim_random() % (uint64_t)world.size->images));
    spec->image_gb = 10;
    spec->kind = (enum amb_job_kind)(sim_random() % 3);
    spec->priority =
        spec->kind == AMB_JOB_KIND_SERVICE ? AMB_PRIORITY_PRODUCTION : (enum amb_priority)(sim_random() % 3);
    spec->task_count = (uint32_t)sim_random_between(
        1, spec->kind == AMB_JOB_KIND_ARRAY ? (amb_ms)world.size->max_array_tasks : 4);
    spec->task_resources = (struct amb_resources){8, (double)sim_random_between(1, 2), 40};
    spec->estimated_runtime_s = spec->kind == AMB_JOB_KIND_SERVICE ? 0 : (double)sim_random_between(5, 30);
    spec->one_zone = spec->kind == AMB_JOB_KIND_GANG && sim_random() % 2;
    spec->spread_zones = spec->kind == AMB_JOB_KIND_SERVICE;
    spec->spot_allowed = spec->kind != AMB_JOB_KIND_SERVICE;
}

static void bind_to_zone(struct amb_job_spec *spec) {
    if (spec->kind == AMB_JOB_KIND_SERVICE) return;
    if (sim_random() % 2)
        strcpy(spec->zone, sim_random() % 2 ? "b" : "a");
    else
        spec->one_zone = true;
}

static void draw_other_fields(struct amb_job_spec *spec) {
    spec->deadline_s = sim_random() % 2 ? (double)sim_random_between(60, 600) + 0.5 : 0;
    spec->checkpoint_interval_s =
        spec->kind == AMB_JOB_KIND_SERVICE ? 0 : (double)sim_random_between(0, 3) * 10;
    spec->checkpoint_save_s = spec->checkpoint_interval_s > 0 ? 2.5 : 0;
    if (sim_random() % 2) {
        strcpy(spec->allowed_types[0], "g8");
        strcpy(spec->allowed_types[1], "g16");
        spec->allowed_type_count = 2;
    }
}

/* Turns a job of the second team into best-effort work, in scenarios where that team has no guarantee. */
static void draw_unguaranteed_job(struct amb_job_spec *spec) {
    if (strcmp(spec->team, "team-1")) return;
    spec->kind = AMB_JOB_KIND_ARRAY;
    spec->priority = AMB_PRIORITY_BEST_EFFORT;
    spec->task_count = sim_random() % 2 ? 1 : SIM_JOB_TASKS;
    spec->task_resources = (struct amb_resources){0.25, 0, 1.35};
    spec->estimated_runtime_s = UNGUARANTEED_RUN_S;
    spec->one_zone = spec->spread_zones = false;
    spec->spot_allowed = true;
}

static void draw_job(amb_ms length) {
    struct sim_job *job = sim_job_new();
    sim_draw_spec(&job->spec);
    if (world.load & SIM_LOAD_NO_GUARANTEE) draw_unguaranteed_job(&job->spec);
    job->always_fails = world.load & SIM_LOAD_FAILING_JOBS && sim_random() % FAILING_JOB_PERIOD == 0;
    if (world.load & SIM_LOAD_LONG_TASKS) job->spec.estimated_runtime_s *= 10;
    if (world.load & SIM_LOAD_ALL_FIELDS) draw_other_fields(&job->spec);
    if (world.load & SIM_LOAD_ZONE_BOUND) bind_to_zone(&job->spec);
    job->submit_at = world.now + sim_random_between(2000, length / 2);
    if (job->spec.kind == AMB_JOB_KIND_SERVICE || job->always_fails || sim_random() % 5 == 0)
        job->cancel_at = job->submit_at + sim_random_between(5000, length / 3);
    bool queries_early = sim_random() % 2 == 0;
    amb_timer_set(&job->timer, queries_early ? world.now + EARLY_QUERY_MS : job->submit_at, user_step, job);
}

/* Long-running replicas of two priorities, and batch jobs throughout the scenario. */
static void draw_zonal_job(int number, amb_ms length) {
    enum { LAST_SERVICE_MS = 20000 };
    struct sim_job *job = sim_job_new();
    struct amb_job_spec *spec = &job->spec;
    enum sim_class class = number % 4 < SIM_SWEEP ? (enum sim_class)(number % 4) : SIM_SWEEP;
    sim_draw_spec(spec);
    strcpy(spec->class_name, sim_class_names[class]);
    spec->kind = class == SIM_SWEEP ? AMB_JOB_KIND_ARRAY : AMB_JOB_KIND_SERVICE;
    spec->priority = class == SIM_ASSISTANT ? AMB_PRIORITY_PRODUCTION
                     : class == SIM_DRAFTS  ? AMB_PRIORITY_HIGH
                                            : AMB_PRIORITY_BEST_EFFORT;
    spec->task_count =
        (uint32_t)sim_random_between(2, class == SIM_SWEEP ? (amb_ms)world.size->max_array_tasks : 4);
    spec->task_resources.gpus = class == SIM_SWEEP ? 1 : 2;
    spec->estimated_runtime_s = class == SIM_SWEEP ? (double)sim_random_between(10, 40) : 0;
    spec->one_zone = false;
    spec->spread_zones = class == SIM_ASSISTANT;
    spec->spot_allowed = false; /* spot machines would use up cloud capacity that replicas need */
    job->submit_at =
        world.now + sim_random_between(2000, class == SIM_SWEEP ? length * 3 / 4 : LAST_SERVICE_MS);
    amb_timer_set(&job->timer, job->submit_at, user_step, job);
}

static struct sim_job *new_array(amb_ms at, uint32_t tasks, double seconds) {
    struct sim_job *job = sim_job_new();
    sim_draw_spec(&job->spec);
    job->spec.kind = AMB_JOB_KIND_ARRAY;
    job->spec.one_zone = job->spec.spread_zones = false;
    job->spec.spot_allowed = true;
    job->spec.task_count = tasks;
    job->spec.estimated_runtime_s = seconds;
    job->submit_at = at;
    amb_timer_set(&job->timer, at, user_step, job);
    return job;
}

/* Four jobs of one task per second, a quarter of them cancelled. */
static void draw_stream(amb_ms length) {
    for (amb_ms at = 10000; at < 10000 + length / 2; at += 250) {
        struct sim_job *job = new_array(world.now + at, 1, (double)sim_random_between(2, 8));
        job->spec.task_resources.gpus = 1;
        job->short_task = true;
        if (sim_random() % 4 == 0) job->cancel_at = job->submit_at + sim_random_between(500, 8000);
    }
}

static void draw_flood(amb_ms length) {
    enum { JOBS = 2000, RUN_S = 1 };
    for (int i = 0; i < JOBS; i++)
        new_array(world.now + sim_random_between(10000, 10000 + length / 8), 1, RUN_S)
            ->spec.task_resources.gpus = 1;
}

static void draw_uneven(amb_ms length) {
    for (int i = 0; i < world.size->jobs / 2; i++) {
        amb_ms at = world.now + sim_random_between(2000, length / 3);
        new_array(at, (uint32_t)sim_random_between(2, 3), 10)->uneven = true;
    }
}

static void draw_overload(amb_ms length) {
    for (int i = 0; i < world.size->jobs / 2; i++) {
        amb_ms at = world.now + sim_random_between(2000, length / 4);
        struct sim_job *job = new_array(at, (uint32_t)sim_random_between(20, SIM_JOB_TASKS),
                                        (double)sim_random_between(10, 40));
        job->spec.priority = (enum amb_priority)(sim_random() % 4);
    }
}

void sim_draw_jobs(amb_ms length) {
    bool zonal = world.load & SIM_LOAD_ZONAL;
    for (int i = 0; i < world.size->jobs; i++) {
        if (zonal)
            draw_zonal_job(i, length);
        else
            draw_job(length);
    }
    if (world.load & SIM_LOAD_STREAM) draw_stream(length);
    if (world.load & SIM_LOAD_UNEVEN_TASKS) draw_uneven(length);
    if (world.load & SIM_LOAD_OVERLOAD) draw_overload(length);
    if (world.load & SIM_LOAD_PIPELINES) sim_draw_pipelines(length);
    if (world.load & SIM_LOAD_FLOOD) draw_flood(length);
}
