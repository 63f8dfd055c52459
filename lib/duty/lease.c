#include "amberpin/duty/lease.h"

enum { PPM = 1000000 };

amb_ms amb_duty_lease_local_ttl(const struct amb_duty_settings *settings) {
    /* The key-value store's clock may be fast by the drift while ours is slow by it: of a ttl there, no
     * more than (1 - d) / (1 + d), which is at least 1 - 2d, may pass here. Rounded up, so that the span is
     * rounded down. */
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
