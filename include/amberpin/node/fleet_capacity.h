/* How large a fleet a node's quota holds: sockets and memory. */
#ifndef AMBERPIN_NODE_FLEET_CAPACITY_H
#define AMBERPIN_NODE_FLEET_CAPACITY_H

#include "amberpin/config/options.h"
#include "amberpin/config/settings.h"

/* How many connections others may have open to this node: agents, all of which may come to one node, and
 * users. */
int amb_capacity_max_incoming_connections(const struct amb_settings *settings);
/* How many connections this node may have open to others. */
int amb_capacity_max_outgoing_connections(const struct amb_settings *settings);
/* Whether the quota holds the fleet that the operators name (fleet-machines); true if they name none. False:
 * `err`, of `cap` bytes, names the file, the setting, its value and what is needed. */
bool amb_capacity_check(const struct amb_settings *settings, const struct amb_options *options,
                        const char *file, char *err, size_t cap);

#endif
