/* The state of a capacity plan, and what its files share with one another alone. */
#ifndef AMBERPIN_SCHEDULER_PLAN_INTERNAL_H
#define AMBERPIN_SCHEDULER_PLAN_INTERNAL_H

#include "amberpin/scheduler/capacity_plan.h"

enum { AMB_PURCHASE_OPTIONS = 2 }; /* on demand, and spot */

/* A kind of machine that is to be requested. */
struct amb_scale_out_choice {
    int type, zone; /* in the catalogue */
    bool spot;
    enum amb_priority priority; /* of the first job that needs it */
    double boot_s;
};

struct amb_capacity_plan {
    struct amb_cycle *cycle; /* borrowed */
    uint32_t max_tasks_per_job;
    uint32_t scale_out_counts[AMB_MACHINE_TYPES_MAX][AMB_ZONES_MAX][AMB_PURCHASE_OPTIONS];
    uint32_t scale_out_total;
    struct amb_scale_out_choice choices[AMB_MACHINE_TYPES_MAX * AMB_ZONES_MAX * AMB_PURCHASE_OPTIONS];
    uint32_t choice_count;
    struct amb_resources planned_usage[AMB_TEAMS_MAX]; /* of each team, on top of what it uses */
};

/* ---- scale out (scale_out_choice.c) ---- */

/* How many tasks fit on a machine of this size. */
double amb_plan_max_tasks_that_fit(const struct amb_resources *need, const struct amb_resources *size);
/* How a kind of machine is chosen among those of about one price. */
enum amb_scale_out_spread {
    AMB_SCALE_OUT_PACKED, /* always the same */
    AMB_SCALE_OUT_EVEN,   /* over zones and types */
};
/* Adds a machine of the kind that costs least for each task of the request, `max_tasks` of which wait. The
 * result is valid until the next slot is added; NULL: no kind can be had. */
struct amb_slot *amb_plan_scale_out(struct amb_capacity_plan *plan,
                                    const struct amb_placement_request *request, uint32_t max_tasks,
                                    enum amb_scale_out_spread spread);
/* Submits the requests to the cloud, as many as calls are available: the rest is planned anew next time. */
void amb_plan_submit_scale_outs(struct amb_capacity_plan *plan);

/* ---- waiting and endangered tasks (task_plan.c, replacement_plan.c) ---- */

/* Takes the slot for a task that will be placed there later. */
void amb_plan_take_slot(struct amb_capacity_plan *plan, struct amb_slot *slot,
                        const struct amb_resources *resources);
void amb_plan_job(struct amb_capacity_plan *plan, struct amb_job *job);
/* For tasks on machines that are about to be given up. */
void amb_plan_replacements(struct amb_capacity_plan *plan);

/* ---- expected demand (demand_forecast.c, reserved_capacity.c) ---- */

double amb_demand_longest_boot_s(const struct amb_node *node); /* of all machine types */
/* How many tasks of the class are to find free capacity at once, when a machine boots for boot_s. */
double amb_demand_expected_tasks(const struct amb_node *node, const struct amb_demand *demand, double boot_s,
                                 amb_ms now);
/* What all teams use and may start now, towards the peak that scale in keeps capacity for. */
void amb_demand_update_peak(struct amb_capacity_plan *plan);
void amb_plan_reserved_capacity(struct amb_capacity_plan *plan);

/* ---- scale in (scale_in.c, consolidation.c) ---- */

/* Releases machines that have been idle for long, and drained ones that are empty. */
void amb_plan_scale_in(struct amb_capacity_plan *plan);
/* Releases machines that should have booted long ago. */
void amb_plan_release_overdue_boots(struct amb_node *node, amb_ms now);
/* Drains a machine whose tasks fit on the rest of the fleet, and moves replicas off drained ones. */
void amb_plan_consolidation(struct amb_capacity_plan *plan);

#endif
