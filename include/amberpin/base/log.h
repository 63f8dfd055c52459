/* Levelled log to standard error; the level comes from LOG_LEVEL. */
#ifndef AMBERPIN_LOG_H
#define AMBERPIN_LOG_H

enum amb_log_level { AMB_LOG_ERROR, AMB_LOG_INFO, AMB_LOG_DEBUG };

void amb_log_init(const char *level);
int amb_log_is_enabled(enum amb_log_level level);
void amb_log(enum amb_log_level level, const char *format, ...) __attribute__((format(printf, 2, 3)));

#define amb_error(...) amb_log(AMB_LOG_ERROR, __VA_ARGS__)
#define amb_info(...) amb_log(AMB_LOG_INFO, __VA_ARGS__)
#define amb_debug(...)                                                                                       \
    do {                                                                                                     \
        if (amb_log_is_enabled(AMB_LOG_DEBUG)) amb_log(AMB_LOG_DEBUG, __VA_ARGS__);                          \
    } while (0)

#endif
