/* The one door to toml++: a file as a flat run of values, each with its path ("params.teams[0].name"). */
#ifndef AMBERPIN_TOML_SHIM_H
#define AMBERPIN_TOML_SHIM_H

#ifdef __cplusplus
extern "C" {
#endif

enum amb_toml_kind { AMB_TOML_TEXT, AMB_TOML_NUMBER, AMB_TOML_OTHER };
typedef void (*amb_toml_visit)(void *arg, const char *path, enum amb_toml_kind kind, const char *text,
                               double num);

/* 0, or -1 with one line in err. */
int amb_toml_read(const char *path, amb_toml_visit fn, void *arg, char *err, unsigned long cap);

#ifdef __cplusplus
}
#endif

#endif
