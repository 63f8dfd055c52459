/* Logs to standard error, one line per message, with the Unix time in seconds and the level. */
#ifndef AMBERPIN_LOG_H
#define AMBERPIN_LOG_H

#include <stdbool.h>

enum amb_log_level { AMB_LOG_ERROR, AMB_LOG_INFO, AMB_LOG_DEBUG };

/* Sets the most verbose level that is written: "error", "info" or "debug". NULL and unknown levels mean
 * "info". Before the first call only errors are written. */
void amb_log_init(const char *level);
bool amb_log_is_enabled(enum amb_log_level level);
/* Writes one line; longer messages are truncated. Callers use amb_error, amb_info and amb_debug. */
void amb_log(enum amb_log_level level, const char *format, ...) __attribute__((format(printf, 2, 3)));

/* amb_debug evaluates its arguments only if the debug level is enabled. */
#define amb_error(...) amb_log(AMB_LOG_ERROR, __VA_ARGS__)
#define amb_info(...) amb_log(AMB_LOG_INFO, __VA_ARGS__)
#define amb_debug(...)                                                                                       \
    do {                                                                                                     \
        if (amb_log_is_enabled(AMB_LOG_DEBUG)) amb_log(AMB_LOG_DEBUG, __VA_ARGS__);                          \
    } while (0)

#endif
