/* The operators' own settings: XML, all optional, unknown names refused. */
#ifndef AMBERPIN_OPTIONS_H
#define AMBERPIN_OPTIONS_H

#include <stdbool.h>
#include <stddef.h>

enum { AMB_DUTY_LIST = 64 }; /* bytes of a list of duties, with the terminating zero */

struct amb_options {
    double leader_ttl;     /* leadership lease, as a share of the workers' lease */
    double headroom;       /* free room kept for expected arrivals, in standard deviations of them */
    double idle_return;    /* idle time before a machine is returned, as a share of its boot time */
    double silent_release; /* silence before a machine is given up, as a share of the workers' lease */
    double preempt;        /* 0: never stop work for other work */
    double duties;         /* 1: single-holder duties rent and return machines, once all nodes say so */
    double duty_lease;     /* lease of a member of these, as leader_ttl is counted */
    double fleet_machines; /* machines that the service is to have at most; 0: not stated */
    char duty_names[AMB_DUTY_LIST]; /* duties that this node may hold */
};

void amb_options_default(struct amb_options *o);
bool amb_options_load(const char *path, struct amb_options *o, char *err, size_t cap);

#endif
