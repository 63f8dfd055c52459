/* Reads the platform's settings by a table of fields, each with its path, type and bounds. */
#include "amberpin/config/settings.h"

#include "amberpin/config/toml_reader.h"

#include <math.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The list that contains a field; item_size 0: the field is not in a list. */
struct list {
    size_t item_size;
    size_t max_items;
    size_t count_offset; /* of the list's length, within amb_settings */
};

struct field {
    const char *path; /* "[]" stands for an index in a list */
    bool is_text;     /* otherwise a number */
    bool is_required;
    size_t offset;   /* within amb_settings; in a list, that of the first item's field */
    size_t size;     /* of a text, in bytes, including the terminating zero */
    double min, max; /* bounds of a number */
    struct list list;
};

#define OFFSET(member) offsetof(struct amb_settings, member)
#define SIZE(member) sizeof(((struct amb_settings *)0)->member)
#define TEXT(path, member)                                                                                   \
    {                                                                                                        \
        path, true, true, OFFSET(member), SIZE(member), 0, 0, {                                              \
            0                                                                                                \
        }                                                                                                    \
    }
#define NUM(path, member, min, max)                                                                          \
    {                                                                                                        \
        path, false, true, OFFSET(member), 0, min, max, {                                                    \
            0                                                                                                \
        }                                                                                                    \
    }
/* NOLINTBEGIN(bugprone-macro-parentheses): the name of a member cannot be put in parentheses */
#define OPTIONAL_NUM(path, member, min, max)                                                                 \
    {                                                                                                        \
        path, false, false, OFFSET(member), 0, min, max, {                                                   \
            0                                                                                                \
        }                                                                                                    \
    }
#define LIST(items, count, max_items)                                                                        \
    { SIZE(items[0]), max_items, OFFSET(count) }
#define ITEM_TEXT(path, items, member, count, max_items)                                                     \
    { path, true, false, OFFSET(items[0].member), SIZE(items[0].member), 0, 0, LIST(items, count, max_items) }
#define ITEM_NUM(path, items, member, count, max_items)                                                      \
    { path, false, false, OFFSET(items[0].member), 0, 0, 1e9, LIST(items, count, max_items) }
/* NOLINTEND(bugprone-macro-parentheses) */

static const struct field fields[] = {
    TEXT("member", member),
    TEXT("area", zone),
    TEXT("front", api_listen),
    TEXT("cluster_listen", peer_listen),
    TEXT("endpoints.cloud", cloud_addr),
    TEXT("endpoints.state", store_addr),
    ITEM_TEXT("others[].member", peers, member, peer_count, AMB_PEERS_MAX),
    ITEM_TEXT("others[].addr", peers, addr, peer_count, AMB_PEERS_MAX),
    {.path = "params.zones[]",
     .is_text = true,
     .offset = OFFSET(zones),
     .size = AMB_NAME_SIZE,
     .list = {.item_size = AMB_NAME_SIZE, .max_items = AMB_ZONES_MAX, .count_offset = OFFSET(zone_count)}},
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
    struct amb_config_error *error; /* the first error */
    bool seen[FIELDS];
};

/* Whether the path matches the pattern. Sets *index to the path's list index. */
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

static bool has_failed(const struct reader *reader) {
    return reader->error->problem != AMB_CONFIG_VALID;
}

static void fail_at_path(struct reader *reader, const char *path, enum amb_config_problem problem,
                         const char *what) {
    struct amb_config_error *error = reader->error;
    if (has_failed(reader)) return;
    error->problem = problem;
    snprintf(error->text, sizeof error->text, "%s: %s: %s", reader->file, path, what);
}

/* Extends the list to contain an item at this index. Returns false if that exceeds the list's maximum. */
static bool extend_list(struct reader *reader, const struct list *list, size_t index) {
    if (index >= list->max_items) return false;
    uint32_t *count = (uint32_t *)((char *)reader->settings + list->count_offset);
    if (index >= *count) *count = (uint32_t)index + 1;
    return true;
}

static bool is_allowed_text(const struct field *field, enum amb_toml_kind kind, const char *text) {
    return kind == AMB_TOML_TEXT && *text && strlen(text) < field->size;
}

static bool is_allowed_number(const struct field *field, enum amb_toml_kind kind, double number) {
    return kind == AMB_TOML_NUMBER && isfinite(number) && number >= field->min && number <= field->max;
}

static const struct field *find_field(const char *path, size_t *index) {
    for (size_t i = 0; i < FIELDS; i++) {
        *index = 0;
        if (path_matches(fields[i].path, path, index)) return &fields[i];
    }
    return NULL;
}

/* Ignores settings without a field: the platform may have others for its own use. */
static void on_value(void *arg, const char *path, enum amb_toml_kind kind, const char *text, double number) {
    struct reader *reader = arg;
    size_t index;
    const struct field *field = find_field(path, &index);
    if (!field) return;
    if (field->list.item_size && !extend_list(reader, &field->list, index)) {
        fail_at_path(reader, path, AMB_CONFIG_TOO_MANY_ITEMS, "too many entries");
        return;
    }
    char *at = (char *)reader->settings + field->offset + index * field->list.item_size;
    reader->seen[field - fields] = true;
    if (field->is_text && is_allowed_text(field, kind, text))
        strcpy(at, text);
    else if (field->is_text)
        fail_at_path(reader, path, AMB_CONFIG_INVALID_VALUE, "must be a short text");
    else if (is_allowed_number(field, kind, number))
        *(double *)(void *)at = number;
    else
        fail_at_path(reader, path, AMB_CONFIG_INVALID_VALUE, "must be a number within its bounds");
}

/* ---- required settings ---- */

static void check_required_fields(struct reader *reader) {
    for (size_t i = 0; i < FIELDS; i++)
        if (fields[i].is_required && !reader->seen[i])
            fail_at_path(reader, fields[i].path, AMB_CONFIG_MISSING_VALUE, "is missing");
}

static void check_lists(struct reader *reader) {
    const struct amb_settings *settings = reader->settings;
    for (uint32_t i = 0; i < settings->peer_count; i++)
        if (!settings->peers[i].member[0] || !settings->peers[i].addr[0])
            fail_at_path(reader, "others[]", AMB_CONFIG_MISSING_VALUE, "needs member and addr");
    for (uint32_t i = 0; i < settings->team_count; i++)
        if (!settings->teams[i].name[0])
            fail_at_path(reader, "params.teams[]", AMB_CONFIG_MISSING_VALUE, "needs a name");
}

enum amb_config_problem amb_settings_load(const char *path, struct amb_settings *settings,
                                          struct amb_config_error *error) {
    struct reader reader = {.settings = settings, .file = path, .error = error};
    memset(settings, 0, sizeof *settings);
    memset(error, 0, sizeof *error);
    enum amb_toml_result result = amb_toml_read(path, on_value, &reader, error->text, sizeof error->text);
    if (result != AMB_TOML_OK)
        return error->problem = result == AMB_TOML_UNREADABLE ? AMB_CONFIG_UNREADABLE : AMB_CONFIG_SYNTAX;
    check_required_fields(&reader);
    check_lists(&reader);
    return error->problem;
}
