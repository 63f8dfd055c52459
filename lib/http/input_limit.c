#include "input_limit.h"

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

struct amb_http_connection *amb_http_input_over_limit(const struct amb_http_server *server) {
    return server->input_bytes > server->max_input_bytes ? find_slowest(server) : NULL;
}
