#include "amberpin/cloud/machine_release.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/node/events.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

void amb_cloud_post_machine_gone(struct amb_node *node, struct amb_machine *machine, enum amb_absence proof) {
    amb_event_post(
        node, &(struct amb_event){.type = AMB_EVENT_MACHINE_REMOVED, .machine = machine, .proof = proof});
}

static void mark_for_release(struct amb_machine *machine, bool planned, const char *cause) {
    if (machine->release_pending) return;
    machine->release_pending = true;
    machine->scale_in_planned = planned;
    machine->release_reason = cause;
    amb_info("machine %s: to be returned: %s", machine->name, cause);
}

void amb_cloud_release(struct amb_node *node, struct amb_machine *machine, const char *cause) {
    (void)node;
    mark_for_release(machine, false, cause);
}

void amb_cloud_scale_in(struct amb_node *node, struct amb_machine *machine, const char *cause) {
    (void)node;
    mark_for_release(machine, true, cause);
}

static void handle_release_answer(void *arg, int status, const char *body, size_t body_size) {
    struct amb_node *node = amb_cloud_call_take(arg);
    (void)body, (void)body_size;
    if (!node) return;
    struct amb_cloud *cloud = &node->cloud;
    amb_cloud_note_status(node, status);
    cloud->release_in_flight = false;
    if (status != 200) {
        cloud->release_retry_at = amb_now() + amb_seconds_to_ms(node->settings.heartbeat_s / 4);
        return;
    }
    for (uint32_t i = 0; i < cloud->release_count; i++) {
        /* Known or not, since late copies of its reports are to mean nothing. */
        struct amb_machine *machine = amb_machine_get(node, cloud->release_names[i], true);
        if (machine) amb_cloud_post_machine_gone(node, machine, AMB_ABSENCE_RELEASED);
    }
    cloud->release_count = 0;
    amb_scale_in_log_note_released(node);
}

static bool collect_names(struct amb_node *node) {
    struct amb_cloud *cloud = &node->cloud;
    if (cloud->release_count) return true; /* the same again until it is answered */
    if (amb_duties_scaling_path(node) != AMB_SCALING_BY_LEADER) return false;
    size_t bytes_left = amb_scale_in_log_capacity_bytes(node);
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.machines, machine, next) {
        size_t bytes = strlen(machine->name) + AMB_SCALE_IN_LOG_NAME_BYTES;
        if (!machine->release_pending || cloud->release_count == AMB_RELEASE_MAX || bytes > bytes_left)
            continue;
        bytes_left -= bytes;
        amb_machine_set_state(machine, AMB_MACHINE_RELEASING, "being returned");
        strcpy(cloud->release_names[cloud->release_count++], machine->name);
    }
    return cloud->release_count > 0;
}

static void send_release(struct amb_node *node) {
    struct amb_cloud *cloud = &node->cloud;
    struct amb_buf body = {0};
    amb_cbor_write_map(&body, 1);
    amb_cbor_write_string(&body, "rigs");
    amb_cbor_write_list(&body, cloud->release_count);
    for (uint32_t i = 0; i < cloud->release_count; i++) amb_cbor_write_string(&body, cloud->release_names[i]);
    cloud->release_in_flight = true;
    amb_http_call(node->settings.cloud_addr, "POST", "/machines/release", "application/cbor", body.data,
                  body.len, amb_seconds_to_ms(node->settings.heartbeat_s * 2), handle_release_answer,
                  amb_cloud_call_new(node));
    amb_buf_free(&body);
}

void amb_cloud_release_tick(struct amb_node *node, amb_ms now) {
    struct amb_cloud *cloud = &node->cloud;
    if (!cloud->release_in_flight && now >= cloud->release_retry_at && amb_election_may_act(node) &&
        collect_names(node) && amb_scale_in_log_ensure_recorded(node, now) && amb_cloud_take_token(node, now))
        send_release(node);
}
