/* The leader's table of machines, and the functions that update one of them. */
#ifndef AMBERPIN_FLEET_MACHINES_H
#define AMBERPIN_FLEET_MACHINES_H

#include "amberpin/base/loop.h"
#include "amberpin/fleet/image_cache.h"
#include "amberpin/model/model.h"

struct amb_node;

/* ---- machine table ---- */

/* Returns the machine of this name, borrowed from the table, or NULL if there is none. add_if_missing: adds a
 * machine that is not in the table as unverified, unless it was removed before or its name is too long. Names
 * are never reused, so a heartbeat of a removed machine can only be a late copy. */
struct amb_machine *amb_machine_get(struct amb_node *node, const char *name, bool add_if_missing);
/* Removes and frees the machine for good. It must have no task and no deferred response. */
void amb_machine_remove(struct amb_node *node, struct amb_machine *machine);
/* Returns whether a machine of this name was removed. The names are kept when this node no longer leads. */
bool amb_machine_was_removed(const struct amb_node *node, const char *name);
/* Returns how many names of removed machines are kept at most. */
size_t amb_machines_removed_limit(const struct amb_node *node);
/* Frees all machines without recording their names as removed: they may be added again. */
void amb_machines_clear(struct amb_node *node);
/* Forgets the names of all removed machines. */
void amb_machines_forget_removed(struct amb_node *node);

/* ---- updates of one machine ---- */

/* Changes the state and logs the cause. The state AMB_MACHINE_RELEASING is final. */
void amb_machine_set_state(struct amb_machine *machine, enum amb_machine_state state, const char *cause);
/* Marks the machine as releasing once its release is on record: it is never used again. */
void amb_machine_mark_releasing(struct amb_machine *machine, const char *cause);
/* Sets the zone if it was unknown, and counts the machine's tasks in it. */
void amb_machine_set_zone(struct amb_machine *machine, int zone);
/* Sets the type and the zone by name, unless they are known. A machine whose type is not in the catalogue, or
 * whose zone is beyond the limit of AMB_ZONES_MAX zones, is never used; that is logged once. */
void amb_machine_set_location(struct amb_node *node, struct amb_machine *machine, const char *type,
                              const char *zone);
/* Places no new tasks on the machine for this number of seconds from now. */
void amb_machine_quarantine(struct amb_machine *machine, double seconds, const char *cause);
/* Returns whether new tasks may be placed on the machine now. */
bool amb_machine_is_schedulable(const struct amb_node *node, const struct amb_machine *machine, amb_ms now);

#endif
