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

struct amb_cloud_acquired amb_codec_decode_acquired(const cbor_item_t *body) {
    const cbor_item_t *entries = amb_cbor_map_get(body, "rigs");
    return (struct amb_cloud_acquired){.entries = entries, .count = amb_cbor_list_length(entries)};
}

bool amb_codec_acquired_name(const struct amb_cloud_acquired *acquired, size_t index,
                             char name[AMB_NAME_SIZE]) {
    return amb_cbor_copy_string(amb_cbor_list_item(acquired->entries, index), name, AMB_NAME_SIZE);
}

bool amb_codec_is_no_capacity(const cbor_item_t *body) {
    return amb_cbor_equals(amb_cbor_map_get(body, "error"), "no capacity");
}

void amb_codec_format_list_path(char path[AMB_CLOUD_LIST_PATH_SIZE], const char *cursor, int machines) {
    if (cursor[0])
        snprintf(path, AMB_CLOUD_LIST_PATH_SIZE, AMB_CLOUD_MACHINES_PATH "?after=%s&most=%d", cursor,
                 machines);
    else
        snprintf(path, AMB_CLOUD_LIST_PATH_SIZE, AMB_CLOUD_MACHINES_PATH "?most=%d", machines);
}

bool amb_codec_decode_page(const cbor_item_t *body, struct amb_cloud_page *page) {
    *page = (struct amb_cloud_page){0};
    if (!body || !cbor_isa_map(body)) return false;
    page->entries = amb_cbor_map_get(body, "rigs");
    if (!page->entries) return false;
    page->count = amb_cbor_list_length(page->entries);
    amb_cbor_get_bool(amb_cbor_map_get(body, "truncated"), &page->truncated);
    return true;
}

static void copy_text(const cbor_item_t *entry, const char *key, char out[AMB_NAME_SIZE]) {
    amb_cbor_copy_string(amb_cbor_map_get(entry, key), out, AMB_NAME_SIZE);
}

static enum amb_cloud_machine_state decode_state(const cbor_item_t *state) {
    if (amb_cbor_equals(state, "booting")) return AMB_CLOUD_MACHINE_BOOTING;
    if (amb_cbor_equals(state, "failed")) return AMB_CLOUD_MACHINE_FAILED;
    return AMB_CLOUD_MACHINE_OTHER;
}

bool amb_codec_decode_machine(const struct amb_cloud_page *page, size_t index,
                              struct amb_cloud_machine *machine) {
    const cbor_item_t *entry = amb_cbor_list_item(page->entries, index);
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

const cbor_item_t *amb_codec_catalog_types(const cbor_item_t *body) {
    return amb_cbor_map_get(body, "hulls");
}
