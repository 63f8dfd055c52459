/* How the nodes share the writes that the state service allows. */
#include "check.h"
#include "node_fixture.h"

/* What news say of a job, as a node that is not asked for it hears it. */
static void hear(const char *ref, enum amb_job_state state, uint64_t stamp) {
    struct amb_spec spec = {.kind = AMB_SERVICE, .priority = AMB_HIGH, .tasks = 1, .each = {8, 1, 40}};
    struct amb_job draft = {.spec = &spec, .accepted_wall = 1};
    struct amb_buf b = {0};
    strcpy(spec.ref, ref);
    strcpy(spec.class_name, "c");
    strcpy(spec.team, "t");
    strcpy(spec.image, "img");
    amb_job_value(&b, &draft, state);
    cbor_item_t *item = amb_cbor_parse(b.data, b.len);
    amb_jobs_apply(node, ref, item, stamp);
    cbor_decref(&item);
    amb_buf_free(&b);
}

/* All nodes draw on one half of the state service's writes for users: when the half was parted among seven,
 * two submissions to one node within 0.6 s had the second refused, at 1.3 tokens a second of 20 in use. */
static void users_share_writes(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint32_t submitted, cancelled, done, copies; /* heard of, at other nodes */
        double lent, keep;
        bool can;
    } rows[] = {
        {"nothing heard", 0, 0, 0, 0, 0, 0, true},
        {"one left", 9, 0, 0, 0, 0, 0, true},
        {"none left", 10, 0, 0, 0, 0, 0, false},
        {"cancellations count", 5, 5, 0, 0, 0, 0, false},
        {"ends of jobs are the leader's own", 5, 0, 5, 0, 0, 0, true},
        {"news heard twice count once", 9, 0, 0, 9, 0, 0, true},
        {"the last are for prod jobs", 8, 0, 0, 0, 0, 0.2, false},
        {"others need three", 7, 0, 0, 0, 0, 0.2, true},
        {"the leader lends", 10, 0, 0, 0, 5, 0, true},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        teardown(NULL);
        setup(NULL);
        node->election.role = AMB_ROLE_FOLLOWING;
        node->jobs.loaded = true;
        node->set.npeers = 6;
        node->set.state_rps = 200;
        node->set.state_write_rps = 20;
        amb_store_init(&node->store, &node->set, 1000);
        node->store.user_writes.at = amb_now() + 3600000; /* no refill meanwhile */
        char ref[AMB_NAME];
        uint64_t stamp = 1;
        for (uint32_t k = 0; k < rows[i].submitted; k++) {
            snprintf(ref, sizeof ref, "wk-%u", k);
            hear(ref, AMB_JOB_QUEUED, stamp + k);
        }
        for (uint32_t k = 0; k < rows[i].copies; k++) {
            snprintf(ref, sizeof ref, "wk-%u", k);
            hear(ref, AMB_JOB_QUEUED, stamp + k);
        }
        stamp += 100;
        for (uint32_t k = 0; k < rows[i].cancelled + rows[i].done; k++) {
            snprintf(ref, sizeof ref, "wk-%u", k);
            hear(ref, k < rows[i].cancelled ? AMB_JOB_CANCELLED : AMB_JOB_DONE, stamp + k);
        }
        if (rows[i].lent > 0) amb_store_lent(&node->store, rows[i].lent);
        if (amb_store_can_write(&node->store, 1, rows[i].keep) != rows[i].can) fail_msg("%s", rows[i].what);
    }
}

/* What a leader lends is its own no longer, and it keeps half a bucket for its records. */
static void leader_lends_what_it_has(void **state) {
    (void)state;
    static const struct {
        double own, users, lends;
    } rows[] = {{10, 0, 5}, {10, 8, 2}, {10, 10, 0}, {5, 0, 0}, {5.5, 0, 0}, {8, 3, 3}};
    node->set.npeers = 6;
    node->set.state_rps = 200;
    node->set.state_write_rps = 20;
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_store *s = &node->store;
        amb_store_init(s, &node->set, 1000);
        amb_store_share(s, true);
        s->writes.at = s->user_writes.at = amb_now() + 3600000;
        s->writes.tokens = rows[i].own;
        s->user_writes.tokens = rows[i].users;
        assert_float_equal(amb_store_lend(s), rows[i].lends, 1e-9);
        assert_float_equal(s->writes.tokens, rows[i].own - rows[i].lends, 1e-9);
        assert_float_equal(s->user_writes.tokens, rows[i].users + rows[i].lends, 1e-9);
        amb_store_lent(s, 1000); /* a wrong word from a peer fills the bucket and no more */
        assert_float_equal(s->user_writes.tokens, 10, 1e-9);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(users_share_writes, setup, teardown),
        cmocka_unit_test_setup_teardown(leader_lends_what_it_has, setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
