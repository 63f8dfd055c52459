/* Replaces the library's clock and timers by a clock that the test advances. Link it into a test in addition
 * to the library. */
#ifndef AMBERPIN_TESTS_FAKE_CLOCK_H
#define AMBERPIN_TESTS_FAKE_CLOCK_H

#include "amberpin/base/loop.h"

/* Advances the clock and runs the timers that fall due, in order. */
void fake_clock_advance(amb_ms by);
/* Stops all timers; the clock keeps its value. */
void fake_clock_reset(void);

#endif
