/* Controllers as child processes: their settings, start, pause and end. */
#include "proof.h"

#include "amberpin/base/log.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum { PATH_SIZE = 512, DRIFT_PPM = 500 /* the protocol allows 0.05% */, OFFSET_MOST_MS = 1000000000 };

/* Reserves a port that the kernel chooses. The socket stays bound and never listens, so a controller can
 * listen there, also after it was killed and started again. */
static void reserve(char address[PROOF_ADDRESS]) {
    struct sockaddr_in bound = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof bound;
    int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (fd < 0 || bind(fd, (struct sockaddr *)&bound, size) < 0 ||
        getsockname(fd, (struct sockaddr *)&bound, &size) < 0)
        abort();
    snprintf(address, PROOF_ADDRESS, "127.0.0.1:%u", ntohs(bound.sin_port));
}

static void file_of(char path[PATH_SIZE], int node, const char *suffix) {
    snprintf(path, PATH_SIZE, "%s/n%d%s", run.plan->directory, node, suffix);
}

static FILE *create(const char *path) {
    FILE *out = fopen(path, "w");
    if (out) return out;
    fprintf(stderr, "duty_proof: %s can't be written\n", path);
    exit(2);
}

static void write_settings(int node) {
    const struct proof_controller *controller = &run.controllers[node];
    char path[PATH_SIZE];
    file_of(path, node, ".toml");
    FILE *out = create(path);
    fprintf(out, "member = \"n%d\"\narea = \"%s\"\nfront = \"%s\"\ncluster_listen = \"%s\"\n", node,
            sim_zone_name(sim_zone_of_node(node)), controller->front, controller->cluster);
    for (int i = 0; i < run.plan->controllers; i++)
        if (i != node)
            fprintf(out, "[[others]]\nmember = \"n%d\"\narea = \"%s\"\naddr = \"%s\"\n", i,
                    sim_zone_name(sim_zone_of_node(i)), run.controllers[i].cluster);
    fprintf(out, "[endpoints]\ncloud = \"%s\"\nstate = \"%s\"\n", controller->cloud, controller->state);
    fprintf(out, "[params]\nzones = [\"a\", \"b\"]\nskew_ms = 5.0\n");
    for (int i = 0; i < SIM_TEAMS; i++)
        fprintf(out,
                "[[params.teams]]\nname = \"team-%d\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = %d.0\ngpus_max = "
                "%d.0\n",
                i, sim_team_limit() / 3, sim_team_limit());
    fprintf(out,
            "[params.workers]\nreport_s = %.3f\nlease_s = %.3f\ngang_wait_s = 20.0\ngang_peer_s = 5.0\n"
            "cancel_s = %.3f\n",
            PROOF_REPORT_MS / 1e3, PROOF_LEASE_MS / 1e3, PROOF_CANCEL_MS / 1e3);
    fprintf(out, "[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = 2.5\ntxn_ops = 8\n",
            world.size->store_rps, world.size->store_write_rps);
    fprintf(out, "[params.cloud]\nrps = %.1f\nlist_lag_s = %.3f\n", world.size->cloud_rps,
            (double)sim_cloud_timing.list_lag / 1e3);
    fprintf(out, "[params.quota]\ncores = 1.0\nmemory_mb = 64.0\nfd_limit = 500\n");
    fclose(out);
}

static void write_options(int node) {
    char path[PATH_SIZE];
    file_of(path, node, ".xml");
    FILE *out = create(path);
    fprintf(out, "<amberpin>\n<leader-ttl value=\"%s\"/>\n<headroom value=\"0\"/>\n", PROOF_LEADER_TTL);
    if (run.plan->duties)
        fprintf(out, "<duties value=\"1\"/>\n<duty-lease value=\"%s\"/>\n", PROOF_LEADER_TTL);
    fprintf(out, "</amberpin>\n");
    fclose(out);
}

void proof_controllers_prepare(void) {
    for (int i = 0; i < run.plan->controllers; i++) {
        reserve(run.controllers[i].front);
        reserve(run.controllers[i].cluster);
    }
    for (int i = 0; i < run.plan->controllers; i++) {
        write_settings(i);
        write_options(i);
    }
}

/* A controller keeps the program of its number, also when it is started again. */
static const char *program_of(int node) {
    return run.plan->other && node % 2 ? run.plan->other : run.plan->program;
}

/* Runs the controller in the child process. Its steady clock has an offset and is fast, exact or slow. */
static void become_controller(int node, double ppm, long long offset) {
    char settings[PATH_SIZE], options[PATH_SIZE], log[PATH_SIZE], text[32];
    file_of(settings, node, ".toml");
    file_of(options, node, ".xml");
    file_of(log, node, ".log");
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    snprintf(text, sizeof text, "%g", ppm);
    setenv("AMB_TEST_CLOCK_PPM", text, 1);
    snprintf(text, sizeof text, "%lld", offset);
    setenv("AMB_TEST_CLOCK_OFFSET_MS", text, 1);
    setenv("LOG_LEVEL", run.plan->log_level, 1);
    const char *program = program_of(node);
    execl(program, program, "--config", settings, "--options", options, (char *)NULL);
    _exit(127);
}

void proof_controller_start(int node) {
    struct proof_controller *controller = &run.controllers[node];
    if (controller->pid) return;
    double ppm = (double)sim_random_between(-1, 1) * DRIFT_PPM;
    long long offset = sim_random_between(0, OFFSET_MOST_MS);
    controller->paused = false;
    controller->pid = fork();
    if (controller->pid == 0) become_controller(node, ppm, offset);
    if (controller->pid < 0) abort();
}

static double ms_of(struct timeval time) {
    return (double)time.tv_sec * 1e3 + (double)time.tv_usec / 1e3;
}

/* Reads the peak memory from /proc: the maximum of wait4 includes the memory of this process before exec. */
static void note_memory(struct proof_controller *controller) {
    char path[64], line[128];
    long kb;
    snprintf(path, sizeof path, "/proc/%d/status", (int)controller->pid);
    FILE *status = fopen(path, "r");
    while (status && fgets(line, sizeof line, status))
        if (sscanf(line, "VmHWM: %ld", &kb) == 1 && kb > controller->usage.memory_kb)
            controller->usage.memory_kb = kb;
    if (status) fclose(status);
}

void proof_controller_kill(int node) {
    struct proof_controller *controller = &run.controllers[node];
    if (!controller->pid) return;
    note_memory(controller);
    kill(controller->pid, SIGKILL);
    struct rusage used;
    if (wait4(controller->pid, NULL, 0, &used) == controller->pid)
        controller->usage.processor_ms += ms_of(used.ru_utime) + ms_of(used.ru_stime);
    controller->pid = 0;
}

void proof_controller_pause(int node) {
    struct proof_controller *controller = &run.controllers[node];
    if (!controller->pid) return;
    kill(controller->pid, SIGSTOP);
    controller->paused = true;
}

void proof_controller_resume(int node) {
    struct proof_controller *controller = &run.controllers[node];
    if (!controller->pid || !controller->paused) return;
    kill(controller->pid, SIGCONT);
    controller->paused = false;
}

void proof_controllers_watch(void) {
    int status;
    for (int i = 0; i < run.plan->controllers; i++) {
        pid_t pid = run.controllers[i].pid;
        if (!pid || waitpid(pid, &status, WNOHANG) != pid) continue;
        run.controllers[i].pid = 0;
        sim_report_violation("n%d ended by itself, status %d", i, status);
    }
}

void proof_controllers_end(void) {
    for (int i = 0; i < run.plan->controllers; i++) proof_controller_kill(i);
}
