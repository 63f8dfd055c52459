#include "amberpin/fleet/machine_probe.h"

#include "amberpin/fleet/agent_commands.h"
#include "amberpin/fleet/machines.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

struct probe {
    struct amb_node *node;
    uint64_t term;
    char machine_name[AMB_NAME_SIZE];
};

static void probe_answered(void *context, int status, const char *body, size_t length) {
    struct probe probe = *(struct probe *)context;
    struct amb_node *node = probe.node;
    free(context);
    const struct amb_machine *machine = amb_machine_get(node, probe.machine_name, false);
    cbor_item_t *reply = status == 200 ? amb_cbor_parse(body, length) : NULL;
    uint64_t incarnation;
    /* No orders, only the token. */
    if (machine && amb_election_is_leader(node) && node->election.term == probe.term &&
        amb_cbor_get_uint(amb_cbor_map_get(reply, "watch"), &incarnation))
        amb_machine_send_commands(node, machine, incarnation, &(struct amb_command_list){0});
    if (reply) cbor_decref(&reply);
}

void amb_machine_probe(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    if (!machine->address[0] || now - machine->probe_at < amb_seconds_to_ms(node->settings.heartbeat_s * 2))
        return;
    machine->probe_at = now;
    struct probe *probe = amb_alloc(sizeof *probe);
    probe->node = node;
    probe->term = node->election.term;
    strcpy(probe->machine_name, machine->name);
    amb_http_call(machine->address, "GET", "/inspect", NULL, NULL, 0,
                  amb_seconds_to_ms(node->settings.heartbeat_s), probe_answered, probe);
}
