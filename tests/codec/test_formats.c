/* The format version that controllers of two program versions use: what they announce, when the leader
 * records the newer one permanently, and that no controller uses it before. */
#include "amberpin/election/format_version.h"
#include "cbor_items.h"
#include "check.h"
#include "fake_http.h"
#include "node_fixture.h"
#include "peer_json.h"

#include <jansson.h>

enum { PEERS = 2, WRITTEN = TERM + 10 };

static void begin(void) {
    fake_http_reset();
    setup(NULL);
    strcpy(node->settings.member, "n-0");
    strcpy(node->settings.store_addr, "state:1");
    node->settings.store_rps = node->settings.store_write_rps = 1000;
    node->settings.peer_count = PEERS;
    amb_store_init(&node->store, &node->settings, 1000);
    amb_store_set_leadership(&node->store, true);
    node->peers.count = PEERS;
    for (uint32_t i = 0; i < PEERS; i++) snprintf(node->peers.list[i].member, AMB_NAME_SIZE, "n-%u", i + 1);
}

static void end(void) {
    fake_answer_all_lost();
    fake_http_reset();
    teardown(NULL);
}

/* Applies a message of a peer. format 0: the message has no format version, like those of the first
 * version. */
static void receive_peer_message(uint32_t peer, int format) {
    json_t *said = json_pack("{s:b, s:I, s:b, s:b, s:b}", "loaded", 1, "term", (json_int_t)TERM, "leading", 0,
                             "store", 1, "reports_arrive", 0);
    if (format) json_object_set_new(said, "format", json_integer(format));
    apply_peer_json(node, &node->peers.list[peer], said, 0);
    json_decref(said);
}

static void answer_commit(struct fake_call *call) {
    struct amb_buf body = {0};
    amb_cbor_write_map(&body, 1);
    amb_cbor_write_string(&body, "epoch");
    amb_cbor_write_uint(&body, WRITTEN);
    fake_answer(call, 200, &body);
}

static const struct amb_cbor_item *format_value(int format) {
    struct amb_buf body = {0};
    amb_cbor_write_map(&body, 1);
    amb_cbor_write_string(&body, "format");
    amb_cbor_write_uint(&body, (uint64_t)format);
    const struct amb_cbor_item *value = cbor_item_copy(amb_cbor_parse(body.data, body.len));
    amb_buf_free(&body);
    return value;
}

static void receive_key_change(int format) {
    const struct amb_cbor_item *value = format_value(format);
    amb_format_apply_key(node, value);
    cbor_item_free(value);
}

static void announced(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_format held_at;
        json_int_t want; /* 0: none */
    } rows[] = {
        {"a node of this version", AMB_FORMAT_UNKNOWN, 2},
        {"held at the first format", AMB_FORMAT_1, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        begin();
        node->formats.test_override = rows[i].held_at;
        for (int leads = 0; leads < 2; leads++) {
            node->election.role = leads ? AMB_ROLE_LEADER : AMB_ROLE_FOLLOWER;
            char *text = amb_peer_encode_heartbeat(node);
            json_t *messages[] = {json_loads(text, 0, NULL), peer_reply_json(node, 0)};
            for (size_t member = 0; member < ROWS(messages); member++) {
                json_int_t format = json_integer_value(json_object_get(messages[member], "format"));
                if (format != rows[i].want)
                    fail_msg("%s, %s %s: %lld", rows[i].what, leads ? "leading," : "following,",
                             member ? "answer" : "heartbeat", (long long)format);
                json_decref(messages[member]);
            }
            free(text);
        }
        node->election.role = AMB_ROLE_LEADER;
        end();
    }
}

/* A format version announced by one of the two peers. */
struct announcement {
    uint32_t peer;
    int format;
};

static void written_when_all_peers_support_it(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct announcement announcements[4];
        uint32_t count;
        bool upgrade_over, follows, held, loading, known_old, writes;
    } rows[] = {
        {"no peer has sent a message", {{0, 0}}, 0, .known_old = false, .writes = false},
        {"one peer, new", {{0, 2}}, 1, .known_old = false, .writes = false},
        {"one peer, old", {{0, 0}}, 1, .known_old = true, .writes = false},
        {"one new, one old", {{0, 2}, {1, 0}}, 2, .known_old = true, .writes = false},
        {"one announces format 1", {{0, 2}, {1, 1}}, 2, .known_old = true, .writes = false},
        {"both new", {{0, 2}, {1, 2}}, 2, .known_old = false, .writes = true},
        {"both of a later version", {{0, 3}, {1, 3}}, 2, .known_old = false, .writes = true},
        {"old, then new", {{0, 0}, {1, 2}, {0, 2}}, 3, .known_old = false, .writes = true},
        {"new, then old", {{0, 2}, {0, 0}, {1, 2}}, 3, .known_old = true, .writes = false},
        {"both new, follows", {{0, 2}, {1, 2}}, 2, .follows = true, .known_old = false, .writes = false},
        {"both new, reads records",
         {{0, 2}, {1, 2}},
         2,
         .loading = true,
         .known_old = false,
         .writes = false},
        {"both new, held at 1", {{0, 2}, {1, 2}}, 2, .held = true, .known_old = false, .writes = false},
        {"one without a message, upgrade over",
         {{0, 2}},
         1,
         .upgrade_over = true,
         .known_old = false,
         .writes = true},
        {"one old long ago, upgrade over",
         {{0, 0}},
         1,
         .upgrade_over = true,
         .known_old = true,
         .writes = true},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        begin();
        for (uint32_t announcement = 0; announcement < rows[i].count; announcement++)
            receive_peer_message(rows[i].announcements[announcement].peer,
                                 rows[i].announcements[announcement].format);
        if (rows[i].upgrade_over) amb_format_complete_upgrade(node, "test");
        if (rows[i].follows) node->election.role = AMB_ROLE_FOLLOWER;
        if (rows[i].held) node->formats.test_override = AMB_FORMAT_1;
        if (rows[i].loading) node->controller.restored_at = 0;
        if (amb_format_has_older_peer(node) != rows[i].known_old) fail_msg("%s: known_old", rows[i].what);
        amb_format_tick(node, amb_now());
        amb_format_tick(node, amb_now());
        if (fake_count_open_calls("POST", "/commit") != rows[i].writes) fail_msg("%s: writes", rows[i].what);
        assert_int_equal(amb_format_active(node), AMB_FORMAT_1);
        node->election.role = AMB_ROLE_LEADER;
        end();
    }
}

static void key_is_guarded(void **state) {
    (void)state;
    begin();
    receive_peer_message(0, 2);
    receive_peer_message(1, 2);
    amb_format_tick(node, amb_now());
    struct fake_call *commit = fake_open_call("/commit");
    assert_non_null(commit);
    uint64_t lease, format;
    const struct amb_cbor_item *value = fake_txn_put(commit, "a/format", &lease);
    assert_true(amb_cbor_get_uint(amb_cbor_map_get(value, "format"), &format) && format == 2);
    assert_int_equal(lease, 0); /* the key outlives its writer */
    assert_int_equal(fake_txn_compared_revision(commit, "a/leader"), TERM);
    assert_int_equal(fake_txn_compared_revision(commit, "a/format"), 0);
    end();
}

/* The newer format is in use only once the key is known to exist, and stays in use from then on. */
static void in_use_once_written(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int status;
        bool held;
        int received; /* value of the key that is then received; 0: none */
        enum amb_format in_use;
        bool again; /* the write is sent again */
    } rows[] = {
        {"written", 200, false, 0, AMB_FORMAT_2, false},
        {"no answer", 0, false, 0, AMB_FORMAT_1, true},
        {"no answer, but a change of the key", 0, false, 2, AMB_FORMAT_2, false},
        {"rejected, another node wrote it", 409, false, 2, AMB_FORMAT_2, false},
        {"too many changes", 429, false, 0, AMB_FORMAT_1, true},
        {"outage", 503, false, 0, AMB_FORMAT_1, true},
        {"a later version wrote it", 409, false, 3, AMB_FORMAT_2, false},
        {"an older node ignores it", 409, true, 2, AMB_FORMAT_1, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        begin();
        receive_peer_message(0, 2);
        receive_peer_message(1, 2);
        amb_format_tick(node, amb_now());
        struct fake_call *commit = fake_open_call("/commit");
        assert_non_null(commit);
        if (rows[i].status == 200)
            answer_commit(commit);
        else
            fake_answer(commit, rows[i].status, NULL);
        if (rows[i].held) node->formats.test_override = AMB_FORMAT_1;
        if (rows[i].received) receive_key_change(rows[i].received);
        if (amb_format_active(node) != rows[i].in_use)
            fail_msg("%s: %d in use", rows[i].what, (int)amb_format_active(node));
        node->store.throttled_until = 0;
        amb_format_tick(node, amb_now() + 60000);
        if (fake_count_open_calls("POST", "/commit") != rows[i].again) fail_msg("%s: again", rows[i].what);
        /* Neither a late message of an ended process nor the removal of the key reverts the format. */
        receive_peer_message(0, 0);
        amb_format_apply_key(node, NULL);
        receive_key_change(1);
        if (amb_format_active(node) != rows[i].in_use) fail_msg("%s: reverted", rows[i].what);
        if (rows[i].in_use == AMB_FORMAT_2 && amb_format_has_older_peer(node))
            fail_msg("%s: an older peer is assumed where none can exist", rows[i].what);
        end();
    }
}

/* A node that starts reads the format in its first listing. */
static void read_at_the_start(void **state) {
    (void)state;
    begin();
    node->watch.loaded = false;
    amb_watch_start(node);
    struct fake_call *list = fake_open_call("/store?prefix=a/");
    assert_non_null(list);
    struct amb_buf body = {0};
    amb_cbor_write_map(&body, 3);
    amb_cbor_write_string(&body, "epoch"), amb_cbor_write_uint(&body, WRITTEN);
    amb_cbor_write_string(&body, "truncated"), amb_cbor_write_bool(&body, false);
    amb_cbor_write_string(&body, "pairs"), amb_cbor_write_list(&body, 1);
    amb_cbor_write_map(&body, 3);
    amb_cbor_write_string(&body, "path"), amb_cbor_write_string(&body, "a/format");
    amb_cbor_write_string(&body, "stamp"), amb_cbor_write_uint(&body, WRITTEN);
    amb_cbor_write_string(&body, "value"), amb_cbor_write_map(&body, 1),
        amb_cbor_write_string(&body, "format"), amb_cbor_write_uint(&body, 2);
    assert_int_equal(amb_format_active(node), AMB_FORMAT_1);
    fake_answer(list, 200, &body);
    assert_int_equal(amb_format_active(node), AMB_FORMAT_2);
    amb_timer_stop(&node->watch.watch_timer);
    end();
}

/* A node that has observed lowered limits tells its peers, which apply them from then on. */
static void lowered_limits_are_told(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool leads, announced;
        double own, users; /* writes per second afterwards */
    } rows[] = {
        {"the leader", true, true, 300, 300},
        {"another node", false, true, 100, 300},
        {"nothing is announced", true, false, 500, 500},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        begin();
        node->settings.announced_limits.write_rps = rows[i].announced ? 600 : 0;
        amb_store_init(&node->store, &node->settings, 1000);
        amb_store_set_leadership(&node->store, rows[i].leads);
        json_t *before = peer_reply_json(node, 0);
        assert_null(json_object_get(before, "limits_lowered"));
        receive_peer_message(0, 2);
        assert_false(node->store.limits_lowered);
        json_object_set_new(before, "limits_lowered", json_true());
        apply_peer_json(node, &node->peers.list[0], before, 0);
        json_decref(before);
        const struct amb_store *store = &node->store;
        assert_true(store->limits_lowered);
        if (store->write_bucket.tokens_per_second != rows[i].own ||
            store->user_write_bucket.tokens_per_second != rows[i].users)
            fail_msg("%s: %g of its own, %g for users", rows[i].what, store->write_bucket.tokens_per_second,
                     store->user_write_bucket.tokens_per_second);
        json_t *after = peer_reply_json(node, 0);
        assert_true(json_is_true(json_object_get(after, "limits_lowered")));
        json_decref(after);
        receive_peer_message(0, 2); /* a peer that has not observed it yet does not revert it */
        amb_store_set_leadership(&node->store, !rows[i].leads);
        assert_float_equal(store->user_write_bucket.tokens_per_second, rows[i].users, 1e-9);
        end();
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(announced),         cmocka_unit_test(written_when_all_peers_support_it),
        cmocka_unit_test(key_is_guarded),    cmocka_unit_test(in_use_once_written),
        cmocka_unit_test(read_at_the_start), cmocka_unit_test(lowered_limits_are_told),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
