#include "amberpin/cloud/machine_release.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/codec/cloud_messages.h"
#include "amberpin/codec/scaling_records.h"
#include "amberpin/node/events.h"
#include "amberpin/node/node.h"

#include <string.h>

/* The delay before a call that was not answered with 200 is repeated, in heartbeat periods. */
static const double RETRY_HEARTBEATS = 0.25;

void amb_cloud_post_machine_gone(struct amb_node *node, struct amb_machine *machine, enum amb_absence proof) {
    amb_event_post(
        node, &(struct amb_event){.type = AMB_EVENT_MACHINE_REMOVED, .machine = machine, .proof = proof});
}

/* ---- machines marked for release ---- */

static void mark_for_release(struct amb_machine *machine, bool planned, const char *cause) {
    if (machine->release_pending) return;
    machine->release_pending = true;
    machine->scale_in_planned = planned;
    machine->release_reason = cause;
    amb_info("machine %s: marked for release: %s", machine->name, cause);
}

void amb_cloud_release(struct amb_node *node, struct amb_machine *machine, const char *cause) {
    (void)node;
    mark_for_release(machine, false, cause);
}

void amb_cloud_scale_in(struct amb_node *node, struct amb_machine *machine, const char *cause) {
    (void)node;
    mark_for_release(machine, true, cause);
}

/* Collects the machines of the next call. While a call has not been answered its machines stay the same.
 * False: there is nothing to release. */
static bool collect_names(struct amb_node *node) {
    struct amb_machine_release *release = &node->cloud.release;
    if (release->count) return true;
    if (amb_duties_scaling_path(node) != AMB_SCALING_BY_LEADER) return false;
    size_t bytes_left = amb_scale_in_log_capacity_bytes(node);
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.machines, machine, next) {
        size_t bytes = strlen(machine->name) + AMB_SCALE_IN_NAME_BYTES;
        if (!machine->release_pending || release->count == AMB_RELEASE_MAX || bytes > bytes_left) continue;
        bytes_left -= bytes;
        amb_machine_set_state(machine, AMB_MACHINE_RELEASING, "added to a release call");
        strcpy(release->names[release->count++], machine->name);
    }
    return release->count > 0;
}

/* ---- the release call ---- */

static void handle_release_answer(void *arg, int status, const char *body, size_t body_size) {
    struct amb_node *node = amb_cloud_call_take(arg);
    (void)body, (void)body_size;
    if (!node) return;
    struct amb_machine_release *release = &node->cloud.release;
    amb_cloud_handle_status(node, status);
    release->in_flight = false;
    if (status != 200) {
        release->retry_at = amb_now() + amb_seconds_to_ms(node->settings.heartbeat_s * RETRY_HEARTBEATS);
        return;
    }
    for (uint32_t i = 0; i < release->count; i++) {
        /* An unknown machine is added to the table, so that late copies of its heartbeats are ignored once it
         * has been removed as gone. */
        struct amb_machine *machine = amb_machine_get(node, release->names[i], true);
        if (machine) amb_cloud_post_machine_gone(node, machine, AMB_ABSENCE_RELEASED);
    }
    release->count = 0;
    amb_scale_in_log_note_released(node);
}

static void send_release(struct amb_node *node) {
    struct amb_machine_release *release = &node->cloud.release;
    struct amb_buf body = {0};
    const struct amb_cloud_release message = {.names = release->names, .count = release->count};
    amb_codec_encode_release(&body, &message);
    release->in_flight = true;
    amb_cloud_post(node, AMB_CLOUD_RELEASE_PATH, &body, handle_release_answer, amb_cloud_call_new(node));
}

void amb_cloud_release_tick(struct amb_node *node, amb_ms now) {
    const struct amb_machine_release *release = &node->cloud.release;
    if (release->in_flight || now < release->retry_at || !amb_election_may_act(node)) return;
    if (collect_names(node) && amb_scale_in_log_ensure_recorded(node, now) && amb_cloud_take_token(node, now))
        send_release(node);
}
