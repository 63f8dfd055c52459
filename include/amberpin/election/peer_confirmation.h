/* Evaluates the peers' last messages: whether they confirm this node's leadership, and who reaches the store
 * and the agents. These functions send nothing and change no state. */
#ifndef AMBERPIN_PEER_CONFIRMATION_H
#define AMBERPIN_PEER_CONFIRMATION_H

#include "amberpin/base/util.h"

struct amb_node;

/* How long a peer, or all agents together, may be silent before they count as unreachable: three heartbeat
 * periods. */
amb_ms amb_election_silence_timeout(const struct amb_node *node);

/* Whether a peer that was heard from within the silence timeout reaches the key-value store. */
bool amb_election_peer_reaches_store(const struct amb_node *node, amb_ms now);

/* Each peer last confirmed that this node leads by its answer to some heartbeat. Returns when the oldest of
 * these heartbeats was sent; `now` if there are no peers. */
amb_ms amb_election_peers_confirmed_at(const struct amb_node *node, amb_ms now);

/* The time since which no other node can have answered an agent under a term older than this leader's; 0: a
 * node still might. */
amb_ms amb_election_peers_fenced_at(const struct amb_node *node);

/* Whether another node is better connected: agents reach some peer, or this node reaches no peer at all. */
bool amb_election_has_better_connected_peer(const struct amb_node *node, amb_ms now);

#endif
