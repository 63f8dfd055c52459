/* Interprets commits and cloud calls, and logs them as events. */
#include "proof.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char MEMBER_PREFIX[] = "a/duty-member/", HANDOVER_PREFIX[] = "a/duty-handover/",
                  DUTY_PREFIX[] = "a/duty/", ORDER_PREFIX[] = "a/order/", RENTAL_PREFIX[] = "b/r/",
                  LEADER_KEY[] = "a/leader", LEADER_DUTY[] = "leader", RENT[] = "rent", RETURN[] = "return",
                  CLEANUP[] = "cleanup";
enum { DUTIES = 8, NO_NODE = -1 };

struct holder {
    char duty[16], name[PROOF_NAME];
    uint64_t token;
    bool released;
};

static struct holder holders[DUTIES];
static int holder_count;

static struct holder *holder_of(const char *duty) {
    for (int i = 0; i < holder_count; i++)
        if (!strcmp(holders[i].duty, duty)) return &holders[i];
    if (holder_count == DUTIES) abort();
    struct holder *holder = &holders[holder_count++];
    snprintf(holder->duty, sizeof holder->duty, "%s", duty);
    return holder;
}

static int node_named(const char *name) { /* as controllers.c names them */
    return name[0] == 'n' ? (int)strtol(name + 1, NULL, 10) : NO_NODE;
}

const char *proof_holder(int *node) {
    if (!holder_count) return NULL;
    struct holder *holder = &holders[sim_random() % (uint64_t)holder_count];
    *node = node_named(holder->name);
    return holder->released || *node < 0 ? NULL : holder->duty;
}

int proof_leader(void) {
    return node_named(holder_of(LEADER_DUTY)->name);
}

static void note_holder(const char *duty, const char *name, uint64_t token, bool released) {
    struct holder *holder = holder_of(duty);
    struct proof_event event = {
        .type = released ? PROOF_RELEASED : PROOF_HOLDER, .token = token, .node = node_named(name)};
    snprintf(event.duty, sizeof event.duty, "%s", duty);
    snprintf(event.name, sizeof event.name, "%s", name);
    bool counts = !run.plan->duties || strcmp(duty, LEADER_DUTY);
    if (!released && holder->name[0] && strcmp(holder->name, name) && counts) run.handovers++;
    if (!released && counts && event.node >= 0) run.has_held[event.node % 2] = true;
    if (!released || !holder->released) proof_note(&event);
    snprintf(holder->name, sizeof holder->name, "%s", name);
    holder->token = token;
    holder->released = released;
}

static void take_duty_record(const char *key, const struct amb_cbor_item *value) {
    char name[PROOF_NAME] = "", state[16] = "";
    uint64_t token = 0;
    amb_cbor_copy_string(amb_cbor_map_get(value, "holder"), name, sizeof name);
    amb_cbor_copy_string(amb_cbor_map_get(value, "state"), state, sizeof state);
    amb_cbor_get_uint(amb_cbor_map_get(value, "token"), &token);
    note_holder(key + strlen(DUTY_PREFIX), name, token, !strcmp(state, "released"));
}

static void take_leader(const struct amb_cbor_item *value) {
    char name[PROOF_NAME] = "";
    amb_cbor_copy_string(amb_cbor_map_get(value, "member"), name, sizeof name);
    note_holder(LEADER_DUTY, name, world.store.revision, false);
}

/* Splits DUTY/ID. */
static void name_order(const char *key, struct proof_event *event) {
    const char *slash = strchr(key, '/');
    if (!slash) return;
    snprintf(event->duty, sizeof event->duty, "%.*s", (int)(slash - key), key);
    snprintf(event->name, sizeof event->name, "%s", slash + 1);
}

/* Logs a mark if the string is a machine's name. */
static void mark_machine(const struct amb_cbor_item *text, struct proof_event *event) {
    if (amb_cbor_copy_string(text, event->machine, sizeof event->machine) &&
        !strncmp(event->machine, "m-", 2))
        proof_note(event);
}

static void mark_list(const struct amb_cbor_item *value, struct proof_event *event) {
    mark_machine(value, event);
    for (size_t i = 0; i < amb_cbor_list_length(value); i++)
        mark_machine(amb_cbor_list_item(value, i), event);
}

/* Logs a mark for each machine that the order or one of its maps names. */
static void mark_machines(const struct amb_cbor_item *value, struct proof_event *event) {
    struct amb_cbor_cursor fields = amb_cbor_map_begin(value);
    while (amb_cbor_next(&fields)) {
        const struct amb_cbor_item *field = amb_cbor_next(&fields);
        struct amb_cbor_cursor inner_fields = amb_cbor_map_begin(field);
        mark_list(field, event);
        while (amb_cbor_next(&inner_fields)) mark_list(amb_cbor_next(&inner_fields), event);
    }
}

static void take_order(const char *key, const struct amb_cbor_item *value) {
    struct proof_event event = {.type = PROOF_ORDER, .node = NO_NODE};
    char result[16] = "";
    name_order(key + strlen(ORDER_PREFIX), &event);
    amb_cbor_copy_string(amb_cbor_map_get(value, "state"), event.state, sizeof event.state);
    amb_cbor_copy_string(amb_cbor_map_get(value, "result"), result, sizeof result);
    amb_cbor_get_uint(amb_cbor_map_get(value, "token"), &event.token);
    bool wanted = !strcmp(event.state, "wanted");
    if (!strcmp(event.state, "settled") && !strcmp(result, "void")) strcpy(event.state, "void");
    proof_note(&event);
    if (!wanted || (strcmp(event.duty, "return") && strcmp(event.duty, "reclaim"))) return;
    event.type = PROOF_MARK;
    mark_machines(value, &event);
}

static bool begins(const char *key, const char *prefix) {
    return !strncmp(key, prefix, strlen(prefix));
}

static void take_operation(const struct amb_cbor_item *operation) {
    char key[SIM_KEY_SIZE] = "";
    const struct amb_cbor_item *value = amb_cbor_map_get(operation, "value");
    if (amb_cbor_copy_string(amb_cbor_map_get(operation, "put"), key, sizeof key)) {
        if (begins(key, DUTY_PREFIX)) take_duty_record(key, value);
        if (begins(key, ORDER_PREFIX)) take_order(key, value);
        if (!strcmp(key, LEADER_KEY)) take_leader(value);
    } else if (amb_cbor_copy_string(amb_cbor_map_get(operation, "remove"), key, sizeof key) &&
               begins(key, ORDER_PREFIX)) {
        struct proof_event event = {.type = PROOF_ORDER_GONE, .node = NO_NODE};
        name_order(key + strlen(ORDER_PREFIX), &event);
        proof_note(&event);
    }
}

static void note_lease_ended(const char *duty, const char *name) {
    struct proof_event event = {.type = PROOF_LEASE_ENDED, .node = node_named(name)};
    snprintf(event.duty, sizeof event.duty, "%s", duty);
    snprintf(event.name, sizeof event.name, "%s", name);
    proof_note(&event);
}

/* Logs the ends of leases, which come without a transaction. A member's key that is written again belongs to
 * another incarnation. */
static void look_at_leases(void) {
    static int seen;
    for (; seen < world.store.change_count; seen++) {
        const struct sim_change *change = &world.store.changes[seen];
        if (begins(change->key, MEMBER_PREFIX))
            note_lease_ended("", change->key + strlen(MEMBER_PREFIX));
        else if (!strcmp(change->key, LEADER_KEY) && !change->value.len)
            note_lease_ended(LEADER_DUTY, holder_of(LEADER_DUTY)->name);
    }
}

void proof_witness_tick(void) {
    look_at_leases();
}

static void take_transaction(const struct sim_call *call, const struct amb_cbor_item *transaction) {
    const struct amb_cbor_item *operations = amb_cbor_map_get(transaction, "then");
    (void)call;
    look_at_leases();
    for (size_t i = 0; i < amb_cbor_list_length(operations); i++)
        take_operation(amb_cbor_list_item(operations, i));
}

static struct proof_moment moment_of(enum proof_step step, const char *duty, size_t len) {
    struct proof_moment moment = {.step = step};
    snprintf(moment.duty, sizeof moment.duty, "%.*s", (int)len, duty);
    return moment;
}

static struct proof_moment moment_of_order(const char *key, const struct amb_cbor_item *value) {
    const char *duty = key + strlen(ORDER_PREFIX);
    const struct amb_cbor_item *state = amb_cbor_map_get(value, "state");
    enum proof_step step = amb_cbor_equals(state, "wanted") ? PROOF_STEP_RECORDED
                           : amb_cbor_equals(state, "sent") ? PROOF_STEP_SENT
                                                            : PROOF_STEP_SETTLED;
    return moment_of(step, duty, strcspn(duty, "/"));
}

struct proof_moment proof_moment_of_commit(const struct amb_cbor_item *transaction) {
    const struct amb_cbor_item *operations = amb_cbor_map_get(transaction, "then");
    char key[SIM_KEY_SIZE] = "";
    for (size_t i = 0; i < amb_cbor_list_length(operations); i++) {
        const struct amb_cbor_item *operation = amb_cbor_list_item(operations, i);
        if (amb_cbor_copy_string(amb_cbor_map_get(operation, "put"), key, sizeof key)) {
            if (begins(key, ORDER_PREFIX)) return moment_of_order(key, amb_cbor_map_get(operation, "value"));
            if (begins(key, RENTAL_PREFIX)) return moment_of(PROOF_STEP_RECORDED, RENT, strlen(RENT));
        } else if (amb_cbor_copy_string(amb_cbor_map_get(operation, "remove"), key, sizeof key) &&
                   begins(key, RENTAL_PREFIX)) {
            return moment_of(PROOF_STEP_SETTLED, RENT, strlen(RENT));
        } else if (begins(key, ORDER_PREFIX)) { /* the record of `key`, read above, is removed */
            return moment_of(PROOF_STEP_SETTLED, CLEANUP, strlen(CLEANUP));
        }
    }
    return moment_of(PROOF_STEP_NONE, "", 0);
}

static bool puts_duty(const struct amb_cbor_item *transaction) {
    const struct amb_cbor_item *operations = amb_cbor_map_get(transaction, "then");
    char key[SIM_KEY_SIZE] = "";
    for (size_t i = 0; i < amb_cbor_list_length(operations); i++)
        if (amb_cbor_copy_string(amb_cbor_map_get(amb_cbor_list_item(operations, i), "put"), key,
                                 sizeof key) &&
            (begins(key, DUTY_PREFIX) || begins(key, HANDOVER_PREFIX)))
            return true;
    return false;
}

bool proof_is_of_handover(const struct sim_call *call) {
    static const char READ[] = "/store/";
    if (begins(call->path, READ)) {
        const char *key = call->path + strlen(READ);
        return begins(key, DUTY_PREFIX) || begins(key, MEMBER_PREFIX);
    }
    if (strcmp(call->path, "/commit") != 0) return false;
    const struct amb_cbor_item *body = amb_cbor_parse(call->body, call->len);
    return puts_duty(body);
}

/* ---- the cloud ---- */

struct cloud_order { /* an order that the cloud is carrying out */
    char duty[16], name[PROOF_NAME];
    uint64_t token;
    int rentals_before;
    bool there_before[SIM_MACHINES];
    uint32_t tasks[SIM_MACHINES];
};

static struct cloud_order order;

static uint32_t tasks_on(const struct sim_machine *machine) {
    uint32_t count = 0;
    for (uint32_t k = 0; k < machine->task_count; k++) count += sim_has_started(&machine->tasks[k]);
    return count;
}

static void read_order(const struct sim_call *call) {
    memset(&order, 0, sizeof order);
    const struct amb_cbor_item *body = amb_cbor_parse(call->body, call->len);
    amb_cbor_copy_string(amb_cbor_map_get(body, "duty"), order.duty, sizeof order.duty);
    amb_cbor_copy_string(amb_cbor_map_get(body, "charter"), order.name, sizeof order.name);
    amb_cbor_get_uint(amb_cbor_map_get(body, "baton"), &order.token);
    order.rentals_before = world.cloud.rental_count;
    for (int i = 0; i < world.machine_count; i++) {
        order.there_before[i] = world.machines[i].exists;
        order.tasks[i] = tasks_on(&world.machines[i]);
    }
}

static struct proof_event order_event(enum proof_event_type type, int node) {
    struct proof_event event = {.type = type, .token = order.token, .node = node};
    strcpy(event.duty, order.duty);
    strcpy(event.name, order.name);
    return event;
}

struct proof_moment proof_moment_of_cloud(const struct sim_call *call, enum proof_step step) {
    read_order(call);
    const char *duty = order.duty[0] ? order.duty : !strcmp(call->path, "/machines") ? RENT : RETURN;
    return moment_of(step, duty, strlen(duty));
}

void proof_cloud_comes(const struct sim_call *call) {
    if (strcmp(call->method, "POST") != 0) return;
    read_order(call);
    if (!run.plan->tokens) memset(world.cloud.tokens, 0, sizeof world.cloud.tokens);
}

static void note_rental(const struct sim_call *call) {
    struct proof_event event = order_event(PROOF_REPEATED, call->from);
    if (world.cloud.rental_count == order.rentals_before) {
        proof_note(&event);
        return;
    }
    const struct sim_rental *rental = &world.cloud.rentals[world.cloud.rental_count - 1];
    event.type = PROOF_RENTED;
    for (int i = 0; i < rental->count; i++) {
        strcpy(event.machine, world.machines[rental->first + i].name);
        proof_note(&event);
    }
}

static void note_returns(const struct sim_call *call) {
    struct proof_event event = order_event(PROOF_RETURNED, call->from);
    bool any = false;
    for (int i = 0; i < world.machine_count; i++) {
        const struct sim_machine *machine = &world.machines[i];
        if (!order.there_before[i] || machine->exists) continue;
        strcpy(event.machine, machine->name);
        event.tasks = order.tasks[i];
        event.silent = machine->dead || world.now - machine->lease_from > world.size->agent_lease_ms;
        proof_note(&event);
        any = true;
    }
    event = order_event(PROOF_REPEATED, call->from);
    if (!any) proof_note(&event);
}

void proof_cloud_done(struct sim_call *call, int status) {
    if (strcmp(call->method, "POST") != 0) return;
    struct proof_event stale = order_event(PROOF_STALE, call->from);
    if (status == 409) proof_note(&stale);
    if (status != 200) return;
    if (!strcmp(call->path, "/machines"))
        note_rental(call);
    else
        note_returns(call);
    struct proof_moment moment = proof_moment_of_cloud(call, PROOF_STEP_ACTED);
    call->unanswered |= proof_incident_at(&moment, call->from).unanswered;
}

/* ---- machines: the linker replaces the stand-in's sim_check_start by this wrapper, which calls it ---- */

/* NOLINTBEGIN(readability-identifier-naming): the linker gives the names */
void __real_sim_check_start(const struct sim_machine *machine, const struct sim_task *task);
void __wrap_sim_check_start(const struct sim_machine *machine, const struct sim_task *task);

void __wrap_sim_check_start(const struct sim_machine *machine, const struct sim_task *task) {
    struct proof_event event = {.type = PROOF_STARTED, .node = NO_NODE};
    strcpy(event.machine, machine->name);
    snprintf(event.name, sizeof event.name, "%.40s/%u", task->ref, task->index);
    proof_note(&event);
    __real_sim_check_start(machine, task);
}
/* NOLINTEND(readability-identifier-naming) */

void proof_witness_open(void) {
    sim_on_transaction = take_transaction;
}
