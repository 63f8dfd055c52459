#include "amberpin/duty/lease.h"

enum { PPM = 1000000 };

amb_ms amb_duty_lease_local_ttl(const struct amb_duty_settings *settings) {
    /* The clock of the key-value store may be fast by the drift d while the local clock is slow by d. While a
     * ttl passes there, only (1 - d) / (1 + d) of it, at least 1 - 2d, passes here. The drift is rounded up,
     * so that the result is rounded down. */
    amb_ms drift = (settings->ttl * 2 * settings->drift_ppm + PPM - 1) / PPM;
    return settings->ttl - drift - settings->safety_margin;
}

void amb_duty_lease_note_renewal(struct amb_duty_lease *lease, amb_ms sent_at) {
    if (lease->is_granted && sent_at < lease->valid_from) return;
    lease->is_granted = true;
    lease->valid_from = sent_at;
}

amb_ms amb_duty_lease_remaining(const struct amb_duty_lease *lease, const struct amb_duty_settings *settings,
                                amb_ms now) {
    if (!lease->id || !lease->is_granted) return 0;
    amb_ms left = lease->valid_from + amb_duty_lease_local_ttl(settings) - now;
    return left > 0 ? left : 0;
}

bool amb_duty_lease_is_valid(const struct amb_duty_lease *lease, const struct amb_duty_settings *settings,
                             amb_ms now) {
    return amb_duty_lease_remaining(lease, settings, now) > 0;
}
