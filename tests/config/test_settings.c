/* The platform's settings (TOML) and the operators' options (XML): valid files, and the errors of invalid
 * ones. */
#include "amberpin/config/options.h"
#include "amberpin/config/settings.h"
#include "check.h"

#include <unistd.h>

static char *read_file(const char *path) {
    FILE *file = fopen(path, "r");
    assert_non_null(file);
    char *text = calloc(1, 65536);
    size_t length = fread(text, 1, 65535, file);
    assert_true(length > 0);
    fclose(file);
    return text;
}

static void write_temp_file(char *path, const char *text) {
    strcpy(path, "/tmp/amberpin-test-XXXXXX");
    int fd = mkstemp(path);
    assert_true(fd >= 0);
    assert_int_equal(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    close(fd);
}

static void good_settings_load(void **state) {
    (void)state;
    struct amb_settings settings;
    struct amb_config_error error;
    if (amb_settings_load("tests/data/good.toml", &settings, &error)) fail_msg("%s", error.text);
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

/* The lowered limits of the state service: those announced, or else the present ones. */
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
        {"higher limits", "[params.state.next]\nwrite_rps = 30\nvalue_kb = 16\ntxn_ops = 9\n", {20, 8, 8}},
    };
    static const char announcement[] = "[params.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4\n";
    char *good = read_file("tests/data/good.toml");
    char *at = strstr(good, announcement);
    assert_non_null(at);
    for (size_t i = 0; i < ROWS(rows); i++) {
        char text[65536], path[64];
        struct amb_settings settings;
        struct amb_config_error error;
        snprintf(text, sizeof text, "%.*s%s%s", (int)(at - good), good, rows[i].announced,
                 at + strlen(announcement));
        write_temp_file(path, text);
        if (amb_settings_load(path, &settings, &error)) fail_msg("%s: %s", rows[i].what, error.text);
        unlink(path);
        struct amb_store_limits got = amb_settings_lowered_limits(&settings);
        if (got.write_rps != rows[i].want.write_rps || got.value_kb != rows[i].want.value_kb ||
            got.txn_ops != rows[i].want.txn_ops)
            fail_msg("%s: %g writes, %g KiB, %g changes", rows[i].what, got.write_rps, got.value_kb,
                     got.txn_ops);
    }
    free(good);
}

/* Guards against jobs with a start objective shorter than the heartbeat interval allows waiting for
 * scheduling cycles. */
static void cycle_follows_the_shortest_start(void **state) {
    (void)state;
    static const struct {
        double heartbeat_interval_s, within_s[2], want;
    } rows[] = {
        {1, {0, 0}, 1},   {1, {12, 30}, 1},     {4, {40, 10}, 1},
        {4, {40, 80}, 4}, {2.5, {25, 50}, 2.5}, {4, {1, 0}, 1},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        static struct amb_settings settings;
        memset(&settings, 0, sizeof settings);
        settings.heartbeat_s = rows[i].heartbeat_interval_s;
        for (size_t k = 0; k < 2 && rows[i].within_s[k] > 0; k++) {
            struct amb_objective *objective = &settings.objectives[settings.objective_count++];
            strcpy(objective->kind, "wait");
            objective->within_s = rows[i].within_s[k];
        }
        strcpy(settings.objectives[settings.objective_count++].kind, "guarantee"); /* not a start objective */
        if (amb_settings_cycle_s(&settings) != rows[i].want)
            fail_msg("row %zu: %g", i, amb_settings_cycle_s(&settings));
    }
}

static void errors_name_the_setting(void **state) {
    (void)state;
    static const struct {
        const char *from, *to, *complaint;
        enum amb_config_problem problem;
    } rows[] = {
        {"member = \"node-0\"", "", "member: is missing", AMB_CONFIG_MISSING_VALUE},
        {"front = \"127.0.0.1:0\"", "front = 7", "front: must be a short text", AMB_CONFIG_INVALID_VALUE},
        {"lease_s = 10.0", "lease_s = -1.0", "params.workers.lease_s: must be a number within its bounds",
         AMB_CONFIG_INVALID_VALUE},
        {"lease_s = 10.0", "lease_s = \"ten\"", "params.workers.lease_s: must be a number within its bounds",
         AMB_CONFIG_INVALID_VALUE},
        {"value_kb = 2.0", "value_kb = 0.5", "params.state.next.value_kb: must be a number within its bounds",
         AMB_CONFIG_INVALID_VALUE},
        {"write_rps = 15.0", "write_rps = \"few\"", "params.state.next.write_rps: must be a number within",
         AMB_CONFIG_INVALID_VALUE},
        {"txn_ops = 4", "txn_ops = 0", "params.state.next.txn_ops: must be a number within its bounds",
         AMB_CONFIG_INVALID_VALUE},
        {"fd_limit = 800", "", "params.quota.fd_limit: is missing", AMB_CONFIG_MISSING_VALUE},
        {"gpus_max = 32.0", "gpus_max = \"all\"", "params.teams[0].gpus_max: must be a number",
         AMB_CONFIG_INVALID_VALUE},
        {"name = \"vision\"", "", "params.teams[]: needs a name", AMB_CONFIG_MISSING_VALUE},
        {"addr = \"127.0.0.1:9\"", "", "others[]: needs member and addr", AMB_CONFIG_MISSING_VALUE},
        {"[endpoints]", "[endpoints", "line", AMB_CONFIG_SYNTAX},
    };
    char *good = read_file("tests/data/good.toml");
    for (size_t i = 0; i < ROWS(rows); i++) {
        char text[65536], path[64];
        char *at = strstr(good, rows[i].from);
        assert_non_null(at);
        snprintf(text, sizeof text, "%.*s%s%s", (int)(at - good), good, rows[i].to,
                 at + strlen(rows[i].from));
        write_temp_file(path, text);
        struct amb_settings settings;
        struct amb_config_error error;
        enum amb_config_problem problem = amb_settings_load(path, &settings, &error);
        unlink(path);
        if (problem != rows[i].problem || !strstr(error.text, rows[i].complaint) || !strstr(error.text, path))
            fail_msg("row %zu: %d, '%s' instead of '%s'", i, problem, error.text, rows[i].complaint);
        assert_int_equal(error.problem, problem);
    }
    free(good);
    struct amb_settings settings;
    struct amb_config_error error;
    assert_int_equal(amb_settings_load("/nonexistent.toml", &settings, &error), AMB_CONFIG_UNREADABLE);
}

static void options(void **state) {
    (void)state;
    static const struct {
        const char *xml;
        const char *complaint; /* NULL: valid */
        enum amb_config_problem problem;
    } rows[] = {
        {"<amberpin/>", NULL, AMB_CONFIG_VALID},
        {"<amberpin><!-- more --><headroom value=\"2.5\"/></amberpin>", NULL, AMB_CONFIG_VALID},
        {"<amberpin><headroom value=\"much\"/></amberpin>", "headroom: value is not a number",
         AMB_CONFIG_INVALID_VALUE},
        {"<amberpin><headroom value=\"-1\"/></amberpin>", "headroom: value is not a number",
         AMB_CONFIG_INVALID_VALUE},
        {"<amberpin><headroom/></amberpin>", "headroom: takes one attribute", AMB_CONFIG_INVALID_VALUE},
        {"<amberpin><legroom value=\"1\"/></amberpin>", "legroom: unknown setting", AMB_CONFIG_UNKNOWN_NAME},
        {"<amberpin><duties value=\"1\"/><duty-names value=\"rent, cleanup\"/></amberpin>", NULL,
         AMB_CONFIG_VALID},
        {"<amberpin><duty-names value=\"rent,lead\"/></amberpin>",
         "line 1: duty-names: 'lead' can't be used; allowed: rent, return, reclaim, cleanup",
         AMB_CONFIG_INVALID_VALUE},
        {"<amberpin><duty-names value=\"rent,rent\"/></amberpin>",
         "line 1: duty-names: 'rent' can't be used; allowed: each duty once", AMB_CONFIG_INVALID_VALUE},
        {"<amberpin><duty-names value=\"\"/></amberpin>",
         "duty-names: '' can't be used; allowed: at least one", AMB_CONFIG_INVALID_VALUE},
        {"<amberpin><duty-names/></amberpin>", "duty-names: takes one attribute", AMB_CONFIG_INVALID_VALUE},
        {"<amberpin><duties value=\"2\"/></amberpin>", "duties: value is not a number within its bounds",
         AMB_CONFIG_INVALID_VALUE},
        {"<other/>", "the document must be <amberpin>", AMB_CONFIG_UNKNOWN_NAME},
        {"<amberpin>", "line 1", AMB_CONFIG_SYNTAX},
        {"", "line 1", AMB_CONFIG_SYNTAX},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        char path[64];
        struct amb_config_error error;
        struct amb_options options;
        amb_options_set_defaults(&options);
        write_temp_file(path, rows[i].xml);
        enum amb_config_problem problem = amb_options_load(path, &options, &error);
        unlink(path);
        if (problem != rows[i].problem || (rows[i].complaint && !strstr(error.text, rows[i].complaint)))
            fail_msg("row %zu: %d, '%s'", i, problem, error.text);
        assert_int_equal(error.problem, problem);
        if (i == 1) assert_true(options.headroom_deviations == 2.5);
    }
    struct amb_options normal, sample;
    struct amb_config_error error;
    amb_options_set_defaults(&normal);
    memset(&sample, 0, sizeof sample);
    if (amb_options_load("deploy/options.xml", &sample, &error)) fail_msg("%s", error.text);
    assert_memory_equal(&normal, &sample, sizeof normal); /* the sample file states every default */
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(good_settings_load),
        cmocka_unit_test(lowered_limits),
        cmocka_unit_test(cycle_follows_the_shortest_start),
        cmocka_unit_test(errors_name_the_setting),
        cmocka_unit_test(options),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
