/* The operators' own settings: XML, all optional, unknown names refused. */
#ifndef AMBERPIN_OPTIONS_H
#define AMBERPIN_OPTIONS_H

#include "amberpin/config/config_error.h"
#include "amberpin/zone_recovery/settings.h"

#include <stdbool.h>
#include <stddef.h>

enum { AMB_DUTY_LIST_BYTES = 64 }; /* bytes of a list of duties, with the terminating zero */

struct amb_options {
    double leader_lease_share;   /* leadership lease, as a share of amb_settings_lease_base_s */
    double headroom_deviations;  /* free room kept for expected arrivals, in standard deviations of them */
    double idle_release_share;   /* idle time before a machine is returned, as a share of its boot time */
    double silent_release_share; /* silence before a machine is given up, as a share of the agents' lease */
    double preempt;              /* 0: never stop work for other work */
    double duties;               /* 1: single-holder duties rent and return machines, once all nodes say so */
    double duty_lease_share;     /* lease of a member of these, as leader_lease_share is counted */
    double fleet_machines;       /* machines that the service is to have at most; 0: not stated */
    char duty_names[AMB_DUTY_LIST_BYTES]; /* duties that this node may hold */
    double zone_recovery;                 /* 1: zones that were lost come back in steps and in order */
    /* How long a returning zone's machines have to answer before batch work starts there, how long at most,
     * and how long without a loss until one is forgotten; shares of the agents' lease. */
    double zone_steady_share, zone_steady_max_share, zone_loss_expiry_share;
    char zone_recovery_order[AMB_RECOVERY_LIST_BYTES]; /* classes that come back first */
};

void amb_options_set_defaults(struct amb_options *options);
/* Changes the options that the file at this path names. On a problem they are not to be used, and error->text
 * has one line that names file, line and option. */
enum amb_config_problem amb_options_load(const char *path, struct amb_options *options,
                                         struct amb_config_error *error);

#endif
