/* The cloud's notice that it is about to reclaim a spot instance. */
#ifndef AMBERPIN_AGENT_RECLAIM_NOTICE_H
#define AMBERPIN_AGENT_RECLAIM_NOTICE_H

#include "amberpin/base/util.h"

struct amb_machine;
struct amb_node;

/* The machine's agent reports that the cloud reclaims the machine in left_s seconds: on the first notice its
 * tasks are stopped that have the time to save a checkpoint, and with them their gangs. */
void amb_machine_handle_reclaim_notice(struct amb_node *node, struct amb_machine *machine, double left_s,
                                       amb_ms now);

#endif
