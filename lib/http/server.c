#include "connection.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Closes the connection that has been without a request for the longest time, so that idle users cannot block
 * agents and health probes. Returns false if all connections have requests being answered. */
static bool evict_idle_connection(struct amb_http_server *server) {
    struct amb_http_connection *connection = server->least_recent;
    while (connection && connection->state == AMB_HTTP_CONNECTION_ANSWERING) connection = connection->next;
    if (!connection) return false;
    amb_http_connection_close(connection);
    return true;
}

static void on_listener_event(struct amb_fd_watch *watch, uint32_t events) {
    struct amb_http_server *server = watch->arg;
    (void)events;
    for (;;) {
        int fd = accept4(watch->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) return;
        if (server->connection_count < server->max_connections || evict_idle_connection(server))
            amb_http_connection_open(server, fd);
        else
            close(fd);
    }
}

/* Returns -1, with errno set, if it cannot listen at the address. */
static int open_listener(const struct sockaddr_in *address, int backlog) {
    int fd = amb_http_open_socket(); /* accepted sockets inherit its options */
    if (fd < 0) return -1;
    int enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (bind(fd, (const struct sockaddr *)address, sizeof *address) < 0 || listen(fd, backlog) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

struct amb_http_server *amb_server_open(const char *addr, int max_connections, size_t max_body_bytes,
                                        amb_ms idle_ms, amb_http_handler handler, void *arg) {
    struct sockaddr_in address;
    if (!amb_http_parse_address(addr, &address)) {
        errno = EINVAL;
        return NULL;
    }
    int fd = open_listener(&address, max_connections);
    if (fd < 0) return NULL;
    struct amb_http_server *server = amb_alloc(sizeof *server);
    server->listener = (struct amb_fd_watch){fd, on_listener_event, server, 0};
    server->max_connections = max_connections;
    server->max_body_bytes = max_body_bytes;
    server->max_input_bytes = SIZE_MAX;
    server->idle_ms = idle_ms;
    server->handler = handler;
    server->handler_arg = arg;
    amb_loop_add(&server->listener, EPOLLIN);
    return server;
}

void amb_server_set_max_input_bytes(struct amb_http_server *server, size_t bytes) {
    server->max_input_bytes = bytes;
}
