#include "protocol_model.h"

#include <stdio.h>
#include <string.h>

enum { PPM = 1000000 };

static void violate(struct world *world, const char *rule) {
    if (!world->violation) world->violation = rule;
}

static amb_ms drifted(amb_ms now, int32_t ppm) {
    return now + now * ppm / PPM;
}

amb_ms world_member_clock(const struct world *world, uint32_t member) {
    return drifted(world->now, world->members[member].drift_ppm);
}

amb_ms world_service_clock(const struct world *world) {
    return drifted(world->now, world->service.drift_ppm);
}

static void member_name(uint32_t member, char *name) {
    snprintf(name, AMB_NAME_SIZE, "n-%u", member);
}

static uint32_t member_index(const char *name) {
    return (uint32_t)(name[2] - '0');
}

void world_init(struct world *world, uint32_t members) {
    memset(world, 0, sizeof *world);
    world->nmembers = members;
    for (uint32_t i = 0; i < members; i++) member_name(i, world->service.members[i].member);
}

void world_start(struct world *world, uint32_t member, const struct amb_duty_settings *settings,
                 uint64_t seed) {
    struct world_member *self = &world->members[member];
    char name[AMB_NAME_SIZE];
    member_name(member, name);
    self->running = true;
    self->incarnation++;
    self->news = 0;
    self->ticked_at = -1;
    amb_duty_core_init(&self->core, settings, name, seed, self->intents, WORLD_INTENTS);
    for (int i = 0; i < AMB_DUTY_COUNT; i++)
        world_step(world, member,
                   (struct amb_duty_event){.type = AMB_DUTY_RECORD_CHANGED,
                                           .duty = (enum amb_duty_name)i,
                                           .record = world->service.duties[i]});
}

void world_drop(struct world *world, uint32_t index) {
    world->messages[index] = world->messages[--world->nmessages];
}

/* What it has not sent yet is lost with it, and answers find nobody. */
void world_kill(struct world *world, uint32_t member) {
    struct world_member *self = &world->members[member];
    self->running = false;
    memset(&self->core, 0, sizeof self->core);
    memset(self->intents, 0, sizeof self->intents);
    for (uint32_t i = world->nmessages; i-- > 0;) {
        const struct world_message *message = &world->messages[i];
        if (message->member == member && (message->kind == WORLD_TO_SEND || message->kind == WORLD_ANSWER))
            world_drop(world, i);
    }
}

static struct world_message *add_message(struct world *world, enum world_message_kind kind, uint32_t member) {
    if (world->nmessages == WORLD_MESSAGES) {
        world->lost_messages++;
        return NULL;
    }
    struct world_message *message = &world->messages[world->nmessages++];
    memset(message, 0, sizeof *message);
    message->kind = kind;
    message->member = member;
    message->incarnation = world->members[member].incarnation;
    return message;
}

static void answer(struct world *world, const struct world_message *request,
                   const struct amb_duty_event *event) {
    if (request->given_up || !world->members[request->member].running ||
        world->members[request->member].incarnation != request->incarnation)
        return;
    struct world_message *message = add_message(world, WORLD_ANSWER, request->member);
    if (message) message->answer = *event;
}

/* ---- members ---- */

static const struct amb_duty_intent_record *find_intent(const struct world *world, enum amb_duty_name duty,
                                                        const char *id) {
    for (uint32_t i = 0; i < WORLD_INTENTS; i++) {
        const struct amb_duty_intent_record *intent = &world->service.intents[i];
        if (intent->id[0] && intent->duty == duty && !strcmp(intent->id, id)) return intent;
    }
    return NULL;
}

static struct amb_duty_event read_answer(const struct world *world, const struct amb_duty_action *action) {
    const struct world_service *service = &world->service;
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
            find_intent(world, action->intent.duty, action->intent.id);
        event.intent = intent && intent->present ? *intent : action->intent;
        if (!intent || !intent->present) {
            event.intent.present = false;
            event.intent.revision = service->revision;
        }
    }
    }
    return event;
}

static void end_lease(struct world *world, uint64_t id);

/* All orders that there are, and all that the member knows of and that are not there any more. */
static void list_intents(struct world *world, const struct world_message *request) {
    const struct world_member *self = &world->members[request->member];
    for (uint32_t i = 0; i < WORLD_INTENTS; i++) {
        struct amb_duty_action read = {.type = AMB_DUTY_READ_INTENT, .intent = self->intents[i].record};
        struct amb_duty_event event = read_answer(world, &read);
        if (read.intent.id[0] && !event.intent.present) answer(world, request, &event);
    }
    for (uint32_t i = 0; i < WORLD_INTENTS; i++) {
        struct amb_duty_event event = {.type = AMB_DUTY_INTENT_CHANGED, .intent = world->service.intents[i]};
        if (event.intent.present) answer(world, request, &event);
    }
}

/* The action as a core would want it that lacks a mechanism. */
static struct amb_duty_action at_fault(const struct world *world, const struct amb_duty_action *wanted) {
    struct amb_duty_action action = *wanted;
    if (world->fault == MODEL_NO_DUTY_COMPARE && action.type == AMB_DUTY_COMMIT_INTENT)
        action.expected_revision = UINT64_MAX;
    if (world->fault == MODEL_NO_MEMBER_COMPARE && action.type == AMB_DUTY_COMMIT_RECORD)
        action.expected_member.member[0] = 0;
    if (world->fault == MODEL_REQUEST_NAME_PER_HOLDER && action.type == AMB_DUTY_CALL_CLOUD) {
        size_t length = strlen(action.intent.id);
        snprintf(action.intent.id + length, sizeof action.intent.id - length, "%llu",
                 (unsigned long long)action.fencing_token);
    }
    return action;
}

static void carry_out(struct world *world, uint32_t member, const struct amb_duty_action *wanted) {
    struct amb_duty_action faulty = at_fault(world, wanted);
    const struct amb_duty_action *action = &faulty;
    struct world_message request = {.kind = WORLD_TO_SERVICE,
                                    .member = member,
                                    .incarnation = world->members[member].incarnation,
                                    .action = *action};
    struct amb_duty_event event;
    switch (action->type) {
    case AMB_DUTY_STATE_CHANGED: break;
    case AMB_DUTY_LIST_INTENTS: list_intents(world, &request); break;
    case AMB_DUTY_REVOKE_LEASE: end_lease(world, action->lease); break;
    case AMB_DUTY_READ_MEMBER:
    case AMB_DUTY_READ_RECORD:
    case AMB_DUTY_READ_INTENT:
        event = read_answer(world, action);
        answer(world, &request, &event);
        break;
    default: {
        bool cloud = action->type == AMB_DUTY_CALL_CLOUD;
        struct world_message *message = add_message(world, cloud ? WORLD_TO_SEND : WORLD_TO_SERVICE, member);
        if (message) message->action = *action;
    }
    }
}

static void keep_highest(uint64_t call, uint64_t *highest) {
    if (call > *highest) *highest = call;
}

/* The highest number of a call of this member that anybody still knows of: later ones need only differ from
 * it. */
static uint64_t highest_call(const struct world *world, uint32_t member) {
    const struct world_member *self = &world->members[member];
    uint64_t highest = self->core.incarnation.call;
    keep_highest(self->core.incarnation.renewal, &highest);
    for (int i = 0; i < AMB_DUTY_COUNT; i++) keep_highest(self->core.duties[i].call, &highest);
    for (int i = 0; i < WORLD_INTENTS; i++) keep_highest(self->intents[i].call, &highest);
    for (uint32_t i = 0; i < world->nmessages; i++) {
        const struct world_message *message = &world->messages[i];
        if (message->member != member || message->incarnation != self->incarnation) continue;
        keep_highest(message->kind == WORLD_ANSWER ? message->answer.call : message->action.call, &highest);
    }
    return highest;
}

/* Numbers of calls, nonces and jitter follow from the state alone, so that the order of steps that don't
 * touch each other leaves no trace. A nonce is drawn when a lease was granted, and leases have numbers of
 * their own. */
static void forget_history(struct world *world, uint32_t member, const struct amb_duty_event *event) {
    struct world_member *self = &world->members[member];
    self->core.call_counter = highest_call(world, member);
    keep_highest(event->call, &self->core.call_counter);
    self->core.random_state = ((uint64_t)member << 48) + ((uint64_t)self->incarnation << 32) + event->lease;
}

static void serve(struct world *world, const struct world_message *request);

static bool concerns_incarnation(const struct world_message *message) {
    return message->kind == WORLD_TO_SERVICE &&
           (message->action.type == AMB_DUTY_EXTEND_LEASE || message->action.type == AMB_DUTY_GRANT_LEASE ||
            message->action.type == AMB_DUTY_PUT_MEMBER);
}

/* Serves one thing that the member has just asked for its lease or key, and takes the answer; false: there is
 * none. */
static bool serve_incarnation_at_once(struct world *world, uint32_t member, struct amb_duty_event *taken) {
    for (uint32_t i = world->nmessages; i-- > 0;) {
        struct world_message message = world->messages[i];
        if (message.member != member || !concerns_incarnation(&message)) continue;
        world_drop(world, i);
        serve(world, &message);
        *taken = world->messages[--world->nmessages].answer;
        return true;
    }
    return false;
}

static void feed(struct world *world, uint32_t member, struct amb_duty_event event) {
    struct world_member *self = &world->members[member];
    struct amb_duty_output out;
    self->core.intents.entries = self->intents;
    event.now = world_member_clock(world, member);
    do {
        if (world->repeatable_random) forget_history(world, member, &event);
        amb_duty_core_step(&self->core, &event, &out);
        for (uint32_t i = 0; i < out.count; i++) carry_out(world, member, &out.actions[i]);
        event = (struct amb_duty_event){.type = AMB_DUTY_TICK, .now = event.now};
    } while (out.more);
    if (world->repeatable_random) self->core.call_counter = self->core.random_state = 0;
}

void world_step(struct world *world, uint32_t member, struct amb_duty_event event) {
    feed(world, member, event);
    while (world->instant_incarnations && serve_incarnation_at_once(world, member, &event))
        feed(world, member, event);
    world_check(world);
}

void world_tick(struct world *world, uint32_t member) {
    world->members[member].ticked_at = world_member_clock(world, member);
    world_step(world, member, (struct amb_duty_event){.type = AMB_DUTY_TICK});
}

/* ---- news ---- */

static void keep_earliest(uint64_t revision, uint64_t after, uint64_t *best, bool *better) {
    *better = revision > after && (!*best || revision < *best);
    if (*better) *best = revision;
}

/* The first change after the revision; the revision, or 0 if there is none. */
static uint64_t next_change(const struct world *world, uint64_t after, struct amb_duty_event *event) {
    const struct world_service *service = &world->service;
    uint64_t best = 0;
    bool better;
    for (uint32_t i = 0; i < world->nmembers; i++) {
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
    for (uint32_t i = 0; i < WORLD_INTENTS; i++) {
        keep_earliest(service->intents[i].revision, after, &best, &better);
        if (better)
            *event = (struct amb_duty_event){.type = AMB_DUTY_INTENT_CHANGED, .intent = service->intents[i]};
    }
    return best;
}

bool world_has_news(const struct world *world, uint32_t member) {
    struct amb_duty_event event;
    return world->members[member].running && next_change(world, world->members[member].news, &event);
}

bool world_news(struct world *world, uint32_t member) {
    struct amb_duty_event event;
    uint64_t revision = next_change(world, world->members[member].news, &event);
    if (!revision) return false;
    world->members[member].news = revision;
    world_step(world, member, event);
    return true;
}

/* ---- the state service ---- */

static struct world_lease *find_lease(struct world *world, uint64_t id) {
    for (int i = 0; i < WORLD_LEASES; i++)
        if (id && world->service.leases[i].id == id) return &world->service.leases[i];
    return NULL;
}

static void end_lease(struct world *world, uint64_t id) {
    struct world_service *service = &world->service;
    struct world_lease *lease = find_lease(world, id);
    if (!lease) return;
    memset(lease, 0, sizeof *lease);
    for (uint32_t i = 0; i < world->nmembers; i++) {
        if (service->member_lease[i] != id) continue;
        service->member_lease[i] = 0;
        service->members[i].present = false;
        service->members[i].revision = ++service->revision;
    }
}

amb_ms world_next_expiry(const struct world *world) {
    amb_ms next = INT64_MAX;
    for (int i = 0; i < WORLD_LEASES; i++) {
        const struct world_lease *lease = &world->service.leases[i];
        if (lease->id && lease->ends < next) next = lease->ends;
    }
    return next;
}

bool world_expire(struct world *world) {
    amb_ms next = world_next_expiry(world);
    if (next > world_service_clock(world)) return false;
    for (int i = 0; i < WORLD_LEASES; i++) {
        const struct world_lease *lease = &world->service.leases[i];
        if (!lease->id || lease->ends != next) continue;
        end_lease(world, lease->id);
        world_check(world);
        return true;
    }
    return false;
}

static struct amb_duty_event grant(struct world *world, amb_ms ttl) {
    struct world_service *service = &world->service;
    for (int i = 0; i < WORLD_LEASES; i++) {
        if (service->leases[i].id) continue;
        service->leases[i].id = ++service->leases_granted;
        service->leases[i].ends = world_service_clock(world) + ttl;
        return (struct amb_duty_event){
            .type = AMB_DUTY_LEASE_GRANTED, .result = AMB_CALL_OK, .lease = service->leases[i].id};
    }
    return (struct amb_duty_event){.type = AMB_DUTY_LEASE_GRANTED, .result = AMB_CALL_REFUSED};
}

static bool put_member(struct world *world, uint32_t member, const struct amb_duty_action *action,
                       enum amb_call_result *result) {
    struct world_service *service = &world->service;
    struct amb_duty_member_record *key = &service->members[member];
    if (!find_lease(world, action->lease)) {
        *result = AMB_CALL_REFUSED;
        return false;
    }
    if ((key->present ? key->revision : 0) != action->expected_revision) return false;
    *key = action->member;
    key->revision = ++service->revision;
    service->member_lease[member] = action->lease;
    return true;
}

static uint64_t member_revision(const struct world *world, const char *name) {
    const struct amb_duty_member_record *key = &world->service.members[member_index(name)];
    return key->present ? key->revision : 0;
}

static bool put_record(struct world *world, uint32_t member, const struct amb_duty_action *action) {
    struct world_service *service = &world->service;
    struct amb_duty_record *record = &service->duties[action->duty];
    char self[AMB_NAME_SIZE];
    member_name(member, self);
    if ((record->present ? record->revision : 0) != action->expected_revision) return false;
    if (action->expected_incarnation && member_revision(world, self) != action->expected_incarnation)
        return false;
    if (action->expected_member.member[0] &&
        member_revision(world, action->expected_member.member) != action->expected_member.revision)
        return false;
    bool claims = action->record.state == AMB_DUTY_RECORD_HELD;
    if (action->record.fencing_token < record->fencing_token) violate(world, "a token fell");
    if (claims && action->record.fencing_token == record->fencing_token)
        violate(world, "a claim did not raise the token");
    world->claims += claims;
    *record = action->record;
    record->revision = ++service->revision;
    return true;
}

/* Is the record of the duty this member's, under this token? */
static bool holds(const struct world *world, uint32_t member, enum amb_duty_name duty) {
    const struct amb_duty_record *record = &world->service.duties[duty];
    return record->present && record->state == AMB_DUTY_RECORD_HELD && member_index(record->holder) == member;
}

static bool put_intent(struct world *world, uint32_t member, const struct amb_duty_action *action) {
    struct world_service *service = &world->service;
    const struct amb_duty_record *duty = &service->duties[action->duty];
    struct amb_duty_intent_record *intent =
        (struct amb_duty_intent_record *)find_intent(world, action->intent.duty, action->intent.id);
    if (!intent || !intent->present || intent->revision != action->intent.revision) return false;
    if (action->expected_revision != UINT64_MAX && duty->revision != action->expected_revision) return false;
    if (!holds(world, member, action->duty))
        violate(world, "an order was written by another than the holder");
    bool removes = action->type == AMB_DUTY_REMOVE_INTENT;
    if (!removes && action->intent.fencing_token != duty->fencing_token)
        violate(world, "an order was written under a stale token");
    if (removes && intent->state != AMB_DUTY_INTENT_SETTLED) violate(world, "an open order was removed");
    if (intent->state == AMB_DUTY_INTENT_SETTLED && !removes) violate(world, "a settled order was changed");
    if (removes)
        intent->present = false;
    else
        *intent = action->intent;
    intent->revision = ++service->revision;
    return true;
}

static void serve(struct world *world, const struct world_message *request) {
    const struct amb_duty_action *action = &request->action;
    struct amb_duty_event event = {.type = AMB_DUTY_COMMITTED, .result = AMB_CALL_CONFLICT};
    struct world_lease *lease;
    bool done = false;
    switch (action->type) {
    case AMB_DUTY_GRANT_LEASE: event = grant(world, world->members[request->member].core.settings.ttl); break;
    case AMB_DUTY_EXTEND_LEASE:
        event.type = AMB_DUTY_LEASE_EXTENDED;
        lease = find_lease(world, action->lease);
        event.result = lease ? AMB_CALL_OK : AMB_CALL_NOT_FOUND;
        if (lease)
            lease->ends = world_service_clock(world) + world->members[request->member].core.settings.ttl;
        break;
    case AMB_DUTY_PUT_MEMBER: done = put_member(world, request->member, action, &event.result); break;
    case AMB_DUTY_COMMIT_RECORD: done = put_record(world, request->member, action); break;
    default: done = put_intent(world, request->member, action);
    }
    if (done) {
        event.result = AMB_CALL_OK;
        event.revision = world->service.revision;
    }
    event.call = action->call;
    event.duty = action->duty;
    answer(world, request, &event);
}

/* ---- the cloud ---- */

/* The order that a call is for. A faulty core may give it another name, of which the order's is the
 * beginning. */
static uint32_t called_intent(const struct world *world, const struct amb_duty_action *action) {
    for (uint32_t i = 0; i < WORLD_INTENTS; i++) {
        const char *id = world->service.intents[i].id;
        if (id[0] && !strncmp(id, action->intent.id, strlen(id)) &&
            world->service.intents[i].duty == action->duty)
            return i;
    }
    return WORLD_INTENTS;
}

static enum amb_duty_cloud_answer rent(struct world *world, const struct amb_duty_action *action,
                                       bool refuse) {
    uint32_t place = called_intent(world, action);
    if (place == WORLD_INTENTS) { /* its record was removed: see world_check_quiet */
        if (!refuse) violate(world, "machines were rented for an order that is forgotten");
        return AMB_DUTY_CLOUD_NO_CAPACITY;
    }
    struct world_effect *effect = &world->effects[place];
    if (effect->rented && !strcmp(effect->charter, action->intent.id)) return AMB_DUTY_CLOUD_DONE;
    if (refuse) return AMB_DUTY_CLOUD_NO_CAPACITY;
    strcpy(effect->charter, action->intent.id);
    if (++effect->rented > 1) violate(world, "machines were rented twice for one order");
    return AMB_DUTY_CLOUD_DONE;
}

static enum amb_duty_cloud_answer take_back(struct world *world, const struct amb_duty_action *action) {
    uint32_t place = called_intent(world, action);
    if (place == WORLD_INTENTS) return AMB_DUTY_CLOUD_DONE;
    struct world_effect *effect = &world->effects[place];
    const struct amb_duty_intent_record *intent = &world->service.intents[place];
    if (!effect->machine) return AMB_DUTY_CLOUD_DONE;
    if (effect->placed) violate(world, "a machine in use was returned");
    if (!intent->present || intent->state != AMB_DUTY_INTENT_SENT)
        violate(world, "a machine was returned that was not marked");
    effect->machine = false;
    return AMB_DUTY_CLOUD_DONE;
}

static void call(struct world *world, const struct world_message *request, bool refuse) {
    const struct amb_duty_action *action = &request->action;
    struct amb_duty_event event = {
        .type = AMB_DUTY_CLOUD_ANSWERED, .call = action->call, .duty = action->duty};
    uint64_t *fencing_token = &world->cloud_fencing_token[action->duty];
    if (action->fencing_token < *fencing_token) {
        event.answer = AMB_DUTY_CLOUD_FENCED;
        world->fenced_calls++;
    } else {
        *fencing_token = action->fencing_token;
        event.answer = action->duty == AMB_DUTY_RENT ? rent(world, action, refuse) : take_back(world, action);
    }
    answer(world, request, &event);
}

/* What the wiring does: the right is looked at immediately before the call is sent. */
static void send_call(struct world *world, struct world_message *message) {
    const struct amb_duty_core *core = &world->members[message->member].core;
    const struct amb_duty_action *action = &message->action;
    if (world->fault == MODEL_NO_CLOCK_CHECK ||
        amb_duty_may_send(core, action, world_member_clock(world, message->member))) {
        if (action->fencing_token != world->service.duties[action->duty].fencing_token)
            violate(world, "an order was sent under a stale token");
        struct world_message *sent = add_message(world, WORLD_TO_CLOUD, message->member);
        if (sent) sent->action = *action;
        return;
    }
    struct amb_duty_event event = {.type = AMB_DUTY_CLOUD_ANSWERED,
                                   .call = action->call,
                                   .duty = action->duty,
                                   .answer = AMB_DUTY_CLOUD_NOT_SENT};
    answer(world, message, &event);
}

/* ---- messages ---- */

void world_deliver(struct world *world, uint32_t index, bool keep, bool refuse) {
    struct world_message message = world->messages[index];
    if (!keep) world_drop(world, index);
    switch (message.kind) {
    case WORLD_TO_SERVICE: serve(world, &message); break;
    case WORLD_TO_SEND: send_call(world, &message); break;
    case WORLD_TO_CLOUD: call(world, &message, refuse); break;
    case WORLD_ANSWER: world_step(world, message.member, message.answer); break;
    case WORLD_FREE: break;
    }
    world_check(world);
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

void world_give_up(struct world *world, uint32_t index) {
    struct world_message *message = &world->messages[index];
    if (message->kind == WORLD_ANSWER) {
        struct amb_duty_event *event = &message->answer;
        event->result = AMB_CALL_NO_ANSWER;
        event->answer = AMB_DUTY_CLOUD_NO_ANSWER;
        event->lease = event->revision = 0;
        return;
    }
    struct amb_duty_event event = no_answer(&message->action);
    answer(world, message, &event);
    message->given_up = true;
}

/* ---- the leader ---- */

/* Names are never used again. */
bool world_create_intent(struct world *world, uint32_t place, enum amb_duty_name duty) {
    struct world_service *service = &world->service;
    struct amb_duty_intent_record *intent = &service->intents[place];
    struct world_effect *effect = &world->effects[place];
    if (intent->present) return false;
    memset(intent, 0, sizeof *intent);
    memset(effect, 0, sizeof *effect);
    effect->machine = duty != AMB_DUTY_RENT;
    intent->present = true;
    intent->duty = duty;
    snprintf(intent->id, sizeof intent->id, "o-%llu.", (unsigned long long)++world->intents_made);
    intent->revision = ++service->revision;
    return true;
}

bool world_withdraw(struct world *world, uint32_t place) {
    struct amb_duty_intent_record *intent = &world->service.intents[place];
    if (!intent->present || intent->withdrawn || intent->state == AMB_DUTY_INTENT_SETTLED) return false;
    intent->withdrawn = true;
    intent->revision = ++world->service.revision;
    return true;
}

/* Work is placed on a machine only if no order marks it as leaving. */
bool world_place(struct world *world, uint32_t place) {
    const struct amb_duty_intent_record *intent = &world->service.intents[place];
    bool marked = intent->present && intent->result != AMB_DUTY_RESULT_VOID &&
                  world->fault != MODEL_LEAVING_MARK_IGNORED;
    if (marked || !intent->id[0] || intent->duty == AMB_DUTY_RENT || world->effects[place].placed)
        return false;
    world->effects[place].placed = true;
    return true;
}

/* ---- rules ---- */

void world_check(struct world *world) {
    for (uint32_t i = 0; i < world->nmembers; i++) {
        if (!world->members[i].running) continue;
        for (int duty = 0; duty < AMB_DUTY_COUNT; duty++) {
            const struct amb_duty_core *core = &world->members[i].core;
            const struct amb_duty_record *record = &world->service.duties[duty];
            if (!amb_duty_may_call(core, (enum amb_duty_name)duty, world_member_clock(world, i))) continue;
            /* As the record names one holder, no two members can have the right at a time. */
            if (!holds(world, i, (enum amb_duty_name)duty) ||
                record->holder_incarnation != core->incarnation.revision)
                violate(world, "a member relies on a right that the state service does not know of");
        }
    }
}

void world_check_quiet(struct world *world) {
    const struct world_service *service = &world->service;
    const struct amb_duty_settings *settings = NULL;
    for (uint32_t i = 0; i < world->nmembers; i++)
        if (world->members[i].running) settings = &world->members[i].core.settings;
    if (!settings) return;
    for (int duty = 0; duty < AMB_DUTY_COUNT; duty++) {
        const struct amb_duty_record *record = &service->duties[duty];
        if (!settings->enabled[duty]) continue;
        if (!record->present || record->state != AMB_DUTY_RECORD_HELD ||
            !world->members[member_index(record->holder)].running)
            violate(world, "a duty has no holder though all is quiet");
    }
    for (uint32_t i = 0; i < WORLD_INTENTS; i++) {
        const struct amb_duty_intent_record *intent = &service->intents[i];
        const struct world_effect *effect = &world->effects[i];
        if (!intent->id[0] || !settings->enabled[intent->duty]) continue;
        if (intent->present && intent->state != AMB_DUTY_INTENT_SETTLED)
            violate(world, "an order is left open though all is quiet");
        bool known = intent->result == AMB_DUTY_RESULT_DONE || intent->unanswered;
        if (effect->rented && !known) violate(world, "machines were rented that no record tells of");
        bool returned = intent->result == AMB_DUTY_RESULT_DONE || intent->result == AMB_DUTY_RESULT_GONE;
        if (intent->duty != AMB_DUTY_RENT && returned && effect->machine)
            violate(world, "a machine is settled as returned and is not");
    }
}

/* All that is on its way arrives, in its order, and everybody hears of everything. */
static void settle_messages(struct world *world) {
    for (bool more = true; more && !world->violation;) {
        more = false;
        while (world->nmessages && !world->violation) {
            world_deliver(world, 0, false, false);
            more = true;
        }
        for (uint32_t i = 0; i < world->nmembers; i++)
            while (world->members[i].running && !world->violation && world_news(world, i)) more = true;
    }
}

void world_quiet_down(struct world *world, amb_ms step, amb_ms longest) {
    for (amb_ms end = world->now + longest; world->now < end && !world->violation; world->now += step) {
        while (world_expire(world)) continue;
        settle_messages(world);
        for (uint32_t i = 0; i < world->nmembers && !world->violation; i++)
            if (world->members[i].running) world_tick(world, i);
        settle_messages(world);
    }
    if (!world->violation) world_check_quiet(world);
}
