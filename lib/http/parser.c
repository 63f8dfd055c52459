#include "amberpin/http/parser.h"

#include "amberpin/http/http.h"
#include "decimal.h"

#include <string.h>
#include <strings.h>

/* Result of parsing a part of a message: PARSE_OK, or the HTTP status that describes the error. */
typedef int parse_error;

enum { PARSE_OK = 0 };

static bool is_token_character(unsigned char character) {
    return character > 32 && character < 127 && !strchr("()<>@,;:\\\"/[]?={}", character);
}

static bool is_target_character(unsigned char character) {
    return character > 32 && character != 127;
}

/* Parses " HTTP/1.0" or " HTTP/1.1" and nothing after it. A client of version 1.0 closes after one
 * request. */
static parse_error parse_version(const char *text, size_t len, struct amb_http_message *message) {
    static const char prefix[] = " HTTP/1.";
    const size_t prefix_len = sizeof prefix - 1;
    if (len != prefix_len + 1 || memcmp(text, prefix, prefix_len)) return AMB_HTTP_BAD_REQUEST;
    char minor = text[prefix_len];
    if (minor != '0' && minor != '1') return AMB_HTTP_BAD_REQUEST;
    if (minor == '0') message->closes = true;
    return PARSE_OK;
}

static void split_target(const char *target, size_t len, struct amb_http_message *message) {
    message->path = target;
    message->path_len = len;
    const char *question_mark = memchr(target, '?', len);
    if (!question_mark) return;
    message->path_len = (size_t)(question_mark - target);
    message->query = question_mark + 1;
    message->query_len = len - message->path_len - 1;
}

static parse_error parse_request_line(const char *text, size_t len, struct amb_http_message *message) {
    size_t i = 0;
    while (i < len && is_token_character((unsigned char)text[i])) i++;
    if (!i || i >= sizeof message->method || i >= len || text[i] != ' ') return AMB_HTTP_BAD_REQUEST;
    memcpy(message->method, text, i);
    message->method[i] = 0;
    size_t start = ++i;
    while (i < len && is_target_character((unsigned char)text[i])) i++;
    if (i == start || text[start] != '/') return AMB_HTTP_BAD_REQUEST;
    parse_error error = parse_version(text + i, len - i, message);
    if (error) return error;
    split_target(text + start, i - start, message);
    return PARSE_OK;
}

/* Parses "HTTP/1.x NNN" and ignores the reason phrase. */
static parse_error parse_status_line(const char *text, size_t len, struct amb_http_message *message) {
    enum { STATUS_AT = 9, STATUS_END = 12 };
    if (len < STATUS_END || memcmp(text, "HTTP/1.", 7) || text[STATUS_AT - 1] != ' ')
        return AMB_HTTP_BAD_REQUEST;
    long status;
    if (!amb_http_parse_decimal(text + STATUS_AT, STATUS_END - STATUS_AT, &status))
        return AMB_HTTP_BAD_REQUEST;
    message->status = (int)status;
    return PARSE_OK;
}

struct text {
    const char *data;
    size_t len;
};

static bool equals_ignoring_case(struct text text, const char *word) {
    return strlen(word) == text.len && !strncasecmp(text.data, word, text.len);
}

static struct text trim(const char *start, const char *end) {
    while (start < end && (*start == ' ' || *start == '\t')) start++;
    while (end > start && (end[-1] == ' ' || end[-1] == '\t')) end--;
    return (struct text){start, (size_t)(end - start)};
}

static parse_error apply_header(struct text name, struct text value, struct amb_http_message *message,
                                long *content_length) {
    long number;
    if (equals_ignoring_case(name, "content-length")) {
        if (!amb_http_parse_decimal(value.data, value.len, &number)) return AMB_HTTP_BAD_REQUEST;
        if (*content_length >= 0 && *content_length != number) return AMB_HTTP_BAD_REQUEST;
        *content_length = number;
    } else if (equals_ignoring_case(name, "transfer-encoding")) {
        return AMB_HTTP_NOT_IMPLEMENTED;
    } else if (equals_ignoring_case(name, "connection")) {
        if (equals_ignoring_case(value, "close")) message->closes = true;
    } else if (equals_ignoring_case(name, "retry-after")) {
        if (amb_http_parse_decimal(value.data, value.len, &number)) message->retry_after_s = (int)number;
    }
    return PARSE_OK;
}

static parse_error parse_header(const char *text, size_t len, struct amb_http_message *message,
                                long *content_length) {
    const char *colon = memchr(text, ':', len);
    if (!colon || colon == text) return AMB_HTTP_BAD_REQUEST;
    struct text name = {text, (size_t)(colon - text)};
    for (size_t i = 0; i < name.len; i++)
        if (!is_token_character((unsigned char)text[i])) return AMB_HTTP_BAD_REQUEST;
    return apply_header(name, trim(colon + 1, text + len), message, content_length);
}

/* Parses the lines of a head up to `end`, where the line break before the empty line begins. */
static parse_error parse_head(const char *head, const char *end, struct amb_http_message *message,
                              long *content_length) {
    const char *line = head;
    while (line < end) {
        const char *line_end = memmem(line, (size_t)(end + 2 - line), "\r\n", 2);
        size_t len = (size_t)(line_end - line);
        parse_error error;
        if (line != head)
            error = parse_header(line, len, message, content_length);
        else if (message->is_response)
            error = parse_status_line(line, len, message);
        else
            error = parse_request_line(line, len, message);
        if (error) return error;
        line = line_end + 2;
    }
    return PARSE_OK;
}

long amb_http_parse(const char *data, size_t len, bool is_response, size_t max_body_bytes,
                    struct amb_http_message *message) {
    memset(message, 0, sizeof *message);
    message->is_response = is_response;
    size_t head_bytes = len < AMB_HTTP_HEAD_MAX ? len : AMB_HTTP_HEAD_MAX;
    const char *end = head_bytes >= 4 ? memmem(data, head_bytes, "\r\n\r\n", 4) : NULL;
    if (!end) return len >= AMB_HTTP_HEAD_MAX ? -AMB_HTTP_HEAD_TOO_LARGE : 0;
    long content_length = -1; /* not stated */
    parse_error error = parse_head(data, end, message, &content_length);
    if (error) return -error;
    if (!is_response && !message->path) return -AMB_HTTP_BAD_REQUEST;
    if (content_length > (long)max_body_bytes) return -AMB_HTTP_CONTENT_TOO_LARGE;
    message->body_start = (size_t)(end + 4 - data);
    message->body_len = content_length < 0 ? 0 : (size_t)content_length;
    size_t total = message->body_start + message->body_len;
    return len < total ? 0 : (long)total;
}
