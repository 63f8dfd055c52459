/* Who leads: the claim of the leader's key, its lease, what a leader does that is unsure of it, and what ends
 * the lead. On leader_fixture where messages matter, else on the node alone. */
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

static void claim_is_guarded_and_leased(void **state) {
    (void)state;
    static const struct {
        const char *what, *holder;
        uint64_t stamp, guard;
    } rows[] = {
        {"nobody leads", "", 40, 0},
        {"the key names this node's former self", "n-0", 40, 40},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        follow_leader(rows[i].holder, rows[i].stamp);
        struct fake_call *commit = claim_until_commit(7);
        uint64_t lease = 0, guard = fake_txn_compared_revision(commit, LEADER_KEY);
        const cbor_item_t *value = fake_txn_put(commit, LEADER_KEY, &lease);
        if (guard != rows[i].guard) fail_msg("%s: guard %lld", rows[i].what, (long long)guard);
        if (lease != 7) fail_msg("%s: on lease %llu", rows[i].what, (unsigned long long)lease);
        assert_true(amb_cbor_equals(amb_cbor_map_get(value, "member"), "n-0"));
        answer_committed(commit, 60);
        assert_true(amb_election_is_leader(node));
        assert_int_equal(node->election.term, 60);
    }
}

static void claim_without_answer(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int status; /* of the read */
        bool ours;
        bool leads;
    } rows[] = {
        {"it was carried out", 200, true, true},
        {"the key is another's", 200, false, false},
        {"there is no key", 404, false, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        follow_leader("", 40);
        fake_answer(claim_until_commit(7), 0, NULL);
        struct fake_call *read = open_call("GET", "/store/a/leader");
        if (rows[i].status == 200)
            answer_value(read, "nonce", NULL, node->election.nonce + !rows[i].ours, 60);
        else
            fake_answer(read, rows[i].status, NULL);
        if (amb_election_is_leader(node) != rows[i].leads)
            fail_msg("%s: leads %d", rows[i].what, amb_election_is_leader(node));
        bool dropped = find_call("DELETE", "/leases/7") != NULL;
        if (dropped == rows[i].leads)
            fail_msg("%s: its lease is %s", rows[i].what, dropped ? "dropped" : "kept");
    }
}

static void claim_answered_late_is_given_up(void **state) {
    (void)state;
    follow_leader("", 40);
    struct fake_call *commit = claim_until_commit(7);
    amb_election_observe_term(node, 61, "a worker");
    answer_committed(commit, 60);
    assert_false(amb_election_is_leader(node));
    assert_non_null(find_call("DELETE", "/leases/7"));
}

/* A key that still names this node is replaced, unless a higher term shows that the news of it is old. */
static void claims(void **state) {
    (void)state;
    static const struct {
        const char *what, *holder;
        uint64_t stamp, highest;
        enum amb_election_role want;
    } rows[] = {
        {"nobody leads", "", 10, 20, AMB_ROLE_CANDIDATE},
        {"another leads", "n-1", 10, 10, AMB_ROLE_FOLLOWER},
        {"the key names this node's former self", "n-0", 10, 10, AMB_ROLE_CANDIDATE},
        {"it did, and another leads by now", "n-0", 10, 20, AMB_ROLE_FOLLOWER},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_election *election = &node->election;
        strcpy(election->member, "n-0");
        election->role = AMB_ROLE_FOLLOWER;
        election->key_known = true;
        election->claimed_at = 0;
        strcpy(election->holder, rows[i].holder);
        election->holder_revision = rows[i].stamp;
        election->highest_term = rows[i].highest;
        amb_election_tick(node, amb_now() + 2 * election->ttl);
        if (election->role != rows[i].want) fail_msg("%s: role %d", rows[i].what, election->role);
    }
    node->election.role = AMB_ROLE_LEADER;
}

/* ---- the lease ---- */

static void lease_counts_from_when_it_was_asked_for(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool claim; /* or else a renewal */
        amb_ms takes, since_sent;
        bool sure;
    } rows[] = {
        {"a claim, almost a lease ago", true, 1000, 2699, true},
        {"a claim, a lease less a tenth ago", true, 1000, 2700, false},
        {"a renewal, almost a lease ago", false, 1000, 2699, true},
        {"a renewal, a lease less a tenth ago", false, 1000, 2700, false},
        {"a renewal answered at once", false, 0, 2700, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        if (rows[i].claim) {
            follow_leader("", 40);
            struct fake_call *commit = claim_until_commit(7);
            fake_clock_advance(rows[i].takes);
            answer_committed(commit, 60);
        } else {
            fake_clock_advance(LEADER_TTL_MS / 4);
            amb_election_tick(node, amb_now());
            struct fake_call *renewal = open_call("POST", "/leases/0/extend");
            fake_clock_advance(rows[i].takes);
            answer_lease(renewal, 7);
        }
        fake_clock_advance(rows[i].since_sent - rows[i].takes);
        if (amb_election_may_act(node) != rows[i].sure) fail_msg("%s", rows[i].what);
    }
}

/* A renewal that gets no answer is given up in time for another two, whatever the workers' figures. */
static void leases_outlast_a_lost_answer(void **state) {
    (void)state;
    static const struct {
        double report, lease, cancel;
        amb_ms ttl, patience;
    } rows[] = {
        {1, 10, 30, 3000, 1000},
        {1, 10, 35, 3000, 1000},
        {4, 22, 42, 3000, 1000},
        {2.5, 15.25, 40.25, 3750, 1250},
        {0.2, 10, 30, 3000, 200},
        {1, 10, 9, 3000, 1000}, /* no time left by a cancellation: the lease alone decides */
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        node->settings.heartbeat_s = rows[i].report;
        node->settings.agent_lease_s = rows[i].lease;
        node->settings.cancel_s = rows[i].cancel;
        amb_election_init(node);
        if (node->election.ttl != rows[i].ttl || amb_election_call_timeout(node) != rows[i].patience)
            fail_msg("row %zu: %lld, %lld", i, (long long)node->election.ttl,
                     (long long)amb_election_call_timeout(node));
    }
}

/* What a leader does, by how sure it is of its lease. */
static void unsure_leaders_keep_work_alive_and_begin_nothing(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_election_role role;
        amb_ms renewed; /* how long ago */
        int status;     /* to a report */
        size_t starts, rentals;
    } rows[] = {
        {"sure", AMB_ROLE_LEADER, 500, 200, 1, 1},
        {"its renewal is not overdue yet", AMB_ROLE_LEADER, 1049, 200, 1, 1},
        {"its renewal is overdue: no order, though sure", AMB_ROLE_LEADER, 1050, 200, 0, 1},
        {"sure until a moment ago", AMB_ROLE_LEADER, 2700, 200, 0, 0},
        {"unsure", AMB_ROLE_UNSURE, 9000, 200, 0, 0},
        {"fenced", AMB_ROLE_FENCED, 30000, 503, 0, 0},
        {"to be fenced, by a tick that is overdue", AMB_ROLE_UNSURE, 30000, 421, 0, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
        bind_task(job, 0, "m-1", 1);
        amb_scale_out_submit(node, 0, 0, false, 1);
        node->cloud.scale_out.requests->state = AMB_SCALE_OUT_REQUESTING;
        node->election.role = rows[i].role;
        node->election.renewed_at = amb_now() - rows[i].renewed;
        node->peers.count = 1; /* whose word has never come */
        send_heartbeat((struct sent_heartbeat){.machine = "m-1", .incarnation = 1, .sequence = 1, .token = TERM});
        fake_clock_advance(400); /* an answer that says nothing may be held for so long */
        if (latest_reply()->status != rows[i].status || count_replied_commands("run") != rows[i].starts)
            fail_msg("%s: %d, %zu starts", rows[i].what, latest_reply()->status, count_replied_commands("run"));
        amb_cloud_tick(node, amb_now());
        if (fake_count_open_calls("POST", "/machines") != rows[i].rentals)
            fail_msg("%s: %zu machines asked for", rows[i].what, fake_count_open_calls("POST", "/machines"));
    }
}

static void news_without_renewals_end_in_silence(void **state) {
    (void)state;
    amb_ms now = amb_now() + 100000;
    node->election.renewal_pending = true;
    node->watch.last_read_sent_at = now - 500;
    node->election.renewed_at = now - 50000;
    node->fleet.last_heartbeat_at = now;
    node->peers.count = 1; /* whose word has never come */
    amb_election_tick(node, now);
    assert_int_equal(node->election.role, AMB_ROLE_FENCED);
}

/* Without news, a leader answers only as long as every peer confirms that it still leads; it so hears of
 * cancellations. Else it is fenced in time for promises kept. */
static void leader_without_news(void **state) {
    (void)state;
    static const struct {
        const char *what;
        amb_ms renewed, news, word; /* how long ago */
        enum amb_election_role want;
    } rows[] = {
        {"all well", 500, 500, 500, AMB_ROLE_LEADER},
        {"renewals fail", 9000, 9000, 90000, AMB_ROLE_UNSURE},
        {"not yet too long for a cancellation told since", 18500, 18500, 90000, AMB_ROLE_UNSURE},
        {"too long", 19500, 19500, 90000, AMB_ROLE_FENCED},
        {"renewals fail for long, the peer confirms", 50000, 50000, 500, AMB_ROLE_UNSURE},
        {"nor does the peer's word come", 50000, 50000, 50000, AMB_ROLE_FENCED},
        {"renewals come, news do not, nor the peer's word", 500, 50000, 50000, AMB_ROLE_FENCED},
        {"renewals come, news do not, the peer confirms", 500, 50000, 500, AMB_ROLE_LEADER},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_teardown(NULL);
        setup(NULL);
        amb_ms now = amb_now() + 1000000;
        node->election.ttl = 3000;
        node->election.renewal_pending = true;
        node->election.renewed_at = node->election.renewal_sent_at = now - rows[i].renewed;
        node->watch.last_read_sent_at = now - rows[i].news;
        node->peers.count = 1;
        node->peers.list[0].last_heard_at = node->peers.list[0].confirmed_at = now - rows[i].word;
        node->fleet.last_heartbeat_at = now;
        amb_election_tick(node, now);
        if (node->election.role != rows[i].want) fail_msg("%s: role %d", rows[i].what, node->election.role);
    }
}

/* A leader that holds its lease but that no worker reaches must let another lead (docs/incidents). */
static void unreachable_leader_yields(void **state) {
    (void)state;
    static const struct {
        const char *what;
        amb_ms reported, heard; /* how long ago a worker came, and a peer was heard */
        bool peer_reports, machines, leads;
    } rows[] = {
        {"workers come", 500, 500, true, true, true},
        {"workers come here and peers are cut off", 500, 60000, false, true, true},
        {"workers come to a peer instead", 4000, 500, true, true, false},
        {"workers come to nobody", 4000, 500, false, true, true},
        {"neither workers nor peers", 4000, 60000, false, true, false},
        {"there are no machines", 4000, 500, true, false, true},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_teardown(NULL);
        setup(NULL);
        amb_ms now = amb_now() + 100000;
        node->election.renewed_at = node->election.renewal_sent_at = node->watch.last_read_sent_at = now;
        node->peers.count = 1;
        node->peers.list[0].last_heard_at = now - rows[i].heard;
        node->peers.list[0].receives_agent_heartbeats = rows[i].peer_reports;
        node->fleet.last_heartbeat_at = now - rows[i].reported;
        node->controller.leader_since = now - 50000;
        if (rows[i].machines) amb_machine_get(node, "m-1", true)->state = AMB_MACHINE_UP;
        amb_election_tick(node, now);
        if (amb_election_is_leader(node) != rows[i].leads) fail_msg("%s", rows[i].what);
    }
}

/* ---- a higher term is known ---- */

static void higher_terms_end_the_lead(void **state) {
    (void)state;
    enum source { WORKER, PEER_ANSWER, PEER_MESSAGE, REFUSED_WRITE, KEY_OF_ANOTHER, KEY_GONE, OWN_KEY };
    static const struct {
        const char *what;
        enum source source;
        bool leads;
    } rows[] = {
        {"a worker shows it", WORKER, false},
        {"a peer answers so", PEER_ANSWER, false},
        {"a peer says so", PEER_MESSAGE, false},
        {"a write is refused for the leader's key", REFUSED_WRITE, false},
        {"the key names another", KEY_OF_ANOTHER, false},
        {"the key is gone", KEY_GONE, false},
        {"the key is our own", OWN_KEY, true},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        fixture_reset();
        start_peer_heartbeats();
        struct amb_buf buffer = {0};
        switch (rows[i].source) {
        case WORKER:
            send_heartbeat(
                (struct sent_heartbeat){.machine = "m-1", .incarnation = 1, .sequence = 1, .token = TERM + 1});
            if (latest_reply()->status != 421) fail_msg("%s: answered %d", rows[i].what, latest_reply()->status);
            break;
        case PEER_ANSWER: answer_peer_heartbeat(0, (struct peer_state){.term = TERM + 1}); break;
        case PEER_MESSAGE: receive_peer_heartbeat(0, (struct peer_state){.term = TERM + 1, .leading = true}); break;
        case REFUSED_WRITE: answer_conflict(begin_block_write(), LEADER_KEY); break;
        case KEY_GONE: amb_election_apply_key(node, NULL, TERM + 1); break;
        case KEY_OF_ANOTHER:
        case OWN_KEY:
            amb_cbor_write_map(&buffer, 2);
            amb_cbor_write_string(&buffer, "member");
            amb_cbor_write_string(&buffer, rows[i].source == OWN_KEY ? "n-0" : "n-1");
            amb_cbor_write_string(&buffer, "nonce");
            amb_cbor_write_uint(&buffer, rows[i].source == OWN_KEY ? node->election.nonce : 99);
            cbor_item_t *value = amb_cbor_parse(buffer.data, buffer.len);
            amb_election_apply_key(node, value, TERM + 1);
            cbor_decref(&value);
            amb_buf_free(&buffer);
            break;
        }
        if (amb_election_is_leader(node) != rows[i].leads)
            fail_msg("%s: leads %d", rows[i].what, amb_election_is_leader(node));
    }
}

static void higher_token_ends_the_lead(void **state) {
    (void)state;
    assert_false(deliver_heartbeat("m-1", 1, 1, TERM + 1, amb_now(), NULL, 0));
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(claim_is_guarded_and_leased, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(claim_without_answer, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(claim_answered_late_is_given_up, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(claims, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(lease_counts_from_when_it_was_asked_for, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(leases_outlast_a_lost_answer, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(unsure_leaders_keep_work_alive_and_begin_nothing, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(news_without_renewals_end_in_silence, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(leader_without_news, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(unreachable_leader_yields, setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(higher_terms_end_the_lead, fixture_setup, fixture_teardown),
        cmocka_unit_test_setup_teardown(higher_token_ends_the_lead, setup, fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
