#include "amberpin/fleet/image_cache.h"

#include "amberpin/node/node.h"

#include <string.h>

enum { INITIAL_CAPACITY = 4 /* images */ };

void amb_machine_reserve_images(struct amb_machine *machine, uint32_t images) {
    if (images > AMB_IMAGES_MAX) images = AMB_IMAGES_MAX;
    if (images <= machine->image_capacity) return;
    uint32_t capacity = machine->image_capacity ? machine->image_capacity : INITIAL_CAPACITY;
    while (capacity < images) capacity *= 2;
    if (capacity > AMB_IMAGES_MAX) capacity = AMB_IMAGES_MAX;
    machine->image_capacity = capacity;
    machine->images = amb_realloc(machine->images, capacity * sizeof *machine->images);
    machine->image_sizes_gb =
        amb_realloc(machine->image_sizes_gb, capacity * sizeof *machine->image_sizes_gb);
}

bool amb_machine_has_image(const struct amb_machine *machine, const char *image) {
    for (uint32_t i = 0; i < machine->image_count; i++)
        if (!strcmp(machine->images[i], image)) return true;
    return false;
}

/* Evicts the least recently used images that do not fit into the cache; the most recent one always stays. A
 * cache of unknown size evicts none. */
static void evict_images(struct amb_machine *machine, double cache_gb) {
    double free_gb = cache_gb;
    for (uint32_t i = 0; free_gb > 0 && i < machine->image_count; i++) {
        free_gb -= machine->image_sizes_gb[i];
        if (free_gb < 0 && i) machine->image_count = i;
    }
}

void amb_machine_record_image_use(struct amb_node *node, struct amb_machine *machine, const char *image,
                                  double gb) {
    amb_machine_reserve_images(machine, machine->image_count + 1);
    if (amb_recent_names_add(machine->images, machine->image_sizes_gb, &machine->image_count, AMB_IMAGES_MAX,
                             image, gb))
        machine->images_changed = true;
    if (machine->type_index >= 0)
        evict_images(machine, node->catalog.types[machine->type_index].image_cache_gb);
}
