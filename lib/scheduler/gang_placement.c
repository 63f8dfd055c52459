/* Gang scheduling: all tasks of a gang are placed together or none is. */
#include "cycle_internal.h"

#include <stdlib.h>

/* Takes slots for as many tasks as possible and returns their number. With a preemptor, resources of work
 * that it may preempt count as available. */
static uint32_t take_slots(struct amb_cycle *cycle, struct amb_job *job,
                           struct amb_placement_request *request, int *slot_indices, bool include_releasing,
                           const struct amb_preemptor *preemptor) {
    uint32_t taken = 0;
    for (; taken < job->spec->task_count; taken++) {
        int slot_index = preemptor ? amb_cycle_find_least_lost_work(cycle, request, preemptor, false)
                                   : amb_cycle_find_best_slot(cycle, request, include_releasing);
        if (slot_index < 0) break;
        struct amb_slot *slot = &cycle->slots[slot_index];
        slot_indices[taken] = slot_index;
        amb_cycle_take_resources(cycle, slot, &job->spec->task_resources);
        job->zone_task_counts[slot->zone]++;
    }
    return taken;
}

void amb_cycle_unplace_gang(struct amb_cycle *cycle, struct amb_job *job, const int *slot_indices,
                            uint32_t count) {
    for (uint32_t i = 0; i < count; i++) {
        struct amb_slot *slot = &cycle->slots[slot_indices[i]];
        amb_resources_add(&slot->available, &job->spec->task_resources, 1);
        amb_cycle_mark_slot_changed(cycle, slot);
        job->zone_task_counts[slot->zone]--;
    }
}

/* Tries each zone in turn if all tasks must be in one zone and the zone does not matter. */
static bool place_gang_tasks(struct amb_cycle *cycle, struct amb_job *job, int *slot_indices,
                             bool include_releasing, const struct amb_preemptor *preemptor) {
    struct amb_placement_request request;
    amb_cycle_init_request(cycle, job, &request);
    bool any_single_zone = job->spec->one_zone && request.zone < 0;
    uint32_t attempts = any_single_zone ? cycle->node->catalog.zone_count : 1;
    for (uint32_t zone = 0; zone < attempts; zone++) {
        if (any_single_zone) request.zone = (int)zone;
        uint32_t taken = take_slots(cycle, job, &request, slot_indices, include_releasing, preemptor);
        if (taken == job->spec->task_count) return true;
        amb_cycle_unplace_gang(cycle, job, slot_indices, taken);
    }
    return false;
}

bool amb_cycle_place_gang(struct amb_cycle *cycle, struct amb_job *job, int *slot_indices,
                          bool include_releasing) {
    return place_gang_tasks(cycle, job, slot_indices, include_releasing, NULL);
}

bool amb_cycle_preempt_for_gang(struct amb_cycle *cycle, struct amb_job *job) {
    const struct amb_preemptor preemptor = amb_cycle_make_job_preemptor(job);
    if (!amb_cycle_may_preempt(cycle, &preemptor)) return false;
    int *slot_indices = amb_alloc(job->spec->task_count * sizeof *slot_indices);
    bool is_placed = place_gang_tasks(cycle, job, slot_indices, true, &preemptor);
    for (uint32_t i = 0; is_placed && i < job->spec->task_count; i++) {
        struct amb_slot *slot = &cycle->slots[slot_indices[i]];
        job->zone_task_counts[slot->zone]--;
        amb_cycle_preempt_on_slot(cycle, slot, &preemptor, job->spec, AMB_PREEMPT_IN_LIST_ORDER);
        slot->planned_tasks++;
        slot->machine->reserved_priority = (int)preemptor.priority;
        slot->machine->claimed_by_gang = true;
    }
    free(slot_indices);
    return is_placed;
}
