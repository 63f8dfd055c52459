/* The container images that each machine's cache is assumed to hold: the most recently used that fit into it.
 * Agents do not report them. */
#ifndef AMBERPIN_FLEET_IMAGE_CACHE_H
#define AMBERPIN_FLEET_IMAGE_CACHE_H

#include "amberpin/model/model.h"

struct amb_node;

/* Allocates room for so many images, AMB_IMAGES_MAX at most. Most machines hold few of them, and a leader
 * walks all machines, so room for all is not part of struct amb_machine. */
void amb_machine_reserve_images(struct amb_machine *machine, uint32_t images);

bool amb_machine_has_image(const struct amb_machine *machine, const char *image);

/* A task with this image, of this size in GB, is or will be on the machine: the image becomes the most
 * recently used, and what no longer fits into the cache is dropped. */
void amb_machine_record_image_use(struct amb_node *node, struct amb_machine *machine, const char *image,
                                  double gb);

#endif
