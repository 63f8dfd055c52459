#include "amberpin/zone_recovery/health.h"

#include <string.h>

static const char *const VERDICT_NAMES[AMB_ZONE_VERDICTS] = {"healthy", "suspect", "lost", "returning"};

enum {
    FEW_MACHINES = 2,      /* so many may be silent for reasons of their own */
    DROPPED_SHARE = 10,    /* one in so many that answered steadily and are silent: not steady */
    LONGEST_DOUBLING = 30, /* shifts that an amb_ms bears */
};

/* ---- names ---- */

const char *amb_zone_verdict_name(enum amb_zone_verdict verdict) {
    return VERDICT_NAMES[verdict];
}

bool amb_zone_verdict_parse(const char *name, enum amb_zone_verdict *verdict) {
    for (int i = 0; i < AMB_ZONE_VERDICTS; i++) {
        if (strcmp(name, VERDICT_NAMES[i]) != 0) continue;
        *verdict = (enum amb_zone_verdict)i;
        return true;
    }
    return false;
}

bool amb_zone_verdict_admits_batch(enum amb_zone_verdict verdict) {
    return verdict == AMB_ZONE_HEALTHY || verdict == AMB_ZONE_SUSPECT;
}

/* ---- what is heard ---- */

enum amb_zone_heard amb_zone_heard_of(uint64_t expected, uint64_t silent) {
    if (silent <= FEW_MACHINES) return AMB_ZONE_HEARD;
    if (silent * 10 >= expected * 9) return AMB_ZONE_NOT_HEARD;
    return silent * 3 > expected ? AMB_ZONE_HEARD_PARTLY : AMB_ZONE_HEARD;
}

static enum amb_zone_heard heard_of(const struct amb_zone_evidence *evidence) {
    uint64_t expected = roaring_bitmap_get_cardinality(evidence->expected);
    uint64_t silent = roaring_bitmap_andnot_cardinality(evidence->expected, evidence->answering);
    return amb_zone_heard_of(expected, silent);
}

/* Silence that says nothing of the zone: a cut between two zones, or a leader that itself hears nobody. */
static bool is_excused(const struct amb_zone_evidence *evidence) {
    return evidence->deputy_at_work || evidence->nobody_heard;
}

/* ---- steadiness ---- */

amb_ms amb_zone_health_steady_time(const struct amb_zone_health *health,
                                   const struct amb_zone_settings *settings) {
    uint32_t doublings = health->losses > 1 ? health->losses - 1 : 0;
    if (doublings > LONGEST_DOUBLING || settings->steady > settings->steady_longest >> doublings)
        return settings->steady_longest;
    return settings->steady << doublings;
}

/* The library takes no NULL. (The first leader that lost its lead ended there, with nothing ever lost.) */
static void free_steady(struct amb_zone_health *health) {
    if (health->steady) roaring_bitmap_free(health->steady);
    health->steady = NULL;
}

static void begin_steady_time(struct amb_zone_health *health, const roaring_bitmap_t *answering, amb_ms now) {
    free_steady(health);
    health->steady = roaring_bitmap_copy(answering);
    health->steady_since = now;
}

/* Have too many fallen silent of the machines that answered? One that is not expected any more was returned.
 */
static bool is_unsteady(const struct amb_zone_health *health, const struct amb_zone_evidence *evidence) {
    roaring_bitmap_and_inplace(health->steady, evidence->expected);
    uint64_t steady = roaring_bitmap_get_cardinality(health->steady);
    uint64_t dropped = roaring_bitmap_andnot_cardinality(health->steady, evidence->answering);
    return dropped > FEW_MACHINES && dropped * DROPPED_SHARE > steady;
}

/* ---- the verdict ---- */

static void lose(struct amb_zone_health *health, const struct amb_zone_settings *settings, amb_ms now) {
    if (health->verdict != AMB_ZONE_RETURNING) {
        amb_ms forgotten = (now - health->sound_since) / settings->loss_forgotten;
        health->losses = (amb_ms)health->losses > forgotten ? health->losses - (uint32_t)forgotten : 0;
    }
    health->losses++;
    health->verdict = AMB_ZONE_LOST;
}

static void judge_sound(struct amb_zone_health *health, const struct amb_zone_settings *settings,
                        const struct amb_zone_evidence *evidence, amb_ms now) {
    enum amb_zone_heard heard = heard_of(evidence);
    if (heard == AMB_ZONE_NOT_HEARD && !is_excused(evidence))
        lose(health, settings, now);
    else
        health->verdict = heard == AMB_ZONE_HEARD ? AMB_ZONE_HEALTHY : AMB_ZONE_SUSPECT;
}

/* A zone without any machine is tried again too: nothing else would ever show that it is back. */
static void judge_lost(struct amb_zone_health *health, const struct amb_zone_evidence *evidence, amb_ms now) {
    if (evidence->nobody_heard) return;
    if (heard_of(evidence) == AMB_ZONE_NOT_HEARD && !evidence->deputy_at_work) return;
    health->verdict = AMB_ZONE_RETURNING;
    begin_steady_time(health, evidence->answering, now);
}

static void judge_returning(struct amb_zone_health *health, const struct amb_zone_settings *settings,
                            const struct amb_zone_evidence *evidence, amb_ms now) {
    enum amb_zone_heard heard = heard_of(evidence);
    if (heard == AMB_ZONE_NOT_HEARD && !is_excused(evidence)) {
        lose(health, settings, now);
        return;
    }
    if (heard == AMB_ZONE_NOT_HEARD || is_unsteady(health, evidence)) {
        begin_steady_time(health, evidence->answering, now);
        return;
    }
    roaring_bitmap_or_inplace(health->steady, evidence->answering);
    if (now - health->steady_since < amb_zone_health_steady_time(health, settings)) return;
    health->verdict = heard == AMB_ZONE_HEARD ? AMB_ZONE_HEALTHY : AMB_ZONE_SUSPECT;
    health->sound_since = now;
}

bool amb_zone_health_update(struct amb_zone_health *health, const struct amb_zone_settings *settings,
                            const struct amb_zone_evidence *evidence, amb_ms now) {
    enum amb_zone_verdict before = health->verdict;
    switch (before) {
    case AMB_ZONE_HEALTHY:
    case AMB_ZONE_SUSPECT: judge_sound(health, settings, evidence, now); break;
    case AMB_ZONE_LOST: judge_lost(health, evidence, now); break;
    case AMB_ZONE_RETURNING: judge_returning(health, settings, evidence, now); break;
    case AMB_ZONE_VERDICTS: break;
    }
    return health->verdict != before;
}

void amb_zone_health_restore(struct amb_zone_health *health, enum amb_zone_verdict verdict, uint32_t losses,
                             amb_ms now) {
    free_steady(health);
    *health = (struct amb_zone_health){.verdict = verdict,
                                       .losses = losses,
                                       .sound_since = now,
                                       .steady_since = now,
                                       .steady = roaring_bitmap_create()};
}

void amb_zone_health_free(struct amb_zone_health *health) {
    free_steady(health);
    *health = (struct amb_zone_health){.verdict = AMB_ZONE_HEALTHY};
}
