/* In place of the library's clock and timers: time passes when the test says so. Link it into a test beside
 * the library. */
#ifndef AMBERPIN_TESTS_FAKE_CLOCK_H
#define AMBERPIN_TESTS_FAKE_CLOCK_H

#include "amberpin/base/loop.h"

/* Time passes, and timers run as they fall due. */
void fake_clock_advance(amb_ms by);
/* Forgets all timers; time goes on. */
void fake_clock_reset(void);

#endif
