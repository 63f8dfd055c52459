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
    bool is_text, is_required;
    size_t offset, stride; /* within amb_settings; stride: size of the list's element */
    size_t max_items;      /* elements at most */
    size_t count_at;       /* where the list's length is kept */
    double min, max;
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
    TEXT("front", api_listen, true),
    TEXT("cluster_listen", peer_listen, true),
    TEXT("endpoints.cloud", cloud_addr, true),
    TEXT("endpoints.state", store_addr, true),
    ITEM_TEXT("others[].member", peers, member, peer_count, AMB_PEERS_MAX),
    ITEM_TEXT("others[].addr", peers, addr, peer_count, AMB_PEERS_MAX),
    {"params.zones[]", true, false, S(zones), AMB_NAME_SIZE, AMB_ZONES_MAX, S(zone_count), 0, 0},
    ITEM_TEXT("params.teams[].name", teams, name, team_count, AMB_TEAMS_MAX),
    ITEM_NUM("params.teams[].cpus", teams, guarantee.cpus, team_count, AMB_TEAMS_MAX),
    ITEM_NUM("params.teams[].gpus", teams, guarantee.gpus, team_count, AMB_TEAMS_MAX),
    ITEM_NUM("params.teams[].cpus_max", teams, limit.cpus, team_count, AMB_TEAMS_MAX),
    ITEM_NUM("params.teams[].gpus_max", teams, limit.gpus, team_count, AMB_TEAMS_MAX),
    ITEM_TEXT("params.objectives[].kind", objectives, kind, objective_count, AMB_OBJECTIVES_MAX),
    ITEM_TEXT("params.objectives[].class", objectives, class_name, objective_count, AMB_OBJECTIVES_MAX),
    ITEM_NUM("params.objectives[].within_s", objectives, within_s, objective_count, AMB_OBJECTIVES_MAX),
    ITEM_NUM("params.objectives[].share", objectives, share, objective_count, AMB_OBJECTIVES_MAX),
    NUM("params.workers.report_s", heartbeat_s, 0.05, 600),
    NUM("params.workers.lease_s", agent_lease_s, 0.5, 3600),
    NUM("params.workers.gang_wait_s", gang_wait_s, 0.1, 86400),
    NUM("params.workers.gang_peer_s", gang_peer_s, 0.1, 3600),
    NUM("params.workers.cancel_s", cancel_s, 1, 3600),
    NUM("params.state.rps", store_rps, 1, 1e6),
    NUM("params.state.write_rps", store_write_rps, 1, 1e6),
    NUM("params.state.value_kb", value_kb, 1, 64),
    NUM("params.state.txn_ops", txn_ops, 1, 10000),
    OPTIONAL_NUM("params.state.next.write_rps", announced_limits.write_rps, 1, 1e6),
    OPTIONAL_NUM("params.state.next.value_kb", announced_limits.value_kb, 1, 64),
    OPTIONAL_NUM("params.state.next.txn_ops", announced_limits.txn_ops, 1, 10000),
    NUM("params.cloud.rps", cloud_rps, 0.05, 1e6),
    NUM("params.cloud.list_lag_s", list_lag_s, 0, 3600),
    NUM("params.quota.cores", cores, 0.001, 1024),
    NUM("params.quota.memory_mb", memory_mb, 4, 1e6),
    NUM("params.quota.fd_limit", fd_limit, 32, 1e6),
    NUM("params.skew_ms", clock_skew_ms, 0, 1e6),
};
enum { FIELDS = sizeof fields / sizeof fields[0] };

struct reader {
    struct amb_settings *settings;
    const char *file;
    char *error;
    size_t error_size;
    bool failed, seen[FIELDS];
};

/* Does path fit the pattern? The place in the list goes to *index. */
static bool path_matches(const char *pattern, const char *path, size_t *index) {
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

static void fail_at_path(struct reader *reader, const char *path, const char *what) {
    if (!reader->failed) snprintf(reader->error, reader->error_size, "%s: %s: %s", reader->file, path, what);
    reader->failed = true;
}

static size_t text_capacity(const struct field *field) {
    return !strcmp(field->path, "params.objectives[].kind") ? sizeof((struct amb_objective *)0)->kind
                                                            : AMB_NAME_SIZE;
}

static void on_value(void *arg, const char *path, enum amb_toml_kind kind, const char *text, double number) {
    struct reader *reader = arg;
    for (size_t i = 0; i < FIELDS; i++) {
        const struct field *field = &fields[i];
        size_t index = 0;
        if (!path_matches(field->path, path, &index)) continue;
        if (field->stride) {
            if (index >= field->max_items) {
                fail_at_path(reader, path, "too many entries");
                return;
            }
            uint32_t *count = (uint32_t *)((char *)reader->settings + field->count_at);
            if (index >= *count) *count = (uint32_t)index + 1;
        }
        char *at = (char *)reader->settings + field->offset + index * field->stride;
        if (field->is_text) {
            if (kind != AMB_TOML_TEXT || !*text || strlen(text) >= text_capacity(field))
                fail_at_path(reader, path, "must be a short text");
            else
                strcpy(at, text);
        } else if (kind != AMB_TOML_NUMBER || !isfinite(number) || number < field->min ||
                   number > field->max) {
            fail_at_path(reader, path, "must be a number within its bounds");
        } else {
            *(double *)(void *)at = number;
        }
        reader->seen[i] = true;
        return;
    }
}

struct amb_team *amb_settings_find_team(struct amb_settings *settings, const char *name) {
    for (uint32_t i = 0; i < settings->team_count; i++)
        if (!strcmp(settings->teams[i].name, name)) return &settings->teams[i];
    return NULL;
}

/* Reports every 4 s and starts that are aimed at within 10 s: planning every half report, a round a twentieth
 * and a tick a tenth of one later took 1 to 4 s of those 10 (fleet deployments). */
double amb_settings_cycle_s(const struct amb_settings *settings) {
    double cycle_s = settings->heartbeat_s;
    for (uint32_t i = 0; i < settings->objective_count; i++)
        if (!strcmp(settings->objectives[i].kind, "wait") && settings->objectives[i].within_s > 0)
            cycle_s = fmin(cycle_s, settings->objectives[i].within_s / 10);
    return fmax(cycle_s, settings->heartbeat_s / 4); /* turns cost processor time */
}

/* A lease longer than what a cancellation allows for serves nobody while its holder is dead: with workers'
 * leases of 22 s nothing was placed for 6.6 s, of the 10 s in which some work is to start. */
double amb_settings_lease_base_s(const struct amb_settings *settings) {
    double grace_s = settings->cancel_s - settings->agent_lease_s;
    return fmin(settings->agent_lease_s, grace_s > 0 ? grace_s / 2 : settings->agent_lease_s);
}

/* A limit that is not announced stays as it is. One that rises later is of no use to us: we would have to
 * tell by trial that it has risen. */
static double lowered_limit(double now, double announced) {
    return announced > 0 ? fmin(now, announced) : now;
}

struct amb_store_limits amb_settings_lowered_limits(const struct amb_settings *settings) {
    return (struct amb_store_limits){
        .write_rps = lowered_limit(settings->store_write_rps, settings->announced_limits.write_rps),
        .value_kb = lowered_limit(settings->value_kb, settings->announced_limits.value_kb),
        .txn_ops = lowered_limit(settings->txn_ops, settings->announced_limits.txn_ops)};
}

bool amb_settings_load(const char *path, struct amb_settings *settings, char *error, size_t error_size) {
    memset(settings, 0, sizeof *settings);
    struct reader reader = {.settings = settings, .file = path, .error = error, .error_size = error_size};
    if (amb_toml_read(path, on_value, &reader, error, error_size) < 0) return false;
    for (size_t i = 0; i < FIELDS && !reader.failed; i++)
        if (fields[i].is_required && !reader.seen[i]) fail_at_path(&reader, fields[i].path, "is missing");
    for (uint32_t i = 0; i < settings->peer_count && !reader.failed; i++)
        if (!settings->peers[i].member[0] || !settings->peers[i].addr[0])
            fail_at_path(&reader, "others[]", "needs member and addr");
    for (uint32_t i = 0; i < settings->team_count && !reader.failed; i++)
        if (!settings->teams[i].name[0]) fail_at_path(&reader, "params.teams[]", "needs a name");
    return !reader.failed;
}
