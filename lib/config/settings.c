#include "amberpin/config/settings.h"

#include "amberpin/config/toml_reader.h"

#include <math.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A path pattern: "[]" stands for a place in a list. */
struct field {
    const char *path;
    bool text, required;
    size_t at, stride; /* within amb_settings; stride: size of the list's element */
    size_t max;        /* elements at most */
    size_t count_at;   /* where the list's length is kept */
    double low, high;
};

#define S(f) offsetof(struct amb_settings, f)
#define TEXT(path, f, req)                                                                                   \
    { path, true, req, S(f), 0, 0, 0, 0, 0 }
#define NUM(path, f, low, high)                                                                              \
    { path, false, true, S(f), 0, 0, 0, low, high }
/* NOLINTBEGIN(bugprone-macro-parentheses): the name of a member can't stand in parentheses */
#define OPTIONAL_NUM(path, f, low, high)                                                                     \
    { path, false, false, S(f), 0, 0, 0, low, high }
#define ITEM_TEXT(path, list, f, n, max)                                                                     \
    { path, true, false, S(list[0].f), sizeof(((struct amb_settings *)0)->list[0]), max, S(n), 0, 0 }
#define ITEM_NUM(path, list, f, n, max)                                                                      \
    { path, false, false, S(list[0].f), sizeof(((struct amb_settings *)0)->list[0]), max, S(n), 0, 1e9 }
/* NOLINTEND(bugprone-macro-parentheses) */

static const struct field fields[] = {
    TEXT("member", member, true),
    TEXT("area", zone, true),
    TEXT("front", front, true),
    TEXT("cluster_listen", peer_listen, true),
    TEXT("endpoints.cloud", cloud, true),
    TEXT("endpoints.state", state, true),
    ITEM_TEXT("others[].member", peers, member, npeers, AMB_PEERS),
    ITEM_TEXT("others[].addr", peers, addr, npeers, AMB_PEERS),
    {"params.zones[]", true, false, S(zones), AMB_NAME_SIZE, AMB_ZONES_MAX, S(nzones), 0, 0},
    ITEM_TEXT("params.teams[].name", teams, name, nteams, AMB_TEAMS),
    ITEM_NUM("params.teams[].cpus", teams, guarantee.cpus, nteams, AMB_TEAMS),
    ITEM_NUM("params.teams[].gpus", teams, guarantee.gpus, nteams, AMB_TEAMS),
    ITEM_NUM("params.teams[].cpus_max", teams, limit.cpus, nteams, AMB_TEAMS),
    ITEM_NUM("params.teams[].gpus_max", teams, limit.gpus, nteams, AMB_TEAMS),
    ITEM_TEXT("params.objectives[].kind", objectives, kind, nobjectives, AMB_OBJECTIVES),
    ITEM_TEXT("params.objectives[].class", objectives, class_name, nobjectives, AMB_OBJECTIVES),
    ITEM_NUM("params.objectives[].within_s", objectives, within_s, nobjectives, AMB_OBJECTIVES),
    ITEM_NUM("params.objectives[].share", objectives, share, nobjectives, AMB_OBJECTIVES),
    NUM("params.workers.report_s", report_s, 0.05, 600),
    NUM("params.workers.lease_s", lease_s, 0.5, 3600),
    NUM("params.workers.gang_wait_s", gang_wait_s, 0.1, 86400),
    NUM("params.workers.gang_peer_s", gang_peer_s, 0.1, 3600),
    NUM("params.workers.cancel_s", cancel_s, 1, 3600),
    NUM("params.state.rps", state_rps, 1, 1e6),
    NUM("params.state.write_rps", state_write_rps, 1, 1e6),
    NUM("params.state.value_kb", value_kb, 1, 64),
    NUM("params.state.txn_ops", txn_ops, 1, 10000),
    OPTIONAL_NUM("params.state.next.write_rps", state_next.write_rps, 1, 1e6),
    OPTIONAL_NUM("params.state.next.value_kb", state_next.value_kb, 1, 64),
    OPTIONAL_NUM("params.state.next.txn_ops", state_next.txn_ops, 1, 10000),
    NUM("params.cloud.rps", cloud_rps, 0.05, 1e6),
    NUM("params.cloud.list_lag_s", list_lag_s, 0, 3600),
    NUM("params.quota.cores", cores, 0.001, 1024),
    NUM("params.quota.memory_mb", memory_mb, 4, 1e6),
    NUM("params.quota.fd_limit", fd_limit, 32, 1e6),
    NUM("params.skew_ms", skew_ms, 0, 1e6),
};
enum { FIELDS = sizeof fields / sizeof fields[0] };

struct reader {
    struct amb_settings *s;
    const char *file;
    char *err;
    size_t cap;
    bool bad, seen[FIELDS];
};

/* Does path fit the pattern? The place in the list goes to *index. */
static bool fits(const char *pattern, const char *path, size_t *index) {
    while (*pattern) {
        if (pattern[0] == '[' && pattern[1] == ']') {
            if (*path != '[') return false;
            char *end;
            *index = strtoul(path + 1, &end, 10);
            if (*end != ']') return false;
            path = end + 1;
            pattern += 2;
        } else if (*pattern++ != *path++) {
            return false;
        }
    }
    return !*path;
}

static void complain(struct reader *r, const char *path, const char *what) {
    if (!r->bad) snprintf(r->err, r->cap, "%s: %s: %s", r->file, path, what);
    r->bad = true;
}

static size_t text_room(const struct field *f) {
    return !strcmp(f->path, "params.objectives[].kind") ? sizeof((struct amb_objective *)0)->kind
                                                        : AMB_NAME_SIZE;
}

static void visit(void *arg, const char *path, enum amb_toml_kind kind, const char *text, double num) {
    struct reader *r = arg;
    for (size_t i = 0; i < FIELDS; i++) {
        const struct field *f = &fields[i];
        size_t index = 0;
        if (!fits(f->path, path, &index)) continue;
        if (f->stride) {
            if (index >= f->max) {
                complain(r, path, "too many entries");
                return;
            }
            uint32_t *n = (uint32_t *)((char *)r->s + f->count_at);
            if (index >= *n) *n = (uint32_t)index + 1;
        }
        char *at = (char *)r->s + f->at + index * f->stride;
        if (f->text) {
            if (kind != AMB_TOML_TEXT || !*text || strlen(text) >= text_room(f))
                complain(r, path, "must be a short text");
            else
                strcpy(at, text);
        } else if (kind != AMB_TOML_NUMBER || !isfinite(num) || num < f->low || num > f->high) {
            complain(r, path, "must be a number within its bounds");
        } else {
            *(double *)(void *)at = num;
        }
        r->seen[i] = true;
        return;
    }
}

struct amb_team *amb_settings_team(struct amb_settings *settings, const char *name) {
    for (uint32_t i = 0; i < settings->nteams; i++)
        if (!strcmp(settings->teams[i].name, name)) return &settings->teams[i];
    return NULL;
}

/* Reports every 4 s and starts that are aimed at within 10 s: planning every half report, a round a twentieth
 * and a tick a tenth of one later took 1 to 4 s of those 10 (fleet deployments). */
double amb_settings_beat(const struct amb_settings *settings) {
    double beat = settings->report_s;
    for (uint32_t i = 0; i < settings->nobjectives; i++)
        if (!strcmp(settings->objectives[i].kind, "wait") && settings->objectives[i].within_s > 0)
            beat = fmin(beat, settings->objectives[i].within_s / 10);
    return fmax(beat, settings->report_s / 4); /* turns cost processor time */
}

/* A lease longer than what a cancellation allows for serves nobody while its holder is dead: with workers'
 * leases of 22 s nothing was placed for 6.6 s, of the 10 s in which some work is to start. */
double amb_settings_lease_base(const struct amb_settings *settings) {
    double grace = settings->cancel_s - settings->lease_s;
    return fmin(settings->lease_s, grace > 0 ? grace / 2 : settings->lease_s);
}

/* A limit that is not announced stays as it is. One that rises later is of no use to us: we would have to
 * tell by trial that it has risen. */
static double lowered_limit(double now, double announced) {
    return announced > 0 ? fmin(now, announced) : now;
}

struct amb_state_limits amb_settings_lowered_limits(const struct amb_settings *settings) {
    return (struct amb_state_limits){
        .write_rps = lowered_limit(settings->state_write_rps, settings->state_next.write_rps),
        .value_kb = lowered_limit(settings->value_kb, settings->state_next.value_kb),
        .txn_ops = lowered_limit(settings->txn_ops, settings->state_next.txn_ops)};
}

bool amb_settings_load(const char *path, struct amb_settings *settings, char *err, size_t cap) {
    memset(settings, 0, sizeof *settings);
    struct reader r = {.s = settings, .file = path, .err = err, .cap = cap};
    if (amb_toml_read(path, visit, &r, err, cap) < 0) return false;
    for (size_t i = 0; i < FIELDS && !r.bad; i++)
        if (fields[i].required && !r.seen[i]) complain(&r, fields[i].path, "is missing");
    for (uint32_t i = 0; i < settings->npeers && !r.bad; i++)
        if (!settings->peers[i].member[0] || !settings->peers[i].addr[0])
            complain(&r, "others[]", "needs member and addr");
    for (uint32_t i = 0; i < settings->nteams && !r.bad; i++)
        if (!settings->teams[i].name[0]) complain(&r, "params.teams[]", "needs a name");
    return !r.bad;
}
