/* Messages between controllers: names on the wire, which messages are rejected and why, and what is
 * skipped. */
#include "amberpin/codec/peer_messages.h"

#include "check.h"

static struct amb_peer_message *parse(const char *text) {
    struct amb_peer_message *message;
    assert_int_equal(amb_peer_message_parse(text, strlen(text), SIZE_MAX, &message).fault,
                     AMB_PEER_MESSAGE_OK);
    return message;
}

static void expect_error(const char *text, struct amb_peer_message_error got,
                         enum amb_peer_message_fault fault, const char *field) {
    bool same_field = field ? got.field && !strcmp(got.field, field) : !got.field;
    if (got.fault != fault || !same_field)
        fail_msg("%s: %s is %s", text, got.field ? got.field : "the message",
                 amb_peer_message_fault_name(got.fault));
}

/* ---- encoding ---- */

static const struct amb_peer_status STATUS = {.term = 7, .is_leader = true, .store_reachable = true};

static void expect_text(struct amb_peer_message *message, const char *want) {
    char *text = amb_peer_message_to_text(message);
    assert_string_equal(text, want);
    free(text);
    amb_peer_message_release(message);
}

static void a_status_as_the_first_version_writes_it(void **state) {
    (void)state;
    expect_text(amb_peer_message_new("n-0", &STATUS),
                "{\"from\":\"n-0\",\"loaded\":false,\"term\":7,\"leading\":true,\"store\":true,"
                "\"reports_arrive\":false,\"cancelled\":[]}");
}

static void a_whole_heartbeat(void **state) {
    (void)state;
    struct amb_peer_status status = STATUS;
    status.has_read_store = status.receives_agent_heartbeats = status.limits_lowered = true;
    status.format = 2;
    status.duties_record_version = 1;
    struct amb_peer_message *message = amb_peer_message_new("n-0", &status);
    amb_peer_message_add_cancellation(message, &(struct amb_peer_cancellation){"wk-1", 1700000000000, 61});
    amb_peer_message_set_known_revision(message, 1234);
    amb_peer_message_add_leader_part(message, -1.5);
    struct amb_peer_machine_images images = {.machine = "m-1", .count = 2};
    strcpy(images.images[0].name, "img-1");
    images.images[0].size_gb = 65.5;
    strcpy(images.images[1].name, "img-2");
    images.images[1].size_gb = 2;
    amb_peer_message_add_machine_images(message, &images);
    amb_peer_message_add_progress(message, &(struct amb_peer_job_progress){"wk-2", 3, 4});
    expect_text(message, "{\"from\":\"n-0\",\"loaded\":true,\"term\":7,\"leading\":true,\"store\":true,"
                         "\"reports_arrive\":true,\"format\":2,\"limits_lowered\":true,\"duties\":1,"
                         "\"cancelled\":[[\"wk-1\",1700000000000,61]],\"epoch\":1234,\"token_grant\":-1.5,"
                         "\"images\":{\"m-1\":[[\"img-1\",65.5],[\"img-2\",2.0]]},"
                         "\"jobs\":[[\"wk-2\",3,4]]}");
}

static void a_notice(void **state) {
    (void)state;
    char *text = amb_peer_notice_to_text(&(struct amb_peer_cancellation){"wk-1", 1700000000000, 0});
    assert_string_equal(text, "{\"ref\":\"wk-1\",\"wall\":1700000000000,\"stamp\":0}");
    free(text);
}

/* ---- decoding ---- */

static void what_is_not_json(void **state) {
    (void)state;
    static const char *const rows[] = {"", "{", "{\"from\":\"n1\"", "no"};
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_peer_message *message;
        expect_error(rows[i], amb_peer_message_parse(rows[i], strlen(rows[i]), SIZE_MAX, &message),
                     AMB_PEER_MESSAGE_NOT_JSON, NULL);
        assert_null(message);
    }
}

static void senders(void **state) {
    (void)state;
    static const struct {
        const char *text, *sender;
        enum amb_peer_message_fault fault;
    } rows[] = {
        {"{\"from\":\"n1\"}", "n1", AMB_PEER_MESSAGE_OK},
        {"{}", NULL, AMB_PEER_MESSAGE_FIELD_MISSING},
        {"[1]", NULL, AMB_PEER_MESSAGE_FIELD_MISSING},
        {"{\"from\":1}", NULL, AMB_PEER_MESSAGE_FIELD_TYPE},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_peer_message *message = parse(rows[i].text);
        const char *sender;
        expect_error(rows[i].text, amb_peer_message_sender(message, &sender), rows[i].fault,
                     rows[i].fault ? "from" : NULL);
        if (rows[i].sender) assert_string_equal(sender, rows[i].sender);
        if (!rows[i].sender) assert_null(sender);
        amb_peer_message_release(message);
    }
}

static void statuses(void **state) {
    (void)state;
    static const struct {
        const char *loaded, *term, *leading, *store, *reports_arrive;
        enum amb_peer_message_fault fault;
        const char *field;
    } rows[] = {
        {"true", "5", "false", "true", "false", AMB_PEER_MESSAGE_OK, NULL},
        {"1", "5", "false", "true", "false", AMB_PEER_MESSAGE_FIELD_TYPE, "loaded"},
        {"true", "5.0", "false", "true", "false", AMB_PEER_MESSAGE_FIELD_TYPE, "term"},
        {"true", "-1", "false", "true", "false", AMB_PEER_MESSAGE_FIELD_RANGE, "term"},
        {"true", NULL, "false", "true", "false", AMB_PEER_MESSAGE_FIELD_MISSING, "term"},
        {"true", "5", "null", "true", "false", AMB_PEER_MESSAGE_FIELD_TYPE, "leading"},
        {"true", "5", "false", "\"x\"", "false", AMB_PEER_MESSAGE_FIELD_TYPE, "store"},
        {"true", "5", "false", "true", "0", AMB_PEER_MESSAGE_FIELD_TYPE, "reports_arrive"},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        char text[256], term[32] = "";
        if (rows[i].term) snprintf(term, sizeof term, "\"term\":%s,", rows[i].term);
        snprintf(text, sizeof text, "{\"loaded\":%s,%s\"leading\":%s,\"store\":%s,\"reports_arrive\":%s}",
                 rows[i].loaded, term, rows[i].leading, rows[i].store, rows[i].reports_arrive);
        struct amb_peer_message *message = parse(text);
        struct amb_peer_status status = {.term = 99};
        expect_error(text, amb_peer_message_status(message, &status), rows[i].fault, rows[i].field);
        assert_int_equal(status.term, rows[i].fault ? 99 : 5);
        assert_int_equal(status.has_read_store, !rows[i].fault);
        assert_int_equal(status.store_reachable, !rows[i].fault);
        assert_false(status.is_leader || status.receives_agent_heartbeats || status.limits_lowered);
        assert_int_equal(status.format, 0);
        amb_peer_message_release(message);
    }
}

static void headers(void **state) {
    (void)state;
    static const struct {
        const char *text;
        uint64_t known_revision;
        double token_loan;
    } rows[] = {
        {"{}", 0, 0},
        {"{\"epoch\":1234,\"token_grant\":-1.5}", 1234, -1.5},
        {"{\"epoch\":-1,\"token_grant\":3}", 0, 3},
        {"{\"epoch\":\"1\",\"token_grant\":\"3\"}", 0, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_peer_message *message = parse(rows[i].text);
        struct amb_peer_message_header header = amb_peer_message_header(message);
        assert_int_equal(header.known_revision, rows[i].known_revision);
        assert_float_equal(header.token_loan, rows[i].token_loan, 0);
        amb_peer_message_release(message);
    }
}

/* A malformed row is skipped without its neighbours. */
static void rows_are_skipped_one_by_one(void **state) {
    (void)state;
    struct amb_peer_message *message =
        parse("{\"cancelled\":[1,[],[\"wk-1\",5],[\"wk-2\",5,6],[\"wk-3\",5,\"6\"],[\"wk-4\",7,8,9]],"
              "\"jobs\":[[\"wk-5\",1,2],[\"wk-6\",1.5,2],[7,1,2],[\"wk-8\",3,4]]}");
    struct amb_peer_cancellation cancellation;
    struct amb_peer_job_progress progress;
    struct amb_buf got = {0};
    struct amb_peer_message_rows rows = amb_peer_message_cancellations(message);
    while (amb_peer_message_next_cancellation(&rows, &cancellation))
        amb_buf_append_format(&got, "%s:%lld:%llu ", cancellation.ref,
                              (long long)cancellation.cancelled_wall_ms,
                              (unsigned long long)cancellation.revision);
    rows = amb_peer_message_progress(message);
    while (amb_peer_message_next_progress(&rows, &progress))
        amb_buf_append_format(&got, "%s:%u:%u ", progress.ref, progress.done, progress.running);
    amb_buf_append(&got, "", 1);
    assert_string_equal(got.data, "wk-2:5:6 wk-4:7:8 wk-5:1:2 wk-8:3:4 ");
    amb_buf_free(&got);
    amb_peer_message_release(message);
}

static void images_by_machine(void **state) {
    (void)state;
    struct amb_peer_message *message =
        parse("{\"images\":{\"m-1\":[[\"img-1\",65.5],[\"img-2\"],1,[\"img-3\",2]],\"m-2\":[],"
              "\"m-3-whose-name-has-sixty-four-characters-and-so-does-not-fit-here-\":[[\"img-1\",1]],"
              "\"m-4\":[[\"img-4\",1]]}}");
    struct amb_peer_machine_images images;
    struct amb_buf got = {0};
    void *position = NULL;
    assert_true(amb_peer_message_has_images(message));
    while (amb_peer_message_next_machine_images(message, &position, &images)) {
        amb_buf_append_format(&got, "%s", images.machine);
        for (uint32_t i = 0; i < images.count; i++)
            amb_buf_append_format(&got, " %s:%g", images.images[i].name, images.images[i].size_gb);
        amb_buf_append_format(&got, ";");
    }
    amb_buf_append(&got, "", 1);
    assert_string_equal(got.data, "m-1 img-1:65.5 img-3:2;m-2;m-4 img-4:1;");
    amb_buf_free(&got);
    amb_peer_message_release(message);
}

static void notices(void **state) {
    (void)state;
    static const struct {
        const char *text;
        enum amb_peer_message_fault fault;
        const char *field;
    } rows[] = {
        {"{\"ref\":\"wk-1\",\"wall\":5,\"stamp\":6}", AMB_PEER_MESSAGE_OK, NULL},
        {"{\"ref\":\"wk-1\",\"wall\":5,\"stamp\":0}", AMB_PEER_MESSAGE_OK, NULL},
        {"{\"wall\":5,\"stamp\":6}", AMB_PEER_MESSAGE_FIELD_MISSING, "ref"},
        {"{\"ref\":1,\"wall\":5,\"stamp\":6}", AMB_PEER_MESSAGE_FIELD_TYPE, "ref"},
        {"{\"ref\":\"wk-1\",\"stamp\":6}", AMB_PEER_MESSAGE_FIELD_MISSING, "wall"},
        {"{\"ref\":\"wk-1\",\"wall\":5,\"stamp\":\"6\"}", AMB_PEER_MESSAGE_FIELD_TYPE, "stamp"},
        {"{\"ref\":\"wk-1\",\"wall\":5,\"stamp\":-6}", AMB_PEER_MESSAGE_FIELD_RANGE, "stamp"},
        {"[]", AMB_PEER_MESSAGE_FIELD_MISSING, "ref"},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_peer_message *message = parse(rows[i].text);
        struct amb_peer_cancellation cancellation = {.cancelled_wall_ms = 99};
        expect_error(rows[i].text, amb_peer_message_notice(message, &cancellation), rows[i].fault,
                     rows[i].field);
        assert_int_equal(cancellation.cancelled_wall_ms, rows[i].fault ? 99 : 5);
        amb_peer_message_release(message);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_status_as_the_first_version_writes_it),
        cmocka_unit_test(a_whole_heartbeat),
        cmocka_unit_test(a_notice),
        cmocka_unit_test(what_is_not_json),
        cmocka_unit_test(senders),
        cmocka_unit_test(statuses),
        cmocka_unit_test(headers),
        cmocka_unit_test(rows_are_skipped_one_by_one),
        cmocka_unit_test(images_by_machine),
        cmocka_unit_test(notices),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
