#include "amberpin/agent/heartbeats.h"

#include "amberpin/agent/task_status.h"
#include "amberpin/base/log.h"
#include "amberpin/node/node.h"

#include <string.h>

static struct amb_report_order order_of(const struct amb_report *heartbeat) {
    return (struct amb_report_order){heartbeat->session, heartbeat->seq};
}

static struct amb_report_order newest_seen(const struct amb_machine *machine) {
    return (struct amb_report_order){machine->session, machine->seq};
}

bool amb_report_is_news(const struct amb_report *heartbeat, const struct amb_machine *machine) {
    return amb_report_newer(order_of(heartbeat), newest_seen(machine));
}

void amb_report_halt_cancelled(struct amb_node *node, const struct amb_report *heartbeat,
                               struct amb_orders *orders) {
    for (size_t i = 0; i < heartbeat->ntasks; i++) {
        const struct amb_seen *listed = &heartbeat->tasks[i];
        const struct amb_job *job = amb_job_find(node, listed->ref);
        if (listed->on != AMB_ON_EXITED && job && job->state == AMB_JOB_CANCELLED)
            amb_orders_add(orders, AMB_OP_HALT, listed->ref, listed->index, listed->attempt, 0);
    }
}

/* ---- the cloud takes the machine back ---- */

static void save_gang(struct amb_node *node, struct amb_job *job) {
    if (job->gang != AMB_GANG_RUNNING) return;
    amb_gang_state(job, AMB_GANG_STOPPING, "a machine of it is taken back");
    for (uint32_t i = 0; i < job->spec->tasks; i++)
        amb_task_halt(node, &job->tasks[i], job->spec->save_s, "its gang saves");
}

static void notice(struct amb_node *node, struct amb_machine *machine, double left_s, amb_ms now) {
    bool first = !machine->notice_until;
    if (first) amb_info("machine %s: the cloud takes it back in %g s", machine->name, left_s);
    machine->notice_until = now + amb_secs(left_s);
    if (!first) return;
    for (struct amb_task *task = machine->tasks, *next; task; task = next) {
        next = task->next;
        struct amb_job *job = task->job;
        if (job->spec->checkpoint_s <= 0 || job->spec->save_s >= left_s)
            continue; /* nothing to save in time */
        if (job->spec->kind == AMB_GANG)
            save_gang(node, job);
        else
            amb_task_halt(node, task, job->spec->save_s, "its machine is taken back");
    }
}

/* ---- the report ---- */

static void learn_machine(struct amb_node *node, struct amb_machine *machine,
                          const struct amb_report *heartbeat) {
    amb_machine_learn_place(node, machine, heartbeat->type, heartbeat->zone);
    machine->spot = heartbeat->spot;
    strcpy(machine->addr, heartbeat->addr);
}

static void note_token(struct amb_machine *machine, bool proven) {
    if (proven) {
        machine->token_shown = true;
        amb_machine_state(machine, AMB_MACHINE_UP, "it shows our token");
    } else if (machine->state == AMB_MACHINE_BOOTING) {
        amb_machine_state(machine, AMB_MACHINE_UNPROVEN, "it reports");
    }
}

/* The tasks that should be there and that the report does not name. */
static void read_unlisted(struct amb_node *node, struct amb_machine *machine,
                          struct amb_report_evidence evidence, struct amb_orders *orders) {
    for (struct amb_task *task = machine->tasks, *next; task; task = next) {
        next = task->next;
        if (task->mark == node->fleet.reports_read) continue;
        task->mark = node->fleet.reports_read;
        uint32_t ntasks = machine->ntasks;
        amb_task_unlisted(node, task, evidence, orders);
        /* A gang torn down meanwhile may take this machine's other tasks with it: begin again. */
        if (machine->ntasks != ntasks) next = machine->tasks;
    }
}

static void read_report(struct amb_node *node, const struct amb_report *heartbeat, amb_ms now,
                        struct amb_orders *orders) {
    struct amb_machine *machine = amb_machine_get(node, heartbeat->machine, true);
    if (!machine) return; /* gone: a late copy */
    learn_machine(node, machine, heartbeat);
    /* Whoever asked gets an answer and may take it as a renewal: so the lease counts from now, even when
     * the report turns out to be a late copy. */
    machine->answered_at = now;
    struct amb_report_order before = newest_seen(machine);
    if (!amb_report_is_news(heartbeat, machine)) {
        amb_debug("machine %s: late copy of report %llu/%llu", machine->name,
                  (unsigned long long)heartbeat->session, (unsigned long long)heartbeat->seq);
        return;
    }
    machine->session = heartbeat->session;
    machine->seq = heartbeat->seq;
    machine->reported_at = now;
    if (!node->ctl.loaded_at) { /* the records are still being read */
        amb_report_halt_cancelled(node, heartbeat, orders);
        return;
    }
    bool proven = heartbeat->token == node->election.term;
    note_token(machine, proven);
    node->fleet.reports_read++;
    const struct amb_report_evidence evidence = {.report = order_of(heartbeat),
                                                 .newest_seen = before,
                                                 .report_term = heartbeat->token,
                                                 .our_term = node->election.term};
    machine->keeps_result = false;
    for (size_t i = 0; i < heartbeat->ntasks; i++)
        amb_task_listed(node, machine, &heartbeat->tasks[i], evidence, orders);
    if (proven) read_unlisted(node, machine, evidence, orders);
    if (heartbeat->notice_s >= 0) notice(node, machine, heartbeat->notice_s, now);
}

bool amb_fleet_report(struct amb_node *node, const struct amb_report *heartbeat, amb_ms now,
                      struct amb_order *orders, size_t capacity, size_t *count) {
    struct amb_orders list = {orders, capacity, 0};
    *count = 0;
    if (heartbeat->token > node->election.term) return false;
    read_report(node, heartbeat, now, &list);
    *count = list.count;
    return true;
}
