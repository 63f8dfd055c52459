/* What the value of a block says: which of its tasks are done, and where the others are. */
#include "amberpin/node/node.h"

#include <string.h>

void amb_placement_log_encode_block(struct amb_node *node, const struct amb_placement_block *block,
                                    struct amb_buf *out) {
    struct amb_placement_block_text text = {0};
    const struct amb_task *tasks = block->job->tasks;
    for (uint32_t i = block->task_range.first; i < block->task_range.end; i++) {
        const struct amb_task *task = &tasks[i];
        if (task->done && (i == block->task_range.first || !tasks[i - 1].done)) {
            uint32_t last = i;
            while (last + 1 < block->task_range.end && tasks[last + 1].done) last++;
            amb_placement_block_add_completed(&text, (struct amb_task_range){i, last + 1});
        }
        if (!task->machine || task->done) continue;
        struct amb_placement placement = {.task = i,
                                          .attempt = task->attempt,
                                          .type = task->machine->type_index,
                                          .zone = task->machine->zone_index,
                                          .spot = task->machine->spot};
        strcpy(placement.machine, task->machine->name);
        amb_placement_block_add_placement(&text, &placement);
    }
    const struct amb_placement_block_header block_head = {.written_wall_ms = amb_wall_ms(),
                                                          .write_id = block->write_id,
                                                          .next_attempt = block->job->next_attempt,
                                                          .catalog = &node->catalog};
    amb_placement_block_encode(out, &block_head, &text);
}
