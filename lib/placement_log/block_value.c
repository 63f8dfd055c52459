/* Encodes the value of a block: which of its tasks are done, and on which machines the others are placed. */
#include "amberpin/node/node.h"
#include "amberpin/placement_log/placement_log.h"

#include <string.h>

static void encode_completed(const struct amb_placement_block *block,
                             struct amb_placement_block_builder *text) {
    const struct amb_task *tasks = block->job->tasks;
    for (uint32_t i = block->task_range.first; i < block->task_range.end; i++) {
        if (!tasks[i].done) continue;
        uint32_t first = i;
        while (i + 1 < block->task_range.end && tasks[i + 1].done) i++;
        amb_placement_block_add_completed(text, (struct amb_task_range){first, i + 1});
    }
}

static void encode_placements(const struct amb_placement_block *block,
                              struct amb_placement_block_builder *text) {
    for (uint32_t i = block->task_range.first; i < block->task_range.end; i++) {
        const struct amb_task *task = &block->job->tasks[i];
        if (!task->machine || task->done) continue;
        struct amb_placement placement = {.task = i,
                                          .attempt = task->attempt,
                                          .type = task->machine->type_index,
                                          .zone = task->machine->zone_index,
                                          .spot = task->machine->spot};
        strcpy(placement.machine, task->machine->name);
        amb_placement_block_add_placement(text, &placement);
    }
}

void amb_placement_log_encode_block(struct amb_node *node, const struct amb_placement_block *block,
                                    struct amb_buf *out) {
    struct amb_placement_block_builder text = {0};
    const struct amb_placement_block_header header = {.written_wall_ms = amb_wall_ms(),
                                                      .write_id = block->write_id,
                                                      .next_attempt = block->job->next_attempt,
                                                      .catalog = &node->catalog};
    encode_completed(block, &text);
    encode_placements(block, &text);
    amb_placement_block_encode(out, &header, &text);
}
