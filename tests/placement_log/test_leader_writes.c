/* The leader's active jobs, and its share of the writes to the key-value store. */
#include "check.h"
#include "json_cbor.h"
#include "user_fixture.h"

static void accept_job(const char *ref, uint32_t tasks, uint64_t revision) {
    struct amb_buf value = cbor_from_text("{\"s\":\"queued\",\"a\":1,\"d\":%s}", VALID_SUBMISSION);
    const struct amb_cbor_item *item = amb_cbor_parse(value.data, value.len);
    amb_jobs_apply_item(node, ref, item, revision);
    amb_buf_free(&value);
    struct amb_job *job = amb_job_find(node, ref);
    assert_non_null(job);
    assert_int_equal(job->spec->task_count, tasks);
}

/* Jobs that were not admitted for lack of memory become active as soon as other jobs have ended. Guards
 * against leaving them inactive until the next failover. */
static void unadmitted_jobs_become_active(void **state) {
    (void)state;
    node->election.role = AMB_ROLE_LEADER;
    node->settings.memory_mb = 3 * 40.0 * sizeof(struct amb_task) / (1024 * 1024); /* room for 40 tasks */
    static const char *const refs[] = {"wk-1", "wk-2", "wk-3", "wk-4"};
    for (uint64_t i = 0; i < ROWS(refs); i++) accept_job(refs[i], 16, ACCEPTED_REVISION + i);
    const bool active[] = {true, true, false, false};
    for (size_t i = 0; i < ROWS(refs); i++) assert_int_equal(amb_job_find(node, refs[i])->active, active[i]);
    amb_jobs_activate_unadmitted(node);
    assert_false(amb_job_find(node, "wk-3")->active);
    amb_job_deactivate(node, amb_job_find(node, "wk-1"));
    amb_job_find(node, "wk-1")->state = AMB_JOB_CANCELLED;
    amb_jobs_activate_unadmitted(node);
    assert_true(amb_job_find(node, "wk-3")->active);
    assert_false(amb_job_find(node, "wk-4")->active);
    amb_job_deactivate(node, amb_job_find(node, "wk-2"));
    amb_job_find(node, "wk-2")->state = AMB_JOB_CANCELLED;
    node->controller.restored_at = 0; /* a new leader restores the log first */
    amb_jobs_activate_unadmitted(node);
    assert_false(amb_job_find(node, "wk-4")->active);
    node->controller.restored_at = 1;
    amb_jobs_activate_unadmitted(node);
    assert_true(amb_job_find(node, "wk-4")->active);
}

static void commit_ops(enum amb_store_priority priority, uint32_t ops) {
    struct amb_txn transaction = {0};
    char key[32];
    for (uint32_t i = 0; i < ops; i++) {
        snprintf(key, sizeof key, "b/%d-%u", priority, i);
        amb_txn_remove(&transaction, key);
    }
    amb_store_commit(&node->store, &transaction, priority, NULL, NULL);
}

/* A write that needs several tokens is not overtaken by smaller writes of lower priority. Otherwise final
 * states of jobs were written minutes late while placements went on. Reads, and users' writes from their own
 * share, may overtake it. */
static void small_writes_do_not_overtake(void **state) {
    (void)state;
    struct amb_store *store = &node->store;
    store->write_bucket.refilled_at = store->user_write_bucket.refilled_at =
        store->request_bucket.refilled_at = amb_now() + 3600000; /* no refill */
    store->write_bucket.tokens = 1.5;
    commit_ops(AMB_STORE_PRIORITY_FINAL_STATE, 2);
    commit_ops(AMB_STORE_PRIORITY_PLACEMENT, 1);
    assert_int_equal(fake_count_sent_calls(COMMIT_PATH), 0);
    amb_store_get(store, "a/leader", AMB_STORE_PRIORITY_READ, NULL, NULL);
    assert_int_equal(fake_count_sent_calls("/store/a/leader"), 1);
    commit_ops(AMB_STORE_PRIORITY_USER, 1);
    assert_int_equal(fake_count_sent_calls(COMMIT_PATH), 1);
    store->write_bucket.tokens = 3;
    store->dispatch_timer.fn(store->dispatch_timer.arg);
    assert_int_equal(fake_count_sent_calls(COMMIT_PATH), 3);
}

/* Reads of changes leave the last request tokens to submissions. */
static void watches_leave_requests_to_users(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double tokens;
        uint32_t reads_sent;
    } rows[] = {
        {"a full bucket", 16, 1},
        {"one request more than the reserve for users", 5, 1},
        {"the reserve for users", 4.5, 0},
        {"one request", 1, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_store *store = &node->store;
        amb_token_bucket_set_rate(&store->request_bucket, 16);
        store->request_bucket.refilled_at = amb_now() + 3600000; /* no refill */
        store->request_bucket.tokens = rows[i].tokens;
        uint32_t before = fake_count_sent_calls("/follow");
        amb_store_watch(store, "a/", 1, 0, NULL, NULL);
        uint32_t sent = fake_count_sent_calls("/follow") - before;
        if (sent != rows[i].reads_sent) fail_msg("%s: %u", rows[i].what, sent);
        if (!amb_store_can_write_for_user(store, 1, 0)) fail_msg("%s: a submission is refused", rows[i].what);
        store->request_bucket.tokens = 16;
        if (!sent) store->dispatch_timer.fn(store->dispatch_timer.arg);
    }
}

/* When a write of the leader waits, the leader's bucket borrows tokens that the users' bucket does not need.
 * All controllers account for the loan. */
static void leader_borrows_tokens(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double own, users;
        uint32_t pending, waiting; /* users' writes in flight; queued writes of the leader */
        double lends;
    } rows[] = {
        {"nothing waits", 0, 500, 0, 0, 0},
        {"the users' bucket is full", 0, 500, 0, 3, -150},
        {"the users' bucket is full, some writes are in flight", 0, 500, 50, 3, -100},
        {"users need the tokens themselves", 0, 300, 0, 3, 0},
        {"no more than fills the leader's bucket", 400, 500, 0, 501, -100},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_store *store = &node->store;
        amb_token_bucket_set_rate(&store->write_bucket, 500);
        store->write_bucket.refilled_at = store->user_write_bucket.refilled_at =
            store->request_bucket.refilled_at = amb_now() + 3600000;
        store->user_write_bucket.tokens = rows[i].users;
        store->pending_user_writes = rows[i].pending;
        store->write_bucket.tokens = rows[i].own;
        if (rows[i].waiting) commit_ops(AMB_STORE_PRIORITY_PLACEMENT, rows[i].waiting);
        assert_int_equal(fake_count_sent_calls(COMMIT_PATH), 0);
        double lends = amb_store_lend_tokens(store);
        if (lends != rows[i].lends) fail_msg("%s: %g", rows[i].what, lends);
        assert_float_equal(store->user_write_bucket.tokens, rows[i].users + lends, 1e-9);
        store->pending_user_writes = 0;
        amb_store_apply_token_loan(store, -1e9); /* a wrong amount from a peer costs at most one bucket */
        assert_float_equal(store->user_write_bucket.tokens, -500, 1e-9);
        store->write_bucket.tokens = 1e6;
        store->dispatch_timer.fn ? store->dispatch_timer.fn(store->dispatch_timer.arg) : (void)0;
    }
}

/* The final state of a job is one write. Its blocks are removed later, if necessary by the next leader. */
static void final_state_is_one_write(void **state) {
    (void)state;
    node->election.role = AMB_ROLE_LEADER;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_ARRAY, 2);
    job->revision = ACCEPTED_REVISION;
    job->blocks[0].revision = ACCEPTED_REVISION + 1;
    for (uint32_t i = 0; i < 2; i++) amb_task_mark_done(node, &job->tasks[i]);
    job->blocks[0].dirty = false;
    amb_placement_log_flush(node);
    struct fake_call *call = open_call(COMMIT_PATH);
    const struct amb_cbor_item *body = amb_cbor_parse(call->body.data, call->body.len);
    assert_int_equal(amb_cbor_list_length(amb_cbor_map_get(body, "then")), 1);
    assert_int_equal(amb_cbor_list_length(amb_cbor_map_get(body, "guards")), 2);
    answer_commit(200, CHANGED_REVISION);
    assert_int_equal(job->state, AMB_JOB_DONE);
    assert_true(job->active);
    amb_placement_log_flush(node);
    answer_commit(200, CHANGED_REVISION + 1);
    amb_placement_log_flush(node);
    assert_false(job->active);
    assert_int_equal(fake_count_sent_calls(COMMIT_PATH), 2);
    struct amb_buf empty = cbor_from_text("{}");
    const struct amb_cbor_item *item = amb_cbor_parse(empty.data, empty.len);
    amb_placement_log_restore(node, "b/p/wk-1/00000", item, ACCEPTED_REVISION + 1);
    amb_buf_free(&empty);
    assert_non_null(fake_open_call(COMMIT_PATH));
    answer_commit(200, CHANGED_REVISION + 2);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(unadmitted_jobs_become_active),   TEST(small_writes_do_not_overtake),
        TEST(watches_leave_requests_to_users), TEST(leader_borrows_tokens),
        TEST(final_state_is_one_write),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
