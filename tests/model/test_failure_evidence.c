/* Attribution of failures: sequences of failures and successes, and the attribution of the last failure. */
#include "check.h"

#include "amberpin/model/failure_evidence.h"

#include <string.h>

enum { JOBS = 4, MACHINES = 6, EVENTS = 10 };

struct event {
    uint32_t job, machine;
    bool ok;
};

static enum amb_fault attribute_last_failure(const struct event *events, size_t count) {
    struct amb_failure_set of_job[JOBS] = {{{0}, 0}}, of_machine[MACHINES] = {{{0}, 0}};
    bool has_succeeded[JOBS] = {false};
    enum amb_fault fault = AMB_FAULT_UNKNOWN;
    for (size_t i = 0; i < count; i++) {
        const struct event *event = &events[i];
        if (event->ok) {
            of_job[event->job].count = of_machine[event->machine].count = 0;
            has_succeeded[event->job] = true;
            continue;
        }
        amb_failure_set_add(&of_job[event->job], event->machine);
        amb_failure_set_add(&of_machine[event->machine], event->job);
        const struct amb_failure_evidence evidence = {
            .failed_machines = of_job[event->job].count,
            .failed_jobs = of_machine[event->machine].count,
            .job_has_succeeded = has_succeeded[event->job],
        };
        fault = amb_failure_attribute(&evidence);
    }
    return fault;
}

static void attribution(void **state) {
    (void)state;
    static const struct {
        const char *what;
        size_t count;
        struct event events[EVENTS];
        enum amb_fault fault;
    } rows[] = {
        {"a first failure", 1, {{0, 0, false}}, AMB_FAULT_UNKNOWN},
        {"many tasks of one job on one machine",
         4,
         {{0, 0, false}, {0, 0, false}, {0, 0, false}, {0, 0, false}},
         AMB_FAULT_UNKNOWN},
        {"a broken job", 2, {{0, 0, false}, {0, 1, false}}, AMB_FAULT_JOB},
        {"a broken job where others succeed",
         4,
         {{1, 0, true}, {0, 0, false}, {1, 1, true}, {0, 1, false}},
         AMB_FAULT_JOB},
        {"a bad machine", 2, {{0, 0, false}, {1, 0, false}}, AMB_FAULT_MACHINE},
        {"a bad machine, for a job that has succeeded", 2, {{0, 1, true}, {0, 0, false}}, AMB_FAULT_MACHINE},
        {"a broken job on a bad machine", 3, {{0, 1, false}, {1, 0, false}, {0, 0, false}}, AMB_FAULT_BOTH},
        {"a flaky machine: a success in between",
         3,
         {{0, 0, false}, {1, 0, true}, {2, 0, false}},
         AMB_FAULT_UNKNOWN},
        {"a flaky machine, for a job that has succeeded",
         3,
         {{0, 0, true}, {0, 0, true}, {0, 0, false}},
         AMB_FAULT_MACHINE},
        {"two bad machines in turn, for a job that has succeeded",
         3,
         {{0, 2, true}, {0, 0, false}, {0, 1, false}},
         AMB_FAULT_MACHINE},
        {"a job that has succeeded now fails everywhere",
         4,
         {{0, 2, true}, {0, 0, false}, {0, 1, false}, {0, 3, false}},
         AMB_FAULT_JOB},
        {"a success clears the job",
         4,
         {{0, 0, false}, {0, 1, true}, {0, 2, false}, {0, 3, false}},
         AMB_FAULT_MACHINE},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        enum amb_fault got = attribute_last_failure(rows[i].events, rows[i].count);
        if (got != rows[i].fault) fail_msg("%s: the fault is %s", rows[i].what, amb_fault_name(got));
    }
}

static void sets_are_bounded(void **state) {
    (void)state;
    struct amb_failure_set set = {{0}, 0};
    for (uint32_t i = 0; i < 100; i++) amb_failure_set_add(&set, i % 10);
    assert_int_equal(set.count, AMB_FAILURE_SET_MAX);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(attribution),
        cmocka_unit_test(sets_are_bounded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
