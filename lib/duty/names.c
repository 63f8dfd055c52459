#include "amberpin/duty/core.h"

#include <string.h>

static const char *const duty_names[AMB_DUTY_COUNT] = {"rent", "return", "reclaim", "cleanup"};

const char *amb_duty_name_text(enum amb_duty_name duty) {
    return duty < AMB_DUTY_COUNT ? duty_names[duty] : "unknown";
}

bool amb_duty_name_parse(const char *text, enum amb_duty_name *duty) {
    for (int i = 0; i < AMB_DUTY_COUNT; i++) {
        if (strcmp(text, duty_names[i])) continue;
        *duty = (enum amb_duty_name)i;
        return true;
    }
    return false;
}

const char *amb_duty_state_text(enum amb_duty_state state) {
    static const char *const names[] = {"idle", "campaigning", "held", "draining", "fenced", "lost"};
    return names[state];
}
