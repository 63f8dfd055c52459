#include "fake_http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct fake_call calls[FAKE_CALLS];
static size_t call_count;

enum { SERVERS = 4 };

struct amb_http_server {
    char addr[AMB_NAME_SIZE];
    amb_http_handler handler;
    void *arg;
};
static struct amb_http_server servers[SERVERS];
static size_t server_count;

struct amb_http_client_connection *amb_http_call(const char *addr, const char *method, const char *path,
                                                 const char *type, const void *body, size_t len,
                                                 amb_ms timeout_ms, amb_http_done on_done, void *arg) {
    (void)type, (void)timeout_ms;
    if (call_count == FAKE_CALLS) abort();
    struct fake_call *client = &calls[call_count++];
    memset(client, 0, sizeof *client);
    snprintf(client->addr, sizeof client->addr, "%s", addr);
    snprintf(client->method, sizeof client->method, "%s", method);
    snprintf(client->path, sizeof client->path, "%s", path);
    if (len) amb_buf_append(&client->body, body, len);
    client->cbor_body = len ? amb_cbor_parse(client->body.data, len) : NULL;
    client->on_done = on_done;
    client->arg = arg;
    return NULL;
}

void amb_http_client_set_max_response_bytes(size_t bytes) {
    (void)bytes;
}

void amb_http_client_set_max_connections(int connections) {
    (void)connections;
}

struct amb_http_server *amb_server_open(const char *addr, int max_connections, size_t max_body_bytes,
                                        amb_ms idle_ms, amb_http_handler handler, void *arg) {
    (void)max_connections, (void)max_body_bytes, (void)idle_ms;
    if (server_count == SERVERS) abort();
    struct amb_http_server *server = &servers[server_count++];
    snprintf(server->addr, sizeof server->addr, "%s", addr);
    server->handler = handler;
    server->arg = arg;
    return server;
}

void amb_server_set_max_input_bytes(struct amb_http_server *server, size_t bytes) {
    (void)server, (void)bytes;
}

void fake_serve(const char *addr, struct amb_http_req *request) {
    struct amb_http_server *server = servers;
    while (server < servers + server_count && strcmp(server->addr, addr) != 0) server++;
    if (server == servers + server_count) abort();
    server->handler(server->arg, request);
}

void amb_http_reply(struct amb_http_req *request, int status, const char *type, const void *body, size_t len,
                    int retry_after_s) {
    struct fake_reply *reply = (struct fake_reply *)(void *)request->connection;
    (void)type;
    if (reply) { /* NULL: the client has disconnected */
        reply->status = status;
        reply->retry_after_s = retry_after_s;
        if (len) amb_buf_append(&reply->body, body, len);
    }
    free(request->body);
    free(request);
}

struct amb_http_req *fake_request(const char *method, const char *path, const struct amb_buf *body,
                                  struct fake_reply *reply) {
    struct amb_http_req *request = amb_alloc(sizeof *request);
    memset(reply, 0, sizeof *reply);
    request->connection = (struct amb_http_connection *)(void *)reply;
    snprintf(request->method, sizeof request->method, "%s", method);
    snprintf(request->path, sizeof request->path, "%s", path);
    request->body_len = body ? body->len : 0;
    request->body = amb_alloc(request->body_len + 1);
    if (request->body_len) memcpy(request->body, body->data, request->body_len);
    return request;
}

static bool has_prefix(const char *path, const char *prefix) {
    return !strncmp(path, prefix, strlen(prefix));
}

static bool is_open(const struct fake_call *call, const char *addr, const char *method,
                    const char *path_prefix) {
    return !call->answered && (!addr || !strcmp(call->addr, addr)) &&
           (!method || !strcmp(call->method, method)) && has_prefix(call->path, path_prefix);
}

struct fake_call *fake_call_find(const char *addr, const char *method, const char *path_prefix) {
    for (size_t i = 0; i < call_count; i++)
        if (is_open(&calls[i], addr, method, path_prefix)) return &calls[i];
    return NULL;
}

struct fake_call *fake_open_call(const char *path_prefix) {
    return fake_call_find(NULL, NULL, path_prefix);
}

size_t fake_count_open_calls(const char *method, const char *path_prefix) {
    size_t count = 0;
    for (size_t i = 0; i < call_count; i++) count += is_open(&calls[i], NULL, method, path_prefix);
    return count;
}

size_t fake_count_sent_calls(const char *path_prefix) {
    size_t count = 0;
    for (size_t i = 0; i < call_count; i++) count += has_prefix(calls[i].path, path_prefix);
    return count;
}

void fake_answer(struct fake_call *call, int status, struct amb_buf *body) {
    call->answered = true;
    call->on_done(call->arg, status, body ? body->data : NULL, body ? body->len : 0);
    if (body) amb_buf_free(body);
}

void fake_answer_all_lost(void) {
    struct fake_call *call;
    while ((call = fake_open_call(""))) fake_answer(call, 0, NULL);
}

void fake_http_reset(void) {
    for (size_t i = 0; i < call_count; i++) amb_buf_free(&calls[i].body);
    call_count = server_count = 0;
}

/* ---- transactions ---- */

uint64_t fake_txn_compared_revision(const struct fake_call *call, const char *key) {
    const struct amb_cbor_item *guards = amb_cbor_map_get(call->cbor_body, "guards");
    for (size_t i = 0; i < amb_cbor_list_length(guards); i++) {
        const struct amb_cbor_item *guard = amb_cbor_list_item(guards, i);
        uint64_t compared;
        if (amb_cbor_equals(amb_cbor_map_get(guard, "path"), key) &&
            amb_cbor_get_uint(amb_cbor_map_get(guard, "stamp"), &compared))
            return compared;
    }
    return FAKE_NOT_COMPARED;
}

const struct amb_cbor_item *fake_txn_put(const struct fake_call *call, const char *key, uint64_t *lease) {
    const struct amb_cbor_item *changes = amb_cbor_map_get(call->cbor_body, "then");
    for (size_t i = 0; i < amb_cbor_list_length(changes); i++) {
        const struct amb_cbor_item *change = amb_cbor_list_item(changes, i);
        if (!amb_cbor_equals(amb_cbor_map_get(change, "put"), key)) continue;
        if (lease && !amb_cbor_get_uint(amb_cbor_map_get(change, "tenure"), lease)) *lease = 0;
        return amb_cbor_map_get(change, "value");
    }
    return NULL;
}

bool fake_txn_removes(const struct fake_call *call, const char *key) {
    const struct amb_cbor_item *changes = amb_cbor_map_get(call->cbor_body, "then");
    for (size_t i = 0; i < amb_cbor_list_length(changes); i++)
        if (amb_cbor_equals(amb_cbor_map_get(amb_cbor_list_item(changes, i), "remove"), key)) return true;
    return false;
}
