/* Changes read from the state service, from the bytes of the page until they are applied: the cost of each
 * change for every controller. */
#include "cases.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { FEW = 20, MANY = 1000, OLD_REVISION = 1, NEW_REVISION = 1000000 };

struct watcher {
    struct amb_node *node;
    struct amb_buf page;
};

/* Appends the change that sets a job's record to the given state, in the form that a controller writes. */
static void put_change(struct amb_buf *page, const struct world_size *size, uint32_t number,
                       enum amb_job_state state, uint64_t revision) {
    struct amb_job_spec spec;
    char key[AMB_NAME_SIZE + 8];
    world_spec(&spec, size, number);
    struct amb_job job = {
        .spec = &spec, .accepted_wall_ms = 1700000000000, .cancelled_wall_ms = 1700000001000};
    amb_job_format_key(key, sizeof key, spec.ref);
    amb_cbor_write_map(page, 3);
    amb_cbor_write_string(page, "put");
    amb_cbor_write_string(page, key);
    amb_cbor_write_string(page, "stamp");
    amb_cbor_write_uint(page, revision + number);
    amb_cbor_write_string(page, "value");
    amb_job_encode_record(page, &job, NULL, state);
}

static struct watcher *new_watcher(const struct world_size *size, uint32_t changes, enum amb_job_state state,
                                   uint64_t revision) {
    struct watcher *watcher = amb_alloc(sizeof *watcher);
    watcher->node = world_node(size, 1);
    watcher->node->election.role = AMB_ROLE_FOLLOWER;
    watcher->node->watch.loaded = true;
    amb_cbor_write_map(&watcher->page, 2);
    amb_cbor_write_string(&watcher->page, "epoch");
    amb_cbor_write_uint(&watcher->page, NEW_REVISION + changes);
    amb_cbor_write_string(&watcher->page, "news");
    amb_cbor_write_list(&watcher->page, changes);
    for (uint32_t i = 0; i < changes; i++) put_change(&watcher->page, size, i, state, revision);
    return watcher;
}

/* Returns a watcher whose controller knows all jobs already. */
static struct watcher *new_watcher_of_known_jobs(const struct world_size *size, enum amb_job_state state,
                                                 uint64_t revision) {
    struct watcher *watcher = new_watcher(size, FEW, state, revision);
    struct world_pages jobs = world_job_pages(size);
    world_apply_jobs(watcher->node, &jobs);
    world_pages_free(&jobs);
    return watcher;
}

static void *accepted(const struct world_size *size) {
    return new_watcher(size, FEW, AMB_JOB_QUEUED, NEW_REVISION);
}

static void *many_accepted(const struct world_size *size) {
    return new_watcher(size, MANY, AMB_JOB_QUEUED, NEW_REVISION);
}

static void *cancelled(const struct world_size *size) {
    return new_watcher_of_known_jobs(size, AMB_JOB_CANCELLED, NEW_REVISION);
}

static void *done(const struct world_size *size) {
    return new_watcher_of_known_jobs(size, AMB_JOB_DONE, NEW_REVISION);
}

/* Changes that the controller knows already, mostly because it wrote them itself. */
static void *echoed(const struct world_size *size) {
    return new_watcher_of_known_jobs(size, AMB_JOB_QUEUED, OLD_REVISION);
}

static void check_read(void *arg, bool understood) {
    (void)arg;
    if (!understood) abort();
}

static void apply_page(void *input) {
    struct watcher *watcher = input;
    /* The bucket does not refill, because the clock does not advance. */
    watcher->node->store.request_bucket.tokens = watcher->node->store.request_bucket.tokens_per_second;
    amb_watch_read_fresh(watcher->node, check_read, NULL);
    struct world_call call = world_last_call();
    call.done(call.arg, 200, watcher->page.data, watcher->page.len);
}

static void finish(void *input) {
    struct watcher *watcher = input;
    world_free(watcher->node);
    amb_buf_free(&watcher->page);
    free(watcher);
}

static const struct bench_case cases[] = {
    {"follow/accepted-20", &world_sizes[1], accepted, apply_page, finish, true},
    {"follow/accepted-1000", &world_sizes[1], many_accepted, apply_page, finish, true},
    {"follow/cancelled-20", &world_sizes[1], cancelled, apply_page, finish, true},
    {"follow/done-20", &world_sizes[1], done, apply_page, finish, true},
    {"follow/known-20", &world_sizes[1], echoed, apply_page, finish, false},
};

struct bench_cases bench_watch_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
