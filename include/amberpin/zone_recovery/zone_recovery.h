/* Loss and return of zones: the health of each zone, the order in which replicas that were lost with a zone
 * are started again, and the record from which a new leader continues (docs/design/zone-loss.md). Zone
 * recovery runs only on the leader, and only if the operators enable it. */
#ifndef AMBERPIN_ZONE_RECOVERY_H
#define AMBERPIN_ZONE_RECOVERY_H

#include "amberpin/model/model.h"
#include "amberpin/zone_recovery/availability.h"
#include "amberpin/zone_recovery/health.h"
#include "amberpin/zone_recovery/reachability.h"
#include "amberpin/zone_recovery/record.h"
#include "amberpin/zone_recovery/recovery_order.h"
#include "amberpin/zone_recovery/replica_recovery.h"

struct amb_node;
struct amb_options;
struct amb_settings;

/* The state of zone recovery on a leader. */
struct amb_zone_recovery {
    struct amb_zone_settings settings;
    struct amb_zone_health zones[AMB_ZONES_MAX]; /* by zone index in the catalogue */
    struct amb_recovery_order order;
    amb_ms order_checked_at;
    struct amb_zone_record record;
};

/* Are the operators' settings valid? False: err, of cap bytes, names the file, the field and what is allowed.
 * file: the options file; NULL: there is none. */
bool amb_zone_recovery_check(const struct amb_settings *settings, const struct amb_options *options,
                             const char *file, char *err, size_t cap);

bool amb_zone_recovery_is_enabled(const struct amb_node *node);

/* Called once, before the node serves requests. */
void amb_zone_recovery_init(struct amb_node *node);

/* Discards all state about zones. Called when a node begins or ceases to lead. */
void amb_zone_recovery_clear(struct amb_node *node);

#endif
