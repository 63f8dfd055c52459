#include "bare_node.h"

#include "amberpin/node/memory_budget.h"

#include <stdlib.h>

struct amb_node *bare_node_new(void) {
    struct amb_node *node = amb_alloc(sizeof *node);
    amb_controller_attach(node);
    amb_options_set_defaults(&node->options);
    return node;
}

static void free_jobs(struct amb_node *node) {
    struct amb_job *job = node->jobs.all, *next;
    HASH_CLEAR(hh, node->jobs.all);
    for (; job; job = next) {
        next = job->hh.next;
        amb_job_drop_spec(node, job);
        free(job);
    }
}

void bare_node_free(struct amb_node *node) {
    free_jobs(node);
    amb_timer_stop(&node->peers.heartbeat_timer);
    amb_timer_stop(&node->store.dispatch_timer);
    amb_pipelines_clear(node);
    amb_machines_forget_removed(node);
    amb_peer_clear_cached_messages(node);
    amb_cancellations_free(&node->jobs.cancellations);
    free(node);
}
