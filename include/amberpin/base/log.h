/* Levelled log to standard error: a line a message, with the time of day in seconds and the level. */
#ifndef AMBERPIN_LOG_H
#define AMBERPIN_LOG_H

#include <stdbool.h>

enum amb_log_level { AMB_LOG_ERROR, AMB_LOG_INFO, AMB_LOG_DEBUG };

/* Sets the level ("error", "info" or "debug") up to which messages are written. NULL, or anything else: info.
 * Before the first call, errors alone are. */
void amb_log_init(const char *level);
bool amb_log_is_enabled(enum amb_log_level level);
/* Writes a message, cut to what a line has room for. amb_error, amb_info and amb_debug are its usual form. */
void amb_log(enum amb_log_level level, const char *format, ...) __attribute__((format(printf, 2, 3)));

/* The arguments of amb_debug are evaluated only when its level is enabled. */
#define amb_error(...) amb_log(AMB_LOG_ERROR, __VA_ARGS__)
#define amb_info(...) amb_log(AMB_LOG_INFO, __VA_ARGS__)
#define amb_debug(...)                                                                                       \
    do {                                                                                                     \
        if (amb_log_is_enabled(AMB_LOG_DEBUG)) amb_log(AMB_LOG_DEBUG, __VA_ARGS__);                          \
    } while (0)

#endif
