/* Zone health: settings, state changes by tables, and random evidence compared with a simple oracle that
 * keeps sets as arrays. */
#include "amberpin/zone_recovery/health.h"
#include "check.h"

enum { HEARTBEAT = 1000, STABLE = 5000, STABLE_MAX = 20000, LOSS_EXPIRY = 100000, MACHINES = 20 };

static const struct amb_zone_settings settings = {HEARTBEAT, STABLE, STABLE_MAX, LOSS_EXPIRY};

/* ---- settings ---- */

static void invalid_settings(void **state) {
    (void)state;
    static const struct {
        struct amb_zone_settings settings;
        enum amb_zone_settings_error error;
    } rows[] = {
        {{HEARTBEAT, STABLE, STABLE_MAX, LOSS_EXPIRY}, AMB_ZONE_SETTINGS_OK},
        {{HEARTBEAT, HEARTBEAT, HEARTBEAT, HEARTBEAT}, AMB_ZONE_SETTINGS_OK},
        {{HEARTBEAT, HEARTBEAT - 1, STABLE_MAX, LOSS_EXPIRY}, AMB_ZONE_SETTINGS_STABILITY_TOO_SHORT},
        {{HEARTBEAT, STABLE, STABLE - 1, LOSS_EXPIRY}, AMB_ZONE_SETTINGS_STABILITY_MAX_TOO_LOW},
        {{HEARTBEAT, STABLE, STABLE_MAX, STABLE_MAX - 1}, AMB_ZONE_SETTINGS_LOSS_EXPIRY_TOO_SHORT},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        enum amb_zone_settings_error error = amb_zone_settings_check(&rows[i].settings);
        if (error != rows[i].error) fail_msg("row %zu: %d", i, (int)error);
        assert_int_equal(*amb_zone_settings_error_text(error) == 0, error == AMB_ZONE_SETTINGS_OK);
    }
}

/* ---- changes of state ---- */

/* What is observed at one moment: machines 0 to expected - 1 should respond, and the `unresponsive` machines
 * from first_unresponsive on do not. */
struct observation {
    amb_ms at;
    uint32_t expected, first_unresponsive, unresponsive;
    bool lease_proxy, all_unresponsive;
    enum amb_zone_health_state state;
};

static roaring_bitmap_t *machines(uint32_t from, uint32_t count) {
    return count ? roaring_bitmap_from_range(from, from + count, 1) : roaring_bitmap_create();
}

static bool observe(struct amb_zone_health *health, const struct observation *observation) {
    roaring_bitmap_t *expected = machines(0, observation->expected),
                     *responsive = roaring_bitmap_copy(expected);
    roaring_bitmap_t *unresponsive = machines(observation->first_unresponsive, observation->unresponsive);
    roaring_bitmap_andnot_inplace(responsive, unresponsive);
    const struct amb_zone_evidence evidence = {expected, responsive, observation->lease_proxy,
                                               observation->all_unresponsive};
    bool changed = amb_zone_health_update(health, &settings, &evidence, observation->at);
    roaring_bitmap_free(expected);
    roaring_bitmap_free(responsive);
    roaring_bitmap_free(unresponsive);
    return changed;
}

#define H AMB_ZONE_HEALTHY
#define S AMB_ZONE_SUSPECT
#define L AMB_ZONE_LOST
#define R AMB_ZONE_RETURNING

static void health_state_changes(void **state) {
    (void)state;
    enum { OBSERVATIONS_MAX = 12, N = MACHINES };
    static const struct {
        const char *what;
        struct observation observations[OBSERVATIONS_MAX];
    } rows[] = {
        {"a few unresponsive machines are no loss", {{1, N, 0, 2, 0, 0, H}, {2, N, 0, 6, 0, 0, H}}},
        {"over a third is suspect", {{1, N, 0, 7, 0, 0, S}, {2, N, 0, 17, 0, 0, S}, {3, N, 0, 6, 0, 0, H}}},
        {"nine in ten are a loss immediately", {{1, N, 0, 18, 0, 0, L}}},
        {"two unresponsive machines of a small zone", {{1, 2, 0, 2, 0, 0, H}}},
        {"a partition between zones is no loss", {{1, N, 0, N, 1, 0, S}, {2, N, 0, 0, 0, 0, H}}},
        {"no loss while no zone responds", {{1, N, 0, N, 0, 1, S}, {2, N, 0, N, 0, 0, L}}},
        {"a lost zone stays lost while no zone responds", {{1, N, 0, N, 0, 0, L}, {2, N, 0, 0, 0, 1, L}}},
        {"a lost zone with a lease proxy returns", {{1, N, 0, N, 0, 0, L}, {2, N, 0, N, 1, 0, R}}},
        {"healthy after the stability period",
         {{1, N, 0, N, 0, 0, L},
          {1000, N, 0, 0, 0, 0, R},
          {5999, N, 0, 0, 0, 0, R},
          {6000, N, 0, 0, 0, 0, H}}},
        {"half a zone becomes suspect after the stability period",
         {{1, N, 0, N, 0, 0, L},
          {1000, N, 0, 10, 0, 0, R},
          {6000, N, 0, 10, 0, 0, S},
          {7000, 10, 0, 0, 0, 0, H}}},
        {"an empty zone returns",
         {{1, N, 0, N, 0, 0, L}, {1000, 0, 0, 0, 0, 0, R}, {6000, 0, 0, 0, 0, 0, H}}},
        {"machines that drop out restart the stability period",
         {{1, N, 0, N, 0, 0, L},
          {1000, N, 0, 0, 0, 0, R},
          {4000, N, 0, 5, 0, 0, R},
          {6000, N, 0, 0, 0, 0, R},
          {9000, N, 0, 0, 0, 0, H}}},
        {"two machines that drop out do not",
         {{1, N, 0, N, 0, 0, L},
          {1000, N, 0, 0, 0, 0, R},
          {4000, N, 0, 2, 0, 0, R},
          {6000, N, 0, 2, 0, 0, H}}},
        {"released machines have not dropped out",
         {{1, N, 0, N, 0, 0, L},
          {1000, N, 0, 0, 0, 0, R},
          {4000, 10, 0, 0, 0, 0, R},
          {6000, 10, 0, 0, 0, 0, H}}},
        {"the stability period restarts while no zone responds",
         {{1, N, 0, N, 0, 0, L},
          {1000, N, 0, 0, 0, 0, R},
          {4000, N, 0, N, 0, 1, R},
          {6000, N, 0, 0, 0, 0, R}}},
        {"each loss doubles the stability period, up to the bound",
         {{1, N, 0, N, 0, 0, L},
          {1000, N, 0, 0, 0, 0, R},
          {2000, N, 0, N, 0, 0, L},
          {3000, N, 0, 0, 0, 0, R},
          {12999, N, 0, 0, 0, 0, R},
          {13000, N, 0, 0, 0, 0, H},
          {14000, N, 0, N, 0, 0, L},
          {15000, N, 0, 0, 0, 0, R},
          {16000, N, 0, N, 0, 0, L},
          {17000, N, 0, 0, 0, 0, R},
          {36999, N, 0, 0, 0, 0, R},
          {37000, N, 0, 0, 0, 0, H}}},
        {"a loss expires",
         {{1, N, 0, N, 0, 0, L},
          {1000, N, 0, 0, 0, 0, R},
          {6000, N, 0, 0, 0, 0, H},
          {106000, N, 0, N, 0, 0, L},
          {107000, N, 0, 0, 0, 0, R},
          {112000, N, 0, 0, 0, 0, H}}},
        {"a loss has not expired yet",
         {{1, N, 0, N, 0, 0, L},
          {1000, N, 0, 0, 0, 0, R},
          {6000, N, 0, 0, 0, 0, H},
          {105999, N, 0, N, 0, 0, L},
          {107000, N, 0, 0, 0, 0, R},
          {112000, N, 0, 0, 0, 0, R}}},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_zone_health health = {.state = AMB_ZONE_HEALTHY};
        for (size_t k = 0; k < OBSERVATIONS_MAX && rows[i].observations[k].at; k++) {
            enum amb_zone_health_state before = health.state;
            bool changed = observe(&health, &rows[i].observations[k]);
            if (health.state != rows[i].observations[k].state)
                fail_msg("%s: observation %zu: %s", rows[i].what, k,
                         amb_zone_health_state_name(health.state));
            assert_int_equal(changed, health.state != before);
        }
        amb_zone_health_free(&health);
    }
}

static void new_leader_restarts_the_stability_period(void **state) {
    (void)state;
    struct amb_zone_health health = {.state = AMB_ZONE_HEALTHY};
    amb_zone_health_restore(&health, AMB_ZONE_RETURNING, 2, 1000);
    observe(&health, &(struct observation){.at = 10999, .expected = MACHINES});
    assert_int_equal(health.state, AMB_ZONE_RETURNING);
    observe(&health, &(struct observation){.at = 11000, .expected = MACHINES});
    assert_int_equal(health.state, AMB_ZONE_HEALTHY);
    amb_zone_health_free(&health);
}

/* A zone that was never lost owns no set, and roaring_bitmap_free does not accept NULL. */
static void zone_that_was_never_lost_can_be_freed(void **state) {
    (void)state;
    struct amb_zone_health health = {.state = AMB_ZONE_HEALTHY};
    amb_zone_health_free(&health);
    amb_zone_health_free(&health);
}

static void state_names_are_parsed(void **state) {
    (void)state;
    enum amb_zone_health_state read;
    for (int i = 0; i < AMB_ZONE_HEALTH_STATES; i++) {
        assert_true(
            amb_zone_health_state_parse(amb_zone_health_state_name((enum amb_zone_health_state)i), &read));
        assert_int_equal(read, i);
    }
    assert_false(amb_zone_health_state_parse("gone", &read));
}

/* ---- random evidence ---- */

static uint64_t seed;

static uint32_t draw(uint32_t below) {
    seed ^= seed << 13, seed ^= seed >> 7, seed ^= seed << 17;
    return (uint32_t)(seed % below);
}

/* The oracle for random evidence: after a loss, batch tasks may be admitted only if, for the stability period
 * that the number of losses requires, at most two machines or a tenth of the stable machines dropped out
 * together. */
struct oracle {
    bool lost, stable[MACHINES];
    amb_ms stable_since;
    uint32_t losses;
};

static uint32_t count_dropped(const struct oracle *oracle, const bool responsive[MACHINES],
                              uint32_t *stable) {
    uint32_t dropped = 0;
    *stable = 0;
    for (int i = 0; i < MACHINES; i++) {
        *stable += oracle->stable[i];
        dropped += oracle->stable[i] && !responsive[i];
    }
    return dropped;
}

static void oracle_observe(struct oracle *oracle, const bool responsive[MACHINES], amb_ms at) {
    uint32_t unresponsive = 0, stable;
    for (int i = 0; i < MACHINES; i++) unresponsive += !responsive[i];
    bool is_lost = unresponsive * 10 >= MACHINES * 9;
    uint32_t dropped = count_dropped(oracle, responsive, &stable);
    bool restarts = is_lost || oracle->lost || (dropped > 2 && dropped * 10 > stable);
    if (is_lost && !oracle->lost) oracle->losses++;
    oracle->lost = is_lost;
    if (restarts) oracle->stable_since = at;
    for (int i = 0; i < MACHINES; i++) oracle->stable[i] = responsive[i] || (!restarts && oracle->stable[i]);
}

static amb_ms oracle_stability_period(const struct oracle *oracle) {
    amb_ms period = STABLE;
    for (uint32_t i = 1; i < oracle->losses && period < STABLE_MAX; i++) period *= 2;
    return period < STABLE_MAX ? period : STABLE_MAX;
}

static void random_evidence_matches_the_oracle(void **state) {
    (void)state;
    uint32_t admitted = 0, lost = 0;
    for (uint64_t run = 1; run <= 300; run++) {
        seed = run * 0x9e3779b97f4a7c15u;
        struct amb_zone_health health = {.state = AMB_ZONE_HEALTHY};
        struct oracle oracle = {.lost = false};
        uint32_t unresponsive_percent = 0;
        for (amb_ms at = 500; at < 60000; at += 500) {
            if (!draw(12)) unresponsive_percent = draw(4) ? draw(5) : 100;
            bool responsive[MACHINES];
            roaring_bitmap_t *expected = machines(0, MACHINES), *responsive_set = roaring_bitmap_create();
            for (uint32_t i = 0; i < MACHINES; i++)
                if ((responsive[i] = draw(100) >= unresponsive_percent))
                    roaring_bitmap_add(responsive_set, i);
            const struct amb_zone_evidence evidence = {expected, responsive_set, false, false};
            amb_zone_health_update(&health, &settings, &evidence, at);
            oracle_observe(&oracle, responsive, at);
            bool admits = amb_zone_health_state_admits_batch(health.state);
            bool may = !oracle.losses ||
                       (!oracle.lost && at - oracle.stable_since >= oracle_stability_period(&oracle));
            if (admits && !may && health.available_since == at)
                fail_msg("run %llu at %lld: admitted too early", (unsigned long long)run, (long long)at);
            if (oracle.lost && admits)
                fail_msg("run %llu at %lld: admitted to a lost zone", (unsigned long long)run, (long long)at);
            admitted += admits && oracle.losses;
            lost += oracle.lost;
            roaring_bitmap_free(expected);
            roaring_bitmap_free(responsive_set);
        }
        amb_zone_health_free(&health);
    }
    if (admitted < 1000 || lost < 1000)
        fail_msg("%u observations of available zones after a loss, %u of lost zones", admitted, lost);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(invalid_settings),
        cmocka_unit_test(health_state_changes),
        cmocka_unit_test(new_leader_restarts_the_stability_period),
        cmocka_unit_test(zone_that_was_never_lost_can_be_freed),
        cmocka_unit_test(state_names_are_parsed),
        cmocka_unit_test(random_evidence_matches_the_oracle),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
