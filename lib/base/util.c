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

void amb_buf_add(struct amb_buf *b, const void *p, size_t n) {
    if (b->len + n + 1 > b->cap) {
        size_t cap = b->cap ? b->cap : 256;
        while (cap < b->len + n + 1) cap *= 2;
        b->data = amb_grow(b->data, cap);
        b->cap = cap;
    }
    if (n) memcpy(b->data + b->len, p, n);
    b->len += n;
    b->data[b->len] = 0;
}

void amb_buf_str(struct amb_buf *b, const char *s) {
    amb_buf_add(b, s, strlen(s));
}

void amb_buf_fmt(struct amb_buf *b, const char *fmt, ...) {
    char tmp[512];
    va_list ap;
    va_start(ap, fmt);
    int n = vsnprintf(tmp, sizeof tmp, fmt, ap);
    va_end(ap);
    if (n > 0) amb_buf_add(b, tmp, (size_t)n < sizeof tmp ? (size_t)n : sizeof tmp - 1);
}

void amb_buf_drop(struct amb_buf *b, size_t n) {
    if (n >= b->len) {
        b->len = 0;
        return;
    }
    memmove(b->data, b->data + n, b->len - n);
    b->len -= n;
}

void amb_buf_free(struct amb_buf *b) {
    free(b->data);
    memset(b, 0, sizeof *b);
}
