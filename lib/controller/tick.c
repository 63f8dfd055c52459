/* Periodic work of every node, and of the leader. */
#include "internal.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud_duty/scaling_mode.h"

/* Time between ticks, and longest time between scheduling cycles, as shares of the tick interval. */
static const double TICK_SHARE = 0.1;
static const double CYCLE_SHARE = 0.5;
/* Heartbeat periods without a tick after which a node logs a stall. */
static const double STALL_HEARTBEAT_PERIODS = 1;
/* Heartbeat periods within which every machine that reaches a new leader has sent it a heartbeat. */
static const double LEARNING_HEARTBEAT_PERIODS = 1.3;

/* Logs a stall of the event loop for operators, because other nodes may have taken over this node's work
 * meanwhile. Decisions made before the stall take no effect after it: overdue timers run first, and leases
 * have expired by the clock. */
static void log_stall(struct amb_node *node, amb_ms now) {
    amb_ms elapsed = now - node->controller.ticked_at;
    amb_ms limit = amb_seconds_to_ms(node->settings.heartbeat_s * STALL_HEARTBEAT_PERIODS);
    if (node->controller.ticked_at && elapsed > limit)
        amb_info("controller: event loop stalled for %lld ms", (long long)elapsed);
    node->controller.ticked_at = now;
}

/* Whether the leader knows the state of its fleet. It need not always wait for the learning period: a fleet
 * that is just starting has nothing to report, and agents whose node has died connect here within 1 to 2 s.
 * With heartbeats every 4 s, always waiting used up 5 s of the 10 s within which some jobs must start, and
 * delayed the first machine boots of a day by as much. */
static bool has_learned_fleet(const struct amb_node *node, amb_ms now) {
    const struct amb_controller *controller = &node->controller;
    if (!controller->restored_at) return false;
    amb_ms learning_period = amb_seconds_to_ms(node->settings.heartbeat_s * LEARNING_HEARTBEAT_PERIODS);
    bool has_waited = now - controller->leader_since > learning_period &&
                      now - controller->restored_at > learning_period / 2;
    return has_waited || (node->cloud.list.completed && amb_fleet_has_acknowledged_token(node));
}

static void become_ready(struct amb_node *node, amb_ms now) {
    struct amb_controller *controller = &node->controller;
    amb_info("controller: ready to schedule, %lld ms after becoming leader",
             (long long)(now - controller->leader_since));
    controller->ready = true;
    amb_controller_request_cycle(node);
}

static bool is_cycle_due(const struct amb_controller *controller, amb_ms now) {
    if (!controller->ready) return false;
    amb_ms interval = amb_seconds_to_ms(controller->tick_interval_s * CYCLE_SHARE);
    return controller->cycle_requested || now - controller->cycle_at > interval;
}

static void tick_leader(struct amb_node *node, amb_ms now) {
    struct amb_controller *controller = &node->controller;
    if (controller->restoring) amb_controller_continue_restore(node, now);
    amb_jobs_activate_unadmitted(node);
    if (!controller->ready && has_learned_fleet(node, now)) become_ready(node, now);
    amb_fleet_tick(node, now);
    if (is_cycle_due(controller, now)) amb_controller_request_cycle(node);
    amb_placement_log_flush(node);
}

/* Timer callback. */
static void on_tick_timer(void *context) {
    amb_controller_tick(context);
}

void amb_controller_tick(struct amb_node *node) {
    struct amb_controller *controller = &node->controller;
    amb_ms now = amb_now();
    log_stall(node, now);
    amb_timer_set_after(&controller->timer, amb_seconds_to_ms(controller->tick_interval_s * TICK_SHARE),
                        on_tick_timer, node);
    amb_cloud_tick(node, now);
    amb_lease_proxy_tick(node, now);
    amb_format_tick(node, now);
    amb_duties_tick(node, now);
    amb_cancellations_drop_specs(node, now);
    if (amb_election_is_leader(node)) tick_leader(node, now);
}
