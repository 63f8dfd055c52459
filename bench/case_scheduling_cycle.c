/* A leader's scheduling cycle over its whole fleet: admission places the waiting tasks, and the capacity plan
 * adds the machines to rent. */
#include "cases.h"

#include "amberpin/scheduler/capacity_plan.h"
#include "amberpin/scheduler/cycle.h"

static void *leader(const struct world_size *size) {
    return world_leader(size);
}

static void finish(void *input) {
    world_free(input);
}

static void run_cycle(struct amb_node *node, bool plan) {
    struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
    amb_cycle_admit(cycle);
    if (plan) amb_capacity_plan_run(cycle);
    amb_cycle_free(cycle);
}

static void admit(void *input) {
    run_cycle(input, false);
}

static void admit_and_plan(void *input) {
    run_cycle(input, true);
}

static void create_cycle_only(void *input) { /* creates and frees the cycle's view of the fleet */
    amb_cycle_free(amb_cycle_new(input, amb_now()));
}

static const struct bench_case cases[] = {
    {"round/view", &world_sizes[1], leader, create_cycle_only, finish, false},
    {"round/admit", &world_sizes[0], leader, admit, finish, true},
    {"round/admit", &world_sizes[1], leader, admit, finish, true},
    {"round/admit", &world_sizes[2], leader, admit, finish, true},
    {"round/admit", &world_sizes[3], leader, admit, finish, true},
    {"round/admit", &world_sizes[4], leader, admit, finish, true},
    {"round/admit", &world_sizes[5], leader, admit, finish, true},
    {"round/admit", &world_sizes[6], leader, admit, finish, true},
    {"round/admit-and-plan", &world_sizes[0], leader, admit_and_plan, finish, true},
    {"round/admit-and-plan", &world_sizes[1], leader, admit_and_plan, finish, true},
    {"round/admit-and-plan", &world_sizes[2], leader, admit_and_plan, finish, true},
    {"round/admit-and-plan", &world_sizes[3], leader, admit_and_plan, finish, true},
    {"round/admit-and-plan", &world_sizes[4], leader, admit_and_plan, finish, true},
    {"round/admit-and-plan", &world_sizes[5], leader, admit_and_plan, finish, true},
    {"round/admit-and-plan", &world_sizes[6], leader, admit_and_plan, finish, true},
};

struct bench_cases bench_scheduling_cycle_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
