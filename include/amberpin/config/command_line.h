/* The command line. */
#ifndef AMBERPIN_CLI_H
#define AMBERPIN_CLI_H

#include <stdbool.h>

struct amb_command_line {
    const char *settings_path, *options_path;
    bool check_only;
};

/* Answers --help and --version itself; ends the process with 2 on bad arguments. */
void amb_command_line_parse(int argc, char **argv, struct amb_command_line *out);

#endif
