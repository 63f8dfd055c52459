/* Start deadlines, from the objectives of a job's class, its own deadline and its team's guarantee. */
#include "amberpin/scheduler/start_deadline.h"

#include <math.h>
#include <string.h>

/* Kinds of objectives in the settings. */
#define OBJECTIVE_START "wait"
#define OBJECTIVE_END "finished"

/* How long opportunistic work without a due time waits for capacity before machines are requested for it, in
 * start times on the slowest machine that it may run on. */
static const double OPPORTUNISTIC_WAIT_BOOTS = 8;

static bool applies_to(const struct amb_objective *objective, const char *kind,
                       const struct amb_job_spec *spec) {
    return !strcmp(objective->kind, kind) && !strcmp(objective->class_name, spec->class_name);
}

/* The longest that a start takes on a machine that has yet to be requested: boot, and fetch of the image. */
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

/* The start of batch work is not awaited if a machine that is requested now would be in time for it. (When
 * any objective for starts counted, sweeps to be started within 120 s took what had been preempted for a
 * gang, were stopped for it and took it again, up to ten times each.) */
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

/* When the job is to be done, by its deadline or else by its class's objective; AMB_NO_DUE_TIME: at any time.
 */
static int64_t find_due_wall(const struct amb_node *node, const struct amb_job *job) {
    const struct amb_job_spec *spec = job->spec;
    int64_t due_wall = amb_job_due_wall_ms(job);
    if (spec->deadline_s > 0) return due_wall;
    for (uint32_t i = 0; i < node->settings.objective_count; i++) {
        const struct amb_objective *objective = &node->settings.objectives[i];
        if (!applies_to(objective, OBJECTIVE_END, spec)) continue;
        due_wall = amb_earlier(due_wall, amb_job_ready_wall_ms(job) + amb_seconds_to_ms(objective->within_s));
    }
    return due_wall;
}

/* (When machines were requested for opportunistic work at once, the fleet of a day was twice as large.) */
static double opportunistic_wait_s(const struct amb_node *node, const struct amb_job_spec *spec) {
    return OPPORTUNISTIC_WAIT_BOOTS * scale_out_start_s(node, spec);
}

bool amb_start_can_wait_for_capacity(const struct amb_node *node, const struct amb_job *job) {
    const struct amb_job_spec *spec = job->spec;
    if (spec->kind != AMB_JOB_KIND_ARRAY || spec->priority >= AMB_PRIORITY_HIGH) return false;
    if (amb_start_find_objective(node, spec)) return false;
    int64_t due_wall = find_due_wall(node, job);
    if (due_wall != AMB_NO_DUE_TIME) {
        double run_s = scale_out_start_s(node, spec) + amb_job_spec_work_s(spec);
        return amb_wall_ms() + amb_seconds_to_ms(run_s) < due_wall;
    }
    return amb_job_is_opportunistic(job) &&
           amb_wall_ms() < amb_job_ready_wall_ms(job) + amb_seconds_to_ms(opportunistic_wait_s(node, spec));
}
