/* Orders to workers: those in the answer to a report, and the rule for a start; stops and the token also go
 * by /commands, which may be carried out late. */
#ifndef AMBERPIN_ORDERS_H
#define AMBERPIN_ORDERS_H

#include "amberpin/http/http.h"
#include "amberpin/model/model.h"

struct amb_node;

enum { AMB_COMMANDS_MAX = 256 /* in an answer */ };

struct amb_command_list {
    struct amb_agent_command *commands;
    size_t capacity, count;
};

/* Nothing is added to a full list: the rest goes out with the next report. */
void amb_command_list_add(struct amb_command_list *list, enum amb_agent_command_kind kind, const char *ref,
                          uint32_t index, uint64_t attempt, double grace_s);
/* The task's start, if it may be ordered: in the answer to its machine's latest report. */
void amb_command_list_add_start(struct amb_node *node, struct amb_task *task, struct amb_command_list *list);
/* Is every placement of the gang's attempt durable? None of its tasks may start before. */
bool amb_gang_is_recorded(const struct amb_job *job);

/* Answers a report under this term. */
void amb_heartbeat_reply_commands(struct amb_http_req *request, uint64_t term,
                                  const struct amb_command_list *list);
/* Answers a report that this node may not answer: to the leader, if one is known. */
void amb_heartbeat_reply_redirect(struct amb_node *node, struct amb_http_req *request);
/* Sends orders that may be carried out late, or none: our token alone. */
void amb_machine_send_commands(struct amb_node *node, const struct amb_machine *machine, uint64_t incarnation,
                               const struct amb_command_list *list);
/* Stops need not wait for a report to answer. */
void amb_machine_send_stops(struct amb_node *node, struct amb_machine *machine);

#endif
