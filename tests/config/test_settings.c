/* Settings: the platform's TOML and the operators' XML, each with its complaints. */
#include "amberpin/config/options.h"
#include "amberpin/config/settings.h"
#include "check.h"

#include <unistd.h>

static char *slurp(const char *path) {
    FILE *file = fopen(path, "r");
    assert_non_null(file);
    char *text = calloc(1, 65536);
    size_t length = fread(text, 1, 65535, file);
    assert_true(length > 0);
    fclose(file);
    return text;
}

static void spill(char *path, const char *text) {
    strcpy(path, "/tmp/amberpin-test-XXXXXX");
    int fd = mkstemp(path);
    assert_true(fd >= 0);
    assert_int_equal(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    close(fd);
}

static void good_settings_load(void **state) {
    (void)state;
    struct amb_settings settings;
    char err[256];
    if (!amb_settings_load("tests/data/good.toml", &settings, err, sizeof err)) fail_msg("%s", err);
    assert_string_equal(settings.member, "node-0");
    assert_int_equal(settings.peer_count, 1);
    assert_string_equal(settings.peers[0].addr, "127.0.0.1:9");
    assert_int_equal(settings.zone_count, 2);
    assert_true(settings.teams[0].limit.gpus == 32 && settings.teams[0].guarantee.gpus == 16);
    assert_true(settings.value_kb == 8 && settings.fd_limit == 800);
    assert_true(settings.announced_limits.value_kb == 2 && settings.announced_limits.write_rps == 15 &&
                settings.announced_limits.txn_ops == 4);
    assert_string_equal(settings.objectives[0].class_name, "train");
}

/* What the state service will allow: as announced, or as now. */
static void lowered_limits(void **state) {
    (void)state;
    static const struct {
        const char *what, *announced;
        struct amb_store_limits want;
    } rows[] = {
        {"all three", "[params.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4\n", {15, 2, 4}},
        {"none", "", {20, 8, 8}},
        {"an empty table", "[params.state.next]\n", {20, 8, 8}},
        {"values alone", "[params.state.next]\nvalue_kb = 2\n", {20, 2, 8}},
        {"the rate alone", "[params.state.next]\nwrite_rps = 15\n", {15, 8, 8}},
        {"raised", "[params.state.next]\nwrite_rps = 30\nvalue_kb = 16\ntxn_ops = 9\n", {20, 8, 8}},
    };
    static const char announcement[] = "[params.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4\n";
    char *good = slurp("tests/data/good.toml");
    char *at = strstr(good, announcement);
    assert_non_null(at);
    for (size_t i = 0; i < ROWS(rows); i++) {
        char text[65536], path[64], err[256] = "";
        struct amb_settings settings;
        snprintf(text, sizeof text, "%.*s%s%s", (int)(at - good), good, rows[i].announced,
                 at + strlen(announcement));
        spill(path, text);
        if (!amb_settings_load(path, &settings, err, sizeof err)) fail_msg("%s: %s", rows[i].what, err);
        unlink(path);
        struct amb_store_limits got = amb_settings_lowered_limits(&settings);
        if (got.write_rps != rows[i].want.write_rps || got.value_kb != rows[i].want.value_kb ||
            got.txn_ops != rows[i].want.txn_ops)
            fail_msg("%s: %g writes, %g KiB, %g changes", rows[i].what, got.write_rps, got.value_kb,
                     got.txn_ops);
    }
    free(good);
}

/* Starts aimed at sooner than reports allow for once waited for the leader's own turns. */
static void cycle_follows_the_shortest_start(void **state) {
    (void)state;
    static const struct {
        double report_s, within_s[2], want;
    } rows[] = {
        {1, {0, 0}, 1},   {1, {12, 30}, 1},     {4, {40, 10}, 1},
        {4, {40, 80}, 4}, {2.5, {25, 50}, 2.5}, {4, {1, 0}, 1},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        static struct amb_settings settings;
        memset(&settings, 0, sizeof settings);
        settings.heartbeat_s = rows[i].report_s;
        for (size_t k = 0; k < 2 && rows[i].within_s[k] > 0; k++) {
            struct amb_objective *objective = &settings.objectives[settings.objective_count++];
            strcpy(objective->kind, "wait");
            objective->within_s = rows[i].within_s[k];
        }
        strcpy(settings.objectives[settings.objective_count++].kind, "guarantee"); /* no start's aim */
        if (amb_settings_cycle_s(&settings) != rows[i].want)
            fail_msg("row %zu: %g", i, amb_settings_cycle_s(&settings));
    }
}

static void bad_settings_are_named(void **state) {
    (void)state;
    static const struct {
        const char *from, *to, *complaint;
    } rows[] = {
        {"member = \"node-0\"", "", "member: is missing"},
        {"front = \"127.0.0.1:0\"", "front = 7", "front: must be a short text"},
        {"lease_s = 10.0", "lease_s = -1.0", "params.workers.lease_s: must be a number within its bounds"},
        {"lease_s = 10.0", "lease_s = \"ten\"", "params.workers.lease_s: must be a number within its bounds"},
        {"value_kb = 2.0", "value_kb = 0.5",
         "params.state.next.value_kb: must be a number within its bounds"},
        {"write_rps = 15.0", "write_rps = \"few\"", "params.state.next.write_rps: must be a number within"},
        {"txn_ops = 4", "txn_ops = 0", "params.state.next.txn_ops: must be a number within its bounds"},
        {"fd_limit = 800", "", "params.quota.fd_limit: is missing"},
        {"gpus_max = 32.0", "gpus_max = \"all\"", "params.teams[0].gpus_max: must be a number"},
        {"name = \"vision\"", "", "params.teams[]: needs a name"},
        {"addr = \"127.0.0.1:9\"", "", "others[]: needs member and addr"},
        {"[endpoints]", "[endpoints", "line"},
    };
    char *good = slurp("tests/data/good.toml");
    for (size_t i = 0; i < ROWS(rows); i++) {
        char text[65536], path[64], err[256] = "";
        char *at = strstr(good, rows[i].from);
        assert_non_null(at);
        snprintf(text, sizeof text, "%.*s%s%s", (int)(at - good), good, rows[i].to,
                 at + strlen(rows[i].from));
        spill(path, text);
        struct amb_settings settings;
        bool ok = amb_settings_load(path, &settings, err, sizeof err);
        unlink(path);
        if (ok || !strstr(err, rows[i].complaint) || !strstr(err, path))
            fail_msg("row %zu: '%s' instead of '%s'", i, err, rows[i].complaint);
    }
    free(good);
    char err[256];
    struct amb_settings settings;
    assert_false(amb_settings_load("/nonexistent.toml", &settings, err, sizeof err));
}

static void options(void **state) {
    (void)state;
    static const struct {
        const char *xml;
        const char *complaint; /* NULL: fine */
    } rows[] = {
        {"<amberpin/>", NULL},
        {"<amberpin><!-- more --><headroom value=\"2.5\"/></amberpin>", NULL},
        {"<amberpin><headroom value=\"much\"/></amberpin>", "headroom: value is not a number"},
        {"<amberpin><headroom value=\"-1\"/></amberpin>", "headroom: value is not a number"},
        {"<amberpin><headroom/></amberpin>", "headroom: takes one attribute"},
        {"<amberpin><legroom value=\"1\"/></amberpin>", "legroom: unknown setting"},
        {"<amberpin><duties value=\"1\"/><duty-names value=\"rent, cleanup\"/></amberpin>", NULL},
        {"<amberpin><duty-names value=\"rent,lead\"/></amberpin>",
         "line 1: duty-names: 'lead' can't be used; allowed: rent, return, reclaim, cleanup"},
        {"<amberpin><duty-names value=\"rent,rent\"/></amberpin>",
         "line 1: duty-names: 'rent' can't be used; allowed: each duty once"},
        {"<amberpin><duty-names value=\"\"/></amberpin>",
         "duty-names: '' can't be used; allowed: at least one"},
        {"<amberpin><duty-names/></amberpin>", "duty-names: takes one attribute"},
        {"<amberpin><duties value=\"2\"/></amberpin>", "duties: value is not a number within its bounds"},
        {"<other/>", "the document must be <amberpin>"},
        {"<amberpin>", "line 1"},
        {"", "line 1"},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        char path[64], err[256] = "";
        struct amb_options options;
        amb_options_set_defaults(&options);
        spill(path, rows[i].xml);
        bool ok = amb_options_load(path, &options, err, sizeof err);
        unlink(path);
        if (ok != !rows[i].complaint || (!ok && !strstr(err, rows[i].complaint)))
            fail_msg("row %zu: '%s'", i, err);
        if (i == 1) assert_true(options.headroom_deviations == 2.5);
    }
    struct amb_options normal, sample;
    char err[256] = "";
    amb_options_set_defaults(&normal);
    memset(&sample, 0, sizeof sample);
    if (!amb_options_load("deploy/options.xml", &sample, err, sizeof err)) fail_msg("%s", err);
    assert_memory_equal(&normal, &sample, sizeof normal); /* the sample states every default */
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(good_settings_load),
        cmocka_unit_test(lowered_limits),
        cmocka_unit_test(cycle_follows_the_shortest_start),
        cmocka_unit_test(bad_settings_are_named),
        cmocka_unit_test(options),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
