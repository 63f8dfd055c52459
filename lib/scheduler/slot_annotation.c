/* Annotations of slots: whether a slot holds the requested image, and the risk that fetching it delays the
 * start. They are computed when a slot is accessed, so that a cycle only pays for the slots that it accesses.
 */
#include "cycle_internal.h"

#include "amberpin/scheduler/start_deadline.h"

#include <math.h>
#include <string.h>

/* How long the start command and the heartbeat that confirms the start take: this many heartbeat periods on
 * average, limited to this share of the time in which the task is to start. Without the limit no start might
 * ever count as in time. */
static const double OVERHEAD_HEARTBEAT_PERIODS = 1.2;
static const double OVERHEAD_SHARE_MAX = 0.2;

static bool is_image_being_fetched(const struct amb_machine *machine, const char *image) {
    for (const struct amb_task *task = machine->tasks; task; task = task->next_on_machine)
        if (!strcmp(task->job->spec->image, image)) return amb_image_fetch_is_counted(task);
    return false;
}

/* within_s is the time in which a task is to start, and slack_s the part of it that commands and heartbeats
 * take. For jobs without a start objective, within_s is the runtime of the task and slack_s is negative. */
struct start_target {
    double within_s, slack_s;
};

static struct start_target make_start_target(const struct amb_cycle *cycle, const struct amb_job_spec *spec) {
    const struct amb_settings *settings = &cycle->node->settings;
    const struct amb_objective *objective = amb_start_find_objective(cycle->node, spec);
    if (objective) {
        double within_s = objective->within_s;
        double slack_s =
            fmin(settings->heartbeat_s * OVERHEAD_HEARTBEAT_PERIODS, within_s * OVERHEAD_SHARE_MAX);
        return (struct start_target){within_s, slack_s};
    }
    bool has_estimate = spec->estimated_runtime_s > 0;
    return (struct start_target){has_estimate ? spec->estimated_runtime_s : settings->agent_lease_s, -1};
}

/* How much has to be fetched on the slot before a task with the image can start, in GB. */
static double pending_fetch_gb(const struct amb_slot *slot, const struct amb_slot_annotation *annotation) {
    if (!slot->has_image) return slot->fetching_gb + annotation->image_gb;
    bool is_fetching = slot->fetching_gb > 0 && is_image_being_fetched(slot->machine, annotation->image);
    return is_fetching ? slot->fetching_gb : 0;
}

static void annotate_slot(const struct amb_cycle *cycle, struct amb_slot *slot) {
    const struct amb_slot_annotation *annotation = &cycle->annotation;
    slot->annotation_serial = cycle->annotation_serial;
    slot->start_risk = 0;
    if (annotation->ignores_image) return;
    slot->has_image = slot->machine && amb_machine_has_image(slot->machine, annotation->image);
    double fetch_gb_per_s = cycle->node->catalog.types[slot->type].image_fetch_gb_per_s;
    if (fetch_gb_per_s <= 0) return;
    double fetch_s = pending_fetch_gb(slot, annotation) / fetch_gb_per_s;
    slot->start_risk = amb_placement_start_risk(fetch_s, annotation->within_s, annotation->slack_s);
}

void amb_cycle_annotate_for_image(struct amb_cycle *cycle, const struct amb_job_spec *spec,
                                  const char *image) {
    struct start_target target = make_start_target(cycle, spec);
    cycle->annotation = (struct amb_slot_annotation){
        .image = image, .image_gb = spec->image_gb, .within_s = target.within_s, .slack_s = target.slack_s};
    cycle->annotation_serial++;
}

void amb_cycle_annotate_ignoring_image(struct amb_cycle *cycle) {
    cycle->annotation = (struct amb_slot_annotation){.ignores_image = true};
    cycle->annotation_serial++;
}

struct amb_slot *amb_cycle_get_slot(struct amb_cycle *cycle, uint32_t slot_index) {
    struct amb_slot *slot = &cycle->slots[slot_index];
    if (slot->annotation_serial != cycle->annotation_serial) annotate_slot(cycle, slot);
    return slot;
}

void amb_cycle_mark_slot_changed(struct amb_cycle *cycle, const struct amb_slot *slot) {
    amb_slot_rankings_mark_changed(&cycle->rankings, (uint32_t)(slot - cycle->slots));
}

void amb_cycle_take_resources(struct amb_cycle *cycle, struct amb_slot *slot,
                              const struct amb_resources *resources) {
    amb_resources_add(&slot->available, resources, -1);
    amb_cycle_mark_slot_changed(cycle, slot);
}

static void annotate_for_ranking(void *context, uint32_t slot_index) {
    amb_cycle_get_slot(context, slot_index);
}

struct amb_slot_list amb_cycle_list_slots(struct amb_cycle *cycle) {
    return (struct amb_slot_list){.slots = cycle->slots,
                                  .count = cycle->slot_count,
                                  .annotate = annotate_for_ranking,
                                  .context = cycle};
}

int amb_cycle_find_best_slot(struct amb_cycle *cycle, const struct amb_placement_request *request,
                             bool include_releasing) {
    const struct amb_slot_list list = amb_cycle_list_slots(cycle);
    return amb_slot_rankings_find_best(&cycle->rankings, &list, &cycle->annotation, request,
                                       include_releasing);
}
