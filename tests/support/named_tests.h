/* For test programs that can run a single test, whose name is the first argument. */
#ifndef AMBERPIN_TESTS_NAMED_TESTS_H
#define AMBERPIN_TESTS_NAMED_TESTS_H

#include "check.h"

#include "amberpin/base/log.h"

#include <stdbool.h>

/* Sets the log level from LOG_LEVEL (default: errors only) and the test filter from the arguments. Returns
 * false and prints a line to standard error if no test has the name, since cmocka would pass with no test
 * run. */
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
