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

static inline amb_ms amb_seconds_to_ms(double seconds) {
    return (amb_ms)(seconds * 1000);
}

/* Of two moments, on the same clock. */
static inline int64_t amb_earlier(int64_t a, int64_t b) {
    return a < b ? a : b;
}

void *amb_alloc(size_t size); /* zeroed; ends the process when there is no memory */
void *amb_realloc(void *memory, size_t size);

void amb_buf_append(struct amb_buf *buffer, const void *data, size_t len);
void amb_buf_append_text(struct amb_buf *buffer, const char *text);
void amb_buf_append_format(struct amb_buf *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void amb_buf_drop_front(struct amb_buf *buffer, size_t len); /* forget the first n bytes */
void amb_buf_free(struct amb_buf *buffer);

amb_ms amb_now(void);      /* steady clock */
int64_t amb_wall_ms(void); /* time of day */
uint64_t amb_nonce(void);  /* from the system's random source */

#endif
