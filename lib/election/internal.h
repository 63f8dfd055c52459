/* Declarations shared by the files of the election module. */
#ifndef AMBERPIN_ELECTION_INTERNAL_H
#define AMBERPIN_ELECTION_INTERNAL_H

#include "amberpin/election/state_machine.h"

struct amb_node;

/* ---- peer_confirmation.c ---- */

/* Duration of `count` heartbeat periods of the agents. */
amb_ms election_heartbeat_periods(const struct amb_node *node, double count);

/* ---- evidence.c ---- */

/* When this node last had confirmed contact with the store and with all peers. Does not set `unreachable`. */
struct amb_election_evidence election_contact_evidence(const struct amb_node *node, amb_ms now);

/* The same, and whether another node should lead because agents cannot reach this one. Iterates over the
 * fleet's machines. */
struct amb_election_evidence election_full_evidence(const struct amb_node *node, amb_ms now);

#endif
