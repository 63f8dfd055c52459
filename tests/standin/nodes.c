/* Controller nodes: real ones of the library, started with settings for the stand-in. */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void set_names(struct amb_settings *set, int node) {
    snprintf(set->member, sizeof set->member, "n%d", node);
    snprintf(set->zone, sizeof set->zone, "%s", sim_zone_of_node(node) ? "b" : "a");
    snprintf(set->front, sizeof set->front, "F%d:1", node);
    snprintf(set->peer_listen, sizeof set->peer_listen, "P%d:1", node);
    strcpy(set->state, "S:1");
    strcpy(set->cloud, "C:1");
    for (int k = 0; k < world.size->nodes; k++) {
        if (k == node) continue;
        snprintf(set->peers[set->npeers].member, AMB_NAME, "n%d", k);
        snprintf(set->peers[set->npeers++].addr, AMB_NAME, "P%d:1", k);
    }
    set->nzones = 2;
    strcpy(set->zones[0], "a");
    strcpy(set->zones[1], "b");
}

static void set_teams(struct amb_settings *set) {
    int guarantee = sim_team_limit() / 3;
    set->nteams = SIM_TEAMS;
    for (uint32_t t = 0; t < set->nteams; t++) {
        snprintf(set->teams[t].name, AMB_NAME, "team-%u", t);
        set->teams[t].guarantee.gpus = guarantee;
        set->teams[t].limit.gpus = sim_team_limit();
    }
}

static void set_limits(struct amb_settings *set) {
    set->report_s = (double)world.size->report / 1000;
    set->lease_s = (double)world.size->lease / 1000;
    set->cancel_s = (double)world.size->cancel / 1000;
    set->gang_wait_s = SIM_GANG_WAIT_MS / 1000.0;
    set->gang_peer_s = 5;
    set->state_rps = world.size->rps;
    set->state_write_rps = world.size->writes;
    set->value_kb = 8;
    set->txn_ops = SIM_TXN_OPS;
    set->cloud_rps = world.size->cloud;
    set->list_lag_s = SIM_LIST_LAG_MS / 1000.0;
    set->cores = 0.1;
    set->memory_mb = world.memory_mb;
    set->fd_limit = 500;
}

void sim_node_start(void *arg) {
    struct sim_node *node = arg;
    int index = (int)(node - world.nodes);
    char error[128];
    node->node = amb_alloc(sizeof *node->node);
    amb_options_default(&node->node->opt);
    set_names(&node->node->set, index);
    set_teams(&node->node->set);
    set_limits(&node->node->set);
    node->alive = true;
    node->incarnation++;
    int keep = world.current;
    world.current = index;
    if (amb_node_start(node->node, error, sizeof error) < 0) abort();
    world.current = keep;
}

void sim_node_kill(int index, amb_ms back) {
    struct sim_node *node = &world.nodes[index];
    if (!node->alive) return;
    node->alive = false;
    node->front = node->side = NULL;
    sim_stop_timers(index);
    amb_timer_in(&node->restart, back, sim_node_start, node);
}

int sim_leader(void) {
    for (int i = 0; i < world.size->nodes; i++)
        if (world.nodes[i].alive && amb_leads(world.nodes[i].node)) return i;
    return 0;
}

bool sim_leader_began(void) {
    bool began = false;
    for (int i = 0; i < world.size->nodes; i++) {
        struct sim_node *node = &world.nodes[i];
        bool leads = node->alive && amb_leads(node->node);
        began |= leads && !node->led;
        node->led = leads;
    }
    return began;
}
