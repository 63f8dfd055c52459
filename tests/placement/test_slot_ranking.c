/* Compares a scheduling cycle's incremental results with a full computation: annotations computed on access
 * with those of a new cycle, and the best slots by rankings with those of a scan of all slots. */
#include "amberpin/scheduler/cycle.h"
#include "check.h"
#include "node_fixture.h"

enum { MACHINES = 12, IMAGES = 3, QUERIES = 20 };

static uint64_t seed;

static uint64_t random_below(uint64_t below) {
    seed ^= seed << 13, seed ^= seed >> 7, seed ^= seed << 17;
    return below ? seed % below : 0;
}

static void image_name(char out[AMB_NAME_SIZE], uint64_t number) {
    snprintf(out, AMB_NAME_SIZE, "img-%u", (unsigned)number);
}

/* Adds machines that hold a random choice of the images. On some of them a task is fetching one. */
static void add_machines(void) {
    for (int i = 0; i < MACHINES; i++) {
        char name[AMB_NAME_SIZE], image[AMB_NAME_SIZE];
        snprintf(name, sizeof name, "m-%d", i);
        deliver_heartbeat(name, 1, 1, TERM, amb_now(), NULL, 0);
        struct amb_machine *machine = amb_machine_get(node, name, false);
        for (uint64_t k = 0; k < IMAGES; k++) {
            image_name(image, k);
            if (random_below(2)) amb_machine_record_image_use(node, machine, image, 5);
        }
        if (random_below(3)) continue;
        char ref[AMB_NAME_SIZE];
        snprintf(ref, sizeof ref, "wk-%d", i);
        struct amb_job *job = add_active_job(ref, AMB_JOB_KIND_ARRAY, 1);
        image_name(job->spec->image, random_below(IMAGES));
        job->spec->image_gb = 10;
        bind_task(job, 0, name, 1);
    }
}

static void setup_seed(uint64_t number) {
    teardown(NULL);
    setup(NULL);
    seed = number * 0x9e3779b97f4a7c15u;
    node->catalog.types[0].image_fetch_gb_per_s = 1;
    amb_catalog_find_or_add_zone(&node->catalog, "a");
    amb_catalog_find_or_add_zone(&node->catalog, "b");
}

/* ---- annotations ---- */

static void expect_same_annotation(struct amb_cycle *cycle, struct amb_cycle *fresh_cycle,
                                   uint32_t slot_index) {
    const struct amb_slot *slot = amb_cycle_get_slot(cycle, slot_index),
                          *fresh_slot = amb_cycle_get_slot(fresh_cycle, slot_index);
    assert_int_equal(slot->has_image, fresh_slot->has_image);
    assert_true(slot->start_risk == fresh_slot->start_risk);
}

/* A slot's annotations are the same as in a new cycle, whatever it was annotated for before and whenever it
 * is accessed. */
static void annotations_match_fresh_cycle(void **state) {
    (void)state;
    uint32_t with_image = 0, without_image = 0;
    for (uint64_t i = 1; i <= 10; i++) {
        setup_seed(i);
        add_machines();
        struct amb_job_spec spec = {.estimated_runtime_s = 60, .image_gb = 10};
        struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
        assert_int_equal(cycle->slot_count, MACHINES);
        for (int query = 0; query < QUERIES; query++) {
            char image[AMB_NAME_SIZE];
            image_name(image, random_below(IMAGES));
            amb_cycle_annotate_for_image(cycle, &spec, image);
            struct amb_cycle *fresh_cycle = amb_cycle_new(node, amb_now());
            while (fresh_cycle->slot_count < cycle->slot_count) amb_cycle_add_slot(fresh_cycle, 0, 0, false);
            amb_cycle_annotate_for_image(fresh_cycle, &spec, image);
            for (uint32_t k = 0; k < cycle->slot_count; k++) {
                if (!random_below(4)) continue; /* not accessed this time */
                expect_same_annotation(cycle, fresh_cycle, k);
                *(cycle->slots[k].has_image ? &with_image : &without_image) += 1;
            }
            amb_cycle_free(fresh_cycle);
            cycle->slots[random_below(cycle->slot_count)].available.gpus -= 1;
            if (random_below(2)) amb_cycle_add_slot(cycle, 0, 0, false);
        }
        amb_cycle_free(cycle);
    }
    assert_true(with_image > 100 && without_image > 100);
}

/* ---- best slots ---- */

enum { SHAPES = 250, STEPS = 1500 }; /* more shapes than rankings are cached */

struct shape {
    struct amb_placement_request request;
    char image[AMB_NAME_SIZE];
    bool include_releasing;
};

static void init_random_shape(struct shape *shape) {
    *shape = (struct shape){.include_releasing = random_below(2),
                            .request = {.need = {(double)random_below(3) * 8, (double)random_below(4),
                                                 (double)random_below(2) * 40},
                                        .type_mask = (uint32_t)random_below(3) + 1,
                                        .zone = random_below(4) ? -1 : (int)random_below(2),
                                        .spot_allowed = random_below(2),
                                        .long_running = random_below(2),
                                        .priority = (enum amb_priority)random_below(4),
                                        .deferrable = random_below(2),
                                        .can_wait = random_below(2)}};
    image_name(shape->image, random_below(IMAGES));
}

static void randomize_slot(struct amb_slot *slot) {
    slot->available = (struct amb_resources){(double)random_below(9) * 8, (double)random_below(9),
                                             (double)random_below(9) * 40};
    slot->releasing_soon = (struct amb_resources){(double)random_below(2) * 8, (double)random_below(2),
                                                  (double)random_below(2) * 40};
    slot->size_gpus = random_below(8) ? 8 : 0;
    slot->reserved_priority = (int)random_below(5) - 1;
    slot->usable = random_below(10) != 0;
    slot->claimed_by_gang = !random_below(6);
    slot->long_running_gpus = (double)random_below(3);
    slot->fetching_gb = (double)random_below(2) * 20;
}

static void change_random_slots(struct amb_cycle *cycle) {
    uint64_t changes = random_below(20)
                           ? random_below(3)
                           : random_below(4) * (uint64_t)cycle->slot_count; /* occasionally many */
    for (; changes; changes--) {
        struct amb_slot *slot = &cycle->slots[random_below(cycle->slot_count)];
        randomize_slot(slot);
        amb_cycle_mark_slot_changed(cycle, slot);
    }
    if (random_below(15)) return;
    randomize_slot(amb_cycle_add_slot(cycle, (int)random_below(2), (int)random_below(2), random_below(2)));
}

/* After each random change, the rankings find the same best slot as a scan of all slots. */
static void rankings_match_full_scan(void **state) {
    (void)state;
    uint32_t found = 0, infeasible = 0;
    for (uint64_t i = 1; i <= 8; i++) {
        setup_seed(i);
        node->catalog.type_count = 2;
        node->catalog.types[1].image_fetch_gb_per_s = 2;
        add_machines();
        struct shape shapes[SHAPES];
        for (int k = 0; k < SHAPES; k++) init_random_shape(&shapes[k]);
        struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
        for (int step = 0; step < STEPS; step++) {
            change_random_slots(cycle);
            struct shape *shape = &shapes[random_below(random_below(2) ? 5 : SHAPES)];
            uint32_t used[AMB_ZONES_MAX] = {(uint32_t)random_below(3), (uint32_t)random_below(3)};
            struct amb_job_spec spec = {.estimated_runtime_s = 60, .image_gb = 10};
            shape->request.tasks_by_zone = used;
            shape->request.max_tasks_per_zone = (uint32_t)random_below(3);
            if (random_below(8))
                amb_cycle_annotate_for_image(cycle, &spec, shape->image);
            else
                amb_cycle_annotate_ignoring_image(cycle);
            int ranked = amb_cycle_find_best_slot(cycle, &shape->request, shape->include_releasing);
            for (uint32_t k = 0; k < cycle->slot_count; k++) amb_cycle_get_slot(cycle, k);
            int want = amb_placement_find_best(&shape->request, cycle->slots, cycle->slot_count,
                                               shape->include_releasing);
            if (ranked != want) fail_msg("seed %d, step %d: slot %d, not %d", (int)i, step, ranked, want);
            *(ranked < 0 ? &infeasible : &found) += 1;
        }
        amb_cycle_free(cycle);
    }
    assert_true(found > 1000 && infeasible > 1000);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(annotations_match_fresh_cycle, setup, teardown),
        cmocka_unit_test_setup_teardown(rankings_match_full_scan, setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
