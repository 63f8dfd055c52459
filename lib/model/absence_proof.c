#include "amberpin/model/absence_proof.h"

/* The protocol bounds clock drift by 0.05%, a twentieth of the 1% allowed here. */
static const double LEASE_DRIFT_FACTOR = 1.01;
static const double LEASE_MARGIN_HEARTBEATS = 0.25;
/* The protocol allows the cloud's machine list to lag by up to twice the nominal lag; a tenth is added as a
 * margin. */
static const double LIST_LAG_FACTOR = 2.2;
static const double LIST_MARGIN_HEARTBEATS = 1;

static amb_ms later(amb_ms first, amb_ms second) {
    return first > second ? first : second;
}

bool amb_absence_is_proven(enum amb_absence absence) {
    return absence > AMB_ABSENCE_READ_NEEDED;
}

const char *amb_absence_name(enum amb_absence absence) {
    static const char *const names[] = {
        "not proven", "not proven before a fresh read", "no longer in its machine's heartbeat",
        "it exited",  "its lease has expired",          "no controller can have renewed its lease",
        "returned",   "the cloud reports a failure",    "not in the cloud's list"};
    return names[absence];
}

bool amb_heartbeat_order_is_newer(struct amb_heartbeat_order heartbeat,
                                  struct amb_heartbeat_order newest_seen) {
    if (heartbeat.incarnation != newest_seen.incarnation)
        return heartbeat.incarnation > newest_seen.incarnation;
    return heartbeat.sequence > newest_seen.sequence;
}

enum amb_absence amb_absence_by_heartbeat(const struct amb_heartbeat_evidence *evidence) {
    if (!amb_heartbeat_order_is_newer(evidence->order, evidence->newest_seen)) return AMB_ABSENCE_UNPROVEN;
    if (evidence->heartbeat_term != evidence->own_term)
        return AMB_ABSENCE_UNPROVEN; /* an earlier leader may still send run commands */
    if (!evidence->placement_durable) return AMB_ABSENCE_UNPROVEN;
    if (!evidence->listed) return AMB_ABSENCE_NOT_IN_HEARTBEAT;
    return evidence->exited ? AMB_ABSENCE_EXITED : AMB_ABSENCE_UNPROVEN;
}

amb_ms amb_absence_lease_span(double lease_s, double heartbeat_interval_s) {
    return amb_seconds_to_ms(lease_s * LEASE_DRIFT_FACTOR + heartbeat_interval_s * LEASE_MARGIN_HEARTBEATS);
}

enum amb_absence amb_absence_by_lease(const struct amb_lease_evidence *evidence) {
    if (!evidence->follows_own_term && !evidence->fenced_at) return AMB_ABSENCE_UNPROVEN;
    amb_ms renewed_at = later(evidence->last_response_at, evidence->lease_proxy_known_at); /* at the latest */
    if (!evidence->follows_own_term) renewed_at = later(renewed_at, evidence->fenced_at);
    if (evidence->now - renewed_at <= evidence->lease_span) return AMB_ABSENCE_UNPROVEN;
    /* A lease proxy that such a read does not show became active too late to renew the lease. */
    if (evidence->last_read_sent_at <= renewed_at + evidence->lease_span) return AMB_ABSENCE_READ_NEEDED;
    return evidence->follows_own_term ? AMB_ABSENCE_LEASE_EXPIRED : AMB_ABSENCE_FENCED;
}

amb_ms amb_absence_list_span(double list_lag_s, double heartbeat_interval_s) {
    return amb_seconds_to_ms(list_lag_s * LIST_LAG_FACTOR + heartbeat_interval_s * LIST_MARGIN_HEARTBEATS);
}

enum amb_absence amb_absence_by_list(const struct amb_list_evidence *evidence) {
    amb_ms last_sign_at =
        later(evidence->first_known_at, later(evidence->last_heartbeat_at, evidence->last_listed_at));
    return evidence->list_sent_at - last_sign_at > evidence->list_span ? AMB_ABSENCE_NOT_IN_CLOUD_LIST
                                                                       : AMB_ABSENCE_UNPROVEN;
}
