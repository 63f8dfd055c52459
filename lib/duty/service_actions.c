/* Carries out the actions of the duty core. */
#include "service_internal.h"

#include "amberpin/base/trace.h"
#include "amberpin/kvstore/responses.h"

#include <string.h>

/* ---- responses ---- */

static void handle_grant(void *arg, int status, const struct amb_cbor_item *body) {
    struct duty_call call;
    struct amb_duty_service *service = duty_call_take(arg, &call);
    struct amb_duty_event event = {.type = AMB_DUTY_LEASE_GRANTED, .call = call.number};
    event.result = amb_store_lease_result(status, body, &event.lease);
    if (service)
        duty_feed_event(service, &event);
    else if (event.result == AMB_CALL_OK) /* the lease is unused */
        call.service->callbacks.kvstore.revoke(call.service->callbacks.kvstore.context, event.lease);
}

static void handle_renewal(void *arg, int status, const struct amb_cbor_item *body) {
    struct duty_call call;
    struct amb_duty_service *service = duty_call_take(arg, &call);
    (void)body;
    if (!service) return;
    duty_feed_event(service, &(struct amb_duty_event){.type = AMB_DUTY_LEASE_EXTENDED,
                                                      .call = call.number,
                                                      .result = amb_store_call_result(status)});
}

static void handle_commit(void *arg, int status, const struct amb_cbor_item *body) {
    struct duty_call call;
    struct amb_duty_service *service = duty_call_take(arg, &call);
    if (!service) return;
    struct amb_duty_event event = {.type = AMB_DUTY_COMMITTED, .call = call.number};
    event.result = amb_store_commit_result(status, body, &event.revision);
    duty_feed_event(service, &event);
}

static void handle_cloud_answer(void *arg, struct amb_duty_cloud_reply *reply) {
    struct duty_call call;
    struct amb_duty_service *service = duty_call_take(arg, &call);
    struct amb_duty_intent_entry *entry = service ? duty_find_entry(service, call.key) : NULL;
    if (entry && reply->answer == AMB_DUTY_CLOUD_DONE) {
        amb_duty_intent_payload_free(&entry->acquired);
        entry->acquired = reply->acquired;
        memset(&reply->acquired, 0, sizeof reply->acquired);
    }
    amb_duty_intent_payload_free(&reply->acquired);
    if (!service) return;
    duty_feed_event(service, &(struct amb_duty_event){.type = AMB_DUTY_CLOUD_ANSWERED,
                                                      .duty = call.duty,
                                                      .call = call.number,
                                                      .answer = reply->answer});
}

/* ---- writes ---- */

/* Reports a write that is not attempted as refused by the key-value store. */
static void refuse_commit(struct amb_duty_service *service, uint64_t number) {
    duty_feed_event(service, &(struct amb_duty_event){
                                 .type = AMB_DUTY_COMMITTED, .call = number, .result = AMB_CALL_REFUSED});
}

static void send_commit(struct amb_duty_service *service, struct amb_txn *transaction,
                        enum amb_store_priority urgency, uint64_t number) {
    service->callbacks.kvstore.commit(service->callbacks.kvstore.context, transaction, urgency, handle_commit,
                                      duty_call_new(service, number));
}

static void put_member(struct amb_duty_service *service, const struct amb_duty_action *action) {
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_duty_member_key(key, service->core.member);
    amb_duty_encode_member(&value, &action->member);
    amb_txn_compare(&transaction, key, action->expected_revision);
    amb_txn_put(&transaction, key, &value, action->lease);
    amb_buf_free(&value);
    send_commit(service, &transaction, AMB_STORE_PRIORITY_LEASE, action->call);
}

static void compare_member(struct amb_txn *transaction, const char *member, uint64_t revision) {
    char key[AMB_DUTY_KEY_SIZE];
    amb_duty_member_key(key, member);
    amb_txn_compare(transaction, key, revision);
}

/* Commits a claim or a release. */
static void commit_record(struct amb_duty_service *service, const struct amb_duty_action *action) {
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    if (service->unknown_version[action->duty]) {
        refuse_commit(service, action->call);
        return;
    }
    amb_duty_record_key(key, action->duty);
    amb_duty_encode_record(&value, &action->record);
    amb_txn_compare(&transaction, key, action->expected_revision);
    if (action->expected_member.member[0])
        compare_member(&transaction, action->expected_member.member, action->expected_member.revision);
    if (action->expected_incarnation)
        compare_member(&transaction, service->core.member, action->expected_incarnation);
    amb_txn_put(&transaction, key, &value, 0);
    amb_buf_free(&value);
    send_commit(service, &transaction, AMB_STORE_PRIORITY_LEASE, action->call);
}

/* Adds the comparisons that every write of a holder needs: its claim, and the intent as it was read. */
static void compare_intent(struct amb_txn *transaction, const struct amb_duty_action *action,
                           const char *intent_key) {
    char key[AMB_DUTY_KEY_SIZE];
    amb_duty_record_key(key, action->duty);
    amb_txn_compare(transaction, key, action->expected_revision);
    amb_txn_compare(transaction, intent_key, action->intent.revision);
}

static void commit_intent(struct amb_duty_service *service, const struct amb_duty_action *action) {
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_duty_intent_key(key, action->intent.duty, action->intent.id);
    const struct amb_duty_intent_entry *entry = duty_find_entry(service, key);
    if (!entry || service->unknown_version[action->duty]) {
        refuse_commit(service, action->call);
        return;
    }
    struct amb_duty_intent_payload payload = entry->payload;
    bool acquired_machines =
        action->intent.duty == AMB_DUTY_RENT && action->intent.result == AMB_DUTY_RESULT_DONE;
    if (acquired_machines && entry->acquired.machine_count) {
        payload.machine_count = entry->acquired.machine_count;
        payload.machines = entry->acquired.machines;
    }
    amb_duty_encode_intent(&value, &action->intent, &payload);
    compare_intent(&transaction, action, key);
    AMB_TRACE3(duty_order, action->intent.id, action->intent.state, action->intent.fencing_token);
    amb_txn_put(&transaction, key, &value, 0);
    amb_buf_free(&value);
    send_commit(service, &transaction, AMB_STORE_PRIORITY_PLACEMENT, action->call);
}

static void remove_intent(struct amb_duty_service *service, const struct amb_duty_action *action) {
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_txn transaction = {0};
    if (service->unknown_version[action->duty]) {
        refuse_commit(service, action->call);
        return;
    }
    amb_duty_intent_key(key, action->intent.duty, action->intent.id);
    compare_intent(&transaction, action, key);
    amb_txn_remove(&transaction, key);
    send_commit(service, &transaction, AMB_STORE_PRIORITY_READ, action->call);
}

/* ---- cloud calls ---- */

/* The lease is checked again immediately before sending, because the process may have been stalled since the
 * core decided. */
static void call_cloud(struct amb_duty_service *service, const struct amb_duty_action *action) {
    char key[AMB_DUTY_KEY_SIZE];
    amb_duty_intent_key(key, action->intent.duty, action->intent.id);
    const struct amb_duty_intent_entry *entry = duty_find_entry(service, key);
    bool known = entry && !service->unknown_version[action->duty];
    struct duty_call *call = duty_call_new(service, action->call);
    call->duty = action->duty;
    strcpy(call->key, key);
    const struct amb_duty_service_callbacks *callbacks = &service->callbacks;
    bool may_send = known && amb_duty_may_send(&service->core, action, callbacks->now(callbacks->context));
    AMB_TRACE3(duty_call, action->intent.id, action->fencing_token, may_send);
    if (may_send && callbacks->call_cloud(callbacks->context, &action->intent, &entry->payload,
                                          action->fencing_token, handle_cloud_answer, call))
        return;
    struct amb_duty_cloud_reply not_sent = {.answer = AMB_DUTY_CLOUD_NOT_SENT};
    handle_cloud_answer(call, &not_sent);
}

/* ---- dispatch of actions ---- */

static void log_state(struct amb_duty_service *service, const struct amb_duty_action *action) {
    duty_log(service, "duty %s: %s -> %s, token %llu: %s", amb_duty_name_text(action->duty),
             amb_duty_state_text(action->from), amb_duty_state_text(action->to),
             (unsigned long long)action->fencing_token, action->cause);
    AMB_TRACE4(duty_state, amb_duty_name_text(action->duty), amb_duty_state_text(action->from),
               amb_duty_state_text(action->to), action->fencing_token);
}

void duty_perform_action(struct amb_duty_service *service, const struct amb_duty_action *action) {
    const struct amb_duty_kvstore *kvstore = &service->callbacks.kvstore;
    char key[AMB_DUTY_KEY_SIZE];
    switch (action->type) {
    case AMB_DUTY_GRANT_LEASE:
        kvstore->grant(kvstore->context, service->core.settings.ttl, handle_grant,
                       duty_call_new(service, action->call));
        break;
    case AMB_DUTY_EXTEND_LEASE:
        kvstore->extend(kvstore->context, action->lease, handle_renewal,
                        duty_call_new(service, action->call));
        break;
    case AMB_DUTY_REVOKE_LEASE: kvstore->revoke(kvstore->context, action->lease); break;
    case AMB_DUTY_PUT_MEMBER: put_member(service, action); break;
    case AMB_DUTY_READ_MEMBER:
        amb_duty_member_key(key, action->expected_member.member);
        duty_read_key(service, key);
        break;
    case AMB_DUTY_READ_RECORD:
        amb_duty_record_key(key, action->duty);
        duty_read_key(service, key);
        break;
    case AMB_DUTY_READ_INTENT:
        amb_duty_intent_key(key, action->intent.duty, action->intent.id);
        duty_read_key(service, key);
        break;
    case AMB_DUTY_LIST_INTENTS: duty_feed_intents(service); break;
    case AMB_DUTY_COMMIT_RECORD: commit_record(service, action); break;
    case AMB_DUTY_COMMIT_INTENT: commit_intent(service, action); break;
    case AMB_DUTY_REMOVE_INTENT: remove_intent(service, action); break;
    case AMB_DUTY_CALL_CLOUD: call_cloud(service, action); break;
    case AMB_DUTY_STATE_CHANGED: log_state(service, action); break;
    }
}
