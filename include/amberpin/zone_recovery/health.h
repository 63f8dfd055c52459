/* Health of a zone: evidence and time go in, a state comes out. Pure: no input or output, no clock.
 *
 *     healthy <---> suspect          a good part of the machines is unresponsive, or responds again
 *        \            |  ^
 *         v           v  |
 *          ----> lost     |          nearly all are unresponsive
 *                 |  ^    |
 *                 v  |    |
 *              returning -+--> healthy
 *
 * A zone that was lost is returning until its machines have been stable, that is responsive without many
 * dropping out, for the stability period. The period doubles with each loss up to a bound, and losses expire
 * one by one while the zone is available. */
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

/* What is known of a zone at one moment. Machines are numbers, each used for one machine only. The sets are
 * borrowed. */
struct amb_zone_evidence {
    const roaring_bitmap_t *expected;   /* machines that should respond */
    const roaring_bitmap_t *responsive; /* machines that do */
    bool lease_proxy_active;            /* another controller keeps the zone's tasks running */
    bool all_unresponsive;              /* no zone responds, which shows nothing of this one */
};

/* Healthy when zeroed. To be freed by amb_zone_health_free. */
struct amb_zone_health {
    enum amb_zone_health_state state;
    uint32_t losses;          /* that have not expired */
    amb_ms available_since;   /* neither lost nor returning since then */
    amb_ms stable_since;      /* while returning: its machines have been stable since then */
    roaring_bitmap_t *stable; /* while returning: these machines; owned; NULL: never returning yet */
};

/* How much of a zone responds, by counts alone. */
enum amb_zone_responsiveness { AMB_ZONE_RESPONSIVE, AMB_ZONE_PARTLY_RESPONSIVE, AMB_ZONE_UNRESPONSIVE };

/* unresponsive: so many of the expected machines don't respond. */
enum amb_zone_responsiveness amb_zone_classify_responsiveness(uint64_t expected, uint64_t unresponsive);

/* Updates the state from evidence of this moment. True: it has changed. */
bool amb_zone_health_update(struct amb_zone_health *health, const struct amb_zone_settings *settings,
                            const struct amb_zone_evidence *evidence, amb_ms now);

/* Restores what an earlier leader recorded. A returning zone begins its stability period anew. */
void amb_zone_health_restore(struct amb_zone_health *health, enum amb_zone_health_state state,
                             uint32_t losses, amb_ms now);

/* How long the machines of a returning zone must be stable, with the losses that count now. */
amb_ms amb_zone_health_stability_period(const struct amb_zone_health *health,
                                        const struct amb_zone_settings *settings);

/* Frees what the health owns and makes it healthy. */
void amb_zone_health_free(struct amb_zone_health *health);

/* May batch tasks start in a zone of this state? */
bool amb_zone_health_state_admits_batch(enum amb_zone_health_state state);

/* The state's name in logs and records. */
const char *amb_zone_health_state_name(enum amb_zone_health_state state);

/* False: no state has this name. */
bool amb_zone_health_state_parse(const char *name, enum amb_zone_health_state *state);

#endif
