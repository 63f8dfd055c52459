/* A controller loses the state service and the other controllers, not its workers or users. Users poll every 5 s over the
 * connection that the load balancer gave them. Is every poll for a job failed for 90 s while most others are answered? */
#include "../standin-2/world.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { USERS = 6, POLL_MS = 5000, CUT_MS = 103000, RULE_MS = 90000, START_MS = 15000 };

struct owner {
    struct user user;
    struct job_form form;
    bool accepted;
    ms_t failing_since; /* of the first of the failed polls in a row; 0: the last poll was answered */
    ms_t longest;
};
static struct owner owners[USERS];
static int polls_answered, polls_failed, cut_node = -1;
static bool counting;

static void submit(void *arg, uint64_t extra);

static void on_submitted(void *arg, int status, const char *body, size_t len) {
    struct owner *o = arg;
    (void)body, (void)len;
    note("user of %s at node-%d: submission answered %d", o->form.ref, o->user.node, status);
    if (status == 200 || status == 201) o->accepted = true;
    else after(1000, submit, o, 0);
}

static void submit(void *arg, uint64_t extra) {
    struct owner *o = arg;
    struct buf b = {0};
    (void)extra;
    submit_body(&b, &o->form);
    user_call(&o->user, "POST", "/v1/jobs", &b, 5000, on_submitted, o);
    buf_free(&b);
}

static void on_polled(void *arg, int status, const char *body, size_t len) {
    struct owner *o = arg;
    struct val *v = len ? cbor_parse(body, len) : NULL;
    note("user of %s at node-%d: poll answered %d %s", o->form.ref, o->user.node, status, map_text(v, "stance"));
    val_free(v);
    if (!counting) return;
    if (status == 200) {
        polls_answered++;
        o->failing_since = 0;
        return;
    }
    polls_failed++;
    if (!o->failing_since) o->failing_since = now_ms();
    if (now_ms() - o->failing_since > o->longest) o->longest = now_ms() - o->failing_since;
}

static void poll_job(void *arg, uint64_t extra) {
    struct owner *o = arg;
    char path[128];
    (void)extra;
    after(POLL_MS, poll_job, o, 0);
    if (client_is_busy(o->user.client)) return;
    snprintf(path, sizeof path, "/v1/jobs/%s", o->form.ref);
    user_call(&o->user, "GET", path, NULL, 2000, on_polled, o);
}

static bool all_accepted(void) {
    for (int i = 0; i < USERS; i++) if (!owners[i].accepted) return false;
    return true;
}

static bool ready(void) { return leader_node() >= 0 && pick_node() >= 0 && since_start() > 4000; }

static void set_cut(bool on) {
    note("trouble: node-%d %s the state service and the other controllers", cut_node, on ? "is cut off from" : "reaches again");
    for (int n = 0; n < deployment.nodes; n++) {
        peers_set(cut_node, n, on ? PROXY_HOLD : PROXY_PASS);
        peers_set(n, cut_node, on ? PROXY_HOLD : PROXY_PASS);
    }
    state_set(cut_node, on ? STATE_HELD : STATE_SERVES);
}

int main(int argc, char **argv) {
    bool trouble = argc > 3 && atoi(argv[3]);
    if (argc < 4) return 2;
    signal(SIGPIPE, SIG_IGN);
    deployment = (struct deployment){.nodes = 3, .memory_mb = 40, .report_s = 1, .lease_s = 10, .cancel_s = 35, .rps = 200,
        .write_rps = 25, .value_kb = 16, .txn_ops = 20, .zones = {"butetown", "llanishen"}, .machines = 2, .teams = 1,
        .team = {{"rider-care", 40, 80}}};
    world_open(argv[1], argv[2]);
    for (int n = 0; n < 3; n++) controller_start(n);
    loop_until(started_at + START_MS, ready);
    if (!ready()) { note("no leader"); controllers_end(); return 2; }
    for (int i = 0; i < USERS; i++) {
        struct owner *o = &owners[i];
        o->form = (struct job_form){.berth = "rider-help", .crew = "rider-care", .shape = "daemon", .rank = "prod", .legs = 1,
                                    .vcpus = 8, .accelerators = 2, .ram_gb = 40};
        snprintf(o->form.ref, sizeof o->form.ref, "wk-%06d", 101 + i);
        submit(o, 0);
    }
    loop_until(started_at + START_MS, all_accepted);
    if (!all_accepted()) { note("not all jobs were accepted"); controllers_end(); return 2; }
    for (int i = 0; i < USERS; i++) after(200 + i * POLL_MS / USERS, poll_job, &owners[i], 0);
    loop_until(now_ms() + POLL_MS + 500, NULL); /* every user has polled once */
    for (int n = 0; n < deployment.nodes; n++)
        if (n != leader_node())
            for (int i = 0; i < USERS; i++) if (owners[i].user.node == n) cut_node = n;
    if (cut_node < 0) { note("no user is at a controller that does not lead"); controllers_end(); return 2; }
    counting = true;
    if (trouble) set_cut(true);
    loop_until(now_ms() + CUT_MS, NULL);
    counting = false;
    if (trouble) set_cut(false);
    loop_until(now_ms() + 1000, NULL);
    bool alive = controllers_alive();
    controllers_end();
    int broken = 0;
    for (int i = 0; i < USERS; i++) {
        note("%s: polls failed in a row for at most %.1f s", owners[i].form.ref, (double)owners[i].longest / 1000);
        if (owners[i].longest >= RULE_MS) broken++;
    }
    note("polls answered %d, failed %d", polls_answered, polls_failed);
    if (!alive) return 2;
    if (broken && polls_answered > polls_failed) {
        note("BROKEN forgotten: every poll for %d jobs failed for 90 s while most others were answered", broken);
        return 1;
    }
    note("held");
    return 0;
}
