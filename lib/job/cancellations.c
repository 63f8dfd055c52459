/* Cancelled jobs in order. Entries come nearly in order, so they are put in from the end. */
#include "amberpin/job/cancellations.h"

#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

/* How long a cancelled job may have tasks, in times of `cancel_s`: once would do by the protocol's rule. */
enum { TASKS_GONE_AFTER = 2 };

size_t amb_cancellations_after(const struct amb_cancellation_list *list, int64_t key) {
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

static void make_room(struct amb_cancellation_list *list) {
    enum { FIRST_CAPACITY = 16 };
    if (list->count < list->capacity) return;
    list->capacity = list->capacity ? 2 * list->capacity : FIRST_CAPACITY;
    list->entries = amb_grow(list->entries, list->capacity * sizeof *list->entries);
}

static void insert(struct amb_cancellation_list *list, int64_t key, struct amb_job *job) {
    make_room(list);
    size_t at = amb_cancellations_after(list, key);
    memmove(&list->entries[at + 1], &list->entries[at], (list->count - at) * sizeof *list->entries);
    list->entries[at] = (struct amb_cancellation){key, job};
    list->count++;
}

static void remove_at(struct amb_cancellation_list *list, size_t at) {
    list->count--;
    memmove(&list->entries[at], &list->entries[at + 1], (list->count - at) * sizeof *list->entries);
}

/* From the end: what changes was heard of a moment ago. */
static void remove_job(struct amb_cancellation_list *list, const struct amb_job *job) {
    for (size_t i = list->count; i-- > 0;) {
        if (list->entries[i].job != job) continue;
        remove_at(list, i);
        return;
    }
}

void amb_cancellation_note(struct amb_node *node, struct amb_job *job) {
    struct amb_cancellations *cancellations = &node->jobs.cancellations;
    cancellations->changes++;
    if (job->cancel_noted) {
        remove_job(&cancellations->by_stamp, job);
        remove_job(&cancellations->by_wall, job);
    } else {
        insert(&cancellations->described, amb_now(), job);
    }
    job->cancel_noted = true;
    insert(&cancellations->by_stamp, (int64_t)job->cancel_stamp, job);
    insert(&cancellations->by_wall, job->cancelled_wall, job);
}

static void drop_description(struct amb_node *node, struct amb_job *job) {
    amb_job_drop_spec(node, job);
    job->tasks_gone = true;
}

/* A job that is still in the leader's care is looked at again when as much time has passed. */
void amb_cancellations_drop_descriptions(struct amb_node *node, amb_ms now) {
    struct amb_cancellation_list *described = &node->jobs.cancellations.described;
    amb_ms heard_by = now - amb_secs(TASKS_GONE_AFTER * node->set.cancel_s);
    while (described->count && described->entries[0].key <= heard_by) {
        struct amb_job *job = described->entries[0].job;
        remove_at(described, 0);
        if (job->live)
            insert(described, now, job);
        else
            drop_description(node, job);
    }
}

void amb_cancellations_free(struct amb_cancellations *cancellations) {
    free(cancellations->by_stamp.entries);
    free(cancellations->by_wall.entries);
    free(cancellations->described.entries);
}
