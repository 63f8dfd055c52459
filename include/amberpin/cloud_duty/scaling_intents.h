/* The leader's intents for the holders of duties: scale out and scale in, and what came of them. */
#ifndef AMBERPIN_CLOUD_DUTY_SCALING_INTENTS_H
#define AMBERPIN_CLOUD_DUTY_SCALING_INTENTS_H

#include "amberpin/base/util.h"

struct amb_duty_intent_record;
struct amb_duty_intent_payload;
struct amb_machine;
struct amb_node;

/* Writes the scale-out requests that go by intents. Once on record, the duty's holder calls the cloud. */
void amb_duties_write_scale_out(struct amb_node *node, amb_ms now);
/* Writes an intent for machines that are to be released. */
void amb_duties_write_scale_in(struct amb_node *node, amb_ms now);
/* May an intent of this leader be on its way to the store? */
bool amb_duties_has_pending_writes(const struct amb_node *node);
/* A new leader takes over what is on record: requests under way, and machines that are being released. */
void amb_duties_restore(struct amb_node *node);
/* A machine is new to the leader's table: it may be one that is being released. */
void amb_duties_note_machine(struct amb_node *node, struct amb_machine *machine);
/* The record of an intent has changed; work NULL: it has been removed. */
void amb_duties_apply_intent(struct amb_node *node, const struct amb_duty_intent_record *intent,
                             const struct amb_duty_intent_payload *work);

#endif
