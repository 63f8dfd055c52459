/* Protocol model around the core of single-holder duties: members, a state service, a cloud that checks
 * fencing tokens, and a leader that creates intents and places work. The model sets no order of steps:
 * explorer.c tries every order, simulation.c draws one. After each step `violation` names the rule that was
 * broken, if any.
 *
 * The model is plain data, so that a state can be copied and compared. */
#ifndef AMBERPIN_TESTS_DUTY_PROTOCOL_MODEL_H
#define AMBERPIN_TESTS_DUTY_PROTOCOL_MODEL_H

#include "amberpin/duty/core.h"

enum {
    MODEL_MEMBERS = 7,
    MODEL_INTENTS = 8,
    MODEL_MESSAGES = 96,
    MODEL_LEASES = 24,
};

/* Mutation: disables one mechanism of the protocol, which the rules must detect. */
enum model_mutation {
    MODEL_NO_MUTATION,
    MODEL_NO_DUTY_COMPARE,         /* intents are written without a compare of the duty's record */
    MODEL_REQUEST_NAME_PER_HOLDER, /* each holder sends a rental under a name of its own */
    MODEL_NO_CLOCK_CHECK,       /* calls are sent without a check of the holder's lease against its clock */
    MODEL_LEAVING_MARK_IGNORED, /* the leader places work on machines that are marked as leaving */
    MODEL_NO_MEMBER_COMPARE,    /* claims do not compare the key of the previous holder's incarnation */
    MODEL_MUTATIONS,
};

enum model_message_kind {
    MODEL_FREE,
    MODEL_TO_SERVICE,
    MODEL_TO_SEND,  /* a cloud call that a member has decided on and not sent yet */
    MODEL_TO_CLOUD, /* a cloud call in flight */
    MODEL_ANSWER,   /* in flight to a member */
};

struct model_message {
    enum model_message_kind kind;
    uint32_t member, incarnation;
    bool given_up; /* the sender has timed out */
    amb_ms due;    /* simulation only: when it arrives; 0: not drawn yet */
    union {
        struct amb_duty_action action;
        struct amb_duty_event answer;
    };
};

struct model_member {
    bool running;
    uint32_t incarnation;
    int32_t drift_ppm;
    amb_ms ticked_at; /* its clock at the last tick */
    uint64_t news;    /* its watch has delivered changes up to this revision */
    amb_ms news_due;  /* simulation only */
    amb_ms tick_due;  /* simulation only */
    amb_ms paused_until;
    struct amb_duty_core core;
    struct amb_duty_intent intents[MODEL_INTENTS];
};

struct model_lease {
    uint64_t id; /* 0: free */
    amb_ms ends; /* on the state service's clock */
};

/* Contents of the state service. A removed key stays as an entry that is not present, with the revision of
 * its removal. */
struct model_service {
    int32_t drift_ppm;
    uint64_t revision, leases_granted;
    struct model_lease leases[MODEL_LEASES];
    struct amb_duty_member_record members[MODEL_MEMBERS];
    uint64_t member_lease[MODEL_MEMBERS];
    struct amb_duty_record duties[AMB_DUTY_COUNT];
    struct amb_duty_intent_record intents[MODEL_INTENTS];
};

/* What exists of each intent outside the state service. */
struct model_effect {
    bool machine, placed; /* of a return: the machine exists; the leader has placed work on it */
    char
        charter[AMB_DUTY_INTENT_ID_SIZE]; /* of a rental: the request name under which machines were rented */
    uint32_t rented;                      /* how often machines were rented for it */
};

struct protocol_model {
    const char *violation; /* NULL: none */
    enum model_mutation mutation;
    amb_ms now;
    uint32_t nmembers, nmessages;
    bool repeatable_random;    /* random values depend on the state alone: equal states stay equal */
    bool instant_incarnations; /* requests for leases and member keys are served at once: fewer states */
    uint64_t cloud_fencing_token[AMB_DUTY_COUNT];
    uint64_t fenced_calls, claims, intents_made;
    uint64_t lost_messages; /* because `messages` was full */
    struct model_service service;
    struct model_effect effects[MODEL_INTENTS];
    struct model_member members[MODEL_MEMBERS];
    struct model_message messages[MODEL_MESSAGES];
};

void model_init(struct protocol_model *model, uint32_t members);
/* Starts, or restarts, a member that is not running. */
void model_start(struct protocol_model *model, uint32_t member, const struct amb_duty_settings *settings,
                 uint64_t seed);
void model_kill(struct protocol_model *model, uint32_t member);
amb_ms model_member_clock(const struct protocol_model *model, uint32_t member);
amb_ms model_service_clock(const struct protocol_model *model);

/* Feeds one event to a member. Its actions become messages. */
void model_step(struct protocol_model *model, uint32_t member, struct amb_duty_event event);
void model_tick(struct protocol_model *model, uint32_t member);
/* Delivers the next change of the member's watch. Returns false if there is none. */
bool model_news(struct protocol_model *model, uint32_t member);
bool model_has_news(const struct protocol_model *model, uint32_t member);

/* Delivers a message, and removes it unless `keep`: then it will be delivered again. `refuse`: the cloud has
 * no capacity. */
void model_deliver(struct protocol_model *model, uint32_t index, bool keep, bool refuse);
/* The sender times out. A request stays in flight. */
void model_give_up(struct protocol_model *model, uint32_t index);
void model_drop(struct protocol_model *model, uint32_t index);

/* Ends a lease that is due. Returns false if none is. */
bool model_expire(struct protocol_model *model);
/* When the next lease ends, on the state service's clock; INT64_MAX: there is none. */
amb_ms model_next_expiry(const struct protocol_model *model);

/* Actions of the leader. Each returns false if it is not possible in this state. */
bool model_create_intent(struct protocol_model *model, uint32_t place, enum amb_duty_name duty);
bool model_withdraw(struct protocol_model *model, uint32_t place);
bool model_place(struct protocol_model *model, uint32_t place);

/* Checks the rules that hold in every state. */
void model_check(struct protocol_model *model);
/* Checks the rules of a quiesced state: no intent is open, and no machine is rented without a record. */
void model_check_quiesced(struct protocol_model *model);
/* Runs without faults for `longest`, in time steps of `step`, then checks the rules of a quiesced state. */
void model_quiesce(struct protocol_model *model, amb_ms step, amb_ms longest);

#endif
