#include "store_call.h"

#include "amberpin/codec/kvstore_messages.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

struct amb_placement_log_call {
    struct amb_node *node;
    uint64_t term;
    char ref[AMB_NAME_SIZE];
    struct amb_placement_block_id id; /* set if the request is about a block */
};

struct amb_placement_log_call *amb_placement_log_call_new_for_job(struct amb_node *node,
                                                                  const struct amb_job *job) {
    struct amb_placement_log_call *call = amb_alloc(sizeof *call);
    call->node = node;
    call->term = node->election.term;
    strcpy(call->ref, job->ref);
    return call;
}

struct amb_placement_log_call *amb_placement_log_call_new(struct amb_node *node,
                                                          const struct amb_placement_block *block) {
    struct amb_placement_log_call *call = amb_placement_log_call_new_for_job(node, block->job);
    call->id = block->id;
    return call;
}

static struct amb_job *find_job_of_call(const struct amb_placement_log_call *call) {
    const struct amb_election *election = &call->node->election;
    if (election->role < AMB_ROLE_LEADER || election->term != call->term) return NULL;
    struct amb_job *job = amb_job_find(call->node, call->ref);
    return job && job->active ? job : NULL;
}

struct amb_job *amb_placement_log_call_take_job(struct amb_placement_log_call *call, struct amb_node **node) {
    struct amb_job *job = find_job_of_call(call);
    *node = call->node;
    free(call);
    return job;
}

struct amb_placement_block *amb_placement_log_call_take_block(struct amb_placement_log_call *call,
                                                              struct amb_node **node) {
    struct amb_job *job = find_job_of_call(call);
    struct amb_placement_block *block = job ? amb_placement_blocks_find(job, call->id) : NULL;
    *node = call->node;
    free(call);
    return block;
}

void amb_placement_log_handle_conflict(struct amb_node *node, const struct amb_cbor_item *body) {
    if (amb_kvstore_conflict_is_on(body, AMB_LEADER_KEY))
        amb_election_observe_term(node, node->election.term + 1, "a refused write");
}
