/* Derives the settings of single-holder duties from the platform's settings and the operators' options. */
#ifndef AMBERPIN_CLOUD_DUTY_DUTY_OPTIONS_H
#define AMBERPIN_CLOUD_DUTY_DUTY_OPTIONS_H

#include "amberpin/duty/settings.h"

struct amb_options;
struct amb_settings;

/* The ttl of the members' lease is a share of amb_settings_lease_base_s: the agents' lease, or half of the
 * time that a cancellation allows beyond it, if that is shorter. */
struct amb_duty_settings amb_duties_make_settings(const struct amb_settings *settings,
                                                  const struct amb_options *options);
/* Checks that duties can work under these options. On failure returns false and writes the file, the field
 * and the allowed values to `error_text`. */
bool amb_duties_check_options(const struct amb_settings *settings, const struct amb_options *options,
                              const char *file, char *error_text, size_t error_text_size);

#endif
