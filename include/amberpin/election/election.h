/* Leader election: connects the state machine (state_machine.h) to the key-value store, the peers and the
 * clock, and tells the other modules about leadership. Agents check the leader's term as their only fencing
 * token. */
#ifndef AMBERPIN_ELECTION_H
#define AMBERPIN_ELECTION_H

#include "amberpin/election/peer_confirmation.h"
#include "amberpin/election/state_machine.h"

#include "amberpin/codec/cbor_item.h"

struct amb_node;

/* ---- events and settings ---- */

/* Reads the election's settings from the node's settings and options. */
void amb_election_init(struct amb_node *node);

/* Timeout of calls to the store. Call amb_election_init first. */
amb_ms amb_election_call_timeout(const struct amb_node *node);

/* Call this when all keys of the store have been read: the node may now become a candidate, and the election
 * timer starts. Later calls have no effect. */
void amb_election_start(struct amb_node *node);

/* Applies the passing of time. The election timer calls this; tests call it directly. */
void amb_election_tick(struct amb_node *node, amb_ms now);

/* Call this when the leader key was read or has changed. value NULL: the key does not exist, and the revision
 * is the store revision at which it was found to be missing. */
void amb_election_apply_key(struct amb_node *node, const struct amb_cbor_item *value, uint64_t revision);

/* Call this for every term that a message contains. A leader of a lower term steps down. `source` names the
 * sender in the log. */
void amb_election_observe_term(struct amb_node *node, uint64_t term, const char *source);

/* ---- leadership ---- */

/* Whether this node may currently answer agents under its own fencing token. */
bool amb_election_is_leader(const struct amb_node *node);

/* Whether this node leads, or is fenced after having led. A fenced node keeps its state of the fleet, since
 * it may resume leading under the same term. */
bool amb_election_has_leader_role(const struct amb_node *node);

/* Whether the leadership lease is certainly valid, so that decisions may be made and recorded. */
bool amb_election_may_act(const struct amb_node *node);

/* Whether tasks may be started, apart from the fresh read that each start needs (agent_commands.h). This
 * requires that the store is probably reachable as well: no response should wait for a read that fails. */
bool amb_election_may_start_tasks(const struct amb_node *node);

/* The member that agents should be redirected to; NULL: no leader is known, or the known one was not heard
 * from recently. Borrowed until the next event. */
const char *amb_election_leader_name(const struct amb_node *node);

#endif
