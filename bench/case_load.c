/* What a controller reads before it can serve requests: all jobs at its start, all placements when it becomes
 * leader. */
#include "cases.h"

#include <stdlib.h>

struct loading {
    struct amb_node *node;
    struct world_pages pages;
};

static void *prepare_start(const struct world_size *size) {
    struct loading *loading = amb_alloc(sizeof *loading);
    loading->node = world_node(size, 0);
    loading->pages = world_job_pages(size);
    return loading;
}

static void load_jobs(void *input) {
    struct loading *loading = input;
    world_apply_jobs(loading->node, &loading->pages);
}

static void *prepare_failover(const struct world_size *size) {
    struct loading *loading = amb_alloc(sizeof *loading);
    struct world_pages jobs = world_job_pages(size);
    loading->node = world_node(size, 0);
    world_apply_jobs(loading->node, &jobs);
    world_pages_free(&jobs);
    world_make_leader(loading->node);
    loading->pages = world_placement_pages(size);
    return loading;
}

static void load_placements(void *input) {
    struct loading *loading = input;
    world_apply_placements(loading->node, &loading->pages);
}

static void finish(void *input) {
    struct loading *loading = input;
    world_free(loading->node);
    world_pages_free(&loading->pages);
    free(loading);
}

static const struct bench_case cases[] = {
    {"load/start", &world_sizes[0], prepare_start, load_jobs, finish, true},
    {"load/start", &world_sizes[1], prepare_start, load_jobs, finish, true},
    {"load/start", &world_sizes[2], prepare_start, load_jobs, finish, true},
    {"load/take-over", &world_sizes[0], prepare_failover, load_placements, finish, true},
    {"load/take-over", &world_sizes[1], prepare_failover, load_placements, finish, true},
    {"load/take-over", &world_sizes[2], prepare_failover, load_placements, finish, true},
    {"load/take-over", &world_sizes[3], prepare_failover, load_placements, finish, true},
    {"load/take-over", &world_sizes[4], prepare_failover, load_placements, finish, true},
    {"load/take-over", &world_sizes[5], prepare_failover, load_placements, finish, true},
    {"load/take-over", &world_sizes[6], prepare_failover, load_placements, finish, true},
};

struct bench_cases bench_load_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
