/* Cancelled jobs in two orders, so that a message which lists the newest of them costs what it lists and not
 * a walk over all jobs there ever were; and the end of their descriptions, once no task can be left. */
#ifndef AMBERPIN_CANCELLATIONS_H
#define AMBERPIN_CANCELLATIONS_H

#include "amberpin/model/model.h"

struct amb_node;

struct amb_cancellation {
    int64_t key; /* what the list is sorted by */
    struct amb_job *job;
};

struct amb_cancellation_list { /* ascending by key */
    struct amb_cancellation *entries;
    size_t count, capacity;
};

struct amb_cancellations {
    uint64_t change_count;                    /* counts whatever becomes known of any */
    struct amb_cancellation_list by_revision; /* of the cancellation in the state service */
    struct amb_cancellation_list by_wall_ms;  /* the time of day at which it was asked for */
    struct amb_cancellation_list
        with_spec; /* by when this node heard of it; jobs that still may have tasks */
};

/* The job is cancelled, or more has become known of its cancellation. */
void amb_cancellations_update(struct amb_node *node, struct amb_job *job);

/* The first entry with a key above this one; `count` when there is none. */
size_t amb_cancellations_find_after(const struct amb_cancellation_list *list, int64_t key);

/* Frees the descriptions of jobs whose tasks are all proven to be gone by now (docs/memory.md). */
void amb_cancellations_drop_specs(struct amb_node *node, amb_ms now);

void amb_cancellations_free(struct amb_cancellations *cancellations);

#endif
