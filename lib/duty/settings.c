#include "amberpin/duty/lease.h"

#include <stdio.h>
#include <string.h>

enum {
    TTL_MIN_MS = 100, /* limits of the key-value store */
    TTL_MAX_MS = 600000,
    DRIFT_MAX_PPM = 100000,
    CALLS_PER_RENEWAL = 3, /* allows two lost renewals */
    PPM = 1000000,
};

struct amb_duty_settings amb_duty_settings_default(amb_ms ttl, amb_ms list_span) {
    struct amb_duty_settings settings = {
        .ttl = ttl,
        .drift_ppm = 500, /* 0.05%, from the protocol */
        .safety_margin = ttl / 20,
        .call_timeout = ttl / 10,
        .max_expiry_delay = 100, /* from the protocol: a lease may expire up to 100 ms late */
        .backoff = ttl / 6,
        .flap_decay = ttl * 10,
        .drain_timeout = ttl,
        .settled_retention = list_span,
        .uncertain_retention = list_span * 8,
        .max_refusals = 1,
    };
    for (int i = 0; i < AMB_DUTY_COUNT; i++) settings.enabled[i] = true;
    return settings;
}

/* Copies the next name of the list and returns the position after it, or NULL if there is none. */
static const char *next_name(const char *at, char *name, size_t name_size) {
    static const char separators[] = ", \t\n";
    at += strspn(at, separators);
    size_t length = strcspn(at, separators);
    if (!length) return NULL;
    snprintf(name, name_size, "%.*s", (int)length, at);
    return at + length;
}

enum amb_duty_settings_error amb_duty_settings_parse_names(struct amb_duty_settings *settings,
                                                           const char *names, char *wrong_name,
                                                           size_t wrong_name_size) {
    char name[AMB_NAME_SIZE];
    bool all = !strcmp(names, "all");
    uint32_t count = all ? AMB_DUTY_COUNT : 0;
    if (wrong_name_size) wrong_name[0] = 0;
    for (int i = 0; i < AMB_DUTY_COUNT; i++) settings->enabled[i] = all;
    for (const char *at = all ? NULL : next_name(names, name, sizeof name); at;
         at = next_name(at, name, sizeof name)) {
        enum amb_duty_name duty;
        bool known = amb_duty_name_parse(name, &duty);
        if (!known || settings->enabled[duty]) {
            snprintf(wrong_name, wrong_name_size, "%s", name);
            return known ? AMB_DUTY_SETTINGS_DUPLICATE_NAME : AMB_DUTY_SETTINGS_UNKNOWN_NAME;
        }
        settings->enabled[duty] = true;
        count++;
    }
    return count ? AMB_DUTY_SETTINGS_OK : AMB_DUTY_SETTINGS_NO_NAME;
}

enum amb_duty_settings_error amb_duty_settings_check(const struct amb_duty_settings *settings) {
    bool any = false;
    for (int i = 0; i < AMB_DUTY_COUNT; i++) any |= settings->enabled[i];
    if (!any) return AMB_DUTY_SETTINGS_NO_NAME;
    if (settings->ttl < TTL_MIN_MS || settings->ttl > TTL_MAX_MS) return AMB_DUTY_SETTINGS_TTL_RANGE;
    if (settings->drift_ppm > DRIFT_MAX_PPM) return AMB_DUTY_SETTINGS_DRIFT_RANGE;
    amb_ms needed = settings->ttl / AMB_DUTY_RENEWALS_PER_TTL + CALLS_PER_RENEWAL * settings->call_timeout;
    if (settings->safety_margin < 0 || settings->call_timeout <= 0 ||
        amb_duty_lease_local_ttl(settings) <= needed)
        return AMB_DUTY_SETTINGS_SHORT_LEASE;
    if (settings->backoff < settings->call_timeout || settings->backoff > settings->ttl)
        return AMB_DUTY_SETTINGS_BACKOFF_RANGE;
    if (settings->settled_retention <= 0 || settings->uncertain_retention < settings->settled_retention)
        return AMB_DUTY_SETTINGS_RETENTION_RANGE;
    if (!settings->max_refusals) return AMB_DUTY_SETTINGS_REFUSALS_RANGE;
    return AMB_DUTY_SETTINGS_OK;
}

static const struct {
    const char *field, *allowed;
} errors[] = {
    [AMB_DUTY_SETTINGS_OK] = {"", ""},
    [AMB_DUTY_SETTINGS_UNKNOWN_NAME] = {"names", "rent, return, reclaim, cleanup, or all"},
    [AMB_DUTY_SETTINGS_DUPLICATE_NAME] = {"names", "each duty once"},
    [AMB_DUTY_SETTINGS_NO_NAME] = {"names", "at least one of rent, return, reclaim, cleanup, or all"},
    [AMB_DUTY_SETTINGS_TTL_RANGE] = {"ttl", "100 ms to 600,000 ms"},
    [AMB_DUTY_SETTINGS_DRIFT_RANGE] = {"drift", "0 to 100,000 millionths"},
    [AMB_DUTY_SETTINGS_SHORT_LEASE] = {"ttl", "less drift and margin, more than a quarter of itself and "
                                              "three call timeouts"},
    [AMB_DUTY_SETTINGS_BACKOFF_RANGE] = {"backoff", "a call timeout to the ttl"},
    [AMB_DUTY_SETTINGS_RETENTION_RANGE] = {"keep",
                                           "more than 0, and uncertain records at least as long as others"},
    [AMB_DUTY_SETTINGS_REFUSALS_RANGE] = {"refusals", "1 or more"},
};

const char *amb_duty_settings_field(enum amb_duty_settings_error error) {
    return errors[error].field;
}

const char *amb_duty_settings_allowed(enum amb_duty_settings_error error) {
    return errors[error].allowed;
}

amb_ms amb_duty_settings_vacancy_bound(const struct amb_duty_settings *settings, uint32_t members) {
    /* The lease expires, the change is received, the member of the last rank waits for its turn (with jitter
     * and up to one tick), and its claim gets a response. */
    amb_ms lease_ends =
        settings->ttl + settings->ttl * settings->drift_ppm / PPM + 1 + settings->max_expiry_delay;
    return lease_ends + settings->call_timeout + (amb_ms)members * settings->backoff + settings->call_timeout;
}
