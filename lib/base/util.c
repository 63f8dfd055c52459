#include "amberpin/base/util.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *checked(void *p) {
    if (!p) {
        fputs("amberpin: out of memory\n", stderr);
        abort();
    }
    return p;
}

void *amb_alloc(size_t n) {
    return checked(calloc(1, n ? n : 1));
}

void *amb_grow(void *p, size_t n) {
    return checked(realloc(p, n ? n : 1));
}

void amb_buf_add(struct amb_buf *buffer, const void *p, size_t n) {
    if (buffer->len + n + 1 > buffer->cap) {
        size_t cap = buffer->cap ? buffer->cap : 256;
        while (cap < buffer->len + n + 1) cap *= 2;
        buffer->data = amb_grow(buffer->data, cap);
        buffer->cap = cap;
    }
    if (n) memcpy(buffer->data + buffer->len, p, n);
    buffer->len += n;
    buffer->data[buffer->len] = 0;
}

void amb_buf_str(struct amb_buf *buffer, const char *s) {
    amb_buf_add(buffer, s, strlen(s));
}

void amb_buf_fmt(struct amb_buf *buffer, const char *fmt, ...) {
    char tmp[512];
    va_list ap;
    va_start(ap, fmt);
    int n = vsnprintf(tmp, sizeof tmp, fmt, ap);
    va_end(ap);
    if (n > 0) amb_buf_add(buffer, tmp, (size_t)n < sizeof tmp ? (size_t)n : sizeof tmp - 1);
}

void amb_buf_drop(struct amb_buf *buffer, size_t n) {
    if (n >= buffer->len) {
        buffer->len = 0;
        return;
    }
    memmove(buffer->data, buffer->data + n, buffer->len - n);
    buffer->len -= n;
}

void amb_buf_free(struct amb_buf *buffer) {
    free(buffer->data);
    memset(buffer, 0, sizeof *buffer);
}
