/* Days of single-holder duties in simulated time, drawn from a seed: 3 to 7 members with clocks that drift, a
 * state service and a cloud whose answers come late, twice or never, and members that are paused, killed, cut
 * off and asked to hand over, also in the middle of an order. */
#ifndef AMBERPIN_TESTS_DUTY_SIMULATION_H
#define AMBERPIN_TESTS_DUTY_SIMULATION_H

#include "protocol_model.h"

enum { SIMULATION_FAULTS = 48 };

enum simulation_fault_kind {
    SIMULATION_PAUSE,
    SIMULATION_KILL,   /* and started again when it is over */
    SIMULATION_CUT,    /* from the state service alone */
    SIMULATION_DRAIN,  /* a planned handover */
    SIMULATION_OUTAGE, /* of the state service, for all */
    SIMULATION_LOSSES, /* many answers are lost, late or doubled */
    SIMULATION_FAULT_KINDS,
};

/* When a fault strikes: at its time, or the next time that its member is about to do something. */
enum simulation_moment {
    SIMULATION_AT_ONCE,
    SIMULATION_AT_MARK,   /* an order's mark is on its way */
    SIMULATION_AT_SEND,   /* decided to call the cloud, not sent yet */
    SIMULATION_AT_CALL,   /* the call is on its way */
    SIMULATION_AT_SETTLE, /* the cloud has answered */
    SIMULATION_AT_CLAIM,  /* a claim or release is on its way */
    SIMULATION_MOMENTS,
};

struct simulation_fault {
    enum simulation_fault_kind kind;
    enum simulation_moment moment;
    enum amb_duty_name duty; /* it strikes who holds this at the moment */
    amb_ms at, length;
};

struct simulation_scenario {
    uint64_t seed;
    bool calm; /* one fault after the other, and no answer is lost: then the bound on vacancies must hold */
    uint32_t members, nfaults;
    struct simulation_fault faults[SIMULATION_FAULTS];
    enum model_mutation mutation;
};

struct simulation_result {
    const char *violation; /* NULL: none */
    amb_ms at;
    uint64_t handovers, intents, fenced_calls;
    uint64_t settled_done, settled_refused, settled_void;
    uint64_t vacancies; /* spans of time in which nobody had the right to a duty */
    amb_ms vacancy_sum, vacancy_most, vacancy_bound;
};

struct simulation_scenario simulation_generate(uint64_t seed);
struct simulation_result simulation_run(const struct simulation_scenario *day);
/* The day without the faults that its violation does not need. */
struct simulation_scenario simulation_shrink(const struct simulation_scenario *day);
void simulation_print(const struct simulation_scenario *day);

#endif
