/* Wires the modules: the leader's round in time, take-over, and the front. */
#include "amberpin/api/user_api.h"
#include "amberpin/base/log.h"
#include "amberpin/node/fleet_capacity.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"
#include "amberpin/placement/wdrr.h"
#include "amberpin/scheduler/capacity_plan.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void run_cycle(void *context) {
    struct amb_node *node = context;
    struct amb_controller *controller = &node->controller;
    if (!controller->ready || !amb_election_may_act(node) || !node->cloud.catalog_known) return;
    amb_ms now = amb_now();
    amb_wdrr_refill(node->settings.teams, node->settings.team_count,
                    controller->cycle_at ? (double)(now - controller->cycle_at) / 1000 : 0);
    controller->cycle_at = now;
    controller->cycle_requested = false;
    struct amb_cycle *cycle = amb_cycle_new(node, now);
    uint32_t placed = amb_cycle_admit(cycle);
    bool planned = now - controller->plan_at >= amb_seconds_to_ms(node->controller.tick_interval_s / 2);
    if (planned) {
        controller->plan_at = now;
        amb_capacity_plan_run(cycle);
    }
    if (amb_log_is_enabled(AMB_LOG_DEBUG)) {
        double available_gpus = 0;
        for (uint32_t i = 0; i < cycle->slot_count; i++) available_gpus += cycle->slots[i].available.gpus;
        amb_debug("round: %u jobs waited, %u tasks or gangs placed, %u machines, %g GPUs left, %lld ms%s",
                  cycle->job_count, placed, cycle->slot_count, available_gpus, (long long)(amb_now() - now),
                  planned ? " with a plan" : "");
    }
    amb_cycle_free(cycle);
    if (placed) amb_placement_log_flush(node);
}

static void request_cycle(struct amb_node *node) {
    node->controller.cycle_requested = true;
    if (!node->controller.ready || node->controller.cycle_timer.position) return;
    /* A moment's patience lets news that comes together be handled together. */
    amb_timer_in(&node->controller.cycle_timer, amb_seconds_to_ms(node->controller.tick_interval_s * 0.05),
                 run_cycle, node);
}

/* ---- taking over ---- */

static void load_next_page(struct amb_node *node);

static void finish_loading(struct amb_node *node) {
    struct amb_job *job, *next;
    /* Heard of meanwhile: which machines are being returned must be known before anything is placed. */
    if (!amb_duties_is_ready(node)) {
        node->controller.restore_synced = false;
        return;
    }
    amb_duties_restore(node);
    HASH_ITER(hh, node->jobs.all, job, next) {
        amb_capacity_plan_note_demand(node, job);
        if (job->state == AMB_JOB_QUEUED) amb_job_activate_if_room(node, job);
    }
    node->controller.restoring = false;
    node->controller.restored_at = amb_now();
    uint32_t live = 0;
    for (job = node->jobs.active; job; job = job->next_active) live++;
    amb_info("controller: records read, %u jobs in care", live);
}

static void apply_page(void *context, int status, const cbor_item_t *body) {
    struct amb_node *node = context;
    if (!amb_election_has_leader_role(node) || !node->controller.restoring ||
        node->controller.restore_term != node->election.term)
        return;
    node->controller.restore_in_flight = false;
    const cbor_item_t *pairs = amb_cbor_map_get(body, "pairs");
    if (status != 200 || !pairs) return; /* the tick tries again */
    for (size_t i = 0; i < amb_cbor_list_length(pairs); i++) {
        const cbor_item_t *pair = amb_cbor_list_item(pairs, i);
        char key[256];
        uint64_t revision;
        if (!amb_cbor_copy_string(amb_cbor_map_get(pair, "path"), key, sizeof key) ||
            !amb_cbor_get_uint(amb_cbor_map_get(pair, "stamp"), &revision))
            continue;
        amb_placement_log_restore(node, key, amb_cbor_map_get(pair, "value"), revision);
        amb_scale_out_restore(node, key, amb_cbor_map_get(pair, "value"));
        amb_scale_in_log_restore(node, key, amb_cbor_map_get(pair, "value"), revision);
        amb_zone_record_load(node, key, amb_cbor_map_get(pair, "value"), revision);
        snprintf(node->controller.restore_cursor, sizeof node->controller.restore_cursor, "%s", key);
    }
    bool more = false;
    amb_cbor_get_bool(amb_cbor_map_get(body, "truncated"), &more);
    if (more && amb_cbor_list_length(pairs))
        load_next_page(node);
    else
        finish_loading(node);
}

static void load_next_page(struct amb_node *node) {
    node->controller.restore_in_flight = true;
    node->controller.restore_sent_at = amb_now();
    amb_store_list(&node->store, "b/", node->controller.restore_cursor, apply_page, node);
}

static void on_jobs_synced(void *context, bool ok) {
    struct amb_node *node = context;
    node->controller.restore_in_flight = false;
    if (!amb_election_has_leader_role(node) || !node->controller.restoring ||
        node->controller.restore_synced || !ok)
        return;
    node->controller.restore_synced = true;
    load_next_page(node);
}

static void continue_loading(struct amb_node *node, amb_ms now) {
    struct amb_controller *controller = &node->controller;
    if (controller->restore_in_flight && now - controller->restore_sent_at < node->store.call_timeout * 4)
        return;
    /* The catalogue first: records name types by its numbers. */
    if (!node->cloud.catalog_known || !amb_duties_is_ready(node)) return;
    controller->restore_sent_at = now;
    controller->restore_in_flight = true;
    if (!controller->restore_synced)
        amb_watch_read_fresh(node, on_jobs_synced, node);
    else
        load_next_page(node);
}

void amb_controller_start_leading(struct amb_node *node) {
    struct amb_controller *controller = &node->controller;
    controller->leader_since = amb_now();
    controller->restored_at = 0;
    controller->ready = controller->restore_synced = controller->restore_in_flight = false;
    controller->restoring = true;
    controller->restore_cursor[0] = 0;
    controller->restore_term = node->election.term;
    amb_duties_reset(node);
    controller->cycle_at = controller->plan_at = controller->peak_at = 0;
    amb_wdrr_prepare(node->settings.teams, node->settings.team_count,
                     amb_wdrr_is_sized_by_gpus(node->settings.teams, node->settings.team_count));
    for (uint32_t i = 0; i < node->settings.team_count; i++)
        memset(&node->settings.teams[i].used, 0, sizeof node->settings.teams[i].used);
}

void amb_controller_stop_leading(struct amb_node *node, const char *cause) {
    struct amb_controller *controller = &node->controller;
    amb_info("controller: stops leading: %s", cause);
    controller->restoring = controller->ready = false;
    controller->restored_at = 0;
    amb_timer_stop(&controller->cycle_timer);
    while (node->jobs.active) {
        struct amb_job *job = node->jobs.active;
        job->progress_done = job->done_count;
        job->progress_running = job->running_count;
        amb_job_deactivate(node, job);
    }
    amb_cloud_reset(node);
    amb_duties_reset(node);
    amb_fleet_clear(node);
}

/* ---- events ---- */

static void dispatch_event(struct amb_node *node, const struct amb_event *event) {
    switch (event->type) {
    case AMB_EVENT_LEADERSHIP_GAINED: amb_controller_start_leading(node); break;
    case AMB_EVENT_LEADERSHIP_LOST: amb_controller_stop_leading(node, event->cause); break;
    case AMB_EVENT_JOB_READY: amb_capacity_plan_note_demand(node, event->job); break;
    case AMB_EVENT_JOB_HAS_DEPENDENCIES: amb_pipeline_add_job(node, event->job); break;
    case AMB_EVENT_JOB_FINAL: amb_pipeline_remove_final(node, event->job); break;
    case AMB_EVENT_PLACEMENT_DURABLE: amb_deferred_response_trigger(event->task); break;
    case AMB_EVENT_MACHINE_ADDED:
        amb_duties_note_machine(node, event->machine);
        amb_scale_in_log_note_machine(node, event->machine);
        amb_image_locations_restore(node, event->machine);
        break;
    case AMB_EVENT_MACHINE_REMOVED: amb_machine_confirm_gone(node, event->machine, event->proof); break;
    case AMB_EVENT_DUTY_KEY_CHANGED:
        amb_duties_apply_change(node, event->change.key, event->change.value, event->change.revision);
        break;
    case AMB_EVENT_STORE_LISTED: amb_duties_note_listed(node); break;
    case AMB_EVENT_CYCLE_REQUESTED: request_cycle(node); break;
    }
}

void amb_controller_attach(struct amb_node *node) {
    node->on_event = dispatch_event;
}

/* ---- the leader's turns ---- */

/* Report periods without a turn after which a node says that it stood still. */
static const double STALL_HEARTBEAT_PERIODS = 1;

/* For operators: what this node did not do meanwhile, others have done. (What was decided before acts on
 * nothing: due timers run first, and leases have ended by the clock.) */
static void note_stall(struct amb_node *node, amb_ms now) {
    amb_ms elapsed = now - node->controller.ticked_at;
    if (node->controller.ticked_at &&
        elapsed > amb_seconds_to_ms(node->settings.heartbeat_s * STALL_HEARTBEAT_PERIODS))
        amb_info("controller: this node stood still for %lld ms", (long long)elapsed);
    node->controller.ticked_at = now;
}

static void tick(void *context) {
    struct amb_node *node = context;
    struct amb_controller *controller = &node->controller;
    amb_ms now = amb_now();
    note_stall(node, now);
    amb_timer_in(&controller->timer, amb_seconds_to_ms(node->controller.tick_interval_s * 0.1), tick, node);
    amb_cloud_tick(node, now);
    amb_lease_proxy_tick(node, now);
    amb_format_tick(node, now);
    amb_duties_tick(node, now);
    amb_cancellations_drop_specs(node, now);
    if (!amb_election_is_leader(node)) return;
    if (controller->restoring) continue_loading(node, now);
    amb_jobs_activate_unadmitted(node);
    amb_ms learning_period = amb_seconds_to_ms(node->settings.heartbeat_s * 1.3);
    bool has_waited = now - controller->leader_since > learning_period &&
                      now - controller->restored_at > learning_period / 2;
    /* What the wait is for may be known sooner: a fleet that starts has nothing to tell, and workers whose
     * node has died are here within a second or two. With reports every 4 s, waiting all the same cost 5 s of
     * the 10 s in which some work is to start, and of the first boots of a day. */
    if (controller->restored_at && !controller->ready &&
        (has_waited || (node->cloud.list_completed && amb_fleet_is_acknowledged(node)))) {
        amb_info("controller: ready to place, %lld ms after the lead was won",
                 (long long)(now - controller->leader_since));
        controller->ready = true;
        request_cycle(node);
    }
    amb_fleet_tick(node, now);
    if (controller->ready &&
        (controller->cycle_requested ||
         now - controller->cycle_at > amb_seconds_to_ms(node->controller.tick_interval_s * 0.5)))
        request_cycle(node);
    amb_placement_log_flush(node);
}

/* ---- the front ---- */

static bool is_healthy(struct amb_node *node) {
    amb_ms now = amb_now();
    if (!node->watch.loaded) return false;
    /* The store refuses us alone: users are better served elsewhere. When it refuses everybody, staying in
     * lets them have an answer at once. */
    bool failing = node->store.last_failure_at > node->store.last_success_at &&
                   now - node->store.last_success_at > amb_seconds_to_ms(node->settings.heartbeat_s * 3);
    return !failing || !amb_election_peer_reaches_store(node, now);
}

static void handle_request(void *context, struct amb_http_req *request) {
    struct amb_node *node = context;
    if (amb_agent_handle_request(node, request) || amb_api_handle_request(node, request)) return;
    if (strcmp(request->path, "/healthz"))
        amb_http_reply_cbor(request, 404, NULL, 0);
    else if (strcmp(request->method, "GET"))
        amb_http_reply_cbor(request, 405, NULL, 0);
    else
        amb_http_reply_cbor(request, is_healthy(node) ? 200 : 503, NULL, 0);
}

enum { USER_BODY_MAX_BYTES = 64 * 1024 }; /* the protocol's limit, workers' too */

int amb_node_start(struct amb_node *node, char *err, size_t err_size) {
    amb_controller_attach(node);
    node->controller.tick_interval_s = amb_settings_cycle_s(&node->settings);
    amb_election_init(node);
    amb_store_init(&node->store, &node->settings, amb_election_call_timeout(node));
    amb_cloud_init(node);
    amb_zone_recovery_init(node);
    for (uint32_t i = 0; i < node->settings.zone_count; i++)
        amb_catalog_find_or_add_zone(&node->catalog, node->settings.zones[i]);
    amb_http_client_limit(amb_capacity_max_outgoing(&node->settings));
    amb_http_response_limit(amb_memory_max_response_bytes(&node->settings));
    node->public_server = amb_server_open(
        node->settings.api_listen, amb_capacity_max_incoming(&node->settings), USER_BODY_MAX_BYTES,
        amb_seconds_to_ms(node->settings.agent_lease_s * 6), handle_request, node);
    if (!node->public_server) {
        snprintf(err, err_size, "front %s can't be opened", node->settings.api_listen);
        return -1;
    }
    amb_peer_start(node);
    amb_watch_start(node);
    tick(node);
    return 0;
}
