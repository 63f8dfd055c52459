#include "amberpin/peer/image_locations.h"

#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* The table of machines is sent in this number of parts, one in each heartbeat. */
    ROTATION_PARTS = 16,
    /* Heartbeats per generation: the leader sends every machine several times in a generation, so that lost
     * heartbeats do not matter. */
    GENERATION_HEARTBEATS = 4 * ROTATION_PARTS,
    /* Bytes of JSON syntax around a machine's name, and around an image's name with its size. */
    MACHINE_BYTES = 6,
    IMAGE_BYTES = 24,
};

/* ---- sending, on the leader ---- */

static size_t estimate_bytes(const struct amb_machine *machine) {
    size_t bytes = strlen(machine->name) + MACHINE_BYTES;
    for (uint32_t i = 0; i < machine->image_count; i++) bytes += strlen(machine->images[i]) + IMAGE_BYTES;
    return bytes;
}

static void encode_images(struct amb_peer_message *heartbeat, const struct amb_machine *machine) {
    struct amb_peer_machine_images images = {.count = machine->image_count};
    strcpy(images.machine, machine->name);
    for (uint32_t i = 0; i < machine->image_count; i++) {
        strcpy(images.images[i].name, machine->images[i]);
        images.images[i].size_gb = machine->image_sizes_gb[i];
    }
    amb_peer_message_add_machine_images(heartbeat, &images);
}

/* Adds one machine. Returns false if it does not fit. */
static bool encode_machine(struct amb_node *node, struct amb_machine *machine,
                           struct amb_peer_message *heartbeat, size_t *bytes_left) {
    size_t bytes = estimate_bytes(machine);
    if (bytes > *bytes_left) return false;
    *bytes_left -= bytes;
    encode_images(heartbeat, machine);
    machine->images_sent_in = node->peers.image_locations.heartbeat_number;
    return true;
}

/* Adds the machines between two positions of the table that have changed or belong to this part of the
 * rotation. Returns the position of the first machine that does not fit, or `end`. */
static uint32_t encode_range(struct amb_node *node, struct amb_peer_message *heartbeat, uint32_t part,
                             uint32_t begin, uint32_t end, size_t *bytes_left) {
    uint32_t position = 0;
    for (struct amb_machine *machine = node->fleet.machines; machine && position < end;
         machine = machine->hh.next, position++) {
        bool due = position % ROTATION_PARTS == part || machine->images_changed;
        if (position < begin || !due) continue;
        if (!encode_machine(node, machine, heartbeat, bytes_left)) return position;
    }
    return end;
}

/* Begins where the last heartbeat ran out of room, so that every machine is sent eventually. */
void amb_image_locations_encode(struct amb_node *node, struct amb_peer_message *heartbeat, size_t max_bytes) {
    struct amb_image_locations *locations = &node->peers.image_locations;
    uint32_t count = HASH_COUNT(node->fleet.machines);
    uint32_t part = (uint32_t)(locations->heartbeat_number++ % ROTATION_PARTS);
    uint32_t first = locations->first_machine < count ? locations->first_machine : 0;
    size_t bytes_left = max_bytes;
    uint32_t stopped_at = encode_range(node, heartbeat, part, first, count, &bytes_left);
    if (stopped_at < count) {
        locations->first_machine = stopped_at;
        return;
    }
    stopped_at = encode_range(node, heartbeat, part, 0, first, &bytes_left);
    locations->first_machine = stopped_at < first ? stopped_at : 0;
}

void amb_image_locations_mark_sent(struct amb_node *node) {
    uint64_t latest = node->peers.image_locations.heartbeat_number;
    for (struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next)
        if (machine->images_sent_in == latest) machine->images_changed = false;
}

/* ---- receiving, on the other controllers ---- */

static void free_locations(struct amb_image_location **table) {
    struct amb_image_location *location = *table;
    HASH_CLEAR(hh, *table);
    while (location) {
        struct amb_image_location *next = location->hh.next;
        free(location->images);
        free(location);
        location = next;
    }
}

/* Drops the machines that have not been reported since the previous generation: names are never reused, so
 * their entries are of no use. A table of 4,096 names that is emptied whenever it is full does not suffice:
 * it also fills with removed machines, and with 4,000 machines it was emptied every few seconds under load.
 */
static void start_generation(struct amb_image_locations *locations) {
    free_locations(&locations->previous);
    locations->previous = locations->current;
    locations->current = NULL;
    locations->heartbeats_in_generation = 0;
}

static struct amb_image_location *find_location(struct amb_image_location *table, const char *machine) {
    struct amb_image_location *location;
    HASH_FIND_STR(table, machine, location);
    return location;
}

static void store_location(struct amb_image_location **table, const struct amb_peer_machine_images *images) {
    struct amb_image_location *location = find_location(*table, images->machine);
    if (!location) {
        location = amb_alloc(sizeof *location);
        strcpy(location->machine, images->machine);
        HASH_ADD_STR(*table, machine, location);
    }
    size_t bytes = images->count * sizeof *images->images;
    location->count = images->count;
    location->images = amb_realloc(location->images, bytes);
    memcpy(location->images, images->images, bytes);
}

void amb_image_locations_apply(struct amb_node *node, const struct amb_peer_message *heartbeat) {
    struct amb_image_locations *locations = &node->peers.image_locations;
    struct amb_peer_machine_images images;
    void *position = NULL;
    if (!amb_peer_message_has_images(heartbeat)) return;
    if (++locations->heartbeats_in_generation > GENERATION_HEARTBEATS) start_generation(locations);
    while (amb_peer_message_next_machine_images(heartbeat, &position, &images))
        store_location(&locations->current, &images);
}

void amb_image_locations_restore(struct amb_node *node, struct amb_machine *machine) {
    const struct amb_image_locations *locations = &node->peers.image_locations;
    const struct amb_image_location *location = find_location(locations->current, machine->name);
    if (!location) location = find_location(locations->previous, machine->name);
    if (!location) return;
    for (uint32_t i = 0; i < location->count && machine->image_count < AMB_IMAGES_MAX; i++) {
        amb_machine_reserve_images(machine, machine->image_count + 1);
        strcpy(machine->images[machine->image_count], location->images[i].name);
        machine->image_sizes_gb[machine->image_count++] = location->images[i].size_gb;
    }
}

void amb_image_locations_clear(struct amb_node *node) {
    struct amb_image_locations *locations = &node->peers.image_locations;
    free_locations(&locations->current);
    free_locations(&locations->previous);
}
