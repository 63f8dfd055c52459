/* Orders to workers, in the answers to their reports. */
#include "amberpin/codec/fields.h"
#include "amberpin/codec/messages.h"

#include <stdio.h>

static const struct amb_word operations[] = {
    {"run", AMB_OP_RUN}, {"halt", AMB_OP_HALT}, {"clear", AMB_OP_CLEAR}, {0, 0}};

static void put_order(struct amb_buf *out, const struct amb_order *command) {
    char task[AMB_NAME + 16];
    int len = snprintf(task, sizeof task, "%s/%u", command->ref, command->index);
    amb_w_map(out, command->op == AMB_OP_HALT ? 4 : 3);
    amb_put_text(out, "verb", amb_word_text(operations, command->op));
    amb_w_str(out, "leg");
    amb_w_strn(out, task, (size_t)len);
    amb_w_str(out, "try");
    amb_w_uint(out, command->attempt);
    if (command->op == AMB_OP_HALT) amb_put_amount(out, "easing_s", command->grace_s);
}

void amb_codec_put_orders(struct amb_buf *out, const struct amb_order *orders, size_t count) {
    amb_w_list(out, count);
    for (size_t i = 0; i < count; i++) put_order(out, &orders[i]);
}
