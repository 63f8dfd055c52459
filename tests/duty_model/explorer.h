/* Tries every order of steps in a small world (breadth first), and looks at the rules in every state. */
#ifndef AMBERPIN_TESTS_DUTY_EXPLORER_H
#define AMBERPIN_TESTS_DUTY_EXPLORER_H

#include "protocol_model.h"

/* How often each of these may happen on one path. */
struct explorer_limits {
    uint8_t advances; /* time passes by a quantum; whoever is not given a step meanwhile is paused */
    uint8_t give_ups; /* a request or its answer is lost, or comes after it was given up */
    uint8_t doubles;  /* a request to the state service, or an answer, comes twice */
    uint8_t kills, restarts, drains, refusals, placements, withdrawals;
};

struct explorer_scenario {
    const char *name;
    uint32_t members;
    enum amb_duty_name duty; /* the one that there is */
    uint32_t intents;
    int32_t member_drift_ppm, service_drift_ppm;
    amb_ms quantum;
    struct explorer_limits limits;
    bool instant_incarnations; /* see struct world */
    bool in_ci;                /* small enough to be explored whenever the tests run */
    enum model_mutation mutation;
};

struct explorer_result {
    const char *violation;            /* NULL: none */
    bool complete;                    /* all states of the world were visited */
    uint64_t states, steps, quiesced; /* quieted: states played on to the end */
    uint32_t depth;
    char trace[1024]; /* steps that lead to the violation */
};

/* Visits at most `most` states. Every quiet_every-th one (0: none) is also played on without faults until all
 * is quiet. */
struct explorer_result explorer_run(const struct explorer_scenario *scenario, uint64_t most,
                                    uint32_t quiet_every);

#endif
