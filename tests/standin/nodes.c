/* Controller nodes: real ones, started with settings for the stand-in, of the present version or of the
 * production version where a day says so. */
#include "world.h"

#include "node_side.h"

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
        .zone_count = sim_zones(),
        .zone_names = zone_names,
        .keep_idle = world.load & SIM_LOAD_ZONAL,
        .zone_recovery = world.load & SIM_LOAD_ZONE_RECOVERY,
        .recovery_order = world.load & SIM_LOAD_REVERSED_RECOVERY_ORDER ? "drafts, assistant" : NULL,
        .teams = SIM_TEAMS,
        .guest = world.load & SIM_LOAD_NO_GUARANTEE,
        .team_limit = sim_team_limit(),
        .report_s = (double)size->heartbeat_ms / 1000,
        .lease_s = (double)size->agent_lease_ms / 1000,
        .cancel_s = (double)size->cancel_ms / 1000,
        .gang_wait_s = SIM_GANG_WAIT_MS / 1000.0,
        .list_lag_s = (double)sim_cloud_timing.list_lag / 1000,
        .state_rps = size->store_rps,
        .cloud_rps = size->cloud_rps,
        .write_rps = size->store_write_rps,
        .value_kb = SIM_VALUE_BYTES / 1024.0,
        .txn_ops = SIM_TXN_OPS,
        .memory_mb = world.memory_mb,
        .next_write_rps = size->store_write_rps * sim_next_writes_share,
        .next_value_kb = SIM_NEXT_VALUE_BYTES / 1024.0,
        .next_txn_ops = SIM_NEXT_TXN_OPS,
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
    node->side = node->old ? sim_production_side() : sim_present_side();
    node->alive = true;
    node->incarnation++;
    int keep = sim_switch_to(settings.index);
    node->node = node->side->start(&settings);
    sim_switch_to(keep);
}

void sim_node_kill(int index, amb_ms back) {
    struct sim_node *node = &world.nodes[index];
    if (!node->alive) return;
    node->alive = false;
    node->front.handler = node->back.handler = NULL;
    sim_stop_timers(index);
    amb_timer_set_after(&node->restart, back, sim_node_start, node);
}

/* ---- an upgrade while the service runs ---- */

struct upgrade {
    amb_ms every;
    int together;
};

static struct upgrade upgrade;

static void upgrade_next(void *arg) {
    int ended = 0;
    (void)arg;
    for (int i = 0; i < world.size->nodes && ended < upgrade.together; i++) {
        if (!world.nodes[i].old) continue;
        world.nodes[i].old = false;
        sim_node_kill(i, SIM_RESTART_MS);
        ended++;
    }
    if (ended) amb_timer_set_after(&world.upgrade_timer, upgrade.every, upgrade_next, NULL);
}

void sim_begin_upgrade(const struct sim_fault *fault) {
    upgrade = (struct upgrade){fault->lasts, fault->which < 1 ? 1 : fault->which};
    upgrade_next(NULL);
}

/* ---- duties switched on and off while the service runs ---- */

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
    world.upgraded = !sim_fault_planned(SIM_UPGRADE);
    if (!world.upgraded && !sim_is_production_available()) abort();
    for (int i = 0; i < world.size->nodes; i++) {
        world.nodes[i].old = !world.upgraded;
        world.nodes[i].duties = duties;
        sim_node_start(&world.nodes[i]);
    }
}

void sim_note_upgrade(void) {
    if (world.upgraded) return;
    for (int i = 0; i < world.size->nodes; i++)
        if (world.nodes[i].old || !world.nodes[i].alive) return;
    world.upgraded = true;
    world.result.upgraded_at = world.now;
}

static bool leads(const struct sim_node *node) {
    return node->alive && node->side->leads(node->node);
}

bool sim_node_leads(int node) {
    return world.nodes[node].node && leads(&world.nodes[node]);
}

int sim_leader(void) {
    for (int i = 0; i < world.size->nodes; i++)
        if (leads(&world.nodes[i])) return i;
    return 0;
}

const struct amb_node *sim_restored_leader_since(amb_ms before) {
    const struct sim_node *leader = &world.nodes[sim_leader()];
    if (!leads(leader) || leader->old) return NULL;
    const struct amb_node *node = leader->node;
    return node->controller.ready && world.now - node->controller.restored_at > before ? node : NULL;
}

bool sim_leader_began(void) {
    bool began = false;
    for (int i = 0; i < world.size->nodes; i++) {
        struct sim_node *node = &world.nodes[i];
        began |= leads(node) && !node->led;
        node->led = leads(node);
    }
    return began;
}

bool sim_is_production_available(void) {
    return sim_production_side() != NULL;
}
