/* Explores every order of steps of a small protocol model, breadth first, and checks its rules in every
 * state. */
#ifndef AMBERPIN_TESTS_DUTY_EXPLORER_H
#define AMBERPIN_TESTS_DUTY_EXPLORER_H

#include "protocol_model.h"

/* How often each kind of step may occur on one path, at most. */
struct explorer_limits {
    uint8_t advances; /* time moves on by one quantum; a member without a step in it is paused */
    uint8_t give_ups; /* a request or its answer is lost, or arrives after the sender's timeout */
    uint8_t doubles;  /* a request to the state service, or an answer, is delivered twice */
    uint8_t kills, restarts, drains, refusals, placements, withdrawals;
};

struct explorer_scenario {
    const char *name;
    uint32_t members;
    enum amb_duty_name duty; /* the only one that is enabled */
    uint32_t intents;
    int32_t member_drift_ppm, service_drift_ppm;
    amb_ms quantum;
    struct explorer_limits limits;
    bool instant_incarnations; /* see struct protocol_model */
    bool in_ci;                /* small enough for every run of the tests */
    enum model_mutation mutation;
};

struct explorer_result {
    const char *violation;            /* NULL: none */
    bool complete;                    /* every reachable state was visited */
    uint64_t states, steps, quiesced; /* quiesced: states that were also run without faults to the end */
    uint32_t depth;
    char trace[1024]; /* steps that lead to the violation */
};

/* Visits at most `most` states. One of quiesce_every states on average (0: none) is also run without faults
 * until it has quiesced. */
struct explorer_result explorer_run(const struct explorer_scenario *scenario, uint64_t most,
                                    uint32_t quiesce_every);

#endif
