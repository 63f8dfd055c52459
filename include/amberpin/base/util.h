/* Utilities that every module uses: time, growing buffers, checked allocation. */
#ifndef AMBERPIN_UTIL_H
#define AMBERPIN_UTIL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Milliseconds on the monotonic clock, unless a name says otherwise. */
typedef int64_t amb_ms;

/* A growing byte buffer; must be zero-initialised. */
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

/* ---- memory: these functions never return NULL; the process aborts when memory runs out ---- */

/* Allocates zeroed memory. */
void *amb_alloc(size_t size);
/* Like realloc; added memory is not zeroed. */
void *amb_realloc(void *memory, size_t size);

/* ---- buffers ---- */

/* Appends bytes. From the first append on, a zero byte that len does not count follows the data. */
void amb_buf_append(struct amb_buf *buffer, const void *data, size_t len);
void amb_buf_append_text(struct amb_buf *buffer, const char *text);
/* Appends formatted text, truncated to 511 bytes. */
void amb_buf_append_format(struct amb_buf *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Removes the first len bytes, or all if there are fewer. */
void amb_buf_drop_front(struct amb_buf *buffer, size_t len);
/* Frees the data and leaves an empty buffer. */
void amb_buf_free(struct amb_buf *buffer);

/* ---- time and random numbers ---- */

/* Time on the monotonic clock, which cannot be set. */
amb_ms amb_now(void);
/* The time of day: milliseconds since the Unix epoch. */
int64_t amb_wall_ms(void);
/* A 63-bit random number from the system's random source. */
uint64_t amb_nonce(void);

#endif
