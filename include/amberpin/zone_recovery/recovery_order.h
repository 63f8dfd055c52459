/* The recovery order: in which order the classes that lost replicas with a zone are started again. Pure.
 *
 * An order is made when a zone is lost, with one step for each class, and extended by later losses. A step
 * keeps its position relative to the others for as long as the order lasts, whatever interrupts the recovery.
 */
#ifndef AMBERPIN_ZONE_RECOVERY_ORDER_H
#define AMBERPIN_ZONE_RECOVERY_ORDER_H

#include "amberpin/model/model.h"

enum {
    AMB_RECOVERY_STEPS = 32,        /* of an order at most; the classes that come last get no step */
    AMB_RECOVERY_UNLISTED = 0xffff, /* the operators' list does not name the class */
};

/* A class that lost replicas, as it was at the loss: all that its position depends on. */
struct amb_recovery_class {
    char name[AMB_NAME_SIZE];
    uint32_t list_position; /* in the operators' list; AMB_RECOVERY_UNLISTED */
    enum amb_priority priority;
    double missing_share;        /* of its replicas, 0 to 1 */
    bool within_guarantee;       /* its team uses no more than it is guaranteed */
    double guarantee_used_share; /* of its team's guarantee */
    int64_t accepted_wall_ms;    /* time of day at which the oldest of its jobs was accepted */
};

/* What the missing replicas of a step wait for. */
enum amb_recovery_wait {
    AMB_RECOVERY_WAIT_NONE,          /* none is missing */
    AMB_RECOVERY_WAIT_ABSENCE_PROOF, /* they are not proven absent from the lost machines yet */
    AMB_RECOVERY_WAIT_LEADERSHIP,    /* this node may not act: its leadership is not certain now */
    AMB_RECOVERY_WAIT_QUOTA,         /* their team is at its limit */
    AMB_RECOVERY_WAIT_SPREAD,        /* they may not be placed in the zones that are left */
    AMB_RECOVERY_WAIT_IMAGE,         /* for capacity on a machine that holds their image */
    AMB_RECOVERY_WAIT_CAPACITY,      /* for capacity on any machine */
    AMB_RECOVERY_WAIT_REASONS,
};

struct amb_recovery_step {
    struct amb_recovery_class lost_class;
    enum amb_recovery_wait wait;
    uint32_t missing_replicas;
    amb_ms opened_at; /* of the latest loss that found the step complete */
};

struct amb_recovery_order {
    uint32_t count;
    struct amb_recovery_step steps[AMB_RECOVERY_STEPS];
};

/* Does the first class recover before the second? A strict total order on classes of different names. */
bool amb_recovery_class_precedes(const struct amb_recovery_class *first,
                                 const struct amb_recovery_class *second);

/* The class has lost replicas: it gets a step, or the one that it has is opened again. False: it comes after
 * all steps of a full order, and has none. */
bool amb_recovery_order_extend(struct amb_recovery_order *order, const struct amb_recovery_class *lost,
                               amb_ms now);

/* The position of the class's step; -1: it has none. */
int amb_recovery_order_find(const struct amb_recovery_order *order, const char *class_name);

/* Sets what the step at this position lacks and waits for. True: it waits for something else than before. */
bool amb_recovery_order_update(struct amb_recovery_order *order, uint32_t position, uint32_t missing_replicas,
                               enum amb_recovery_wait wait);

/* Does any step wait for something? */
bool amb_recovery_order_is_open(const struct amb_recovery_order *order);

/* For logs; a constant text. */
const char *amb_recovery_wait_name(enum amb_recovery_wait wait);

#endif
