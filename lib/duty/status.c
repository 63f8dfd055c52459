#include "amberpin/duty/duty_status.h"

#include "amberpin/base/log.h"
#include "amberpin/codec/json_parse.h"
#include "amberpin/duty/scaling_path.h"
#include "amberpin/http/http.h"
#include "amberpin/node/node.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- status ---- */

static const struct amb_duty_intent_entry *find_oldest_open(const struct amb_duty_service *service,
                                                            enum amb_duty_name duty, int *open) {
    const struct amb_duty_intent_entry *oldest = NULL, *entry = service->entries;
    *open = 0;
    for (; entry; entry = entry->hh.next) {
        if (!entry->record.present || entry->record.duty != duty ||
            entry->record.state == AMB_DUTY_INTENT_SETTLED)
            continue;
        (*open)++;
        if (!oldest || entry->payload.created_wall_ms < oldest->payload.created_wall_ms) oldest = entry;
    }
    return oldest;
}

/* Only the holder itself knows how long its lease remains valid. */
static json_t *describe_remaining(const struct amb_duty_service *service, enum amb_duty_name duty,
                                  amb_ms now) {
    const struct amb_duty_core *core = &service->core;
    if (!amb_duty_service_is_holder(service, duty)) return json_null();
    return json_integer(amb_duty_lease_remaining(&core->incarnation.lease, &core->settings, now));
}

static json_t *describe_duty(const struct amb_duty_service *service, enum amb_duty_name name, amb_ms now) {
    const struct amb_duty *duty = &service->core.duties[name];
    const struct amb_duty_record *record = &duty->record;
    int open;
    const struct amb_duty_intent_entry *oldest = find_oldest_open(service, name, &open);
    bool held = record->present && record->state == AMB_DUTY_RECORD_HELD;
    json_t *status = json_pack("{s:s, s:s?, s:I, s:s, s:I, s:i}", "duty", amb_duty_name_text(name), "holder",
                               held ? record->holder : NULL, "token", (json_int_t)record->fencing_token,
                               "state", amb_duty_state_text(duty->state), "state_for_ms",
                               (json_int_t)(now - duty->state_since), "open_orders", open);
    json_object_set_new(status, "left_ms", describe_remaining(service, name, now));
    json_object_set_new(status, "oldest_open_ms",
                        oldest ? json_integer(amb_wall_ms() - oldest->payload.created_wall_ms) : json_null());
    json_object_set_new(status, "stale_refused", json_integer((json_int_t)duty->fenced_calls));
    json_object_set_new(status, "cause", json_string(record->cause));
    json_object_set_new(status, "unknown_form", json_boolean(service->unknown_version[name]));
    return status;
}

static json_t *describe_handovers(const struct amb_duty_service *service, amb_ms now) {
    json_t *list = json_array();
    uint32_t count =
        service->holder_changes < AMB_DUTY_HOLDER_HISTORY ? service->holder_changes : AMB_DUTY_HOLDER_HISTORY;
    for (uint32_t i = 0; i < count; i++) {
        const struct amb_duty_holder_change *change =
            &service->holder_history[(service->holder_changes - 1 - i) % AMB_DUTY_HOLDER_HISTORY];
        json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:I, s:s, s:I}", "duty",
                                              amb_duty_name_text(change->duty), "from", change->from, "to",
                                              change->to, "token", (json_int_t)change->fencing_token, "cause",
                                              change->cause, "age_ms", (json_int_t)(now - change->at)));
    }
    return list;
}

static const char *path_text(enum amb_scaling_path path) {
    static const char *const names[] = {"leader", "holders", "paused"};
    return names[path];
}

static json_t *describe(const struct amb_node *node) {
    const struct amb_duty_service *service = &node->duties.service;
    amb_ms now = amb_now();
    json_t *status = json_pack(
        "{s:s, s:I, s:b, s:I, s:b, s:s, s:b, s:b}", "node", node->settings.member, "term",
        (json_int_t)(amb_election_has_leader_role(node) ? node->election.term : node->election.highest_term),
        "leading", (int)amb_election_is_leader(node), "age_ms", (json_int_t)(now - node->watch.last_read_at),
        "switched_on", (int)amb_duties_is_enabled(node), "mode", amb_duty_mode_text(node->duties.mode),
        "takes_part", (int)service->active, "records_read", (int)service->loaded);
    if (amb_election_has_leader_role(node))
        json_object_set_new(status, "rentals_by", json_string(path_text(amb_duties_scaling_path(node))));
    if (service->active)
        json_object_set_new(status, "vacancy_bound_ms",
                            json_integer(amb_duty_settings_vacancy_bound(&service->core.settings,
                                                                         node->settings.peer_count + 1)));
    json_t *list = json_array();
    for (int i = 0; i < AMB_DUTY_COUNT && service->active; i++)
        json_array_append_new(list, describe_duty(service, (enum amb_duty_name)i, now));
    json_object_set_new(status, "duties", list);
    json_object_set_new(status, "handovers", describe_handovers(service, now));
    return status;
}

static void answer_status(const struct amb_node *node, struct amb_http_req *request) {
    json_t *status = describe(node);
    char *text = json_dumps(status, JSON_INDENT(1));
    json_decref(status);
    amb_http_reply(request, 200, "application/json", text, strlen(text), 0);
    free(text);
}

/* ---- handover requests ---- */

enum { HANDOVER_MAX_BYTES = 16 * 1024 }; /* of the values of a request, which has two texts */

static void answer_error(struct amb_http_req *request, int status, const char *message) {
    json_t *error_body = json_pack("{s:s}", "error", message);
    char *text = json_dumps(error_body, JSON_COMPACT);
    json_decref(error_body);
    amb_http_reply(request, status, "application/json", text, strlen(text), status == 503 ? 1 : 0);
    free(text);
}

static void handle_handover_written(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_http_req *request = arg;
    (void)body;
    if (status == 200)
        amb_http_reply(request, 200, "application/json", "{}", 2, 0);
    else
        answer_error(request, 503, "the state service did not take it");
}

static void request_handover(struct amb_node *node, struct amb_http_req *request) {
    enum amb_duty_name duty;
    struct amb_duty_handover handover = {{0}};
    bool is_too_large;
    json_t *body = amb_json_parse(request->body, request->body_len, HANDOVER_MAX_BYTES, &is_too_large);
    const char *name = json_string_value(json_object_get(body, "duty"));
    const char *to = json_string_value(json_object_get(body, "to"));
    bool is_valid = name && amb_duty_name_parse(name, &duty) && (!to || strlen(to) < AMB_NAME_SIZE);
    if (is_valid && to) strcpy(handover.successor, to);
    json_decref(body);
    if (!is_valid) {
        answer_error(request, 400, "duty must be rent, return, reclaim or cleanup; to: a member, or nothing");
        return;
    }
    if (!node->duties.service.active) {
        answer_error(request, 409, "duties are not in use");
        return;
    }
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_duty_handover_key(key, duty);
    amb_duty_encode_handover(&value, &handover);
    amb_txn_put(&transaction, key, &value, 0);
    amb_buf_free(&value);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_FINAL_STATE, handle_handover_written,
                     request);
}

bool amb_duties_handle_request(struct amb_node *node, struct amb_http_req *request) {
    if (!strcmp(request->path, "/duties") && !strcmp(request->method, "GET"))
        answer_status(node, request);
    else if (!strcmp(request->path, "/duties/handover") && !strcmp(request->method, "POST"))
        request_handover(node, request);
    else
        return false;
    return true;
}
