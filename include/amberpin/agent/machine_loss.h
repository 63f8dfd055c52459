/* What follows once tasks or whole machines are proven absent. */
#ifndef AMBERPIN_AGENT_MACHINE_LOSS_H
#define AMBERPIN_AGENT_MACHINE_LOSS_H

#include "amberpin/model/absence_proof.h"
#include "amberpin/model/model.h"

struct amb_node;

/* All tasks of the machine are proven absent: they are to be placed anew, their gangs are torn down. */
void amb_machine_unbind_lost_tasks(struct amb_node *node, struct amb_machine *machine,
                                   enum amb_absence proof);

/* The machine itself is proven gone: unbinds its tasks and removes it from the table, which frees it. */
void amb_machine_confirm_gone(struct amb_node *node, struct amb_machine *machine, enum amb_absence proof);

#endif
