/* Simulation of single-holder duties in simulated time. A seed gives a scenario: 3 to 7 members with drifting
 * clocks, a state service and a cloud whose answers come late, twice or never, and members that are paused,
 * killed, cut off or asked to hand over, also in the middle of an intent. */
#ifndef AMBERPIN_TESTS_DUTY_SIMULATION_H
#define AMBERPIN_TESTS_DUTY_SIMULATION_H

#include "protocol_model.h"

enum { SIMULATION_FAULTS = 48 };

enum simulation_fault_kind {
    SIMULATION_PAUSE,
    SIMULATION_KILL,   /* the member is started again after the fault's length */
    SIMULATION_CUT,    /* the member is cut off from the state service alone */
    SIMULATION_DRAIN,  /* a planned handover */
    SIMULATION_OUTAGE, /* the state service fails for every member */
    SIMULATION_LOSSES, /* many answers are lost, late or doubled */
    SIMULATION_FAULT_KINDS,
};

/* When a fault is injected: at its time, or once the duty's holder has such a message in flight. */
enum simulation_moment {
    SIMULATION_AT_ONCE,
    SIMULATION_AT_MARK,   /* a commit that marks an intent as sent */
    SIMULATION_AT_SEND,   /* a cloud call that was decided on and not sent yet */
    SIMULATION_AT_CALL,   /* a cloud call that was sent */
    SIMULATION_AT_SETTLE, /* an answer of the cloud */
    SIMULATION_AT_CLAIM,  /* a commit that claims or releases a duty */
    SIMULATION_MOMENTS,
};

struct simulation_fault {
    enum simulation_fault_kind kind;
    enum simulation_moment moment;
    enum amb_duty_name duty; /* the fault hits the holder of this duty */
    amb_ms at, length;
};

struct simulation_scenario {
    uint64_t seed;
    bool calm; /* one fault at a time and no lost answers: the bound on vacancies must hold */
    uint32_t members, nfaults;
    struct simulation_fault faults[SIMULATION_FAULTS];
    enum model_mutation mutation;
};

struct simulation_result {
    const char *violation; /* NULL: none */
    amb_ms at;
    uint64_t handovers, intents, fenced_calls;
    uint64_t settled_done, settled_refused, settled_void;
    uint64_t vacancies; /* spans of time in which no member could act for a duty */
    amb_ms vacancy_sum, vacancy_most, vacancy_bound;
};

struct simulation_scenario simulation_generate(uint64_t seed);
struct simulation_result simulation_run(const struct simulation_scenario *scenario);
/* Returns the scenario without the faults that its violation does not need. */
struct simulation_scenario simulation_shrink(const struct simulation_scenario *scenario);
void simulation_print(const struct simulation_scenario *scenario);

#endif
