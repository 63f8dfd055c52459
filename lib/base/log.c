#include "amberpin/base/log.h"

#include "amberpin/base/util.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static enum amb_level threshold = AMB_ERROR;

void amb_log_init(const char *level) {
    threshold = AMB_INFO;
    if (!level) return;
    if (!strcmp(level, "error")) threshold = AMB_ERROR;
    if (!strcmp(level, "debug")) threshold = AMB_DEBUG;
}

int amb_log_on(enum amb_level level) {
    return level <= threshold;
}

void amb_log(enum amb_level level, const char *fmt, ...) {
    static const char *const names[] = {"error", "info", "debug"};
    if (!amb_log_on(level)) return;
    char line[1024];
    int64_t t = amb_wall_ms();
    int n =
        snprintf(line, sizeof line, "%lld.%03d %s ", (long long)(t / 1000), (int)(t % 1000), names[level]);
    va_list ap;
    va_start(ap, fmt);
    int m = vsnprintf(line + n, sizeof line - (size_t)n - 1, fmt, ap);
    va_end(ap);
    n += m < 0 ? 0 : m;
    if (n > (int)sizeof line - 2) n = (int)sizeof line - 2;
    line[n++] = '\n';
    if (write(STDERR_FILENO, line, (size_t)n) < 0) return; /* a log that can't be written must not stop us */
}
