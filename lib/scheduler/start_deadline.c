/* How soon work has to start, from the objectives of its class, its deadline and what its team is guaranteed.
 */
#include "amberpin/scheduler/start_deadline.h"

#include "amberpin/placement/bin_packing.h"

#include <math.h>
#include <string.h>

/* What work that nobody set a time for waits for free room before machines are rented for it, in boot times
 * of the slowest machine it may run on. */
static const double OPPORTUNISTIC_WAIT_BOOTS = 8;

/* The longest that a start takes on a machine still to be rented. */
static double scale_out_start_s(const struct amb_node *node, const struct amb_job_spec *spec) {
    double longest_s = 0;
    for (uint32_t i = 0; i < node->catalog.type_count; i++) {
        const struct amb_machine_type *type = &node->catalog.types[i];
        if (amb_job_spec_allows_type(spec, type->name))
            longest_s = fmax(longest_s, type->boot_s + (type->image_fetch_gb_per_s > 0
                                                            ? spec->image_gb / type->image_fetch_gb_per_s
                                                            : 0));
    }
    return longest_s;
}

/* The soonest that its class is to start. Batch work that may start later than a rented machine could take it
 * is in no hurry. (When any aim for starts made it so, sweeps to be started within 120 s took the room that
 * had been made for a gang, were stopped for it and took it again, up to ten times each.) */
const struct amb_objective *amb_start_find_objective(const struct amb_node *node,
                                                     const struct amb_job_spec *spec) {
    const struct amb_objective *best = NULL;
    for (uint32_t i = 0; i < node->settings.objective_count; i++) {
        const struct amb_objective *objective = &node->settings.objectives[i];
        if (strcmp(objective->kind, "wait") || strcmp(objective->class_name, spec->class_name)) continue;
        if (!best || objective->within_s < best->within_s) best = objective;
    }
    return best && spec->kind == AMB_JOB_KIND_ARRAY && best->within_s > scale_out_start_s(node, spec) ? NULL
                                                                                                      : best;
}

bool amb_job_is_opportunistic(const struct amb_job *job) {
    return job->spec->kind == AMB_JOB_KIND_ARRAY && job->spec->priority < AMB_PRIORITY_HIGH &&
           job->team->opportunistic;
}

/* When the job is to be done, by its deadline or else by its class's objective. */
static int64_t find_due_wall(const struct amb_node *node, const struct amb_job *job) {
    const struct amb_job_spec *spec = job->spec;
    int64_t due_wall = amb_job_due_wall_ms(job);
    for (uint32_t i = 0; i < node->settings.objective_count && spec->deadline_s <= 0; i++) {
        const struct amb_objective *objective = &node->settings.objectives[i];
        if (strcmp(objective->kind, "finished") || strcmp(objective->class_name, spec->class_name)) continue;
        due_wall = amb_earlier(due_wall, amb_job_ready_wall_ms(job) + amb_seconds_to_ms(objective->within_s));
    }
    return due_wall;
}

/* (Idle-time work of a guest once had machines rented for it: the fleet of a day was twice as large.) */
static double opportunistic_wait_s(const struct amb_node *node, const struct amb_job_spec *spec) {
    return OPPORTUNISTIC_WAIT_BOOTS * scale_out_start_s(node, spec);
}

bool amb_start_can_wait_for_capacity(const struct amb_node *node, const struct amb_job *job) {
    const struct amb_job_spec *spec = job->spec;
    if (spec->kind != AMB_JOB_KIND_ARRAY || spec->priority >= AMB_PRIORITY_HIGH ||
        amb_start_find_objective(node, spec))
        return false;
    int64_t due_wall = find_due_wall(node, job);
    if (due_wall != AMB_NO_DUE)
        return amb_wall_ms() + amb_seconds_to_ms(scale_out_start_s(node, spec) + amb_job_spec_work_s(spec)) <
               due_wall;
    return amb_job_is_opportunistic(job) &&
           amb_wall_ms() < amb_job_ready_wall_ms(job) + amb_seconds_to_ms(opportunistic_wait_s(node, spec));
}
