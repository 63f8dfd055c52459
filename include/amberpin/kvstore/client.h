/* The state service: calls under a token budget, urgent classes first. */
#ifndef AMBERPIN_STORE_H
#define AMBERPIN_STORE_H

#include "amberpin/base/call_result.h"
#include "amberpin/base/loop.h"
#include "amberpin/codec/messages.h"
#include "amberpin/config/settings.h"

enum amb_store_priority { /* most urgent first */
                          AMB_STORE_PRIORITY_LEASE,
                          AMB_STORE_PRIORITY_USER,
                          AMB_STORE_PRIORITY_WATCH, /* reads of what has changed; they leave requests to
                                                       users' writes */
                          AMB_STORE_PRIORITY_FINAL_STATE,
                          AMB_STORE_PRIORITY_PLACEMENT,
                          AMB_STORE_PRIORITY_READ,
                          AMB_STORE_PRIORITIES,
};

/* status 0: no answer, the request may have been carried out or may be later. */
typedef void (*amb_store_callback)(void *arg, int status, const cbor_item_t *body);

/* The same for an answer's bytes, which live as long as the call. */
typedef void (*amb_store_bytes_callback)(void *arg, int status, const void *body, size_t len);

/* What a status says of the call. */
enum amb_call_result amb_store_call_result(int status);

struct amb_txn {
    struct amb_buf compares, operations;
    uint32_t compare_count, operation_count;
};

void amb_txn_compare(struct amb_txn *transaction, const char *key, uint64_t revision);
void amb_txn_put(struct amb_txn *transaction, const char *key, const struct amb_buf *value,
                 uint64_t lease_id);
void amb_txn_remove(struct amb_txn *transaction, const char *key);

struct amb_token_bucket { /* a token bucket */
    double tokens_per_second, tokens;
    double burst_seconds; /* that it holds the worth of; 0: one */
    amb_ms refilled_at;
};
void amb_token_bucket_set_rate(struct amb_token_bucket *bucket, double tokens_per_second);
void amb_token_bucket_refill(struct amb_token_bucket *bucket, amb_ms now);
double amb_token_bucket_capacity(const struct amb_token_bucket *bucket);
amb_ms amb_token_bucket_delay(const struct amb_token_bucket *bucket,
                              double tokens); /* 0: enough tokens now */

struct amb_store_request;
struct amb_store {
    char address[AMB_NAME_SIZE];
    struct amb_token_bucket request_bucket, write_bucket;
    struct amb_token_bucket
        user_write_bucket;        /* shared by all nodes: each counts what the others are seen to write */
    uint32_t pending_user_writes; /* writes of ours that are sent and not yet seen */
    double requests_per_second, writes_per_second;
    double lowered_writes_per_second; /* what the state service may allow from some moment on */
    bool limits_lowered;              /* it does */
    bool is_leader;                   /* and has the leader's share */
    bool duties_in_use;               /* the others' writes go mostly to the holders of duties */
    double duty_share;                /* of these, what the duties held here may write */
    uint32_t member_count;
    amb_ms call_timeout;
    struct amb_store_request *queue_head[AMB_STORE_PRIORITIES], *queue_tail[AMB_STORE_PRIORITIES];
    struct amb_timer dispatch_timer;
    amb_ms throttled_until; /* after a 429 */
    amb_ms last_success_at, last_failure_at;
};

void amb_store_init(struct amb_store *store, const struct amb_settings *settings, amb_ms call_timeout);
void amb_store_set_leadership(struct amb_store *store, bool is_leader); /* the leader writes most */
/* Single-holder duties are in use, or not: the duties held here have this part (0 to 1) of all holders'
 * writes. */
void amb_store_set_duty_share(struct amb_store *store, bool in_use, double share);
/* The state service has been seen to have lowered its limits: for good. */
void amb_store_lower_limits(struct amb_store *store, const char *evidence);
/* For a user: are there tokens, and keep: a share of the bucket left for more urgent jobs? */
bool amb_store_can_write_for_user(struct amb_store *store, uint32_t write_count, double reserved_share);
/* The leader's: write tokens that one half does not need go to the other, at all nodes alike. How many went
 * to the users' half; negative: from it. */
double amb_store_lend_tokens(struct amb_store *store);
void amb_store_apply_token_loan(struct amb_store *store, double tokens); /* the leader says so */
void amb_store_count_user_write(struct amb_store *store); /* some node's write for a user has been seen */
void amb_store_get(struct amb_store *store, const char *key, enum amb_store_priority priority,
                   amb_store_callback on_done, void *arg);
void amb_store_list(struct amb_store *store, const char *prefix, const char *after,
                    amb_store_callback on_done, void *arg);
void amb_store_watch(struct amb_store *store, const char *prefix, uint64_t after, amb_ms wait,
                     amb_store_bytes_callback on_done, void *arg);
void amb_store_commit(struct amb_store *store, struct amb_txn *transaction, enum amb_store_priority priority,
                      amb_store_callback on_done, void *arg);
void amb_store_grant_lease(struct amb_store *store, amb_ms ttl, amb_store_callback on_done, void *arg);
void amb_store_renew_lease(struct amb_store *store, uint64_t lease_id, amb_store_callback on_done, void *arg);
void amb_store_revoke_lease(struct amb_store *store, uint64_t lease_id);

#endif
