/* Requests and answers on their way: the library's HTTP, simulated. */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct asked { /* what a request that a node holds refers to; its user may have given up meanwhile */
    struct sim_call *call;
    uint64_t serial;
};

static void call_free(struct sim_call *call) {
    amb_timer_stop(&call->delivery_timer);
    amb_timer_stop(&call->reply_timer);
    amb_timer_stop(&call->timeout_timer);
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

static bool asker_lives(const struct sim_call *call) {
    return call->from < 0 ||
           (world.nodes[call->from].alive && world.nodes[call->from].incarnation == call->incarnation);
}

/* Runs the asker's code. */
static void tell_asker(struct sim_call *call) {
    if (call->on_done) {
        int keep = sim_switch_to(call->from);
        call->on_done(call->arg, call->status, call->answer.data, call->answer.len);
        sim_switch_to(keep);
    } else if (call->on_reply) {
        call->on_reply(call);
    }
}

/* A node that stands still hears nothing; as it goes on, what fell due meanwhile comes first, then what came.
 */
static bool wait_for_thaw(int node, struct amb_timer *timer, amb_ms after, void (*fn)(void *arg), void *arg) {
    amb_ms thaws_at = sim_thaws_at(node);
    if (!thaws_at) return false;
    amb_timer_set(timer, thaws_at + after, fn, arg);
    return true;
}

static void call_deadline(void *arg) {
    struct sim_call *call = arg;
    if (wait_for_thaw(call->from, &call->timeout_timer, 0, call_deadline, call)) return;
    call->given_up = true;
    if (!asker_lives(call)) return;
    int status = call->status;
    struct amb_buf answer = call->answer;
    call->status = 0;
    call->answer = (struct amb_buf){0};
    tell_asker(call);
    call->status = status;
    call->answer = answer;
    if (call->answered || !call->delivery_timer.position) call_free(call);
}

static bool answer_is_lost(const struct sim_call *call) {
    if (call->destination != SIM_TO_STORE && call->destination != SIM_TO_CLOUD) return false;
    return sim_fault_active(SIM_LOSE_RESPONSES, -1) && sim_random() % 3 == 0;
}

static bool machine_hears(const struct sim_call *call) {
    if (call->from_machine < 0 || call->destination != SIM_TO_API) return true;
    return !sim_fault_active(SIM_LOSE_HEARTBEAT_REPLIES, call->from_machine) &&
           !world.machines[call->from_machine].dead;
}

static void call_back(void *arg) {
    struct sim_call *call = arg;
    if (wait_for_thaw(call->from, &call->reply_timer, 1, call_back, call)) return;
    bool lost = answer_is_lost(call) || call->unanswered;
    bool heard = sim_passes(call) && !call->given_up && asker_lives(call) && machine_hears(call) && !lost;
    if (heard) {
        if (call->destination == SIM_TO_PEER && sim_on_peer_message) sim_on_peer_message(call);
        amb_timer_stop(&call->timeout_timer);
        tell_asker(call);
        call_free(call);
    } else if (call->given_up || !asker_lives(call)) {
        call_free(call);
    } /* else the deadline tells the asker */
}

static amb_ms travel_time(const struct sim_call *call) {
    if (call->destination == SIM_TO_STORE && sim_fault_active(SIM_SLOW_STORE, -1))
        return sim_random_between(50, 1000);
    if (sim_fault_active(SIM_SLOW_LINKS, -1)) return sim_random_between(20, 300);
    return sim_random_between(1, 4);
}

void sim_call_answer(struct sim_call *call, int status, struct amb_buf *body) {
    call->status = status;
    if (body) call->answer = *body;
    call->answered = true;
    call->answered_at = world.now;
    sim_digest_answer(call);
    int keep = sim_switch_to(-1);
    amb_timer_set_after(&call->reply_timer, travel_time(call), call_back, call);
    sim_switch_to(keep);
}

static struct amb_http_req *request_of(struct sim_call *call) {
    struct amb_http_req *request = amb_alloc(sizeof *request);
    struct asked *asked = amb_alloc(sizeof *asked);
    *asked = (struct asked){call, call->serial};
    request->connection = (struct amb_http_connection *)asked;
    memcpy(request->method, call->method, sizeof call->method);
    memcpy(request->path, call->path, sizeof call->path);
    request->body = amb_alloc(call->len + 1);
    if (call->len) memcpy(request->body, call->body, call->len);
    request->body_len = call->len;
    return request;
}

static void serve_node(struct sim_call *call) {
    struct sim_node *node = &world.nodes[call->node];
    const struct sim_server *server = call->destination == SIM_TO_API ? &node->front : &node->back;
    if (!node->alive || !server->handler) {
        if (call->on_reply || call->on_done) sim_call_answer(call, 0, NULL); /* refused */
        return;
    }
    if (call->len > server->body_most) {
        sim_report_violation("a request of a node, worker or user is too large for %s", call->path);
        sim_call_answer(call, 413, NULL);
        return;
    }
    int keep = sim_switch_to(call->node);
    server->handler(server->arg, request_of(call));
    sim_switch_to(keep);
}

void amb_http_reply(struct amb_http_req *request, int status, const char *type, const void *body, size_t len,
                    int retry) {
    struct asked *asked = (struct asked *)request->connection;
    struct sim_call *call = asked->call;
    struct amb_buf buffer = {0};
    sim_digest_reply(call, status, type, retry);
    sim_check_reply(&world.nodes[world.current], request, status, retry);
    /* Without the serial a late answer went to whoever's call had taken the place since. */
    if (call->used && call->serial == asked->serial && !call->answered) {
        if (len) amb_buf_append(&buffer, body, len);
        sim_call_answer(call, status, &buffer);
    }
    free(asked);
    free(request->body);
    free(request);
}

/* How long the network or the other side holds it up, once; 0: not at all. */
static amb_ms hold_up(struct sim_call *call) {
    bool write = call->destination == SIM_TO_STORE && !strncmp(call->path, "/commit", 7);
    bool command = call->destination == SIM_TO_AGENT && !strcmp(call->path, "/commands");
    if (call->held || call->given_up) return 0;
    call->held = true;
    if (write && sim_fault_strikes(SIM_LATE_WRITES)) {
        call->unanswered = true;
        return sim_random_between(2000, 12000);
    }
    if (command && sim_fault_strikes(SIM_LATE_COMMANDS)) {
        call->unanswered = true;
        return sim_random_between(2000, 16000);
    }
    if (write && sim_fault_strikes(SIM_UNANSWERED_WRITES)) call->unanswered = true;
    bool returns = call->destination == SIM_TO_CLOUD && !strcmp(call->path, "/machines/release");
    if (returns && sim_fault_strikes(SIM_LATE_RETURNS)) {
        call->unanswered = true;
        return sim_random_between(3000, 15000);
    }
    return 0;
}

static bool is_late(const struct sim_call *call) {
    if (call->destination != SIM_TO_STORE && call->destination != SIM_TO_CLOUD) return false;
    return sim_fault_active(SIM_LATE_REQUESTS, -1) && !call->given_up && strcmp(call->method, "GET") &&
           sim_random() % 4 == 0;
}

void sim_call_deliver(void *arg) {
    struct sim_call *call = arg;
    if (!sim_passes(call)) {
        if (call->given_up || !asker_lives(call)) call_free(call);
        return;
    }
    if (is_late(call)) {
        amb_timer_set_after(&call->delivery_timer, sim_random_between(2000, 15000), sim_call_deliver, call);
        return;
    }
    bool to_node = call->destination == SIM_TO_API || call->destination == SIM_TO_PEER;
    if (to_node && wait_for_thaw(call->node, &call->delivery_timer, 1, sim_call_deliver, call)) return;
    amb_ms held = hold_up(call);
    if (held) {
        amb_timer_set_after(&call->delivery_timer, held, sim_call_deliver, call);
        return;
    }
    switch (call->destination) {
    case SIM_TO_STORE: sim_serve_store(call); break;
    case SIM_TO_CLOUD: sim_serve_cloud(call); break;
    case SIM_TO_AGENT: sim_serve_agent(call); break;
    default: serve_node(call);
    }
}

void sim_call_start(struct sim_call *call, amb_ms timeout) {
    sim_digest_request(call, timeout);
    int keep = sim_switch_to(-1); /* what is under way outlives the node that sent it */
    amb_timer_set_after(&call->delivery_timer, travel_time(call), sim_call_deliver, call);
    amb_timer_set_after(&call->timeout_timer, timeout, call_deadline, call);
    sim_switch_to(keep);
}

void sim_machine_address(int index, char out[AMB_NAME_SIZE]) {
    snprintf(out, AMB_NAME_SIZE, "W%d:1", index);
}

static enum sim_destination place_of(const char *address) { /* as nodes.c and the machines name them */
    switch (address[0]) {
    case 'S': return SIM_TO_STORE;
    case 'C': return SIM_TO_CLOUD;
    case 'P': return SIM_TO_PEER;
    default: return SIM_TO_AGENT;
    }
}

struct amb_http_client_connection *amb_http_call(const char *addr, const char *method, const char *path,
                                                 const char *type, const void *body, size_t len,
                                                 amb_ms timeout_ms, amb_http_done on_done, void *arg) {
    struct sim_call *client = sim_call_new();
    (void)type;
    client->from = world.current;
    client->incarnation = world.nodes[world.current].incarnation;
    client->destination = place_of(addr);
    client->sent_at_revision = world.store.revision;
    client->returns_on_record = sim_returns_are_recorded();
    if (client->destination == SIM_TO_PEER) client->node = addr[1] - '0';
    if (client->destination == SIM_TO_AGENT) client->machine = (int)strtol(addr + 1, NULL, 10);
    snprintf(client->method, sizeof client->method, "%s", method);
    snprintf(client->path, sizeof client->path, "%s", path);
    client->body = amb_alloc(len + 1);
    if (len) memcpy(client->body, body, len);
    client->len = len;
    client->on_done = on_done;
    client->arg = arg;
    sim_call_start(client, timeout_ms);
    return NULL;
}

void amb_http_client_set_max_response_bytes(size_t bytes) {
    (void)bytes;
}

void amb_http_client_set_max_connections(int connections) {
    (void)connections;
}

struct amb_http_server *amb_server_open(const char *addr, int max_connections, size_t max_body_bytes,
                                        amb_ms idle, amb_http_handler handler, void *arg) {
    (void)max_connections, (void)idle;
    struct sim_node *node = &world.nodes[world.current];
    struct sim_server *server = addr[0] == 'F' ? &node->front : &node->back;
    *server = (struct sim_server){handler, arg, max_body_bytes};
    return (struct amb_http_server *)server;
}
