#include "amberpin/zone_recovery/health.h"

#include <string.h>

static const char *const STATE_NAMES[AMB_ZONE_HEALTH_STATES] = {"healthy", "suspect", "lost", "returning"};

enum {
    UNRELATED_FAILURES_MAX = 2, /* this many machines may be unresponsive for unrelated reasons */
    /* The stability period starts again if more than one in this many of the machines that have responded
     * during it no longer respond. */
    DROPPED_DIVISOR = 10,
    DOUBLINGS_MAX = 30, /* most doublings of a period, so that it does not overflow */
};

/* ---- names ---- */

const char *amb_zone_health_state_name(enum amb_zone_health_state state) {
    return STATE_NAMES[state];
}

bool amb_zone_health_state_parse(const char *name, enum amb_zone_health_state *state) {
    for (int i = 0; i < AMB_ZONE_HEALTH_STATES; i++) {
        if (strcmp(name, STATE_NAMES[i]) != 0) continue;
        *state = (enum amb_zone_health_state)i;
        return true;
    }
    return false;
}

bool amb_zone_health_state_admits_batch(enum amb_zone_health_state state) {
    return state == AMB_ZONE_HEALTHY || state == AMB_ZONE_SUSPECT;
}

/* ---- responsiveness ---- */

enum amb_zone_responsiveness amb_zone_classify_responsiveness(uint64_t expected, uint64_t unresponsive) {
    if (unresponsive <= UNRELATED_FAILURES_MAX) return AMB_ZONE_RESPONSIVE;
    bool nearly_all = unresponsive * 10 >= expected * 9; /* at least nine in ten */
    bool over_one_third = unresponsive * 3 > expected;
    if (nearly_all) return AMB_ZONE_UNRESPONSIVE;
    return over_one_third ? AMB_ZONE_PARTLY_RESPONSIVE : AMB_ZONE_RESPONSIVE;
}

static enum amb_zone_responsiveness classify_evidence(const struct amb_zone_evidence *evidence) {
    uint64_t expected = roaring_bitmap_get_cardinality(evidence->expected);
    uint64_t unresponsive = roaring_bitmap_andnot_cardinality(evidence->expected, evidence->responsive);
    return amb_zone_classify_responsiveness(expected, unresponsive);
}

/* Do the missing heartbeats have another cause than a zone loss? If a lease proxy is active, the network
 * between two zones is at fault; if no zone responds, the network of this leader is. */
static bool is_loss_ruled_out(const struct amb_zone_evidence *evidence) {
    return evidence->lease_proxy_active || evidence->all_unresponsive;
}

/* ---- stability ---- */

amb_ms amb_zone_health_stability_period(const struct amb_zone_health *health,
                                        const struct amb_zone_settings *settings) {
    uint32_t doublings = health->losses > 1 ? health->losses - 1 : 0;
    if (doublings > DOUBLINGS_MAX || settings->stability_period > settings->stability_period_max >> doublings)
        return settings->stability_period_max;
    return settings->stability_period << doublings;
}

/* roaring_bitmap_free does not accept NULL. */
static void free_stable(struct amb_zone_health *health) {
    if (health->stable) roaring_bitmap_free(health->stable);
    health->stable = NULL;
}

static void restart_stability_period(struct amb_zone_health *health, const roaring_bitmap_t *responsive,
                                     amb_ms now) {
    free_stable(health);
    health->stable = roaring_bitmap_copy(responsive);
    health->stable_since = now;
}

/* Have too many of the stable machines dropped out? A machine that is no longer expected was released, and
 * does not count. */
static bool is_unstable(const struct amb_zone_health *health, const struct amb_zone_evidence *evidence) {
    roaring_bitmap_and_inplace(health->stable, evidence->expected);
    uint64_t stable = roaring_bitmap_get_cardinality(health->stable);
    uint64_t dropped = roaring_bitmap_andnot_cardinality(health->stable, evidence->responsive);
    return dropped > UNRELATED_FAILURES_MAX && dropped * DROPPED_DIVISOR > stable;
}

/* ---- state changes ---- */

/* The state of a zone that is neither lost nor returning. */
static enum amb_zone_health_state available_state(enum amb_zone_responsiveness responsiveness) {
    return responsiveness == AMB_ZONE_RESPONSIVE ? AMB_ZONE_HEALTHY : AMB_ZONE_SUSPECT;
}

static void expire_losses(struct amb_zone_health *health, amb_ms loss_expiry, amb_ms now) {
    amb_ms expired_losses = (now - health->available_since) / loss_expiry;
    health->losses = (amb_ms)health->losses > expired_losses ? health->losses - (uint32_t)expired_losses : 0;
}

static void mark_lost(struct amb_zone_health *health, const struct amb_zone_settings *settings, amb_ms now) {
    if (health->state != AMB_ZONE_RETURNING) expire_losses(health, settings->loss_expiry, now);
    health->losses++;
    health->state = AMB_ZONE_LOST;
}

static void update_available(struct amb_zone_health *health, const struct amb_zone_settings *settings,
                             const struct amb_zone_evidence *evidence, amb_ms now) {
    enum amb_zone_responsiveness responsiveness = classify_evidence(evidence);
    if (responsiveness == AMB_ZONE_UNRESPONSIVE && !is_loss_ruled_out(evidence))
        mark_lost(health, settings, now);
    else
        health->state = available_state(responsiveness);
}

/* A lost zone without any machine becomes returning too, because no evidence would ever show that it can be
 * used again. */
static void update_lost(struct amb_zone_health *health, const struct amb_zone_evidence *evidence,
                        amb_ms now) {
    if (evidence->all_unresponsive) return;
    if (classify_evidence(evidence) == AMB_ZONE_UNRESPONSIVE && !evidence->lease_proxy_active) return;
    health->state = AMB_ZONE_RETURNING;
    restart_stability_period(health, evidence->responsive, now);
}

static void update_returning(struct amb_zone_health *health, const struct amb_zone_settings *settings,
                             const struct amb_zone_evidence *evidence, amb_ms now) {
    enum amb_zone_responsiveness responsiveness = classify_evidence(evidence);
    if (responsiveness == AMB_ZONE_UNRESPONSIVE && !is_loss_ruled_out(evidence)) {
        mark_lost(health, settings, now);
        return;
    }
    if (responsiveness == AMB_ZONE_UNRESPONSIVE || is_unstable(health, evidence)) {
        restart_stability_period(health, evidence->responsive, now);
        return;
    }
    roaring_bitmap_or_inplace(health->stable, evidence->responsive);
    if (now - health->stable_since < amb_zone_health_stability_period(health, settings)) return;
    health->state = available_state(responsiveness);
    health->available_since = now;
}

bool amb_zone_health_update(struct amb_zone_health *health, const struct amb_zone_settings *settings,
                            const struct amb_zone_evidence *evidence, amb_ms now) {
    enum amb_zone_health_state previous = health->state;
    switch (previous) {
    case AMB_ZONE_HEALTHY:
    case AMB_ZONE_SUSPECT: update_available(health, settings, evidence, now); break;
    case AMB_ZONE_LOST: update_lost(health, evidence, now); break;
    case AMB_ZONE_RETURNING: update_returning(health, settings, evidence, now); break;
    case AMB_ZONE_HEALTH_STATES: break;
    }
    return health->state != previous;
}

void amb_zone_health_restore(struct amb_zone_health *health, enum amb_zone_health_state state,
                             uint32_t losses, amb_ms now) {
    free_stable(health);
    *health = (struct amb_zone_health){.state = state,
                                       .losses = losses,
                                       .available_since = now,
                                       .stable_since = now,
                                       .stable = roaring_bitmap_create()};
}

void amb_zone_health_free(struct amb_zone_health *health) {
    free_stable(health);
    *health = (struct amb_zone_health){.state = AMB_ZONE_HEALTHY};
}
