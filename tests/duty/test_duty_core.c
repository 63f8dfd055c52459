/* The core of single-holder duties: sequences of events, and the state of the duty and the actions expected
 * after each. Most tests enable only one duty, rent, so that no other actions interfere. */
#include "amberpin/duty/core.h"
#include "check.h"

enum {
    TTL = 3000,
    LIST_SPAN = 10000,
    BACKOFF = 500,
    LOCAL_TTL = TTL - 3 - TTL / 20, /* local validity, counted from the sending of a renewal */
    START = 100000,
    LEASE = 7,
    INCARNATION = 20, /* revision of the member key of n-0 */
    CLAIM = 50,       /* revision of the claim of n-0 */
    THEIR_INCARNATION = 10,
    MAX_INTENTS = 3,
};

static struct amb_duty_core core;
static struct amb_duty_intent storage[MAX_INTENTS];
static struct amb_duty_output out;
static char actions_text[512];

/* ---- actions as text ---- */

static void append(const char *format, ...) __attribute__((format(printf, 1, 2)));
static void append(const char *format, ...) {
    size_t length = strlen(actions_text);
    va_list args;
    va_start(args, format);
    if (length) length += (size_t)snprintf(actions_text + length, sizeof actions_text - length, ", ");
    vsnprintf(actions_text + length, sizeof actions_text - length, format, args);
    va_end(args);
}

static const char *intent_state_text(const struct amb_duty_intent_record *intent) {
    static const char *const results[] = {"", "done", "refused", "malformed", "gone", "void"};
    if (intent->state == AMB_DUTY_INTENT_SETTLED) return results[intent->result];
    return intent->state == AMB_DUTY_INTENT_SENT ? "sent" : "wanted";
}

static void append_action(const struct amb_duty_action *action) {
    switch (action->type) {
    case AMB_DUTY_GRANT_LEASE: append("grant"); break;
    case AMB_DUTY_EXTEND_LEASE: append("extend %d", (int)action->lease); break;
    case AMB_DUTY_REVOKE_LEASE: append("drop %d", (int)action->lease); break;
    case AMB_DUTY_PUT_MEMBER:
        append("join on %d over %d", (int)action->lease, (int)action->expected_revision);
        break;
    case AMB_DUTY_READ_MEMBER: append("read %s", action->expected_member.member); break;
    case AMB_DUTY_READ_RECORD: append("read record"); break;
    case AMB_DUTY_READ_INTENT: append("read %s", action->intent.id); break;
    case AMB_DUTY_LIST_INTENTS: append("list"); break;
    case AMB_DUTY_COMMIT_RECORD:
        if (action->record.state == AMB_DUTY_RECORD_RELEASED)
            append("release %d for '%s' over %d", (int)action->record.fencing_token, action->record.successor,
                   (int)action->expected_revision);
        else
            append("claim %d over %d, %s%s%d, self %d", (int)action->record.fencing_token,
                   (int)action->expected_revision, action->expected_member.member,
                   action->expected_member.member[0] ? " " : "none ", (int)action->expected_member.revision,
                   (int)action->expected_incarnation);
        break;
    case AMB_DUTY_COMMIT_INTENT:
        append("%s %s by %d over %d/%d, %d unanswered", action->intent.id, intent_state_text(&action->intent),
               (int)action->intent.fencing_token, (int)action->expected_revision,
               (int)action->intent.revision, (int)action->intent.unanswered);
        break;
    case AMB_DUTY_REMOVE_INTENT:
        append("remove %s over %d/%d", action->intent.id, (int)action->expected_revision,
               (int)action->intent.revision);
        break;
    case AMB_DUTY_CALL_CLOUD: append("call %s by %d", action->intent.id, (int)action->fencing_token); break;
    case AMB_DUTY_STATE_CHANGED: break; /* the tests check the state itself */
    }
}

/* Number of the latest call, for its response. */
static uint64_t last_call(void) {
    return core.call_counter;
}

static const char *step(struct amb_duty_event event) {
    amb_duty_core_step(&core, &event, &out);
    actions_text[0] = 0;
    for (uint32_t i = 0; i < out.count; i++) append_action(&out.actions[i]);
    return actions_text;
}

/* ---- events ---- */

#define AT(when) .now = START + (when)

static struct amb_duty_event tick(amb_ms at) {
    return (struct amb_duty_event){.type = AMB_DUTY_TICK, AT(at)};
}

static struct amb_duty_event committed(amb_ms at, enum amb_call_result result, uint64_t revision) {
    return (struct amb_duty_event){
        .type = AMB_DUTY_COMMITTED, AT(at), .call = last_call(), .result = result, .revision = revision};
}

static struct amb_duty_event answered(amb_ms at, enum amb_duty_cloud_answer answer) {
    return (struct amb_duty_event){
        .type = AMB_DUTY_CLOUD_ANSWERED, AT(at), .call = last_call(), .answer = answer};
}

static struct amb_duty_event extended(amb_ms at, enum amb_call_result result) {
    return (struct amb_duty_event){
        .type = AMB_DUTY_LEASE_EXTENDED, AT(at), .call = last_call(), .result = result};
}

static struct amb_duty_event granted(amb_ms at, enum amb_call_result result, uint64_t lease) {
    return (struct amb_duty_event){
        .type = AMB_DUTY_LEASE_GRANTED, AT(at), .call = last_call(), .result = result, .lease = lease};
}

static struct amb_duty_event member(amb_ms at, const char *name, bool present, uint64_t revision,
                                    uint64_t nonce) {
    struct amb_duty_event event = {.type = AMB_DUTY_MEMBER_CHANGED,
                                   AT(at),
                                   .member = {.present = present, .nonce = nonce, .revision = revision}};
    strcpy(event.member.member, name);
    return event;
}

static struct amb_duty_event record(amb_ms at, const char *holder, uint64_t incarnation,
                                    uint64_t fencing_token, uint64_t revision) {
    struct amb_duty_event event = {.type = AMB_DUTY_RECORD_CHANGED,
                                   AT(at),
                                   .duty = AMB_DUTY_RENT,
                                   .record = {.present = revision != 0,
                                              .holder_incarnation = incarnation,
                                              .fencing_token = fencing_token,
                                              .revision = revision}};
    strcpy(event.record.holder, holder);
    return event;
}

static struct amb_duty_event released(amb_ms at, const char *holder, uint64_t fencing_token,
                                      uint64_t revision, const char *successor) {
    struct amb_duty_event event = record(at, holder, THEIR_INCARNATION, fencing_token, revision);
    event.record.state = AMB_DUTY_RECORD_RELEASED;
    strcpy(event.record.successor, successor);
    return event;
}

static struct amb_duty_event intent_event(amb_ms at, enum amb_duty_intent_state state, uint64_t fencing_token,
                                          uint64_t revision) {
    return (struct amb_duty_event){.type = AMB_DUTY_INTENT_CHANGED,
                                   AT(at),
                                   .intent = {.present = true,
                                              .id = "o-1",
                                              .duty = AMB_DUTY_RENT,
                                              .state = state,
                                              .fencing_token = fencing_token,
                                              .revision = revision}};
}

static struct amb_duty_event drain(amb_ms at, const char *successor) {
    struct amb_duty_event event = {.type = AMB_DUTY_DRAIN_REQUESTED, AT(at), .duty = AMB_DUTY_RENT};
    strcpy(event.successor, successor);
    return event;
}

/* ---- checks ---- */

static void expect_at(int line, struct amb_duty_event event, enum amb_duty_state state, const char *actions) {
    step(event);
    enum amb_duty_state is = core.duties[AMB_DUTY_RENT].state;
    if (is != state || strcmp(actions_text, actions) != 0)
        fail_msg("line %d: %s, wanted %s; '%s', wanted '%s'", line, amb_duty_state_text(is),
                 amb_duty_state_text(state), actions_text, actions);
}
#define EXPECT(event, state, actions) expect_at(__LINE__, event, AMB_DUTY_##state, actions)

static bool may_call(amb_ms at) {
    return amb_duty_may_call(&core, AMB_DUTY_RENT, START + at);
}

/* ---- initial states ---- */

static struct amb_duty_settings settings_for(enum amb_duty_name duty) {
    struct amb_duty_settings settings = amb_duty_settings_default(TTL, LIST_SPAN);
    for (int i = 0; i < AMB_DUTY_COUNT; i++) settings.enabled[i] = i == (int)duty;
    return settings;
}

static void start(void) {
    struct amb_duty_settings settings = settings_for(AMB_DUTY_RENT);
    amb_duty_core_init(&core, &settings, "n-0", 1, storage, MAX_INTENTS);
}

/* Starts member n-0 while n-1 holds the duty under token 3. */
static void join(void) {
    start();
    step(tick(0));
    step(granted(1, AMB_CALL_OK, LEASE));
    step(committed(2, AMB_CALL_OK, INCARNATION));
    step(member(3, "n-1", true, THEIR_INCARNATION, 1));
    step(record(4, "n-1", THEIR_INCARNATION, 3, 15));
}

/* Starts member n-0, which then holds the duty under token 4. */
static void hold(void) {
    join();
    step(member(5, "n-1", false, 30, 0));
    step(committed(6, AMB_CALL_OK, CLAIM));
    assert_int_equal(core.duties[AMB_DUTY_RENT].state, AMB_DUTY_HELD);
}

/* ---- the member's lease and key ---- */

static void joining(void **state) {
    (void)state;
    start();
    EXPECT(tick(0), IDLE, "grant");
    EXPECT(tick(1), IDLE, "");
    EXPECT(granted(5, AMB_CALL_OK, LEASE), IDLE, "join on 7 over 0");
    EXPECT(committed(9, AMB_CALL_OK, INCARNATION), IDLE, "");
    assert_int_equal(core.incarnation.state, AMB_DUTY_INCARNATION_LIVE);
    assert_int_equal(amb_duty_lease_remaining(&core.incarnation.lease, &core.settings, START), LOCAL_TTL);
    EXPECT(tick(TTL / 4 - 1), IDLE, "");
    EXPECT(tick(TTL / 4), IDLE, "extend 7");
    EXPECT(tick(TTL / 4 + 1), IDLE, ""); /* one renewal at a time */
    EXPECT(extended(1000, AMB_CALL_OK), IDLE, "");
    assert_int_equal(core.incarnation.lease.valid_from, START + TTL / 4);
}

static void joining_with_failures(void **state) {
    (void)state;
    start();
    step(tick(0));
    EXPECT(granted(5, AMB_CALL_REFUSED, 0), IDLE, "");
    EXPECT(tick(6), IDLE, ""); /* waits for the backoff */
    EXPECT(tick(5 + 2 * BACKOFF), IDLE, "grant");
    uint64_t call = last_call();
    EXPECT(tick(5 + 2 * BACKOFF + 900), IDLE, ""); /* no response: the request counts as lost */
    assert_int_equal(core.incarnation.state, AMB_DUTY_INCARNATION_NONE);
    /* The response comes late: its lease is revoked. */
    EXPECT(((struct amb_duty_event){
               .type = AMB_DUTY_LEASE_GRANTED, AT(2000), .call = call, .result = AMB_CALL_OK, .lease = 3}),
           IDLE, "drop 3");
    EXPECT(tick(5000), IDLE, "grant");
    EXPECT(granted(5001, AMB_CALL_OK, LEASE), IDLE, "join on 7 over 0");
    /* No response to the write: the key is read to see whether it was committed. */
    EXPECT(committed(5002, AMB_CALL_NO_ANSWER, 0), IDLE, "read n-0");
    EXPECT(member(5003, "n-0", false, 12, 0), IDLE, "join on 7 over 0");
    EXPECT(committed(5004, AMB_CALL_CONFLICT, 0), IDLE, "read n-0"); /* the first write was committed late */
    EXPECT(member(5005, "n-0", true, 14, core.incarnation.nonce), IDLE, "");
    assert_int_equal(core.incarnation.state, AMB_DUTY_INCARNATION_LIVE);
    assert_int_equal(core.incarnation.revision, 14);
}

static void joining_over_a_previous_incarnation(void **state) {
    (void)state;
    start();
    step(member(0, "n-0", true, 9, 1234));
    step(granted(5, AMB_CALL_OK, LEASE));
    assert_string_equal(actions_text, "join on 7 over 9");
    EXPECT(committed(6, AMB_CALL_OK, INCARNATION), IDLE, "");
    /* The record names an incarnation that is over. */
    EXPECT(record(7, "n-0", 9, 3, 8), CANDIDATE, "claim 4 over 8, none 0, self 20");
}

static void member_key_is_written_under_a_valid_lease(void **state) {
    (void)state;
    start();
    step(tick(0));
    step(granted(5, AMB_CALL_OK, LEASE));
    EXPECT(tick(LOCAL_TTL - 1), IDLE, "read n-0"); /* the write has timed out */
    EXPECT(tick(LOCAL_TTL), IDLE, "drop 7");
    assert_int_equal(core.incarnation.state, AMB_DUTY_INCARNATION_NONE);
}

static void losing_the_member_lease(void **state) {
    (void)state;
    hold();
    step(tick(TTL / 4));
    EXPECT(extended(800, AMB_CALL_NOT_FOUND), LOST, "drop 7");
    assert_false(may_call(801));
    EXPECT(tick(800 + BACKOFF - 1), LOST, "");
    EXPECT(tick(800 + BACKOFF), IDLE, "");

    hold();
    EXPECT(member(100, "n-0", false, 60, 0), LOST, "drop 7");

    hold();
    /* Another process uses the same member name. */
    EXPECT(member(100, "n-0", true, 60, 4321), LOST, "drop 7");

    hold();
    EXPECT(member(100, "n-0", false, INCARNATION - 1, 0), HELD, ""); /* an outdated change */
    EXPECT(member(100, "n-0", true, INCARNATION, core.incarnation.nonce), HELD, "");
}

/* ---- claims ---- */

static void claiming(void **state) {
    (void)state;
    join();
    EXPECT(tick(10), IDLE, "");
    EXPECT(member(11, "n-1", false, THEIR_INCARNATION - 1, 0), IDLE, ""); /* an outdated change */
    /* The only live member claims at once, and compares the record, the absence of the holder's key and its
     * own key. */
    EXPECT(member(20, "n-1", false, 30, 0), CANDIDATE, "claim 4 over 15, n-1 0, self 20");
    assert_false(may_call(21));
    EXPECT(committed(30, AMB_CALL_OK, CLAIM), HELD, "");
    assert_int_equal(core.duties[AMB_DUTY_RENT].fencing_token, 4);
    assert_true(may_call(31));
    EXPECT(record(40, "n-0", INCARNATION, 4, CLAIM), HELD, ""); /* the change of its own write */
    EXPECT(committed(41, AMB_CALL_CONFLICT, 0), HELD, "");      /* a copy of a response */
}

static void claiming_over_a_new_incarnation(void **state) {
    (void)state;
    join();
    /* The holder restarted before the absence of its key was received. */
    EXPECT(member(20, "n-1", true, 35, 2), CANDIDATE, "");
    EXPECT(tick(20 + 2 * BACKOFF), CANDIDATE, "extend 7, claim 4 over 15, n-1 35, self 20");
}

static void the_first_claim_ever(void **state) {
    (void)state;
    start();
    step(tick(0));
    step(granted(1, AMB_CALL_OK, LEASE));
    step(committed(2, AMB_CALL_OK, INCARNATION));
    EXPECT(tick(3), IDLE, ""); /* the record is not known yet */
    EXPECT(record(4, "", 0, 0, 0), CANDIDATE, "claim 1 over 0, none 0, self 20");
    EXPECT(committed(5, AMB_CALL_OK, CLAIM), HELD, "");
}

static void concurrent_claims(void **state) {
    (void)state;
    join();
    step(member(20, "n-1", false, 30, 0));
    EXPECT(committed(30, AMB_CALL_CONFLICT, 0), CANDIDATE, "read record, read n-1");
    EXPECT(record(31, "n-2", 25, 4, 40), CANDIDATE, ""); /* n-2 is not known to be alive */
    EXPECT(member(32, "n-2", true, 25, 3), IDLE, "");

    /* The response comes after the change by which another member claimed later. */
    join();
    step(member(20, "n-1", false, 30, 0));
    step(member(21, "n-2", true, 31, 3));
    EXPECT(record(22, "n-2", 31, 5, 60), CANDIDATE, "");
    EXPECT(committed(30, AMB_CALL_OK, CLAIM), IDLE, "read record, read n-2");
    assert_false(may_call(31));
}

static void claims_without_an_answer(void **state) {
    (void)state;
    join();
    step(member(20, "n-1", false, 30, 0));
    EXPECT(committed(30, AMB_CALL_NO_ANSWER, 0), CANDIDATE, "read record");
    EXPECT(record(31, "n-1", THEIR_INCARNATION, 3, 15), CANDIDATE, ""); /* not committed yet */
    EXPECT(tick(31 + BACKOFF * 2), CANDIDATE, "extend 7, claim 4 over 15, n-1 0, self 20");
    /* The first copy was committed after all. */
    EXPECT(committed(1100, AMB_CALL_CONFLICT, 0), CANDIDATE, "read record, read n-1");
    EXPECT(record(1101, "n-0", INCARNATION, 4, CLAIM), HELD, "");
    assert_int_equal(core.duties[AMB_DUTY_RENT].revision, CLAIM);

    /* No response at all: the core itself detects the timeout. */
    join();
    step(member(20, "n-1", false, 30, 0));
    EXPECT(tick(20 + 900), CANDIDATE, "extend 7, read record");
}

static void higher_ranked_members_claim_first(void **state) {
    (void)state;
    join();
    step(member(5, "n-2", true, 11, 2));
    /* n-2 is flapping, so it ranks last. */
    step(member(6, "n-2", false, 12, 0));
    step(member(7, "n-2", true, 13, 3));
    step(member(8, "n-2", false, 14, 0));
    step(member(9, "n-2", true, 16, 4));
    EXPECT(member(20, "n-1", false, 30, 0), CANDIDATE, "claim 4 over 15, n-1 0, self 20");

    /* This member is flapping, so the others claim first. */
    join();
    step(member(5, "n-2", true, 11, 2));
    amb_duty_member_note_loss(&core.members[0], START + 6);
    amb_duty_member_note_loss(&core.members[0], START + 7);
    EXPECT(member(20, "n-1", false, 30, 0), CANDIDATE, "");
    EXPECT(tick(20 + BACKOFF - 1), CANDIDATE, "");
    EXPECT(tick(20 + BACKOFF * 3 / 2 + 1), CANDIDATE, "extend 7, claim 4 over 15, n-1 0, self 20");
}

/* Jitter and backoff keep members of the same rank, or that fail together, from claiming in lockstep. */
static void backoff_and_jitter(void **state) {
    (void)state;
    amb_ms earliest = INT64_MAX, latest = 0;
    for (uint64_t seed = 1; seed <= 20; seed++) {
        join();
        core.random_state = seed;
        step(member(5, "n-2", true, 11, 2));
        EXPECT(released(20, "n-1", 3, 30, "n-2"), CANDIDATE, "");
        amb_ms wait = core.duties[AMB_DUTY_RENT].claim_at - START - 20;
        uint32_t rank =
            amb_duty_rank(core.members, AMB_DUTY_MAX_MEMBERS, AMB_DUTY_RENT, "n-0", TTL, START) + 1;
        assert_in_range(wait, rank * BACKOFF, rank * BACKOFF + BACKOFF / 2);
        if (wait < earliest) earliest = wait;
        if (wait > latest) latest = wait;
    }
    assert_true(latest - earliest > BACKOFF / 4);

    /* Each failure doubles the wait, up to a limit. */
    join();
    step(member(20, "n-1", false, 30, 0));
    amb_ms at = 30;
    for (uint32_t failures = 0; failures < 8; failures++) {
        uint32_t doublings = failures < 4 ? failures : 4;
        step(committed(at, AMB_CALL_REFUSED, 0));
        amb_ms wait = core.duties[AMB_DUTY_RENT].claim_at - START - at;
        assert_in_range(wait, BACKOFF << doublings, (BACKOFF << doublings) * 3 / 2);
        at += wait;
        core.incarnation.lease.valid_from = START + at;
        core.incarnation.last_renewal_at = START + at;
        step(tick(at));
    }
}

static void named_successor_claims_first(void **state) {
    (void)state;
    join();
    EXPECT(released(20, "n-1", 3, 30, "n-0"), CANDIDATE, "claim 4 over 30, none 0, self 20");

    join();
    step(member(5, "n-2", true, 11, 2));
    EXPECT(released(20, "n-1", 3, 30, "n-2"), CANDIDATE, "");
    EXPECT(tick(20 + BACKOFF - 1), CANDIDATE, "");
    EXPECT(tick(20 + BACKOFF * 7 / 2), CANDIDATE, "extend 7, claim 4 over 30, none 0, self 20");
}

static void no_claim_without_a_valid_lease(void **state) {
    (void)state;
    join();
    EXPECT(tick(LOCAL_TTL), IDLE, "extend 7");
    EXPECT(member(LOCAL_TTL + 1, "n-1", false, 30, 0), IDLE, "");
    EXPECT(extended(LOCAL_TTL + 2, AMB_CALL_OK), CANDIDATE, "claim 4 over 15, n-1 0, self 20");
}

/* ---- holding ---- */

static void fencing(void **state) {
    (void)state;
    hold();
    EXPECT(tick(TTL / 4), HELD, "extend 7");
    assert_true(may_call(LOCAL_TTL - 1));
    assert_false(may_call(LOCAL_TTL)); /* even before a tick changes the state */
    EXPECT(tick(LOCAL_TTL), FENCED, "extend 7");
    EXPECT(intent_event(LOCAL_TTL + 1, AMB_DUTY_INTENT_PENDING, 0, 55), FENCED, ""); /* no intent is begun */
    /* The lease was still alive, and the record still names this member. */
    EXPECT(extended(LOCAL_TTL + 10, AMB_CALL_OK), HELD, "o-1 sent by 4 over 50/55, 0 unanswered");
    assert_true(may_call(2 * LOCAL_TTL - 1));
    assert_false(may_call(2 * LOCAL_TTL));
}

static void being_replaced(void **state) {
    (void)state;
    hold();
    step(intent_event(10, AMB_DUTY_INTENT_PENDING, 0, 55));
    EXPECT(record(20, "n-1", 33, 5, 60), LOST, "");
    assert_false(may_call(21));
    /* The response to the write as sent comes too late to act on. */
    EXPECT(committed(22, AMB_CALL_OK, 56), LOST, "");
    EXPECT(answered(23, AMB_DUTY_CLOUD_DONE), LOST, "");
    assert_int_equal(core.duties[AMB_DUTY_RENT].handovers, 3); /* 0 to 3, 3 to 4, 4 to 5 */
}

static void refused_as_stale(void **state) {
    (void)state;
    hold();
    step(intent_event(10, AMB_DUTY_INTENT_PENDING, 0, 55));
    EXPECT(committed(11, AMB_CALL_OK, 56), HELD, "call o-1 by 4");
    /* Either another member holds the duty, or the next claim will have a higher token. */
    EXPECT(answered(12, AMB_DUTY_CLOUD_FENCED), DRAINING, "release 4 for '' over 50");
    assert_false(may_call(13));
    EXPECT(committed(14, AMB_CALL_CONFLICT, 0), LOST, "read record");
    assert_int_equal(core.duties[AMB_DUTY_RENT].fenced_calls, 1);
}

/* ---- intents ---- */

static void intent_life_cycle(void **state) {
    (void)state;
    hold();
    EXPECT(intent_event(10, AMB_DUTY_INTENT_PENDING, 0, 55), HELD, "o-1 sent by 4 over 50/55, 0 unanswered");
    EXPECT(tick(11), HELD, "");
    EXPECT(committed(12, AMB_CALL_OK, 56), HELD, "call o-1 by 4");
    EXPECT(intent_event(13, AMB_DUTY_INTENT_SENT, 4, 56), HELD, ""); /* the change of its own write */
    EXPECT(answered(14, AMB_DUTY_CLOUD_DONE), HELD, "o-1 done by 4 over 50/56, 0 unanswered");
    EXPECT(answered(15, AMB_DUTY_CLOUD_DONE), HELD, ""); /* a copy of the response */
    EXPECT(committed(16, AMB_CALL_OK, 57), HELD, "");
    EXPECT(tick(17), HELD, "");
    assert_int_equal(amb_duty_intent_table_count_open(&core.intents, AMB_DUTY_RENT), 0);
}

static void a_pause_before_sending(void **state) {
    (void)state;
    hold();
    step(intent_event(10, AMB_DUTY_INTENT_PENDING, 0, 55));
    /* The response to the write as sent is read after a pause longer than the lease. */
    EXPECT(committed(LOCAL_TTL + 1, AMB_CALL_OK, 56), FENCED, "extend 7");
    EXPECT(extended(LOCAL_TTL + 2, AMB_CALL_OK), HELD, "call o-1 by 4");
    /* A pause between the decision and the call: the service asks again before sending. */
    assert_false(may_call(3 * LOCAL_TTL));
    EXPECT(((struct amb_duty_event){.type = AMB_DUTY_CLOUD_ANSWERED,
                                    AT(3 * LOCAL_TTL),
                                    .call = last_call(),
                                    .answer = AMB_DUTY_CLOUD_NOT_SENT}),
           FENCED, "extend 7");
    assert_int_equal(storage[0].unanswered, 0);
}

static void a_pause_past_the_lease(void **state) {
    (void)state;
    hold();
    step(intent_event(10, AMB_DUTY_INTENT_PENDING, 0, 55));
    step(committed(11, AMB_CALL_OK, 56));
    /* The response of the cloud is read after the lease expired. Its content still holds, but only a holder
     * settles the intent. */
    EXPECT(answered(4 * TTL, AMB_DUTY_CLOUD_DONE), FENCED, "extend 7");
    EXPECT(extended(4 * TTL + 1, AMB_CALL_NOT_FOUND), LOST, "drop 7");
    assert_int_equal(storage[0].result, AMB_DUTY_RESULT_NONE);
}

static void intents_without_answers(void **state) {
    (void)state;
    hold();
    step(intent_event(10, AMB_DUTY_INTENT_PENDING, 0, 55));
    /* No response to the write as sent. If it was committed, a second one fails by its comparison. */
    EXPECT(committed(11, AMB_CALL_NO_ANSWER, 0), HELD, "read o-1, read record");
    EXPECT(tick(12), HELD, "");
    EXPECT(intent_event(13, AMB_DUTY_INTENT_SENT, 4, 56), HELD, "");
    EXPECT(tick(11 + BACKOFF * 2), HELD, "extend 7, call o-1 by 4");
    /* The call is repeated under the same id, and the lost copy stays counted. */
    EXPECT(answered(1100, AMB_DUTY_CLOUD_NO_ANSWER), HELD, "");
    EXPECT(tick(1100 + BACKOFF - 1), HELD, "");
    EXPECT(tick(1100 + BACKOFF * 3), HELD, "extend 7, call o-1 by 4");
    EXPECT(answered(2650, AMB_DUTY_CLOUD_NO_CAPACITY), HELD, "o-1 refused by 4 over 50/56, 1 unanswered");
    /* No response to the write of the result. */
    EXPECT(committed(2651, AMB_CALL_NO_ANSWER, 0), HELD, "read o-1, read record");
    EXPECT(intent_event(2652, AMB_DUTY_INTENT_SETTLED, 4, 57), HELD, "");
    EXPECT(tick(2700), HELD, "");
}

static void a_call_that_is_never_answered(void **state) {
    (void)state;
    hold();
    step(intent_event(10, AMB_DUTY_INTENT_PENDING, 0, 55));
    step(committed(11, AMB_CALL_OK, 56));
    uint64_t call = last_call();
    EXPECT(tick(11 + 900), HELD, "extend 7");
    step(extended(912, AMB_CALL_OK));
    EXPECT(tick(2500), HELD, "extend 7, call o-1 by 4");
    /* The response to the first call comes late and is ignored. */
    EXPECT(
        ((struct amb_duty_event){
            .type = AMB_DUTY_CLOUD_ANSWERED, AT(2501), .call = call, .answer = AMB_DUTY_CLOUD_NO_CAPACITY}),
        HELD, "");
    EXPECT(answered(2502, AMB_DUTY_CLOUD_DONE), HELD, "o-1 done by 4 over 50/56, 0 unanswered");
}

static void intents_of_an_earlier_holder(void **state) {
    (void)state;
    join();
    step(intent_event(5, AMB_DUTY_INTENT_SENT, 3, 16));
    step(member(20, "n-1", false, 30, 0));
    EXPECT(committed(21, AMB_CALL_OK, CLAIM), HELD, "o-1 sent by 4 over 50/16, 1 unanswered");
    EXPECT(committed(22, AMB_CALL_OK, 51), HELD, "call o-1 by 4"); /* under the same id */
    EXPECT(answered(23, AMB_DUTY_CLOUD_NO_CAPACITY), HELD, "o-1 refused by 4 over 50/51, 1 unanswered");

    /* The previous holder had settled the intent, and the change comes late: the comparison fails. */
    join();
    step(intent_event(5, AMB_DUTY_INTENT_SENT, 3, 16));
    step(member(20, "n-1", false, 30, 0));
    step(committed(21, AMB_CALL_OK, CLAIM));
    EXPECT(committed(22, AMB_CALL_CONFLICT, 0), HELD, "read o-1, read record");
    EXPECT(intent_event(23, AMB_DUTY_INTENT_SETTLED, 3, 17), HELD, "");
    EXPECT(tick(5000), FENCED, "extend 7");
}

static void more_intents_than_capacity(void **state) {
    (void)state;
    hold();
    for (int i = 0; i <= MAX_INTENTS; i++) {
        struct amb_duty_event event = intent_event(10, AMB_DUTY_INTENT_SETTLED, 4, 60 + (uint64_t)i);
        event.intent.id[2] = (char)('1' + i);
        step(event);
    }
    assert_true(core.intents.overflowed);
    struct amb_duty_event removed = intent_event(20, AMB_DUTY_INTENT_SETTLED, 4, 70);
    removed.intent.present = false;
    EXPECT(removed, HELD, "list"); /* an entry is free: all intents are read again */
    assert_false(core.intents.overflowed);

    /* While the table stays full, the read is repeated once per ttl. */
    removed.intent.present = true;
    removed.intent.revision = 71;
    step(removed);
    removed.intent.id[2] = '9';
    EXPECT(removed, HELD, "");
    EXPECT(tick(20 + TTL), FENCED, "extend 7, list");
    EXPECT(tick(21 + TTL), FENCED, "");
}

static void late_reads(void **state) {
    (void)state;
    hold();
    /* The intent was removed, and the removal was received before the response to a read. */
    struct amb_duty_event read = intent_event(10, AMB_DUTY_INTENT_PENDING, 0, 55);
    read.type = AMB_DUTY_INTENT_READ;
    EXPECT(read, HELD, "");
    assert_null(amb_duty_intent_table_find(&core.intents, AMB_DUTY_RENT, "o-1"));
    EXPECT(intent_event(11, AMB_DUTY_INTENT_PENDING, 0, 55), HELD, "o-1 sent by 4 over 50/55, 0 unanswered");
    EXPECT(committed(12, AMB_CALL_CONFLICT, 0), HELD, "read o-1, read record");
    read.intent.present = false;
    read.intent.revision = 60;
    EXPECT(read, HELD, "");
    assert_null(amb_duty_intent_table_find(&core.intents, AMB_DUTY_RENT, "o-1"));
}

/* A call that was decided under an earlier claim must not be sent under the current one. */
static void a_call_decided_before_the_last_claim(void **state) {
    (void)state;
    hold();
    step(intent_event(10, AMB_DUTY_INTENT_PENDING, 0, 55));
    step(committed(11, AMB_CALL_OK, 56));
    assert_int_equal(out.actions[0].type, AMB_DUTY_CALL_CLOUD);
    struct amb_duty_action call = out.actions[0];
    assert_true(amb_duty_may_send(&core, &call, START + 12));
    step(drain(13, ""));
    step(tick(13 + TTL));
    assert_false(amb_duty_may_send(&core, &call, START + 13 + TTL));
    uint64_t renewal = core.incarnation.renewal;
    step(committed(14 + TTL, AMB_CALL_OK, 60));
    step((struct amb_duty_event){
        .type = AMB_DUTY_LEASE_EXTENDED, AT(15 + TTL), .call = renewal, .result = AMB_CALL_OK});
    step(tick(14 + TTL + 2 * BACKOFF)); /* no other member claims the duty */
    assert_string_equal(actions_text, "extend 7, claim 5 over 60, none 0, self 20");
    step(committed(15 + TTL + 2 * BACKOFF, AMB_CALL_OK, 61));
    assert_true(may_call(16 + TTL + 2 * BACKOFF));
    assert_false(amb_duty_may_send(&core, &call, START + 16 + TTL + 2 * BACKOFF));
}

/* ---- handover ---- */

static void draining(void **state) {
    (void)state;
    hold();
    step(intent_event(10, AMB_DUTY_INTENT_PENDING, 0, 55));
    step(committed(11, AMB_CALL_OK, 56));
    EXPECT(drain(12, "n-1"), DRAINING, ""); /* the call in flight is waited for */
    struct amb_duty_event another = intent_event(13, AMB_DUTY_INTENT_PENDING, 0, 57);
    another.intent.id[2] = '2';
    EXPECT(another, DRAINING, ""); /* no new intent is begun */
    assert_true(may_call(14));
    EXPECT(answered(15, AMB_DUTY_CLOUD_DONE), DRAINING, "o-1 done by 4 over 50/56, 0 unanswered");
    EXPECT(committed(16, AMB_CALL_OK, 58), DRAINING, "release 4 for 'n-1' over 50");
    assert_false(may_call(18)); /* the release may have been committed */
    EXPECT(committed(19, AMB_CALL_OK, 59), CANDIDATE, "");
    assert_false(may_call(20));
    EXPECT(tick(19 + BACKOFF - 1), CANDIDATE, ""); /* other members claim first */
}

static void draining_past_the_deadline(void **state) {
    (void)state;
    hold();
    step(intent_event(10, AMB_DUTY_INTENT_PENDING, 0, 55));
    step(committed(11, AMB_CALL_OK, 56));
    step(drain(12, ""));
    EXPECT(tick(12 + TTL - 1), DRAINING, "extend 7");
    /* The successor finishes the intent that was sent. */
    EXPECT(tick(12 + TTL), DRAINING, "release 4 for '' over 50");
}

static void a_release_without_an_answer(void **state) {
    (void)state;
    hold();
    EXPECT(drain(12, ""), DRAINING, "release 4 for '' over 50");
    EXPECT(committed(14, AMB_CALL_NO_ANSWER, 0), DRAINING, "read record");
    assert_false(may_call(15));
    EXPECT(tick(14 + TTL / 10), DRAINING, "release 4 for '' over 50");
    /* The first release was committed. */
    EXPECT(released(400, "n-0", 4, 60, ""), CANDIDATE, "");

    hold();
    step(drain(12, ""));
    EXPECT(record(400, "n-1", 33, 5, 60), LOST, ""); /* another member has claimed since */
}

static void stopping(void **state) {
    (void)state;
    hold();
    EXPECT(((struct amb_duty_event){.type = AMB_DUTY_STOP_REQUESTED, AT(12)}), DRAINING,
           "release 4 for '' over 50");
    EXPECT(committed(14, AMB_CALL_OK, 60), IDLE, "");
    EXPECT(tick(14 + 2 * BACKOFF), IDLE, "extend 7"); /* it never claims again */
    assert_int_equal(out.count, 1);
    EXPECT(tick(14 + 20 * BACKOFF), IDLE, "extend 7"); /* nor later */
    assert_int_equal(out.count, 1);
}

/* ---- several duties ---- */

static void spreading(void **state) {
    (void)state;
    struct amb_duty_settings settings = amb_duty_settings_default(TTL, LIST_SPAN);
    amb_duty_core_init(&core, &settings, "n-0", 1, storage, MAX_INTENTS);
    step(tick(0));
    step(granted(1, AMB_CALL_OK, LEASE));
    step(committed(2, AMB_CALL_OK, INCARNATION));
    for (int i = 0; i < AMB_DUTY_COUNT; i++) {
        struct amb_duty_event event = record(3, "", 0, 0, 0);
        event.duty = (enum amb_duty_name)i;
        step(event);
        step(committed(4, AMB_CALL_OK, CLAIM + (uint64_t)i));
        assert_int_equal(core.duties[i].state, AMB_DUTY_HELD);
    }
    /* Another member joins: four duties are one more than the fair share, ceil(4 / 2) + 1. A successor must
     * have been alive for a ttl. */
    step(member(10, "n-1", true, 70, 1));
    step(tick(10 + TTL - 200));
    step(extended(10 + TTL - 199, AMB_CALL_OK));
    for (int i = 0; i < AMB_DUTY_COUNT; i++) assert_int_equal(core.duties[i].state, AMB_DUTY_HELD);
    step(tick(10 + TTL));
    int drained = 0;
    for (int i = 0; i < AMB_DUTY_COUNT; i++) {
        if (core.duties[i].state != AMB_DUTY_DRAINING) continue;
        drained++;
        assert_string_equal(core.duties[i].successor, "n-1");
    }
    assert_int_equal(drained, 1);
    step(tick(11 + TTL));
    step(committed(12 + TTL, AMB_CALL_OK, 80));
    step(tick(13 + TTL));
    for (int i = 0; i < AMB_DUTY_COUNT; i++) assert_int_not_equal(core.duties[i].state, AMB_DUTY_DRAINING);
}

static void cleaning_up(void **state) {
    (void)state;
    struct amb_duty_settings settings = settings_for(AMB_DUTY_CLEANUP);
    amb_duty_core_init(&core, &settings, "n-0", 1, storage, MAX_INTENTS);
    step(tick(0));
    step(granted(1, AMB_CALL_OK, LEASE));
    step(committed(2, AMB_CALL_OK, INCARNATION));
    struct amb_duty_event unheld = record(3, "", 0, 0, 0);
    unheld.duty = AMB_DUTY_CLEANUP;
    step(unheld);
    step(committed(4, AMB_CALL_OK, CLAIM));
    step(intent_event(10, AMB_DUTY_INTENT_SETTLED, 3, 45)); /* an intent of another duty */
    step(tick(10 + LIST_SPAN - 1));
    step(extended(10 + LIST_SPAN - 1, AMB_CALL_OK));
    assert_string_equal(actions_text, "");
    step(tick(10 + LIST_SPAN));
    assert_string_equal(actions_text, "remove o-1 over 50/45");
    step(committed(11 + LIST_SPAN, AMB_CALL_NO_ANSWER, 0));
    assert_string_equal(actions_text, "read o-1, read record");
    struct amb_duty_event gone = intent_event(12 + LIST_SPAN, AMB_DUTY_INTENT_SETTLED, 3, 90);
    gone.intent.present = false;
    step(gone);
    assert_null(amb_duty_intent_table_find(&core.intents, AMB_DUTY_RENT, "o-1"));
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(joining),
        cmocka_unit_test(joining_with_failures),
        cmocka_unit_test(joining_over_a_previous_incarnation),
        cmocka_unit_test(member_key_is_written_under_a_valid_lease),
        cmocka_unit_test(losing_the_member_lease),
        cmocka_unit_test(claiming),
        cmocka_unit_test(claiming_over_a_new_incarnation),
        cmocka_unit_test(the_first_claim_ever),
        cmocka_unit_test(concurrent_claims),
        cmocka_unit_test(claims_without_an_answer),
        cmocka_unit_test(higher_ranked_members_claim_first),
        cmocka_unit_test(backoff_and_jitter),
        cmocka_unit_test(named_successor_claims_first),
        cmocka_unit_test(no_claim_without_a_valid_lease),
        cmocka_unit_test(fencing),
        cmocka_unit_test(being_replaced),
        cmocka_unit_test(refused_as_stale),
        cmocka_unit_test(intent_life_cycle),
        cmocka_unit_test(a_pause_before_sending),
        cmocka_unit_test(a_pause_past_the_lease),
        cmocka_unit_test(intents_without_answers),
        cmocka_unit_test(a_call_that_is_never_answered),
        cmocka_unit_test(intents_of_an_earlier_holder),
        cmocka_unit_test(more_intents_than_capacity),
        cmocka_unit_test(late_reads),
        cmocka_unit_test(a_call_decided_before_the_last_claim),
        cmocka_unit_test(draining),
        cmocka_unit_test(draining_past_the_deadline),
        cmocka_unit_test(a_release_without_an_answer),
        cmocka_unit_test(stopping),
        cmocka_unit_test(spreading),
        cmocka_unit_test(cleaning_up),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
