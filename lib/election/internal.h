/* What the files of the election share. */
#ifndef AMBERPIN_ELECTION_INTERNAL_H
#define AMBERPIN_ELECTION_INTERNAL_H

#include "amberpin/election/state_machine.h"

struct amb_node;

/* ---- peer_confirmation.c ---- */

/* So many of the agents' heartbeat periods. */
amb_ms election_heartbeat_periods(const struct amb_node *node, double count);

/* ---- evidence.c ---- */

/* When this node last had proof of what happens elsewhere. */
struct amb_election_evidence election_contact_evidence(const struct amb_node *node, amb_ms now);

/* The same, and whether another node should lead because agents can't reach this one. Looks through the
 * fleet. */
struct amb_election_evidence election_full_evidence(const struct amb_node *node, amb_ms now);

#endif
