/* Health of a zone: a state machine driven by evidence and time. It does no I/O and reads no clock.
 *
 *     healthy <---> suspect          over a third of the machines are unresponsive, or fewer again
 *        \            |  ^
 *         v           v  |
 *          ----> lost     |          at least nine in ten are unresponsive
 *                 |  ^    |
 *                 v  |    |
 *              returning -+--> healthy
 *
 * A lost zone that responds again is returning until its machines have been stable for the stability period,
 * that is, responsive without many of them dropping out. The period doubles with each loss up to a bound, and
 * losses expire one by one while the zone is available. */
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

/* What is known about a zone at one moment. The sets hold machine numbers, which are never reused, and are
 * borrowed. */
struct amb_zone_evidence {
    const roaring_bitmap_t *expected;   /* machines that should respond */
    const roaring_bitmap_t *responsive; /* machines that do respond */
    bool lease_proxy_active;            /* a lease proxy keeps the agents of the zone alive */
    bool all_unresponsive;              /* no zone responds, which says nothing about this zone */
};

/* A zeroed structure is healthy. Free it with amb_zone_health_free. */
struct amb_zone_health {
    enum amb_zone_health_state state;
    uint32_t losses;          /* losses that have not expired */
    amb_ms available_since;   /* when the zone last became available (healthy or suspect) */
    amb_ms stable_since;      /* while returning: start of the stability period */
    roaring_bitmap_t *stable; /* while returning: the stable machines; owned; NULL: never returning so far */
};

/* How much of a zone responds, judged by machine counts alone. */
enum amb_zone_responsiveness { AMB_ZONE_RESPONSIVE, AMB_ZONE_PARTLY_RESPONSIVE, AMB_ZONE_UNRESPONSIVE };

/* unresponsive: the number of expected machines that do not respond. */
enum amb_zone_responsiveness amb_zone_classify_responsiveness(uint64_t expected, uint64_t unresponsive);

/* Updates the state from the evidence at `now`. True: the state has changed. */
bool amb_zone_health_update(struct amb_zone_health *health, const struct amb_zone_settings *settings,
                            const struct amb_zone_evidence *evidence, amb_ms now);

/* Restores the health that an earlier leader recorded. A returning zone starts a new stability period. */
void amb_zone_health_restore(struct amb_zone_health *health, enum amb_zone_health_state state,
                             uint32_t losses, amb_ms now);

/* How long the machines of a returning zone must be stable, given the losses that have not expired. */
amb_ms amb_zone_health_stability_period(const struct amb_zone_health *health,
                                        const struct amb_zone_settings *settings);

/* Frees the set that the structure owns and resets the state to healthy. */
void amb_zone_health_free(struct amb_zone_health *health);

/* May batch tasks start in a zone with this state? */
bool amb_zone_health_state_admits_batch(enum amb_zone_health_state state);

/* The name of the state in logs and records. */
const char *amb_zone_health_state_name(enum amb_zone_health_state state);

/* Sets *state to the state with this name. False: there is none. */
bool amb_zone_health_state_parse(const char *name, enum amb_zone_health_state *state);

#endif
