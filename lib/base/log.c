#include "amberpin/base/log.h"

#include "amberpin/base/util.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum { LINE_BYTES = 1024 }; /* including the line break */

static enum amb_log_level threshold = AMB_LOG_ERROR;

void amb_log_init(const char *level) {
    threshold = AMB_LOG_INFO;
    if (!level) return;
    if (!strcmp(level, "error")) threshold = AMB_LOG_ERROR;
    if (!strcmp(level, "debug")) threshold = AMB_LOG_DEBUG;
}

bool amb_log_is_enabled(enum amb_log_level level) {
    return level <= threshold;
}

void amb_log(enum amb_log_level level, const char *format, ...) {
    static const char *const names[] = {"error", "info", "debug"};
    if (!amb_log_is_enabled(level)) return;
    char line[LINE_BYTES];
    int64_t wall_ms = amb_wall_ms();
    int len = snprintf(line, sizeof line, "%lld.%03d %s ", (long long)(wall_ms / 1000), (int)(wall_ms % 1000),
                       names[level]);
    va_list arguments;
    va_start(arguments, format);
    int text_len = vsnprintf(line + len, sizeof line - (size_t)len - 1, format, arguments);
    va_end(arguments);
    if (text_len > 0) len += text_len;
    if (len > LINE_BYTES - 2) len = LINE_BYTES - 2;
    line[len++] = '\n';
    if (write(STDERR_FILENO, line, (size_t)len) < 0) return; /* a failure to log is ignored */
}
