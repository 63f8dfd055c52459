/* Changes of the state of tasks and gangs, one function for each, so that the counts of their job, machine
 * and team always agree with them. The leader's alone. */
#ifndef AMBERPIN_TASKS_H
#define AMBERPIN_TASKS_H

#include "amberpin/model/model.h"

struct amb_node;

/* How many tasks are on no machine and not done. */
uint32_t amb_job_count_waiting_tasks(const struct amb_job *job);

/* Puts a waiting task on the machine, with this attempt number and in this state. From now on it counts as
 * used on the machine and by its team. */
void amb_task_bind(struct amb_node *node, struct amb_task *task, struct amb_machine *machine,
                   uint64_t attempt, enum amb_task_state state);
/* Takes the task off its machine. Only with a proof of absence (absence_proof.h), or before any command can
 * have been sent. Nothing happens if it is on none. */
void amb_task_unbind(struct amb_node *node, struct amb_task *task, const char *cause);
/* `cause` is for the log. */
void amb_task_set_state(struct amb_node *node, struct amb_task *task, enum amb_task_state new_state,
                        const char *cause);
/* Whether its agent says that it runs. */
void amb_task_set_running(struct amb_task *task, bool running);
/* The task is completed, and its completion is to be made durable. It stays bound until it is proven absent.
 */
void amb_task_mark_done(struct amb_node *node, struct amb_task *task);
/* The agent is to be commanded to stop the task within `grace_s` seconds. A request with more grace than an
 * earlier one changes nothing. */
void amb_task_request_stop(struct amb_node *node, struct amb_task *task, double grace_s, const char *cause);
/* Takes the task off its machine if it can't have been started, and else has it stopped without grace. */
void amb_task_withdraw(struct amb_node *node, struct amb_task *task, const char *cause);

void amb_gang_set_state(struct amb_job *job, enum amb_gang_state new_state, const char *cause);
/* The attempt of the gang has failed: all its tasks must be gone before the next one starts. */
void amb_gang_tear_down(struct amb_node *node, struct amb_job *job, const char *cause);

#endif
