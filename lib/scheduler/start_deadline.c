/* Start deadlines, from the objectives of a job's class, its own deadline and its team's guarantee. */
#include "amberpin/scheduler/start_deadline.h"

#include <math.h>
#include <string.h>

/* Kinds of objectives in the settings. */
#define OBJECTIVE_START "wait"
#define OBJECTIVE_END "finished"

/* How long opportunistic work without a due time waits for capacity before machines are requested for it, as
 * a multiple of scale_out_start_s. */
static const double OPPORTUNISTIC_WAIT_BOOTS = 8;

static bool applies_to(const struct amb_objective *objective, const char *kind,
                       const struct amb_job_spec *spec) {
    return !strcmp(objective->kind, kind) && !strcmp(objective->class_name, spec->class_name);
}

/* The longest time that a start takes on a machine that has yet to be requested: its boot and the image
 * fetch. */
static double scale_out_start_s(const struct amb_node *node, const struct amb_job_spec *spec) {
    double longest_s = 0;
    for (uint32_t i = 0; i < node->catalog.type_count; i++) {
        const struct amb_machine_type *type = &node->catalog.types[i];
        if (!amb_job_spec_allows_type(spec, type->name)) continue;
        double rate = type->image_fetch_gb_per_s;
        double fetch_s = rate > 0 ? spec->image_gb / rate : 0;
        longest_s = fmax(longest_s, type->boot_s + fetch_s);
    }
    return longest_s;
}

/* A start objective of batch work is ignored if the work would meet it on a machine requested now. When every
 * start objective counted, arrays to be started within 120 s took the resources preempted for a gang, were
 * stopped for it and took them again, up to ten times each. */
const struct amb_objective *amb_start_find_objective(const struct amb_node *node,
                                                     const struct amb_job_spec *spec) {
    const struct amb_objective *strictest = NULL;
    for (uint32_t i = 0; i < node->settings.objective_count; i++) {
        const struct amb_objective *objective = &node->settings.objectives[i];
        if (!applies_to(objective, OBJECTIVE_START, spec)) continue;
        if (!strictest || objective->within_s < strictest->within_s) strictest = objective;
    }
    if (!strictest || spec->kind != AMB_JOB_KIND_ARRAY) return strictest;
    return strictest->within_s > scale_out_start_s(node, spec) ? NULL : strictest;
}

bool amb_job_is_opportunistic(const struct amb_job *job) {
    return job->spec->kind == AMB_JOB_KIND_ARRAY && job->spec->priority < AMB_PRIORITY_HIGH &&
           job->team->opportunistic;
}

/* The time of day by which the job has to be complete, from its deadline or else its class's objective;
 * AMB_NO_DUE_TIME: there is none. */
static int64_t find_due_wall_ms(const struct amb_node *node, const struct amb_job *job) {
    const struct amb_job_spec *spec = job->spec;
    int64_t due_wall_ms = amb_job_due_wall_ms(job);
    if (spec->deadline_s > 0) return due_wall_ms;
    for (uint32_t i = 0; i < node->settings.objective_count; i++) {
        const struct amb_objective *objective = &node->settings.objectives[i];
        if (!applies_to(objective, OBJECTIVE_END, spec)) continue;
        due_wall_ms =
            amb_earlier(due_wall_ms, amb_job_ready_wall_ms(job) + amb_seconds_to_ms(objective->within_s));
    }
    return due_wall_ms;
}

/* Requesting machines for opportunistic work at once made the fleet of a day twice as large. */
static double opportunistic_wait_s(const struct amb_node *node, const struct amb_job_spec *spec) {
    return OPPORTUNISTIC_WAIT_BOOTS * scale_out_start_s(node, spec);
}

bool amb_start_can_wait_for_capacity(const struct amb_node *node, const struct amb_job *job) {
    const struct amb_job_spec *spec = job->spec;
    if (spec->kind != AMB_JOB_KIND_ARRAY || spec->priority >= AMB_PRIORITY_HIGH) return false;
    if (amb_start_find_objective(node, spec)) return false;
    int64_t due_wall_ms = find_due_wall_ms(node, job);
    if (due_wall_ms != AMB_NO_DUE_TIME) {
        double run_s = scale_out_start_s(node, spec) + amb_job_spec_work_s(spec);
        return amb_wall_ms() + amb_seconds_to_ms(run_s) < due_wall_ms;
    }
    return amb_job_is_opportunistic(job) &&
           amb_wall_ms() < amb_job_ready_wall_ms(job) + amb_seconds_to_ms(opportunistic_wait_s(node, spec));
}
