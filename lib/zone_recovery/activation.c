#include "amberpin/zone_recovery/zone_recovery.h"

#include "amberpin/node/node.h"

#include <stdio.h>
#include <string.h>

static struct amb_zone_settings make_settings(const struct amb_settings *settings,
                                              const struct amb_options *options) {
    return (struct amb_zone_settings){
        .heartbeat_period = amb_seconds_to_ms(settings->heartbeat_s),
        .stability_period = amb_seconds_to_ms(settings->agent_lease_s * options->zone_steady_share),
        .stability_period_max = amb_seconds_to_ms(settings->agent_lease_s * options->zone_steady_max_share),
        .loss_expiry = amb_seconds_to_ms(settings->agent_lease_s * options->zone_loss_expiry_share),
    };
}

static bool is_known_class(const struct amb_settings *settings, const char *name) {
    for (uint32_t i = 0; i < settings->objective_count; i++)
        if (!strcmp(settings->objectives[i].class_name, name)) return true;
    return false;
}

/* Does the list name the class before the position `end`? */
static bool is_named_before(const char *list, const char *end, const char *name) {
    char other[AMB_NAME_SIZE];
    while (list < end && amb_zone_settings_next_class(&list, other, sizeof other))
        if (list < end && !strcmp(other, name)) return true;
    return false;
}

static bool check_order(const struct amb_settings *settings, const char *order, const char *file, char *err,
                        size_t cap) {
    char name[AMB_NAME_SIZE];
    const char *at = order;
    while (amb_zone_settings_next_class(&at, name, sizeof name)) {
        if (!is_known_class(settings, name)) {
            snprintf(err, cap, "%s: zone-recovery-order: '%s' is no class that objectives name", file, name);
            return false;
        }
        if (is_named_before(order, at, name)) {
            snprintf(err, cap, "%s: zone-recovery-order: '%s' stands there twice; each class has one place",
                     file, name);
            return false;
        }
    }
    if (amb_zone_settings_list_is_at_end(at)) return true;
    snprintf(err, cap, "%s: zone-recovery-order: a name is longer than the %d bytes of a class", file,
             AMB_NAME_SIZE - 1);
    return false;
}

bool amb_zone_recovery_check(const struct amb_settings *settings, const struct amb_options *options,
                             const char *file, char *err, size_t cap) {
    if (options->zone_recovery == 0) return true;
    if (!file) file = "options";
    struct amb_zone_settings zone_settings = make_settings(settings, options);
    enum amb_zone_settings_error error = amb_zone_settings_check(&zone_settings);
    if (error != AMB_ZONE_SETTINGS_OK) {
        snprintf(err, cap, "%s: %s", file, amb_zone_settings_error_text(error));
        return false;
    }
    return check_order(settings, options->zone_recovery_order, file, err, cap);
}

bool amb_zone_recovery_is_enabled(const struct amb_node *node) {
    return node->options.zone_recovery != 0;
}

void amb_zone_recovery_init(struct amb_node *node) {
    if (amb_zone_recovery_is_enabled(node))
        node->zone_recovery.settings = make_settings(&node->settings, &node->options);
}

void amb_zone_recovery_clear(struct amb_node *node) {
    struct amb_zone_recovery *recovery = &node->zone_recovery;
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++) amb_zone_health_free(&recovery->zones[zone]);
    recovery->order.count = 0;
    recovery->order_checked_at = 0;
    recovery->record = (struct amb_zone_record){.state = AMB_ZONE_RECORD_CURRENT};
}
