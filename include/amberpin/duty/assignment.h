/* Preference of members for duties, by rendezvous hashing. It decides which member claims first, never which
 * member may hold a duty. */
#ifndef AMBERPIN_DUTY_ASSIGNMENT_H
#define AMBERPIN_DUTY_ASSIGNMENT_H

#include "amberpin/duty/types.h"

/* A member of the group (this one included) as this member knows it. */
struct amb_duty_member {
    char name[AMB_NAME_SIZE]; /* empty: the entry is free */
    bool alive;
    uint64_t incarnation; /* revision of its key; meaningful while alive */
    uint64_t nonce;
    uint64_t seen_revision; /* highest revision of its key seen so far, or of its absence */
    amb_ms alive_since;
    uint32_t lease_losses; /* times that it lost its lease, counted up to 2 */
    amb_ms last_loss_at;
    amb_ms previous_loss_at; /* the loss before last_loss_at */
};

/* Records that the member lost its lease at `now`. */
void amb_duty_member_note_loss(struct amb_duty_member *member, amb_ms now);

/* Returns true if the member lost its lease twice within `decay` and the last loss is less than `decay` ago.
 */
bool amb_duty_member_is_flapping(const struct amb_duty_member *member, amb_ms decay, amb_ms now);

/* Rendezvous-hashing weight of a member for a duty; the member with the highest weight is preferred. The
 * order of two members does not depend on the others, so when a member joins or leaves, only the duties that
 * prefer it move. */
uint64_t amb_duty_weight(enum amb_duty_name duty, const char *member);

/* Rank of `name` among the live members for this duty: 0 is preferred, and flapping members rank last.
 * Returns the number of live members if `name` is not one of them. */
uint32_t amb_duty_rank(const struct amb_duty_member *members, uint32_t count, enum amb_duty_name duty,
                       const char *name, amb_ms decay, amb_ms now);

/* The most duties out of `duties` that one of `members` live members keeps while another holds fewer. */
uint32_t amb_duty_fair_share(uint32_t duties, uint32_t members);

#endif
