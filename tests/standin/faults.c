/* Faults: which are active, which links they block, and what happens when they begin. */
#include "world.h"

#include <string.h>

enum {
    DEFAULT_PERCENT = 25,
    SETTLING_MS = 25000, /* until late copies have arrived and nodes have restarted */
};

static bool is_active(const struct sim_fault *fault) {
    return world.now >= fault->at && world.now < fault->at + fault->lasts;
}

bool sim_fault_active(enum sim_fault_kind kind, int which) {
    for (size_t i = 0; i < world.fault_count; i++) {
        const struct sim_fault *fault = &world.faults[i];
        if (fault->kind != kind || !is_active(fault)) continue;
        if (which < 0 || fault->which == which) return true;
    }
    return false;
}

bool sim_fault_hits(enum sim_fault_kind kind) {
    for (size_t i = 0; i < world.fault_count; i++) {
        const struct sim_fault *fault = &world.faults[i];
        if (fault->kind != kind || !is_active(fault)) continue;
        int percent = fault->which < 0 ? DEFAULT_PERCENT : fault->which;
        if ((int)(sim_random() % 100) < percent) return true;
    }
    return false;
}

bool sim_fault_scheduled(enum sim_fault_kind kind) {
    for (size_t i = 0; i < world.fault_count; i++)
        if (world.faults[i].kind == kind) return true;
    return false;
}

amb_ms sim_node_resumes_at(int node) {
    for (size_t i = 0; node >= 0 && i < world.fault_count; i++) {
        const struct sim_fault *fault = &world.faults[i];
        if (fault->kind == SIM_PAUSE_NODE && fault->which == node && is_active(fault))
            return fault->at + fault->lasts;
    }
    return 0;
}

bool sim_node_cut(enum sim_fault_kind kind, int node) {
    if (sim_fault_active(SIM_CUT_ALL, node)) return true;
    if (sim_fault_active(SIM_CUT_ALL_BUT_AGENTS, node) && kind != SIM_CUT_AGENTS) return true;
    return sim_fault_active(kind, node);
}

int sim_zone_count(void) {
    return world.load & SIM_LOAD_ZONAL ? SIM_ZONES : 2;
}

static const char *const zone_names[SIM_ZONES] = {"a", "b", "c"};

const char *sim_zone_name(int zone) {
    return zone_names[zone];
}

int sim_zone_of_name(const char *name) {
    for (int zone = 0; zone < SIM_ZONES; zone++)
        if (!strcmp(name, zone_names[zone])) return zone;
    return 0;
}

int sim_zone_of_node(int node) {
    return world.load & SIM_LOAD_ZONAL ? node % SIM_ZONES : node == 1;
}

static bool is_zone_cut(int zone) {
    return sim_fault_active(SIM_CUT_ZONE, zone);
}

static bool are_zones_partitioned(int zone, int other) {
    if (zone == other) return false;
    return sim_fault_active(SIM_ZONE_PARTITION, -1) || is_zone_cut(zone) || is_zone_cut(other);
}

/* State service, cloud and users belong to no zone. */
static bool is_node_zone_cut(int node) {
    return is_zone_cut(sim_zone_of_node(node));
}

static bool is_peer_link_open(int from, int to) {
    if (are_zones_partitioned(sim_zone_of_node(from), sim_zone_of_node(to))) return false;
    return !sim_node_cut(SIM_CUT_PEERS, to) && !sim_node_cut(SIM_CUT_PEERS, from);
}

static bool is_heartbeat_link_open(int machine, int node) {
    if (are_zones_partitioned(sim_zone_of_node(node), world.machines[machine].zone)) return false;
    return !sim_node_cut(SIM_CUT_AGENTS, node);
}

static bool is_command_link_open(int node, int machine) {
    return is_heartbeat_link_open(machine, node) && !sim_fault_active(SIM_LOSE_HEARTBEAT_REPLIES, machine);
}

bool sim_link_is_open(const struct sim_call *call) {
    switch (call->destination) {
    case SIM_TO_STORE: return !sim_node_cut(SIM_CUT_STORE, call->from) && !is_node_zone_cut(call->from);
    case SIM_TO_CLOUD: return !sim_fault_active(SIM_CUT_ALL, call->from) && !is_node_zone_cut(call->from);
    case SIM_TO_PEER: return is_peer_link_open(call->from, call->node);
    case SIM_TO_API:
        if (call->from_machine < 0)
            return !sim_fault_active(SIM_CUT_ALL, call->node) && !is_node_zone_cut(call->node);
        return is_heartbeat_link_open(call->from_machine, call->node) &&
               !sim_fault_active(SIM_LOSE_HEARTBEATS, call->from_machine);
    case SIM_TO_AGENT: return is_command_link_open(call->from, call->machine);
    }
    return true;
}

static bool targets_machine(enum sim_fault_kind kind) {
    return kind == SIM_MACHINE_HANG || kind == SIM_MACHINE_CRASH || kind == SIM_LOSE_HEARTBEAT_REPLIES ||
           kind == SIM_DUPLICATE_HEARTBEATS || kind == SIM_FAULTY_MACHINE || kind == SIM_LOSE_HEARTBEATS;
}

static bool targets_node(enum sim_fault_kind kind) {
    return kind <= SIM_CUT_ALL_BUT_AGENTS || kind == SIM_PAUSE_NODE || kind == SIM_SLOW_CHANGES ||
           kind == SIM_REFUSE_PEERS;
}

static int busiest_machine(void) {
    int best = 0;
    for (int i = 0; i < world.machine_count; i++) {
        const struct sim_machine *machine = &world.machines[i];
        if (machine->exists && machine->up && !machine->dead &&
            machine->task_count >= world.machines[best].task_count)
            best = i;
    }
    return best;
}

static void crash_machine(struct sim_machine *machine) {
    machine->dead = true;
    machine->died_at = world.now;
    machine->task_count = 0;
}

static void crash_zone(int zone) {
    for (int i = 0; i < world.machine_count; i++) {
        struct sim_machine *machine = &world.machines[i];
        if (machine->exists && !machine->dead && machine->zone == zone) crash_machine(machine);
    }
}

static void crash_half_zone(int zone) {
    int found = 0;
    for (int i = 0; i < world.machine_count; i++) {
        struct sim_machine *machine = &world.machines[i];
        if (!machine->exists || machine->dead || machine->zone != zone) continue;
        if (found++ % 2) crash_machine(machine);
    }
}

static bool targets_zone(enum sim_fault_kind kind) {
    return kind == SIM_LOSE_ZONE || kind == SIM_CUT_ZONE || kind == SIM_LOSE_HALF_ZONE;
}

static void begin_fault(struct sim_fault *fault) {
    if (fault->which < 0 && targets_zone(fault->kind)) fault->which = sim_zone_count() - 1;
    if (fault->which < 0 && targets_machine(fault->kind)) fault->which = busiest_machine();
    if (fault->which < 0 && targets_node(fault->kind)) fault->which = sim_leader();
    switch (fault->kind) {
    case SIM_KILL: sim_node_kill(fault->which, SIM_RESTART_MS); break;
    case SIM_RESTART: sim_node_kill(fault->which, sim_random_between(50, 400)); break;
    case SIM_MACHINE_HANG: world.machines[fault->which].hang_until = world.now + fault->lasts; break;
    case SIM_MACHINE_CRASH: crash_machine(&world.machines[fault->which]); break;
    case SIM_LOSE_ZONE:
        sim_record_zone_loss(fault->which);
        crash_zone(fault->which);
        break;
    case SIM_CUT_ZONE: sim_record_zone_loss(fault->which); break;
    case SIM_LOSE_HALF_ZONE: crash_half_zone(fault->which); break;
    case SIM_CANCEL_BURST: sim_cancel_burst(fault->which, fault->lasts); break;
    case SIM_UPGRADE: sim_begin_upgrade(fault); break;
    case SIM_SWITCH_DUTIES: sim_begin_duties(fault); break;
    case SIM_INVALID_REQUESTS: sim_start_invalid_requests(); break;
    default: break; /* queried while it is active */
    }
}

/* When the last delayed message has arrived and everything that a fault stopped has restarted. */
amb_ms sim_fault_effects_end(void) {
    amb_ms latest_end = 0;
    for (size_t i = 0; i < world.fault_count; i++) {
        amb_ms end = world.faults[i].at + world.faults[i].lasts + SETTLING_MS;
        if (world.faults[i].kind == SIM_LATE_HEARTBEAT_COPIES) end += world.size->agent_lease_ms * 3 / 2;
        if (world.faults[i].kind == SIM_UPGRADE) end += world.faults[i].lasts * world.size->nodes;
        if (world.faults[i].kind == SIM_SWITCH_DUTIES)
            end = sim_duties_switched(&world.faults[i]) + SETTLING_MS;
        if (end > latest_end) latest_end = end;
    }
    return latest_end;
}

void sim_begin_faults(void) {
    for (size_t i = 0; i < world.fault_count; i++) {
        if (world.fault_begun[i] || world.now < world.faults[i].at) continue;
        world.fault_begun[i] = true;
        begin_fault(&world.faults[i]);
    }
}
