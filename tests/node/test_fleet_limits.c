/* Data that grows with the fleet is bounded for thousands of machines, and nothing is lost when it reaches
 * its bound (docs/operators/limits.md). */
#include "amberpin/agent/machine_loss.h"
#include "amberpin/fleet/agent_commands.h"
#include "amberpin/node/fleet_capacity.h"
#include "amberpin/node/memory_budget.h"
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

#include <jansson.h>

enum { LARGE_FLEET = 8000 };

static void fleet_name(char out[AMB_NAME_SIZE], uint32_t number) {
    snprintf(out, AMB_NAME_SIZE, "m-%06u", number);
}

static void add_machines(uint32_t first, uint32_t count, uint32_t images) {
    char name[AMB_NAME_SIZE];
    for (uint32_t i = first; i < first + count; i++) {
        fleet_name(name, i);
        struct amb_machine *machine = amb_machine_get(node, name, true);
        machine->images_changed = true;
        amb_machine_reserve_images(machine, images);
        for (machine->image_count = 0; machine->image_count < images; machine->image_count++) {
            snprintf(machine->images[machine->image_count], AMB_NAME_SIZE, "img-%02u", machine->image_count);
            machine->image_sizes_gb[machine->image_count] = 65.5;
        }
    }
}

/* ---- heartbeats ---- */

/* Sends one heartbeat to all other nodes and applies its images here, as a follower would. Returns its
 * size. */
static size_t exchange_heartbeat(void) {
    char *text = amb_peer_encode_heartbeat(node);
    size_t len = strlen(text);
    struct amb_peer_message *heartbeat;
    assert_false(
        amb_peer_message_parse(text, len, amb_memory_max_peer_values_bytes(&node->settings), &heartbeat)
            .fault);
    amb_peer_mark_heartbeat_sent(node);
    amb_image_locations_apply(node, heartbeat);
    amb_peer_message_release(heartbeat);
    free(text);
    return len;
}

static bool is_in(struct amb_image_location *table, const char *machine) {
    struct amb_image_location *location;
    HASH_FIND_STR(table, machine, location);
    return location != NULL;
}

static bool is_known(uint32_t number) {
    char name[AMB_NAME_SIZE];
    fleet_name(name, number);
    return is_in(node->peers.image_locations.current, name) ||
           is_in(node->peers.image_locations.previous, name);
}

/* If all images have changed, as when a fleet starts, each heartbeat fits and all images are sent in time. */
static void images_of_every_machine_are_sent(void **state) {
    (void)state;
    static const struct {
        uint32_t machines, images, heartbeats;
    } rows[] = {{1000, 4, 2}, {4000, 4, 4}, {LARGE_FLEET, 4, 8}, {LARGE_FLEET, AMB_IMAGES_MAX, 60}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        add_machines(0, rows[i].machines, rows[i].images);
        for (uint32_t k = 0; k < rows[i].heartbeats; k++)
            if (exchange_heartbeat() > AMB_HEARTBEAT_MAX_BYTES)
                fail_msg("row %zu: heartbeat %u is too long", i, k);
        for (uint32_t k = 0; k < rows[i].machines; k++)
            if (!is_known(k)) fail_msg("row %zu: images of machine %u were not sent", i, k);
        for (const struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next)
            if (machine->images_changed)
                fail_msg("row %zu: images of %s would be sent again", i, machine->name);
    }
}

/* Removed machines are forgotten and present ones never, even if more machines come and go than were ever
 * present at once. */
static void removed_machines_are_forgotten(void **state) {
    (void)state;
    enum { KEPT = 4000, SPIKE = 1000, SPIKES = 12, HEARTBEATS = 50 };
    add_machines(0, KEPT, 2);
    for (uint32_t spike = 0; spike < SPIKES; spike++) {
        add_machines(KEPT + spike * SPIKE, SPIKE, 2);
        for (uint32_t i = 0; i < HEARTBEATS; i++) exchange_heartbeat();
        for (uint32_t i = 0; i < SPIKE; i++) {
            char name[AMB_NAME_SIZE];
            fleet_name(name, KEPT + spike * SPIKE + i);
            amb_machine_confirm_gone(node, amb_machine_get(node, name, false), AMB_ABSENCE_RELEASED);
        }
        for (uint32_t i = 0; i < KEPT; i++)
            if (!is_known(i)) fail_msg("spike %u: machine %u is forgotten", spike, i);
    }
    assert_true(is_known(KEPT + (SPIKES - 1) * SPIKE));
    assert_false(is_known(KEPT));
    assert_in_range(HASH_COUNT(node->peers.image_locations.previous), KEPT, KEPT + 3 * SPIKE);
}

/* If the progress of more jobs has changed than fits into a heartbeat, later heartbeats carry the rest. */
static void progress_of_many_jobs_is_sent_in_parts(void **state) {
    (void)state;
    enum { JOBS = 12000 };
    char ref[AMB_NAME_SIZE];
    for (uint32_t i = 0; i < JOBS; i++) {
        snprintf(ref, sizeof ref, "wk-%06u", i);
        add_active_job(ref, AMB_JOB_KIND_ARRAY, 1)->progress_changed = true;
    }
    for (uint32_t i = 0; i < 8; i++) assert_in_range(exchange_heartbeat(), 1, AMB_HEARTBEAT_MAX_BYTES);
    for (const struct amb_job *job = node->jobs.active; job; job = job->next_active)
        if (job->progress_changed) fail_msg("progress of %s was not sent", job->ref);
}

/* ---- names of removed machines ---- */

static void oldest_removed_machines_are_forgotten(void **state) {
    (void)state;
    size_t most = amb_machines_removed_limit(node);
    char name[AMB_NAME_SIZE];
    assert_in_range(most, 1000, 100000);
    for (uint32_t i = 0; i < most + 10; i++) {
        fleet_name(name, i);
        amb_machine_confirm_gone(node, amb_machine_get(node, name, true), AMB_ABSENCE_RELEASED);
    }
    size_t kept = 0;
    for (uint32_t i = 0; i < most + 10; i++) {
        fleet_name(name, i);
        kept += amb_machine_was_removed(node, name);
    }
    assert_int_equal(kept, most);
    fleet_name(name, 9);
    assert_false(amb_machine_was_removed(node, name));
    fleet_name(name, 10);
    assert_true(amb_machine_was_removed(node, name));
}

/* ---- types and zones that are not in the catalogue ---- */

static void machines_beyond_a_bound_are_not_used(void **state) {
    (void)state;
    static const struct {
        const char *what, *type, *zone;
        bool used;
    } rows[] = {{"known", "g8", "a", true},
                {"of no known type", "g9", "a", false},
                {"in the seventeenth zone", "g8", "one more", false}};
    char zone[AMB_NAME_SIZE];
    for (uint32_t i = node->catalog.zone_count; i < AMB_ZONES_MAX; i++) {
        snprintf(zone, sizeof zone, "zone-%u", i);
        amb_catalog_find_or_add_zone(&node->catalog, i ? zone : "a");
    }
    strcpy(node->catalog.types[0].name, "g8");
    node->catalog.type_count = 1;
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_machine *machine = amb_machine_get(node, rows[i].what, true);
        machine->state = AMB_MACHINE_UP;
        machine->last_heartbeat_at = amb_now();
        amb_machine_set_location(node, machine, rows[i].type, rows[i].zone);
        if (amb_machine_is_schedulable(node, machine, amb_now()) != rows[i].used)
            fail_msg("%s", rows[i].what);
        if (machine->missing_from_catalog == rows[i].used)
            fail_msg("%s: missing_from_catalog is %d", rows[i].what, !rows[i].used);
    }
}

/* A leader that has just started may receive heartbeats before it has read the catalogue. It does not use
 * those machines until then. */
static void machines_wait_for_the_catalogue(void **state) {
    (void)state;
    struct amb_machine *machine = amb_machine_get(node, "m-1", true);
    machine->state = AMB_MACHINE_UP;
    machine->last_heartbeat_at = amb_now();
    node->cloud.catalog_known = false;
    node->catalog.type_count = 0;
    amb_machine_set_location(node, machine, "g8", "a");
    assert_false(amb_machine_is_schedulable(node, machine, amb_now()));
    assert_false(machine->missing_from_catalog);
    strcpy(node->catalog.types[0].name, "g8");
    node->catalog.type_count = 1;
    node->cloud.catalog_known = true;
    amb_machine_set_location(node, machine, "g8", "a");
    assert_true(amb_machine_is_schedulable(node, machine, amb_now()));
}

/* ---- the cloud's list ---- */

static void answer_list_page(uint32_t first, uint32_t count, bool more) {
    struct amb_buf body = {0};
    char name[AMB_NAME_SIZE];
    amb_cbor_write_map(&body, 2);
    amb_cbor_write_string(&body, "rigs"), amb_cbor_write_list(&body, count);
    for (uint32_t i = first; i < first + count; i++) {
        fleet_name(name, i);
        amb_cbor_write_map(&body, 2);
        amb_cbor_write_string(&body, "ref"), amb_cbor_write_string(&body, name);
        amb_cbor_write_string(&body, "stance"), amb_cbor_write_string(&body, "running");
    }
    amb_cbor_write_string(&body, "truncated"), amb_cbor_write_bool(&body, more);
    fake_answer(open_call("GET", "/machines?"), 200, &body);
}

static void let_time_pass(amb_ms span) {
    fake_clock_advance(span);
    node->election.renewed_at = amb_now();
    amb_cloud_tick(node, amb_now());
}

/* Each page takes a token from the call budget, so that a long list does not cause scale-out requests to be
 * rejected. A page that fails is requested again. */
static void long_lists_keep_to_the_call_budget(void **state) {
    (void)state;
    enum { PAGES = 8, PAGE = 500 };
    node->settings.cloud_rps = 1;
    node->cloud.call_budget.tokens = 1;
    amb_cloud_tick(node, amb_now());
    for (uint32_t page = 0; page < PAGES; page++) {
        if (page == 4) {
            fake_answer(open_call("GET", "/machines?"), 503, NULL);
            if (find_call("GET", "/machines?")) fail_msg("the failed page is requested again at once");
            let_time_pass(5000);
        }
        char path[64];
        snprintf(path, sizeof path, page ? "/machines?after=m-%06u&" : "/machines?most", page * PAGE - 1);
        open_call("GET", path);
        answer_list_page(page * PAGE, PAGE, page < PAGES - 1);
        if (find_call("GET", "/machines?"))
            fail_msg("page %u is requested without a token for the call", page + 1);
        assert_int_equal(node->cloud.list.completed, page == PAGES - 1);
        let_time_pass(2500);
    }
    assert_int_equal(HASH_COUNT(node->fleet.machines), PAGES * PAGE);
    /* The next list leaves most calls for other requests. */
    amb_ms began = node->cloud.list.started_at;
    while (node->cloud.list.started_at == began) let_time_pass(500);
    assert_in_range(node->cloud.list.started_at - began, PAGES * 1000 / 0.25, PAGES * 1000 / 0.25 + 3000);
}

/* ---- responses to heartbeats ---- */

/* Guards against counting a run command that does not fit into a response as sent: the machine would be
 * blamed for not acting on it. */
static void starts_that_do_not_fit_are_sent_next(void **state) {
    (void)state;
    enum { TASKS = 3, ROOM = 2 };
    struct amb_agent_command list[ROOM];
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, TASKS);
    struct amb_machine *machine = machine_up("m-1", 0);
    for (uint32_t i = 0; i < TASKS; i++) bind_task(job, i, "m-1", i + 1);
    struct amb_command_list first = {list, ROOM, 0};
    amb_command_list_add_starts(node, machine, &first);
    assert_int_equal(first.count, ROOM);
    uint32_t left = TASKS, sent = 0;
    for (uint32_t i = 0; i < TASKS; i++) {
        sent += job->tasks[i].start_sent;
        if (!job->tasks[i].start_sent) left = i;
    }
    assert_int_equal(sent, ROOM);
    struct amb_command_list next = {list, ROOM, 0};
    amb_command_list_add_starts(node, machine, &next);
    assert_int_equal(next.count, 1);
    assert_int_equal(next.commands[0].index, left);
    assert_true(job->tasks[left].start_sent);
}

/* ---- the fleet size that operators state ---- */

static void insufficient_quotas_are_errors(void **state) {
    (void)state;
    static const struct {
        double machines, sockets, memory_mb;
        const char *complaint; /* NULL: valid */
    } rows[] = {
        {0, 32, 4, NULL},
        {500, 800, 56, NULL},
        {4000, 6182, 128, NULL},
        {4000, 6181, 128, "f.toml: params.quota.fd_limit: 6181 sockets; fleet-machines 4000 needs 6182"},
        {4000, 800, 128, "f.toml: params.quota.fd_limit: 800 sockets; fleet-machines 4000 needs 6182"},
        {4000, 8000, 27, "f.toml: params.quota.memory_mb: 27 MB hold "},
        {8000, 16000, 256, NULL},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        const struct amb_settings settings = {.fd_limit = rows[i].sockets, .memory_mb = rows[i].memory_mb};
        struct amb_options options;
        char err[256] = "";
        amb_options_set_defaults(&options);
        options.fleet_machines = rows[i].machines;
        bool holds = amb_capacity_check(&settings, &options, "f.toml", err, sizeof err);
        if (holds != !rows[i].complaint || (!holds && !strstr(err, rows[i].complaint)))
            fail_msg("row %zu: '%s'", i, err);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(images_of_every_machine_are_sent, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(removed_machines_are_forgotten, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(progress_of_many_jobs_is_sent_in_parts, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(oldest_removed_machines_are_forgotten, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(machines_beyond_a_bound_are_not_used, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(machines_wait_for_the_catalogue, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(long_lists_keep_to_the_call_budget, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(starts_that_do_not_fit_are_sent_next, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test(insufficient_quotas_are_errors),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
