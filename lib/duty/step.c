/* Output actions, random numbers, backoff and timeouts of the core. */
#include "internal.h"

#include <string.h>

enum {
    MAX_DOUBLINGS = 4,
    CALL_TIMEOUTS_UNTIL_LOST = 3, /* a call counts as lost after this many call timeouts */
};

struct amb_duty_action *duty_emit(struct duty_step *step, enum amb_duty_action_type type,
                                  enum amb_duty_name duty) {
    struct amb_duty_output *out = step->out;
    if (out->count == AMB_DUTY_MAX_ACTIONS) {
        out->more = true;
        return NULL;
    }
    struct amb_duty_action *action = &out->actions[out->count++];
    memset(action, 0, sizeof *action);
    action->type = type;
    action->duty = duty;
    return action;
}

struct amb_duty_action *duty_emit_call(struct duty_step *step, enum amb_duty_action_type type,
                                       enum amb_duty_name duty) {
    struct amb_duty_action *action = duty_emit(step, type, duty);
    if (action) action->call = ++step->core->call_counter;
    return action;
}

uint64_t duty_next_random(struct amb_duty_core *core) { /* splitmix64 */
    uint64_t mixed = core->random_state += 0x9e3779b97f4a7c15ULL;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

amb_ms duty_backoff(struct amb_duty_core *core, uint32_t failures) {
    uint32_t doublings = failures < MAX_DOUBLINGS ? failures : MAX_DOUBLINGS;
    amb_ms wait = core->settings.backoff << doublings;
    return wait + (amb_ms)(duty_next_random(core) % (uint64_t)(wait / 2 + 1));
}

bool duty_has_timed_out(const struct amb_duty_core *core, amb_ms since, amb_ms now) {
    return now - since >= core->settings.call_timeout * CALL_TIMEOUTS_UNTIL_LOST;
}
