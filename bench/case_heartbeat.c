/* Heartbeats between controllers: building the one that a controller sends to all peers twice per agent
 * heartbeat interval, and handling it at a peer. */
#include "cases.h"

#include <stdlib.h>
#include <string.h>

static void *leader(const struct world_size *size) {
    return world_leader(size);
}

/* Returns a follower, which knows all jobs and no machines. */
static struct amb_node *follower(const struct world_size *size, uint32_t member) {
    struct amb_node *node = world_node(size, member);
    struct world_pages jobs = world_job_pages(size);
    world_apply_jobs(node, &jobs);
    world_pages_free(&jobs);
    node->election.role = AMB_ROLE_FOLLOWER;
    node->election.highest_term = WORLD_TERM;
    node->watch.loaded = true;
    return node;
}

static void *new_follower(const struct world_size *size) {
    return follower(size, 1);
}

static void encode(void *input) {
    free(amb_peer_encode_heartbeat(input));
}

static void finish(void *input) {
    world_free(input);
}

/* Number of successive heartbeats to receive. Those of a leader differ, because each covers other machines.
 */
enum { MESSAGES = 16 };

struct receiving {
    struct amb_node *node;
    struct world_server server;
    char *messages[MESSAGES];
    uint32_t next;
};

static struct receiving *receiver(const struct world_size *size, struct amb_node *sender) {
    struct receiving *receiving = amb_alloc(sizeof *receiving);
    receiving->node = follower(size, 2);
    amb_peer_start(receiving->node);
    receiving->server = world_last_server();
    for (int i = 0; i < MESSAGES; i++) receiving->messages[i] = amb_peer_encode_heartbeat(sender);
    world_free(sender);
    return receiving;
}

static void *from_leader(const struct world_size *size) {
    return receiver(size, world_leader(size));
}

static void *from_follower(const struct world_size *size) {
    return receiver(size, follower(size, 1));
}

static void receive(void *input) {
    struct receiving *receiving = input;
    const char *text = receiving->messages[receiving->next++ % MESSAGES];
    receiving->server.handler(receiving->server.arg,
                              world_request("POST", "/peer/heartbeat", text, strlen(text)));
}

static void finish_receiving(void *input) {
    struct receiving *receiving = input;
    if (world_last_status() != 200) abort();
    world_free(receiving->node);
    for (int i = 0; i < MESSAGES; i++) free(receiving->messages[i]);
    free(receiving);
}

/* Building the answer to a leader that lacks only the newest cancellation. */
struct replying {
    struct amb_node *node;
    uint64_t known_revision;
};

static void *replier(const struct world_size *size) {
    struct replying *replying = amb_alloc(sizeof *replying);
    uint64_t newest = 0;
    replying->node = follower(size, 1);
    for (const struct amb_job *job = replying->node->jobs.all; job; job = job->hh.next)
        if (job->cancel_revision > newest) newest = job->cancel_revision;
    replying->known_revision = newest - 1;
    return replying;
}

static void encode_reply(void *input) {
    struct replying *replying = input;
    amb_peer_message_release(amb_peer_encode_reply(replying->node, replying->known_revision));
}

static void finish_replying(void *input) {
    struct replying *replying = input;
    world_free(replying->node);
    free(replying);
}

/* The size "grown" after half a day of operation, with many more finished jobs. */
static const struct world_size aged = {"aged", 7, 120, 60, 40, 20000, 20, 14, 6, 1, 10, 30};

static const struct bench_case cases[] = {
    {"heartbeat/build-leader", &world_sizes[0], leader, encode, finish, false},
    {"heartbeat/build-leader", &world_sizes[1], leader, encode, finish, false},
    {"heartbeat/build-leader", &world_sizes[2], leader, encode, finish, false},
    {"heartbeat/build-leader", &world_sizes[3], leader, encode, finish, false},
    {"heartbeat/build-leader", &world_sizes[4], leader, encode, finish, false},
    {"heartbeat/build-leader", &world_sizes[5], leader, encode, finish, false},
    {"heartbeat/build-leader", &world_sizes[6], leader, encode, finish, false},
    {"heartbeat/build-follower", &world_sizes[0], new_follower, encode, finish, false},
    {"heartbeat/build-follower", &world_sizes[1], new_follower, encode, finish, false},
    {"heartbeat/build-follower", &world_sizes[2], new_follower, encode, finish, false},
    {"heartbeat/answer-newer", &world_sizes[1], replier, encode_reply, finish_replying, false},
    {"heartbeat/answer-newer", &aged, replier, encode_reply, finish_replying, false},
    {"heartbeat/receive-from-leader", &world_sizes[0], from_leader, receive, finish_receiving, false},
    {"heartbeat/receive-from-leader", &world_sizes[1], from_leader, receive, finish_receiving, false},
    {"heartbeat/receive-from-leader", &world_sizes[2], from_leader, receive, finish_receiving, false},
    {"heartbeat/receive-from-leader", &world_sizes[3], from_leader, receive, finish_receiving, false},
    {"heartbeat/receive-from-leader", &world_sizes[4], from_leader, receive, finish_receiving, false},
    {"heartbeat/receive-from-leader", &world_sizes[5], from_leader, receive, finish_receiving, false},
    {"heartbeat/receive-from-leader", &world_sizes[6], from_leader, receive, finish_receiving, false},
    {"heartbeat/receive-from-follower", &world_sizes[0], from_follower, receive, finish_receiving, false},
    {"heartbeat/receive-from-follower", &world_sizes[1], from_follower, receive, finish_receiving, false},
    {"heartbeat/receive-from-follower", &world_sizes[2], from_follower, receive, finish_receiving, false},
};

struct bench_cases bench_heartbeat_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
