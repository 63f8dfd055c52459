/* Small things every module uses: time, growing buffers, checked allocation. */
#ifndef AMBERPIN_UTIL_H
#define AMBERPIN_UTIL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef int64_t amb_ms; /* milliseconds on the steady clock, unless a name says otherwise */

struct amb_buf {
    char *data;
    size_t len, cap;
};

static inline amb_ms amb_secs(double s) {
    return (amb_ms)(s * 1000);
}

/* Of two moments, on the same clock. */
static inline int64_t amb_earlier(int64_t a, int64_t b) {
    return a < b ? a : b;
}

void *amb_alloc(size_t n); /* zeroed; ends the process when there is no memory */
void *amb_grow(void *p, size_t n);

void amb_buf_add(struct amb_buf *buffer, const void *p, size_t n);
void amb_buf_str(struct amb_buf *buffer, const char *s);
void amb_buf_fmt(struct amb_buf *buffer, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
void amb_buf_drop(struct amb_buf *buffer, size_t n); /* forget the first n bytes */
void amb_buf_free(struct amb_buf *buffer);

amb_ms amb_now(void);      /* steady clock */
int64_t amb_wall_ms(void); /* time of day */
uint64_t amb_nonce(void);  /* from the system's random source */

#endif
