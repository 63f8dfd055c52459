#include "node_fixture.h"
#include "bare_node.h"
#include "check.h"

struct amb_node *node;
struct amb_order orders[FIXTURE_ORDERS];
size_t norders;

struct amb_job *add_job(const char *ref, enum amb_kind kind, uint32_t tasks) {
    struct amb_job *job = amb_alloc(sizeof *job);
    strcpy(job->ref, ref);
    job->spec = amb_alloc(sizeof *job->spec);
    node->jobs.described++;
    strcpy(job->spec->ref, ref);
    strcpy(job->spec->image, "img");
    job->spec->kind = kind;
    job->spec->tasks = tasks;
    job->spec->each = (struct amb_res){8, 1, 40};
    job->spec->checkpoint_s = 10;
    job->spec->save_s = 2;
    job->team = &node->set.teams[0];
    HASH_ADD_STR(node->jobs.all, ref, job);
    amb_job_take(node, job);
    return job;
}

int setup(void **state) {
    (void)state;
    amb_loop_init();
    node = bare_node_new();
    node->set.nteams = 1;
    node->set.report_s = 1;
    node->set.lease_s = 10;
    node->set.cancel_s = 30;
    node->set.value_kb = 8;
    node->set.memory_mb = 40;
    node->set.txn_ops = 8;
    node->catalog.ntypes = 1;
    strcpy(node->catalog.types[0].name, "g8");
    node->catalog.types[0].size = (struct amb_res){96, 8, 576};
    node->rental.catalog_known = true;
    node->election.role = AMB_ROLE_LEADER;
    node->election.term = TERM;
    node->election.ttl = 3600000;
    node->election.fence_after = 19000;
    node->election.yield_for = 10000;
    node->election.renewed_at = amb_now();
    node->ctl.loaded_at = 1;
    node->ctl.ready = true;
    return 0;
}

int teardown(void **state) {
    (void)state;
    /* The loop never runs, so no timer fires and no call goes out. */
    amb_controller_stop(node, "end of test");
    bare_node_free(node);
    return 0;
}

bool report(const char *machine, uint64_t session, uint64_t seq, uint64_t token, amb_ms now,
            const struct amb_seen *tasks, size_t ntasks) {
    struct amb_report heartbeat = {
        .session = session, .seq = seq, .token = token, .notice_s = -1, .ntasks = ntasks};
    strcpy(heartbeat.machine, machine);
    strcpy(heartbeat.addr, "127.0.0.1:1");
    strcpy(heartbeat.type, "g8");
    strcpy(heartbeat.zone, "a");
    heartbeat.tasks = (struct amb_seen *)tasks;
    return amb_fleet_report(node, &heartbeat, now, orders, ROWS(orders), &norders);
}

size_t count_orders(enum amb_op op) {
    size_t n = 0;
    for (size_t i = 0; i < norders; i++) n += orders[i].op == op;
    return n;
}

struct amb_task *bound(struct amb_job *job, uint32_t i, const char *machine, uint64_t attempt) {
    amb_task_bind(node, &job->tasks[i], amb_machine_get(node, machine, true), attempt, AMB_TASK_BOUND);
    return &job->tasks[i];
}

struct amb_seen listing(const char *ref, uint32_t index, uint64_t attempt, enum amb_on on, enum amb_why why) {
    struct amb_seen s = {.index = index, .attempt = attempt, .on = on, .why = why};
    strcpy(s.ref, ref);
    return s;
}
