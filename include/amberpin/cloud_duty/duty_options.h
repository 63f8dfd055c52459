/* Settings of single-holder duties from the platform's settings and the operators' options. */
#ifndef AMBERPIN_CLOUD_DUTY_DUTY_OPTIONS_H
#define AMBERPIN_CLOUD_DUTY_DUTY_OPTIONS_H

#include "amberpin/duty/settings.h"

struct amb_options;
struct amb_settings;

/* The members' lease is a share of amb_settings_lease_base: the agents' lease, or half of what a cancellation
 * allows beyond it where that is less. */
struct amb_duty_settings amb_duties_make_settings(const struct amb_settings *settings,
                                                  const struct amb_options *options);
/* Can duties work under these options? False: the error text names the file and the field, and what is
 * allowed. */
bool amb_duties_check_options(const struct amb_settings *settings, const struct amb_options *options,
                              const char *file, char *error_text, size_t error_text_size);

#endif
