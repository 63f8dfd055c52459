/* This node's connection to the key-value store: its token budgets, the requests that wait for tokens, and
 * what the last answers showed. Others read it; the functions of client.h and token_budget.h change it. */
#ifndef AMBERPIN_STORE_H
#define AMBERPIN_STORE_H

#include "amberpin/base/loop.h"
#include "amberpin/config/settings.h"
#include "amberpin/kvstore/token_bucket.h"

/* Classes of requests, the most urgent first. A class gets tokens before all that come after it. */
enum amb_store_priority {
    AMB_STORE_PRIORITY_LEASE,       /* to keep a lease: never waits for tokens */
    AMB_STORE_PRIORITY_USER,        /* writes that a user waits for */
    AMB_STORE_PRIORITY_WATCH,       /* reads of what has changed; leave requests to users' writes */
    AMB_STORE_PRIORITY_FINAL_STATE, /* ends of jobs */
    AMB_STORE_PRIORITY_PLACEMENT,   /* records of placements and of machines rented for them */
    AMB_STORE_PRIORITY_READ,        /* what nobody waits for */
    AMB_STORE_PRIORITIES,
};

struct amb_store_request;

struct amb_store {
    char address[AMB_NAME_SIZE];
    amb_ms call_timeout;
    uint32_t member_count; /* of the cluster, this node included */

    /* What the store allows all members together. */
    double requests_per_second, writes_per_second;
    double lowered_writes_per_second; /* what it may allow from some moment on */
    bool limits_lowered;              /* that moment has come */

    /* What decides about this node's share of it. */
    bool is_leader;
    bool duties_in_use; /* followers' writes go mostly to the holders of single-holder duties */
    double duty_share;  /* part of all holders' writes that the duties held here may use, 0 to 1 */

    struct amb_token_bucket request_bucket, write_bucket;
    struct amb_token_bucket user_write_bucket; /* shared by all nodes: each counts what others write */
    uint32_t pending_user_writes;              /* of this node, sent and not yet answered */

    struct amb_store_request *queue_head[AMB_STORE_PRIORITIES], *queue_tail[AMB_STORE_PRIORITIES];
    struct amb_timer dispatch_timer;
    amb_ms throttled_until; /* the store has asked to slow down */
    amb_ms last_success_at, last_failure_at;
};

#endif
