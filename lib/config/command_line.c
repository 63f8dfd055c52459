#include "amberpin/config/command_line.h"

#include <argp.h>
#include <string.h>

const char *argp_program_version = "amberpin " AMB_VERSION;

static const struct argp_option arguments[] = {
    {"config", 'c', "FILE", 0, "settings that the platform provides (TOML)", 0},
    {"options", 'o', "FILE", 0, "options that the operators set (XML)", 0},
    {"check", 'k', 0, 0, "check the settings and options, then exit", 0},
    {0},
};

/* NOLINTNEXTLINE(readability-non-const-parameter): argp prescribes the type */
static error_t parse_argument(int key, char *arg, struct argp_state *state) {
    struct amb_command_line *command_line = state->input;
    switch (key) {
    case 'c': command_line->settings_path = arg; return 0;
    case 'o': command_line->options_path = arg; return 0;
    case 'k': command_line->check_only = true; return 0;
    case ARGP_KEY_END:
        if (!command_line->settings_path) argp_error(state, "--config FILE is needed");
        return 0;
    default: return ARGP_ERR_UNKNOWN;
    }
}

void amb_command_line_parse(int argc, char **argv, struct amb_command_line *out) {
    static const struct argp argp = {
        arguments, parse_argument, 0, "A scheduler for fleets that serve language models.", 0, 0, 0};
    memset(out, 0, sizeof *out);
    argp_err_exit_status = AMB_PROCESS_BAD_CONFIGURATION;
    argp_parse(&argp, argc, argv, 0, 0, out);
}
