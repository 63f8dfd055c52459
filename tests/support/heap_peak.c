#include "heap_peak.h"

#include <stdbool.h>

static bool is_counting;
/* Since heap_peak_begin; negative while older memory has been freed. */
static long long held_bytes, most_bytes;

static void count_allocated(size_t size) {
    if (!is_counting) return;
    held_bytes += (long long)size;
    if (held_bytes > most_bytes) most_bytes = held_bytes;
}

static void count_freed(size_t size) {
    if (is_counting) held_bytes -= (long long)size;
}

#ifdef __SANITIZE_ADDRESS__

/* Of the sanitizer's public interface, whose header not every compiler installs. */
/* NOLINTNEXTLINE(readability-identifier-naming): the name is the sanitizer's */
extern int __sanitizer_install_malloc_and_free_hooks(void (*on_malloc)(const volatile void *, size_t),
                                                     void (*on_free)(const volatile void *));
/* NOLINTNEXTLINE(readability-identifier-naming): the name is the sanitizer's */
extern size_t __sanitizer_get_allocated_size(const volatile void *memory);

static void on_malloc(const volatile void *memory, size_t size) {
    (void)memory;
    count_allocated(size);
}

static void on_free(const volatile void *memory) {
    if (memory) count_freed(__sanitizer_get_allocated_size(memory));
}

static void install_hooks(void) {
    static bool is_installed;
    if (!is_installed) __sanitizer_install_malloc_and_free_hooks(on_malloc, on_free);
    is_installed = true;
}

#else

#include <malloc.h>

/* NOLINTBEGIN(readability-identifier-naming): the names are glibc's */
extern void *__libc_malloc(size_t size);
extern void *__libc_calloc(size_t count, size_t size);
extern void *__libc_realloc(void *memory, size_t size);
extern void __libc_free(void *memory);
/* NOLINTEND(readability-identifier-naming) */

/* NOLINTBEGIN(readability-inconsistent-declaration-parameter-name): glibc gives its parameters reserved names
 */
void *malloc(size_t size) {
    void *memory = __libc_malloc(size);
    count_allocated(malloc_usable_size(memory));
    return memory;
}

void *calloc(size_t count, size_t size) {
    void *memory = __libc_calloc(count, size);
    count_allocated(malloc_usable_size(memory));
    return memory;
}

void *realloc(void *memory, size_t size) {
    size_t old_size = malloc_usable_size(memory);
    void *moved = __libc_realloc(memory, size);
    if (moved || !size) count_freed(old_size);
    count_allocated(malloc_usable_size(moved));
    return moved;
}

void free(void *memory) {
    count_freed(malloc_usable_size(memory));
    __libc_free(memory);
}
/* NOLINTEND(readability-inconsistent-declaration-parameter-name) */

static void install_hooks(void) {}

#endif

void heap_peak_begin(void) {
    install_hooks();
    held_bytes = most_bytes = 0;
    is_counting = true;
}

size_t heap_peak_end(void) {
    is_counting = false;
    return (size_t)most_bytes;
}
