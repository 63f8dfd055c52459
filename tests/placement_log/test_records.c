/* The placement log: the comparisons in its writes, writes whose response is lost, the order of writes, and
 * restoring it. */
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

/* ---- comparisons ---- */

static struct fake_call *begin_block_removal(void) {
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
    job->revision = 20;
    job->blocks[0].revision = 33;
    job->state = AMB_JOB_CANCELLED;
    amb_placement_log_flush(node);
    return open_call("POST", "/commit");
}

static struct fake_call *begin_final_state(void) {
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
    job->revision = 20;
    job->blocks[0].revision = 33;
    amb_task_mark_done(node, &job->tasks[0]);
    amb_placement_log_flush(node);
    return open_call("POST", "/commit");
}

static struct fake_call *begin_removal_after_final_state(void) {
    answer_committed(begin_final_state(), 61);
    fake_clock_advance(1000);
    amb_placement_log_flush(node);
    return open_call("POST", "/commit");
}

static struct fake_call *begin_rental(void) {
    amb_scale_out_submit(node, 0, 0, false, 1);
    amb_cloud_tick(node, amb_now());
    return open_call("POST", "/commit");
}

static struct fake_call *begin_rental_removal(void) {
    amb_scale_out_submit(node, 0, 0, false, 1);
    node->cloud.scale_out.requests->state = AMB_SCALE_OUT_REMOVING;
    amb_cloud_tick(node, amb_now());
    return open_call("POST", "/commit");
}

static void leader_writes_are_conditional(void **state) {
    (void)state;
    static const uint64_t NOT_COMPARED = FAKE_NOT_COMPARED;
    static const struct {
        const char *what;
        struct fake_call *(*begin)(void);
        uint64_t job, block; /* revisions that it must compare, beside the leader key */
        const char *puts, *removes;
    } rows[] = {
        {"a placement block", begin_block_write, 20, 33, BLOCK_KEY, NULL},
        {"a block removed", begin_block_removal, NOT_COMPARED, 33, NULL, BLOCK_KEY},
        {"a job's final state", begin_final_state, 20, NOT_COMPARED, "a/job/wk-1", NULL},
        {"a block removed after the job's end", begin_removal_after_final_state, NOT_COMPARED, 33, NULL,
         BLOCK_KEY},
        {"a rental request", begin_rental, NOT_COMPARED, NOT_COMPARED, "b/r/r-50-1", NULL},
        {"a rental request removed", begin_rental_removal, NOT_COMPARED, NOT_COMPARED, NULL, "b/r/r-50-1"},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct fake_call *commit = rows[i].begin();
        if (!commit) fail_msg("%s: not written", rows[i].what);
        if (rows[i].puts && !fake_txn_put(commit, rows[i].puts, NULL)) fail_msg("%s: not put", rows[i].what);
        if (rows[i].removes && !fake_txn_removes(commit, rows[i].removes))
            fail_msg("%s: not removed", rows[i].what);
        if (fake_txn_compared_revision(commit, LEADER_KEY) != TERM)
            fail_msg("%s is written without a comparison of the leader's term", rows[i].what);
        if (fake_txn_compared_revision(commit, "a/job/wk-1") != rows[i].job)
            fail_msg("%s: wrong comparison of the job's revision", rows[i].what);
        if (fake_txn_compared_revision(commit, BLOCK_KEY) != rows[i].block)
            fail_msg("%s: wrong comparison of the block's revision", rows[i].what);
    }
}

/* ---- placements become durable before tasks start ---- */

static void placement_writes_without_response(void **state) {
    (void)state;
    enum read { FAILS, MISSING, OTHER_WRITE, OWN_WRITE };
    static const struct {
        const char *what;
        enum read read;
        bool job_changed; /* while the write is unconfirmed */
        bool sent_again;
        enum amb_task_state state;
    } rows[] = {
        {"the block was written", OWN_WRITE, false, false, AMB_TASK_BOUND},
        {"the block does not exist", MISSING, false, true, AMB_TASK_PLACED},
        {"an older block exists", OTHER_WRITE, false, true, AMB_TASK_PLACED},
        {"the read fails", FAILS, false, true, AMB_TASK_PLACED},
        {"the job was cancelled meanwhile", MISSING, true, false, AMB_TASK_WAITING},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct fake_call *commit = begin_block_write();
        struct amb_job *job = amb_job_find(node, "wk-1");
        char id[AMB_NAME_SIZE];
        struct amb_buf first = {0};
        amb_buf_append(&first, commit->body.data, commit->body.len);
        assert_true(amb_cbor_copy_string(amb_cbor_map_get(fake_txn_put(commit, BLOCK_KEY, NULL), "w"), id,
                                         sizeof id));
        fake_answer(commit, 0, NULL);
        if (job->tasks[0].state != AMB_TASK_PLACED)
            fail_msg("%s: bound before the write is confirmed", rows[i].what);
        struct fake_call *read = open_call("GET", "/store/b/p/wk-1/00000");
        if (rows[i].read == FAILS) fake_answer(read, 0, NULL);
        if (rows[i].read == MISSING) fake_answer(read, 404, NULL);
        if (rows[i].read == OTHER_WRITE) answer_value(read, "w", "49-1", 0, 33);
        if (rows[i].read == OWN_WRITE) answer_value(read, "w", id, 0, 61);
        if (rows[i].job_changed) {
            job->state = AMB_JOB_CANCELLED;
            job->revision = 21;
        }
        fake_clock_advance(2500);
        node->election.renewed_at = amb_now();
        amb_placement_log_flush(node);
        if (job->tasks[0].state != rows[i].state) fail_msg("%s: state %d", rows[i].what, job->tasks[0].state);
        struct fake_call *again = find_call("POST", "/commit");
        bool puts = again && fake_txn_put(again, BLOCK_KEY, NULL);
        if (puts != rows[i].sent_again) fail_msg("%s: sent again %d", rows[i].what, puts);
        if (puts && (again->body.len != first.len || memcmp(again->body.data, first.data, first.len) != 0))
            fail_msg("%s: sent again with other content or comparisons", rows[i].what);
        amb_buf_free(&first);
    }
}

/* If blocks were read before the jobs, a block of an unknown job would be taken for that of a job that is
 * over, and its running tasks would be ignored. */
static void log_is_read_after_the_jobs(void **state) {
    (void)state;
    char err[128];
    assert_int_equal(amb_node_start(node, err, sizeof err), 0);
    amb_controller_start_leading(node);
    fake_clock_advance(200);
    struct fake_call *read = open_call("GET", "/follow");
    assert_non_null(read);
    for (int i = 0; i < 5; i++) {
        fake_clock_advance(1500);
        node->election.renewed_at = amb_now();
        if (find_call("GET", "/store?prefix=b/")) fail_msg("the placement log is read before the jobs");
    }
    answer_change_list(read, 70, "wk-000001", AMB_JOB_QUEUED, 70);
    fake_clock_advance(1500);
    assert_non_null(find_call("GET", "/store?prefix=b/"));
}

/* A job's final state is written after its blocks: a block's write may have to be sent again, and must not
 * find the job over and the block removed. */
static void final_state_follows_the_blocks(void **state) {
    (void)state;
    struct fake_call *block = begin_block_write();
    struct amb_job *job = amb_job_find(node, "wk-1");
    amb_task_mark_done(node, &job->tasks[0]);
    amb_task_unbind(node, &job->tasks[0], "done");
    amb_placement_log_flush(node);
    if (fake_count_open_calls("POST", "/commit") != 1)
        fail_msg("the job ends while its block is being written");
    answer_committed(block, 61);
    fake_clock_advance(1000);
    amb_placement_log_flush(node);
    struct fake_call *ended = open_call("POST", "/commit");
    assert_non_null(fake_txn_put(ended, "a/job/wk-1", NULL));
    assert_false(fake_txn_removes(ended, BLOCK_KEY));
    amb_placement_log_flush(node);
    if (fake_count_open_calls("POST", "/commit") != 1)
        fail_msg("a block is removed before its job's end is on record");
    answer_committed(ended, 62);
    fake_clock_advance(1000);
    amb_placement_log_flush(node);
    struct fake_call *removal = open_call("POST", "/commit");
    assert_true(fake_txn_removes(removal, BLOCK_KEY));
    assert_int_equal(fake_txn_compared_revision(removal, BLOCK_KEY), 61);
    assert_int_equal(fake_txn_compared_revision(removal, LEADER_KEY), TERM);
}

/* ---- restoring ---- */

/* Replaces an integer of the buffer that is encoded in eight bytes. */
static void set_uint64(const struct amb_buf *buffer, const struct amb_cbor_item *item, uint64_t value) {
    enum { HEAD_OF_EIGHT_BYTES = 0x1b };
    unsigned char *bytes = (unsigned char *)buffer->data + (&item->head - (unsigned char *)buffer->data);
    assert_int_equal(*bytes++, HEAD_OF_EIGHT_BYTES);
    for (int shift = 56; shift >= 0; shift -= 8) *bytes++ = (unsigned char)(value >> shift);
}

/* A new leader restores the tasks from the block. */
static void log_is_restored(void **state) {
    (void)state;
    uint32_t tasks_per_block = amb_placement_blocks_first_format_size(&node->settings);
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_ARRAY, tasks_per_block + 10);
    assert_int_equal(job->block_count, 2);
    amb_catalog_find_or_add_zone(&node->catalog, "a");
    for (uint32_t i = 0; i < tasks_per_block; i++) {
        char name[16];
        snprintf(name, sizeof name, "m-%06u", i);
        bind_task(job, i, name, 100000 + i);
        job->tasks[i].machine->type_index = 0;
        job->tasks[i].machine->zone_index = 0;
    }
    struct amb_task *task = &job->tasks[3];
    amb_task_mark_done(node, task);
    amb_task_unbind(node, task, "done");
    struct amb_buf buffer = {0};
    strcpy(job->blocks[0].write_id, "50-1");
    amb_placement_log_encode_block(node, &job->blocks[0], &buffer);
    assert_true(buffer.len <
                (size_t)(node->settings.value_kb * 1024)); /* the fullest block is below the limit */
    const struct amb_cbor_item *item = amb_cbor_parse(buffer.data, buffer.len);
    amb_job_deactivate(node, job);
    amb_fleet_clear(node);
    set_uint64(&buffer, amb_cbor_map_get(item, "at"),
               (uint64_t)amb_wall_ms() - 30000); /* half a minute ago */
    amb_placement_log_restore(node, "b/p/wk-1/00000", item, 77);
    amb_ms known = amb_now() - amb_machine_get(node, "m-000000", false)->first_known_at;
    assert_true(known >= 30000 && known < 60000);
    amb_buf_free(&buffer);
    assert_true(job->active);
    assert_int_equal(job->blocks[0].revision, 77);
    assert_int_equal(job->bound_count, tasks_per_block - 1);
    assert_int_equal(job->done_count, 1);
    assert_true(job->tasks[3].done && job->tasks[3].completion == AMB_COMPLETION_DURABLE);
    assert_string_equal(job->tasks[tasks_per_block - 1].machine->name,
                        amb_machine_get(node, job->tasks[tasks_per_block - 1].machine->name, false)->name);
    assert_int_equal(job->tasks[5].attempt, 100005);
    assert_int_equal(job->tasks[5].machine->type_index, 0);
    assert_true(job->tasks[5].inherited);
    assert_int_equal(job->zone_task_counts[0], tasks_per_block - 1);
}

static void damaged_blocks_are_tolerated(void **state) {
    (void)state;
    static const char *const texts[] = {
        "",      ";", "0", "0,1", "0,1,m-1,0,0", "9999,1,m-1,0,0,0;", "-1,1,m,0,0,0;", "0,1,m-1,99,99,0;",
        "x,y,z;"};
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_ARRAY, 2);
    for (size_t i = 0; i < ROWS(texts); i++) {
        struct amb_buf buffer = {0};
        amb_cbor_write_map(&buffer, 2);
        amb_cbor_write_string(&buffer, "p");
        amb_cbor_write_string(&buffer, texts[i]);
        amb_cbor_write_string(&buffer, "d");
        amb_cbor_write_string(&buffer, texts[i]);
        const struct amb_cbor_item *item = amb_cbor_parse(buffer.data, buffer.len);
        amb_placement_log_restore(node, "b/p/wk-1/00000", item, i + 1);
        amb_placement_log_restore(node, "b/p/wk-1/99999", item, i + 1);
        amb_placement_log_restore(node, "b/p/wk-1", item, i + 1);
        amb_buf_free(&buffer);
    }
    assert_true(job->bound_count <= 1 && job->done_count <= 2);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(leader_writes_are_conditional, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(placement_writes_without_response, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(log_is_read_after_the_jobs, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(final_state_follows_the_blocks, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(log_is_restored, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(damaged_blocks_are_tolerated, setup, fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
