/* Names of the production version, for the file that starts nodes of both versions (node_side.c): what it
 * spells by the present name has the other in the headers of that version. */
#ifndef AMBERPIN_TESTS_PRODUCTION_NAMES_H
#define AMBERPIN_TESTS_PRODUCTION_NAMES_H

#define amb_election_is_leader amb_leads

#endif
