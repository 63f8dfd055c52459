/* Runs the core of single-holder duties (core.h) for one member: feeds it changes, responses and ticks, and
 * carries out its actions. The owner supplies clock, key-value store, cloud and log as callbacks. The service
 * also keeps every recorded intent, including those that do not fit into the intent table of the core. */
#ifndef AMBERPIN_DUTY_SERVICE_H
#define AMBERPIN_DUTY_SERVICE_H

#include "amberpin/duty/core.h"
#include "amberpin/duty/record_codec.h"
#include "amberpin/kvstore/client.h"

struct amb_duty_service;

/* The response of the cloud to one call. */
struct amb_duty_cloud_reply {
    enum amb_duty_cloud_answer answer;
    /* Machines acquired by a scale out: only the machine names are set, and the service frees them. */
    struct amb_duty_intent_payload acquired;
};

typedef void (*amb_duty_cloud_done)(void *arg, struct amb_duty_cloud_reply *reply);

/* The key-value store, as in client.h. `list` returns one page of the keys with the prefix, after `after`. */
struct amb_duty_kvstore {
    void *context;
    void (*grant)(void *context, amb_ms ttl, amb_store_callback done, void *arg);
    void (*extend)(void *context, uint64_t lease, amb_store_callback done, void *arg);
    void (*revoke)(void *context, uint64_t lease);
    void (*list)(void *context, const char *prefix, const char *after, amb_store_callback done, void *arg);
    void (*commit)(void *context, struct amb_txn *txn, enum amb_store_priority urgency,
                   amb_store_callback done, void *arg);
};

/* Functions supplied by the owner of the service. */
struct amb_duty_service_callbacks {
    struct amb_duty_kvstore kvstore;
    void *context;
    amb_ms (*now)(void *context); /* monotonic clock */
    /* Returns false, and does not call `done`, if the cloud cannot be called now. */
    bool (*call_cloud)(void *context, const struct amb_duty_intent_record *intent,
                       const struct amb_duty_intent_payload *payload, uint64_t fencing_token,
                       amb_duty_cloud_done done, void *arg);
    /* Returns true if all machines of this scale-in intent are proven absent by what the owner itself has
     * observed. Only a permanent absence counts: a machine that is listed as failed still exists. */
    bool (*is_absence_proven)(void *context, const struct amb_duty_intent_payload *payload);
    /* The record of an intent has changed; `payload` is NULL if it was removed. */
    void (*intent_changed)(void *context, const struct amb_duty_intent_record *intent,
                           const struct amb_duty_intent_payload *payload);
    /* The records of all members, duties and intents have been read for the first time since the start of the
     * service. It is not called again when they are read again. */
    void (*loaded)(void *context);
    void (*log)(void *context, const char *line);
};

/* An intent as recorded in the key-value store. */
struct amb_duty_intent_entry {
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_duty_intent_record record; /* not present: removed while all records are being read */
    struct amb_duty_intent_payload payload;
    /* Machines acquired by the latest successful call of this member; still to be recorded. */
    struct amb_duty_intent_payload acquired;
    bool listed; /* found by the read of all records that is in progress, or by the last one */
    UT_hash_handle hh;
};

/* A change of holder of a duty that this member has observed. */
struct amb_duty_holder_change {
    enum amb_duty_name duty;
    char from[AMB_NAME_SIZE], to[AMB_NAME_SIZE];
    uint64_t fencing_token;
    char cause[AMB_DUTY_CAUSE_SIZE];
    amb_ms at;
};

enum {
    AMB_DUTY_HOLDER_HISTORY = 16,
    AMB_DUTY_MAX_INTENTS = 256, /* capacity of the intent table of the core */
};

/* Callers may read it; only the functions below change it. */
struct amb_duty_service {
    struct amb_duty_service_callbacks callbacks;
    bool active, stopping;
    bool loaded;         /* all records have been read, and later changes are followed */
    uint64_t activation; /* counts starts: tells calls of this activation from calls of an earlier one */
    struct amb_duty_core core;
    /* Carries out one action of the core. */
    void (*perform)(struct amb_duty_service *service, const struct amb_duty_action *action);
    struct amb_duty_intent *intent_storage; /* storage for the intent table of the core */
    struct amb_duty_intent_entry *entries;  /* by key */
    /* Duties whose record has an unknown version: this member does not act on them. */
    bool unknown_version[AMB_DUTY_COUNT];
    /* Latest handover request of an operator for each duty, and its revision. */
    uint64_t handover_revision[AMB_DUTY_COUNT];
    struct amb_duty_handover handover[AMB_DUTY_COUNT];
    struct amb_duty_holder_change holder_history[AMB_DUTY_HOLDER_HISTORY]; /* ring buffer */
    uint32_t holder_changes;                                               /* total number observed */
    /* Progress of reading all records. */
    bool listing;
    uint64_t listing_revision;
    const char *listing_prefix;
    char listing_cursor[256];
    bool record_listed[AMB_DUTY_COUNT];
    char listed_members[AMB_DUTY_MAX_MEMBERS][AMB_NAME_SIZE];
    uint32_t listed_member_count;
    amb_ms listing_retry_at;
    /* Events that wait while the actions of the core are being carried out. */
    struct amb_duty_event *queue;
    uint32_t queue_count, queue_capacity;
    bool is_stepping;
};

/* Starts the member. It takes part once all records have been read. The seed must differ between starts. */
void amb_duty_service_start(struct amb_duty_service *service,
                            const struct amb_duty_service_callbacks *callbacks,
                            const struct amb_duty_settings *settings, const char *member, uint64_t seed);
/* Makes the member hand over its duties; once it holds none, the service becomes inactive. */
void amb_duty_service_stop(struct amb_duty_service *service);
/* Stops the member at once without a handover, and frees its memory. */
void amb_duty_service_abort(struct amb_duty_service *service);
/* Must be called at least every quarter of the backoff while the service is active. */
void amb_duty_service_tick(struct amb_duty_service *service);
/* Applies a change of a key below a/; `value` is NULL if the key was removed. Keys that do not belong to
 * duties are ignored. */
void amb_duty_service_apply_change(struct amb_duty_service *service, const char *key,
                                   const struct amb_cbor_item *value, uint64_t revision);
/* Reads all records again, because changes may have been missed. */
void amb_duty_service_read_all(struct amb_duty_service *service);
/* Returns true if this member holds the duty as far as it knows. */
bool amb_duty_service_is_holder(const struct amb_duty_service *service, enum amb_duty_name duty);
/* Counts the intents of all duties that are not settled. */
uint32_t amb_duty_service_count_open_intents(const struct amb_duty_service *service);

#endif
