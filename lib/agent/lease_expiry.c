#include "lease_expiry.h"

#include "amberpin/agent/machine_loss.h"
#include "amberpin/fleet/machines.h"
#include "amberpin/node/node.h"

/* The next check evaluates what the read has changed. */
static void ignore_result(void *context, bool ok) {
    (void)context, (void)ok;
}

/* Returns when a lease proxy that may respond to this machine was last known: one of its zone, or of any zone
 * while the machine's zone is unknown. */
static amb_ms lease_proxy_known_at(const struct amb_node *node, const struct amb_machine *machine) {
    if (machine->zone_index >= 0) return node->lease_proxy.zone_covered_at[machine->zone_index];
    amb_ms latest = 0;
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++)
        if (node->lease_proxy.zone_covered_at[zone] > latest)
            latest = node->lease_proxy.zone_covered_at[zone];
    return latest;
}

/* Evaluates the proof of absence by the lease. Requests a read of the key-value store if only that is
 * missing. */
static enum amb_absence absence_by_lease(struct amb_node *node, const struct amb_machine *machine,
                                         amb_ms now) {
    const struct amb_lease_evidence evidence = {
        .now = now,
        .lease_span = amb_absence_lease_span(node->settings.agent_lease_s, node->settings.heartbeat_s),
        .last_response_at = machine->last_response_at,
        .follows_own_term = machine->token_acknowledged,
        .fenced_at = machine->token_acknowledged ? 0 : amb_election_peers_fenced_at(node),
        .lease_proxy_known_at = lease_proxy_known_at(node, machine),
        .last_read_sent_at = node->watch.last_read_sent_at,
    };
    enum amb_absence absence = amb_absence_by_lease(&evidence);
    if (absence == AMB_ABSENCE_READ_NEEDED && !amb_watch_is_reading_fresh(node))
        amb_watch_read_fresh(node, ignore_result, NULL);
    return absence;
}

/* Returns whether the lease of a machine in this state can have expired. Unverified machines are included: a
 * leader that is elected seconds before a zone is cut off never sees its token acknowledged there, and would
 * otherwise start the zone's tasks elsewhere only after the machines have been released. */
static bool may_have_expired(const struct amb_machine *machine) {
    switch (machine->state) {
    case AMB_MACHINE_UP:
    case AMB_MACHINE_UNPROVEN: return true;
    case AMB_MACHINE_SILENT: return machine->tasks != NULL;
    case AMB_MACHINE_BOOTING:
    case AMB_MACHINE_RELEASING: return false;
    }
    return false;
}

void amb_machine_check_lease(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    if (!may_have_expired(machine)) return;
    enum amb_absence proof = absence_by_lease(node, machine, now);
    if (!amb_absence_is_proven(proof)) return;
    amb_machine_set_state(machine, AMB_MACHINE_SILENT, amb_absence_name(proof));
    amb_machine_unbind_lost_tasks(node, machine, proof);
}
