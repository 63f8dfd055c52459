/* Answers to reports that wait for something to say. A start may only go out in the answer to a report, and a
 * machine reports once a period: on the average an order waited for half of one, of the few seconds in which
 * some work is to start. So an answer that would say nothing is kept for a part of the period. The worker
 * would not report again meanwhile, whatever changes: not sooner than half a period after its last report. */
#ifndef AMBERPIN_HELD_ANSWERS_H
#define AMBERPIN_HELD_ANSWERS_H

#include "amberpin/http/http.h"
#include "amberpin/model/model.h"

struct amb_node;

/* The answer to the machine's latest report waits; at most one does for each machine. */
void amb_deferred_response_begin(struct amb_node *node, struct amb_machine *machine,
                                 struct amb_http_req *request);
/* What waits, if anything does, goes now: it says nothing, or that somebody else leads. */
void amb_deferred_response_finish(struct amb_node *node, struct amb_machine *machine);
/* The task's record is durable, it may start now: its machine's answer need not wait any longer. */
void amb_deferred_response_trigger(struct amb_task *task);

#endif
