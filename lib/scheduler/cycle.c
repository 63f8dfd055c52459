/* The leader's round: order, admit, place. */
#include "amberpin/scheduler/cycle.h"
#include "amberpin/agent/task_failures.h"
#include "amberpin/base/log.h"
#include "amberpin/placement/wdrr.h"
#include "amberpin/scheduler/start_deadline.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* ---- a round's view of the world ---- */

static struct amb_slot *add_slot(struct amb_round *r) {
    if (r->nslots == r->cap) {
        r->cap = r->cap ? r->cap * 2 : 128;
        r->slots = amb_grow(r->slots, r->cap * sizeof *r->slots);
    }
    struct amb_slot *s = &r->slots[r->nslots++];
    memset(s, 0, sizeof *s);
    return s;
}

struct amb_slot *amb_round_add_type(struct amb_round *r, int type, int zone, bool spot) {
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

static double fetch_left(const struct amb_round *r, const struct amb_task *t) {
    double gb = t->job->spec->image_gb, rate = r->n->catalog.types[t->machine->type].fetch_gb_s;
    if (t->state != AMB_TASK_SEEN) return gb;
    return fmax(gb * 0.1, gb - rate * (double)(r->now - t->since) / 1000);
}

static void add_machine(struct amb_round *r, struct amb_machine *m, bool usable) {
    struct amb_slot *s = amb_round_add_type(r, m->type, m->zone, m->spot);
    amb_res_add(&s->room, &m->used, -1);
    s->usable = usable;
    s->machine = m;
    s->kept_for = m->kept_for;
    s->claimed = m->claimed;
    s->reserved = m->reserved;
    for (struct amb_task *t = m->tasks; t; t = t->next) {
        if (t->halting) amb_res_add(&s->soon, &t->job->spec->each, 1);
        if (t->job->spec->kind == AMB_SERVICE) s->lasting += t->job->spec->each.gpus;
        if (t->job->spec->kind == AMB_ARRAY) amb_res_add(&s->batch, &t->job->spec->each, 1);
        if (fetches(t) && !fetch_shared(t)) s->fetching_gb += fetch_left(r, t);
    }
}

static void look_at_machines(struct amb_round *r, bool booting) {
    struct amb_machine *m, *next;
    HASH_ITER(hh, r->n->fleet.all, m, next) {
        if (m->type < 0 || m->zone < 0 || m->release_wanted) continue;
        if (!booting) {
            if (amb_machine_usable(r->n, m, r->now)) add_machine(r, m, true);
            continue;
        }
        /* Counted on while it may still come up in time; after that another is rented in its place. */
        double boot = r->n->catalog.types[m->type].boot_s;
        bool soon = m->state == AMB_MACHINE_BOOTING && r->now - m->rented_at < amb_secs(boot * 2);
        bool fresh =
            m->state == AMB_MACHINE_UNPROVEN && r->now - m->reported_at < amb_secs(r->n->set.report_s * 3);
        /* Nor does what boots where nothing can be reached. (In a cut of 105 s work waited for machines that
         * had been rented beyond it, for two boot times each.) */
        if ((soon || fresh) && !amb_zone_unreachable(r->n, m->zone)) add_machine(r, m, true);
    }
    if (!booting) return;
    for (struct amb_rental_request *c = r->n->rental.requests; c; c = c->next)
        if ((c->state == AMB_REQUEST_RECORDING || c->state == AMB_REQUEST_ASKING) &&
            !amb_zone_unreachable(r->n, c->zone))
            for (uint32_t i = 0; i < c->count; i++) amb_round_add_type(r, c->type, c->zone, c->spot);
}

static bool lost_before(const struct amb_job *j) {
    return j->spec->kind == AMB_SERVICE && j->ndone + j->nbound > 0;
}

static int by_urgency(const void *a, const void *b) {
    const struct amb_job *x = *(struct amb_job *const *)a, *y = *(struct amb_job *const *)b;
    if (x->recovery_step != y->recovery_step) return x->recovery_step < y->recovery_step ? -1 : 1;
    enum amb_priority priority_x = amb_job_priority(x), priority_y = amb_job_priority(y);
    if (priority_x != priority_y) return priority_x > priority_y ? -1 : 1;
    if (lost_before(x) != lost_before(y)) return lost_before(x) ? -1 : 1;
    int64_t order_x = amb_job_order_wall(x), order_y = amb_job_order_wall(y);
    if (order_x != order_y) return order_x < order_y ? -1 : 1;
    return strcmp(x->ref, y->ref);
}

bool amb_round_wants_start(const struct amb_round *r, const struct amb_job *j) {
    if (j->state != AMB_JOB_QUEUED || j->awaiting || !amb_job_waiting(j)) return false;
    if (j->spec->kind == AMB_GANG && (j->gang != AMB_GANG_IDLE || j->nbound)) return false;
    if (amb_job_broken(j) && j->nbound) return false; /* one task is tried at a time */
    return r->now >= j->hold_until;
}

static void look_at_jobs(struct amb_round *r) {
    uint32_t count = 0;
    for (struct amb_job *j = r->n->jobs.live; j; j = j->next_live) count += amb_round_wants_start(r, j);
    r->jobs = amb_alloc((count + 1) * sizeof *r->jobs);
    for (struct amb_job *j = r->n->jobs.live; j; j = j->next_live)
        if (amb_round_wants_start(r, j)) {
            j->recovery_step = amb_zone_recovery_step(r->n, j);
            r->jobs[r->njobs++] = j;
        }
    qsort(r->jobs, r->njobs, sizeof *r->jobs, by_urgency);
    for (uint32_t i = 0; i < r->njobs; i++) {
        struct amb_line *l = &r->lines[r->jobs[i]->team - r->n->set.teams];
        if (!l->jobs) l->jobs = amb_alloc(r->njobs * sizeof *l->jobs);
        l->jobs[l->n++] = r->jobs[i];
    }
}

void amb_round_add_coming(struct amb_round *r) {
    look_at_machines(r, true);
}

struct amb_round *amb_round_new(struct amb_node *n, amb_ms now) {
    struct amb_round *r = amb_alloc(sizeof *r);
    r->n = n;
    r->now = now;
    r->zones_without_batch = amb_zones_without_batch(n);
    r->by_gpus = amb_wdrr_by_gpus(n->set.teams, n->set.nteams);
    amb_pipelines_reckon(n);
    look_at_machines(r, false);
    look_at_jobs(r);
    return r;
}

void amb_round_free(struct amb_round *r) {
    for (uint32_t i = 0; i < r->n->set.nteams; i++) free(r->lines[i].jobs);
    free(r->jobs);
    free(r->slots);
    amb_slot_rankings_free(&r->rankings);
    free(r);
}

/* No machine will do until more is known or proven. */
static void allow_nothing(struct amb_wish *w) {
    w->type_mask = 0;
}

/* What the job's tasks that are not proven absent leave of the zones. One that binds itself to one zone can
 * have tasks on record in two: the record of a large job is in several blocks, and a block is not written
 * anew when its tasks are gone. Which of them are there only their machines can tell. */
static void limit_zones(const struct amb_round *r, const struct amb_job *j, struct amb_wish *w) {
    uint32_t unknown = amb_job_tasks_in_unknown_zones(j);
    if (j->spec->spread) {
        if (unknown >= w->zone_most) allow_nothing(w);
        w->zone_most -= unknown < w->zone_most ? unknown : 0;
    }
    if (!j->spec->one_zone || j->spec->kind == AMB_GANG) return; /* a gang starts with nothing on record */
    uint32_t zones = 0;
    for (uint32_t z = 0; z < r->n->catalog.nzones; z++) {
        if (!j->zone_used[z]) continue;
        w->zone = (int)z;
        zones++;
    }
    if (zones > 1 || unknown) allow_nothing(w);
}

void amb_round_wish(struct amb_round *r, struct amb_job *j, struct amb_wish *w) {
    memset(w, 0, sizeof *w);
    amb_job_allows_type(r->n, j, 0);
    w->need = j->spec->each;
    w->type_mask = j->type_mask;
    w->zone = amb_catalog_zone(&r->n->catalog, j->spec->zone);
    w->spot = j->spec->spot;
    w->lasting = j->spec->kind == AMB_SERVICE;
    w->priority = amb_job_priority(j);
    w->patient = j->spec->kind == AMB_ARRAY && !amb_start_objective(r->n, j->spec);
    w->can_wait = amb_start_can_wait(r->n, j);
    w->opportunistic = amb_job_opportunistic(j);
    w->zone_used = j->zone_used;
    w->zone_most = j->spec->spread ? amb_place_spread_most(j->spec->tasks) : 0;
    /* A zone that has just come back may go again: replicas of the order return there at once, batch work
     * that would lose what it has done waits until the zone is steady. */
    w->zones_barred = j->spec->kind == AMB_SERVICE ? 0 : r->zones_without_batch;
    limit_zones(r, j, w);
}

static bool on_its_way(const struct amb_machine *m, const char *image) {
    for (const struct amb_task *t = m->tasks; t; t = t->next)
        if (!strcmp(t->job->spec->image, image)) return fetches(t) && !fetch_shared(t);
    return false;
}

/* The time in which a task of this kind is to start, or when nobody waits for its start the time that it runs
 * for; and what order and report take of it (negative: nobody waits). */
struct start_time {
    double within_s, slack_s;
};

static struct start_time start_time(const struct amb_round *r, const struct amb_spec *spec) {
    const struct amb_objective *o = amb_start_objective(r->n, spec);
    double within = o ? o->within_s : spec->estimate_s > 0 ? spec->estimate_s : r->n->set.lease_s;
    /* Where reports are slow, no more than they do on the average. */
    return (struct start_time){within, o ? fmin(r->n->set.report_s * 1.2, within * 0.2) : -1};
}

static void mark_slot(const struct amb_round *r, struct amb_slot *s) {
    const struct amb_slot_marking *marking = &r->marking;
    s->marked_in = r->marking_serial;
    s->late = 0;
    if (marking->any_room_will_do) return;
    double rate = r->n->catalog.types[s->type].fetch_gb_s;
    s->has_image = s->machine && amb_machine_has_image(s->machine, marking->image);
    double gb = s->fetching_gb + marking->image_gb;
    if (s->has_image) gb = s->fetching_gb > 0 && on_its_way(s->machine, marking->image) ? s->fetching_gb : 0;
    if (rate > 0) s->late = amb_place_late(gb / rate, marking->within_s, marking->slack_s);
}

void amb_round_mark(struct amb_round *r, const struct amb_spec *spec, const char *image) {
    struct start_time start = start_time(r, spec);
    r->marking = (struct amb_slot_marking){
        .image = image, .image_gb = spec->image_gb, .within_s = start.within_s, .slack_s = start.slack_s};
    r->marking_serial++;
}

void amb_round_mark_any(struct amb_round *r) {
    r->marking = (struct amb_slot_marking){.any_room_will_do = true};
    r->marking_serial++;
}

struct amb_slot *amb_round_slot(struct amb_round *r, uint32_t i) {
    struct amb_slot *s = &r->slots[i];
    if (s->marked_in != r->marking_serial) mark_slot(r, s);
    return s;
}

void amb_round_slot_changed(struct amb_round *r, const struct amb_slot *slot) {
    amb_slot_rankings_changed(&r->rankings, (uint32_t)(slot - r->slots));
}

static void mark_for_ranking(void *context, uint32_t slot) {
    amb_round_slot(context, slot);
}

static bool cost_of_room(void *context, uint32_t slot, const struct amb_wish *w,
                         const struct amb_slot_terms *terms, double *cost);

static struct amb_slot_list slot_list(struct amb_round *r) {
    return (struct amb_slot_list){
        .slots = r->slots, .count = r->nslots, .mark = mark_for_ranking, .cost = cost_of_room, .context = r};
}

int amb_round_pick(struct amb_round *r, const struct amb_wish *w, bool soon) {
    const struct amb_slot_list list = slot_list(r);
    return amb_slot_rankings_pick(&r->rankings, &list, &r->marking, w, soon);
}

/* ---- admission ---- */

/* Has the job its turn in the pass under way? */
static bool has_turn(const struct amb_round *r, const struct amb_job *j) {
    if (r->urgent_pass && amb_job_priority(j) < AMB_HIGH) return false;
    return j->recovery_step <= r->recovery_pass;
}

static bool next_item(void *arg, uint32_t team, struct amb_wdrr_item *out) {
    struct amb_round *r = arg;
    struct amb_line *l = &r->lines[team];
    while (l->at < l->n) {
        struct amb_job *j = l->jobs[l->at];
        if (!has_turn(r, j)) return false;
        if (amb_round_wants_start(r, j)) {
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
    struct amb_round *r = arg;
    return r->lines[team].at >= r->lines[team].n;
}

static void skip_item(void *arg, uint32_t team, const struct amb_wdrr_item *item) {
    struct amb_round *r = arg;
    (void)item;
    r->lines[team].at++;
}

void amb_round_reserve(struct amb_slot *s, const struct amb_spec *spec) {
    if (s->machine) amb_res_add(&s->machine->reserved, &spec->each, 1);
}

static double at_least_nothing(double amount) {
    return fmax(amount, 0);
}

static void use_reserved(struct amb_slot *s, const struct amb_spec *spec) {
    amb_res_add(&s->reserved, &spec->each, -1);
    s->reserved = (struct amb_res){at_least_nothing(s->reserved.cpus), at_least_nothing(s->reserved.gpus),
                                   at_least_nothing(s->reserved.memory)};
    s->machine->reserved = s->reserved;
}

static void start_task(struct amb_round *r, struct amb_task *t, struct amb_slot *s, uint64_t attempt) {
    struct amb_job *j = t->job;
    if (amb_job_recovers(r->n, j)) use_reserved(s, j->spec);
    amb_round_slot(r, (uint32_t)(s - r->slots));
    amb_round_slot_changed(r, s);
    r->placed_tasks++;
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

struct amb_claim amb_round_claim(const struct amb_spec *s, const struct amb_team *team) {
    struct amb_res need = {0, 0, 0};
    amb_res_add(&need, &s->each, s->kind == AMB_GANG ? s->tasks : 1);
    bool guaranteed = s->kind != AMB_ARRAY && team && amb_wdrr_within_guarantee(team, &need);
    return (struct amb_claim){s->priority, team, guaranteed};
}

static struct amb_claim claim_of(const struct amb_job *j) {
    struct amb_claim claim = amb_round_claim(j->spec, j->team);
    claim.priority = amb_job_priority(j);
    return claim;
}

static bool any_opportunistic(const struct amb_settings *set) {
    for (uint32_t i = 0; i < set->nteams; i++)
        if (set->teams[i].opportunistic) return true;
    return false;
}

/* Is there work that might be stopped on these grounds? A quick look that never says no wrongly. */
static bool may_stop_work(const struct amb_round *r, const struct amb_claim *claim) {
    if (r->n->opt.preempt < 0.5) return false;
    if (claim->priority >= AMB_HIGH || claim->guaranteed) return true;
    return claim->priority > AMB_BEST_EFFORT && any_opportunistic(&r->n->set);
}

static bool beyond_guarantee(const struct amb_team *t) {
    return t->guarantee.gpus > 0 ? t->used.gpus > t->guarantee.gpus : t->used.cpus > t->guarantee.cpus;
}

/* Batch work makes way for work of higher priority that is urgent or that its team is guaranteed; and, if it
 * loses little by it, what a team runs beyond its guarantee makes way for what another is guaranteed. (When
 * lower work made way for urgent work only, early stages that need no GPUs filled every machine's cores, and
 * gangs that their teams are guaranteed waited for machines to boot. Opportunistic work makes way for all
 * that is higher: when it did so for guaranteed work only, 70 machines were rented beside 80 that it had
 * filled.) */
bool amb_round_makes_way(const struct amb_task *t, const struct amb_claim *c) {
    const struct amb_spec *s = t->job->spec;
    if (s->kind != AMB_ARRAY || t->halting || t->state == AMB_TASK_PLACED || t->done) return false;
    bool may_stop_lower = c->priority >= AMB_HIGH || c->guaranteed || t->job->team->opportunistic;
    if (may_stop_lower && amb_job_priority(t->job) < c->priority) return true;
    return c->guaranteed && s->checkpoint_s > 0 && t->job->team != c->team && beyond_guarantee(t->job->team);
}

/* Could the slot have the room if all batch work on it made way? A quick look that never says no wrongly. */
static bool may_make_room(const struct amb_slot *s, const struct amb_wish *w) {
    struct amb_res room = amb_place_room(s, true);
    amb_res_add(&room, &s->batch, 1);
    return amb_res_fits(&w->need, &room);
}

/* Seconds of work that is lost when work makes way for the wish, more where the image is not. */
static bool cost_in_work(struct amb_round *r, const struct amb_slot *s, const struct amb_wish *w,
                         const struct amb_claim *claim, double *cost) {
    struct amb_res room = amb_place_room(s, true);
    *cost = s->has_image ? 0 : 1000;
    for (const struct amb_task *t = s->machine->tasks; t && !amb_res_fits(&w->need, &room); t = t->next) {
        if (!amb_round_makes_way(t, claim)) continue;
        amb_res_add(&room, &t->job->spec->each, 1);
        *cost += t->running_at ? (double)(r->now - t->running_at) / 1000 : 0;
    }
    return amb_res_fits(&w->need, &room);
}

/* Room is had when all that may make way does; it is better where the image is. */
static bool cost_in_images(const struct amb_slot *s, const struct amb_wish *w, const struct amb_claim *claim,
                           double *cost) {
    struct amb_res room = amb_place_room(s, true);
    for (const struct amb_task *t = s->machine->tasks; t; t = t->next)
        if (amb_round_makes_way(t, claim)) amb_res_add(&room, &t->job->spec->each, 1);
    *cost = s->has_image ? 0 : 1;
    return amb_res_fits(&w->need, &room);
}

/* Of the slot, as struct amb_slot_list has it. */
static bool cost_of_room(void *context, uint32_t slot, const struct amb_wish *w,
                         const struct amb_slot_terms *terms, double *cost) {
    struct amb_round *r = context;
    const struct amb_slot *s = &r->slots[slot];
    const struct amb_claim claim = {terms->priority, terms->team, terms->guaranteed};
    if (!s->machine || !may_make_room(s, w) || !amb_place_allowed_in_any_zone(w, s)) return false;
    if (terms->cost == AMB_COST_LOST_WORK && s->machine->state != AMB_MACHINE_UP) return false;
    bool has_image = amb_round_slot(r, slot)->has_image;
    if (terms->image_only && !has_image) return false;
    return terms->cost == AMB_COST_LOST_WORK ? cost_in_work(r, s, w, &claim, cost)
                                             : cost_in_images(s, w, &claim, cost);
}

static int cheapest_room(struct amb_round *r, const struct amb_wish *w, const struct amb_claim *claim,
                         enum amb_slot_cost cost, bool image_only) {
    const struct amb_slot_list list = slot_list(r);
    const struct amb_slot_terms terms = {.cost = cost,
                                         .priority = claim->priority,
                                         .team = claim->team,
                                         .guaranteed = claim->guaranteed,
                                         .image_only = image_only,
                                         .placed_tasks = r->placed_tasks};
    return amb_slot_rankings_cheapest(&r->rankings, &list, &r->marking, w, &terms);
}

/* The machine on which least is lost when work makes way for the wish; -1: there is none. */
static int least_lost(struct amb_round *r, const struct amb_wish *w, const struct amb_claim *claim,
                      bool image_only) {
    return cheapest_room(r, w, claim, AMB_COST_LOST_WORK, image_only);
}

struct amb_slot *amb_round_headroom(struct amb_round *r, const struct amb_wish *w,
                                    const struct amb_claim *claim) {
    int found = amb_round_pick(r, w, true);
    if (found >= 0 && r->slots[found].has_image) return &r->slots[found];
    int made = cheapest_room(r, w, claim, AMB_COST_IMAGE, false);
    bool better = made >= 0 && (found < 0 || amb_round_slot(r, (uint32_t)made)->has_image);
    if (better) found = made;
    return found >= 0 ? &r->slots[found] : NULL;
}

/* Puts every task of a gang somewhere, or none: where[i] is the slot of task i. With a claim, work that makes
 * way for it counts as room. Room and zone counts are left as they would be; undo with place_undo. */
static uint32_t place_all(struct amb_round *r, struct amb_job *j, struct amb_wish *w, int *where, bool soon,
                          const struct amb_claim *claim) {
    uint32_t i = 0;
    for (; i < j->spec->tasks; i++) {
        where[i] = claim ? least_lost(r, w, claim, false) : amb_round_pick(r, w, soon);
        if (where[i] < 0) break;
        amb_res_add(&r->slots[where[i]].room, &j->spec->each, -1);
        amb_round_slot_changed(r, &r->slots[where[i]]);
        j->zone_used[r->slots[where[i]].zone]++;
    }
    return i;
}

static void place_undo(struct amb_round *r, struct amb_job *j, const int *where, uint32_t count) {
    for (uint32_t i = 0; i < count; i++) {
        amb_res_add(&r->slots[where[i]].room, &j->spec->each, 1);
        amb_round_slot_changed(r, &r->slots[where[i]]);
        j->zone_used[r->slots[where[i]].zone]--;
    }
}

/* Tries zone after zone when the job binds itself to one. Leaves the slots taken on success. */
static bool place_gang(struct amb_round *r, struct amb_job *j, int *where, bool soon,
                       const struct amb_claim *claim) {
    struct amb_wish w;
    amb_round_wish(r, j, &w);
    bool any_one = j->spec->one_zone && w.zone < 0;
    uint32_t tries = any_one ? r->n->catalog.nzones : 1;
    for (uint32_t z = 0; z < tries; z++) {
        if (any_one) w.zone = (int)z;
        uint32_t got = place_all(r, j, &w, where, soon, claim);
        if (got == j->spec->tasks) return true;
        place_undo(r, j, where, got);
    }
    return false;
}

bool amb_round_place_gang(struct amb_round *r, struct amb_job *j, int *where, bool soon) {
    return place_gang(r, j, where, soon, NULL);
}

static bool admit_gang(struct amb_round *r, struct amb_job *j) {
    int *where = amb_alloc(j->spec->tasks * sizeof *where);
    bool fits = amb_round_place_gang(r, j, where, false);
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

/* Time to save is left to what is stopped, unless somebody waits for the start and the progress since its
 * last checkpoint (half an interval, on the average) is worth little more than the time that saving takes, or
 * is opportunistic work's. */
static double grace_for(const struct amb_round *r, const struct amb_job *stopped,
                        const struct amb_spec *waits) {
    const struct amb_spec *spec = stopped->spec;
    if (spec->checkpoint_s <= 0) return 0;
    bool hurry = amb_start_objective(r->n, waits) != NULL;
    bool cheap = spec->checkpoint_s / 2 < spec->save_s * 2 || amb_job_opportunistic(stopped);
    return hurry && cheap ? 0 : spec->save_s;
}

/* More was promised of the machine than it has: work of at most this priority is told to stop until it has
 * it. */
static void clear_way_of(struct amb_round *r, struct amb_slot *s, const struct amb_claim *claim,
                         const struct amb_spec *waits, enum amb_priority highest) {
    static const struct amb_res nothing = {0, 0, 0};
    struct amb_res room = amb_place_room(s, true);
    amb_round_slot_changed(r, s);
    for (struct amb_task *t = s->machine->tasks; t && !amb_res_fits(&nothing, &room); t = t->next) {
        if (!amb_round_makes_way(t, claim) || amb_job_priority(t->job) > highest) continue;
        amb_res_add(&room, &t->job->spec->each, 1);
        amb_res_add(&s->soon, &t->job->spec->each, 1);
        amb_debug("room on %s: %s/%u makes way for %s", s->machine->name, t->job->ref, t->index, waits->ref);
        amb_task_halt(r->n, t, grace_for(r, t->job, waits), "room for a job that goes before it");
    }
}

/* Says that the slot has changed. For replicas that recover the lowest priority stops first, since they may
 * need room on many machines at once. */
static void clear_way(struct amb_round *r, struct amb_slot *s, const struct amb_claim *claim,
                      const struct amb_spec *waits, bool lowest_first) {
    for (int highest = lowest_first ? AMB_BEST_EFFORT : AMB_PROD; highest <= AMB_PROD; highest++)
        clear_way_of(r, s, claim, waits, (enum amb_priority)highest);
}

struct amb_slot *amb_round_make_room(struct amb_round *r, struct amb_job *j, const struct amb_wish *w,
                                     bool image_only) {
    const struct amb_claim claim = claim_of(j);
    if (amb_job_broken(j) || !may_stop_work(r, &claim)) return NULL;
    int best = least_lost(r, w, &claim, image_only);
    if (best < 0) return NULL;
    struct amb_slot *s = &r->slots[best];
    amb_res_add(&s->room, &w->need, -1);
    bool recovers = amb_job_recovers(r->n, j);
    clear_way(r, s, &claim, j->spec, recovers);
    s->planned++;
    /* Until it has come, no batch work goes there. */
    if (j->spec->kind == AMB_GANG) s->machine->kept_for = (int)claim.priority;
    if (recovers) amb_round_reserve(s, j->spec);
    return s;
}

/* For a whole gang on machines that are up, zone by zone if it binds itself to one. Nothing is stopped unless
 * all of it finds room. */
bool amb_round_make_room_gang(struct amb_round *r, struct amb_job *j) {
    const struct amb_claim claim = claim_of(j);
    if (!may_stop_work(r, &claim)) return false;
    int *where = amb_alloc(j->spec->tasks * sizeof *where);
    bool all = place_gang(r, j, where, true, &claim);
    for (uint32_t i = 0; all && i < j->spec->tasks; i++) {
        struct amb_slot *s = &r->slots[where[i]];
        j->zone_used[s->zone]--;
        clear_way(r, s, &claim, j->spec, false);
        s->planned++;
        s->machine->kept_for = (int)claim.priority;
        s->machine->claimed = true;
    }
    free(where);
    return all;
}

/* Would the fetch alone use up most of the time in which the job's class is to start? */
static bool fetch_too_long(const struct amb_round *r, const struct amb_job *j, const struct amb_slot *s) {
    const struct amb_objective *o = amb_start_objective(r->n, j->spec);
    double rate = r->n->catalog.types[s->type].fetch_gb_s;
    const struct amb_claim claim = claim_of(j);
    if (!o || rate <= 0 || (claim.priority < AMB_HIGH && !claim.guaranteed)) return false;
    return j->spec->image_gb / rate > o->within_s * 0.7;
}

/* Is room on a machine with the image about to come? */
static bool promised(struct amb_round *r, const struct amb_wish *w) {
    for (uint32_t i = 0; i < r->nslots; i++) {
        const struct amb_slot *s = &r->slots[i];
        if (amb_place_fits(w, s, true) && amb_place_zone_allowed(w, s->zone) &&
            amb_round_slot(r, i)->has_image)
            return true;
    }
    return false;
}

/* How long room that was asked for may take to come: what is told to stop may save first. */
static amb_ms room_takes(struct amb_round *r) {
    double save = 0;
    for (uint32_t i = 0; i < r->nslots; i++) {
        const struct amb_machine *machine = r->slots[i].machine;
        for (const struct amb_task *t = machine ? machine->tasks : NULL; t; t = t->next)
            if (t->halting && amb_round_slot(r, i)->has_image) save = fmax(save, t->grace_s);
    }
    return amb_secs(save + r->n->set.report_s * 4);
}

static enum amb_wdrr_try admit(void *arg, uint32_t team, const struct amb_wdrr_item *item) {
    struct amb_round *r = arg;
    struct amb_job *j = item->what;
    (void)team;
    amb_round_mark(r, j->spec, j->spec->image);
    if (j->spec->kind == AMB_GANG && j->spec->tasks > 1)
        return admit_gang(r, j) ? AMB_TRY_ADMITTED : AMB_TRY_NO_FIT;
    struct amb_wish w;
    amb_round_wish(r, j, &w);
    int at = amb_round_pick(r, &w, false);
    struct amb_task *t = first_waiting(j);
    if (at < 0 || !t) return AMB_TRY_NO_FIT;
    /* A user waits for it, and fetching the image would take too long: better the room of other work on a
     * machine that holds it. */
    if (!r->slots[at].has_image && fetch_too_long(r, j, &r->slots[at])) {
        if (!j->image_since) j->image_since = r->now;
        if (r->now - j->image_since < room_takes(r) &&
            (promised(r, &w) || amb_round_make_room(r, j, &w, true)))
            return AMB_TRY_NO_FIT;
    }
    j->image_since = 0;
    if (j->spec->kind == AMB_GANG) return admit_gang(r, j) ? AMB_TRY_ADMITTED : AMB_TRY_NO_FIT;
    start_task(r, t, &r->slots[at], j->next_attempt++);
    return AMB_TRY_ADMITTED;
}

/* A pass whose jobs have no further turn, placed or not. */
static uint32_t admit_pass(struct amb_round *r, const struct amb_wdrr_ops *ops, uint32_t first) {
    struct amb_settings *set = &r->n->set;
    uint32_t count = amb_wdrr_round(set->teams, set->nteams, first, ops);
    for (uint32_t i = 0; i < set->nteams; i++) {
        struct amb_line *l = &r->lines[i];
        while (l->at < l->n && has_turn(r, l->jobs[l->at])) l->at++;
    }
    return count;
}

uint32_t amb_round_admit(struct amb_round *r) {
    struct amb_node *n = r->n;
    const struct amb_wdrr_ops ops = {next_item, admit, skip_item, is_idle, r};
    uint32_t first = n->set.nteams ? n->ctl.turn++ % n->set.nteams : 0, count = 0;
    /* What was lost with a zone comes back class by class (docs/design.md, exceptions). */
    for (uint32_t step = 0; step < n->zone_recovery.order.count; step++) {
        r->recovery_pass = (uint8_t)step;
        count += admit_pass(r, &ops, first);
    }
    r->recovery_pass = AMB_NO_STEP;
    /* What users wait for goes before what may be stopped for it (docs/design.md, exceptions). */
    r->urgent_pass = true;
    count += admit_pass(r, &ops, first);
    r->urgent_pass = false;
    return count + amb_wdrr_round(n->set.teams, n->set.nteams, first, &ops);
}
