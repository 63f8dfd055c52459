/* The periodic work of a node, and of the leader among them. */
#include "internal.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud_duty/scaling_mode.h"

/* Times between ticks and cycles, as shares of the tick interval. */
static const double TICK_SHARE = 0.1;
static const double CYCLE_SHARE = 0.5;
/* Heartbeat periods without a tick after which a node says that it stalled. */
static const double STALL_HEARTBEAT_PERIODS = 1;
/* Heartbeat periods within which every machine that reaches a new leader has reported to it. */
static const double LEARNING_HEARTBEAT_PERIODS = 1.3;

/* For operators: what this node did not do meanwhile, others have done. (What was decided before acts on
 * nothing: due timers run first, and leases have ended by the clock.) */
static void note_stall(struct amb_node *node, amb_ms now) {
    amb_ms elapsed = now - node->controller.ticked_at;
    amb_ms limit = amb_seconds_to_ms(node->settings.heartbeat_s * STALL_HEARTBEAT_PERIODS);
    if (node->controller.ticked_at && elapsed > limit)
        amb_info("controller: this node stood still for %lld ms", (long long)elapsed);
    node->controller.ticked_at = now;
}

/* Does the leader know the state of its fleet? That may be so before it has waited: a fleet that starts has
 * nothing to tell, and agents whose node has died are here within a second or two. (With heartbeats every 4 s
 * waiting all the same cost 5 s of the 10 s in which some work is to start, and of the first boots of a day.)
 */
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
    amb_info("controller: ready to place, %lld ms after the lead was won",
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

/* A timer's callback. */
static void on_tick_timer(void *context) {
    amb_controller_tick(context);
}

void amb_controller_tick(struct amb_node *node) {
    struct amb_controller *controller = &node->controller;
    amb_ms now = amb_now();
    note_stall(node, now);
    amb_timer_set_after(&controller->timer, amb_seconds_to_ms(controller->tick_interval_s * TICK_SHARE),
                        on_tick_timer, node);
    amb_cloud_tick(node, now);
    amb_lease_proxy_tick(node, now);
    amb_format_tick(node, now);
    amb_duties_tick(node, now);
    amb_cancellations_drop_specs(node, now);
    if (amb_election_is_leader(node)) tick_leader(node, now);
}
