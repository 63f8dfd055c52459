/* The one place that uses toml++: a file as a flat run of values, each with its path
 * ("params.teams[0].name"). */
#ifndef AMBERPIN_TOML_READER_H
#define AMBERPIN_TOML_READER_H

#ifdef __cplusplus
extern "C" {
#endif

enum amb_toml_kind { AMB_TOML_TEXT, AMB_TOML_NUMBER, AMB_TOML_OTHER };

/* A value: its text ("" if it is none) or its number. Both are good until the function returns. */
typedef void (*amb_toml_visit)(void *arg, const char *path, enum amb_toml_kind kind, const char *text,
                               double number);

/* Failures are negative. */
enum amb_toml_result { AMB_TOML_OK = 0, AMB_TOML_UNREADABLE = -1, AMB_TOML_MALFORMED = -2 };

/* Calls `visit` for each value. A failure leaves one line in error, of error_size bytes; nothing or a part
 * was visited then. */
enum amb_toml_result amb_toml_read(const char *path, amb_toml_visit visit, void *arg, char *error,
                                   unsigned long error_size);

#ifdef __cplusplus
}
#endif

#endif
