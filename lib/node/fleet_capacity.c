#include "amberpin/node/fleet_capacity.h"

#include "amberpin/node/memory_budget.h"

#include <math.h>
#include <stdio.h>

/* Shares of the file descriptor quota: a quarter is for outgoing connections, and nearly all of the rest for
 * incoming ones. With 1.5 times the machines of the fleet deployments, a node had 1653 connections
 * open of the 1746 that five eighths allowed. */
static const double INCOMING_SHARE = 11.0 / 16, OUTGOING_SHARE = 1.0 / 4;

/* Connections of users and health checks per agent connection. */
static const double USERS_PER_AGENT = 1.0 / 16;

int amb_capacity_max_incoming_connections(const struct amb_settings *settings) {
    return (int)(settings->fd_limit * INCOMING_SHARE);
}

int amb_capacity_max_outgoing_connections(const struct amb_settings *settings) {
    return (int)(settings->fd_limit * OUTGOING_SHARE);
}

static double sockets_needed(double machines) {
    return ceil(machines * (1 + USERS_PER_AGENT) / INCOMING_SHARE);
}

static double memory_mb_needed(const struct amb_settings *settings, double machines) {
    return ceil(settings->memory_mb * machines / (double)amb_memory_max_machines(settings));
}

bool amb_capacity_check(const struct amb_settings *settings, const struct amb_options *options,
                        const char *file, char *err, size_t cap) {
    double machines = options->fleet_machines;
    if (machines <= 0) return true;
    if (settings->fd_limit < sockets_needed(machines)) {
        snprintf(err, cap, "%s: params.quota.fd_limit: %g sockets; fleet-machines %g needs %g", file,
                 settings->fd_limit, machines, sockets_needed(machines));
        return false;
    }
    if ((double)amb_memory_max_machines(settings) < machines) {
        snprintf(err, cap,
                 "%s: params.quota.memory_mb: %g MB hold %zu machines; fleet-machines %g needs %g MB", file,
                 settings->memory_mb, amb_memory_max_machines(settings), machines,
                 memory_mb_needed(settings, machines));
        return false;
    }
    return true;
}
