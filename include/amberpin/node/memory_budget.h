/* How a node divides its memory quota (`memory_mb` in the settings) among what grows with the work that users
 * submit. What is accepted has to be kept, so a submission that would exceed a share is refused until room is
 * made: jobs end, and the leader deactivates them. docs/operators/memory.md has the table. */
#ifndef AMBERPIN_NODE_MEMORY_BUDGET_H
#define AMBERPIN_NODE_MEMORY_BUDGET_H

#include "amberpin/model/model.h"

struct amb_node;
struct amb_settings;

/* Tasks of all active jobs. Jobs beyond that are accepted, and wait for room. */
size_t amb_memory_max_tasks(const struct amb_settings *settings);
/* Tasks of the largest job that is accepted: it has to fit when it is the only active one. */
size_t amb_memory_max_tasks_of_one_job(const struct amb_settings *settings);
/* What the table of all jobs may take, in bytes, and what it takes now. */
size_t amb_memory_job_table_bytes(const struct amb_settings *settings);
size_t amb_memory_job_table_used_bytes(const struct amb_node *node);

/* Bytes of a response that a node reads at most: whole pages of the state service, or an eighth of the
 * quota. */
size_t amb_memory_max_response_bytes(const struct amb_settings *settings);
/* Bytes of a peer's message that is kept to be recognised when it comes again. */
size_t amb_memory_max_peer_message_bytes(const struct amb_settings *settings);
/* Bytes for the names of machines that are gone, the latest of which are kept. */
size_t amb_memory_removed_machines_bytes(const struct amb_settings *settings);
/* Machines for which there is room: each with its entry in the leader's table, its connection, and what peers
 * have told of it. */
size_t amb_memory_max_machines(const struct amb_settings *settings);

/* Whether there is room for one more job of this description. */
bool amb_memory_has_room_for_job(const struct amb_node *node, const struct amb_job_spec *spec);

#endif
