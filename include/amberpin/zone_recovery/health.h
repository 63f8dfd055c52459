/* Health of a zone: evidence and time go in, a verdict comes out. Pure: no input or output, no clock.
 *
 *     healthy <---> suspect          a good part of the machines is silent, or is heard again
 *        \            |  ^
 *         v           v  |
 *          ----> lost     |          nearly all are silent
 *                 |  ^    |
 *                 v  |    |
 *              returning -+--> healthy
 *
 * A zone that was lost is returning until its machines have answered steadily for a while. That time doubles
 * with each loss up to a bound, and losses are forgotten one by one while the zone is not lost. */
#ifndef AMBERPIN_ZONE_RECOVERY_HEALTH_H
#define AMBERPIN_ZONE_RECOVERY_HEALTH_H

#include "amberpin/zone_recovery/settings.h"

#include <roaring/roaring.h>

enum amb_zone_health_state {
    AMB_ZONE_HEALTHY,
    AMB_ZONE_SUSPECT,
    AMB_ZONE_LOST,
    AMB_ZONE_RETURNING,
    AMB_ZONE_HEALTH_STATES,
};

/* What is known of a zone at one moment. Machines are numbers, each used for one machine only. */
struct amb_zone_evidence {
    const roaring_bitmap_t *expected;   /* machines that should answer */
    const roaring_bitmap_t *responsive; /* machines that do */
    bool lease_proxy_active;            /* another controller keeps the zone's machines at work */
    bool all_unresponsive;              /* no machine of any zone answers: nothing is shown of this one */
};

struct amb_zone_health {
    enum amb_zone_health_state state;
    uint32_t losses;          /* that still count */
    amb_ms available_since;   /* not lost and not returning since then */
    amb_ms stable_since;      /* returning: its machines have answered steadily since then */
    roaring_bitmap_t *stable; /* returning: these machines; NULL: not returning yet */
};

/* How much of a zone is heard, by numbers alone. */
enum amb_zone_responsiveness { AMB_ZONE_RESPONSIVE, AMB_ZONE_PARTLY_RESPONSIVE, AMB_ZONE_UNRESPONSIVE };
enum amb_zone_responsiveness amb_zone_classify_responsiveness(uint64_t expected, uint64_t unresponsive);

/* Brings the verdict up to date. True: it has changed. */
bool amb_zone_health_update(struct amb_zone_health *health, const struct amb_zone_settings *settings,
                            const struct amb_zone_evidence *evidence, amb_ms now);
/* As an earlier leader left it: what had answered steadily is to do so anew. */
void amb_zone_health_restore(struct amb_zone_health *health, enum amb_zone_health_state state,
                             uint32_t losses, amb_ms now);
/* How long its machines have to answer steadily. */
amb_ms amb_zone_health_stability_period(const struct amb_zone_health *health,
                                        const struct amb_zone_settings *settings);
void amb_zone_health_free(struct amb_zone_health *health);

/* May batch work start in a zone of this verdict? */
bool amb_zone_health_state_admits_batch(enum amb_zone_health_state state);
const char *amb_zone_health_state_name(enum amb_zone_health_state state);
/* False: no verdict has this name. */
bool amb_zone_health_state_parse(const char *name, enum amb_zone_health_state *state);

#endif
