/* Creates and frees scheduling cycles. */
#include "cycle_internal.h"

#include "amberpin/placement/wdrr.h"

#include <stdlib.h>

struct amb_cycle *amb_cycle_new(struct amb_node *node, amb_ms now) {
    struct amb_cycle *cycle = amb_alloc(sizeof *cycle);
    cycle->node = node;
    cycle->now = now;
    cycle->zones_without_batch = amb_zones_without_batch(node);
    cycle->sized_by_gpus = amb_wdrr_is_sized_by_gpus(node->settings.teams, node->settings.team_count);
    amb_pipelines_update_priorities(node);
    amb_cycle_collect_machines(cycle);
    amb_cycle_collect_jobs(cycle);
    return cycle;
}

void amb_cycle_free(struct amb_cycle *cycle) {
    for (uint32_t i = 0; i < cycle->node->settings.team_count; i++) free(cycle->team_queues[i].jobs);
    free(cycle->jobs);
    free(cycle->slots);
    amb_slot_rankings_free(&cycle->rankings);
    free(cycle);
}
