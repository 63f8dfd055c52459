/* The local validity of a lease: the time for which a member may rely on it without asking the key-value
 * store. */
#ifndef AMBERPIN_DUTY_LEASE_H
#define AMBERPIN_DUTY_LEASE_H

#include "amberpin/duty/settings.h"

enum { AMB_DUTY_RENEWALS_PER_TTL = 4 }; /* renewal attempts per ttl */

/* Length of the local validity, counted from the time just before the grant or renewal was sent: the ttl,
 * less the drift of both clocks (the member's may be slow while the key-value store's is fast), less the
 * safety margin. */
amb_ms amb_duty_lease_local_ttl(const struct amb_duty_settings *settings);

struct amb_duty_lease {
    uint64_t id;       /* id of the lease in the key-value store; 0: none */
    bool is_granted;   /* valid_from is meaningful */
    amb_ms valid_from; /* when the latest request that succeeded was sent */
};

/* Records the success of a grant or renewal that was sent at `sent_at`. The response to an older request
 * changes nothing. */
void amb_duty_lease_note_renewal(struct amb_duty_lease *lease, amb_ms sent_at);

/* Returns true if the lease is certainly alive at `now`. */
bool amb_duty_lease_is_valid(const struct amb_duty_lease *lease, const struct amb_duty_settings *settings,
                             amb_ms now);

/* Time for which the lease is still certainly alive; 0 if it may have expired. */
amb_ms amb_duty_lease_remaining(const struct amb_duty_lease *lease, const struct amb_duty_settings *settings,
                                amb_ms now);

#endif
