/* Tasks of cancelled jobs: they are commanded to stop until they are gone, also by the next leader. */
#include "check.h"
#include "fake_http.h"
#include "leader_fixture.h"

static void machine_of_a_lingering_cancelled_task_is_released(void **state) {
    (void)state;
    static const struct {
        amb_ms cancelled; /* how long ago, in ms; cancel_s is 30 */
        bool returned;
    } rows[] = {{17900, false}, {18100, true}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
        struct amb_machine *machine = machine_up("m-1", 0);
        bind_task(job, 0, "m-1", 1)->state = AMB_TASK_SEEN;
        amb_job_apply_cancel_hint(node, "wk-1", amb_wall_ms() - rows[i].cancelled, 61);
        amb_fleet_tick(node, amb_now());
        if (machine->release_pending != rows[i].returned)
            fail_msg("cancelled %lld ms ago: machine returned: %d", (long long)rows[i].cancelled,
                     machine->release_pending);
    }
}

static void new_leader_stops_tasks_of_cancelled_job(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
    machine_up("m-1", 0);
    bind_task(job, 0, "m-1", 1);
    struct amb_buf buffer = {0};
    amb_placement_log_encode_block(node, &job->blocks[0], &buffer);
    const struct amb_cbor_item *value = amb_cbor_parse(buffer.data, buffer.len);
    amb_job_deactivate(node, job);
    amb_fleet_clear(node);
    job->state = AMB_JOB_CANCELLED;
    amb_placement_log_restore(node, BLOCK_KEY, value, 61);
    amb_buf_free(&buffer);
    send_heartbeat(heartbeat_of_running_task());
    if (count_replied_commands("halt") != 1) fail_msg("no stop command was sent");
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(machine_of_a_lingering_cancelled_task_is_released, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(new_leader_stops_tasks_of_cancelled_job, fixture_setup,
                                        fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
