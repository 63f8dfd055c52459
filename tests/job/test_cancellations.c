/* The indexes of cancelled jobs, compared with a scan of all jobs; and when descriptions of cancelled jobs
 * are freed. */
#include "check.h"
#include "fake_http.h"
#include "node_fixture.h"
#include "peer_json.h"

#include <jansson.h>

enum { JOBS = 60, STEPS = 400, REVISIONS = 500 };

static uint64_t seed;

static uint64_t random_below(uint64_t below) {
    seed ^= seed << 13, seed ^= seed >> 7, seed ^= seed << 17;
    return seed % below;
}

/* ---- cancellations in messages, compared with a scan of all jobs ---- */

static bool is_listed(const json_t *list, const struct amb_job *job) {
    size_t i;
    json_t *row;
    json_array_foreach(list, i, row) {
        if (strcmp(json_string_value(json_array_get(row, 0)), job->ref)) continue;
        assert_int_equal(json_integer_value(json_array_get(row, 1)), job->cancelled_wall_ms);
        assert_int_equal(json_integer_value(json_array_get(row, 2)), job->cancel_revision);
        return true;
    }
    return false;
}

static void compare_with_scan(uint64_t known_revision, int64_t recent_since) {
    json_t *reply_json = peer_reply_json(node, known_revision);
    const json_t *list = json_object_get(reply_json, "cancelled");
    size_t expected = 0;
    for (const struct amb_job *job = node->jobs.all; job; job = job->hh.next) {
        bool newer =
            known_revision ? job->cancel_revision > known_revision : job->cancelled_wall_ms > recent_since;
        bool due = job->state == AMB_JOB_CANCELLED && newer;
        expected += due;
        assert_int_equal(is_listed(list, job), due);
    }
    assert_int_equal(json_array_size(list), expected);
    json_decref(reply_json);
}

/* Cancellations arrive from peers and from own writes in any order, some more than once. */
static void lists_equal_a_scan_of_all_jobs(void **state) {
    (void)state;
    enum { SPAN_MS = 60000, STEP_MS = 1000 }; /* twice cancel_s; steps longer than one call takes */
    for (uint64_t round = 1; round <= 5; round++) {
        teardown(NULL);
        setup(NULL);
        seed = round * 0x9e3779b97f4a7c15u;
        int64_t start = amb_wall_ms() - STEP_MS / 2;
        for (int step = 0; step < STEPS; step++) {
            char ref[AMB_NAME_SIZE];
            snprintf(ref, sizeof ref, "wk-%llu", (unsigned long long)random_below(JOBS));
            int64_t wall = start - (int64_t)random_below(2 * SPAN_MS / STEP_MS) * STEP_MS;
            struct amb_job *job = amb_job_find(node, ref);
            if (job && job->state == AMB_JOB_CANCELLED && random_below(2)) {
                job->revision = 0; /* so that the change counts as newer */
                amb_job_apply_own_cancellation(node, job, 1 + random_below(REVISIONS));
            } else {
                amb_job_apply_cancel_hint(node, ref, wall, 1 + random_below(REVISIONS));
            }
            compare_with_scan(random_below(REVISIONS), amb_wall_ms() - SPAN_MS);
        }
        assert_true(HASH_COUNT(node->jobs.all) > JOBS / 2);
    }
}

/* ---- cancellations that heartbeats omit ---- */

static void heartbeat_from(const char *member, json_int_t known_revision) {
    struct fake_reply reply = {0};
    struct amb_buf body = {0};
    amb_buf_append_format(&body,
                          "{\"from\":\"%s\",\"loaded\":true,\"term\":0,\"leading\":false,\"store\":true,"
                          "\"reports_arrive\":false,\"cancelled\":[]%s%lld}",
                          member, known_revision < 0 ? "}  " : ",\"epoch\":", (long long)known_revision);
    if (known_revision < 0)
        body.len = (size_t)(strchr(body.data, '}') + 1 - body.data); /* without the field */
    fake_serve("P:1", fake_request("POST", "/peer/heartbeat", &body, &reply));
    assert_int_equal(reply.status, 200);
    amb_buf_free(&reply.body);
    amb_buf_free(&body);
}

static size_t count_cancellations_in_heartbeat(void) {
    char *text = amb_peer_encode_heartbeat(node);
    json_t *heartbeat = json_loads(text, 0, NULL);
    size_t count = json_array_size(json_object_get(heartbeat, "cancelled"));
    assert_int_equal(json_integer_value(json_object_get(heartbeat, "epoch")), node->watch.known_revision);
    json_decref(heartbeat);
    free(text);
    return count;
}

static void heartbeats_omit_what_all_peers_know(void **state) {
    (void)state;
    enum { RECENT = 1, LONG_AGO };
    static const struct {
        const char *what;
        json_int_t known_revisions[2]; /* in the peers' heartbeats; negative: field omitted */
        int asked_for;
        bool listed;
    } rows[] = {
        {"no peer has sent a revision", {-1, -1}, RECENT, true},
        {"one peer has not sent a revision", {50, -1}, RECENT, true},
        {"one peer has not read the store", {50, 0}, RECENT, true},
        {"one peer has not read the cancellation", {50, 39}, RECENT, true},
        {"all peers have read the cancellation", {50, 40}, RECENT, false},
        {"one peer had read it, and has restarted", {39, 50}, RECENT, true},
        {"a restarted peer sends no revision yet", {-1, 50}, RECENT, true},
        {"one peer has not read it, but it is long ago", {50, 39}, LONG_AGO, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++)
        for (int leads = 0; leads < 2; leads++) {
            teardown(NULL);
            setup(NULL);
            if (!leads) node->election.role = AMB_ROLE_FOLLOWER;
            strcpy(node->settings.peer_listen, "P:1");
            node->settings.peer_count = 2;
            strcpy(node->settings.peers[0].member, "n1");
            strcpy(node->settings.peers[1].member, "n2");
            amb_peer_start(node);
            node->watch.known_revision = 60;
            int64_t ago = rows[i].asked_for == RECENT ? 1000 : 600000;
            amb_job_apply_cancel_hint(node, "wk-1", amb_wall_ms() - ago, 40);
            heartbeat_from("n1", 70); /* the latest heartbeat counts */
            heartbeat_from("n1", rows[i].known_revisions[0]);
            heartbeat_from("n2", rows[i].known_revisions[1]);
            if (count_cancellations_in_heartbeat() != rows[i].listed)
                fail_msg("%s, leads %d", rows[i].what, leads);
            amb_timer_stop(&node->peers.heartbeat_timer);
            fake_answer_all_lost();
            fake_http_reset();
        }
}

/* ---- descriptions ---- */

static void descriptions_are_freed_after_the_last_task(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool live;
        double after_cancel; /* multiple of cancel_s since this node learned of it */
        bool kept;
    } rows[] = {
        {"tasks may be left", false, 1.9, true},
        {"no task can be left", false, 2.1, false},
        {"the job is still active", true, 2.1, true},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        teardown(NULL);
        setup(NULL);
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_ARRAY, 1);
        if (!rows[i].live) amb_job_deactivate(node, job);
        amb_job_apply_own_cancellation(node, job, 5);
        amb_ms learned_at = amb_now();
        amb_cancellations_drop_specs(
            node, learned_at + amb_seconds_to_ms(rows[i].after_cancel * node->settings.cancel_s));
        if ((job->spec != NULL) != rows[i].kept || job->tasks_gone == rows[i].kept ||
            node->jobs.spec_count != rows[i].kept)
            fail_msg("%s", rows[i].what);
        assert_int_equal(job->state, AMB_JOB_CANCELLED);
    }
}

/* The description of an active job is kept, and freed at the next check after the job is deactivated. */
static void descriptions_are_freed_after_deactivation(void **state) {
    (void)state;
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_ARRAY, 1);
    amb_job_apply_own_cancellation(node, job, 5);
    amb_ms span = amb_seconds_to_ms(2.1 * node->settings.cancel_s), now = amb_now() + span;
    amb_cancellations_drop_specs(node, now);
    assert_non_null(job->spec);
    amb_job_deactivate(node, job);
    amb_cancellations_drop_specs(node, now + span);
    assert_null(job->spec);
    assert_int_equal(node->jobs.spec_count, 0);
}

/* A new leader removes the blocks of a job whose tasks are gone, and leaves the blocks of a job whose tasks
 * may still exist. */
static void leftover_blocks_are_removed(void **state) {
    (void)state;
    for (int gone = 0; gone < 2; gone++) {
        teardown(NULL);
        setup(NULL);
        strcpy(node->settings.store_addr, "S:1");
        node->settings.store_rps = node->settings.store_write_rps = 1000;
        amb_store_init(&node->store, &node->settings, 1000);
        amb_job_apply_cancel_hint(node, "wk-1", amb_wall_ms(), 5); /* known only from a peer */
        if (gone)
            amb_cancellations_drop_specs(node, amb_now() + amb_seconds_to_ms(2.1 * node->settings.cancel_s));
        amb_placement_log_restore(node, "b/p/wk-1/0", NULL, 7);
        assert_int_equal(fake_count_open_calls("POST", "/commit"), gone);
        if (gone) {
            struct fake_call *call = fake_open_call("/commit");
            assert_true(fake_txn_removes(call, "b/p/wk-1/0"));
            assert_int_equal(fake_txn_compared_revision(call, "b/p/wk-1/0"), 7);
        }
        fake_answer_all_lost();
        fake_http_reset();
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(lists_equal_a_scan_of_all_jobs, setup, teardown),
        cmocka_unit_test_setup_teardown(heartbeats_omit_what_all_peers_know, setup, teardown),
        cmocka_unit_test_setup_teardown(descriptions_are_freed_after_the_last_task, setup, teardown),
        cmocka_unit_test_setup_teardown(leftover_blocks_are_removed, setup, teardown),
        cmocka_unit_test_setup_teardown(descriptions_are_freed_after_deactivation, setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
