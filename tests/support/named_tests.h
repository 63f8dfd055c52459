/* Test programs that play one test by its name, given as the first argument. */
#ifndef AMBERPIN_TESTS_NAMED_TESTS_H
#define AMBERPIN_TESTS_NAMED_TESTS_H

#include "check.h"

#include "amberpin/base/log.h"

#include <stdbool.h>

/* Sets the log's level from LOG_LEVEL (errors only by default) and the filter from the arguments. False, with
 * a line on standard error: the name is no test's, which must not pass as a run of no test. */
static inline bool choose_named_test(const struct CMUnitTest *tests, size_t count, int argc, char **argv) {
    const char *level = getenv("LOG_LEVEL");
    amb_log_init(level ? level : "error");
    if (argc < 2) return true;
    for (size_t i = 0; i < count; i++) {
        if (strcmp(tests[i].name, argv[1])) continue;
        cmocka_set_test_filter(argv[1]);
        return true;
    }
    fprintf(stderr, "%s: no test of this name\n", argv[1]);
    return false;
}

#endif
