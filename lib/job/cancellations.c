#include "amberpin/job/cancellations.h"

#include "amberpin/job/job_specs.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

/* Multiple of `cancel_s` after which a cancelled job has no tasks left; the protocol itself allows one. */
enum { TASKS_GONE_CANCEL_PERIODS = 2 };

size_t amb_cancellations_find_after(const struct amb_cancellation_list *list, int64_t key) {
    size_t low = 0, high = list->count;
    while (low < high) {
        size_t middle = low + (high - low) / 2;
        if (list->entries[middle].key > key)
            high = middle;
        else
            low = middle + 1;
    }
    return low;
}

static void reserve_entry(struct amb_cancellation_list *list) {
    enum { FIRST_CAPACITY = 16 };
    if (list->count < list->capacity) return;
    list->capacity = list->capacity ? 2 * list->capacity : FIRST_CAPACITY;
    list->entries = amb_realloc(list->entries, list->capacity * sizeof *list->entries);
}

static void insert(struct amb_cancellation_list *list, int64_t key, struct amb_job *job) {
    reserve_entry(list);
    size_t at = amb_cancellations_find_after(list, key);
    memmove(&list->entries[at + 1], &list->entries[at], (list->count - at) * sizeof *list->entries);
    list->entries[at] = (struct amb_cancellation){key, job};
    list->count++;
}

static void remove_at(struct amb_cancellation_list *list, size_t at) {
    list->count--;
    memmove(&list->entries[at], &list->entries[at + 1], (list->count - at) * sizeof *list->entries);
}

/* Searches from the end, because a job whose entry changes is usually one of the latest. */
static void remove_job(struct amb_cancellation_list *list, const struct amb_job *job) {
    for (size_t i = list->count; i-- > 0;) {
        if (list->entries[i].job != job) continue;
        remove_at(list, i);
        return;
    }
}

void amb_cancellations_update(struct amb_node *node, struct amb_job *job) {
    struct amb_cancellations *cancellations = &node->jobs.cancellations;
    cancellations->change_count++;
    if (job->cancellation_listed) {
        remove_job(&cancellations->by_revision, job);
        remove_job(&cancellations->by_wall_ms, job);
    } else {
        insert(&cancellations->with_spec, amb_now(), job);
    }
    job->cancellation_listed = true;
    insert(&cancellations->by_revision, (int64_t)job->cancel_revision, job);
    insert(&cancellations->by_wall_ms, job->cancelled_wall_ms, job);
}

static void drop_spec(struct amb_node *node, struct amb_job *job) {
    amb_job_drop_spec(node, job);
    job->tasks_gone = true;
}

/* A job that is still active is checked again after the same time. */
void amb_cancellations_drop_specs(struct amb_node *node, amb_ms now) {
    struct amb_cancellation_list *with_spec = &node->jobs.cancellations.with_spec;
    amb_ms known_before = now - amb_seconds_to_ms(TASKS_GONE_CANCEL_PERIODS * node->settings.cancel_s);
    while (with_spec->count && with_spec->entries[0].key <= known_before) {
        struct amb_job *job = with_spec->entries[0].job;
        remove_at(with_spec, 0);
        if (job->active)
            insert(with_spec, now, job);
        else
            drop_spec(node, job);
    }
}

void amb_cancellations_free(struct amb_cancellations *cancellations) {
    free(cancellations->by_revision.entries);
    free(cancellations->by_wall_ms.entries);
    free(cancellations->with_spec.entries);
}
