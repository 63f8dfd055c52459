#include "protocol_model.h"

#include <stdio.h>
#include <string.h>

enum { PPM = 1000000 };

static void violate(struct protocol_model *model, const char *rule) {
    if (!model->violation) model->violation = rule;
}

static amb_ms drifted(amb_ms now, int32_t ppm) {
    return now + now * ppm / PPM;
}

amb_ms model_member_clock(const struct protocol_model *model, uint32_t member) {
    return drifted(model->now, model->members[member].drift_ppm);
}

amb_ms model_service_clock(const struct protocol_model *model) {
    return drifted(model->now, model->service.drift_ppm);
}

static void member_name(uint32_t member, char *name) {
    snprintf(name, AMB_NAME_SIZE, "n-%u", member);
}

static uint32_t member_index(const char *name) {
    return (uint32_t)(name[2] - '0');
}

void model_init(struct protocol_model *model, uint32_t members) {
    memset(model, 0, sizeof *model);
    model->nmembers = members;
    for (uint32_t i = 0; i < members; i++) member_name(i, model->service.members[i].member);
}

void model_start(struct protocol_model *model, uint32_t member, const struct amb_duty_settings *settings,
                 uint64_t seed) {
    struct model_member *self = &model->members[member];
    char name[AMB_NAME_SIZE];
    member_name(member, name);
    self->running = true;
    self->incarnation++;
    self->news = 0;
    self->ticked_at = -1;
    amb_duty_core_init(&self->core, settings, name, seed, self->intents, MODEL_INTENTS);
    for (int i = 0; i < AMB_DUTY_COUNT; i++)
        model_step(model, member,
                   (struct amb_duty_event){.type = AMB_DUTY_RECORD_CHANGED,
                                           .duty = (enum amb_duty_name)i,
                                           .record = model->service.duties[i]});
}

void model_drop(struct protocol_model *model, uint32_t index) {
    model->messages[index] = model->messages[--model->nmessages];
}

/* The calls that it has not sent and the answers to it are lost. */
void model_kill(struct protocol_model *model, uint32_t member) {
    struct model_member *self = &model->members[member];
    self->running = false;
    memset(&self->core, 0, sizeof self->core);
    memset(self->intents, 0, sizeof self->intents);
    for (uint32_t i = model->nmessages; i-- > 0;) {
        const struct model_message *message = &model->messages[i];
        if (message->member == member && (message->kind == MODEL_TO_SEND || message->kind == MODEL_ANSWER))
            model_drop(model, i);
    }
}

static struct model_message *add_message(struct protocol_model *model, enum model_message_kind kind,
                                         uint32_t member) {
    if (model->nmessages == MODEL_MESSAGES) {
        model->lost_messages++;
        return NULL;
    }
    struct model_message *message = &model->messages[model->nmessages++];
    memset(message, 0, sizeof *message);
    message->kind = kind;
    message->member = member;
    message->incarnation = model->members[member].incarnation;
    return message;
}

static void answer(struct protocol_model *model, const struct model_message *request,
                   const struct amb_duty_event *event) {
    if (request->given_up || !model->members[request->member].running ||
        model->members[request->member].incarnation != request->incarnation)
        return;
    struct model_message *message = add_message(model, MODEL_ANSWER, request->member);
    if (message) message->answer = *event;
}

/* ---- members ---- */

static const struct amb_duty_intent_record *find_intent(const struct protocol_model *model,
                                                        enum amb_duty_name duty, const char *id) {
    for (uint32_t i = 0; i < MODEL_INTENTS; i++) {
        const struct amb_duty_intent_record *intent = &model->service.intents[i];
        if (intent->id[0] && intent->duty == duty && !strcmp(intent->id, id)) return intent;
    }
    return NULL;
}

static struct amb_duty_event read_answer(const struct protocol_model *model,
                                         const struct amb_duty_action *action) {
    const struct model_service *service = &model->service;
    struct amb_duty_event event = {.duty = action->duty};
    switch (action->type) {
    case AMB_DUTY_READ_MEMBER:
        event.type = AMB_DUTY_MEMBER_CHANGED;
        event.member = service->members[member_index(action->expected_member.member)];
        if (!event.member.present) event.member.revision = service->revision;
        break;
    case AMB_DUTY_READ_RECORD:
        event.type = AMB_DUTY_RECORD_CHANGED;
        event.record = service->duties[action->duty];
        break;
    default: {
        event.type = AMB_DUTY_INTENT_READ;
        const struct amb_duty_intent_record *intent =
            find_intent(model, action->intent.duty, action->intent.id);
        event.intent = intent && intent->present ? *intent : action->intent;
        if (!intent || !intent->present) {
            event.intent.present = false;
            event.intent.revision = service->revision;
        }
    }
    }
    return event;
}

static void end_lease(struct protocol_model *model, uint64_t id);

/* Answers with all intents, and with those that the member knows and that were removed. */
static void list_intents(struct protocol_model *model, const struct model_message *request) {
    const struct model_member *self = &model->members[request->member];
    for (uint32_t i = 0; i < MODEL_INTENTS; i++) {
        struct amb_duty_action read = {.type = AMB_DUTY_READ_INTENT, .intent = self->intents[i].record};
        struct amb_duty_event event = read_answer(model, &read);
        if (read.intent.id[0] && !event.intent.present) answer(model, request, &event);
    }
    for (uint32_t i = 0; i < MODEL_INTENTS; i++) {
        struct amb_duty_event event = {.type = AMB_DUTY_INTENT_CHANGED, .intent = model->service.intents[i]};
        if (event.intent.present) answer(model, request, &event);
    }
}

/* Returns the action that a core with the mutation would take. */
static struct amb_duty_action apply_mutation(const struct protocol_model *model,
                                             const struct amb_duty_action *wanted) {
    struct amb_duty_action action = *wanted;
    if (model->mutation == MODEL_NO_DUTY_COMPARE && action.type == AMB_DUTY_COMMIT_INTENT)
        action.expected_revision = UINT64_MAX;
    if (model->mutation == MODEL_NO_MEMBER_COMPARE && action.type == AMB_DUTY_COMMIT_RECORD)
        action.expected_member.member[0] = 0;
    if (model->mutation == MODEL_REQUEST_NAME_PER_HOLDER && action.type == AMB_DUTY_CALL_CLOUD) {
        size_t length = strlen(action.intent.id);
        snprintf(action.intent.id + length, sizeof action.intent.id - length, "%llu",
                 (unsigned long long)action.fencing_token);
    }
    return action;
}

static void carry_out(struct protocol_model *model, uint32_t member, const struct amb_duty_action *wanted) {
    struct amb_duty_action mutated = apply_mutation(model, wanted);
    const struct amb_duty_action *action = &mutated;
    struct model_message request = {.kind = MODEL_TO_SERVICE,
                                    .member = member,
                                    .incarnation = model->members[member].incarnation,
                                    .action = *action};
    struct amb_duty_event event;
    switch (action->type) {
    case AMB_DUTY_STATE_CHANGED: break;
    case AMB_DUTY_LIST_INTENTS: list_intents(model, &request); break;
    case AMB_DUTY_REVOKE_LEASE: end_lease(model, action->lease); break;
    case AMB_DUTY_READ_MEMBER:
    case AMB_DUTY_READ_RECORD:
    case AMB_DUTY_READ_INTENT:
        event = read_answer(model, action);
        answer(model, &request, &event);
        break;
    default: {
        bool cloud = action->type == AMB_DUTY_CALL_CLOUD;
        struct model_message *message = add_message(model, cloud ? MODEL_TO_SEND : MODEL_TO_SERVICE, member);
        if (message) message->action = *action;
    }
    }
}

static void keep_highest(uint64_t call, uint64_t *highest) {
    if (call > *highest) *highest = call;
}

/* The highest call number of this member that a message or its core still holds. New numbers need only differ
 * from those in use. */
static uint64_t highest_call(const struct protocol_model *model, uint32_t member) {
    const struct model_member *self = &model->members[member];
    uint64_t highest = self->core.incarnation.call;
    keep_highest(self->core.incarnation.renewal, &highest);
    for (int i = 0; i < AMB_DUTY_COUNT; i++) keep_highest(self->core.duties[i].call, &highest);
    for (int i = 0; i < MODEL_INTENTS; i++) keep_highest(self->intents[i].call, &highest);
    for (uint32_t i = 0; i < model->nmessages; i++) {
        const struct model_message *message = &model->messages[i];
        if (message->member != member || message->incarnation != self->incarnation) continue;
        keep_highest(message->kind == MODEL_ANSWER ? message->answer.call : message->action.call, &highest);
    }
    return highest;
}

/* Derives call numbers, nonces and jitter from the state alone, so that independent steps lead to the same
 * state in either order. A nonce is drawn when a lease is granted, and each lease has a number of its own. */
static void forget_history(struct protocol_model *model, uint32_t member,
                           const struct amb_duty_event *event) {
    struct model_member *self = &model->members[member];
    self->core.call_counter = highest_call(model, member);
    keep_highest(event->call, &self->core.call_counter);
    self->core.random_state = ((uint64_t)member << 48) + ((uint64_t)self->incarnation << 32) + event->lease;
}

static void serve(struct protocol_model *model, const struct model_message *request);

static bool concerns_incarnation(const struct model_message *message) {
    return message->kind == MODEL_TO_SERVICE &&
           (message->action.type == AMB_DUTY_EXTEND_LEASE || message->action.type == AMB_DUTY_GRANT_LEASE ||
            message->action.type == AMB_DUTY_PUT_MEMBER);
}

/* Serves one request for the member's lease or key and takes its answer out of the queue. Returns false if
 * there is no such request. */
static bool serve_incarnation_at_once(struct protocol_model *model, uint32_t member,
                                      struct amb_duty_event *taken) {
    for (uint32_t i = model->nmessages; i-- > 0;) {
        struct model_message message = model->messages[i];
        if (message.member != member || !concerns_incarnation(&message)) continue;
        model_drop(model, i);
        serve(model, &message);
        *taken = model->messages[--model->nmessages].answer;
        return true;
    }
    return false;
}

static void feed(struct protocol_model *model, uint32_t member, struct amb_duty_event event) {
    struct model_member *self = &model->members[member];
    struct amb_duty_output out;
    self->core.intents.entries = self->intents;
    event.now = model_member_clock(model, member);
    do {
        if (model->repeatable_random) forget_history(model, member, &event);
        amb_duty_core_step(&self->core, &event, &out);
        for (uint32_t i = 0; i < out.count; i++) carry_out(model, member, &out.actions[i]);
        event = (struct amb_duty_event){.type = AMB_DUTY_TICK, .now = event.now};
    } while (out.more);
    if (model->repeatable_random) self->core.call_counter = self->core.random_state = 0;
}

void model_step(struct protocol_model *model, uint32_t member, struct amb_duty_event event) {
    feed(model, member, event);
    while (model->instant_incarnations && serve_incarnation_at_once(model, member, &event))
        feed(model, member, event);
    model_check(model);
}

void model_tick(struct protocol_model *model, uint32_t member) {
    model->members[member].ticked_at = model_member_clock(model, member);
    model_step(model, member, (struct amb_duty_event){.type = AMB_DUTY_TICK});
}

/* ---- watches ---- */

static void keep_earliest(uint64_t revision, uint64_t after, uint64_t *best, bool *better) {
    *better = revision > after && (!*best || revision < *best);
    if (*better) *best = revision;
}

/* Finds the first change after the revision. Returns the revision of the change, or 0 if there is none. */
static uint64_t next_change(const struct protocol_model *model, uint64_t after,
                            struct amb_duty_event *event) {
    const struct model_service *service = &model->service;
    uint64_t best = 0;
    bool better;
    for (uint32_t i = 0; i < model->nmembers; i++) {
        keep_earliest(service->members[i].revision, after, &best, &better);
        if (better)
            *event = (struct amb_duty_event){.type = AMB_DUTY_MEMBER_CHANGED, .member = service->members[i]};
    }
    for (int i = 0; i < AMB_DUTY_COUNT; i++) {
        keep_earliest(service->duties[i].revision, after, &best, &better);
        if (better)
            *event = (struct amb_duty_event){
                .type = AMB_DUTY_RECORD_CHANGED, .duty = (enum amb_duty_name)i, .record = service->duties[i]};
    }
    for (uint32_t i = 0; i < MODEL_INTENTS; i++) {
        keep_earliest(service->intents[i].revision, after, &best, &better);
        if (better)
            *event = (struct amb_duty_event){.type = AMB_DUTY_INTENT_CHANGED, .intent = service->intents[i]};
    }
    return best;
}

bool model_has_news(const struct protocol_model *model, uint32_t member) {
    struct amb_duty_event event;
    return model->members[member].running && next_change(model, model->members[member].news, &event);
}

bool model_news(struct protocol_model *model, uint32_t member) {
    struct amb_duty_event event;
    uint64_t revision = next_change(model, model->members[member].news, &event);
    if (!revision) return false;
    model->members[member].news = revision;
    model_step(model, member, event);
    return true;
}

/* ---- the state service ---- */

static struct model_lease *find_lease(struct protocol_model *model, uint64_t id) {
    for (int i = 0; i < MODEL_LEASES; i++)
        if (id && model->service.leases[i].id == id) return &model->service.leases[i];
    return NULL;
}

static void end_lease(struct protocol_model *model, uint64_t id) {
    struct model_service *service = &model->service;
    struct model_lease *lease = find_lease(model, id);
    if (!lease) return;
    memset(lease, 0, sizeof *lease);
    for (uint32_t i = 0; i < model->nmembers; i++) {
        if (service->member_lease[i] != id) continue;
        service->member_lease[i] = 0;
        service->members[i].present = false;
        service->members[i].revision = ++service->revision;
    }
}

amb_ms model_next_expiry(const struct protocol_model *model) {
    amb_ms next = INT64_MAX;
    for (int i = 0; i < MODEL_LEASES; i++) {
        const struct model_lease *lease = &model->service.leases[i];
        if (lease->id && lease->ends < next) next = lease->ends;
    }
    return next;
}

bool model_expire(struct protocol_model *model) {
    amb_ms next = model_next_expiry(model);
    if (next > model_service_clock(model)) return false;
    for (int i = 0; i < MODEL_LEASES; i++) {
        const struct model_lease *lease = &model->service.leases[i];
        if (!lease->id || lease->ends != next) continue;
        end_lease(model, lease->id);
        model_check(model);
        return true;
    }
    return false;
}

static struct amb_duty_event grant(struct protocol_model *model, amb_ms ttl) {
    struct model_service *service = &model->service;
    for (int i = 0; i < MODEL_LEASES; i++) {
        if (service->leases[i].id) continue;
        service->leases[i].id = ++service->leases_granted;
        service->leases[i].ends = model_service_clock(model) + ttl;
        return (struct amb_duty_event){
            .type = AMB_DUTY_LEASE_GRANTED, .result = AMB_CALL_OK, .lease = service->leases[i].id};
    }
    return (struct amb_duty_event){.type = AMB_DUTY_LEASE_GRANTED, .result = AMB_CALL_REFUSED};
}

static bool put_member(struct protocol_model *model, uint32_t member, const struct amb_duty_action *action,
                       enum amb_call_result *result) {
    struct model_service *service = &model->service;
    struct amb_duty_member_record *key = &service->members[member];
    if (!find_lease(model, action->lease)) {
        *result = AMB_CALL_REFUSED;
        return false;
    }
    if ((key->present ? key->revision : 0) != action->expected_revision) return false;
    *key = action->member;
    key->revision = ++service->revision;
    service->member_lease[member] = action->lease;
    return true;
}

static uint64_t member_revision(const struct protocol_model *model, const char *name) {
    const struct amb_duty_member_record *key = &model->service.members[member_index(name)];
    return key->present ? key->revision : 0;
}

static bool put_record(struct protocol_model *model, uint32_t member, const struct amb_duty_action *action) {
    struct model_service *service = &model->service;
    struct amb_duty_record *record = &service->duties[action->duty];
    char self[AMB_NAME_SIZE];
    member_name(member, self);
    if ((record->present ? record->revision : 0) != action->expected_revision) return false;
    if (action->expected_incarnation && member_revision(model, self) != action->expected_incarnation)
        return false;
    if (action->expected_member.member[0] &&
        member_revision(model, action->expected_member.member) != action->expected_member.revision)
        return false;
    bool claims = action->record.state == AMB_DUTY_RECORD_HELD;
    if (action->record.fencing_token < record->fencing_token) violate(model, "a token fell");
    if (claims && action->record.fencing_token == record->fencing_token)
        violate(model, "a claim did not raise the token");
    model->claims += claims;
    *record = action->record;
    record->revision = ++service->revision;
    return true;
}

/* Does the duty's record name this member as its holder? */
static bool holds(const struct protocol_model *model, uint32_t member, enum amb_duty_name duty) {
    const struct amb_duty_record *record = &model->service.duties[duty];
    return record->present && record->state == AMB_DUTY_RECORD_HELD && member_index(record->holder) == member;
}

static bool put_intent(struct protocol_model *model, uint32_t member, const struct amb_duty_action *action) {
    struct model_service *service = &model->service;
    const struct amb_duty_record *duty = &service->duties[action->duty];
    struct amb_duty_intent_record *intent =
        (struct amb_duty_intent_record *)find_intent(model, action->intent.duty, action->intent.id);
    if (!intent || !intent->present || intent->revision != action->intent.revision) return false;
    if (action->expected_revision != UINT64_MAX && duty->revision != action->expected_revision) return false;
    if (!holds(model, member, action->duty))
        violate(model, "an order was written by another than the holder");
    bool removes = action->type == AMB_DUTY_REMOVE_INTENT;
    if (!removes && action->intent.fencing_token != duty->fencing_token)
        violate(model, "an order was written under a stale token");
    if (removes && intent->state != AMB_DUTY_INTENT_SETTLED) violate(model, "an open order was removed");
    if (intent->state == AMB_DUTY_INTENT_SETTLED && !removes) violate(model, "a settled order was changed");
    if (removes)
        intent->present = false;
    else
        *intent = action->intent;
    intent->revision = ++service->revision;
    return true;
}

static void serve(struct protocol_model *model, const struct model_message *request) {
    const struct amb_duty_action *action = &request->action;
    struct amb_duty_event event = {.type = AMB_DUTY_COMMITTED, .result = AMB_CALL_CONFLICT};
    struct model_lease *lease;
    bool done = false;
    switch (action->type) {
    case AMB_DUTY_GRANT_LEASE: event = grant(model, model->members[request->member].core.settings.ttl); break;
    case AMB_DUTY_EXTEND_LEASE:
        event.type = AMB_DUTY_LEASE_EXTENDED;
        lease = find_lease(model, action->lease);
        event.result = lease ? AMB_CALL_OK : AMB_CALL_NOT_FOUND;
        if (lease)
            lease->ends = model_service_clock(model) + model->members[request->member].core.settings.ttl;
        break;
    case AMB_DUTY_PUT_MEMBER: done = put_member(model, request->member, action, &event.result); break;
    case AMB_DUTY_COMMIT_RECORD: done = put_record(model, request->member, action); break;
    default: done = put_intent(model, request->member, action);
    }
    if (done) {
        event.result = AMB_CALL_OK;
        event.revision = model->service.revision;
    }
    event.call = action->call;
    event.duty = action->duty;
    answer(model, request, &event);
}

/* ---- the cloud ---- */

/* Finds the intent of a call. With MODEL_REQUEST_NAME_PER_HOLDER the call's name is the intent's name with a
 * suffix, so the prefix is compared. */
static uint32_t called_intent(const struct protocol_model *model, const struct amb_duty_action *action) {
    for (uint32_t i = 0; i < MODEL_INTENTS; i++) {
        const char *id = model->service.intents[i].id;
        if (id[0] && !strncmp(id, action->intent.id, strlen(id)) &&
            model->service.intents[i].duty == action->duty)
            return i;
    }
    return MODEL_INTENTS;
}

static enum amb_duty_cloud_answer rent(struct protocol_model *model, const struct amb_duty_action *action,
                                       bool refuse) {
    uint32_t place = called_intent(model, action);
    if (place == MODEL_INTENTS) { /* its record was removed: see model_check_quiesced */
        if (!refuse) violate(model, "machines were rented for an order that is forgotten");
        return AMB_DUTY_CLOUD_NO_CAPACITY;
    }
    struct model_effect *effect = &model->effects[place];
    if (effect->rented && !strcmp(effect->charter, action->intent.id)) return AMB_DUTY_CLOUD_DONE;
    if (refuse) return AMB_DUTY_CLOUD_NO_CAPACITY;
    strcpy(effect->charter, action->intent.id);
    if (++effect->rented > 1) violate(model, "machines were rented twice for one order");
    return AMB_DUTY_CLOUD_DONE;
}

static enum amb_duty_cloud_answer take_back(struct protocol_model *model,
                                            const struct amb_duty_action *action) {
    uint32_t place = called_intent(model, action);
    if (place == MODEL_INTENTS) return AMB_DUTY_CLOUD_DONE;
    struct model_effect *effect = &model->effects[place];
    const struct amb_duty_intent_record *intent = &model->service.intents[place];
    if (!effect->machine) return AMB_DUTY_CLOUD_DONE;
    if (effect->placed) violate(model, "a machine in use was returned");
    if (!intent->present || intent->state != AMB_DUTY_INTENT_SENT)
        violate(model, "a machine was returned that was not marked");
    effect->machine = false;
    return AMB_DUTY_CLOUD_DONE;
}

static void call(struct protocol_model *model, const struct model_message *request, bool refuse) {
    const struct amb_duty_action *action = &request->action;
    struct amb_duty_event event = {
        .type = AMB_DUTY_CLOUD_ANSWERED, .call = action->call, .duty = action->duty};
    uint64_t *fencing_token = &model->cloud_fencing_token[action->duty];
    if (action->fencing_token < *fencing_token) {
        event.answer = AMB_DUTY_CLOUD_FENCED;
        model->fenced_calls++;
    } else {
        *fencing_token = action->fencing_token;
        event.answer = action->duty == AMB_DUTY_RENT ? rent(model, action, refuse) : take_back(model, action);
    }
    answer(model, request, &event);
}

/* As the service does: the holder's right is checked immediately before the call is sent. */
static void send_call(struct protocol_model *model, struct model_message *message) {
    const struct amb_duty_core *core = &model->members[message->member].core;
    const struct amb_duty_action *action = &message->action;
    if (model->mutation == MODEL_NO_CLOCK_CHECK ||
        amb_duty_may_send(core, action, model_member_clock(model, message->member))) {
        if (action->fencing_token != model->service.duties[action->duty].fencing_token)
            violate(model, "an order was sent under a stale token");
        struct model_message *sent = add_message(model, MODEL_TO_CLOUD, message->member);
        if (sent) sent->action = *action;
        return;
    }
    struct amb_duty_event event = {.type = AMB_DUTY_CLOUD_ANSWERED,
                                   .call = action->call,
                                   .duty = action->duty,
                                   .answer = AMB_DUTY_CLOUD_NOT_SENT};
    answer(model, message, &event);
}

/* ---- messages ---- */

void model_deliver(struct protocol_model *model, uint32_t index, bool keep, bool refuse) {
    struct model_message message = model->messages[index];
    if (!keep) model_drop(model, index);
    switch (message.kind) {
    case MODEL_TO_SERVICE: serve(model, &message); break;
    case MODEL_TO_SEND: send_call(model, &message); break;
    case MODEL_TO_CLOUD: call(model, &message, refuse); break;
    case MODEL_ANSWER: model_step(model, message.member, message.answer); break;
    case MODEL_FREE: break;
    }
    model_check(model);
}

static struct amb_duty_event no_answer(const struct amb_duty_action *action) {
    struct amb_duty_event event = {
        .type = AMB_DUTY_COMMITTED, .call = action->call, .duty = action->duty, .result = AMB_CALL_NO_ANSWER};
    if (action->type == AMB_DUTY_GRANT_LEASE) event.type = AMB_DUTY_LEASE_GRANTED;
    if (action->type == AMB_DUTY_EXTEND_LEASE) event.type = AMB_DUTY_LEASE_EXTENDED;
    if (action->type == AMB_DUTY_CALL_CLOUD) {
        event.type = AMB_DUTY_CLOUD_ANSWERED;
        event.answer = AMB_DUTY_CLOUD_NO_ANSWER;
    }
    return event;
}

void model_give_up(struct protocol_model *model, uint32_t index) {
    struct model_message *message = &model->messages[index];
    if (message->kind == MODEL_ANSWER) {
        struct amb_duty_event *event = &message->answer;
        event->result = AMB_CALL_NO_ANSWER;
        event->answer = AMB_DUTY_CLOUD_NO_ANSWER;
        event->lease = event->revision = 0;
        return;
    }
    struct amb_duty_event event = no_answer(&message->action);
    answer(model, message, &event);
    message->given_up = true;
}

/* ---- the leader ---- */

/* Names of intents are never reused. */
bool model_create_intent(struct protocol_model *model, uint32_t place, enum amb_duty_name duty) {
    struct model_service *service = &model->service;
    struct amb_duty_intent_record *intent = &service->intents[place];
    struct model_effect *effect = &model->effects[place];
    if (intent->present) return false;
    memset(intent, 0, sizeof *intent);
    memset(effect, 0, sizeof *effect);
    effect->machine = duty != AMB_DUTY_RENT;
    intent->present = true;
    intent->duty = duty;
    snprintf(intent->id, sizeof intent->id, "o-%llu.", (unsigned long long)++model->intents_made);
    intent->revision = ++service->revision;
    return true;
}

bool model_withdraw(struct protocol_model *model, uint32_t place) {
    struct amb_duty_intent_record *intent = &model->service.intents[place];
    if (!intent->present || intent->withdrawn || intent->state == AMB_DUTY_INTENT_SETTLED) return false;
    intent->withdrawn = true;
    intent->revision = ++model->service.revision;
    return true;
}

/* Work is placed on a machine only if no intent marks it as leaving. */
bool model_place(struct protocol_model *model, uint32_t place) {
    const struct amb_duty_intent_record *intent = &model->service.intents[place];
    bool marked = intent->present && intent->result != AMB_DUTY_RESULT_VOID &&
                  model->mutation != MODEL_LEAVING_MARK_IGNORED;
    if (marked || !intent->id[0] || intent->duty == AMB_DUTY_RENT || model->effects[place].placed)
        return false;
    model->effects[place].placed = true;
    return true;
}

/* ---- rules ---- */

void model_check(struct protocol_model *model) {
    for (uint32_t i = 0; i < model->nmembers; i++) {
        if (!model->members[i].running) continue;
        for (int duty = 0; duty < AMB_DUTY_COUNT; duty++) {
            const struct amb_duty_core *core = &model->members[i].core;
            const struct amb_duty_record *record = &model->service.duties[duty];
            if (!amb_duty_may_call(core, (enum amb_duty_name)duty, model_member_clock(model, i))) continue;
            /* The record names one holder, so no two members have the right at the same time. */
            if (!holds(model, i, (enum amb_duty_name)duty) ||
                record->holder_incarnation != core->incarnation.revision)
                violate(model, "a member relies on a right that the state service does not know of");
        }
    }
}

void model_check_quiesced(struct protocol_model *model) {
    const struct model_service *service = &model->service;
    const struct amb_duty_settings *settings = NULL;
    for (uint32_t i = 0; i < model->nmembers; i++)
        if (model->members[i].running) settings = &model->members[i].core.settings;
    if (!settings) return;
    for (int duty = 0; duty < AMB_DUTY_COUNT; duty++) {
        const struct amb_duty_record *record = &service->duties[duty];
        if (!settings->enabled[duty]) continue;
        if (!record->present || record->state != AMB_DUTY_RECORD_HELD ||
            !model->members[member_index(record->holder)].running)
            violate(model, "a duty has no holder in a quiesced state");
    }
    for (uint32_t i = 0; i < MODEL_INTENTS; i++) {
        const struct amb_duty_intent_record *intent = &service->intents[i];
        const struct model_effect *effect = &model->effects[i];
        if (!intent->id[0] || !settings->enabled[intent->duty]) continue;
        if (intent->present && intent->state != AMB_DUTY_INTENT_SETTLED)
            violate(model, "an order is left open in a quiesced state");
        bool known = intent->result == AMB_DUTY_RESULT_DONE || intent->unanswered;
        if (effect->rented && !known) violate(model, "machines were rented that no record tells of");
        bool returned = intent->result == AMB_DUTY_RESULT_DONE || intent->result == AMB_DUTY_RESULT_GONE;
        if (intent->duty != AMB_DUTY_RENT && returned && effect->machine)
            violate(model, "a machine is settled as returned and is not");
    }
}

/* Delivers all messages in their order, and all changes to all watches. */
static void settle_messages(struct protocol_model *model) {
    for (bool more = true; more && !model->violation;) {
        more = false;
        while (model->nmessages && !model->violation) {
            model_deliver(model, 0, false, false);
            more = true;
        }
        for (uint32_t i = 0; i < model->nmembers; i++)
            while (model->members[i].running && !model->violation && model_news(model, i)) more = true;
    }
}

void model_quiesce(struct protocol_model *model, amb_ms step, amb_ms longest) {
    for (amb_ms end = model->now + longest; model->now < end && !model->violation; model->now += step) {
        while (model_expire(model)) continue;
        settle_messages(model);
        for (uint32_t i = 0; i < model->nmembers && !model->violation; i++)
            if (model->members[i].running) model_tick(model, i);
        settle_messages(model);
    }
    if (!model->violation) model_check_quiesced(model);
}
