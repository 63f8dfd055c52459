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
    struct amb_node *n = arg;
    struct amb_controller *c = &n->ctl;
    if (!c->ready || !amb_may_start(n) || !n->rental.catalog_known) return;
    amb_ms now = amb_now();
    amb_wdrr_refill(n->set.teams, n->set.nteams, c->round_at ? (double)(now - c->round_at) / 1000 : 0);
    c->round_at = now;
    c->round_wanted = false;
    struct amb_round *r = amb_round_new(n, now);
    uint32_t started = amb_round_admit(r);
    bool planned = now - c->plan_at >= amb_secs(n->ctl.turn_s / 2);
    if (planned) {
        c->plan_at = now;
        amb_plan(r);
    }
    if (amb_log_on(AMB_DEBUG)) {
        double room = 0;
        for (uint32_t i = 0; i < r->nslots; i++) room += r->slots[i].room.gpus;
        amb_debug("round: %u jobs waited, %u tasks or gangs placed, %u machines, %g GPUs left, %lld ms%s",
                  r->njobs, started, r->nslots, room, (long long)(amb_now() - now),
                  planned ? " with a plan" : "");
    }
    amb_round_free(r);
    if (started) amb_record_pump(n);
}

static void want_round(struct amb_node *n) {
    n->ctl.round_wanted = true;
    if (!n->ctl.ready || n->ctl.round_timer.slot) return;
    /* A moment's patience lets news that comes together be handled together. */
    amb_timer_in(&n->ctl.round_timer, amb_secs(n->ctl.turn_s * 0.05), run_round, n);
}

/* ---- taking over ---- */

static void load_next(struct amb_node *n);

static void loaded_all(struct amb_node *n) {
    struct amb_job *j, *next;
    /* Heard of meanwhile: which machines are being returned must be known before anything is placed. */
    if (!amb_duties_ready(n)) {
        n->ctl.load_synced = false;
        return;
    }
    amb_duties_take_over(n);
    HASH_ITER(hh, n->jobs.all, j, next) {
        amb_plan_demand(n, j);
        if (j->state == AMB_JOB_QUEUED) amb_job_take_if_room(n, j);
    }
    n->ctl.loading = false;
    n->ctl.loaded_at = amb_now();
    uint32_t live = 0;
    for (j = n->jobs.live; j; j = j->next_live) live++;
    amb_info("controller: records read, %u jobs in care", live);
}

static void load_page(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *n = arg;
    if (!amb_holds_lead(n) || !n->ctl.loading || n->ctl.load_term != n->election.term) return;
    n->ctl.load_busy = false;
    const cbor_item_t *pairs = amb_cbor_get(body, "pairs");
    if (status != 200 || !pairs) return; /* the tick tries again */
    for (size_t i = 0; i < amb_cbor_len(pairs); i++) {
        const cbor_item_t *p = amb_cbor_at(pairs, i);
        char key[256];
        uint64_t stamp;
        if (!amb_cbor_str(amb_cbor_get(p, "path"), key, sizeof key) ||
            !amb_cbor_uint(amb_cbor_get(p, "stamp"), &stamp))
            continue;
        amb_record_load(n, key, amb_cbor_get(p, "value"), stamp);
        amb_rental_load(n, key, amb_cbor_get(p, "value"));
        amb_return_record_load(n, key, amb_cbor_get(p, "value"), stamp);
        amb_zone_record_load(n, key, amb_cbor_get(p, "value"), stamp);
        snprintf(n->ctl.load_after, sizeof n->ctl.load_after, "%s", key);
    }
    bool more = false;
    amb_cbor_bool(amb_cbor_get(body, "truncated"), &more);
    if (more && amb_cbor_len(pairs))
        load_next(n);
    else
        loaded_all(n);
}

static void load_next(struct amb_node *n) {
    n->ctl.load_busy = true;
    n->ctl.load_at = amb_now();
    amb_store_list(&n->store, "b/", n->ctl.load_after, load_page, n);
}

static void load_synced(void *arg, bool ok) {
    struct amb_node *n = arg;
    n->ctl.load_busy = false;
    if (!amb_holds_lead(n) || !n->ctl.loading || n->ctl.load_synced || !ok) return;
    n->ctl.load_synced = true;
    load_next(n);
}

static void load_tick(struct amb_node *n, amb_ms now) {
    struct amb_controller *c = &n->ctl;
    if (c->load_busy && now - c->load_at < n->store.call_timeout * 4) return;
    /* The catalogue first: records name types by its numbers. */
    if (!n->rental.catalog_known || !amb_duties_ready(n)) return;
    c->load_at = now;
    c->load_busy = true;
    if (!c->load_synced)
        amb_jobs_sync(n, load_synced, n);
    else
        load_next(n);
}

void amb_controller_lead(struct amb_node *n) {
    struct amb_controller *c = &n->ctl;
    c->leading_since = amb_now();
    c->loaded_at = 0;
    c->ready = c->load_synced = c->load_busy = false;
    c->loading = true;
    c->load_after[0] = 0;
    c->load_term = n->election.term;
    amb_duties_clear(n);
    c->round_at = c->plan_at = c->peak_at = 0;
    amb_wdrr_prepare(n->set.teams, n->set.nteams, amb_wdrr_by_gpus(n->set.teams, n->set.nteams));
    for (uint32_t i = 0; i < n->set.nteams; i++)
        memset(&n->set.teams[i].used, 0, sizeof n->set.teams[i].used);
}

void amb_controller_stop(struct amb_node *n, const char *cause) {
    struct amb_controller *c = &n->ctl;
    amb_info("controller: stops leading: %s", cause);
    c->loading = c->ready = false;
    c->loaded_at = 0;
    amb_timer_stop(&c->round_timer);
    while (n->jobs.live) {
        struct amb_job *j = n->jobs.live;
        j->shown_done = j->ndone;
        j->shown_running = j->nrunning;
        amb_job_leave(n, j);
    }
    amb_rental_clear(n);
    amb_duties_clear(n);
    amb_fleet_clear(n);
}

/* ---- events ---- */

static void hand_on(struct amb_node *n, const struct amb_event *event) {
    switch (event->type) {
    case AMB_EVENT_LEAD_WON: amb_controller_lead(n); break;
    case AMB_EVENT_LEAD_LOST: amb_controller_stop(n, event->cause); break;
    case AMB_EVENT_JOB_KNOWN: amb_plan_demand(n, event->job); break;
    case AMB_EVENT_JOB_AWAITS: amb_pipeline_accepted(n, event->job); break;
    case AMB_EVENT_JOB_OVER: amb_pipeline_over(n, event->job); break;
    case AMB_EVENT_TASK_RECORDED: amb_answer_start(event->task); break;
    case AMB_EVENT_MACHINE_KNOWN:
        amb_duties_machine_known(n, event->machine);
        amb_return_record_machine_known(n, event->machine);
        amb_peer_images_recall(n, event->machine);
        break;
    case AMB_EVENT_MACHINE_GONE: amb_machine_gone(n, event->machine, event->proof); break;
    case AMB_EVENT_DUTY_KEY_CHANGED:
        amb_duties_key(n, event->change.key, event->change.value, event->change.stamp);
        break;
    case AMB_EVENT_STORE_LISTED: amb_duties_listed(n); break;
    case AMB_EVENT_ROUND_WANTED: want_round(n); break;
    }
}

void amb_controller_attach(struct amb_node *n) {
    n->on_event = hand_on;
}

/* ---- the leader's turns ---- */

/* Report periods without a turn after which a node says that it stood still. */
static const double STOOD_STILL_REPORTS = 1;

/* For operators: what this node did not do meanwhile, others have done. (What was decided before acts on
 * nothing: due timers run first, and leases have ended by the clock.) */
static void note_standstill(struct amb_node *n, amb_ms now) {
    amb_ms since = now - n->ctl.ticked_at;
    if (n->ctl.ticked_at && since > amb_secs(n->set.report_s * STOOD_STILL_REPORTS))
        amb_info("controller: this node stood still for %lld ms", (long long)since);
    n->ctl.ticked_at = now;
}

static void tick(void *arg) {
    struct amb_node *n = arg;
    struct amb_controller *c = &n->ctl;
    amb_ms now = amb_now();
    note_standstill(n, now);
    amb_timer_in(&c->timer, amb_secs(n->ctl.turn_s * 0.1), tick, n);
    amb_rental_tick(n, now);
    amb_deputy_tick(n, now);
    amb_format_tick(n, now);
    amb_duties_tick(n, now);
    amb_cancellations_drop_descriptions(n, now);
    if (!amb_leads(n)) return;
    if (c->loading) load_tick(n, now);
    amb_jobs_take_left_out(n);
    amb_ms learn = amb_secs(n->set.report_s * 1.3);
    bool waited = now - c->leading_since > learn && now - c->loaded_at > learn / 2;
    /* What the wait is for may be known sooner: a fleet that starts has nothing to tell, and workers whose
     * node has died are here within a second or two. With reports every 4 s, waiting all the same cost 5 s of
     * the 10 s in which some work is to start, and of the first boots of a day. */
    if (c->loaded_at && !c->ready && (waited || (n->rental.listed && amb_fleet_learned(n)))) {
        amb_info("controller: ready to place, %lld ms after the lead was won",
                 (long long)(now - c->leading_since));
        c->ready = true;
        want_round(n);
    }
    amb_fleet_tick(n, now);
    if (c->ready && (c->round_wanted || now - c->round_at > amb_secs(n->ctl.turn_s * 0.5))) want_round(n);
    amb_record_pump(n);
}

/* ---- the front ---- */

static bool healthy(struct amb_node *n) {
    amb_ms now = amb_now();
    if (!n->jobs.loaded) return false;
    /* The store refuses us alone: users are better served elsewhere. When it refuses everybody, staying in
     * lets them have an answer at once. */
    bool failing =
        n->store.failed_at > n->store.ok_at && now - n->store.ok_at > amb_secs(n->set.report_s * 3);
    return !failing || !amb_peer_store_ok(n, now);
}

static void request(void *arg, struct amb_http_req *req) {
    struct amb_node *n = arg;
    if (amb_fleet_request(n, req) || amb_user_request(n, req)) return;
    if (strcmp(req->path, "/healthz"))
        amb_reply_cbor(req, 404, NULL, 0);
    else if (strcmp(req->method, "GET"))
        amb_reply_cbor(req, 405, NULL, 0);
    else
        amb_reply_cbor(req, healthy(n) ? 200 : 503, NULL, 0);
}

enum { USER_BODY_MAX = 64 * 1024 }; /* the protocol's limit, workers' too */

int amb_node_start(struct amb_node *n, char *err, size_t cap) {
    amb_controller_attach(n);
    n->ctl.turn_s = amb_settings_beat(&n->set);
    amb_election_init(n);
    amb_store_init(&n->store, &n->set, amb_election_patience(n));
    amb_rental_init(n);
    amb_zone_recovery_init(n);
    for (uint32_t i = 0; i < n->set.nzones; i++) amb_catalog_zone(&n->catalog, n->set.zones[i]);
    amb_http_client_limit(amb_capacity_outgoing(&n->set));
    amb_http_response_limit(amb_memory_answer(&n->set));
    n->front = amb_server_open(n->set.front, amb_capacity_incoming(&n->set), USER_BODY_MAX,
                               amb_secs(n->set.lease_s * 6), request, n);
    if (!n->front) {
        snprintf(err, cap, "front %s can't be opened", n->set.front);
        return -1;
    }
    amb_peer_init(n);
    amb_jobs_init(n);
    tick(n);
    return 0;
}
