/* The most heap memory that a piece of code holds beyond what was allocated before it. Counts all allocations
 * of the process, also those of libraries: through the hooks of the address sanitizer, or else in place of
 * malloc. */
#ifndef AMBERPIN_TESTS_HEAP_PEAK_H
#define AMBERPIN_TESTS_HEAP_PEAK_H

#include <stddef.h>

/* Starts to count. */
void heap_peak_begin(void);
/* Returns the most bytes held since heap_peak_begin, and stops counting. */
size_t heap_peak_end(void);

#endif
