/* State of single-holder duties on a controller: the service, the mode that says who scales out and in, and
 * the intent that the leader is writing. docs/safety.md, "Duties", has the reasoning. Modules lib/duty and
 * lib/cloud_duty change it. */
#ifndef AMBERPIN_DUTY_NODE_DUTIES_H
#define AMBERPIN_DUTY_NODE_DUTIES_H

#include "amberpin/base/loop.h"
#include "amberpin/duty/service.h"

/* A scale-in intent of this leader that is being written. */
struct amb_scale_in_intent {
    char id[AMB_DUTY_INTENT_ID_SIZE]; /* empty: there is none */
    enum amb_duty_name duty;          /* return or reclaim */
    struct amb_duty_intent_payload work;
    bool in_flight;
    amb_ms retry_at;
};

struct amb_duties {
    struct amb_duty_service service;
    struct amb_timer timer;
    bool keys_listed;   /* all keys of the store have been listed */
    bool records_exist; /* an intent was seen while the service is not active */
    /* `a/duty-mode`, as last known. */
    enum amb_duty_mode mode;
    uint64_t mode_revision;    /* 0: the key is absent */
    bool mode_unknown;         /* its value is of an unknown version */
    bool mode_write_pending;   /* a change of it may be under way */
    bool mode_write_in_flight; /* and its answer is awaited */
    amb_ms mode_retry_at;
    struct amb_scale_in_intent scale_in;
    uint64_t scale_in_counter; /* makes the ids of scale-in intents unique within a term */
};

#endif
