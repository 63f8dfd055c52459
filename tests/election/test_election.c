/* Table-driven tests of the election's state machine: each row is a sequence of events with the role and the
 * actions expected after each. Every sentence of "Leadership" in docs/safety.md that concerns the node itself
 * has a row. */
#include "amberpin/election/state_machine.h"
#include "check.h"

enum {
    TTL = 3000,
    SAFE_LEASE = TTL - TTL / 10, /* validity of a lease after its renewal was sent */
    FENCE = 19000,               /* after the last contact with the store or the peers */
    YIELD = 10000,
    START = 100000, /* when a LEADER row's claim was sent and its last contact was made */
    LEASE = 7,      /* that the leader key is attached to */
    TERM = 50,
    NONCE = 900, /* of a claim: this plus the claim id */
    FIRST_CLAIM = 1,
};

/* ---- steps ---- */

struct step {
    struct amb_election_input input;
    enum amb_election_role role; /* afterwards */
    const char *actions;         /* as text; NULL: none */
};

#define EVENT(what, at) .event = AMB_ELECTION_##what, .now = START + (at)
#define EVIDENCE(watch, peers)                                                                               \
    .evidence = {.watch_sent_at = START + (watch), .peers_queried_at = START + (peers)}
/* A tick at `at`; `watch` and `peers`: when the last answered watch read and peer requests were sent. All
 * times are relative to START. */
#define TICK(at, watch, peers) .input = {EVENT(TICK, at), EVIDENCE(watch, peers)}
#define TICK_UNREACHABLE(at)                                                                                 \
    .input = {                                                                                               \
        EVENT(TICK, at),                                                                                     \
        .evidence = {.watch_sent_at = START + (at), .peers_queried_at = START + (at), .unreachable = true}}
#define STORE_READ(at) .input = {EVENT(STORE_READ, at)}
#define GRANTED(at, which, id)                                                                               \
    .input = {EVENT(LEASE_GRANTED, at), .claim_id = which, .lease_id = id, .nonce = NONCE + which}
#define NOT_GRANTED(at, which)                                                                               \
    .input = {EVENT(LEASE_GRANTED, at), .claim_id = which, .result = AMB_CALL_REFUSED}
#define CLAIMED(at, which, how, under)                                                                       \
    .input = {EVENT(CLAIM_ANSWERED, at), .claim_id = which, .result = AMB_CALL_##how, .revision = under}
#define READ(at, which, how, by, under)                                                                      \
    .input = {EVENT(KEY_READ, at), .claim_id = which, .result = AMB_CALL_##how,                              \
              .key = {.present = true, .member = "n-0", .nonce = by, .revision = under}}
#define RENEWED(at, id, how, watch, peers)                                                                   \
    .input = {EVENT(LEASE_RENEWED, at), .lease_id = id, .result = AMB_CALL_##how, EVIDENCE(watch, peers)}
#define KEY(who, by, under)                                                                                  \
    .input = {EVENT(KEY_CHANGED, 0), .key = {.present = true, .member = who, .nonce = by, .revision = under}}
#define KEY_GONE(under) .input = {EVENT(KEY_CHANGED, 0), .key = {.revision = under}}
#define TERM_SEEN(which) .input = {EVENT(TERM_SEEN, 0), .term = which}

enum start { NEW, FOLLOWER, LEADER };

enum { STEPS = 9 };

struct row {
    const char *what;
    enum start start;
    struct step steps[STEPS];
};

static struct amb_election make_election(enum start start) {
    struct amb_election election = {
        .member = "n-0", .ttl = TTL, .fence_after = FENCE, .yield_duration = YIELD};
    if (start == NEW) return election;
    election.role = AMB_ROLE_FOLLOWER;
    election.key_known = true;
    if (start == FOLLOWER) return election;
    election.role = AMB_ROLE_LEADER;
    election.term = election.highest_term = election.holder_revision = TERM;
    strcpy(election.holder, "n-0");
    election.lease_id = LEASE;
    election.claim_id = FIRST_CLAIM;
    election.nonce = election.holder_nonce = NONCE + FIRST_CLAIM;
    election.claimed_at = election.renewed_at = election.renewal_sent_at = START;
    return election;
}

static const char *format_actions(const struct amb_election_output *output, char *text, size_t cap) {
    size_t len = 0;
    text[0] = 0;
    for (uint32_t i = 0; i < output->action_count; i++) {
        const struct amb_election_action *action = &output->actions[i];
        if (i) len += (size_t)snprintf(text + len, cap - len, ", ");
        switch (action->type) {
        case AMB_ELECTION_GRANT_LEASE: len += (size_t)snprintf(text + len, cap - len, "grant"); break;
        case AMB_ELECTION_COMMIT_CLAIM:
            len += (size_t)snprintf(text + len, cap - len, "commit on %d over %d", (int)action->lease_id,
                                    (int)action->expected_revision);
            break;
        case AMB_ELECTION_READ_KEY: len += (size_t)snprintf(text + len, cap - len, "read"); break;
        case AMB_ELECTION_RENEW_LEASE:
            len += (size_t)snprintf(text + len, cap - len, "renew %d", (int)action->lease_id);
            break;
        case AMB_ELECTION_REVOKE_LEASE:
            len += (size_t)snprintf(text + len, cap - len, "revoke %d", (int)action->lease_id);
            break;
        case AMB_ELECTION_LEADERSHIP_WON: len += (size_t)snprintf(text + len, cap - len, "won"); break;
        case AMB_ELECTION_LEADERSHIP_LOST: len += (size_t)snprintf(text + len, cap - len, "lost"); break;
        }
    }
    return text;
}

static void run_row(const struct row *row) {
    struct amb_election election = make_election(row->start);
    for (size_t k = 0; k < STEPS && (k == 0 || row->steps[k].input.now); k++) {
        const struct step *step = &row->steps[k];
        struct amb_election_output output;
        char text[128];
        enum amb_election_role before = election.role;
        amb_election_step(&election, &step->input, &output);
        format_actions(&output, text, sizeof text);
        if (election.role != step->role || strcmp(text, step->actions ? step->actions : ""))
            fail_msg("%s, step %zu: role %d, wanted %d; actions '%s', wanted '%s'", row->what, k,
                     (int)election.role, (int)step->role, text, step->actions ? step->actions : "");
        if ((election.role != before) != (output.cause != NULL))
            fail_msg("%s, step %zu: cause", row->what, k);
    }
}

static void run_rows(const struct row *rows, size_t count) {
    for (size_t i = 0; i < count; i++) run_row(&rows[i]);
}

#define STARTING AMB_ROLE_STARTING
#define FOLLOWING AMB_ROLE_FOLLOWER
#define CLAIMING AMB_ROLE_CANDIDATE
#define VERIFYING AMB_ROLE_VERIFYING_CLAIM
#define LEADING AMB_ROLE_LEADER
#define UNSURE AMB_ROLE_UNSURE
#define FENCED AMB_ROLE_FENCED

/* ---- tables ---- */

static void claims(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"no claim before the initial read of the state service",
         NEW,
         {{TICK(0, 0, 0), STARTING, NULL},
          {STORE_READ(1), FOLLOWING, NULL},
          {TICK(2, 0, 0), FOLLOWING, NULL},
          {KEY_GONE(5), FOLLOWING, NULL},
          {TICK(3, 0, 0), CLAIMING, "grant"}}},
        {"without a leader: requests a lease, then writes the key on it",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {GRANTED(5, 1, LEASE), CLAIMING, "commit on 7 over 0"},
          {CLAIMED(9, 1, OK, TERM), LEADING, "won"}}},
        {"no claim while another node leads",
         FOLLOWER,
         {{KEY("n-1", 3, 10), FOLLOWING, NULL}, {TICK(9000, 0, 0), FOLLOWING, NULL}}},
        {"claims at once when the leader key is removed",
         FOLLOWER,
         {{KEY("n-1", 3, 10), FOLLOWING, NULL},
          {TICK(9000, 0, 0), FOLLOWING, NULL},
          {KEY_GONE(11), FOLLOWING, NULL},
          {TICK(9150, 0, 0), CLAIMING, "grant"}}},
        {"key of an earlier process of this node is replaced at once",
         FOLLOWER,
         {{KEY("n-0", 3, 10), FOLLOWING, NULL},
          {TICK(0, 0, 0), CLAIMING, "grant"},
          {GRANTED(5, 1, LEASE), CLAIMING, "commit on 7 over 10"}}},
        {"no replacement if a higher term is known: the known key is outdated",
         FOLLOWER,
         {{KEY("n-0", 3, 10), FOLLOWING, NULL},
          {TERM_SEEN(11), FOLLOWING, NULL},
          {TICK(0, 0, 0), FOLLOWING, NULL}}},
        {"no lease granted: retried after a quarter of a lease",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {NOT_GRANTED(5, 1), FOLLOWING, NULL},
          {TICK(TTL / 4, 0, 0), FOLLOWING, NULL},
          {TICK(TTL / 4 + 1, 0, 0), CLAIMING, "grant"}}},
        {"conflict with another claim: the lease is revoked",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {GRANTED(5, 1, LEASE), CLAIMING, "commit on 7 over 0"},
          {CLAIMED(9, 1, CONFLICT, 0), FOLLOWING, "revoke 7"}}},
        {"a claim that takes longer than its lease is abandoned",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {GRANTED(5, 1, LEASE), CLAIMING, "commit on 7 over 0"},
          {TICK(TTL, 0, 0), CLAIMING, NULL},
          {TICK(TTL + 1, 0, 0), FOLLOWING, "revoke 7"},
          {CLAIMED(TTL + 2, 1, OK, TERM), FOLLOWING, NULL}}},
        {"a claim answered after a newer term became known is abandoned",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {GRANTED(5, 1, LEASE), CLAIMING, "commit on 7 over 0"},
          {TERM_SEEN(TERM + 1), CLAIMING, NULL},
          {CLAIMED(9, 1, OK, TERM), FOLLOWING, "revoke 7"}}},
        {"a claim answered after its key was removed again is abandoned",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {GRANTED(5, 1, LEASE), CLAIMING, "commit on 7 over 0"},
          {KEY_GONE(TERM + 1), CLAIMING, NULL},
          {CLAIMED(9, 1, OK, TERM), FOLLOWING, "revoke 7"}}},
        {"older states of the key are ignored",
         FOLLOWER,
         {{KEY("n-1", 3, 10), FOLLOWING, NULL},
          {KEY_GONE(9), FOLLOWING, NULL},
          {TICK(9000, 0, 0), FOLLOWING, NULL}}},
        {"the answer to an earlier claim is ignored",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {TICK(TTL + 1, 0, 0), FOLLOWING, NULL},
          {TICK(TTL + 2, 0, 0), CLAIMING, "grant"},
          {GRANTED(TTL + 3, 1, 6), CLAIMING, NULL},
          {CLAIMED(TTL + 4, 1, OK, TERM - 1), CLAIMING, NULL},
          {GRANTED(TTL + 5, 2, LEASE), CLAIMING, "commit on 7 over 0"},
          {CLAIMED(TTL + 6, 1, OK, TERM - 1), CLAIMING, NULL},
          {CLAIMED(TTL + 7, 2, OK, TERM), LEADING, "won"}}},
    };
    run_rows(rows, ROWS(rows));
}

#define UNANSWERED_CLAIM                                                                                     \
    {TICK(0, 0, 0), CLAIMING, "grant"}, {GRANTED(5, 1, LEASE), CLAIMING, "commit on 7 over 0"}, {            \
        CLAIMED(9, 1, NO_ANSWER, 0), VERIFYING, "read"                                                       \
    }

static void unanswered_claims_are_verified(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"read back: committed",
         FOLLOWER,
         {UNANSWERED_CLAIM, {READ(20, 1, OK, NONCE + 1, TERM), LEADING, "won"}}},
        {"nonce of another claim: not committed",
         FOLLOWER,
         {UNANSWERED_CLAIM, {READ(20, 1, OK, 3, TERM), FOLLOWING, "revoke 7"}}},
        {"no key: not committed, and the revoked lease prevents a late commit",
         FOLLOWER,
         {UNANSWERED_CLAIM, {READ(20, 1, NOT_FOUND, 0, 0), FOLLOWING, "revoke 7"}}},
        {"committed, but a newer term is known",
         FOLLOWER,
         {UNANSWERED_CLAIM,
          {TERM_SEEN(TERM + 1), VERIFYING, NULL},
          {READ(20, 1, OK, NONCE + 1, TERM), FOLLOWING, "revoke 7"}}},
        {"the key cannot be read: abandoned after two lease periods",
         FOLLOWER,
         {UNANSWERED_CLAIM,
          {READ(1000, 1, NO_ANSWER, 0, 0), VERIFYING, NULL},
          {TICK(2 * TTL, 0, 0), VERIFYING, NULL},
          {TICK(2 * TTL + 1, 0, 0), FOLLOWING, "revoke 7"},
          {READ(2 * TTL + 2, 1, OK, NONCE + 1, TERM), FOLLOWING, NULL}}},
        {"a read for an earlier claim is ignored",
         FOLLOWER,
         {UNANSWERED_CLAIM,
          {TICK(2 * TTL + 1, 0, 0), FOLLOWING, "revoke 7"},
          {TICK(2 * TTL + 2, 0, 0), CLAIMING, "grant"},
          {GRANTED(2 * TTL + 5, 2, 8), CLAIMING, "commit on 8 over 0"},
          {CLAIMED(2 * TTL + 9, 2, NO_ANSWER, 0), VERIFYING, "read"},
          {READ(2 * TTL + 10, 1, NOT_FOUND, 0, 0), VERIFYING, NULL}}},
        {"committed after it was abandoned: the key is left from this node",
         FOLLOWER,
         {UNANSWERED_CLAIM,
          {READ(20, 1, NOT_FOUND, 0, 0), FOLLOWING, "revoke 7"},
          {KEY("n-0", NONCE + 1, TERM), FOLLOWING, NULL},
          {TICK(TTL, 0, 0), CLAIMING, "grant"},
          {GRANTED(TTL + 5, 2, 8), CLAIMING, "commit on 8 over 50"}}},
    };
    run_rows(rows, ROWS(rows));
}

static void lease_renewal(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"renewed four times per lease period",
         LEADER,
         {{TICK(TTL / 4 - 1, 0, 0), LEADING, NULL},
          {TICK(TTL / 4, 0, 0), LEADING, "renew 7"},
          {TICK(TTL / 2, 0, 0), LEADING, NULL},
          {RENEWED(TTL / 2, LEASE, OK, 0, 0), LEADING, NULL},
          {TICK(TTL / 2, 0, 0), LEADING, "renew 7"}}},
        {"valid from the start of the claim, less a tenth",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {GRANTED(400, 1, LEASE), CLAIMING, "commit on 7 over 0"},
          {CLAIMED(900, 1, OK, TERM), LEADING, "won"},
          {TICK(SAFE_LEASE - 1, 0, 0), LEADING, "renew 7"},
          {TICK(SAFE_LEASE, 0, 0), UNSURE, NULL}}},
        {"valid from the sending of the last renewal, less a tenth",
         LEADER,
         {{TICK(TTL / 4, 0, 0), LEADING, "renew 7"},
          {RENEWED(2000, LEASE, OK, 0, 0), LEADING, NULL},
          {TICK(TTL / 4 + SAFE_LEASE - 1, 0, 0), LEADING, "renew 7"},
          {TICK(TTL / 4 + SAFE_LEASE, 0, 0), UNSURE, NULL}}},
        {"an unsure leader is leader again after a renewal",
         LEADER,
         {{TICK(SAFE_LEASE, 0, 0), UNSURE, "renew 7"},
          {RENEWED(SAFE_LEASE + 500, LEASE, OK, SAFE_LEASE, 0), LEADING, NULL}}},
        {"a failed renewal is retried",
         LEADER,
         {{TICK(800, 0, 0), LEADING, "renew 7"},
          {RENEWED(1000, LEASE, REFUSED, 0, 0), LEADING, NULL},
          {TICK(1500, 0, 0), LEADING, NULL},
          {TICK(1550, 0, 0), LEADING, "renew 7"}}},
        {"the lease does not exist: leadership is lost",
         LEADER,
         {{TICK(800, 0, 0), LEADING, "renew 7"},
          {RENEWED(1000, LEASE, NOT_FOUND, 0, 0), FOLLOWING, "revoke 7, lost"}}},
        {"the answer to a renewal of an earlier lease is ignored",
         LEADER,
         {{TICK(800, 0, 0), LEADING, "renew 7"},
          {RENEWED(1000, LEASE - 1, NOT_FOUND, 0, 0), LEADING, NULL},
          {RENEWED(1000, LEASE - 1, OK, 0, 0), LEADING, NULL},
          {TICK(SAFE_LEASE, 0, 0), UNSURE, NULL}}},
        {"the answer to a renewal after the loss of leadership is ignored",
         LEADER,
         {{TICK(800, 0, 0), LEADING, "renew 7"},
          {TERM_SEEN(TERM + 1), FOLLOWING, "revoke 7, lost"},
          {RENEWED(1000, LEASE, OK, 0, 0), FOLLOWING, NULL}}},
    };
    run_rows(rows, ROWS(rows));
}

static void loss_of_leadership(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"a higher term is seen", LEADER, {{TERM_SEEN(TERM + 1), FOLLOWING, "revoke 7, lost"}}},
        {"its own term is seen", LEADER, {{TERM_SEEN(TERM), LEADING, NULL}}},
        {"a fenced leader sees a higher term",
         LEADER,
         {{TICK(FENCE + 1, 0, 0), FENCED, "renew 7"}, {TERM_SEEN(TERM + 1), FOLLOWING, "revoke 7, lost"}}},
        {"the key names another node", LEADER, {{KEY("n-1", 3, TERM + 1), FOLLOWING, "revoke 7, lost"}}},
        {"the key was removed", LEADER, {{KEY_GONE(TERM + 1), FOLLOWING, "revoke 7, lost"}}},
        {"the watch reports its own claim", LEADER, {{KEY("n-0", NONCE + 1, TERM), LEADING, NULL}}},
        {"the watch reports states older than its claim",
         LEADER,
         {{KEY("n-1", 3, TERM - 1), LEADING, NULL}, {KEY_GONE(TERM - 1), LEADING, NULL}}},
    };
    run_rows(rows, ROWS(rows));
}

/* A cancellation unknown to the leader was promised, at the earliest, after it sent the last request whose
 * answer would have reported it. From FENCE after that time on, to the millisecond, the leader must not
 * answer heartbeats. */
static void fencing_without_contact(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"neither store nor peers: fenced in time",
         LEADER,
         {{TICK(FENCE, 0, 0), UNSURE, "renew 7"}, {TICK(FENCE + 1, 0, 0), FENCED, NULL}}},
        {"watch reads without renewals: fenced",
         LEADER,
         {{TICK(FENCE, FENCE, 0), UNSURE, "renew 7"}, {TICK(FENCE + 1, FENCE, 0), FENCED, NULL}}},
        {"renewals without watch reads: fenced",
         LEADER,
         {{TICK(FENCE - 100, 0, 0), UNSURE, "renew 7"},
          {RENEWED(FENCE, LEASE, OK, 0, 0), LEADING, NULL},
          {TICK(FENCE + 1, 0, 0), FENCED, NULL}}},
        {"renewals and watch reads: not fenced",
         LEADER,
         {{TICK(FENCE - 100, 0, 0), UNSURE, "renew 7"},
          {RENEWED(FENCE, LEASE, OK, FENCE - 100, 0), LEADING, NULL},
          {TICK(FENCE + 1, FENCE - 100, 0), LEADING, NULL}}},
        {"confirmed by every peer: not fenced while that is recent",
         LEADER,
         {{TICK(FENCE + 1, 0, 5000), UNSURE, "renew 7"},
          {TICK(5000 + FENCE, 0, 5000), UNSURE, NULL},
          {TICK(5000 + FENCE + 1, 0, 5000), FENCED, NULL}}},
        {"a fenced leader is confirmed again by its peers",
         LEADER,
         {{TICK(FENCE + 1, 0, 0), FENCED, "renew 7"}, {TICK(FENCE + 900, 0, FENCE + 500), UNSURE, NULL}}},
        {"a fenced leader reaches the store again",
         LEADER,
         {{TICK(FENCE + 1, 0, 0), FENCED, "renew 7"},
          {RENEWED(FENCE + 50, LEASE, OK, FENCE + 10, 0), LEADING, NULL}}},
        {"the process stalled: the first tick fences it",
         LEADER,
         {{TICK(800, 500, 500), LEADING, "renew 7"}, {TICK(60000, 500, 500), FENCED, NULL}}},
    };
    run_rows(rows, ROWS(rows));
}

static void unreachable_leaders_yield(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"a leader that no agent reaches lets others claim first",
         LEADER,
         {{TICK_UNREACHABLE(500), FOLLOWING, "revoke 7, lost"},
          {KEY_GONE(TERM + 1), FOLLOWING, NULL},
          {TICK(500 + TTL - 1, 0, 0), FOLLOWING, NULL},
          {TICK(500 + TTL, 0, 0), CLAIMING, "grant"}}},
        {"it does not claim while another node leads",
         LEADER,
         {{TICK_UNREACHABLE(500), FOLLOWING, "revoke 7, lost"},
          {KEY("n-1", 3, TERM + 2), FOLLOWING, NULL},
          {TICK(500 + TTL, 0, 0), FOLLOWING, NULL},
          {KEY_GONE(TERM + 3), FOLLOWING, NULL},
          {TICK(500 + TTL + 1, 0, 0), FOLLOWING, NULL},
          {TICK(500 + 2 * TTL, 0, 0), CLAIMING, "grant"}}},
        {"it may claim again after the yield duration",
         LEADER,
         {{TICK_UNREACHABLE(500), FOLLOWING, "revoke 7, lost"},
          {KEY("n-1", 3, TERM + 2), FOLLOWING, NULL},
          {TICK(499 + YIELD, 0, 0), FOLLOWING, NULL},
          {KEY_GONE(TERM + 3), FOLLOWING, NULL},
          {TICK(500 + YIELD, 0, 0), CLAIMING, "grant"}}},
        {"an unsure leader does not yield: in an outage nobody else could be elected",
         LEADER,
         {{TICK(SAFE_LEASE, 0, 0), UNSURE, "renew 7"}, {TICK_UNREACHABLE(SAFE_LEASE + 100), UNSURE, NULL}}},
    };
    run_rows(rows, ROWS(rows));
}

/* The term, which the leader sends to other nodes and to agents as their fencing token, is the key's
 * revision. */
static void term_is_the_key_revision(void **state) {
    (void)state;
    struct amb_election election = make_election(FOLLOWER);
    static const struct amb_election_input inputs[] = {
        {.event = AMB_ELECTION_TICK, .now = START},
        {.event = AMB_ELECTION_LEASE_GRANTED, .now = START + 1, .claim_id = 1, .lease_id = LEASE},
        {.event = AMB_ELECTION_CLAIM_ANSWERED, .now = START + 2, .claim_id = 1, .revision = TERM},
    };
    struct amb_election_output output;
    for (size_t i = 0; i < ROWS(inputs); i++) amb_election_step(&election, &inputs[i], &output);
    assert_int_equal(election.role, LEADING);
    assert_int_equal(election.term, TERM);
    assert_int_equal(election.highest_term, TERM);
    assert_int_equal(election.holder_revision, TERM);
    assert_string_equal(election.holder, "n-0");
    /* The revision at which the key is removed is not a term. */
    const struct amb_election_input gone = {
        .event = AMB_ELECTION_KEY_CHANGED, .now = START, .key = {.revision = TERM + 5}};
    amb_election_step(&election, &gone, &output);
    assert_int_equal(election.role, FOLLOWING);
    assert_int_equal(election.highest_term, TERM);
}

/* The check does not rely on a tick: after a stall, heartbeats that arrived meanwhile may be read before the
 * next tick. */
static void roles_that_answer_agents(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_election_role role;
        amb_ms at, watch, peers; /* since START */
        bool answers;
    } rows[] = {
        {"a leader", LEADING, 500, 0, 0, true},
        {"an unsure leader", UNSURE, FENCE, 0, 0, true},
        {"an unsure leader without contact for too long", UNSURE, FENCE + 1, 0, 0, false},
        {"a leader after a stall", LEADING, 60000, 0, 0, false},
        {"an unsure leader confirmed by its peers", UNSURE, FENCE + 1, 0, 500, true},
        {"a fenced leader with recent contact", FENCED, 500, 500, 500, false},
        {"a follower", FOLLOWING, 500, 500, 500, false},
        {"a candidate", CLAIMING, 500, 500, 500, false},
        {"a candidate that verifies its claim", VERIFYING, 500, 500, 500, false},
        {"a starting node", STARTING, 500, 500, 500, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_election election = make_election(LEADER);
        const struct amb_election_evidence evidence = {.watch_sent_at = START + rows[i].watch,
                                                       .peers_queried_at = START + rows[i].peers};
        election.role = rows[i].role;
        if (amb_election_may_answer_agents(&election, START + rows[i].at, &evidence) != rows[i].answers)
            fail_msg("%s", rows[i].what);
    }
}

/* Only a leader with a valid lease starts tasks, even if no tick has come since the lease may have expired.
 */
static void only_valid_leases_start_tasks(void **state) {
    (void)state;
    struct amb_election election = make_election(LEADER);
    assert_true(amb_election_has_valid_lease(&election, START + SAFE_LEASE - 1));
    assert_false(amb_election_has_valid_lease(&election, START + SAFE_LEASE));
    static const enum amb_election_role others[] = {STARTING, FOLLOWING, CLAIMING, VERIFYING, UNSURE, FENCED};
    for (size_t i = 0; i < ROWS(others); i++) {
        election.role = others[i];
        assert_false(amb_election_has_valid_lease(&election, START + 1));
    }
}

/* Tasks are started until the next renewal should have been answered, at 0.35 of the lease, long before the
 * lease ends. */
static void starts_require_a_recent_renewal(void **state) {
    (void)state;
    static const struct {
        const char *what;
        amb_ms at; /* since the last renewal was sent */
        bool recent;
    } rows[] = {
        {"just renewed", 0, true},
        {"when the next one is sent", TTL / 4, true},
        {"just before it should have been answered", TTL * 35 / 100 - 1, true},
        {"when it should have been answered", TTL * 35 / 100, false},
        {"while the lease is still valid", SAFE_LEASE - 1, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_election election = make_election(LEADER);
        if (amb_election_has_recent_renewal(&election, START + rows[i].at) != rows[i].recent)
            fail_msg("%s", rows[i].what);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(claims),
        cmocka_unit_test(unanswered_claims_are_verified),
        cmocka_unit_test(lease_renewal),
        cmocka_unit_test(loss_of_leadership),
        cmocka_unit_test(fencing_without_contact),
        cmocka_unit_test(unreachable_leaders_yield),
        cmocka_unit_test(only_valid_leases_start_tasks),
        cmocka_unit_test(starts_require_a_recent_renewal),
        cmocka_unit_test(roles_that_answer_agents),
        cmocka_unit_test(term_is_the_key_revision),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
