/* The mode of the whole service, `a/duty-mode`: whether the leader or the holders of duties call the cloud.
 * The leader changes it once neither has a call left that the other must not meet. */
#ifndef AMBERPIN_CLOUD_DUTY_SCALING_MODE_H
#define AMBERPIN_CLOUD_DUTY_SCALING_MODE_H

#include "amberpin/base/util.h"

#include <cbor.h>

struct amb_node;

/* The leader's step: changes the mode if that is due, and writes intents. */
void amb_duties_tick(struct amb_node *node, amb_ms now);
/* A term of leadership begins or ends: what was about to be written is given up. */
void amb_duties_reset(struct amb_node *node);
/* The key of the mode has changed; value NULL: it has been removed. */
void amb_duties_apply_mode(struct amb_node *node, const cbor_item_t *value, uint64_t revision);

#endif
