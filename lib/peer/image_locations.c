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

static size_t told_bytes(const struct amb_machine *machine) {
    size_t bytes = strlen(machine->name) + MACHINE_BYTES;
    for (uint32_t i = 0; i < machine->image_count; i++) bytes += strlen(machine->images[i]) + IMAGE_BYTES;
    return bytes;
}

static json_t *images_of(const struct amb_machine *machine) {
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
static bool tell_machine(struct amb_node *node, struct amb_machine *machine, json_t *told, size_t *room) {
    size_t bytes = told_bytes(machine);
    if (bytes > *room) return false;
    *room -= bytes;
    json_object_set_new(told, machine->name, images_of(machine));
    machine->images_sent_in = node->peers.images.telling;
    return true;
}

/* Begins where the last heartbeat found no room any more, so that none is passed over for good. */
json_t *amb_peer_images_tell(struct amb_node *node, size_t most) {
    struct amb_peer_images *images = &node->peers.images;
    json_t *told = json_object();
    uint32_t count = HASH_COUNT(node->fleet.all), share = (uint32_t)(images->telling++ % IMAGE_SHARES);
    uint32_t first = images->first < count ? images->first : 0;
    images->first = 0;
    for (int pass = 0; pass < 2; pass++) { /* from the first on, then those before it */
        uint32_t place = 0;
        for (struct amb_machine *machine = node->fleet.all; machine; machine = machine->hh.next, place++) {
            if ((pass == 0) != (place >= first)) continue;
            if (place % IMAGE_SHARES != share && !machine->images_changed) continue;
            if (tell_machine(node, machine, told, &most)) continue;
            images->first = place;
            return told;
        }
        if (first == 0) break;
    }
    return told;
}

void amb_peer_images_sent(struct amb_node *node) {
    uint64_t latest = node->peers.images.telling;
    for (struct amb_machine *machine = node->fleet.all; machine; machine = machine->hh.next)
        if (machine->images_sent_in == latest) machine->images_changed = false;
}

/* ---- the others keep it in mind ---- */

/* Names of machines are never used again, so what is not told of any more is of no use. (A table of 4,096
 * names, gone ones too, was emptied whenever it was full: with 4,000 machines every few seconds of a busy
 * hour.) */
static void begin_span(struct amb_peer_images *images) {
    json_decref(images->told_before);
    images->told_before = images->told;
    images->told = NULL;
    images->heartbeats = 0;
}

void amb_peer_images_heard(struct amb_node *node, const json_t *told) {
    struct amb_peer_images *images = &node->peers.images;
    if (!json_is_object(told)) return;
    if (++images->heartbeats > SPAN_HEARTBEATS) begin_span(images);
    if (!images->told) images->told = json_object();
    json_object_update(images->told, (json_t *)told);
}

static void recall_image(struct amb_machine *machine, const json_t *image) {
    const char *name = json_string_value(json_array_get(image, 0));
    const json_t *gb = json_array_get(image, 1);
    if (!name || !json_is_number(gb) || strlen(name) >= AMB_NAME_SIZE ||
        machine->image_count == AMB_IMAGES_MAX)
        return;
    amb_machine_image_room(machine, machine->image_count + 1);
    strcpy(machine->images[machine->image_count], name);
    machine->image_sizes_gb[machine->image_count++] = json_number_value(gb);
}

void amb_peer_images_recall(struct amb_node *node, struct amb_machine *machine) {
    const struct amb_peer_images *images = &node->peers.images;
    const json_t *list = json_object_get(images->told, machine->name);
    if (!list) list = json_object_get(images->told_before, machine->name);
    size_t i;
    json_t *image;
    json_array_foreach(list, i, image) recall_image(machine, image);
}

void amb_peer_images_forget(struct amb_node *node) {
    struct amb_peer_images *images = &node->peers.images;
    json_decref(images->told);
    json_decref(images->told_before);
    images->told = images->told_before = NULL;
}
