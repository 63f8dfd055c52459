/* What does not fit now: room to wait for, to make or to rent; and machines to return. */
#include "amberpin/scheduler/capacity_plan.h"

#include "amberpin/agent/task_failures.h"
#include "amberpin/base/log.h"
#include "amberpin/placement/wdrr.h"
#include "amberpin/scheduler/start_deadline.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* ---- what does not fit: wait for room that comes, make room, or rent ---- */

/* Tasks of an array or a service that are planned for at a time: so many, or as many as there are machines.
 */
enum { PLAN_TASKS_LEAST = 256 };

struct plan {
    struct amb_round *r;
    uint32_t tasks_at_a_time;
    uint32_t rent[AMB_TYPES][AMB_ZONES][2], rented;
    uint32_t nkinds;
    struct kind {
        int type, zone;
        bool spot;
        enum amb_priority priority; /* of the first that wanted it */
        double boot_s;
    } kinds[AMB_TYPES * AMB_ZONES * 2]; /* of those to be rented */
    uint32_t nzones;                    /* counted for tasks of the job at hand that are only planned */
    int *zones;
    struct amb_res extra[AMB_TEAMS]; /* planned for each team on top of what it uses */
};

static double fits_times(const struct amb_res *need, const struct amb_res *size) {
    double n = 1e6;
    if (need->cpus > 0) n = fmin(n, floor(size->cpus / need->cpus + 1e-6));
    if (need->gpus > 0) n = fmin(n, floor(size->gpus / need->gpus + 1e-6));
    if (need->memory > 0) n = fmin(n, floor(size->memory / need->memory + 1e-6));
    return n;
}

static double longest_boot(const struct amb_node *n) {
    double boot = 0;
    for (uint32_t t = 0; t < n->catalog.ntypes; t++) boot = fmax(boot, n->catalog.types[t].boot_s);
    return boot;
}

/* The cheapest machine per task that could be rented for the wish; most: tasks of this shape that wait. */
static struct amb_slot *rent_for(struct plan *p, const struct amb_wish *w, uint32_t most, bool spread_even) {
    struct amb_round *r = p->r;
    struct amb_node *n = r->n;
    double least = INFINITY;
    int bt = -1, bz = -1, bs = 0;
    for (uint32_t t = 0; t < n->catalog.ntypes; t++) {
        const struct amb_type *type = &n->catalog.types[t];
        double times = fits_times(&w->need, &type->size);
        if (times < 1 || !(w->type_mask >> t & 1)) continue;
        for (uint32_t k = 0; k < type->nzones; k++) {
            int z = amb_catalog_zone(&n->catalog, type->zones[k]);
            for (int spot = 0; spot <= (int)w->spot; spot++) {
                struct amb_slot s = {.type = (int)t, .zone = z, .spot = spot, .usable = true, .kept_for = -1};
                if (z < 0 || !amb_place_allowed(w, &s) || amb_zone_unreachable(n, z) ||
                    amb_rental_refused(n, (int)t, z, spot, r->now))
                    continue;
                double cost = (spot ? type->spot_price : type->price) / fmin(times, most ? most : 1);
                if (spread_even) cost += 1e-3 * p->rent[t][z][spot];
                if (cost < least) {
                    least = cost;
                    bt = (int)t;
                    bz = z;
                    bs = spot;
                }
            }
        }
    }
    if (bt < 0) return NULL;
    if (!p->rent[bt][bz][bs]++)
        p->kinds[p->nkinds++] = (struct kind){bt, bz, bs, w->priority, n->catalog.types[bt].boot_s};
    p->rented++;
    return amb_round_add_type(r, bt, bz, bs);
}

/* What is to be asked for first when calls are few: for the most urgent work, and what takes longest to come.
 */
static int by_need(const void *a, const void *b) {
    const struct kind *x = a, *y = b;
    if (x->priority != y->priority) return x->priority > y->priority ? -1 : 1;
    if (x->boot_s != y->boot_s) return x->boot_s > y->boot_s ? -1 : 1;
    if (x->zone != y->zone) return x->zone < y->zone ? -1 : 1;
    return (int)x->spot - (int)y->spot;
}

static bool within_plan(const struct plan *p, const struct amb_job *j, double times) {
    uint32_t team = (uint32_t)(j->team - p->r->n->set.teams);
    struct amb_team t = *j->team;
    amb_res_add(&t.used, &p->extra[team], 1);
    return amb_wdrr_within_limit(&t, &j->spec->each, times);
}

static void plan_task(struct plan *p, struct amb_job *j, struct amb_wish *w, uint32_t most, bool patient,
                      bool *done) {
    struct amb_round *r = p->r;
    struct amb_slot *s = NULL;
    int at = amb_round_pick(r, w, true);
    *done = false;
    /* A place that has to boot is taken only when no running work can make way. */
    bool up = at >= 0 && r->slots[at].machine && r->slots[at].machine->state == AMB_MACHINE_UP;
    if (!up) s = amb_round_make_room(r, j, w, false); /* takes the room itself */
    if (!s) {
        s = at >= 0 ? &r->slots[at] : patient ? NULL : rent_for(p, w, most, true);
        if (!s) {
            *done = true;
            return;
        }
        amb_res_add(&s->room, &w->need, -1);
        amb_round_slot_changed(r, s);
        s->planned++;
        if (amb_job_recovers(r->n, j)) amb_round_reserve(s, j->spec);
    }
    j->zone_used[s->zone]++;
    p->zones[p->nzones++] = s->zone;
}

static void plan_job(struct plan *p, struct amb_job *j) {
    struct amb_round *r = p->r;
    struct amb_wish w;
    bool done = false, patient = amb_start_can_wait(r->n, j);
    uint32_t left = amb_job_waiting(j), team = (uint32_t)(j->team - r->n->set.teams);
    amb_round_mark(r, j->spec, j->spec->image);
    amb_round_wish(r, j, &w);
    if (j->spec->kind == AMB_GANG) {
        if (!within_plan(p, j, j->spec->tasks)) return;
        int *where = p->zones = amb_alloc(j->spec->tasks * sizeof *where);
        p->nzones = 0;
        amb_res_add(&p->extra[team], &j->spec->each, j->spec->tasks);
        /* A place that has to boot is taken only when no running work can make way. */
        if (amb_round_make_room_gang(r, j)) {
            free(where);
            return;
        }
        if (amb_round_place_gang(r, j, where, true)) {
            for (uint32_t i = 0; i < j->spec->tasks; i++) {
                struct amb_slot *s = &r->slots[where[i]];
                if (s->machine) s->machine->kept_for = (int)amb_job_priority(j);
                s->planned++;
                j->zone_used[r->slots[where[i]].zone]--;
            }
            free(where);
            return;
        }
        /* In one zone: all of it goes where the first machine can be had. */
        for (uint32_t i = 0; i < j->spec->tasks && !done; i++) {
            plan_task(p, j, &w, j->spec->tasks, false, &done);
            if (j->spec->one_zone && p->nzones) w.zone = p->zones[0];
        }
    } else {
        /* The rest of a larger job has its turn once these are on their machines. */
        if (left > p->tasks_at_a_time) left = p->tasks_at_a_time;
        p->zones = amb_alloc(left * sizeof *p->zones);
        p->nzones = 0;
        for (; left && !done && within_plan(p, j, 1); left--) {
            plan_task(p, j, &w, left, patient, &done);
            if (j->spec->one_zone && p->nzones) w.zone = p->zones[0];
            amb_res_add(&p->extra[team], &j->spec->each, 1);
        }
    }
    while (p->nzones) j->zone_used[p->zones[--p->nzones]]--;
    free(p->zones);
}

/* Tasks on machines that have been silent for most of a lease are as good as lost: room for them is looked
 * for before the lease proves it, since a machine takes longer to boot than the rest of a lease. (Nothing is
 * stopped for them yet: the machines may come back.) */
static void plan_lost_soon(struct plan *p) {
    struct amb_round *r = p->r;
    struct amb_node *n = r->n;
    amb_ms most = amb_secs(n->set.lease_s * 0.65); /* longer than a worker takes to find another node */
    amb_ms latest = 0;
    for (const struct amb_machine *m = n->fleet.all; m; m = m->hh.next)
        if (m->reported_at > latest) latest = m->reported_at;
    /* Nobody heard at all: it is this node that is out of reach. (A new leader in that place once rented
     * twice its fleet anew within 14 s.) */
    if (r->now - latest > amb_secs(n->set.report_s * 3)) return;
    amb_round_mark_any(r);
    for (struct amb_machine *m = n->fleet.all; m; m = m->hh.next) {
        amb_ms heard = m->reported_at > n->ctl.leading_since ? m->reported_at : n->ctl.leading_since;
        if (m->zone < 0 || m->type < 0 || m->release_wanted || r->now - heard < most) continue;
        if (amb_deputy_in_zone(n, m->zone)) continue; /* kept alive by a node that reaches it */
        for (struct amb_task *t = m->tasks; t; t = t->next) {
            struct amb_job *j = t->job;
            if (t->halting || t->done || j->state != AMB_JOB_QUEUED) continue;
            struct amb_wish w;
            amb_round_wish(r, j, &w);
            j->zone_used[m->zone]--;
            int at = amb_round_pick(r, &w, true);
            struct amb_slot *s = at >= 0 ? &r->slots[at] : rent_for(p, &w, p->tasks_at_a_time, true);
            j->zone_used[m->zone]++;
            if (!s) continue;
            amb_res_add(&s->room, &w.need, -1);
            amb_round_slot_changed(r, s);
            s->planned++;
            if (s->machine) s->machine->kept_for = (int)amb_job_priority(j);
        }
    }
}

/* The machine types that a job of this kind may run on, as a mask, and the longest time one of them takes to
 * boot. */
static uint32_t allowed_types(const struct amb_node *n, const struct amb_spec *spec, double *boot_s) {
    uint32_t mask = 0;
    *boot_s = 0;
    for (uint32_t t = 0; t < n->catalog.ntypes; t++) {
        const struct amb_type *type = &n->catalog.types[t];
        if (!amb_spec_allows(spec, type->name) || fits_times(&spec->each, &type->size) < 1) continue;
        mask |= 1u << t;
        *boot_s = fmax(*boot_s, type->boot_s);
    }
    return mask;
}

/* Free room kept for what a class of urgent jobs is expected to ask for while a machine would boot. */
static void plan_headroom(struct plan *p) {
    struct amb_round *r = p->r;
    struct amb_node *n = r->n;
    uint32_t none[AMB_ZONES] = {0};
    for (uint32_t i = 0; i < n->ctl.ndemands; i++) {
        struct amb_demand *d = &n->ctl.demands[i];
        if (d->rate <= 0) continue;
        double boot;
        uint32_t mask = allowed_types(n, &d->last, &boot);
        double age = (double)(r->now - d->at) / 1000, fade = exp(-age / (4 * boot));
        /* Arrivals come and tasks end about as often: what is left to cover is their spread. Of gangs some
         * surely end meanwhile; services run until somebody says so. */
        double part = d->last.kind == AMB_GANG ? 2.0 / 3 : 1;
        double count = n->opt.headroom * part * sqrt(d->rate * fade * boot * d->size2);
        const struct amb_claim claim = amb_round_claim(&d->last, amb_settings_team(&n->set, d->last.team));
        struct amb_wish w = {
            .need = d->last.each, .type_mask = mask, .zone = -1, .spot = d->last.spot, .zone_used = none};
        /* Rented after what urgent work waits for, before what batch work does. */
        w.priority = d->last.priority < AMB_NORMAL ? d->last.priority : AMB_NORMAL;
        for (uint32_t k = 0; k < (uint32_t)ceil(count) && k < p->tasks_at_a_time; k++) {
            uint32_t image = k % d->nimages; /* a share of the room for each image asked for */
            amb_round_mark(r, &d->last, d->images[image]);
            struct amb_slot *s = amb_round_headroom(r, &w, &claim);
            if (!s) s = rent_for(p, &w, (uint32_t)ceil(count) - k, false);
            if (!s) break;
            amb_res_add(&s->room, &w.need, -1);
            amb_round_slot_changed(r, s);
            s->planned++;
            if (s->machine) s->machine->kept_for = (int)d->last.priority;
        }
    }
}

/* Nothing is placed on it, and no new leader would need what it holds. (A machine was returned 0.04 s after
 * its last task had ended; the end could not be recorded in an outage, and the next leader ran the task
 * again.) */
static bool is_empty(const struct amb_machine *m) {
    return !m->ntasks && !m->keeps_result;
}

static void plan_returns(struct plan *p) {
    struct amb_round *r = p->r;
    struct amb_node *n = r->n;
    struct amb_machine *m, *next;
    for (uint32_t i = 0; i < r->nslots; i++) {
        struct amb_slot *s = &r->slots[i];
        m = s->machine;
        if (!m || s->planned || !is_empty(m) || m->state != AMB_MACHINE_UP) continue;
        /* Idle since batch work may not start there yet, for a bounded time. */
        if (r->zones_without_batch >> m->zone & 1) continue;
        const struct amb_type *t = &n->catalog.types[m->type];
        amb_ms idle = amb_secs(t->boot_s * n->opt.idle_return);
        amb_ms lead = r->now - n->ctl.leading_since;
        if (r->now - m->idle_since > idle && lead > idle) amb_rental_give_back(n, m, "idle");
    }
    HASH_ITER(hh, n->fleet.all, m, next) if (m->drain && is_empty(m)) amb_rental_give_back(n, m, "emptied");
}

/* ---- emptying machines: what runs on a few could run on fewer ---- */

/* A replica may be moved once it has run for a while, to a machine that holds its image: then it is down for
 * little more than two reports. Takes the room it would get. */
static bool movable(struct amb_round *r, struct amb_task *t) {
    struct amb_job *j = t->job;
    struct amb_wish w;
    if (t->halting || t->state != AMB_TASK_SEEN || !t->running_at || j->state != AMB_JOB_QUEUED) return false;
    if (r->now - t->running_at < amb_secs(r->n->set.lease_s * 4)) return false;
    amb_round_mark(r, j->spec, j->spec->image);
    amb_round_wish(r, j, &w);
    int zone = t->machine->zone;
    j->zone_used[zone]--;
    int at = amb_round_pick(r, &w, false);
    j->zone_used[zone]++;
    if (at < 0 || !r->slots[at].has_image || !r->slots[at].machine ||
        r->slots[at].machine->state != AMB_MACHINE_UP || r->slots[at].machine == t->machine)
        return false;
    amb_res_add(&r->slots[at].room, &j->spec->each, -1);
    amb_round_slot_changed(r, &r->slots[at]);
    return true;
}

/* Tries where its replicas would go, and takes none of the room. */
static bool can_empty(struct amb_round *r, struct amb_slot *s) {
    bool could = true;
    uint32_t first_change = r->rankings.changes;
    struct amb_res *rooms = amb_alloc(r->nslots * sizeof *rooms);
    for (uint32_t i = 0; i < r->nslots; i++) rooms[i] = r->slots[i].room;
    s->usable = false;
    amb_round_slot_changed(r, s);
    for (struct amb_task *t = s->machine->tasks; t && could; t = t->next) {
        if (t->job->spec->kind == AMB_GANG || t->halting) could = false;
        if (t->job->spec->kind == AMB_SERVICE) could = movable(r, t);
    }
    s->usable = true;
    uint32_t last_change = r->rankings.changes;
    for (uint32_t k = first_change; k < last_change; k++) {
        uint32_t i = r->rankings.changed[k];
        r->slots[i].room = rooms[i];
        amb_round_slot_changed(r, &r->slots[i]);
    }
    free(rooms);
    return could;
}

static double fade(double peak, double now, double keep) {
    return fmax(now, now + (peak - now) * keep);
}

/* Batch work comes in bursts: what it took a little while ago it will take again. */
static void note_demand(struct plan *p) {
    struct amb_round *r = p->r;
    struct amb_node *n = r->n;
    struct amb_controller *c = &n->ctl;
    struct amb_res now = {0, 0, 0};
    for (uint32_t i = 0; i < n->set.nteams; i++) {
        amb_res_add(&now, &n->set.teams[i].used, 1);
        amb_res_add(&now, &p->extra[i], 1); /* what waits and may start */
    }
    double keep = c->peak_at ? exp(-(double)(r->now - c->peak_at) / 1000 / (1.5 * longest_boot(n) + 1)) : 0;
    c->peak.cpus = fade(c->peak.cpus, now.cpus, keep);
    c->peak.gpus = fade(c->peak.gpus, now.gpus, keep);
    c->peak.memory = fade(c->peak.memory, now.memory, keep);
    c->peak_at = r->now;
}

/* Would the fleet without this machine still have held the latest peak? */
static bool spare(const struct amb_round *r, const struct amb_machine *one) {
    struct amb_res rest = {0, 0, 0};
    const struct amb_res *peak = &r->n->ctl.peak;
    for (uint32_t i = 0; i < r->nslots; i++) {
        const struct amb_machine *m = r->slots[i].machine;
        if (!m || m == one || m->state != AMB_MACHINE_UP || m->drain) continue;
        const struct amb_res *size = &r->n->catalog.types[m->type].size;
        /* Only as much of a machine counts as tasks of the usual shape can use. */
        double share = 1;
        if (peak->memory > 0) share = fmin(share, size->memory / peak->memory * peak->gpus / size->gpus);
        if (peak->cpus > 0) share = fmin(share, size->cpus / peak->cpus * peak->gpus / size->gpus);
        rest.gpus += size->gpus * share;
    }
    return rest.gpus >= peak->gpus * 1.1;
}

static void plan_emptying(struct plan *p) {
    struct amb_round *r = p->r;
    struct amb_node *n = r->n;
    struct amb_machine *m, *next;
    uint32_t draining = 0, up = 0;
    HASH_ITER(hh, n->fleet.all, m, next) {
        up += m->state == AMB_MACHINE_UP;
        draining += m->drain;
    }
    /* Demand is back: better keep what boots already. */
    if (p->rented) {
        HASH_ITER(hh, n->fleet.all, m, next) if (m->drain && !m->release_wanted) m->drain = false;
        return;
    }
    uint32_t moves = 0;
    HASH_ITER(hh, n->fleet.all, m, next) {
        if (!m->drain || m->state != AMB_MACHINE_UP) continue;
        for (struct amb_task *t = m->tasks; t && moves < 2; t = t->next)
            if (t->job->spec->kind == AMB_SERVICE && movable(r, t)) {
                amb_task_halt(n, t, 0, "moves, so that its machine can be returned");
                moves++;
            }
    }
    if (draining * 20 > up) return;
    struct amb_slot *best = NULL;
    for (uint32_t i = 0; i < r->nslots; i++) {
        struct amb_slot *s = &r->slots[i];
        if (!s->machine || s->machine->state != AMB_MACHINE_UP || !s->machine->ntasks || s->planned) continue;
        if (s->machine->used.gpus * 2 > s->size_gpus) continue;
        if (best && s->machine->used.gpus >= best->machine->used.gpus) continue;
        if (spare(r, s->machine) && can_empty(r, s)) best = s;
    }
    if (!best) return;
    amb_info("machine %s: to be emptied: the rest of the fleet has room for its %u tasks",
             best->machine->name, best->machine->ntasks);
    best->machine->drain = true;
}

static void drop_dead_boots(struct amb_node *n, amb_ms now) {
    struct amb_machine *m, *next;
    HASH_ITER(hh, n->fleet.all, m, next) {
        if (m->state != AMB_MACHINE_BOOTING || m->type < 0) continue;
        if (now - m->rented_at > amb_secs(n->catalog.types[m->type].boot_s * 4))
            amb_rental_release(n, m, "it does not come up");
    }
}

void amb_plan(struct amb_round *r) {
    static const struct amb_res no_room = {0, 0, 0};
    struct amb_node *n = r->n;
    struct plan *p = amb_alloc(sizeof *p);
    p->r = r;
    p->tasks_at_a_time = r->nslots > PLAN_TASKS_LEAST ? r->nslots : PLAN_TASKS_LEAST;
    amb_round_add_coming(r);
    for (uint32_t i = 0; i < r->nslots; i++)
        if (r->slots[i].machine) {
            r->slots[i].machine->kept_for = -1;
            r->slots[i].machine->claimed = false;
            r->slots[i].machine->reserved = r->slots[i].reserved = no_room;
        }
    for (uint32_t i = 0; i < r->njobs; i++)
        if (amb_round_wants_start(r, r->jobs[i]) && !amb_job_broken(r->jobs[i])) plan_job(p, r->jobs[i]);
    plan_lost_soon(p);
    note_demand(p);
    plan_headroom(p);
    plan_returns(p);
    plan_emptying(p);
    qsort(p->kinds, p->nkinds, sizeof *p->kinds, by_need);
    uint32_t calls = amb_rental_calls(n, r->now);
    for (uint32_t i = 0; i < p->nkinds && i < calls; i++) {
        const struct kind *k = &p->kinds[i];
        amb_rental_want(n, k->type, k->zone, k->spot, p->rent[k->type][k->zone][k->spot]);
    }
    free(p);
    drop_dead_boots(n, r->now);
}

/* ---- what classes ask for ---- */

/* The class that nobody has asked for longest makes way. */
static struct amb_demand *longest_unasked(struct amb_controller *controller) {
    struct amb_demand *oldest = &controller->demands[0];
    for (uint32_t i = 1; i < controller->ndemands; i++)
        if (controller->demands[i].at < oldest->at) oldest = &controller->demands[i];
    amb_debug("class %s is no longer expected: more than %d classes are asked for", oldest->class_name,
              AMB_DEMANDS);
    return oldest;
}

void amb_plan_demand(struct amb_node *n, struct amb_job *j) {
    struct amb_controller *c = &n->ctl;
    const struct amb_spec *s = j->spec;
    struct amb_demand *d = NULL;
    /* Noted once, by followers too: a leader that knew only what came since it led would return what its
     * predecessor had kept, and rent it again. */
    if (j->demand_noted || j->awaiting || !s || !n->rental.catalog_known) return;
    j->demand_noted = true;
    /* Work that starts late is missed, and a machine takes longer to boot than it may wait. */
    if (s->priority < AMB_HIGH && !amb_start_objective(n, s)) return;
    if (s->kind == AMB_ARRAY) return;
    int64_t age = amb_wall_ms() - amb_job_ready_wall(j);
    amb_ms at = amb_now() - (age > 0 ? age : 0);
    for (uint32_t i = 0; i < c->ndemands && !d; i++)
        if (!strcmp(c->demands[i].class_name, s->class_name)) d = &c->demands[i];
    if (!d) {
        d = c->ndemands < AMB_DEMANDS ? &c->demands[c->ndemands++] : longest_unasked(c);
        memset(d, 0, sizeof *d);
        strcpy(d->class_name, s->class_name);
        d->at = at;
    }
    double tau = fmax(4 * longest_boot(n), n->set.lease_s);
    double since = (double)(at - d->at) / 1000; /* negative: an earlier job that was heard of later */
    if (since >= 0) {
        d->rate = d->rate * exp(-since / tau) + 1 / tau; /* jobs a second */
        d->at = at;
        d->last = *s;
    } else {
        d->rate += exp(since / tau) / tau;
    }
    double square = (double)s->tasks * s->tasks;
    d->size2 = d->size2 > 0 ? d->size2 * 0.9 + square * 0.1 : square;
    amb_latest_first(d->images, NULL, &d->nimages, AMB_DEMAND_IMAGES, s->image, 0);
}
