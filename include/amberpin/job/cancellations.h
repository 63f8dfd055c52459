/* Indexes of cancelled jobs. The indexes by revision and by time keep the cost of a message that lists the
 * newest cancellations proportional to its length, without a scan of the table of all jobs. The index by the
 * time at which this node learned of the cancellation serves to free descriptions when no task is left. */
#ifndef AMBERPIN_CANCELLATIONS_H
#define AMBERPIN_CANCELLATIONS_H

#include "amberpin/model/model.h"

struct amb_node;

struct amb_cancellation {
    int64_t key;         /* sort key: a revision or a time in ms */
    struct amb_job *job; /* borrowed */
};

struct amb_cancellation_list { /* sorted by ascending key */
    struct amb_cancellation *entries;
    size_t count, capacity;
};

struct amb_cancellations {
    uint64_t change_count;                    /* incremented when a cancellation is added or updated */
    struct amb_cancellation_list by_revision; /* of the cancellation in the store */
    struct amb_cancellation_list by_wall_ms;  /* wall time of the user's request */
    struct amb_cancellation_list with_spec; /* jobs that may have tasks; key: when this node learned of it */
};

/* Adds the job to the indexes, or moves it there. Call this when the job is cancelled, or when the revision
 * or the time of its cancellation has become known. */
void amb_cancellations_update(struct amb_node *node, struct amb_job *job);

/* Returns the index of the first entry with a greater key, or `count` if there is none. */
size_t amb_cancellations_find_after(const struct amb_cancellation_list *list, int64_t key);

/* Frees the descriptions of cancelled jobs that cannot have tasks any more (docs/operators/memory.md). */
void amb_cancellations_drop_specs(struct amb_node *node, amb_ms now);

/* Frees the indexes, but not the jobs. */
void amb_cancellations_free(struct amb_cancellations *cancellations);

#endif
