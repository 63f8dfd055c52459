/* Connections between controllers are refused. Users submit jobs at one controller and cancel them soon after; the state
 * service answers one question of the leader a few hundred ms late each time. Is a task started after its user was told that
 * the job is cancelled? */
#include "../standin-2/world.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { TRIALS = 24, EVERY_MS = 3000, CANCEL_AFTER_MS = 150, SLOW_MS = 400, START_MS = 15000 };

struct trial {
    struct user *user;
    struct job_form form;
    ms_t confirmed_at;
    bool accepted, started_before, in_flight, started_after;
};
static struct trial trials[TRIALS];
static struct user *user;
static int next_trial, finished;

static struct trial *trial_of(const char *leg) {
    for (int i = 0; i < next_trial; i++) {
        size_t len = strlen(trials[i].form.ref);
        if (!strncmp(leg, trials[i].form.ref, len) && leg[len] == '/') return &trials[i];
    }
    return NULL;
}

static void on_run_order(int machine, const char *leg, uint64_t attempt) {
    struct trial *t = trial_of(leg);
    (void)attempt;
    if (!t) return;
    if (!t->confirmed_at) { t->started_before = true; return; }
    /* An answer to a report of before may have been on its way. */
    if (last_report_at[machine] <= t->confirmed_at) { t->in_flight = true; return; }
    t->started_after = true;
    note("VIOLATION: %s is ordered to run %s %lld ms after the user was told that the job is cancelled, in answer to a report of "
         "%lld ms after",
         machine_view(machine).name, leg, (long long)(now_ms() - t->confirmed_at), (long long)(last_report_at[machine] - t->confirmed_at));
}

/* The state service's answer that tells the leader of this cancellation takes a few hundred ms. */
static void on_commit(int node, const struct val *transaction) {
    const struct val *then = map_get(transaction, "then");
    for (size_t i = 0; then && i < then->count; i++) {
        const char *path = map_text(then->items[i], "put");
        for (int t = 0; t < next_trial; t++)
            if (trials[t].accepted && !strncmp(path, "a/job/", 6) && !strcmp(path + 6, trials[t].form.ref) && node != leader_node()) {
                note("state: node-%d has written the cancellation of %s; the leader's next answer takes %d ms", node,
                     trials[t].form.ref, SLOW_MS);
                follow_slow(leader_node(), SLOW_MS, 20);
            }
    }
}

static void cancel(void *arg, uint64_t extra);

static void on_cancelled(void *arg, int status, const char *body, size_t len) {
    struct trial *t = arg;
    struct val *v = len ? cbor_parse(body, len) : NULL;
    note("user of %s at node-%d: cancellation answered %d %s", t->form.ref, t->user->node, status, map_text(v, "stance"));
    if (status == 200 && !strcmp(map_text(v, "stance"), "cancelled")) { t->confirmed_at = now_ms(); finished++; }
    else if (status == 200) finished++;
    else after(1000, cancel, t, 0);
    val_free(v);
}

static void cancel(void *arg, uint64_t extra) {
    struct trial *t = arg;
    char path[128];
    (void)extra;
    snprintf(path, sizeof path, "/v1/jobs/%s/cancel", t->form.ref);
    user_call(t->user, "POST", path, NULL, 5000, on_cancelled, t);
}

static void on_submitted(void *arg, int status, const char *body, size_t len) {
    struct trial *t = arg;
    (void)body, (void)len;
    note("user of %s at node-%d: submission answered %d", t->form.ref, t->user->node, status);
    if (status != 200 && status != 201) { finished++; return; }
    t->accepted = true;
    after(CANCEL_AFTER_MS, cancel, t, 0);
}

static void begin_trial(void *arg, uint64_t extra) {
    (void)arg, (void)extra;
    if (next_trial == TRIALS) return;
    after(EVERY_MS + rand() % 500, begin_trial, NULL, 0);
    if (client_is_busy(user->client)) return;
    struct trial *t = &trials[next_trial];
    struct buf b = {0};
    t->user = user;
    t->form = (struct job_form){.berth = "message-sweep", .crew = "van-crews", .shape = "batch", .rank = "normal", .legs = 1,
                                .vcpus = 4, .accelerators = 1, .ram_gb = 20};
    snprintf(t->form.ref, sizeof t->form.ref, "wk-%06d", 201 + next_trial++);
    submit_body(&b, &t->form);
    user_call(t->user, "POST", "/v1/jobs", &b, 5000, on_submitted, t);
    buf_free(&b);
}

static bool ready(void) { return leader_node() >= 0 && pick_node() >= 0 && since_start() > 5000; }
static bool all_finished(void) { return finished == TRIALS; }
static void ignore(void *arg, int status, const char *body, size_t len) { (void)arg, (void)status, (void)body, (void)len; }

int main(int argc, char **argv) {
    bool trouble = argc > 3 && atoi(argv[3]);
    if (argc < 4) return 2;
    signal(SIGPIPE, SIG_IGN);
    deployment = (struct deployment){.nodes = 3, .memory_mb = 40, .report_s = 1, .lease_s = 10, .cancel_s = 35, .rps = 200,
        .write_rps = 25, .value_kb = 16, .txn_ops = 20, .zones = {"butetown", "llanishen"}, .machines = 2, .teams = 1,
        .team = {{"van-crews", 64, 136}}};
    on_run = on_run_order;
    on_commit_done = on_commit;
    world_open(argv[1], argv[2]);
    for (int n = 0; n < 3; n++) controller_start(n);
    loop_until(started_at + START_MS, ready);
    if (!ready()) { note("no leader"); controllers_end(); return 2; }
    /* The user's connection: one to a controller that does not lead. */
    static struct user others[3];
    for (int i = 0; i < 3; i++) {
        user_call(&others[i], "GET", "/v1/jobs/wk-000001", NULL, 2000, ignore, NULL);
        loop_until(now_ms() + 200, NULL);
        if (others[i].node != leader_node()) user = &others[i];
    }
    if (!user) { note("the user is at the leader"); controllers_end(); return 2; }
    /* A standing service keeps a machine in use. */
    static struct user keeper;
    struct job_form standing = {.ref = "wk-000200", .berth = "rider-help", .crew = "van-crews", .shape = "daemon", .rank = "prod",
                                .legs = 1, .vcpus = 8, .accelerators = 2, .ram_gb = 40};
    struct buf b = {0};
    submit_body(&b, &standing);
    user_call(&keeper, "POST", "/v1/jobs", &b, 5000, ignore, NULL);
    buf_free(&b);
    loop_until(now_ms() + 2000, NULL);
    note("the user is at node-%d, node-%d leads", user->node, leader_node());
    if (trouble) {
        note("trouble: connections between controllers are refused");
        for (int a = 0; a < 3; a++) for (int b = 0; b < 3; b++) peers_set(a, b, PROXY_REFUSE);
    }
    loop_until(now_ms() + 2000, NULL);
    begin_trial(NULL, 0);
    loop_until(started_at + 110000, all_finished);
    loop_until(now_ms() + 2000, NULL);
    bool alive = controllers_alive();
    controllers_end();
    int before = 0, flying = 0, later = 0, confirmed = 0;
    for (int i = 0; i < next_trial; i++) {
        confirmed += trials[i].confirmed_at != 0;
        before += trials[i].started_before;
        flying += trials[i].in_flight;
        later += trials[i].started_after;
    }
    note("%d jobs, %d confirmed as cancelled, %d started before that, %d perhaps in flight, %d ordered after", next_trial, confirmed, before,
         flying, later);
    if (!alive || confirmed < TRIALS / 2) return 2;
    if (later) {
        note("BROKEN: tasks were started after their users were told that the job is cancelled");
        return 1;
    }
    note("held");
    return 0;
}
