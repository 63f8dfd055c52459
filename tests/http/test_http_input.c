/* What callers may make a server hold before it knows whether they sent a request, and while it holds their
 * requests. The callers are a process of their own; the server's memory is counted here. */
#include "amberpin/http/http.h"
#include "check.h"
#include "heap_peak.h"

#include "amberpin/node/fleet_capacity.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
    BODY_BYTES = 64 * 1024,         /* the protocol's limit */
    CONNECTION_BYTES = 1024,        /* of a connection without a body, as amb_memory_max_machines counts */
    READING_BYTES = 4 * BODY_BYTES, /* of the connection that is being read, before the limit is enforced */
    CALLERS = 320,                  /* within the limit of connections */
    HELD_CALLERS = 300,
    IDLE_MS = 30000,
    POLL_MS = 10,
    WATCHDOG_MS = 60000,
    ANSWER_TIMEOUT_S = 10,
    PROMPT_PAUSE_US = 20000,
    /* Below the ports that the kernel chooses, some of which other tests have reserved for their controllers.
     */
    FIRST_PORT = 21000,
    PORTS = 5000,
};

/* The smallest deployment. */
static const struct amb_settings settings = {.memory_mb = 27, .fd_limit = 500};

static struct sockaddr_in server_address;
static struct amb_http_req *held[HELD_CALLERS + 1];
static size_t held_count;

/* ---- callers ---- */

static int connect_to_server(void) {
    const struct timeval timeout = {.tv_sec = ANSWER_TIMEOUT_S};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    if (connect(fd, (struct sockaddr *)&server_address, sizeof server_address) < 0) _exit(1);
    return fd;
}

/* Sends the head of a request and the first bytes of its body of 64 KiB. Returns whether all of it was
 * accepted. */
static bool send_request(int fd, const char *path, size_t body_bytes) {
    static char body[BODY_BYTES];
    char head[128];
    int head_len =
        snprintf(head, sizeof head, "POST %s HTTP/1.1\r\nContent-Length: %d\r\n\r\n", path, BODY_BYTES);
    return send(fd, head, (size_t)head_len, MSG_NOSIGNAL) == head_len &&
           send(fd, body, body_bytes, MSG_NOSIGNAL) == (ssize_t)body_bytes;
}

/* Copies the next bytes of the answer; the text is empty if the connection was closed without one. */
static void receive(int fd, char *text, size_t cap) {
    ssize_t received = recv(fd, text, cap - 1, 0);
    text[received > 0 ? received : 0] = 0;
}

static bool is_answered(int fd, const char *status) {
    char text[256];
    receive(fd, text, sizeof text);
    return strstr(text, status) != NULL;
}

/* Most callers stop before the end of their body. The first of them are refused, so that one that comes later
 * and sends its body in two parts is served. */
static bool call_without_end(void) {
    int fds[CALLERS];
    char text[256];
    for (int i = 0; i < CALLERS; i++) {
        fds[i] = connect_to_server();
        send_request(fds[i], "/ok", BODY_BYTES - 100);
    }
    receive(fds[CALLERS / 2], text, sizeof text);
    if (!strstr(text, " 503 ") || !strstr(text, "Retry-After: 1\r\n")) return false;
    int prompt = connect_to_server();
    if (!send_request(prompt, "/ok", BODY_BYTES - 100)) return false;
    usleep(PROMPT_PAUSE_US);
    return send(prompt, text, 100, MSG_NOSIGNAL) == 100 && is_answered(prompt, " 200 ");
}

/* Callers whose requests are held back: the last request is answered, after all the others have arrived. */
static bool call_and_wait(void) {
    for (int i = 0; i < HELD_CALLERS; i++)
        if (!send_request(connect_to_server(), "/held", BODY_BYTES)) return false;
    int last = connect_to_server();
    return send_request(last, "/ok", BODY_BYTES) && is_answered(last, " 200 ");
}

/* A caller that sends on while its request is held back. */
static bool call_and_flood(void) {
    enum { FLOOD_BYTES = 64 * 1024 * 1024 };
    int fd = connect_to_server();
    size_t sent = 0;
    if (!send_request(fd, "/held", BODY_BYTES)) return false;
    while (sent < FLOOD_BYTES && send_request(fd, "/held", BODY_BYTES)) sent += BODY_BYTES;
    return sent < FLOOD_BYTES;
}

/* ---- server ---- */

static void serve(void *arg, struct amb_http_req *request) {
    (void)arg;
    if (!strcmp(request->path, "/held"))
        held[held_count++] = request;
    else
        amb_http_reply(request, AMB_HTTP_OK, NULL, NULL, 0, 0);
}

static void open_server(int max_connections) {
    struct amb_http_server *server = NULL;
    for (int port = FIRST_PORT + getpid() % PORTS; !server; port++) {
        char text[32];
        assert_true(port < FIRST_PORT + 2 * PORTS);
        snprintf(text, sizeof text, "127.0.0.1:%d", port);
        server = amb_server_open(text, max_connections, BODY_BYTES, IDLE_MS, serve, NULL);
        server_address = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
        server_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    }
    amb_server_set_max_input_bytes(server, amb_memory_max_request_input_bytes(&settings));
}

static struct amb_timer poll_timer, watchdog;
static pid_t callers;
static int callers_status;

static void stop_when_callers_end(void *arg) {
    (void)arg;
    if (waitpid(callers, &callers_status, WNOHANG) == callers)
        amb_loop_stop();
    else
        amb_timer_set_after(&poll_timer, POLL_MS, stop_when_callers_end, NULL);
}

static void on_watchdog(void *arg) {
    (void)arg;
    fail_msg("the callers did not end");
}

/* Serves a process of callers until it ends. Returns the most memory that was held meanwhile. */
static size_t serve_callers(bool (*call)(void)) {
    callers = fork();
    assert_true(callers >= 0);
    if (!callers) _exit(call() ? 0 : 1);
    amb_loop_init();
    heap_peak_begin();
    amb_timer_set_after(&watchdog, WATCHDOG_MS, on_watchdog, NULL);
    stop_when_callers_end(NULL);
    amb_loop_run();
    amb_timer_stop(&watchdog);
    size_t peak = heap_peak_end();
    assert_true(WIFEXITED(callers_status));
    assert_int_equal(WEXITSTATUS(callers_status), 0);
    return peak;
}

static void must_hold_at_most(size_t taken, size_t connections) {
    size_t bound =
        amb_memory_max_request_input_bytes(&settings) + READING_BYTES + connections * CONNECTION_BYTES;
    if (taken > bound) fail_msg("%zu bytes, %zu are allowed", taken, bound);
}

/* Callers that each sent all but 100 bytes of a body of 64 KiB made a node of 27 MB hold 25 MB. */
static void requests_in_part_are_bounded(void **state) {
    (void)state;
    int connections = amb_capacity_max_incoming_connections(&settings);
    open_server(connections);
    must_hold_at_most(serve_callers(call_without_end), (size_t)connections);
}

static void answer_held(void) {
    while (held_count) amb_http_reply(held[--held_count], AMB_HTTP_OK, NULL, NULL, 0, 0);
}

/* A request that is held back, as a submission is until it is stored, kept its body of 64 KiB. */
static void requests_held_back_keep_no_body(void **state) {
    (void)state;
    int connections = amb_capacity_max_incoming_connections(&settings);
    open_server(connections);
    size_t taken = serve_callers(call_and_wait);
    assert_int_equal(held_count, HELD_CALLERS);
    must_hold_at_most(taken, (size_t)connections);
    answer_held();
}

/* What a caller sends on while its request is held back is not read without end. */
static void callers_that_send_on_are_disconnected(void **state) {
    (void)state;
    open_server(1);
    must_hold_at_most(serve_callers(call_and_flood), 1);
    answer_held();
}

int main(void) {
    amb_loop_init();
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(requests_in_part_are_bounded),
        cmocka_unit_test(requests_held_back_keep_no_body),
        cmocka_unit_test(callers_that_send_on_are_disconnected),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
