/* Reservations: resources of a machine that are kept for replicas lost with a zone, and that batch work does
 * not use (zone_recovery.h). */
#include "cycle_internal.h"

#include <math.h>

void amb_cycle_reserve_on_slot(struct amb_slot *slot, const struct amb_job_spec *spec) {
    if (slot->machine) amb_resources_add(&slot->machine->reserved, &spec->task_resources, 1);
}

void amb_cycle_consume_reservation(struct amb_slot *slot, const struct amb_job_spec *spec) {
    struct amb_resources *reserved = &slot->reserved;
    amb_resources_add(reserved, &spec->task_resources, -1);
    reserved->cpus = fmax(reserved->cpus, 0);
    reserved->gpus = fmax(reserved->gpus, 0);
    reserved->memory_gb = fmax(reserved->memory_gb, 0);
    slot->machine->reserved = *reserved;
}
