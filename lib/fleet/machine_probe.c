#include "amberpin/fleet/machine_probe.h"

#include "amberpin/fleet/agent_commands.h"
#include "amberpin/fleet/machines.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

struct seek_call {
    struct amb_node *node;
    uint64_t term;
    char machine[AMB_NAME_SIZE];
};

static void inspected(void *arg, int status, const char *body, size_t len) {
    struct seek_call call = *(struct seek_call *)arg;
    struct amb_node *node = call.node;
    free(arg);
    const struct amb_machine *machine = amb_machine_get(node, call.machine, false);
    cbor_item_t *item = status == 200 ? amb_cbor_parse(body, len) : NULL;
    uint64_t session;
    /* No orders, only the token. */
    if (machine && amb_election_is_leader(node) && node->election.term == call.term &&
        amb_cbor_uint(amb_cbor_get(item, "watch"), &session))
        amb_orders_command(node, machine, session, &(struct amb_orders){0});
    if (item) cbor_decref(&item);
}

void amb_machine_seek(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    if (!machine->address[0] || now - machine->probe_at < amb_secs(node->settings.report_s * 2)) return;
    machine->probe_at = now;
    struct seek_call *call = amb_alloc(sizeof *call);
    call->node = node;
    call->term = node->election.term;
    strcpy(call->machine, machine->name);
    amb_http_call(machine->address, "GET", "/inspect", NULL, NULL, 0, amb_secs(node->settings.report_s),
                  inspected, call);
}
