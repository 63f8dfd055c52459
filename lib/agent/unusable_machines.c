#include "unusable_machines.h"

#include "amberpin/fleet/machine_probe.h"
#include "amberpin/node/node.h"

enum { RECENT_HEARTBEATS = 2 /* heartbeat periods for which a machine counts as reporting */ };

/* How long an unverified machine is waited for, in leases. */
static const double UNVERIFIED_LEASES = 3;
static const double UNVERIFIED_LEASES_WITH_TASKS = 1.5;
/* All these times are longer by this factor while it is the network that is at fault. */
static const double NETWORK_FAULT_FACTOR = 3;

static amb_ms later(amb_ms first, amb_ms second) {
    return first > second ? first : second;
}

/* After a network fault machines come back, and a new one takes longer to boot and to fetch its images than
 * most faults last. Not all are back at once, so the zone's recovery counts as part of the fault. */
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

/* Is there a reason for its silence, or for the missing token, that is not its own? A lease proxy answers it,
 * or its zone has just come back and what is known of the machine dates from before. */
static bool is_excused(const struct amb_node *node, const struct amb_machine *machine) {
    return amb_lease_proxy_is_active_in_zone(node, machine->zone_index) ||
           amb_zone_is_returning(node, machine->zone_index);
}

static void check_unresponsive(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    if (machine->state != AMB_MACHINE_SILENT || is_excused(node, machine)) return;
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
    /* Silence proves nothing while the machine may hold another leader's token. */
    if (!is_excused(node, machine) && unverified_span > amb_seconds_to_ms(timeout_s) &&
        amb_election_may_act(node))
        amb_cloud_release(node, machine, "it can't be reached");
}

/* Its heartbeats arrive, but the responses don't reach it: it would acknowledge the token in its next
 * heartbeat but one. Its lease expires, and its tasks stop; but each response might have renewed the lease,
 * so that nothing is ever proven. */
static bool ignores_replies(const struct amb_node *node, const struct amb_machine *machine, amb_ms now) {
    if (machine->state != AMB_MACHINE_UNPROVEN || !has_reported_lately(node, machine, now)) return false;
    amb_ms since = later(machine->state_since, node->controller.restored_at);
    return now - since > amb_seconds_to_ms(unverified_timeout_s(node, machine));
}

static void check_unacknowledged(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    if (!is_excused(node, machine) && ignores_replies(node, machine, now) && amb_election_may_act(node))
        amb_cloud_release(node, machine, "it reports, but does not take our token");
}

void amb_machine_check_usable(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    check_unresponsive(node, machine, now);
    check_unverified(node, machine, now);
    check_unacknowledged(node, machine, now);
}
