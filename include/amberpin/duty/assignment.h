/* Which member should hold which duty. Only a preference: it decides who claims first, never who may hold. */
#ifndef AMBERPIN_DUTY_ASSIGNMENT_H
#define AMBERPIN_DUTY_ASSIGNMENT_H

#include "amberpin/duty/types.h"

/* A member as this one knows it. */
struct amb_duty_member {
    char name[AMB_NAME_SIZE]; /* empty: the place is free */
    bool alive;
    uint64_t incarnation; /* revision of its key; meaningful while alive */
    uint64_t nonce;
    uint64_t seen_revision; /* highest revision known of its key */
    amb_ms alive_since;
    uint32_t lease_losses;   /* of its lease, counted up to two */
    amb_ms last_loss_at;     /* last loss */
    amb_ms previous_loss_at; /* the loss before that */
};

/* Its lease was lost now. */
void amb_duty_member_note_loss(struct amb_duty_member *member, amb_ms now);

/* Did it lose its lease twice within `decay`, and is the last loss less than `decay` ago? */
bool amb_duty_member_is_flapping(const struct amb_duty_member *member, amb_ms decay, amb_ms now);

/* Weight of a member for a duty (rendezvous hashing): the highest is preferred. How two members compare
 * never depends on the others, so that a change of members moves only the duties of those that come and go.
 */
uint64_t amb_duty_weight(enum amb_duty_name duty, const char *member);

/* Place of `name` among the live members for this duty, flapping ones last; 0 is preferred. If it is not a
 * live member: how many there are. */
uint32_t amb_duty_rank(const struct amb_duty_member *members, uint32_t count, enum amb_duty_name duty,
                       const char *name, amb_ms decay, amb_ms now);

/* Most duties that one of `members` members keeps while others hold fewer. */
uint32_t amb_duty_fair_share(uint32_t duties, uint32_t members);

#endif
