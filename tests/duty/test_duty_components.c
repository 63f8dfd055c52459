/* The stateless functions of the duty core: settings, local validity of a lease, ranking of members, steps
 * and records of intents; and the intent table. */
#include "amberpin/duty/assignment.h"
#include "amberpin/duty/intents.h"
#include "amberpin/duty/lease.h"
#include "check.h"

enum { TTL = 3000, LIST_SPAN = 10000, DECAY = 30000 };

/* ---- settings ---- */

static void duty_names(void **state) {
    (void)state;
    static const struct {
        const char *names;
        enum amb_duty_settings_error error;
        const char *wrong;
        bool enabled[AMB_DUTY_COUNT];
    } rows[] = {
        {"all", AMB_DUTY_SETTINGS_OK, "", {true, true, true, true}},
        {"rent", AMB_DUTY_SETTINGS_OK, "", {true}},
        {"cleanup, return", AMB_DUTY_SETTINGS_OK, "", {false, true, false, true}},
        {" reclaim\t", AMB_DUTY_SETTINGS_OK, "", {false, false, true, false}},
        {"", AMB_DUTY_SETTINGS_NO_NAME, "", {false}},
        {" , ", AMB_DUTY_SETTINGS_NO_NAME, "", {false}},
        {"rent,rent", AMB_DUTY_SETTINGS_DUPLICATE_NAME, "rent", {true}},
        {"rent,renting", AMB_DUTY_SETTINGS_UNKNOWN_NAME, "renting", {true}},
        {"Rent", AMB_DUTY_SETTINGS_UNKNOWN_NAME, "Rent", {false}},
        {"rent all", AMB_DUTY_SETTINGS_UNKNOWN_NAME, "all", {true}},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_duty_settings settings = amb_duty_settings_default(TTL, LIST_SPAN);
        char wrong[AMB_NAME_SIZE];
        enum amb_duty_settings_error error =
            amb_duty_settings_parse_names(&settings, rows[i].names, wrong, sizeof wrong);
        if (error != rows[i].error || strcmp(wrong, rows[i].wrong) != 0)
            fail_msg("'%s': error %d, '%s'", rows[i].names, (int)error, wrong);
        if (memcmp(settings.enabled, rows[i].enabled, sizeof settings.enabled) != 0)
            fail_msg("'%s': other duties are enabled", rows[i].names);
    }
}

static void invalid_settings(void **state) {
    (void)state;
    struct amb_duty_settings good = amb_duty_settings_default(TTL, LIST_SPAN);
    struct {
        const char *what;
        struct amb_duty_settings settings;
        enum amb_duty_settings_error error;
    } rows[20];
    size_t count = 0;
#define ROW(text, expected, ...)                                                                             \
    do {                                                                                                     \
        rows[count].what = text;                                                                             \
        rows[count].settings = good;                                                                         \
        rows[count].error = AMB_DUTY_SETTINGS_##expected;                                                    \
        struct amb_duty_settings *changed = &rows[count++].settings;                                         \
        __VA_ARGS__;                                                                                         \
    } while (0)
    ROW("the defaults", OK, (void)changed);
    ROW("no duty", NO_NAME, memset(changed->enabled, 0, sizeof changed->enabled));
    ROW("a ttl below the limit of the key-value store", TTL_RANGE, changed->ttl = 99);
    ROW("a ttl above its limit", TTL_RANGE, changed->ttl = 600001);
    ROW("drift above a tenth", DRIFT_RANGE, changed->drift_ppm = 100001);
    /* The local validity is 3000 - 3 (drift) - 150 (margin); 750 + 3 x 699 = 2847 is needed. */
    ROW("local validity equal to a renewal interval and three calls", SHORT_LEASE,
        changed->call_timeout = 699;
        changed->backoff = 700);
    ROW("local validity just above it", OK, changed->call_timeout = 698; changed->backoff = 700);
    ROW("a lease too short for the drift", SHORT_LEASE, changed->drift_ppm = 100000;
        changed->safety_margin = 750);
    ROW("a margin as long as the lease", SHORT_LEASE, changed->safety_margin = TTL);
    ROW("a negative margin", SHORT_LEASE, changed->safety_margin = -1);
    ROW("calls without a time limit", SHORT_LEASE, changed->call_timeout = 0);
    ROW("a backoff shorter than a call", BACKOFF_RANGE, changed->backoff = changed->call_timeout - 1);
    ROW("a backoff longer than the lease", BACKOFF_RANGE, changed->backoff = TTL + 1);
    ROW("no retention of settled records", RETENTION_RANGE, changed->settled_retention = 0);
    ROW("uncertain records removed before others", RETENTION_RANGE,
        changed->uncertain_retention = changed->settled_retention - 1);
    ROW("a scale out refused before it is requested", REFUSALS_RANGE, changed->max_refusals = 0);
#undef ROW
    for (size_t i = 0; i < count; i++) {
        enum amb_duty_settings_error error = amb_duty_settings_check(&rows[i].settings);
        if (error != rows[i].error)
            fail_msg("%s: error %d, wanted %d", rows[i].what, (int)error, (int)rows[i].error);
        bool named = amb_duty_settings_field(error)[0] && amb_duty_settings_allowed(error)[0];
        if (named != (error != AMB_DUTY_SETTINGS_OK)) fail_msg("%s: field and allowed values", rows[i].what);
    }
}

static void vacancy_bound(void **state) {
    (void)state;
    struct amb_duty_settings settings = amb_duty_settings_default(TTL, LIST_SPAN);
    /* 3000 + 1 + 1 (drift, rounded up) + 100 (late expiry) + 300 (change) + 5 x 500 (ranks) + 300 (claim) */
    assert_int_equal(amb_duty_settings_vacancy_bound(&settings, 5), 6202);
}

/* ---- local validity ---- */

static void local_validity(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint32_t drift_ppm;
        amb_ms margin, span;
    } rows[] = {
        {"the whole lease without drift and margin", 0, 0, 3000},
        {"less the drift of both clocks", 500, 0, 2997},
        {"drift rounded up", 1, 0, 2999},
        {"less drift and margin", 500, 150, 2847},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_duty_settings settings = amb_duty_settings_default(TTL, LIST_SPAN);
        settings.drift_ppm = rows[i].drift_ppm;
        settings.safety_margin = rows[i].margin;
        if (amb_duty_lease_local_ttl(&settings) != rows[i].span)
            fail_msg("%s: %d", rows[i].what, (int)amb_duty_lease_local_ttl(&settings));
    }
}

/* The clock of the member is slow by the drift while that of the key-value store is fast by it, or the
 * reverse: the local validity never outlasts the lease. */
static void local_validity_within_lease(void **state) {
    (void)state;
    static const uint32_t drifts[] = {0, 1, 500, 10000, 100000};
    static const amb_ms ttls[] = {100, 101, 999, 3000, 5001, 600000};
    for (size_t drift_index = 0; drift_index < ROWS(drifts); drift_index++) {
        for (size_t ttl_index = 0; ttl_index < ROWS(ttls); ttl_index++) {
            struct amb_duty_settings settings = amb_duty_settings_default(ttls[ttl_index], LIST_SPAN);
            settings.drift_ppm = drifts[drift_index];
            settings.safety_margin = 0;
            for (int sign = -1; sign <= 1; sign += 2) {
                double drift = drifts[drift_index] / 1e6 * sign;
                double true_lease = (double)ttls[ttl_index] / (1 + drift);
                double true_validity = (double)amb_duty_lease_local_ttl(&settings) / (1 - drift);
                if (true_validity > true_lease + 1e-9)
                    fail_msg("ttl %d, drift %u: the local validity outlasts the lease", (int)ttls[ttl_index],
                             drifts[drift_index]);
            }
        }
    }
}

static void lease_counts_from_sending(void **state) {
    (void)state;
    struct amb_duty_settings settings = amb_duty_settings_default(TTL, LIST_SPAN);
    amb_ms span = amb_duty_lease_local_ttl(&settings);
    struct amb_duty_lease lease = {0};
    assert_false(amb_duty_lease_is_valid(&lease, &settings, 0)); /* no lease */
    lease.id = 7;
    assert_false(amb_duty_lease_is_valid(&lease, &settings, 0)); /* not granted yet */
    amb_duty_lease_note_renewal(&lease, 1000);
    assert_true(amb_duty_lease_is_valid(&lease, &settings, 1000 + span - 1));
    assert_false(amb_duty_lease_is_valid(&lease, &settings, 1000 + span));
    assert_int_equal(amb_duty_lease_remaining(&lease, &settings, 1000), span);
    assert_int_equal(amb_duty_lease_remaining(&lease, &settings, 1000 + 2 * span), 0);
    amb_duty_lease_note_renewal(&lease, 500); /* a late response to an older request */
    assert_true(amb_duty_lease_is_valid(&lease, &settings, 1000 + span - 1));
    amb_duty_lease_note_renewal(&lease, 2000);
    assert_true(amb_duty_lease_is_valid(&lease, &settings, 2000 + span - 1));
}

/* ---- ranking ---- */

enum { MEMBERS = 5 };

static void fill(struct amb_duty_member *members) {
    memset(members, 0, sizeof *members * MEMBERS);
    for (int i = 0; i < MEMBERS; i++) {
        snprintf(members[i].name, AMB_NAME_SIZE, "n-%d", i);
        members[i].alive = true;
    }
}

static int preferred(const struct amb_duty_member *members, enum amb_duty_name duty) {
    for (int i = 0; i < MEMBERS; i++)
        if (members[i].alive && !amb_duty_rank(members, MEMBERS, duty, members[i].name, DECAY, 0)) return i;
    return -1;
}

static void ranks_are_an_order(void **state) {
    (void)state;
    struct amb_duty_member members[MEMBERS];
    fill(members);
    for (int duty = 0; duty < AMB_DUTY_COUNT; duty++) {
        uint32_t seen = 0;
        for (int i = 0; i < MEMBERS; i++)
            seen |=
                1U << amb_duty_rank(members, MEMBERS, (enum amb_duty_name)duty, members[i].name, DECAY, 0);
        assert_int_equal(seen, (1U << MEMBERS) - 1);
    }
    assert_int_equal(amb_duty_rank(members, MEMBERS, AMB_DUTY_RENT, "stranger", DECAY, 0), MEMBERS);
    members[2].alive = false;
    assert_int_equal(amb_duty_rank(members, MEMBERS, AMB_DUTY_RENT, "n-2", DECAY, 0), MEMBERS - 1);
}

/* When a member leaves, the preference changes only for the duties that preferred it; when it returns, the
 * former preference is restored. */
static void ranks_are_stable(void **state) {
    (void)state;
    struct amb_duty_member members[MEMBERS];
    for (int gone = 0; gone < MEMBERS; gone++) {
        for (int duty = 0; duty < AMB_DUTY_COUNT; duty++) {
            fill(members);
            int before = preferred(members, (enum amb_duty_name)duty);
            members[gone].alive = false;
            int after = preferred(members, (enum amb_duty_name)duty);
            if (before != gone) assert_int_equal(after, before);
            members[gone].alive = true;
            assert_int_equal(preferred(members, (enum amb_duty_name)duty), before);
        }
    }
}

/* Member names that differ only in their last character must not make all duties prefer the same member. */
static void duties_are_spread(void **state) {
    (void)state;
    uint32_t first[MEMBERS] = {0};
    for (int fleet = 0; fleet < 500; fleet++) {
        struct amb_duty_member members[MEMBERS];
        fill(members);
        for (int i = 0; i < MEMBERS; i++) snprintf(members[i].name, AMB_NAME_SIZE, "c%d-n-%d", fleet, i);
        for (int duty = 0; duty < AMB_DUTY_COUNT; duty++)
            first[preferred(members, (enum amb_duty_name)duty)]++;
    }
    for (int i = 0; i < MEMBERS; i++) /* 400 each on average */
        if (first[i] < 300 || first[i] > 500) fail_msg("member %d is preferred %u times", i, first[i]);
}

static void flapping(void **state) {
    (void)state;
    static const struct {
        const char *what;
        amb_ms losses[3];
        amb_ms at;
        bool flaps;
    } rows[] = {
        {"no loss", {0}, 100, false},
        {"one loss", {50}, 60, false},
        {"two losses within the decay", {50, 60}, 70, true},
        {"until the end of the decay", {50, 60}, 59 + DECAY, true},
        {"not after the decay", {50, 60}, 60 + DECAY, false},
        {"two losses a decay apart", {50, 50 + DECAY}, 51 + DECAY, false},
        {"two losses just less than a decay apart", {50, 49 + DECAY}, 50 + DECAY, true},
        {"another loss long after two", {50, 60, 60 + 2 * DECAY}, 61 + 2 * DECAY, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_duty_member member = {.name = "n-0", .alive = true};
        for (int k = 0; k < 3 && rows[i].losses[k]; k++)
            amb_duty_member_note_loss(&member, rows[i].losses[k]);
        if (amb_duty_member_is_flapping(&member, DECAY, rows[i].at) != rows[i].flaps)
            fail_msg("%s", rows[i].what);
    }
}

static void flapping_members_rank_last(void **state) {
    (void)state;
    struct amb_duty_member members[MEMBERS];
    fill(members);
    int first = preferred(members, AMB_DUTY_RENT);
    const char *name = members[first].name;
    amb_duty_member_note_loss(&members[first], 10);
    assert_int_equal(amb_duty_rank(members, MEMBERS, AMB_DUTY_RENT, name, DECAY, 20), 0);
    amb_duty_member_note_loss(&members[first], 20);
    assert_int_equal(amb_duty_rank(members, MEMBERS, AMB_DUTY_RENT, name, DECAY, 20), MEMBERS - 1);
    for (int i = 0; i < MEMBERS; i++) {
        if (i == first) continue;
        amb_duty_member_note_loss(&members[i], 10);
        amb_duty_member_note_loss(&members[i], 20);
    }
    /* When all members flap, the order is as without flapping. */
    assert_int_equal(amb_duty_rank(members, MEMBERS, AMB_DUTY_RENT, name, DECAY, 20), 0);
}

static void fair_share(void **state) {
    (void)state;
    static const uint32_t rows[][3] = {{4, 1, 5}, {4, 2, 3}, {4, 3, 3}, {4, 5, 2}, {1, 7, 2}, {4, 0, 4}};
    for (size_t i = 0; i < ROWS(rows); i++)
        assert_int_equal(amb_duty_fair_share(rows[i][0], rows[i][1]), rows[i][2]);
}

/* ---- intents ---- */

enum { OURS = 9, THEIRS = 8 };

#define RECORD(kind, how, by, ...)                                                                           \
    {                                                                                                        \
        .present = true, .id = "o-1", .duty = AMB_DUTY_##kind, .state = AMB_DUTY_INTENT_##how,               \
        .fencing_token = by, ##__VA_ARGS__                                                                   \
    }

static void next_step(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct amb_duty_intent intent;
        bool may_begin;
        enum amb_duty_intent_step step;
        enum amb_duty_intent_result result;
    } rows[] = {
        {"a new intent is first recorded as sent",
         {.record = RECORD(RENT, PENDING, 0)},
         true,
         AMB_DUTY_STEP_MARK_SENT,
         0},
        {"not while the duty is draining",
         {.record = RECORD(RENT, PENDING, 0)},
         false,
         AMB_DUTY_STEP_NONE,
         0},
        {"an intent recorded under this token is sent",
         {.record = RECORD(RENT, SENT, OURS)},
         true,
         AMB_DUTY_STEP_CALL,
         0},
        {"also while the duty is draining",
         {.record = RECORD(RENT, SENT, OURS)},
         false,
         AMB_DUTY_STEP_CALL,
         0},
        {"an intent of a previous holder is recorded again",
         {.record = RECORD(RENT, SENT, THEIRS)},
         true,
         AMB_DUTY_STEP_MARK_SENT,
         0},
        {"not while the duty is draining",
         {.record = RECORD(RETURN, SENT, THEIRS)},
         false,
         AMB_DUTY_STEP_NONE,
         0},
        {"nothing before retry_at",
         {.record = RECORD(RENT, SENT, OURS), .retry_at = 101},
         true,
         AMB_DUTY_STEP_NONE,
         0},
        {"a known result is written",
         {.record = RECORD(RENT, SENT, OURS), .result = AMB_DUTY_RESULT_DONE},
         true,
         AMB_DUTY_STEP_SETTLE,
         AMB_DUTY_RESULT_DONE},
        {"a known result is written while the duty is draining",
         {.record = RECORD(RENT, SENT, OURS), .result = AMB_DUTY_RESULT_NO_CAPACITY},
         false,
         AMB_DUTY_STEP_SETTLE,
         AMB_DUTY_RESULT_NO_CAPACITY},
        {"withdrawn before it was sent: void",
         {.record = RECORD(RENT, PENDING, 0, .withdrawn = true)},
         true,
         AMB_DUTY_STEP_SETTLE,
         AMB_DUTY_RESULT_VOID},
        {"withdrawn after it was sent: repeated until its result is known",
         {.record = RECORD(RENT, SENT, THEIRS, .withdrawn = true)},
         true,
         AMB_DUTY_STEP_MARK_SENT,
         0},
        {"a scale in whose machines are proven absent settles",
         {.record = RECORD(RETURN, SENT, THEIRS), .absence_proven = true},
         true,
         AMB_DUTY_STEP_SETTLE,
         AMB_DUTY_RESULT_GONE},
        {"a scale out never settles by proof of absence",
         {.record = RECORD(RENT, SENT, OURS), .absence_proven = true},
         true,
         AMB_DUTY_STEP_CALL,
         0},
        {"no step for a settled intent",
         {.record = RECORD(RETURN, SETTLED, THEIRS), .absence_proven = true},
         true,
         AMB_DUTY_STEP_NONE,
         0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        enum amb_duty_intent_result result;
        enum amb_duty_intent_step step =
            amb_duty_intent_next_step(&rows[i].intent, OURS, rows[i].may_begin, 100, &result);
        if (step != rows[i].step || result != rows[i].result)
            fail_msg("%s: step %d, result %d", rows[i].what, (int)step, (int)result);
    }
}

static void marks(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct amb_duty_intent intent;
        uint32_t unanswered;
    } rows[] = {
        {"a new intent", {.record = RECORD(RENT, PENDING, 0)}, 0},
        {"a previous holder may have sent it", {.record = RECORD(RENT, SENT, THEIRS)}, 1},
        {"two previous holders may have sent it", {.record = RECORD(RENT, SENT, THEIRS, .unanswered = 1)}, 2},
        {"already recorded under this token", {.record = RECORD(RENT, SENT, OURS, .unanswered = 1)}, 1},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_duty_intent_record record = amb_duty_intent_as_sent(&rows[i].intent, OURS);
        if (record.state != AMB_DUTY_INTENT_SENT || record.fencing_token != OURS ||
            strcmp(record.id, "o-1") != 0 || record.unanswered != rows[i].unanswered)
            fail_msg("%s", rows[i].what);
    }
}

static void results(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_duty_cloud_answer answers[3];
        uint32_t count;
        enum amb_duty_intent_result result; /* NONE: not known yet */
        uint32_t unanswered;                /* in the record once it is settled */
    } rows[] = {
        {"done", {AMB_DUTY_CLOUD_DONE}, 1, AMB_DUTY_RESULT_DONE, 0},
        {"done after a response was lost: one of the copies took effect, the other has none",
         {AMB_DUTY_CLOUD_NO_ANSWER, AMB_DUTY_CLOUD_DONE},
         2,
         AMB_DUTY_RESULT_DONE,
         0},
        {"no response", {AMB_DUTY_CLOUD_NO_ANSWER}, 1, AMB_DUTY_RESULT_NONE, 0},
        {"first of two refusals", {AMB_DUTY_CLOUD_NO_CAPACITY}, 1, AMB_DUTY_RESULT_NONE, 0},
        {"refused",
         {AMB_DUTY_CLOUD_NO_CAPACITY, AMB_DUTY_CLOUD_NO_CAPACITY},
         2,
         AMB_DUTY_RESULT_NO_CAPACITY,
         0},
        {"refused, but an earlier copy may still take effect",
         {AMB_DUTY_CLOUD_NO_ANSWER, AMB_DUTY_CLOUD_NO_CAPACITY, AMB_DUTY_CLOUD_NO_CAPACITY},
         3,
         AMB_DUTY_RESULT_NO_CAPACITY,
         1},
        {"malformed", {AMB_DUTY_CLOUD_MALFORMED}, 1, AMB_DUTY_RESULT_MALFORMED, 0},
        {"busy, not sent or fenced: the result stays unknown",
         {AMB_DUTY_CLOUD_BUSY, AMB_DUTY_CLOUD_NOT_SENT, AMB_DUTY_CLOUD_FENCED},
         3,
         AMB_DUTY_RESULT_NONE,
         0},
    };
    struct amb_duty_settings settings = amb_duty_settings_default(TTL, LIST_SPAN);
    settings.max_refusals = 2;
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_duty_intent intent = {.record = RECORD(RENT, SENT, OURS)};
        bool known = false;
        for (uint32_t k = 0; k < rows[i].count; k++)
            known = amb_duty_intent_apply_answer(&intent, rows[i].answers[k], &settings);
        if (known != (rows[i].result != AMB_DUTY_RESULT_NONE) || intent.result != rows[i].result)
            fail_msg("%s: result %d", rows[i].what, (int)intent.result);
        if (!known) continue;
        struct amb_duty_intent_record record = amb_duty_intent_as_settled(&intent, OURS, intent.result);
        if (record.state != AMB_DUTY_INTENT_SETTLED || record.unanswered != rows[i].unanswered)
            fail_msg("%s: %u unanswered", rows[i].what, record.unanswered);
    }
}

static void removal(void **state) {
    (void)state;
    struct amb_duty_settings settings = amb_duty_settings_default(TTL, LIST_SPAN);
    static const struct {
        const char *what;
        struct amb_duty_intent intent;
        amb_ms age;
        bool removable;
    } rows[] = {
        {"kept until no machine list can contain the machine",
         {.record = RECORD(RETURN, SETTLED, OURS)},
         LIST_SPAN - 1,
         false},
        {"removed after that", {.record = RECORD(RETURN, SETTLED, OURS)}, LIST_SPAN, true},
        {"kept longer if an unanswered copy may still scale out",
         {.record = RECORD(RENT, SETTLED, OURS, .unanswered = 1)},
         LIST_SPAN,
         false},
        {"removed after the longer time",
         {.record = RECORD(RENT, SETTLED, OURS, .unanswered = 1)},
         8 * LIST_SPAN,
         true},
        {"never removed while open", {.record = RECORD(RETURN, SENT, OURS)}, 100 * LIST_SPAN, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++)
        if (amb_duty_intent_is_removable(&rows[i].intent, &settings, rows[i].age) != rows[i].removable)
            fail_msg("%s", rows[i].what);
}

static void ledger(void **state) {
    (void)state;
    struct amb_duty_intent intents[2] = {0};
    struct amb_duty_intent_table table = {.entries = intents, .capacity = 2};
    struct amb_duty_intent *rent = amb_duty_intent_table_add(&table, AMB_DUTY_RENT, "o-1");
    struct amb_duty_intent *back =
        amb_duty_intent_table_add(&table, AMB_DUTY_RETURN, "o-1"); /* the same id under another duty */
    assert_ptr_not_equal(rent, back);
    assert_ptr_equal(amb_duty_intent_table_find(&table, AMB_DUTY_RETURN, "o-1"), back);
    assert_null(amb_duty_intent_table_find(&table, AMB_DUTY_RENT, "o-2"));
    assert_null(amb_duty_intent_table_add(&table, AMB_DUTY_RENT, "o-2")); /* the table is full */
    assert_true(table.overflowed);
    assert_int_equal(amb_duty_intent_table_count_open(&table, AMB_DUTY_RENT), 1);
    struct amb_duty_intent_record record = {.present = true, .id = "o-1", .revision = 5};
    assert_true(amb_duty_intent_apply_record(rent, &record, 10));
    assert_false(amb_duty_intent_apply_record(rent, &record, 20)); /* a duplicate */
    record.revision = 4;
    record.state = AMB_DUTY_INTENT_SETTLED;
    assert_false(amb_duty_intent_apply_record(rent, &record, 30)); /* an outdated record */
    assert_int_equal(amb_duty_intent_table_count_open(&table, AMB_DUTY_RENT), 1);
    assert_int_equal(rent->state_known_at, 10);
    record.revision = 6;
    assert_true(amb_duty_intent_apply_record(rent, &record, 40));
    assert_int_equal(amb_duty_intent_table_count_open(&table, AMB_DUTY_RENT), 0);
    amb_duty_intent_table_remove(back);
    assert_non_null(amb_duty_intent_table_add(&table, AMB_DUTY_RENT, "o-2"));
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(duty_names),
        cmocka_unit_test(invalid_settings),
        cmocka_unit_test(vacancy_bound),
        cmocka_unit_test(local_validity),
        cmocka_unit_test(local_validity_within_lease),
        cmocka_unit_test(lease_counts_from_sending),
        cmocka_unit_test(ranks_are_an_order),
        cmocka_unit_test(ranks_are_stable),
        cmocka_unit_test(duties_are_spread),
        cmocka_unit_test(flapping),
        cmocka_unit_test(flapping_members_rank_last),
        cmocka_unit_test(fair_share),
        cmocka_unit_test(next_step),
        cmocka_unit_test(marks),
        cmocka_unit_test(results),
        cmocka_unit_test(removal),
        cmocka_unit_test(ledger),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
