/* Handling of tasks and machines that are proven absent. */
#ifndef AMBERPIN_AGENT_MACHINE_LOSS_H
#define AMBERPIN_AGENT_MACHINE_LOSS_H

#include "amberpin/model/absence_proof.h"
#include "amberpin/model/model.h"

struct amb_node;

/* Unbinds all tasks of the machine, which are proven absent, so that they are placed again, and tears down
 * their gangs. */
void amb_machine_unbind_lost_tasks(struct amb_node *node, struct amb_machine *machine,
                                   enum amb_absence proof);

/* Unbinds the tasks of a machine that is itself proven gone, and removes the machine from the table, which
 * frees it. */
void amb_machine_confirm_gone(struct amb_node *node, struct amb_machine *machine, enum amb_absence proof);

#endif
