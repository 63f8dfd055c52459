/* Maps present names of the library to those of the production version's headers, for node_version.c, which
 * is compiled with both. */
#ifndef AMBERPIN_TESTS_PRODUCTION_NAMES_H
#define AMBERPIN_TESTS_PRODUCTION_NAMES_H

#define AMB_NAME_SIZE AMB_NAME
#define agent_lease_s lease_s
#define amb_election_is_leader amb_leads
#define amb_job_spec amb_spec
#define amb_memory_has_room_for_job amb_memory_holds
#define amb_memory_job_table_bytes amb_memory_job_table
#define amb_memory_job_table_used_bytes amb_memory_job_table_used
#define amb_options_set_defaults amb_options_default
#define amb_store_limits amb_state_limits
#define announced_limits state_next
#define api_listen front
#define cloud_addr cloud
#define heartbeat_s report_s
#define idle_release_share idle_return
#define options opt
#define peer_count npeers
#define settings set
#define store_addr state
#define store_rps state_rps
#define store_write_rps state_write_rps
#define task_count tasks
#define team_count nteams
#define zone_count nzones

#endif
