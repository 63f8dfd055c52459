/* Settings of zone recovery, and the check that they can work together. */
#ifndef AMBERPIN_ZONE_RECOVERY_SETTINGS_H
#define AMBERPIN_ZONE_RECOVERY_SETTINGS_H

#include "amberpin/base/util.h"

enum { AMB_RECOVERY_LIST_BYTES = 256 }; /* bytes of a list of classes, with the terminating zero */

struct amb_zone_settings {
    amb_ms heartbeat_period;     /* of the workers */
    amb_ms stability_period;     /* a returning zone is healthy once its machines have answered for so long;
                          doubles     with each loss of late */
    amb_ms stability_period_max; /* but is never longer than this */
    amb_ms loss_expiry; /* one loss counts no more for each such time in which the zone was not lost */
};

enum amb_zone_settings_error {
    AMB_ZONE_SETTINGS_OK,
    AMB_ZONE_SETTINGS_STABILITY_TOO_SHORT,   /* shorter than a report period */
    AMB_ZONE_SETTINGS_STABILITY_MAX_TOO_LOW, /* steady_longest below steady */
    AMB_ZONE_SETTINGS_LOSS_EXPIRY_TOO_SHORT, /* losses are forgotten sooner than the longest steady time */
};

enum amb_zone_settings_error amb_zone_settings_check(const struct amb_zone_settings *settings);
/* What is allowed instead; a constant text. */
const char *amb_zone_settings_error_text(enum amb_zone_settings_error error);

/* Copies the name at *list, up to the next comma or space, and moves *list behind it. False: there is none
 * left, or it is too long for a name. */
bool amb_zone_settings_next_class(const char **list, char *name, size_t cap);
/* Is no name left at this place of a list? */
bool amb_zone_settings_list_is_at_end(const char *list);

#endif
