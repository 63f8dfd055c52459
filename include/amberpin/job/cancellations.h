/* Indexes of cancelled jobs: by revision and by time, so that a message which lists the newest of them costs
 * what it lists and not a walk over the table of all jobs; and by when this node heard of the cancellation,
 * so that descriptions are freed once no task can be left. */
#ifndef AMBERPIN_CANCELLATIONS_H
#define AMBERPIN_CANCELLATIONS_H

#include "amberpin/model/model.h"

struct amb_node;

struct amb_cancellation {
    int64_t key;         /* what the list is sorted by */
    struct amb_job *job; /* borrowed */
};

struct amb_cancellation_list { /* ascending by key */
    struct amb_cancellation *entries;
    size_t count, capacity;
};

struct amb_cancellations {
    uint64_t change_count;                    /* grows whenever something becomes known of any */
    struct amb_cancellation_list by_revision; /* of the cancellation in the state service */
    struct amb_cancellation_list by_wall_ms;  /* time of day at which it was asked for */
    struct amb_cancellation_list with_spec;   /* jobs that may have tasks; by when this node heard of it */
};

/* Files the job anew: it is cancelled, or its cancellation's revision or time has become known. */
void amb_cancellations_update(struct amb_node *node, struct amb_job *job);

/* The index of the first entry with a key above this one; `count` if there is none. */
size_t amb_cancellations_find_after(const struct amb_cancellation_list *list, int64_t key);

/* Frees the descriptions of jobs whose tasks must all be gone by now (docs/operators/memory.md). */
void amb_cancellations_drop_specs(struct amb_node *node, amb_ms now);

/* Frees the indexes, not the jobs. */
void amb_cancellations_free(struct amb_cancellations *cancellations);

#endif
