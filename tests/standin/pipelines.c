/* Pipelines: jobs with dependencies that users submit one after another, poll and cancel. */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    MAX_STAGES = 5,
    MIN_SUBMIT_MS = 15000, /* earliest submission of a pipeline */
    BIG_JOBS = 3,          /* jobs of many tasks, whose records take several blocks */
    INVALID_JOBS = 6,      /* submissions with an unknown or malformed dependency, alternately */
    MAX_ANCESTORS = 256,
    UNUSED_JOB_NUMBER = 900000, /* this and higher numbers belong to no job */
};

struct pipeline_shape { /* dependencies of each stage as a bit set of stages */
    int stages;
    unsigned needs[MAX_STAGES];
};

static const struct pipeline_shape shapes[] = {
    {4, {0, 1, 2, 4}},     /* a chain */
    {4, {0, 1, 1, 6}},     /* a diamond */
    {5, {0, 0, 0, 7, 8}},  /* several first stages */
    {5, {0, 1, 3, 5, 14}}, /* stages that depend on more than the preceding one */
    {2, {0, 1}},
};

enum cancelled_part {
    NOTHING,
    HEAD,
    MIDDLE,
    LAST,
    HEAD_AT_COMPLETION,
    MIDDLE_AT_COMPLETION,
    CANCELLED_PARTS
};

/* ---- dependencies ---- */

/* Finds the job itself, first, and its direct and transitive dependencies, each once. Returns their number.
 */
static int find_ancestors(const struct sim_job *job, const struct sim_job *found[MAX_ANCESTORS]) {
    int count = 1;
    found[0] = job;
    for (int next = 0; next < count; next++)
        for (int i = 0; i < found[next]->dependency_count; i++) {
            const struct sim_job *dependency = &world.jobs[found[next]->dependencies[i]];
            int known = 0;
            while (known < count && found[known] != dependency) known++;
            if (known < count) continue;
            if (count == MAX_ANCESTORS) abort();
            found[count++] = dependency;
        }
    return count;
}

bool sim_is_dependency_of(const struct sim_job *job, const struct sim_job *other) {
    const struct sim_job *found[MAX_ANCESTORS];
    int count = find_ancestors(other, found);
    for (int i = 1; i < count; i++)
        if (found[i] == job) return true;
    return false;
}

bool sim_dependencies_done(const struct sim_job *job) {
    for (int i = 0; i < job->dependency_count; i++)
        if (!sim_all_tasks_done(&world.jobs[job->dependencies[i]])) return false;
    return true;
}

bool sim_cancel_requested(const struct sim_job *job) {
    if (job->cancel_requested || !job->dependency_count) return job->cancel_requested;
    const struct sim_job *found[MAX_ANCESTORS];
    int count = find_ancestors(job, found);
    for (int i = 1; i < count; i++)
        if (found[i]->cancel_requested && !found[i]->done_reported) return true;
    return false;
}

amb_ms sim_cancel_confirmed_at(const struct sim_job *job) {
    const struct sim_job *found[MAX_ANCESTORS];
    amb_ms first = 0;
    int count = job->dependency_count ? find_ancestors(job, found) : 1;
    found[0] = job;
    for (int i = 0; i < count; i++)
        if (found[i]->cancel_confirmed && (!first || found[i]->cancel_confirmed_at < first))
            first = found[i]->cancel_confirmed_at;
    return first;
}

/* ---- submissions ---- */

/* A random accepted array or gang outside of the pipeline, in any state and of any team; -1: none. */
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

static bool is_finished(const struct sim_job *job) {
    return job->done_reported || job->cancel_confirmed;
}

/* Requests that the production version does not know wait until all nodes are upgraded. */
bool sim_may_submit(struct sim_job *job) {
    bool is_new = job->pipeline || job->defect >= SIM_UNKNOWN_DEPENDENCY;
    if (is_new && !world.upgraded) return false;
    for (int i = 0; i < job->dependency_count; i++) {
        const struct sim_job *dependency = &world.jobs[job->dependencies[i]];
        if (!dependency->accepted ||
            (job->submit_condition == SIM_SUBMIT_WHEN_FINISHED && !is_finished(dependency)))
            return false;
    }
    if (!job->depends_on_earlier || world.now < job->submit_at) return true;
    job->depends_on_earlier = false;
    int earlier = pick_earlier(job);
    if (earlier >= 0 && job->dependency_count < SIM_MAX_DEPENDENCIES)
        job->dependencies[job->dependency_count++] = earlier;
    return true;
}

/* Writes a value that is not a list of job names. */
static void encode_malformed(struct amb_buf *body, int choice) {
    switch (choice % 4) {
    case 0: amb_cbor_write_string(body, "wk-000000"); break;
    case 1: amb_cbor_write_uint(body, 7); break;
    case 2: amb_cbor_write_map(body, 0); break;
    default: amb_cbor_write_list(body, 1); amb_cbor_write_uint(body, 7);
    }
}

static void encode_unknown(struct amb_buf *body, int index) {
    char name[AMB_NAME_SIZE];
    snprintf(name, sizeof name, "wk-%06d", UNUSED_JOB_NUMBER + index);
    amb_cbor_write_list(body, 1);
    amb_cbor_write_string(body, name);
}

static void encode_names(struct amb_buf *body, const struct sim_job *job) {
    amb_cbor_write_list(body, (size_t)job->dependency_count);
    for (int i = 0; i < job->dependency_count; i++)
        amb_cbor_write_string(body, world.jobs[job->dependencies[i]].spec.ref);
}

/* Without dependencies the field is missing, null or an empty list. */
void sim_encode_dependencies(struct amb_buf *body, const struct sim_job *job) {
    enum { SHORT_MAP = 0xa0, SHORT_MAP_END = 0xb7 }; /* first byte of a CBOR map, which includes its length */
    int index = (int)(job - world.jobs);
    bool empty = !job->dependency_count && job->defect < SIM_UNKNOWN_DEPENDENCY;
    unsigned char first = (unsigned char)body->data[0];
    if (empty && (!job->pipeline || index % 3 == 0)) return;
    if (first < SHORT_MAP || first >= SHORT_MAP_END) abort();
    body->data[0] = (char)(first + 1);
    amb_cbor_write_string(body, "awaits");
    if (job->defect == SIM_UNKNOWN_DEPENDENCY)
        encode_unknown(body, index);
    else if (job->defect == SIM_MALFORMED_DEPENDENCIES)
        encode_malformed(body, index);
    else if (empty && index % 3 == 1)
        amb_cbor_write_null(body);
    else
        encode_names(body, job);
}

/* ---- pipelines of the scenario ---- */

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

/* Users set deadline and priority of the last job only. */
static void finish_pipeline_spec(struct sim_job *job) {
    job->spec.priority = AMB_PRIORITY_HIGH;
    job->spec.deadline_s = 120;
    if (sim_random() % 4 == 0) job->submit_condition = SIM_SUBMIT_WHEN_FINISHED;
}

static struct sim_job *cancelled_job(struct sim_job *head, int stages, enum cancelled_part part) {
    switch (part) {
    case HEAD:
    case HEAD_AT_COMPLETION: return head;
    case MIDDLE:
    case MIDDLE_AT_COMPLETION: return head + stages / 2;
    case LAST: return head + stages - 1;
    default: return NULL;
    }
}

static void draw_cancellation(struct sim_job *head, int stages) {
    enum cancelled_part part = (enum cancelled_part)(sim_random() % (CANCELLED_PARTS + 2));
    struct sim_job *job = cancelled_job(head, stages, part);
    if (!job) return; /* three in eight pipelines are not cancelled */
    if (part == HEAD_AT_COMPLETION || part == MIDDLE_AT_COMPLETION)
        job->cancel_at_completion = true;
    else
        job->cancel_at = job->submit_at + sim_random_between(200, 15000);
}

static void draw_pipeline(int number, amb_ms at) {
    const struct pipeline_shape *pipeline_shape = &shapes[sim_random() % (sizeof shapes / sizeof *shapes)];
    int first = world.job_count;
    for (int stage = 0; stage < pipeline_shape->stages; stage++) {
        struct sim_job *job = sim_job_new();
        draw_stage_spec(&job->spec);
        job->pipeline = number;
        job->submit_at = at;
        for (int needed = 0; needed < stage; needed++)
            if (pipeline_shape->needs[stage] >> needed & 1)
                job->dependencies[job->dependency_count++] = first + needed;
        if (stage && sim_random() % 8 == 0)
            job->dependencies[job->dependency_count++] = first; /* may be listed twice */
        if (stage == 0) job->depends_on_earlier = sim_random() % 3 == 0;
        if (stage == pipeline_shape->stages - 1) finish_pipeline_spec(job);
        sim_schedule_submission(job, at);
    }
    draw_cancellation(&world.jobs[first], pipeline_shape->stages);
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

static void draw_invalid_job(amb_ms at, enum sim_defect defect) {
    struct sim_job *job = sim_job_new();
    draw_stage_spec(&job->spec);
    job->defect = defect;
    job->submit_at = at;
    sim_schedule_submission(job, at);
}

void sim_draw_pipelines(amb_ms length) {
    amb_ms begin = world.now + MIN_SUBMIT_MS, end = world.now + length / 2;
    int count = world.size->jobs / 2;
    if (count > 100) count = 100;
    for (int number = 1; number <= count; number++) draw_pipeline(number, sim_random_between(begin, end));
    for (int i = 0; i < BIG_JOBS; i++) draw_big_job(sim_random_between(begin, end));
    for (int i = 0; i < INVALID_JOBS; i++)
        draw_invalid_job(sim_random_between(begin, end),
                         i % 2 ? SIM_MALFORMED_DEPENDENCIES : SIM_UNKNOWN_DEPENDENCY);
}

/* ---- polling ---- */

/* Called when a new state of the job was reported: queries all jobs of its pipeline at all nodes. */
void sim_poll_pipeline(const struct sim_job *job) {
    if (!job->pipeline) return;
    for (int i = 0; i < world.job_count; i++) {
        struct sim_job *other = &world.jobs[i];
        if (other->pipeline != job->pipeline || !other->submitted) continue;
        for (int node = 0; node < world.size->nodes; node++)
            sim_schedule_request(other, SIM_QUERY, node, sim_random_between(0, 300));
    }
}
