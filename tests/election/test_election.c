/* The election core, by tables: what happens when, and what the node then is and does. There is a row for
 * every sentence of "Leadership" in docs/safety.md that speaks of the node itself. */
#include "amberpin/election/state_machine.h"
#include "check.h"

enum {
    TTL = 3000,
    SURE = TTL - TTL / 10, /* after a renewal was sent */
    FENCE = 19000,         /* after the last news or word of the peers */
    SHUN = 10000,
    START = 100000, /* when the leader of the rows sent its claim, and had its news */
    LEASE = 7,      /* which its key hangs on */
    TERM = 50,
    NONCE = 900, /* of its claim, its first */
    OURS = 1,
};

/* ---- steps ---- */

struct step {
    struct amb_election_input in;
    enum amb_election_role role; /* afterwards */
    const char *actions;         /* as text; NULL: none */
};

#define EVENT(what, at) .event = AMB_ELECTION_##what, .now = START + (at)
#define EVIDENCE(news, peers)                                                                                \
    .evidence = {.watch_sent_at = START + (news), .peers_queried_at = START + (peers)}
/* Time passes; when the questions were sent that news and peers have answered, and whether no worker comes.
 */
#define TICK(at, news, peers) .in = {EVENT(TICK, at), EVIDENCE(news, peers)}
#define TICK_UNREACHABLE(at)                                                                                 \
    .in = {                                                                                                  \
        EVENT(TICK, at),                                                                                     \
        .evidence = {.watch_sent_at = START + (at), .peers_queried_at = START + (at), .unreachable = true}}
#define STORE_READ(at) .in = {EVENT(STORE_READ, at)}
#define GRANTED(at, which, id)                                                                               \
    .in = {EVENT(LEASE_GRANTED, at), .claim_id = which, .lease_id = id, .nonce = NONCE + which}
#define NOT_GRANTED(at, which) .in = {EVENT(LEASE_GRANTED, at), .claim_id = which, .result = AMB_CALL_REFUSED}
#define CLAIMED(at, which, how, under)                                                                       \
    .in = {EVENT(CLAIM_ANSWERED, at), .claim_id = which, .result = AMB_CALL_##how, .revision = under}
#define READ(at, which, how, by, under)                                                                      \
    .in = {EVENT(KEY_READ, at), .claim_id = which, .result = AMB_CALL_##how,                                 \
           .key = {.present = true, .member = "n-0", .nonce = by, .revision = under}}
#define RENEWED(at, id, how, news, peers)                                                                    \
    .in = {EVENT(LEASE_RENEWED, at), .lease_id = id, .result = AMB_CALL_##how, EVIDENCE(news, peers)}
#define KEY(who, by, under)                                                                                  \
    .in = {EVENT(KEY_CHANGED, 0), .key = {.present = true, .member = who, .nonce = by, .revision = under}}
#define KEY_GONE(under) .in = {EVENT(KEY_CHANGED, 0), .key = {.revision = under}}
#define TERM_SEEN(which) .in = {EVENT(TERM_SEEN, 0), .term = which}

enum start { NEW, FOLLOWER, LEADER };

enum { STEPS = 9 };

struct row {
    const char *what;
    enum start start;
    struct step steps[STEPS];
};

static struct amb_election begin(enum start start) {
    struct amb_election election = {
        .member = "n-0", .ttl = TTL, .fence_after = FENCE, .yield_duration = SHUN};
    if (start == NEW) return election;
    election.role = AMB_ROLE_FOLLOWER;
    election.key_known = true;
    if (start == FOLLOWER) return election;
    election.role = AMB_ROLE_LEADER;
    election.term = election.highest_term = election.holder_revision = TERM;
    strcpy(election.holder, "n-0");
    election.lease_id = LEASE;
    election.claim_id = OURS;
    election.nonce = election.holder_nonce = NONCE + OURS;
    election.claimed_at = election.renewed_at = election.renewal_sent_at = START;
    return election;
}

static const char *as_text(const struct amb_election_output *output, char *text, size_t cap) {
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
            len += (size_t)snprintf(text + len, cap - len, "extend %d", (int)action->lease_id);
            break;
        case AMB_ELECTION_REVOKE_LEASE:
            len += (size_t)snprintf(text + len, cap - len, "drop %d", (int)action->lease_id);
            break;
        case AMB_ELECTION_LEADERSHIP_WON: len += (size_t)snprintf(text + len, cap - len, "won"); break;
        case AMB_ELECTION_LEADERSHIP_LOST: len += (size_t)snprintf(text + len, cap - len, "lost"); break;
        }
    }
    return text;
}

static void play(const struct row *row) {
    struct amb_election election = begin(row->start);
    for (size_t k = 0; k < STEPS && (k == 0 || row->steps[k].in.now); k++) {
        const struct step *step = &row->steps[k];
        struct amb_election_output output;
        char text[128];
        enum amb_election_role before = election.role;
        amb_election_step(&election, &step->in, &output);
        as_text(&output, text, sizeof text);
        if (election.role != step->role || strcmp(text, step->actions ? step->actions : ""))
            fail_msg("%s, step %zu: role %d, wanted %d; actions '%s', wanted '%s'", row->what, k,
                     (int)election.role, (int)step->role, text, step->actions ? step->actions : "");
        if ((election.role != before) != (output.cause != NULL))
            fail_msg("%s, step %zu: cause", row->what, k);
    }
}

static void play_all(const struct row *rows, size_t count) {
    for (size_t i = 0; i < count; i++) play(&rows[i]);
}

#define STARTING AMB_ROLE_STARTING
#define FOLLOWING AMB_ROLE_FOLLOWER
#define CLAIMING AMB_ROLE_CANDIDATE
#define CHECKING AMB_ROLE_VERIFYING_CLAIM
#define LEADING AMB_ROLE_LEADER
#define UNSURE AMB_ROLE_UNSURE
#define FENCED AMB_ROLE_FENCED

/* ---- tables ---- */

static void claims(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"no claim before the state service has been read",
         NEW,
         {{TICK(0, 0, 0), STARTING, NULL},
          {STORE_READ(1), FOLLOWING, NULL},
          {TICK(2, 0, 0), FOLLOWING, NULL},
          {KEY_GONE(5), FOLLOWING, NULL},
          {TICK(3, 0, 0), CLAIMING, "grant"}}},
        {"a claim is a lease, then the key on it, while nobody holds it",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {GRANTED(5, 1, LEASE), CLAIMING, "commit on 7 over 0"},
          {CLAIMED(9, 1, OK, TERM), LEADING, "won"}}},
        {"none while another leads",
         FOLLOWER,
         {{KEY("n-1", 3, 10), FOLLOWING, NULL}, {TICK(9000, 0, 0), FOLLOWING, NULL}}},
        {"when its key goes, at once",
         FOLLOWER,
         {{KEY("n-1", 3, 10), FOLLOWING, NULL},
          {TICK(9000, 0, 0), FOLLOWING, NULL},
          {KEY_GONE(11), FOLLOWING, NULL},
          {TICK(9150, 0, 0), CLAIMING, "grant"}}},
        {"the key names our former self, which is dead: replaced at once",
         FOLLOWER,
         {{KEY("n-0", 3, 10), FOLLOWING, NULL},
          {TICK(0, 0, 0), CLAIMING, "grant"},
          {GRANTED(5, 1, LEASE), CLAIMING, "commit on 7 over 10"}}},
        {"but not when a higher term is known: then our news of the key are old",
         FOLLOWER,
         {{KEY("n-0", 3, 10), FOLLOWING, NULL},
          {TERM_SEEN(11), FOLLOWING, NULL},
          {TICK(0, 0, 0), FOLLOWING, NULL}}},
        {"no lease to be had: tried again after a quarter of a lease",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {NOT_GRANTED(5, 1), FOLLOWING, NULL},
          {TICK(TTL / 4, 0, 0), FOLLOWING, NULL},
          {TICK(TTL / 4 + 1, 0, 0), CLAIMING, "grant"}}},
        {"somebody else was first: the lease is dropped",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {GRANTED(5, 1, LEASE), CLAIMING, "commit on 7 over 0"},
          {CLAIMED(9, 1, CONFLICT, 0), FOLLOWING, "drop 7"}}},
        {"a claim that takes longer than its lease is given up",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {GRANTED(5, 1, LEASE), CLAIMING, "commit on 7 over 0"},
          {TICK(TTL, 0, 0), CLAIMING, NULL},
          {TICK(TTL + 1, 0, 0), FOLLOWING, "drop 7"},
          {CLAIMED(TTL + 2, 1, OK, TERM), FOLLOWING, NULL}}},
        {"an answer that comes when a newer term is known is given up",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {GRANTED(5, 1, LEASE), CLAIMING, "commit on 7 over 0"},
          {TERM_SEEN(TERM + 1), CLAIMING, NULL},
          {CLAIMED(9, 1, OK, TERM), FOLLOWING, "drop 7"}}},
        {"so is one that comes when the key is known to be gone again",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {GRANTED(5, 1, LEASE), CLAIMING, "commit on 7 over 0"},
          {KEY_GONE(TERM + 1), CLAIMING, NULL},
          {CLAIMED(9, 1, OK, TERM), FOLLOWING, "drop 7"}}},
        {"older news of the key change nothing",
         FOLLOWER,
         {{KEY("n-1", 3, 10), FOLLOWING, NULL},
          {KEY_GONE(9), FOLLOWING, NULL},
          {TICK(9000, 0, 0), FOLLOWING, NULL}}},
        {"an answer to an earlier claim counts for nothing",
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
    play_all(rows, ROWS(rows));
}

#define LOST_CLAIM                                                                                           \
    {TICK(0, 0, 0), CLAIMING, "grant"}, {GRANTED(5, 1, LEASE), CLAIMING, "commit on 7 over 0"}, {            \
        CLAIMED(9, 1, NO_ANSWER, 0), CHECKING, "read"                                                        \
    }

static void claims_without_an_answer(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"read back: carried out",
         FOLLOWER,
         {LOST_CLAIM, {READ(20, 1, OK, NONCE + 1, TERM), LEADING, "won"}}},
        {"another's nonce: it was not",
         FOLLOWER,
         {LOST_CLAIM, {READ(20, 1, OK, 3, TERM), FOLLOWING, "drop 7"}}},
        {"no key: it was not, and can't be once its lease is dropped",
         FOLLOWER,
         {LOST_CLAIM, {READ(20, 1, NOT_FOUND, 0, 0), FOLLOWING, "drop 7"}}},
        {"carried out, but a newer term is known",
         FOLLOWER,
         {LOST_CLAIM,
          {TERM_SEEN(TERM + 1), CHECKING, NULL},
          {READ(20, 1, OK, NONCE + 1, TERM), FOLLOWING, "drop 7"}}},
        {"it can't be read: given up after two leases",
         FOLLOWER,
         {LOST_CLAIM,
          {READ(1000, 1, NO_ANSWER, 0, 0), CHECKING, NULL},
          {TICK(2 * TTL, 0, 0), CHECKING, NULL},
          {TICK(2 * TTL + 1, 0, 0), FOLLOWING, "drop 7"},
          {READ(2 * TTL + 2, 1, OK, NONCE + 1, TERM), FOLLOWING, NULL}}},
        {"what was read for an earlier claim counts for nothing",
         FOLLOWER,
         {LOST_CLAIM,
          {TICK(2 * TTL + 1, 0, 0), FOLLOWING, "drop 7"},
          {TICK(2 * TTL + 2, 0, 0), CLAIMING, "grant"},
          {GRANTED(2 * TTL + 5, 2, 8), CLAIMING, "commit on 8 over 0"},
          {CLAIMED(2 * TTL + 9, 2, NO_ANSWER, 0), CHECKING, "read"},
          {READ(2 * TTL + 10, 1, NOT_FOUND, 0, 0), CHECKING, NULL}}},
        {"carried out late, when given up: the key names our former self",
         FOLLOWER,
         {LOST_CLAIM,
          {READ(20, 1, NOT_FOUND, 0, 0), FOLLOWING, "drop 7"},
          {KEY("n-0", NONCE + 1, TERM), FOLLOWING, NULL},
          {TICK(TTL, 0, 0), CLAIMING, "grant"},
          {GRANTED(TTL + 5, 2, 8), CLAIMING, "commit on 8 over 50"}}},
    };
    play_all(rows, ROWS(rows));
}

static void keeping_the_lease(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"renewed four times a lease",
         LEADER,
         {{TICK(TTL / 4 - 1, 0, 0), LEADING, NULL},
          {TICK(TTL / 4, 0, 0), LEADING, "extend 7"},
          {TICK(TTL / 2, 0, 0), LEADING, NULL},
          {RENEWED(TTL / 2, LEASE, OK, 0, 0), LEADING, NULL},
          {TICK(TTL / 2, 0, 0), LEADING, "extend 7"}}},
        {"it counts from when the claim began, less a tenth",
         FOLLOWER,
         {{TICK(0, 0, 0), CLAIMING, "grant"},
          {GRANTED(400, 1, LEASE), CLAIMING, "commit on 7 over 0"},
          {CLAIMED(900, 1, OK, TERM), LEADING, "won"},
          {TICK(SURE - 1, 0, 0), LEADING, "extend 7"},
          {TICK(SURE, 0, 0), UNSURE, NULL}}},
        {"and then from when a renewal was sent",
         LEADER,
         {{TICK(TTL / 4, 0, 0), LEADING, "extend 7"},
          {RENEWED(2000, LEASE, OK, 0, 0), LEADING, NULL},
          {TICK(TTL / 4 + SURE - 1, 0, 0), LEADING, "extend 7"},
          {TICK(TTL / 4 + SURE, 0, 0), UNSURE, NULL}}},
        {"an unsure leader whose renewal is answered is sure again",
         LEADER,
         {{TICK(SURE, 0, 0), UNSURE, "extend 7"}, {RENEWED(SURE + 500, LEASE, OK, SURE, 0), LEADING, NULL}}},
        {"a renewal that fails is tried again",
         LEADER,
         {{TICK(800, 0, 0), LEADING, "extend 7"},
          {RENEWED(1000, LEASE, REFUSED, 0, 0), LEADING, NULL},
          {TICK(1500, 0, 0), LEADING, NULL},
          {TICK(1550, 0, 0), LEADING, "extend 7"}}},
        {"no such lease: the lead is lost",
         LEADER,
         {{TICK(800, 0, 0), LEADING, "extend 7"},
          {RENEWED(1000, LEASE, NOT_FOUND, 0, 0), FOLLOWING, "drop 7, lost"}}},
        {"the answer to a renewal of an earlier lease counts for nothing",
         LEADER,
         {{TICK(800, 0, 0), LEADING, "extend 7"},
          {RENEWED(1000, LEASE - 1, NOT_FOUND, 0, 0), LEADING, NULL},
          {RENEWED(1000, LEASE - 1, OK, 0, 0), LEADING, NULL},
          {TICK(SURE, 0, 0), UNSURE, NULL}}},
        {"nor does one that comes when the lead is lost",
         LEADER,
         {{TICK(800, 0, 0), LEADING, "extend 7"},
          {TERM_SEEN(TERM + 1), FOLLOWING, "drop 7, lost"},
          {RENEWED(1000, LEASE, OK, 0, 0), FOLLOWING, NULL}}},
    };
    play_all(rows, ROWS(rows));
}

static void losing_the_lead(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"a higher term is shown", LEADER, {{TERM_SEEN(TERM + 1), FOLLOWING, "drop 7, lost"}}},
        {"our own is", LEADER, {{TERM_SEEN(TERM), LEADING, NULL}}},
        {"a fenced leader hears of a higher term",
         LEADER,
         {{TICK(FENCE + 1, 0, 0), FENCED, "extend 7"}, {TERM_SEEN(TERM + 1), FOLLOWING, "drop 7, lost"}}},
        {"the key names another", LEADER, {{KEY("n-1", 3, TERM + 1), FOLLOWING, "drop 7, lost"}}},
        {"the key is gone", LEADER, {{KEY_GONE(TERM + 1), FOLLOWING, "drop 7, lost"}}},
        {"news of our own claim", LEADER, {{KEY("n-0", NONCE + 1, TERM), LEADING, NULL}}},
        {"news of before it",
         LEADER,
         {{KEY("n-1", 3, TERM - 1), LEADING, NULL}, {KEY_GONE(TERM - 1), LEADING, NULL}}},
    };
    play_all(rows, ROWS(rows));
}

/* A cancellation that we do not know of was told, at the earliest, after the last question was sent whose
 * answer would have told of it. FENCE later, to the millisecond, no report is answered any more. */
static void without_news(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"neither news nor word: fenced in time",
         LEADER,
         {{TICK(FENCE, 0, 0), UNSURE, "extend 7"}, {TICK(FENCE + 1, 0, 0), FENCED, NULL}}},
        {"news do not help without renewals",
         LEADER,
         {{TICK(FENCE, FENCE, 0), UNSURE, "extend 7"}, {TICK(FENCE + 1, FENCE, 0), FENCED, NULL}}},
        {"nor renewals without news",
         LEADER,
         {{TICK(FENCE - 100, 0, 0), UNSURE, "extend 7"},
          {RENEWED(FENCE, LEASE, OK, 0, 0), LEADING, NULL},
          {TICK(FENCE + 1, 0, 0), FENCED, NULL}}},
        {"both do",
         LEADER,
         {{TICK(FENCE - 100, 0, 0), UNSURE, "extend 7"},
          {RENEWED(FENCE, LEASE, OK, FENCE - 100, 0), LEADING, NULL},
          {TICK(FENCE + 1, FENCE - 100, 0), LEADING, NULL}}},
        {"so does the word of every peer, for as long as it is fresh",
         LEADER,
         {{TICK(FENCE + 1, 0, 5000), UNSURE, "extend 7"},
          {TICK(5000 + FENCE, 0, 5000), UNSURE, NULL},
          {TICK(5000 + FENCE + 1, 0, 5000), FENCED, NULL}}},
        {"a fenced leader whose peers confirm it again",
         LEADER,
         {{TICK(FENCE + 1, 0, 0), FENCED, "extend 7"}, {TICK(FENCE + 900, 0, FENCE + 500), UNSURE, NULL}}},
        {"one that is served again",
         LEADER,
         {{TICK(FENCE + 1, 0, 0), FENCED, "extend 7"},
          {RENEWED(FENCE + 50, LEASE, OK, FENCE + 10, 0), LEADING, NULL}}},
        {"it stood still all the while: the first tick finds it",
         LEADER,
         {{TICK(800, 500, 500), LEADING, "extend 7"}, {TICK(60000, 500, 500), FENCED, NULL}}},
    };
    play_all(rows, ROWS(rows));
}

static void unreachable(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"a leader that no worker reaches lets others claim first",
         LEADER,
         {{TICK_UNREACHABLE(500), FOLLOWING, "drop 7, lost"},
          {KEY_GONE(TERM + 1), FOLLOWING, NULL},
          {TICK(500 + TTL - 1, 0, 0), FOLLOWING, NULL},
          {TICK(500 + TTL, 0, 0), CLAIMING, "grant"}}},
        {"for as long as there is another",
         LEADER,
         {{TICK_UNREACHABLE(500), FOLLOWING, "drop 7, lost"},
          {KEY("n-1", 3, TERM + 2), FOLLOWING, NULL},
          {TICK(500 + TTL, 0, 0), FOLLOWING, NULL},
          {KEY_GONE(TERM + 3), FOLLOWING, NULL},
          {TICK(500 + TTL + 1, 0, 0), FOLLOWING, NULL},
          {TICK(500 + 2 * TTL, 0, 0), CLAIMING, "grant"}}},
        {"and not for ever",
         LEADER,
         {{TICK_UNREACHABLE(500), FOLLOWING, "drop 7, lost"},
          {KEY("n-1", 3, TERM + 2), FOLLOWING, NULL},
          {TICK(499 + SHUN, 0, 0), FOLLOWING, NULL},
          {KEY_GONE(TERM + 3), FOLLOWING, NULL},
          {TICK(500 + SHUN, 0, 0), CLAIMING, "grant"}}},
        {"an unsure leader keeps the lead: in an outage nobody else could be elected",
         LEADER,
         {{TICK(SURE, 0, 0), UNSURE, "extend 7"}, {TICK_UNREACHABLE(SURE + 100), UNSURE, NULL}}},
    };
    play_all(rows, ROWS(rows));
}

/* Its term is what it tells other nodes, and workers as their token. */
static void term_of_a_leader(void **state) {
    (void)state;
    struct amb_election election = begin(FOLLOWER);
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
    /* That the key is gone is nobody's term. */
    const struct amb_election_input gone = {
        .event = AMB_ELECTION_KEY_CHANGED, .now = START, .key = {.revision = TERM + 5}};
    amb_election_step(&election, &gone, &output);
    assert_int_equal(election.role, FOLLOWING);
    assert_int_equal(election.highest_term, TERM);
}

/* Whether or not a tick has come since: after a stall, reports that came meanwhile may be read before it. */
static void answers(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_election_role role;
        amb_ms at, news, peers;
        bool answers;
    } rows[] = {
        {"a leader", LEADING, 500, 0, 0, true},
        {"an unsure one", UNSURE, FENCE, 0, 0, true},
        {"an unsure one without news for too long", UNSURE, FENCE + 1, 0, 0, false},
        {"a leader that stood still", LEADING, 60000, 0, 0, false},
        {"the peers confirm it", UNSURE, FENCE + 1, 0, 500, true},
        {"a fenced one whose news came just now", FENCED, 500, 500, 500, false},
        {"a follower", FOLLOWING, 500, 500, 500, false},
        {"one that claims", CLAIMING, 500, 500, 500, false},
        {"one that checks its claim", CHECKING, 500, 500, 500, false},
        {"one that begins", STARTING, 500, 500, 500, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_election election = begin(LEADER);
        const struct amb_election_evidence evidence = {.watch_sent_at = START + rows[i].news,
                                                       .peers_queried_at = START + rows[i].peers};
        election.role = rows[i].role;
        if (amb_election_may_answer_agents(&election, START + rows[i].at, &evidence) != rows[i].answers)
            fail_msg("%s", rows[i].what);
    }
}

/* Only a sure leader starts tasks, whether or not a tick has come since its lease may have run out. */
static void starts(void **state) {
    (void)state;
    struct amb_election election = begin(LEADER);
    assert_true(amb_election_has_valid_lease(&election, START + SURE - 1));
    assert_false(amb_election_has_valid_lease(&election, START + SURE));
    static const enum amb_election_role others[] = {STARTING, FOLLOWING, CLAIMING, CHECKING, UNSURE, FENCED};
    for (size_t i = 0; i < ROWS(others); i++) {
        election.role = others[i];
        assert_false(amb_election_has_valid_lease(&election, START + 1));
    }
}

/* Starts go out until a renewal should have been answered, at 0.35 of the lease: long before it ends. */
static void orders_need_the_state_service(void **state) {
    (void)state;
    static const struct {
        const char *what;
        amb_ms at; /* since the last renewal was sent */
        bool in_touch;
    } rows[] = {
        {"just renewed", 0, true},
        {"when the next one is sent", TTL / 4, true},
        {"when it should have been answered", TTL * 35 / 100 - 1, true},
        {"then", TTL * 35 / 100, false},
        {"while the lease is still sure", SURE - 1, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_election election = begin(LEADER);
        if (amb_election_has_recent_renewal(&election, START + rows[i].at) != rows[i].in_touch)
            fail_msg("%s", rows[i].what);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(claims),
        cmocka_unit_test(claims_without_an_answer),
        cmocka_unit_test(keeping_the_lease),
        cmocka_unit_test(losing_the_lead),
        cmocka_unit_test(without_news),
        cmocka_unit_test(unreachable),
        cmocka_unit_test(starts),
        cmocka_unit_test(orders_need_the_state_service),
        cmocka_unit_test(answers),
        cmocka_unit_test(term_of_a_leader),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
