/* Carries out what the core of single-holder duties decides. */
#include "service_internal.h"

#include "amberpin/base/trace.h"

#include <string.h>

/* ---- answers ---- */

/* An answer of the state service that can't be used proves nothing about what was done. */
static enum amb_call_result read_answer(int status, const cbor_item_t *body, const char *field,
                                        uint64_t *out) {
    enum amb_call_result result = amb_store_call_result(status);
    if (result == AMB_CALL_OK && !amb_cbor_uint(amb_cbor_get(body, field), out)) return AMB_CALL_LOST;
    return result;
}

static void granted(void *arg, int status, const cbor_item_t *body) {
    struct duty_call call;
    struct amb_duty_service *service = duty_call_take(arg, &call);
    struct amb_duty_event event = {.type = AMB_DUTY_LEASE_GRANTED, .call = call.number};
    event.result = read_answer(status, body, "tenure", &event.lease);
    if (service)
        duty_feed(service, &event);
    else if (event.result == AMB_CALL_OK) /* nobody will use it */
        call.service->ports.state.drop(call.service->ports.state.context, event.lease);
}

static void extended(void *arg, int status, const cbor_item_t *body) {
    struct duty_call call;
    struct amb_duty_service *service = duty_call_take(arg, &call);
    (void)body;
    if (!service) return;
    duty_feed(service, &(struct amb_duty_event){.type = AMB_DUTY_LEASE_EXTENDED,
                                                .call = call.number,
                                                .result = amb_store_call_result(status)});
}

static void committed(void *arg, int status, const cbor_item_t *body) {
    struct duty_call call;
    struct amb_duty_service *service = duty_call_take(arg, &call);
    if (!service) return;
    struct amb_duty_event event = {.type = AMB_DUTY_COMMITTED, .call = call.number};
    event.result = read_answer(status, body, "epoch", &event.stamp);
    duty_feed(service, &event);
}

static void cloud_answered(void *arg, struct amb_duty_cloud_reply *reply) {
    struct duty_call call;
    struct amb_duty_service *service = duty_call_take(arg, &call);
    struct amb_duty_order_entry *entry = service ? duty_entry_find(service, call.key) : NULL;
    if (entry && reply->answer == AMB_DUTY_CLOUD_DONE) {
        amb_duty_work_free(&entry->rented);
        entry->rented = reply->rented;
        memset(&reply->rented, 0, sizeof reply->rented);
    }
    amb_duty_work_free(&reply->rented);
    if (!service) return;
    duty_feed(service, &(struct amb_duty_event){.type = AMB_DUTY_CLOUD_ANSWERED,
                                                .duty = call.duty,
                                                .call = call.number,
                                                .answer = reply->answer});
}

/* ---- writes ---- */

/* Not even tried: as if the state service had refused it. */
static void refuse_commit(struct amb_duty_service *service, uint64_t number) {
    duty_feed(service, &(struct amb_duty_event){
                           .type = AMB_DUTY_COMMITTED, .call = number, .result = AMB_CALL_REFUSED});
}

static void send(struct amb_duty_service *service, struct amb_txn *transaction,
                 enum amb_store_priority urgency, uint64_t number) {
    service->ports.state.commit(service->ports.state.context, transaction, urgency, committed,
                                duty_call_new(service, number));
}

static void put_member(struct amb_duty_service *service, const struct amb_duty_action *action) {
    char key[AMB_DUTY_KEY];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_duty_member_key(key, service->core.member);
    amb_duty_encode_member(&value, &action->member);
    amb_txn_compare(&transaction, key, action->guard_stamp);
    amb_txn_put(&transaction, key, &value, action->lease);
    amb_buf_free(&value);
    send(service, &transaction, AMB_STORE_PRIORITY_LEASE, action->call);
}

static void guard_member(struct amb_txn *transaction, const char *member, uint64_t stamp) {
    char key[AMB_DUTY_KEY];
    amb_duty_member_key(key, member);
    amb_txn_compare(transaction, key, stamp);
}

/* A claim or a release. */
static void commit_record(struct amb_duty_service *service, const struct amb_duty_action *action) {
    char key[AMB_DUTY_KEY];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    if (service->unknown_form[action->duty]) {
        refuse_commit(service, action->call);
        return;
    }
    amb_duty_record_key(key, action->duty);
    amb_duty_encode_record(&value, &action->record);
    amb_txn_compare(&transaction, key, action->guard_stamp);
    if (action->guard_member.member[0])
        guard_member(&transaction, action->guard_member.member, action->guard_member.stamp);
    if (action->guard_self) guard_member(&transaction, service->core.member, action->guard_self);
    amb_txn_put(&transaction, key, &value, 0);
    amb_buf_free(&value);
    send(service, &transaction, AMB_STORE_PRIORITY_LEASE, action->call);
}

/* Guards of every write of a holder: its claim, and the order as it was read. */
static void guard_order(struct amb_txn *transaction, const struct amb_duty_action *action,
                        const char *order_key) {
    char key[AMB_DUTY_KEY];
    amb_duty_record_key(key, action->duty);
    amb_txn_compare(transaction, key, action->guard_stamp);
    amb_txn_compare(transaction, order_key, action->order.stamp);
}

static void commit_order(struct amb_duty_service *service, const struct amb_duty_action *action) {
    char key[AMB_DUTY_KEY];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_duty_order_key(key, action->order.duty, action->order.id);
    const struct amb_duty_order_entry *entry = duty_entry_find(service, key);
    if (!entry || service->unknown_form[action->duty]) {
        refuse_commit(service, action->call);
        return;
    }
    struct amb_duty_work work = entry->work;
    bool rented = action->order.duty == AMB_DUTY_RENT && action->order.result == AMB_DUTY_RESULT_DONE;
    if (rented && entry->rented.machine_count) {
        work.machine_count = entry->rented.machine_count;
        work.machines = entry->rented.machines;
    }
    amb_duty_encode_order(&value, &action->order, &work);
    guard_order(&transaction, action, key);
    AMB_TRACE3(duty_order, action->order.id, action->order.state, action->order.token);
    amb_txn_put(&transaction, key, &value, 0);
    amb_buf_free(&value);
    send(service, &transaction, AMB_STORE_PRIORITY_PLACEMENT, action->call);
}

static void remove_order(struct amb_duty_service *service, const struct amb_duty_action *action) {
    char key[AMB_DUTY_KEY];
    struct amb_txn transaction = {0};
    if (service->unknown_form[action->duty]) {
        refuse_commit(service, action->call);
        return;
    }
    amb_duty_order_key(key, action->order.duty, action->order.id);
    guard_order(&transaction, action, key);
    amb_txn_remove(&transaction, key);
    send(service, &transaction, AMB_STORE_PRIORITY_READ, action->call);
}

/* ---- the cloud ---- */

/* The right is looked at anew, at the last moment: the process may have stood still since the core decided.
 */
static void call_cloud(struct amb_duty_service *service, const struct amb_duty_action *action) {
    char key[AMB_DUTY_KEY];
    amb_duty_order_key(key, action->order.duty, action->order.id);
    const struct amb_duty_order_entry *entry = duty_entry_find(service, key);
    bool known = entry && !service->unknown_form[action->duty];
    struct duty_call *call = duty_call_new(service, action->call);
    call->duty = action->duty;
    strcpy(call->key, key);
    const struct amb_duty_ports *ports = &service->ports;
    bool may_send = known && amb_duty_may_send(&service->core, action, ports->now(ports->context));
    AMB_TRACE3(duty_call, action->order.id, action->token, may_send);
    if (may_send &&
        ports->call_cloud(ports->context, &action->order, &entry->work, action->token, cloud_answered, call))
        return;
    struct amb_duty_cloud_reply not_sent = {.answer = AMB_DUTY_CLOUD_NOT_SENT};
    cloud_answered(call, &not_sent);
}

/* ---- what the core decides ---- */

static void log_state(struct amb_duty_service *service, const struct amb_duty_action *action) {
    duty_log(service, "duty %s: %s -> %s, token %llu: %s", amb_duty_name_text(action->duty),
             amb_duty_state_text(action->from), amb_duty_state_text(action->to),
             (unsigned long long)action->token, action->cause);
    AMB_TRACE4(duty_state, amb_duty_name_text(action->duty), amb_duty_state_text(action->from),
               amb_duty_state_text(action->to), action->token);
}

void duty_perform(struct amb_duty_service *service, const struct amb_duty_action *action) {
    const struct amb_duty_state_service *state = &service->ports.state;
    char key[AMB_DUTY_KEY];
    switch (action->type) {
    case AMB_DUTY_GRANT_LEASE:
        state->grant(state->context, service->core.settings.ttl, granted,
                     duty_call_new(service, action->call));
        break;
    case AMB_DUTY_EXTEND_LEASE:
        state->extend(state->context, action->lease, extended, duty_call_new(service, action->call));
        break;
    case AMB_DUTY_DROP_LEASE: state->drop(state->context, action->lease); break;
    case AMB_DUTY_PUT_MEMBER: put_member(service, action); break;
    case AMB_DUTY_READ_MEMBER:
        amb_duty_member_key(key, action->guard_member.member);
        duty_read_key(service, key);
        break;
    case AMB_DUTY_READ_RECORD:
        amb_duty_record_key(key, action->duty);
        duty_read_key(service, key);
        break;
    case AMB_DUTY_READ_ORDER:
        amb_duty_order_key(key, action->order.duty, action->order.id);
        duty_read_key(service, key);
        break;
    case AMB_DUTY_LIST_ORDERS: duty_feed_orders(service); break;
    case AMB_DUTY_COMMIT_RECORD: commit_record(service, action); break;
    case AMB_DUTY_COMMIT_ORDER: commit_order(service, action); break;
    case AMB_DUTY_REMOVE_ORDER: remove_order(service, action); break;
    case AMB_DUTY_CALL_CLOUD: call_cloud(service, action); break;
    case AMB_DUTY_STATE_CHANGED: log_state(service, action); break;
    }
}
