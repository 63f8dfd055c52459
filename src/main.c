/* The controller process: reads its configuration, starts a node and runs the event loop. */
#include "amberpin/base/log.h"
#include "amberpin/cloud_duty/duty_options.h"
#include "amberpin/config/command_line.h"
#include "amberpin/node/fleet_capacity.h"
#include "amberpin/node/node.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* Whether the settings and options are consistent. If not, text names the file and the field. */
static bool check_consistency(const struct amb_node *node, const struct amb_command_line *command_line,
                              char *text, size_t size) {
    const struct amb_settings *settings = &node->settings;
    const struct amb_options *options = &node->options;
    return amb_duties_check_options(settings, options, command_line->options_path, text, size) &&
           amb_zone_recovery_check(settings, options, command_line->options_path, text, size) &&
           amb_capacity_check(settings, options, command_line->settings_path, text, size);
}

static bool load_configuration(struct amb_node *node, const struct amb_command_line *command_line,
                               struct amb_config_error *error) {
    amb_options_set_defaults(&node->options);
    if (amb_settings_load(command_line->settings_path, &node->settings, error) != AMB_CONFIG_VALID)
        return false;
    if (command_line->options_path &&
        amb_options_load(command_line->options_path, &node->options, error) != AMB_CONFIG_VALID)
        return false;
    return check_consistency(node, command_line, error->text, sizeof error->text);
}

static enum amb_process_status run(struct amb_node *node) {
    char error[AMB_CONFIG_ERROR_BYTES];
    signal(SIGPIPE, SIG_IGN);
    amb_loop_init();
    if (amb_node_start(node, error, sizeof error) < 0) {
        fprintf(stderr, "amberpin: %s\n", error);
        return AMB_PROCESS_START_FAILED;
    }
    amb_info("amberpin %s: node %s serves at %s", AMB_VERSION, node->settings.member,
             node->settings.api_listen);
    amb_loop_run();
    return AMB_PROCESS_OK;
}

int main(int argc, char **argv) {
    static struct amb_node node;
    struct amb_command_line command_line;
    struct amb_config_error error;
    amb_command_line_parse(argc, argv, &command_line);
    amb_log_init(getenv("LOG_LEVEL"));
    if (!load_configuration(&node, &command_line, &error)) {
        fprintf(stderr, "amberpin: %s\n", error.text);
        return AMB_PROCESS_BAD_CONFIGURATION;
    }
    if (command_line.check_only) {
        printf("%s: settings can be used\n", command_line.settings_path);
        return AMB_PROCESS_OK;
    }
    return run(&node);
}
