/* An agent's heartbeat, from the request's body to the answer, at the leader and at a follower. */
#include "cases.h"

#include <stdlib.h>

struct heartbeat {
    struct amb_node *node;
    struct amb_buf body;
    size_t seq_at;
    uint64_t seq;
    int status;
};

static struct heartbeat *prepare(struct amb_node *node, const struct world_size *size, int status) {
    struct heartbeat *heartbeat = amb_alloc(sizeof *heartbeat);
    heartbeat->node = node;
    heartbeat->seq = 1;
    heartbeat->status = status;
    world_put_heartbeat(&heartbeat->body, size, 0, heartbeat->seq, &heartbeat->seq_at);
    return heartbeat;
}

static void *to_leader(const struct world_size *size) {
    return prepare(world_leader(size), size, 200);
}

static void *to_follower(const struct world_size *size) {
    struct amb_node *node = world_node(size, 1);
    node->election.role = AMB_ROLE_FOLLOWER;
    node->election.highest_term = WORLD_TERM;
    return prepare(node, size, 421);
}

/* Each heartbeat has the next sequence number. Nothing has changed on the machine, so the leader holds back
 * the answer, which has no commands (long poll), and sends it when the next heartbeat arrives. */
static void handle_heartbeat(void *input) {
    struct heartbeat *heartbeat = input;
    heartbeat->seq++;
    for (int i = 0; i < 8; i++)
        heartbeat->body.data[heartbeat->seq_at + (size_t)i] = (char)(heartbeat->seq >> (56 - 8 * i));
    amb_agent_handle_request(heartbeat->node,
                             world_request("POST", "/hello", heartbeat->body.data, heartbeat->body.len));
}

static void finish(void *input) {
    struct heartbeat *heartbeat = input;
    if (world_last_status() != heartbeat->status) abort();
    amb_buf_free(&heartbeat->body);
    world_free(heartbeat->node);
    free(heartbeat);
}

static const struct bench_case cases[] = {
    {"report/leader", &world_sizes[0], to_leader, handle_heartbeat, finish, false},
    {"report/leader", &world_sizes[1], to_leader, handle_heartbeat, finish, false},
    {"report/leader", &world_sizes[2], to_leader, handle_heartbeat, finish, false},
    {"report/leader", &world_sizes[3], to_leader, handle_heartbeat, finish, false},
    {"report/leader", &world_sizes[4], to_leader, handle_heartbeat, finish, false},
    {"report/leader", &world_sizes[5], to_leader, handle_heartbeat, finish, false},
    {"report/leader", &world_sizes[6], to_leader, handle_heartbeat, finish, false},
    {"report/follower", &world_sizes[1], to_follower, handle_heartbeat, finish, false},
};

struct bench_cases bench_report_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
