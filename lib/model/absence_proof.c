#include "amberpin/model/absence_proof.h"

/* Clocks drift apart by at most 0.05% (the protocol): a twentieth of this. */
static const double LEASE_WIDER = 1.01;
static const double LEASE_MARGIN_REPORTS = 0.25;
/* A list lags by up to twice the nominal time (the protocol). */
static const double LIST_LAGS = 2.2;
static const double LIST_MARGIN_REPORTS = 1;

static amb_ms later(amb_ms a, amb_ms b) {
    return a > b ? a : b;
}

bool amb_absence_proven(enum amb_absence absence) {
    return absence > AMB_ABSENCE_READ_NEEDED;
}

const char *amb_absence_name(enum amb_absence absence) {
    static const char *const names[] = {
        "not proven", "not proven before a fresh read", "its machine no longer reports it",
        "it exited",  "its lease has run out",          "nobody can have answered it for a lease",
        "returned",   "the cloud says it failed",       "no longer listed"};
    return names[absence];
}

bool amb_report_newer(struct amb_report_order report, struct amb_report_order newest_seen) {
    if (report.session != newest_seen.session) return report.session > newest_seen.session;
    return report.seq > newest_seen.seq;
}

enum amb_absence amb_absence_by_report(const struct amb_report_evidence *e) {
    if (!amb_report_newer(e->report, e->newest_seen)) return AMB_ABSENCE_UNPROVEN;
    if (e->report_term != e->our_term) return AMB_ABSENCE_UNPROVEN; /* an earlier leader may still order */
    if (!e->recorded) return AMB_ABSENCE_UNPROVEN;
    if (!e->listed) return AMB_ABSENCE_UNLISTED;
    return e->exited ? AMB_ABSENCE_EXITED : AMB_ABSENCE_UNPROVEN;
}

amb_ms amb_absence_lease_span(double lease_s, double report_s) {
    return amb_secs(lease_s * LEASE_WIDER + report_s * LEASE_MARGIN_REPORTS);
}

enum amb_absence amb_absence_by_lease(const struct amb_lease_evidence *e) {
    if (!e->follows_our_term && !e->fenced_at) return AMB_ABSENCE_UNPROVEN;
    amb_ms renewed_at = later(e->answered_at, e->deputy_known_at); /* at the latest */
    if (!e->follows_our_term) renewed_at = later(renewed_at, e->fenced_at);
    if (e->now - renewed_at <= e->lease_span) return AMB_ABSENCE_UNPROVEN;
    /* A deputy that this read does not show came too late to renew the lease. */
    if (e->last_read_asked_at <= renewed_at + e->lease_span) return AMB_ABSENCE_READ_NEEDED;
    return e->follows_our_term ? AMB_ABSENCE_LEASE_EXPIRED : AMB_ABSENCE_FENCED;
}

amb_ms amb_absence_list_span(double list_lag_s, double report_s) {
    return amb_secs(list_lag_s * LIST_LAGS + report_s * LIST_MARGIN_REPORTS);
}

enum amb_absence amb_absence_by_list(const struct amb_list_evidence *e) {
    amb_ms sign_at = later(e->known_at, later(e->reported_at, e->last_named_at));
    return e->asked_at - sign_at > e->list_span ? AMB_ABSENCE_NOT_LISTED : AMB_ABSENCE_UNPROVEN;
}
