/* Results of scale-out requests, whichever process called the cloud: new machines or a capacity backoff. */
#include "amberpin/base/log.h"
#include "amberpin/cloud/scale_out.h"
#include "amberpin/node/node.h"

/* The capacity backoff of a kind of machine, in agent leases: PARTIAL_BACKOFF_LEASES after a request that was
 * granted in part, else one for each consecutive failure, up to MAX_BACKOFF_LEASES. */
static const double PARTIAL_BACKOFF_LEASES = 1.5;
enum { MAX_BACKOFF_LEASES = 4 };

void amb_scale_out_add_machine(struct amb_node *node, const struct amb_scale_out_kind *kind,
                               const char *name) {
    bool is_new = !amb_machine_get(node, name, false);
    struct amb_machine *machine = amb_machine_get(node, name, true);
    if (!machine) return;
    machine->type_index = kind->type;
    amb_machine_set_zone(machine, kind->zone);
    machine->spot = kind->spot;
    if (is_new) amb_machine_set_state(machine, AMB_MACHINE_BOOTING, "rented");
}

static struct amb_capacity_backoff *backoff_of(struct amb_node *node,
                                               const struct amb_scale_out_request *request) {
    return &node->cloud.scale_out.capacity_backoff[request->type][request->zone][request->spot];
}

void amb_scale_out_note_filled(struct amb_node *node, const struct amb_scale_out_request *request,
                               size_t machine_count) {
    struct amb_capacity_backoff *backoff = backoff_of(node, request);
    amb_info("scale-out request %s: granted %zu of %u", request->id, machine_count, request->count);
    if (machine_count < request->count)
        backoff->until = amb_now() + amb_seconds_to_ms(node->settings.agent_lease_s * PARTIAL_BACKOFF_LEASES);
    else
        backoff->failures = 0;
}

void amb_scale_out_note_no_capacity(struct amb_node *node, const struct amb_scale_out_request *request) {
    struct amb_capacity_backoff *backoff = backoff_of(node, request);
    backoff->failures++;
    uint32_t leases = backoff->failures > MAX_BACKOFF_LEASES ? MAX_BACKOFF_LEASES : backoff->failures;
    backoff->until = amb_now() + amb_seconds_to_ms(node->settings.agent_lease_s * leases);
    amb_info("scale-out request %s: no capacity", request->id);
}

bool amb_scale_out_is_backing_off(const struct amb_node *node, int type, int zone, bool spot, amb_ms now) {
    return now < node->cloud.scale_out.capacity_backoff[type][zone][spot].until;
}
