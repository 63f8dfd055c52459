/* Pipelines: jobs that await others, as their users submit them one after another, watch and cancel them. */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    STAGES_MOST = 5,
    BEGIN_MS = 15000, /* no pipeline is submitted before */
    BIG_JOBS = 3,     /* of many tasks, a day, so that their records take several blocks */
    UNFIT_JOBS = 6,   /* submissions a day that name a job that was never accepted, or no job, in turn */
    ANCESTORS_MOST = 256,
    NEVER_ACCEPTED = 900000, /* and above: numbers of no job */
};

struct shape { /* of a pipeline: the stages that each stage awaits, as bits */
    int stages;
    unsigned needs[STAGES_MOST];
};

static const struct shape shapes[] = {
    {4, {0, 1, 2, 4}},     /* a chain */
    {4, {0, 1, 1, 6}},     /* a diamond */
    {5, {0, 0, 0, 7, 8}},  /* several at the head */
    {5, {0, 1, 3, 5, 14}}, /* stages that await more than the one before */
    {2, {0, 1}},
};

enum cancelled_part { NOTHING, HEAD, MIDDLE, LAST, HEAD_AT_END, MIDDLE_AT_END, CANCELLED_PARTS };

/* ---- the relation ---- */

/* Jobs before it, directly or through others, with itself in front; each once. How many. */
static int find_ancestors(const struct sim_job *job, const struct sim_job *found[ANCESTORS_MOST]) {
    int count = 1;
    found[0] = job;
    for (int next = 0; next < count; next++)
        for (int i = 0; i < found[next]->await_count; i++) {
            const struct sim_job *before = &world.jobs[found[next]->awaits[i]];
            int known = 0;
            while (known < count && found[known] != before) known++;
            if (known < count) continue;
            if (count == ANCESTORS_MOST) abort();
            found[count++] = before;
        }
    return count;
}

bool sim_is_before(const struct sim_job *job, const struct sim_job *other) {
    const struct sim_job *found[ANCESTORS_MOST];
    int count = find_ancestors(other, found);
    for (int i = 1; i < count; i++)
        if (found[i] == job) return true;
    return false;
}

bool sim_needs_done(const struct sim_job *job) {
    for (int i = 0; i < job->await_count; i++)
        if (!sim_all_tasks_done(&world.jobs[job->awaits[i]])) return false;
    return true;
}

bool sim_cancel_wanted(const struct sim_job *job) {
    if (job->cancel_wanted || !job->await_count) return job->cancel_wanted;
    const struct sim_job *found[ANCESTORS_MOST];
    int count = find_ancestors(job, found);
    for (int i = 1; i < count; i++)
        if (found[i]->cancel_wanted && !found[i]->done_told) return true;
    return false;
}

amb_ms sim_cancel_told_at(const struct sim_job *job) {
    const struct sim_job *found[ANCESTORS_MOST];
    amb_ms first = 0;
    int count = job->await_count ? find_ancestors(job, found) : 1;
    found[0] = job;
    for (int i = 0; i < count; i++)
        if (found[i]->cancel_told && (!first || found[i]->cancel_told_at < first))
            first = found[i]->cancel_told_at;
    return first;
}

/* ---- submissions ---- */

/* Some job that was accepted, in any state: another pipeline's, another team's, an ordinary one. */
static int pick_earlier(const struct sim_job *job) {
    int first = (int)(sim_random() % (uint64_t)world.job_count);
    for (int i = 0; i < world.job_count; i++) {
        int index = (first + i) % world.job_count;
        const struct sim_job *earlier = &world.jobs[index];
        if (earlier->accepted && earlier->spec.kind != AMB_JOB_KIND_SERVICE &&
            earlier->pipeline != job->pipeline)
            return index;
    }
    return -1;
}

static bool is_over(const struct sim_job *job) {
    return job->done_told || job->cancel_told;
}

/* Nothing new is asked of the service before all nodes have the new version. */
bool sim_may_submit(struct sim_job *job) {
    bool is_new = job->pipeline || job->oddity >= SIM_AWAITS_UNKNOWN;
    if (is_new && !world.upgraded) return false;
    for (int i = 0; i < job->await_count; i++) {
        const struct sim_job *before = &world.jobs[job->awaits[i]];
        if (!before->accepted || (job->moment == SIM_WHEN_OVER && !is_over(before))) return false;
    }
    if (!job->awaits_earlier || world.now < job->submit_at) return true;
    job->awaits_earlier = false;
    int earlier = pick_earlier(job);
    if (earlier >= 0 && job->await_count < SIM_AWAITS) job->awaits[job->await_count++] = earlier;
    return true;
}

/* What is no list of job names. */
static void put_malformed(struct amb_buf *body, int choice) {
    switch (choice % 4) {
    case 0: amb_cbor_write_string(body, "wk-000000"); break;
    case 1: amb_cbor_write_uint(body, 7); break;
    case 2: amb_cbor_write_map(body, 0); break;
    default: amb_cbor_write_list(body, 1); amb_cbor_write_uint(body, 7);
    }
}

static void put_unknown(struct amb_buf *body, int index) {
    char name[AMB_NAME_SIZE];
    snprintf(name, sizeof name, "wk-%06d", NEVER_ACCEPTED + index);
    amb_cbor_write_list(body, 1);
    amb_cbor_write_string(body, name);
}

static void put_names(struct amb_buf *body, const struct sim_job *job) {
    amb_cbor_write_list(body, (size_t)job->await_count);
    for (int i = 0; i < job->await_count; i++)
        amb_cbor_write_string(body, world.jobs[job->awaits[i]].spec.ref);
}

/* The field is missing, null or an empty list when there is nothing to await. */
void sim_put_awaits(struct amb_buf *body, const struct sim_job *job) {
    enum { SHORT_MAP = 0xa0, SHORT_MAP_MOST = 0xb7 }; /* a map's first byte, with its length in it */
    int index = (int)(job - world.jobs);
    bool empty = !job->await_count && job->oddity < SIM_AWAITS_UNKNOWN;
    unsigned char first = (unsigned char)body->data[0];
    if (empty && (!job->pipeline || index % 3 == 0)) return;
    if (first < SHORT_MAP || first >= SHORT_MAP_MOST) abort();
    body->data[0] = (char)(first + 1);
    amb_cbor_write_string(body, "awaits");
    if (job->oddity == SIM_AWAITS_UNKNOWN)
        put_unknown(body, index);
    else if (job->oddity == SIM_AWAITS_MALFORMED)
        put_malformed(body, index);
    else if (empty && index % 3 == 1)
        amb_cbor_write_null(body);
    else
        put_names(body, job);
}

/* ---- the day's pipelines ---- */

static void draw_stage_spec(struct amb_job_spec *spec) {
    sim_draw_spec(spec);
    spec->kind = sim_random() % 4 ? AMB_JOB_KIND_ARRAY : AMB_JOB_KIND_GANG;
    spec->spread_zones = false;
    spec->one_zone = false;
    spec->spot_allowed = true;
    spec->task_count = (uint32_t)sim_random_between(1, spec->kind == AMB_JOB_KIND_GANG ? 3 : 6);
    spec->task_resources.gpus = 1;
    spec->estimated_runtime_s = (double)sim_random_between(2, 10);
    spec->priority = AMB_PRIORITY_BEST_EFFORT;
}

/* Users set deadline and priority on the last job only. */
static void make_last(struct sim_job *job) {
    job->spec.priority = AMB_PRIORITY_HIGH;
    job->spec.deadline_s = 120;
    if (sim_random() % 4 == 0) job->moment = SIM_WHEN_OVER;
}

static struct sim_job *cancelled_job(struct sim_job *head, int stages, enum cancelled_part part) {
    switch (part) {
    case HEAD:
    case HEAD_AT_END: return head;
    case MIDDLE:
    case MIDDLE_AT_END: return head + stages / 2;
    case LAST: return head + stages - 1;
    default: return NULL;
    }
}

static void draw_cancellation(struct sim_job *head, int stages) {
    enum cancelled_part part = (enum cancelled_part)(sim_random() % (CANCELLED_PARTS + 2));
    struct sim_job *job = cancelled_job(head, stages, part);
    if (!job) return; /* three pipelines in eight go on to their end */
    if (part == HEAD_AT_END || part == MIDDLE_AT_END)
        job->cancel_at_end = true;
    else
        job->cancel_at = job->submit_at + sim_random_between(200, 15000);
}

static void draw_pipeline(int number, amb_ms at) {
    const struct shape *shape = &shapes[sim_random() % (sizeof shapes / sizeof *shapes)];
    int first = world.job_count;
    for (int stage = 0; stage < shape->stages; stage++) {
        struct sim_job *job = sim_job_new();
        draw_stage_spec(&job->spec);
        job->pipeline = number;
        job->submit_at = at;
        for (int needed = 0; needed < stage; needed++)
            if (shape->needs[stage] >> needed & 1) job->awaits[job->await_count++] = first + needed;
        if (stage && sim_random() % 8 == 0) job->awaits[job->await_count++] = first; /* perhaps twice */
        if (stage == 0) job->awaits_earlier = sim_random() % 3 == 0;
        if (stage == shape->stages - 1) make_last(job);
        sim_schedule_submission(job, at);
    }
    draw_cancellation(&world.jobs[first], shape->stages);
}

static void draw_big_job(amb_ms at) {
    struct sim_job *job = sim_job_new();
    draw_stage_spec(&job->spec);
    job->spec.kind = AMB_JOB_KIND_ARRAY;
    job->spec.task_count = SIM_JOB_TASKS;
    job->spec.estimated_runtime_s = (double)sim_random_between(5, 20);
    job->submit_at = at;
    sim_schedule_submission(job, at);
}

static void draw_unfit_job(amb_ms at, enum sim_oddity oddity) {
    struct sim_job *job = sim_job_new();
    draw_stage_spec(&job->spec);
    job->oddity = oddity;
    job->submit_at = at;
    sim_schedule_submission(job, at);
}

void sim_draw_pipelines(amb_ms length) {
    amb_ms begin = world.now + BEGIN_MS, end = world.now + length / 2;
    int count = world.size->jobs / 2;
    if (count > 100) count = 100;
    for (int number = 1; number <= count; number++) draw_pipeline(number, sim_random_between(begin, end));
    for (int i = 0; i < BIG_JOBS; i++) draw_big_job(sim_random_between(begin, end));
    for (int i = 0; i < UNFIT_JOBS; i++)
        draw_unfit_job(sim_random_between(begin, end), i % 2 ? SIM_AWAITS_MALFORMED : SIM_AWAITS_UNKNOWN);
}

/* ---- questions ---- */

/* When a job's state has become known: about all of its pipeline's jobs, and those that need it, at all
 * nodes. */
void sim_look_at_pipeline(const struct sim_job *job) {
    if (!job->pipeline) return;
    for (int i = 0; i < world.job_count; i++) {
        struct sim_job *other = &world.jobs[i];
        if (other->pipeline != job->pipeline || !other->submitted) continue;
        for (int node = 0; node < world.size->nodes; node++)
            sim_errand(other, SIM_ASK, node, sim_random_between(0, 300));
    }
}
