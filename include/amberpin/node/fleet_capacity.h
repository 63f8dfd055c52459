/* The size of the fleet that a node's socket and memory quotas allow. */
#ifndef AMBERPIN_NODE_FLEET_CAPACITY_H
#define AMBERPIN_NODE_FLEET_CAPACITY_H

#include "amberpin/config/options.h"
#include "amberpin/config/settings.h"

/* The number of connections that agents and users may have open to this node. All agents may connect to one
 * node. */
int amb_capacity_max_incoming_connections(const struct amb_settings *settings);
/* The number of connections that this node may have open to others. */
int amb_capacity_max_outgoing_connections(const struct amb_settings *settings);
/* Whether the quotas are sufficient for the fleet size that the operators state (option fleet-machines); true
 * if they state none. If false, `err`, of `cap` bytes, names the file, the setting, its value and the value
 * needed. */
bool amb_capacity_check(const struct amb_settings *settings, const struct amb_options *options,
                        const char *file, char *err, size_t cap);

#endif
