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

static struct amb_slot *add_slot(struct amb_round *cycle) {
    if (cycle->nslots == cycle->cap) {
        cycle->cap = cycle->cap ? cycle->cap * 2 : 128;
        cycle->slots = amb_grow(cycle->slots, cycle->cap * sizeof *cycle->slots);
    }
    struct amb_slot *slot = &cycle->slots[cycle->nslots++];
    memset(slot, 0, sizeof *slot);
    return slot;
}

struct amb_slot *amb_round_add_type(struct amb_round *cycle, int type, int zone, bool spot) {
    struct amb_slot *slot = add_slot(cycle);
    slot->type = type;
    slot->zone = zone;
    slot->spot = spot;
    slot->room = cycle->n->catalog.types[type].resources;
    slot->size_gpus = slot->room.gpus;
    slot->usable = true;
    slot->kept_for = -1;
    return slot;
}

static bool fetches(const struct amb_task *task) {
    return task->state == AMB_TASK_PLACED || task->state == AMB_TASK_BOUND ||
           (task->state == AMB_TASK_SEEN && task->agent_state == AMB_AGENT_TASK_FETCHING);
}

/* Is its image at hand, or counted with another task of the machine that needs it too? */
static bool fetch_shared(const struct amb_task *task) {
    bool before = true;
    for (const struct amb_task *o = task->machine->tasks; o; o = o->next_on_machine) {
        if (o == task)
            before = false;
        else if ((before || !fetches(o)) && !strcmp(o->job->spec->image, task->job->spec->image))
            return true;
    }
    return false;
}

static double fetch_left(const struct amb_round *cycle, const struct amb_task *task) {
    double gb = task->job->spec->image_gb,
           rate = cycle->n->catalog.types[task->machine->type_index].image_fetch_gb_per_s;
    if (task->state != AMB_TASK_SEEN) return gb;
    return fmax(gb * 0.1, gb - rate * (double)(cycle->now - task->state_since) / 1000);
}

static void add_machine(struct amb_round *cycle, struct amb_machine *machine, bool usable) {
    struct amb_slot *slot =
        amb_round_add_type(cycle, machine->type_index, machine->zone_index, machine->spot);
    amb_resources_add(&slot->room, &machine->used, -1);
    slot->usable = usable;
    slot->machine = machine;
    slot->kept_for = machine->reserved_priority;
    slot->claimed = machine->claimed_by_gang;
    slot->reserved = machine->reserved;
    for (struct amb_task *task = machine->tasks; task; task = task->next_on_machine) {
        if (task->stop_requested) amb_resources_add(&slot->soon, &task->job->spec->task_resources, 1);
        if (task->job->spec->kind == AMB_JOB_KIND_SERVICE)
            slot->lasting += task->job->spec->task_resources.gpus;
        if (task->job->spec->kind == AMB_JOB_KIND_ARRAY)
            amb_resources_add(&slot->batch, &task->job->spec->task_resources, 1);
        if (fetches(task) && !fetch_shared(task)) slot->fetching_gb += fetch_left(cycle, task);
    }
}

static void look_at_machines(struct amb_round *cycle, bool booting) {
    struct amb_machine *machine, *next;
    HASH_ITER(hh, cycle->n->fleet.all, machine, next) {
        if (machine->type_index < 0 || machine->zone_index < 0 || machine->release_pending) continue;
        if (!booting) {
            if (amb_machine_usable(cycle->n, machine, cycle->now)) add_machine(cycle, machine, true);
            continue;
        }
        /* Counted on while it may still come up in time; after that another is rented in its place. */
        double boot = cycle->n->catalog.types[machine->type_index].boot_s;
        bool soon =
            machine->state == AMB_MACHINE_BOOTING && cycle->now - machine->created_at < amb_secs(boot * 2);
        bool fresh = machine->state == AMB_MACHINE_UNPROVEN &&
                     cycle->now - machine->last_heartbeat_at < amb_secs(cycle->n->settings.report_s * 3);
        /* Nor does what boots where nothing can be reached. (In a cut of 105 s work waited for machines that
         * had been rented beyond it, for two boot times each.) */
        if ((soon || fresh) && !amb_zone_unreachable(cycle->n, machine->zone_index))
            add_machine(cycle, machine, true);
    }
    if (!booting) return;
    for (struct amb_rental_request *c = cycle->n->cloud.requests; c; c = c->next)
        if ((c->state == AMB_REQUEST_RECORDING || c->state == AMB_REQUEST_ASKING) &&
            !amb_zone_unreachable(cycle->n, c->zone))
            for (uint32_t i = 0; i < c->count; i++) amb_round_add_type(cycle, c->type, c->zone, c->spot);
}

static bool lost_before(const struct amb_job *job) {
    return job->spec->kind == AMB_JOB_KIND_SERVICE && job->done_count + job->bound_count > 0;
}

static int by_urgency(const void *a, const void *b) {
    const struct amb_job *x = *(struct amb_job *const *)a, *y = *(struct amb_job *const *)b;
    if (x->recovery_step != y->recovery_step) return x->recovery_step < y->recovery_step ? -1 : 1;
    enum amb_priority priority_x = amb_job_get_effective_priority(x),
                      priority_y = amb_job_get_effective_priority(y);
    if (priority_x != priority_y) return priority_x > priority_y ? -1 : 1;
    if (lost_before(x) != lost_before(y)) return lost_before(x) ? -1 : 1;
    int64_t order_x = amb_job_order_wall_ms(x), order_y = amb_job_order_wall_ms(y);
    if (order_x != order_y) return order_x < order_y ? -1 : 1;
    return strcmp(x->ref, y->ref);
}

bool amb_round_wants_start(const struct amb_round *cycle, const struct amb_job *job) {
    if (job->state != AMB_JOB_QUEUED || job->dependencies_pending || !amb_job_count_waiting_tasks(job))
        return false;
    if (job->spec->kind == AMB_JOB_KIND_GANG && (job->gang_state != AMB_GANG_IDLE || job->bound_count))
        return false;
    if (amb_job_broken(job) && job->bound_count) return false; /* one task is tried at a time */
    return cycle->now >= job->backoff_until;
}

static void look_at_jobs(struct amb_round *cycle) {
    uint32_t count = 0;
    for (struct amb_job *job = cycle->n->jobs.active; job; job = job->next_active)
        count += amb_round_wants_start(cycle, job);
    cycle->jobs = amb_alloc((count + 1) * sizeof *cycle->jobs);
    for (struct amb_job *job = cycle->n->jobs.active; job; job = job->next_active)
        if (amb_round_wants_start(cycle, job)) {
            job->recovery_step = amb_zone_recovery_step(cycle->n, job);
            cycle->jobs[cycle->njobs++] = job;
        }
    qsort(cycle->jobs, cycle->njobs, sizeof *cycle->jobs, by_urgency);
    for (uint32_t i = 0; i < cycle->njobs; i++) {
        struct amb_line *l = &cycle->lines[cycle->jobs[i]->team - cycle->n->settings.teams];
        if (!l->jobs) l->jobs = amb_alloc(cycle->njobs * sizeof *l->jobs);
        l->jobs[l->n++] = cycle->jobs[i];
    }
}

void amb_round_add_coming(struct amb_round *cycle) {
    look_at_machines(cycle, true);
}

struct amb_round *amb_round_new(struct amb_node *node, amb_ms now) {
    struct amb_round *cycle = amb_alloc(sizeof *cycle);
    cycle->n = node;
    cycle->now = now;
    cycle->zones_without_batch = amb_zones_without_batch(node);
    cycle->by_gpus = amb_wdrr_by_gpus(node->settings.teams, node->settings.nteams);
    amb_pipelines_update_priorities(node);
    look_at_machines(cycle, false);
    look_at_jobs(cycle);
    return cycle;
}

void amb_round_free(struct amb_round *cycle) {
    for (uint32_t i = 0; i < cycle->n->settings.nteams; i++) free(cycle->lines[i].jobs);
    free(cycle->jobs);
    free(cycle->slots);
    amb_slot_rankings_free(&cycle->rankings);
    free(cycle);
}

/* No machine will do until more is known or proven. */
static void allow_nothing(struct amb_wish *request) {
    request->type_mask = 0;
}

/* What the job's tasks that are not proven absent leave of the zones. One that binds itself to one zone can
 * have tasks on record in two: the record of a large job is in several blocks, and a block is not written
 * anew when its tasks are gone. Which of them are there only their machines can tell. */
static void limit_zones(const struct amb_round *cycle, const struct amb_job *job, struct amb_wish *request) {
    uint32_t unknown = amb_job_tasks_in_unknown_zones(job);
    if (job->spec->spread_zones) {
        if (unknown >= request->zone_most) allow_nothing(request);
        request->zone_most -= unknown < request->zone_most ? unknown : 0;
    }
    if (!job->spec->one_zone || job->spec->kind == AMB_JOB_KIND_GANG)
        return; /* a gang starts with nothing on record */
    uint32_t zones = 0;
    for (uint32_t z = 0; z < cycle->n->catalog.zone_count; z++) {
        if (!job->zone_task_counts[z]) continue;
        request->zone = (int)z;
        zones++;
    }
    if (zones > 1 || unknown) allow_nothing(request);
}

void amb_round_wish(struct amb_round *cycle, struct amb_job *job, struct amb_wish *request) {
    memset(request, 0, sizeof *request);
    amb_job_allows_type(cycle->n, job, 0);
    request->need = job->spec->task_resources;
    request->type_mask = job->allowed_type_mask;
    request->zone = amb_catalog_find_or_add_zone(&cycle->n->catalog, job->spec->zone);
    request->spot = job->spec->spot_allowed;
    request->lasting = job->spec->kind == AMB_JOB_KIND_SERVICE;
    request->priority = amb_job_get_effective_priority(job);
    request->patient = job->spec->kind == AMB_JOB_KIND_ARRAY && !amb_start_objective(cycle->n, job->spec);
    request->can_wait = amb_start_can_wait(cycle->n, job);
    request->opportunistic = amb_job_opportunistic(job);
    request->zone_used = job->zone_task_counts;
    request->zone_most = job->spec->spread_zones ? amb_place_spread_most(job->spec->task_count) : 0;
    /* A zone that has just come back may go again: replicas of the order return there at once, batch work
     * that would lose what it has done waits until the zone is steady. */
    request->zones_barred = job->spec->kind == AMB_JOB_KIND_SERVICE ? 0 : cycle->zones_without_batch;
    limit_zones(cycle, job, request);
}

static bool on_its_way(const struct amb_machine *machine, const char *image) {
    for (const struct amb_task *task = machine->tasks; task; task = task->next_on_machine)
        if (!strcmp(task->job->spec->image, image)) return fetches(task) && !fetch_shared(task);
    return false;
}

/* The time in which a task of this kind is to start, or when nobody waits for its start the time that it runs
 * for; and what order and report take of it (negative: nobody waits). */
struct start_time {
    double within_s, slack_s;
};

static struct start_time start_time(const struct amb_round *cycle, const struct amb_job_spec *spec) {
    const struct amb_objective *o = amb_start_objective(cycle->n, spec);
    double within = o                               ? o->within_s
                    : spec->estimated_runtime_s > 0 ? spec->estimated_runtime_s
                                                    : cycle->n->settings.lease_s;
    /* Where reports are slow, no more than they do on the average. */
    return (struct start_time){within, o ? fmin(cycle->n->settings.report_s * 1.2, within * 0.2) : -1};
}

static void mark_slot(const struct amb_round *cycle, struct amb_slot *slot) {
    const struct amb_slot_marking *marking = &cycle->marking;
    slot->marked_in = cycle->marking_serial;
    slot->late = 0;
    if (marking->any_room_will_do) return;
    double rate = cycle->n->catalog.types[slot->type].image_fetch_gb_per_s;
    slot->has_image = slot->machine && amb_machine_has_image(slot->machine, marking->image);
    double gb = slot->fetching_gb + marking->image_gb;
    if (slot->has_image)
        gb = slot->fetching_gb > 0 && on_its_way(slot->machine, marking->image) ? slot->fetching_gb : 0;
    if (rate > 0) slot->late = amb_place_late(gb / rate, marking->within_s, marking->slack_s);
}

void amb_round_mark(struct amb_round *cycle, const struct amb_job_spec *spec, const char *image) {
    struct start_time start = start_time(cycle, spec);
    cycle->marking = (struct amb_slot_marking){
        .image = image, .image_gb = spec->image_gb, .within_s = start.within_s, .slack_s = start.slack_s};
    cycle->marking_serial++;
}

void amb_round_mark_any(struct amb_round *cycle) {
    cycle->marking = (struct amb_slot_marking){.any_room_will_do = true};
    cycle->marking_serial++;
}

struct amb_slot *amb_round_slot(struct amb_round *cycle, uint32_t i) {
    struct amb_slot *slot = &cycle->slots[i];
    if (slot->marked_in != cycle->marking_serial) mark_slot(cycle, slot);
    return slot;
}

void amb_round_slot_changed(struct amb_round *cycle, const struct amb_slot *slot) {
    amb_slot_rankings_changed(&cycle->rankings, (uint32_t)(slot - cycle->slots));
}

static void mark_for_ranking(void *context, uint32_t slot) {
    amb_round_slot(context, slot);
}

static bool cost_of_room(void *context, uint32_t slot, const struct amb_wish *request,
                         const struct amb_slot_terms *terms, double *cost);

static struct amb_slot_list slot_list(struct amb_round *cycle) {
    return (struct amb_slot_list){.slots = cycle->slots,
                                  .count = cycle->nslots,
                                  .mark = mark_for_ranking,
                                  .cost = cost_of_room,
                                  .context = cycle};
}

int amb_round_pick(struct amb_round *cycle, const struct amb_wish *request, bool soon) {
    const struct amb_slot_list list = slot_list(cycle);
    return amb_slot_rankings_pick(&cycle->rankings, &list, &cycle->marking, request, soon);
}

/* ---- admission ---- */

/* Has the job its turn in the pass under way? */
static bool has_turn(const struct amb_round *cycle, const struct amb_job *job) {
    if (cycle->urgent_pass && amb_job_get_effective_priority(job) < AMB_PRIORITY_HIGH) return false;
    return job->recovery_step <= cycle->recovery_pass;
}

static bool next_item(void *arg, uint32_t team, struct amb_wdrr_item *out) {
    struct amb_round *cycle = arg;
    struct amb_line *l = &cycle->lines[team];
    while (l->at < l->n) {
        struct amb_job *job = l->jobs[l->at];
        if (!has_turn(cycle, job)) return false;
        if (amb_round_wants_start(cycle, job)) {
            double times = job->spec->kind == AMB_JOB_KIND_GANG ? job->spec->task_count : 1;
            memset(out, 0, sizeof *out);
            amb_resources_add(&out->need, &job->spec->task_resources, times);
            out->size = amb_wdrr_size(&out->need, cycle->by_gpus);
            out->what = job;
            return true;
        }
        l->at++;
    }
    return false;
}

static bool is_idle(void *arg, uint32_t team) {
    struct amb_round *cycle = arg;
    return cycle->lines[team].at >= cycle->lines[team].n;
}

static void skip_item(void *arg, uint32_t team, const struct amb_wdrr_item *item) {
    struct amb_round *cycle = arg;
    (void)item;
    cycle->lines[team].at++;
}

void amb_round_reserve(struct amb_slot *slot, const struct amb_job_spec *spec) {
    if (slot->machine) amb_resources_add(&slot->machine->reserved, &spec->task_resources, 1);
}

static double at_least_nothing(double amount) {
    return fmax(amount, 0);
}

static void use_reserved(struct amb_slot *slot, const struct amb_job_spec *spec) {
    amb_resources_add(&slot->reserved, &spec->task_resources, -1);
    slot->reserved =
        (struct amb_resources){at_least_nothing(slot->reserved.cpus), at_least_nothing(slot->reserved.gpus),
                               at_least_nothing(slot->reserved.memory_gb)};
    slot->machine->reserved = slot->reserved;
}

static void start_task(struct amb_round *cycle, struct amb_task *task, struct amb_slot *slot,
                       uint64_t attempt) {
    struct amb_job *job = task->job;
    if (amb_job_recovers(cycle->n, job)) use_reserved(slot, job->spec);
    amb_round_slot(cycle, (uint32_t)(slot - cycle->slots));
    amb_round_slot_changed(cycle, slot);
    cycle->placed_tasks++;
    amb_resources_add(&slot->room, &job->spec->task_resources, -1);
    if (job->spec->kind == AMB_JOB_KIND_SERVICE) slot->lasting += job->spec->task_resources.gpus;
    if (!slot->has_image) slot->fetching_gb += job->spec->image_gb;
    amb_info("task %s/%u try %llu: placed on %s%s", job->ref, task->index, (unsigned long long)attempt,
             slot->machine->name, slot->has_image ? ", image at hand" : "");
    amb_task_bind(cycle->n, task, slot->machine, attempt, AMB_TASK_PLACED);
    amb_machine_use_image(cycle->n, slot->machine, job->spec->image, job->spec->image_gb);
    amb_placement_block_mark_dirty(cycle->n, task, true);
}

static struct amb_task *first_waiting(struct amb_job *job) {
    while (job->first_waiting_task < job->spec->task_count) {
        struct amb_task *task = &job->tasks[job->first_waiting_task];
        if (!task->machine && !task->done) return task;
        job->first_waiting_task++;
    }
    return NULL;
}

struct amb_claim amb_round_claim(const struct amb_job_spec *spec, const struct amb_team *team) {
    struct amb_resources need = {0, 0, 0};
    amb_resources_add(&need, &spec->task_resources, spec->kind == AMB_JOB_KIND_GANG ? spec->task_count : 1);
    bool guaranteed = spec->kind != AMB_JOB_KIND_ARRAY && team && amb_wdrr_within_guarantee(team, &need);
    return (struct amb_claim){spec->priority, team, guaranteed};
}

static struct amb_claim claim_of(const struct amb_job *job) {
    struct amb_claim claim = amb_round_claim(job->spec, job->team);
    claim.priority = amb_job_get_effective_priority(job);
    return claim;
}

static bool any_opportunistic(const struct amb_settings *settings) {
    for (uint32_t i = 0; i < settings->nteams; i++)
        if (settings->teams[i].opportunistic) return true;
    return false;
}

/* Is there work that might be stopped on these grounds? A quick look that never says no wrongly. */
static bool may_stop_work(const struct amb_round *cycle, const struct amb_claim *claim) {
    if (cycle->n->options.preempt < 0.5) return false;
    if (claim->priority >= AMB_PRIORITY_HIGH || claim->guaranteed) return true;
    return claim->priority > AMB_PRIORITY_BEST_EFFORT && any_opportunistic(&cycle->n->settings);
}

static bool beyond_guarantee(const struct amb_team *team) {
    return team->guarantee.gpus > 0 ? team->used.gpus > team->guarantee.gpus
                                    : team->used.cpus > team->guarantee.cpus;
}

/* Batch work makes way for work of higher priority that is urgent or that its team is guaranteed; and, if it
 * loses little by it, what a team runs beyond its guarantee makes way for what another is guaranteed. (When
 * lower work made way for urgent work only, early stages that need no GPUs filled every machine's cores, and
 * gangs that their teams are guaranteed waited for machines to boot. Opportunistic work makes way for all
 * that is higher: when it did so for guaranteed work only, 70 machines were rented beside 80 that it had
 * filled.) */
bool amb_round_makes_way(const struct amb_task *task, const struct amb_claim *c) {
    const struct amb_job_spec *spec = task->job->spec;
    if (spec->kind != AMB_JOB_KIND_ARRAY || task->stop_requested || task->state == AMB_TASK_PLACED ||
        task->done)
        return false;
    bool may_stop_lower = c->priority >= AMB_PRIORITY_HIGH || c->guaranteed || task->job->team->opportunistic;
    if (may_stop_lower && amb_job_get_effective_priority(task->job) < c->priority) return true;
    return c->guaranteed && spec->checkpoint_interval_s > 0 && task->job->team != c->team &&
           beyond_guarantee(task->job->team);
}

/* Could the slot have the room if all batch work on it made way? A quick look that never says no wrongly. */
static bool may_make_room(const struct amb_slot *slot, const struct amb_wish *request) {
    struct amb_resources room = amb_place_room(slot, true);
    amb_resources_add(&room, &slot->batch, 1);
    return amb_resources_fit(&request->need, &room);
}

/* Seconds of work that is lost when work makes way for the wish, more where the image is not. */
static bool cost_in_work(struct amb_round *cycle, const struct amb_slot *slot, const struct amb_wish *request,
                         const struct amb_claim *claim, double *cost) {
    struct amb_resources room = amb_place_room(slot, true);
    *cost = slot->has_image ? 0 : 1000;
    for (const struct amb_task *task = slot->machine->tasks;
         task && !amb_resources_fit(&request->need, &room); task = task->next_on_machine) {
        if (!amb_round_makes_way(task, claim)) continue;
        amb_resources_add(&room, &task->job->spec->task_resources, 1);
        *cost += task->running_at ? (double)(cycle->now - task->running_at) / 1000 : 0;
    }
    return amb_resources_fit(&request->need, &room);
}

/* Room is had when all that may make way does; it is better where the image is. */
static bool cost_in_images(const struct amb_slot *slot, const struct amb_wish *request,
                           const struct amb_claim *claim, double *cost) {
    struct amb_resources room = amb_place_room(slot, true);
    for (const struct amb_task *task = slot->machine->tasks; task; task = task->next_on_machine)
        if (amb_round_makes_way(task, claim)) amb_resources_add(&room, &task->job->spec->task_resources, 1);
    *cost = slot->has_image ? 0 : 1;
    return amb_resources_fit(&request->need, &room);
}

/* Of the slot, as struct amb_slot_list has it. */
static bool cost_of_room(void *context, uint32_t slot, const struct amb_wish *request,
                         const struct amb_slot_terms *terms, double *cost) {
    struct amb_round *cycle = context;
    const struct amb_slot *s = &cycle->slots[slot];
    const struct amb_claim claim = {terms->priority, terms->team, terms->guaranteed};
    if (!s->machine || !may_make_room(s, request) || !amb_place_allowed_in_any_zone(request, s)) return false;
    if (terms->cost == AMB_COST_LOST_WORK && s->machine->state != AMB_MACHINE_UP) return false;
    bool has_image = amb_round_slot(cycle, slot)->has_image;
    if (terms->image_only && !has_image) return false;
    return terms->cost == AMB_COST_LOST_WORK ? cost_in_work(cycle, s, request, &claim, cost)
                                             : cost_in_images(s, request, &claim, cost);
}

static int cheapest_room(struct amb_round *cycle, const struct amb_wish *request,
                         const struct amb_claim *claim, enum amb_slot_cost cost, bool image_only) {
    const struct amb_slot_list list = slot_list(cycle);
    const struct amb_slot_terms terms = {.cost = cost,
                                         .priority = claim->priority,
                                         .team = claim->team,
                                         .guaranteed = claim->guaranteed,
                                         .image_only = image_only,
                                         .placed_tasks = cycle->placed_tasks};
    return amb_slot_rankings_cheapest(&cycle->rankings, &list, &cycle->marking, request, &terms);
}

/* The machine on which least is lost when work makes way for the wish; -1: there is none. */
static int least_lost(struct amb_round *cycle, const struct amb_wish *request, const struct amb_claim *claim,
                      bool image_only) {
    return cheapest_room(cycle, request, claim, AMB_COST_LOST_WORK, image_only);
}

struct amb_slot *amb_round_headroom(struct amb_round *cycle, const struct amb_wish *request,
                                    const struct amb_claim *claim) {
    int found = amb_round_pick(cycle, request, true);
    if (found >= 0 && cycle->slots[found].has_image) return &cycle->slots[found];
    int made = cheapest_room(cycle, request, claim, AMB_COST_IMAGE, false);
    bool better = made >= 0 && (found < 0 || amb_round_slot(cycle, (uint32_t)made)->has_image);
    if (better) found = made;
    return found >= 0 ? &cycle->slots[found] : NULL;
}

/* Puts every task of a gang somewhere, or none: where[i] is the slot of task i. With a claim, work that makes
 * way for it counts as room. Room and zone counts are left as they would be; undo with place_undo. */
static uint32_t place_all(struct amb_round *cycle, struct amb_job *job, struct amb_wish *request, int *where,
                          bool soon, const struct amb_claim *claim) {
    uint32_t i = 0;
    for (; i < job->spec->task_count; i++) {
        where[i] = claim ? least_lost(cycle, request, claim, false) : amb_round_pick(cycle, request, soon);
        if (where[i] < 0) break;
        amb_resources_add(&cycle->slots[where[i]].room, &job->spec->task_resources, -1);
        amb_round_slot_changed(cycle, &cycle->slots[where[i]]);
        job->zone_task_counts[cycle->slots[where[i]].zone]++;
    }
    return i;
}

static void place_undo(struct amb_round *cycle, struct amb_job *job, const int *where, uint32_t count) {
    for (uint32_t i = 0; i < count; i++) {
        amb_resources_add(&cycle->slots[where[i]].room, &job->spec->task_resources, 1);
        amb_round_slot_changed(cycle, &cycle->slots[where[i]]);
        job->zone_task_counts[cycle->slots[where[i]].zone]--;
    }
}

/* Tries zone after zone when the job binds itself to one. Leaves the slots taken on success. */
static bool place_gang(struct amb_round *cycle, struct amb_job *job, int *where, bool soon,
                       const struct amb_claim *claim) {
    struct amb_wish request;
    amb_round_wish(cycle, job, &request);
    bool any_one = job->spec->one_zone && request.zone < 0;
    uint32_t tries = any_one ? cycle->n->catalog.zone_count : 1;
    for (uint32_t z = 0; z < tries; z++) {
        if (any_one) request.zone = (int)z;
        uint32_t got = place_all(cycle, job, &request, where, soon, claim);
        if (got == job->spec->task_count) return true;
        place_undo(cycle, job, where, got);
    }
    return false;
}

bool amb_round_place_gang(struct amb_round *cycle, struct amb_job *job, int *where, bool soon) {
    return place_gang(cycle, job, where, soon, NULL);
}

static bool admit_gang(struct amb_round *cycle, struct amb_job *job) {
    int *where = amb_alloc(job->spec->task_count * sizeof *where);
    bool fits = amb_round_place_gang(cycle, job, where, false);
    if (fits) {
        place_undo(cycle, job, where, job->spec->task_count); /* binding counts them again */
        uint64_t attempt = job->next_attempt++;
        for (uint32_t i = 0; i < job->spec->task_count; i++)
            start_task(cycle, &job->tasks[i], &cycle->slots[where[i]], attempt);
        amb_gang_set_state(job, AMB_GANG_STARTING, "placed");
    }
    free(where);
    return fits;
}

/* Time to save is left to what is stopped, unless somebody waits for the start and the progress since its
 * last checkpoint (half an interval, on the average) is worth little more than the time that saving takes, or
 * is opportunistic work's. */
static double grace_for(const struct amb_round *cycle, const struct amb_job *stopped,
                        const struct amb_job_spec *waits) {
    const struct amb_job_spec *spec = stopped->spec;
    if (spec->checkpoint_interval_s <= 0) return 0;
    bool hurry = amb_start_objective(cycle->n, waits) != NULL;
    bool cheap =
        spec->checkpoint_interval_s / 2 < spec->checkpoint_save_s * 2 || amb_job_opportunistic(stopped);
    return hurry && cheap ? 0 : spec->checkpoint_save_s;
}

/* More was promised of the machine than it has: work of at most this priority is told to stop until it has
 * it. */
static void clear_way_of(struct amb_round *cycle, struct amb_slot *slot, const struct amb_claim *claim,
                         const struct amb_job_spec *waits, enum amb_priority highest) {
    static const struct amb_resources nothing = {0, 0, 0};
    struct amb_resources room = amb_place_room(slot, true);
    amb_round_slot_changed(cycle, slot);
    for (struct amb_task *task = slot->machine->tasks; task && !amb_resources_fit(&nothing, &room);
         task = task->next_on_machine) {
        if (!amb_round_makes_way(task, claim) || amb_job_get_effective_priority(task->job) > highest)
            continue;
        amb_resources_add(&room, &task->job->spec->task_resources, 1);
        amb_resources_add(&slot->soon, &task->job->spec->task_resources, 1);
        amb_debug("room on %s: %s/%u makes way for %s", slot->machine->name, task->job->ref, task->index,
                  waits->ref);
        amb_task_request_stop(cycle->n, task, grace_for(cycle, task->job, waits),
                              "room for a job that goes before it");
    }
}

/* Says that the slot has changed. For replicas that recover the lowest priority stops first, since they may
 * need room on many machines at once. */
static void clear_way(struct amb_round *cycle, struct amb_slot *slot, const struct amb_claim *claim,
                      const struct amb_job_spec *waits, bool lowest_first) {
    for (int highest = lowest_first ? AMB_PRIORITY_BEST_EFFORT : AMB_PRIORITY_PRODUCTION;
         highest <= AMB_PRIORITY_PRODUCTION; highest++)
        clear_way_of(cycle, slot, claim, waits, (enum amb_priority)highest);
}

struct amb_slot *amb_round_make_room(struct amb_round *cycle, struct amb_job *job,
                                     const struct amb_wish *request, bool image_only) {
    const struct amb_claim claim = claim_of(job);
    if (amb_job_broken(job) || !may_stop_work(cycle, &claim)) return NULL;
    int best = least_lost(cycle, request, &claim, image_only);
    if (best < 0) return NULL;
    struct amb_slot *slot = &cycle->slots[best];
    amb_resources_add(&slot->room, &request->need, -1);
    bool recovers = amb_job_recovers(cycle->n, job);
    clear_way(cycle, slot, &claim, job->spec, recovers);
    slot->planned++;
    /* Until it has come, no batch work goes there. */
    if (job->spec->kind == AMB_JOB_KIND_GANG) slot->machine->reserved_priority = (int)claim.priority;
    if (recovers) amb_round_reserve(slot, job->spec);
    return slot;
}

/* For a whole gang on machines that are up, zone by zone if it binds itself to one. Nothing is stopped unless
 * all of it finds room. */
bool amb_round_make_room_gang(struct amb_round *cycle, struct amb_job *job) {
    const struct amb_claim claim = claim_of(job);
    if (!may_stop_work(cycle, &claim)) return false;
    int *where = amb_alloc(job->spec->task_count * sizeof *where);
    bool all = place_gang(cycle, job, where, true, &claim);
    for (uint32_t i = 0; all && i < job->spec->task_count; i++) {
        struct amb_slot *slot = &cycle->slots[where[i]];
        job->zone_task_counts[slot->zone]--;
        clear_way(cycle, slot, &claim, job->spec, false);
        slot->planned++;
        slot->machine->reserved_priority = (int)claim.priority;
        slot->machine->claimed_by_gang = true;
    }
    free(where);
    return all;
}

/* Would the fetch alone use up most of the time in which the job's class is to start? */
static bool fetch_too_long(const struct amb_round *cycle, const struct amb_job *job,
                           const struct amb_slot *slot) {
    const struct amb_objective *o = amb_start_objective(cycle->n, job->spec);
    double rate = cycle->n->catalog.types[slot->type].image_fetch_gb_per_s;
    const struct amb_claim claim = claim_of(job);
    if (!o || rate <= 0 || (claim.priority < AMB_PRIORITY_HIGH && !claim.guaranteed)) return false;
    return job->spec->image_gb / rate > o->within_s * 0.7;
}

/* Is room on a machine with the image about to come? */
static bool promised(struct amb_round *cycle, const struct amb_wish *request) {
    for (uint32_t i = 0; i < cycle->nslots; i++) {
        const struct amb_slot *slot = &cycle->slots[i];
        if (amb_place_fits(request, slot, true) && amb_place_zone_allowed(request, slot->zone) &&
            amb_round_slot(cycle, i)->has_image)
            return true;
    }
    return false;
}

/* How long room that was asked for may take to come: what is told to stop may save first. */
static amb_ms room_takes(struct amb_round *cycle) {
    double save = 0;
    for (uint32_t i = 0; i < cycle->nslots; i++) {
        const struct amb_machine *machine = cycle->slots[i].machine;
        for (const struct amb_task *task = machine ? machine->tasks : NULL; task;
             task = task->next_on_machine)
            if (task->stop_requested && amb_round_slot(cycle, i)->has_image) save = fmax(save, task->grace_s);
    }
    return amb_secs(save + cycle->n->settings.report_s * 4);
}

static enum amb_wdrr_try admit(void *arg, uint32_t team, const struct amb_wdrr_item *item) {
    struct amb_round *cycle = arg;
    struct amb_job *job = item->what;
    (void)team;
    amb_round_mark(cycle, job->spec, job->spec->image);
    if (job->spec->kind == AMB_JOB_KIND_GANG && job->spec->task_count > 1)
        return admit_gang(cycle, job) ? AMB_TRY_ADMITTED : AMB_TRY_NO_FIT;
    struct amb_wish request;
    amb_round_wish(cycle, job, &request);
    int at = amb_round_pick(cycle, &request, false);
    struct amb_task *task = first_waiting(job);
    if (at < 0 || !task) return AMB_TRY_NO_FIT;
    /* A user waits for it, and fetching the image would take too long: better the room of other work on a
     * machine that holds it. */
    if (!cycle->slots[at].has_image && fetch_too_long(cycle, job, &cycle->slots[at])) {
        if (!job->image_wait_since) job->image_wait_since = cycle->now;
        if (cycle->now - job->image_wait_since < room_takes(cycle) &&
            (promised(cycle, &request) || amb_round_make_room(cycle, job, &request, true)))
            return AMB_TRY_NO_FIT;
    }
    job->image_wait_since = 0;
    if (job->spec->kind == AMB_JOB_KIND_GANG)
        return admit_gang(cycle, job) ? AMB_TRY_ADMITTED : AMB_TRY_NO_FIT;
    start_task(cycle, task, &cycle->slots[at], job->next_attempt++);
    return AMB_TRY_ADMITTED;
}

/* A pass whose jobs have no further turn, placed or not. */
static uint32_t admit_pass(struct amb_round *cycle, const struct amb_wdrr_ops *ops, uint32_t first) {
    struct amb_settings *settings = &cycle->n->settings;
    uint32_t count = amb_wdrr_round(settings->teams, settings->nteams, first, ops);
    for (uint32_t i = 0; i < settings->nteams; i++) {
        struct amb_line *l = &cycle->lines[i];
        while (l->at < l->n && has_turn(cycle, l->jobs[l->at])) l->at++;
    }
    return count;
}

uint32_t amb_round_admit(struct amb_round *cycle) {
    struct amb_node *node = cycle->n;
    const struct amb_wdrr_ops ops = {next_item, admit, skip_item, is_idle, cycle};
    uint32_t first = node->settings.nteams ? node->controller.team_cursor++ % node->settings.nteams : 0,
             count = 0;
    /* What was lost with a zone comes back class by class (docs/design.md, exceptions). */
    for (uint32_t step = 0; step < node->zone_recovery.order.count; step++) {
        cycle->recovery_pass = (uint8_t)step;
        count += admit_pass(cycle, &ops, first);
    }
    cycle->recovery_pass = AMB_NO_STEP;
    /* What users wait for goes before what may be stopped for it (docs/design.md, exceptions). */
    cycle->urgent_pass = true;
    count += admit_pass(cycle, &ops, first);
    cycle->urgent_pass = false;
    return count + amb_wdrr_round(node->settings.teams, node->settings.nteams, first, &ops);
}
