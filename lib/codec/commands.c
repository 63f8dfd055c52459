/* Encodes commands to agents, which are sent in the response to a heartbeat or in a separate request. */
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

static void put_fencing_token(struct amb_buf *out, uint64_t term) {
    amb_cbor_write_string(out, "baton");
    amb_cbor_write_uint(out, term);
}

static void put_commands(struct amb_buf *out, const struct amb_agent_command *commands, size_t count) {
    amb_cbor_write_string(out, "orders");
    amb_codec_encode_commands(out, commands, count);
}

void amb_codec_encode_heartbeat_response(struct amb_buf *out, uint64_t term,
                                         const struct amb_agent_command *commands, size_t count) {
    amb_cbor_write_map(out, 2);
    put_fencing_token(out, term);
    put_commands(out, commands, count);
}

void amb_codec_encode_heartbeat_redirect(struct amb_buf *out, const char *leader) {
    amb_cbor_write_map(out, leader ? 1 : 0);
    if (leader) amb_codec_put_text(out, "harbour", leader);
}

void amb_codec_encode_command_request(struct amb_buf *out, uint64_t term, uint64_t incarnation,
                                      const struct amb_agent_command *commands, size_t count) {
    amb_cbor_write_map(out, 3);
    put_fencing_token(out, term);
    amb_cbor_write_string(out, "watch");
    amb_cbor_write_uint(out, incarnation);
    put_commands(out, commands, count);
}
