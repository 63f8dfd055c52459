/* News of the state service, from the page's bytes until they are applied: what every node pays for a change.
 */
#include "cases.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { FEW = 20, MANY = 1000, OLD_STAMP = 1, NEW_STAMP = 1000000 };

struct news {
    struct amb_node *node;
    struct amb_buf page;
};

/* The job's record in this state, as a node writes it. */
static void put_change(struct amb_buf *page, const struct world_size *size, uint32_t number,
                       enum amb_job_state state, uint64_t stamp) {
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
    amb_cbor_write_uint(page, stamp + number);
    amb_cbor_write_string(page, "value");
    amb_job_encode_record(page, &job, state);
}

static struct news *news(const struct world_size *size, uint32_t changes, enum amb_job_state state,
                         uint64_t stamp) {
    struct news *news = amb_alloc(sizeof *news);
    news->node = world_node(size, 1);
    news->node->election.role = AMB_ROLE_FOLLOWER;
    news->node->watch.loaded = true;
    amb_cbor_write_map(&news->page, 2);
    amb_cbor_write_string(&news->page, "epoch");
    amb_cbor_write_uint(&news->page, NEW_STAMP + changes);
    amb_cbor_write_string(&news->page, "news");
    amb_cbor_write_list(&news->page, changes);
    for (uint32_t i = 0; i < changes; i++) put_change(&news->page, size, i, state, stamp);
    return news;
}

/* A node that knows all jobs. */
static struct news *news_of_known(const struct world_size *size, enum amb_job_state state, uint64_t stamp) {
    struct news *known = news(size, FEW, state, stamp);
    struct world_pages jobs = world_job_pages(size);
    world_apply_jobs(known->node, &jobs);
    world_pages_free(&jobs);
    return known;
}

static void *accepted(const struct world_size *size) {
    return news(size, FEW, AMB_JOB_QUEUED, NEW_STAMP);
}

static void *many_accepted(const struct world_size *size) {
    return news(size, MANY, AMB_JOB_QUEUED, NEW_STAMP);
}

static void *cancelled(const struct world_size *size) {
    return news_of_known(size, AMB_JOB_CANCELLED, NEW_STAMP);
}

static void *done(const struct world_size *size) {
    return news_of_known(size, AMB_JOB_DONE, NEW_STAMP);
}

/* Known already: most often what the node wrote itself. */
static void *echoed(const struct world_size *size) {
    return news_of_known(size, AMB_JOB_QUEUED, OLD_STAMP);
}

static void check(void *arg, bool understood) {
    (void)arg;
    if (!understood) abort();
}

static void follow(void *input) {
    struct news *news = input;
    news->node->store.request_bucket.tokens = 1; /* the clock stands still */
    amb_watch_read_fresh(news->node, check, NULL);
    struct world_call call = world_last_call();
    call.done(call.arg, 200, news->page.data, news->page.len);
}

static void finish(void *input) {
    struct news *news = input;
    world_free(news->node);
    amb_buf_free(&news->page);
    free(news);
}

static const struct bench_case cases[] = {
    {"follow/accepted-20", &world_sizes[1], accepted, follow, finish, true},
    {"follow/accepted-1000", &world_sizes[1], many_accepted, follow, finish, true},
    {"follow/cancelled-20", &world_sizes[1], cancelled, follow, finish, true},
    {"follow/done-20", &world_sizes[1], done, follow, finish, true},
    {"follow/known-20", &world_sizes[1], echoed, follow, finish, false},
};

struct bench_cases bench_watch_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
