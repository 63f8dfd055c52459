/* Single-holder duties on a controller: the scaling mode, the intents that the leader writes, failover,
 * proofs of absence, and the calls, write budget and status of a holder. */
#include "amberpin/cloud/machine_list.h"
#include "amberpin/cloud/scale_out.h"
#include "amberpin/cloud_duty/cloud_access.h"
#include "amberpin/cloud_duty/duty_options.h"
#include "amberpin/cloud_duty/participation.h"
#include "amberpin/cloud_duty/scaling_intents.h"
#include "amberpin/cloud_duty/scaling_mode.h"
#include "amberpin/duty/duty_status.h"
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "leader_fixture.h"
#include "peer_json.h"

#include <jansson.h>
#include <math.h>

#define MODE_KEY AMB_DUTY_MODE_KEY

enum { MODE_REVISION = 60 };

/* ---- contents of the key-value store ---- */

static void apply_change(const char *key, struct amb_buf *value, uint64_t revision) {
    const struct amb_cbor_item *item = value ? amb_cbor_parse(value->data, value->len) : NULL;
    amb_duties_apply_change(node, key, item, revision);
    if (value) amb_buf_free(value);
}

static void apply_mode(enum amb_duty_mode mode, uint64_t revision) {
    struct amb_buf value = {0};
    amb_duty_encode_mode(&value, mode);
    apply_change(MODE_KEY, &value, revision);
}

static void apply_intent(enum amb_duty_name duty, const char *id, enum amb_duty_intent_state state,
                         enum amb_duty_intent_result result, const char *machine, uint64_t revision) {
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_buf value = {0};
    struct amb_duty_intent_record intent = {
        .duty = duty, .state = state, .result = result, .fencing_token = 1};
    struct amb_duty_intent_payload payload = {
        .type = "g8", .zone = "a", .count = 1, .reason = "idle", .created_wall_ms = 1};
    if (machine) amb_duty_intent_payload_add_machine(&payload, machine);
    amb_duty_intent_key(key, duty, id);
    amb_duty_encode_intent(&value, &intent, &payload);
    amb_duty_intent_payload_free(&payload);
    apply_change(key, &value, revision);
}

static void answer_list(const char *prefix) {
    char path[64];
    struct amb_buf body = {0};
    snprintf(path, sizeof path, "/store?prefix=%s", prefix);
    amb_cbor_write_map(&body, 2);
    amb_cbor_write_string(&body, "epoch"), amb_cbor_write_uint(&body, 50);
    amb_cbor_write_string(&body, "pairs"), amb_cbor_write_list(&body, 0);
    fake_answer(open_call("GET", path), 200, &body);
}

/* ---- the node ---- */

static void set_peers(enum amb_peer_duties first, enum amb_peer_duties second) {
    node->peers.count = 2;
    node->peers.list[0].duties = first;
    node->peers.list[1].duties = second;
}

/* Makes the node take part and read all records, of which there are none. */
static void take_part(void) {
    amb_duties_note_listed(node);
    answer_list("a/duty&");
    answer_list("a/order/");
    assert_true(amb_duties_is_ready(node));
}

static void use_duties(void) {
    node->options.duties = 1;
    set_peers(AMB_PEER_DUTIES_ON, AMB_PEER_DUTIES_ON);
    apply_mode(AMB_DUTY_MODE_DUTIES, MODE_REVISION);
    take_part();
    assert_int_equal(amb_duties_scaling_path(node), AMB_SCALING_BY_HOLDER);
}

static int end_duties(void **state) {
    fake_answer_all_lost();
    amb_duty_service_abort(&node->duties.service);
    return fixture_teardown(state);
}

static void begin_duties_anew(void) {
    end_duties(NULL);
    fixture_setup(NULL);
}

/* Returns the transaction in flight that writes this key, or NULL. */
static struct fake_call *find_commit(const char *key) {
    for (struct fake_call *call = find_call("POST", "/commit"); call;) {
        if (fake_txn_put(call, key, NULL)) return call;
        break; /* these tests have one transaction in flight at a time */
    }
    return NULL;
}

static struct fake_call *open_commit(const char *key) {
    struct fake_call *call = find_commit(key);
    if (!call) fail_msg("%s: no write in flight", key);
    return call;
}

/* ---- duties disabled ---- */

static void off_costs_nothing(void **state) {
    (void)state;
    set_peers(AMB_PEER_DUTIES_ON, AMB_PEER_DUTIES_ON);
    amb_duties_note_listed(node);
    amb_duties_tick(node, amb_now());
    assert_false(node->duties.service.active);
    assert_int_equal(node->duties.timer.position, 0);
    assert_int_equal(fake_count_sent_calls(""), 0);
    assert_int_equal(amb_duties_scaling_path(node), AMB_SCALING_BY_LEADER);
    assert_true(amb_duties_is_ready(node));
    char *message = amb_peer_encode_heartbeat(node);
    assert_null(strstr(message, "duties"));
    free(message);
}

static void heartbeats_say_whether_duties_are_enabled(void **state) {
    (void)state;
    node->options.duties = 1;
    char *text = amb_peer_encode_heartbeat(node);
    json_t *message = json_loads(text, 0, NULL);
    assert_int_equal(json_integer_value(json_object_get(message, "duties")), 1);
    start_peer_heartbeats();
    assert_int_equal(node->peers.list[0].duties, AMB_PEER_DUTIES_UNKNOWN);
    apply_peer_json(node, &node->peers.list[0], message, 0);
    assert_int_equal(node->peers.list[0].duties, AMB_PEER_DUTIES_ON);
    receive_peer_heartbeat(0, (struct peer_state){.term = TERM}); /* from a version without duties */
    assert_int_equal(node->peers.list[0].duties, AMB_PEER_DUTIES_OFF);
    json_decref(message);
    free(text);
}

/* ---- the scaling mode ---- */

static void duties_come_into_use_once_all_peers_agree(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double own_option;
        enum amb_peer_duties first, second;
        bool scaling_out, scaling_in, lease_expired, written;
    } rows[] = {
        {"enabled on all", 1, AMB_PEER_DUTIES_ON, AMB_PEER_DUTIES_ON, false, false, false, true},
        {"disabled on the leader", 0, AMB_PEER_DUTIES_ON, AMB_PEER_DUTIES_ON, false, false, false, false},
        {"a peer without duties", 1, AMB_PEER_DUTIES_ON, AMB_PEER_DUTIES_OFF, false, false, false, false},
        {"a peer without a heartbeat", 1, AMB_PEER_DUTIES_UNKNOWN, AMB_PEER_DUTIES_ON, false, false, false,
         false},
        {"an open scale out of the leader", 1, AMB_PEER_DUTIES_ON, AMB_PEER_DUTIES_ON, true, false, false,
         false},
        {"an open release of the leader", 1, AMB_PEER_DUTIES_ON, AMB_PEER_DUTIES_ON, false, true, false,
         false},
        {"the leadership lease may have expired", 1, AMB_PEER_DUTIES_ON, AMB_PEER_DUTIES_ON, false, false,
         true, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        begin_duties_anew();
        if (rows[i].scaling_out) {
            amb_scale_out_submit(node, 0, 0, false, 1);
            node->cloud.scale_out.requests->state = AMB_SCALE_OUT_REQUESTING;
        }
        node->cloud.release.count = rows[i].scaling_in;
        node->options.duties = rows[i].own_option;
        set_peers(rows[i].first, rows[i].second);
        if (rows[i].lease_expired) node->election.renewed_at -= LEADER_TTL_MS;
        amb_duties_tick(node, amb_now());
        struct fake_call *commit = find_commit(MODE_KEY);
        if ((commit != NULL) != rows[i].written) fail_msg("%s: written: %d", rows[i].what, commit != NULL);
        node->cloud.release.count = 0;
        if (!commit) continue;
        assert_int_equal(fake_txn_compared_revision(commit, LEADER_KEY), TERM);
        assert_int_equal(fake_txn_compared_revision(commit, MODE_KEY), 0);
    }
}

/* While the mode changes, neither the leader nor a holder begins a cloud call, whatever the response to the
 * write. */
static void nothing_is_begun_while_the_mode_changes(void **state) {
    (void)state;
    static const int statuses[] = {200, 409, 503, 0};
    for (size_t i = 0; i < ROWS(statuses); i++) {
        begin_duties_anew();
        node->options.duties = 1;
        set_peers(AMB_PEER_DUTIES_ON, AMB_PEER_DUTIES_ON);
        assert_int_equal(amb_scale_out_available_calls(node, amb_now()), 0);
        struct amb_machine *machine = machine_up("m-1", 0);
        amb_cloud_scale_in(node, machine, "idle");
        amb_duties_tick(node, amb_now());
        struct fake_call *commit = open_commit(MODE_KEY);
        if (statuses[i] == 200)
            answer_committed(commit, MODE_REVISION);
        else
            fake_answer(commit, statuses[i], NULL);
        assert_int_equal(amb_duties_scaling_path(node), AMB_SCALING_PAUSED);
        assert_int_equal(amb_scale_out_available_calls(node, amb_now()), 0);
        node->cloud.list.started_at = amb_now();
        amb_cloud_tick(node, amb_now());
        assert_null(find_call("POST", "/machines"));
        fake_clock_advance(2000);
        node->election.renewed_at = amb_now();
        amb_duties_tick(node, amb_now());
        /* The same write is repeated. */
        assert_int_equal(fake_txn_compared_revision(open_commit(MODE_KEY), MODE_KEY), 0);
        set_peers(AMB_PEER_DUTIES_ON, AMB_PEER_DUTIES_OFF); /* too late: the write may be committed */
        assert_int_equal(amb_duties_scaling_path(node), AMB_SCALING_PAUSED);
        set_peers(AMB_PEER_DUTIES_ON, AMB_PEER_DUTIES_ON);
        apply_mode(AMB_DUTY_MODE_DUTIES, MODE_REVISION);
        assert_int_equal(amb_duties_scaling_path(node), AMB_SCALING_BY_HOLDER);
    }
}

static void a_mode_of_a_newer_version_is_not_acted_on(void **state) {
    (void)state;
    struct amb_buf value = {0};
    node->options.duties = 1;
    set_peers(AMB_PEER_DUTIES_ON, AMB_PEER_DUTIES_ON);
    amb_cbor_write_map(&value, 2);
    amb_cbor_write_string(&value, "form"), amb_cbor_write_uint(&value, AMB_DUTY_RECORD_VERSION + 1);
    amb_cbor_write_string(&value, "mode"), amb_cbor_write_string(&value, "duties");
    apply_change(MODE_KEY, &value, MODE_REVISION);
    amb_duties_tick(node, amb_now());
    assert_int_equal(amb_duties_scaling_path(node), AMB_SCALING_PAUSED);
    assert_null(find_commit(MODE_KEY));
}

static void duties_go_out_of_use_once_intents_are_settled(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double own_option;
        enum amb_peer_duties peer;
        bool leaves;
    } rows[] = {
        {"disabled on the leader", 0, AMB_PEER_DUTIES_ON, true},
        {"a peer without duties returns", 1, AMB_PEER_DUTIES_OFF, true},
        {"a peer without a heartbeat", 1, AMB_PEER_DUTIES_UNKNOWN, false},
        {"enabled on all", 1, AMB_PEER_DUTIES_ON, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        begin_duties_anew();
        use_duties();
        apply_intent(AMB_DUTY_RENT, "r-1-1", AMB_DUTY_INTENT_SENT, AMB_DUTY_RESULT_NONE, NULL, 61);
        fake_answer_all_lost();
        node->options.duties = rows[i].own_option;
        set_peers(AMB_PEER_DUTIES_ON, rows[i].peer);
        amb_duties_tick(node, amb_now());
        if (find_commit(MODE_KEY)) fail_msg("%s: written while an intent is open", rows[i].what);
        if (rows[i].leaves) {
            assert_int_equal(amb_duties_scaling_path(node), AMB_SCALING_PAUSED);
            assert_int_equal(amb_scale_out_available_calls(node, amb_now()), 0);
        }
        apply_intent(AMB_DUTY_RENT, "r-1-1", AMB_DUTY_INTENT_SETTLED, AMB_DUTY_RESULT_DONE, "m-1", 62);
        amb_duties_tick(node, amb_now());
        struct fake_call *commit = find_commit(MODE_KEY);
        if ((commit != NULL) != rows[i].leaves) fail_msg("%s: written: %d", rows[i].what, commit != NULL);
        if (!commit) continue;
        assert_int_equal(fake_txn_compared_revision(commit, MODE_KEY), MODE_REVISION);
        apply_mode(AMB_DUTY_MODE_LEADER, 63);
        assert_int_equal(amb_duties_scaling_path(node), AMB_SCALING_BY_LEADER);
    }
}

/* A node with duties disabled takes part until the mode has changed and the last record is removed. */
static void a_disabled_node_takes_part_until_intents_are_settled(void **state) {
    (void)state;
    apply_mode(AMB_DUTY_MODE_DUTIES, MODE_REVISION);
    take_part();
    assert_true(node->duties.service.active);
    apply_intent(AMB_DUTY_RENT, "r-1-1", AMB_DUTY_INTENT_SETTLED, AMB_DUTY_RESULT_DONE, "m-1", 61);
    apply_mode(AMB_DUTY_MODE_LEADER, 62);
    fake_clock_advance(1000);
    fake_answer_all_lost();
    assert_true(node->duties.service.active);
    apply_change("a/order/rent/r-1-1", NULL, 63);
    fake_clock_advance(1000);
    assert_false(node->duties.service.active);
}

/* ---- intents ---- */

/* The part of a leader's tick that scales out: its own calls to the cloud, then the intents that it writes.
 */
static void run_leader_tick(void) {
    amb_cloud_tick(node, amb_now());
    amb_duties_tick(node, amb_now());
}

static void scale_out_intents_are_written(void **state) {
    (void)state;
    use_duties();
    amb_scale_out_submit(node, 0, 0, false, 1);
    run_leader_tick();
    struct fake_call *commit = open_commit("a/order/rent/r-50-1");
    assert_int_equal(fake_txn_compared_revision(commit, LEADER_KEY), TERM);
    assert_int_equal(fake_txn_compared_revision(commit, "a/order/rent/r-50-1"), 0);
    answer_committed(commit, 70);
    node->cloud.list.started_at = amb_now();
    for (int i = 0; i < 5; i++) {
        fake_clock_advance(500);
        node->election.renewed_at = node->cloud.list.started_at = amb_now();
        run_leader_tick();
    }
    assert_null(find_call("POST", "/machines"));
    assert_int_equal(node->cloud.scale_out.requests->state,
                     AMB_SCALE_OUT_REQUESTING); /* capacity plans count the requested machines */
    apply_intent(AMB_DUTY_RENT, "r-50-1", AMB_DUTY_INTENT_SENT, AMB_DUTY_RESULT_NONE, NULL, 71);
    assert_non_null(node->cloud.scale_out.requests);
    apply_intent(AMB_DUTY_RENT, "r-50-1", AMB_DUTY_INTENT_SETTLED, AMB_DUTY_RESULT_DONE, "m-1", 72);
    assert_null(node->cloud.scale_out.requests);
    struct amb_machine *machine = amb_machine_get(node, "m-1", false);
    assert_non_null(machine);
    assert_int_equal(machine->state, AMB_MACHINE_BOOTING);
}

static void refusals_start_the_capacity_backoff(void **state) {
    (void)state;
    use_duties();
    amb_scale_out_submit(node, 0, 0, false, 1);
    apply_intent(AMB_DUTY_RENT, "r-50-1", AMB_DUTY_INTENT_SETTLED, AMB_DUTY_RESULT_NO_CAPACITY, NULL, 72);
    assert_null(node->cloud.scale_out.requests);
    assert_true(amb_scale_out_is_backing_off(node, 0, 0, false, amb_now()));
}

/* Otherwise the request would count as open forever and keep duties in use. */
static void intents_whose_removal_was_missed_are_dropped(void **state) {
    (void)state;
    use_duties();
    amb_scale_out_submit(node, 0, 0, false, 1);
    apply_intent(AMB_DUTY_RENT, "r-50-1", AMB_DUTY_INTENT_SENT, AMB_DUTY_RESULT_NONE, NULL, 71);
    assert_non_null(node->cloud.scale_out.requests);
    apply_change("a/order/rent/r-50-1", NULL, 72);
    assert_null(node->cloud.scale_out.requests);
}

/* A write without a response is repeated under the same id. */
static void intents_are_written_once(void **state) {
    (void)state;
    use_duties();
    struct amb_machine *machine = machine_up("m-1", 0);
    amb_cloud_scale_in(node, machine, "idle");
    amb_duties_tick(node, amb_now());
    fake_answer(open_commit("a/order/return/t-50-1"), 0, NULL);
    fake_clock_advance(2000);
    node->election.renewed_at = amb_now();
    amb_duties_tick(node, amb_now());
    struct fake_call *again = open_commit("a/order/return/t-50-1");
    assert_int_equal(fake_txn_compared_revision(again, "a/order/return/t-50-1"), 0);
    fake_answer(again, 409, NULL); /* the first write was committed */
    apply_intent(AMB_DUTY_RETURN, "t-50-1", AMB_DUTY_INTENT_PENDING, AMB_DUTY_RESULT_NONE, "m-1", 71);
    fake_clock_advance(2000);
    node->election.renewed_at = amb_now();
    amb_duties_tick(node, amb_now());
    assert_null(find_call("POST", "/commit"));
    assert_int_equal(machine->state, AMB_MACHINE_RELEASING);
}

static void machines_are_returned_by_reason(void **state) {
    (void)state;
    static const struct {
        const char *machine, *key, *reason;
        bool planned;
    } rows[] = {
        {"m-1", "a/order/return/t-50-1", "idle", true},
        {"m-2", "a/order/reclaim/t-50-2", "silent for too long", false},
        {"m-3", "a/order/reclaim/t-50-3", "the cloud says it failed", false},
    };
    use_duties();
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_machine *machine = machine_up(rows[i].machine, 0);
        if (rows[i].planned)
            amb_cloud_scale_in(node, machine, rows[i].reason);
        else
            amb_cloud_release(node, machine, rows[i].reason);
    }
    for (size_t i = 0; i < ROWS(rows); i++) {
        amb_duties_tick(node, amb_now());
        struct fake_call *commit = open_commit(rows[i].key);
        const struct amb_cbor_item *value = fake_txn_put(commit, rows[i].key, NULL);
        assert_int_equal(fake_txn_compared_revision(commit, LEADER_KEY), TERM);
        assert_int_equal(amb_cbor_list_length(amb_cbor_map_get(value, "machines")), 1);
        assert_true(
            amb_cbor_equals(amb_cbor_list_item(amb_cbor_map_get(value, "machines"), 0), rows[i].machine));
        assert_true(amb_cbor_equals(amb_cbor_map_get(value, "reason"), rows[i].reason));
        answer_committed(commit, 70 + i);
    }
    amb_duties_tick(node, amb_now());
    assert_null(find_call("POST", "/commit"));
    assert_null(find_call("POST", "/machines/release"));
    apply_intent(AMB_DUTY_RETURN, "t-50-1", AMB_DUTY_INTENT_SETTLED, AMB_DUTY_RESULT_DONE, "m-1", 80);
    assert_null(amb_machine_get(node, "m-1", false));
    /* The cloud rejected the release: the machine still exists, is not used, and is released by another
     * intent. */
    apply_intent(AMB_DUTY_RECLAIM, "t-50-2", AMB_DUTY_INTENT_SETTLED, AMB_DUTY_RESULT_MALFORMED, "m-2", 81);
    assert_false(amb_machine_is_schedulable(node, amb_machine_get(node, "m-2", false), amb_now()));
    amb_duties_tick(node, amb_now());
    assert_non_null(open_commit("a/order/reclaim/t-50-4"));
}

/* ---- failover ---- */

/* A new leader did not know which machines its predecessor was releasing: it placed tasks on them and
 * released them again (docs/incidents). */
static void new_leaders_know_what_is_being_returned(void **state) {
    (void)state;
    static const enum amb_duty_name duties[] = {AMB_DUTY_RETURN, AMB_DUTY_RECLAIM};
    static const enum amb_duty_intent_state states[] = {AMB_DUTY_INTENT_PENDING, AMB_DUTY_INTENT_SENT};
    for (size_t duty_index = 0; duty_index < ROWS(duties); duty_index++)
        for (size_t state_index = 0; state_index < ROWS(states); state_index++) {
            begin_duties_anew();
            use_duties();
            node->controller.restored_at = 0;
            apply_intent(duties[duty_index], "t-40-1", states[state_index], AMB_DUTY_RESULT_NONE, "m-1", 61);
            apply_intent(duties[duty_index], "t-40-2", states[state_index], AMB_DUTY_RESULT_NONE, "m-2", 62);
            struct amb_machine *machine = machine_up("m-1", 0); /* known from the records */
            amb_duties_restore(node);
            node->controller.restored_at = amb_now();
            struct amb_machine *later = amb_machine_get(node, "m-2", true); /* known from a report */
            assert_false(amb_machine_is_schedulable(node, machine, amb_now()));
            amb_machine_set_state(machine, AMB_MACHINE_UP, "it reports");
            assert_int_equal(machine->state, AMB_MACHINE_RELEASING);
            assert_int_equal(later->state, AMB_MACHINE_RELEASING);
            amb_cloud_release(node, machine, "silent for too long");
            amb_cloud_release(node, later, "silent for too long");
            fake_answer_all_lost();
            amb_duties_tick(node, amb_now());
            if (find_call("POST", "/commit")) fail_msg("released twice");
            apply_intent(duties[duty_index], "t-40-1", AMB_DUTY_INTENT_SETTLED, AMB_DUTY_RESULT_DONE, "m-1",
                         63);
            assert_null(amb_machine_get(node, "m-1", false));
        }
}

/* A report of a released machine may come late, and a machine list may be old: no task is started there. */
static void released_machines_do_not_come_back(void **state) {
    (void)state;
    use_duties();
    node->controller.restored_at = 0;
    apply_intent(AMB_DUTY_RETURN, "t-40-1", AMB_DUTY_INTENT_SETTLED, AMB_DUTY_RESULT_DONE, "m-1", 61);
    amb_duties_restore(node);
    node->controller.restored_at = amb_now();
    struct amb_machine *machine = amb_machine_get(node, "m-1", true);
    amb_machine_set_state(machine, AMB_MACHINE_UP, "it reports");
    assert_int_equal(machine->state, AMB_MACHINE_RELEASING);
}

static void new_leaders_wait_for_duty_records(void **state) {
    (void)state;
    node->options.duties = 1;
    set_peers(AMB_PEER_DUTIES_ON, AMB_PEER_DUTIES_ON);
    apply_mode(AMB_DUTY_MODE_DUTIES, MODE_REVISION);
    amb_duties_note_listed(node);
    assert_false(amb_duties_is_ready(node));
    answer_list("a/duty&");
    assert_false(amb_duties_is_ready(node));
    answer_list("a/order/");
    assert_true(amb_duties_is_ready(node));
}

static void new_leaders_take_over_scale_out_requests(void **state) {
    (void)state;
    use_duties();
    node->controller.restored_at = 0;
    apply_intent(AMB_DUTY_RENT, "r-40-1", AMB_DUTY_INTENT_SENT, AMB_DUTY_RESULT_NONE, NULL, 61);
    apply_intent(AMB_DUTY_RENT, "r-40-2", AMB_DUTY_INTENT_SETTLED, AMB_DUTY_RESULT_DONE, "m-7", 62);
    amb_duties_restore(node);
    assert_non_null(amb_scale_out_find(node, "r-40-1"));
    assert_null(amb_scale_out_find(node, "r-40-2"));
    assert_int_equal(amb_machine_get(node, "m-7", false)->state, AMB_MACHINE_BOOTING);
}

/* The request of a leader before duties came into use has been answered, so it is not repeated. */
static void old_requests_are_not_repeated(void **state) {
    (void)state;
    struct amb_buf buffer = {0};
    use_duties();
    amb_cbor_write_map(&buffer, 4);
    amb_cbor_write_string(&buffer, "type"), amb_cbor_write_string(&buffer, "g8");
    amb_cbor_write_string(&buffer, "zone"), amb_cbor_write_string(&buffer, "a");
    amb_cbor_write_string(&buffer, "spot"), amb_cbor_write_bool(&buffer, false);
    amb_cbor_write_string(&buffer, "count"), amb_cbor_write_uint(&buffer, 3);
    const struct amb_cbor_item *value = amb_cbor_parse(buffer.data, buffer.len);
    amb_scale_out_restore(node, "b/r/r-40-7", value);
    amb_buf_free(&buffer);
    node->cloud.list.started_at = amb_now();
    amb_cloud_tick(node, amb_now());
    assert_null(find_call("POST", "/machines"));
}

/* A new leader reads the key-value store and all records, and only then is ready to place tasks. */
static void takeover_comes_before_placing(void **state) {
    (void)state;
    char err[128];
    use_duties();
    node->controller.restored_at = 0;
    apply_intent(AMB_DUTY_RETURN, "t-40-1", AMB_DUTY_INTENT_SENT, AMB_DUTY_RESULT_NONE, "m-1", 61);
    fake_answer_all_lost();
    amb_controller_start_leading(node);
    assert_int_equal(amb_node_start(node, err, sizeof err), 0);
    assert_int_equal(node->controller.restored_at, 0);
    answer_change_list(open_call("GET", "/follow"), 90, NULL, AMB_JOB_QUEUED, 0);
    assert_null(amb_machine_get(node, "m-1", false));
    struct amb_buf body = {0};
    amb_cbor_write_map(&body, 2);
    amb_cbor_write_string(&body, "epoch"), amb_cbor_write_uint(&body, 90);
    amb_cbor_write_string(&body, "pairs"), amb_cbor_write_list(&body, 0);
    fake_answer(open_call("GET", "/store?prefix=b/"), 200, &body);
    assert_int_not_equal(node->controller.restored_at, 0);
    const struct amb_machine *machine = amb_machine_get(node, "m-1", false);
    if (!machine || machine->state != AMB_MACHINE_RELEASING)
        fail_msg("the machine is not known to be released");
}

/* ---- listing of all keys ---- */

static void put_pair(struct amb_buf *body, const char *key, uint64_t revision, const struct amb_buf *value) {
    amb_cbor_write_map(body, 3);
    amb_cbor_write_string(body, "path"), amb_cbor_write_string(body, key);
    amb_cbor_write_string(body, "stamp"), amb_cbor_write_uint(body, revision);
    amb_cbor_write_string(body, "value"), amb_buf_append(body, value->data, value->len);
}

static void answer_page(const char *key, uint64_t revision, struct amb_buf *value, bool more) {
    struct amb_buf body = {0};
    amb_cbor_write_map(&body, 3);
    amb_cbor_write_string(&body, "epoch"), amb_cbor_write_uint(&body, 90);
    amb_cbor_write_string(&body, "truncated"), amb_cbor_write_bool(&body, more);
    amb_cbor_write_string(&body, "pairs"), amb_cbor_write_list(&body, 1);
    put_pair(&body, key, revision, value);
    amb_buf_free(value);
    fake_answer(open_call("GET", "/store?prefix=a/"), 200, &body);
}

/* The keys of intents sort after the leader key, so the last page may lack it although it exists. */
static void the_leader_key_may_be_on_an_earlier_page(void **state) {
    (void)state;
    struct amb_buf leader = {0}, intent_value = {0};
    struct amb_duty_intent_record record = {.duty = AMB_DUTY_RETURN};
    struct amb_duty_intent_payload payload = {.reason = "idle"};
    amb_cbor_write_map(&leader, 2);
    amb_cbor_write_string(&leader, "member"), amb_cbor_write_string(&leader, "n-0");
    amb_cbor_write_string(&leader, "nonce"), amb_cbor_write_uint(&leader, 1);
    amb_duty_encode_intent(&intent_value, &record, &payload);
    amb_watch_start(node);
    answer_page(LEADER_KEY, TERM, &leader, true);
    answer_page("a/order/return/t-1-1", 61, &intent_value, false);
    assert_true(amb_election_has_leader_role(node));
}

/* ---- proofs of absence ---- */

/* Reads the machine list of the cloud now: one page that contains this machine, or none if it is NULL. */
static void read_machine_list(const char *machine, const char *stance, bool more) {
    struct amb_buf body = {0};
    node->cloud.list.started_at = 0;
    amb_cloud_list_tick(node, amb_now());
    amb_cbor_write_map(&body, 2);
    amb_cbor_write_string(&body, "truncated"), amb_cbor_write_bool(&body, more);
    amb_cbor_write_string(&body, "rigs"), amb_cbor_write_list(&body, machine != NULL);
    if (machine) {
        amb_cbor_write_map(&body, 2);
        amb_cbor_write_string(&body, "ref"), amb_cbor_write_string(&body, machine);
        amb_cbor_write_string(&body, "stance"), amb_cbor_write_string(&body, stance);
    }
    fake_answer(open_call("GET", "/machines"), 200, &body);
}

/* Without a response of the cloud, a holder settles a scale in only by an absence that this node observed as
 * the leader. */
static void only_a_machine_list_proves_absence(void **state) {
    (void)state;
    static const struct {
        const char *what, *listed, *stance;
        bool early, more, no_list, second, stops_leading, proven;
    } rows[] = {
        {.what = "no machine list was read", .no_list = true},
        {.what = "the list may be too old", .early = true},
        {.what = "listed", .listed = "m-1", .stance = "running"},
        {.what = "listed as failed", .listed = "m-1", .stance = "failed"},
        {.what = "there is another page", .listed = "m-0", .stance = "running", .more = true},
        {.what = "not listed", .proven = true},
        {.what = "one of two is listed", .listed = "m-2", .stance = "running", .second = true},
        {.what = "neither is listed", .second = true, .proven = true},
        {.what = "proven before the node stopped leading", .stops_leading = true, .proven = true},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        begin_duties_anew();
        use_duties();
        fake_answer_all_lost();
        struct amb_duty_intent_payload payload = {0};
        const struct amb_duty_service_callbacks *callbacks = &node->duties.service.callbacks;
        amb_duty_intent_payload_add_machine(&payload, "m-1");
        apply_intent(AMB_DUTY_RETURN, "t-50-1", AMB_DUTY_INTENT_SENT, AMB_DUTY_RESULT_NONE, "m-1", 61);
        if (rows[i].second) {
            amb_duty_intent_payload_add_machine(&payload, "m-2");
            apply_intent(AMB_DUTY_RETURN, "t-50-2", AMB_DUTY_INTENT_SENT, AMB_DUTY_RESULT_NONE, "m-2", 62);
        }
        amb_ms span = amb_absence_list_span(node->settings.list_lag_s, node->settings.heartbeat_s);
        fake_clock_advance(rows[i].early ? span : span + 1);
        fake_answer_all_lost();
        if (!rows[i].no_list) read_machine_list(rows[i].listed, rows[i].stance, rows[i].more);
        if (rows[i].stops_leading) amb_controller_stop_leading(node, "a test");
        if (callbacks->is_absence_proven(node, &payload) != rows[i].proven)
            fail_msg("%s: proven: %d", rows[i].what, !rows[i].proven);
        amb_duty_intent_payload_free(&payload);
    }
    const struct amb_duty_intent_payload empty = {0};
    assert_false(node->duties.service.callbacks.is_absence_proven(node, &empty));
}

/* ---- cloud calls of a holder ---- */

static void cloud_done(void *arg, struct amb_duty_cloud_reply *reply) {
    *(enum amb_duty_cloud_answer *)arg = reply->answer;
    amb_duty_intent_payload_free(&reply->acquired);
}

static void calls_carry_the_fencing_token(void **state) {
    (void)state;
    static const struct {
        enum amb_duty_name duty;
        int status;
        const char *error;
        enum amb_duty_cloud_answer answer;
    } rows[] = {
        {AMB_DUTY_RETURN, 200, NULL, AMB_DUTY_CLOUD_DONE},
        {AMB_DUTY_RENT, 200, "readable", AMB_DUTY_CLOUD_DONE},
        {AMB_DUTY_RENT, 200, NULL, AMB_DUTY_CLOUD_NO_ANSWER},
        {AMB_DUTY_RENT, 503, "no capacity", AMB_DUTY_CLOUD_NO_CAPACITY},
        {AMB_DUTY_RENT, 503, "trouble", AMB_DUTY_CLOUD_BUSY},
        {AMB_DUTY_RECLAIM, 409, NULL, AMB_DUTY_CLOUD_FENCED},
        {AMB_DUTY_RENT, 400, NULL, AMB_DUTY_CLOUD_MALFORMED},
        {AMB_DUTY_RECLAIM, 0, NULL, AMB_DUTY_CLOUD_NO_ANSWER},
        {AMB_DUTY_RETURN, 429, NULL, AMB_DUTY_CLOUD_BUSY},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        uint64_t fencing_token = 0;
        enum amb_duty_cloud_answer answer = AMB_DUTY_CLOUD_NOT_SENT;
        const struct amb_duty_intent_record intent = {.duty = rows[i].duty, .id = "r-1-1"};
        const struct amb_duty_intent_payload payload = {.type = "g8", .zone = "a", .count = 1};
        struct amb_buf body = {0};
        begin_duties_anew();
        assert_true(amb_duties_call_cloud(node, &intent, &payload, 7, cloud_done, &answer));
        struct fake_call *call = open_call("POST", "/machines");
        assert_true(amb_cbor_get_uint(amb_cbor_map_get(call->cbor_body, "baton"), &fencing_token));
        assert_int_equal(fencing_token, 7);
        assert_true(
            amb_cbor_equals(amb_cbor_map_get(call->cbor_body, "duty"), amb_duty_name_text(rows[i].duty)));
        if (rows[i].duty == AMB_DUTY_RENT)
            assert_true(amb_cbor_equals(amb_cbor_map_get(call->cbor_body, "charter"), "r-1-1"));
        if (rows[i].error) {
            amb_cbor_write_map(&body, 1);
            amb_cbor_write_string(&body, "error"), amb_cbor_write_string(&body, rows[i].error);
        }
        fake_answer(call, rows[i].status, &body);
        if (answer != rows[i].answer) fail_msg("row %zu: answer %d", i, (int)answer);
    }
}

/* With only a follower's share of the write budget, a scale out waited for tokens at its holder. The shares
 * of all duties add up to one. */
static void holders_have_a_larger_write_budget(void **state) {
    (void)state;
    static const struct {
        bool in_use, held[AMB_DUTY_COUNT];
        double writes; /* per second, of 3000 in all, for one follower of three controllers */
    } rows[] = {
        {false, {[AMB_DUTY_RENT] = true}, 500},   {true, {false}, 250},
        {true, {[AMB_DUTY_RENT] = true}, 500},    {true, {[AMB_DUTY_RETURN] = true}, 350},
        {true, {[AMB_DUTY_RECLAIM] = true}, 350}, {true, {[AMB_DUTY_CLEANUP] = true}, 300},
        {true, {true, true, true, true}, 750},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        begin_duties_anew();
        amb_store_set_leadership(&node->store, false);
        use_duties();
        if (!rows[i].in_use) apply_mode(AMB_DUTY_MODE_LEADER, MODE_REVISION + 1);
        struct amb_duty_service *service = &node->duties.service;
        for (int k = 0; k < AMB_DUTY_COUNT; k++)
            service->core.duties[k].state = rows[i].held[k] ? AMB_DUTY_FENCED : AMB_DUTY_IDLE;
        fake_clock_advance(service->core.settings.backoff / 4);
        for (int k = 0; k < AMB_DUTY_COUNT; k++)
            assert_int_equal(amb_duty_service_is_holder(service, (enum amb_duty_name)k), rows[i].held[k]);
        if (fabs(node->store.write_bucket.tokens_per_second - rows[i].writes) > 1e-6)
            fail_msg("row %zu: %g", i, node->store.write_bucket.tokens_per_second);
    }
}

/* A node that no longer takes part has a follower's share of the write budget again. */
static void larger_write_budget_ends_with_duties(void **state) {
    (void)state;
    amb_store_set_leadership(&node->store, false);
    apply_mode(AMB_DUTY_MODE_DUTIES, MODE_REVISION);
    take_part();
    fake_clock_advance(1000);
    assert_true(node->store.duties_in_use);
    apply_mode(AMB_DUTY_MODE_LEADER, MODE_REVISION + 1);
    fake_clock_advance(1000);
    fake_answer_all_lost();
    assert_false(node->duties.service.active);
    assert_float_equal(node->store.write_bucket.tokens_per_second, 500, 1e-6);
}

/* ---- operators ---- */

static void operators_see_duty_status(void **state) {
    (void)state;
    use_duties();
    apply_intent(AMB_DUTY_RENT, "r-1-1", AMB_DUTY_INTENT_SENT, AMB_DUTY_RESULT_NONE, NULL, 61);
    struct amb_buf value = {0};
    struct amb_duty_record record = {
        .holder = "n-2", .holder_incarnation = 5, .fencing_token = 4, .cause = "vacant"};
    amb_duty_encode_record(&value, &record);
    apply_change("a/duty/rent", &value, 64);
    assert_true(amb_duties_handle_request(node, new_request("GET", "/duties", NULL)));
    assert_int_equal(latest_reply()->status, 200);
    json_t *message = json_loadb(latest_reply()->body.data, latest_reply()->body.len, 0, NULL);
    assert_string_equal(json_string_value(json_object_get(message, "node")), "n-0");
    assert_int_equal(json_integer_value(json_object_get(message, "term")), TERM);
    assert_string_equal(json_string_value(json_object_get(message, "mode")), "duties");
    assert_non_null(json_object_get(message, "age_ms"));
    const json_t *rent = json_array_get(json_object_get(message, "duties"), 0);
    assert_string_equal(json_string_value(json_object_get(rent, "holder")), "n-2");
    assert_int_equal(json_integer_value(json_object_get(rent, "token")), 4);
    assert_int_equal(json_integer_value(json_object_get(rent, "open_orders")), 1);
    const json_t *handover = json_array_get(json_object_get(message, "handovers"), 0);
    assert_string_equal(json_string_value(json_object_get(handover, "to")), "n-2");
    assert_string_equal(json_string_value(json_object_get(handover, "cause")), "vacant");
    json_decref(message);
}

static void operators_ask_for_handovers(void **state) {
    (void)state;
    static const struct {
        const char *body;
        bool taken;
    } rows[] = {
        {"{\"duty\":\"rent\",\"to\":\"n-2\"}", true},
        {"{\"duty\":\"cleanup\"}", true},
        {"{\"duty\":\"lead\"}", false},
        {"{}", false},
        {"no", false},
    };
    use_duties();
    fake_answer_all_lost();
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_buf body = {0};
        amb_buf_append_text(&body, rows[i].body);
        assert_true(amb_duties_handle_request(node, new_request("POST", "/duties/handover", &body)));
        struct fake_call *commit = find_call("POST", "/commit");
        if ((commit != NULL) != rows[i].taken) fail_msg("row %zu: taken: %d", i, commit != NULL);
        if (!commit) {
            assert_int_equal(latest_reply()->status, 400);
            continue;
        }
        assert_int_equal(latest_reply()->status, 0); /* the reply waits until the request is recorded */
        assert_non_null(fake_txn_put(commit, i ? "a/duty-handover/cleanup" : "a/duty-handover/rent", NULL));
        answer_committed(commit, 70 + i);
        assert_int_equal(latest_reply()->status, 200);
    }
}

/* ---- settings ---- */

static void too_short_leases_are_refused(void **state) {
    (void)state;
    static const struct {
        double on, lease;
        bool good;
    } rows[] = {{1, 0.3, true}, {1, 0.05, true}, {1, 0.02, false}, {0, 0.02, true}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        char err[256] = "";
        node->options.duties = rows[i].on;
        node->options.duty_lease_share = rows[i].lease;
        bool good = amb_duties_check_options(&node->settings, &node->options, "options.xml", err, sizeof err);
        if (good != rows[i].good) fail_msg("row %zu: %s", i, err);
        if (!good && (!strstr(err, "options.xml: duty-lease: ") || !strstr(err, "must be")))
            fail_msg("row %zu: %s", i, err);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(off_costs_nothing, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(heartbeats_say_whether_duties_are_enabled, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(duties_come_into_use_once_all_peers_agree, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(nothing_is_begun_while_the_mode_changes, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(a_mode_of_a_newer_version_is_not_acted_on, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(duties_go_out_of_use_once_intents_are_settled, fixture_setup,
                                        end_duties),
        cmocka_unit_test_setup_teardown(a_disabled_node_takes_part_until_intents_are_settled, fixture_setup,
                                        end_duties),
        cmocka_unit_test_setup_teardown(scale_out_intents_are_written, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(refusals_start_the_capacity_backoff, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(intents_whose_removal_was_missed_are_dropped, fixture_setup,
                                        end_duties),
        cmocka_unit_test_setup_teardown(intents_are_written_once, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(machines_are_returned_by_reason, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(new_leaders_know_what_is_being_returned, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(released_machines_do_not_come_back, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(new_leaders_wait_for_duty_records, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(new_leaders_take_over_scale_out_requests, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(old_requests_are_not_repeated, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(takeover_comes_before_placing, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(the_leader_key_may_be_on_an_earlier_page, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(only_a_machine_list_proves_absence, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(calls_carry_the_fencing_token, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(holders_have_a_larger_write_budget, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(larger_write_budget_ends_with_duties, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(operators_see_duty_status, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(operators_ask_for_handovers, fixture_setup, end_duties),
        cmocka_unit_test_setup_teardown(too_short_leases_are_refused, fixture_setup, end_duties),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
