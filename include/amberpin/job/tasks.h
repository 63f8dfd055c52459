/* State changes of tasks and gangs. Each change goes through one function, so that the counters of the job,
 * the machine and the team always agree with the tasks. Only the leader uses this module. */
#ifndef AMBERPIN_TASKS_H
#define AMBERPIN_TASKS_H

#include "amberpin/model/model.h"

struct amb_node;

/* Returns how many tasks are neither on a machine nor done. */
uint32_t amb_job_count_waiting_tasks(const struct amb_job *job);

/* Binds a waiting task to the machine, with this attempt number and in this state. From then on its resources
 * count as used on the machine and by the team. */
void amb_task_bind(struct amb_node *node, struct amb_task *task, struct amb_machine *machine,
                   uint64_t attempt, enum amb_task_state state);
/* Takes the task off its machine. Allowed only with a proof of absence (absence_proof.h), or before any
 * command for the task can have been sent. Has no effect on a task that is on no machine. */
void amb_task_unbind(struct amb_node *node, struct amb_task *task, const char *cause);
/* Sets the task's state. `cause` is written to the log. */
void amb_task_set_state(struct amb_node *node, struct amb_task *task, enum amb_task_state new_state,
                        const char *cause);
/* Records whether the agent reports the task as running. */
void amb_task_set_running(struct amb_task *task, bool running);
/* Marks the task as done, and its block as having to be written. The task stays bound until there is a proof
 * of absence. */
void amb_task_mark_done(struct amb_node *node, struct amb_task *task);
/* Requests a command to the agent to stop the task within `grace_s` seconds. A request whose grace period is
 * not shorter than that of an earlier request has no effect. */
void amb_task_request_stop(struct amb_node *node, struct amb_task *task, double grace_s, const char *cause);
/* Takes the task off its machine if it cannot have been started, else requests a stop without grace. */
void amb_task_withdraw(struct amb_node *node, struct amb_task *task, const char *cause);

void amb_gang_set_state(struct amb_job *job, enum amb_gang_state new_state, const char *cause);
/* Tears the gang down after its attempt has failed: all its tasks must be gone before the next attempt. */
void amb_gang_tear_down(struct amb_node *node, struct amb_job *job, const char *cause);

#endif
