#include "amberpin/duty/assignment.h"

#include <string.h>

void amb_duty_member_note_loss(struct amb_duty_member *member, amb_ms now) {
    member->previous_loss_at = member->last_loss_at;
    member->last_loss_at = now;
    if (member->lease_losses < 2) member->lease_losses++;
}

bool amb_duty_member_is_flapping(const struct amb_duty_member *member, amb_ms decay, amb_ms now) {
    return member->lease_losses == 2 && member->last_loss_at - member->previous_loss_at < decay &&
           now - member->last_loss_at < decay;
}

uint64_t amb_duty_weight(enum amb_duty_name duty, const char *member) {
    /* FNV-1a over the names of the duty and the member, then the finalizer of splitmix64: with FNV alone,
     * names that differ only at the end have nearly the same high bits. */
    uint64_t hash = 14695981039346656037ULL;
    for (const char *text = amb_duty_name_text(duty); *text; text++)
        hash = (hash ^ (unsigned char)*text) * 1099511628211ULL;
    hash = (hash ^ '/') * 1099511628211ULL;
    for (; *member; member++) hash = (hash ^ (unsigned char)*member) * 1099511628211ULL;
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31);
}

/* Returns true if `other` ranks before the member. Names break ties between equal weights. */
static bool is_preferred(enum amb_duty_name duty, const struct amb_duty_member *other, bool other_flaps,
                         const char *name, bool flaps) {
    if (other_flaps != flaps) return flaps;
    uint64_t theirs = amb_duty_weight(duty, other->name), ours = amb_duty_weight(duty, name);
    return theirs != ours ? theirs > ours : strcmp(other->name, name) < 0;
}

uint32_t amb_duty_rank(const struct amb_duty_member *members, uint32_t count, enum amb_duty_name duty,
                       const char *name, amb_ms decay, amb_ms now) {
    const struct amb_duty_member *self = NULL;
    uint32_t alive = 0, rank = 0;
    for (uint32_t i = 0; i < count; i++) {
        alive += members[i].alive;
        if (members[i].alive && !strcmp(members[i].name, name)) self = &members[i];
    }
    if (!self) return alive;
    bool flaps = amb_duty_member_is_flapping(self, decay, now);
    for (uint32_t i = 0; i < count; i++) {
        const struct amb_duty_member *other = &members[i];
        if (!other->alive || other == self) continue;
        rank += is_preferred(duty, other, amb_duty_member_is_flapping(other, decay, now), name, flaps);
    }
    return rank;
}

uint32_t amb_duty_fair_share(uint32_t duties, uint32_t members) {
    if (!members) return duties;
    return (duties + members - 1) / members + 1;
}
