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

static void run_round(void *arg) {
    struct amb_node *node = arg;
    struct amb_controller *c = &node->controller;
    if (!c->ready || !amb_election_may_act(node) || !node->cloud.catalog_known) return;
    amb_ms now = amb_now();
    amb_wdrr_refill(node->settings.teams, node->settings.nteams,
                    c->cycle_at ? (double)(now - c->cycle_at) / 1000 : 0);
    c->cycle_at = now;
    c->cycle_requested = false;
    struct amb_round *cycle = amb_round_new(node, now);
    uint32_t started = amb_round_admit(cycle);
    bool planned = now - c->plan_at >= amb_secs(node->controller.tick_interval_s / 2);
    if (planned) {
        c->plan_at = now;
        amb_plan(cycle);
    }
    if (amb_log_on(AMB_DEBUG)) {
        double room = 0;
        for (uint32_t i = 0; i < cycle->nslots; i++) room += cycle->slots[i].room.gpus;
        amb_debug("round: %u jobs waited, %u tasks or gangs placed, %u machines, %g GPUs left, %lld ms%s",
                  cycle->njobs, started, cycle->nslots, room, (long long)(amb_now() - now),
                  planned ? " with a plan" : "");
    }
    amb_round_free(cycle);
    if (started) amb_placement_log_flush(node);
}

static void want_round(struct amb_node *node) {
    node->controller.cycle_requested = true;
    if (!node->controller.ready || node->controller.cycle_timer.slot) return;
    /* A moment's patience lets news that comes together be handled together. */
    amb_timer_in(&node->controller.cycle_timer, amb_secs(node->controller.tick_interval_s * 0.05), run_round,
                 node);
}

/* ---- taking over ---- */

static void load_next(struct amb_node *node);

static void loaded_all(struct amb_node *node) {
    struct amb_job *job, *next;
    /* Heard of meanwhile: which machines are being returned must be known before anything is placed. */
    if (!amb_duties_ready(node)) {
        node->controller.restore_synced = false;
        return;
    }
    amb_duties_take_over(node);
    HASH_ITER(hh, node->jobs.all, job, next) {
        amb_plan_demand(node, job);
        if (job->state == AMB_JOB_QUEUED) amb_job_activate_if_room(node, job);
    }
    node->controller.restoring = false;
    node->controller.restored_at = amb_now();
    uint32_t live = 0;
    for (job = node->jobs.active; job; job = job->next_active) live++;
    amb_info("controller: records read, %u jobs in care", live);
}

static void load_page(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = arg;
    if (!amb_election_has_leader_role(node) || !node->controller.restoring ||
        node->controller.restore_term != node->election.term)
        return;
    node->controller.restore_in_flight = false;
    const cbor_item_t *pairs = amb_cbor_get(body, "pairs");
    if (status != 200 || !pairs) return; /* the tick tries again */
    for (size_t i = 0; i < amb_cbor_len(pairs); i++) {
        const cbor_item_t *p = amb_cbor_at(pairs, i);
        char key[256];
        uint64_t stamp;
        if (!amb_cbor_str(amb_cbor_get(p, "path"), key, sizeof key) ||
            !amb_cbor_uint(amb_cbor_get(p, "stamp"), &stamp))
            continue;
        amb_placement_log_restore(node, key, amb_cbor_get(p, "value"), stamp);
        amb_rental_load(node, key, amb_cbor_get(p, "value"));
        amb_return_record_load(node, key, amb_cbor_get(p, "value"), stamp);
        amb_zone_record_load(node, key, amb_cbor_get(p, "value"), stamp);
        snprintf(node->controller.restore_cursor, sizeof node->controller.restore_cursor, "%s", key);
    }
    bool more = false;
    amb_cbor_bool(amb_cbor_get(body, "truncated"), &more);
    if (more && amb_cbor_len(pairs))
        load_next(node);
    else
        loaded_all(node);
}

static void load_next(struct amb_node *node) {
    node->controller.restore_in_flight = true;
    node->controller.restore_sent_at = amb_now();
    amb_store_list(&node->store, "b/", node->controller.restore_cursor, load_page, node);
}

static void load_synced(void *arg, bool ok) {
    struct amb_node *node = arg;
    node->controller.restore_in_flight = false;
    if (!amb_election_has_leader_role(node) || !node->controller.restoring ||
        node->controller.restore_synced || !ok)
        return;
    node->controller.restore_synced = true;
    load_next(node);
}

static void load_tick(struct amb_node *node, amb_ms now) {
    struct amb_controller *c = &node->controller;
    if (c->restore_in_flight && now - c->restore_sent_at < node->store.call_timeout * 4) return;
    /* The catalogue first: records name types by its numbers. */
    if (!node->cloud.catalog_known || !amb_duties_ready(node)) return;
    c->restore_sent_at = now;
    c->restore_in_flight = true;
    if (!c->restore_synced)
        amb_watch_read_fresh(node, load_synced, node);
    else
        load_next(node);
}

void amb_controller_lead(struct amb_node *node) {
    struct amb_controller *c = &node->controller;
    c->leader_since = amb_now();
    c->restored_at = 0;
    c->ready = c->restore_synced = c->restore_in_flight = false;
    c->restoring = true;
    c->restore_cursor[0] = 0;
    c->restore_term = node->election.term;
    amb_duties_clear(node);
    c->cycle_at = c->plan_at = c->peak_at = 0;
    amb_wdrr_prepare(node->settings.teams, node->settings.nteams,
                     amb_wdrr_by_gpus(node->settings.teams, node->settings.nteams));
    for (uint32_t i = 0; i < node->settings.nteams; i++)
        memset(&node->settings.teams[i].used, 0, sizeof node->settings.teams[i].used);
}

void amb_controller_stop(struct amb_node *node, const char *cause) {
    struct amb_controller *c = &node->controller;
    amb_info("controller: stops leading: %s", cause);
    c->restoring = c->ready = false;
    c->restored_at = 0;
    amb_timer_stop(&c->cycle_timer);
    while (node->jobs.active) {
        struct amb_job *job = node->jobs.active;
        job->progress_done = job->done_count;
        job->progress_running = job->running_count;
        amb_job_deactivate(node, job);
    }
    amb_rental_clear(node);
    amb_duties_clear(node);
    amb_fleet_clear(node);
}

/* ---- events ---- */

static void hand_on(struct amb_node *node, const struct amb_event *event) {
    switch (event->type) {
    case AMB_EVENT_LEADERSHIP_GAINED: amb_controller_lead(node); break;
    case AMB_EVENT_LEADERSHIP_LOST: amb_controller_stop(node, event->cause); break;
    case AMB_EVENT_JOB_READY: amb_plan_demand(node, event->job); break;
    case AMB_EVENT_JOB_HAS_DEPENDENCIES: amb_pipeline_add_job(node, event->job); break;
    case AMB_EVENT_JOB_FINAL: amb_pipeline_remove_final(node, event->job); break;
    case AMB_EVENT_PLACEMENT_DURABLE: amb_answer_start(event->task); break;
    case AMB_EVENT_MACHINE_ADDED:
        amb_duties_machine_known(node, event->machine);
        amb_return_record_machine_known(node, event->machine);
        amb_image_locations_restore(node, event->machine);
        break;
    case AMB_EVENT_MACHINE_REMOVED: amb_machine_gone(node, event->machine, event->proof); break;
    case AMB_EVENT_DUTY_KEY_CHANGED:
        amb_duties_key(node, event->change.key, event->change.value, event->change.revision);
        break;
    case AMB_EVENT_STORE_LISTED: amb_duties_listed(node); break;
    case AMB_EVENT_CYCLE_REQUESTED: want_round(node); break;
    }
}

void amb_controller_attach(struct amb_node *node) {
    node->on_event = hand_on;
}

/* ---- the leader's turns ---- */

/* Report periods without a turn after which a node says that it stood still. */
static const double STOOD_STILL_REPORTS = 1;

/* For operators: what this node did not do meanwhile, others have done. (What was decided before acts on
 * nothing: due timers run first, and leases have ended by the clock.) */
static void note_standstill(struct amb_node *node, amb_ms now) {
    amb_ms since = now - node->controller.ticked_at;
    if (node->controller.ticked_at && since > amb_secs(node->settings.report_s * STOOD_STILL_REPORTS))
        amb_info("controller: this node stood still for %lld ms", (long long)since);
    node->controller.ticked_at = now;
}

static void tick(void *arg) {
    struct amb_node *node = arg;
    struct amb_controller *c = &node->controller;
    amb_ms now = amb_now();
    note_standstill(node, now);
    amb_timer_in(&c->timer, amb_secs(node->controller.tick_interval_s * 0.1), tick, node);
    amb_rental_tick(node, now);
    amb_lease_proxy_tick(node, now);
    amb_format_tick(node, now);
    amb_duties_tick(node, now);
    amb_cancellations_drop_specs(node, now);
    if (!amb_election_is_leader(node)) return;
    if (c->restoring) load_tick(node, now);
    amb_jobs_activate_unadmitted(node);
    amb_ms learn = amb_secs(node->settings.report_s * 1.3);
    bool waited = now - c->leader_since > learn && now - c->restored_at > learn / 2;
    /* What the wait is for may be known sooner: a fleet that starts has nothing to tell, and workers whose
     * node has died are here within a second or two. With reports every 4 s, waiting all the same cost 5 s of
     * the 10 s in which some work is to start, and of the first boots of a day. */
    if (c->restored_at && !c->ready && (waited || (node->cloud.listed && amb_fleet_learned(node)))) {
        amb_info("controller: ready to place, %lld ms after the lead was won",
                 (long long)(now - c->leader_since));
        c->ready = true;
        want_round(node);
    }
    amb_fleet_tick(node, now);
    if (c->ready &&
        (c->cycle_requested || now - c->cycle_at > amb_secs(node->controller.tick_interval_s * 0.5)))
        want_round(node);
    amb_placement_log_flush(node);
}

/* ---- the front ---- */

static bool healthy(struct amb_node *node) {
    amb_ms now = amb_now();
    if (!node->jobs.loaded) return false;
    /* The store refuses us alone: users are better served elsewhere. When it refuses everybody, staying in
     * lets them have an answer at once. */
    bool failing = node->store.last_failure_at > node->store.last_success_at &&
                   now - node->store.last_success_at > amb_secs(node->settings.report_s * 3);
    return !failing || !amb_election_peer_reaches_store(node, now);
}

static void request(void *arg, struct amb_http_req *request) {
    struct amb_node *node = arg;
    if (amb_fleet_request(node, request) || amb_user_request(node, request)) return;
    if (strcmp(request->path, "/healthz"))
        amb_reply_cbor(request, 404, NULL, 0);
    else if (strcmp(request->method, "GET"))
        amb_reply_cbor(request, 405, NULL, 0);
    else
        amb_reply_cbor(request, healthy(node) ? 200 : 503, NULL, 0);
}

enum { USER_BODY_MAX = 64 * 1024 }; /* the protocol's limit, workers' too */

int amb_node_start(struct amb_node *node, char *err, size_t cap) {
    amb_controller_attach(node);
    node->controller.tick_interval_s = amb_settings_beat(&node->settings);
    amb_election_init(node);
    amb_store_init(&node->store, &node->settings, amb_election_call_timeout(node));
    amb_rental_init(node);
    amb_zone_recovery_init(node);
    for (uint32_t i = 0; i < node->settings.nzones; i++)
        amb_catalog_find_or_add_zone(&node->catalog, node->settings.zones[i]);
    amb_http_client_limit(amb_capacity_max_outgoing(&node->settings));
    amb_http_response_limit(amb_memory_max_response_bytes(&node->settings));
    node->public_server = amb_server_open(node->settings.front, amb_capacity_max_incoming(&node->settings),
                                          USER_BODY_MAX, amb_secs(node->settings.lease_s * 6), request, node);
    if (!node->public_server) {
        snprintf(err, cap, "front %s can't be opened", node->settings.front);
        return -1;
    }
    amb_peer_start(node);
    amb_watch_start(node);
    tick(node);
    return 0;
}
