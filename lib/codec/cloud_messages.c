#include "amberpin/codec/cloud_messages.h"

#include "fields.h"

#include <stdio.h>
#include <string.h>

enum {
    SCALE_OUT_FIELDS = 5,
    RELEASE_FIELDS = 1,
    FENCE_FIELDS = 2,
};

static size_t count_fence_fields(const struct amb_cloud_fence *fence) {
    return fence->duty ? FENCE_FIELDS : 0;
}

static void put_uint(struct amb_buf *out, const char *key, uint64_t number) {
    amb_cbor_write_string(out, key);
    amb_cbor_write_uint(out, number);
}

static void put_fence(struct amb_buf *out, const struct amb_cloud_fence *fence) {
    if (!fence->duty) return;
    amb_codec_put_text(out, "duty", fence->duty);
    put_uint(out, "baton", fence->fencing_token);
}

void amb_codec_encode_scale_out(struct amb_buf *out, const struct amb_cloud_scale_out *request) {
    amb_cbor_write_map(out, SCALE_OUT_FIELDS + count_fence_fields(&request->fence));
    amb_codec_put_text(out, "charter", request->request_id);
    amb_codec_put_text(out, "hull", request->type);
    amb_codec_put_text(out, "yard", request->zone);
    amb_codec_put_bool(out, "driftwood", request->spot);
    put_uint(out, "count", request->count);
    put_fence(out, &request->fence);
}

void amb_codec_encode_release(struct amb_buf *out, const struct amb_cloud_release *release) {
    amb_cbor_write_map(out, RELEASE_FIELDS + count_fence_fields(&release->fence));
    amb_cbor_write_string(out, "rigs");
    amb_cbor_write_list(out, release->count);
    for (uint32_t i = 0; i < release->count; i++) amb_cbor_write_string(out, release->names[i]);
    put_fence(out, &release->fence);
}

struct amb_cloud_acquired amb_codec_decode_acquired(const struct amb_cbor_item *body) {
    const struct amb_cbor_item *entries = amb_cbor_map_get(body, "rigs");
    return (struct amb_cloud_acquired){amb_cbor_list_begin(entries), amb_cbor_list_length(entries)};
}

bool amb_codec_next_acquired(struct amb_cbor_cursor *position, char name[AMB_NAME_SIZE]) {
    const struct amb_cbor_item *entry;
    while ((entry = amb_cbor_next(position)) != NULL)
        if (amb_cbor_copy_string(entry, name, AMB_NAME_SIZE)) return true;
    return false;
}

bool amb_codec_is_no_capacity(const struct amb_cbor_item *body) {
    return amb_cbor_equals(amb_cbor_map_get(body, "error"), "no capacity");
}

void amb_codec_format_list_path(char path[AMB_CLOUD_LIST_PATH_SIZE], const char *cursor, int machines) {
    if (cursor[0])
        snprintf(path, AMB_CLOUD_LIST_PATH_SIZE, AMB_CLOUD_MACHINES_PATH "?after=%s&most=%d", cursor,
                 machines);
    else
        snprintf(path, AMB_CLOUD_LIST_PATH_SIZE, AMB_CLOUD_MACHINES_PATH "?most=%d", machines);
}

bool amb_codec_decode_page(const struct amb_cbor_item *body, struct amb_cloud_page *page) {
    *page = (struct amb_cloud_page){0};
    if (!amb_cbor_is_map(body)) return false;
    const struct amb_cbor_item *entries = amb_cbor_map_get(body, "rigs");
    if (!entries) return false;
    page->entries = amb_cbor_list_begin(entries);
    page->count = amb_cbor_list_length(entries);
    amb_cbor_get_bool(amb_cbor_map_get(body, "truncated"), &page->truncated);
    return true;
}

static void copy_text(const struct amb_cbor_item *entry, const char *key, char out[AMB_NAME_SIZE]) {
    amb_cbor_copy_string(amb_cbor_map_get(entry, key), out, AMB_NAME_SIZE);
}

static enum amb_cloud_machine_state decode_state(const struct amb_cbor_item *state) {
    if (amb_cbor_equals(state, "booting")) return AMB_CLOUD_MACHINE_BOOTING;
    if (amb_cbor_equals(state, "failed")) return AMB_CLOUD_MACHINE_FAILED;
    return AMB_CLOUD_MACHINE_OTHER;
}

static bool decode_machine(const struct amb_cbor_item *entry, struct amb_cloud_machine *machine) {
    memset(machine, 0, sizeof *machine);
    if (!amb_cbor_copy_string(amb_cbor_map_get(entry, "ref"), machine->name, sizeof machine->name))
        return false;
    copy_text(entry, "hull", machine->type);
    copy_text(entry, "yard", machine->zone);
    copy_text(entry, "address", machine->address);
    machine->state = decode_state(amb_cbor_map_get(entry, "stance"));
    amb_cbor_get_bool(amb_cbor_map_get(entry, "driftwood"), &machine->spot);
    machine->is_age_known = amb_cbor_get_number(amb_cbor_map_get(entry, "held_s"), &machine->age_s);
    return true;
}

bool amb_codec_next_machine(struct amb_cbor_cursor *position, struct amb_cloud_machine *machine) {
    const struct amb_cbor_item *entry;
    while ((entry = amb_cbor_next(position)) != NULL)
        if (decode_machine(entry, machine)) return true;
    return false;
}

const struct amb_cbor_item *amb_codec_catalog_types(const struct amb_cbor_item *body) {
    return amb_cbor_map_get(body, "hulls");
}
