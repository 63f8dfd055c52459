/* Jobs of a class come several times as often, large arrays among them, each within the 100,000 tasks that a job may have. All
 * are accepted, and run as far as their team's limit allows. Is a service of another team, accepted afterwards, left waiting
 * for 90 s while a machine that fits has room and its team uses nothing? */
#include "../standin-2/world.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ARRAYS = 18, START_MS = 15000, RULE_MS = 90000 };

struct owner { struct user user; struct job_form form; bool accepted; ms_t accepted_at, started_at; };
static struct owner arrays[ARRAYS], service;
static int submitted, submitted_before;

static void submit(void *arg, uint64_t extra);

static void on_submitted(void *arg, int status, const char *body, size_t len) {
    struct owner *o = arg;
    (void)body, (void)len;
    note("%s of %d tasks at node-%d: submission answered %d", o->form.ref, o->form.legs, o->user.node, status);
    if (status != 200 && status != 201) { after(1000, submit, o, 0); return; }
    o->accepted = true;
    o->accepted_at = now_ms();
    submitted++;
}

static void submit(void *arg, uint64_t extra) {
    struct owner *o = arg;
    struct buf b = {0};
    (void)extra;
    submit_body(&b, &o->form);
    user_call(&o->user, "POST", "/v1/jobs", &b, 5000, on_submitted, o);
    buf_free(&b);
}

static void on_start(int machine, const char *leg) {
    size_t len = strlen(service.form.ref);
    if (strncmp(leg, service.form.ref, len) || leg[len] != '/' || service.started_at) return;
    service.started_at = now_ms();
    note("the service's task starts on %s", machine_view(machine).name);
}

static bool ready(void) { return leader_node() >= 0 && pick_node() >= 0 && since_start() > 4000; }
static bool one_more(void) { return submitted > submitted_before; }
static bool service_runs(void) { return service.started_at != 0; }

static double seconds_of(const char *leg) { (void)leg; return 600; }

static int submit_and_wait(struct owner *o) {
    submitted_before = submitted;
    submit(o, 0);
    loop_until(now_ms() + 8000, one_more);
    return o->accepted;
}

int main(int argc, char **argv) {
    bool trouble = argc > 3 && atoi(argv[3]);
    if (argc < 4) return 2;
    signal(SIGPIPE, SIG_IGN);
    deployment = (struct deployment){.nodes = 3, .memory_mb = 40, .report_s = 1, .lease_s = 10, .cancel_s = 35, .rps = 200,
        .write_rps = 25, .value_kb = 16, .txn_ops = 20, .zones = {"butetown", "llanishen"}, .machines = 2, .teams = 2,
        .team = {{"rider-care", 40, 80}, {"van-crews", 2, 4}}};
    on_task_start = on_start;
    run_seconds = seconds_of;
    world_open(argv[1], argv[2]);
    for (int n = 0; n < 3; n++) controller_start(n);
    loop_until(started_at + START_MS, ready);
    if (!ready()) { note("no leader"); controllers_end(); return 2; }
    for (int i = 0; i < ARRAYS; i++) {
        struct owner *o = &arrays[i];
        o->form = (struct job_form){.berth = "message-sweep", .crew = "van-crews", .shape = "batch", .rank = "normal",
                                    .legs = i ? 1 << (ARRAYS - 1 - i) : 100000, .vcpus = 4, .accelerators = 1, .ram_gb = 20};
        if (!trouble) o->form.legs = o->form.legs > 87 ? 87 : o->form.legs; /* the class as it usually is */
        snprintf(o->form.ref, sizeof o->form.ref, "wk-%06d", 301 + i);
        if (!submit_and_wait(o)) { note("not accepted"); controllers_end(); return 2; }
    }
    service.form = (struct job_form){.berth = "rider-help", .crew = "rider-care", .shape = "daemon", .rank = "prod", .legs = 1,
                                     .vcpus = 8, .accelerators = 2, .ram_gb = 40};
    snprintf(service.form.ref, sizeof service.form.ref, "wk-%06d", 400);
    if (!submit_and_wait(&service)) { note("not accepted"); controllers_end(); return 2; }
    loop_until(now_ms() + RULE_MS + 2000, service_runs);
    bool alive = controllers_alive();
    int busy = 0, up = 0;
    for (int m = 0; m < MACHINES_MAX; m++)
        if (machine_view(m).up) {
            up++;
            busy += machine_view(m).tasks;
            note("%s has %d tasks of 1 GPU of its 8, of 4 CPUs of its 48", machine_view(m).name, machine_view(m).tasks);
        }
    controllers_end();
    if (!alive) return 2;
    if (service.started_at) {
        note("the service started %.1f s after it was accepted", (double)(service.started_at - service.accepted_at) / 1000);
        note("held");
        return 0;
    }
    if (!up || busy > 4) { note("no machine has room"); return 2; }
    note("BROKEN: a service was left waiting for 90 s while a machine that fits has room and its team uses nothing");
    return 1;
}
