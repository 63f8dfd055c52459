#include "amberpin/codec/json_parse.h"

#include <malloc.h>
#include <stdlib.h>

enum { ROUNDING_BYTES = 32 }; /* that an allocation may take beyond what was asked for */

/* The memory that jansson may still allocate while a text is parsed. The event loop is the only thread. */
static bool is_parsing, is_refused;
static size_t bytes_left;

static void *allocate(size_t size) {
    if (is_parsing && size + ROUNDING_BYTES > bytes_left) {
        is_refused = true;
        return NULL;
    }
    void *memory = malloc(size);
    if (!is_parsing || !memory) return memory;
    size_t taken = malloc_usable_size(memory);
    bytes_left -= taken < bytes_left ? taken : bytes_left;
    return memory;
}

static void release(void *memory) {
    if (is_parsing && memory) bytes_left += malloc_usable_size(memory);
    free(memory);
}

json_t *amb_json_parse(const char *text, size_t len, size_t max_bytes, bool *is_too_large) {
    json_set_alloc_funcs(allocate, release);
    bytes_left = max_bytes;
    is_parsing = true;
    is_refused = false;
    json_t *json = json_loadb(text, len, 0, NULL);
    is_parsing = false;
    *is_too_large = !json && is_refused;
    return json;
}
