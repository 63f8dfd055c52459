#include "input_limit.h"

enum { RETRY_AFTER_S = 1 };

void amb_http_input_count(struct amb_http_connection *connection) {
    const struct amb_buf *input = &connection->stream.input;
    struct amb_http_server *server = connection->server;
    server->input_bytes += input->cap - connection->input_bytes;
    connection->input_bytes = input->cap;
    if (!input->len)
        connection->input_since = 0;
    else if (!connection->input_since)
        connection->input_since = amb_now();
}

/* Returns the connection whose input has been arriving for the longest time; NULL: none has any. */
static struct amb_http_connection *find_slowest(const struct amb_http_server *server) {
    struct amb_http_connection *slowest = NULL;
    for (struct amb_http_connection *connection = server->least_recent; connection;
         connection = connection->next) {
        if (!connection->input_bytes) continue;
        if (!slowest || connection->input_since < slowest->input_since) slowest = connection;
    }
    return slowest;
}

void amb_http_input_enforce_limit(struct amb_http_server *server) {
    while (server->input_bytes > server->max_input_bytes) {
        struct amb_http_connection *slowest = find_slowest(server);
        if (!slowest) return;
        if (slowest->state == AMB_HTTP_CONNECTION_READING)
            amb_http_connection_refuse(slowest, AMB_HTTP_SERVICE_UNAVAILABLE, RETRY_AFTER_S);
        else /* sends more while a request of its is answered */
            amb_http_connection_close(slowest);
    }
}
