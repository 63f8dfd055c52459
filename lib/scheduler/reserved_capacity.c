/* Reserved capacity: free or preemptible capacity that is kept for the demand expected of a class of urgent
 * jobs during the time that a machine takes to boot. */
#include "plan_internal.h"

#include <math.h>

struct allowed_types {
    uint32_t mask;         /* a bit for each allowed machine type of the catalogue */
    double longest_boot_s; /* over the allowed types */
};

static struct allowed_types find_allowed_types(const struct amb_node *node, const struct amb_job_spec *spec) {
    struct allowed_types allowed = {0, 0};
    for (uint32_t i = 0; i < node->catalog.type_count; i++) {
        const struct amb_machine_type *type = &node->catalog.types[i];
        if (!amb_job_spec_allows_type(spec, type->name)) continue;
        if (amb_plan_max_tasks_that_fit(&spec->task_resources, &type->resources) < 1) continue;
        allowed.mask |= 1u << i;
        allowed.longest_boot_s = fmax(allowed.longest_boot_s, type->boot_s);
    }
    return allowed;
}

/* The priority of requests for reserved machines: after requests for waiting urgent work, before those for
 * batch work. */
static enum amb_priority request_priority(const struct amb_job_spec *spec) {
    return spec->priority < AMB_PRIORITY_NORMAL ? spec->priority : AMB_PRIORITY_NORMAL;
}

static void reserve_for_class(struct amb_capacity_plan *plan, const struct amb_demand *demand) {
    static const uint32_t no_tasks[AMB_ZONES_MAX] = {0};
    struct amb_cycle *cycle = plan->cycle;
    struct amb_node *node = cycle->node;
    const struct amb_job_spec *spec = &demand->last_spec;
    const struct allowed_types allowed = find_allowed_types(node, spec);
    uint32_t expected_tasks =
        (uint32_t)ceil(amb_demand_expected_tasks(node, demand, allowed.longest_boot_s, cycle->now));
    const struct amb_preemptor preemptor =
        amb_cycle_make_preemptor(spec, amb_settings_find_team(&node->settings, spec->team));
    const struct amb_placement_request request = {.need = spec->task_resources,
                                                  .type_mask = allowed.mask,
                                                  .zone = -1,
                                                  .spot_allowed = spec->spot_allowed,
                                                  .tasks_by_zone = no_tasks,
                                                  .priority = request_priority(spec)};
    for (uint32_t i = 0; i < expected_tasks && i < plan->max_tasks_per_job; i++) {
        const char *image = demand->images[i % demand->image_count]; /* an equal share for each image */
        amb_cycle_annotate_for_image(cycle, spec, image);
        struct amb_slot *slot = amb_cycle_find_reservable_slot(cycle, &request, &preemptor);
        if (!slot) slot = amb_plan_scale_out(plan, &request, expected_tasks - i, AMB_SCALE_OUT_PACKED);
        if (!slot) break;
        amb_plan_take_slot(plan, slot, &request.need);
        if (slot->machine) slot->machine->reserved_priority = (int)spec->priority;
    }
}

void amb_plan_reserved_capacity(struct amb_capacity_plan *plan) {
    const struct amb_controller *controller = &plan->cycle->node->controller;
    for (uint32_t i = 0; i < controller->demand_count; i++)
        if (controller->demands[i].jobs_per_s > 0) reserve_for_class(plan, &controller->demands[i]);
}
