/* Jobs that others depend on: their place in the team queue, preemption for them, and capacity rented for
 * them. */
#include "amberpin/scheduler/capacity_plan.h"
#include "amberpin/scheduler/cycle.h"
#include "amberpin/scheduler/start_deadline.h"
#include "check.h"
#include "fake_clock.h"
#include "json_cbor.h"
#include "pipeline_fixture.h"

static struct amb_job *apply_job(const char *ref, const char *priority, double due_s, double estimate_s,
                                 int age_s, const char *dependencies, uint64_t revision) {
    struct amb_buf buffer = cbor_from_text(
        "{\"s\":\"queued\",\"a\":%lld,\"d\":{\"ref\":\"%s\",\"berth\":\"stage\",\"crew\":\"vision\","
        "\"shape\":\"batch\",\"rank\":\"%s\",\"legs\":1,\"vcpus\":1.0,\"accelerators\":0.0,\"ram_gb\":4.0,"
        "\"cask\":\"img\",\"size_gb\":1.0,\"one_zone\":false,\"scatter\":false,\"driftwood\":true,"
        "\"reckon_s\":%f,\"mark_s\":0.0,\"stow_s\":0.0,\"due_s\":%f,\"awaits\":[%s]}}",
        (long long)amb_wall_ms() - age_s * 1000LL, ref, priority, estimate_s, due_s, dependencies);
    const struct amb_cbor_item *value = amb_cbor_parse(buffer.data, buffer.len);
    amb_jobs_apply_item(node, ref, value, revision);
    amb_buf_free(&buffer);
    return amb_job_find(node, ref);
}

/* The order of a team queue: by the effective priority, which includes that of the jobs that depend on a job;
 * then by age, or earlier if the due time is so near that the remaining stages would miss it. */
static void order_in_a_team_queue(void **state) {
    (void)state;
    static const struct {
        const char *what, *last_priority;
        double due_s, estimate_s; /* of the last stage */
        int age_s;                /* of the pipeline */
        const char *other_priority;
        int other_age_s;
        bool before; /* whether the pipeline's first stage comes before the other job */
    } rows[] = {
        {"older", "best_effort", 0, 10, 20, "best_effort", 10, true},
        {"younger", "best_effort", 0, 10, 10, "best_effort", 20, false},
        {"younger, inherits a higher priority", "high", 0, 10, 10, "normal", 20, true},
        {"younger, higher priority not late", "high", 600, 10, 10, "normal", 20, false},
        {"older, higher priority not late", "high", 600, 10, 20, "normal", 10, false},
        {"younger, higher priority that is late", "high", 30, 10, 10, "normal", 20, true},
        {"older, lower priority", "normal", 0, 10, 20, "high", 10, false},
        {"younger, not late", "normal", 600, 10, 10, "normal", 20, false},
        {"younger, and late", "normal", 30, 10, 10, "normal", 20, true}, /* 30 s less 1.5 x 20 s and 10 s */
        {"younger, late because of the remaining work", "normal", 100, 80, 10, "normal", 20, true},
        {"younger, and just not late", "normal", 100, 20, 10, "normal", 20, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        start_leading();
        struct amb_job *first = apply_job("wk-first", "best_effort", 0, 20, rows[i].age_s, "", 201);
        apply_job("wk-second", "best_effort", 0, 0, rows[i].age_s, "\"wk-first\"", 202);
        apply_job("wk-third", rows[i].last_priority, rows[i].due_s, rows[i].estimate_s, rows[i].age_s,
                  "\"wk-second\"", 203);
        apply_job("wk-other", rows[i].other_priority, 0, 10, rows[i].other_age_s, "", 204);
        struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
        assert_int_equal(cycle->job_count, 2);
        if ((cycle->jobs[0] == first) != rows[i].before) fail_msg("%s", rows[i].what);
        amb_cycle_free(cycle);
    }
}

/* The waiting time of a stage counts from the end of its last dependency, but its due time from its
 * submission. */
static void waiting_time_counts_from_the_last_dependency(void **state) {
    (void)state;
    start_leading();
    run_script("setup", "+a +b:a +c");
    struct amb_job *stage = amb_job_find(node, "wk-b"), *other = amb_job_find(node, "wk-c");
    int64_t submitted = stage->accepted_wall_ms;
    fake_clock_advance(20000);
    run_script("the first stage is done", "!a live=bc");
    assert_true(amb_job_ready_wall_ms(stage) >= submitted + 20000);
    assert_true(amb_job_order_wall_ms(stage) >= submitted + 20000);
    assert_int_equal(amb_job_ready_wall_ms(other), other->accepted_wall_ms);
    stage->spec->deadline_s = 100;
    assert_int_equal(amb_job_due_wall_ms(stage), submitted + 100000);
    /* An objective counts from the end of the first stage, a due time from the submission. */
    node->settings.objective_count = 1;
    strcpy(node->settings.objectives[0].kind, "finished");
    strcpy(node->settings.objectives[0].class_name, "stage");
    node->settings.objectives[0].within_s = 45; /* its work is estimated as 30 s */
    node->catalog.types[0].boot_s = 0;
    stage->spec->deadline_s = 0;
    assert_true(amb_start_can_wait_for_capacity(node, stage));
    assert_false(amb_start_can_wait_for_capacity(node, other));
    stage->spec->deadline_s = 45;
    assert_false(amb_start_can_wait_for_capacity(node, stage));
}

/* No capacity is rented for an early stage as long as the later stages can still be in time. */
static void early_stages_can_wait(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double due_s, estimate_s; /* of the last stage */
        bool can_wait;
    } rows[] = {
        {"no due time", 0, 10, false}, /* as for any job without due time or objective */
        {"much time", 300, 10, true},
        {"the last stage needs the time", 300, 180, false},
        {"the first stage needs the time", 40, 0, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        start_leading();
        struct amb_job *first = apply_job("wk-first", "best_effort", 0, 20, 0, "", 201);
        apply_job("wk-last", "high", rows[i].due_s, rows[i].estimate_s, 0, "\"wk-first\"", 202);
        node->catalog.types[0].boot_s = 30;
        amb_pipelines_update_priorities(node);
        if (amb_start_can_wait_for_capacity(node, first) != rows[i].can_wait) fail_msg("%s", rows[i].what);
    }
}

/* Opportunistic work, that is, work of a team without a guarantee, waits for free capacity, but only for a
 * limited time and as long as its deadline allows. */
static void opportunistic_work_waits(void **state) {
    (void)state;
    static const struct {
        const char *what;
        const char *priority;
        double due_s, waited_s;
        bool opportunistic, can_wait;
    } rows[] = {
        {"ordinary work without due time", "best_effort", 0, 0, false, false},
        {"opportunistic work without due time", "best_effort", 0, 0, true, true},
        {"opportunistic, after seven boot times", "best_effort", 0, 210, true, true},
        {"opportunistic, after more than eight boot times", "best_effort", 0, 250, true, false},
        {"opportunistic, its deadline is near", "best_effort", 40, 0, true, false},
        {"opportunistic, high priority", "high", 0, 0, true, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        start_leading();
        struct amb_job *job = apply_job("wk-first", rows[i].priority, rows[i].due_s, 20, 0, "", 201);
        node->catalog.types[0].boot_s = 30;
        job->team->opportunistic = rows[i].opportunistic;
        job->accepted_wall_ms -= amb_seconds_to_ms(rows[i].waited_s);
        if (amb_start_can_wait_for_capacity(node, job) != rows[i].can_wait) fail_msg("%s", rows[i].what);
        job->team->opportunistic = false;
    }
}

/* For preemption, a stage counts with the priority of the jobs that depend on it, both as victim and as
 * preemptor. */
static void preemption_by_effective_priority(void **state) {
    (void)state;
    static const struct {
        const char *what, *last_priority;
        double due_s; /* the work takes 45 s by estimate */
        enum amb_priority preemptor;
        bool is_preemptible;
        enum amb_priority effective_priority;
        bool opportunistic;
    } rows[] = {
        {"stage of a high pipeline, for a high job", "high", 0, AMB_PRIORITY_HIGH, false, AMB_PRIORITY_HIGH,
         false},
        {"stage of a high pipeline, for a prod job", "high", 0, AMB_PRIORITY_PRODUCTION, true,
         AMB_PRIORITY_HIGH, false},
        {"stage of a normal pipeline, for a high job", "normal", 0, AMB_PRIORITY_HIGH, true,
         AMB_PRIORITY_NORMAL, false},
        {"stage of a prod pipeline, for a prod job", "prod", 0, AMB_PRIORITY_PRODUCTION, false,
         AMB_PRIORITY_PRODUCTION, false},
        {"stage of a high pipeline that is not late", "high", 60, AMB_PRIORITY_HIGH, true,
         AMB_PRIORITY_BEST_EFFORT, false},
        {"stage of a high pipeline that is late", "high", 44, AMB_PRIORITY_HIGH, false, AMB_PRIORITY_HIGH,
         false},
        {"lower priority, for a normal job without guarantee", "best_effort", 0, AMB_PRIORITY_NORMAL, false,
         AMB_PRIORITY_BEST_EFFORT, false},
        {"opportunistic work, for a normal job without guarantee", "best_effort", 0, AMB_PRIORITY_NORMAL,
         true, AMB_PRIORITY_BEST_EFFORT, true},
        {"opportunistic work, for a job of its own priority", "best_effort", 0, AMB_PRIORITY_BEST_EFFORT,
         false, AMB_PRIORITY_BEST_EFFORT, true},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        start_leading();
        struct amb_job *first = apply_job("wk-first", "best_effort", 0, 20, 0, "", 201);
        apply_job("wk-last", rows[i].last_priority, rows[i].due_s, 10, 0, "\"wk-first\"", 202);
        amb_pipelines_update_priorities(node);
        struct amb_task *task = bind_task(first, 0, "m-1", 1);
        task->state = AMB_TASK_SEEN;
        const struct amb_preemptor preemptor = {rows[i].preemptor, NULL, false};
        first->team->opportunistic = rows[i].opportunistic;
        if (amb_cycle_is_preemptible_by(task, &preemptor) != rows[i].is_preemptible)
            fail_msg("%s", rows[i].what);
        assert_int_equal(amb_job_get_effective_priority(first), rows[i].effective_priority);
        struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
        struct amb_placement_request request;
        amb_cycle_init_request(cycle, first, &request);
        assert_int_equal(request.priority, rows[i].effective_priority);
        amb_cycle_free(cycle);
        amb_task_unbind(node, task, "end of row");
        first->team->opportunistic = false;
    }
}

/* Once no job depends on a stage any more, its own priority counts again. */
static void inherited_priority_ends_with_the_dependent(void **state) {
    (void)state;
    start_leading();
    struct amb_job *first = apply_job("wk-first", "best_effort", 0, 20, 0, "", 201);
    struct amb_job *last = apply_job("wk-last", "high", 30, 10, 0, "\"wk-first\"", 202);
    amb_pipelines_update_priorities(node);
    assert_int_equal(amb_job_get_effective_priority(first), AMB_PRIORITY_HIGH);
    amb_job_apply_cancel_hint(node, last->ref, amb_wall_ms(), 203);
    amb_pipelines_update_priorities(node);
    assert_int_equal(amb_job_get_effective_priority(first), AMB_PRIORITY_BEST_EFFORT);
    assert_int_equal(amb_job_due_wall_ms(first), AMB_NO_DUE_TIME);
}

/* The demand of a class is recorded when its jobs are ready, not when they are submitted. */
static void demand_is_recorded_when_jobs_are_ready(void **state) {
    (void)state;
    start_leading();
    strcpy(node->settings.objectives[0].kind, "wait");
    strcpy(node->settings.objectives[0].class_name, "gangs");
    node->settings.objectives[0].within_s = 10;
    node->settings.objective_count = 1;
    run_script("setup", "+a");
    json_t *job = json_loads(format_submission('b', "a", "ensemble"), 0, NULL);
    json_object_set_new(job, "berth", json_string("gangs"));
    submit_json(job);
    assert_string_equal(latest_answer(), "201q");
    assert_int_equal(node->controller.demand_count, 0);
    stop_leading();
    start_leading(); /* a new leader records the demand of the jobs that it finds */
    assert_int_equal(node->controller.demand_count, 0);
    finish_tasks('a');
    assert_int_equal(node->controller.demand_count, 1);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(order_in_a_team_queue),
        TEST(waiting_time_counts_from_the_last_dependency),
        TEST(early_stages_can_wait),
        TEST(opportunistic_work_waits),
        TEST(preemption_by_effective_priority),
        TEST(inherited_priority_ends_with_the_dependent),
        TEST(demand_is_recorded_when_jobs_are_ready),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
