/* This node's connection to the key-value store: its token budgets, the requests that wait for tokens, and
 * the state of the store as the last answers showed it. Other modules may read it; only the functions of
 * client.h and token_budget.h change it. */
#ifndef AMBERPIN_STORE_H
#define AMBERPIN_STORE_H

#include "amberpin/base/loop.h"
#include "amberpin/config/settings.h"
#include "amberpin/kvstore/token_bucket.h"

/* Priority classes of requests, the most urgent first. Each class gets tokens before all later ones. */
enum amb_store_priority {
    AMB_STORE_PRIORITY_LEASE, /* leases and the keys attached to them: never waits for tokens */
    AMB_STORE_PRIORITY_USER,  /* writes that a user waits for */
    AMB_STORE_PRIORITY_WATCH, /* watch reads and listings, which leave request tokens for users' writes */
    AMB_STORE_PRIORITY_FINAL_STATE, /* final states of jobs */
    AMB_STORE_PRIORITY_PLACEMENT,   /* records of placements and of scale-out requests */
    AMB_STORE_PRIORITY_READ,        /* requests that nobody waits for */
    AMB_STORE_PRIORITIES,
};

struct amb_store_request;

struct amb_store {
    char address[AMB_NAME_SIZE];
    amb_ms call_timeout;
    uint32_t member_count; /* members of the cluster, including this node */

    /* The rates that the store allows all members together. */
    double requests_per_second, writes_per_second;
    double lowered_writes_per_second; /* the rate that the store may switch to later */
    bool limits_lowered;              /* the store has switched to the lower rate */

    /* What this node's share of the rates depends on. */
    bool is_leader;
    bool duties_in_use; /* holders of single-holder duties get part of the followers' write share */
    double duty_share;  /* share of all holders' writes that the duties held by this node may use, 0 to 1 */

    struct amb_token_bucket request_bucket, write_bucket;
    struct amb_token_bucket user_write_bucket; /* shared by all nodes: each counts the writes of the others */
    uint32_t pending_user_writes;              /* sent by this node and not yet answered */

    struct amb_store_request *queue_head[AMB_STORE_PRIORITIES], *queue_tail[AMB_STORE_PRIORITIES];
    struct amb_timer dispatch_timer;
    amb_ms throttled_until; /* until then only lease requests are sent: the store asked to slow down */
    amb_ms last_success_at, last_failure_at;
};

#endif
