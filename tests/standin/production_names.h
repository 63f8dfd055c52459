/* Names of the production version, for the file that starts nodes of both versions (node_side.c): what it
 * spells by the present name has the other in the headers of that version. */
#ifndef AMBERPIN_TESTS_PRODUCTION_NAMES_H
#define AMBERPIN_TESTS_PRODUCTION_NAMES_H

#define AMB_NAME_SIZE AMB_NAME
#define amb_election_is_leader amb_leads
#define amb_job_spec amb_spec
#define amb_memory_has_room_for_job amb_memory_holds
#define amb_memory_job_table_bytes amb_memory_job_table
#define amb_memory_job_table_used_bytes amb_memory_job_table_used
#define options opt
#define settings set
#define task_count tasks

#endif
