/* The state service: calls under a token budget, urgent classes first. */
#ifndef AMBERPIN_STORE_H
#define AMBERPIN_STORE_H

#include "amberpin/base/call_result.h"
#include "amberpin/base/loop.h"
#include "amberpin/codec/messages.h"
#include "amberpin/config/settings.h"

enum amb_urgency { /* most urgent first */
                   AMB_URGENT_LEASE,
                   AMB_URGENT_USER,
                   AMB_URGENT_NEWS, /* reads of what has changed; they leave requests to users' writes */
                   AMB_URGENT_FINAL,
                   AMB_URGENT_PLACE,
                   AMB_URGENT_READ,
                   AMB_URGENCIES,
};

/* status 0: no answer, the request may have been carried out or may be later. */
typedef void (*amb_store_done)(void *arg, int status, const cbor_item_t *body);

/* The same for an answer's bytes, which live as long as the call. */
typedef void (*amb_store_bytes_done)(void *arg, int status, const void *body, size_t len);

/* What a status says of the call. */
enum amb_call_result amb_store_result(int status);

struct amb_txn {
    struct amb_buf guards, then;
    uint32_t nguards, nops;
};

void amb_txn_guard(struct amb_txn *transaction, const char *key, uint64_t stamp);
void amb_txn_put(struct amb_txn *transaction, const char *key, const struct amb_buf *value, uint64_t lease);
void amb_txn_remove(struct amb_txn *transaction, const char *key);

struct amb_budget { /* a token bucket */
    double rate, tokens;
    double seconds; /* that it holds the worth of; 0: one */
    amb_ms at;
};
void amb_budget_rate(struct amb_budget *b, double rate);
void amb_budget_refill(struct amb_budget *b, amb_ms now);
double amb_budget_most(const struct amb_budget *b);
amb_ms amb_budget_wait(const struct amb_budget *b, double n); /* 0: enough tokens now */

struct amb_store_op;
struct amb_store {
    char addr[AMB_NAME];
    struct amb_budget requests, writes;
    struct amb_budget user_writes; /* shared by all nodes: each counts what the others are seen to write */
    uint32_t user_pending;         /* writes of ours that are sent and not yet seen */
    double rps, write_rps;
    double lowered_write_rps; /* what the state service may allow from some moment on */
    bool limits_lowered;      /* it does */
    bool leading;             /* and has the leader's share */
    bool duties_in_use;       /* the others' writes go mostly to the holders of duties */
    double duty_part;         /* of these, what the duties held here may write */
    uint32_t members;
    amb_ms call_timeout;
    struct amb_store_op *queue[AMB_URGENCIES], *tail[AMB_URGENCIES];
    struct amb_timer pump;
    amb_ms held_until; /* after a 429 */
    amb_ms ok_at, failed_at;
};

void amb_store_init(struct amb_store *store, const struct amb_settings *settings, amb_ms call_timeout);
void amb_store_share(struct amb_store *store, bool leading); /* the leader writes most */
/* Single-holder duties are in use, or not: the duties held here have this part (0 to 1) of all holders'
 * writes. */
void amb_store_share_duties(struct amb_store *store, bool in_use, double part);
/* The state service has been seen to have lowered its limits: for good. */
void amb_store_limits_lowered(struct amb_store *store, const char *sign);
/* For a user: are there tokens, and keep: a share of the bucket left for more urgent jobs? */
bool amb_store_can_write(struct amb_store *store, uint32_t n, double keep);
/* The leader's: write tokens that one half does not need go to the other, at all nodes alike. How many went
 * to the users' half; negative: from it. */
double amb_store_lend(struct amb_store *store);
void amb_store_lent(struct amb_store *store, double tokens); /* the leader says so */
void amb_store_user_wrote(struct amb_store *store);          /* some node's write for a user has been seen */
void amb_store_get(struct amb_store *store, const char *key, enum amb_urgency u, amb_store_done fn,
                   void *arg);
void amb_store_list(struct amb_store *store, const char *prefix, const char *after, amb_store_done fn,
                    void *arg);
void amb_store_follow(struct amb_store *store, const char *prefix, uint64_t after, amb_ms wait,
                      amb_store_bytes_done fn, void *arg);
void amb_store_commit(struct amb_store *store, struct amb_txn *transaction, enum amb_urgency u,
                      amb_store_done fn, void *arg);
void amb_store_grant(struct amb_store *store, amb_ms ttl, amb_store_done fn, void *arg);
void amb_store_extend(struct amb_store *store, uint64_t lease, amb_store_done fn, void *arg);
void amb_store_drop(struct amb_store *store, uint64_t lease);

#endif
