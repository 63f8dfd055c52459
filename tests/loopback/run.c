/* One run: the stand-in's models in real time, until enough handovers were seen and the run has quiesced. */
#include "proof.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
    TICK_MS = 10,
    /* Limits for a run that hangs, far beyond what a run takes on a busy machine. */
    RUN_MOST_MS = 600000,
    QUIESCE_MOST_MS = 90000,
    /* Longer than a controller waits for word from its leader before it becomes a lease proxy: 1.5 heartbeat
     * periods of the agents, or the leadership lease if that is longer. */
    SETTLED_MS = 5 * PROOF_REPORT_MS,
    MACHINES = 20,
    TASKS = 4,
    IMAGES = 3,
};

const struct sim_cloud_timing sim_cloud_timing = {.list_lag = 400, .boot = 300, .fetch = 50};
struct sim_world world;
void (*sim_on_transaction)(const struct sim_call *call, const struct amb_cbor_item *transaction);
void (*sim_on_peer_message)(const struct sim_call *call);
struct proof_run run;

static struct sim_size size = {.machines = MACHINES,
                               .max_array_tasks = TASKS,
                               .images = IMAGES,
                               .heartbeat_ms = PROOF_REPORT_MS,
                               .agent_lease_ms = PROOF_LEASE_MS,
                               .cancel_ms = PROOF_CANCEL_MS,
                               .store_rps = 600,
                               .store_write_rps = 200,
                               .cloud_rps = 40};
static struct amb_timer tick_timer;
static const char LEASE_PROXY_PREFIX[] = "a/deputy/";
static amb_ms begun, quiesced_since, unsettled_at;
static uint64_t leader_revision;
static uint32_t handovers_seen;
static bool has_led[2]; /* a controller with an even number, one with an odd number */
static bool all_done;

/* ---- replacements for tests/standin/clock.c and nodes.c ---- */

uint64_t sim_random(void) {
    world.random ^= world.random << 13;
    world.random ^= world.random >> 7;
    world.random ^= world.random << 17;
    return world.random;
}

amb_ms sim_random_between(amb_ms min, amb_ms max) {
    return min + (amb_ms)(sim_random() % (uint64_t)(max - min + 1));
}

int sim_random_node(void) {
    return (int)(sim_random() % (uint64_t)world.size->nodes);
}

/* The models read world.now, which follows the event loop's clock. */
amb_ms amb_now(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    world.now = (amb_ms)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    return world.now;
}

int64_t amb_wall_ms(void) {
    return amb_now();
}

uint64_t amb_nonce(void) {
    return sim_random() >> 1;
}

int sim_leader(void) {
    return 0;
}

/* Controllers are processes, so their state is not accessible here. */
const struct amb_node *sim_restored_leader_since(amb_ms min_age) {
    (void)min_age;
    return NULL;
}

void sim_node_kill(int index, amb_ms restart_delay) {
    (void)restart_delay;
    proof_controller_kill(index);
}

/* Controllers are processes, so no node's code runs here. */
int sim_switch_to(int node) {
    (void)node;
    return -1;
}

void sim_begin_upgrade(const struct sim_fault *fault) {
    (void)fault;
}

void sim_begin_duties(const struct sim_fault *fault) {
    (void)fault;
}

amb_ms sim_duties_switched(const struct sim_fault *fault) {
    return fault->at;
}

/* ---- the run ---- */

void proof_note(const struct proof_event *event) {
    struct proof_event stamped = *event;
    stamped.at = world.now - begun;
    proof_log_add(&run.log, &stamped);
}

static bool machines_left(void) {
    for (int i = 0; i < world.machine_count; i++)
        if (world.machines[i].exists) return true;
    return false;
}

static void quiesce(void) {
    struct proof_event event = {.type = PROOF_QUIESCED, .node = -1};
    proof_incidents_end();
    quiesced_since = world.now;
    proof_note(&event);
}

static void note_charged(void) {
    struct proof_event event = {.type = PROOF_CHARGED, .node = -1};
    for (int i = 0; i < world.machine_count; i++) {
        if (!world.machines[i].exists) continue;
        strcpy(event.machine, world.machines[i].name);
        event.tasks = world.machines[i].task_count;
        proof_note(&event);
    }
}

static bool has_seen_enough(void) {
    if (run.plan->calm) return world.now - begun > run.plan->calm_for;
    return run.handovers >= run.plan->handovers || world.now - begun > RUN_MOST_MS;
}

/* The member that is a lease proxy; NULL: none. A controller that cannot read its leader's messages stays a
 * lease proxy as long as this leader leads. */
static const char *find_lease_proxy(void) {
    for (int i = 0; i < world.store.key_count; i++)
        if (!strncmp(world.store.keys[i].key, LEASE_PROXY_PREFIX, strlen(LEASE_PROXY_PREFIX)))
            return world.store.keys[i].key + strlen(LEASE_PROXY_PREFIX);
    return NULL;
}

static void start_stopped_controllers(void) {
    for (int i = 0; i < run.plan->controllers; i++) proof_controller_start(i);
}

/* Has the same controller led for SETTLED_MS, heard by all others, and has no duty changed its holder? */
static bool is_leader_settled(void) {
    uint64_t revision = sim_leader_revision();
    if (revision && revision != leader_revision) start_stopped_controllers();
    if (!revision || revision != leader_revision || run.handovers != handovers_seen || find_lease_proxy())
        unsettled_at = world.now;
    leader_revision = revision;
    handovers_seen = run.handovers;
    return world.now - unsettled_at >= SETTLED_MS;
}

/* With a second program, a controller of each program must have led and been heard by all others, and must
 * have held a duty. Until then the leader and the holder of some duty are killed. They are started again
 * under the next leader: at once, they would reclaim their own keys. */
static bool is_leadership_proven(void) {
    int leader = proof_leader();
    if (!is_leader_settled() || leader < 0) return false;
    has_led[leader % 2] = true;
    if (!run.plan->other || (has_led[0] && has_led[1] && run.has_held[0] && run.has_held[1])) return true;
    int holder;
    if (run.plan->controllers > 2 && proof_holder(&holder)) proof_controller_kill(holder);
    proof_controller_kill(leader);
    return false;
}

static bool is_over(void) {
    if (!quiesced_since) return false;
    all_done = proof_workload_done() && !machines_left() && is_leadership_proven();
    if (all_done || world.now - quiesced_since <= QUIESCE_MOST_MS) return all_done;
    const char *proxy = find_lease_proxy();
    if (proxy) sim_report_violation("%s does not hear the leader, n%d", proxy, proof_leader());
    return true;
}

static void tick(void *arg) {
    (void)arg;
    amb_timer_set_after(&tick_timer, TICK_MS, tick, NULL);
    sim_store_tick();
    proof_witness_tick();
    for (int i = 0; i < world.machine_count; i++) sim_machine_advance(i);
    proof_controllers_watch();
    proof_workload_tick();
    proof_incidents_tick();
    if (!quiesced_since && has_seen_enough()) quiesce();
    if (is_over() || world.result.violation[0]) amb_loop_stop();
}

static void add_usage(struct proof_usage *sum) {
    for (int i = 0; i < run.plan->controllers; i++) {
        const struct proof_usage *usage = &run.controllers[i].usage;
        sum->processor_ms += usage->processor_ms;
        sum->state_calls += usage->state_calls;
        sum->cloud_calls += usage->cloud_calls;
        sum->handover_calls += usage->handover_calls;
        if (usage->memory_kb > sum->memory_kb) sum->memory_kb = usage->memory_kb;
    }
}

struct proof_outcome proof_play(const struct proof_plan *plan) {
    struct proof_outcome outcome = {0};
    run.plan = plan;
    size.nodes = plan->controllers;
    world.size = &size;
    world.load = SIM_LOAD_OVERLOAD; /* teams' limits do not bind */
    world.random = plan->seed * 2654435761U + 88172645463325252U;
    world.current = -1;
    signal(SIGPIPE, SIG_IGN);
    amb_loop_init();
    begun = amb_now();
    proof_network_open();
    proof_controllers_prepare();
    for (int i = 0; i < plan->controllers; i++) proof_controller_start(i);
    tick(NULL);
    amb_loop_run();
    outcome.took = amb_now() - begun;
    proof_controllers_end();
    add_usage(&outcome.usage);
    note_charged();
    struct proof_terms terms = {.recorded = plan->duties, .tokens_checked = plan->duties && plan->tokens};
    proof_check(&run.log, terms, &outcome.verdict);
    outcome.complete = all_done && (plan->calm || run.handovers >= plan->handovers);
    memcpy(outcome.broken, world.result.violation, sizeof outcome.broken);
    return outcome;
}
