/* Server and client over the loopback interface, in one event loop: whatever happens to the connection, each
 * call ends exactly once, and never from within the function that makes it. */
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

static char address[32], closed_address[32], closing_server_address[32];
static int closing_server_listener;

/* ---- servers ---- */

static void serve(void *arg, struct amb_http_req *request) {
    (void)arg;
    if (!strcmp(request->path, "/silent")) return; /* never answered */
    if (strcmp(request->path, "/echo")) {
        amb_http_reply(request, 404, NULL, NULL, 0, 0);
        return;
    }
    struct amb_buf copy = {0}; /* the request is freed before the response is written */
    amb_buf_append(&copy, request->body, request->body_len);
    amb_http_reply(request, 200, "text/plain", copy.data, copy.len, 0);
    amb_buf_free(&copy);
}

/* Answers one request and closes the connection without announcing it. */
static void serve_and_close(void) {
    static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    char request[4096];
    int fd = accept(closing_server_listener, NULL, NULL);
    assert_true(fd >= 0);
    assert_true(read(fd, request, sizeof request) > 0);
    assert_int_equal(write(fd, answer, sizeof answer - 1), sizeof answer - 1);
    close(fd);
}

/* ---- calls ---- */

struct plan { /* calls made at once; the next plan follows when all have ended */
    const char *what, *path;
    const char **to;
    int count;
    size_t body;
    int status;
    amb_ms pause; /* before the calls */
};

static const char *server = address, *closed_port = closed_address, *closing_server = closing_server_address;
static const struct plan plans[] = {
    {"the first", "/echo", &server, 1, 10, 200, 0},
    {"on the connection that is open", "/echo", &server, 1, 10, 200, 0},
    {"again", "/echo", &server, 1, 0, 200, 0},
    {"not found", "/other", &server, 1, 3, 404, 0},
    {"twenty at once", "/echo", &server, 20, 1000, 200, 0},
    {"twenty more, on open connections", "/echo", &server, 20, 1000, 200, 0},
    {"large", "/echo", &server, 1, LARGE, 200, 0},
    {"large again, on an open connection", "/echo", &server, 3, LARGE, 200, 0},
    {"longer than the response limit", "/echo", &server, 2, ANSWER_LIMIT, AMB_HTTP_RESPONSE_TOO_LARGE, 0},
    {"after the server closed idle connections", "/echo", &server, 2, 10, 200, IDLE_MS + 500},
    {"no answer in time", "/silent", &server, 2, 10, 0, 0},
    {"after that", "/echo", &server, 2, 10, 200, 0},
    {"nobody listens", "/echo", &closed_port, 3, 10, 0, 0},
    {"a server that closes", "/echo", &closing_server, 1, 10, 200, 0},
    {"on the connection that it closed", "/echo", &closing_server, 1, 10, 0, 0},
    {"the last", "/echo", &server, 1, 10, 200, 0},
};

static size_t current;
static int waiting;
static bool calling;
static char *body;
static struct amb_timer pause_timer, closing_server_timer, watchdog;

static void make_calls(void *arg);

static void answered(void *arg, int status, const char *data, size_t len) {
    const struct plan *plan = arg;
    if (calling) fail_msg("%s: answered within the call", plan->what);
    if (plan != &plans[current] || waiting <= 0) fail_msg("%s: answered twice", plan->what);
    if (status != plan->status) fail_msg("%s: status %d", plan->what, status);
    if (status == 200 && plan->to != &closing_server && (len != plan->body || memcmp(data, body, len)))
        fail_msg("%s: wrong body", plan->what);
    if (--waiting) return;
    if (++current == ROWS(plans))
        amb_loop_stop();
    else
        amb_timer_set_after(&pause_timer, plans[current].pause, make_calls, NULL);
}

static void on_closing_server_timer(void *arg) {
    (void)arg;
    serve_and_close();
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
    if (plan->to == &closing_server && plan->status)
        amb_timer_set_after(&closing_server_timer, 20, on_closing_server_timer, NULL);
}

static void on_timeout(void *arg) {
    (void)arg;
    fail_msg("%s: not all answered", plans[current].what);
}

/* ---- set-up ---- */

static int listen_on_free_port(char out[32]) {
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
    closing_server_listener = listen_on_free_port(closing_server_address);
    int taken = listen_on_free_port(address); /* reserves a port that the server opens a moment later */
    close(taken);
    assert_non_null(amb_server_open(address, 64, LIMIT, IDLE_MS, serve, NULL));
    close(listen_on_free_port(closed_address));
    body = malloc(LIMIT);
    for (size_t i = 0; i < LIMIT; i++) body[i] = (char)('a' + i % 26);
    amb_timer_set_after(&watchdog, 60000, on_timeout, NULL);
    make_calls(NULL);
    amb_loop_run();
    assert_int_equal(current, ROWS(plans));
    free(body);
    close(closing_server_listener);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(every_call_is_answered_once)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
