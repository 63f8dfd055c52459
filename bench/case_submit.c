/* A submission, from the request's body to the answer. The store's answer to the transaction comes at once.
 */
#include "cases.h"

#include "amberpin/api/user_api.h"
#include "amberpin/codec/messages.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct submitting {
    struct amb_node *node;
    struct amb_job_spec spec;
    uint32_t count;
};

static void *to_follower(const struct world_size *size) {
    struct submitting *submitting = amb_alloc(sizeof *submitting);
    struct world_pages jobs = world_job_pages(size);
    submitting->node = world_node(size, 1);
    world_apply_jobs(submitting->node, &jobs);
    world_pages_free(&jobs);
    submitting->node->election.role = AMB_ROLE_FOLLOWER;
    submitting->node->election.highest_term = WORLD_TERM;
    submitting->node->watch.loaded = true;
    submitting->node->settings.memory_mb = 4096; /* each run adds a job */
    world_spec(&submitting->spec, size, 0);
    return submitting;
}

static void fill_budgets(struct amb_store *store) {
    store->request_bucket.tokens = store->request_bucket.tokens_per_second;
    store->user_write_bucket.tokens = store->user_write_bucket.tokens_per_second;
}

static void answer_commit(uint64_t epoch) {
    struct amb_buf body = {0};
    amb_cbor_write_map(&body, 1);
    amb_cbor_write_string(&body, "epoch");
    amb_cbor_write_uint(&body, epoch);
    struct world_call call = world_last_call();
    call.done(call.arg, 200, body.data, body.len);
    amb_buf_free(&body);
}

static void submit(void *input) {
    struct submitting *submitting = input;
    struct amb_buf body = {0};
    fill_budgets(&submitting->node->store);
    snprintf(submitting->spec.ref, sizeof submitting->spec.ref, "wk-new-%u", submitting->count++);
    amb_codec_encode_spec(&body, &submitting->spec);
    amb_api_handle_request(submitting->node, world_request("POST", "/v1/jobs", body.data, body.len));
    answer_commit(1000000 + submitting->count);
    amb_buf_free(&body);
}

static void finish(void *input) {
    struct submitting *submitting = input;
    if (world_last_status() != 201) abort();
    world_free(submitting->node);
    free(submitting);
}

static const struct bench_case cases[] = {
    {"submit/follower", &world_sizes[0], to_follower, submit, finish, false},
    {"submit/follower", &world_sizes[1], to_follower, submit, finish, false},
    {"submit/follower", &world_sizes[2], to_follower, submit, finish, false},
};

struct bench_cases bench_submit_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
