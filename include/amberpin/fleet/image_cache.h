/* The container images that each machine's cache is assumed to hold: the most recently used ones that fit
 * into it. Agents do not report them. */
#ifndef AMBERPIN_FLEET_IMAGE_CACHE_H
#define AMBERPIN_FLEET_IMAGE_CACHE_H

#include "amberpin/model/model.h"

struct amb_node;

/* Allocates room for this number of images, at most AMB_IMAGES_MAX. Most machines hold few images, and a
 * leader iterates over all machines, so struct amb_machine does not contain room for the maximum. */
void amb_machine_reserve_images(struct amb_machine *machine, uint32_t images);

bool amb_machine_has_image(const struct amb_machine *machine, const char *image);

/* Records that a task with this image, of this size in GB, is or will be on the machine: the image becomes
 * the most recently used one, and images that no longer fit into the cache are evicted. */
void amb_machine_record_image_use(struct amb_node *node, struct amb_machine *machine, const char *image,
                                  double gb);

#endif
