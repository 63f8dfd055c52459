#include "amberpin/codec/placement_block.h"

#include "amberpin/codec/messages.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- names on the wire ---- */

static const char WRITTEN_AT[] = "at";
static const char WRITE_ID[] = "w";
static const char NEXT_ATTEMPT[] = "n";
static const char PLACED[] = "p";
static const char COMPLETED[] = "d";
static const char TYPES[] = "t"; /* names of machine types; placements refer to them by index */
static const char ZONES[] = "z"; /* names of zones; placements refer to them by index */

static const char SETTINGS_LAYOUT_PREFIX[] = "b/p/";
static const char KEY_LAYOUT_PREFIX[] = "b/n/";

/* Bytes of one placement: the longest possible, which fixes the number of tasks per block of the first
 * format, and a long one of a large fleet, which does so for the second format. A block of the second format
 * that is still too large is split (placement_log/block_write.c). */
enum { MAX_ENTRY_BYTES = 40, TYPICAL_ENTRY_BYTES = 28 };

/* Share of a value for placements. The rest is for its header and the names of types and zones. */
static const double ENTRIES_SHARE = 0.8;

uint32_t amb_placement_block_capacity(enum amb_block_layout layout, double value_kb) {
    int entry = layout == AMB_LAYOUT_BY_SETTINGS ? MAX_ENTRY_BYTES : TYPICAL_ENTRY_BYTES;
    uint32_t tasks = (uint32_t)(value_kb * 1024 * ENTRIES_SHARE / entry);
    return tasks ? tasks : 1;
}

struct amb_task_range amb_placement_block_task_range(struct amb_placement_block_id id, uint32_t tasks) {
    uint64_t first = (uint64_t)id.tasks_per_block * id.index, end = first + id.tasks_per_block;
    return (struct amb_task_range){first < tasks ? (uint32_t)first : tasks,
                                   end < tasks ? (uint32_t)end : tasks};
}

/* ---- keys ---- */

void amb_placement_key_format(char out[AMB_BLOCK_KEY_SIZE], const char *ref,
                              struct amb_placement_block_id id) {
    if (id.layout == AMB_LAYOUT_BY_SETTINGS)
        snprintf(out, AMB_BLOCK_KEY_SIZE, "%s%s/%05u", SETTINGS_LAYOUT_PREFIX, ref, id.index);
    else
        snprintf(out, AMB_BLOCK_KEY_SIZE, "%s%s/%06u/%06u", KEY_LAYOUT_PREFIX, ref, id.tasks_per_block,
                 id.index);
}

static bool starts_with(const char *text, const char *prefix) {
    return !strncmp(text, prefix, strlen(prefix));
}

/* Parses "/NUMBER" and advances *at. */
static bool parse_number(const char **at, uint32_t *out) {
    char *end;
    if (**at != '/' || (*at)[1] < '0' || (*at)[1] > '9') return false;
    unsigned long number = strtoul(*at + 1, &end, 10);
    if (number > AMB_TASKS_MAX) return false;
    *out = (uint32_t)number;
    *at = end;
    return true;
}

bool amb_placement_key_parse(const char *key, char ref[AMB_NAME_SIZE], struct amb_placement_block_id *id) {
    memset(id, 0, sizeof *id);
    if (starts_with(key, KEY_LAYOUT_PREFIX))
        id->layout = AMB_LAYOUT_BY_KEY;
    else if (!starts_with(key, SETTINGS_LAYOUT_PREFIX))
        return false;
    const char *name = key + sizeof KEY_LAYOUT_PREFIX - 1, *at = strchr(name, '/');
    if (!at || at == name || at - name >= AMB_NAME_SIZE) return false;
    memcpy(ref, name, (size_t)(at - name));
    ref[at - name] = 0;
    if (id->layout == AMB_LAYOUT_BY_KEY && (!parse_number(&at, &id->tasks_per_block) || !id->tasks_per_block))
        return false;
    return parse_number(&at, &id->index) && !*at;
}

bool amb_placement_block_precedes(struct amb_placement_block_id id, struct amb_placement_block_id other) {
    if (id.layout != other.layout) return id.layout == AMB_LAYOUT_BY_KEY;
    return id.layout == AMB_LAYOUT_BY_KEY && id.tasks_per_block < other.tasks_per_block;
}

/* ---- values ---- */

void amb_placement_block_add_placement(struct amb_placement_block_builder *text,
                                       const struct amb_placement *placement) {
    amb_buf_append_format(&text->placed, "%u,%llu,%s,%d,%d,%d;", placement->task,
                          (unsigned long long)placement->attempt, placement->machine, placement->type,
                          placement->zone, placement->spot);
}

void amb_placement_block_add_completed(struct amb_placement_block_builder *text,
                                       struct amb_task_range completed) {
    amb_buf_append_format(&text->completed, "%u-%u;", completed.first, completed.end - 1);
}

bool amb_placement_block_next_placement(const char **at, struct amb_placement *out) {
    unsigned long task, attempt;
    long type, zone, spot;
    int length = 0;
    /* NOLINTNEXTLINE(cert-err34-c): numbers out of range become the limit, which is out of bounds */
    if (sscanf(*at, "%lu,%lu,%63[^,],%ld,%ld,%ld;%n", &task, &attempt, out->machine, &type, &zone, &spot,
               &length) != 6 ||
        !length || task >= AMB_TASKS_MAX)
        return false;
    out->task = (uint32_t)task;
    out->attempt = attempt;
    out->type = type >= 0 && type < AMB_MACHINE_TYPES_MAX ? (int)type : -1;
    out->zone = zone >= 0 && zone < AMB_ZONES_MAX ? (int)zone : -1;
    out->spot = spot;
    *at += length;
    return true;
}

bool amb_placement_block_next_completed(const char **at, struct amb_task_range *out) {
    char *end;
    if (**at < '0' || **at > '9') return false;
    unsigned long first = strtoul(*at, &end, 10), last = first;
    if (*end == '-') last = strtoul(end + 1, &end, 10);
    if (*end != ';' || first >= AMB_TASKS_MAX || last < first) return false;
    if (last >= AMB_TASKS_MAX) last = AMB_TASKS_MAX - 1;
    *out = (struct amb_task_range){(uint32_t)first, (uint32_t)last + 1};
    *at = end + 1;
    return true;
}

static void write_text(struct amb_buf *out, const struct amb_buf *text) {
    amb_cbor_write_text(out, text->data ? text->data : "", text->len);
}

void amb_placement_block_encode(struct amb_buf *out, const struct amb_placement_block_header *header,
                                struct amb_placement_block_builder *text) {
    const struct amb_catalog *catalog = header->catalog;
    amb_cbor_write_map(out, 7);
    amb_cbor_write_string(out, WRITTEN_AT);
    amb_cbor_write_uint(out, (uint64_t)header->written_wall_ms);
    amb_cbor_write_string(out, WRITE_ID);
    amb_cbor_write_string(out, header->write_id);
    amb_cbor_write_string(out, NEXT_ATTEMPT);
    amb_cbor_write_uint(out, header->next_attempt);
    amb_cbor_write_string(out, PLACED);
    write_text(out, &text->placed);
    amb_cbor_write_string(out, COMPLETED);
    write_text(out, &text->completed);
    amb_cbor_write_string(out, TYPES);
    amb_cbor_write_list(out, catalog->type_count);
    for (uint32_t i = 0; i < catalog->type_count; i++) amb_cbor_write_string(out, catalog->types[i].name);
    amb_cbor_write_string(out, ZONES);
    amb_cbor_write_list(out, catalog->zone_count);
    for (uint32_t i = 0; i < catalog->zone_count; i++) amb_cbor_write_string(out, catalog->zones[i]);
    amb_buf_free(&text->placed);
    amb_buf_free(&text->completed);
}

/* ---- decoding values ---- */

struct amb_placement_block_value amb_placement_block_decode(const struct amb_cbor_item *item) {
    struct amb_placement_block_value value = {
        .placed = amb_cbor_dup_string(amb_cbor_map_get(item, PLACED)),
        .completed = amb_cbor_dup_string(amb_cbor_map_get(item, COMPLETED)),
        .types = amb_cbor_map_get(item, TYPES),
        .zones = amb_cbor_map_get(item, ZONES),
    };
    uint64_t written_wall_ms = 0;
    value.has_written_wall_ms = amb_cbor_get_uint(amb_cbor_map_get(item, WRITTEN_AT), &written_wall_ms);
    value.written_wall_ms = (int64_t)written_wall_ms;
    if (!amb_cbor_get_uint(amb_cbor_map_get(item, NEXT_ATTEMPT), &value.next_attempt)) value.next_attempt = 0;
    return value;
}

void amb_placement_block_value_free(struct amb_placement_block_value *value) {
    free(value->placed);
    free(value->completed);
    memset(value, 0, sizeof *value);
}

bool amb_placement_block_has_write_id(const struct amb_cbor_item *item, const char *write_id) {
    return amb_cbor_equals(amb_cbor_map_get(item, WRITE_ID), write_id);
}

bool amb_placement_block_get_name(const struct amb_cbor_item *names, int position, char name[AMB_NAME_SIZE]) {
    return position >= 0 && (size_t)position < amb_cbor_list_length(names) &&
           amb_cbor_copy_string(amb_cbor_list_item(names, (size_t)position), name, AMB_NAME_SIZE);
}
