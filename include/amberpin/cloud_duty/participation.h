/* Membership of a controller in single-holder duties: when it takes part, and the changes of records that it
 * receives. */
#ifndef AMBERPIN_CLOUD_DUTY_PARTICIPATION_H
#define AMBERPIN_CLOUD_DUTY_PARTICIPATION_H

#include "amberpin/codec/cbor_item.h"
#include <stdbool.h>
#include <stdint.h>

struct amb_node;

/* Applies a change of a key below a/; `value` is NULL if the key was removed. */
void amb_duties_apply_change(struct amb_node *node, const char *key, const struct amb_cbor_item *value,
                             uint64_t revision);
/* To be called when all keys have been listed: at the start, or because changes may have been missed. */
void amb_duties_note_listed(struct amb_node *node);
/* Returns true if a new leader knows all machines that are being released, which it must before it places
 * tasks. */
bool amb_duties_is_ready(const struct amb_node *node);

#endif
