/* The leader's care of its machines as time goes: the silent, the unproven, those that don't hear us, and the
 * tasks that are proven off them. */
#ifndef AMBERPIN_FLEET_H
#define AMBERPIN_FLEET_H

#include "amberpin/fleet/machines.h"
#include "amberpin/model/absence_proof.h"
#include "amberpin/zone_recovery/zone_silence.h"

struct amb_removed_machine;

struct amb_fleet {
    struct amb_machine *machines; /* by name (machines.h) */
    struct amb_removed_machine
        *removed_machines;         /* names that are never used again, the latest (machines.c) */
    bool forgot_removed;           /* there were more than are kept */
    uint32_t next_number;          /* machines that were ever added */
    uint64_t heartbeats_processed; /* tells the tasks that a report lists from the rest (heartbeats.c) */
    enum amb_zone_reachability zone_reachability[AMB_ZONES_MAX]; /* (zone_silence.h) */
    amb_ms zone_last_unreachable_at[AMB_ZONES_MAX]; /* when the zone was last not reached; 0: never */
    amb_ms last_heartbeat_at; /* when a worker last reported to this node, whatever it was told */
};

void amb_fleet_tick(struct amb_node *node, amb_ms now);
/* Proven: the machine and all on it are no more. */
void amb_machine_confirm_gone(struct amb_node *node, struct amb_machine *machine, enum amb_absence proof);
/* Have nearly all machines shown our token, so that there is little left to learn? */
bool amb_fleet_is_acknowledged(const struct amb_node *node);
/* The lead is over: nothing is known of any machine. */
void amb_fleet_clear(struct amb_node *node);

#endif
