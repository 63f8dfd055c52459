/* Parses JSON from another process within a bound of memory: a tree of jansson takes up to 80 times the size
 * of its text. */
#ifndef AMBERPIN_CODEC_JSON_PARSE_H
#define AMBERPIN_CODEC_JSON_PARSE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/* Parses an object or array, to be released by json_decref. Returns NULL if the text is neither, or if its
 * tree would take more than max_bytes of memory; then *is_too_large is set, otherwise cleared. */
json_t *amb_json_parse(const char *text, size_t len, size_t max_bytes, bool *is_too_large);

#endif
