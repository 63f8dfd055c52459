/* Encoding of the records of single-holder duties: round trips, unknown fields are ignored, and a newer
 * version is distinguished from a malformed value. */
#include "amberpin/duty/record_codec.h"
#include "cbor_items.h"
#include "check.h"

static const struct amb_cbor_item *parse(struct amb_buf *buffer) {
    const struct amb_cbor_item *item = cbor_item_copy(amb_cbor_parse(buffer->data, buffer->len));
    amb_buf_free(buffer);
    return item;
}

static void duty_records_are_read_back(void **state) {
    (void)state;
    struct amb_buf buffer = {0};
    struct amb_duty_record out = {0}, record = {.state = AMB_DUTY_RECORD_RELEASED,
                                                .holder = "n-1",
                                                .holder_incarnation = 412,
                                                .fencing_token = 9,
                                                .nonce = 77,
                                                .successor = "n-2",
                                                .cause = "handed over"};
    amb_duty_encode_record(&buffer, &record);
    const struct amb_cbor_item *item = parse(&buffer);
    assert_int_equal(amb_duty_decode_record(item, &out), AMB_DUTY_DECODED);
    cbor_item_free(item);
    record.present = true;
    assert_memory_equal(&out, &record, sizeof out);
}

static void intents_are_read_back(void **state) {
    (void)state;
    for (int duty = 0; duty < AMB_DUTY_CLEANUP; duty++) {
        struct amb_buf buffer = {0};
        struct amb_duty_intent_record out = {.duty = (enum amb_duty_name)duty},
                                      intent = {.duty = (enum amb_duty_name)duty,
                                                .state = AMB_DUTY_INTENT_SETTLED,
                                                .result = AMB_DUTY_RESULT_NO_CAPACITY,
                                                .fencing_token = 5,
                                                .unanswered = 2,
                                                .withdrawn = true};
        struct amb_duty_intent_payload read, payload = {.created_wall_ms = 1700000000123};
        if (duty == AMB_DUTY_RENT) {
            strcpy(payload.type, "g8"), strcpy(payload.zone, "a");
            payload.spot = true;
            payload.count = 12;
        } else {
            strcpy(payload.reason, "idle");
        }
        amb_duty_intent_payload_add_machine(&payload, "m-1");
        amb_duty_intent_payload_add_machine(&payload, "m-2");
        amb_duty_encode_intent(&buffer, &intent, &payload);
        const struct amb_cbor_item *item = parse(&buffer);
        assert_int_equal(amb_duty_decode_intent(item, &out, &read), AMB_DUTY_DECODED);
        cbor_item_free(item);
        intent.present = true;
        assert_memory_equal(&out, &intent, sizeof out);
        assert_string_equal(read.type, payload.type);
        assert_string_equal(read.zone, payload.zone);
        assert_string_equal(read.reason, payload.reason);
        assert_true(read.spot == payload.spot && read.count == payload.count);
        assert_true(read.created_wall_ms == payload.created_wall_ms);
        assert_int_equal(read.machine_count, 2);
        assert_string_equal(read.machines[1], "m-2");
        amb_duty_intent_payload_free(&payload);
        amb_duty_intent_payload_free(&read);
    }
}

static void write_mode(struct amb_buf *buffer, uint64_t version, const char *mode, bool extra_field) {
    amb_cbor_write_map(buffer, extra_field ? 3 : 2);
    amb_cbor_write_string(buffer, "form"), amb_cbor_write_uint(buffer, version);
    amb_cbor_write_string(buffer, "mode"), amb_cbor_write_string(buffer, mode);
    if (extra_field) amb_cbor_write_string(buffer, "colour"), amb_cbor_write_string(buffer, "red");
}

static void record_versions_are_checked(void **state) {
    (void)state;
    static const struct {
        uint64_t version;
        const char *mode;
        bool extra_field;
        enum amb_duty_decode_result decoded;
    } rows[] = {
        {AMB_DUTY_RECORD_VERSION, "duties", false, AMB_DUTY_DECODED},
        {AMB_DUTY_RECORD_VERSION, "duties", true, AMB_DUTY_DECODED},
        {AMB_DUTY_RECORD_VERSION, "other", false, AMB_DUTY_MALFORMED},
        {0, "duties", false, AMB_DUTY_MALFORMED},
        {AMB_DUTY_RECORD_VERSION + 1, "duties", false, AMB_DUTY_NEWER_VERSION},
        {AMB_DUTY_RECORD_VERSION + 1, "other", true, AMB_DUTY_NEWER_VERSION},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_buf buffer = {0};
        enum amb_duty_mode mode = AMB_DUTY_MODE_LEADER;
        write_mode(&buffer, rows[i].version, rows[i].mode, rows[i].extra_field);
        const struct amb_cbor_item *item = parse(&buffer);
        enum amb_duty_decode_result decoded = amb_duty_decode_mode(item, &mode);
        cbor_item_free(item);
        if (decoded != rows[i].decoded || (mode == AMB_DUTY_MODE_DUTIES) != (decoded == AMB_DUTY_DECODED))
            fail_msg("row %zu: %d, mode %d", i, (int)decoded, (int)mode);
    }
}

/* A record without any one of its fields is malformed; no field has a default. */
static void missing_fields_are_noticed(void **state) {
    (void)state;
    struct amb_buf buffer = {0};
    struct amb_duty_record out;
    struct amb_duty_record record = {.holder = "n-1", .fencing_token = 3};
    amb_duty_encode_record(&buffer, &record);
    const struct amb_cbor_item *item = amb_cbor_parse(buffer.data, buffer.len), *name;
    struct amb_cbor_cursor position = amb_cbor_map_begin(item);
    for (size_t i = 0; (name = amb_cbor_next(&position)) != NULL; i++) {
        char *first_character = buffer.data + (&name->head - &item->head) + 1, kept = *first_character;
        *first_character = 'X';
        if (amb_duty_decode_record(item, &out) != AMB_DUTY_MALFORMED)
            fail_msg("field %zu: its absence is not detected", i);
        *first_character = kept;
        amb_cbor_next(&position);
    }
    assert_int_equal(amb_duty_decode_record(item, &out), AMB_DUTY_DECODED);
    amb_buf_free(&buffer);
}

static void intent_keys_are_parsed(void **state) {
    (void)state;
    static const struct {
        const char *key;
        bool good;
        enum amb_duty_name duty;
        const char *id;
    } rows[] = {
        {"a/order/rent/r-1-2", true, AMB_DUTY_RENT, "r-1-2"},
        {"a/order/reclaim/t-1-2", true, AMB_DUTY_RECLAIM, "t-1-2"},
        {"a/order/rent/", false, 0, ""},
        {"a/order/rent", false, 0, ""},
        {"a/order/lead/x", false, 0, ""},
        {"a/order/averylongnameofaduty/x", false, 0, ""},
        {"a/orders/rent/x", false, 0, ""},
        {"a/order/rent/0123456789012345678901234567890123456789012345678", false, 0, ""},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        enum amb_duty_name duty;
        char id[AMB_DUTY_INTENT_ID_SIZE], key[AMB_DUTY_KEY_SIZE];
        bool good = amb_duty_parse_intent_key(rows[i].key, &duty, id);
        if (good != rows[i].good) fail_msg("%s: %d", rows[i].key, good);
        if (!good) continue;
        assert_int_equal(duty, rows[i].duty);
        assert_string_equal(id, rows[i].id);
        amb_duty_intent_key(key, duty, id);
        assert_string_equal(key, rows[i].key);
    }
}

/* A record must fit the limit of values even when it names the most machines allowed. */
static void intents_fit_the_value_limit(void **state) {
    (void)state;
    static const double limits[] = {1, 2.5, 8, 64};
    for (size_t i = 0; i < ROWS(limits); i++) {
        struct amb_buf buffer = {0};
        struct amb_duty_intent_record intent = {.duty = AMB_DUTY_RENT,
                                                .state = AMB_DUTY_INTENT_SETTLED,
                                                .result = AMB_DUTY_RESULT_MALFORMED,
                                                .fencing_token = UINT32_MAX,
                                                .unanswered = UINT32_MAX};
        struct amb_duty_intent_payload payload = {
            .created_wall_ms = 1700000000123, .count = 50, .type = "g8-large", .zone = "zone-a"};
        uint32_t max_machines = amb_duty_max_machines(limits[i]);
        assert_true(max_machines >= 1 && max_machines <= AMB_DUTY_MAX_MACHINES);
        for (uint32_t k = 0; k < max_machines; k++)
            amb_duty_intent_payload_add_machine(&payload, "m-000231-longer");
        amb_duty_encode_intent(&buffer, &intent, &payload);
        const struct amb_cbor_item *item = parse(&buffer);
        size_t len = amb_cbor_encoded_len(item);
        if ((double)len > limits[i] * 1024) fail_msg("%g KiB: %zu bytes", limits[i], len);
        cbor_item_free(item);
        amb_duty_intent_payload_free(&payload);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(duty_records_are_read_back),  cmocka_unit_test(intents_are_read_back),
        cmocka_unit_test(record_versions_are_checked), cmocka_unit_test(missing_fields_are_noticed),
        cmocka_unit_test(intent_keys_are_parsed),      cmocka_unit_test(intents_fit_the_value_limit),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
