/* What the peers' last messages show of this node's leadership and place in the network. Nothing is asked or
 * changed here. */
#ifndef AMBERPIN_PEER_CONFIRMATION_H
#define AMBERPIN_PEER_CONFIRMATION_H

#include "amberpin/base/util.h"

struct amb_node;

/* How long a peer, or all agents, may be silent before they count as out of reach: three heartbeat periods.
 */
amb_ms amb_election_silence_timeout(const struct amb_node *node);

/* Whether some peer has lately said that it reaches the key-value store. */
bool amb_election_peer_reaches_store(const struct amb_node *node, amb_ms now);

/* When the oldest question was sent whose answer is a peer's latest confirmation that this node leads; `now`
 * if there are no peers. */
amb_ms amb_election_peers_confirmed_at(const struct amb_node *node, amb_ms now);

/* Since when no other node can have answered an agent under an older term than this leader's; 0: one still
 * might. */
amb_ms amb_election_peers_fenced_at(const struct amb_node *node);

/* Whether agents reach some peer, or no peer can be reached at all. */
bool amb_election_has_better_placed_peer(const struct amb_node *node, amb_ms now);

#endif
