/* Simulated delivery of requests and answers, in place of the library's HTTP. */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct pending_request { /* behind a request to a node; its sender may have timed out meanwhile */
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

static bool is_caller_alive(const struct sim_call *call) {
    return call->from < 0 ||
           (world.nodes[call->from].alive && world.nodes[call->from].incarnation == call->incarnation);
}

/* Runs the sender's callback. */
static void notify_caller(struct sim_call *call) {
    if (call->on_done) {
        int previous = sim_switch_to(call->from);
        call->on_done(call->arg, call->status, call->answer.data, call->answer.len);
        sim_switch_to(previous);
    } else if (call->on_reply) {
        call->on_reply(call);
    }
}

/* A paused node receives nothing. When it resumes, the timers that fell due run first, then messages arrive.
 */
static bool wait_for_resume(int node, struct amb_timer *timer, amb_ms after, void (*fn)(void *arg),
                            void *arg) {
    amb_ms resumes_at = sim_node_resumes_at(node);
    if (!resumes_at) return false;
    amb_timer_set(timer, resumes_at + after, fn, arg);
    return true;
}

static void call_timed_out(void *arg) {
    struct sim_call *call = arg;
    if (wait_for_resume(call->from, &call->timeout_timer, 0, call_timed_out, call)) return;
    call->timed_out = true;
    if (!is_caller_alive(call)) return;
    int status = call->status;
    struct amb_buf answer = call->answer;
    call->status = 0;
    call->answer = (struct amb_buf){0};
    notify_caller(call);
    call->status = status;
    call->answer = answer;
    if (call->answered || !call->delivery_timer.position) call_free(call);
}

static bool is_answer_lost(const struct sim_call *call) {
    if (call->destination != SIM_TO_STORE && call->destination != SIM_TO_CLOUD) return false;
    return sim_fault_active(SIM_LOSE_RESPONSES, -1) && sim_random() % 3 == 0;
}

static bool is_machine_receiving(const struct sim_call *call) {
    if (call->from_machine < 0 || call->destination != SIM_TO_API) return true;
    return !sim_fault_active(SIM_LOSE_HEARTBEAT_REPLIES, call->from_machine) &&
           !world.machines[call->from_machine].dead;
}

static void deliver_answer(void *arg) {
    struct sim_call *call = arg;
    if (wait_for_resume(call->from, &call->reply_timer, 1, deliver_answer, call)) return;
    bool lost = is_answer_lost(call) || call->unanswered;
    bool is_received = sim_link_is_open(call) && !call->timed_out && is_caller_alive(call) &&
                       is_machine_receiving(call) && !lost;
    if (is_received) {
        if (call->destination == SIM_TO_PEER && sim_on_peer_message) sim_on_peer_message(call);
        amb_timer_stop(&call->timeout_timer);
        notify_caller(call);
        call_free(call);
    } else if (call->timed_out || !is_caller_alive(call)) {
        call_free(call);
    } /* else the timeout notifies the caller */
}

static bool is_change_read(const struct sim_call *call) {
    return call->destination == SIM_TO_STORE && !strncmp(call->path, "/follow", strlen("/follow"));
}

static bool is_refused_by_peer(const struct sim_call *call) {
    return call->destination == SIM_TO_PEER &&
           (sim_fault_active(SIM_REFUSE_PEERS, call->from) || sim_fault_active(SIM_REFUSE_PEERS, call->node));
}

static amb_ms draw_latency(const struct sim_call *call) {
    if (call->destination == SIM_TO_STORE && sim_fault_active(SIM_SLOW_STORE, -1))
        return sim_random_between(50, 1000);
    if (sim_fault_active(SIM_SLOW_LINKS, -1)) return sim_random_between(20, 300);
    return sim_random_between(1, 4);
}

static amb_ms answer_latency(const struct sim_call *call) {
    enum { SLOW_CHANGES_MS = 400 };
    bool is_slow = is_change_read(call) && sim_fault_active(SIM_SLOW_CHANGES, call->from);
    return draw_latency(call) + (is_slow ? SLOW_CHANGES_MS : 0);
}

void sim_call_answer(struct sim_call *call, int status, struct amb_buf *body) {
    call->status = status;
    if (body) call->answer = *body;
    call->answered = true;
    call->answered_at = world.now;
    call->answered_by_production = call->node >= 0 && world.nodes[call->node].production;
    sim_digest_answer(call);
    int previous = sim_switch_to(-1);
    amb_timer_set_after(&call->reply_timer, answer_latency(call), deliver_answer, call);
    sim_switch_to(previous);
}

static struct amb_http_req *request_of(struct sim_call *call) {
    struct amb_http_req *request = amb_alloc(sizeof *request);
    struct pending_request *pending_request = amb_alloc(sizeof *pending_request);
    *pending_request = (struct pending_request){call, call->serial};
    request->connection = (struct amb_http_connection *)pending_request;
    memcpy(request->method, call->method, sizeof call->method);
    memcpy(request->path, call->path, sizeof call->path);
    request->body = amb_alloc(call->len + 1);
    if (call->len) memcpy(request->body, call->body, call->len);
    request->body_len = call->len;
    return request;
}

static void serve_node(struct sim_call *call) {
    struct sim_node *node = &world.nodes[call->node];
    const struct sim_server *server =
        call->destination == SIM_TO_API ? &node->api_server : &node->peer_server;
    if (!node->alive || !server->handler || is_refused_by_peer(call)) {
        if (call->on_reply || call->on_done) sim_call_answer(call, 0, NULL); /* connection refused */
        return;
    }
    if (call->len > server->max_body_bytes) {
        sim_report_violation("a request of a node, worker or user is too large for %s", call->path);
        sim_call_answer(call, 413, NULL);
        return;
    }
    int previous = sim_switch_to(call->node);
    struct amb_http_req *request = request_of(call);
    char *body = request->body;
    server->handler(server->arg, request);
    free(body); /* as the server does */
    sim_switch_to(previous);
}

void amb_http_reply(struct amb_http_req *request, int status, const char *type, const void *body, size_t len,
                    int retry) {
    struct pending_request *pending_request = (struct pending_request *)request->connection;
    struct sim_call *call = pending_request->call;
    struct amb_buf buffer = {0};
    sim_digest_reply(call, status, type, retry);
    sim_check_reply(&world.nodes[world.current], request, status, retry);
    /* Without the serial a late answer would go to a later call that reuses the entry. */
    if (call->used && call->serial == pending_request->serial && !call->answered) {
        if (len) amb_buf_append(&buffer, body, len);
        sim_call_answer(call, status, &buffer);
    }
    free(pending_request);
    free(request);
}

/* Delay of the request in the network or at its destination, applied once; 0: none. */
static amb_ms inject_delay(struct sim_call *call) {
    bool write = call->destination == SIM_TO_STORE && !strncmp(call->path, "/commit", 7);
    bool command = call->destination == SIM_TO_AGENT && !strcmp(call->path, "/commands");
    if (call->delayed || call->timed_out) return 0;
    call->delayed = true;
    if (write && sim_fault_hits(SIM_LATE_WRITES)) {
        call->unanswered = true;
        return sim_random_between(2000, 12000);
    }
    if (command && sim_fault_hits(SIM_LATE_COMMANDS)) {
        call->unanswered = true;
        return sim_random_between(2000, 16000);
    }
    if (write && sim_fault_hits(SIM_UNANSWERED_WRITES)) call->unanswered = true;
    bool returns = call->destination == SIM_TO_CLOUD && !strcmp(call->path, "/machines/release");
    if (returns && sim_fault_hits(SIM_LATE_RETURNS)) {
        call->unanswered = true;
        return sim_random_between(3000, 15000);
    }
    return 0;
}

static bool is_late(const struct sim_call *call) {
    if (call->destination != SIM_TO_STORE && call->destination != SIM_TO_CLOUD) return false;
    return sim_fault_active(SIM_LATE_REQUESTS, -1) && !call->timed_out && strcmp(call->method, "GET") &&
           sim_random() % 4 == 0;
}

void sim_call_deliver(void *arg) {
    struct sim_call *call = arg;
    if (!sim_link_is_open(call)) {
        if (call->timed_out || !is_caller_alive(call)) call_free(call);
        return;
    }
    if (is_late(call)) {
        amb_timer_set_after(&call->delivery_timer, sim_random_between(2000, 15000), sim_call_deliver, call);
        return;
    }
    bool to_node = call->destination == SIM_TO_API || call->destination == SIM_TO_PEER;
    if (to_node && wait_for_resume(call->node, &call->delivery_timer, 1, sim_call_deliver, call)) return;
    amb_ms delay = inject_delay(call);
    if (delay) {
        amb_timer_set_after(&call->delivery_timer, delay, sim_call_deliver, call);
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
    int previous = sim_switch_to(-1); /* a message in transit outlives the node that sent it */
    amb_timer_set_after(&call->delivery_timer, draw_latency(call), sim_call_deliver, call);
    amb_timer_set_after(&call->timeout_timer, timeout, call_timed_out, call);
    sim_switch_to(previous);
}

void sim_machine_address(int index, char out[AMB_NAME_SIZE]) {
    snprintf(out, AMB_NAME_SIZE, "W%d:1", index);
}

static enum sim_destination
destination_of(const char *address) { /* addresses as set in node_version.c and by sim_machine_address */
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
    client->destination = destination_of(addr);
    client->sent_at_revision = world.store.revision;
    client->returns_recorded = sim_are_returns_recorded();
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
    struct sim_server *server = addr[0] == 'F' ? &node->api_server : &node->peer_server;
    *server = (struct sim_server){handler, arg, max_body_bytes};
    return (struct amb_http_server *)server;
}

void amb_server_set_max_input_bytes(struct amb_http_server *server, size_t bytes) {
    (void)server, (void)bytes;
}
