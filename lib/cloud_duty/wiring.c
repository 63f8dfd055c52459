/* The wiring of single-holder duties to a node, and the mode: who rents and returns machines. */
#include "amberpin/base/log.h"
#include "amberpin/cloud/scale_out.h"
#include "amberpin/duty/node_duties.h"
#include "amberpin/duty/store_adapter.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Ticks of the service within a backoff. */
enum { TICKS_PER_BACKOFF = 4 };

/* ---- settings ---- */

struct amb_duty_settings amb_duties_make_settings(const struct amb_settings *set,
                                                  const struct amb_options *options) {
    /* An answer of the state service may take a share of a report period. */
    static const double CALL_SHARE = 0.1;
    amb_ms ttl = amb_seconds_to_ms(options->duty_lease_share * amb_settings_lease_base_s(set));
    amb_ms list_span = amb_absence_list_span(set->list_lag_s, set->heartbeat_s);
    struct amb_duty_settings duty_settings = amb_duty_settings_default(ttl, list_span);
    amb_ms call_timeout = amb_seconds_to_ms(set->heartbeat_s * CALL_SHARE);
    if (duty_settings.call_timeout < call_timeout) duty_settings.call_timeout = call_timeout;
    if (duty_settings.backoff < duty_settings.call_timeout)
        duty_settings.backoff = duty_settings.call_timeout;
    if (duty_settings.keep_settled <= 0) duty_settings.keep_settled = duty_settings.keep_uncertain = ttl;
    char wrong_name[AMB_NAME_SIZE];
    amb_duty_settings_parse_names(&duty_settings, options->duty_names, wrong_name, sizeof wrong_name);
    return duty_settings;
}

bool amb_duties_check_options(const struct amb_settings *set, const struct amb_options *options,
                              const char *file, char *error_text, size_t error_text_size) {
    if (options->duties == 0) return true;
    struct amb_duty_settings duty_settings = amb_duties_make_settings(set, options);
    enum amb_duty_settings_error error = amb_duty_settings_check(&duty_settings);
    if (error == AMB_DUTY_SETTINGS_GOOD) return true;
    snprintf(error_text, error_text_size, "%s: duty-lease: makes a lease of %lld ms; %s must be: %s",
             file ? file : "options", (long long)duty_settings.ttl, amb_duty_settings_field(error),
             amb_duty_settings_allowed(error));
    return false;
}

/* ---- what the service needs of the node ---- */

static amb_ms port_now(void *context) {
    (void)context;
    return amb_now();
}

static bool port_call_cloud(void *context, const struct amb_duty_intent_record *intent,
                            const struct amb_duty_work_order *work, uint64_t fencing_token,
                            amb_duty_cloud_done done, void *arg) {
    return amb_duties_call_cloud(context, intent, work, fencing_token, done, arg);
}

/* Only leaders read the cloud's list: this node knows what was proved while it led, and no more. */
static bool port_proved_gone(void *context, const struct amb_duty_work_order *work) {
    for (uint32_t i = 0; i < work->machine_count; i++)
        if (!amb_machine_was_removed(context, work->machines[i])) return false;
    return work->machine_count > 0;
}

static void port_order_changed(void *context, const struct amb_duty_intent_record *intent,
                               const struct amb_duty_work_order *work) {
    amb_duties_apply_intent(context, intent, work);
}

static void port_loaded(void *context) {
    struct amb_node *node = context;
    amb_info("duties: records read, %u orders open",
             amb_duty_service_count_open_intents(&node->duties.service));
}

static void port_log(void *context, const char *line) {
    (void)context;
    amb_info("%s", line);
}

/* ---- taking part ---- */

/* A node takes part also when it is switched off itself, as long as the cluster works by duties, so that open
 * orders find a holder, and until the last record of an order is removed. */
static bool is_participant(const struct amb_node *node) {
    const struct amb_duties *duties = &node->duties;
    return duties->keys_listed && (amb_duties_is_enabled(node) || duties->mode == AMB_DUTY_MODE_DUTIES ||
                                   duties->records_exist || duties->service.entries);
}

/* The part of all holders' writes that the duties held here have: a rental takes two writes, as a return
 * does, and there are more rentals than returns. */
static double held_write_share(const struct amb_duty_service *service) {
    static const double parts[AMB_DUTY_NAMES] = {
        [AMB_DUTY_RENT] = 0.5, [AMB_DUTY_RETURN] = 0.2, [AMB_DUTY_RECLAIM] = 0.2, [AMB_DUTY_CLEANUP] = 0.1};
    double held = 0;
    for (int i = 0; i < AMB_DUTY_NAMES; i++)
        if (amb_duty_service_is_holder(service, (enum amb_duty_name)i)) held += parts[i];
    return held;
}

static void share_writes(struct amb_node *node) {
    const struct amb_duties *duties = &node->duties;
    bool in_use = duties->service.active && duties->mode == AMB_DUTY_MODE_DUTIES;
    amb_store_set_duty_share(&node->store, in_use, in_use ? held_write_share(&duties->service) : 0);
}

static void tick(void *arg) {
    struct amb_node *node = arg;
    struct amb_duties *duties = &node->duties;
    amb_duty_service_tick(&duties->service);
    if (!is_participant(node)) amb_duty_service_stop(&duties->service);
    share_writes(node);
    if (!duties->service.active) return;
    amb_timer_in(&duties->timer, duties->service.core.settings.backoff / TICKS_PER_BACKOFF, tick, node);
}

static void participate(struct amb_node *node) {
    struct amb_duties *duties = &node->duties;
    if (duties->service.active || !is_participant(node)) return;
    const struct amb_duty_ports ports = {.kvstore = amb_duty_kvstore_from_client(&node->store),
                                         .context = node,
                                         .now = port_now,
                                         .call_cloud = port_call_cloud,
                                         .is_proved_gone = port_proved_gone,
                                         .intent_changed = port_order_changed,
                                         .loaded = port_loaded,
                                         .log = port_log};
    struct amb_duty_settings settings = amb_duties_make_settings(&node->settings, &node->options);
    duties->records_exist = false;
    amb_info("duties: this node takes part, lease %lld ms", (long long)settings.ttl);
    amb_duty_service_start(&duties->service, &ports, &settings, node->settings.member, amb_nonce());
    tick(node);
}

bool amb_duties_is_ready(const struct amb_node *node) {
    return !is_participant(node) || node->duties.service.loaded;
}

/* ---- records ---- */

static void apply_mode(struct amb_node *node, const cbor_item_t *value, uint64_t revision) {
    struct amb_duties *duties = &node->duties;
    enum amb_duty_mode mode = AMB_DUTY_MODE_LEADER;
    if (revision <= duties->mode_revision) return;
    duties->mode_revision = value ? revision : 0;
    duties->mode_unknown = value && amb_duty_decode_mode(value, &mode) != AMB_DUTY_DECODED;
    if (duties->mode_unknown) amb_error("duties: %s is of a form that is not known", AMB_DUTY_MODE_KEY);
    duties->mode_write_pending = false;
    if (mode != duties->mode) amb_info("duties: mode %s is in use", amb_duty_mode_text(mode));
    duties->mode = mode;
}

void amb_duties_apply_change(struct amb_node *node, const char *key, const cbor_item_t *value,
                             uint64_t revision) {
    struct amb_duties *duties = &node->duties;
    if (!strcmp(key, AMB_DUTY_MODE_KEY))
        apply_mode(node, value, revision);
    else if (duties->service.active)
        amb_duty_service_apply_change(&duties->service, key, value, revision);
    else if (value && !strncmp(key, AMB_DUTY_ORDER_KEYS, strlen(AMB_DUTY_ORDER_KEYS)))
        duties->records_exist = true;
    participate(node);
}

void amb_duties_note_listed(struct amb_node *node) {
    node->duties.keys_listed = true;
    amb_duty_service_read_all(&node->duties.service);
    participate(node);
}

/* ---- the mode ---- */

/* Has the leader a call under way, or to repeat, that the other path must not meet? */
static bool leader_has_open_calls(const struct amb_node *node) {
    const struct amb_cloud *cloud = &node->cloud;
    if (cloud->release.count) return true;
    for (const struct amb_scale_out_request *request = cloud->scale_out.requests; request; request = request->next)
        if (request->state == AMB_SCALE_OUT_RECORDING || request->state == AMB_SCALE_OUT_REQUESTING)
            return true;
    return false;
}

static bool path_is_clear(const struct amb_node *node) {
    if (node->duties.mode == AMB_DUTY_MODE_LEADER) return !leader_has_open_calls(node);
    return !amb_duties_has_pending_writes(node) &&
           !amb_duty_service_count_open_intents(&node->duties.service);
}

static void handle_mode_written(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = arg;
    struct amb_duties *duties = &node->duties;
    (void)status, (void)body;
    duties->mode_write_in_flight = false;
    /* Whether it was carried out, and what stands there now, news tells; until then nothing is begun. */
    duties->mode_retry_at = amb_now() + node->store.call_timeout;
}

/* The same guards each time: of several copies one is carried out at most. */
static void write_mode(struct amb_node *node, enum amb_duty_mode mode) {
    struct amb_duties *duties = &node->duties;
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_duty_encode_mode(&value, mode);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, AMB_DUTY_MODE_KEY, duties->mode_revision);
    amb_txn_put(&transaction, AMB_DUTY_MODE_KEY, &value, 0);
    amb_buf_free(&value);
    duties->mode_write_pending = duties->mode_write_in_flight = true;
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_FINAL_STATE, handle_mode_written, node);
}

static void tick_mode(struct amb_node *node, amb_ms now) {
    struct amb_duties *duties = &node->duties;
    bool in_use = duties->mode == AMB_DUTY_MODE_DUTIES;
    if (duties->mode_unknown || duties->mode_write_in_flight) return;
    if (duties->mode_write_pending) {
        if (now >= duties->mode_retry_at)
            write_mode(node, in_use ? AMB_DUTY_MODE_LEADER : AMB_DUTY_MODE_DUTIES);
        return;
    }
    if (amb_duties_is_agreed(node) == in_use || !path_is_clear(node)) return;
    write_mode(node, in_use ? AMB_DUTY_MODE_LEADER : AMB_DUTY_MODE_DUTIES);
}

void amb_duties_tick(struct amb_node *node, amb_ms now) {
    if (!amb_duties_is_enabled(node) && !node->duties.mode_revision) return;
    if (!amb_election_may_act(node) || !node->controller.restored_at) return;
    tick_mode(node, now);
    amb_duties_write_scale_out(node, now);
    amb_duties_write_scale_in(node, now);
}

void amb_duties_reset(struct amb_node *node) {
    struct amb_duties *duties = &node->duties;
    duties->mode_write_pending = false; /* our term is over: what was not carried out never is */
    amb_duty_work_order_free(&duties->scale_in.work);
    memset(&duties->scale_in, 0, sizeof duties->scale_in);
}
