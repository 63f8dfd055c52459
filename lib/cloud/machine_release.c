#include "amberpin/cloud/machine_release.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/node/events.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

void amb_machine_post_gone(struct amb_node *node, struct amb_machine *machine, enum amb_absence proof) {
    amb_event_post(
        node, &(struct amb_event){.type = AMB_EVENT_MACHINE_REMOVED, .machine = machine, .proof = proof});
}

static void want_release(struct amb_machine *machine, bool planned, const char *cause) {
    if (machine->release_pending) return;
    machine->release_pending = true;
    machine->scale_in_planned = planned;
    machine->release_reason = cause;
    amb_info("machine %s: to be returned: %s", machine->name, cause);
}

void amb_rental_release(struct amb_node *node, struct amb_machine *machine, const char *cause) {
    (void)node;
    want_release(machine, false, cause);
}

void amb_rental_give_back(struct amb_node *node, struct amb_machine *machine, const char *cause) {
    (void)node;
    want_release(machine, true, cause);
}

static void released(void *arg, int status, const char *body, size_t len) {
    struct amb_node *node = amb_cloud_call_take(arg);
    (void)body, (void)len;
    if (!node) return;
    struct amb_rental *rental = &node->cloud;
    amb_cloud_note_status(node, status);
    rental->releasing = false;
    if (status != 200) {
        rental->release_retry_at = amb_now() + amb_secs(node->settings.report_s / 4);
        return;
    }
    for (uint32_t i = 0; i < rental->nrelease; i++) {
        /* Known or not, since late copies of its reports are to mean nothing. */
        struct amb_machine *machine = amb_machine_get(node, rental->release_names[i], true);
        if (machine) amb_machine_post_gone(node, machine, AMB_ABSENCE_RELEASED);
    }
    rental->nrelease = 0;
    amb_return_record_settled(node);
}

static bool pick_releases(struct amb_node *node) {
    struct amb_rental *rental = &node->cloud;
    if (rental->nrelease) return true; /* the same again until it is answered */
    if (amb_duties_path(node) != AMB_RENTAL_BY_LEADER) return false;
    size_t room = amb_return_record_room(node);
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.all, machine, next) {
        size_t bytes = strlen(machine->name) + AMB_RETURN_NAME_BYTES;
        if (!machine->release_pending || rental->nrelease == AMB_RELEASE_MAX || bytes > room) continue;
        room -= bytes;
        amb_machine_state(machine, AMB_MACHINE_RELEASING, "being returned");
        strcpy(rental->release_names[rental->nrelease++], machine->name);
    }
    return rental->nrelease > 0;
}

static void release(struct amb_node *node) {
    struct amb_rental *rental = &node->cloud;
    struct amb_buf body = {0};
    amb_w_map(&body, 1);
    amb_w_str(&body, "rigs");
    amb_w_list(&body, rental->nrelease);
    for (uint32_t i = 0; i < rental->nrelease; i++) amb_w_str(&body, rental->release_names[i]);
    rental->releasing = true;
    amb_http_call(node->settings.cloud, "POST", "/machines/release", "application/cbor", body.data, body.len,
                  amb_secs(node->settings.report_s * 2), released, amb_cloud_call_new(node));
    amb_buf_free(&body);
}

void amb_machine_returns_tick(struct amb_node *node, amb_ms now) {
    struct amb_rental *rental = &node->cloud;
    if (!rental->releasing && now >= rental->release_retry_at && amb_election_may_act(node) &&
        pick_releases(node) && amb_return_record_ready(node, now) && amb_cloud_take_token(node, now))
        release(node);
}
