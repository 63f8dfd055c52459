/* What a scheduling cycle finds without a look at all of its slots each time, against what a full scan finds:
 * annotations that are computed when a slot is accessed, and the best slots of rankings. */
#include "amberpin/scheduler/cycle.h"
#include "check.h"
#include "node_fixture.h"

enum { MACHINES = 12, IMAGES = 3, QUERIES = 20 };

static uint64_t seed;

static uint64_t draw(uint64_t below) {
    seed ^= seed << 13, seed ^= seed >> 7, seed ^= seed << 17;
    return below ? seed % below : 0;
}

static void image_name(char out[AMB_NAME_SIZE], uint64_t number) {
    snprintf(out, AMB_NAME_SIZE, "img-%u", (unsigned)number);
}

/* Machines with some of the images; on some a task fetches one. */
static void add_machines(void) {
    for (int i = 0; i < MACHINES; i++) {
        char name[AMB_NAME_SIZE], image[AMB_NAME_SIZE];
        snprintf(name, sizeof name, "m-%d", i);
        deliver_heartbeat(name, 1, 1, TERM, amb_now(), NULL, 0);
        struct amb_machine *machine = amb_machine_get(node, name, false);
        for (uint64_t k = 0; k < IMAGES; k++) {
            image_name(image, k);
            if (draw(2)) amb_machine_record_image_use(node, machine, image, 5);
        }
        if (draw(3)) continue;
        char ref[AMB_NAME_SIZE];
        snprintf(ref, sizeof ref, "wk-%d", i);
        struct amb_job *job = add_active_job(ref, AMB_JOB_KIND_ARRAY, 1);
        image_name(job->spec->image, draw(IMAGES));
        job->spec->image_gb = 10;
        bind_task(job, 0, name, 1);
    }
}

static void prepare(uint64_t number) {
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

/* Whatever a slot was annotated for before, and whenever it is accessed. */
static void annotations_are_those_of_a_fresh_cycle(void **state) {
    (void)state;
    uint32_t at_hand = 0, elsewhere = 0;
    for (uint64_t i = 1; i <= 10; i++) {
        prepare(i);
        add_machines();
        struct amb_job_spec spec = {.estimated_runtime_s = 60, .image_gb = 10};
        struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
        assert_int_equal(cycle->slot_count, MACHINES);
        for (int query = 0; query < QUERIES; query++) {
            char image[AMB_NAME_SIZE];
            image_name(image, draw(IMAGES));
            amb_cycle_annotate_for_image(cycle, &spec, image);
            struct amb_cycle *fresh_cycle = amb_cycle_new(node, amb_now());
            while (fresh_cycle->slot_count < cycle->slot_count) amb_cycle_add_slot(fresh_cycle, 0, 0, false);
            amb_cycle_annotate_for_image(fresh_cycle, &spec, image);
            for (uint32_t k = 0; k < cycle->slot_count; k++) {
                if (!draw(4)) continue; /* not looked at this time */
                expect_same_annotation(cycle, fresh_cycle, k);
                *(cycle->slots[k].has_image ? &at_hand : &elsewhere) += 1;
            }
            amb_cycle_free(fresh_cycle);
            cycle->slots[draw(cycle->slot_count)].available.gpus -= 1;
            if (draw(2)) amb_cycle_add_slot(cycle, 0, 0, false);
        }
        amb_cycle_free(cycle);
    }
    assert_true(at_hand > 100 && elsewhere > 100);
}

/* ---- best slots ---- */

enum { SHAPES = 250, STEPS = 1500 }; /* more shapes than are kept */

struct shape {
    struct amb_placement_request request;
    char image[AMB_NAME_SIZE];
    bool include_releasing;
};

static void draw_shape(struct shape *shape) {
    *shape = (struct shape){.include_releasing = draw(2),
                            .request = {.need = {(double)draw(3) * 8, (double)draw(4), (double)draw(2) * 40},
                                        .type_mask = (uint32_t)draw(3) + 1,
                                        .zone = draw(4) ? -1 : (int)draw(2),
                                        .spot_allowed = draw(2),
                                        .long_running = draw(2),
                                        .priority = (enum amb_priority)draw(4),
                                        .deferrable = draw(2),
                                        .can_wait = draw(2)}};
    image_name(shape->image, draw(IMAGES));
}

static void draw_slot(struct amb_slot *slot) {
    slot->available = (struct amb_resources){(double)draw(9) * 8, (double)draw(9), (double)draw(9) * 40};
    slot->releasing_soon = (struct amb_resources){(double)draw(2) * 8, (double)draw(2), (double)draw(2) * 40};
    slot->size_gpus = draw(8) ? 8 : 0;
    slot->reserved_priority = (int)draw(5) - 1;
    slot->usable = draw(10) != 0;
    slot->claimed_by_gang = !draw(6);
    slot->long_running_gpus = (double)draw(3);
    slot->fetching_gb = (double)draw(2) * 20;
}

static void change_something(struct amb_cycle *cycle) {
    uint64_t changes =
        draw(20) ? draw(3) : draw(4) * (uint64_t)cycle->slot_count; /* now and then a great many */
    for (; changes; changes--) {
        struct amb_slot *slot = &cycle->slots[draw(cycle->slot_count)];
        draw_slot(slot);
        amb_cycle_note_slot_change(cycle, slot);
    }
    if (draw(15)) return;
    draw_slot(amb_cycle_add_slot(cycle, (int)draw(2), (int)draw(2), draw(2)));
}

/* By the rankings, and among all slots, step by step through drawn changes. */
static void rankings_find_what_a_full_scan_finds(void **state) {
    (void)state;
    uint32_t found = 0, nothing = 0;
    for (uint64_t i = 1; i <= 8; i++) {
        prepare(i);
        node->catalog.type_count = 2;
        node->catalog.types[1].image_fetch_gb_per_s = 2;
        add_machines();
        struct shape shapes[SHAPES];
        for (int k = 0; k < SHAPES; k++) draw_shape(&shapes[k]);
        struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
        for (int step = 0; step < STEPS; step++) {
            change_something(cycle);
            struct shape *shape = &shapes[draw(draw(2) ? 5 : SHAPES)];
            uint32_t used[AMB_ZONES_MAX] = {(uint32_t)draw(3), (uint32_t)draw(3)};
            struct amb_job_spec spec = {.estimated_runtime_s = 60, .image_gb = 10};
            shape->request.tasks_by_zone = used;
            shape->request.max_tasks_per_zone = (uint32_t)draw(3);
            if (draw(8))
                amb_cycle_annotate_for_image(cycle, &spec, shape->image);
            else
                amb_cycle_annotate_ignoring_image(cycle);
            int picked = amb_cycle_find_best_slot(cycle, &shape->request, shape->include_releasing);
            for (uint32_t k = 0; k < cycle->slot_count; k++) amb_cycle_get_slot(cycle, k);
            int want = amb_placement_find_best(&shape->request, cycle->slots, cycle->slot_count,
                                               shape->include_releasing);
            if (picked != want) fail_msg("seed %d, step %d: slot %d, not %d", (int)i, step, picked, want);
            *(picked < 0 ? &nothing : &found) += 1;
        }
        amb_cycle_free(cycle);
    }
    assert_true(found > 1000 && nothing > 1000);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(annotations_are_those_of_a_fresh_cycle, setup, teardown),
        cmocka_unit_test_setup_teardown(rankings_find_what_a_full_scan_finds, setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
