/* The state of a capacity plan, and functions that only its files use. */
#ifndef AMBERPIN_SCHEDULER_PLAN_INTERNAL_H
#define AMBERPIN_SCHEDULER_PLAN_INTERNAL_H

#include "amberpin/scheduler/capacity_plan.h"

enum { AMB_PURCHASE_OPTIONS = 2 }; /* on demand and spot */

/* Machines of one type, zone and purchase option that are to be requested. */
struct amb_scale_out_choice {
    int type, zone; /* indices in the catalogue */
    bool spot;
    enum amb_priority priority; /* of the first request that needs it */
    double boot_s;
};

struct amb_capacity_plan {
    struct amb_cycle *cycle; /* borrowed */
    uint32_t max_tasks_per_job;
    uint32_t scale_out_counts[AMB_MACHINE_TYPES_MAX][AMB_ZONES_MAX][AMB_PURCHASE_OPTIONS];
    uint32_t scale_out_total;
    struct amb_scale_out_choice choices[AMB_MACHINE_TYPES_MAX * AMB_ZONES_MAX * AMB_PURCHASE_OPTIONS];
    uint32_t choice_count;
    struct amb_resources planned_usage[AMB_TEAMS_MAX]; /* for each team, in addition to its current usage */
};

/* ---- scale out (scale_out_choice.c) ---- */

/* The number of tasks that fit on a machine of this size. */
double amb_plan_max_tasks_that_fit(const struct amb_resources *need, const struct amb_resources *size);
/* How to choose between machines of about the same price. */
enum amb_scale_out_spread {
    AMB_SCALE_OUT_PACKED, /* always the same type and zone */
    AMB_SCALE_OUT_EVEN,   /* spread evenly over types and zones */
};
/* Adds a machine to the plan, chosen for the lowest cost per task when `max_tasks` tasks like the request's
 * wait. The returned slot is valid until the next slot is added; NULL: no suitable machine is available. */
struct amb_slot *amb_plan_scale_out(struct amb_capacity_plan *plan,
                                    const struct amb_placement_request *request, uint32_t max_tasks,
                                    enum amb_scale_out_spread spread);
/* Submits the scale-out requests to the cloud, limited by the calls available. The next plan computes the
 * rest anew. */
void amb_plan_submit_scale_outs(struct amb_capacity_plan *plan);

/* ---- tasks that wait or are about to be lost (task_plan.c, replacement_plan.c) ---- */

/* Takes resources of the slot for a task that will be placed there later. */
void amb_plan_take_slot(struct amb_capacity_plan *plan, struct amb_slot *slot,
                        const struct amb_resources *resources);
/* Plans capacity for the job's waiting tasks. */
void amb_plan_job(struct amb_capacity_plan *plan, struct amb_job *job);
/* Plans capacity for tasks on machines that are about to be lost. */
void amb_plan_replacements(struct amb_capacity_plan *plan);

/* ---- expected demand (demand_forecast.c, reserved_capacity.c) ---- */

double amb_demand_longest_boot_s(const struct amb_node *node); /* over all machine types */
/* The number of tasks of the class to keep capacity for, if a machine takes boot_s to boot. */
double amb_demand_expected_tasks(const struct amb_node *node, const struct amb_demand *demand, double boot_s,
                                 amb_ms now);
/* Updates the decaying peak usage, for which scale in keeps capacity, with what all teams use now and what is
 * planned for them. */
void amb_demand_update_peak(struct amb_capacity_plan *plan);
void amb_plan_reserved_capacity(struct amb_capacity_plan *plan);

/* ---- scale in (scale_in.c, consolidation.c) ---- */

/* Releases machines that have been idle for too long, and draining machines that are empty. */
void amb_plan_scale_in(struct amb_capacity_plan *plan);
/* Releases machines that should have booted long ago. */
void amb_plan_release_overdue_boots(struct amb_node *node, amb_ms now);
/* Starts draining a machine whose replicas fit on the rest of the fleet, and moves replicas off draining
 * machines. */
void amb_plan_consolidation(struct amb_capacity_plan *plan);

#endif
