/* State of single-holder duties on a controller: the service, the mode that says who scales out and in, and
 * the scale-in intent that the leader is writing. docs/safety.md, "Duties", has the reasoning. Only lib/duty
 * and lib/cloud_duty change this state. */
#ifndef AMBERPIN_DUTY_NODE_DUTIES_H
#define AMBERPIN_DUTY_NODE_DUTIES_H

#include "amberpin/base/loop.h"
#include "amberpin/duty/service.h"

/* The scale-in intent that this leader is writing. */
struct amb_scale_in_intent {
    char id[AMB_DUTY_INTENT_ID_SIZE]; /* empty: no intent */
    enum amb_duty_name duty;          /* return or reclaim */
    struct amb_duty_intent_payload payload;
    bool in_flight;
    amb_ms retry_at;
};

struct amb_duties {
    struct amb_duty_service service;
    struct amb_timer timer;
    bool keys_listed;   /* all keys of the key-value store have been listed */
    bool records_exist; /* an intent was observed while the service was not active */
    /* `a/duty-mode`, as last known. */
    enum amb_duty_mode mode;
    uint64_t mode_revision;    /* 0: the key is absent */
    bool mode_unknown;         /* its value has an unknown version */
    bool mode_write_pending;   /* a write of the mode may still take effect */
    bool mode_write_in_flight; /* a write of the mode waits for its response */
    amb_ms mode_retry_at;
    struct amb_scale_in_intent scale_in;
    uint64_t scale_in_counter; /* for ids of scale-in intents that are unique within a term */
};

#endif
