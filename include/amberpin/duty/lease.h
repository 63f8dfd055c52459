/* The local validity of a lease: until when a member may rely on it without asking anybody. */
#ifndef AMBERPIN_DUTY_LEASE_H
#define AMBERPIN_DUTY_LEASE_H

#include "amberpin/duty/settings.h"

enum { AMB_DUTY_RENEWALS_PER_TTL = 4 }; /* renewals are tried this often within a ttl */

/* Length of the local validity, from before the grant or renewal was sent: the ttl, less the drift of both
 * clocks (the member's may be slow while the key-value store's is fast), less the margin. */
amb_ms amb_duty_lease_local_ttl(const struct amb_duty_settings *settings);

struct amb_duty_lease {
    uint64_t id;       /* of the key-value store's lease; 0: none */
    bool is_granted;   /* counted_from is meaningful */
    amb_ms valid_from; /* when the request was sent that the latest positive answer belongs to */
};

/* A positive answer to a request that was sent at sent_at. An answer to an older request changes nothing. */
void amb_duty_lease_note_renewal(struct amb_duty_lease *lease, amb_ms sent_at);

/* Is the lease certainly alive now? */
bool amb_duty_lease_is_valid(const struct amb_duty_lease *lease, const struct amb_duty_settings *settings,
                             amb_ms now);

/* How long it will be; 0: no longer. */
amb_ms amb_duty_lease_remaining(const struct amb_duty_lease *lease, const struct amb_duty_settings *settings,
                                amb_ms now);

#endif
