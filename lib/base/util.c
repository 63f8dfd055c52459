#include "amberpin/base/util.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { FIRST_CAPACITY = 256, FORMAT_BYTES = 512 };

static void *abort_if_null(void *memory) {
    if (!memory) {
        fputs("amberpin: out of memory\n", stderr);
        abort();
    }
    return memory;
}

void *amb_alloc(size_t size) {
    return abort_if_null(calloc(1, size ? size : 1));
}

void *amb_realloc(void *memory, size_t size) {
    return abort_if_null(realloc(memory, size ? size : 1));
}

void amb_buf_append(struct amb_buf *buffer, const void *data, size_t len) {
    if (buffer->len + len + 1 > buffer->cap) {
        size_t cap = buffer->cap ? buffer->cap : FIRST_CAPACITY;
        while (cap < buffer->len + len + 1) cap *= 2;
        buffer->data = amb_realloc(buffer->data, cap);
        buffer->cap = cap;
    }
    if (len) memcpy(buffer->data + buffer->len, data, len);
    buffer->len += len;
    buffer->data[buffer->len] = 0;
}

void amb_buf_append_text(struct amb_buf *buffer, const char *text) {
    amb_buf_append(buffer, text, strlen(text));
}

void amb_buf_append_format(struct amb_buf *buffer, const char *format, ...) {
    char text[FORMAT_BYTES];
    va_list arguments;
    va_start(arguments, format);
    int len = vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    if (len > 0) amb_buf_append(buffer, text, (size_t)len < sizeof text ? (size_t)len : sizeof text - 1);
}

void amb_buf_drop_front(struct amb_buf *buffer, size_t len) {
    if (len >= buffer->len) {
        buffer->len = 0;
        return;
    }
    memmove(buffer->data, buffer->data + len, buffer->len - len);
    buffer->len -= len;
}

void amb_buf_free(struct amb_buf *buffer) {
    free(buffer->data);
    memset(buffer, 0, sizeof *buffer);
}
