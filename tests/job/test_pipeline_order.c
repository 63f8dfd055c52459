/* Jobs that others await: their place in the line, what gives way to them, and what is rented for them. */
#include "amberpin/scheduler/capacity_plan.h"
#include "amberpin/scheduler/cycle.h"
#include "amberpin/scheduler/start_deadline.h"
#include "check.h"
#include "fake_clock.h"
#include "json_cbor.h"
#include "pipeline_fixture.h"

static struct amb_job *job_from(const char *ref, const char *rank, double due_s, double reckon_s, int age_s,
                                const char *awaits, uint64_t stamp) {
    struct amb_buf buffer = cbor_from_text(
        "{\"s\":\"queued\",\"a\":%lld,\"d\":{\"ref\":\"%s\",\"berth\":\"stage\",\"crew\":\"vision\","
        "\"shape\":\"batch\",\"rank\":\"%s\",\"legs\":1,\"vcpus\":1.0,\"accelerators\":0.0,\"ram_gb\":4.0,"
        "\"cask\":\"img\",\"size_gb\":1.0,\"one_zone\":false,\"scatter\":false,\"driftwood\":true,"
        "\"reckon_s\":%f,\"mark_s\":0.0,\"stow_s\":0.0,\"due_s\":%f,\"awaits\":[%s]}}",
        (long long)amb_wall_ms() - age_s * 1000LL, ref, rank, reckon_s, due_s, awaits);
    cbor_item_t *value = amb_cbor_parse(buffer.data, buffer.len);
    amb_jobs_apply_item(node, ref, value, stamp);
    cbor_decref(&value);
    amb_buf_free(&buffer);
    return amb_job_find(node, ref);
}

/* The order of a team's line: by the priority of what needs a job; then by age, or sooner if the due time is
 * so near that the stages still to come would miss it. */
static void order_in_a_line(void **state) {
    (void)state;
    static const struct {
        const char *what, *last_rank;
        double due_s, reckon_s; /* of the last stage */
        int age_s;              /* of the pipeline */
        const char *other_rank;
        int other_age_s;
        bool before; /* the pipeline's first stage goes before the other job */
    } rows[] = {
        {"older", "best_effort", 0, 10, 20, "best_effort", 10, true},
        {"younger", "best_effort", 0, 10, 10, "best_effort", 20, false},
        {"younger, but for a higher priority", "high", 0, 10, 10, "normal", 20, true},
        {"younger, for a higher priority that has time", "high", 600, 10, 10, "normal", 20, false},
        {"older, for a higher priority that has time", "high", 600, 10, 20, "normal", 10, false},
        {"younger, for a higher priority that is late", "high", 30, 10, 10, "normal", 20, true},
        {"older, but of a lower priority", "normal", 0, 10, 20, "high", 10, false},
        {"younger, with time", "normal", 600, 10, 10, "normal", 20, false},
        {"younger, and late", "normal", 30, 10, 10, "normal", 20, true}, /* 30 s less 1.5 x 20 s and 10 s */
        {"younger, and late by the work still to come", "normal", 100, 80, 10, "normal", 20, true},
        {"younger, and just not late", "normal", 100, 20, 10, "normal", 20, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        start_leading();
        struct amb_job *first = job_from("wk-first", "best_effort", 0, 20, rows[i].age_s, "", 201);
        job_from("wk-second", "best_effort", 0, 0, rows[i].age_s, "\"wk-first\"", 202);
        job_from("wk-third", rows[i].last_rank, rows[i].due_s, rows[i].reckon_s, rows[i].age_s,
                 "\"wk-second\"", 203);
        job_from("wk-other", rows[i].other_rank, 0, 10, rows[i].other_age_s, "", 204);
        struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
        assert_int_equal(cycle->job_count, 2);
        if ((cycle->jobs[0] == first) != rows[i].before) fail_msg("%s", rows[i].what);
        amb_cycle_free(cycle);
    }
}

/* Waiting times of a stage count from the end of the last that it awaited; its due time from submission. */
static void waiting_counts_from_the_last_end(void **state) {
    (void)state;
    start_leading();
    run_script("setup", "+a +b:a +c");
    struct amb_job *stage = amb_job_find(node, "wk-b"), *other = amb_job_find(node, "wk-c");
    int64_t submitted = stage->accepted_wall_ms;
    fake_clock_advance(20000);
    run_script("the first is done", "!a live=bc");
    assert_true(amb_job_ready_wall_ms(stage) >= submitted + 20000);
    assert_true(amb_job_order_wall_ms(stage) >= submitted + 20000);
    assert_int_equal(amb_job_ready_wall_ms(other), other->accepted_wall_ms);
    stage->spec->deadline_s = 100;
    assert_int_equal(amb_job_due_wall_ms(stage), submitted + 100000);
    /* In time: from the end of the first for an aim, from the submission for a due time. */
    node->settings.objective_count = 1;
    strcpy(node->settings.objectives[0].kind, "finished");
    strcpy(node->settings.objectives[0].class_name, "stage");
    node->settings.objectives[0].within_s = 45; /* its work is reckoned as 30 */
    node->catalog.types[0].boot_s = 0;
    stage->spec->deadline_s = 0;
    assert_true(amb_start_can_wait_for_capacity(node, stage));
    assert_false(amb_start_can_wait_for_capacity(node, other));
    stage->spec->deadline_s = 45;
    assert_false(amb_start_can_wait_for_capacity(node, stage));
}

/* Room is not rented for an early stage as long as the later ones still have their time. */
static void early_stages_can_wait(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double due_s, reckon_s; /* of the last stage */
        bool can_wait;
    } rows[] = {
        {"nobody waits for its end", 0, 10, false}, /* as for any job without due time or aim */
        {"much time", 300, 10, true},
        {"the last stage takes it up", 300, 180, false},
        {"the first stage takes it up", 40, 0, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        start_leading();
        struct amb_job *first = job_from("wk-first", "best_effort", 0, 20, 0, "", 201);
        job_from("wk-last", "high", rows[i].due_s, rows[i].reckon_s, 0, "\"wk-first\"", 202);
        node->catalog.types[0].boot_s = 30;
        amb_pipelines_update_priorities(node);
        if (amb_start_can_wait_for_capacity(node, first) != rows[i].can_wait) fail_msg("%s", rows[i].what);
    }
}

/* Work of a team that is guaranteed nothing waits for free room, but not for ever; so it does for its time.
 */
static void opportunistic_work_waits(void **state) {
    (void)state;
    static const struct {
        const char *what;
        const char *priority;
        double due_s, waited_s;
        bool opportunistic, can_wait;
    } rows[] = {
        {"ordinary work that nobody set a time for", "best_effort", 0, 0, false, false},
        {"the same, opportunistic", "best_effort", 0, 0, true, true},
        {"after seven boot times", "best_effort", 0, 210, true, true},
        {"after more than eight", "best_effort", 0, 250, true, false},
        {"its deadline is near", "best_effort", 40, 0, true, false},
        {"urgent work", "high", 0, 0, true, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        start_leading();
        struct amb_job *job = job_from("wk-first", rows[i].priority, rows[i].due_s, 20, 0, "", 201);
        node->catalog.types[0].boot_s = 30;
        job->team->opportunistic = rows[i].opportunistic;
        job->accepted_wall_ms -= amb_seconds_to_ms(rows[i].waited_s);
        if (amb_start_can_wait_for_capacity(node, job) != rows[i].can_wait) fail_msg("%s", rows[i].what);
        job->team->opportunistic = false;
    }
}

/* A stage is protected, and may have others stopped, as what needs it. */
static void preemption(void **state) {
    (void)state;
    static const struct {
        const char *what, *last_rank;
        double due_s; /* the work takes 45 s, as reckoned */
        enum amb_priority claim;
        bool makes_way;
        enum amb_priority own_claim;
        bool opportunistic;
    } rows[] = {
        {"of a high pipeline, for high work", "high", 0, AMB_PRIORITY_HIGH, false, AMB_PRIORITY_HIGH, false},
        {"of a high pipeline, for prod work", "high", 0, AMB_PRIORITY_PRODUCTION, true, AMB_PRIORITY_HIGH,
         false},
        {"of a normal pipeline, for high work", "normal", 0, AMB_PRIORITY_HIGH, true, AMB_PRIORITY_NORMAL,
         false},
        {"of a prod pipeline, for prod work", "prod", 0, AMB_PRIORITY_PRODUCTION, false,
         AMB_PRIORITY_PRODUCTION, false},
        {"of a high pipeline that has time", "high", 60, AMB_PRIORITY_HIGH, true, AMB_PRIORITY_BEST_EFFORT,
         false},
        {"of a high pipeline that is late", "high", 44, AMB_PRIORITY_HIGH, false, AMB_PRIORITY_HIGH, false},
        {"lower work, for normal work without a guarantee", "best_effort", 0, AMB_PRIORITY_NORMAL, false,
         AMB_PRIORITY_BEST_EFFORT, false},
        {"opportunistic work, for the same", "best_effort", 0, AMB_PRIORITY_NORMAL, true,
         AMB_PRIORITY_BEST_EFFORT, true},
        {"opportunistic work, for its like", "best_effort", 0, AMB_PRIORITY_BEST_EFFORT, false,
         AMB_PRIORITY_BEST_EFFORT, true},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        start_leading();
        struct amb_job *first = job_from("wk-first", "best_effort", 0, 20, 0, "", 201);
        job_from("wk-last", rows[i].last_rank, rows[i].due_s, 10, 0, "\"wk-first\"", 202);
        amb_pipelines_update_priorities(node);
        struct amb_task *task = bind_task(first, 0, "m-1", 1);
        task->state = AMB_TASK_SEEN;
        const struct amb_preemptor claim = {rows[i].claim, NULL, false};
        first->team->opportunistic = rows[i].opportunistic;
        if (amb_cycle_is_preemptible_by(task, &claim) != rows[i].makes_way) fail_msg("%s", rows[i].what);
        assert_int_equal(amb_job_get_effective_priority(first), rows[i].own_claim);
        struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
        struct amb_placement_request request;
        amb_cycle_init_request(cycle, first, &request);
        assert_int_equal(request.priority, rows[i].own_claim);
        amb_cycle_free(cycle);
        amb_task_unbind(node, task, "end of row");
        first->team->opportunistic = false;
    }
}

/* Nobody needs it any more: its own priority counts again. */
static void needs_end_with_who_had_them(void **state) {
    (void)state;
    start_leading();
    struct amb_job *first = job_from("wk-first", "best_effort", 0, 20, 0, "", 201);
    struct amb_job *last = job_from("wk-last", "high", 30, 10, 0, "\"wk-first\"", 202);
    amb_pipelines_update_priorities(node);
    assert_int_equal(amb_job_get_effective_priority(first), AMB_PRIORITY_HIGH);
    amb_job_apply_cancel_hint(node, last->ref, amb_wall_ms(), 203);
    amb_pipelines_update_priorities(node);
    assert_int_equal(amb_job_get_effective_priority(first), AMB_PRIORITY_BEST_EFFORT);
    assert_int_equal(amb_job_due_wall_ms(first), AMB_NO_DUE_TIME);
}

/* What a class asks for is noted when its jobs can run. */
static void demand_is_noted_when_it_can_run(void **state) {
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
    start_leading(); /* who takes the lead notes what it finds */
    assert_int_equal(node->controller.demand_count, 0);
    finish_tasks('a');
    assert_int_equal(node->controller.demand_count, 1);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(order_in_a_line),
        TEST(waiting_counts_from_the_last_end),
        TEST(early_stages_can_wait),
        TEST(opportunistic_work_waits),
        TEST(preemption),
        TEST(needs_end_with_who_had_them),
        TEST(demand_is_noted_when_it_can_run),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
