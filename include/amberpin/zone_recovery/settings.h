/* Settings of zone recovery, and the check that they are consistent. */
#ifndef AMBERPIN_ZONE_RECOVERY_SETTINGS_H
#define AMBERPIN_ZONE_RECOVERY_SETTINGS_H

#include "amberpin/base/util.h"

enum { AMB_RECOVERY_LIST_BYTES = 256 /* of the operators' list of classes, with the terminating zero */ };

struct amb_zone_settings {
    amb_ms heartbeat_period; /* of the agents */
    /* How long the machines of a returning zone must be stable before the zone is available, after one loss.
     * The period doubles with each further loss that has not expired. */
    amb_ms stability_period;
    amb_ms stability_period_max; /* upper bound of the doubled period */
    amb_ms loss_expiry;          /* one loss expires each time the zone has been available for this long */
};

enum amb_zone_settings_error {
    AMB_ZONE_SETTINGS_OK,
    AMB_ZONE_SETTINGS_STABILITY_TOO_SHORT,   /* shorter than a heartbeat period */
    AMB_ZONE_SETTINGS_STABILITY_MAX_TOO_LOW, /* lower than stability_period */
    AMB_ZONE_SETTINGS_LOSS_EXPIRY_TOO_SHORT, /* shorter than stability_period_max */
};

/* Returns the first rule that the settings break; AMB_ZONE_SETTINGS_OK: none. */
enum amb_zone_settings_error amb_zone_settings_check(const struct amb_zone_settings *settings);

/* The broken rule, as a constant text that names the options; empty for AMB_ZONE_SETTINGS_OK. */
const char *amb_zone_settings_error_text(enum amb_zone_settings_error error);

/* Copies the class name at *list, up to the next comma or space, into name (of cap bytes) and advances *list
 * past it. False: no name is left, or it does not fit. */
bool amb_zone_settings_next_class(const char **list, char *name, size_t cap);

/* Does the list contain no further name from this position on? */
bool amb_zone_settings_list_is_at_end(const char *list);

#endif
