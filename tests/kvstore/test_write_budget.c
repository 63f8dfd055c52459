/* How the nodes share the writes per second that the key-value store allows. */
#include "check.h"
#include "node_fixture.h"

#include <math.h>

/* Refill time of the buckets, later than any test ends, so that they gain no tokens. */
enum { NO_REFILL_FOR_MS = 3600000 };

/* The watch reports a change of a job record that another node wrote. */
static void apply_job_change(const char *ref, enum amb_job_state state, uint64_t revision) {
    struct amb_job_spec spec = {.kind = AMB_JOB_KIND_SERVICE,
                                .priority = AMB_PRIORITY_HIGH,
                                .task_count = 1,
                                .task_resources = {8, 1, 40}};
    struct amb_job draft = {.spec = &spec, .accepted_wall_ms = 1};
    struct amb_buf buffer = {0};
    strcpy(spec.ref, ref);
    strcpy(spec.class_name, "c");
    strcpy(spec.team, "t");
    strcpy(spec.image, "img");
    amb_job_encode_record(&buffer, &draft, NULL, state);
    const struct amb_cbor_item *item = amb_cbor_parse(buffer.data, buffer.len);
    amb_jobs_apply_item(node, ref, item, revision);
    amb_buf_free(&buffer);
}

/* Reports one change for each of `count` jobs from number `first` on. Job i has revision `revision` + i. */
static void apply_job_changes(uint32_t first, uint32_t count, enum amb_job_state state, uint64_t revision) {
    char ref[AMB_NAME_SIZE];
    for (uint32_t i = first; i < first + count; i++) {
        snprintf(ref, sizeof ref, "wk-%u", i);
        apply_job_change(ref, state, revision + i);
    }
}

/* All nodes use the users' half of the store's writes together. When it was divided among seven nodes, the
 * second of two submissions to one node within 0.6 s was refused, although only 1.3 of 20 tokens per second
 * were in use. */
/* Guards against the conversion of an infinite delay to an integer, which is undefined: it let the call pass
 * on one processor and delayed it for ever on another. */
static void a_bucket_without_a_rate_never_fills(void **state) {
    (void)state;
    struct amb_token_bucket bucket = {.tokens = 0.5};
    assert_int_equal(amb_token_bucket_delay(&bucket, 1), AMB_TOKEN_BUCKET_NEVER_MS);
    bucket.tokens = 1;
    assert_int_equal(amb_token_bucket_delay(&bucket, 1), 0);
}

static void users_share_writes(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint32_t submitted, cancelled, done, duplicates; /* writes of other nodes that the watch reports */
        double lent, reserved_share;
        bool allowed;
    } rows[] = {
        {"no writes reported", 0, 0, 0, 0, 0, 0, true},
        {"one token left", 9, 0, 0, 0, 0, 0, true},
        {"no token left", 10, 0, 0, 0, 0, 0, false},
        {"cancellations count", 5, 5, 0, 0, 0, 0, false},
        {"final states come from the leader's half", 5, 0, 5, 0, 0, 0, true},
        {"a change reported twice counts once", 9, 0, 0, 9, 0, 0, true},
        {"the last two tokens are reserved", 8, 0, 0, 0, 0, 0.2, false},
        {"one token above the reserve", 7, 0, 0, 0, 0, 0.2, true},
        {"the leader lends", 10, 0, 0, 0, 5, 0, true},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        teardown(NULL);
        setup(NULL);
        node->election.role = AMB_ROLE_FOLLOWER;
        node->watch.loaded = true;
        node->settings.peer_count = 6;
        node->settings.store_rps = 200;
        node->settings.store_write_rps = 20;
        amb_store_init(&node->store, &node->settings, 1000);
        node->store.user_write_bucket.refilled_at = amb_now() + NO_REFILL_FOR_MS;
        apply_job_changes(0, rows[i].submitted, AMB_JOB_QUEUED, 1);
        apply_job_changes(0, rows[i].duplicates, AMB_JOB_QUEUED, 1);
        apply_job_changes(0, rows[i].cancelled, AMB_JOB_CANCELLED, 101);
        apply_job_changes(rows[i].cancelled, rows[i].done, AMB_JOB_DONE, 101);
        if (rows[i].lent > 0) amb_store_apply_token_loan(&node->store, rows[i].lent);
        if (amb_store_can_write_for_user(&node->store, 1, rows[i].reserved_share) != rows[i].allowed)
            fail_msg("%s", rows[i].what);
    }
}

/* Lent tokens leave the leader's bucket, and it keeps half a bucket for its records. */
static void leader_lends_spare_tokens(void **state) {
    (void)state;
    static const struct {
        double own, users, loan;
    } rows[] = {{10, 0, 5}, {10, 8, 2}, {10, 10, 0}, {5, 0, 0}, {5.5, 0, 0}, {8, 3, 3}};
    node->settings.peer_count = 6;
    node->settings.store_rps = 200;
    node->settings.store_write_rps = 20;
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_store *store = &node->store;
        amb_store_init(store, &node->settings, 1000);
        amb_store_set_leadership(store, true);
        store->write_bucket.refilled_at = store->user_write_bucket.refilled_at = amb_now() + NO_REFILL_FOR_MS;
        store->write_bucket.tokens = rows[i].own;
        store->user_write_bucket.tokens = rows[i].users;
        assert_float_equal(amb_store_lend_tokens(store), rows[i].loan, 1e-9);
        assert_float_equal(store->write_bucket.tokens, rows[i].own - rows[i].loan, 1e-9);
        assert_float_equal(store->user_write_bucket.tokens, rows[i].users + rows[i].loan, 1e-9);
        amb_store_apply_token_loan(store, 1000); /* an excessive loan only fills the bucket */
        assert_float_equal(store->user_write_bucket.tokens, 10, 1e-9);
    }
}

/* Holders of single-holder duties get part of the other followers' write share: with equal shares a scale-out
 * request waited 2 s for tokens at its holder. The sum of all shares is the same with and without duties. */
static void duty_holders_get_write_share(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint32_t peers;
        bool leading, in_use;
        double duty_share, writes; /* writes: of 28 per second */
    } rows[] = {
        {"the leader, no duties", 6, true, false, 0, 14},
        {"a follower, no duties", 6, false, false, 0, 2},
        {"a duty share has no effect while duties are not in use", 6, false, false, 0.5, 2},
        {"the leader, holding nothing", 6, true, true, 0, 14},
        {"a follower, holding nothing", 6, false, true, 0, 1},
        {"a follower, holding half", 6, false, true, 0.5, 4},
        {"a follower, holding all", 6, false, true, 1, 7},
        {"the leader, holding all", 6, true, true, 1, 20},
        {"the only node, holding all", 0, true, true, 1, 14},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_store *store = &node->store;
        node->settings.peer_count = rows[i].peers;
        node->settings.store_rps = 200;
        node->settings.store_write_rps = 28;
        amb_store_init(store, &node->settings, 1000);
        amb_store_set_duty_share(store, rows[i].in_use, rows[i].duty_share);
        amb_store_set_leadership(store, rows[i].leading);
        if (fabs(store->write_bucket.tokens_per_second - rows[i].writes) > 1e-9)
            fail_msg("%s: %g", rows[i].what, store->write_bucket.tokens_per_second);
        assert_float_equal(store->user_write_bucket.tokens_per_second, 14, 1e-9);
        amb_store_set_duty_share(store, false, 0);
        assert_float_equal(store->write_bucket.tokens_per_second,
                           rows[i].leading ? 14 : 14.0 / (rows[i].peers + 1), 1e-9);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_bucket_without_a_rate_never_fills),
        cmocka_unit_test_setup_teardown(users_share_writes, setup, teardown),
        cmocka_unit_test_setup_teardown(leader_lends_spare_tokens, setup, teardown),
        cmocka_unit_test_setup_teardown(duty_holders_get_write_share, setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
