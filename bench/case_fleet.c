/* The parts whose cost may grow with the fleet, at four sizes: a report, heartbeats, the leader's round with and
 * without a plan, its look at the machines, and the take-over of the lead. */
#include "cases.h"

#include "amberpin/plan.h"
#include "amberpin/round.h"

#include <stdlib.h>
#include <string.h>

/* As world_sizes' "fleet", with more machines and work in proportion. */
static const struct world_size sizes[] = {
    {"machines-1000", 7, 1000, 500, 200, 3000, 100, 14, 12, 4, 22, 42},
    {"machines-2000", 7, 2000, 1000, 400, 6000, 200, 14, 12, 4, 22, 42},
    {"machines-4000", 7, 4000, 2000, 800, 12000, 400, 14, 12, 4, 22, 42},
    {"machines-8000", 7, 8000, 4000, 1600, 24000, 800, 14, 12, 4, 22, 42},
};

static void *leader(const struct world_size *size) {
    return world_leader(size);
}

static void finish(void *input) {
    world_free(input);
}

/* ---- reports ---- */

struct reporting {
    struct amb_node *node;
    struct amb_buf body;
    size_t seq_at;
    uint64_t seq;
};

static void *reporting(const struct world_size *size) {
    struct reporting *r = amb_alloc(sizeof *r);
    r->node = world_leader(size);
    r->seq = 1;
    world_put_report(&r->body, size, 0, r->seq, &r->seq_at);
    return r;
}

static void report(void *input) {
    struct reporting *r = input;
    r->seq++;
    for (int i = 0; i < 8; i++) r->body.data[r->seq_at + (size_t)i] = (char)(r->seq >> (56 - 8 * i));
    amb_fleet_request(r->node, world_request("POST", "/hello", r->body.data, r->body.len));
}

static void finish_reporting(void *input) {
    struct reporting *r = input;
    if (world_last_status() != 200) abort();
    amb_buf_free(&r->body);
    world_free(r->node);
    free(r);
}

/* ---- heartbeats ---- */

static void build_heartbeat(void *input) {
    free(amb_peer_say(input));
}

enum { MESSAGES = 16 };

struct receiving {
    struct amb_node *node;
    struct world_server server;
    char *messages[MESSAGES];
    uint32_t next;
};

static void *receiving(const struct world_size *size) {
    struct receiving *r = amb_alloc(sizeof *r);
    struct amb_node *sender = world_leader(size);
    for (int i = 0; i < MESSAGES; i++) r->messages[i] = amb_peer_say(sender);
    world_free(sender);
    r->node = world_node(size, 2);
    r->node->election.role = AMB_ROLE_FOLLOWING;
    r->node->election.highest = WORLD_TERM;
    r->node->jobs.loaded = true;
    amb_peer_init(r->node);
    r->server = world_last_server();
    return r;
}

static void receive_heartbeat(void *input) {
    struct receiving *r = input;
    const char *text = r->messages[r->next++ % MESSAGES];
    r->server.handler(r->server.arg, world_request("POST", "/peer/heartbeat", text, strlen(text)));
}

static void finish_receiving(void *input) {
    struct receiving *r = input;
    if (world_last_status() != 200) abort();
    world_free(r->node);
    for (int i = 0; i < MESSAGES; i++) free(r->messages[i]);
    free(r);
}

/* ---- the leader's turns ---- */

static void play(struct amb_node *node, bool plan) {
    struct amb_round *round = amb_round_new(node, amb_now());
    amb_round_admit(round);
    if (plan) amb_plan(round);
    amb_round_free(round);
}

static void round_only(void *input) {
    play(input, false);
}

static void round_and_plan(void *input) {
    play(input, true);
}

static void fleet_tick(void *input) {
    struct amb_node *node = input;
    node->ctl.loaded_at = amb_now();
    amb_fleet_tick(node, amb_now());
}

static void record_pump(void *input) {
    amb_record_pump(input);
}

/* ---- taking over ---- */

struct loading {
    struct amb_node *node;
    struct world_pages pages;
};

static void *taking_over(const struct world_size *size) {
    struct loading *l = amb_alloc(sizeof *l);
    struct world_pages jobs = world_job_pages(size);
    l->node = world_node(size, 0);
    world_apply_jobs(l->node, &jobs);
    world_pages_free(&jobs);
    world_make_leader(l->node);
    l->pages = world_placement_pages(size);
    return l;
}

static void load_placements(void *input) {
    struct loading *l = input;
    world_apply_placements(l->node, &l->pages);
}

static void finish_loading(void *input) {
    struct loading *l = input;
    world_free(l->node);
    world_pages_free(&l->pages);
    free(l);
}

#define AT_EACH_SIZE(name, prepare, run, finish, fresh)                                                      \
    {name, &sizes[0], prepare, run, finish, fresh}, {name, &sizes[1], prepare, run, finish, fresh},          \
        {name, &sizes[2], prepare, run, finish, fresh}, {                                                    \
        name, &sizes[3], prepare, run, finish, fresh                                                         \
    }

static const struct bench_case cases[] = {
    AT_EACH_SIZE("fleet/report", reporting, report, finish_reporting, false),
    AT_EACH_SIZE("fleet/heartbeat-build", leader, build_heartbeat, finish, false),
    AT_EACH_SIZE("fleet/heartbeat-receive", receiving, receive_heartbeat, finish_receiving, false),
    AT_EACH_SIZE("fleet/round", leader, round_only, finish, true),
    AT_EACH_SIZE("fleet/round-and-plan", leader, round_and_plan, finish, true),
    AT_EACH_SIZE("fleet/tick", leader, fleet_tick, finish, false),
    AT_EACH_SIZE("fleet/record-pump", leader, record_pump, finish, false),
    AT_EACH_SIZE("fleet/take-over", taking_over, load_placements, finish_loading, true),
};

struct bench_cases bench_fleet_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
