/* The HTTP parser: a table of inputs, and the same inputs truncated and corrupted at every byte. */
#include "amberpin/http/parser.h"
#include "check.h"

enum { WHOLE = 1 }; /* the whole input is one message */

struct row {
    const char *what, *input;
    bool response;
    long result; /* WHOLE; 0: more input is needed; negative: negated status */
    const char *method, *path;
    size_t body;
    bool close;
};

static const struct row rows[] = {
    {"get", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", false, WHOLE, "GET", "/healthz", 0, false},
    {"post", "POST /v1/jobs HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", false, WHOLE, "POST", "/v1/jobs", 3,
     false},
    {"query", "GET /a?b=c HTTP/1.1\r\n\r\n", false, WHOLE, "GET", "/a", 0, false},
    {"close", "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", false, WHOLE, "GET", "/", 0, true},
    {"old version closes", "GET / HTTP/1.0\r\n\r\n", false, WHOLE, "GET", "/", 0, true},
    {"head not complete", "GET / HTTP/1.1\r\nHost", false, 0, 0, 0, 0, false},
    {"body not complete", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", false, 0, 0, 0, 0, false},
    {"nothing", "", false, 0, 0, 0, 0, false},
    {"no method", " / HTTP/1.1\r\n\r\n", false, -400, 0, 0, 0, false},
    {"no path", "GET  HTTP/1.1\r\n\r\n", false, -400, 0, 0, 0, false},
    {"relative path", "GET x HTTP/1.1\r\n\r\n", false, -400, 0, 0, 0, false},
    {"no version", "GET /\r\n\r\n", false, -400, 0, 0, 0, false},
    {"other protocol", "GET / SPDY/1.1\r\n\r\n", false, -400, 0, 0, 0, false},
    {"long method", "ABCDEFGHIJKLM / HTTP/1.1\r\n\r\n", false, -400, 0, 0, 0, false},
    {"header without colon", "GET / HTTP/1.1\r\nHost\r\n\r\n", false, -400, 0, 0, 0, false},
    {"space in header name", "GET / HTTP/1.1\r\nHo st: a\r\n\r\n", false, -400, 0, 0, 0, false},
    {"empty header name", "GET / HTTP/1.1\r\n: a\r\n\r\n", false, -400, 0, 0, 0, false},
    {"length not a number", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", false, -400, 0, 0, 0, false},
    {"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", false, -400, 0, 0, 0, false},
    {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", false, -400, 0, 0,
     0, false},
    {"huge length", "POST / HTTP/1.1\r\nContent-Length: 999999999999\r\n\r\n", false, -400, 0, 0, 0, false},
    {"body too large", "POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", false, -413, 0, 0, 0, false},
    {"chunked", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", false, -501, 0, 0, 0, false},
    {"response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, WHOLE, 0, 0, 2, false},
    {"response without reason", "HTTP/1.1 503\r\n\r\n", true, WHOLE, 0, 0, 0, false},
    {"not a response", "HTTP/1.1 abc\r\n\r\n", true, -400, 0, 0, 0, false},
};

static void valid_and_invalid_messages(void **state) {
    (void)state;
    for (size_t i = 0; i < ROWS(rows); i++) {
        const struct row *row = &rows[i];
        struct amb_http_message message;
        long taken = amb_http_parse(row->input, strlen(row->input), row->response, 65536, &message);
        long want = row->result == WHOLE ? (long)strlen(row->input) : row->result;
        if (taken != want) fail_msg("%s: %ld instead of %ld", row->what, taken, want);
        if (taken <= 0) continue;
        assert_int_equal(message.body_len, row->body);
        assert_int_equal(message.closes, row->close);
        if (row->response) continue;
        assert_string_equal(message.method, row->method);
        assert_int_equal(message.path_len, strlen(row->path));
        assert_memory_equal(message.path, row->path, message.path_len);
    }
}

/* Whatever a byte is changed to, and wherever the input ends, the parser does not read beyond the input and
 * returns one of its three results. The input is copied so that the sanitizer detects a read past its end. */
static void corrupted_input_is_handled(void **state) {
    (void)state;
    static const unsigned char bytes[] = {0, '\r', '\n', ' ', ':', 127, 255, '9'};
    for (size_t i = 0; i < ROWS(rows); i++) {
        size_t len = strlen(rows[i].input);
        for (size_t cut = 0; cut <= len; cut++) {
            for (size_t changed = 0; changed < sizeof bytes; changed++) {
                char *copy = malloc(cut + 1);
                memcpy(copy, rows[i].input, cut);
                if (cut) copy[cut - 1] = (char)bytes[changed];
                char *exact = realloc(copy, cut ? cut : 1);
                struct amb_http_message message;
                long taken = amb_http_parse(exact, cut, rows[i].response, 65536, &message);
                assert_true(taken <= (long)cut);
                if (taken > 0) assert_true(message.body_start + message.body_len <= cut);
                free(exact);
            }
        }
    }
}

static void head_is_bounded(void **state) {
    (void)state;
    char *big = malloc(AMB_HTTP_HEAD_MAX);
    memset(big, 'a', AMB_HTTP_HEAD_MAX);
    /* NOLINTNEXTLINE(bugprone-not-null-terminated-result): the parser gets a length */
    memcpy(big, "GET /", 5);
    struct amb_http_message message;
    assert_int_equal(amb_http_parse(big, AMB_HTTP_HEAD_MAX, false, 65536, &message), -431);
    free(big);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(valid_and_invalid_messages),
        cmocka_unit_test(corrupted_input_is_handled),
        cmocka_unit_test(head_is_bounded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
