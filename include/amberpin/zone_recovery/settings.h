/* Settings of zone recovery, and the check that they can work together. */
#ifndef AMBERPIN_ZONE_RECOVERY_SETTINGS_H
#define AMBERPIN_ZONE_RECOVERY_SETTINGS_H

#include "amberpin/base/util.h"

enum { AMB_RECOVERY_LIST_BYTES = 256 /* of the operators' list of classes, with the terminating zero */ };

struct amb_zone_settings {
    amb_ms heartbeat_period; /* of the agents */
    /* A returning zone is available once its machines have been stable for so long; doubles with each loss
     * that has not expired. */
    amb_ms stability_period;
    amb_ms stability_period_max; /* the bound of the doubling */
    amb_ms loss_expiry;          /* one loss expires for each such time in which the zone was available */
};

enum amb_zone_settings_error {
    AMB_ZONE_SETTINGS_OK,
    AMB_ZONE_SETTINGS_STABILITY_TOO_SHORT,   /* shorter than a heartbeat period */
    AMB_ZONE_SETTINGS_STABILITY_MAX_TOO_LOW, /* lower than stability_period */
    AMB_ZONE_SETTINGS_LOSS_EXPIRY_TOO_SHORT, /* shorter than stability_period_max */
};

/* Can the settings work together? */
enum amb_zone_settings_error amb_zone_settings_check(const struct amb_zone_settings *settings);

/* What is allowed instead, as a constant text in the operators' terms; empty for AMB_ZONE_SETTINGS_OK. */
const char *amb_zone_settings_error_text(enum amb_zone_settings_error error);

/* Copies the class name at *list, up to the next comma or space, into name (of cap bytes) and moves *list
 * behind it. False: there is none left, or it does not fit. */
bool amb_zone_settings_next_class(const char **list, char *name, size_t cap);

/* Is no name left at this position of a list? */
bool amb_zone_settings_list_is_at_end(const char *list);

#endif
