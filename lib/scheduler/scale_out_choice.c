/* Scale out: chooses the cheapest kind of machine for waiting tasks, and the order in which kinds are
 * requested. A kind is a machine type in one zone, on demand or as a spot instance. */
#include "plan_internal.h"

#include <math.h>
#include <stdlib.h>

/* For rounding errors in resources, which are sums of decimal fractions. */
static const double ROUNDING_TOLERANCE = 1e-6;
/* The number of tasks that fit if a task needs no resources. */
static const double UNLIMITED_TASKS = 1e6;
/* The cost added for each machine of a kind that is already planned, in units of the price, so that kinds of
 * the same price alternate. */
static const double SPREAD_PENALTY = 1e-3;

double amb_plan_max_tasks_that_fit(const struct amb_resources *need, const struct amb_resources *size) {
    double count = UNLIMITED_TASKS;
    if (need->cpus > 0) count = fmin(count, floor(size->cpus / need->cpus + ROUNDING_TOLERANCE));
    if (need->gpus > 0) count = fmin(count, floor(size->gpus / need->gpus + ROUNDING_TOLERANCE));
    if (need->memory_gb > 0)
        count = fmin(count, floor(size->memory_gb / need->memory_gb + ROUNDING_TOLERANCE));
    return count;
}

/* The inputs of the search, and the best kind so far. */
struct choice_search {
    struct amb_capacity_plan *plan;
    const struct amb_placement_request *request;
    uint32_t max_tasks;
    enum amb_scale_out_spread spread;
    struct amb_scale_out_choice best;
    double lowest_cost; /* per task, on a machine of the best kind; INFINITY: there is none */
};

static bool is_available(const struct choice_search *search, const struct amb_scale_out_choice *choice) {
    const struct amb_cycle *cycle = search->plan->cycle;
    const struct amb_slot candidate = {.type = choice->type,
                                       .zone = choice->zone,
                                       .spot = choice->spot,
                                       .usable = true,
                                       .reserved_priority = -1};
    if (choice->zone < 0 || !amb_placement_is_allowed(search->request, &candidate)) return false;
    if (amb_zone_is_unreachable(cycle->node, choice->zone)) return false;
    return !amb_scale_out_is_backing_off(cycle->node, choice->type, choice->zone, choice->spot, cycle->now);
}

static double cost_per_task(const struct choice_search *search, const struct amb_scale_out_choice *choice,
                            double tasks_per_machine) {
    const struct amb_capacity_plan *plan = search->plan;
    const struct amb_machine_type *type = &plan->cycle->node->catalog.types[choice->type];
    double price = choice->spot ? type->hourly_spot_price : type->hourly_price;
    double cost = price / fmin(tasks_per_machine, search->max_tasks ? search->max_tasks : 1);
    if (search->spread == AMB_SCALE_OUT_EVEN)
        cost += SPREAD_PENALTY * plan->scale_out_counts[choice->type][choice->zone][choice->spot];
    return cost;
}

/* Considers the type in each of its zones, on demand and, if allowed, as a spot instance. */
static void consider_type(struct choice_search *search, uint32_t type_index) {
    struct amb_catalog *catalog = &search->plan->cycle->node->catalog;
    const struct amb_machine_type *type = &catalog->types[type_index];
    double tasks_per_machine = amb_plan_max_tasks_that_fit(&search->request->need, &type->resources);
    if (tasks_per_machine < 1 || !(search->request->type_mask >> type_index & 1)) return;
    for (uint32_t i = 0; i < type->zone_count; i++) {
        int zone = amb_catalog_find_or_add_zone(catalog, type->zones[i]);
        for (int spot = 0; spot <= (int)search->request->spot_allowed; spot++) {
            const struct amb_scale_out_choice choice = {(int)type_index, zone, spot,
                                                        search->request->priority, type->boot_s};
            if (!is_available(search, &choice)) continue;
            double cost = cost_per_task(search, &choice, tasks_per_machine);
            if (cost >= search->lowest_cost) continue;
            search->lowest_cost = cost;
            search->best = choice;
        }
    }
}

struct amb_slot *amb_plan_scale_out(struct amb_capacity_plan *plan,
                                    const struct amb_placement_request *request, uint32_t max_tasks,
                                    enum amb_scale_out_spread spread) {
    struct choice_search search = {
        .plan = plan, .request = request, .max_tasks = max_tasks, .spread = spread, .lowest_cost = INFINITY};
    for (uint32_t i = 0; i < plan->cycle->node->catalog.type_count; i++) consider_type(&search, i);
    if (isinf(search.lowest_cost)) return NULL;
    const struct amb_scale_out_choice *best = &search.best;
    if (!plan->scale_out_counts[best->type][best->zone][best->spot]++)
        plan->choices[plan->choice_count++] = *best;
    plan->scale_out_total++;
    return amb_cycle_add_slot(plan->cycle, best->type, best->zone, best->spot);
}

/* Comparison function for qsort: kinds for the most urgent work first, then those with the longest boot. */
static int compare_choices(const void *left, const void *right) {
    const struct amb_scale_out_choice *left_choice = left;
    const struct amb_scale_out_choice *right_choice = right;
    if (left_choice->priority != right_choice->priority)
        return left_choice->priority > right_choice->priority ? -1 : 1;
    if (left_choice->boot_s != right_choice->boot_s)
        return left_choice->boot_s > right_choice->boot_s ? -1 : 1;
    if (left_choice->zone != right_choice->zone) return left_choice->zone < right_choice->zone ? -1 : 1;
    return (int)left_choice->spot - (int)right_choice->spot;
}

void amb_plan_submit_scale_outs(struct amb_capacity_plan *plan) {
    struct amb_node *node = plan->cycle->node;
    uint32_t max_calls = amb_scale_out_available_calls(node, plan->cycle->now);
    qsort(plan->choices, plan->choice_count, sizeof *plan->choices, compare_choices);
    for (uint32_t i = 0; i < plan->choice_count && i < max_calls; i++) {
        const struct amb_scale_out_choice *choice = &plan->choices[i];
        uint32_t count = plan->scale_out_counts[choice->type][choice->zone][choice->spot];
        amb_scale_out_submit(node, choice->type, choice->zone, choice->spot, count);
    }
}
