#include "amberpin/fleet/machine_probe.h"

#include "amberpin/codec/messages.h"
#include "amberpin/fleet/agent_commands.h"
#include "amberpin/fleet/machines.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

enum { PROBE_INTERVAL_HEARTBEATS = 2 };

struct probe {
    struct amb_node *node; /* borrowed */
    uint64_t term;         /* under which the probe was sent */
    char machine_name[AMB_NAME_SIZE];
};

static bool is_current(const struct probe *probe) {
    return amb_election_is_leader(probe->node) && probe->node->election.term == probe->term;
}

static bool read_incarnation(int status, const char *body, size_t length, uint64_t *incarnation) {
    const struct amb_cbor_item *reply = status == AMB_HTTP_OK ? amb_cbor_parse(body, length) : NULL;
    if (!reply) return false;
    bool found = amb_codec_decode_incarnation(reply, incarnation);
    return found;
}

static void probe_answered(void *context, int status, const char *body, size_t length) {
    struct probe probe = *(struct probe *)context;
    struct amb_node *node = probe.node;
    free(context);
    const struct amb_machine *machine = amb_machine_get(node, probe.machine_name, false);
    uint64_t incarnation;
    if (!machine || !is_current(&probe) || !read_incarnation(status, body, length, &incarnation)) return;
    /* An empty list: the request carries only the fencing token. */
    amb_machine_send_commands(node, machine, incarnation, &(struct amb_command_list){0});
}

void amb_machine_probe(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    amb_ms interval = amb_seconds_to_ms(node->settings.heartbeat_s * PROBE_INTERVAL_HEARTBEATS);
    if (!machine->address[0] || now - machine->probe_at < interval) return;
    machine->probe_at = now;
    struct probe *probe = amb_alloc(sizeof *probe);
    probe->node = node;
    probe->term = node->election.term;
    strcpy(probe->machine_name, machine->name);
    amb_http_call(machine->address, "GET", "/inspect", NULL, NULL, 0,
                  amb_seconds_to_ms(node->settings.heartbeat_s), probe_answered, probe);
}
