#include "amberpin/base/log.h"

#include "amberpin/base/util.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static enum amb_log_level threshold = AMB_LOG_ERROR;

void amb_log_init(const char *level) {
    threshold = AMB_LOG_INFO;
    if (!level) return;
    if (!strcmp(level, "error")) threshold = AMB_LOG_ERROR;
    if (!strcmp(level, "debug")) threshold = AMB_LOG_DEBUG;
}

int amb_log_is_enabled(enum amb_log_level level) {
    return level <= threshold;
}

void amb_log(enum amb_log_level level, const char *format, ...) {
    static const char *const names[] = {"error", "info", "debug"};
    if (!amb_log_is_enabled(level)) return;
    char line[1024];
    int64_t wall_ms = amb_wall_ms();
    int length = snprintf(line, sizeof line, "%lld.%03d %s ", (long long)(wall_ms / 1000),
                          (int)(wall_ms % 1000), names[level]);
    va_list arguments;
    va_start(arguments, format);
    int text_length = vsnprintf(line + length, sizeof line - (size_t)length - 1, format, arguments);
    va_end(arguments);
    length += text_length < 0 ? 0 : text_length;
    if (length > (int)sizeof line - 2) length = (int)sizeof line - 2;
    line[length++] = '\n';
    if (write(STDERR_FILENO, line, (size_t)length) < 0)
        return; /* a log that can't be written must not stop us */
}
