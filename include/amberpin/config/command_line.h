/* The command line. */
#ifndef AMBERPIN_CLI_H
#define AMBERPIN_CLI_H

#include <stdbool.h>

struct amb_cli {
    const char *config, *options;
    bool check;
};

/* Answers --help and --version itself; ends the process with 2 on bad arguments. */
void amb_cli_parse(int argc, char **argv, struct amb_cli *out);

#endif
