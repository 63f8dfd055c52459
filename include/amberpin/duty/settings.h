/* Settings of single-holder duties, and the check that they can work together. */
#ifndef AMBERPIN_DUTY_SETTINGS_H
#define AMBERPIN_DUTY_SETTINGS_H

#include "amberpin/duty/types.h"

struct amb_duty_settings {
    bool enabled[AMB_DUTY_COUNT]; /* duties that are filled; see amb_duty_settings_parse_names */
    amb_ms ttl;                   /* of a member's lease at the key-value store */
    uint32_t drift_ppm;           /* most drift of one monotonic clock, in millionths */
    amb_ms safety_margin;         /* the local right ends this much before the lease can */
    amb_ms call_timeout;          /* a call without an answer for this long counts as lost */
    amb_ms expiry_lateness;       /* the key-value store ends a lease at most this late */
    amb_ms backoff;               /* between the claims of neighbours in rank, and between retries */
    amb_ms flap_decay;            /* two losses of the lease within this time make a member flap */
    amb_ms drain_timeout;         /* open intents are waited for this long in a planned handover */
    amb_ms keep_settled;          /* age at which a settled intent's record may be removed */
    amb_ms keep_uncertain;        /* the same, if a copy of the intent was never answered */
    uint32_t max_refusals;        /* scale out is settled as refused after so many refusals */
};

enum amb_duty_settings_error {
    AMB_DUTY_SETTINGS_OK,
    AMB_DUTY_SETTINGS_UNKNOWN_NAME,   /* a duty of this name does not exist */
    AMB_DUTY_SETTINGS_DOUBLED_NAME,   /* a duty is named twice */
    AMB_DUTY_SETTINGS_NO_NAME,        /* no duty is named */
    AMB_DUTY_SETTINGS_TTL_RANGE,      /* the key-value store takes 100 ms to 600 s */
    AMB_DUTY_SETTINGS_DRIFT_RANGE,    /* below 100,000 millionths */
    AMB_DUTY_SETTINGS_SHORT_LEASE,    /* what drift and margin leave of the lease is too short to renew it: it
                                       * must be more than the time    between renewals and three calls */
    AMB_DUTY_SETTINGS_BACKOFF_RANGE,  /* at least one call timeout, at most the lease */
    AMB_DUTY_SETTINGS_KEEP_RANGE,     /* keep_uncertain below keep_settled, or keep_settled not positive */
    AMB_DUTY_SETTINGS_REFUSALS_RANGE, /* at least one */
};

/* Ratios of the ttl; drift as the protocol has it; list_span: time after which a machine that exists is
 * listed. */
struct amb_duty_settings amb_duty_settings_default(amb_ms ttl, amb_ms list_span);

/* Reads a list of duty names separated by commas, spaces or both ("all": every duty). On failure, `wrong` (of
 * size cap) names the first name that is at fault. */
enum amb_duty_settings_error amb_duty_settings_parse_names(struct amb_duty_settings *settings,
                                                           const char *names, char *wrong_name,
                                                           size_t wrong_name_size);

enum amb_duty_settings_error amb_duty_settings_check(const struct amb_duty_settings *settings);

/* Field that is at fault, and what is allowed there. */
const char *amb_duty_settings_field(enum amb_duty_settings_error error);
const char *amb_duty_settings_allowed(enum amb_duty_settings_error error);

/* Most time that a duty is without a holder after its holder's lease was last renewed, while the state
 * service answers calls within call_timeout and at least one of `members` members runs. */
amb_ms amb_duty_settings_vacancy_bound(const struct amb_duty_settings *settings, uint32_t members);

#endif
