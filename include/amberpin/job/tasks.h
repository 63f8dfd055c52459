/* The leader's care of jobs: one function for every change of a task's or gang's state. */
#ifndef AMBERPIN_TASKS_H
#define AMBERPIN_TASKS_H

#include "amberpin/model/model.h"

struct amb_node;

bool amb_job_allows_type(struct amb_node *node, struct amb_job *job, int type);
uint32_t amb_job_count_waiting_tasks(const struct amb_job *job); /* tasks on no machine and not done */

void amb_job_activate(struct amb_node *node, struct amb_job *job); /* into the leader's care */
/* Now, or later: tasks take memory. Not while it awaits other jobs. */
void amb_job_activate_if_room(struct amb_node *node, struct amb_job *job);
void amb_jobs_activate_unadmitted(struct amb_node *node);            /* for which there is room by now */
void amb_job_deactivate(struct amb_node *node, struct amb_job *job); /* out of it */

void amb_task_bind(struct amb_node *node, struct amb_task *task, struct amb_machine *machine,
                   uint64_t attempt, enum amb_task_state state);
void amb_task_set_state(struct amb_node *node, struct amb_task *task, enum amb_task_state new_state,
                        const char *cause);
void amb_task_unbind(struct amb_node *node, struct amb_task *task, const char *cause); /* proven absent */
void amb_task_set_running(struct amb_task *task, bool running);
void amb_task_mark_done(struct amb_node *node, struct amb_task *task);
void amb_task_request_stop(struct amb_node *node, struct amb_task *task, double grace_s, const char *cause);

void amb_gang_set_state(struct amb_job *job, enum amb_gang_state new_state, const char *cause);
void amb_gang_tear_down(struct amb_node *node, struct amb_job *job, const char *cause);

#endif
