/* Spreads the duties over the members: a member that holds more than its fair share hands one over. */
#include "internal.h"

#include <string.h>

static uint32_t count_held_by(const struct amb_duty_core *core, const char *member) {
    uint32_t held = 0;
    for (int i = 0; i < AMB_DUTY_COUNT; i++) {
        const struct amb_duty_record *record = &core->duties[i].record;
        held += core->settings.enabled[i] && record->present && record->state == AMB_DUTY_RECORD_HELD &&
                !strcmp(record->holder, member);
    }
    return held;
}

/* Returns the best-ranked member that has been alive for a ttl, is not flapping, and holds less than a fair
 * share; NULL if there is none. */
static const struct amb_duty_member *choose_successor(struct duty_step *step, enum amb_duty_name name,
                                                      uint32_t share) {
    const struct amb_duty_core *core = step->core;
    const struct amb_duty_member *best = NULL;
    uint32_t best_rank = 0;
    for (int i = 1; i < AMB_DUTY_MAX_MEMBERS; i++) {
        const struct amb_duty_member *member = &core->members[i];
        if (!member->alive || step->now - member->alive_since < core->settings.ttl ||
            amb_duty_member_is_flapping(member, core->settings.flap_decay, step->now) ||
            count_held_by(core, member->name) + 1 >= share)
            continue;
        uint32_t rank = amb_duty_rank(core->members, AMB_DUTY_MAX_MEMBERS, name, member->name,
                                      core->settings.flap_decay, step->now);
        if (best && rank >= best_rank) continue;
        best = member;
        best_rank = rank;
    }
    return best;
}

void duty_rebalance(struct duty_step *step) {
    struct amb_duty_core *core = step->core;
    uint32_t enabled = 0, held = 0, live_members = 0, lowest_rank = 0;
    enum amb_duty_name least_preferred = AMB_DUTY_COUNT;
    for (int i = 0; i < AMB_DUTY_MAX_MEMBERS; i++) live_members += core->members[i].alive;
    for (int i = 0; i < AMB_DUTY_COUNT; i++) {
        enum amb_duty_name name = (enum amb_duty_name)i;
        enabled += core->settings.enabled[i];
        if (core->duties[i].state == AMB_DUTY_DRAINING) return; /* only one handover at a time */
        if (core->duties[i].state != AMB_DUTY_HELD) continue;
        held++;
        uint32_t rank = amb_duty_rank(core->members, AMB_DUTY_MAX_MEMBERS, name, core->member,
                                      core->settings.flap_decay, step->now);
        if (least_preferred != AMB_DUTY_COUNT && rank <= lowest_rank) continue;
        least_preferred = name;
        lowest_rank = rank;
    }
    uint32_t share = amb_duty_fair_share(enabled, live_members);
    if (held <= share) return;
    const struct amb_duty_member *successor = choose_successor(step, least_preferred, share);
    if (successor) duty_drain(step, least_preferred, successor->name, "another member holds fewer");
}
