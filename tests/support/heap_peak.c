#include "heap_peak.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

/* Of the sanitizer's public interface, whose header not every compiler installs. Absent in a build without
 * it. */
#pragma weak __sanitizer_install_malloc_and_free_hooks
#pragma weak __sanitizer_get_allocated_size
/* NOLINTNEXTLINE(readability-identifier-naming): the name is the sanitizer's */
extern int __sanitizer_install_malloc_and_free_hooks(void (*on_malloc)(const volatile void *, size_t),
                                                     void (*on_free)(const volatile void *));
/* NOLINTNEXTLINE(readability-identifier-naming): the name is the sanitizer's */
extern size_t __sanitizer_get_allocated_size(const volatile void *memory);

static bool is_installed, is_counting;
/* Since heap_peak_begin; negative while older memory has been freed. */
static long long held_bytes, most_bytes;

static void on_malloc(const volatile void *memory, size_t size) {
    (void)memory;
    if (!is_counting) return;
    held_bytes += (long long)size;
    if (held_bytes > most_bytes) most_bytes = held_bytes;
}

static void on_free(const volatile void *memory) {
    if (is_counting && memory) held_bytes -= (long long)__sanitizer_get_allocated_size(memory);
}

static void install_hooks(void) {
    if (is_installed) return;
    if (!__sanitizer_install_malloc_and_free_hooks) {
        fputs("heap_peak: memory is counted only in a build with the address sanitizer\n", stderr);
        abort();
    }
    __sanitizer_install_malloc_and_free_hooks(on_malloc, on_free);
    is_installed = true;
}

void heap_peak_begin(void) {
    install_hooks();
    is_counting = true;
    held_bytes = most_bytes = 0;
}

size_t heap_peak_end(void) {
    is_counting = false;
    return (size_t)most_bytes;
}
