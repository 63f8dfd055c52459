/* The duty service: several members with one key-value store and one cloud (duty_members.h). */
#include "check.h"
#include "duty_members.h"

/* SUCCESSION_MS is long enough for a successor to take over: lease expiry and claims. */
enum { SETTLED_MS = 4000, SUCCESSION_MS = 4 * MEMBER_TTL_MS, LONG_MS = 60000 };

static int begin_members(void **state) {
    (void)state;
    members_begin();
    members_run(SETTLED_MS);
    return 0;
}

static int end_members(void **state) {
    (void)state;
    members_end();
    return 0;
}

static void begin_members_anew(void) {
    members_end();
    begin_members(NULL);
}

static void create_scale_out(const char *id) {
    const struct amb_duty_intent_payload payload = {
        .type = "g8", .zone = "a", .count = 3, .created_wall_ms = 1};
    members_put_intent(AMB_DUTY_RENT, id, &payload);
}

static void create_scale_in(enum amb_duty_name duty, const char *id) {
    struct amb_duty_intent_payload payload = {.reason = "idle", .created_wall_ms = 1};
    amb_duty_intent_payload_add_machine(&payload, "m-1");
    amb_duty_intent_payload_add_machine(&payload, "m-2");
    members_put_intent(duty, id, &payload);
    amb_duty_intent_payload_free(&payload);
}

static struct amb_duty_intent_record read_intent(enum amb_duty_name duty, const char *id,
                                                 uint32_t *machines) {
    struct amb_duty_intent_record record;
    struct amb_duty_intent_payload payload;
    if (!members_read_intent(duty, id, &record, &payload)) fail_msg("intent %s is not recorded", id);
    *machines = payload.machine_count;
    amb_duty_intent_payload_free(&payload);
    return record;
}

static void every_duty_finds_one_holder(void **state) {
    (void)state;
    for (int i = 0; i < AMB_DUTY_COUNT; i++) {
        int holder = members_holder((enum amb_duty_name)i), holders = 0;
        if (holder < 0) fail_msg("nobody holds %s", amb_duty_name_text((enum amb_duty_name)i));
        for (int k = 0; k < MEMBERS; k++)
            holders += amb_duty_service_is_holder(&members[k].service, (enum amb_duty_name)i);
        assert_int_equal(holders, 1);
        assert_true(amb_duty_service_is_holder(&members[holder].service, (enum amb_duty_name)i));
    }
    assert_string_equal(members_unconditional_change(), "");
}

static void intents_are_carried_out_and_cleaned_up(void **state) {
    uint32_t machines;
    (void)state;
    create_scale_out("r-1-1");
    create_scale_in(AMB_DUTY_RETURN, "t-1-1");
    create_scale_in(AMB_DUTY_RECLAIM, "t-1-2");
    members_run(1000);
    struct amb_duty_intent_record rent = read_intent(AMB_DUTY_RENT, "r-1-1", &machines);
    assert_int_equal(rent.state, AMB_DUTY_INTENT_SETTLED);
    assert_int_equal(rent.result, AMB_DUTY_RESULT_DONE);
    assert_int_equal(machines, 3);
    assert_int_equal(read_intent(AMB_DUTY_RETURN, "t-1-1", &machines).state, AMB_DUTY_INTENT_SETTLED);
    assert_int_equal(machines, 2);
    assert_int_equal(read_intent(AMB_DUTY_RECLAIM, "t-1-2", &machines).state, AMB_DUTY_INTENT_SETTLED);
    assert_int_equal(member_cloud.rentals, 1);
    assert_int_equal(member_cloud.calls, 3);
    assert_string_equal(members_unconditional_change(), "");
    assert_non_null(members_value("a/order/rent/r-1-1"));
    members_run(MEMBER_LIST_MS + MEMBER_TTL_MS);
    assert_null(members_value("a/order/rent/r-1-1"));
    assert_null(members_value("a/order/return/t-1-1"));
    for (int i = 0; i < MEMBERS; i++) assert_null(members[i].service.entries);
    assert_string_equal(members_unconditional_change(), "");
}

/* The holder of a duty crashes, pauses or loses a response at each step of an intent. */
static void successors_finish_intents(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct member_fault plan;
        bool changes_hands;
        uint32_t calls_least;
    } rows[] = {
        {"crashes before the intent is recorded as sent",
         {MEMBER_CALL_INTENT, MEMBER_CRASHES_BEFORE},
         true,
         1},
        {"crashes after it is recorded as sent", {MEMBER_CALL_INTENT, MEMBER_CRASHES_AFTER}, true, 1},
        {"crashes before the cloud call", {MEMBER_CALL_CLOUD, MEMBER_CRASHES_BEFORE}, true, 1},
        {"crashes after the cloud call", {MEMBER_CALL_CLOUD, MEMBER_CRASHES_AFTER}, true, 2},
        {"crashes before the result is written", {MEMBER_CALL_RESULT, MEMBER_CRASHES_BEFORE}, true, 2},
        {"crashes after the result is written", {MEMBER_CALL_RESULT, MEMBER_CRASHES_AFTER}, true, 1},
        {"pauses while it is recorded as sent", {MEMBER_CALL_INTENT, MEMBER_PAUSES_BEFORE}, true, 1},
        {"pauses during the cloud call", {MEMBER_CALL_CLOUD, MEMBER_PAUSES_BEFORE}, true, 2},
        {"pauses while the result is written", {MEMBER_CALL_RESULT, MEMBER_PAUSES_BEFORE}, true, 1},
        {"loses the response to the write as sent", {MEMBER_CALL_INTENT, MEMBER_RESPONSE_LOST}, false, 1},
        {"loses the response of the cloud", {MEMBER_CALL_CLOUD, MEMBER_RESPONSE_LOST}, false, 2},
        {"loses the response to the write of the result",
         {MEMBER_CALL_RESULT, MEMBER_RESPONSE_LOST},
         false,
         1},
    };
    static const enum amb_duty_name duties[] = {AMB_DUTY_RENT, AMB_DUTY_RETURN, AMB_DUTY_RECLAIM};
    for (size_t i = 0; i < ROWS(rows); i++)
        for (size_t duty_index = 0; duty_index < ROWS(duties); duty_index++) {
            uint32_t machines;
            begin_members_anew();
            int first = members_holder(duties[duty_index]);
            members_inject_fault(rows[i].plan);
            if (duties[duty_index] == AMB_DUTY_RENT)
                create_scale_out("r-1-1");
            else
                create_scale_in(duties[duty_index], "r-1-1");
            members_run(SUCCESSION_MS / 2);
            struct amb_duty_intent_record intent = read_intent(duties[duty_index], "r-1-1", &machines);
            if (intent.state != AMB_DUTY_INTENT_SETTLED || intent.result != AMB_DUTY_RESULT_DONE)
                fail_msg("%s: %s: state %d, result %d", amb_duty_name_text(duties[duty_index]), rows[i].what,
                         intent.state, intent.result);
            assert_int_equal(machines, duties[duty_index] == AMB_DUTY_RENT ? 3 : 2);
            int second = members_holder(duties[duty_index]);
            if (second < 0 || (second != first) != rows[i].changes_hands)
                fail_msg("%s: %s: held by %d after %d", amb_duty_name_text(duties[duty_index]), rows[i].what,
                         second, first);
            if (rows[i].plan.outcome == MEMBER_PAUSES_BEFORE) members_resume(first);
            members_run(SUCCESSION_MS);
            if (duties[duty_index] == AMB_DUTY_RENT &&
                (member_cloud.rentals != 1 || member_cloud.rented != 3))
                fail_msg("%s: %u scale outs, %u machines", rows[i].what, member_cloud.rentals,
                         member_cloud.rented);
            if (member_cloud.calls < rows[i].calls_least || member_cloud.calls > rows[i].calls_least + 1 ||
                member_cloud.stale_token_refusals)
                fail_msg("%s: %s: %u calls, %u stale", amb_duty_name_text(duties[duty_index]), rows[i].what,
                         member_cloud.calls, member_cloud.stale_token_refusals);
        }
}

/* A holder settles a scale in only by its own proof of absence; without one it repeats the call until the
 * cloud responds. */
static void scale_ins_are_settled_by_proof_of_absence(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool holder_proves, others_prove, settled;
    } rows[] = {
        {"nobody has proof", false, false, false},
        {"the holder has proof", true, false, true},
        {"others have proof", false, true, false},
    };
    static const enum amb_duty_name duties[] = {AMB_DUTY_RENT, AMB_DUTY_RETURN, AMB_DUTY_RECLAIM};
    for (size_t i = 0; i < ROWS(rows); i++)
        for (size_t duty_index = 0; duty_index < ROWS(duties); duty_index++) {
            uint32_t machines;
            begin_members_anew();
            for (int k = 0; k < MEMBERS; k++)
                members[k].proves_gone =
                    k == members_holder(duties[duty_index]) ? rows[i].holder_proves : rows[i].others_prove;
            member_cloud.responses_lost = true;
            if (duties[duty_index] == AMB_DUTY_RENT)
                create_scale_out("r-1-1");
            else
                create_scale_in(duties[duty_index], "r-1-1");
            members_run(SETTLED_MS);
            bool settled = rows[i].settled && duties[duty_index] != AMB_DUTY_RENT;
            struct amb_duty_intent_record intent = read_intent(duties[duty_index], "r-1-1", &machines);
            if (intent.state != (settled ? AMB_DUTY_INTENT_SETTLED : AMB_DUTY_INTENT_SENT) ||
                intent.result != (settled ? AMB_DUTY_RESULT_GONE : AMB_DUTY_RESULT_NONE))
                fail_msg("%s: %s: state %d, result %d", amb_duty_name_text(duties[duty_index]), rows[i].what,
                         intent.state, intent.result);
            assert_string_equal(members_unconditional_change(), "");
        }
}

/* A process that was paused between the decision and the call must not send it, because its lease has expired
 * meanwhile. */
static void a_pause_before_sending_is_noticed(void **state) {
    (void)state;
    int first = members_holder(AMB_DUTY_RENT);
    members_inject_fault((struct member_fault){MEMBER_CALL_INTENT, MEMBER_PAUSES_BEFORE});
    create_scale_out("r-1-1");
    members_run(SUCCESSION_MS);
    int second = members_holder(AMB_DUTY_RENT);
    assert_true(second >= 0 && second != first);
    uint32_t calls = member_cloud.calls;
    assert_int_equal(calls, 1);
    /* The first event that it receives is the response on which it would send the call. */
    members_resume(first);
    members_run(1000);
    assert_int_equal(member_cloud.calls, calls);
}

/* The lease is checked when the call is sent, not only when it is decided. */
static void validity_is_checked_right_before_sending(void **state) {
    (void)state;
    int holder = members_holder(AMB_DUTY_RENT);
    create_scale_out("r-1-1");
    members[holder].clock_jump_after_intent = MEMBER_TTL_MS;
    members_run(4L * MEMBER_STEP_MS);
    assert_int_equal(member_cloud.calls, 0);
    members_run(SUCCESSION_MS);
    assert_int_equal(member_cloud.rentals, 1);
}

static void a_member_cut_off_loses_its_duties(void **state) {
    (void)state;
    int first = members_holder(AMB_DUTY_RENT);
    members[first].cut_off = true;
    members_run(MEMBER_TTL_MS);
    assert_false(amb_duty_may_call(&members[first].service.core, AMB_DUTY_RENT,
                                   members[first].service.callbacks.now(&members[first])));
    members_run(SUCCESSION_MS);
    assert_int_not_equal(members_holder(AMB_DUTY_RENT), first);
    create_scale_out("r-1-1");
    members_run(1000);
    assert_int_equal(member_cloud.rentals, 1);
    members[first].cut_off = false;
    members_run(SUCCESSION_MS);
    assert_int_equal(member_cloud.calls, 1);
}

static void refused_scale_outs_are_settled(void **state) {
    uint32_t machines;
    (void)state;
    member_cloud.no_capacity = true;
    create_scale_out("r-1-1");
    members_run(1000);
    struct amb_duty_intent_record intent = read_intent(AMB_DUTY_RENT, "r-1-1", &machines);
    assert_int_equal(intent.state, AMB_DUTY_INTENT_SETTLED);
    assert_int_equal(intent.result, AMB_DUTY_RESULT_NO_CAPACITY);
    assert_int_equal(intent.unanswered, 0);
    assert_int_equal(machines, 0);
}

/* Returns a member that holds no duty: rebalancing would move a duty on from one that holds its fair share.
 */
static int member_without_duty(void) {
    for (int i = 0; i < MEMBERS; i++) {
        bool holds = false;
        for (int k = 0; k < AMB_DUTY_COUNT; k++) holds |= members_holder((enum amb_duty_name)k) == i;
        if (!holds) return i;
    }
    fail_msg("every member holds a duty");
    return 0;
}

static void operators_hand_duties_over(void **state) {
    (void)state;
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_buf value = {0};
    int first = members_holder(AMB_DUTY_RENT), successor = member_without_duty();
    struct amb_duty_handover handover = {{0}};
    strcpy(handover.successor, members[successor].name);
    amb_duty_handover_key(key, AMB_DUTY_RENT);
    amb_duty_encode_handover(&value, &handover);
    members_put(key, &value);
    amb_buf_free(&value);
    members_run(2000);
    assert_int_equal(members_holder(AMB_DUTY_RENT), successor);
    uint32_t seen = members[first].service.holder_changes;
    members_run(LONG_MS); /* the request applied to the former holder only, so the duty does not move again */
    assert_int_equal(members_holder(AMB_DUTY_RENT), successor);
    assert_int_equal(members[first].service.holder_changes, seen);
}

static void put_record_of_version(const char *key, uint64_t version) {
    struct amb_buf value = {0};
    amb_cbor_write_map(&value, 1);
    amb_cbor_write_string(&value, "form");
    amb_cbor_write_uint(&value, version);
    members_put(key, &value);
    amb_buf_free(&value);
}

/* With a record of a later version, no member acts on the duty or calls the cloud for it. */
static void newer_record_versions_are_not_acted_on(void **state) {
    (void)state;
    put_record_of_version("a/duty/rent", AMB_DUTY_RECORD_VERSION + 1);
    put_record_of_version("a/order/return/t-1-1", AMB_DUTY_RECORD_VERSION + 1);
    members_run(1000);
    create_scale_out("r-1-1");
    uint32_t before = members_writes();
    members_run(LONG_MS);
    assert_int_equal(member_cloud.calls, 0);
    assert_non_null(members_value("a/order/return/t-1-1"));
    if (members_writes() - before > 1)
        fail_msg("%u writes, though nothing is to be written", members_writes() - before);
}

static void stopping_hands_over(void **state) {
    (void)state;
    int first = members_holder(AMB_DUTY_RENT);
    amb_duty_service_stop(&members[first].service);
    members_run(2000);
    assert_false(members[first].service.active);
    members[first].alive = false;
    assert_int_not_equal(members_holder(AMB_DUTY_RENT), first);
    for (int i = 0; i < AMB_DUTY_COUNT; i++) assert_true(members_holder((enum amb_duty_name)i) >= 0);
}

/* A member that missed the removal of a record detects it when it reads all records again. */
static void reloading_detects_removed_keys(void **state) {
    (void)state;
    create_scale_out("r-1-1");
    members_run(1000);
    int idle = 0;
    while (idle == members_holder(AMB_DUTY_CLEANUP)) idle++;
    members[idle].cut_off = true;
    members_run(MEMBER_LIST_MS + MEMBER_TTL_MS);
    assert_null(members_value("a/order/rent/r-1-1"));
    assert_non_null(members[idle].service.entries);
    members[idle].cut_off = false;
    amb_duty_service_read_all(&members[idle].service);
    members_run(1000);
    assert_null(members[idle].service.entries);
}

static void late_reads_restore_nothing(void **state) {
    (void)state;
    int holder = members_holder(AMB_DUTY_RENT);
    members[holder].lists_held = true;
    /* Makes the holder read the intent. */
    members_inject_fault((struct member_fault){MEMBER_CALL_RESULT, MEMBER_RESPONSE_LOST});
    create_scale_out("r-1-1");
    members_run(MEMBER_LIST_MS + 2L * MEMBER_TTL_MS);
    assert_null(members_value("a/order/rent/r-1-1"));
    members[holder].lists_held = false;
    members_run(1000);
    assert_null(members[holder].service.entries);
}

/* The member receives a new intent, misses the change that settles it, and sends a read of it. */
static struct amb_duty_service *send_read_after_missed_change(int index) {
    struct amb_duty_service *service = &members[index].service;
    struct amb_duty_action read = {.type = AMB_DUTY_READ_INTENT, .duty = AMB_DUTY_RENT};
    read.intent = (struct amb_duty_intent_record){.duty = AMB_DUTY_RENT, .id = "r-1-1"};
    create_scale_out("r-1-1");
    members_run(MEMBER_STEP_MS);
    members[index].watch_held = true;
    members_run(1000);
    assert_int_equal(service->entries->record.state, AMB_DUTY_INTENT_PENDING);
    service->perform(service, &read);
    return service;
}

static struct amb_duty_intent *tracked_intent(const struct amb_duty_service *service) {
    return amb_duty_intent_table_find(&service->core.intents, AMB_DUTY_RENT, "r-1-1");
}

/* A member removes an intent from its table, and the response to an earlier read comes before the change that
 * removes the record. */
static void late_reads_add_nothing_to_the_intent_table(void **state) {
    (void)state;
    int idle = 0;
    while (idle == members_holder(AMB_DUTY_CLEANUP) || idle == members_holder(AMB_DUTY_RENT)) idle++;
    struct amb_duty_service *service = send_read_after_missed_change(idle);
    amb_duty_intent_table_remove(tracked_intent(service));
    members_run(2L * MEMBER_STEP_MS);
    /* The response to the read was applied. */
    assert_int_equal(service->entries->record.state, AMB_DUTY_INTENT_SETTLED);
    assert_null(tracked_intent(service));
    members[idle].watch_held = false;
    members_run(MEMBER_LIST_MS + MEMBER_TTL_MS);
    assert_null(service->entries);
}

/* A read updates an intent that the member still tracks. */
static void reads_reveal_missed_changes(void **state) {
    (void)state;
    int idle = 0;
    while (idle == members_holder(AMB_DUTY_RENT)) idle++;
    struct amb_duty_service *service = send_read_after_missed_change(idle);
    assert_int_equal(tracked_intent(service)->record.state, AMB_DUTY_INTENT_PENDING);
    members_run(2L * MEMBER_STEP_MS);
    assert_int_equal(tracked_intent(service)->record.state, AMB_DUTY_INTENT_SETTLED);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(every_duty_finds_one_holder, begin_members, end_members),
        cmocka_unit_test_setup_teardown(intents_are_carried_out_and_cleaned_up, begin_members, end_members),
        cmocka_unit_test_setup_teardown(successors_finish_intents, begin_members, end_members),
        cmocka_unit_test_setup_teardown(scale_ins_are_settled_by_proof_of_absence, begin_members,
                                        end_members),
        cmocka_unit_test_setup_teardown(a_pause_before_sending_is_noticed, begin_members, end_members),
        cmocka_unit_test_setup_teardown(validity_is_checked_right_before_sending, begin_members, end_members),
        cmocka_unit_test_setup_teardown(a_member_cut_off_loses_its_duties, begin_members, end_members),
        cmocka_unit_test_setup_teardown(refused_scale_outs_are_settled, begin_members, end_members),
        cmocka_unit_test_setup_teardown(operators_hand_duties_over, begin_members, end_members),
        cmocka_unit_test_setup_teardown(newer_record_versions_are_not_acted_on, begin_members, end_members),
        cmocka_unit_test_setup_teardown(stopping_hands_over, begin_members, end_members),
        cmocka_unit_test_setup_teardown(late_reads_restore_nothing, begin_members, end_members),
        cmocka_unit_test_setup_teardown(late_reads_add_nothing_to_the_intent_table, begin_members,
                                        end_members),
        cmocka_unit_test_setup_teardown(reads_reveal_missed_changes, begin_members, end_members),
        cmocka_unit_test_setup_teardown(reloading_detects_removed_keys, begin_members, end_members),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
