/* Server and client over the loop-back, in one loop: every call is answered exactly once, never from within
 * the function that makes it, whatever becomes of the connection. */
#include "amberpin/http/http.h"
#include "check.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    LARGE = 7 * 1024 * 1024,
    LIMIT = 8 * 1024 * 1024,
    ANSWER_LIMIT = LARGE + 64 * 1024,
    TIMEOUT_MS = 15000,
    IDLE_MS = 2500,
    FIRST_PORT = 21000,
    PORTS = 20000
};

static char address[32], closed_address[32], rude_address[32];
static int rude_listener;

/* ---- the server's side ---- */

static void serve(void *arg, struct amb_http_req *request) {
    (void)arg;
    if (!strcmp(request->path, "/silent")) return; /* never answered */
    if (strcmp(request->path, "/echo")) {
        amb_http_reply(request, 404, NULL, NULL, 0, 0);
        return;
    }
    struct amb_buf copy = {0}; /* the request is gone before the answer is written */
    amb_buf_append(&copy, request->body, request->body_len);
    amb_http_reply(request, 200, "text/plain", copy.data, copy.len, 0);
    amb_buf_free(&copy);
}

/* Answers one request and closes, though it did not say that it would. */
static void serve_rudely(void) {
    static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    char request[4096];
    int fd = accept(rude_listener, NULL, NULL);
    assert_true(fd >= 0);
    assert_true(read(fd, request, sizeof request) > 0);
    assert_int_equal(write(fd, answer, sizeof answer - 1), sizeof answer - 1);
    close(fd);
}

/* ---- calls ---- */

struct plan { /* calls made together; the next follow once all have been answered */
    const char *what, *path;
    const char **to;
    int count;
    size_t body;
    int status;
    amb_ms pause; /* before them */
};

static const char *here = address, *nowhere = closed_address, *rude = rude_address;
static const struct plan plans[] = {
    {"the first", "/echo", &here, 1, 10, 200, 0},
    {"on the connection that is open", "/echo", &here, 1, 10, 200, 0},
    {"again", "/echo", &here, 1, 0, 200, 0},
    {"not found", "/other", &here, 1, 3, 404, 0},
    {"twenty at once", "/echo", &here, 20, 1000, 200, 0},
    {"twenty more, on open connections", "/echo", &here, 20, 1000, 200, 0},
    {"large", "/echo", &here, 1, LARGE, 200, 0},
    {"large again, on an open connection", "/echo", &here, 3, LARGE, 200, 0},
    {"longer than an answer may be", "/echo", &here, 2, ANSWER_LIMIT, AMB_HTTP_RESPONSE_TOO_LARGE, 0},
    {"after the server closed idle connections", "/echo", &here, 2, 10, 200, IDLE_MS + 500},
    {"no answer in time", "/silent", &here, 2, 10, 0, 0},
    {"after that", "/echo", &here, 2, 10, 200, 0},
    {"nobody listens", "/echo", &nowhere, 3, 10, 0, 0},
    {"a server that closes", "/echo", &rude, 1, 10, 200, 0},
    {"on the connection that it closed", "/echo", &rude, 1, 10, 0, 0},
    {"the last", "/echo", &here, 1, 10, 200, 0},
};

static size_t current;
static int waiting;
static bool calling;
static char *body;
static struct amb_timer pause_timer, rude_timer, watchdog;

static void make_calls(void *arg);

static void answered(void *arg, int status, const char *data, size_t len) {
    const struct plan *plan = arg;
    if (calling) fail_msg("%s: answered within the call", plan->what);
    if (plan != &plans[current] || waiting <= 0) fail_msg("%s: answered twice", plan->what);
    if (status != plan->status) fail_msg("%s: status %d", plan->what, status);
    if (status == 200 && plan->to != &rude && (len != plan->body || memcmp(data, body, len)))
        fail_msg("%s: another body", plan->what);
    if (--waiting) return;
    if (++current == ROWS(plans))
        amb_loop_stop();
    else
        amb_timer_set_after(&pause_timer, plans[current].pause, make_calls, NULL);
}

static void rude_turn(void *arg) {
    (void)arg;
    serve_rudely();
}

static void make_calls(void *arg) {
    const struct plan *plan = &plans[current];
    (void)arg;
    waiting = plan->count;
    calling = true;
    for (int i = 0; i < plan->count; i++)
        amb_http_call(*plan->to, "POST", plan->path, "text/plain", body, plan->body,
                      plan->status ? TIMEOUT_MS : 300, answered, (void *)plan);
    calling = false;
    if (plan->to == &rude && plan->status) amb_timer_set_after(&rude_timer, 20, rude_turn, NULL);
}

static void too_long(void *arg) {
    (void)arg;
    fail_msg("%s: not all answered", plans[current].what);
}

/* ---- set-up ---- */

static int listen_somewhere(char out[32]) {
    for (int i = 0; i < PORTS; i++) {
        int port = FIRST_PORT + (getpid() * 7 + i) % PORTS, fd = socket(AF_INET, SOCK_STREAM, 0);
        struct sockaddr_in bound_address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
        bound_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        snprintf(out, 32, "127.0.0.1:%d", port);
        if (!bind(fd, (struct sockaddr *)&bound_address, sizeof bound_address) && !listen(fd, 8)) return fd;
        close(fd);
    }
    fail_msg("no port is free");
    return -1;
}

static void every_call_is_answered_once(void **state) {
    (void)state;
    amb_loop_init();
    amb_http_client_set_max_connections(64);
    amb_http_client_set_max_response_bytes(ANSWER_LIMIT);
    rude_listener = listen_somewhere(rude_address);
    int taken = listen_somewhere(address); /* the port, for the server to open a moment later */
    close(taken);
    assert_non_null(amb_server_open(address, 64, LIMIT, IDLE_MS, serve, NULL));
    close(listen_somewhere(closed_address));
    body = malloc(LIMIT);
    for (size_t i = 0; i < LIMIT; i++) body[i] = (char)('a' + i % 26);
    amb_timer_set_after(&watchdog, 60000, too_long, NULL);
    make_calls(NULL);
    amb_loop_run();
    assert_int_equal(current, ROWS(plans));
    free(body);
    close(rude_listener);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(every_call_is_answered_once)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
