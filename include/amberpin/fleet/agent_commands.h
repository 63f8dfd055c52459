/* Commands to agents. A start is sent only in the response to a heartbeat, because the agent drops a response
 * that is late. A stop is harmless when it is carried out late, so it may also be sent in a request of its
 * own. */
#ifndef AMBERPIN_FLEET_AGENT_COMMANDS_H
#define AMBERPIN_FLEET_AGENT_COMMANDS_H

#include "amberpin/model/model.h"

struct amb_node;

enum { AMB_COMMANDS_MAX = 256 /* in one response */ };

/* A command list of fixed capacity; its creator owns the memory. */
struct amb_command_list {
    struct amb_agent_command *commands;
    size_t capacity, count;
};

/* Appends a command. Does nothing if the list is full: a command that is still needed is sent in the response
 * to a later heartbeat. job_ref, index: identify the task; grace_s: seconds to save a checkpoint before a
 * stop. */
void amb_command_list_add(struct amb_command_list *list, enum amb_agent_command_kind kind,
                          const char *job_ref, uint32_t index, uint64_t attempt, double grace_s);

/* Returns whether a task on the machine should be told to start in the response to the machine's newest
 * heartbeat, provided that a fresh read of the state service confirms it. */
bool amb_machine_has_start_due(const struct amb_node *node, const struct amb_machine *machine);

/* Appends the starts that are due on the machine, if a fresh read that was sent after its newest heartbeat
 * had arrived has been applied (amb_machine.start_read). list: the commands of the response to that
 * heartbeat. A user may have been told that a job is cancelled before the agent sent the heartbeat, and such
 * a read contains every cancellation of which a user was told before. This is the only function that orders a
 * start. */
void amb_command_list_add_starts(struct amb_node *node, struct amb_machine *machine,
                                 struct amb_command_list *list);

/* Returns whether every placement of the gang's attempt is durable. None of its tasks may start before. */
bool amb_gang_placements_are_durable(const struct amb_job *job);

/* Sends commands to this incarnation of the machine's agent in a request of their own. They may be carried
 * out late, so the list must not contain starts. An empty list delivers the fencing token alone. */
void amb_machine_send_commands(struct amb_node *node, const struct amb_machine *machine, uint64_t incarnation,
                               const struct amb_command_list *list);

/* Sends the stop commands that are due, without waiting for the machine's next heartbeat. */
void amb_machine_send_stops(struct amb_node *node, struct amb_machine *machine);

#endif
