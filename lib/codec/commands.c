/* Orders to workers, in the answers to their reports. */
#include "amberpin/codec/fields.h"
#include "amberpin/codec/messages.h"

#include <stdio.h>

static const struct amb_word operations[] = {
    {"run", AMB_COMMAND_RUN}, {"halt", AMB_COMMAND_STOP}, {"clear", AMB_COMMAND_CLEAR}, {0, 0}};

static void put_order(struct amb_buf *out, const struct amb_agent_command *command) {
    char task[AMB_NAME_SIZE + 16];
    int len = snprintf(task, sizeof task, "%s/%u", command->job_ref, command->index);
    amb_w_map(out, command->kind == AMB_COMMAND_STOP ? 4 : 3);
    amb_put_text(out, "verb", amb_word_text(operations, command->kind));
    amb_w_str(out, "leg");
    amb_w_strn(out, task, (size_t)len);
    amb_w_str(out, "try");
    amb_w_uint(out, command->attempt);
    if (command->kind == AMB_COMMAND_STOP) amb_put_amount(out, "easing_s", command->grace_s);
}

void amb_codec_put_orders(struct amb_buf *out, const struct amb_agent_command *orders, size_t count) {
    amb_w_list(out, count);
    for (size_t i = 0; i < count; i++) put_order(out, &orders[i]);
}
