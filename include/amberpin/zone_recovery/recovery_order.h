/* Order of return: in which order the classes that lost replicas with a zone come back. Pure.
 *
 * An order is made when a zone is lost, one step a class, and extended by what is lost later. A step keeps
 * its place among the others for as long as the order lasts, whatever interrupts the return. */
#ifndef AMBERPIN_ZONE_RECOVERY_ORDER_H
#define AMBERPIN_ZONE_RECOVERY_ORDER_H

#include "amberpin/model/model.h"

enum {
    AMB_RECOVERY_STEPS = 32,        /* of an order; classes that come last have no step beyond these */
    AMB_RECOVERY_UNLISTED = 0xffff, /* the operators' list does not name the class */
};

/* A class that lost replicas, as it was at the loss: all that its place depends on. */
struct amb_recovery_class {
    char name[AMB_NAME_SIZE];
    uint32_t list_position; /* place in the operators' list; AMB_RECOVERY_UNLISTED */
    enum amb_priority priority;
    double missing_share;        /* of its replicas */
    bool within_guarantee;       /* its team uses no more than it is guaranteed */
    double guarantee_used_share; /* what its team uses, as a share of its guarantee */
    int64_t accepted_wall_ms;    /* when the oldest of its jobs was accepted */
};

enum amb_recovery_wait {
    AMB_RECOVERY_WAIT_NONE,          /* nothing is missing */
    AMB_RECOVERY_WAIT_ABSENCE_PROOF, /* tasks are not proven off the lost machines yet */
    AMB_RECOVERY_WAIT_LEADERSHIP,    /* the state service, or the lead itself, is not sure */
    AMB_RECOVERY_WAIT_QUOTA,         /* its team is at its limit */
    AMB_RECOVERY_WAIT_SPREAD,        /* its tasks may not be in the zones that are left */
    AMB_RECOVERY_WAIT_IMAGE,         /* room on a machine that holds its image */
    AMB_RECOVERY_WAIT_CAPACITY,      /* room on any machine */
    AMB_RECOVERY_WAIT_REASONS,
};

struct amb_recovery_step {
    struct amb_recovery_class lost_class;
    enum amb_recovery_wait wait;
    uint32_t missing_replicas; /* replicas */
    amb_ms opened_at;
};

struct amb_recovery_order {
    uint32_t count;
    struct amb_recovery_step steps[AMB_RECOVERY_STEPS];
};

/* Does a come back before b? */
bool amb_recovery_class_precedes(const struct amb_recovery_class *first,
                                 const struct amb_recovery_class *second);
/* The class has lost replicas. It gets a step, or its own is opened again. False: neither, as it comes after
 * all steps that there may be. */
bool amb_recovery_order_extend(struct amb_recovery_order *order, const struct amb_recovery_class *lost,
                               amb_ms now);
/* Place of the class's step; -1: it has none. */
int amb_recovery_order_find(const struct amb_recovery_order *order, const char *class_name);
/* What the step at this place misses and waits for now. True: that is another reason than before. */
bool amb_recovery_order_update(struct amb_recovery_order *order, uint32_t position, uint32_t missing_replicas,
                               enum amb_recovery_wait wait);
/* Is anything missing? */
bool amb_recovery_order_is_open(const struct amb_recovery_order *order);
const char *amb_recovery_wait_name(enum amb_recovery_wait wait);

#endif
