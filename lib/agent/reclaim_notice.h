/* Handling of the cloud's notice that it is about to reclaim a spot instance. */
#ifndef AMBERPIN_AGENT_RECLAIM_NOTICE_H
#define AMBERPIN_AGENT_RECLAIM_NOTICE_H

#include "amberpin/base/util.h"

struct amb_machine;
struct amb_node;

/* Handles the agent's report that the cloud reclaims the machine in left_s seconds. On the first notice,
 * stops those of its tasks, and their gangs, that have enough time left to save a checkpoint. */
void amb_machine_handle_reclaim_notice(struct amb_node *node, struct amb_machine *machine, double left_s,
                                       amb_ms now);

#endif
