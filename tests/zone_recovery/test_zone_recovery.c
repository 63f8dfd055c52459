/* Zone recovery on a leader: refused settings, the zones in which tasks may start, capacity reserved for lost
 * replicas, and the record from which a new leader continues. */
#include "amberpin/placement/wdrr.h"
#include "amberpin/scheduler/capacity_plan.h"
#include "amberpin/scheduler/cycle.h"
#include "cbor_items.h"
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

#define ZONES_KEY "b/zones"

enum { ZONE_A, ZONE_B, MACHINES = 4, FIRST_REVISION = 60 };

/* ---- settings ---- */

static void inconsistent_settings_are_refused(void **state) {
    (void)state;
    static const struct {
        const char *order;
        double stability, stability_max, loss_expiry;
        const char *error; /* NULL: the settings are valid */
    } rows[] = {
        {"", 0.5, 2, 10, NULL},
        {"train, serve", 0.5, 2, 10, NULL},
        {"", 0.01, 2, 10, "o.xml: zone-steady must be at least a report period"},
        {"", 0.5, 0.4, 10, "o.xml: zone-steady-longest must be at least zone-steady"},
        {"", 0.5, 2, 1, "o.xml: zone-loss-forgotten must be at least zone-steady-longest"},
        {"train, sort", 0.5, 2, 10, "o.xml: zone-recovery-order: 'sort' is no class that objectives name"},
        {"train serve,train", 0.5, 2, 10, "o.xml: zone-recovery-order: 'train' stands there twice"},
    };
    node->settings.objective_count = 2;
    strcpy(node->settings.objectives[0].class_name, "train");
    strcpy(node->settings.objectives[1].class_name, "serve");
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_options options = {.zone_recovery = 1,
                                      .zone_steady_share = rows[i].stability,
                                      .zone_steady_max_share = rows[i].stability_max,
                                      .zone_loss_expiry_share = rows[i].loss_expiry};
        char err[256] = "";
        strcpy(options.zone_recovery_order, rows[i].order);
        bool valid = amb_zone_recovery_check(&node->settings, &options, "o.xml", err, sizeof err);
        if (valid != !rows[i].error || (!valid && !strstr(err, rows[i].error)))
            fail_msg("row %zu: '%s'", i, err);
        options.zone_recovery = 0;
        assert_true(amb_zone_recovery_check(&node->settings, &options, "o.xml", err, sizeof err));
    }
}

/* ---- a leader with two zones ---- */

static void enable_recovery(void) {
    amb_options_set_defaults(&node->options);
    node->options.zone_recovery = 1;
    node->formats.recorded = AMB_FORMAT_2;
    amb_zone_recovery_init(node);
    amb_wdrr_prepare(node->settings.teams, node->settings.team_count, true);
    amb_catalog_find_or_add_zone(&node->catalog, "a");
    amb_catalog_find_or_add_zone(&node->catalog, "b");
    for (int i = 0; i < 2 * MACHINES; i++) {
        char name[AMB_NAME_SIZE];
        snprintf(name, sizeof name, "m-%d", i);
        machine_up(name, i % 2);
    }
    fake_clock_advance(10000);
}

/* Runs a tick of the zones after all machines have sent heartbeats except those of the silent zone; -1: no
 * zone is silent. */
static void tick_with_silent_zone(int silent_zone) {
    for (struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next)
        if (machine->zone_index != silent_zone)
            machine->last_heartbeat_at = machine->last_response_at = amb_now();
    node->election.renewed_at = amb_now();
    node->cloud.list.started_at = amb_now();
    amb_zones_tick(node, amb_now());
}

static enum amb_zone_health_state health_state(int zone) {
    return node->zone_recovery.zones[zone].state;
}

/* Makes zone b lost and then returning: reachable, but not stable yet. */
static void lose_and_return(void) {
    tick_with_silent_zone(ZONE_B);
    assert_int_equal(health_state(ZONE_B), AMB_ZONE_LOST);
    tick_with_silent_zone(-1);
    assert_int_equal(health_state(ZONE_B), AMB_ZONE_RETURNING);
}

static void advance_with_silent_zone(amb_ms span, int silent) {
    for (amb_ms passed = 0; passed <= span; passed += 500) {
        fake_clock_advance(500);
        tick_with_silent_zone(silent);
    }
}

static void advance_stable(amb_ms span) {
    advance_with_silent_zone(span, -1);
}

static uint32_t placed_in(const struct amb_job *job, int zone) {
    return job->zone_task_counts[zone];
}

static void admit(void) {
    struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
    amb_cycle_admit(cycle);
    amb_cycle_free(cycle);
}

static void disabled_recovery_keeps_all_zones_healthy(void **state) {
    (void)state;
    enable_recovery();
    node->options.zone_recovery = 0;
    tick_with_silent_zone(ZONE_B);
    assert_int_equal(health_state(ZONE_B), AMB_ZONE_HEALTHY);
    assert_true(amb_zone_is_unreachable(node, ZONE_B));
    assert_int_equal(amb_zones_without_batch(node), 0);
    assert_null(find_call("POST", "/commit"));
}

/* Replicas may start in a returning zone immediately, batch tasks only once the zone has been stable. */
static void returning_zone_takes_replicas_only(void **state) {
    (void)state;
    for (int stable = 0; stable < 2; stable++) {
        fixture_reset();
        enable_recovery();
        lose_and_return();
        answer_committed(open_call("POST", "/commit"), FIRST_REVISION);
        tick_with_silent_zone(-1);
        struct fake_call *second = find_call("POST", "/commit");
        if (second) answer_committed(second, FIRST_REVISION + 1);
        if (stable) {
            advance_stable(node->zone_recovery.settings.stability_period);
            answer_committed(open_call("POST", "/commit"), FIRST_REVISION + 2);
        }
        struct amb_job *batch = add_active_job("wk-1", AMB_JOB_KIND_ARRAY, 40),
                       *replicas = add_active_job("wk-2", AMB_JOB_KIND_SERVICE, 2);
        replicas->spec->priority = AMB_PRIORITY_PRODUCTION;
        replicas->spec->spread_zones = true;
        strcpy(replicas->spec->zone, "b");
        strcpy(batch->spec->zone, "b");
        replicas->allowed_type_mask_known = batch->allowed_type_mask_known = false;
        admit();
        assert_int_equal(placed_in(replicas, ZONE_B), 1);
        assert_int_equal(placed_in(batch, ZONE_B) > 0, stable);
    }
}

/* Neither idle nor unproven machines of a returning zone are released. */
static void returning_zone_keeps_its_machines(void **state) {
    (void)state;
    enable_recovery();
    lose_and_return();
    struct amb_machine *idle = amb_machine_get(node, "m-1", false),
                       *other = amb_machine_get(node, "m-0", false);
    idle->idle_since = other->idle_since = node->controller.leader_since = amb_now() - 1000000;
    struct amb_machine *unproven = machine_in("m-9", ZONE_B);
    unproven->state = AMB_MACHINE_UNPROVEN;
    unproven->state_since = node->controller.restored_at = node->controller.leader_since;
    unproven->last_heartbeat_at = amb_now();
    struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
    amb_capacity_plan_run(cycle);
    amb_cycle_free(cycle);
    amb_fleet_tick(node, amb_now());
    assert_true(other->release_pending);
    assert_false(idle->release_pending);
    assert_false(unproven->release_pending);
}

/* ---- recovery order ---- */

/* Adds a service of this class with its only replica on m-1, in zone b. */
static struct amb_job *add_service_in_zone_b(const char *ref, const char *class_name,
                                             enum amb_priority priority) {
    struct amb_job *job = add_active_job(ref, AMB_JOB_KIND_SERVICE, 1);
    strcpy(job->spec->class_name, class_name);
    job->spec->priority = priority;
    struct amb_task *task = bind_task(job, 0, "m-1", 1);
    task->state = AMB_TASK_SEEN;
    job->next_attempt = 2;
    return job;
}

static void expect_step(uint32_t position, const char *class_name) {
    assert_string_equal(node->zone_recovery.order.steps[position].lost_class.name, class_name);
}

static void classes_recover_in_order(void **state) {
    (void)state;
    enable_recovery();
    node->controller.ready = false; /* nothing is placed meanwhile */
    struct amb_job *drafts = add_service_in_zone_b("wk-1", "drafts", AMB_PRIORITY_HIGH);
    struct amb_job *assistant = add_service_in_zone_b("wk-2", "assistant", AMB_PRIORITY_PRODUCTION);
    struct amb_job *sweep = add_active_job("wk-3", AMB_JOB_KIND_ARRAY, 4),
                   *new_prod = add_active_job("wk-4", AMB_JOB_KIND_SERVICE, 1);
    struct amb_job *new_high = add_active_job("wk-5", AMB_JOB_KIND_SERVICE, 1);
    new_prod->spec->priority = AMB_PRIORITY_PRODUCTION;
    new_high->spec->priority = AMB_PRIORITY_HIGH;
    assert_int_equal(amb_zone_recovery_step_of(node, assistant), AMB_RECOVERY_NO_STEP);
    tick_with_silent_zone(ZONE_B);
    expect_step(0, "assistant");
    expect_step(1, "drafts");
    assert_int_equal(amb_zone_recovery_step_of(node, assistant), 0);
    assert_int_equal(amb_zone_recovery_step_of(node, new_prod), 1); /* before classes of lower priority */
    assert_int_equal(amb_zone_recovery_step_of(node, drafts), 1);
    assert_int_equal(amb_zone_recovery_step_of(node, new_high), AMB_RECOVERY_NO_STEP);
    assert_int_equal(amb_zone_recovery_step_of(node, sweep), AMB_RECOVERY_NO_STEP);
    amb_task_unbind(node, &assistant->tasks[0], "test");
    advance_with_silent_zone(2000, ZONE_B);
    assert_int_equal(node->zone_recovery.order.steps[0].wait, AMB_RECOVERY_WAIT_CAPACITY);
    assert_int_equal(node->zone_recovery.order.steps[1].wait, AMB_RECOVERY_WAIT_ABSENCE_PROOF);
    assistant->team->limit.gpus = 0.5;
    advance_with_silent_zone(2000, ZONE_B);
    assert_int_equal(node->zone_recovery.order.steps[0].wait, AMB_RECOVERY_WAIT_QUOTA);
}

/* Batch tasks may use only the capacity that is not reserved for replicas. */
static void batch_tasks_leave_reserved_capacity_free(void **state) {
    (void)state;
    enable_recovery();
    tick_with_silent_zone(-1);
    struct amb_job *batch = add_active_job("wk-1", AMB_JOB_KIND_ARRAY, 100);
    for (struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next)
        machine->reserved.gpus = 7;
    batch->spec->task_resources = (struct amb_resources){1, 1, 1};
    admit();
    uint32_t machines = HASH_COUNT(node->fleet.machines);
    if (batch->bound_count != machines)
        fail_msg("%u tasks on %u machines with capacity for one each", batch->bound_count, machines);
}

/* ---- zone record ---- */

/* Does the record hold this state of its first zone? */
static bool record_has_state(const struct amb_cbor_item *value, const char *state_name) {
    return amb_cbor_equals(
        amb_cbor_map_get(amb_cbor_list_item(amb_cbor_map_get(value, "zones"), 0), "verdict"), state_name);
}

static struct fake_call *expect_write(const char *state_name, uint64_t revision) {
    struct fake_call *commit = open_call("POST", "/commit");
    const struct amb_cbor_item *value = fake_txn_put(commit, ZONES_KEY, NULL);
    assert_non_null(value);
    assert_int_equal(fake_txn_compared_revision(commit, LEADER_KEY), TERM);
    assert_int_equal(fake_txn_compared_revision(commit, ZONES_KEY), revision);
    assert_true(record_has_state(value, state_name));
    return commit;
}

/* Batch tasks stay out of the zone until a record with its healthy state is known to be stored. */
static void batch_tasks_wait_until_the_healthy_state_is_recorded(void **state) {
    (void)state;
    static const int failures[] = {503, 409, 0}; /* status of the write; 0: no answer */
    for (size_t i = 0; i < ROWS(failures); i++) {
        fixture_reset();
        enable_recovery();
        lose_and_return();
        answer_committed(expect_write("lost", 0), FIRST_REVISION);
        tick_with_silent_zone(-1);
        answer_committed(expect_write("returning", FIRST_REVISION), FIRST_REVISION + 1);
        advance_stable(node->zone_recovery.settings.stability_period);
        assert_int_equal(health_state(ZONE_B), AMB_ZONE_HEALTHY);
        assert_int_equal(amb_zones_without_batch(node), 1u << ZONE_B);
        fake_answer(expect_write("healthy", FIRST_REVISION + 1), failures[i], NULL);
        assert_int_equal(amb_zones_without_batch(node), 1u << ZONE_B);
        fake_clock_advance(node->store.call_timeout + 1);
        tick_with_silent_zone(-1);
        answer_value(open_call("GET", "/store/" ZONES_KEY), "form", NULL, 1, FIRST_REVISION + 5);
        tick_with_silent_zone(-1);
        answer_committed(expect_write("healthy", FIRST_REVISION + 5), FIRST_REVISION + 6);
        assert_int_equal(amb_zones_without_batch(node), 0);
    }
}

static const struct amb_cbor_item *record_value(uint64_t version) {
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 3);
    amb_cbor_write_string(&buffer, "form"), amb_cbor_write_uint(&buffer, version);
    amb_cbor_write_string(&buffer, "zones"), amb_cbor_write_list(&buffer, 1), amb_cbor_write_map(&buffer, 3);
    amb_cbor_write_string(&buffer, "zone"), amb_cbor_write_string(&buffer, "b");
    amb_cbor_write_string(&buffer, "verdict"), amb_cbor_write_string(&buffer, "returning");
    amb_cbor_write_string(&buffer, "losses"), amb_cbor_write_uint(&buffer, 3);
    amb_cbor_write_string(&buffer, "steps"), amb_cbor_write_list(&buffer, 2);
    static const char *const classes[] = {"drafts", "assistant"}; /* the order of an earlier loss */
    for (uint64_t i = 0; i < 2; i++) {
        amb_cbor_write_map(&buffer, 2);
        amb_cbor_write_string(&buffer, "class"), amb_cbor_write_string(&buffer, classes[i]);
        amb_cbor_write_string(&buffer, "priority"), amb_cbor_write_uint(&buffer, AMB_PRIORITY_HIGH + i);
    }
    const struct amb_cbor_item *value = cbor_item_copy(amb_cbor_parse(buffer.data, buffer.len));
    amb_buf_free(&buffer);
    return value;
}

static void new_leader_restores_the_record(void **state) {
    (void)state;
    static const struct {
        const char *what, *key;
        uint64_t version;
        bool enabled, restored;
    } rows[] = {
        {"current version", ZONES_KEY, 1, true, true},
        {"a later version is ignored", ZONES_KEY, 2, true, false},
        {"another key", "b/returns", 1, true, false},
        {"zone recovery is off", ZONES_KEY, 1, false, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        enable_recovery();
        node->options.zone_recovery = rows[i].enabled;
        const struct amb_cbor_item *value = record_value(rows[i].version);
        amb_zone_record_load(node, rows[i].key, value, FIRST_REVISION);
        cbor_item_free(value);
        if ((health_state(ZONE_B) == AMB_ZONE_RETURNING) != rows[i].restored) fail_msg("%s", rows[i].what);
        assert_int_equal(node->zone_recovery.order.count, rows[i].restored ? 2 : 0);
        assert_int_equal(amb_zones_without_batch(node), rows[i].restored ? 1u << ZONE_B : 0);
        if (!rows[i].restored) continue;
        assert_int_equal(node->zone_recovery.zones[ZONE_B].losses, 3);
        expect_step(0, "drafts");
        expect_step(1, "assistant");
    }
}

/* A controller of format version 1 would neither write nor read the record. */
static void nothing_is_written_while_format_1_may_lead(void **state) {
    (void)state;
    for (int format_1 = 0; format_1 < 2; format_1++) {
        fixture_reset();
        enable_recovery();
        node->formats.recorded = format_1 ? AMB_FORMAT_1 : AMB_FORMAT_2;
        tick_with_silent_zone(ZONE_B);
        assert_int_equal(find_call("POST", "/commit") == NULL, format_1);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(inconsistent_settings_are_refused, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(disabled_recovery_keeps_all_zones_healthy, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(returning_zone_takes_replicas_only, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(returning_zone_keeps_its_machines, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(classes_recover_in_order, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(batch_tasks_leave_reserved_capacity_free, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(batch_tasks_wait_until_the_healthy_state_is_recorded, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(new_leader_restores_the_record, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(nothing_is_written_while_format_1_may_lead, fixture_setup,
                                        fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
