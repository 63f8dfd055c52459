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
    uint32_t rent[AMB_MACHINE_TYPES_MAX][AMB_ZONES_MAX][2], rented;
    uint32_t nkinds;
    struct kind {
        int type, zone;
        bool spot;
        enum amb_priority priority; /* of the first that wanted it */
        double boot_s;
    } kinds[AMB_MACHINE_TYPES_MAX * AMB_ZONES_MAX * 2]; /* of those to be rented */
    uint32_t nzones; /* counted for tasks of the job at hand that are only planned */
    int *zones;
    struct amb_resources extra[AMB_TEAMS]; /* planned for each team on top of what it uses */
};

static double fits_times(const struct amb_resources *need, const struct amb_resources *size) {
    double n = 1e6;
    if (need->cpus > 0) n = fmin(n, floor(size->cpus / need->cpus + 1e-6));
    if (need->gpus > 0) n = fmin(n, floor(size->gpus / need->gpus + 1e-6));
    if (need->memory_gb > 0) n = fmin(n, floor(size->memory_gb / need->memory_gb + 1e-6));
    return n;
}

static double longest_boot(const struct amb_node *node) {
    double boot = 0;
    for (uint32_t t = 0; t < node->catalog.type_count; t++) boot = fmax(boot, node->catalog.types[t].boot_s);
    return boot;
}

/* The cheapest machine per task that could be rented for the wish; most: tasks of this shape that wait. */
static struct amb_slot *rent_for(struct plan *p, const struct amb_wish *request, uint32_t most,
                                 bool spread_even) {
    struct amb_round *cycle = p->r;
    struct amb_node *node = cycle->n;
    double least = INFINITY;
    int bt = -1, bz = -1, bs = 0;
    for (uint32_t t = 0; t < node->catalog.type_count; t++) {
        const struct amb_machine_type *type = &node->catalog.types[t];
        double times = fits_times(&request->need, &type->resources);
        if (times < 1 || !(request->type_mask >> t & 1)) continue;
        for (uint32_t k = 0; k < type->zone_count; k++) {
            int z = amb_catalog_find_or_add_zone(&node->catalog, type->zones[k]);
            for (int spot = 0; spot <= (int)request->spot; spot++) {
                struct amb_slot slot = {
                    .type = (int)t, .zone = z, .spot = spot, .usable = true, .kept_for = -1};
                if (z < 0 || !amb_place_allowed(request, &slot) || amb_zone_unreachable(node, z) ||
                    amb_rental_refused(node, (int)t, z, spot, cycle->now))
                    continue;
                double cost =
                    (spot ? type->hourly_spot_price : type->hourly_price) / fmin(times, most ? most : 1);
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
        p->kinds[p->nkinds++] = (struct kind){bt, bz, bs, request->priority, node->catalog.types[bt].boot_s};
    p->rented++;
    return amb_round_add_type(cycle, bt, bz, bs);
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

static bool within_plan(const struct plan *p, const struct amb_job *job, double times) {
    uint32_t team = (uint32_t)(job->team - p->r->n->settings.teams);
    struct amb_team t = *job->team;
    amb_resources_add(&t.used, &p->extra[team], 1);
    return amb_wdrr_within_limit(&t, &job->spec->task_resources, times);
}

static void plan_task(struct plan *p, struct amb_job *job, struct amb_wish *request, uint32_t most,
                      bool patient, bool *done) {
    struct amb_round *cycle = p->r;
    struct amb_slot *slot = NULL;
    int at = amb_round_pick(cycle, request, true);
    *done = false;
    /* A place that has to boot is taken only when no running work can make way. */
    bool up = at >= 0 && cycle->slots[at].machine && cycle->slots[at].machine->state == AMB_MACHINE_UP;
    if (!up) slot = amb_round_make_room(cycle, job, request, false); /* takes the room itself */
    if (!slot) {
        slot = at >= 0 ? &cycle->slots[at] : patient ? NULL : rent_for(p, request, most, true);
        if (!slot) {
            *done = true;
            return;
        }
        amb_resources_add(&slot->room, &request->need, -1);
        amb_round_slot_changed(cycle, slot);
        slot->planned++;
        if (amb_job_recovers(cycle->n, job)) amb_round_reserve(slot, job->spec);
    }
    job->zone_task_counts[slot->zone]++;
    p->zones[p->nzones++] = slot->zone;
}

static void plan_job(struct plan *p, struct amb_job *job) {
    struct amb_round *cycle = p->r;
    struct amb_wish request;
    bool done = false, patient = amb_start_can_wait(cycle->n, job);
    uint32_t left = amb_job_count_waiting_tasks(job), team = (uint32_t)(job->team - cycle->n->settings.teams);
    amb_round_mark(cycle, job->spec, job->spec->image);
    amb_round_wish(cycle, job, &request);
    if (job->spec->kind == AMB_JOB_KIND_GANG) {
        if (!within_plan(p, job, job->spec->task_count)) return;
        int *where = p->zones = amb_alloc(job->spec->task_count * sizeof *where);
        p->nzones = 0;
        amb_resources_add(&p->extra[team], &job->spec->task_resources, job->spec->task_count);
        /* A place that has to boot is taken only when no running work can make way. */
        if (amb_round_make_room_gang(cycle, job)) {
            free(where);
            return;
        }
        if (amb_round_place_gang(cycle, job, where, true)) {
            for (uint32_t i = 0; i < job->spec->task_count; i++) {
                struct amb_slot *slot = &cycle->slots[where[i]];
                if (slot->machine)
                    slot->machine->reserved_priority = (int)amb_job_get_effective_priority(job);
                slot->planned++;
                job->zone_task_counts[cycle->slots[where[i]].zone]--;
            }
            free(where);
            return;
        }
        /* In one zone: all of it goes where the first machine can be had. */
        for (uint32_t i = 0; i < job->spec->task_count && !done; i++) {
            plan_task(p, job, &request, job->spec->task_count, false, &done);
            if (job->spec->one_zone && p->nzones) request.zone = p->zones[0];
        }
    } else {
        /* The rest of a larger job has its turn once these are on their machines. */
        if (left > p->tasks_at_a_time) left = p->tasks_at_a_time;
        p->zones = amb_alloc(left * sizeof *p->zones);
        p->nzones = 0;
        for (; left && !done && within_plan(p, job, 1); left--) {
            plan_task(p, job, &request, left, patient, &done);
            if (job->spec->one_zone && p->nzones) request.zone = p->zones[0];
            amb_resources_add(&p->extra[team], &job->spec->task_resources, 1);
        }
    }
    while (p->nzones) job->zone_task_counts[p->zones[--p->nzones]]--;
    free(p->zones);
}

/* Tasks on machines that have been silent for most of a lease are as good as lost: room for them is looked
 * for before the lease proves it, since a machine takes longer to boot than the rest of a lease. (Nothing is
 * stopped for them yet: the machines may come back.) */
static void plan_lost_soon(struct plan *p) {
    struct amb_round *cycle = p->r;
    struct amb_node *node = cycle->n;
    amb_ms most =
        amb_secs(node->settings.lease_s * 0.65); /* longer than a worker takes to find another node */
    amb_ms latest = 0;
    for (const struct amb_machine *machine = node->fleet.all; machine; machine = machine->hh.next)
        if (machine->last_heartbeat_at > latest) latest = machine->last_heartbeat_at;
    /* Nobody heard at all: it is this node that is out of reach. (A new leader in that place once rented
     * twice its fleet anew within 14 s.) */
    if (cycle->now - latest > amb_secs(node->settings.report_s * 3)) return;
    amb_round_mark_any(cycle);
    for (struct amb_machine *machine = node->fleet.all; machine; machine = machine->hh.next) {
        amb_ms heard = machine->last_heartbeat_at > node->controller.leader_since
                           ? machine->last_heartbeat_at
                           : node->controller.leader_since;
        if (machine->zone_index < 0 || machine->type_index < 0 || machine->release_pending ||
            cycle->now - heard < most)
            continue;
        if (amb_lease_proxy_is_active_in_zone(node, machine->zone_index))
            continue; /* kept alive by a node that reaches it */
        for (struct amb_task *task = machine->tasks; task; task = task->next_on_machine) {
            struct amb_job *job = task->job;
            if (task->stop_requested || task->done || job->state != AMB_JOB_QUEUED) continue;
            struct amb_wish request;
            amb_round_wish(cycle, job, &request);
            job->zone_task_counts[machine->zone_index]--;
            int at = amb_round_pick(cycle, &request, true);
            struct amb_slot *slot =
                at >= 0 ? &cycle->slots[at] : rent_for(p, &request, p->tasks_at_a_time, true);
            job->zone_task_counts[machine->zone_index]++;
            if (!slot) continue;
            amb_resources_add(&slot->room, &request.need, -1);
            amb_round_slot_changed(cycle, slot);
            slot->planned++;
            if (slot->machine) slot->machine->reserved_priority = (int)amb_job_get_effective_priority(job);
        }
    }
}

/* The machine types that a job of this kind may run on, as a mask, and the longest time one of them takes to
 * boot. */
static uint32_t allowed_types(const struct amb_node *node, const struct amb_job_spec *spec, double *boot_s) {
    uint32_t mask = 0;
    *boot_s = 0;
    for (uint32_t t = 0; t < node->catalog.type_count; t++) {
        const struct amb_machine_type *type = &node->catalog.types[t];
        if (!amb_job_spec_allows_type(spec, type->name) ||
            fits_times(&spec->task_resources, &type->resources) < 1)
            continue;
        mask |= 1u << t;
        *boot_s = fmax(*boot_s, type->boot_s);
    }
    return mask;
}

/* Free room kept for what a class of urgent jobs is expected to ask for while a machine would boot. */
static void plan_headroom(struct plan *p) {
    struct amb_round *cycle = p->r;
    struct amb_node *node = cycle->n;
    uint32_t none[AMB_ZONES_MAX] = {0};
    for (uint32_t i = 0; i < node->controller.demand_count; i++) {
        struct amb_demand *d = &node->controller.demands[i];
        if (d->tasks_per_s <= 0) continue;
        double boot;
        uint32_t mask = allowed_types(node, &d->last_spec, &boot);
        double age = (double)(cycle->now - d->updated_at) / 1000, fade = exp(-age / (4 * boot));
        /* Arrivals come and tasks end about as often: what is left to cover is their spread. Of gangs some
         * surely end meanwhile; services run until somebody says so. */
        double part = d->last_spec.kind == AMB_JOB_KIND_GANG ? 2.0 / 3 : 1;
        double count =
            node->options.headroom * part * sqrt(d->tasks_per_s * fade * boot * d->mean_square_tasks);
        const struct amb_claim claim =
            amb_round_claim(&d->last_spec, amb_settings_team(&node->settings, d->last_spec.team));
        struct amb_wish request = {.need = d->last_spec.task_resources,
                                   .type_mask = mask,
                                   .zone = -1,
                                   .spot = d->last_spec.spot_allowed,
                                   .zone_used = none};
        /* Rented after what urgent work waits for, before what batch work does. */
        request.priority =
            d->last_spec.priority < AMB_PRIORITY_NORMAL ? d->last_spec.priority : AMB_PRIORITY_NORMAL;
        for (uint32_t k = 0; k < (uint32_t)ceil(count) && k < p->tasks_at_a_time; k++) {
            uint32_t image = k % d->image_count; /* a share of the room for each image asked for */
            amb_round_mark(cycle, &d->last_spec, d->images[image]);
            struct amb_slot *slot = amb_round_headroom(cycle, &request, &claim);
            if (!slot) slot = rent_for(p, &request, (uint32_t)ceil(count) - k, false);
            if (!slot) break;
            amb_resources_add(&slot->room, &request.need, -1);
            amb_round_slot_changed(cycle, slot);
            slot->planned++;
            if (slot->machine) slot->machine->reserved_priority = (int)d->last_spec.priority;
        }
    }
}

/* Nothing is placed on it, and no new leader would need what it holds. (A machine was returned 0.04 s after
 * its last task had ended; the end could not be recorded in an outage, and the next leader ran the task
 * again.) */
static bool is_empty(const struct amb_machine *machine) {
    return !machine->task_count && !machine->has_unrecorded_result;
}

static void plan_returns(struct plan *p) {
    struct amb_round *cycle = p->r;
    struct amb_node *node = cycle->n;
    struct amb_machine *machine, *next;
    for (uint32_t i = 0; i < cycle->nslots; i++) {
        struct amb_slot *slot = &cycle->slots[i];
        machine = slot->machine;
        if (!machine || slot->planned || !is_empty(machine) || machine->state != AMB_MACHINE_UP) continue;
        /* Idle since batch work may not start there yet, for a bounded time. */
        if (cycle->zones_without_batch >> machine->zone_index & 1) continue;
        const struct amb_machine_type *type = &node->catalog.types[machine->type_index];
        amb_ms idle = amb_secs(type->boot_s * node->options.idle_return);
        amb_ms lead = cycle->now - node->controller.leader_since;
        if (cycle->now - machine->idle_since > idle && lead > idle)
            amb_rental_give_back(node, machine, "idle");
    }
    HASH_ITER(hh, node->fleet.all, machine, next)
    if (machine->drain && is_empty(machine)) amb_rental_give_back(node, machine, "emptied");
}

/* ---- emptying machines: what runs on a few could run on fewer ---- */

/* A replica may be moved once it has run for a while, to a machine that holds its image: then it is down for
 * little more than two reports. Takes the room it would get. */
static bool movable(struct amb_round *cycle, struct amb_task *task) {
    struct amb_job *job = task->job;
    struct amb_wish request;
    if (task->stop_requested || task->state != AMB_TASK_SEEN || !task->running_at ||
        job->state != AMB_JOB_QUEUED)
        return false;
    if (cycle->now - task->running_at < amb_secs(cycle->n->settings.lease_s * 4)) return false;
    amb_round_mark(cycle, job->spec, job->spec->image);
    amb_round_wish(cycle, job, &request);
    int zone = task->machine->zone_index;
    job->zone_task_counts[zone]--;
    int at = amb_round_pick(cycle, &request, false);
    job->zone_task_counts[zone]++;
    if (at < 0 || !cycle->slots[at].has_image || !cycle->slots[at].machine ||
        cycle->slots[at].machine->state != AMB_MACHINE_UP || cycle->slots[at].machine == task->machine)
        return false;
    amb_resources_add(&cycle->slots[at].room, &job->spec->task_resources, -1);
    amb_round_slot_changed(cycle, &cycle->slots[at]);
    return true;
}

/* Tries where its replicas would go, and takes none of the room. */
static bool can_empty(struct amb_round *cycle, struct amb_slot *slot) {
    bool could = true;
    uint32_t first_change = cycle->rankings.changes;
    struct amb_resources *rooms = amb_alloc(cycle->nslots * sizeof *rooms);
    for (uint32_t i = 0; i < cycle->nslots; i++) rooms[i] = cycle->slots[i].room;
    slot->usable = false;
    amb_round_slot_changed(cycle, slot);
    for (struct amb_task *task = slot->machine->tasks; task && could; task = task->next_on_machine) {
        if (task->job->spec->kind == AMB_JOB_KIND_GANG || task->stop_requested) could = false;
        if (task->job->spec->kind == AMB_JOB_KIND_SERVICE) could = movable(cycle, task);
    }
    slot->usable = true;
    uint32_t last_change = cycle->rankings.changes;
    for (uint32_t k = first_change; k < last_change; k++) {
        uint32_t i = cycle->rankings.changed[k];
        cycle->slots[i].room = rooms[i];
        amb_round_slot_changed(cycle, &cycle->slots[i]);
    }
    free(rooms);
    return could;
}

static double fade(double peak, double now, double keep) {
    return fmax(now, now + (peak - now) * keep);
}

/* Batch work comes in bursts: what it took a little while ago it will take again. */
static void note_demand(struct plan *p) {
    struct amb_round *cycle = p->r;
    struct amb_node *node = cycle->n;
    struct amb_controller *c = &node->controller;
    struct amb_resources now = {0, 0, 0};
    for (uint32_t i = 0; i < node->settings.nteams; i++) {
        amb_resources_add(&now, &node->settings.teams[i].used, 1);
        amb_resources_add(&now, &p->extra[i], 1); /* what waits and may start */
    }
    double keep =
        c->peak_at ? exp(-(double)(cycle->now - c->peak_at) / 1000 / (1.5 * longest_boot(node) + 1)) : 0;
    c->peak_usage.cpus = fade(c->peak_usage.cpus, now.cpus, keep);
    c->peak_usage.gpus = fade(c->peak_usage.gpus, now.gpus, keep);
    c->peak_usage.memory_gb = fade(c->peak_usage.memory_gb, now.memory_gb, keep);
    c->peak_at = cycle->now;
}

/* Would the fleet without this machine still have held the latest peak? */
static bool spare(const struct amb_round *cycle, const struct amb_machine *one) {
    struct amb_resources rest = {0, 0, 0};
    const struct amb_resources *peak = &cycle->n->controller.peak_usage;
    for (uint32_t i = 0; i < cycle->nslots; i++) {
        const struct amb_machine *machine = cycle->slots[i].machine;
        if (!machine || machine == one || machine->state != AMB_MACHINE_UP || machine->drain) continue;
        const struct amb_resources *size = &cycle->n->catalog.types[machine->type_index].resources;
        /* Only as much of a machine counts as tasks of the usual shape can use. */
        double share = 1;
        if (peak->memory_gb > 0)
            share = fmin(share, size->memory_gb / peak->memory_gb * peak->gpus / size->gpus);
        if (peak->cpus > 0) share = fmin(share, size->cpus / peak->cpus * peak->gpus / size->gpus);
        rest.gpus += size->gpus * share;
    }
    return rest.gpus >= peak->gpus * 1.1;
}

static void plan_emptying(struct plan *p) {
    struct amb_round *cycle = p->r;
    struct amb_node *node = cycle->n;
    struct amb_machine *machine, *next;
    uint32_t draining = 0, up = 0;
    HASH_ITER(hh, node->fleet.all, machine, next) {
        up += machine->state == AMB_MACHINE_UP;
        draining += machine->drain;
    }
    /* Demand is back: better keep what boots already. */
    if (p->rented) {
        HASH_ITER(hh, node->fleet.all, machine, next)
        if (machine->drain && !machine->release_pending) machine->drain = false;
        return;
    }
    uint32_t moves = 0;
    HASH_ITER(hh, node->fleet.all, machine, next) {
        if (!machine->drain || machine->state != AMB_MACHINE_UP) continue;
        for (struct amb_task *task = machine->tasks; task && moves < 2; task = task->next_on_machine)
            if (task->job->spec->kind == AMB_JOB_KIND_SERVICE && movable(cycle, task)) {
                amb_task_request_stop(node, task, 0, "moves, so that its machine can be returned");
                moves++;
            }
    }
    if (draining * 20 > up) return;
    struct amb_slot *best = NULL;
    for (uint32_t i = 0; i < cycle->nslots; i++) {
        struct amb_slot *slot = &cycle->slots[i];
        if (!slot->machine || slot->machine->state != AMB_MACHINE_UP || !slot->machine->task_count ||
            slot->planned)
            continue;
        if (slot->machine->used.gpus * 2 > slot->size_gpus) continue;
        if (best && slot->machine->used.gpus >= best->machine->used.gpus) continue;
        if (spare(cycle, slot->machine) && can_empty(cycle, slot)) best = slot;
    }
    if (!best) return;
    amb_info("machine %s: to be emptied: the rest of the fleet has room for its %u tasks",
             best->machine->name, best->machine->task_count);
    best->machine->drain = true;
}

static void drop_dead_boots(struct amb_node *node, amb_ms now) {
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.all, machine, next) {
        if (machine->state != AMB_MACHINE_BOOTING || machine->type_index < 0) continue;
        if (now - machine->created_at > amb_secs(node->catalog.types[machine->type_index].boot_s * 4))
            amb_rental_release(node, machine, "it does not come up");
    }
}

void amb_plan(struct amb_round *cycle) {
    static const struct amb_resources no_room = {0, 0, 0};
    struct amb_node *node = cycle->n;
    struct plan *p = amb_alloc(sizeof *p);
    p->r = cycle;
    p->tasks_at_a_time = cycle->nslots > PLAN_TASKS_LEAST ? cycle->nslots : PLAN_TASKS_LEAST;
    amb_round_add_coming(cycle);
    for (uint32_t i = 0; i < cycle->nslots; i++)
        if (cycle->slots[i].machine) {
            cycle->slots[i].machine->reserved_priority = -1;
            cycle->slots[i].machine->claimed_by_gang = false;
            cycle->slots[i].machine->reserved = cycle->slots[i].reserved = no_room;
        }
    for (uint32_t i = 0; i < cycle->njobs; i++)
        if (amb_round_wants_start(cycle, cycle->jobs[i]) && !amb_job_broken(cycle->jobs[i]))
            plan_job(p, cycle->jobs[i]);
    plan_lost_soon(p);
    note_demand(p);
    plan_headroom(p);
    plan_returns(p);
    plan_emptying(p);
    qsort(p->kinds, p->nkinds, sizeof *p->kinds, by_need);
    uint32_t calls = amb_rental_calls(node, cycle->now);
    for (uint32_t i = 0; i < p->nkinds && i < calls; i++) {
        const struct kind *k = &p->kinds[i];
        amb_rental_want(node, k->type, k->zone, k->spot, p->rent[k->type][k->zone][k->spot]);
    }
    free(p);
    drop_dead_boots(node, cycle->now);
}

/* ---- what classes ask for ---- */

/* The class that nobody has asked for longest makes way. */
static struct amb_demand *longest_unasked(struct amb_controller *controller) {
    struct amb_demand *oldest = &controller->demands[0];
    for (uint32_t i = 1; i < controller->demand_count; i++)
        if (controller->demands[i].updated_at < oldest->updated_at) oldest = &controller->demands[i];
    amb_debug("class %s is no longer expected: more than %d classes are asked for", oldest->class_name,
              AMB_DEMANDS_MAX);
    return oldest;
}

void amb_plan_demand(struct amb_node *node, struct amb_job *job) {
    struct amb_controller *c = &node->controller;
    const struct amb_job_spec *spec = job->spec;
    struct amb_demand *d = NULL;
    /* Noted once, by followers too: a leader that knew only what came since it led would return what its
     * predecessor had kept, and rent it again. */
    if (job->demand_recorded || job->dependencies_pending || !spec || !node->cloud.catalog_known) return;
    job->demand_recorded = true;
    /* Work that starts late is missed, and a machine takes longer to boot than it may wait. */
    if (spec->priority < AMB_PRIORITY_HIGH && !amb_start_objective(node, spec)) return;
    if (spec->kind == AMB_JOB_KIND_ARRAY) return;
    int64_t age = amb_wall_ms() - amb_job_ready_wall_ms(job);
    amb_ms at = amb_now() - (age > 0 ? age : 0);
    for (uint32_t i = 0; i < c->demand_count && !d; i++)
        if (!strcmp(c->demands[i].class_name, spec->class_name)) d = &c->demands[i];
    if (!d) {
        d = c->demand_count < AMB_DEMANDS_MAX ? &c->demands[c->demand_count++] : longest_unasked(c);
        memset(d, 0, sizeof *d);
        strcpy(d->class_name, spec->class_name);
        d->updated_at = at;
    }
    double tau = fmax(4 * longest_boot(node), node->settings.lease_s);
    double since = (double)(at - d->updated_at) / 1000; /* negative: an earlier job that was heard of later */
    if (since >= 0) {
        d->tasks_per_s = d->tasks_per_s * exp(-since / tau) + 1 / tau; /* jobs a second */
        d->updated_at = at;
        d->last_spec = *spec;
    } else {
        d->tasks_per_s += exp(since / tau) / tau;
    }
    double square = (double)spec->task_count * spec->task_count;
    d->mean_square_tasks = d->mean_square_tasks > 0 ? d->mean_square_tasks * 0.9 + square * 0.1 : square;
    amb_recent_names_add(d->images, NULL, &d->image_count, AMB_DEMAND_IMAGES_MAX, spec->image, 0);
}
