#include "amberpin/config/options.h"

#include "amberpin/duty/settings.h"

#include <expat.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct option {
    const char *name;
    size_t offset;
    double min, max, default_value;
};

static const struct option number_options[] = {
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
enum { OPTIONS = sizeof number_options / sizeof number_options[0] };

void amb_options_set_defaults(struct amb_options *o) {
    memset(o, 0, sizeof *o);
    for (size_t i = 0; i < OPTIONS; i++)
        *(double *)(void *)((char *)o + number_options[i].offset) = number_options[i].default_value;
    strcpy(o->duty_names, "all");
}

struct reader {
    XML_Parser xml;
    struct amb_options *options;
    const char *file;
    char *error;
    size_t error_size;
    int depth;
    bool failed;
};

static void fail_at_element(struct reader *reader, const char *name, const char *what) {
    if (!reader->failed)
        snprintf(reader->error, reader->error_size, "%s: line %lu: %s: %s", reader->file,
                 XML_GetCurrentLineNumber(reader->xml), name, what);
    reader->failed = true;
    XML_StopParser(reader->xml, XML_FALSE);
}

static bool has_value(struct reader *reader, const char *name, const char **attrs) {
    bool good = attrs[0] && !strcmp(attrs[0], "value") && !attrs[2];
    if (!good) fail_at_element(reader, name, "takes one attribute, value");
    return good;
}

static void read_duty_names(struct reader *reader, const char *names) {
    struct amb_duty_settings settings = {0};
    char wrong_name[AMB_NAME_SIZE] = "", message[AMB_NAME_SIZE * 4];
    if (strlen(names) >= sizeof reader->options->duty_names) {
        fail_at_element(reader, DUTY_NAMES, "the list is too long");
        return;
    }
    enum amb_duty_settings_error error =
        amb_duty_settings_parse_names(&settings, names, wrong_name, sizeof wrong_name);
    if (error == AMB_DUTY_SETTINGS_GOOD) {
        strcpy(reader->options->duty_names, names);
        return;
    }
    snprintf(message, sizeof message, "'%s' can't be used; allowed: %s", wrong_name,
             amb_duty_settings_allowed(error));
    fail_at_element(reader, DUTY_NAMES, message);
}

/* Classes are known from the platform's settings: what the names mean is checked with these. */
static void read_recovery_order(struct reader *reader, const char *names) {
    if (strlen(names) >= sizeof reader->options->zone_recovery_order)
        fail_at_element(reader, ZONE_RECOVERY_ORDER, "the list is too long");
    else
        strcpy(reader->options->zone_recovery_order, names);
}

static void on_element_start(void *arg, const char *name, const char **attrs) {
    struct reader *reader = arg;
    if (reader->depth++ == 0) {
        if (strcmp(name, "amberpin")) fail_at_element(reader, name, "the document must be <amberpin>");
        return;
    }
    if (!strcmp(name, DUTY_NAMES)) {
        if (has_value(reader, name, attrs)) read_duty_names(reader, attrs[1]);
        return;
    }
    if (!strcmp(name, ZONE_RECOVERY_ORDER)) {
        if (has_value(reader, name, attrs)) read_recovery_order(reader, attrs[1]);
        return;
    }
    for (size_t i = 0; i < OPTIONS; i++) {
        if (strcmp(name, number_options[i].name)) continue;
        if (!has_value(reader, name, attrs)) return;
        char *end;
        double value = strtod(attrs[1], &end);
        if (end == attrs[1] || *end || !(value >= number_options[i].min && value <= number_options[i].max)) {
            fail_at_element(reader, name, "value is not a number within its bounds");
            return;
        }
        *(double *)(void *)((char *)reader->options + number_options[i].offset) = value;
        return;
    }
    fail_at_element(reader, name, "unknown setting");
}

static void on_element_end(void *arg, const char *name) {
    (void)name;
    ((struct reader *)arg)->depth--;
}

bool amb_options_load(const char *path, struct amb_options *options, char *error, size_t error_size) {
    FILE *file = fopen(path, "r");
    if (!file) {
        snprintf(error, error_size, "%s: can't be opened", path);
        return false;
    }
    char text[64 * 1024];
    size_t length = fread(text, 1, sizeof text, file);
    fclose(file);
    struct reader reader = {XML_ParserCreate(NULL), options, path, error, error_size, 0, false};
    XML_SetUserData(reader.xml, &reader);
    XML_SetElementHandler(reader.xml, on_element_start, on_element_end);
    if (XML_Parse(reader.xml, text, (int)length, 1) != XML_STATUS_OK && !reader.failed) {
        snprintf(error, error_size, "%s: line %lu: %s", path, XML_GetCurrentLineNumber(reader.xml),
                 XML_ErrorString(XML_GetErrorCode(reader.xml)));
        reader.failed = true;
    }
    XML_ParserFree(reader.xml);
    return !reader.failed;
}
