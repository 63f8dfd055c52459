/* Weighted deficit round robin: weights, limits, buckets, idle teams and items that do not fit. */
#include "amberpin/placement/wdrr.h"
#include "check.h"

struct queue {
    uint32_t waiting[3];
    double size[3];
    uint32_t admitted[3];
    double free_gpus; /* of all machines */
    bool skipped[3];
    struct amb_team *teams; /* NULL, or their usage is updated on admission */
};

static bool next(void *context, uint32_t team, struct amb_wdrr_item *item) {
    struct queue *queue = context;
    if (!queue->waiting[team] || queue->skipped[team]) return false;
    item->need = (struct amb_resources){0, queue->size[team], 0};
    item->size = amb_wdrr_item_size(&item->need, true);
    item->payload = queue;
    return true;
}

static enum amb_wdrr_result admit(void *context, uint32_t team, const struct amb_wdrr_item *item) {
    struct queue *queue = context;
    if (queue->free_gpus < item->size) return AMB_WDRR_NO_FIT;
    queue->free_gpus -= item->size;
    queue->waiting[team]--;
    queue->admitted[team]++;
    if (queue->teams) queue->teams[team].used.gpus += item->size;
    return AMB_WDRR_ADMITTED;
}

static void skip_item(void *context, uint32_t team, const struct amb_wdrr_item *item) {
    (void)item;
    ((struct queue *)context)->skipped[team] = true;
}

static bool is_idle(void *context, uint32_t team) {
    return !((struct queue *)context)->waiting[team];
}

static void admission_by_weight(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double guarantee[3], limit[3];
        struct queue queue;
        uint32_t want[3];
    } rows[] = {
        {"capacity for all", {8, 8, 8}, {0}, {{2, 3, 4}, {1, 1, 1}, {0}, 100, {0}, NULL}, {2, 3, 4}},
        {"shared by weight", {8, 4, 4}, {0}, {{50, 50, 50}, {1, 1, 1}, {0}, 16, {0}, NULL}, {8, 4, 4}},
        {"an idle team's share goes to others",
         {8, 8, 8},
         {0},
         {{50, 0, 50}, {1, 1, 1}, {0}, 16, {0}, NULL},
         {8, 0, 8}},
        {"limits apply with capacity left",
         {8, 8, 8},
         {3, 0, 0},
         {{50, 2, 0}, {1, 1, 1}, {0}, 100, {0}, NULL},
         {3, 2, 0}},
        {"an item larger than a turn is admitted",
         {2, 2, 2},
         {0},
         {{1, 0, 0}, {16, 1, 1}, {0}, 100, {0}, NULL},
         {1, 0, 0}},
        {"an item that does not fit blocks no others",
         {8, 8, 8},
         {0},
         {{1, 5, 0}, {20, 1, 1}, {0}, 10, {0}, NULL},
         {0, 5, 0}},
    };
    const struct amb_wdrr_ops base_ops = {next, admit, skip_item, is_idle, NULL};
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_team teams[3] = {0};
        struct queue queue = rows[i].queue;
        struct amb_wdrr_ops ops = base_ops;
        ops.context = &queue;
        for (int team = 0; team < 3; team++) {
            teams[team].guarantee.gpus = rows[i].guarantee[team];
            teams[team].limit.gpus = rows[i].limit[team];
        }
        amb_wdrr_prepare(teams, 3, true);
        queue.teams = teams;
        amb_wdrr_run(teams, 3, 0, &ops);
        for (int team = 0; team < 3; team++)
            if (queue.admitted[team] != rows[i].want[team])
                fail_msg("%s: team %d got %u instead of %u", rows[i].what, team, queue.admitted[team],
                         rows[i].want[team]);
    }
}

static void limits_and_guarantees(void **state) {
    (void)state;
    static const struct {
        struct amb_resources limit, guarantee, used, need;
        double count;
        bool within_limit, within_guarantee;
    } rows[] = {
        {{0, 10, 0}, {0, 4, 0}, {0, 9, 0}, {8, 1, 0}, 1, true, false},
        {{0, 10, 0}, {0, 4, 0}, {0, 10, 0}, {8, 1, 0}, 1, false, false},
        {{0, 10, 0}, {0, 4, 0}, {0, 3, 0}, {8, 1, 0}, 1, true, true},
        {{0, 10, 0}, {0, 4, 0}, {0, 0, 0}, {8, 3, 0}, 4, false, true},
        {{16, 0, 0}, {0, 0, 0}, {8, 99, 0}, {8, 1, 0}, 1, true, false}, /* 0: no limit */
        {{16, 0, 0}, {8, 0, 0}, {9, 0, 0}, {8, 1, 0}, 1, false, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_team team = {.limit = rows[i].limit, .guarantee = rows[i].guarantee, .used = rows[i].used};
        assert_int_equal(amb_wdrr_is_within_limit(&team, &rows[i].need, rows[i].count), rows[i].within_limit);
        assert_int_equal(amb_wdrr_is_within_guarantee(&team, &rows[i].need), rows[i].within_guarantee);
    }
}

static void buckets_refill_and_limit_admission(void **state) {
    (void)state;
    struct amb_team team = {.limit = {0, 2, 0}, .guarantee = {0, 1, 0}};
    amb_wdrr_prepare(&team, 1, true);
    assert_true(team.bucket_tokens == 120);
    team.bucket_tokens = 0;
    amb_wdrr_refill(&team, 1, 10);
    assert_true(team.bucket_tokens > 19.9 && team.bucket_tokens < 20.1);
    amb_wdrr_refill(&team, 1, 1000);
    assert_true(team.bucket_tokens == 120);
    /* An empty bucket admits nothing. */
    struct queue queue = {{5, 0, 0}, {1, 1, 1}, {0}, 100, {0}, NULL};
    struct amb_wdrr_ops ops = {next, admit, skip_item, is_idle, &queue};
    team.bucket_tokens = 0.5;
    assert_int_equal(amb_wdrr_run(&team, 1, 0, &ops), 0);
}

/* A team without a guarantee is opportunistic if other teams have one. */
static void teams_without_guarantee(void **state) {
    (void)state;
    static const struct {
        struct amb_resources first, second;
        bool opportunistic; /* the second team */
    } rows[] = {
        {{0, 8, 0}, {0, 0, 0}, true},  {{8, 0, 0}, {0, 0, 0}, true},  {{0, 8, 0}, {0, 8, 0}, false},
        {{0, 8, 0}, {8, 0, 0}, false}, {{0, 0, 0}, {0, 0, 0}, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_team teams[2] = {{.guarantee = rows[i].first}, {.guarantee = rows[i].second}};
        amb_wdrr_prepare(teams, 2, amb_wdrr_is_sized_by_gpus(teams, 2));
        if (teams[1].opportunistic != rows[i].opportunistic) fail_msg("row %zu", i);
    }
}

static void deficit_is_capped_during_shortage(void **state) {
    (void)state;
    struct amb_team teams[2] = {{.guarantee = {0, 8, 0}}, {.guarantee = {0, 8, 0}}};
    amb_wdrr_prepare(teams, 2, true);
    for (int i = 0; i < 100; i++) {
        struct queue queue = {{5, 5, 0}, {1, 1, 1}, {0}, 0, {0}, NULL};
        struct amb_wdrr_ops ops = {next, admit, skip_item, is_idle, &queue};
        amb_wdrr_run(teams, 2, 0, &ops);
    }
    assert_true(teams[0].deficit <= 8);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(admission_by_weight),
        cmocka_unit_test(limits_and_guarantees),
        cmocka_unit_test(buckets_refill_and_limit_admission),
        cmocka_unit_test(teams_without_guarantee),
        cmocka_unit_test(deficit_is_capped_during_shortage),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
