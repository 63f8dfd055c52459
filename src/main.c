#include "amberpin/base/log.h"
#include "amberpin/cloud_duty/duty_options.h"
#include "amberpin/config/command_line.h"
#include "amberpin/node/fleet_capacity.h"
#include "amberpin/node/node.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

int main(int argc, char **argv) {
    static struct amb_node node;
    struct amb_command_line cli;
    char err[512];
    amb_command_line_parse(argc, argv, &cli);
    amb_log_init(getenv("LOG_LEVEL"));
    amb_options_set_defaults(&node.options);
    if (!amb_settings_load(cli.settings_path, &node.settings, err, sizeof err) ||
        (cli.options_path && !amb_options_load(cli.options_path, &node.options, err, sizeof err)) ||
        !amb_duties_check_options(&node.settings, &node.options, cli.options_path, err, sizeof err) ||
        !amb_zone_recovery_check(&node.settings, &node.options, cli.options_path, err, sizeof err) ||
        !amb_capacity_check(&node.settings, &node.options, cli.settings_path, err, sizeof err)) {
        fprintf(stderr, "amberpin: %s\n", err);
        return 2;
    }
    if (cli.check_only) {
        printf("%s: settings can be used\n", cli.settings_path);
        return 0;
    }
    signal(SIGPIPE, SIG_IGN);
    amb_loop_init();
    if (amb_node_start(&node, err, sizeof err) < 0) {
        fprintf(stderr, "amberpin: %s\n", err);
        return 1;
    }
    amb_info("amberpin %s: node %s serves at %s", AMB_VERSION, node.settings.member,
             node.settings.api_listen);
    amb_loop_run();
    return 0;
}
