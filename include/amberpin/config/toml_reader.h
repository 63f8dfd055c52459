/* Reads a TOML file as a flat sequence of values, each with its path ("params.teams[0].name"). Only this
 * module uses toml++. */
#ifndef AMBERPIN_TOML_READER_H
#define AMBERPIN_TOML_READER_H

#ifdef __cplusplus
extern "C" {
#endif

enum amb_toml_kind { AMB_TOML_TEXT, AMB_TOML_NUMBER, AMB_TOML_OTHER };

/* Receives a value: its text ("" if it is not a text) or its number. The texts are valid until the function
 * returns. */
typedef void (*amb_toml_visit)(void *arg, const char *path, enum amb_toml_kind kind, const char *text,
                               double number);

/* Errors are negative. */
enum amb_toml_result { AMB_TOML_OK = 0, AMB_TOML_UNREADABLE = -1, AMB_TOML_MALFORMED = -2 };

/* Calls `visit` for each value. On failure `error`, of error_size bytes, holds one line, and some of the
 * values may have been visited. */
enum amb_toml_result amb_toml_read(const char *path, amb_toml_visit visit, void *arg, char *error,
                                   unsigned long error_size);

#ifdef __cplusplus
}
#endif

#endif
