/* Proofs of absence: rows for every sentence of "Proof of absence" in docs/safety.md, with each bound tested
 * just inside and just outside. */
#include "amberpin/model/absence_proof.h"
#include "check.h"

enum { TERM = 50 };

static void assert_absence(const char *what, enum amb_absence got, enum amb_absence want) {
    if (got != want) fail_msg("%s: %s, not %s", what, amb_absence_name(got), amb_absence_name(want));
}

static void heartbeat_order(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct amb_heartbeat_order heartbeat, newest_seen;
        bool newer;
    } rows[] = {
        {"the first of all", {1, 1}, {0, 0}, true},
        {"the next", {2, 8}, {2, 7}, true},
        {"a copy of the newest", {2, 7}, {2, 7}, false},
        {"one sent before the newest", {2, 6}, {2, 7}, false},
        {"the first of the next incarnation", {3, 1}, {2, 7}, true},
        {"of an earlier incarnation, however high its number", {1, 99}, {2, 7}, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++)
        if (amb_heartbeat_order_is_newer(rows[i].heartbeat, rows[i].newest_seen) != rows[i].newer)
            fail_msg("%s: should %sbe newer", rows[i].what, rows[i].newer ? "" : "not ");
}

static void by_heartbeat(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct amb_heartbeat_evidence
            evidence; /* heartbeat, newest seen, its term, ours, durable, listed, exited */
        enum amb_absence want;
    } rows[] = {
        {"our token, newer, does not list it",
         {{1, 8}, {1, 7}, TERM, TERM, true, false, false},
         AMB_ABSENCE_NOT_IN_HEARTBEAT},
        {"our token, newer, lists it as exited",
         {{1, 8}, {1, 7}, TERM, TERM, true, true, true},
         AMB_ABSENCE_EXITED},
        {"our token, newer, lists it", {{1, 8}, {1, 7}, TERM, TERM, true, true, false}, AMB_ABSENCE_UNPROVEN},
        {"an earlier leader's token: its commands may still arrive",
         {{1, 8}, {1, 7}, TERM - 1, TERM, true, false, false},
         AMB_ABSENCE_UNPROVEN},
        {"an earlier leader's token, exited: it may be started anew",
         {{1, 8}, {1, 7}, TERM - 1, TERM, true, true, true},
         AMB_ABSENCE_UNPROVEN},
        {"no token yet", {{1, 1}, {0, 0}, 0, TERM, true, false, false}, AMB_ABSENCE_UNPROVEN},
        {"a later leader's token: we may not conclude anything",
         {{1, 8}, {1, 7}, TERM + 1, TERM, true, false, false},
         AMB_ABSENCE_UNPROVEN},
        {"the heartbeat whose response carried the run command",
         {{1, 7}, {1, 7}, TERM, TERM, true, false, false},
         AMB_ABSENCE_UNPROVEN},
        {"one sent before that", {{1, 6}, {1, 7}, TERM, TERM, true, false, false}, AMB_ABSENCE_UNPROVEN},
        {"of an earlier incarnation",
         {{1, 99}, {2, 1}, TERM, TERM, true, false, false},
         AMB_ABSENCE_UNPROVEN},
        {"of a new incarnation, with our token",
         {{2, 1}, {1, 99}, TERM, TERM, true, false, false},
         AMB_ABSENCE_NOT_IN_HEARTBEAT},
        {"its record is still being written: no command was sent, and nothing is concluded",
         {{1, 8}, {1, 7}, TERM, TERM, false, false, false},
         AMB_ABSENCE_UNPROVEN},
    };
    for (size_t i = 0; i < ROWS(rows); i++)
        assert_absence(rows[i].what, amb_absence_by_heartbeat(&rows[i].evidence), rows[i].want);
}

static void lease_span(void **state) {
    (void)state;
    static const struct {
        double lease_s, heartbeat_interval_s;
        amb_ms want;
    } rows[] = {{10, 1, 10350}, {22, 4, 23220}, {60, 12, 63600}};
    for (size_t i = 0; i < ROWS(rows); i++)
        assert_int_equal(amb_absence_lease_span(rows[i].lease_s, rows[i].heartbeat_interval_s), rows[i].want);
}

static void by_lease(void **state) {
    (void)state;
    enum { NOW = 1000000, SPAN = 10350 };
    static const struct {
        const char *what;
        bool follows;
        amb_ms answered, fenced, lease_proxy, read; /* how long ago; -1: never */
        enum amb_absence want;
    } rows[] = {
        {"it follows our term, and its lease has expired", true, SPAN + 1, -1, -1, 0,
         AMB_ABSENCE_LEASE_EXPIRED},
        {"it follows our term; the last moment of its lease", true, SPAN, -1, -1, 0, AMB_ABSENCE_UNPROVEN},
        {"we have responded to it since, even if to a late duplicate", true, 5000, -1, -1, 0,
         AMB_ABSENCE_UNPROVEN},
        {"it follows our term: the peers' confirmations do not matter", true, SPAN + 1, 1, -1, 0,
         AMB_ABSENCE_LEASE_EXPIRED},
        {"a lease proxy may have renewed its lease until a moment ago", true, SPAN * 3, -1, SPAN, 0,
         AMB_ABSENCE_UNPROVEN},
        {"the lease proxy was last known longer ago than a lease", true, SPAN * 3, -1, SPAN + 1, 0,
         AMB_ABSENCE_LEASE_EXPIRED},
        {"answered after the lease proxy was last known", true, SPAN, -1, SPAN * 2, 0, AMB_ABSENCE_UNPROVEN},
        {"the read was sent before the lease expired: a lease proxy may have started since", true, SPAN + 5,
         -1, -1, 6, AMB_ABSENCE_READ_NEEDED},
        {"the read was sent at its very end", true, SPAN + 5, -1, -1, 5, AMB_ABSENCE_READ_NEEDED},
        {"the read was sent just after its end", true, SPAN + 5, -1, -1, 4, AMB_ABSENCE_LEASE_EXPIRED},
        {"the read was sent before the lease renewed by the lease proxy expired", true, SPAN * 3, -1,
         SPAN + 5, 5, AMB_ABSENCE_READ_NEEDED},
        {"the read was sent after the lease renewed by the lease proxy expired", true, SPAN * 3, -1, SPAN + 5,
         4, AMB_ABSENCE_LEASE_EXPIRED},

        {"it has not shown our token: its silence proves nothing", false, SPAN * 9, -1, -1, 0,
         AMB_ABSENCE_UNPROVEN},
        {"it has not shown our token, and we never answered it", false, -1, -1, -1, 0, AMB_ABSENCE_UNPROVEN},
        {"every peer has known our term for longer than a lease", false, -1, SPAN + 1, -1, 0,
         AMB_ABSENCE_FENCED},
        {"every peer has known our term for exactly a lease", false, -1, SPAN, -1, 0, AMB_ABSENCE_UNPROVEN},
        {"fenced, but answered by us since", false, SPAN, SPAN * 3, -1, 0, AMB_ABSENCE_UNPROVEN},
        {"fenced, and last answered by us longer ago than a lease", false, SPAN + 1, SPAN * 3, -1, 0,
         AMB_ABSENCE_FENCED},
        {"fenced, but a lease proxy was known since", false, -1, SPAN * 3, SPAN, 0, AMB_ABSENCE_UNPROVEN},
        {"fenced, and the lease proxy was last known longer ago than a lease", false, -1, SPAN * 3, SPAN + 1,
         0, AMB_ABSENCE_FENCED},
        {"fenced, without a read sent since", false, -1, SPAN + 5, -1, 5, AMB_ABSENCE_READ_NEEDED},
        {"fenced, with a read sent just after", false, -1, SPAN + 5, -1, 4, AMB_ABSENCE_FENCED},
        {"fenced, and no read was ever answered", false, -1, SPAN + 5, -1, -1, AMB_ABSENCE_READ_NEEDED},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        const struct amb_lease_evidence evidence = {
            .now = NOW,
            .lease_span = SPAN,
            .last_response_at = rows[i].answered < 0 ? 0 : NOW - rows[i].answered,
            .follows_own_term = rows[i].follows,
            .fenced_at = rows[i].fenced < 0 ? 0 : NOW - rows[i].fenced,
            .lease_proxy_known_at = rows[i].lease_proxy < 0 ? 0 : NOW - rows[i].lease_proxy,
            .last_read_sent_at = rows[i].read < 0 ? 0 : NOW - rows[i].read,
        };
        assert_absence(rows[i].what, amb_absence_by_lease(&evidence), rows[i].want);
    }
}

static void by_list(void **state) {
    (void)state;
    enum { REQUESTED = 1000000, SPAN = 12000 };
    assert_int_equal(amb_absence_list_span(5, 1), SPAN);
    static const struct {
        const char *what;
        amb_ms known, heartbeat_before, named; /* how long before the list was requested; -1: never */
        enum amb_absence want;
    } rows[] = {
        {"known for long enough, without a heartbeat or listing since", SPAN + 1, -1, -1,
         AMB_ABSENCE_NOT_IN_CLOUD_LIST},
        {"not known for long enough: lists lack new machines at first", SPAN, -1, -1, AMB_ABSENCE_UNPROVEN},
        {"a heartbeat since", SPAN * 9, SPAN, -1, AMB_ABSENCE_UNPROVEN},
        {"a heartbeat long before", SPAN * 9, SPAN + 1, -1, AMB_ABSENCE_NOT_IN_CLOUD_LIST},
        {"an earlier list names it, and this one may be older", SPAN * 9, SPAN * 9, SPAN,
         AMB_ABSENCE_UNPROVEN},
        {"a list of long before names it", SPAN * 9, SPAN * 9, SPAN + 1, AMB_ABSENCE_NOT_IN_CLOUD_LIST},
        {"a heartbeat after the list was requested", SPAN * 9, 0, -1, AMB_ABSENCE_UNPROVEN},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        const struct amb_list_evidence evidence = {
            .list_span = SPAN,
            .list_sent_at = REQUESTED,
            .first_known_at = REQUESTED - rows[i].known,
            .last_heartbeat_at = rows[i].heartbeat_before < 0 ? 0 : REQUESTED - rows[i].heartbeat_before,
            .last_listed_at = rows[i].named < 0 ? 0 : REQUESTED - rows[i].named,
        };
        assert_absence(rows[i].what, amb_absence_by_list(&evidence), rows[i].want);
    }
}

/* Which values are proofs. The cloud's confirmation of a release or a failure is one by itself. */
static void proofs(void **state) {
    (void)state;
    static const struct {
        enum amb_absence absence;
        bool proven;
    } rows[] = {
        {AMB_ABSENCE_UNPROVEN, false},         {AMB_ABSENCE_READ_NEEDED, false},
        {AMB_ABSENCE_NOT_IN_HEARTBEAT, true},  {AMB_ABSENCE_EXITED, true},
        {AMB_ABSENCE_LEASE_EXPIRED, true},     {AMB_ABSENCE_FENCED, true},
        {AMB_ABSENCE_RELEASED, true},          {AMB_ABSENCE_FAILED, true},
        {AMB_ABSENCE_NOT_IN_CLOUD_LIST, true},
    };
    for (size_t i = 0; i < ROWS(rows); i++)
        assert_int_equal(amb_absence_is_proven(rows[i].absence), rows[i].proven);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(heartbeat_order), cmocka_unit_test(by_heartbeat), cmocka_unit_test(lease_span),
        cmocka_unit_test(by_lease),        cmocka_unit_test(by_list),      cmocka_unit_test(proofs),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
