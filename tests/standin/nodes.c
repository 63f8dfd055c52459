/* Controller nodes: the real implementation with settings for the simulation, of the present version or,
 * where the scenario says so, of the production version. */
#include "world.h"

#include "node_version.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void fill_settings(struct sim_node_settings *settings, int index, int zones[SIM_NODES]) {
    static const char *zone_names[SIM_ZONES];
    const struct sim_size *size = world.size;
    for (int i = 0; i < SIM_ZONES; i++) zone_names[i] = sim_zone_name(i);
    for (int i = 0; i < size->nodes; i++) zones[i] = sim_zone_of_node(i);
    *settings = (struct sim_node_settings){
        .index = index,
        .nodes = size->nodes,
        .zones = zones,
        .zone_count = sim_zone_count(),
        .zone_names = zone_names,
        .keep_idle = world.load & SIM_LOAD_ZONAL,
        .zone_recovery = world.load & SIM_LOAD_ZONE_RECOVERY,
        .recovery_order = world.load & SIM_LOAD_REVERSED_RECOVERY_ORDER ? "drafts, assistant" : NULL,
        .teams = SIM_TEAMS,
        .no_guarantee_for_last_team = world.load & SIM_LOAD_NO_GUARANTEE,
        .team_limit = sim_team_limit(),
        .heartbeat_s = (double)size->heartbeat_ms / 1000,
        .agent_lease_s = (double)size->agent_lease_ms / 1000,
        .cancel_s = (double)size->cancel_ms / 1000,
        .gang_wait_s = SIM_GANG_WAIT_MS / 1000.0,
        .list_lag_s = (double)sim_cloud_timing.list_lag / 1000,
        .store_rps = size->store_rps,
        .cloud_rps = size->cloud_rps,
        .store_write_rps = size->store_write_rps,
        .value_kb = SIM_VALUE_BYTES / 1024.0,
        .txn_ops = SIM_TXN_OPS,
        .memory_mb = world.memory_mb,
        .announced_write_rps = size->store_write_rps * sim_lowered_write_share,
        .announced_value_kb = SIM_LOWERED_VALUE_BYTES / 1024.0,
        .announced_txn_ops = SIM_LOWERED_TXN_OPS,
    };
}

int sim_switch_to(int node) {
    int before = world.current;
    world.current = node;
    if (sim_on_node_switch) sim_on_node_switch(node);
    return before;
}

void sim_node_start(void *arg) {
    struct sim_node *node = arg;
    struct sim_node_settings settings;
    int zones[SIM_NODES];
    fill_settings(&settings, (int)(node - world.nodes), zones);
    settings.duties = node->duties;
    node->version = node->production ? sim_production_version() : sim_present_version();
    node->alive = true;
    node->incarnation++;
    int previous = sim_switch_to(settings.index);
    node->node = node->version->start(&settings);
    sim_switch_to(previous);
}

void sim_node_kill(int index, amb_ms delay) {
    struct sim_node *node = &world.nodes[index];
    if (!node->alive) return;
    node->alive = false;
    node->api_server.handler = node->peer_server.handler = NULL;
    sim_stop_timers(index);
    amb_timer_set_after(&node->restart, delay, sim_node_start, node);
}

/* ---- rolling upgrade ---- */

struct upgrade {
    amb_ms interval;
    int batch_size;
};

static struct upgrade upgrade;

static void upgrade_next(void *arg) {
    int restarted = 0;
    (void)arg;
    for (int i = 0; i < world.size->nodes && restarted < upgrade.batch_size; i++) {
        if (!world.nodes[i].production) continue;
        world.nodes[i].production = false;
        sim_node_kill(i, SIM_RESTART_MS);
        restarted++;
    }
    if (restarted) amb_timer_set_after(&world.upgrade_timer, upgrade.interval, upgrade_next, NULL);
}

void sim_begin_upgrade(const struct sim_fault *fault) {
    upgrade = (struct upgrade){fault->lasts, fault->which < 1 ? 1 : fault->which};
    upgrade_next(NULL);
}

/* ---- single-holder duties switched on and off by rolling restarts ---- */

enum { SWITCH_EVERY_MS = SIM_RESTART_MS * 3 / 2 };

static void switch_next(void *arg) {
    bool on = sim_fault_active(SIM_SWITCH_DUTIES, -1);
    (void)arg;
    for (int i = 0; i < world.size->nodes; i++) {
        if (world.nodes[i].duties == on) continue;
        world.nodes[i].duties = on;
        sim_node_kill(i, SIM_RESTART_MS);
        break;
    }
    amb_timer_set_after(&world.duties_timer, SWITCH_EVERY_MS, switch_next, NULL);
}

amb_ms sim_duties_switched(const struct sim_fault *fault) {
    amb_ms all_nodes = (amb_ms)SWITCH_EVERY_MS * world.size->nodes;
    return (fault->lasts < SIM_PERMANENT_MS ? fault->at + fault->lasts : fault->at) + all_nodes;
}

void sim_begin_duties(const struct sim_fault *fault) {
    (void)fault;
    if (!world.duties_timer.position) switch_next(NULL);
}

void sim_start_nodes(void) {
    bool duties = sim_fault_active(SIM_SWITCH_DUTIES, -1);
    world.upgraded = !sim_fault_scheduled(SIM_UPGRADE);
    if (!world.upgraded && !sim_is_production_available()) abort();
    for (int i = 0; i < world.size->nodes; i++) {
        world.nodes[i].production = !world.upgraded;
        world.nodes[i].duties = duties;
        sim_node_start(&world.nodes[i]);
    }
}

void sim_check_upgrade_complete(void) {
    if (world.upgraded) return;
    for (int i = 0; i < world.size->nodes; i++)
        if (world.nodes[i].production || !world.nodes[i].alive) return;
    world.upgraded = true;
    world.result.upgraded_at = world.now;
}

static bool leads(const struct sim_node *node) {
    return node->alive && node->version->leads(node->node);
}

bool sim_node_leads(int node) {
    return world.nodes[node].node && leads(&world.nodes[node]);
}

int sim_leader(void) {
    for (int i = 0; i < world.size->nodes; i++)
        if (leads(&world.nodes[i])) return i;
    return 0;
}

const struct amb_node *sim_restored_leader_since(amb_ms min_age) {
    const struct sim_node *leader = &world.nodes[sim_leader()];
    if (!leads(leader) || leader->production) return NULL;
    const struct amb_node *node = leader->node;
    return node->controller.ready && world.now - node->controller.restored_at > min_age ? node : NULL;
}

bool sim_new_leader_began(void) {
    bool began = false;
    for (int i = 0; i < world.size->nodes; i++) {
        struct sim_node *node = &world.nodes[i];
        began |= leads(node) && !node->was_leader;
        node->was_leader = leads(node);
    }
    return began;
}

bool sim_is_production_available(void) {
    return sim_production_version() != NULL;
}
