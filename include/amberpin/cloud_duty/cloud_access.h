/* Calls to the cloud for the holder of a duty. */
#ifndef AMBERPIN_CLOUD_DUTY_CLOUD_ACCESS_H
#define AMBERPIN_CLOUD_DUTY_CLOUD_ACCESS_H

#include "amberpin/duty/service.h"

struct amb_node;

/* Calls the cloud for what the intent is for; `done` gets the answer. False: no call may be sent now, and
 * `done` is not called. */
bool amb_duties_call_cloud(struct amb_node *node, const struct amb_duty_intent_record *intent,
                           const struct amb_duty_intent_payload *work, uint64_t fencing_token,
                           amb_duty_cloud_done done, void *arg);

#endif
