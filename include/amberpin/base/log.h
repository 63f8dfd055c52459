/* Levelled log to standard error; the level comes from LOG_LEVEL. */
#ifndef AMBERPIN_LOG_H
#define AMBERPIN_LOG_H

enum amb_level { AMB_ERROR, AMB_INFO, AMB_DEBUG };

void amb_log_init(const char *level);
int amb_log_on(enum amb_level level);
void amb_log(enum amb_level level, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

#define amb_error(...) amb_log(AMB_ERROR, __VA_ARGS__)
#define amb_info(...) amb_log(AMB_INFO, __VA_ARGS__)
#define amb_debug(...)                                                                                       \
    do {                                                                                                     \
        if (amb_log_on(AMB_DEBUG)) amb_log(AMB_DEBUG, __VA_ARGS__);                                          \
    } while (0)

#endif
