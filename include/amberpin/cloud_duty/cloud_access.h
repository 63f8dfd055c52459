/* Cloud calls of the holder of a duty. */
#ifndef AMBERPIN_CLOUD_DUTY_CLOUD_ACCESS_H
#define AMBERPIN_CLOUD_DUTY_CLOUD_ACCESS_H

#include "amberpin/duty/service.h"

struct amb_node;

/* Sends the cloud call that the intent requests; `done` receives the response. Returns false, and does not
 * call `done`, if the token bucket allows no call now. */
bool amb_duties_call_cloud(struct amb_node *node, const struct amb_duty_intent_record *intent,
                           const struct amb_duty_intent_payload *payload, uint64_t fencing_token,
                           amb_duty_cloud_done done, void *arg);

#endif
