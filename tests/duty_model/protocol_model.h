/* A small world around the core of single-holder duties: members, a state service, a cloud that knows tokens,
 * and a leader that orders and places. It knows nothing of schedules: explore.c tries every order of its
 * steps, simulate.c draws one. After each step `violation` says which rule was broken, if one was.
 *
 * All of it is plain data, so that a state can be copied and compared. */
#ifndef AMBERPIN_TESTS_DUTY_WORLD_H
#define AMBERPIN_TESTS_DUTY_WORLD_H

#include "amberpin/duty/core.h"

enum {
    WORLD_MEMBERS = 7,
    WORLD_INTENTS = 8,
    WORLD_MESSAGES = 96,
    WORLD_LEASES = 24,
};

/* A mechanism that is taken out, to see that the rules notice. */
enum model_mutation {
    MODEL_NO_MUTATION,
    MODEL_NO_DUTY_COMPARE,         /* orders are written without a guard on the duty's record */
    MODEL_REQUEST_NAME_PER_HOLDER, /* each holder gives a rental a name of its own */
    MODEL_NO_CLOCK_CHECK,          /* calls are sent without looking at the clock */
    MODEL_LEAVING_MARK_IGNORED,    /* the leader places work on machines that are marked as leaving */
    MODEL_NO_MEMBER_COMPARE,       /* claims don't ask whether the holder's session is over */
    MODEL_MUTATIONS,
};

enum world_message_kind {
    WORLD_FREE,
    WORLD_TO_SERVICE,
    WORLD_TO_SEND,  /* decided by a member, not yet sent to the cloud */
    WORLD_TO_CLOUD, /* on its way */
    WORLD_ANSWER,   /* on its way to a member */
};

struct world_message {
    enum world_message_kind kind;
    uint32_t member, incarnation;
    bool given_up; /* the member has been told that no answer came */
    amb_ms due;    /* for the simulation; 0: not drawn yet */
    union {
        struct amb_duty_action action;
        struct amb_duty_event answer;
    };
};

struct world_member {
    bool running;
    uint32_t incarnation;
    int32_t drift_ppm;
    amb_ms ticked_at; /* its clock at the last tick */
    uint64_t news;    /* revision up to which it has heard of changes */
    amb_ms news_due;  /* for the simulation */
    amb_ms tick_due;  /* the same */
    amb_ms paused_until;
    struct amb_duty_core core;
    struct amb_duty_intent intents[WORLD_INTENTS];
};

struct world_lease {
    uint64_t id; /* 0: free */
    amb_ms ends; /* on the state service's clock */
};

/* What the state service holds. A key that was removed stays, with the revision of its removal. */
struct world_service {
    int32_t drift_ppm;
    uint64_t revision, leases_granted;
    struct world_lease leases[WORLD_LEASES];
    struct amb_duty_member_record members[WORLD_MEMBERS];
    uint64_t member_lease[WORLD_MEMBERS];
    struct amb_duty_record duties[AMB_DUTY_COUNT];
    struct amb_duty_intent_record intents[WORLD_INTENTS];
};

/* What there is to each order outside the state service. */
struct world_effect {
    bool machine, placed;                  /* of a return: it exists; the leader has placed work on it */
    char charter[AMB_DUTY_INTENT_ID_SIZE]; /* of a rental: the name under which machines were rented */
    uint32_t rented;                       /* how often machines were rented for it */
};

struct world {
    const char *violation; /* NULL: none */
    enum model_mutation fault;
    amb_ms now;
    uint32_t nmembers, nmessages;
    bool repeatable_random;    /* luck follows from the state alone, so that equal states stay equal */
    bool instant_incarnations; /* leases and member keys are served at once: fewer states */
    uint64_t cloud_fencing_token[AMB_DUTY_COUNT];
    uint64_t fenced_calls, claims, intents_made;
    uint64_t lost_messages; /* for want of room */
    struct world_service service;
    struct world_effect effects[WORLD_INTENTS];
    struct world_member members[WORLD_MEMBERS];
    struct world_message messages[WORLD_MESSAGES];
};

void world_init(struct world *world, uint32_t members);
/* (Re)starts a member that does not run. */
void world_start(struct world *world, uint32_t member, const struct amb_duty_settings *settings,
                 uint64_t seed);
void world_kill(struct world *world, uint32_t member);
amb_ms world_member_clock(const struct world *world, uint32_t member);
amb_ms world_service_clock(const struct world *world);

/* One step of a member; what it wants done becomes messages. */
void world_step(struct world *world, uint32_t member, struct amb_duty_event event);
void world_tick(struct world *world, uint32_t member);
/* Tells it of the next change that it has not heard of; false: there is none. */
bool world_news(struct world *world, uint32_t member);
bool world_has_news(const struct world *world, uint32_t member);

/* Carries a message one step further, and removes it unless `keep` (then it comes again). `refuse`: the cloud
 * has no capacity. */
void world_deliver(struct world *world, uint32_t index, bool keep, bool refuse);
/* The member is told that there was no answer. A request stays on its way. */
void world_give_up(struct world *world, uint32_t index);
void world_drop(struct world *world, uint32_t index);

/* Ends a lease that is due; false: none is. */
bool world_expire(struct world *world);
/* When the next lease is due, on the state service's clock; INT64_MAX: none. */
amb_ms world_next_expiry(const struct world *world);

/* The leader. False: not possible now. */
bool world_create_intent(struct world *world, uint32_t place, enum amb_duty_name duty);
bool world_withdraw(struct world *world, uint32_t place);
bool world_place(struct world *world, uint32_t place);

/* Rules that hold in every state. */
void world_check(struct world *world);
/* Rules that hold once all is quiet: nothing is left open, and nothing was rented that nobody knows of. */
void world_check_quiet(struct world *world);
/* Plays on without faults until all is quiet, for at most `longest`. Then checks the rules of that. */
void world_quiet_down(struct world *world, amb_ms step, amb_ms longest);

#endif
