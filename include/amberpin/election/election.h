/* Leader election: the wiring of its state machine (state_machine.h) to the key-value store, the other nodes
 * and the clock, and what the other modules ask about leadership. The term of the leader is the fencing token
 * that agents check; nothing else is. */
#ifndef AMBERPIN_ELECTION_H
#define AMBERPIN_ELECTION_H

#include "amberpin/election/peer_confirmation.h"
#include "amberpin/election/state_machine.h"

#include <cbor.h>

struct amb_node;

/* ---- wiring ---- */

/* Takes what it needs from the node's settings and options. */
void amb_election_init(struct amb_node *node);

/* After how long a call to the store is to be given up. Call amb_election_init first. */
amb_ms amb_election_call_timeout(const struct amb_node *node);

/* All keys of the store have been read: the node may become a candidate, and its timer runs from now on. Does
 * nothing when called again. */
void amb_election_start(struct amb_node *node);

/* Time has passed. The timer calls this; tests do so themselves. */
void amb_election_tick(struct amb_node *node, amb_ms now);

/* The leader key was read or has changed; value NULL: there is none, and the revision is that of the store
 * when it was seen to be missing. */
void amb_election_apply_key(struct amb_node *node, const cbor_item_t *value, uint64_t revision);

/* A message named a term; `source` names its sender in the log. A leader under a lower term steps down. */
void amb_election_observe_term(struct amb_node *node, uint64_t term, const char *source);

/* ---- leadership ---- */

/* Whether this node may answer agents under its own fencing token at this moment. */
bool amb_election_is_leader(const struct amb_node *node);

/* Whether it leads, or did until it was fenced: it keeps what it knows of the fleet, since it may lead again
 * under the same term. */
bool amb_election_has_leader_role(const struct amb_node *node);

/* Whether the leadership lease is surely valid, so that decisions may be made and recorded. */
bool amb_election_may_act(const struct amb_node *node);

/* Whether tasks may be started: only while the store can be taken to be in reach as well, since what an
 * earlier leader has recorded may have been cancelled where this node does not hear of it. */
bool amb_election_may_start_tasks(const struct amb_node *node);

/* The member that agents should turn to; NULL: none is known, or none that was heard of lately. Borrowed,
 * until the next event. */
const char *amb_election_leader_name(const struct amb_node *node);

#endif
