#include "amberpin/fleet/agent_commands.h"

#include "amberpin/codec/messages.h"
#include "amberpin/job/cancellation_notice.h"
#include "amberpin/node/node.h"

#include <string.h>

enum { ORDERS_PUSHED = 32 };

/* ---- what is ordered ---- */

void amb_orders_add(struct amb_orders *orders, enum amb_op op, const char *ref, uint32_t index,
                    uint64_t attempt, double grace_s) {
    if (orders->count == orders->capacity) return;
    struct amb_order *order = &orders->list[orders->count++];
    order->op = op;
    strcpy(order->ref, ref);
    order->index = index;
    order->attempt = attempt;
    order->grace_s = grace_s;
}

bool amb_gang_recorded(const struct amb_job *job) {
    for (uint32_t i = 0; i < job->spec->tasks; i++) {
        const struct amb_task *task = &job->tasks[i];
        if (!task->done && (!task->machine || task->state == AMB_TASK_PLACED)) return false;
    }
    return true;
}

void amb_orders_add_start(struct amb_node *node, struct amb_task *task, struct amb_orders *orders) {
    struct amb_job *job = task->job;
    const struct amb_machine *machine = task->machine;
    if (!amb_may_order_start(node) || !node->ctl.ready) return;
    if (machine->release_wanted || machine->state == AMB_MACHINE_RELEASING) return;
    if (job->spec->kind == AMB_GANG && !amb_gang_recorded(job)) return;
    if (amb_cancel_is_pending(node, job)) return;
    if (orders->count == orders->capacity) return; /* not sent: it goes out with the next report */
    task->sent = true;
    amb_orders_add(orders, AMB_OP_RUN, job->ref, task->index, task->attempt, 0);
}

/* ---- answers to reports ---- */

void amb_orders_answer(struct amb_http_req *req, uint64_t term, const struct amb_orders *orders) {
    struct amb_buf b = {0};
    amb_w_map(&b, 2);
    amb_w_str(&b, "baton");
    amb_w_uint(&b, term);
    amb_w_str(&b, "orders");
    amb_codec_put_orders(&b, orders->list, orders->count);
    amb_reply_cbor(req, 200, &b, 0);
}

void amb_orders_redirect(struct amb_node *node, struct amb_http_req *req) {
    const char *leader = amb_leader_name(node);
    if (node->election.role == AMB_ROLE_FENCED) {
        amb_reply_cbor(req, 503, NULL, 1);
        return;
    }
    struct amb_buf b = {0};
    amb_w_map(&b, leader ? 1 : 0);
    if (leader) {
        amb_w_str(&b, "harbour");
        amb_w_str(&b, leader);
    }
    amb_reply_cbor(req, 421, &b, 0);
}

/* ---- /commands ---- */

static void commanded(void *arg, int status, const char *body, size_t len) {
    /* What counts is the report that the machine sends next. */
    (void)arg, (void)status, (void)body, (void)len;
}

void amb_orders_command(struct amb_node *node, const struct amb_machine *machine, uint64_t session,
                        const struct amb_orders *orders) {
    struct amb_buf b = {0};
    amb_w_map(&b, 3);
    amb_w_str(&b, "baton");
    amb_w_uint(&b, node->election.term);
    amb_w_str(&b, "watch");
    amb_w_uint(&b, session);
    amb_w_str(&b, "orders");
    amb_codec_put_orders(&b, orders->list, orders->count);
    amb_http_call(machine->addr, "POST", "/commands", "application/cbor", b.data, b.len,
                  amb_secs(node->set.report_s), commanded, NULL);
    amb_buf_free(&b);
}

/* A late stop does no harm: it names an attempt that was to stop anyway. (Starts only ever go out in
 * answers.) */
void amb_orders_push_halts(struct amb_node *node, struct amb_machine *machine) {
    struct amb_orders orders = {(struct amb_order[ORDERS_PUSHED]){{0}}, ORDERS_PUSHED, 0};
    machine->halts_due = false;
    for (struct amb_task *task = machine->tasks; task; task = task->next)
        if (task->halting && task->state == AMB_TASK_SEEN)
            amb_orders_add(&orders, AMB_OP_HALT, task->job->ref, task->index, task->attempt, task->grace_s);
    if (!orders.count || !machine->token_shown || !machine->addr[0]) return;
    amb_orders_command(node, machine, machine->session, &orders);
}
