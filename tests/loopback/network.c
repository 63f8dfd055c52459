/* Network between real processes and the stand-in's models, in place of tests/standin/network.c. */
#include "proof.h"

#include "amberpin/http/http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    FORGET_MS = 70000, /* longer than any watch request waits */
    NOISE_ONE_IN = 60, /* of messages outside incidents: lost, late or doubled */
    LATE_LEAST_MS = 50,
    LATE_MOST_MS = 1500,
    SLOW_LEAST_MS = 1000,
    SLOW_MOST_MS = 4000,
};

static char machine_address[SIM_MACHINES][PROOF_ADDRESS];
static struct sim_call *serving; /* the call that a model is carrying out; NULL: none */

static void call_free(struct sim_call *call) {
    amb_timer_stop(&call->delivery_timer);
    amb_timer_stop(&call->reply_timer);
    amb_timer_stop(&call->timeout_timer);
    if (call->on_done == NULL && call->user && call->destination != SIM_TO_API)
        proof_leave_unanswered(call->user);
    free(call->body);
    amb_buf_free(&call->answer);
    memset(call, 0, sizeof *call);
}

struct sim_call *sim_call_new(void) {
    for (int index = 0; index < SIM_CALLS; index++) {
        world.last_call = (world.last_call + 1) % SIM_CALLS;
        struct sim_call *call = &world.calls[world.last_call];
        if (call->used) continue;
        call->used = true;
        call->serial = ++world.call_serial;
        call->from = call->from_machine = call->node = call->machine = -1;
        return call;
    }
    abort();
}

/* ---- to the controllers: reports and users' requests ---- */

static void front_answered(void *arg, int status, const char *body, size_t len) {
    struct sim_call *call = arg;
    call->status = status;
    if (len) amb_buf_append(&call->answer, body, len);
    call->answered = true;
    call->answered_at = amb_now();
    call->on_reply(call);
    call_free(call);
}

void sim_call_start(struct sim_call *call, amb_ms timeout) {
    amb_http_call(run.controllers[call->node].front, call->method, call->path, "application/cbor", call->body,
                  call->len, timeout, front_answered, call);
}

/* ---- from the controllers ---- */

static void forget(void *arg) {
    call_free(arg);
}

static void carry_out(struct sim_call *call) {
    serving = call;
    switch (call->destination) {
    case SIM_TO_STORE: sim_serve_store(call); break;
    case SIM_TO_CLOUD:
        proof_cloud_comes(call);
        sim_serve_cloud(call);
        break;
    default: sim_serve_agent(call);
    }
    serving = NULL;
}

void sim_call_answer(struct sim_call *call, int status, struct amb_buf *body) {
    struct amb_buf none = {0};
    if (call->answered) return;
    call->answered = true;
    call->status = status;
    if (call->destination == SIM_TO_CLOUD) proof_cloud_done(call, status);
    struct proof_request *request = call->user;
    call->user = NULL;
    if (!body) body = &none;
    if (request && call->unanswered)
        proof_leave_unanswered(request);
    else if (request)
        proof_reply(request, status, body->data, body->len);
    amb_buf_free(body);
    /* Freed from a timer, because the model that answers may still read the call. */
    amb_timer_stop(&call->delivery_timer);
    amb_timer_stop(&call->reply_timer);
    amb_timer_set_after(&call->timeout_timer, 0, forget, call);
}

void sim_call_deliver(void *arg) {
    struct sim_call *call = arg;
    struct proof_controller *controller = call->from < 0 ? NULL : &run.controllers[call->from];
    if (controller && call->destination == SIM_TO_STORE && amb_now() < controller->cut_until) {
        /* Delayed while the controller is cut off, and delivered after the sender's timeout. */
        call->unanswered = true;
        amb_timer_set(&call->delivery_timer, controller->cut_until + 1, sim_call_deliver, call);
        return;
    }
    carry_out(call);
}

/* Delivers a copy of the call later, without an answer. */
static void deliver_again(const struct sim_call *call) {
    struct sim_call *copy = sim_call_new();
    copy->destination = call->destination;
    copy->from = call->from;
    copy->machine = call->machine;
    memcpy(copy->method, call->method, sizeof copy->method);
    memcpy(copy->path, call->path, sizeof copy->path);
    copy->body = amb_alloc(call->len + 1);
    if (call->len) memcpy(copy->body, call->body, call->len);
    copy->len = call->len;
    copy->unanswered = true;
    amb_timer_set_after(&copy->timeout_timer, FORGET_MS, forget, copy);
    amb_timer_set_after(&copy->delivery_timer, sim_random_between(LATE_LEAST_MS, LATE_MOST_MS),
                        sim_call_deliver, copy);
}

/* From time to time, for some seconds, half of the orders to the cloud arrive late, whichever controller
 * sends them: also those of a new holder while its predecessor's are still in flight. */
static bool cloud_is_slow(void) {
    static amb_ms from, until;
    amb_ms now = world.now;
    if (now > until) {
        from = now + sim_random_between(SLOW_LEAST_MS, SLOW_MOST_MS);
        until = from + sim_random_between(SLOW_LEAST_MS, SLOW_MOST_MS);
    }
    return now >= from && sim_random() % 2;
}

static struct proof_treatment noise(const struct sim_call *call) {
    struct proof_treatment treatment = {0};
    bool orders_cloud = call->destination == SIM_TO_CLOUD && !strcmp(call->method, "POST");
    if (orders_cloud && world.now < run.cloud_held_until) {
        treatment.delay = run.cloud_held_until - world.now + sim_random_between(0, LATE_LEAST_MS);
        return treatment;
    }
    if (orders_cloud && !run.quiesced && !run.plan->calm && cloud_is_slow()) {
        treatment.delay = sim_random_between(LATE_LEAST_MS, SLOW_MOST_MS);
        return treatment;
    }
    if (run.quiesced || run.plan->calm || !strcmp(call->method, "GET") || sim_random() % NOISE_ONE_IN)
        return treatment;
    switch (sim_random() % 3) {
    case 0: treatment.unanswered = true; break;
    case 1: treatment.doubled = true; break;
    default: treatment.delay = sim_random_between(LATE_LEAST_MS, LATE_MOST_MS);
    }
    return treatment;
}

/* The step that an order is about to take with this call; PROOF_STEP_NONE: none. */
static struct proof_moment moment_before(const struct sim_call *call) {
    struct proof_moment none = {.step = PROOF_STEP_NONE};
    if (call->destination == SIM_TO_CLOUD)
        return strcmp(call->method, "POST") ? none : proof_moment_of_cloud(call, PROOF_STEP_ARRIVED);
    if (strcmp(call->path, "/commit")) return none;
    const struct amb_cbor_item *body = amb_cbor_parse(call->body, call->len);
    struct proof_moment moment = proof_moment_of_commit(body);
    if (moment.step != PROOF_STEP_SETTLED) return none;
    moment.step = PROOF_STEP_SETTLING;
    return moment;
}

static void deliver(struct sim_call *call) {
    struct proof_treatment treatment = noise(call);
    struct proof_moment moment = moment_before(call);
    if (moment.step) {
        struct proof_treatment struck = proof_incident_at(&moment, call->from);
        if (struck.unanswered || struck.doubled || struck.delay) treatment = struck;
    }
    if (treatment.doubled) deliver_again(call);
    if (treatment.unanswered || treatment.delay) call->unanswered = true;
    amb_timer_set_after(&call->timeout_timer, FORGET_MS, forget, call);
    if (treatment.delay)
        amb_timer_set_after(&call->delivery_timer, treatment.delay, sim_call_deliver, call);
    else
        sim_call_deliver(call);
}

static struct sim_call *call_of(struct proof_request *request, enum sim_destination to) {
    struct sim_call *call = sim_call_new();
    call->destination = to;
    call->user = request;
    memcpy(call->method, request->method, sizeof call->method - 1); /* known methods are not longer */
    snprintf(call->path, sizeof call->path, "%s", request->path);
    call->body = amb_alloc(request->len + 1);
    if (request->len) memcpy(call->body, request->body, request->len);
    call->len = request->len;
    return call;
}

static void on_state(void *arg, struct proof_request *request) {
    struct proof_controller *controller = arg;
    struct sim_call *call = call_of(request, SIM_TO_STORE);
    controller->usage.state_calls++;
    controller->usage.handover_calls += proof_is_of_handover(call);
    call->from = (int)(controller - run.controllers);
    deliver(call);
}

static void on_cloud(void *arg, struct proof_request *request) {
    struct proof_controller *controller = arg;
    struct sim_call *call = call_of(request, SIM_TO_CLOUD);
    controller->usage.cloud_calls++;
    call->from = (int)(controller - run.controllers);
    deliver(call);
}

static void on_worker(void *arg, struct proof_request *request) {
    struct sim_call *call = call_of(request, SIM_TO_AGENT);
    call->machine = (int)((char(*)[PROOF_ADDRESS])arg - machine_address);
    amb_timer_set_after(&call->timeout_timer, FORGET_MS, forget, call);
    carry_out(call);
}

void sim_machine_address(int index, char out[AMB_NAME_SIZE]) {
    char *address = machine_address[index];
    if (!address[0]) proof_serve(address, on_worker, machine_address + index);
    snprintf(out, AMB_NAME_SIZE, "%s", address);
}

/* Called when a transaction was carried out and is not answered yet. */
static void on_transaction(const struct sim_call *call, const struct amb_cbor_item *transaction) {
    struct proof_moment moment = proof_moment_of_commit(transaction);
    if (moment.step && serving == call)
        serving->unanswered |= proof_incident_at(&moment, call->from).unanswered;
}

static void (*witness)(const struct sim_call *call, const struct amb_cbor_item *transaction);

static void watch_transaction(const struct sim_call *call, const struct amb_cbor_item *transaction) {
    witness(call, transaction);
    on_transaction(call, transaction);
}

void proof_network_open(void) {
    for (int i = 0; i < run.plan->controllers; i++) {
        proof_serve(run.controllers[i].state, on_state, &run.controllers[i]);
        proof_serve(run.controllers[i].cloud, on_cloud, &run.controllers[i]);
    }
    proof_witness_open();
    witness = sim_on_transaction;
    sim_on_transaction = watch_transaction;
}
