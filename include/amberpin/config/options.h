/* The operators' options: an XML file in which every option is optional and unknown names are errors. */
#ifndef AMBERPIN_OPTIONS_H
#define AMBERPIN_OPTIONS_H

#include "amberpin/config/config_error.h"
#include "amberpin/zone_recovery/settings.h"

#include <stdbool.h>
#include <stddef.h>

enum { AMB_DUTY_LIST_BYTES = 64 }; /* bytes of a list of duties, with the terminating zero */

struct amb_options {
    double leader_lease_share;   /* leadership lease, as a share of amb_settings_lease_base_s */
    double headroom_deviations;  /* free capacity kept for expected arrivals, in their standard deviations */
    double idle_release_share;   /* idle time before a machine is released, as a share of its boot time */
    double silent_release_share; /* silence before a machine is released, as a share of the agents' lease */
    double preempt;              /* 0: no preemption */
    double duties;               /* 1: single-holder duties scale out and in, once all nodes announce it */
    double duty_lease_share; /* lease of a member of the duties, as a share of amb_settings_lease_base_s */
    double fleet_machines;   /* largest intended fleet; 0: not stated */
    char duty_names[AMB_DUTY_LIST_BYTES]; /* single-holder duties that this node may hold */
    double zone_recovery;                 /* 1: lost zones are put back into use in steps and in order */
    /* As shares of the agents' lease: how long a returning zone's machines have to send heartbeats before
     * batch work starts there, the longest that this time may grow to, and how long a zone has to stay
     * available until one of its losses expires. */
    double zone_steady_share, zone_steady_max_share, zone_loss_expiry_share;
    char zone_recovery_order[AMB_RECOVERY_LIST_BYTES]; /* classes that are recovered first */
};

void amb_options_set_defaults(struct amb_options *options);
/* Sets the options that the file at this path names. On an error the options must not be used, and
 * error->text holds one line that names the file, the line and the option. */
enum amb_config_problem amb_options_load(const char *path, struct amb_options *options,
                                         struct amb_config_error *error);

#endif
