/* Decimal numbers in message heads and addresses. */
#ifndef AMBERPIN_HTTP_DECIMAL_H
#define AMBERPIN_HTTP_DECIMAL_H

#include <stdbool.h>
#include <stddef.h>

enum { AMB_HTTP_DECIMAL_DIGITS_MAX = 9 };

/* Parses a text of one to nine digits. Returns false, and leaves *out unchanged, for any other text. */
static inline bool amb_http_parse_decimal(const char *text, size_t len, long *out) {
    long value = 0;
    if (!len || len > AMB_HTTP_DECIMAL_DIGITS_MAX) return false;
    for (size_t i = 0; i < len; i++) {
        if (text[i] < '0' || text[i] > '9') return false;
        value = value * 10 + (text[i] - '0');
    }
    *out = value;
    return true;
}

#endif
