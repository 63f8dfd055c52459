/* Demand forecast: exponential averages of the arrival rate and size of each class's jobs, and the decaying
 * peak of the resources used by all teams. */
#include "plan_internal.h"

#include "amberpin/base/log.h"
#include "amberpin/scheduler/start_deadline.h"

#include <math.h>
#include <string.h>

/* The time constant of the average arrival rate, in boot times. */
static const double ARRIVAL_DECAY_BOOTS = 4;
/* The weight of the latest job in the average size of its class's jobs. */
static const double LATEST_JOB_WEIGHT = 0.1;
/* The share of the demand for gangs that capacity is kept for. It is less than 1 because some gangs end while
 * a machine boots, whereas services run until they are cancelled. */
static const double GANG_DEMAND_SHARE = 2.0 / 3;
/* The time constant with which the peak decays, in boot times. */
static const double PEAK_DECAY_BOOTS = 1.5;

double amb_demand_longest_boot_s(const struct amb_node *node) {
    double longest_s = 0;
    for (uint32_t i = 0; i < node->catalog.type_count; i++)
        longest_s = fmax(longest_s, node->catalog.types[i].boot_s);
    return longest_s;
}

/* ---- demand of a class ---- */

/* Returns the entry of the class that has been without jobs for longest. */
static struct amb_demand *evict_oldest_demand(struct amb_controller *controller) {
    struct amb_demand *oldest = &controller->demands[0];
    for (uint32_t i = 1; i < controller->demand_count; i++)
        if (controller->demands[i].updated_at < oldest->updated_at) oldest = &controller->demands[i];
    amb_debug("class %s: dropped from the demand forecast: more than %d classes", oldest->class_name,
              AMB_DEMANDS_MAX);
    return oldest;
}

static struct amb_demand *get_demand(struct amb_controller *controller, const char *class_name, amb_ms now) {
    for (uint32_t i = 0; i < controller->demand_count; i++)
        if (!strcmp(controller->demands[i].class_name, class_name)) return &controller->demands[i];
    struct amb_demand *demand = controller->demand_count < AMB_DEMANDS_MAX
                                    ? &controller->demands[controller->demand_count++]
                                    : evict_oldest_demand(controller);
    memset(demand, 0, sizeof *demand);
    strcpy(demand->class_name, class_name);
    demand->updated_at = now;
    return demand;
}

/* Jobs may be counted in another order than that in which they became ready. */
static void count_arrival(struct amb_demand *demand, const struct amb_job_spec *spec, amb_ms ready_at,
                          double decay_s) {
    double elapsed_s = (double)(ready_at - demand->updated_at) / 1000;
    if (elapsed_s >= 0) {
        demand->jobs_per_s = demand->jobs_per_s * exp(-elapsed_s / decay_s) + 1 / decay_s;
        demand->updated_at = ready_at;
        demand->last_spec = *spec;
    } else {
        demand->jobs_per_s += exp(elapsed_s / decay_s) / decay_s;
    }
}

static void count_size(struct amb_demand *demand, const struct amb_job_spec *spec) {
    double squared_tasks = (double)spec->task_count * spec->task_count;
    double mean = demand->mean_square_tasks;
    demand->mean_square_tasks =
        mean > 0 ? mean * (1 - LATEST_JOB_WEIGHT) + squared_tasks * LATEST_JOB_WEIGHT : squared_tasks;
}

/* Capacity is reserved for urgent work and work with a start objective, because a machine takes longer to
 * boot than such work may wait. Nothing is reserved for arrays. */
static bool is_capacity_reserved_for(const struct amb_node *node, const struct amb_job_spec *spec) {
    if (spec->priority < AMB_PRIORITY_HIGH && !amb_start_find_objective(node, spec)) return false;
    return spec->kind != AMB_JOB_KIND_ARRAY;
}

void amb_capacity_plan_record_demand(struct amb_node *node, struct amb_job *job) {
    const struct amb_job_spec *spec = job->spec;
    if (job->demand_recorded || job->dependencies_pending || !spec || !node->cloud.catalog_known) return;
    job->demand_recorded = true;
    if (!is_capacity_reserved_for(node, spec)) return;
    int64_t age_ms = amb_wall_ms() - amb_job_ready_wall_ms(job);
    amb_ms ready_at = amb_now() - (age_ms > 0 ? age_ms : 0);
    double decay_s =
        fmax(ARRIVAL_DECAY_BOOTS * amb_demand_longest_boot_s(node), node->settings.agent_lease_s);
    struct amb_demand *demand = get_demand(&node->controller, spec->class_name, ready_at);
    count_arrival(demand, spec, ready_at, decay_s);
    count_size(demand, spec);
    amb_recent_names_add(demand->images, NULL, &demand->image_count, AMB_DEMAND_IMAGES_MAX, spec->image, 0);
}

/* Tasks end about as often as new ones arrive, so the reserve covers a multiple of the standard deviation of
 * arrivals during a boot. */
double amb_demand_expected_tasks(const struct amb_node *node, const struct amb_demand *demand, double boot_s,
                                 amb_ms now) {
    double age_s = (double)(now - demand->updated_at) / 1000;
    double decay = exp(-age_s / (ARRIVAL_DECAY_BOOTS * boot_s));
    double share = demand->last_spec.kind == AMB_JOB_KIND_GANG ? GANG_DEMAND_SHARE : 1;
    return node->options.headroom_deviations * share *
           sqrt(demand->jobs_per_s * decay * boot_s * demand->mean_square_tasks);
}

/* ---- peak usage ---- */

static double decay_peak(double peak, double usage, double retained_share) {
    return fmax(usage, usage + (peak - usage) * retained_share);
}

static struct amb_resources sum_usage(const struct amb_capacity_plan *plan) {
    const struct amb_settings *settings = &plan->cycle->node->settings;
    struct amb_resources usage = {0, 0, 0};
    for (uint32_t i = 0; i < settings->team_count; i++) {
        amb_resources_add(&usage, &settings->teams[i].used, 1);
        amb_resources_add(&usage, &plan->planned_usage[i], 1);
    }
    return usage;
}

/* Batch work arrives in bursts, so capacity that was used recently is likely to be used again. */
void amb_demand_update_peak(struct amb_capacity_plan *plan) {
    struct amb_node *node = plan->cycle->node;
    struct amb_controller *controller = &node->controller;
    const struct amb_resources usage = sum_usage(plan);
    double elapsed_s = (double)(plan->cycle->now - controller->peak_at) / 1000;
    double decay_s = PEAK_DECAY_BOOTS * amb_demand_longest_boot_s(node) + 1;
    double retained_share = controller->peak_at ? exp(-elapsed_s / decay_s) : 0;
    struct amb_resources *peak = &controller->peak_usage;
    peak->cpus = decay_peak(peak->cpus, usage.cpus, retained_share);
    peak->gpus = decay_peak(peak->gpus, usage.gpus, retained_share);
    peak->memory_gb = decay_peak(peak->memory_gb, usage.memory_gb, retained_share);
    controller->peak_at = plan->cycle->now;
}
