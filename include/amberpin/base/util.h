/* Small things every module uses: time, growing buffers, checked allocation. */
#ifndef AMBERPIN_UTIL_H
#define AMBERPIN_UTIL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Milliseconds on the steady clock, unless a name says otherwise. */
typedef int64_t amb_ms;

/* Bytes that grow; zero-initialised. */
struct amb_buf {
    char *data;
    size_t len, cap;
};

static inline amb_ms amb_seconds_to_ms(double seconds) {
    return (amb_ms)(seconds * 1000);
}

/* The earlier of two times on the same clock. */
static inline int64_t amb_earlier(int64_t left, int64_t right) {
    return left < right ? left : right;
}

/* ---- memory: no call returns NULL, and the process ends when there is none left ---- */

/* Zeroed. */
void *amb_alloc(size_t size);
/* Like realloc: what is added is not zeroed. */
void *amb_realloc(void *memory, size_t size);

/* ---- buffers ---- */

/* The data has a zero byte after it, which len does not count, once anything was appended. */
void amb_buf_append(struct amb_buf *buffer, const void *data, size_t len);
void amb_buf_append_text(struct amb_buf *buffer, const char *text);
/* At most 511 bytes; what is longer is cut. */
void amb_buf_append_format(struct amb_buf *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Removes the first len bytes, or all if there are fewer. */
void amb_buf_drop_front(struct amb_buf *buffer, size_t len);
/* Leaves an empty buffer. */
void amb_buf_free(struct amb_buf *buffer);

/* ---- time and chance ---- */

/* The steady clock, which no one sets. */
amb_ms amb_now(void);
/* The time of day. */
int64_t amb_wall_ms(void);
/* 63 bits from the system's random source. */
uint64_t amb_nonce(void);

#endif
