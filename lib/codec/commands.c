/* Commands to agents, in the responses to their heartbeats. */
#include "amberpin/codec/messages.h"
#include "fields.h"

#include <stdio.h>

static const struct amb_codec_enum_name command_kinds[] = {
    {"run", AMB_COMMAND_RUN}, {"halt", AMB_COMMAND_STOP}, {"clear", AMB_COMMAND_CLEAR}, {0, 0}};

static void put_command(struct amb_buf *out, const struct amb_agent_command *command) {
    char task[AMB_NAME_SIZE + 16];
    int len = snprintf(task, sizeof task, "%s/%u", command->job_ref, command->index);
    amb_cbor_write_map(out, command->kind == AMB_COMMAND_STOP ? 4 : 3);
    amb_codec_put_text(out, "verb", amb_codec_enum_text(command_kinds, command->kind));
    amb_cbor_write_string(out, "leg");
    amb_cbor_write_text(out, task, (size_t)len);
    amb_codec_put_uint(out, "try", command->attempt);
    if (command->kind == AMB_COMMAND_STOP) amb_codec_put_amount(out, "easing_s", command->grace_s);
}

void amb_codec_encode_commands(struct amb_buf *out, const struct amb_agent_command *commands, size_t count) {
    amb_cbor_write_list(out, count);
    for (size_t i = 0; i < count; i++) put_command(out, &commands[i]);
}
