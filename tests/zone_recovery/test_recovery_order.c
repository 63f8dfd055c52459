/* The recovery order: the criteria by which classes precede each other, and stable positions of steps. */
#include "amberpin/zone_recovery/recovery_order.h"
#include "check.h"

/* ---- precedence and steps ---- */

/* Each row precedes the next, by the first criterion in which the two differ. */
static const struct amb_recovery_class rows[] = {
    {"listed first", 0, AMB_PRIORITY_HIGH, 0.1, false, 2, 9},
    {"listed second", 1, AMB_PRIORITY_PRODUCTION, 1.0, true, 0, 1},
    {"more urgent", AMB_RECOVERY_UNLISTED, AMB_PRIORITY_PRODUCTION, 0.1, false, 2, 9},
    {"more missing", AMB_RECOVERY_UNLISTED, AMB_PRIORITY_HIGH, 0.5, false, 2, 9},
    {"guaranteed", AMB_RECOVERY_UNLISTED, AMB_PRIORITY_HIGH, 0.4, true, 0.9, 9},
    {"less used", AMB_RECOVERY_UNLISTED, AMB_PRIORITY_HIGH, 0.4, false, 1.5, 9},
    {"older", AMB_RECOVERY_UNLISTED, AMB_PRIORITY_HIGH, 0.4, false, 2, 8},
    {"name a", AMB_RECOVERY_UNLISTED, AMB_PRIORITY_HIGH, 0.4, false, 2, 9},
    {"name b", AMB_RECOVERY_UNLISTED, AMB_PRIORITY_HIGH, 0.4, false, 2, 9},
};

static void precedence(void **state) {
    (void)state;
    for (size_t i = 0; i < ROWS(rows); i++)
        for (size_t k = 0; k < ROWS(rows); k++)
            if (amb_recovery_class_precedes(&rows[i], &rows[k]) != (i < k))
                fail_msg("wrong precedence of %s and %s", rows[i].name, rows[k].name);
}

static void steps_open_and_close(void **state) {
    (void)state;
    struct amb_recovery_order order = {.count = 0};
    assert_false(amb_recovery_order_is_open(&order));
    assert_true(amb_recovery_order_extend(&order, &rows[3], 100));
    assert_true(amb_recovery_order_extend(&order, &rows[2], 200));
    assert_int_equal(amb_recovery_order_find(&order, rows[2].name), 0);
    assert_int_equal(amb_recovery_order_find(&order, "unknown"), -1);
    assert_true(amb_recovery_order_update(&order, 0, 2, AMB_RECOVERY_WAIT_CAPACITY));
    assert_false(amb_recovery_order_update(&order, 0, 1, AMB_RECOVERY_WAIT_CAPACITY));
    assert_int_equal(order.steps[0].missing_replicas, 1);
    amb_recovery_order_update(&order, 0, 0, AMB_RECOVERY_WAIT_NONE);
    assert_true(amb_recovery_order_is_open(&order));
    amb_recovery_order_update(&order, 1, 0, AMB_RECOVERY_WAIT_NONE);
    assert_false(amb_recovery_order_is_open(&order));
    /* A class that is lost again keeps its position, and its step is reopened at the new time. */
    assert_true(amb_recovery_order_extend(&order, &rows[3], 900));
    assert_int_equal(order.count, 2);
    assert_int_equal(order.steps[1].opened_at, 900);
    assert_int_equal(order.steps[0].opened_at, 200);
    assert_true(amb_recovery_order_is_open(&order));
}

/* ---- random losses ---- */

static uint64_t seed;

static uint32_t draw(uint32_t below) {
    seed ^= seed << 13, seed ^= seed >> 7, seed ^= seed << 17;
    return (uint32_t)(seed % below);
}

static struct amb_recovery_class draw_class(void) {
    struct amb_recovery_class lost = {.list_position = draw(3) ? AMB_RECOVERY_UNLISTED : draw(3),
                                      .priority = (enum amb_priority)draw(4),
                                      .missing_share = draw(3) / 2.0,
                                      .within_guarantee = draw(2),
                                      .accepted_wall_ms = (int64_t)draw(3)};
    snprintf(lost.name, sizeof lost.name, "class-%u", draw(60));
    return lost;
}

/* A reference implementation: a list that is searched linearly for each insertion. */
struct reference_order {
    struct amb_recovery_class classes[64];
    uint32_t count;
};

static void reference_extend(struct reference_order *reference, const struct amb_recovery_class *lost) {
    uint32_t position = 0;
    for (uint32_t i = 0; i < reference->count; i++)
        if (!strcmp(reference->classes[i].name, lost->name)) return;
    while (position < reference->count && !amb_recovery_class_precedes(lost, &reference->classes[position]))
        position++;
    for (uint32_t i = reference->count++; i > position; i--)
        reference->classes[i] = reference->classes[i - 1];
    reference->classes[position] = *lost;
    if (reference->count > AMB_RECOVERY_STEPS) reference->count = AMB_RECOVERY_STEPS;
}

static void random_losses_match_the_reference(void **state) {
    (void)state;
    uint32_t full = 0;
    for (uint64_t run = 1; run <= 200; run++) {
        seed = run * 0x9e3779b97f4a7c15u;
        struct amb_recovery_order order = {.count = 0};
        struct reference_order reference = {.count = 0};
        for (int i = 0; i < 80; i++) {
            const struct amb_recovery_class lost = draw_class();
            bool placed = amb_recovery_order_extend(&order, &lost, i);
            reference_extend(&reference, &lost);
            assert_int_equal(placed, amb_recovery_order_find(&order, lost.name) >= 0);
            assert_int_equal(order.count, reference.count);
            for (uint32_t k = 0; k < order.count; k++)
                if (strcmp(order.steps[k].lost_class.name, reference.classes[k].name) != 0)
                    fail_msg("run %llu, loss %d: wrong class at step %u", (unsigned long long)run, i, k);
        }
        full += order.count == AMB_RECOVERY_STEPS;
    }
    if (full < 100) fail_msg("only %u orders were full", full);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(precedence),
        cmocka_unit_test(steps_open_and_close),
        cmocka_unit_test(random_losses_match_the_reference),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
