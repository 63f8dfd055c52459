#include "amberpin/zone_recovery/recovery_order.h"

#include <string.h>

const char *amb_recovery_wait_name(enum amb_recovery_wait wait) {
    static const char *const names[AMB_RECOVERY_WAIT_REASONS] = {
        "nothing", "proof of absence", "state service", "team limit", "spread", "image", "room"};
    return names[wait];
}

bool amb_recovery_class_precedes(const struct amb_recovery_class *first,
                                 const struct amb_recovery_class *second) {
    if (first->list_position != second->list_position) return first->list_position < second->list_position;
    if (first->priority != second->priority) return first->priority > second->priority;
    if (first->missing_share != second->missing_share) return first->missing_share > second->missing_share;
    if (first->within_guarantee != second->within_guarantee) return first->within_guarantee;
    if (first->guarantee_used_share != second->guarantee_used_share)
        return first->guarantee_used_share < second->guarantee_used_share;
    if (first->accepted_wall_ms != second->accepted_wall_ms)
        return first->accepted_wall_ms < second->accepted_wall_ms;
    return strcmp(first->name, second->name) < 0;
}

int amb_recovery_order_find(const struct amb_recovery_order *order, const char *class_name) {
    for (uint32_t i = 0; i < order->count; i++)
        if (!strcmp(order->steps[i].lost_class.name, class_name)) return (int)i;
    return -1;
}

/* The position at which a new step for the class is inserted: before the first step that it precedes. */
static uint32_t find_insert_position(const struct amb_recovery_order *order,
                                     const struct amb_recovery_class *lost) {
    uint32_t position = 0;
    while (position < order->count && !amb_recovery_class_precedes(lost, &order->steps[position].lost_class))
        position++;
    return position;
}

static void open_step(struct amb_recovery_step *step, amb_ms now) {
    step->wait = AMB_RECOVERY_WAIT_ABSENCE_PROOF;
    step->opened_at = now;
}

bool amb_recovery_order_extend(struct amb_recovery_order *order, const struct amb_recovery_class *lost,
                               amb_ms now) {
    int known = amb_recovery_order_find(order, lost->name);
    if (known >= 0) {
        struct amb_recovery_step *step = &order->steps[known];
        if (step->wait == AMB_RECOVERY_WAIT_NONE) open_step(step, now);
        return true;
    }
    uint32_t position = find_insert_position(order, lost);
    if (position == AMB_RECOVERY_STEPS) return false;
    if (order->count == AMB_RECOVERY_STEPS) order->count--; /* drops the last step */
    memmove(&order->steps[position + 1], &order->steps[position],
            (order->count - position) * sizeof *order->steps);
    order->steps[position] = (struct amb_recovery_step){.lost_class = *lost};
    open_step(&order->steps[position], now);
    order->count++;
    return true;
}

bool amb_recovery_order_update(struct amb_recovery_order *order, uint32_t position, uint32_t missing_replicas,
                               enum amb_recovery_wait wait) {
    struct amb_recovery_step *step = &order->steps[position];
    step->missing_replicas = missing_replicas;
    if (step->wait == wait) return false;
    step->wait = wait;
    return true;
}

bool amb_recovery_order_is_open(const struct amb_recovery_order *order) {
    for (uint32_t i = 0; i < order->count; i++)
        if (order->steps[i].wait != AMB_RECOVERY_WAIT_NONE) return true;
    return false;
}
