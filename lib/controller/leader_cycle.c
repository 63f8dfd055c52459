/* Timing of the leader's scheduling cycles: events and the tick request them, a timer runs them, and a
 * capacity plan follows some of them. */
#include "internal.h"

#include "amberpin/base/log.h"
#include "amberpin/placement/wdrr.h"
#include "amberpin/scheduler/capacity_plan.h"

/* Delay from a request to its cycle, as a share of the tick interval. Changes that arrive within it share one
 * cycle. */
static const double CYCLE_DELAY_SHARE = 0.05;
/* Maximum number of capacity plans per tick interval. */
static const double PLANS_PER_INTERVAL = 2;

static void refill_team_buckets(struct amb_node *node, amb_ms now) {
    amb_ms previous_at = node->controller.cycle_at;
    double elapsed_s = previous_at ? (double)(now - previous_at) / 1000 : 0;
    amb_wdrr_refill(node->settings.teams, node->settings.team_count, elapsed_s);
}

/* Returns whether it ran a capacity plan. */
static bool plan_if_due(struct amb_cycle *cycle) {
    struct amb_controller *controller = &cycle->node->controller;
    amb_ms interval = amb_seconds_to_ms(controller->tick_interval_s / PLANS_PER_INTERVAL);
    if (cycle->now - controller->plan_at < interval) return false;
    controller->plan_at = cycle->now;
    amb_capacity_plan_run(cycle);
    return true;
}

static void log_cycle(const struct amb_cycle *cycle, uint32_t placed, bool planned) {
    double available_gpus = 0;
    if (!amb_log_is_enabled(AMB_LOG_DEBUG)) return;
    for (uint32_t i = 0; i < cycle->slot_count; i++) available_gpus += cycle->slots[i].available.gpus;
    amb_debug(
        "scheduling cycle: %u jobs waiting, %u tasks or gangs placed, %u machines, %g GPUs free, %lld ms%s",
        cycle->job_count, placed, cycle->slot_count, available_gpus, (long long)(amb_now() - cycle->now),
        planned ? ", with a capacity plan" : "");
}

/* Timer callback. */
static void run_cycle(void *context) {
    struct amb_node *node = context;
    struct amb_controller *controller = &node->controller;
    if (!controller->ready || !amb_election_may_act(node) || !node->cloud.catalog_known) return;
    amb_ms now = amb_now();
    refill_team_buckets(node, now);
    controller->cycle_at = now;
    controller->cycle_requested = false;
    struct amb_cycle *cycle = amb_cycle_new(node, now);
    uint32_t placed = amb_cycle_admit(cycle);
    bool planned = plan_if_due(cycle);
    log_cycle(cycle, placed, planned);
    amb_cycle_free(cycle);
    if (placed) amb_placement_log_flush(node);
}

void amb_controller_request_cycle(struct amb_node *node) {
    struct amb_controller *controller = &node->controller;
    controller->cycle_requested = true;
    bool is_scheduled = controller->cycle_timer.position != 0;
    if (!controller->ready || is_scheduled) return;
    amb_ms delay = amb_seconds_to_ms(controller->tick_interval_s * CYCLE_DELAY_SHARE);
    amb_timer_set_after(&controller->cycle_timer, delay, run_cycle, node);
}
