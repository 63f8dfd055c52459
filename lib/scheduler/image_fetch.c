/* Image fetches in progress. Parallel fetches share a machine's fetch rate, so a slot counts how much is
 * still to be fetched. Tasks on one machine that need the same image share one fetch. */
#include "cycle_internal.h"

#include <math.h>
#include <string.h>

/* A fetch that should have finished counts as this share of the image until the machine reports its end. */
static const double REMAINING_SHARE_MIN = 0.1;

bool amb_image_fetch_is_shared(const struct amb_task *task) {
    bool is_earlier = true;
    for (const struct amb_task *other = task->machine->tasks; other; other = other->next_on_machine) {
        if (other == task)
            is_earlier = false;
        else if ((is_earlier || !amb_image_is_fetching(other)) &&
                 !strcmp(other->job->spec->image, task->job->spec->image))
            return true;
    }
    return false;
}

double amb_image_fetch_remaining_gb(const struct amb_cycle *cycle, const struct amb_task *task) {
    double image_gb = task->job->spec->image_gb;
    double fetch_gb_per_s = cycle->node->catalog.types[task->machine->type_index].image_fetch_gb_per_s;
    if (task->state != AMB_TASK_SEEN) return image_gb;
    double fetched_gb = fetch_gb_per_s * (double)(cycle->now - task->state_since) / 1000;
    return fmax(image_gb * REMAINING_SHARE_MIN, image_gb - fetched_gb);
}
