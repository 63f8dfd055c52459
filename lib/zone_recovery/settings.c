#include "amberpin/zone_recovery/settings.h"

#include <string.h>

static const char SEPARATORS[] = ", ";

enum amb_zone_settings_error amb_zone_settings_check(const struct amb_zone_settings *settings) {
    if (settings->steady < settings->report_period) return AMB_ZONE_SETTINGS_SHORT_STEADY;
    if (settings->steady_longest < settings->steady) return AMB_ZONE_SETTINGS_LOW_BOUND;
    if (settings->loss_forgotten < settings->steady_longest) return AMB_ZONE_SETTINGS_SHORT_MEMORY;
    return AMB_ZONE_SETTINGS_GOOD;
}

const char *amb_zone_settings_allowed(enum amb_zone_settings_error error) {
    switch (error) {
    case AMB_ZONE_SETTINGS_GOOD: return "";
    case AMB_ZONE_SETTINGS_SHORT_STEADY: return "zone-steady must be at least a report period of the workers";
    case AMB_ZONE_SETTINGS_LOW_BOUND: return "zone-steady-longest must be at least zone-steady";
    case AMB_ZONE_SETTINGS_SHORT_MEMORY: return "zone-loss-forgotten must be at least zone-steady-longest";
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

bool amb_zone_settings_list_ends(const char *list) {
    return !list[strspn(list, SEPARATORS)];
}
