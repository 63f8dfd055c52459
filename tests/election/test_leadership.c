/* Leadership of a node: the claim of the leader key, its lease, the behaviour of an unsure leader, and the
 * loss of leadership. Tests that involve messages use leader_fixture, the others a bare node. */
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

/* ---- the claim ---- */

static struct fake_call *claim_until_commit(uint64_t lease) {
    amb_election_tick(node, amb_now());
    answer_lease(open_call("POST", "/leases"), lease);
    return open_call("POST", "/commit");
}

static void claim_compares_revision_and_has_lease(void **state) {
    (void)state;
    static const struct {
        const char *what, *holder;
        uint64_t revision, compared_revision;
    } rows[] = {
        {"there is no leader", "", 40, 0},
        {"the key is from an earlier process of this node", "n-0", 40, 40},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        follow_leader(rows[i].holder, rows[i].revision);
        struct fake_call *commit = claim_until_commit(7);
        uint64_t lease = 0, compared_revision = fake_txn_compared_revision(commit, LEADER_KEY);
        const struct amb_cbor_item *value = fake_txn_put(commit, LEADER_KEY, &lease);
        if (compared_revision != rows[i].compared_revision)
            fail_msg("%s: compared revision %lld", rows[i].what, (long long)compared_revision);
        if (lease != 7) fail_msg("%s: on lease %llu", rows[i].what, (unsigned long long)lease);
        assert_true(amb_cbor_equals(amb_cbor_map_get(value, "member"), "n-0"));
        answer_committed(commit, 60);
        assert_true(amb_election_is_leader(node));
        assert_int_equal(node->election.term, 60);
    }
}

static void unanswered_claim_is_verified(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int status; /* of the read */
        bool own_nonce;
        bool leads;
    } rows[] = {
        {"committed", 200, true, true},
        {"another node holds the key", 200, false, false},
        {"there is no key", 404, false, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        follow_leader("", 40);
        fake_answer(claim_until_commit(7), 0, NULL);
        struct fake_call *read = open_call("GET", "/store/a/leader");
        if (rows[i].status == 200)
            answer_value(read, "nonce", NULL, node->election.nonce + !rows[i].own_nonce, 60);
        else
            fake_answer(read, rows[i].status, NULL);
        if (amb_election_is_leader(node) != rows[i].leads)
            fail_msg("%s: leads %d", rows[i].what, amb_election_is_leader(node));
        bool revoked = find_call("DELETE", "/leases/7") != NULL;
        if (revoked == rows[i].leads)
            fail_msg("%s: its lease is %s", rows[i].what, revoked ? "revoked" : "kept");
    }
}

static void claim_answered_late_is_abandoned(void **state) {
    (void)state;
    follow_leader("", 40);
    struct fake_call *commit = claim_until_commit(7);
    amb_election_observe_term(node, 61, "an agent");
    answer_committed(commit, 60);
    assert_false(amb_election_is_leader(node));
    assert_non_null(find_call("DELETE", "/leases/7"));
}

/* A key that still names this node is replaced, unless a higher term shows that the known key is outdated. */
static void claims(void **state) {
    (void)state;
    static const struct {
        const char *what, *holder;
        uint64_t revision, highest_term;
        enum amb_election_role expected;
    } rows[] = {
        {"there is no leader", "", 10, 20, AMB_ROLE_CANDIDATE},
        {"another node leads", "n-1", 10, 10, AMB_ROLE_FOLLOWER},
        {"the key is from an earlier process of this node", "n-0", 10, 10, AMB_ROLE_CANDIDATE},
        {"the same, but another node leads by now", "n-0", 10, 20, AMB_ROLE_FOLLOWER},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_election *election = &node->election;
        strcpy(election->member, "n-0");
        election->role = AMB_ROLE_FOLLOWER;
        election->key_known = true;
        election->claimed_at = 0;
        strcpy(election->holder, rows[i].holder);
        election->holder_revision = rows[i].revision;
        election->highest_term = rows[i].highest_term;
        amb_election_tick(node, amb_now() + 2 * election->ttl);
        if (election->role != rows[i].expected) fail_msg("%s: role %d", rows[i].what, election->role);
    }
    node->election.role = AMB_ROLE_LEADER;
}

/* ---- the lease ---- */

static void lease_is_valid_from_when_it_was_requested(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool is_claim; /* else a renewal */
        amb_ms answered_after, since_sent;
        bool valid;
    } rows[] = {
        {"a claim, almost a lease ago", true, 1000, 2699, true},
        {"a claim, a lease less a tenth ago", true, 1000, 2700, false},
        {"a renewal, almost a lease ago", false, 1000, 2699, true},
        {"a renewal, a lease less a tenth ago", false, 1000, 2700, false},
        {"a renewal answered at once", false, 0, 2700, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        if (rows[i].is_claim) {
            follow_leader("", 40);
            struct fake_call *commit = claim_until_commit(7);
            fake_clock_advance(rows[i].answered_after);
            answer_committed(commit, 60);
        } else {
            fake_clock_advance(LEADER_TTL_MS / 4);
            amb_election_tick(node, amb_now());
            struct fake_call *renewal = open_call("POST", "/leases/0/extend");
            fake_clock_advance(rows[i].answered_after);
            answer_lease(renewal, 7);
        }
        fake_clock_advance(rows[i].since_sent - rows[i].answered_after);
        if (amb_election_may_act(node) != rows[i].valid) fail_msg("%s", rows[i].what);
    }
}

/* An unanswered renewal times out early enough for two more within the lease, for any settings of the agents.
 */
static void leases_outlast_an_unanswered_renewal(void **state) {
    (void)state;
    static const struct {
        double heartbeat_s, agent_lease_s, cancel_s;
        amb_ms ttl, call_timeout;
    } rows[] = {
        {1, 10, 30, 3000, 1000},
        {1, 10, 35, 3000, 1000},
        {4, 22, 42, 3000, 1000},
        {2.5, 15.25, 40.25, 3750, 1250},
        {0.2, 10, 30, 3000, 200},
        {1, 10, 9, 3000, 1000}, /* cancel_s is below the lease: the lease alone decides the ttl */
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        node->settings.heartbeat_s = rows[i].heartbeat_s;
        node->settings.agent_lease_s = rows[i].agent_lease_s;
        node->settings.cancel_s = rows[i].cancel_s;
        amb_election_init(node);
        if (node->election.ttl != rows[i].ttl || amb_election_call_timeout(node) != rows[i].call_timeout)
            fail_msg("row %zu: %lld, %lld", i, (long long)node->election.ttl,
                     (long long)amb_election_call_timeout(node));
    }
}

/* What a leader does, depending on how recently its lease was renewed. */
static void unsure_leaders_keep_tasks_alive_and_start_none(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_election_role role;
        amb_ms renewed; /* how long ago */
        int status;     /* of the reply to a heartbeat */
        size_t starts, scale_out_calls;
    } rows[] = {
        {"valid lease", AMB_ROLE_LEADER, 500, 200, 1, 1},
        {"renewal almost overdue", AMB_ROLE_LEADER, 1049, 200, 1, 1},
        {"renewal overdue: no start although the lease is valid", AMB_ROLE_LEADER, 1050, 200, 0, 1},
        {"lease just expired, no tick yet", AMB_ROLE_LEADER, 2700, 200, 0, 0},
        {"unsure", AMB_ROLE_UNSURE, 9000, 200, 0, 0},
        {"fenced", AMB_ROLE_FENCED, 30000, 503, 0, 0},
        {"due to be fenced, but the tick is overdue", AMB_ROLE_UNSURE, 30000, 421, 0, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
        bind_task(job, 0, "m-1", 1);
        amb_scale_out_submit(node, 0, 0, false, 1);
        node->cloud.scale_out.requests->state = AMB_SCALE_OUT_REQUESTING;
        node->election.role = rows[i].role;
        node->election.renewed_at = amb_now() - rows[i].renewed;
        node->peers.count = 1; /* has never confirmed this node */
        send_heartbeat(
            (struct sent_heartbeat){.machine = "m-1", .incarnation = 1, .sequence = 1, .token = TERM});
        struct fake_call *read = find_call("GET", "/follow"); /* the fresh read that a start waits for */
        if ((read != NULL) != (rows[i].starts > 0)) fail_msg("%s: reads of changes", rows[i].what);
        if (read) answer_change_list(read, 100, NULL, AMB_JOB_QUEUED, 0);
        fake_clock_advance(0);
        fake_clock_advance(400); /* an empty reply may be held back for this long */
        if (latest_reply()->status != rows[i].status || count_replied_commands("run") != rows[i].starts)
            fail_msg("%s: %d, %zu starts", rows[i].what, latest_reply()->status,
                     count_replied_commands("run"));
        amb_cloud_tick(node, amb_now());
        if (fake_count_open_calls("POST", "/machines") != rows[i].scale_out_calls)
            fail_msg("%s: %zu scale-out calls", rows[i].what, fake_count_open_calls("POST", "/machines"));
    }
}

static void watch_reads_without_renewals_end_in_fencing(void **state) {
    (void)state;
    amb_ms now = amb_now() + 100000;
    node->election.renewal_pending = true;
    node->watch.last_read_sent_at = now - 500;
    node->election.renewed_at = now - 50000;
    node->fleet.last_heartbeat_at = now;
    node->peers.count = 1; /* has never confirmed this node */
    amb_election_tick(node, now);
    assert_int_equal(node->election.role, AMB_ROLE_FENCED);
}

/* Without watch reads a leader answers agents only while every peer confirms that it leads, because the
 * confirmations also report cancellations. Otherwise it is fenced in time for the cancellations promised to
 * users. */
static void leader_without_contact(void **state) {
    (void)state;
    static const struct {
        const char *what;
        amb_ms renewed, watch_read, peer_confirmed; /* how long ago */
        enum amb_election_role expected;
    } rows[] = {
        {"all contact is recent", 500, 500, 500, AMB_ROLE_LEADER},
        {"renewals fail", 9000, 9000, 90000, AMB_ROLE_UNSURE},
        {"no contact for almost the fencing time", 18500, 18500, 90000, AMB_ROLE_UNSURE},
        {"no contact for longer than the fencing time", 19500, 19500, 90000, AMB_ROLE_FENCED},
        {"renewals fail for long, the peer confirms", 50000, 50000, 500, AMB_ROLE_UNSURE},
        {"renewals fail for long, no confirmation either", 50000, 50000, 50000, AMB_ROLE_FENCED},
        {"renewals without watch reads and confirmations", 500, 50000, 50000, AMB_ROLE_FENCED},
        {"renewals without watch reads, the peer confirms", 500, 50000, 500, AMB_ROLE_LEADER},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_teardown(NULL);
        setup(NULL);
        amb_ms now = amb_now() + 1000000;
        node->election.ttl = 3000;
        node->election.renewal_pending = true;
        node->election.renewed_at = node->election.renewal_sent_at = now - rows[i].renewed;
        node->watch.last_read_sent_at = now - rows[i].watch_read;
        node->peers.count = 1;
        node->peers.list[0].last_heard_at = node->peers.list[0].confirmed_at = now - rows[i].peer_confirmed;
        node->fleet.last_heartbeat_at = now;
        amb_election_tick(node, now);
        if (node->election.role != rows[i].expected)
            fail_msg("%s: role %d", rows[i].what, node->election.role);
    }
}

/* A leader that holds its lease but is reached by no agent must yield to another node (docs/incidents). */
static void unreachable_leader_yields(void **state) {
    (void)state;
    static const struct {
        const char *what;
        amb_ms agent_heard, peer_heard; /* how long ago */
        bool peer_has_agents, machines, leads;
    } rows[] = {
        {"agents reach this node", 500, 500, true, true, true},
        {"agents reach this node, the peer is unreachable", 500, 60000, false, true, true},
        {"agents reach the peer instead", 4000, 500, true, true, false},
        {"agents reach no node", 4000, 500, false, true, true},
        {"neither agents nor the peer reach this node", 4000, 60000, false, true, false},
        {"there are no machines", 4000, 500, true, false, true},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_teardown(NULL);
        setup(NULL);
        amb_ms now = amb_now() + 100000;
        node->election.renewed_at = node->election.renewal_sent_at = node->watch.last_read_sent_at = now;
        node->peers.count = 1;
        node->peers.list[0].last_heard_at = now - rows[i].peer_heard;
        node->peers.list[0].receives_agent_heartbeats = rows[i].peer_has_agents;
        node->fleet.last_heartbeat_at = now - rows[i].agent_heard;
        node->controller.leader_since = now - 50000;
        if (rows[i].machines) amb_machine_get(node, "m-1", true)->state = AMB_MACHINE_UP;
        amb_election_tick(node, now);
        if (amb_election_is_leader(node) != rows[i].leads) fail_msg("%s", rows[i].what);
    }
}

/* ---- higher terms ---- */

static void higher_terms_end_leadership(void **state) {
    (void)state;
    enum source { AGENT, PEER_ANSWER, PEER_HEARTBEAT, REFUSED_WRITE, KEY_OF_ANOTHER, KEY_GONE, OWN_KEY };
    static const struct {
        const char *what;
        enum source source;
        bool leads;
    } rows[] = {
        {"heartbeat of an agent", AGENT, false},
        {"answer of a peer", PEER_ANSWER, false},
        {"heartbeat of a peer", PEER_HEARTBEAT, false},
        {"a write conflicts on the leader key", REFUSED_WRITE, false},
        {"the key names another node", KEY_OF_ANOTHER, false},
        {"the key was removed", KEY_GONE, false},
        {"the key is from its own claim", OWN_KEY, true},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        start_peer_heartbeats();
        struct amb_buf buffer = {0};
        switch (rows[i].source) {
        case AGENT:
            send_heartbeat((struct sent_heartbeat){
                .machine = "m-1", .incarnation = 1, .sequence = 1, .token = TERM + 1});
            if (latest_reply()->status != 421)
                fail_msg("%s: answered %d", rows[i].what, latest_reply()->status);
            break;
        case PEER_ANSWER: answer_peer_heartbeat(0, (struct peer_state){.term = TERM + 1}); break;
        case PEER_HEARTBEAT:
            receive_peer_heartbeat(0, (struct peer_state){.term = TERM + 1, .leading = true});
            break;
        case REFUSED_WRITE: answer_conflict(begin_block_write(), LEADER_KEY); break;
        case KEY_GONE: amb_election_apply_key(node, NULL, TERM + 1); break;
        case KEY_OF_ANOTHER:
        case OWN_KEY:
            amb_cbor_write_map(&buffer, 2);
            amb_cbor_write_string(&buffer, "member");
            amb_cbor_write_string(&buffer, rows[i].source == OWN_KEY ? "n-0" : "n-1");
            amb_cbor_write_string(&buffer, "nonce");
            amb_cbor_write_uint(&buffer, rows[i].source == OWN_KEY ? node->election.nonce : 99);
            const struct amb_cbor_item *value = amb_cbor_parse(buffer.data, buffer.len);
            amb_election_apply_key(node, value, TERM + 1);
            amb_buf_free(&buffer);
            break;
        }
        if (amb_election_is_leader(node) != rows[i].leads)
            fail_msg("%s: leads %d", rows[i].what, amb_election_is_leader(node));
    }
}

static void higher_token_ends_leadership(void **state) {
    (void)state;
    assert_false(deliver_heartbeat("m-1", 1, 1, TERM + 1, amb_now(), NULL, 0));
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(claim_compares_revision_and_has_lease, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(unanswered_claim_is_verified, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(claim_answered_late_is_abandoned, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(claims, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(lease_is_valid_from_when_it_was_requested, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(leases_outlast_an_unanswered_renewal, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(unsure_leaders_keep_tasks_alive_and_start_none, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(watch_reads_without_renewals_end_in_fencing, fixture_setup,
                                        fixture_teardown),
        cmocka_unit_test_setup_teardown(leader_without_contact, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(unreachable_leader_yields, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(higher_terms_end_leadership, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(higher_token_ends_leadership, setup, fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
