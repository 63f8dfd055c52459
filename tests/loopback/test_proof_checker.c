/* The checker of the loopback proof reports each kind of violation, and none in a valid log. */
#include "checker.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

enum { EVENTS_MOST = 10, NO_VIOLATION = -1 };

#define HOLDER(who, number)                                                                                  \
    { .type = PROOF_HOLDER, .duty = "rent", .name = who, .token = number }
#define ORDER(which, what)                                                                                   \
    { .type = PROOF_ORDER, .duty = "rent", .name = which, .state = what }
#define RENTED(which, rig, number, when)                                                                     \
    { .type = PROOF_RENTED, .duty = "rent", .name = which, .machine = rig, .token = number, .at = when }
#define MARK(job, rig)                                                                                       \
    { .type = PROOF_MARK, .duty = job, .name = "o-1", .machine = rig }
#define RETURNED(rig, count)                                                                                 \
    { .type = PROOF_RETURNED, .duty = "return", .machine = rig, .tasks = count }
#define STARTED(rig)                                                                                         \
    { .type = PROOF_STARTED, .name = "wk-000001/0", .machine = rig }

struct row {
    const char *name;
    bool lone_leader; /* duties are off: orders have no records */
    bool plain_cloud; /* the cloud checks no tokens */
    struct proof_event events[EVENTS_MOST];
    size_t count;
    int violation; /* enum proof_violation_type */
};

static const struct row rows[] = {
    {"sound",
     false,
     false,
     {HOLDER("n1", 1), ORDER("r-1", "wanted"), ORDER("r-1", "sent"), RENTED("r-1", "m-1", 1, 5),
      RENTED("r-1", "m-2", 1, 5), STARTED("m-1"), MARK("return", "m-1"), RETURNED("m-1", 0), HOLDER("n2", 2)},
     9,
     NO_VIOLATION},
    {"a lone leader's",
     true,
     false,
     {RENTED("r-1", "m-1", 0, 5), STARTED("m-1"), RETURNED("m-1", 0)},
     3,
     NO_VIOLATION},
    {"late, but recorded",
     false,
     false,
     {HOLDER("n1", 1), ORDER("r-1", "sent"), HOLDER("n2", 2), RENTED("r-1", "m-1", 1, 5)},
     4,
     NO_VIOLATION},
    {"a return under an old token at a cloud that knows none",
     false,
     true,
     {MARK("return", "m-1"),
      MARK("return", "m-2"),
      {.type = PROOF_RETURNED, .duty = "return", .machine = "m-1", .token = 2},
      {.type = PROOF_RETURNED, .duty = "return", .machine = "m-2", .token = 1}},
     4,
     NO_VIOLATION},
    {"such a return of a machine without a mark",
     false,
     true,
     {MARK("return", "m-1"), {.type = PROOF_RETURNED, .duty = "return", .machine = "m-2", .token = 1}},
     2,
     PROOF_RETURNED_UNMARKED},
    {"a silent machine is given up with its tasks",
     true,
     false,
     {STARTED("m-1"), {.type = PROOF_RETURNED, .machine = "m-1", .tasks = 1, .silent = true}},
     2,
     NO_VIOLATION},
    {"a reclaimed machine is returned with its tasks",
     false,
     false,
     {STARTED("m-1"), MARK("reclaim", "m-1"), RETURNED("m-1", 1)},
     3,
     NO_VIOLATION},
    {"a request takes effect twice",
     false,
     false,
     {ORDER("r-1", "sent"), RENTED("r-1", "m-1", 1, 5), RENTED("r-1", "m-2", 1, 9)},
     3,
     PROOF_RENTED_TWICE},
    {"a machine comes from two requests",
     false,
     false,
     {ORDER("r-1", "sent"), ORDER("r-2", "sent"), RENTED("r-1", "m-1", 1, 5), RENTED("r-2", "m-1", 1, 5)},
     4,
     PROOF_RENTED_TWICE},
    {"a lone leader's request takes effect twice",
     true,
     false,
     {RENTED("r-1", "m-1", 1, 5), RENTED("r-1", "m-2", 1, 9)},
     2,
     PROOF_RENTED_TWICE},
    {"a token falls", false, false, {HOLDER("n1", 2), HOLDER("n2", 1)}, 2, PROOF_TOKEN_FELL},
    {"a token stays", false, false, {HOLDER("n1", 2), HOLDER("n2", 2)}, 2, PROOF_TOKEN_FELL},
    {"a rental under an old token",
     false,
     false,
     {ORDER("r-1", "sent"), ORDER("r-2", "sent"), RENTED("r-1", "m-1", 2, 5), RENTED("r-2", "m-2", 1, 6)},
     4,
     PROOF_STALE_ORDER},
    {"a repeated request under an old token",
     false,
     false,
     {{.type = PROOF_REPEATED, .duty = "rent", .token = 2},
      {.type = PROOF_REPEATED, .duty = "rent", .token = 1}},
     2,
     PROOF_STALE_ORDER},
    {"a return under an old token",
     false,
     false,
     {MARK("return", "m-1"),
      MARK("return", "m-2"),
      {.type = PROOF_RETURNED, .duty = "return", .machine = "m-1", .token = 2},
      {.type = PROOF_RETURNED, .duty = "return", .machine = "m-2", .token = 1}},
     4,
     PROOF_STALE_ORDER},
    {"an order that was withdrawn takes effect",
     false,
     false,
     {ORDER("r-1", "sent"), ORDER("r-1", "void"), RENTED("r-1", "m-1", 1, 5)},
     3,
     PROOF_STALE_ORDER},
    {"an order takes effect after its record is gone",
     false,
     false,
     {ORDER("r-1", "sent"),
      {.type = PROOF_ORDER_GONE, .duty = "rent", .name = "r-1"},
      RENTED("r-1", "m-1", 1, 5)},
     3,
     PROOF_STALE_ORDER},
    {"an order without a record", false, false, {RENTED("r-1", "m-1", 1, 5)}, 1, PROOF_UNRECORDED},
    {"an order before it is recorded as sent",
     false,
     false,
     {ORDER("r-1", "wanted"), RENTED("r-1", "m-1", 1, 5)},
     2,
     PROOF_UNRECORDED},
    {"a machine in use is returned",
     false,
     false,
     {STARTED("m-1"), MARK("return", "m-1"), RETURNED("m-1", 1)},
     3,
     PROOF_RETURNED_IN_USE},
    {"a lone leader returns a machine in use",
     true,
     false,
     {STARTED("m-1"), RETURNED("m-1", 1)},
     2,
     PROOF_RETURNED_IN_USE},
    {"a task starts on a leaving machine",
     false,
     false,
     {MARK("return", "m-1"), STARTED("m-1")},
     2,
     PROOF_PLACED_LEAVING},
    {"a machine is returned without a mark", false, false, {RETURNED("m-1", 0)}, 1, PROOF_RETURNED_UNMARKED},
    {"a machine is left over",
     false,
     false,
     {{.type = PROOF_QUIESCED}, {.type = PROOF_CHARGED, .machine = "m-1"}},
     2,
     PROOF_ORPHAN},
};

static void every_kind_of_fault_is_noticed(void **state) {
    bool noticed[PROOF_VIOLATION_TYPES] = {false};
    (void)state;
    for (size_t i = 0; i < sizeof rows / sizeof *rows; i++) {
        const struct row *row = &rows[i];
        struct proof_log log = {0};
        struct proof_verdict verdict;
        for (size_t k = 0; k < row->count; k++) proof_log_add(&log, &row->events[k]);
        struct proof_terms terms = {.recorded = !row->lone_leader, .tokens_checked = !row->plain_cloud};
        proof_check(&log, terms, &verdict);
        uint32_t expected = row->violation != NO_VIOLATION;
        if (verdict.violations != expected || (expected && (int)verdict.first[0].type != row->violation))
            fail_msg("%s: %u violations, first %s", row->name, verdict.violations,
                     verdict.violations ? proof_violation_text(verdict.first[0].type) : "none");
        if (expected) noticed[row->violation] = true;
        proof_log_free(&log);
    }
    for (int type = 0; type < PROOF_VIOLATION_TYPES; type++) assert_true(noticed[type]);
}

static void counts_are_of_the_log(void **state) {
    static const struct proof_event events[] = {HOLDER("n1", 1),
                                                HOLDER("n1", 2),
                                                HOLDER("n2", 3),
                                                ORDER("r-1", "sent"),
                                                RENTED("r-1", "m-1", 2, 5),
                                                {.type = PROOF_REPEATED, .name = "r-1"},
                                                {.type = PROOF_STALE, .duty = "rent"}};
    struct proof_log log = {0};
    struct proof_verdict verdict;
    (void)state;
    for (size_t i = 0; i < sizeof events / sizeof *events; i++) proof_log_add(&log, &events[i]);
    proof_check(&log, (struct proof_terms){.recorded = true, .tokens_checked = true}, &verdict);
    assert_int_equal(verdict.handovers, 1);
    assert_int_equal(verdict.again, 1);
    assert_int_equal(verdict.late, 1);
    assert_int_equal(verdict.repeats, 1);
    assert_int_equal(verdict.stale_refused, 1);
    assert_int_equal(verdict.violations, 0);
    proof_log_free(&log);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(every_kind_of_fault_is_noticed),
        cmocka_unit_test(counts_are_of_the_log),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
