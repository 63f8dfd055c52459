/* The scaling mode of the whole service, `a/duty-mode`: whether the leader or the holders of duties call the
 * cloud. The leader changes it once the present side has no call left that could overlap with calls of the
 * other. */
#ifndef AMBERPIN_CLOUD_DUTY_SCALING_MODE_H
#define AMBERPIN_CLOUD_DUTY_SCALING_MODE_H

#include "amberpin/base/util.h"

#include "amberpin/codec/cbor_item.h"

struct amb_node;

/* Periodic work of the leader: changes the mode if due, and writes intents. */
void amb_duties_tick(struct amb_node *node, amb_ms now);
/* To be called when a term of leadership begins or ends: discards pending writes. */
void amb_duties_reset(struct amb_node *node);
/* Applies a change of the key of the mode; `value` is NULL if the key was removed. */
void amb_duties_apply_mode(struct amb_node *node, const struct amb_cbor_item *value, uint64_t revision);

#endif
