#include "amberpin/zone_recovery/recovery_order.h"

#include <string.h>

const char *amb_recovery_wait_name(enum amb_recovery_wait wait) {
    static const char *const names[AMB_RECOVERY_WAITS] = {
        "nothing", "proof of absence", "state service", "team limit", "spread", "image", "room"};
    return names[wait];
}

bool amb_recovery_class_precedes(const struct amb_recovery_class *a, const struct amb_recovery_class *b) {
    if (a->listed != b->listed) return a->listed < b->listed;
    if (a->priority != b->priority) return a->priority > b->priority;
    if (a->missing_share != b->missing_share) return a->missing_share > b->missing_share;
    if (a->guaranteed != b->guaranteed) return a->guaranteed;
    if (a->guarantee_used != b->guarantee_used) return a->guarantee_used < b->guarantee_used;
    if (a->accepted_wall != b->accepted_wall) return a->accepted_wall < b->accepted_wall;
    return strcmp(a->name, b->name) < 0;
}

int amb_recovery_order_find(const struct amb_recovery_order *order, const char *class_name) {
    for (uint32_t i = 0; i < order->count; i++)
        if (!strcmp(order->steps[i].lost.name, class_name)) return (int)i;
    return -1;
}

/* Place of a new step: before the first that comes after it. */
static uint32_t place_of(const struct amb_recovery_order *order, const struct amb_recovery_class *lost) {
    uint32_t place = 0;
    while (place < order->count && !amb_recovery_class_precedes(lost, &order->steps[place].lost)) place++;
    return place;
}

static void open_step(struct amb_recovery_step *step, amb_ms now) {
    step->wait = AMB_RECOVERY_FOR_PROOF;
    step->opened_at = now;
}

bool amb_recovery_order_extend(struct amb_recovery_order *order, const struct amb_recovery_class *lost,
                               amb_ms now) {
    int known = amb_recovery_order_find(order, lost->name);
    if (known >= 0) {
        struct amb_recovery_step *step = &order->steps[known];
        if (step->wait == AMB_RECOVERY_SERVED) open_step(step, now);
        return true;
    }
    uint32_t place = place_of(order, lost);
    if (place == AMB_RECOVERY_STEPS) return false;
    if (order->count == AMB_RECOVERY_STEPS) order->count--; /* the last makes way */
    memmove(&order->steps[place + 1], &order->steps[place], (order->count - place) * sizeof *order->steps);
    order->steps[place] = (struct amb_recovery_step){.lost = *lost};
    open_step(&order->steps[place], now);
    order->count++;
    return true;
}

bool amb_recovery_order_update(struct amb_recovery_order *order, uint32_t place, uint32_t missing,
                               enum amb_recovery_wait wait) {
    struct amb_recovery_step *step = &order->steps[place];
    step->missing = missing;
    if (step->wait == wait) return false;
    step->wait = wait;
    return true;
}

bool amb_recovery_order_open(const struct amb_recovery_order *order) {
    for (uint32_t i = 0; i < order->count; i++)
        if (order->steps[i].wait != AMB_RECOVERY_SERVED) return true;
    return false;
}
