/* Values derived from the platform's settings. settings_file.c reads the file. */
#include "amberpin/config/settings.h"

#include <math.h>
#include <string.h>

struct amb_team *amb_settings_find_team(struct amb_settings *settings, const char *name) {
    for (uint32_t i = 0; i < settings->team_count; i++)
        if (!strcmp(settings->teams[i].name, name)) return &settings->teams[i];
    return NULL;
}

/* With heartbeats every 4 s and a start objective of 10 s (fleet deployments), planning every half heartbeat
 * interval, with a scheduling cycle a twentieth and a tick a tenth of an interval later, took 1 to 4 s of
 * those 10 s. */
double amb_settings_cycle_s(const struct amb_settings *settings) {
    double cycle_s = settings->heartbeat_s;
    for (uint32_t i = 0; i < settings->objective_count; i++)
        if (!strcmp(settings->objectives[i].kind, "wait") && settings->objectives[i].within_s > 0)
            cycle_s = fmin(cycle_s, settings->objectives[i].within_s / 10);
    return fmax(cycle_s, settings->heartbeat_s / 4); /* more frequent cycles cost too much processor time */
}

/* Nothing is scheduled while the lease of a dead leader has not expired, so the base is limited by the time
 * that a cancellation allows: with agents' leases of 22 s nothing was placed for 6.6 s of the 10 s within
 * which some work has to start. */
double amb_settings_lease_base_s(const struct amb_settings *settings) {
    double grace_s = settings->cancel_s - settings->agent_lease_s;
    return fmin(settings->agent_lease_s, grace_s > 0 ? grace_s / 2 : settings->agent_lease_s);
}

/* A limit without an announcement stays as it is. A higher announced limit is not used, because only trial
 * calls could show that it has taken effect. */
static double lowered_limit(double present, double announced) {
    return announced > 0 ? fmin(present, announced) : present;
}

struct amb_store_limits amb_settings_lowered_limits(const struct amb_settings *settings) {
    return (struct amb_store_limits){
        .write_rps = lowered_limit(settings->store_write_rps, settings->announced_limits.write_rps),
        .value_kb = lowered_limit(settings->value_kb, settings->announced_limits.value_kb),
        .txn_ops = lowered_limit(settings->txn_ops, settings->announced_limits.txn_ops)};
}
