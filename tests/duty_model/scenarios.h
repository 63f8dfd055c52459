/* The scenarios that the explorer knows: sizes of the protocol model and limits of its faults. */
#ifndef AMBERPIN_TESTS_DUTY_SCENARIOS_H
#define AMBERPIN_TESTS_DUTY_SCENARIOS_H

#include "explorer.h"

extern const struct explorer_scenario duty_scenarios[];
extern const size_t duty_scenario_count;
const struct explorer_scenario *duty_scenario_find(const char *name); /* NULL: none */

#endif
