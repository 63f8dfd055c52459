/* The recovery order: the order in which the classes that lost replicas with a zone are started again. It
 * does no I/O and reads no clock.
 *
 * An order is created when a zone is lost, with one step for each class, and extended by later losses. A step
 * keeps its position relative to the others for as long as the order lasts, whatever interrupts the recovery.
 */
#ifndef AMBERPIN_ZONE_RECOVERY_ORDER_H
#define AMBERPIN_ZONE_RECOVERY_ORDER_H

#include "amberpin/model/model.h"

enum {
    AMB_RECOVERY_STEPS = 32,        /* most steps of an order; the classes that come after them get none */
    AMB_RECOVERY_UNLISTED = 0xffff, /* list position of a class that the operators' list does not name */
};

/* A class that lost replicas, as it was at the time of the loss. Its position in the order depends on nothing
 * else. */
struct amb_recovery_class {
    char name[AMB_NAME_SIZE];
    uint32_t list_position; /* in the operators' list, or AMB_RECOVERY_UNLISTED */
    enum amb_priority priority;
    double missing_share;        /* the share of its replicas that was lost, 0 to 1 */
    bool within_guarantee;       /* its team uses no more than its guarantee */
    double guarantee_used_share; /* the share of its guarantee that the team uses */
    int64_t accepted_wall_ms;    /* wall-clock time at which the oldest of its jobs was accepted */
};

/* The reason why the missing replicas of a step have to wait. */
enum amb_recovery_wait {
    AMB_RECOVERY_WAIT_NONE,          /* no replica is missing */
    AMB_RECOVERY_WAIT_ABSENCE_PROOF, /* the replicas are not proven absent from the lost machines yet */
    AMB_RECOVERY_WAIT_LEADERSHIP,    /* this node may not act, because its leadership is uncertain */
    AMB_RECOVERY_WAIT_QUOTA,         /* the team has reached its limit */
    AMB_RECOVERY_WAIT_SPREAD,        /* zone spread forbids a replica in each of the remaining zones */
    AMB_RECOVERY_WAIT_IMAGE,         /* the replicas wait for capacity on a machine that holds their image */
    AMB_RECOVERY_WAIT_CAPACITY,      /* the replicas wait for capacity on any machine */
    AMB_RECOVERY_WAIT_REASONS,
};

struct amb_recovery_step {
    struct amb_recovery_class lost_class;
    enum amb_recovery_wait wait;
    uint32_t missing_replicas;
    amb_ms opened_at; /* time of the loss that created the step or reopened it when no replica was missing */
};

struct amb_recovery_order {
    uint32_t count;
    struct amb_recovery_step steps[AMB_RECOVERY_STEPS];
};

/* Does the first class recover before the second? This is a strict total order on classes with different
 * names. */
bool amb_recovery_class_precedes(const struct amb_recovery_class *first,
                                 const struct amb_recovery_class *second);

/* Adds a step for a class that has lost replicas, or reopens the step that the class has. False: the order is
 * full and the class would come after all of its steps, so it gets none. */
bool amb_recovery_order_extend(struct amb_recovery_order *order, const struct amb_recovery_class *lost,
                               amb_ms now);

/* The position of the step of the class; -1: it has none. */
int amb_recovery_order_find(const struct amb_recovery_order *order, const char *class_name);

/* Sets the number of missing replicas and the wait reason of the step at this position. True: the wait reason
 * has changed. */
bool amb_recovery_order_update(struct amb_recovery_order *order, uint32_t position, uint32_t missing_replicas,
                               enum amb_recovery_wait wait);

/* Does any step have a wait reason other than AMB_RECOVERY_WAIT_NONE? */
bool amb_recovery_order_is_open(const struct amb_recovery_order *order);

/* The name of the wait reason in logs; a constant text. */
const char *amb_recovery_wait_name(enum amb_recovery_wait wait);

#endif
