/* The HTTP parser: a worker's request and a response of the state service. */
#include "cases.h"

#include "amberpin/http/parser.h"

#include <stdlib.h>
#include <string.h>

enum { BODY_MAX = 64 * 1024 };

static const char request[] = "POST /hello HTTP/1.1\r\nHost: 127.0.0.1:9000\r\nContent-Type: "
                              "application/cbor\r\nContent-Length: 4\r\n\r\nbody";
static const char response[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Type: application/cbor\r\n\r\nbody";

static void *no_input(const struct world_size *size) {
    (void)size;
    return NULL;
}

static void finish_no_input(void *input) {
    (void)input;
}

static void parse_request(void *input) {
    struct amb_http_message message;
    (void)input;
    if (amb_http_parse(request, sizeof request - 1, false, BODY_MAX, &message) != sizeof request - 1) abort();
}

static void parse_response(void *input) {
    struct amb_http_message message;
    (void)input;
    if (amb_http_parse(response, sizeof response - 1, true, BODY_MAX, &message) != sizeof response - 1)
        abort();
}

static const struct bench_case cases[] = {
    {"http/request-parse", NULL, no_input, parse_request, finish_no_input, false},
    {"http/response-parse", NULL, no_input, parse_response, finish_no_input, false},
};

struct bench_cases bench_http_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
