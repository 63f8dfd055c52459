/* Users: submit jobs, ask about them, repeat themselves, cancel some. */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { SUBMIT_TIMEOUT_MS = 5000, QUESTION_TIMEOUT_MS = 2000, ASK_EARLY_MS = 1500 };
enum { WATCH_LEAST_MS = 10, WATCH_MOST_MS = 100 }; /* how often a user looks what those before have told */
enum {                                             /* of a burst of cancellations */
       LONG_TO_GO_MS = 3000,
       SHORTEST_HANG_MS = 1000, /* less: no machine hangs */
       HUNG_MOST = 8,
       BURST = 8 /* jobs, unless the fault says how many */
};
enum { CANCEL_AT_END_MS = 500 };
enum { QUESTIONS_TIMES = 8, BROKEN_OF = 4, GUEST_RUN_S = 4 };

int sim_team_limit(void) {
    if (world.load & (SIM_LOAD_OVERLOAD | SIM_LOAD_ZONAL)) return SIM_MACHINE_GPUS * world.size->machines;
    if (world.load & SIM_LOAD_SMALL_QUOTAS)
        return world.size->machines / 2 > SIM_MACHINE_GPUS ? world.size->machines / 2 : SIM_MACHINE_GPUS;
    return 2 * world.size->machines;
}

struct sim_job *sim_job_of(const char *ref) {
    long i = strtol(ref + 3, NULL, 10); /* as sim_job_new names them */
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
    call->known_before = job->known;
    return call;
}

/* Names a field that must be there by another name. */
static void spoil_field(struct amb_buf *body) {
    static const char *const fields[] = {"crew", "legs", "shape", "rank", "reckon_s"};
    const char *field = fields[sim_random() % (sizeof fields / sizeof *fields)];
    char *at = memmem(body->data, body->len, field, strlen(field));
    if (at) *at = 'x';
}

static void send_submission(struct sim_job *job, struct sim_call *call, bool spoilt) {
    struct amb_buf body = {0};
    strcpy(call->method, "POST");
    strcpy(call->path, "/v1/jobs");
    amb_codec_encode_spec(&body, &job->spec);
    sim_put_awaits(&body, job);
    if (spoilt) spoil_field(&body);
    call->body = body.data;
    call->len = body.len;
    sim_call_start(call, SUBMIT_TIMEOUT_MS);
}

static void send_question(struct sim_job *job, struct sim_call *call, bool cancel) {
    strcpy(call->method, cancel ? "POST" : "GET");
    snprintf(call->path, sizeof call->path, "/v1/jobs/%s%s", job->spec.ref, cancel ? "/cancel" : "");
    sim_call_start(call, QUESTION_TIMEOUT_MS);
}

static void user_acts(void *arg);

static void take_answer(struct sim_call *call) {
    cbor_item_t *body = call->answer.len ? amb_cbor_parse(call->answer.data, call->answer.len) : NULL;
    sim_check_answer(call, body);
    if (body) cbor_decref(&body);
}

static void user_answered(struct sim_call *call) {
    struct sim_job *job = call->user;
    take_answer(call);
    if (job->timer.position) return;
    bool over = job->short_task && job->known == SIM_FINAL;
    amb_ms pause = over ? sim_random_between(10000, 30000) : sim_random_between(1000, 4000);
    if (sim_fault_active(SIM_FREQUENT_POLLING, -1)) pause /= QUESTIONS_TIMES;
    amb_timer_set_after(&job->timer, pause, user_acts, job);
}

static void user_acts(void *arg) {
    struct sim_job *job = arg;
    if (!job->submitted && !sim_may_submit(job)) {
        sim_schedule_submission(job, world.now + sim_random_between(WATCH_LEAST_MS, WATCH_MOST_MS));
        return;
    }
    /* A repeat may come at any time. */
    bool submit = job->submitted && !job->refused && (!job->accepted || sim_random() % 16 == 0);
    if (!job->submitted && world.now >= job->submit_at) job->submitted = submit = true;
    if (job->accepted && job->cancel_at && world.now >= job->cancel_at) job->cancel_wanted = true;
    struct sim_call *call = user_call(job, sim_random_node(), user_answered);
    if (submit)
        send_submission(job, call, job->oddity == SIM_LACKS_FIELD);
    else
        send_question(job, call, job->cancel_wanted && !job->cancel_told && !job->done_told);
}

/* ---- requests beside a user's ordinary round ---- */

static void run_errand(void *arg) {
    struct sim_errand *errand = arg;
    struct sim_job *job = errand->job;
    int node = errand->node < 0 ? sim_random_node() : errand->node;
    struct sim_call *call = user_call(job, node, take_answer);
    switch (errand->request) {
    case SIM_ASK: send_question(job, call, false); break;
    case SIM_REPEAT: send_submission(job, call, false); break;
    case SIM_REPEAT_SPOILT: send_submission(job, call, true); break;
    case SIM_CANCEL:
        if (!job->done_told) job->cancel_wanted = true;
        send_question(job, call, true);
        break;
    }
}

void sim_errand(struct sim_job *job, enum sim_request request, int node, amb_ms delay) {
    for (int index = 0; index < SIM_ERRANDS; index++) {
        world.last_errand = (world.last_errand + 1) % SIM_ERRANDS;
        struct sim_errand *errand = &world.errands[world.last_errand];
        if (errand->timer.position) continue;
        errand->job = job;
        errand->request = request;
        errand->node = node;
        int keep = sim_switch_to(-1);
        amb_timer_set_after(&errand->timer, delay, run_errand, errand);
        sim_switch_to(keep);
        return;
    }
    abort();
}

/* Questions at all nodes, a repeated submission and at times a cancellation, within milliseconds. */
void sim_look_closely(struct sim_job *job) {
    if (!sim_fault_active(SIM_POLL_BURST, -1)) return;
    for (int node = 0; node < world.size->nodes; node++) {
        sim_errand(job, SIM_ASK, node, sim_random_between(0, 5));
        sim_errand(job, SIM_ASK, node, sim_random_between(5, 50));
        sim_errand(job, SIM_ASK, node, sim_random_between(50, 400));
    }
    sim_errand(job, SIM_REPEAT, -1, sim_random_between(0, 20));
    sim_errand(job, SIM_REPEAT, -1, sim_random_between(20, 200));
    if (sim_fault_active(SIM_INVALID_REQUESTS, -1))
        sim_errand(job, SIM_REPEAT_SPOILT, -1, sim_random_between(0, 20));
    if (sim_random() % 4 == 0) sim_errand(job, SIM_CANCEL, -1, sim_random_between(0, 20));
}

void sim_schedule_submission(struct sim_job *job, amb_ms at) {
    amb_timer_set(&job->timer, at, user_acts, job);
}

void sim_job_ended(struct sim_job *job) {
    if (job->cancel_at_end && !job->cancel_wanted && job->accepted)
        sim_errand(job, SIM_CANCEL, -1, sim_random_between(0, CANCEL_AT_END_MS));
    if (!job->cancel_wanted && job->accepted && sim_fault_strikes(SIM_CANCEL_AT_COMPLETION))
        sim_errand(job, SIM_CANCEL, -1, sim_random_between(0, CANCEL_AT_END_MS));
    if (job->accepted) sim_look_closely(job);
}

/* Soonest end of the job's running tasks; 0: none runs. */
static amb_ms runs_until(const struct sim_job *job, struct sim_machine **where) {
    amb_ms end = 0;
    for (int i = 0; i < world.machine_count; i++) {
        struct sim_machine *machine = &world.machines[i];
        for (uint32_t k = 0; machine->exists && !machine->dead && k < machine->task_count; k++) {
            const struct sim_task *task = &machine->tasks[k];
            if (task->on != AMB_AGENT_TASK_RUNNING || strcmp(task->ref, job->spec.ref)) continue;
            if (end && end <= task->end_at) continue;
            end = task->end_at;
            *where = machine;
        }
    }
    return end;
}

void sim_cancel_burst(int count, amb_ms hang) {
    if (count < 0) count = BURST;
    if (!world.job_count) return;
    int first = (int)(sim_random() % (uint64_t)world.job_count), hung = 0;
    for (int i = 0; i < world.job_count && count; i++) {
        struct sim_job *job = &world.jobs[(first + i) % world.job_count];
        struct sim_machine *machine = NULL;
        if (!job->accepted || job->cancel_wanted || job->done_told) continue;
        if (runs_until(job, &machine) < world.now + LONG_TO_GO_MS || !machine) continue;
        sim_errand(job, SIM_CANCEL, -1, sim_random_between(0, 200));
        count--;
        if (!machine || hang < SHORTEST_HANG_MS || hung == HUNG_MOST) continue;
        hung++;
        machine->hang_until = world.now + hang;
    }
}

/* ---- odd requests ---- */

static struct sim_job *job_some(bool (*fits)(const struct sim_job *job)) {
    int first = (int)(sim_random() % (uint64_t)world.job_count);
    for (int i = 0; i < world.job_count; i++) {
        struct sim_job *job = &world.jobs[(first + i) % world.job_count];
        if (fits(job)) return job;
    }
    return NULL;
}

static bool is_unfinished(const struct sim_job *job) {
    return job->accepted && !job->done_told && !job->cancel_told;
}

static bool is_done(const struct sim_job *job) {
    return job->done_told;
}

struct sim_job *sim_job_new(void) {
    if (world.job_count == SIM_JOBS) abort();
    struct sim_job *job = &world.jobs[world.job_count];
    memset(job, 0, sizeof *job);
    snprintf(job->spec.ref, sizeof job->spec.ref, "wk-%06d", world.job_count++);
    return job;
}

static void odd_job(void) {
    if (world.job_count == SIM_JOBS) return;
    struct sim_job *job = sim_job_new();
    struct amb_job_spec *spec = &job->spec;
    sim_draw_spec(spec);
    bool of_pipelines = world.load & SIM_LOAD_PIPELINES;
    job->oddity =
        (enum sim_oddity)sim_random_between(SIM_TOO_LARGE, of_pipelines ? SIM_ODDITIES - 1 : SIM_LACKS_FIELD);
    if (job->oddity == SIM_TOO_LARGE) spec->task_resources.gpus = 2 * SIM_MACHINE_GPUS;
    if (job->oddity == SIM_UNKNOWN_TEAM) strcpy(spec->team, "team-none");
    if (job->oddity == SIM_OVER_LIMIT) {
        spec->kind = AMB_JOB_KIND_GANG;
        spec->task_count = (uint32_t)(sim_team_limit() / (int)spec->task_resources.gpus) + 1;
    }
    job->submit_at = world.now;
    amb_timer_set_after(&job->timer, 0, user_acts, job);
}

static void odd_request(void *arg) {
    struct sim_job *job = NULL;
    uint64_t choice = sim_random() % 4;
    (void)arg;
    if (!sim_fault_active(SIM_INVALID_REQUESTS, -1)) return;
    if (choice == 0)
        odd_job();
    else if (choice == 1 && (job = job_some(is_done)))
        sim_errand(job, SIM_CANCEL, -1, 0);
    else if (choice > 1 && (job = job_some(is_unfinished)))
        sim_errand(job, choice == 2 ? SIM_REPEAT : SIM_REPEAT_SPOILT, -1, 0);
    amb_timer_set_after(&world.odd_timer, sim_random_between(200, 600), odd_request, NULL);
}

void sim_begin_odd_requests(void) {
    amb_timer_set_after(&world.odd_timer, 0, odd_request, NULL);
}

/* ---- the day's jobs ---- */

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

/* What the second team brings where it is guaranteed nothing. */
static void make_guest_job(struct amb_job_spec *spec) {
    if (strcmp(spec->team, "team-1")) return;
    spec->kind = AMB_JOB_KIND_ARRAY;
    spec->priority = AMB_PRIORITY_BEST_EFFORT;
    spec->task_count = sim_random() % 2 ? 1 : SIM_JOB_TASKS;
    spec->task_resources = (struct amb_resources){0.25, 0, 1.35};
    spec->estimated_runtime_s = GUEST_RUN_S;
    spec->one_zone = spec->spread_zones = false;
    spec->spot_allowed = true;
}

static void draw_job(amb_ms length) {
    struct sim_job *job = sim_job_new();
    sim_draw_spec(&job->spec);
    if (world.load & SIM_LOAD_NO_GUARANTEE) make_guest_job(&job->spec);
    job->broken = world.load & SIM_LOAD_FAILING_JOBS && sim_random() % BROKEN_OF == 0;
    if (world.load & SIM_LOAD_LONG_TASKS) job->spec.estimated_runtime_s *= 10;
    if (world.load & SIM_LOAD_ALL_FIELDS) draw_other_fields(&job->spec);
    if (world.load & SIM_LOAD_ZONE_BOUND) bind_to_zone(&job->spec);
    job->submit_at = world.now + sim_random_between(2000, length / 2);
    if (job->spec.kind == AMB_JOB_KIND_SERVICE || job->broken || sim_random() % 5 == 0)
        job->cancel_at = job->submit_at + sim_random_between(5000, length / 3);
    bool asks_before = sim_random() % 2 == 0;
    amb_timer_set(&job->timer, asks_before ? world.now + ASK_EARLY_MS : job->submit_at, user_acts, job);
}

/* Replicas of two priorities that last, and batch work all day long. */
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
    spec->spot_allowed = false; /* spot machines would take the cloud's room from replicas */
    job->submit_at =
        world.now + sim_random_between(2000, class == SIM_SWEEP ? length * 3 / 4 : LAST_SERVICE_MS);
    amb_timer_set(&job->timer, job->submit_at, user_acts, job);
}

static struct sim_job *array_new(amb_ms at, uint32_t tasks, double seconds) {
    struct sim_job *job = sim_job_new();
    sim_draw_spec(&job->spec);
    job->spec.kind = AMB_JOB_KIND_ARRAY;
    job->spec.one_zone = job->spec.spread_zones = false;
    job->spec.spot_allowed = true;
    job->spec.task_count = tasks;
    job->spec.estimated_runtime_s = seconds;
    job->submit_at = at;
    amb_timer_set(&job->timer, at, user_acts, job);
    return job;
}

/* One-task jobs, four a second, a quarter cancelled. */
static void draw_stream(amb_ms length) {
    for (amb_ms at = 10000; at < 10000 + length / 2; at += 250) {
        struct sim_job *job = array_new(world.now + at, 1, (double)sim_random_between(2, 8));
        job->spec.task_resources.gpus = 1;
        job->short_task = true;
        if (sim_random() % 4 == 0) job->cancel_at = job->submit_at + sim_random_between(500, 8000);
    }
}

static void draw_flood(amb_ms length) {
    enum { JOBS = 2000, RUN_S = 1 };
    for (int i = 0; i < JOBS; i++)
        array_new(world.now + sim_random_between(10000, 10000 + length / 8), 1, RUN_S)
            ->spec.task_resources.gpus = 1;
}

static void draw_uneven(amb_ms length) {
    for (int i = 0; i < world.size->jobs / 2; i++) {
        amb_ms at = world.now + sim_random_between(2000, length / 3);
        array_new(at, (uint32_t)sim_random_between(2, 3), 10)->uneven = true;
    }
}

static void draw_crowd(amb_ms length) {
    for (int i = 0; i < world.size->jobs / 2; i++) {
        amb_ms at = world.now + sim_random_between(2000, length / 4);
        struct sim_job *job = array_new(at, (uint32_t)sim_random_between(20, SIM_JOB_TASKS),
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
    if (world.load & SIM_LOAD_OVERLOAD) draw_crowd(length);
    if (world.load & SIM_LOAD_PIPELINES) sim_draw_pipelines(length);
    if (world.load & SIM_LOAD_FLOOD) draw_flood(length);
}
