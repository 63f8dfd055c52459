/* CBOR messages: decoding from the bytes of a body, encoding into a buffer. */
#include "cases.h"

#include "amberpin/codec/messages.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { PAGE_CHANGES = 20, COMMANDS = 4 };

static void *heartbeat_body(const struct world_size *size) {
    struct amb_buf *body = amb_alloc(sizeof *body);
    world_put_heartbeat(body, size, 0, 1, NULL);
    return body;
}

static void body_free(void *input) {
    struct amb_buf *body = input;
    amb_buf_free(body);
    free(body);
}

static void decode_heartbeat(void *input) {
    const struct amb_buf *body = input;
    struct amb_agent_heartbeat heartbeat;
    const struct amb_cbor_item *item = amb_cbor_parse(body->data, body->len);
    if (amb_codec_decode_heartbeat_item(item, &heartbeat) != AMB_CODEC_OK) abort();
    amb_codec_free_heartbeat(&heartbeat);
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
    const struct amb_cbor_item *item = amb_cbor_parse(body->data, body->len);
    if (amb_codec_decode_spec(item, &spec) != AMB_CODEC_OK) abort();
}

/* Builds a page of changes as `GET /follow` answers it: each change is an accepted job. */
static void *change_page_body(const struct world_size *size) {
    struct amb_buf *body = amb_alloc(sizeof *body);
    amb_cbor_write_map(body, 2);
    amb_cbor_write_string(body, "epoch");
    amb_cbor_write_uint(body, 1000);
    amb_cbor_write_string(body, "news");
    amb_cbor_write_list(body, PAGE_CHANGES);
    for (uint32_t i = 0; i < PAGE_CHANGES; i++) {
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

static void decode_change_page(void *input) {
    const struct amb_buf *body = input;
    const struct amb_cbor_item *item = amb_cbor_parse(body->data, body->len);
    struct amb_cbor_cursor changes = amb_cbor_list_begin(amb_cbor_map_get(item, "news"));
    const struct amb_cbor_item *change;
    while ((change = amb_cbor_next(&changes)) != NULL) {
        struct amb_job_spec spec;
        const struct amb_cbor_item *value = amb_cbor_map_get(change, "value");
        if (amb_codec_decode_spec(amb_cbor_map_get(value, "d"), &spec) != AMB_CODEC_OK) abort();
    }
}

static void *sample_commands(const struct world_size *size) {
    struct amb_agent_command *commands = amb_alloc(COMMANDS * sizeof *commands);
    for (uint32_t i = 0; i < COMMANDS; i++) {
        struct amb_job_spec spec;
        world_spec(&spec, size, i);
        commands[i].kind = i % 2 ? AMB_COMMAND_STOP : AMB_COMMAND_RUN;
        strcpy(commands[i].job_ref, spec.ref);
        commands[i].index = i;
        commands[i].attempt = 1;
    }
    return commands;
}

static void encode_commands(void *input) {
    struct amb_buf body = {0};
    amb_codec_encode_commands(&body, input, COMMANDS);
    amb_buf_free(&body);
}

static const struct bench_case cases[] = {
    {"codec/report-decode", &world_sizes[1], heartbeat_body, decode_heartbeat, body_free, false},
    {"codec/spec-decode", &world_sizes[1], spec_body, decode_spec, body_free, false},
    {"codec/follow-decode", &world_sizes[1], change_page_body, decode_change_page, body_free, false},
    {"codec/orders-encode", &world_sizes[1], sample_commands, encode_commands, free, false},
};

struct bench_cases bench_codec_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
