/* A machine's report, from the request's body to the answer: at the leader, and at a node that does not lead.
 */
#include "cases.h"

#include <stdlib.h>

struct reporting {
    struct amb_node *node;
    struct amb_buf body;
    size_t seq_at;
    uint64_t seq;
    int status;
};

static struct reporting *reporting_to(struct amb_node *node, const struct world_size *size, int status) {
    struct reporting *r = amb_alloc(sizeof *r);
    r->node = node;
    r->seq = 1;
    r->status = status;
    world_put_report(&r->body, size, 0, r->seq, &r->seq_at);
    return r;
}

static void *to_leader(const struct world_size *size) {
    return reporting_to(world_leader(size), size, 200);
}

static void *to_follower(const struct world_size *size) {
    struct amb_node *node = world_node(size, 1);
    node->election.role = AMB_ROLE_FOLLOWER;
    node->election.highest_term = WORLD_TERM;
    return reporting_to(node, size, 421);
}

/* Each report is newer than the one before. Nothing has changed on the machine, so the leader keeps an answer
 * that would say nothing until the next report comes, and gives it then. */
static void report(void *input) {
    struct reporting *heartbeat = input;
    heartbeat->seq++;
    for (int i = 0; i < 8; i++)
        heartbeat->body.data[heartbeat->seq_at + (size_t)i] = (char)(heartbeat->seq >> (56 - 8 * i));
    amb_agent_handle_request(heartbeat->node,
                             world_request("POST", "/hello", heartbeat->body.data, heartbeat->body.len));
}

static void finish(void *input) {
    struct reporting *r = input;
    if (world_last_status() != r->status) abort();
    amb_buf_free(&r->body);
    world_free(r->node);
    free(r);
}

static const struct bench_case cases[] = {
    {"report/leader", &world_sizes[0], to_leader, report, finish, false},
    {"report/leader", &world_sizes[1], to_leader, report, finish, false},
    {"report/leader", &world_sizes[2], to_leader, report, finish, false},
    {"report/leader", &world_sizes[3], to_leader, report, finish, false},
    {"report/leader", &world_sizes[4], to_leader, report, finish, false},
    {"report/leader", &world_sizes[5], to_leader, report, finish, false},
    {"report/leader", &world_sizes[6], to_leader, report, finish, false},
    {"report/follower", &world_sizes[1], to_follower, report, finish, false},
};

struct bench_cases bench_report_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
