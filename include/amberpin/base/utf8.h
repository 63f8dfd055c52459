/* UTF-8 as RFC 3629 defines it: no overlong forms, no surrogates, nothing beyond U+10FFFF. */
#ifndef AMBERPIN_UTF8_H
#define AMBERPIN_UTF8_H

#include <stdbool.h>
#include <stddef.h>

/* Whether the bytes are whole characters of UTF-8. No bytes at all are. */
bool amb_is_utf8(const void *data, size_t len);

#endif
