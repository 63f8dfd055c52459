/* Divides a node's memory quota (`memory_mb` in the settings) among the data that grows with submitted work.
 * An accepted job has to be kept, so a submission that would exceed a share is refused until jobs end and the
 * leader deactivates them. docs/operators/memory.md has a table of the shares. */
#ifndef AMBERPIN_NODE_MEMORY_BUDGET_H
#define AMBERPIN_NODE_MEMORY_BUDGET_H

#include "amberpin/model/model.h"

struct amb_node;
struct amb_settings;

/* The most tasks that all active jobs may have. Further jobs are accepted and wait for room. */
size_t amb_memory_max_tasks(const struct amb_settings *settings);
/* The most tasks that one job may have: it has to fit when it is the only active job. */
size_t amb_memory_max_tasks_of_one_job(const struct amb_settings *settings);
/* The size limit of the job table and its present size, in bytes. */
size_t amb_memory_job_table_bytes(const struct amb_settings *settings);
size_t amb_memory_job_table_used_bytes(const struct amb_node *node);

/* The largest response that a node reads, in bytes: whole pages of the state service, or an eighth of the
 * quota if that is more. */
size_t amb_memory_max_response_bytes(const struct amb_settings *settings);
/* Bytes for requests of users and agents that have arrived in part. */
size_t amb_memory_max_request_input_bytes(const struct amb_settings *settings);
/* Bytes for messages of peers that have arrived in part, of which each may have max_message_bytes. */
size_t amb_memory_max_peer_input_bytes(const struct amb_settings *settings, size_t max_message_bytes);
/* Bytes for the values of a peer's message while it is read. */
size_t amb_memory_max_peer_values_bytes(const struct amb_settings *settings);
/* The largest message of a peer, in bytes, that is kept to recognise its repetition. */
size_t amb_memory_max_peer_message_bytes(const struct amb_settings *settings);
/* Bytes for the names of removed machines, of which the latest are kept. */
size_t amb_memory_removed_machines_bytes(const struct amb_settings *settings);
/* The most commands that all deferred responses to agents may keep (fleet/deferred_responses.h). */
size_t amb_memory_max_deferred_commands(const struct amb_settings *settings);
/* The most machines that fit: each takes its entry in the leader's table, its connection and the images that
 * peers have reported for it. */
size_t amb_memory_max_machines(const struct amb_settings *settings);

/* ---- submissions ---- */

/* Returns the bytes that one more job adds to the job table at most, with what its dependencies add. */
size_t amb_memory_job_bytes(const struct amb_dependency_usage *dependencies);
/* Whether there is room for one more job with this description. For a job with dependencies some room is left
 * for those that other nodes accept before this node hears of them. */
bool amb_memory_has_room_for_job(const struct amb_node *node, const struct amb_job_spec *spec,
                                 const struct amb_dependency_usage *dependencies);
/* Whether an empty job table has room for a job with these dependencies. */
bool amb_memory_can_hold_dependencies(const struct amb_settings *settings,
                                      const struct amb_dependency_usage *dependencies);
/* Whether the job table is so full that a job with dependencies is accepted only after a fresh read, which
 * shows what other nodes have accepted. */
bool amb_memory_is_nearly_full(const struct amb_node *node);
/* Bytes for submissions that are not accepted yet. */
size_t amb_memory_max_draft_bytes(const struct amb_settings *settings);

#endif
