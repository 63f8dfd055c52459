/* Reads the operators' options: a table of numeric options, and two lists of names. */
#include "amberpin/config/options.h"

#include "amberpin/duty/settings.h"

#include <expat.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct number_option {
    const char *name;
    size_t offset; /* within amb_options */
    double min, max, default_value;
};

static const struct number_option number_options[] = {
    {"leader-ttl", offsetof(struct amb_options, leader_lease_share), 0.1, 0.5, 0.3},
    {"headroom", offsetof(struct amb_options, headroom_deviations), 0, 10, 3.0},
    {"idle-return", offsetof(struct amb_options, idle_release_share), 0, 100, 0.2},
    {"silent-release", offsetof(struct amb_options, silent_release_share), 1.1, 100, 2.0},
    {"preempt", offsetof(struct amb_options, preempt), 0, 1, 1},
    {"duties", offsetof(struct amb_options, duties), 0, 1, 0},
    {"fleet-machines", offsetof(struct amb_options, fleet_machines), 0, 1e6, 0},
    {"duty-lease", offsetof(struct amb_options, duty_lease_share), 0.001, 0.5, 0.3},
    {"zone-recovery", offsetof(struct amb_options, zone_recovery), 0, 1, 0},
    {"zone-steady", offsetof(struct amb_options, zone_steady_share), 0, 100, 0.5},
    {"zone-steady-longest", offsetof(struct amb_options, zone_steady_max_share), 0, 1000, 2},
    {"zone-loss-forgotten", offsetof(struct amb_options, zone_loss_expiry_share), 0, 10000, 10},
};
static const char DUTY_NAMES[] = "duty-names", ZONE_RECOVERY_ORDER[] = "zone-recovery-order";
enum { NUMBER_OPTIONS = sizeof number_options / sizeof number_options[0], FILE_BYTES_MAX = 64 * 1024 };

static double *number_of(struct amb_options *options, const struct number_option *option) {
    return (double *)(void *)((char *)options + option->offset);
}

void amb_options_set_defaults(struct amb_options *options) {
    memset(options, 0, sizeof *options);
    for (size_t i = 0; i < NUMBER_OPTIONS; i++)
        *number_of(options, &number_options[i]) = number_options[i].default_value;
    strcpy(options->duty_names, "all");
}

struct reader {
    XML_Parser xml;
    struct amb_options *options;
    const char *file;
    struct amb_config_error *error; /* the first error */
    int depth;
};

static bool has_failed(const struct reader *reader) {
    return reader->error->problem != AMB_CONFIG_VALID;
}

static void fail_at_element(struct reader *reader, const char *name, enum amb_config_problem problem,
                            const char *what) {
    struct amb_config_error *error = reader->error;
    if (!has_failed(reader)) {
        error->problem = problem;
        snprintf(error->text, sizeof error->text, "%s: line %lu: %s: %s", reader->file,
                 XML_GetCurrentLineNumber(reader->xml), name, what);
    }
    XML_StopParser(reader->xml, XML_FALSE);
}

static bool has_value(struct reader *reader, const char *name, const char **attrs) {
    bool is_good = attrs[0] && !strcmp(attrs[0], "value") && !attrs[2];
    if (!is_good) fail_at_element(reader, name, AMB_CONFIG_INVALID_VALUE, "takes one attribute, value");
    return is_good;
}

static void read_duty_names(struct reader *reader, const char *names) {
    struct amb_duty_settings settings = {0};
    char wrong_name[AMB_NAME_SIZE] = "", message[AMB_NAME_SIZE * 4];
    if (strlen(names) >= sizeof reader->options->duty_names) {
        fail_at_element(reader, DUTY_NAMES, AMB_CONFIG_INVALID_VALUE, "the list is too long");
        return;
    }
    enum amb_duty_settings_error error =
        amb_duty_settings_parse_names(&settings, names, wrong_name, sizeof wrong_name);
    if (error == AMB_DUTY_SETTINGS_OK) {
        strcpy(reader->options->duty_names, names);
        return;
    }
    snprintf(message, sizeof message, "'%s' can't be used; allowed: %s", wrong_name,
             amb_duty_settings_allowed(error));
    fail_at_element(reader, DUTY_NAMES, AMB_CONFIG_INVALID_VALUE, message);
}

/* Checks only the length. The names of classes are checked later against the platform's settings, which
 * define the classes. */
static void read_recovery_order(struct reader *reader, const char *names) {
    if (strlen(names) >= sizeof reader->options->zone_recovery_order)
        fail_at_element(reader, ZONE_RECOVERY_ORDER, AMB_CONFIG_INVALID_VALUE, "the list is too long");
    else
        strcpy(reader->options->zone_recovery_order, names);
}

static void read_number(struct reader *reader, const struct number_option *option, const char *text) {
    char *end;
    double value = strtod(text, &end);
    bool is_number = end != text && !*end;
    if (is_number && value >= option->min && value <= option->max)
        *number_of(reader->options, option) = value;
    else
        fail_at_element(reader, option->name, AMB_CONFIG_INVALID_VALUE,
                        "value is not a number within its bounds");
}

static const struct number_option *find_number_option(const char *name) {
    for (size_t i = 0; i < NUMBER_OPTIONS; i++)
        if (!strcmp(name, number_options[i].name)) return &number_options[i];
    return NULL;
}

static void read_option(struct reader *reader, const char *name, const char **attrs) {
    const struct number_option *option = find_number_option(name);
    bool is_duty_names = !strcmp(name, DUTY_NAMES);
    bool is_recovery_order = !strcmp(name, ZONE_RECOVERY_ORDER);
    if (!option && !is_duty_names && !is_recovery_order) {
        fail_at_element(reader, name, AMB_CONFIG_UNKNOWN_NAME, "unknown setting");
        return;
    }
    if (!has_value(reader, name, attrs)) return;
    if (option)
        read_number(reader, option, attrs[1]);
    else if (is_duty_names)
        read_duty_names(reader, attrs[1]);
    else
        read_recovery_order(reader, attrs[1]);
}

static void on_element_start(void *arg, const char *name, const char **attrs) {
    struct reader *reader = arg;
    bool is_root = reader->depth++ == 0;
    if (!is_root)
        read_option(reader, name, attrs);
    else if (strcmp(name, "amberpin"))
        fail_at_element(reader, name, AMB_CONFIG_UNKNOWN_NAME, "the document must be <amberpin>");
}

static void on_element_end(void *arg, const char *name) {
    (void)name;
    ((struct reader *)arg)->depth--;
}

static void parse(struct reader *reader, const char *text, size_t len) {
    struct amb_config_error *error = reader->error;
    XML_SetUserData(reader->xml, reader);
    XML_SetElementHandler(reader->xml, on_element_start, on_element_end);
    if (XML_Parse(reader->xml, text, (int)len, 1) == XML_STATUS_OK || has_failed(reader)) return;
    error->problem = AMB_CONFIG_SYNTAX;
    snprintf(error->text, sizeof error->text, "%s: line %lu: %s", reader->file,
             XML_GetCurrentLineNumber(reader->xml), XML_ErrorString(XML_GetErrorCode(reader->xml)));
}

enum amb_config_problem amb_options_load(const char *path, struct amb_options *options,
                                         struct amb_config_error *error) {
    memset(error, 0, sizeof *error);
    FILE *file = fopen(path, "r");
    if (!file) {
        snprintf(error->text, sizeof error->text, "%s: can't be opened", path);
        return error->problem = AMB_CONFIG_UNREADABLE;
    }
    char text[FILE_BYTES_MAX];
    size_t len = fread(text, 1, sizeof text, file);
    fclose(file);
    struct reader reader = {.xml = XML_ParserCreate(NULL), .options = options, .file = path, .error = error};
    parse(&reader, text, len);
    XML_ParserFree(reader.xml);
    return error->problem;
}
