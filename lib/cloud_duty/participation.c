#include "amberpin/cloud_duty/participation.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud_duty/cloud_access.h"
#include "amberpin/cloud_duty/duty_options.h"
#include "amberpin/cloud_duty/scaling_intents.h"
#include "amberpin/cloud_duty/scaling_mode.h"
#include "amberpin/duty/store_adapter.h"
#include "amberpin/node/node.h"

#include <string.h>

/* Ticks of the service per backoff. */
enum { TICKS_PER_BACKOFF = 4 };

/* ---- callbacks of the duty service ---- */

static amb_ms callback_now(void *context) {
    (void)context;
    return amb_now();
}

static bool callback_call_cloud(void *context, const struct amb_duty_intent_record *intent,
                                const struct amb_duty_intent_payload *payload, uint64_t fencing_token,
                                amb_duty_cloud_done done, void *arg) {
    return amb_duties_call_cloud(context, intent, payload, fencing_token, done, arg);
}

/* Only leaders read the machine list of the cloud, so this controller knows only the absences that were
 * proven while it was the leader. */
static bool callback_is_absence_proven(void *context, const struct amb_duty_intent_payload *payload) {
    for (uint32_t i = 0; i < payload->machine_count; i++)
        if (!amb_machine_was_removed(context, payload->machines[i])) return false;
    return payload->machine_count > 0;
}

static void callback_intent_changed(void *context, const struct amb_duty_intent_record *intent,
                                    const struct amb_duty_intent_payload *payload) {
    amb_duties_apply_intent(context, intent, payload);
}

static void callback_loaded(void *context) {
    struct amb_node *node = context;
    amb_info("duties: all records read, %u open intents",
             amb_duty_service_count_open_intents(&node->duties.service));
}

static void callback_log(void *context, const char *line) {
    (void)context;
    amb_info("%s", line);
}

/* ---- membership ---- */

/* A controller takes part even if its own options disable duties, as long as the mode says that duties are in
 * use, so that open intents find a holder, and until the record of the last intent is removed. */
static bool is_participant(const struct amb_node *node) {
    const struct amb_duties *duties = &node->duties;
    return duties->keys_listed && (amb_duties_is_enabled(node) || duties->mode == AMB_DUTY_MODE_DUTIES ||
                                   duties->records_exist || duties->service.entries);
}

/* The part of the holders' write budget that the duties held by this member need. Scale out and scale in both
 * take two writes per intent, and scale out is more frequent. */
static double held_write_share(const struct amb_duty_service *service) {
    static const double shares[AMB_DUTY_COUNT] = {
        [AMB_DUTY_RENT] = 0.5, [AMB_DUTY_RETURN] = 0.2, [AMB_DUTY_RECLAIM] = 0.2, [AMB_DUTY_CLEANUP] = 0.1};
    double held = 0;
    for (int i = 0; i < AMB_DUTY_COUNT; i++)
        if (amb_duty_service_is_holder(service, (enum amb_duty_name)i)) held += shares[i];
    return held;
}

static void update_write_share(struct amb_node *node) {
    const struct amb_duties *duties = &node->duties;
    bool in_use = duties->service.active && duties->mode == AMB_DUTY_MODE_DUTIES;
    amb_store_set_duty_share(&node->store, in_use, in_use ? held_write_share(&duties->service) : 0);
}

static void tick(void *arg) {
    struct amb_node *node = arg;
    struct amb_duties *duties = &node->duties;
    amb_duty_service_tick(&duties->service);
    if (!is_participant(node)) amb_duty_service_stop(&duties->service);
    update_write_share(node);
    if (!duties->service.active) return;
    amb_timer_set_after(&duties->timer, duties->service.core.settings.backoff / TICKS_PER_BACKOFF, tick,
                        node);
}

static void participate(struct amb_node *node) {
    struct amb_duties *duties = &node->duties;
    if (duties->service.active || !is_participant(node)) return;
    const struct amb_duty_service_callbacks callbacks = {.kvstore =
                                                             amb_duty_kvstore_from_client(&node->store),
                                                         .context = node,
                                                         .now = callback_now,
                                                         .call_cloud = callback_call_cloud,
                                                         .is_absence_proven = callback_is_absence_proven,
                                                         .intent_changed = callback_intent_changed,
                                                         .loaded = callback_loaded,
                                                         .log = callback_log};
    struct amb_duty_settings settings = amb_duties_make_settings(&node->settings, &node->options);
    duties->records_exist = false;
    amb_info("duties: this node joins as a member that can hold duties, member lease %lld ms",
             (long long)settings.ttl);
    amb_duty_service_start(&duties->service, &callbacks, &settings, node->settings.member, amb_nonce());
    tick(node);
}

bool amb_duties_is_ready(const struct amb_node *node) {
    return !is_participant(node) || node->duties.service.loaded;
}

/* ---- records ---- */

void amb_duties_apply_change(struct amb_node *node, const char *key, const struct amb_cbor_item *value,
                             uint64_t revision) {
    struct amb_duties *duties = &node->duties;
    if (!strcmp(key, AMB_DUTY_MODE_KEY))
        amb_duties_apply_mode(node, value, revision);
    else if (duties->service.active)
        amb_duty_service_apply_change(&duties->service, key, value, revision);
    else if (value && !strncmp(key, AMB_DUTY_INTENT_KEYS, strlen(AMB_DUTY_INTENT_KEYS)))
        duties->records_exist = true;
    participate(node);
}

void amb_duties_note_listed(struct amb_node *node) {
    node->duties.keys_listed = true;
    amb_duty_service_read_all(&node->duties.service);
    participate(node);
}
