#include "amberpin/cloud_duty/duty_options.h"

#include "amberpin/config/options.h"
#include "amberpin/config/settings.h"
#include "amberpin/model/absence_proof.h"

#include <stdio.h>

/* Minimum call timeout of the key-value store, in heartbeat periods. */
static const double CALL_TIMEOUT_HEARTBEATS = 0.1;

struct amb_duty_settings amb_duties_make_settings(const struct amb_settings *settings,
                                                  const struct amb_options *options) {
    amb_ms ttl = amb_seconds_to_ms(options->duty_lease_share * amb_settings_lease_base_s(settings));
    amb_ms list_span = amb_absence_list_span(settings->list_lag_s, settings->heartbeat_s);
    struct amb_duty_settings duty_settings = amb_duty_settings_default(ttl, list_span);
    amb_ms call_timeout = amb_seconds_to_ms(settings->heartbeat_s * CALL_TIMEOUT_HEARTBEATS);
    if (duty_settings.call_timeout < call_timeout) duty_settings.call_timeout = call_timeout;
    if (duty_settings.backoff < duty_settings.call_timeout)
        duty_settings.backoff = duty_settings.call_timeout;
    if (duty_settings.settled_retention <= 0)
        duty_settings.settled_retention = duty_settings.uncertain_retention = ttl;
    char wrong_name[AMB_NAME_SIZE];
    amb_duty_settings_parse_names(&duty_settings, options->duty_names, wrong_name, sizeof wrong_name);
    return duty_settings;
}

bool amb_duties_check_options(const struct amb_settings *settings, const struct amb_options *options,
                              const char *file, char *error_text, size_t error_text_size) {
    if (options->duties == 0) return true;
    struct amb_duty_settings duty_settings = amb_duties_make_settings(settings, options);
    enum amb_duty_settings_error error = amb_duty_settings_check(&duty_settings);
    if (error == AMB_DUTY_SETTINGS_OK) return true;
    snprintf(error_text, error_text_size, "%s: duty-lease: makes a lease of %lld ms; %s must be: %s",
             file ? file : "options", (long long)duty_settings.ttl, amb_duty_settings_field(error),
             amb_duty_settings_allowed(error));
    return false;
}
