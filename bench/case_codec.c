/* CBOR messages: decoding from the body's bytes, encoding into a buffer. */
#include "cases.h"

#include "amberpin/codec/messages.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { FOLLOW_CHANGES = 20, ORDERS = 4 };

static void *report_body(const struct world_size *size) {
    struct amb_buf *body = amb_alloc(sizeof *body);
    world_put_report(body, size, 0, 1, NULL);
    return body;
}

static void body_free(void *input) {
    struct amb_buf *body = input;
    amb_buf_free(body);
    free(body);
}

static void decode_report(void *input) {
    const struct amb_buf *body = input;
    struct amb_agent_heartbeat heartbeat;
    cbor_item_t *item = amb_cbor_parse(body->data, body->len);
    if (amb_codec_decode_heartbeat_item(item, &heartbeat) != AMB_CODEC_OK) abort();
    amb_codec_free_heartbeat(&heartbeat);
    cbor_decref(&item);
}

static void *spec_body(const struct world_size *size) {
    struct amb_buf *body = amb_alloc(sizeof *body);
    struct amb_job_spec spec;
    world_spec(&spec, size, 0);
    amb_codec_encode_spec(body, &spec);
    return body;
}

static void decode_spec(void *input) {
    const struct amb_buf *body = input;
    struct amb_job_spec spec;
    cbor_item_t *item = amb_cbor_parse(body->data, body->len);
    if (amb_codec_decode_spec(item, &spec) != AMB_CODEC_OK) abort();
    cbor_decref(&item);
}

/* A page of changes as `GET /follow` gives it: as many accepted jobs. */
static void *follow_body(const struct world_size *size) {
    struct amb_buf *body = amb_alloc(sizeof *body);
    amb_cbor_write_map(body, 2);
    amb_cbor_write_string(body, "epoch");
    amb_cbor_write_uint(body, 1000);
    amb_cbor_write_string(body, "news");
    amb_cbor_write_list(body, FOLLOW_CHANGES);
    for (uint32_t i = 0; i < FOLLOW_CHANGES; i++) {
        struct amb_job_spec spec;
        char key[AMB_NAME_SIZE + 8];
        world_spec(&spec, size, i);
        snprintf(key, sizeof key, "a/job/%s", spec.ref);
        amb_cbor_write_map(body, 3);
        amb_cbor_write_string(body, "put");
        amb_cbor_write_string(body, key);
        amb_cbor_write_string(body, "stamp");
        amb_cbor_write_uint(body, 500 + i);
        amb_cbor_write_string(body, "value");
        amb_cbor_write_map(body, 3);
        amb_cbor_write_string(body, "s");
        amb_cbor_write_string(body, "queued");
        amb_cbor_write_string(body, "a");
        amb_cbor_write_uint(body, 1700000000000);
        amb_cbor_write_string(body, "d");
        amb_codec_encode_spec(body, &spec);
    }
    return body;
}

static void decode_follow(void *input) {
    const struct amb_buf *body = input;
    cbor_item_t *item = amb_cbor_parse(body->data, body->len);
    const cbor_item_t *news = amb_cbor_map_get(item, "news");
    for (size_t i = 0; i < amb_cbor_list_length(news); i++) {
        struct amb_job_spec spec;
        const cbor_item_t *value = amb_cbor_map_get(amb_cbor_list_item(news, i), "value");
        if (amb_codec_decode_spec(amb_cbor_map_get(value, "d"), &spec) != AMB_CODEC_OK) abort();
    }
    cbor_decref(&item);
}

static void *some_orders(const struct world_size *size) {
    struct amb_agent_command *orders = amb_alloc(ORDERS * sizeof *orders);
    for (uint32_t i = 0; i < ORDERS; i++) {
        struct amb_job_spec spec;
        world_spec(&spec, size, i);
        orders[i].kind = i % 2 ? AMB_COMMAND_STOP : AMB_COMMAND_RUN;
        strcpy(orders[i].job_ref, spec.ref);
        orders[i].index = i;
        orders[i].attempt = 1;
    }
    return orders;
}

static void encode_orders(void *input) {
    struct amb_buf body = {0};
    amb_codec_encode_commands(&body, input, ORDERS);
    amb_buf_free(&body);
}

static const struct bench_case cases[] = {
    {"codec/report-decode", &world_sizes[1], report_body, decode_report, body_free, false},
    {"codec/spec-decode", &world_sizes[1], spec_body, decode_spec, body_free, false},
    {"codec/follow-decode", &world_sizes[1], follow_body, decode_follow, body_free, false},
    {"codec/orders-encode", &world_sizes[1], some_orders, encode_orders, free, false},
};

struct bench_cases bench_codec_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
