#include "amberpin/peer/image_locations.h"

#include "amberpin/node/node.h"

#include <jansson.h>
#include <string.h>

enum {
    /* The machines are told in so many shares, a share in each heartbeat. */
    IMAGE_SHARES = 16,
    /* Heartbeats of a span. A leader tells of every machine several times in it, also when some get lost. */
    SPAN_HEARTBEATS = 4 * IMAGE_SHARES,
    /* JSON around a machine's name, and around an image's name with its size. */
    MACHINE_BYTES = 6,
    IMAGE_BYTES = 24,
};

/* ---- the leader tells ---- */

static size_t estimate_bytes(const struct amb_machine *machine) {
    size_t bytes = strlen(machine->name) + MACHINE_BYTES;
    for (uint32_t i = 0; i < machine->image_count; i++) bytes += strlen(machine->images[i]) + IMAGE_BYTES;
    return bytes;
}

static json_t *encode_images(const struct amb_machine *machine) {
    json_t *list = json_array();
    for (uint32_t i = 0; i < machine->image_count; i++) {
        json_t *image = json_array();
        json_array_append_new(image, json_string(machine->images[i]));
        json_array_append_new(image, json_real(machine->image_sizes_gb[i]));
        json_array_append_new(list, image);
    }
    return list;
}

/* Adds one machine. False: it finds no room. */
static bool encode_machine(struct amb_node *node, struct amb_machine *machine, json_t *encoded,
                           size_t *bytes_left) {
    size_t bytes = estimate_bytes(machine);
    if (bytes > *bytes_left) return false;
    *bytes_left -= bytes;
    json_object_set_new(encoded, machine->name, encode_images(machine));
    machine->images_sent_in = node->peers.image_locations.heartbeat_number;
    return true;
}

/* Begins where the last heartbeat found no room any more, so that none is passed over for good. */
json_t *amb_image_locations_encode(struct amb_node *node, size_t max_bytes) {
    struct amb_image_locations *images = &node->peers.image_locations;
    json_t *encoded = json_object();
    uint32_t count = HASH_COUNT(node->fleet.machines),
             share = (uint32_t)(images->heartbeat_number++ % IMAGE_SHARES);
    uint32_t first = images->first_machine < count ? images->first_machine : 0;
    images->first_machine = 0;
    for (int pass = 0; pass < 2; pass++) { /* from the first on, then those before it */
        uint32_t place = 0;
        for (struct amb_machine *machine = node->fleet.machines; machine;
             machine = machine->hh.next, place++) {
            if ((pass == 0) != (place >= first)) continue;
            if (place % IMAGE_SHARES != share && !machine->images_changed) continue;
            if (encode_machine(node, machine, encoded, &max_bytes)) continue;
            images->first_machine = place;
            return encoded;
        }
        if (first == 0) break;
    }
    return encoded;
}

void amb_image_locations_mark_sent(struct amb_node *node) {
    uint64_t latest = node->peers.image_locations.heartbeat_number;
    for (struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next)
        if (machine->images_sent_in == latest) machine->images_changed = false;
}

/* ---- the others keep it in mind ---- */

/* Names of machines are never used again, so what is not told of any more is of no use. (A table of 4,096
 * names, gone ones too, was emptied whenever it was full: with 4,000 machines every few seconds of a busy
 * hour.) */
static void start_span(struct amb_image_locations *images) {
    json_decref(images->previous);
    images->previous = images->current;
    images->current = NULL;
    images->heartbeats_in_span = 0;
}

void amb_image_locations_apply(struct amb_node *node, const json_t *encoded) {
    struct amb_image_locations *images = &node->peers.image_locations;
    if (!json_is_object(encoded)) return;
    if (++images->heartbeats_in_span > SPAN_HEARTBEATS) start_span(images);
    if (!images->current) images->current = json_object();
    json_object_update(images->current, (json_t *)encoded);
}

static void restore_image(struct amb_machine *machine, const json_t *image) {
    const char *name = json_string_value(json_array_get(image, 0));
    const json_t *size_gb = json_array_get(image, 1);
    if (!name || !json_is_number(size_gb) || strlen(name) >= AMB_NAME_SIZE ||
        machine->image_count == AMB_IMAGES_MAX)
        return;
    amb_machine_reserve_images(machine, machine->image_count + 1);
    strcpy(machine->images[machine->image_count], name);
    machine->image_sizes_gb[machine->image_count++] = json_number_value(size_gb);
}

void amb_image_locations_restore(struct amb_node *node, struct amb_machine *machine) {
    const struct amb_image_locations *images = &node->peers.image_locations;
    const json_t *list = json_object_get(images->current, machine->name);
    if (!list) list = json_object_get(images->previous, machine->name);
    size_t i;
    json_t *image;
    json_array_foreach(list, i, image) restore_image(machine, image);
}

void amb_image_locations_clear(struct amb_node *node) {
    struct amb_image_locations *images = &node->peers.image_locations;
    json_decref(images->current);
    json_decref(images->previous);
    images->current = images->previous = NULL;
}
