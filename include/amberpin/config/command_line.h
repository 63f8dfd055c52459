/* The command line. */
#ifndef AMBERPIN_COMMAND_LINE_H
#define AMBERPIN_COMMAND_LINE_H

#include <stdbool.h>

/* How the process ends. */
enum amb_process_status {
    AMB_PROCESS_OK = 0,
    AMB_PROCESS_START_FAILED = 1,
    AMB_PROCESS_BAD_CONFIGURATION = 2, /* arguments, settings or options can't be used */
};

struct amb_command_line {                     /* borrowed from argv */
    const char *settings_path, *options_path; /* options_path NULL: not given */
    bool check_only;
};

/* Answers --help and --version itself. Ends the process with AMB_PROCESS_BAD_CONFIGURATION, after a line on
 * standard error, on bad arguments. */
void amb_command_line_parse(int argc, char **argv, struct amb_command_line *out);

#endif
