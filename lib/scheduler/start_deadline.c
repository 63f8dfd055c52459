/* How soon work has to start, from the objectives of its class, its deadline and what its team is guaranteed.
 */
#include "amberpin/scheduler/start_deadline.h"

#include "amberpin/placement/bin_packing.h"

#include <math.h>
#include <string.h>

/* What work that nobody set a time for waits for free room before machines are rented for it, in boot times
 * of the slowest machine it may run on. */
static const double OPPORTUNISTIC_WAIT_BOOTS = 8;

/* The longest that a start takes on a machine still to be rented. */
static double lead_s(const struct amb_node *n, const struct amb_spec *s) {
    double lead = 0;
    for (uint32_t i = 0; i < n->catalog.ntypes; i++) {
        const struct amb_type *t = &n->catalog.types[i];
        if (amb_spec_allows(s, t->name))
            lead = fmax(lead, t->boot_s + (t->fetch_gb_s > 0 ? s->image_gb / t->fetch_gb_s : 0));
    }
    return lead;
}

/* The soonest that its class is to start. Batch work that may start later than a rented machine could take it
 * is in no hurry. (When any aim for starts made it so, sweeps to be started within 120 s took the room that
 * had been made for a gang, were stopped for it and took it again, up to ten times each.) */
const struct amb_objective *amb_start_objective(const struct amb_node *n, const struct amb_spec *s) {
    const struct amb_objective *best = NULL;
    for (uint32_t i = 0; i < n->set.nobjectives; i++) {
        const struct amb_objective *o = &n->set.objectives[i];
        if (strcmp(o->kind, "wait") || strcmp(o->class_name, s->class_name)) continue;
        if (!best || o->within_s < best->within_s) best = o;
    }
    return best && s->kind == AMB_ARRAY && best->within_s > lead_s(n, s) ? NULL : best;
}

bool amb_job_opportunistic(const struct amb_job *j) {
    return j->spec->kind == AMB_ARRAY && j->spec->priority < AMB_HIGH && j->team->opportunistic;
}

/* When the job is to be done, by its deadline or else by its class's objective. */
static int64_t due_of(const struct amb_node *n, const struct amb_job *j) {
    const struct amb_spec *s = j->spec;
    int64_t due = amb_job_due_wall(j);
    for (uint32_t i = 0; i < n->set.nobjectives && s->deadline_s <= 0; i++) {
        const struct amb_objective *o = &n->set.objectives[i];
        if (strcmp(o->kind, "finished") || strcmp(o->class_name, s->class_name)) continue;
        due = amb_earlier(due, amb_job_ready_wall(j) + amb_secs(o->within_s));
    }
    return due;
}

/* (Idle-time work of a guest once had machines rented for it: the fleet of a day was twice as large.) */
static double opportunistic_wait_s(const struct amb_node *n, const struct amb_spec *s) {
    return OPPORTUNISTIC_WAIT_BOOTS * lead_s(n, s);
}

bool amb_start_can_wait(const struct amb_node *n, const struct amb_job *j) {
    const struct amb_spec *s = j->spec;
    if (s->kind != AMB_ARRAY || s->priority >= AMB_HIGH || amb_start_objective(n, s)) return false;
    int64_t due = due_of(n, j);
    if (due != AMB_NO_DUE) return amb_wall_ms() + amb_secs(lead_s(n, s) + amb_spec_work_s(s)) < due;
    return amb_job_opportunistic(j) &&
           amb_wall_ms() < amb_job_ready_wall(j) + amb_secs(opportunistic_wait_s(n, s));
}
