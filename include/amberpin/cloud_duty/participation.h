/* A controller's part in single-holder duties: when it is a member, and what it is told of their records. */
#ifndef AMBERPIN_CLOUD_DUTY_PARTICIPATION_H
#define AMBERPIN_CLOUD_DUTY_PARTICIPATION_H

#include <cbor.h>
#include <stdbool.h>
#include <stdint.h>

struct amb_node;

/* A key below a/ has changed; value NULL: it has been removed. */
void amb_duties_apply_change(struct amb_node *node, const char *key, const cbor_item_t *value,
                             uint64_t revision);
/* All keys have been listed: at the start, or because changes may have been missed. */
void amb_duties_note_listed(struct amb_node *node);
/* Is all known that a new leader must know before it places: which machines are being released? */
bool amb_duties_is_ready(const struct amb_node *node);

#endif
