/* Intents for scale out and scale in that the leader writes for the holders of duties, and their results. */
#ifndef AMBERPIN_CLOUD_DUTY_SCALING_INTENTS_H
#define AMBERPIN_CLOUD_DUTY_SCALING_INTENTS_H

#include "amberpin/base/util.h"

struct amb_duty_intent_record;
struct amb_duty_intent_payload;
struct amb_machine;
struct amb_node;

/* Writes the intents of scale-out requests. Once an intent is recorded, the holder of the duty calls the
 * cloud. */
void amb_duties_write_scale_out(struct amb_node *node, amb_ms now);
/* Writes an intent for machines to be released. */
void amb_duties_write_scale_in(struct amb_node *node, amb_ms now);
/* Returns true if a write of an intent by this leader may be in flight. */
bool amb_duties_has_pending_writes(const struct amb_node *node);
/* Restores a new leader from the recorded intents: open scale-out requests, and machines that are being
 * released. */
void amb_duties_restore(struct amb_node *node);
/* To be called for a machine that is new in the leader's table: marks it if an intent releases it. */
void amb_duties_note_machine(struct amb_node *node, struct amb_machine *machine);
/* Applies a change of the record of an intent; `payload` is NULL if the record was removed. */
void amb_duties_apply_intent(struct amb_node *node, const struct amb_duty_intent_record *intent,
                             const struct amb_duty_intent_payload *payload);

#endif
