/* A controller node in the state of a leader of the term TERM that has restored its records and knows one
 * team and one machine type. There is no network and no event loop: timers are set but do not fire. */
#ifndef AMBERPIN_TESTS_NODE_FIXTURE_H
#define AMBERPIN_TESTS_NODE_FIXTURE_H

#include "amberpin/node/node.h"

enum { TERM = 50, FIXTURE_MAX_COMMANDS = 32 };

extern struct amb_node *node;
/* The commands in the reply to the latest heartbeat. */
extern struct amb_agent_command reply_commands[FIXTURE_MAX_COMMANDS];
extern size_t reply_command_count;

/* Test setup and teardown for cmocka; a test may also call them to replace the node by a new one. */
int setup(void **state);
int teardown(void **state);

/* Adds an active job of the node's first team. */
struct amb_job *add_active_job(const char *ref, enum amb_job_kind kind, uint32_t tasks);

/* Binds the task with this index to the machine, which is created if necessary. */
struct amb_task *bind_task(struct amb_job *job, uint32_t index, const char *machine, uint64_t attempt);

/* A task as listed in a heartbeat. */
struct amb_agent_task make_agent_task(const char *ref, uint32_t index, uint64_t attempt,
                                      enum amb_agent_task_state agent_state,
                                      enum amb_exit_reason exit_reason);

/* Processes a heartbeat of the machine's agent. False: it shows a higher term than the node's. */
bool deliver_heartbeat(const char *machine, uint64_t incarnation, uint64_t sequence, uint64_t token,
                       amb_ms now, const struct amb_agent_task *tasks, size_t task_count);

/* Number of commands of this kind in the latest reply. */
size_t count_commands(enum amb_agent_command_kind kind);

#endif
