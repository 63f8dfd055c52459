/* Marks of a round's slots that are made again from those made before, against marks made anew. */
#include "amberpin/round.h"
#include "check.h"
#include "node_fixture.h"

enum { MACHINES = 12, IMAGES = 3, TURNS = 20 };

static uint64_t seed;

static uint64_t draw(uint64_t below) {
    seed ^= seed << 13, seed ^= seed >> 7, seed ^= seed << 17;
    return below ? seed % below : 0;
}

static void image_name(char out[AMB_NAME], uint64_t number) {
    snprintf(out, AMB_NAME, "img-%u", (unsigned)number);
}

/* Machines with some of the images; on some a task fetches one. */
static void add_machines(void) {
    for (int i = 0; i < MACHINES; i++) {
        char name[AMB_NAME], image[AMB_NAME];
        snprintf(name, sizeof name, "m-%d", i);
        report(name, 1, 1, TERM, amb_now(), NULL, 0);
        struct amb_machine *machine = amb_machine_get(node, name, false);
        for (uint64_t k = 0; k < IMAGES; k++) {
            image_name(image, k);
            if (draw(2)) amb_machine_use_image(node, machine, image, 5);
        }
        if (draw(3)) continue;
        char ref[AMB_NAME];
        snprintf(ref, sizeof ref, "wk-%d", i);
        struct amb_job *job = add_job(ref, AMB_ARRAY, 1);
        image_name(job->spec->image, draw(IMAGES));
        job->spec->image_gb = 10;
        bound(job, 0, name, 1);
    }
}

static void expect_same_marks(struct amb_round *round, const struct amb_spec *spec, const char *image,
                              struct amb_marks *marks) {
    amb_round_mark(round, spec, image);
    struct amb_mark *plain = amb_alloc(round->nslots * sizeof *plain);
    for (uint32_t i = 0; i < round->nslots; i++)
        plain[i] = (struct amb_mark){round->slots[i].has_image, round->slots[i].late};
    amb_round_mark(round, spec, "no-image"); /* so that nothing is left of them */
    amb_round_mark_again(round, spec, image, marks);
    for (uint32_t i = 0; i < round->nslots; i++) {
        assert_int_equal(round->slots[i].has_image, plain[i].has_image);
        assert_true(round->slots[i].late == plain[i].late);
    }
    free(plain);
}

static void marks_made_again_are_the_same(void **state) {
    (void)state;
    uint32_t at_hand = 0, elsewhere = 0;
    for (uint64_t i = 1; i <= 10; i++) {
        teardown(NULL);
        setup(NULL);
        seed = i * 0x9e3779b97f4a7c15u;
        node->catalog.types[0].fetch_gb_s = 1;
        amb_catalog_zone(&node->catalog, "a");
        add_machines();
        struct amb_spec spec = {.estimate_s = 60, .image_gb = 10};
        struct amb_marks marks[IMAGES] = {0};
        struct amb_round *round = amb_round_new(node, amb_now());
        assert_int_equal(round->nslots, MACHINES);
        for (int turn = 0; turn < TURNS; turn++) {
            char image[AMB_NAME];
            uint64_t number = draw(IMAGES);
            image_name(image, number);
            expect_same_marks(round, &spec, image, &marks[number]);
            for (uint32_t k = 0; k < round->nslots; k++)
                *(round->slots[k].has_image ? &at_hand : &elsewhere) += 1;
            round->slots[draw(round->nslots)].room.gpus -= 1;
            if (draw(2)) amb_round_add_type(round, 0, 0, false);
        }
        amb_round_free(round);
        for (int k = 0; k < IMAGES; k++) free(marks[k].list);
    }
    assert_true(at_hand > 100 && elsewhere > 100);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(marks_made_again_are_the_same, setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
