/* The leader's round: order, admit, place; then what to stop, rent and return. */
#include "amberpin/log.h"
#include "amberpin/node.h"
#include "amberpin/place.h"
#include "amberpin/wdrr.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- a round's view of the world ---- */

struct line { /* a team's waiting jobs, in order */
    struct amb_job **jobs;
    uint32_t n, at;
};

struct round {
    struct amb_node *n;
    amb_ms now;
    struct amb_slot *slots;
    uint32_t nslots, cap;
    struct amb_job **jobs; /* all waiting jobs, most urgent first */
    uint32_t njobs;
    struct line lines[AMB_TEAMS];
    bool urgent_pass;
    bool by_gpus;
};

static struct amb_slot *add_slot(struct round *r) {
    if (r->nslots == r->cap) {
        r->cap = r->cap ? r->cap * 2 : 128;
        r->slots = amb_grow(r->slots, r->cap * sizeof *r->slots);
    }
    struct amb_slot *s = &r->slots[r->nslots++];
    memset(s, 0, sizeof *s);
    return s;
}

static struct amb_slot *add_type_slot(struct round *r, int type, int zone, bool spot) {
    struct amb_slot *s = add_slot(r);
    s->type = type;
    s->zone = zone;
    s->spot = spot;
    s->room = r->n->catalog.types[type].size;
    s->size_gpus = s->room.gpus;
    s->usable = true;
    s->kept_for = -1;
    return s;
}

static bool fetches(const struct amb_task *t) {
    return t->state == AMB_TASK_PLACED || t->state == AMB_TASK_BOUND ||
           (t->state == AMB_TASK_SEEN && t->on == AMB_ON_FETCHING);
}

/* Is its image at hand, or counted with another task of the machine that needs it too? */
static bool fetch_shared(const struct amb_task *t) {
    bool before = true;
    for (const struct amb_task *o = t->machine->tasks; o; o = o->next) {
        if (o == t)
            before = false;
        else if ((before || !fetches(o)) && !strcmp(o->job->spec->image, t->job->spec->image))
            return true;
    }
    return false;
}

static double fetch_left(const struct round *r, const struct amb_task *t) {
    double gb = t->job->spec->image_gb, rate = r->n->catalog.types[t->machine->type].fetch_gb_s;
    if (t->state != AMB_TASK_SEEN) return gb;
    return fmax(gb * 0.1, gb - rate * (double)(r->now - t->since) / 1000);
}

static void add_machine(struct round *r, struct amb_machine *m, bool usable) {
    struct amb_slot *s = add_type_slot(r, m->type, m->zone, m->spot);
    amb_res_add(&s->room, &m->used, -1);
    s->usable = usable;
    s->machine = m;
    s->kept_for = m->kept_for;
    for (struct amb_task *t = m->tasks; t; t = t->next) {
        if (t->halting) amb_res_add(&s->soon, &t->job->spec->each, 1);
        if (t->job->spec->kind == AMB_SERVICE) s->lasting += t->job->spec->each.gpus;
        if (fetches(t) && !fetch_shared(t)) s->fetching_gb += fetch_left(r, t);
    }
}

static void look_at_machines(struct round *r, bool booting) {
    struct amb_machine *m, *next;
    HASH_ITER(hh, r->n->fleet.all, m, next) {
        if (m->type < 0 || m->zone < 0 || m->release_wanted) continue;
        if (!booting) {
            if (amb_machine_usable(r->n, m, r->now)) add_machine(r, m, true);
            continue;
        }
        /* Counted on while it may still come up in time; after that another is rented in its place. */
        double boot = r->n->catalog.types[m->type].boot_s;
        bool soon = m->state == AMB_MACHINE_BOOTING && r->now - m->first_at < amb_secs(boot * 2);
        bool fresh =
            m->state == AMB_MACHINE_UNPROVEN && r->now - m->reported_at < amb_secs(r->n->set.report_s * 3);
        if (soon || fresh) add_machine(r, m, true);
    }
    if (!booting) return;
    for (struct amb_charter *c = r->n->rental.charters; c; c = c->next)
        if (c->state == AMB_CHARTER_RECORDING || c->state == AMB_CHARTER_ASKING)
            for (uint32_t i = 0; i < c->count; i++) add_type_slot(r, c->type, c->zone, c->spot);
}

static bool lost_before(const struct amb_job *j) {
    return j->spec->kind == AMB_SERVICE && j->ndone + j->nbound > 0;
}

static int by_urgency(const void *a, const void *b) {
    const struct amb_job *x = *(struct amb_job *const *)a, *y = *(struct amb_job *const *)b;
    if (x->spec->priority != y->spec->priority) return x->spec->priority > y->spec->priority ? -1 : 1;
    if (lost_before(x) != lost_before(y)) return lost_before(x) ? -1 : 1;
    if (x->accepted_wall != y->accepted_wall) return x->accepted_wall < y->accepted_wall ? -1 : 1;
    return strcmp(x->ref, y->ref);
}

static bool wants_start(const struct round *r, const struct amb_job *j) {
    if (j->state != AMB_JOB_QUEUED || !amb_job_waiting(j)) return false;
    if (j->spec->kind == AMB_GANG && (j->gang != AMB_GANG_IDLE || j->nbound)) return false;
    return r->now >= j->hold_until;
}

static void look_at_jobs(struct round *r) {
    uint32_t count = 0;
    for (struct amb_job *j = r->n->jobs.live; j; j = j->next_live) count += wants_start(r, j);
    r->jobs = amb_alloc((count + 1) * sizeof *r->jobs);
    for (struct amb_job *j = r->n->jobs.live; j; j = j->next_live)
        if (wants_start(r, j)) r->jobs[r->njobs++] = j;
    qsort(r->jobs, r->njobs, sizeof *r->jobs, by_urgency);
    for (uint32_t i = 0; i < r->njobs; i++) {
        struct line *l = &r->lines[r->jobs[i]->team - r->n->set.teams];
        if (!l->jobs) l->jobs = amb_alloc(r->njobs * sizeof *l->jobs);
        l->jobs[l->n++] = r->jobs[i];
    }
}

static void round_free(struct round *r) {
    for (uint32_t i = 0; i < r->n->set.nteams; i++) free(r->lines[i].jobs);
    free(r->jobs);
    free(r->slots);
}

static const struct amb_objective *wait_objective(const struct amb_node *n, const struct amb_spec *s) {
    for (uint32_t i = 0; i < n->set.nobjectives; i++)
        if (!strcmp(n->set.objectives[i].kind, "wait") &&
            !strcmp(n->set.objectives[i].class_name, s->class_name))
            return &n->set.objectives[i];
    return NULL;
}

/* May it still wait for room that frees itself, and be done in time? Batch work ends all the time, while a
 * rented machine is paid for while it boots. */
static bool can_wait(const struct amb_node *n, const struct amb_job *j) {
    const struct amb_spec *s = j->spec;
    if (s->kind != AMB_ARRAY || s->priority >= AMB_HIGH || wait_objective(n, s)) return false;
    double target = s->deadline_s, lead = 0;
    for (uint32_t i = 0; i < n->set.nobjectives && s->deadline_s <= 0; i++) {
        const struct amb_objective *o = &n->set.objectives[i];
        if (strcmp(o->kind, "finished") || strcmp(o->class_name, s->class_name)) continue;
        if (target <= 0 || o->within_s < target) target = o->within_s;
    }
    for (uint32_t t = 0; t < n->catalog.ntypes; t++) {
        const struct amb_type *type = &n->catalog.types[t];
        if (!(j->type_mask >> t & 1)) continue;
        lead = fmax(lead, type->boot_s + (type->fetch_gb_s > 0 ? s->image_gb / type->fetch_gb_s : 0));
    }
    double age = (double)(amb_wall_ms() - j->accepted_wall) / 1000;
    /* Estimates are often wrong by half. */
    return age + lead + s->estimate_s * 1.5 < target;
}

static void wish_of(struct round *r, struct amb_job *j, struct amb_wish *w) {
    memset(w, 0, sizeof *w);
    amb_job_allows_type(r->n, j, 0);
    w->need = j->spec->each;
    w->type_mask = j->type_mask;
    w->zone = amb_catalog_zone(&r->n->catalog, j->spec->zone);
    w->spot = j->spec->spot;
    w->lasting = j->spec->kind == AMB_SERVICE;
    w->priority = j->spec->priority;
    w->patient = j->spec->kind == AMB_ARRAY && !wait_objective(r->n, j->spec);
    w->can_wait = can_wait(r->n, j);
    w->zone_used = j->zone_used;
    w->zone_most = j->spec->spread ? amb_place_spread_most(j->spec->tasks) : 0;
    if (j->spec->one_zone && j->spec->kind != AMB_GANG)
        for (uint32_t z = 0; z < r->n->catalog.nzones; z++)
            if (j->zone_used[z]) w->zone = (int)z;
}

static bool on_its_way(const struct amb_machine *m, const char *image) {
    for (const struct amb_task *t = m->tasks; t; t = t->next)
        if (!strcmp(t->job->spec->image, image)) return fetches(t) && !fetch_shared(t);
    return false;
}

/* Marks where the image is, and what fetching it elsewhere means for a start in time (or, when nobody waits
 * for its start, takes of what the task runs for). */
static void mark_image(struct round *r, const struct amb_spec *spec, const char *image) {
    const struct amb_objective *o = wait_objective(r->n, spec);
    double within = o ? o->within_s : spec->estimate_s > 0 ? spec->estimate_s : r->n->set.lease_s;
    double slack = o ? r->n->set.report_s * 1.2 : -1;
    for (uint32_t i = 0; i < r->nslots; i++) {
        struct amb_slot *s = &r->slots[i];
        double rate = r->n->catalog.types[s->type].fetch_gb_s;
        s->has_image = s->machine && amb_machine_has_image(s->machine, image);
        double gb = s->fetching_gb + spec->image_gb;
        if (s->has_image) gb = s->fetching_gb > 0 && on_its_way(s->machine, image) ? s->fetching_gb : 0;
        s->late = rate > 0 ? amb_place_late(gb / rate, within, slack) : 0;
    }
}

static void mark_images(struct round *r, const struct amb_job *j) {
    mark_image(r, j->spec, j->spec->image);
}

/* ---- admission ---- */

static bool next_item(void *arg, uint32_t team, struct amb_wdrr_item *out) {
    struct round *r = arg;
    struct line *l = &r->lines[team];
    while (l->at < l->n) {
        struct amb_job *j = l->jobs[l->at];
        if (r->urgent_pass && j->spec->priority < AMB_HIGH) return false;
        if (wants_start(r, j)) {
            double times = j->spec->kind == AMB_GANG ? j->spec->tasks : 1;
            memset(out, 0, sizeof *out);
            amb_res_add(&out->need, &j->spec->each, times);
            out->size = amb_wdrr_size(&out->need, r->by_gpus);
            out->what = j;
            return true;
        }
        l->at++;
    }
    return false;
}

static bool is_idle(void *arg, uint32_t team) {
    struct round *r = arg;
    return r->lines[team].at >= r->lines[team].n;
}

static void skip_item(void *arg, uint32_t team, const struct amb_wdrr_item *item) {
    struct round *r = arg;
    (void)item;
    r->lines[team].at++;
}

static void start_task(struct round *r, struct amb_task *t, struct amb_slot *s, uint64_t attempt) {
    struct amb_job *j = t->job;
    amb_res_add(&s->room, &j->spec->each, -1);
    if (j->spec->kind == AMB_SERVICE) s->lasting += j->spec->each.gpus;
    if (!s->has_image) s->fetching_gb += j->spec->image_gb;
    amb_info("task %s/%u try %llu: placed on %s%s", j->ref, t->index, (unsigned long long)attempt,
             s->machine->name, s->has_image ? ", image at hand" : "");
    amb_task_bind(r->n, t, s->machine, attempt, AMB_TASK_PLACED);
    amb_machine_use_image(r->n, s->machine, j->spec->image, j->spec->image_gb);
    amb_record_dirty(r->n, t, true);
}

static struct amb_task *first_waiting(struct amb_job *j) {
    while (j->first_waiting < j->spec->tasks) {
        struct amb_task *t = &j->tasks[j->first_waiting];
        if (!t->machine && !t->done) return t;
        j->first_waiting++;
    }
    return NULL;
}

/* Puts every task of a gang somewhere, or none: where[i] is the slot of task i. Room and zone counts are
 * left as they would be; undo with place_undo. */
static uint32_t place_all(struct round *r, struct amb_job *j, struct amb_wish *w, int *where, bool soon) {
    uint32_t i = 0;
    for (; i < j->spec->tasks; i++) {
        where[i] = amb_place_pick(w, r->slots, r->nslots, soon);
        if (where[i] < 0) break;
        amb_res_add(&r->slots[where[i]].room, &j->spec->each, -1);
        j->zone_used[r->slots[where[i]].zone]++;
    }
    return i;
}

static void place_undo(struct round *r, struct amb_job *j, const int *where, uint32_t count) {
    for (uint32_t i = 0; i < count; i++) {
        amb_res_add(&r->slots[where[i]].room, &j->spec->each, 1);
        j->zone_used[r->slots[where[i]].zone]--;
    }
}

/* Tries zone after zone when the job binds itself to one. Leaves the slots taken on success. */
static bool place_gang(struct round *r, struct amb_job *j, int *where, bool soon) {
    struct amb_wish w;
    wish_of(r, j, &w);
    int only = w.zone;
    uint32_t tries = j->spec->one_zone && only < 0 ? r->n->catalog.nzones : 1;
    for (uint32_t z = 0; z < tries; z++) {
        if (tries > 1 || (j->spec->one_zone && only < 0)) w.zone = (int)z;
        uint32_t got = place_all(r, j, &w, where, soon);
        if (got == j->spec->tasks) return true;
        place_undo(r, j, where, got);
    }
    return false;
}

static bool admit_gang(struct round *r, struct amb_job *j) {
    int *where = amb_alloc(j->spec->tasks * sizeof *where);
    bool fits = place_gang(r, j, where, false);
    if (fits) {
        place_undo(r, j, where, j->spec->tasks); /* binding counts them again */
        uint64_t attempt = j->next_attempt++;
        for (uint32_t i = 0; i < j->spec->tasks; i++)
            start_task(r, &j->tasks[i], &r->slots[where[i]], attempt);
        amb_gang_state(j, AMB_GANG_STARTING, "placed");
    }
    free(where);
    return fits;
}

/* On what grounds a job may have other work stopped. */
struct claim {
    enum amb_priority priority;
    const struct amb_team *team;
    bool guaranteed; /* it fits in what its team is guaranteed */
};

static struct claim claim_of(const struct amb_spec *s, const struct amb_team *team) {
    struct amb_res need = {0, 0, 0};
    amb_res_add(&need, &s->each, s->kind == AMB_GANG ? s->tasks : 1);
    bool guaranteed = s->kind != AMB_ARRAY && team && amb_wdrr_within_guarantee(team, &need);
    return (struct claim){s->priority, team, guaranteed};
}

static bool beyond_guarantee(const struct amb_team *t) {
    return t->guarantee.gpus > 0 ? t->used.gpus > t->guarantee.gpus : t->used.cpus > t->guarantee.cpus;
}

/* Batch work makes way for urgent work of higher priority; and, if it loses little by it, what a team runs
 * beyond its guarantee makes way for what another is guaranteed. */
static bool makes_way(const struct amb_task *t, const struct claim *c) {
    const struct amb_spec *s = t->job->spec;
    if (s->kind != AMB_ARRAY || t->halting || t->state == AMB_TASK_PLACED || t->done) return false;
    if (c->priority >= AMB_HIGH && s->priority < c->priority) return true;
    return c->guaranteed && s->checkpoint_s > 0 && t->job->team != c->team && beyond_guarantee(t->job->team);
}

static struct amb_slot *make_room(struct round *r, struct amb_job *j, const struct amb_wish *w,
                                  bool image_only) {
    const struct claim claim = claim_of(j->spec, j->team);
    if (r->n->opt.preempt < 0.5 || (j->spec->priority < AMB_HIGH && !claim.guaranteed)) return NULL;
    int best = -1;
    double least = INFINITY;
    for (uint32_t i = 0; i < r->nslots; i++) {
        struct amb_slot *s = &r->slots[i];
        if (!s->machine || s->machine->state != AMB_MACHINE_UP || !amb_place_allowed(w, s)) continue;
        if (image_only && !s->has_image) continue;
        struct amb_res room = s->room;
        amb_res_add(&room, &s->soon, 1);
        double lost = s->has_image ? 0 : 1000;
        for (struct amb_task *t = s->machine->tasks; t && !amb_res_fits(&w->need, &room); t = t->next) {
            if (!makes_way(t, &claim)) continue;
            amb_res_add(&room, &t->job->spec->each, 1);
            lost += t->running_at ? (double)(r->now - t->running_at) / 1000 : 0;
        }
        if (amb_res_fits(&w->need, &room) && lost < least) {
            least = lost;
            best = (int)i;
        }
    }
    if (best < 0) return NULL;
    struct amb_slot *s = &r->slots[best];
    struct amb_res room = s->room;
    amb_res_add(&room, &s->soon, 1);
    for (struct amb_task *t = s->machine->tasks; t && !amb_res_fits(&w->need, &room); t = t->next) {
        if (!makes_way(t, &claim)) continue;
        amb_res_add(&room, &t->job->spec->each, 1);
        amb_res_add(&s->soon, &t->job->spec->each, 1);
        amb_task_halt(r->n, t, t->job->spec->checkpoint_s > 0 ? t->job->spec->save_s : 0,
                      "room for a job that goes before it");
    }
    amb_res_add(&s->room, &w->need, -1);
    s->planned++;
    /* Until it has come, no batch work goes there. */
    if (j->spec->kind == AMB_GANG) s->machine->kept_for = (int)j->spec->priority;
    return s;
}

/* Would the fetch alone use up most of the time in which the job's class is to start? */
static bool fetch_too_long(const struct round *r, const struct amb_job *j, const struct amb_slot *s) {
    const struct amb_objective *o = wait_objective(r->n, j->spec);
    double rate = r->n->catalog.types[s->type].fetch_gb_s;
    if (!o || rate <= 0 || (j->spec->priority < AMB_HIGH && !claim_of(j->spec, j->team).guaranteed))
        return false;
    return j->spec->image_gb / rate > o->within_s * 0.7;
}

/* Is room on a machine with the image about to come? */
static bool promised(const struct round *r, const struct amb_wish *w) {
    for (uint32_t i = 0; i < r->nslots; i++) {
        struct amb_res room = r->slots[i].room;
        amb_res_add(&room, &r->slots[i].soon, 1);
        if (r->slots[i].has_image && amb_place_allowed(w, &r->slots[i]) && amb_res_fits(&w->need, &room))
            return true;
    }
    return false;
}

/* How long room that was asked for may take to come: what is told to stop may save first. */
static amb_ms room_takes(const struct round *r) {
    double save = 0;
    for (uint32_t i = 0; i < r->nslots; i++)
        for (struct amb_task *t = r->slots[i].machine ? r->slots[i].machine->tasks : NULL; t; t = t->next)
            if (t->halting && r->slots[i].has_image) save = fmax(save, t->grace_s);
    return amb_secs(save + r->n->set.report_s * 4);
}

static enum amb_wdrr_try admit(void *arg, uint32_t team, const struct amb_wdrr_item *item) {
    struct round *r = arg;
    struct amb_job *j = item->what;
    (void)team;
    mark_images(r, j);
    if (j->spec->kind == AMB_GANG && j->spec->tasks > 1)
        return admit_gang(r, j) ? AMB_TRY_ADMITTED : AMB_TRY_NO_FIT;
    struct amb_wish w;
    wish_of(r, j, &w);
    int at = amb_place_pick(&w, r->slots, r->nslots, false);
    struct amb_task *t = first_waiting(j);
    if (at < 0 || !t) return AMB_TRY_NO_FIT;
    /* A user waits for it, and fetching the image would take too long: better the room of other work on a
     * machine that holds it. */
    if (!r->slots[at].has_image && fetch_too_long(r, j, &r->slots[at])) {
        if (!j->image_since) j->image_since = r->now;
        if (r->now - j->image_since < room_takes(r) && (promised(r, &w) || make_room(r, j, &w, true)))
            return AMB_TRY_NO_FIT;
    }
    j->image_since = 0;
    if (j->spec->kind == AMB_GANG) return admit_gang(r, j) ? AMB_TRY_ADMITTED : AMB_TRY_NO_FIT;
    start_task(r, t, &r->slots[at], j->next_attempt++);
    return AMB_TRY_ADMITTED;
}

static uint32_t admission(struct round *r) {
    struct amb_node *n = r->n;
    const struct amb_wdrr_ops ops = {next_item, admit, skip_item, is_idle, r};
    uint32_t first = n->set.nteams ? n->ctl.turn++ % n->set.nteams : 0, count;
    /* What users wait for goes before what may be stopped for it (docs/design.md, exceptions). */
    r->urgent_pass = true;
    count = amb_wdrr_round(n->set.teams, n->set.nteams, first, &ops);
    for (uint32_t i = 0; i < n->set.nteams; i++) {
        struct line *l = &r->lines[i];
        while (l->at < l->n && l->jobs[l->at]->spec->priority >= AMB_HIGH) l->at++;
    }
    r->urgent_pass = false;
    return count + amb_wdrr_round(n->set.teams, n->set.nteams, first, &ops);
}

/* ---- what does not fit: wait for room that comes, make room, or rent ---- */

struct plan {
    struct round *r;
    uint32_t rent[AMB_TYPES][AMB_ZONES][2], rented;
    struct amb_res extra[AMB_TEAMS]; /* planned for each team on top of what it uses */
};

static double fits_times(const struct amb_res *need, const struct amb_res *size) {
    double n = 1e6;
    if (need->cpus > 0) n = fmin(n, floor(size->cpus / need->cpus + 1e-6));
    if (need->gpus > 0) n = fmin(n, floor(size->gpus / need->gpus + 1e-6));
    if (need->memory > 0) n = fmin(n, floor(size->memory / need->memory + 1e-6));
    return n;
}

/* The cheapest machine per task that could be rented for the wish; most: tasks of this shape that wait. */
static struct amb_slot *rent_for(struct plan *p, const struct amb_wish *w, uint32_t most, bool spread_even) {
    struct round *r = p->r;
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
                if (z < 0 || !amb_place_allowed(w, &s) || amb_rental_refused(n, (int)t, z, spot, r->now))
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
    p->rent[bt][bz][bs]++;
    p->rented++;
    return add_type_slot(r, bt, bz, bs);
}

static bool within_plan(const struct plan *p, const struct amb_job *j, double times) {
    uint32_t team = (uint32_t)(j->team - p->r->n->set.teams);
    struct amb_team t = *j->team;
    amb_res_add(&t.used, &p->extra[team], 1);
    return amb_wdrr_within_limit(&t, &j->spec->each, times);
}

static void plan_task(struct plan *p, struct amb_job *j, struct amb_wish *w, uint32_t most, bool patient,
                      bool *done) {
    struct round *r = p->r;
    struct amb_slot *s = NULL;
    int at = amb_place_pick(w, r->slots, r->nslots, true);
    *done = false;
    /* A place that has to boot is taken only when no running work can make way. */
    bool up = at >= 0 && r->slots[at].machine && r->slots[at].machine->state == AMB_MACHINE_UP;
    if (!up) s = make_room(r, j, w, false); /* takes the room itself */
    if (!s) {
        s = at >= 0 ? &r->slots[at] : patient ? NULL : rent_for(p, w, most, true);
        if (!s) {
            *done = true;
            return;
        }
        amb_res_add(&s->room, &w->need, -1);
        s->planned++;
    }
    j->zone_used[s->zone]++;
    r->n->ctl.undo[r->n->ctl.nundo++] = s->zone;
}

static void plan_job(struct plan *p, struct amb_job *j) {
    struct round *r = p->r;
    struct amb_controller *ctl = &r->n->ctl;
    struct amb_wish w;
    bool done = false, patient = can_wait(r->n, j);
    uint32_t left = amb_job_waiting(j), team = (uint32_t)(j->team - r->n->set.teams);
    mark_images(r, j);
    wish_of(r, j, &w);
    ctl->nundo = 0;
    if (left > AMB_PLAN_TASKS) left = AMB_PLAN_TASKS;
    if (j->spec->kind == AMB_GANG) {
        if (!within_plan(p, j, j->spec->tasks) || j->spec->tasks > AMB_PLAN_TASKS) return;
        int where[AMB_PLAN_TASKS];
        amb_res_add(&p->extra[team], &j->spec->each, j->spec->tasks);
        if (place_gang(r, j, where, true)) {
            for (uint32_t i = 0; i < j->spec->tasks; i++) {
                struct amb_slot *s = &r->slots[where[i]];
                if (s->machine) s->machine->kept_for = (int)j->spec->priority;
                s->planned++;
                j->zone_used[r->slots[where[i]].zone]--;
            }
            return;
        }
        /* In one zone: all of it goes where the first machine can be had. */
        for (uint32_t i = 0; i < j->spec->tasks && !done; i++) {
            plan_task(p, j, &w, j->spec->tasks, false, &done);
            if (j->spec->one_zone && ctl->nundo) w.zone = ctl->undo[0];
        }
    } else {
        for (; left && !done && within_plan(p, j, 1); left--) {
            plan_task(p, j, &w, left, patient, &done);
            amb_res_add(&p->extra[team], &j->spec->each, 1);
        }
    }
    while (ctl->nundo) j->zone_used[ctl->undo[--ctl->nundo]]--;
}

/* Free room kept for what a class of urgent jobs is expected to ask for while a machine would boot. */
static void plan_headroom(struct plan *p) {
    struct round *r = p->r;
    struct amb_node *n = r->n;
    uint32_t none[AMB_ZONES] = {0};
    for (uint32_t i = 0; i < n->ctl.ndemands; i++) {
        struct amb_demand *d = &n->ctl.demands[i];
        if (d->rate <= 0) continue;
        double boot = 0;
        uint32_t mask = 0;
        for (uint32_t t = 0; t < n->catalog.ntypes; t++) {
            bool allowed = !d->last.ntypes;
            for (uint32_t k = 0; k < d->last.ntypes && !allowed; k++)
                allowed = !strcmp(d->last.types[k], n->catalog.types[t].name);
            if (!allowed || fits_times(&d->last.each, &n->catalog.types[t].size) < 1) continue;
            mask |= 1u << t;
            boot = fmax(boot, n->catalog.types[t].boot_s);
        }
        double age = (double)(r->now - d->at) / 1000, fade = exp(-age / (4 * boot));
        /* Arrivals come and tasks end about as often: what is left to cover is their spread. */
        double count = n->opt.headroom * sqrt(d->rate * fade * boot * d->size2);
        const struct claim claim = claim_of(&d->last, amb_settings_team(&n->set, d->last.team));
        struct amb_wish w = {
            .need = d->last.each, .type_mask = mask, .zone = -1, .spot = d->last.spot, .zone_used = none};
        for (uint32_t k = 0; k < (uint32_t)ceil(count) && k < AMB_PLAN_TASKS; k++) {
            mark_image(r, &d->last,
                       d->images[k % d->nimages]); /* a share of the room for each image asked for */
            int at = amb_place_pick(&w, r->slots, r->nslots, true);
            struct amb_slot *s = at >= 0 ? &r->slots[at] : NULL;
            /* Work that would make way for it is as good as free room. */
            for (uint32_t q = 0; (!s || !s->has_image) && q < r->nslots; q++) {
                struct amb_slot *c = &r->slots[q];
                if (!c->machine || !amb_place_allowed(&w, c) || (s && !c->has_image)) continue;
                struct amb_res room = c->room;
                amb_res_add(&room, &c->soon, 1);
                for (struct amb_task *t = c->machine->tasks; t; t = t->next)
                    if (makes_way(t, &claim)) amb_res_add(&room, &t->job->spec->each, 1);
                if (amb_res_fits(&w.need, &room)) s = c;
            }
            if (!s) s = rent_for(p, &w, (uint32_t)ceil(count) - k, false);
            if (!s) break;
            amb_res_add(&s->room, &w.need, -1);
            s->planned++;
            if (s->machine) s->machine->kept_for = (int)d->last.priority;
        }
    }
}

static void plan_returns(struct plan *p) {
    struct round *r = p->r;
    struct amb_node *n = r->n;
    struct amb_machine *m, *next;
    for (uint32_t i = 0; i < r->nslots; i++) {
        struct amb_slot *s = &r->slots[i];
        m = s->machine;
        if (!m || s->planned || m->ntasks || m->state != AMB_MACHINE_UP) continue;
        const struct amb_type *t = &n->catalog.types[m->type];
        amb_ms idle = amb_secs(t->boot_s * n->opt.idle_return);
        amb_ms lead = r->now - n->ctl.leading_since;
        if (r->now - m->idle_since > idle && lead > idle) amb_rental_release(n, m, "idle");
    }
    HASH_ITER(hh, n->fleet.all, m, next) if (m->drain && !m->ntasks) amb_rental_release(n, m, "emptied");
}

/* ---- emptying machines: what runs on a few could run on fewer ---- */

/* A replica may be moved once it has run for a while, to a machine that holds its image: then it is down for
 * little more than two reports. Takes the room it would get. */
static bool movable(struct round *r, struct amb_task *t) {
    struct amb_job *j = t->job;
    struct amb_wish w;
    if (t->halting || t->state != AMB_TASK_SEEN || !t->running_at || j->state != AMB_JOB_QUEUED) return false;
    if (r->now - t->running_at < amb_secs(r->n->set.lease_s * 4)) return false;
    mark_images(r, j);
    wish_of(r, j, &w);
    int zone = t->machine->zone;
    j->zone_used[zone]--;
    int at = amb_place_pick(&w, r->slots, r->nslots, false);
    j->zone_used[zone]++;
    if (at < 0 || !r->slots[at].has_image || !r->slots[at].machine ||
        r->slots[at].machine->state != AMB_MACHINE_UP || r->slots[at].machine == t->machine)
        return false;
    amb_res_add(&r->slots[at].room, &j->spec->each, -1);
    return true;
}

static bool can_empty(struct round *r, struct amb_slot *s) {
    bool could = true;
    struct amb_res *rooms = amb_alloc(r->nslots * sizeof *rooms);
    for (uint32_t i = 0; i < r->nslots; i++) rooms[i] = r->slots[i].room;
    s->usable = false;
    for (struct amb_task *t = s->machine->tasks; t && could; t = t->next) {
        if (t->job->spec->kind == AMB_GANG || t->halting) could = false;
        if (t->job->spec->kind == AMB_SERVICE) could = movable(r, t);
    }
    s->usable = true;
    for (uint32_t i = 0; i < r->nslots; i++) r->slots[i].room = rooms[i];
    free(rooms);
    return could;
}

static double fade(double peak, double now, double keep) {
    return fmax(now, now + (peak - now) * keep);
}

/* Batch work comes in bursts: what it took a little while ago it will take again. */
static void note_demand(struct plan *p) {
    struct round *r = p->r;
    struct amb_node *n = r->n;
    struct amb_controller *c = &n->ctl;
    struct amb_res now = {0, 0, 0};
    double boot = 0;
    for (uint32_t i = 0; i < n->set.nteams; i++) {
        amb_res_add(&now, &n->set.teams[i].used, 1);
        amb_res_add(&now, &p->extra[i], 1); /* what waits and may start */
    }
    for (uint32_t t = 0; t < n->catalog.ntypes; t++) boot = fmax(boot, n->catalog.types[t].boot_s);
    double keep = c->peak_at ? exp(-(double)(r->now - c->peak_at) / 1000 / (1.5 * boot + 1)) : 0;
    c->peak.cpus = fade(c->peak.cpus, now.cpus, keep);
    c->peak.gpus = fade(c->peak.gpus, now.gpus, keep);
    c->peak.memory = fade(c->peak.memory, now.memory, keep);
    c->peak_at = r->now;
}

/* Would the fleet without this machine still have held the latest peak? */
static bool spare(const struct round *r, const struct amb_machine *one) {
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
    struct round *r = p->r;
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

static void planning(struct round *r) {
    struct amb_node *n = r->n;
    struct plan *p = amb_alloc(sizeof *p);
    p->r = r;
    look_at_machines(r, true);
    for (uint32_t i = 0; i < r->nslots; i++)
        if (r->slots[i].machine) r->slots[i].machine->kept_for = -1;
    for (uint32_t i = 0; i < r->njobs; i++)
        if (wants_start(r, r->jobs[i])) plan_job(p, r->jobs[i]);
    note_demand(p);
    plan_headroom(p);
    plan_returns(p);
    plan_emptying(p);
    for (uint32_t t = 0; t < n->catalog.ntypes; t++)
        for (uint32_t z = 0; z < n->catalog.nzones; z++)
            for (int s = 0; s < 2; s++)
                if (p->rent[t][z][s]) amb_rental_want(n, (int)t, (int)z, s, p->rent[t][z][s]);
    free(p);
}

static void drop_dead_boots(struct amb_node *n, amb_ms now) {
    struct amb_machine *m, *next;
    HASH_ITER(hh, n->fleet.all, m, next) {
        if (m->state != AMB_MACHINE_BOOTING || m->type < 0) continue;
        if (now - m->first_at > amb_secs(n->catalog.types[m->type].boot_s * 4))
            amb_rental_release(n, m, "it does not come up");
    }
}

static void run_round(void *arg) {
    struct amb_node *n = arg;
    struct amb_controller *c = &n->ctl;
    if (!c->ready || !amb_may_start(n) || !n->rental.catalog_known) return;
    amb_ms now = amb_now();
    struct round *r = amb_alloc(sizeof *r);
    r->n = n;
    r->now = now;
    for (uint32_t i = 0; i < n->set.nteams; i++) r->by_gpus |= n->set.teams[i].guarantee.gpus > 0;
    amb_wdrr_refill(n->set.teams, n->set.nteams, c->round_at ? (double)(now - c->round_at) / 1000 : 0);
    c->round_at = now;
    c->round_wanted = false;
    look_at_machines(r, false);
    look_at_jobs(r);
    uint32_t started = admission(r);
    if (amb_log_on(AMB_DEBUG)) {
        double room = 0;
        for (uint32_t i = 0; i < r->nslots; i++) room += r->slots[i].room.gpus;
        amb_debug("round: %u jobs waited, %u tasks or gangs placed, %u machines usable, %g GPUs left",
                  r->njobs, started, r->nslots, room);
    }
    if (now - c->plan_at >= amb_secs(n->set.report_s / 2)) {
        c->plan_at = now;
        planning(r);
        drop_dead_boots(n, now);
    }
    round_free(r);
    free(r);
    if (started) amb_record_pump(n);
}

void amb_controller_wake(struct amb_node *n) {
    n->ctl.round_wanted = true;
    if (!n->ctl.ready || n->ctl.round_timer.slot) return;
    /* A moment's patience lets news that comes together be handled together. */
    amb_timer_in(&n->ctl.round_timer, amb_secs(n->set.report_s * 0.05), run_round, n);
}

void amb_controller_demand(struct amb_node *n, const struct amb_spec *s) {
    struct amb_controller *c = &n->ctl;
    amb_ms now = amb_now();
    struct amb_demand *d = NULL;
    /* Work that starts late is missed, and a machine takes longer to boot than it may wait. */
    if (s->priority < AMB_HIGH && !wait_objective(n, s)) return;
    if (s->kind == AMB_ARRAY) return;
    for (uint32_t i = 0; i < c->ndemands && !d; i++)
        if (!strcmp(c->demands[i].class_name, s->class_name)) d = &c->demands[i];
    if (!d) {
        if (c->ndemands == AMB_DEMANDS) return;
        d = &c->demands[c->ndemands++];
        memset(d, 0, sizeof *d);
        strcpy(d->class_name, s->class_name);
        d->at = now;
    }
    double boot = 0;
    for (uint32_t t = 0; t < n->catalog.ntypes; t++) boot = fmax(boot, n->catalog.types[t].boot_s);
    double tau = fmax(4 * boot, n->set.lease_s);
    d->rate = d->rate * exp(-(double)(now - d->at) / 1000 / tau) + 1 / tau; /* jobs a second */
    d->at = now;
    double square = (double)s->tasks * s->tasks;
    d->size2 = d->size2 > 0 ? d->size2 * 0.9 + square * 0.1 : square;
    d->last = *s;
    uint32_t i = 0;
    while (i < d->nimages && strcmp(d->images[i], s->image)) i++;
    if (i == d->nimages) {
        if (d->nimages < AMB_DEMAND_IMAGES) d->nimages++;
        i = d->nimages - 1;
    }
    memmove(d->images[1], d->images[0], i * sizeof d->images[0]);
    strcpy(d->images[0], s->image);
}

/* ---- taking over ---- */

static void load_next(struct amb_node *n);

static void loaded_all(struct amb_node *n) {
    struct amb_job *j, *next;
    HASH_ITER(hh, n->jobs.all, j, next) if (j->state == AMB_JOB_QUEUED) amb_job_take(n, j);
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
    if (!n->rental.catalog_known) return;
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
    c->round_at = c->plan_at = c->peak_at = 0;
    c->ndemands = 0;
    bool by_gpus = false;
    for (uint32_t i = 0; i < n->set.nteams; i++) by_gpus |= n->set.teams[i].guarantee.gpus > 0;
    amb_wdrr_prepare(n->set.teams, n->set.nteams, by_gpus);
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
    amb_fleet_clear(n);
}

static void tick(void *arg) {
    struct amb_node *n = arg;
    struct amb_controller *c = &n->ctl;
    amb_ms now = amb_now();
    amb_timer_in(&c->timer, amb_secs(n->set.report_s * 0.1), tick, n);
    amb_rental_tick(n, now);
    amb_deputy_tick(n, now);
    if (!amb_leads(n)) return;
    if (c->loading) load_tick(n, now);
    amb_ms learn = amb_secs(n->set.report_s * 1.3);
    if (c->loaded_at && !c->ready && now - c->leading_since > learn && now - c->loaded_at > learn / 2) {
        amb_info("controller: ready to place");
        c->ready = true;
        amb_controller_wake(n);
    }
    amb_fleet_tick(n, now);
    if (c->ready && (c->round_wanted || now - c->round_at > amb_secs(n->set.report_s * 0.5)))
        amb_controller_wake(n);
    amb_record_pump(n);
}

/* ---- the front ---- */

void amb_reply_cbor(struct amb_http_req *req, int status, struct amb_buf *body, int retry_after_s) {
    amb_http_reply(req, status, "application/cbor", body ? body->data : NULL, body ? body->len : 0,
                   retry_after_s);
    if (body) amb_buf_free(body);
}

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
    if (amb_fleet_request(n, req) || amb_jobs_request(n, req)) return;
    if (strcmp(req->path, "/healthz"))
        amb_reply_cbor(req, 404, NULL, 0);
    else if (strcmp(req->method, "GET"))
        amb_reply_cbor(req, 405, NULL, 0);
    else
        amb_reply_cbor(req, healthy(n) ? 200 : 503, NULL, 0);
}

int amb_node_start(struct amb_node *n, char *err, size_t cap) {
    amb_store_init(&n->store, &n->set);
    amb_election_init(n);
    amb_rental_init(n);
    for (uint32_t i = 0; i < n->set.nzones; i++) amb_catalog_zone(&n->catalog, n->set.zones[i]);
    /* A quarter of the sockets is ours, to reach others with; the rest is for those who reach us. */
    int sockets = (int)n->set.fd_limit;
    amb_http_client_limit(sockets / 4);
    n->front = amb_server_open(n->set.front, sockets * 5 / 8, amb_secs(n->set.lease_s * 6), request, n);
    if (!n->front) {
        snprintf(err, cap, "front %s can't be opened", n->set.front);
        return -1;
    }
    amb_peer_init(n);
    amb_jobs_init(n);
    tick(n);
    return 0;
}
