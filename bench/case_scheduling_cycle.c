/* A leader's round over its whole fleet: what waits is placed; with a plan, machines are wanted too. */
#include "cases.h"

#include "amberpin/scheduler/capacity_plan.h"
#include "amberpin/scheduler/cycle.h"

static void *leader(const struct world_size *size) {
    return world_leader(size);
}

static void finish(void *input) {
    world_free(input);
}

static void play(struct amb_node *node, bool plan) {
    struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
    amb_cycle_admit(cycle);
    if (plan) amb_capacity_plan_run(cycle);
    amb_cycle_free(cycle);
}

static void round_only(void *input) {
    play(input, false);
}

static void round_and_plan(void *input) {
    play(input, true);
}

static void look_only(void *input) { /* the round's view of the world, made and freed */
    amb_cycle_free(amb_cycle_new(input, amb_now()));
}

static const struct bench_case cases[] = {
    {"round/view", &world_sizes[1], leader, look_only, finish, false},
    {"round/admit", &world_sizes[0], leader, round_only, finish, true},
    {"round/admit", &world_sizes[1], leader, round_only, finish, true},
    {"round/admit", &world_sizes[2], leader, round_only, finish, true},
    {"round/admit", &world_sizes[3], leader, round_only, finish, true},
    {"round/admit", &world_sizes[4], leader, round_only, finish, true},
    {"round/admit", &world_sizes[5], leader, round_only, finish, true},
    {"round/admit", &world_sizes[6], leader, round_only, finish, true},
    {"round/admit-and-plan", &world_sizes[0], leader, round_and_plan, finish, true},
    {"round/admit-and-plan", &world_sizes[1], leader, round_and_plan, finish, true},
    {"round/admit-and-plan", &world_sizes[2], leader, round_and_plan, finish, true},
    {"round/admit-and-plan", &world_sizes[3], leader, round_and_plan, finish, true},
    {"round/admit-and-plan", &world_sizes[4], leader, round_and_plan, finish, true},
    {"round/admit-and-plan", &world_sizes[5], leader, round_and_plan, finish, true},
    {"round/admit-and-plan", &world_sizes[6], leader, round_and_plan, finish, true},
};

struct bench_cases bench_scheduling_cycle_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
