#include "amberpin/cancel_notice.h"
#include "amberpin/log.h"
#include "amberpin/node.h"
#include "amberpin/place.h"
#include "amberpin/wdrr.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ORDERS_MAX = 256, ORDERS_PUSHED = 32, MISSES_MAX = 2 };

struct amb_held {
    struct amb_node *node;
    struct amb_machine *machine;
    struct amb_http_req *req;
    struct amb_timer timer;
};

static void drop_held(struct amb_node *n, struct amb_machine *m);

/* ---- machines ---- */

static bool is_gone(const struct amb_node *n, const char *name) {
    struct amb_gone *g;
    HASH_FIND_STR(n->fleet.gone, name, g);
    return g != NULL;
}

struct amb_machine *amb_machine_get(struct amb_node *n, const char *name, bool create) {
    struct amb_machine *m;
    HASH_FIND_STR(n->fleet.all, name, m);
    if (m || !create || is_gone(n, name) || strlen(name) >= AMB_NAME) return m;
    m = amb_alloc(sizeof *m);
    strcpy(m->name, name);
    m->state = AMB_MACHINE_UNPROVEN;
    m->type = m->zone = m->kept_for = -1;
    m->known_at = m->first_at = m->state_at = m->idle_since = amb_now();
    HASH_ADD_STR(n->fleet.all, name, m);
    amb_peer_recall_images(n, m);
    return m;
}

void amb_machine_learn_zone(struct amb_machine *m, int zone) {
    if (m->zone >= 0 || zone < 0) return;
    m->zone = zone;
    for (struct amb_task *t = m->tasks; t; t = t->next) t->job->zone_used[zone]++;
}

void amb_machine_state(struct amb_machine *m, enum amb_machine_state to, const char *cause) {
    static const char *const names[] = {"booting", "unproven", "up", "silent", "releasing"};
    if (m->state == to) return;
    if (m->state == AMB_MACHINE_RELEASING) return; /* a release that was asked for may still be carried out */
    amb_info("machine %s: %s -> %s: %s", m->name, names[m->state], names[to], cause);
    m->state = to;
    m->state_at = amb_now();
}

static void lose_tasks(struct amb_node *n, struct amb_machine *m, enum amb_absence proof) {
    const char *cause = amb_absence_name(proof);
    while (m->tasks) {
        struct amb_task *t = m->tasks;
        struct amb_job *j = t->job;
        t->lost = true;
        amb_info("task %s/%u on %s: lost: %s", j->ref, t->index, m->name, cause);
        amb_task_unbind(n, t, cause);
        if (j->spec->kind == AMB_GANG && j->nbound) amb_gang_tear(n, j, "a task is lost");
    }
}

/* Proven: the machine and all on it are no more. */
void amb_machine_gone(struct amb_node *n, struct amb_machine *m, enum amb_absence proof) {
    amb_info("machine %s: gone: %s", m->name, amb_absence_name(proof));
    lose_tasks(n, m, proof);
    struct amb_gone *g = amb_alloc(sizeof *g);
    strcpy(g->name, m->name);
    HASH_ADD_STR(n->fleet.gone, name, g);
    drop_held(n, m);
    HASH_DEL(n->fleet.all, m);
    free(m);
    amb_controller_wake(n);
}

void amb_fleet_clear(struct amb_node *n) {
    struct amb_machine *m, *next;
    HASH_ITER(hh, n->fleet.all, m, next) {
        drop_held(n, m);
        /* NOLINTNEXTLINE(clang-analyzer-*): the head moves in HASH_DEL, which the analyzer does not see */
        HASH_DEL(n->fleet.all, m);
        free(m);
    }
    memset(n->fleet.sight, 0, sizeof n->fleet.sight);
}

bool amb_machine_has_image(const struct amb_machine *m, const char *image) {
    for (uint32_t i = 0; i < m->nimages; i++)
        if (!strcmp(m->images[i], image)) return true;
    return false;
}

/* What the machine's cache is thought to hold: the most recently used images that fit in it. */
void amb_machine_use_image(struct amb_node *n, struct amb_machine *m, const char *image, double gb) {
    if (amb_latest_first(m->images, m->image_gb, &m->nimages, AMB_IMAGES, image, gb))
        m->images_changed = true;
    double room = m->type >= 0 ? n->catalog.types[m->type].cache_gb : 0;
    for (uint32_t i = 0; room > 0 && i < m->nimages; i++) {
        room -= m->image_gb[i];
        if (room < 0 && i) m->nimages = i;
    }
}

bool amb_machine_usable(const struct amb_node *n, const struct amb_machine *m, amb_ms now) {
    return m->state == AMB_MACHINE_UP && !m->release_wanted && !m->drain && !m->notice_until &&
           now >= m->avoid_until && m->type >= 0 && m->zone >= 0 &&
           now - m->reported_at < amb_secs(n->set.report_s * 3);
}

/* ---- reports ---- */

struct answer {
    struct amb_order *orders;
    size_t cap, n;
};

static void order(struct answer *a, enum amb_op op, const char *ref, uint32_t index, uint64_t attempt,
                  double grace) {
    if (a->n == a->cap) return; /* the rest goes out with the next report */
    struct amb_order *o = &a->orders[a->n++];
    o->op = op;
    strcpy(o->ref, ref);
    o->index = index;
    o->attempt = attempt;
    o->grace_s = grace;
}

static void suspect(struct amb_node *n, struct amb_machine *m, double seconds, const char *cause) {
    amb_ms until = amb_now() + amb_secs(seconds);
    if (until > m->avoid_until) m->avoid_until = until;
    amb_info("machine %s: no new tasks for %g s: %s", m->name, seconds, cause);
    (void)n;
}

static void failed(struct amb_node *n, struct amb_task *t, struct amb_machine *m) {
    struct amb_job *j = t->job;
    j->errors++;
    /* A job with a mistake in it fails everywhere; a bad machine fails every job. After a few failures in a
     * row without a success the job is the suspect, and machines are no longer blamed for it. */
    if (j->errors <= 3) {
        m->faults++;
        suspect(n, m, n->set.lease_s * m->faults, "a task failed on it");
    }
    uint32_t shift = j->errors < 6 ? j->errors : 6;
    double pause = j->errors < 3 ? 0 : n->set.report_s * (double)(1u << shift);
    j->hold_until = amb_now() + amb_secs(pause);
    if (m->faults >= 3 && !m->good) amb_rental_release(n, m, "tasks keep failing on it");
}

static void exited(struct amb_node *n, struct amb_task *t, const struct amb_seen *s) {
    struct amb_machine *m = t->machine;
    struct amb_job *j = t->job;
    bool gang = j->spec->kind == AMB_GANG;
    bool stopping = t->halting;
    static const char *const names[] = {"?",     "done",    "stopped", "peers",  "incomplete",
                                        "error", "no room", "busy",    "unknown"};
    amb_info("task %s/%u try %llu on %s: exited, %s%s", j->ref, t->index, (unsigned long long)t->attempt,
             m->name, names[s->why], s->saved ? ", saved" : "");
    if (s->why == AMB_WHY_DONE) {
        j->errors = 0;
        m->good++;
        m->faults = 0;
        amb_task_finish(n, t);
    }
    /* The cause decides before the task is let go, so that the next round knows it. */
    if (j->state == AMB_JOB_QUEUED) {
        if (s->why == AMB_WHY_ERROR) failed(n, t, m);
        if (s->why == AMB_WHY_NO_ROOM || s->why == AMB_WHY_BUSY)
            suspect(n, m, n->set.report_s * 2, "it refused a task");
        if (s->why == AMB_WHY_UNKNOWN) j->hold_until = amb_now() + amb_secs(n->set.report_s * 2);
        if (s->why != AMB_WHY_DONE && !stopping) t->lost = true;
    }
    amb_task_unbind(n, t, "it exited");
    if (gang && j->nbound && s->why != AMB_WHY_DONE && !(stopping && j->gang == AMB_GANG_STOPPING))
        amb_gang_tear(n, j, "a task of the attempt exited");
}

static bool gang_recorded(const struct amb_job *j) {
    for (uint32_t i = 0; i < j->spec->tasks; i++) {
        const struct amb_task *t = &j->tasks[i];
        if (!t->done && (!t->machine || t->state == AMB_TASK_PLACED)) return false;
    }
    return true;
}

static void gang_look(struct amb_job *j) {
    if (j->gang != AMB_GANG_STARTING) return;
    for (uint32_t i = 0; i < j->spec->tasks; i++) {
        const struct amb_task *t = &j->tasks[i];
        if (t->state != AMB_TASK_SEEN || t->on != AMB_ON_RUNNING) return;
    }
    amb_gang_state(j, AMB_GANG_RUNNING, "all its tasks run");
}

static void seen(struct amb_node *n, struct amb_task *t, const struct amb_seen *s) {
    struct amb_job *j = t->job;
    if (t->state != AMB_TASK_SEEN) {
        amb_task_state(n, t, AMB_TASK_SEEN, "reported");
        t->misses = 0;
    }
    t->on = s->on;
    bool runs = s->on == AMB_ON_RUNNING || s->on == AMB_ON_SAVING;
    if (runs && !t->running_at) {
        amb_info("task %s/%u try %llu on %s: runs", j->ref, t->index, (unsigned long long)t->attempt,
                 t->machine->name);
        t->lost = false;
    }
    amb_task_running(t, runs);
    if (s->on != AMB_ON_FETCHING) amb_machine_use_image(n, t->machine, j->spec->image, j->spec->image_gb);
    if (j->spec->kind == AMB_GANG) gang_look(j);
    if (t->running_at && amb_now() - t->running_at > amb_secs(n->set.report_s * 5)) {
        j->errors = 0;
        t->machine->good++;
    }
}

/* listed: as the report names the task with this attempt; NULL: it does not. */
static enum amb_absence absence_by_report(struct amb_report_evidence report, const struct amb_task *t,
                                          const struct amb_seen *listed) {
    report.recorded = t->state == AMB_TASK_BOUND || t->state == AMB_TASK_SEEN;
    report.listed = listed != NULL;
    report.exited = listed && listed->on == AMB_ON_EXITED;
    return amb_absence_by_report(&report);
}

static void listed_task(struct amb_node *n, struct amb_machine *m, const struct amb_seen *s,
                        struct amb_report_evidence report, struct answer *a) {
    bool proven = report.report_term == report.our_term;
    struct amb_job *j = amb_job_find(n, s->ref);
    struct amb_task *t = j && j->live && s->index < j->spec->tasks ? &j->tasks[s->index] : NULL;
    if (t && t->machine == m && t->attempt == s->attempt && t->state != AMB_TASK_PLACED) {
        t->mark = n->fleet.marks;
        if (s->on != AMB_ON_EXITED) {
            seen(n, t, s);
            if (proven && t->halting) order(a, AMB_OP_HALT, s->ref, s->index, s->attempt, t->grace_s);
            return;
        }
        if (!amb_absence_proven(absence_by_report(report, t, s))) return;
        exited(n, t, s);
    } else if (s->on != AMB_ON_EXITED) {
        /* Nothing on record puts it here: an attempt that was given up. */
        if (proven) order(a, AMB_OP_HALT, s->ref, s->index, s->attempt, 0);
        return;
    }
    if (!proven) return;
    /* A result is cleared only once it is on record, or else a new leader would run the task again. */
    if (t && t->done && s->why == AMB_WHY_DONE && !t->done_saved && j->state == AMB_JOB_QUEUED) return;
    if (!t && !j && s->why == AMB_WHY_DONE) return; /* the cache may be behind */
    order(a, AMB_OP_CLEAR, s->ref, s->index, s->attempt, 0);
}

/* An earlier leader may have known the task gone and given its room away: records are not written for every
 * exit. It may start where the record says only if the limits hold with all that is not proven absent. */
static bool still_fits(const struct amb_node *n, const struct amb_task *t) {
    const struct amb_job *j = t->job;
    const struct amb_machine *m = t->machine;
    if (j->spec->kind == AMB_GANG || m->type < 0 || m->zone < 0) return false;
    if (!amb_wdrr_within_limit(j->team, &j->spec->each, 0)) return false;
    if (!amb_res_fits(&m->used, &n->catalog.types[m->type].size)) return false;
    uint32_t in_zone = j->zone_used[m->zone] + amb_job_tasks_in_unknown_zones(j); /* at most */
    if (j->spec->spread && in_zone > amb_place_spread_most(j->spec->tasks)) return false;
    return !j->spec->one_zone || j->zone_used[m->zone] == j->nbound;
}

/* In the answer to the machine's latest report. */
static void order_start(struct amb_node *n, struct amb_machine *m, struct amb_task *t, struct answer *a) {
    struct amb_job *j = t->job;
    if (!amb_may_start(n) || !n->ctl.ready || m->release_wanted || m->state == AMB_MACHINE_RELEASING) return;
    if (j->spec->kind == AMB_GANG && !gang_recorded(j)) return;
    if (amb_cancel_is_pending(n, j)) return;
    t->sent = true;
    order(a, AMB_OP_RUN, j->ref, t->index, t->attempt, 0);
}

/* A task that a report with our token does not list, proven absent by that. */
static void unlisted(struct amb_node *n, struct amb_machine *m, struct amb_task *t, struct answer *a) {
    struct amb_job *j = t->job;
    if (t->state == AMB_TASK_SEEN) {
        t->lost = true;
        amb_info("task %s/%u on %s: no longer there", j->ref, t->index, m->name);
        amb_task_unbind(n, t, "its machine no longer reports it");
        if (j->spec->kind == AMB_GANG && j->nbound) amb_gang_tear(n, j, "a task is lost");
        return;
    }
    /* BOUND. The report is newer than any answer that carried the order, so the task is not there. */
    if (t->halting || j->state != AMB_JOB_QUEUED) {
        amb_task_unbind(n, t, "told to stop, and not there");
        return;
    }
    if (t->foreign && !still_fits(n, t)) {
        t->lost = j->spec->kind == AMB_SERVICE;
        amb_task_unbind(n, t, "placed by an earlier leader, not there, and its place may be taken");
        if (j->spec->kind == AMB_GANG && j->nbound) amb_gang_tear(n, j, "a task is not there");
        return;
    }
    if (t->sent && ++t->misses >= MISSES_MAX) {
        /* Its reports arrive, but it does not act on answers. */
        suspect(n, m, n->set.lease_s, "it does not act on orders");
        t->lost = true;
        amb_task_unbind(n, t, "its machine did not start it");
        if (j->spec->kind == AMB_GANG && j->nbound) amb_gang_tear(n, j, "a task was not started");
        return;
    }
    order_start(n, m, t, a);
}

static void notice(struct amb_node *n, struct amb_machine *m, double left_s, amb_ms now) {
    if (!m->notice_until) amb_info("machine %s: the cloud takes it back in %g s", m->name, left_s);
    bool first = !m->notice_until;
    m->notice_until = now + amb_secs(left_s);
    if (!first) return;
    for (struct amb_task *t = m->tasks, *next; t; t = next) {
        next = t->next;
        struct amb_job *j = t->job;
        if (j->spec->checkpoint_s <= 0 || j->spec->save_s >= left_s) continue; /* nothing to save in time */
        if (j->spec->kind == AMB_GANG) {
            if (j->gang != AMB_GANG_RUNNING) continue;
            amb_gang_state(j, AMB_GANG_STOPPING, "a machine of it is taken back");
            for (uint32_t i = 0; i < j->spec->tasks; i++)
                amb_task_halt(n, &j->tasks[i], j->spec->save_s, "its gang saves");
        } else {
            amb_task_halt(n, t, j->spec->save_s, "its machine is taken back");
        }
    }
}

/* A cancelled job's tasks are told to stop by whoever answers their machine, a deputy or a leader that has
 * not read the records yet too: its answer keeps them alive. */
static void halt_cancelled(struct amb_node *n, const struct amb_report *r, struct answer *a) {
    for (size_t i = 0; i < r->ntasks; i++) {
        const struct amb_seen *s = &r->tasks[i];
        const struct amb_job *j = amb_job_find(n, s->ref);
        if (s->on != AMB_ON_EXITED && j && j->state == AMB_JOB_CANCELLED)
            order(a, AMB_OP_HALT, s->ref, s->index, s->attempt, 0);
    }
}

static struct amb_report_order order_of(const struct amb_report *r) {
    return (struct amb_report_order){r->session, r->seq};
}

static struct amb_report_order newest_seen(const struct amb_machine *m) {
    return (struct amb_report_order){m->session, m->seq};
}

bool amb_fleet_report(struct amb_node *n, const struct amb_report *r, amb_ms now, struct amb_order *orders,
                      size_t cap, size_t *count) {
    struct answer a = {orders, cap, 0};
    *count = 0;
    if (r->token > n->election.term) return false;
    struct amb_machine *m = amb_machine_get(n, r->machine, true);
    if (!m) return true; /* gone: a late copy */
    if (m->type < 0 && r->type[0]) m->type = amb_catalog_type(&n->catalog, r->type);
    if (m->zone < 0) amb_machine_learn_zone(m, amb_catalog_zone(&n->catalog, r->zone));
    m->spot = r->spot;
    strcpy(m->addr, r->addr);
    /* Whoever asked gets an answer and may take it as a renewal: so the lease counts from now, even when
     * the report turns out to be a late copy. */
    m->answered_at = now;
    struct amb_report_order before = newest_seen(m);
    if (!amb_report_newer(order_of(r), before)) {
        amb_debug("machine %s: late copy of report %llu/%llu", m->name, (unsigned long long)r->session,
                  (unsigned long long)r->seq);
        return true;
    }
    m->session = r->session;
    m->seq = r->seq;
    m->reported_at = now;
    bool proven = r->token == n->election.term;
    if (!n->ctl.loaded_at) { /* the records are still being read */
        halt_cancelled(n, r, &a);
        *count = a.n;
        return true;
    }
    if (proven) {
        m->token_shown = true;
        amb_machine_state(m, AMB_MACHINE_UP, "it shows our token");
    } else if (m->state == AMB_MACHINE_BOOTING) {
        amb_machine_state(m, AMB_MACHINE_UNPROVEN, "it reports");
    }
    n->fleet.marks++;
    const struct amb_report_evidence report = {
        .report = order_of(r), .newest_seen = before, .report_term = r->token, .our_term = n->election.term};
    for (size_t i = 0; i < r->ntasks; i++) listed_task(n, m, &r->tasks[i], report, &a);
    if (proven)
        for (struct amb_task *t = m->tasks, *next; t; t = next) {
            /* A gang torn down meanwhile may take this machine's other tasks with it: begin again. */
            next = t->next;
            if (t->mark == n->fleet.marks) continue;
            t->mark = n->fleet.marks;
            if (!amb_absence_proven(absence_by_report(report, t, NULL))) continue;
            uint32_t ntasks = m->ntasks;
            unlisted(n, m, t, &a);
            if (m->ntasks != ntasks) next = m->tasks;
        }
    if (r->notice_s >= 0) notice(n, m, r->notice_s, now);
    *count = a.n;
    return true;
}

static void answer_report(struct amb_http_req *req, uint64_t term, const struct amb_order *orders,
                          size_t count) {
    struct amb_buf b = {0};
    amb_w_map(&b, 2);
    amb_w_str(&b, "baton");
    amb_w_uint(&b, term);
    amb_w_str(&b, "orders");
    amb_codec_put_orders(&b, orders, count);
    amb_reply_cbor(req, 200, &b, 0);
}

static void redirect(struct amb_node *n, struct amb_http_req *req) {
    const char *leader = amb_leader_name(n);
    if (n->election.role == AMB_ROLE_FENCED) {
        amb_reply_cbor(req, 503, NULL, 1);
        return;
    }
    struct amb_buf b = {0};
    amb_w_map(&b, leader ? 1 : 0);
    if (leader) {
        amb_w_str(&b, "harbour");
        amb_w_str(&b, leader);
    }
    amb_reply_cbor(req, 421, &b, 0);
}

/* ---- answers that wait for something to say ----
 * A start may only go out in the answer to a report, and a machine reports once a period: on the average an
 * order waited for half of one, of the few seconds in which some work is to start. So an answer that would
 * say nothing is kept for a part of the period. The worker would not report again meanwhile, whatever
 * changes: not sooner than half a period after its last report. */

static const double HOLD = 0.4; /* of the report period: the answer is back before the next may come */
/* The protocol: a worker drops an answer that comes after 4 s, however seldom it reports. */
static const double DROPPED_S = 4;

static void end_hold(struct amb_machine *m) {
    amb_timer_stop(&m->held->timer);
    free(m->held);
    m->held = NULL;
}

/* It says nothing, or that somebody else leads. */
static void drop_held(struct amb_node *n, struct amb_machine *m) {
    if (!m->held) return;
    struct amb_http_req *req = m->held->req;
    end_hold(m);
    if (amb_leads(n)) {
        m->answered_at = amb_now();
        answer_report(req, n->election.term, NULL, 0);
    } else {
        redirect(n, req);
    }
}

static void answer_held(void *arg) {
    static struct amb_order orders[ORDERS_MAX];
    struct amb_held *h = arg;
    struct amb_node *n = h->node;
    struct amb_machine *m = h->machine;
    struct amb_http_req *req = h->req;
    struct answer a = {orders, ORDERS_MAX, 0};
    if (!amb_leads(n) || !req->conn) { /* nobody would hear an order */
        drop_held(n, m);
        return;
    }
    end_hold(m);
    m->answered_at = amb_now();
    for (struct amb_task *t = m->tasks; t; t = t->next)
        if (t->state == AMB_TASK_BOUND && !t->sent && !t->foreign && !t->halting &&
            t->job->state == AMB_JOB_QUEUED)
            order_start(n, m, t, &a);
    answer_report(req, n->election.term, a.orders, a.n);
}

static void hold(struct amb_node *n, struct amb_machine *m, struct amb_http_req *req) {
    struct amb_held *h = amb_alloc(sizeof *h);
    h->node = n;
    h->machine = m;
    h->req = req;
    m->held = h;
    amb_timer_in(&h->timer, amb_secs(HOLD * (n->set.report_s < DROPPED_S ? n->set.report_s : DROPPED_S)),
                 answer_held, h);
}

void amb_fleet_tell(struct amb_task *t) {
    struct amb_job *j = t->job;
    if (j->spec->kind == AMB_GANG && !gang_recorded(j)) return;
    uint32_t first = j->spec->kind == AMB_GANG ? 0 : t->index;
    uint32_t last = j->spec->kind == AMB_GANG ? j->spec->tasks - 1 : t->index;
    /* From the loop, so that whoever calls this finds nothing changed under its hands. */
    for (uint32_t i = first; i <= last; i++) {
        struct amb_held *h = j->tasks[i].machine ? j->tasks[i].machine->held : NULL;
        if (h) amb_timer_in(&h->timer, 0, answer_held, h);
    }
}

bool amb_fleet_request(struct amb_node *n, struct amb_http_req *req) {
    if (strcmp(req->path, "/hello")) return false;
    if (strcmp(req->method, "POST")) {
        amb_reply_cbor(req, 405, NULL, 0);
        return true;
    }
    struct amb_report r;
    if (amb_codec_read_report(req->body, req->body_len, &r) != AMB_PARSE_OK) {
        amb_reply_cbor(req, 400, NULL, 0);
        return true;
    }
    n->fleet.last_report_at = amb_now();
    amb_election_saw_term(n, r.token, r.machine);
    static struct amb_order orders[ORDERS_MAX];
    size_t count = 0;
    if (!amb_leads(n) && amb_deputy_answers(n, &r)) {
        /* The leader can't be reached from here, but the workers of this zone can be kept alive. */
        struct answer a = {orders, ORDERS_MAX, 0};
        halt_cancelled(n, &r, &a);
        answer_report(req, n->deputy.term, a.orders, a.n);
    } else {
        struct amb_machine *m = amb_leads(n) ? amb_machine_get(n, r.machine, false) : NULL;
        bool newer = m && amb_report_newer(order_of(&r), newest_seen(m));
        if (newer) drop_held(n, m); /* the worker no longer waits for that one */
        if (!amb_leads(n) || !amb_fleet_report(n, &r, amb_now(), orders, ORDERS_MAX, &count))
            redirect(n, req);
        else if (newer && !count && n->ctl.ready && m->state == AMB_MACHINE_UP && !m->release_wanted)
            hold(n, m, req);
        else
            answer_report(req, n->election.term, orders, count);
    }
    amb_report_free(&r);
    return true;
}

/* ---- seeking machines that do not report to us ---- */

struct seek {
    struct amb_node *node;
    uint64_t term;
    char machine[AMB_NAME];
};

static void pushed(void *arg, int status, const char *body, size_t len) {
    (void)status, (void)body, (void)len;
    free(arg); /* what counts is the report that the machine sends next */
}

static void send_commands(struct amb_node *n, const struct amb_machine *m, uint64_t session,
                          const struct amb_order *orders, size_t count, struct seek *s) {
    struct amb_buf b = {0};
    amb_w_map(&b, 3);
    amb_w_str(&b, "baton");
    amb_w_uint(&b, n->election.term);
    amb_w_str(&b, "watch");
    amb_w_uint(&b, session);
    amb_w_str(&b, "orders");
    amb_codec_put_orders(&b, orders, count);
    amb_http_call(m->addr, "POST", "/commands", "application/cbor", b.data, b.len, amb_secs(n->set.report_s),
                  pushed, s);
    amb_buf_free(&b);
}

/* Stops need not wait for a report to answer, and a late one does no harm: it names an attempt that was to
 * stop anyway. (Starts only ever go out in answers.) */
static void push_halts(struct amb_node *n, struct amb_machine *m) {
    struct answer a = {(struct amb_order[ORDERS_PUSHED]){{0}}, ORDERS_PUSHED, 0};
    m->halts_due = false;
    for (struct amb_task *t = m->tasks; t; t = t->next)
        if (t->halting && t->state == AMB_TASK_SEEN)
            order(&a, AMB_OP_HALT, t->job->ref, t->index, t->attempt, t->grace_s);
    if (!a.n || !m->token_shown || !m->addr[0]) return;
    send_commands(n, m, m->session, a.orders, a.n, NULL);
}

static void inspected(void *arg, int status, const char *body, size_t len) {
    struct seek *s = arg;
    struct amb_node *n = s->node;
    struct amb_machine *m = amb_machine_get(n, s->machine, false);
    cbor_item_t *item = status == 200 ? amb_cbor_parse(body, len) : NULL;
    uint64_t session;
    if (!m || !amb_leads(n) || n->election.term != s->term ||
        !amb_cbor_uint(amb_cbor_get(item, "watch"), &session)) {
        free(s);
    } else {
        /* No orders, only the token: whoever still answers this machine learns from its next report that a
         * newer leader exists, and sends it here. */
        send_commands(n, m, session, NULL, 0, s);
    }
    if (item) cbor_decref(&item);
}

static void seek(struct amb_node *n, struct amb_machine *m, amb_ms now) {
    if (!m->addr[0] || now - m->seek_at < amb_secs(n->set.report_s * 2)) return;
    m->seek_at = now;
    struct seek *s = amb_alloc(sizeof *s);
    s->node = n;
    s->term = n->election.term;
    strcpy(s->machine, m->name);
    amb_http_call(m->addr, "GET", "/inspect", NULL, NULL, 0, amb_secs(n->set.report_s), inspected, s);
}

/* ---- what time alone shows ---- */

static void noted(void *arg, bool ok) {
    (void)arg, (void)ok;
}

/* When a deputy that may answer this machine was last known; of any zone's if the machine's is unknown. */
static amb_ms deputy_known_at(const struct amb_node *n, const struct amb_machine *m) {
    if (m->zone >= 0) return n->deputy.zone_at[m->zone];
    amb_ms latest = 0;
    for (uint32_t z = 0; z < AMB_ZONES; z++)
        if (n->deputy.zone_at[z] > latest) latest = n->deputy.zone_at[z];
    return latest;
}

/* Asks for the read of the state service that the proof still lacks. */
static enum amb_absence absence_by_lease(struct amb_node *n, const struct amb_machine *m, amb_ms now) {
    const struct amb_lease_evidence evidence = {
        .now = now,
        .lease_span = amb_absence_lease_span(n->set.lease_s, n->set.report_s),
        .answered_at = m->answered_at,
        .follows_our_term = m->token_shown,
        .fenced_at = m->token_shown ? 0 : amb_peer_quiet(n),
        .deputy_known_at = deputy_known_at(n, m),
        .last_read_asked_at = n->jobs.fresh_sent_at,
    };
    enum amb_absence absence = amb_absence_by_lease(&evidence);
    if (absence == AMB_ABSENCE_READ_NEEDED && !n->jobs.waiting && !n->jobs.syncing)
        amb_jobs_sync(n, noted, NULL);
    return absence;
}

static void zone_sight(struct amb_node *n, uint32_t zone, enum amb_sight to, uint32_t silent, uint32_t all) {
    static const char *const names[] = {"heard", "dim", "dark"};
    if (n->fleet.sight[zone] == to) return;
    amb_info("zone %s: %s -> %s: %u of %u machines silent", n->catalog.zones[zone],
             names[n->fleet.sight[zone]], names[to], silent, all);
    n->fleet.sight[zone] = to;
}

/* When a good part of a zone falls silent together it is the network; when nearly all does, what boots there
 * can't be reached either. */
static void look_at_zones(struct amb_node *n, amb_ms now) {
    uint32_t all[AMB_ZONES] = {0}, silent[AMB_ZONES] = {0}, dark = 0;
    enum amb_sight sight[AMB_ZONES];
    amb_ms patience = amb_secs(n->set.report_s * 3);
    for (const struct amb_machine *m = n->fleet.all; m; m = m->hh.next) {
        if (m->zone < 0 || m->type < 0) continue;
        double boot = n->catalog.types[m->type].boot_s;
        if (m->state == AMB_MACHINE_BOOTING && now - m->first_at < amb_secs(boot * 2)) continue;
        all[m->zone]++;
        silent[m->zone] += now - m->reported_at > patience;
    }
    bool learning = now - n->ctl.leading_since <= patience; /* a new leader has heard nobody yet */
    for (uint32_t z = 0; z < AMB_ZONES; z++) {
        bool some = silent[z] > 2 && !learning;
        sight[z] = some && silent[z] * 10 >= all[z] * 9 ? AMB_ZONE_DARK
                   : some && silent[z] * 3 > all[z]     ? AMB_ZONE_DIM
                                                        : AMB_ZONE_HEARD;
        dark += sight[z] == AMB_ZONE_DARK;
    }
    for (uint32_t z = 0; z < AMB_ZONES; z++) {
        /* Nobody heard from anywhere shows nothing of any zone; and one with a deputy is at work. */
        bool known = dark == n->catalog.nzones || amb_deputy_in_zone(n, (int)z);
        if (known && sight[z] == AMB_ZONE_DARK) sight[z] = AMB_ZONE_DIM;
        zone_sight(n, z, sight[z], silent[z], all[z]);
    }
}

bool amb_fleet_dark(const struct amb_node *n, int zone) {
    return zone >= 0 && n->fleet.sight[zone] == AMB_ZONE_DARK;
}

/* Its reports come, but our answers don't reach it: it would show our token in its next report but one. Its
 * lease ends, and with it all it runs; but each answer of ours might have renewed it, so that nothing is
 * ever proven. (Jobs waited for such machines for as long as the trouble lasted.) */
static bool does_not_hear_us(const struct amb_node *n, const struct amb_machine *m, amb_ms now) {
    if (m->state != AMB_MACHINE_UNPROVEN || now - m->reported_at > amb_secs(n->set.report_s * 2))
        return false;
    amb_ms since = m->state_at > n->ctl.loaded_at ? m->state_at : n->ctl.loaded_at;
    return now - since > amb_secs(n->set.lease_s * (m->ntasks ? 1.5 : 3));
}

static void tick_machine(struct amb_node *n, struct amb_machine *m, amb_ms now) {
    if (m->halts_due) push_halts(n, m);
    amb_ms since = now - n->ctl.leading_since;
    bool covered = amb_deputy_in_zone(n, m->zone);
    if (m->failed && m->tasks) lose_tasks(n, m, AMB_ABSENCE_FAILED);
    /* A leader was elected seconds before a zone was cut off: none of the zone's machines had shown its
     * token, and their tasks were not started elsewhere until the machines were returned, 99 s later. So
     * machines that have not shown it are looked at too. */
    if (m->state == AMB_MACHINE_UP || m->state == AMB_MACHINE_UNPROVEN ||
        (m->state == AMB_MACHINE_SILENT && m->tasks)) {
        enum amb_absence proof = absence_by_lease(n, m, now);
        if (amb_absence_proven(proof)) {
            amb_machine_state(m, AMB_MACHINE_SILENT, amb_absence_name(proof));
            lose_tasks(n, m, proof);
        }
    }
    /* When it is the network the machines come back: a new one takes longer to boot and to fetch its images
     * than most cuts last. */
    double patience = m->zone >= 0 && n->fleet.sight[m->zone] != AMB_ZONE_HEARD ? 3 : 1;
    if (m->state == AMB_MACHINE_SILENT && !covered &&
        now - (m->token_shown ? m->answered_at : n->ctl.leading_since) >
            amb_secs(n->set.lease_s * n->opt.silent_release * patience))
        amb_rental_release(n, m, "silent for too long");
    if (m->state == AMB_MACHINE_UNPROVEN && now - m->reported_at > amb_secs(n->set.report_s * 2) &&
        since > amb_secs(n->set.report_s * 2)) {
        seek(n, m, now);
        amb_ms unknown = now - (m->known_at > n->ctl.leading_since ? m->known_at : n->ctl.leading_since);
        /* Its silence proves nothing while it may hold another leader's token. */
        if (!covered && unknown > amb_secs(n->set.lease_s * (m->ntasks ? 1.5 : 3) * patience) &&
            amb_may_start(n))
            amb_rental_release(n, m, "it can't be reached");
    }
    if (!covered && does_not_hear_us(n, m, now) && amb_may_start(n))
        amb_rental_release(n, m, "it reports, but does not take our token");
    /* A machine of ours that reports to another node only. */
    if (m->state == AMB_MACHINE_UP && now - m->reported_at > amb_secs(n->set.report_s * 4)) seek(n, m, now);
    for (struct amb_task *t = m->tasks, *next; t; t = next) {
        next = t->next;
        struct amb_job *j = t->job;
        uint32_t before = m->ntasks;
        if (t->halting && t->state == AMB_TASK_BOUND && !t->sent && !t->foreign) {
            amb_task_unbind(n, t, "no order went out");
        } else if (j->state == AMB_JOB_CANCELLED && m->state != AMB_MACHINE_RELEASING &&
                   amb_wall_ms() - j->cancelled_wall > amb_secs(n->set.cancel_s * 0.6)) {
            amb_rental_release(n, m, "a cancelled task can't be proven gone in time");
        }
        if (m->ntasks != before) next = m->tasks;
    }
}

/* Machines on record or listed, that should be at work. */
bool amb_fleet_learned(const struct amb_node *n) {
    uint32_t known = 0, shown = 0;
    for (const struct amb_machine *m = n->fleet.all; m; m = m->hh.next) {
        if (m->state == AMB_MACHINE_BOOTING || m->state == AMB_MACHINE_RELEASING || m->failed) continue;
        known++;
        shown += m->token_shown;
    }
    return shown * 10 >= known * 9;
}

void amb_fleet_tick(struct amb_node *n, amb_ms now) {
    struct amb_machine *m, *next;
    if (!n->ctl.loaded_at) return;
    look_at_zones(n, now);
    HASH_ITER(hh, n->fleet.all, m, next) tick_machine(n, m, now);
}
