/* Settings of single-holder duties, and the check that they are consistent. */
#ifndef AMBERPIN_DUTY_SETTINGS_H
#define AMBERPIN_DUTY_SETTINGS_H

#include "amberpin/duty/types.h"

struct amb_duty_settings {
    bool enabled[AMB_DUTY_COUNT]; /* duties that members claim; see amb_duty_settings_parse_names */
    amb_ms ttl;                   /* ttl of a member's lease in the key-value store */
    uint32_t drift_ppm;           /* largest drift of one monotonic clock, in millionths */
    amb_ms safety_margin;         /* the local validity ends this long before the lease can expire */
    amb_ms call_timeout;          /* a call without a response for this long counts as lost */
    amb_ms max_expiry_delay;      /* the key-value store expires a lease at most this late */
    amb_ms backoff;           /* delay between the claims of members of adjacent rank, and between retries */
    amb_ms flap_decay;        /* a member that loses its lease twice within this time is flapping */
    amb_ms drain_timeout;     /* a planned handover waits this long for open intents */
    amb_ms settled_retention; /* age at which the record of a settled intent may be removed */
    amb_ms uncertain_retention; /* the same for an intent with a copy that was never answered */
    uint32_t max_refusals;      /* a scale out settles as refused after this number of refusals */
};

enum amb_duty_settings_error {
    AMB_DUTY_SETTINGS_OK,
    AMB_DUTY_SETTINGS_UNKNOWN_NAME,    /* there is no duty of this name */
    AMB_DUTY_SETTINGS_DUPLICATE_NAME,  /* a duty is listed twice */
    AMB_DUTY_SETTINGS_NO_NAME,         /* no duty is listed */
    AMB_DUTY_SETTINGS_TTL_RANGE,       /* allowed by the key-value store: 100 ms to 600 s */
    AMB_DUTY_SETTINGS_DRIFT_RANGE,     /* allowed: at most 100,000 millionths */
    AMB_DUTY_SETTINGS_SHORT_LEASE,     /* the lease less drift and margin is too short to renew it: it must be
                                          longer than the time between renewals plus three call timeouts */
    AMB_DUTY_SETTINGS_BACKOFF_RANGE,   /* allowed: one call timeout to the ttl */
    AMB_DUTY_SETTINGS_RETENTION_RANGE, /* uncertain_retention is below settled_retention, or settled_retention
                                          is not positive */
    AMB_DUTY_SETTINGS_REFUSALS_RANGE,  /* allowed: at least one */
};

/* Default settings: durations as fractions of the ttl, drift as the protocol states it. `list_span` is the
 * time after which every existing machine is in the machine list. */
struct amb_duty_settings amb_duty_settings_default(amb_ms ttl, amb_ms list_span);

/* Parses a list of duty names separated by commas, spaces or both ("all": every duty) into `enabled`. On
 * failure, `wrong_name` holds the first name in error. */
enum amb_duty_settings_error amb_duty_settings_parse_names(struct amb_duty_settings *settings,
                                                           const char *names, char *wrong_name,
                                                           size_t wrong_name_size);

enum amb_duty_settings_error amb_duty_settings_check(const struct amb_duty_settings *settings);

/* The field that an error refers to, and what is allowed there. */
const char *amb_duty_settings_field(enum amb_duty_settings_error error);
const char *amb_duty_settings_allowed(enum amb_duty_settings_error error);

/* The longest time that a duty has no holder after its holder's lease was last renewed, provided that the
 * key-value store answers calls within call_timeout and at least one of `members` members runs. */
amb_ms amb_duty_settings_vacancy_bound(const struct amb_duty_settings *settings, uint32_t members);

#endif
