#include "scenarios.h"

#include <string.h>

/* Every scenario begins with a holder, incarnations that have just renewed their leases, and intents that no
 * member has heard of yet. */
#define SCENARIO(label, what, count, ordered, step)                                                          \
    .name = label, .members = count, .duty = AMB_DUTY_##what, .intents = ordered, .quantum = step,           \
    .instant_incarnations = true

const struct explorer_scenario duty_scenarios[] = {
    {SCENARIO("lapse", RENT, 3, 0, 700), .in_ci = true, .limits = {.advances = 2, .kills = 1}},
    {SCENARIO("drift", RENT, 2, 0, 560), .in_ci = true, .member_drift_ppm = -100000,
     .service_drift_ppm = 100000, .limits = {.advances = 3}},
    {SCENARIO("answers", RENT, 2, 1, 400), .in_ci = true, .limits = {.advances = 1, .give_ups = 1}},
    {SCENARIO("doubles", RENT, 2, 1, 400), .in_ci = true, .limits = {.advances = 1, .doubles = 1}},
    {SCENARIO("refused", RENT, 2, 1, 400), .in_ci = true,
     .limits = {.advances = 1, .give_ups = 1, .refusals = 1}},
    {SCENARIO("withdrawn", RETURN, 2, 1, 400), .in_ci = true,
     .limits = {.advances = 1, .give_ups = 1, .withdrawals = 1, .placements = 1}},
    {SCENARIO("drained", RETURN, 2, 1, 400), .in_ci = true, .limits = {.drains = 1}},
    {SCENARIO("restarted", RENT, 2, 0, 700), .in_ci = true,
     .limits = {.kills = 1, .restarts = 1, .give_ups = 1}},
    {SCENARIO("paused", RENT, 2, 1, 1250), .in_ci = true,
     .limits = {.advances = 1}}, /* longer than every lease */
    /* too large for every run of the tests */
    {.name = "renewals", .members = 2, .duty = AMB_DUTY_RENT, .quantum = 650, .limits = {.advances = 3}},
    {SCENARIO("drift-answers", RENT, 2, 0, 560), .member_drift_ppm = -100000, .service_drift_ppm = 100000,
     .limits = {.advances = 3, .give_ups = 1}},
    {SCENARIO("paused-twice", RENT, 2, 1, 700), .limits = {.advances = 2}},
    {SCENARIO("killed", RENT, 2, 1, 700), .limits = {.advances = 2, .kills = 1}},
    {SCENARIO("paused-return", RETURN, 2, 1, 700),
     .limits = {.advances = 2, .withdrawals = 1, .placements = 1}},
    {SCENARIO("paused-answers", RENT, 2, 1, 700), .limits = {.advances = 2, .give_ups = 1}},
    {SCENARIO("paused-refused", RENT, 2, 1, 700), .limits = {.advances = 2, .refusals = 1}},
    {SCENARIO("paused-three", RENT, 3, 1, 700), .limits = {.advances = 2}},
    {SCENARIO("drained-paused", RETURN, 2, 1, 400), .limits = {.advances = 1, .drains = 1}},
    {SCENARIO("two-orders", RENT, 2, 2, 700), .limits = {.advances = 1, .kills = 1}},
};
const size_t duty_scenario_count = sizeof duty_scenarios / sizeof *duty_scenarios;

const struct explorer_scenario *duty_scenario_find(const char *name) {
    for (size_t i = 0; i < duty_scenario_count; i++)
        if (!strcmp(duty_scenarios[i].name, name)) return &duty_scenarios[i];
    return NULL;
}
