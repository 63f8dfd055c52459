/* Runs the core of single-holder duties (core.h) for one member: feeds it changes, answers and time, and
 * carries out what it decides. Clock, key-value store, cloud and log are functions that the owner hands
 * over. It also keeps every intent as it is on record, whether the core has room for it or not. */
#ifndef AMBERPIN_DUTY_SERVICE_H
#define AMBERPIN_DUTY_SERVICE_H

#include "amberpin/duty/core.h"
#include "amberpin/duty/record_codec.h"
#include "amberpin/kvstore/client.h"

struct amb_duty_service;

/* What the cloud said to one call. */
struct amb_duty_cloud_reply {
    enum amb_duty_cloud_answer answer;
    struct amb_duty_intent_payload
        acquired; /* of a scale out that was carried out: `machines` only; the service frees it */
};

typedef void (*amb_duty_cloud_done)(void *arg, struct amb_duty_cloud_reply *reply);

/* The key-value store, as in client.h. `list` answers the keys with the prefix, a page at a time. */
struct amb_duty_kvstore {
    void *context;
    void (*grant)(void *context, amb_ms ttl, amb_store_callback done, void *arg);
    void (*extend)(void *context, uint64_t lease, amb_store_callback done, void *arg);
    void (*revoke)(void *context, uint64_t lease);
    void (*list)(void *context, const char *prefix, const char *after, amb_store_callback done, void *arg);
    void (*commit)(void *context, struct amb_txn *txn, enum amb_store_priority urgency,
                   amb_store_callback done, void *arg);
};

/* The owner's functions. */
struct amb_duty_service_callbacks {
    struct amb_duty_kvstore kvstore;
    void *context;
    amb_ms (*now)(void *context); /* monotonic clock */
    /* False: it can't be called now, and `done` is not called. */
    bool (*call_cloud)(void *context, const struct amb_duty_intent_record *order,
                       const struct amb_duty_intent_payload *work, uint64_t token, amb_duty_cloud_done done,
                       void *arg);
    /* Are all machines of this scale-in intent proved to be gone, by what the owner itself has seen? Only
     * what stays true for ever counts: a machine that is listed as failed is still there. */
    bool (*is_absence_proven)(void *context, const struct amb_duty_intent_payload *work);
    /* The record of an intent has changed; work NULL: it is gone. */
    void (*intent_changed)(void *context, const struct amb_duty_intent_record *order,
                           const struct amb_duty_intent_payload *work);
    /* Every record has been read. */
    void (*loaded)(void *context);
    void (*log)(void *context, const char *line);
};

/* An intent as it is on record. */
struct amb_duty_intent_entry {
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_duty_intent_record record; /* not present: removed while all records are being read */
    struct amb_duty_intent_payload work;
    struct amb_duty_intent_payload
        acquired; /* by the call of this member that was carried out last: to be recorded */
    bool listed;  /* by the reading of all records under way, or the last */
    UT_hash_handle hh;
};

/* A change of a duty's holder, as far as this member knows. */
struct amb_duty_holder_change {
    enum amb_duty_name duty;
    char from[AMB_NAME_SIZE], to[AMB_NAME_SIZE];
    uint64_t fencing_token;
    char cause[AMB_DUTY_CAUSE_LENGTH];
    amb_ms at;
};

enum {
    AMB_DUTY_HOLDER_HISTORY = 16,
    AMB_DUTY_MAX_INTENTS = 256, /* that the core works on at a time */
};

/* Read it freely; only the functions below change it. */
struct amb_duty_service {
    struct amb_duty_service_callbacks ports;
    bool active, stopping;
    bool loaded;         /* every record has been read, and what changed since is followed */
    uint64_t activation; /* tells the calls of one activity from those of an earlier one */
    struct amb_duty_core core;
    /* Carries out what the core decides. */
    void (*perform)(struct amb_duty_service *service, const struct amb_duty_action *action);
    struct amb_duty_intent *intent_storage; /* the core's storage */
    struct amb_duty_intent_entry *entries;  /* by key */
    /* Duties whose record is of a version that is not known: they are left alone. */
    bool unknown_version[AMB_DUTY_COUNT];
    /* Handovers asked for by operators: the revision of the latest request. */
    uint64_t handover_revision[AMB_DUTY_COUNT];
    struct amb_duty_handover handover[AMB_DUTY_COUNT];
    struct amb_duty_holder_change holder_history[AMB_DUTY_HOLDER_HISTORY]; /* a ring */
    uint32_t holder_changes;                                               /* ever seen */
    /* The reading of all records. */
    bool listing;
    uint64_t listing_revision;
    const char *listing_prefix;
    char listing_cursor[256];
    bool record_listed[AMB_DUTY_COUNT];
    char listed_members[AMB_DUTY_MEMBERS][AMB_NAME_SIZE];
    uint32_t listed_member_count;
    amb_ms listing_retry_at;
    /* Events that wait while the core's output is being carried out. */
    struct amb_duty_event *queue;
    uint32_t queue_count, queue_capacity;
    bool is_stepping;
};

/* The member takes part, once all records are read. The seed differs from start to start. */
void amb_duty_service_start(struct amb_duty_service *service, const struct amb_duty_service_callbacks *ports,
                            const struct amb_duty_settings *settings, const char *member, uint64_t seed);
/* The member hands its duties over and, once it holds none, takes no part any more. */
void amb_duty_service_stop(struct amb_duty_service *service);
/* At once, without handing anything over; frees the memory. */
void amb_duty_service_abort(struct amb_duty_service *service);
/* To be called at least every quarter of the backoff while active. */
void amb_duty_service_tick(struct amb_duty_service *service);
/* News of a key below a/; value NULL: it is gone. Keys of others are ignored. */
void amb_duty_service_apply_change(struct amb_duty_service *service, const char *key,
                                   const cbor_item_t *value, uint64_t revision);
/* Changes may have been missed: all records are read again. */
void amb_duty_service_read_all(struct amb_duty_service *service);
/* Does this member hold the duty, as far as it knows? */
bool amb_duty_service_is_holder(const struct amb_duty_service *service, enum amb_duty_name duty);
/* Orders that are not settled; of all duties. */
uint32_t amb_duty_service_count_open_intents(const struct amb_duty_service *service);

#endif
