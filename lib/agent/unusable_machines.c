#include "unusable_machines.h"

#include "amberpin/fleet/machine_probe.h"
#include "amberpin/node/node.h"

enum { RECENT_HEARTBEATS = 2 /* heartbeat periods for which a machine counts as reporting */ };

/* How long an unverified machine may take to acknowledge the token before it is released, in leases. */
static const double UNVERIFIED_LEASES = 3;
static const double UNVERIFIED_LEASES_WITH_TASKS = 1.5;
/* Multiplies all these timeouts while the network is at fault. */
static const double NETWORK_FAULT_FACTOR = 3;

static amb_ms later(amb_ms first, amb_ms second) {
    return first > second ? first : second;
}

/* Machines are released later while the network is at fault, because they come back after the fault, and a
 * replacement takes longer to boot and to fetch its images than most faults last. The machines do not all
 * come back at once, so the recovery of the zone counts as part of the fault. */
static double release_delay_factor(const struct amb_node *node, const struct amb_machine *machine,
                                   amb_ms now) {
    bool is_reachable = amb_zone_get_reachability(node, machine->zone_index) == AMB_ZONE_REACHABLE;
    bool network_fault = !is_reachable || amb_zone_is_recovering(node, machine->zone_index, now);
    return network_fault ? NETWORK_FAULT_FACTOR : 1;
}

static double unverified_timeout_s(const struct amb_node *node, const struct amb_machine *machine) {
    double leases = machine->task_count ? UNVERIFIED_LEASES_WITH_TASKS : UNVERIFIED_LEASES;
    return node->settings.agent_lease_s * leases;
}

static bool has_reported_lately(const struct amb_node *node, const struct amb_machine *machine, amb_ms now) {
    return now - machine->last_heartbeat_at <=
           amb_seconds_to_ms(node->settings.heartbeat_s * RECENT_HEARTBEATS);
}

/* Returns whether the machine's silence, or its failure to acknowledge the token, has a cause other than the
 * machine: a lease proxy responds to it, or its zone has just become reachable again and what is known of the
 * machine is older than that. */
static bool is_exempt_from_release(const struct amb_node *node, const struct amb_machine *machine) {
    return amb_lease_proxy_is_active_in_zone(node, machine->zone_index) ||
           amb_zone_is_returning(node, machine->zone_index);
}

static void check_unresponsive(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    if (machine->state != AMB_MACHINE_SILENT || is_exempt_from_release(node, machine)) return;
    amb_ms since = machine->token_acknowledged ? machine->last_response_at : node->controller.leader_since;
    if (now - since > amb_seconds_to_ms(node->settings.agent_lease_s * node->options.silent_release_share *
                                        release_delay_factor(node, machine, now)))
        amb_cloud_release(node, machine, "silent for too long");
}

static void check_unverified(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    amb_ms recent_span = amb_seconds_to_ms(node->settings.heartbeat_s * RECENT_HEARTBEATS);
    if (machine->state != AMB_MACHINE_UNPROVEN || has_reported_lately(node, machine, now) ||
        now - node->controller.leader_since <= recent_span)
        return;
    amb_machine_probe(node, machine, now);
    amb_ms unverified_span = now - later(machine->exists_since, node->controller.leader_since);
    double timeout_s = unverified_timeout_s(node, machine) * release_delay_factor(node, machine, now);
    /* Silence proves nothing while the machine may follow another leader's token. */
    if (!is_exempt_from_release(node, machine) && unverified_span > amb_seconds_to_ms(timeout_s) &&
        amb_election_may_act(node))
        amb_cloud_release(node, machine, "it can't be reached");
}

/* Returns whether the machine's heartbeats arrive but our responses do not reach it: otherwise it would
 * acknowledge the token in its next heartbeat but one. Its lease expires and its tasks stop, but any of the
 * responses might have renewed the lease, so absence is never proven. */
static bool ignores_responses(const struct amb_node *node, const struct amb_machine *machine, amb_ms now) {
    if (machine->state != AMB_MACHINE_UNPROVEN || !has_reported_lately(node, machine, now)) return false;
    amb_ms since = later(machine->state_since, node->controller.restored_at);
    return now - since > amb_seconds_to_ms(unverified_timeout_s(node, machine));
}

static void check_unacknowledged(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    if (!is_exempt_from_release(node, machine) && ignores_responses(node, machine, now) &&
        amb_election_may_act(node))
        amb_cloud_release(node, machine, "it reports, but does not take our token");
}

void amb_machine_check_usable(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    check_unresponsive(node, machine, now);
    check_unverified(node, machine, now);
    check_unacknowledged(node, machine, now);
}
