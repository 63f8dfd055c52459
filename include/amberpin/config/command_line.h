/* Command line of the controller. */
#ifndef AMBERPIN_COMMAND_LINE_H
#define AMBERPIN_COMMAND_LINE_H

#include <stdbool.h>

/* Exit status of the process. */
enum amb_process_status {
    AMB_PROCESS_OK = 0,
    AMB_PROCESS_START_FAILED = 1,
    AMB_PROCESS_BAD_CONFIGURATION = 2, /* invalid arguments, settings or options */
};

struct amb_command_line {                     /* borrowed from argv */
    const char *settings_path, *options_path; /* options_path NULL: not given */
    bool check_only;
};

/* Parses the arguments. Handles --help and --version itself. Invalid arguments end the process with
 * AMB_PROCESS_BAD_CONFIGURATION after a line on standard error. */
void amb_command_line_parse(int argc, char **argv, struct amb_command_line *out);

#endif
