/* Who leads: the wiring of the election core (state_machine.h) to the state service, the other nodes and the
 * clock. The term of the election is the workers' token; nothing else is. */
#ifndef AMBERPIN_ELECTION_H
#define AMBERPIN_ELECTION_H

#include "amberpin/election/state_machine.h"

#include <cbor.h>

struct amb_node;

void amb_election_init(struct amb_node *node);
/* With a call to the state service. */
amb_ms amb_election_call_timeout(const struct amb_node *node);
void amb_election_tick(struct amb_node *node, amb_ms now);
/* The state service has been read. */
void amb_election_start(struct amb_node *node);
/* News of the leader key; value NULL: it is gone. */
void amb_election_apply_key(struct amb_node *node, const cbor_item_t *value, uint64_t revision);
/* `who` has shown a term. */
void amb_election_observe_term(struct amb_node *node, uint64_t term, const char *source);

/* This node answers reports with its own token. */
bool amb_election_is_leader(const struct amb_node *node);
/* It leads, or is fenced for a while: its view of the world is kept. */
bool amb_election_has_leader_role(const struct amb_node *node);
/* It surely leads. */
bool amb_election_may_act(const struct amb_node *node);
/* May an order to start a task go out? Only while the state service can be thought within reach as well: what
 * an earlier leader has recorded may have been cancelled where this node does not hear of it. */
bool amb_election_may_start_tasks(const struct amb_node *node);
/* Where workers are sent; NULL: nobody known, or nobody who can be reached. */
const char *amb_election_leader_name(const struct amb_node *node);

#endif
