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
    struct amb_controller *c = &node->ctl;
    if (!c->ready || !amb_election_may_act(node) || !node->rental.catalog_known) return;
    amb_ms now = amb_now();
    amb_wdrr_refill(node->set.teams, node->set.nteams, c->round_at ? (double)(now - c->round_at) / 1000 : 0);
    c->round_at = now;
    c->round_wanted = false;
    struct amb_round *cycle = amb_round_new(node, now);
    uint32_t started = amb_round_admit(cycle);
    bool planned = now - c->plan_at >= amb_secs(node->ctl.turn_s / 2);
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
    if (started) amb_record_pump(node);
}

static void want_round(struct amb_node *node) {
    node->ctl.round_wanted = true;
    if (!node->ctl.ready || node->ctl.round_timer.slot) return;
    /* A moment's patience lets news that comes together be handled together. */
    amb_timer_in(&node->ctl.round_timer, amb_secs(node->ctl.turn_s * 0.05), run_round, node);
}

/* ---- taking over ---- */

static void load_next(struct amb_node *node);

static void loaded_all(struct amb_node *node) {
    struct amb_job *job, *next;
    /* Heard of meanwhile: which machines are being returned must be known before anything is placed. */
    if (!amb_duties_ready(node)) {
        node->ctl.load_synced = false;
        return;
    }
    amb_duties_take_over(node);
    HASH_ITER(hh, node->jobs.all, job, next) {
        amb_plan_demand(node, job);
        if (job->state == AMB_JOB_QUEUED) amb_job_take_if_room(node, job);
    }
    node->ctl.loading = false;
    node->ctl.loaded_at = amb_now();
    uint32_t live = 0;
    for (job = node->jobs.live; job; job = job->next_live) live++;
    amb_info("controller: records read, %u jobs in care", live);
}

static void load_page(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = arg;
    if (!amb_election_has_leader_role(node) || !node->ctl.loading ||
        node->ctl.load_term != node->election.term)
        return;
    node->ctl.load_busy = false;
    const cbor_item_t *pairs = amb_cbor_get(body, "pairs");
    if (status != 200 || !pairs) return; /* the tick tries again */
    for (size_t i = 0; i < amb_cbor_len(pairs); i++) {
        const cbor_item_t *p = amb_cbor_at(pairs, i);
        char key[256];
        uint64_t stamp;
        if (!amb_cbor_str(amb_cbor_get(p, "path"), key, sizeof key) ||
            !amb_cbor_uint(amb_cbor_get(p, "stamp"), &stamp))
            continue;
        amb_record_load(node, key, amb_cbor_get(p, "value"), stamp);
        amb_rental_load(node, key, amb_cbor_get(p, "value"));
        amb_return_record_load(node, key, amb_cbor_get(p, "value"), stamp);
        amb_zone_record_load(node, key, amb_cbor_get(p, "value"), stamp);
        snprintf(node->ctl.load_after, sizeof node->ctl.load_after, "%s", key);
    }
    bool more = false;
    amb_cbor_bool(amb_cbor_get(body, "truncated"), &more);
    if (more && amb_cbor_len(pairs))
        load_next(node);
    else
        loaded_all(node);
}

static void load_next(struct amb_node *node) {
    node->ctl.load_busy = true;
    node->ctl.load_at = amb_now();
    amb_store_list(&node->store, "b/", node->ctl.load_after, load_page, node);
}

static void load_synced(void *arg, bool ok) {
    struct amb_node *node = arg;
    node->ctl.load_busy = false;
    if (!amb_election_has_leader_role(node) || !node->ctl.loading || node->ctl.load_synced || !ok) return;
    node->ctl.load_synced = true;
    load_next(node);
}

static void load_tick(struct amb_node *node, amb_ms now) {
    struct amb_controller *c = &node->ctl;
    if (c->load_busy && now - c->load_at < node->store.call_timeout * 4) return;
    /* The catalogue first: records name types by its numbers. */
    if (!node->rental.catalog_known || !amb_duties_ready(node)) return;
    c->load_at = now;
    c->load_busy = true;
    if (!c->load_synced)
        amb_jobs_sync(node, load_synced, node);
    else
        load_next(node);
}

void amb_controller_lead(struct amb_node *node) {
    struct amb_controller *c = &node->ctl;
    c->leading_since = amb_now();
    c->loaded_at = 0;
    c->ready = c->load_synced = c->load_busy = false;
    c->loading = true;
    c->load_after[0] = 0;
    c->load_term = node->election.term;
    amb_duties_clear(node);
    c->round_at = c->plan_at = c->peak_at = 0;
    amb_wdrr_prepare(node->set.teams, node->set.nteams, amb_wdrr_by_gpus(node->set.teams, node->set.nteams));
    for (uint32_t i = 0; i < node->set.nteams; i++)
        memset(&node->set.teams[i].used, 0, sizeof node->set.teams[i].used);
}

void amb_controller_stop(struct amb_node *node, const char *cause) {
    struct amb_controller *c = &node->ctl;
    amb_info("controller: stops leading: %s", cause);
    c->loading = c->ready = false;
    c->loaded_at = 0;
    amb_timer_stop(&c->round_timer);
    while (node->jobs.live) {
        struct amb_job *job = node->jobs.live;
        job->shown_done = job->ndone;
        job->shown_running = job->nrunning;
        amb_job_leave(node, job);
    }
    amb_rental_clear(node);
    amb_duties_clear(node);
    amb_fleet_clear(node);
}

/* ---- events ---- */

static void hand_on(struct amb_node *node, const struct amb_event *event) {
    switch (event->type) {
    case AMB_EVENT_LEAD_WON: amb_controller_lead(node); break;
    case AMB_EVENT_LEAD_LOST: amb_controller_stop(node, event->cause); break;
    case AMB_EVENT_JOB_KNOWN: amb_plan_demand(node, event->job); break;
    case AMB_EVENT_JOB_AWAITS: amb_pipeline_accepted(node, event->job); break;
    case AMB_EVENT_JOB_OVER: amb_pipeline_over(node, event->job); break;
    case AMB_EVENT_TASK_RECORDED: amb_answer_start(event->task); break;
    case AMB_EVENT_MACHINE_KNOWN:
        amb_duties_machine_known(node, event->machine);
        amb_return_record_machine_known(node, event->machine);
        amb_peer_images_recall(node, event->machine);
        break;
    case AMB_EVENT_MACHINE_GONE: amb_machine_gone(node, event->machine, event->proof); break;
    case AMB_EVENT_DUTY_KEY_CHANGED:
        amb_duties_key(node, event->change.key, event->change.value, event->change.stamp);
        break;
    case AMB_EVENT_STORE_LISTED: amb_duties_listed(node); break;
    case AMB_EVENT_ROUND_WANTED: want_round(node); break;
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
    amb_ms since = now - node->ctl.ticked_at;
    if (node->ctl.ticked_at && since > amb_secs(node->set.report_s * STOOD_STILL_REPORTS))
        amb_info("controller: this node stood still for %lld ms", (long long)since);
    node->ctl.ticked_at = now;
}

static void tick(void *arg) {
    struct amb_node *node = arg;
    struct amb_controller *c = &node->ctl;
    amb_ms now = amb_now();
    note_standstill(node, now);
    amb_timer_in(&c->timer, amb_secs(node->ctl.turn_s * 0.1), tick, node);
    amb_rental_tick(node, now);
    amb_lease_proxy_tick(node, now);
    amb_format_tick(node, now);
    amb_duties_tick(node, now);
    amb_cancellations_drop_descriptions(node, now);
    if (!amb_election_is_leader(node)) return;
    if (c->loading) load_tick(node, now);
    amb_jobs_take_left_out(node);
    amb_ms learn = amb_secs(node->set.report_s * 1.3);
    bool waited = now - c->leading_since > learn && now - c->loaded_at > learn / 2;
    /* What the wait is for may be known sooner: a fleet that starts has nothing to tell, and workers whose
     * node has died are here within a second or two. With reports every 4 s, waiting all the same cost 5 s of
     * the 10 s in which some work is to start, and of the first boots of a day. */
    if (c->loaded_at && !c->ready && (waited || (node->rental.listed && amb_fleet_learned(node)))) {
        amb_info("controller: ready to place, %lld ms after the lead was won",
                 (long long)(now - c->leading_since));
        c->ready = true;
        want_round(node);
    }
    amb_fleet_tick(node, now);
    if (c->ready && (c->round_wanted || now - c->round_at > amb_secs(node->ctl.turn_s * 0.5)))
        want_round(node);
    amb_record_pump(node);
}

/* ---- the front ---- */

static bool healthy(struct amb_node *node) {
    amb_ms now = amb_now();
    if (!node->jobs.loaded) return false;
    /* The store refuses us alone: users are better served elsewhere. When it refuses everybody, staying in
     * lets them have an answer at once. */
    bool failing = node->store.last_failure_at > node->store.last_success_at &&
                   now - node->store.last_success_at > amb_secs(node->set.report_s * 3);
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
    node->ctl.turn_s = amb_settings_beat(&node->set);
    amb_election_init(node);
    amb_store_init(&node->store, &node->set, amb_election_call_timeout(node));
    amb_rental_init(node);
    amb_zone_recovery_init(node);
    for (uint32_t i = 0; i < node->set.nzones; i++) amb_catalog_zone(&node->catalog, node->set.zones[i]);
    amb_http_client_limit(amb_capacity_outgoing(&node->set));
    amb_http_response_limit(amb_memory_answer(&node->set));
    node->front = amb_server_open(node->set.front, amb_capacity_incoming(&node->set), USER_BODY_MAX,
                                  amb_secs(node->set.lease_s * 6), request, node);
    if (!node->front) {
        snprintf(err, cap, "front %s can't be opened", node->set.front);
        return -1;
    }
    amb_peer_init(node);
    amb_jobs_init(node);
    tick(node);
    return 0;
}
