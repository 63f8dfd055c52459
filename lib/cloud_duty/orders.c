/* The leader's orders to the holders of duties: rentals that it wants, machines that it gives up, and what
 * came of them. */
#include "amberpin/base/log.h"
#include "amberpin/cloud/machine_release.h"
#include "amberpin/cloud/scale_out.h"
#include "amberpin/duty/node_duties.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/events.h"
#include "amberpin/node/node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A write of an order under way; whoever gets its answer frees it. */
struct order_call {
    struct amb_node *node;
    uint64_t term;
    char id[AMB_DUTY_ORDER_ID];
};

/* Orders are created under the leader's term, and once: the key must not be there. */
static void create(struct amb_node *node, enum amb_duty_name duty, const char *id,
                   const struct amb_duty_work *work, amb_store_callback done) {
    char key[AMB_DUTY_KEY];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    struct amb_duty_order_record order = {.duty = duty, .state = AMB_DUTY_ORDER_WANTED};
    struct order_call *call = amb_alloc(sizeof *call);
    call->node = node;
    call->term = node->election.term;
    snprintf(call->id, sizeof call->id, "%s", id);
    amb_duty_order_key(key, duty, id);
    amb_duty_encode_order(&value, &order, work);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, key, 0);
    amb_txn_put(&transaction, key, &value, 0);
    amb_buf_free(&value);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_PLACEMENT, done, call);
}

/* The node, if it still leads under the term of the call; NULL: not. */
static struct amb_node *take_call(void *arg, struct order_call *call) {
    *call = *(struct order_call *)arg;
    free(arg);
    bool ours = amb_election_has_leader_role(call->node) && call->node->election.term == call->term;
    return ours ? call->node : NULL;
}

/* ---- rentals ---- */

static void rental_created(void *arg, int status, const cbor_item_t *body) {
    struct order_call call;
    struct amb_node *node = take_call(arg, &call);
    struct amb_rental_request *request = node ? amb_rental_request_find(node, call.id) : NULL;
    (void)body;
    if (!request) return;
    request->busy = false;
    if (status == 200)
        request->state = AMB_REQUEST_ASKING;
    else /* it may be there all the same: news tells, or another try under the same name */
        request->retry_at = amb_now() + node->store.call_timeout;
}

static void order_rental(struct amb_node *node, struct amb_rental_request *request) {
    struct amb_duty_work work = {
        .spot = request->spot, .count = request->count, .ordered_wall = amb_wall_ms()};
    strcpy(work.type, node->catalog.types[request->type].name);
    strcpy(work.zone, node->catalog.zones[request->zone]);
    request->busy = true;
    create(node, AMB_DUTY_RENT, request->id, &work, rental_created);
}

void amb_duties_order_rentals(struct amb_node *node, amb_ms now) {
    for (struct amb_rental_request *request = node->cloud.requests; request; request = request->next) {
        bool due = request->state == AMB_REQUEST_RECORDING && !request->busy && now >= request->retry_at;
        if (request->by_order && due) order_rental(node, request);
    }
}

/* False: the catalogue does not know the type, or there is no room for the zone. */
static bool read_kind(struct amb_node *node, const struct amb_duty_work *work, struct amb_rental_kind *out) {
    out->type = amb_catalog_find_type(&node->catalog, work->type);
    out->zone = amb_catalog_find_or_add_zone(&node->catalog, work->zone);
    out->spot = work->spot;
    return out->type >= 0 && out->zone >= 0;
}

static void learn_rented(struct amb_node *node, const struct amb_duty_work *work) {
    struct amb_rental_kind kind;
    if (!read_kind(node, work, &kind)) return;
    for (uint32_t i = 0; i < work->machine_count; i++) amb_rental_learn(node, &kind, work->machines[i]);
}

static void rental_settled(struct amb_node *node, const struct amb_duty_order_record *order,
                           const struct amb_duty_work *work) {
    struct amb_rental_request *request = amb_rental_request_find(node, order->id);
    if (order->result == AMB_DUTY_RESULT_DONE) learn_rented(node, work);
    if (!request) return;
    if (order->result == AMB_DUTY_RESULT_DONE)
        amb_rental_filled(node, request, work->machine_count);
    else if (order->result == AMB_DUTY_RESULT_REFUSED)
        amb_rental_no_capacity(node, request);
    else
        amb_error("rental request %s: the cloud calls it malformed", request->id);
    amb_rental_request_drop(node, request);
    amb_node_request_cycle(node);
}

static void rental_changed(struct amb_node *node, const struct amb_duty_order_record *order,
                           const struct amb_duty_work *work) {
    struct amb_rental_request *request = amb_rental_request_find(node, order->id);
    struct amb_rental_kind kind;
    if (order->state == AMB_DUTY_ORDER_SETTLED) {
        rental_settled(node, order, work);
    } else if (request) {
        request->state = AMB_REQUEST_ASKING;
    } else if (read_kind(node, work, &kind)) {
        amb_rental_request_ordered(node, order->id, &kind, work->count);
    }
}

/* Its record is gone though its end was not heard of, since changes were missed: the list shows what it
 * brought. */
static void rental_forgotten(struct amb_node *node, const struct amb_duty_order_record *order) {
    struct amb_rental_request *request =
        order->duty == AMB_DUTY_RENT ? amb_rental_request_find(node, order->id) : NULL;
    if (request && request->by_order) amb_rental_request_drop(node, request);
}

/* ---- returns ---- */

/* A machine of a return order is never used again, whatever becomes of the order. */
static void mark_returned(struct amb_machine *machine, const char *cause) {
    machine->scale_in_logged = true;
    amb_machine_returning(machine, cause);
}

static void return_changed(struct amb_node *node, const struct amb_duty_order_record *order,
                           const struct amb_duty_work *work) {
    bool gone = order->state == AMB_DUTY_ORDER_SETTLED &&
                (order->result == AMB_DUTY_RESULT_DONE || order->result == AMB_DUTY_RESULT_GONE);
    for (uint32_t i = 0; i < work->machine_count; i++) {
        struct amb_machine *machine = amb_machine_get(node, work->machines[i], !gone);
        if (!machine) continue;
        mark_returned(machine, "a return is on record");
        /* The cloud did not accept it: the machine is not gone, and is given up anew. */
        if (order->state == AMB_DUTY_ORDER_SETTLED) machine->scale_in_logged = false;
        if (gone) amb_machine_post_gone(node, machine, AMB_ABSENCE_RELEASED);
    }
}

void amb_duties_machine_known(struct amb_node *node, struct amb_machine *machine) {
    const struct amb_duty_order_entry *entry = node->duties.service.entries;
    for (; entry; entry = entry->hh.next) {
        if (!entry->record.present || entry->record.duty == AMB_DUTY_RENT) continue;
        for (uint32_t i = 0; i < entry->work.machine_count; i++)
            if (!strcmp(entry->work.machines[i], machine->name))
                mark_returned(machine, "a return is on record");
    }
}

static void return_created(void *arg, int status, const cbor_item_t *body) {
    struct order_call call;
    struct amb_node *node = take_call(arg, &call);
    (void)body;
    if (!node || strcmp(call.id, node->duties.returning.id) != 0) return;
    struct amb_return_order *order = &node->duties.returning;
    order->busy = false;
    order->retry_at = amb_now() + node->store.call_timeout;
    if (status != 200) return; /* news may tell that it is there; else the same again */
    for (uint32_t i = 0; i < order->work.machine_count; i++) {
        struct amb_machine *machine = amb_machine_get(node, order->work.machines[i], false);
        if (machine) mark_returned(machine, "being returned");
    }
    amb_duty_work_free(&order->work);
    memset(order, 0, sizeof *order);
}

static bool fits_order(const struct amb_return_order *order, const struct amb_machine *machine) {
    enum amb_duty_name duty = machine->scale_in_planned ? AMB_DUTY_RETURN : AMB_DUTY_RECLAIM;
    const char *reason = machine->release_reason ? machine->release_reason : "";
    return order->duty == duty && !strncmp(order->work.reason, reason, sizeof order->work.reason - 1);
}

/* Machines that are given up for the same reason go into one order. */
static bool collect(struct amb_node *node) {
    struct amb_return_order *order = &node->duties.returning;
    uint32_t most = amb_duty_machines_most(amb_settings_lowered_limits(&node->settings).value_kb);
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.all, machine, next) {
        if (!machine->release_pending || machine->scale_in_logged || order->work.machine_count == most)
            continue;
        if (!order->work.machine_count) {
            order->duty = machine->scale_in_planned ? AMB_DUTY_RETURN : AMB_DUTY_RECLAIM;
            snprintf(order->work.reason, sizeof order->work.reason, "%s",
                     machine->release_reason ? machine->release_reason : "");
        }
        if (fits_order(order, machine)) amb_duty_work_add_machine(&order->work, machine->name);
    }
    return order->work.machine_count > 0;
}

void amb_duties_order_returns(struct amb_node *node, amb_ms now) {
    struct amb_return_order *order = &node->duties.returning;
    if (order->busy || now < order->retry_at) return;
    if (!order->id[0]) {
        if (amb_duties_path(node) != AMB_RENTAL_BY_HOLDER || !collect(node)) return;
        order->work.ordered_wall = amb_wall_ms();
        snprintf(order->id, sizeof order->id, "t-%llu-%llu", (unsigned long long)node->election.term,
                 (unsigned long long)++node->duties.return_counter);
    }
    order->busy = true;
    create(node, order->duty, order->id, &order->work, return_created);
}

/* ---- what is on record ---- */

bool amb_duties_ordering(const struct amb_node *node) {
    if (node->duties.returning.id[0]) return true;
    for (const struct amb_rental_request *request = node->cloud.requests; request; request = request->next)
        if (request->by_order && request->state == AMB_REQUEST_RECORDING) return true;
    return false;
}

static void apply(struct amb_node *node, const struct amb_duty_order_record *order,
                  const struct amb_duty_work *work) {
    if (order->duty == AMB_DUTY_RENT)
        rental_changed(node, order, work);
    else
        return_changed(node, order, work);
}

void amb_duties_take_over(struct amb_node *node) {
    struct amb_duty_order_entry *entry, *next;
    HASH_ITER(hh, node->duties.service.entries, entry, next)
    if (entry->record.present) apply(node, &entry->record, &entry->work);
}

void amb_duties_order_changed(struct amb_node *node, const struct amb_duty_order_record *order,
                              const struct amb_duty_work *work) {
    struct amb_return_order *returning = &node->duties.returning;
    if (!amb_election_has_leader_role(node) || !node->controller.restored_at) return;
    if (!work) {
        rental_forgotten(node, order);
        return;
    }
    if (order->duty != AMB_DUTY_RENT && !strcmp(order->id, returning->id) && !returning->busy) {
        amb_duty_work_free(&returning->work);
        memset(returning, 0, sizeof *returning);
    }
    apply(node, order, work);
}
