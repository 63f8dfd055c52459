/* One controller node put together by hand: it leads under TERM, has read its records, and knows one team and
 * one machine type. No network and no loop: timers are set but none fires. */
#ifndef AMBERPIN_TESTS_NODE_FIXTURE_H
#define AMBERPIN_TESTS_NODE_FIXTURE_H

#include "amberpin/node/node.h"

enum { TERM = 50, FIXTURE_MAX_COMMANDS = 32 };

extern struct amb_node *node;
/* The commands in the answer to the latest heartbeat. */
extern struct amb_agent_command reply_commands[FIXTURE_MAX_COMMANDS];
extern size_t reply_command_count;

/* As cmocka wants them; a test may call them itself to begin anew with a fresh node. */
int setup(void **state);
int teardown(void **state);

/* A job of the node's first team, in the leader's care. */
struct amb_job *add_active_job(const char *ref, enum amb_job_kind kind, uint32_t tasks);

/* Task i of the job, recorded as placed on the machine (which is made up if need be). */
struct amb_task *bind_task(struct amb_job *job, uint32_t index, const char *machine, uint64_t attempt);

/* A task as a heartbeat lists it. */
struct amb_agent_task make_agent_task(const char *ref, uint32_t index, uint64_t attempt,
                                      enum amb_agent_task_state agent_state,
                                      enum amb_exit_reason exit_reason);

/* A heartbeat of the machine's agent arrives. False: it shows a higher term than ours. */
bool deliver_heartbeat(const char *machine, uint64_t session, uint64_t seq, uint64_t token, amb_ms now,
                       const struct amb_agent_task *tasks, size_t ntasks);

/* How many commands of this kind the latest answer holds. */
size_t count_commands(enum amb_agent_command_kind op);

#endif
