/* Scale out: which machines are requested, how requests are recorded, and how a new leader continues them. */
#include "amberpin/scheduler/capacity_plan.h"
#include "amberpin/scheduler/cycle.h"
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

#include <math.h>

static void request_ids_are_never_used_twice(void **state) {
    (void)state;
    amb_scale_out_submit(node, 0, 0, false, 1);
    amb_scale_out_submit(node, 0, 0, false, 1);
    struct amb_scale_out_request *first = node->cloud.scale_out.requests, *second = first->next;
    if (!strcmp(first->id, second->id)) fail_msg("id %s is used twice in one term", first->id);
    char id[sizeof first->id];
    strcpy(id, first->id);
    fixture_reset();
    node->election.term = TERM + 1;
    amb_scale_out_submit(node, 0, 0, false, 1);
    if (!strcmp(node->cloud.scale_out.requests->id, id)) fail_msg("id %s is used in two terms", id);
}

static void record_is_kept_until_the_machines_must_be_listed(void **state) {
    (void)state;
    amb_scale_out_submit(node, 0, 0, false, 1);
    amb_cloud_tick(node, amb_now());
    if (find_call("POST", "/machines")) fail_msg("the cloud is called before the request is recorded");
    struct fake_call *commit = open_call("POST", "/commit");
    assert_non_null(fake_txn_put(commit, "b/r/r-50-1", NULL));
    answer_committed(commit, 60);
    amb_cloud_tick(node, amb_now());
    struct fake_call *call = open_call("POST", "/machines");
    assert_true(amb_cbor_equals(amb_cbor_map_get(call->cbor_body, "charter"), "r-50-1"));
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 1);
    amb_cbor_write_string(&buffer, "rigs"), amb_cbor_write_list(&buffer, 1),
        amb_cbor_write_string(&buffer, "m-1");
    fake_answer(call, 200, &buffer);
    for (amb_ms since = 0; since <= 11000; since += 1000) {
        node->election.renewed_at = amb_now();
        amb_cloud_tick(node, amb_now());
        if (find_call("POST", "/commit")) fail_msg("the record is removed after %lld ms", (long long)since);
        fake_clock_advance(1000);
    }
    node->election.renewed_at = amb_now();
    amb_cloud_tick(node, amb_now());
    amb_cloud_tick(node, amb_now());
    assert_true(fake_txn_removes(open_call("POST", "/commit"), "b/r/r-50-1"));
}

static void new_leader_repeats_requests(void **state) {
    (void)state;
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 4);
    amb_cbor_write_string(&buffer, "type"), amb_cbor_write_string(&buffer, "g8");
    amb_cbor_write_string(&buffer, "zone"), amb_cbor_write_string(&buffer, "a");
    amb_cbor_write_string(&buffer, "spot"), amb_cbor_write_bool(&buffer, false);
    amb_cbor_write_string(&buffer, "count"), amb_cbor_write_uint(&buffer, 3);
    const struct amb_cbor_item *value = amb_cbor_parse(buffer.data, buffer.len);
    amb_scale_out_restore(node, "b/r/r-40-7", value);
    amb_buf_free(&buffer);
    amb_cloud_tick(node, amb_now());
    struct fake_call *call = find_call("POST", "/machines");
    if (!call) fail_msg("the request of an earlier leader is not repeated");
    /* NOLINTNEXTLINE(clang-analyzer-core.NullDereference): fail_msg ends the test */
    assert_true(amb_cbor_equals(amb_cbor_map_get(call->cbor_body, "charter"), "r-40-7"));
}

/* ---- capacity plan ---- */

static uint32_t count_requests(int *type) {
    uint32_t count = 0;
    for (const struct amb_scale_out_request *request = node->cloud.scale_out.requests; request;
         request = request->next, count++)
        *type = request->type;
    return count;
}

/* Restarts the node, with a machine type that takes 50 s to boot and is offered in one zone. */
static void restart_with_cloud(void) {
    fixture_teardown(NULL);
    setup(NULL);
    strcpy(node->catalog.types[0].zones[0], "a");
    node->catalog.types[0].zone_count = 1;
    node->catalog.types[0].boot_s = 50;
    amb_catalog_find_or_add_zone(&node->catalog, "a");
    node->settings.cloud_rps = 9;
    node->cloud.call_budget.tokens = 9;
}

static void run_plan(void) {
    struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
    amb_capacity_plan_run(cycle);
    amb_cycle_free(cycle);
}

/* No more requests are submitted than there are calls for, the most urgent first; the remaining demand is
 * combined in the plan. Guards against a queue of requests, which was once served last come, first served: 25
 * calls for one or two machines each took 18 s. */
static void demand_is_combined_while_calls_are_scarce(void **state) {
    (void)state;
    static const struct {
        double tokens;
        int recording, requesting, in_flight;
        uint32_t calls;
    } rows[] = {{0, 0, 0, 0, 1},   {3.5, 0, 0, 0, 3}, {3.5, 1, 1, 0, 1},
                {3.5, 0, 0, 2, 3}, {0, 1, 0, 0, 0},   {2, 3, 3, 0, 0}};
    struct amb_cloud *cloud = &node->cloud;
    node->settings.cloud_rps = 3;
    for (size_t i = 0; i < ROWS(rows); i++) {
        cloud->call_budget = (struct amb_token_bucket){.tokens = rows[i].tokens};
        for (int k = 0; k < rows[i].recording + rows[i].requesting + rows[i].in_flight; k++) {
            amb_scale_out_submit(node, 0, 0, false, 1);
            struct amb_scale_out_request *request = cloud->scale_out.requests;
            while (request->next) request = request->next;
            request->state = k < rows[i].recording ? AMB_SCALE_OUT_RECORDING : AMB_SCALE_OUT_REQUESTING;
            request->in_flight = k >= rows[i].recording + rows[i].requesting;
        }
        uint32_t calls = amb_scale_out_available_calls(node, amb_now());
        amb_cloud_reset(node);
        if (calls != rows[i].calls) fail_msg("row %zu: %u calls available", i, calls);
    }
    node->catalog.type_count = 2;
    for (int type_index = 0; type_index < 2; type_index++) {
        struct amb_machine_type *machine_type = &node->catalog.types[type_index];
        *machine_type = (struct amb_machine_type){
            .resources = {96, 8, 576}, .hourly_price = 10, .boot_s = 50, .zone_count = 1, .zones = {"a"}};
        strcpy(machine_type->name, type_index ? "g8" : "g4");
    }
    amb_catalog_find_or_add_zone(&node->catalog, "a");
    struct amb_job *high_job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 9),
                   *production_job = add_active_job("wk-2", AMB_JOB_KIND_SERVICE, 1);
    high_job->spec->priority = AMB_PRIORITY_HIGH;
    production_job->spec->priority = AMB_PRIORITY_PRODUCTION;
    high_job->spec->allowed_type_count = production_job->spec->allowed_type_count = 1;
    strcpy(high_job->spec->allowed_types[0], "g4");
    strcpy(production_job->spec->allowed_types[0], "g8");
    int type = -1;
    cloud->call_budget = (struct amb_token_bucket){.tokens = 1};
    run_plan();
    assert_int_equal(count_requests(&type), 1);
    assert_int_equal(type, 1);
    cloud->scale_out.requests->in_flight = true;
    cloud->scale_out.requests->state = AMB_SCALE_OUT_REQUESTING;
    run_plan();
    assert_int_equal(count_requests(&type), 2);
    assert_int_equal(type, 0);
    assert_int_equal(cloud->scale_out.requests->next->count, 2); /* nine tasks, eight to a machine */
    /* Gangs of any size are planned for. Gangs of more than 256 tasks once never got a machine. */
    amb_cloud_reset(node);
    high_job->state = production_job->state = AMB_JOB_CANCELLED;
    add_active_job("wk-3", AMB_JOB_KIND_GANG, 300);
    run_plan();
    assert_int_equal(count_requests(&type), 1);
    /* Half of the 38 machines, because the other type costs the same. */
    assert_int_equal(cloud->scale_out.requests->count, 19);
}

/* The demand rate of a class depends neither on whether this node led when a job arrived nor on the order in
 * which it learned of the jobs. */
static void demand_rate_is_independent_of_order_and_leadership(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int ages[4]; /* seconds since the jobs were accepted, in the order in which the node learns of them */
        bool starts_leading, twice;
        double rate; /* of 4 jobs, in tasks per second, with a decay time of 200 s */
    } rows[] = {
        {"all now", {0, 0, 0, 0}, false, false, 4 / 200.0},
        {"oldest first", {150, 100, 50, 0}, false, false, 2.858 / 200},
        {"in another order", {0, 100, 150, 50}, false, false, 2.858 / 200},
        {"the node starts to lead in between", {150, 100, 50, 0}, true, false, 2.858 / 200},
        {"each job is recorded twice", {150, 100, 50, 0}, true, true, 2.858 / 200},
    };
    node->catalog.types[0].boot_s = 50;
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_job jobs[4];
        struct amb_job_spec spec = {.kind = AMB_JOB_KIND_SERVICE,
                                    .priority = AMB_PRIORITY_PRODUCTION,
                                    .task_count = 2,
                                    .class_name = "help"};
        node->controller.demand_count = 0;
        memset(jobs, 0, sizeof jobs);
        for (int k = 0; k < 4; k++) {
            jobs[k].spec = &spec;
            jobs[k].accepted_wall_ms = amb_wall_ms() - rows[i].ages[k] * 1000L;
            if (k == 2 && rows[i].starts_leading) amb_controller_start_leading(node);
            amb_capacity_plan_record_demand(node, &jobs[k]);
        }
        for (int k = 0; k < 4 && rows[i].twice; k++) amb_capacity_plan_record_demand(node, &jobs[k]);
        assert_int_equal(node->controller.demand_count, 1);
        struct amb_demand *demand = &node->controller.demands[0];
        /* The rate holds at the latest arrival that was noted, a moment ago at most. */
        if (fabs(demand->jobs_per_s - rows[i].rate) > rows[i].rate * 0.01 || demand->mean_square_tasks != 4)
            fail_msg("%s: %g a second, squares %g", rows[i].what, demand->jobs_per_s,
                     demand->mean_square_tasks);
    }
}

/* Capacity for the tasks of a machine that has been silent for most of its lease is planned before the loss
 * is proven, because a new machine takes longer to boot than the rest of the lease. */
static void capacity_is_planned_for_long_silent_machines(void **state) {
    (void)state;
    static const struct {
        const char *what;
        amb_ms silent;
        bool cancelled, lease_proxy, alone; /* its job; in its zone; no other machine responds */
        uint32_t requested;
    } rows[] = {
        {"it sends heartbeats", 500, false, false, false, 0},
        {"it may be looking for another controller", 6000, false, false, false, 0},
        {"silent for most of a lease", 7000, false, false, false, 1},
        {"its job is cancelled", 7000, true, false, false, 0},
        {"a lease proxy keeps it alive", 7000, false, true, false, 0},
        {"no machine responds", 7000, false, false, true, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        restart_with_cloud();
        amb_ms now = amb_now() + 1000000;
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
        bind_task(job, 0, "m-1", 1);
        if (rows[i].cancelled) job->state = AMB_JOB_CANCELLED;
        struct amb_machine *machine = amb_machine_get(node, "m-1", false);
        machine->type_index = machine->zone_index = 0;
        machine->state = AMB_MACHINE_UP;
        machine->token_acknowledged = true;
        machine->last_heartbeat_at = now - rows[i].silent;
        if (!rows[i].alone) {
            struct amb_machine *other = amb_machine_get(node, "m-2", true);
            other->last_heartbeat_at = now - 500;
            other->release_pending = true; /* offers no capacity */
        }
        node->lease_proxy.known_count = 1;
        node->lease_proxy.known[0].present = rows[i].lease_proxy;
        struct amb_cycle *cycle = amb_cycle_new(node, now);
        amb_capacity_plan_run(cycle);
        amb_cycle_free(cycle);
        uint32_t requested = 0;
        for (struct amb_scale_out_request *request = node->cloud.scale_out.requests; request;
             request = request->next)
            requested += request->count;
        if (requested != rows[i].requested) fail_msg("%s: %u machines requested", rows[i].what, requested);
    }
}

/* For a job that counts as broken no machine is requested, and its tasks are tried one at a time. */
static void broken_job_gets_one_task_and_no_machines(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool broken;
        uint32_t bound, requests;
        bool schedulable;
    } rows[] = {
        {"not broken", false, 0, 1, true},
        {"not broken, a task is placed", false, 1, 1, true},
        {"broken", true, 0, 0, true},
        {"broken, a task is placed", true, 1, 0, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        restart_with_cloud();
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 3);
        if (rows[i].bound) bind_task(job, 0, "m-1", 1);
        job->failures.broken = rows[i].broken;
        struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
        if (amb_cycle_is_schedulable(cycle, job) != rows[i].schedulable)
            fail_msg("%s: schedulable", rows[i].what);
        amb_capacity_plan_run(cycle);
        amb_cycle_free(cycle);
        int type = -1;
        if (count_requests(&type) != rows[i].requests)
            fail_msg("%s: %u requests", rows[i].what, count_requests(&type));
    }
}

/* The listing tells the age of a machine: one that does not finish booting is released after four boot times,
 * even by a leader that has only just started. */
static void overdue_boots_are_released_by_a_new_leader(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double age_s;
        bool released;
    } rows[] = {{"just created", 5, false}, {"late", 190, false}, {"overdue", 210, true}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        restart_with_cloud();
        struct amb_machine *machine = amb_machine_get(node, "m-1", true); /* known from the previous leader */
        amb_machine_set_state(machine, AMB_MACHINE_BOOTING, "rented");
        amb_cloud_tick(node, amb_now());
        struct amb_buf body = {0};
        amb_cbor_write_map(&body, 2);
        amb_cbor_write_string(&body, "rigs"), amb_cbor_write_list(&body, 1), amb_cbor_write_map(&body, 5);
        amb_cbor_write_string(&body, "ref"), amb_cbor_write_string(&body, "m-1");
        amb_cbor_write_string(&body, "hull"), amb_cbor_write_string(&body, node->catalog.types[0].name);
        amb_cbor_write_string(&body, "yard"), amb_cbor_write_string(&body, "a");
        amb_cbor_write_string(&body, "stance"), amb_cbor_write_string(&body, "booting");
        amb_cbor_write_string(&body, "held_s"), amb_cbor_write_number(&body, rows[i].age_s);
        amb_cbor_write_string(&body, "truncated"), amb_cbor_write_bool(&body, false);
        fake_answer(open_call("GET", "/machines?"), 200, &body);
        run_plan();
        if (machine->release_pending != rows[i].released) fail_msg("%s", rows[i].what);
    }
}

/* ---- scale in ---- */

/* Adds m-1, which is idle or draining after one task of a job has completed on it; its heartbeat lists the
 * completion. */
static struct amb_machine *add_machine_with_completion(uint32_t tasks, bool drain, amb_ms now) {
    static struct amb_agent_task completed;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_ARRAY, tasks);
    struct amb_machine *machine = machine_up("m-1", 0);
    machine->draining = drain;
    job->revision = 20;
    job->backoff_until = now + 1000000; /* no demand for capacity */
    bind_task(job, 0, "m-1", 1);
    completed = make_agent_task("wk-1", 0, 1, AMB_AGENT_TASK_EXITED, AMB_EXIT_DONE);
    deliver_heartbeat("m-1", 1, 1, TERM, now, &completed, 1);
    machine->idle_since = node->controller.leader_since = now - 1000000;
    return machine;
}

/* Guards against a release before the last completion on a machine is durable: a machine was released 0.04 s
 * after its last task had completed, the completion could not be recorded during an outage of the key-value
 * store, and the next leader ran the task again. */
static void machine_is_kept_until_its_last_completion_is_recorded(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint32_t tasks; /* of its job: with one task the job's completion is written, with two a block */
        bool drain;
    } rows[] = {
        {"draining, its job goes on", 2, true},
        {"draining, its job is done", 1, true},
        {"idle for long, its job goes on", 2, false},
        {"idle for long, its job is done", 1, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        const struct amb_agent_task completed =
            make_agent_task("wk-1", 0, 1, AMB_AGENT_TASK_EXITED, AMB_EXIT_DONE);
        struct amb_machine *machine = add_machine_with_completion(rows[i].tasks, rows[i].drain, amb_now());
        run_plan();
        if (machine->release_pending) fail_msg("%s: released before the completion is written", rows[i].what);
        /* Completions of a job that goes on are written in batches, except those on a draining machine. */
        fake_clock_advance(rows[i].drain ? 0 : 2500);
        node->election.renewed_at = amb_now();
        amb_placement_log_flush(node);
        struct fake_call *commit = open_call("POST", "/commit");
        deliver_heartbeat("m-1", 1, 2, TERM, amb_now(), &completed, 1);
        run_plan();
        if (machine->release_pending)
            fail_msg("%s: released while the completion is being written", rows[i].what);
        answer_committed(commit, 60);
        deliver_heartbeat("m-1", 1, 3, TERM, amb_now(), &completed, 1);
        run_plan();
        if (count_commands(AMB_COMMAND_CLEAR) != 1)
            fail_msg("%s: no command clears the completion", rows[i].what);
        if (!machine->release_pending)
            fail_msg("%s: not released once the completion is recorded", rows[i].what);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(broken_job_gets_one_task_and_no_machines, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(overdue_boots_are_released_by_a_new_leader, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(request_ids_are_never_used_twice, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(record_is_kept_until_the_machines_must_be_listed, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(new_leader_repeats_requests, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(demand_is_combined_while_calls_are_scarce, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(demand_rate_is_independent_of_order_and_leadership, setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(capacity_is_planned_for_long_silent_machines, setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(machine_is_kept_until_its_last_completion_is_recorded, fixture_setup,
                                        fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
