/* The pure core of single-holder duties for one member. It takes events with their times and returns actions.
 * It does no input or output, has no clock or source of randomness of its own, and allocates nothing.
 *
 * After the first read of the key-value store, and after each read that follows a gap in the watch, the
 * caller feeds what it found: RECORD_CHANGED for every duty (a duty without a record as not present, at
 * revision 0), and MEMBER_CHANGED and INTENT_CHANGED for every member and intent that exists, and for each
 * that was known before and no longer exists.
 *
 * The caller feeds every response and every change as an event that carries the current time of the monotonic
 * clock, and carries out the actions in order. A response may come late, twice or never. Immediately before
 * the caller sends AMB_DUTY_CALL_CLOUD it reads the clock again and asks amb_duty_may_send; if that returns
 * false, it does not send, and feeds AMB_DUTY_CLOUD_NOT_SENT. */
#ifndef AMBERPIN_DUTY_CORE_H
#define AMBERPIN_DUTY_CORE_H

#include "amberpin/duty/assignment.h"
#include "amberpin/duty/intents.h"
#include "amberpin/duty/lease.h"

enum amb_duty_state {
    AMB_DUTY_IDLE,      /* another member holds the duty, or its record is not known yet */
    AMB_DUTY_CANDIDATE, /* the duty is vacant: this member waits for its turn to claim, or its claim is in
                           flight */
    AMB_DUTY_HELD,      /* held by this member, whose lease is certainly alive */
    AMB_DUTY_DRAINING,  /* held; no new intents are begun, then the duty is released */
    AMB_DUTY_FENCED,    /* held according to the record, but the lease may have expired: nothing is sent */
    AMB_DUTY_LOST,      /* was held until now; becomes idle after a backoff */
};

/* The name of the state in logs and in the status. */
const char *amb_duty_state_text(enum amb_duty_state state);

/* One duty as this member sees it. Callers may read it and must not change it. */
struct amb_duty {
    enum amb_duty_state state;
    amb_ms state_since; /* when `state` was entered */
    struct amb_duty_record record;
    bool record_known;
    uint64_t fencing_token, revision; /* of this member's claim; meaningful while held, draining or fenced */
    /* The claim or release that is in flight, or the last one. */
    uint64_t call; /* number of the call; 0: none is in flight */
    amb_ms called_at;
    uint64_t nonce;
    uint32_t attempts;
    amb_ms claim_at, vacant_since;
    bool vacant;
    /* Planned handover. */
    amb_ms drain_deadline;
    bool release_sent; /* the release may have taken effect, so the cloud must not be called any more */
    char successor[AMB_NAME_SIZE];
    char cause[AMB_DUTY_CAUSE_SIZE];
    uint64_t handovers;    /* changes of holder observed */
    uint64_t fenced_calls; /* calls that the cloud refused because of a stale fencing token */
};

/* State of this member's own key in the key-value store. */
enum amb_duty_incarnation_state {
    AMB_DUTY_INCARNATION_NONE,
    AMB_DUTY_INCARNATION_GRANTING, /* a lease has been requested */
    AMB_DUTY_INCARNATION_WRITING,  /* the member key is being written on the lease */
    AMB_DUTY_INCARNATION_READING,  /* the write timed out or a comparison failed: the key is being read */
    AMB_DUTY_INCARNATION_LIVE,
};

struct amb_duty_incarnation {
    enum amb_duty_incarnation_state state;
    struct amb_duty_lease lease;
    uint64_t nonce, revision; /* of the member key; the revision is meaningful while live */
    uint64_t call;            /* number of the grant or write in flight */
    amb_ms called_at;
    amb_ms grant_sent_at;
    uint64_t renewal; /* call number of the renewal in flight; 0: none */
    amb_ms renewal_sent_at, last_renewal_at;
    amb_ms retry_at;
};

struct amb_duty_core {
    struct amb_duty_settings settings;
    char member[AMB_NAME_SIZE];
    uint64_t random_state; /* state of the pseudorandom generator for jitter and nonces */
    uint64_t call_counter; /* number of the latest call */
    struct amb_duty_incarnation incarnation;
    struct amb_duty_member members[AMB_DUTY_MAX_MEMBERS];
    struct amb_duty duties[AMB_DUTY_COUNT];
    struct amb_duty_intent_table intents;
    bool stopping; /* the member hands over all its duties and claims no more */
};

enum amb_duty_event_type {
    AMB_DUTY_TICK, /* to be fed at least every quarter of the backoff, and at once if `more` is set */
    AMB_DUTY_LEASE_GRANTED,  /* response to GRANT_LEASE: call, result, lease */
    AMB_DUTY_LEASE_EXTENDED, /* response to EXTEND_LEASE: call, result */
    AMB_DUTY_COMMITTED,      /* response to any PUT_, COMMIT_ or REMOVE_ action: call, result, revision */
    AMB_DUTY_MEMBER_CHANGED, /* a member key has changed or was read: member */
    AMB_DUTY_RECORD_CHANGED, /* a duty's record has changed or was read: duty, record */
    AMB_DUTY_INTENT_CHANGED, /* an intent has changed: intent */
    AMB_DUTY_INTENT_READ, /* response to READ_INTENT: intent (not present: removed); never adds an intent to
                             the table */
    AMB_DUTY_CLOUD_ANSWERED,  /* response to CALL_CLOUD: call, answer */
    AMB_DUTY_ABSENCE_PROVEN,  /* the machines of a scale-in intent are proven absent: duty, intent.id */
    AMB_DUTY_DRAIN_REQUESTED, /* hand over a duty: duty, successor (may be empty), cause */
    AMB_DUTY_STOP_REQUESTED,  /* hand over all duties and claim no more */
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
    AMB_DUTY_GRANT_LEASE,   /* with settings.ttl: call */
    AMB_DUTY_EXTEND_LEASE,  /* call, lease */
    AMB_DUTY_REVOKE_LEASE,  /* lease; the response is not needed */
    AMB_DUTY_PUT_MEMBER,    /* write a/duty-member/ME on `lease`: call, lease, member, expected_member */
    AMB_DUTY_READ_MEMBER,   /* read a/duty-member/NAME (expected_member.member) and feed MEMBER_CHANGED */
    AMB_DUTY_READ_RECORD,   /* read a/duty/NAME and feed RECORD_CHANGED: duty */
    AMB_DUTY_READ_INTENT,   /* read one intent and feed INTENT_READ: duty, intent.id */
    AMB_DUTY_LIST_INTENTS,  /* read all intents and feed INTENT_CHANGED for each */
    AMB_DUTY_COMMIT_RECORD, /* claim or release: call, duty, record; compared as described below */
    AMB_DUTY_COMMIT_INTENT, /* call, duty, intent, expected_revision (of the duty's record), intent.revision
                              (of the intent) */
    AMB_DUTY_REMOVE_INTENT, /* like COMMIT_INTENT; the record compared is that of the cleanup duty, and
                               intent.duty is the duty of the intent */
    AMB_DUTY_CALL_CLOUD,    /* call, duty, intent (its id is the request id), fencing token */
    AMB_DUTY_STATE_CHANGED, /* for the log: duty, from, to, cause */
};

/* The transaction of COMMIT_RECORD compares a/duty/NAME with expected_revision (0: absent); if
 * expected_member.member is not empty, also a/duty-member/MEMBER with expected_member.revision (0: absent);
 * and if expected_incarnation is not 0, also a/duty-member/ME with expected_incarnation. The transaction of
 * PUT_MEMBER compares a/duty-member/ME with expected_revision. */
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
    bool more; /* not all actions fitted: feed a tick at once */
    struct amb_duty_action actions[AMB_DUTY_MAX_ACTIONS];
};

/* Initializes a core without any knowledge of records. `intents` is storage for `capacity` intents and must
 * outlive the core. The seed must differ between members and between starts, because nonces are drawn from
 * it. */
void amb_duty_core_init(struct amb_duty_core *core, const struct amb_duty_settings *settings,
                        const char *member, uint64_t seed, struct amb_duty_intent *intents,
                        uint32_t capacity);

/* Applies one event at the time that it carries and writes the resulting actions to `out`. */
void amb_duty_core_step(struct amb_duty_core *core, const struct amb_duty_event *event,
                        struct amb_duty_output *out);

/* Returns true if this member may call the cloud for this duty at `now`. */
bool amb_duty_may_call(const struct amb_duty_core *core, enum amb_duty_name duty, amb_ms now);

/* Returns true if this cloud call, which was decided earlier, may be sent at `now`. To be asked immediately
 * before sending. A valid lease alone is not enough: the duty may have been lost and won again since, under a
 * higher fencing token. */
bool amb_duty_may_send(const struct amb_duty_core *core, const struct amb_duty_action *call, amb_ms now);

#endif
