/* The pure core of single-holder duties for one member: what happened, and when, goes in; what is to be
 * done comes out. No input or output, no clock or randomness of its own, no allocation.
 *
 * After the first reading of the key-value store, and after each that follows a gap in its changes, the
 * wiring feeds what it found: RECORD_CHANGED for every duty (also one without a record: not present,
 * revision 0), MEMBER_CHANGED and INTENT_CHANGED for all that are there, and for those that were known and
 * are not.
 *
 * The wiring feeds every answer and every change as events, each with the time of the monotonic clock read
 * just then, and carries out the actions in their order. An answer may come late, twice or never.
 * Immediately before the wiring sends AMB_DUTY_CALL_CLOUD it asks amb_duty_may_send with the time read
 * anew; if that says no, it does not send, and answers AMB_DUTY_CLOUD_NOT_SENT. */
#ifndef AMBERPIN_DUTY_CORE_H
#define AMBERPIN_DUTY_CORE_H

#include "amberpin/duty/assignment.h"
#include "amberpin/duty/intents.h"
#include "amberpin/duty/lease.h"

enum amb_duty_state {
    AMB_DUTY_IDLE,      /* another holds the duty, or its record is not known yet */
    AMB_DUTY_CANDIDATE, /* nobody holds it: waiting for our turn, or a claim is under way */
    AMB_DUTY_HELD,      /* ours, and the lease is certainly alive */
    AMB_DUTY_DRAINING,  /* ours; no new intents, then released */
    AMB_DUTY_FENCED,    /* ours by the record, but the lease may have run out: sends nothing */
    AMB_DUTY_LOST,      /* was ours; will be idle after a backoff */
};

/* The state's name, for logs and status. */
const char *amb_duty_state_text(enum amb_duty_state state);

/* One duty as this member sees it. Read it freely. */
struct amb_duty {
    enum amb_duty_state state;
    amb_ms state_since; /* of the state */
    struct amb_duty_record record;
    bool record_known;
    uint64_t fencing_token, revision; /* of our claim; meaningful while held, draining or fenced */
    /* the claim or release under way, or the last */
    uint64_t call; /* 0: none under way */
    amb_ms called_at;
    uint64_t nonce;
    uint32_t attempts;
    amb_ms claim_at, vacant_since;
    bool vacant;
    /* planned handover */
    amb_ms drain_deadline;
    bool release_sent; /* the release may have been carried out: the cloud must not be called any more */
    char successor[AMB_NAME_SIZE];
    char cause[AMB_DUTY_CAUSE_LENGTH];
    uint64_t handovers;    /* changes of holder seen */
    uint64_t fenced_calls; /* calls that the cloud refused as stale */
};

/* This member's own key at the key-value store. */
enum amb_duty_incarnation_state {
    AMB_DUTY_INCARNATION_NONE,
    AMB_DUTY_INCARNATION_GRANTING, /* a lease is asked for */
    AMB_DUTY_INCARNATION_WRITING,  /* the member key is being written on it */
    AMB_DUTY_INCARNATION_READING,  /* the write got no answer, or a comparison failed: waiting to read it */
    AMB_DUTY_INCARNATION_LIVE,
};

struct amb_duty_incarnation {
    enum amb_duty_incarnation_state state;
    struct amb_duty_lease lease;
    uint64_t nonce, revision; /* of our key; revision is meaningful while live */
    uint64_t call;            /* grant or write under way */
    amb_ms called_at;
    amb_ms grant_sent_at;
    uint64_t renewal; /* call number of the renewal under way; 0: none */
    amb_ms renewal_sent_at, last_renewal_at;
    amb_ms retry_at;
};

struct amb_duty_core {
    struct amb_duty_settings settings;
    char member[AMB_NAME_SIZE];
    uint64_t random_state; /* state of the generator for jitter and nonces */
    uint64_t call_counter; /* number of the last call */
    struct amb_duty_incarnation incarnation;
    struct amb_duty_member members[AMB_DUTY_MEMBERS];
    struct amb_duty duties[AMB_DUTY_COUNT];
    struct amb_duty_intent_table intents;
    bool stopping; /* hands everything over, and claims nothing more */
};

enum amb_duty_event_type {
    AMB_DUTY_TICK, /* time has passed; at least every quarter of the backoff, and at once if `more` */
    AMB_DUTY_LEASE_GRANTED,   /* answer to GRANT_LEASE: call, result, lease */
    AMB_DUTY_LEASE_EXTENDED,  /* to EXTEND_LEASE: call, result */
    AMB_DUTY_COMMITTED,       /* to every PUT_, COMMIT_ and REMOVE_ action: call, result, revision */
    AMB_DUTY_MEMBER_CHANGED,  /* a change or a read of a member key: member */
    AMB_DUTY_RECORD_CHANGED,  /* of a duty's record: duty, record */
    AMB_DUTY_INTENT_CHANGED,  /* of an intent: intent */
    AMB_DUTY_INTENT_READ,     /* answer to READ_INTENT: intent (not present: gone). It never adds an intent */
    AMB_DUTY_CLOUD_ANSWERED,  /* to CALL_CLOUD: call, answer */
    AMB_DUTY_PROVED_GONE,     /* the machines of a scale-in intent are gone: duty, intent.id */
    AMB_DUTY_DRAIN_REQUESTED, /* hand a duty over: duty, successor (or empty), cause */
    AMB_DUTY_STOP_REQUESTED,  /* hand all over, and claim nothing more */
};

struct amb_duty_event {
    enum amb_duty_event_type type;
    amb_ms now;
    enum amb_duty_name duty;
    uint64_t call;
    enum amb_call_result result;
    enum amb_duty_cloud_answer answer;
    uint64_t lease, revision;
    struct amb_duty_member_record member;
    struct amb_duty_record record;
    struct amb_duty_intent_record intent;
    char successor[AMB_NAME_SIZE];
    const char *cause;
};

enum amb_duty_action_type {
    AMB_DUTY_GRANT_LEASE,   /* of settings.ttl: call */
    AMB_DUTY_EXTEND_LEASE,  /* call, lease */
    AMB_DUTY_REVOKE_LEASE,  /* lease; no answer is needed */
    AMB_DUTY_PUT_MEMBER,    /* write a/duty-member/ME on `lease`: call, lease, member, expected_member */
    AMB_DUTY_READ_MEMBER,   /* read a/duty-member/NAME (expected_member.member), feed MEMBER_CHANGED */
    AMB_DUTY_READ_RECORD,   /* read a/duty/NAME, feed RECORD_CHANGED: duty */
    AMB_DUTY_READ_INTENT,   /* read one intent, feed INTENT_READ: duty, intent.id */
    AMB_DUTY_LIST_INTENTS,  /* read all intents, feed INTENT_CHANGED for each */
    AMB_DUTY_COMMIT_RECORD, /* claim or release: call, duty, record; comparisons as below */
    AMB_DUTY_COMMIT_INTENT, /* call, duty, intent, expected_revision (of the duty's record), intent.revision
                              (of the intent) */
    AMB_DUTY_REMOVE_INTENT, /* likewise; the duty compared is cleanup, intent.duty is the intent's */
    AMB_DUTY_CALL_CLOUD,    /* call, duty, intent (id is the request name), fencing token */
    AMB_DUTY_STATE_CHANGED, /* to be logged: duty, from, to, cause */
};

/* Comparisons of COMMIT_RECORD: a/duty/NAME at expected_revision (0: absent); and if expected_member.member
 * is not empty, a/duty-member/THAT at expected_member.revision (0: absent); and if expected_incarnation is
 * not 0, a/duty-member/ME at expected_incarnation. PUT_MEMBER is compared with its own key at
 * expected_revision. */
struct amb_duty_action {
    enum amb_duty_action_type type;
    enum amb_duty_name duty;
    uint64_t call, lease, fencing_token;
    uint64_t expected_revision, expected_incarnation;
    struct amb_duty_member_record member, expected_member;
    struct amb_duty_record record;
    struct amb_duty_intent_record intent;
    enum amb_duty_state from, to;
    const char *cause;
};

enum { AMB_DUTY_MAX_ACTIONS = 24 };

struct amb_duty_output {
    uint32_t count;
    bool more; /* there was no room for all: tick again at once */
    struct amb_duty_action actions[AMB_DUTY_MAX_ACTIONS];
};

/* Prepares a core that knows of nothing yet. `intents` is the storage for `capacity` intents; it must live as
 * long as the core. The seed must differ from member to member and from start to start (the nonces are drawn
 * from it). */
void amb_duty_core_init(struct amb_duty_core *core, const struct amb_duty_settings *settings,
                        const char *member, uint64_t seed, struct amb_duty_intent *intents,
                        uint32_t capacity);

/* Takes one event, at the time it carries, and decides what is to be done. */
void amb_duty_core_step(struct amb_duty_core *core, const struct amb_duty_event *event,
                        struct amb_duty_output *out);

/* May this member call the cloud for this duty at this moment? */
bool amb_duty_may_call(const struct amb_duty_core *core, enum amb_duty_name duty, amb_ms now);

/* May this call of the cloud, decided earlier, be sent at this moment? To be asked immediately before
 * sending. The right alone is not enough: the duty may have been lost and won again since, under a higher
 * fencing token. */
bool amb_duty_may_send(const struct amb_duty_core *core, const struct amb_duty_action *call, amb_ms now);

#endif
