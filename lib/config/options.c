#include "amberpin/config/options.h"

#include "amberpin/duty/settings.h"

#include <expat.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct option {
    const char *name;
    size_t at;
    double low, high, normal;
};

static const struct option options[] = {
    {"leader-ttl", offsetof(struct amb_options, leader_ttl), 0.1, 0.5, 0.3},
    {"headroom", offsetof(struct amb_options, headroom), 0, 10, 3.0},
    {"idle-return", offsetof(struct amb_options, idle_return), 0, 100, 0.2},
    {"silent-release", offsetof(struct amb_options, silent_release), 1.1, 100, 2.0},
    {"preempt", offsetof(struct amb_options, preempt), 0, 1, 1},
    {"duties", offsetof(struct amb_options, duties), 0, 1, 0},
    {"fleet-machines", offsetof(struct amb_options, fleet_machines), 0, 1e6, 0},
    {"duty-lease", offsetof(struct amb_options, duty_lease), 0.001, 0.5, 0.3},
    {"zone-recovery", offsetof(struct amb_options, zone_recovery), 0, 1, 0},
    {"zone-steady", offsetof(struct amb_options, zone_steady), 0, 100, 0.5},
    {"zone-steady-longest", offsetof(struct amb_options, zone_steady_longest), 0, 1000, 2},
    {"zone-loss-forgotten", offsetof(struct amb_options, zone_loss_forgotten), 0, 10000, 10},
};
static const char DUTY_NAMES[] = "duty-names", ZONE_RECOVERY_ORDER[] = "zone-recovery-order";
enum { OPTIONS = sizeof options / sizeof options[0] };

void amb_options_default(struct amb_options *o) {
    memset(o, 0, sizeof *o);
    for (size_t i = 0; i < OPTIONS; i++) *(double *)(void *)((char *)o + options[i].at) = options[i].normal;
    strcpy(o->duty_names, "all");
}

struct reader {
    XML_Parser xml;
    struct amb_options *o;
    const char *file;
    char *err;
    size_t cap;
    int depth;
    bool bad;
};

static void complain(struct reader *r, const char *name, const char *what) {
    if (!r->bad)
        snprintf(r->err, r->cap, "%s: line %lu: %s: %s", r->file, XML_GetCurrentLineNumber(r->xml), name,
                 what);
    r->bad = true;
    XML_StopParser(r->xml, XML_FALSE);
}

static bool has_value(struct reader *r, const char *name, const char **attrs) {
    bool good = attrs[0] && !strcmp(attrs[0], "value") && !attrs[2];
    if (!good) complain(r, name, "takes one attribute, value");
    return good;
}

static void read_duty_names(struct reader *r, const char *names) {
    struct amb_duty_settings settings = {0};
    char wrong[AMB_NAME_SIZE] = "", said[AMB_NAME_SIZE * 4];
    if (strlen(names) >= sizeof r->o->duty_names) {
        complain(r, DUTY_NAMES, "the list is too long");
        return;
    }
    enum amb_duty_settings_error error = amb_duty_settings_parse_names(&settings, names, wrong, sizeof wrong);
    if (error == AMB_DUTY_SETTINGS_GOOD) {
        strcpy(r->o->duty_names, names);
        return;
    }
    snprintf(said, sizeof said, "'%s' can't be used; allowed: %s", wrong, amb_duty_settings_allowed(error));
    complain(r, DUTY_NAMES, said);
}

/* Classes are known from the platform's settings: what the names mean is checked with these. */
static void read_recovery_order(struct reader *r, const char *names) {
    if (strlen(names) >= sizeof r->o->zone_recovery_order)
        complain(r, ZONE_RECOVERY_ORDER, "the list is too long");
    else
        strcpy(r->o->zone_recovery_order, names);
}

static void begin(void *arg, const char *name, const char **attrs) {
    struct reader *r = arg;
    if (r->depth++ == 0) {
        if (strcmp(name, "amberpin")) complain(r, name, "the document must be <amberpin>");
        return;
    }
    if (!strcmp(name, DUTY_NAMES)) {
        if (has_value(r, name, attrs)) read_duty_names(r, attrs[1]);
        return;
    }
    if (!strcmp(name, ZONE_RECOVERY_ORDER)) {
        if (has_value(r, name, attrs)) read_recovery_order(r, attrs[1]);
        return;
    }
    for (size_t i = 0; i < OPTIONS; i++) {
        if (strcmp(name, options[i].name)) continue;
        if (!has_value(r, name, attrs)) return;
        char *end;
        double v = strtod(attrs[1], &end);
        if (end == attrs[1] || *end || !(v >= options[i].low && v <= options[i].high)) {
            complain(r, name, "value is not a number within its bounds");
            return;
        }
        *(double *)(void *)((char *)r->o + options[i].at) = v;
        return;
    }
    complain(r, name, "unknown setting");
}

static void end(void *arg, const char *name) {
    (void)name;
    ((struct reader *)arg)->depth--;
}

bool amb_options_load(const char *path, struct amb_options *options, char *err, size_t cap) {
    FILE *f = fopen(path, "r");
    if (!f) {
        snprintf(err, cap, "%s: can't be opened", path);
        return false;
    }
    char text[64 * 1024];
    size_t n = fread(text, 1, sizeof text, f);
    fclose(f);
    struct reader r = {XML_ParserCreate(NULL), options, path, err, cap, 0, false};
    XML_SetUserData(r.xml, &r);
    XML_SetElementHandler(r.xml, begin, end);
    if (XML_Parse(r.xml, text, (int)n, 1) != XML_STATUS_OK && !r.bad) {
        snprintf(err, cap, "%s: line %lu: %s", path, XML_GetCurrentLineNumber(r.xml),
                 XML_ErrorString(XML_GetErrorCode(r.xml)));
        r.bad = true;
    }
    XML_ParserFree(r.xml);
    return !r.bad;
}
