#include "node_fixture.h"
#include "bare_node.h"
#include "check.h"

struct amb_node *node;
struct amb_order orders[FIXTURE_ORDERS];
size_t norders;

struct amb_job *add_job(const char *ref, enum amb_kind kind, uint32_t tasks) {
    struct amb_job *j = amb_alloc(sizeof *j);
    strcpy(j->ref, ref);
    j->spec = amb_alloc(sizeof *j->spec);
    node->jobs.described++;
    strcpy(j->spec->ref, ref);
    strcpy(j->spec->image, "img");
    j->spec->kind = kind;
    j->spec->tasks = tasks;
    j->spec->each = (struct amb_res){8, 1, 40};
    j->spec->checkpoint_s = 10;
    j->spec->save_s = 2;
    j->team = &node->set.teams[0];
    HASH_ADD_STR(node->jobs.all, ref, j);
    amb_job_take(node, j);
    return j;
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
    node->election.role = AMB_ROLE_LEADING;
    node->election.term = TERM;
    node->election.ttl = 3600000;
    node->election.fence_after = 19000;
    node->election.shun_for = 10000;
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
    struct amb_report r = {.session = session, .seq = seq, .token = token, .notice_s = -1, .ntasks = ntasks};
    strcpy(r.machine, machine);
    strcpy(r.addr, "127.0.0.1:1");
    strcpy(r.type, "g8");
    strcpy(r.zone, "a");
    r.tasks = (struct amb_seen *)tasks;
    return amb_fleet_report(node, &r, now, orders, ROWS(orders), &norders);
}

size_t count_orders(enum amb_op op) {
    size_t n = 0;
    for (size_t i = 0; i < norders; i++) n += orders[i].op == op;
    return n;
}

struct amb_task *bound(struct amb_job *j, uint32_t i, const char *machine, uint64_t attempt) {
    amb_task_bind(node, &j->tasks[i], amb_machine_get(node, machine, true), attempt, AMB_TASK_BOUND);
    return &j->tasks[i];
}

struct amb_seen listing(const char *ref, uint32_t index, uint64_t attempt, enum amb_on on, enum amb_why why) {
    struct amb_seen s = {.index = index, .attempt = attempt, .on = on, .why = why};
    strcpy(s.ref, ref);
    return s;
}
