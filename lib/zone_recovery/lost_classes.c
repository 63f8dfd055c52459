#include "lost_classes.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"
#include "amberpin/placement/wdrr.h"

#include <math.h>
#include <string.h>

enum { CLASSES_MAX = 2 * AMB_RECOVERY_STEPS }; /* most classes counted at a loss; others get no step */

/* The replicas of a class at the time of a loss. */
struct class_count {
    const struct amb_job *oldest; /* the job of the class that was accepted first */
    uint32_t lost, total;
};

struct class_counts {
    struct class_count classes[CLASSES_MAX];
    uint32_t count;
};

/* ---- counting ---- */

/* The count of the job's class; NULL: it is missing, and is not to be added or does not fit. */
static struct class_count *find_class(struct class_counts *counts, const struct amb_job *job,
                                      bool add_if_missing) {
    for (uint32_t i = 0; i < counts->count; i++)
        if (!strcmp(counts->classes[i].oldest->spec->class_name, job->spec->class_name))
            return &counts->classes[i];
    if (!add_if_missing || counts->count == CLASSES_MAX) return NULL;
    struct class_count *count = &counts->classes[counts->count++];
    *count = (struct class_count){.oldest = job};
    return count;
}

static bool is_active_service(const struct amb_job *job) {
    return job->spec->kind == AMB_JOB_KIND_SERVICE && job->state == AMB_JOB_QUEUED;
}

static void count_lost_replica(struct class_counts *counts, const struct amb_job *job) {
    struct class_count *count = is_active_service(job) ? find_class(counts, job, true) : NULL;
    if (!count) return;
    count->lost++;
    if (job->accepted_wall_ms < count->oldest->accepted_wall_ms) count->oldest = job;
}

static void count_lost(const struct amb_node *node, int zone, struct class_counts *counts) {
    for (const struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next) {
        if (machine->zone_index != zone) continue;
        for (const struct amb_task *task = machine->tasks; task; task = task->next_on_machine)
            count_lost_replica(counts, task->job);
    }
}

static void count_total(const struct amb_node *node, struct class_counts *counts) {
    for (const struct amb_job *job = node->jobs.active; job; job = job->next_active) {
        struct class_count *count = is_active_service(job) ? find_class(counts, job, false) : NULL;
        if (count) count->total += job->bound_count;
    }
}

/* ---- recovery classes ---- */

/* The position of the class in the operators' list, or AMB_RECOVERY_UNLISTED. */
static uint32_t list_position(const struct amb_node *node, const char *class_name) {
    const char *list = node->options.zone_recovery_order;
    char name[AMB_NAME_SIZE];
    for (uint32_t position = 0; amb_zone_settings_next_class(&list, name, sizeof name); position++)
        if (!strcmp(name, class_name)) return position;
    return AMB_RECOVERY_UNLISTED;
}

static double ratio(double part, double whole) {
    return whole > 0 ? part / whole : 0;
}

/* The share of its guarantee that the team uses: of GPUs or of CPUs, whichever is larger. */
static double guarantee_used_share(const struct amb_team *team) {
    double gpus = ratio(team->used.gpus, team->guarantee.gpus);
    double cpus = ratio(team->used.cpus, team->guarantee.cpus);
    return fmax(gpus, cpus);
}

static struct amb_recovery_class make_class(const struct amb_node *node, const struct class_count *count) {
    static const struct amb_resources nothing = {0, 0, 0};
    const struct amb_job *job = count->oldest;
    struct amb_recovery_class lost = {
        .list_position = list_position(node, job->spec->class_name),
        .priority = job->spec->priority,
        .missing_share = ratio(count->lost, count->total),
        .within_guarantee = amb_wdrr_is_within_guarantee(job->team, &nothing),
        .guarantee_used_share = guarantee_used_share(job->team),
        .accepted_wall_ms = job->accepted_wall_ms,
    };
    strcpy(lost.name, job->spec->class_name);
    return lost;
}

static void log_order(const struct amb_recovery_order *order, const char *zone_name) {
    for (uint32_t i = 0; i < order->count; i++)
        amb_info("recovery of %s: step %u of %u, zone %s is lost", order->steps[i].lost_class.name, i + 1,
                 order->count, zone_name);
}

void amb_zone_recovery_handle_loss(struct amb_node *node, int zone, amb_ms now) {
    struct amb_recovery_order *order = &node->zone_recovery.order;
    struct class_counts counts = {.count = 0};
    count_lost(node, zone, &counts);
    count_total(node, &counts);
    for (uint32_t i = 0; i < counts.count; i++) {
        const struct amb_recovery_class lost = make_class(node, &counts.classes[i]);
        if (!amb_recovery_order_extend(order, &lost, now))
            amb_info("recovery of %s: no step, there are %d already", lost.name, AMB_RECOVERY_STEPS);
    }
    log_order(order, node->catalog.zones[zone]);
}
