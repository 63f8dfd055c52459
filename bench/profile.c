/* Simulates a scenario without faults at the size of a deployment, and has callgrind count the instructions
 * that controllers of one role execute. The stand-in replaces the network, so HTTP and the kernel are not
 * included.
 *
 *     valgrind --tool=callgrind --collect-atstart=no profile leader|follower [SEED]
 */
#include "standin.h"

#include "amberpin/base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <valgrind/callgrind.h>

enum { LENGTH_MS = 120000, DEFAULT_SEED = 7 };

/* Five controllers, 167 machines, a heartbeat each second: the deployment with the smallest share of a core.
 */
static const struct sim_size deployment = {
    .nodes = 5,
    .machines = 167,
    .jobs = 140,
    .max_array_tasks = 40,
    .images = 26,
    .heartbeat_ms = 1000,
    .agent_lease_ms = 10000,
    .cancel_ms = 35000,
    .store_rps = 200,
    .store_write_rps = 25,
    .cloud_rps = 8,
};

static bool count_leader, collecting;

static void toggle_collection(int node) {
    bool has_role = node >= 0 && sim_node_leads(node) == count_leader;
    if (has_role == collecting) return;
    collecting = has_role;
    CALLGRIND_TOGGLE_COLLECT;
}

int main(int argc, char **argv) {
    if (argc < 2 || (strcmp(argv[1], "leader") != 0 && strcmp(argv[1], "follower") != 0)) {
        fprintf(stderr, "usage: profile leader|follower [SEED]\n");
        return 2;
    }
    amb_log_init("error");
    count_leader = !strcmp(argv[1], "leader");
    sim_on_node_switch = toggle_collection;
    uint64_t seed = argc > 2 ? strtoull(argv[2], NULL, 10) : DEFAULT_SEED;
    struct sim_result result = sim_run_default_load(&deployment, seed, LENGTH_MS, NULL, 0);
    printf("%s: %u jobs accepted, %u done, %u cancelled, %u starts; violation: %s\n", argv[1],
           result.accepted, result.done, result.cancelled, result.starts,
           result.violation[0] ? result.violation : "none");
    return result.violation[0] != 0;
}
