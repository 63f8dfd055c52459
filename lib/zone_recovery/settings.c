#include "amberpin/zone_recovery/settings.h"

#include <string.h>

static const char SEPARATORS[] = ", ";

enum amb_zone_settings_error amb_zone_settings_check(const struct amb_zone_settings *settings) {
    if (settings->stability_period < settings->heartbeat_period) return AMB_ZONE_SETTINGS_STABILITY_TOO_SHORT;
    if (settings->stability_period_max < settings->stability_period)
        return AMB_ZONE_SETTINGS_STABILITY_MAX_TOO_LOW;
    if (settings->loss_expiry < settings->stability_period_max)
        return AMB_ZONE_SETTINGS_LOSS_EXPIRY_TOO_SHORT;
    return AMB_ZONE_SETTINGS_OK;
}

const char *amb_zone_settings_error_text(enum amb_zone_settings_error error) {
    switch (error) {
    case AMB_ZONE_SETTINGS_OK: return "";
    case AMB_ZONE_SETTINGS_STABILITY_TOO_SHORT:
        return "zone-steady must be at least a report period of the workers";
    case AMB_ZONE_SETTINGS_STABILITY_MAX_TOO_LOW: return "zone-steady-longest must be at least zone-steady";
    case AMB_ZONE_SETTINGS_LOSS_EXPIRY_TOO_SHORT:
        return "zone-loss-forgotten must be at least zone-steady-longest";
    }
    return "";
}

bool amb_zone_settings_next_class(const char **list, char *name, size_t cap) {
    *list += strspn(*list, SEPARATORS);
    size_t length = strcspn(*list, SEPARATORS);
    if (!length || length >= cap) return false;
    memcpy(name, *list, length);
    name[length] = 0;
    *list += length;
    return true;
}

bool amb_zone_settings_list_is_at_end(const char *list) {
    return !list[strspn(list, SEPARATORS)];
}
