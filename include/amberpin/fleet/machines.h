/* The leader's table of machines: what is known of each, and one function for every change of its state. */
#ifndef AMBERPIN_MACHINES_H
#define AMBERPIN_MACHINES_H

#include "amberpin/base/loop.h"
#include "amberpin/model/model.h"

struct amb_node;

/* The machine of this name; create: added if it is not in the table, unless it was there before (names are
 * never used again: late copies of a returned machine's reports mean nothing). */
struct amb_machine *amb_machine_get(struct amb_node *node, const char *name, bool add_if_missing);
/* Out of the table, and never in it again. It holds no task, and no answer of its is held. */
void amb_machine_remove(struct amb_node *node, struct amb_machine *machine);
/* Was the machine proved to be gone while this node led? That stays true, also once it leads no more. */
bool amb_machine_was_removed(const struct amb_node *node, const char *name);
/* Names of removed machines that are kept at most. */
size_t amb_machines_removed_limit(const struct amb_node *node);
/* All out of the table: their names may come again. */
void amb_machines_clear(struct amb_node *node);
/* The names of those that were removed are forgotten. */
void amb_machines_forget_removed(struct amb_node *node);

void amb_machine_set_state(struct amb_machine *machine, enum amb_machine_state state, const char *cause);
/* A return of it is on record: it is never used again. */
void amb_machine_mark_releasing(struct amb_machine *machine, const char *cause);
/* The zone, when it was not known yet; the tasks that are on record there count in it from now on. */
void amb_machine_set_zone(struct amb_machine *machine, int zone);
/* Its type and zone by name, as far as they were not known yet. One that lies beyond what is kept of types or
 * zones is never used, which is said once. */
void amb_machine_set_location(struct amb_node *node, struct amb_machine *machine, const char *type,
                              const char *zone);
/* It is given no new task for so long. */
void amb_machine_quarantine(struct amb_machine *machine, double seconds, const char *cause);
/* It may be given work now. */
bool amb_machine_is_schedulable(const struct amb_node *node, const struct amb_machine *machine, amb_ms now);

/* Makes room for so many images: most machines hold few, and a leader walks all machines. */
void amb_machine_reserve_images(struct amb_machine *machine, uint32_t images);
bool amb_machine_has_image(const struct amb_machine *machine, const char *image);
void amb_machine_record_image_use(struct amb_node *node, struct amb_machine *machine, const char *image,
                                  double gb);

#endif
