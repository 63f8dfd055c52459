/* Submissions that find no write token: they wait for one for a while, and are refused when none can come. */
#include "amberpin/user_api.h"
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"

enum {
    WRITE_RPS = 20, /* half of it for users: a token each 100 ms */
    TOKEN_MS = 100,
    LONGEST_WAIT_MS = 750,
};

static void submit(const char *ref, enum amb_priority priority) {
    struct amb_spec spec = {.kind = AMB_SERVICE, .priority = priority, .tasks = 1, .each = {8, 1, 40}};
    struct amb_buf body = {0};
    strcpy(spec.ref, ref);
    strcpy(spec.class_name, "c");
    strcpy(spec.team, "t");
    strcpy(spec.image, "img");
    amb_codec_put_spec(&body, &spec);
    assert_true(amb_user_request(node, new_request("POST", "/v1/jobs", &body)));
}

/* A node whose users' half of the writes holds so many tokens. */
static void users_have(double tokens) {
    node->store.write_rps = WRITE_RPS;
    amb_store_share(&node->store, true);
    node->store.user_writes.at = amb_now();
    node->store.user_writes.tokens = tokens;
}

/* When it is sent or refused; the bucket holds 10, of which 2 are kept from high and 3 from the rest. */
static void waits_for_tokens(void **state) {
    (void)state;
    enum { AT_ONCE = 0 };
    static const struct {
        const char *what;
        double tokens;
        enum amb_priority priority;
        bool sent;
        amb_ms after; /* sent, or refused */
    } rows[] = {
        {"there is one", 1, AMB_PROD, true, AT_ONCE},
        {"the next is due", 0, AMB_PROD, true, TOKEN_MS},
        {"debts are paid first", -5, AMB_PROD, true, 6 * TOKEN_MS},
        {"too many debts", -7, AMB_PROD, false, AT_ONCE},
        {"above what is kept", 3, AMB_HIGH, true, AT_ONCE},
        {"what is kept stays so", 2, AMB_HIGH, true, TOKEN_MS},
        {"more is kept from the rest", 2, AMB_BEST_EFFORT, true, 2 * TOKEN_MS},
        {"too little for the rest", -4, AMB_BEST_EFFORT, false, AT_ONCE},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        begin_anew();
        users_have(rows[i].tokens);
        submit("wk-000001", rows[i].priority);
        if (rows[i].after > AT_ONCE) {
            fake_clock_advance(rows[i].after - 1);
            if (find_call("POST", "/commit") || answers()) fail_msg("%s: not waited for", rows[i].what);
            fake_clock_advance(1);
        }
        bool sent = find_call("POST", "/commit") != NULL;
        if (sent != rows[i].sent) fail_msg("%s: %s", rows[i].what, sent ? "sent" : "not sent");
        if (rows[i].sent) {
            answer_epoch(open_call("POST", "/commit"), 60);
            assert_int_equal(latest()->status, 201);
        } else {
            assert_int_equal(latest()->status, 503);
            assert_int_equal(latest()->retry_after_s, 1);
        }
    }
}

/* Others take every token that comes: it is refused before its user would have come back. */
static void wait_is_bounded(void **state) {
    (void)state;
    users_have(0);
    submit("wk-000001", AMB_PROD);
    for (amb_ms waited = 0; waited < LONGEST_WAIT_MS; waited += TOKEN_MS / 2) {
        node->store.user_writes.tokens = 0;
        node->store.user_writes.at = amb_now() + TOKEN_MS / 2;
        fake_clock_advance(TOKEN_MS / 2);
    }
    assert_null(find_call("POST", "/commit"));
    assert_int_equal(answers(), 1);
    assert_int_equal(latest()->status, 503);
}

/* Another node accepts it during the wait: it is not written again, and answered from a fresh read. */
static void accepted_elsewhere_meanwhile(void **state) {
    (void)state;
    users_have(0);
    submit("wk-000001", AMB_PROD);
    add_job("wk-000001", AMB_SERVICE, 1)->stamp = 20;
    fake_clock_advance(TOKEN_MS);
    assert_null(find_call("POST", "/commit"));
    assert_int_equal(answers(), 0);
    answer_news(open_call("GET", "/follow"), 20, NULL, 0, 0);
    assert_int_equal(latest()->status, 200);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(waits_for_tokens, begin, end),
        cmocka_unit_test_setup_teardown(wait_is_bounded, begin, end),
        cmocka_unit_test_setup_teardown(accepted_elsewhere_meanwhile, begin, end),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
