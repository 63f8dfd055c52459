/* A pipeline of two stages in which each job of the second awaits every job of the first: 189,000 edges. */
#include "cases.h"

#include "amberpin/job/job_record.h"
#include "amberpin/scheduler/cycle.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { FIRST_STAGE = 420, SECOND_STAGE = 450, FIRST_REVISION = 1000000 };

static const int64_t ACCEPTED_WALL_MS = 1699999990000;

static struct amb_name_list *first_stage_names(void) {
    struct amb_name_list *names = amb_name_list_new((size_t)FIRST_STAGE * AMB_NAME_SIZE);
    char name[AMB_NAME_SIZE];
    for (uint32_t i = 0; i < FIRST_STAGE; i++) {
        snprintf(name, sizeof name, "wk-first-%03u", i);
        amb_name_list_append(names, name);
    }
    return names;
}

static void put_record(struct amb_buf *record, const char *ref, const struct amb_name_list *dependencies) {
    struct amb_job_spec spec;
    world_spec(&spec, &world_sizes[0], 0);
    snprintf(spec.ref, sizeof spec.ref, "%s", ref);
    spec.task_count = 1;
    struct amb_job job = {.spec = &spec, .accepted_wall_ms = ACCEPTED_WALL_MS};
    amb_job_encode_record(record, &job, dependencies, AMB_JOB_QUEUED);
}

/* The records of both stages, and a controller that may not have read them all. */
struct pipeline {
    struct amb_node *node;
    struct amb_buf second_stage[SECOND_STAGE];
    uint64_t revision;
};

static void apply(struct pipeline *pipeline, const char *ref, const struct amb_buf *record) {
    amb_jobs_apply_bytes(pipeline->node, ref, record->data, record->len,
                         FIRST_REVISION + ++pipeline->revision);
}

static void apply_first_stage(struct pipeline *pipeline, const struct amb_name_list *names) {
    const char *name = amb_name_list_first(names);
    for (uint32_t i = 0; i < FIRST_STAGE; i++, name = amb_name_list_next(name)) {
        struct amb_buf record = {0};
        put_record(&record, name, NULL);
        apply(pipeline, name, &record);
        amb_buf_free(&record);
    }
}

static void second_stage_ref(char ref[AMB_NAME_SIZE], uint32_t job) {
    snprintf(ref, AMB_NAME_SIZE, "wk-second-%03u", job);
}

static void *first_stage_known(const struct world_size *size) {
    struct pipeline *pipeline = amb_alloc(sizeof *pipeline);
    struct amb_name_list *names = first_stage_names();
    pipeline->node = world_leader(size);
    pipeline->node->settings.memory_mb = 27;
    apply_first_stage(pipeline, names);
    for (uint32_t i = 0; i < SECOND_STAGE; i++) {
        char ref[AMB_NAME_SIZE];
        second_stage_ref(ref, i);
        put_record(&pipeline->second_stage[i], ref, names);
    }
    free(names);
    return pipeline;
}

static void read_second_stage(void *input) {
    struct pipeline *pipeline = input;
    for (uint32_t i = 0; i < SECOND_STAGE; i++) {
        char ref[AMB_NAME_SIZE];
        second_stage_ref(ref, i);
        apply(pipeline, ref, &pipeline->second_stage[i]);
    }
}

static void *all_known(const struct world_size *size) {
    struct pipeline *pipeline = first_stage_known(size);
    read_second_stage(pipeline);
    return pipeline;
}

static void propagate_priorities(void *input) {
    struct pipeline *pipeline = input;
    pipeline->node->pipelines.graph.priorities_current = false;
    amb_pipelines_update_priorities(pipeline->node);
}

/* A cycle after a job has ended, or another was accepted: priorities are propagated anew. */
static void run_cycle(void *input) {
    struct pipeline *pipeline = input;
    pipeline->node->pipelines.graph.priorities_current = false;
    struct amb_cycle *cycle = amb_cycle_new(pipeline->node, amb_now());
    amb_cycle_admit(cycle);
    amb_cycle_free(cycle);
}

static void apply_final_state(struct pipeline *pipeline, const char *ref, enum amb_job_state state) {
    struct amb_buf record = {0};
    struct amb_job *job = amb_job_find(pipeline->node, ref);
    amb_job_encode_record(&record, job, NULL, state);
    apply(pipeline, ref, &record);
    amb_buf_free(&record);
}

static void cancel_head(void *input) {
    apply_final_state(input, "wk-first-000", AMB_JOB_CANCELLED);
}

static void end_first_stage(void *input) {
    struct amb_name_list *names = first_stage_names();
    const char *name = amb_name_list_first(names);
    for (uint32_t i = 0; i < FIRST_STAGE; i++, name = amb_name_list_next(name))
        apply_final_state(input, name, AMB_JOB_DONE);
    free(names);
}

static void finish(void *input) {
    struct pipeline *pipeline = input;
    for (uint32_t i = 0; i < SECOND_STAGE; i++) amb_buf_free(&pipeline->second_stage[i]);
    world_free(pipeline->node);
    free(pipeline);
}

static const struct bench_case cases[] = {
    {"pipeline/read-second-stage", &world_sizes[0], first_stage_known, read_second_stage, finish, true},
    {"pipeline/priorities", &world_sizes[0], all_known, propagate_priorities, finish, false},
    {"pipeline/cycle", &world_sizes[0], all_known, run_cycle, finish, false},
    {"pipeline/cancel-head", &world_sizes[0], all_known, cancel_head, finish, true},
    {"pipeline/end-first-stage", &world_sizes[0], all_known, end_first_stage, finish, true},
};

struct bench_cases bench_pipeline_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
