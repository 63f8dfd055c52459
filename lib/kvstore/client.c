#include "amberpin/kvstore/client.h"

#include "amberpin/base/log.h"
#include "amberpin/http/http.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct amb_store_op {
    struct amb_store_op *next;
    struct amb_store *store;
    char method[8];
    char path[320];
    struct amb_buf body;
    uint32_t writes;
    amb_ms timeout;
    enum amb_urgency urgency;
    amb_store_done fn;
    amb_store_bytes_done bytes_fn; /* instead of fn: the answer is not parsed */
    void *arg;
};

enum amb_call_result amb_store_result(int status) {
    switch (status) {
    case 200: return AMB_CALL_OK;
    case 404: return AMB_CALL_NOT_FOUND;
    case 409: return AMB_CALL_CONFLICT;
    case 0: return AMB_CALL_LOST;
    default: return AMB_CALL_REFUSED;
    }
}

/* ---- transactions ---- */

void amb_txn_guard(struct amb_txn *transaction, const char *key, uint64_t stamp) {
    amb_w_map(&transaction->guards, 2);
    amb_w_str(&transaction->guards, "path");
    amb_w_str(&transaction->guards, key);
    amb_w_str(&transaction->guards, "stamp");
    amb_w_uint(&transaction->guards, stamp);
    transaction->nguards++;
}

void amb_txn_put(struct amb_txn *transaction, const char *key, const struct amb_buf *value, uint64_t lease) {
    amb_w_map(&transaction->then, lease ? 3 : 2);
    amb_w_str(&transaction->then, "put");
    amb_w_str(&transaction->then, key);
    amb_w_str(&transaction->then, "value");
    amb_buf_add(&transaction->then, value->data, value->len);
    if (lease) {
        amb_w_str(&transaction->then, "tenure");
        amb_w_uint(&transaction->then, lease);
    }
    transaction->nops++;
}

void amb_txn_remove(struct amb_txn *transaction, const char *key) {
    amb_w_map(&transaction->then, 1);
    amb_w_str(&transaction->then, "remove");
    amb_w_str(&transaction->then, key);
    transaction->nops++;
}

/* ---- budget ---- */

double amb_budget_most(const struct amb_budget *b) {
    return fmax(b->rate * (b->seconds > 0 ? b->seconds : 1), 1.0);
}

void amb_budget_rate(struct amb_budget *b, double rate) {
    b->rate = rate;
    b->tokens = fmin(b->tokens, amb_budget_most(b));
}

void amb_budget_refill(struct amb_budget *b, amb_ms now) {
    if (!b->at) b->at = now;
    if (now <= b->at) return;
    b->tokens += b->rate * (double)(now - b->at) / 1000.0;
    b->at = now;
    b->tokens = fmin(b->tokens, amb_budget_most(b));
}

amb_ms amb_budget_wait(const struct amb_budget *b, double n) {
    /* More than the bucket can ever hold is let through once it is full. */
    double need = fmin(n, amb_budget_most(b)) - b->tokens;
    return need <= 1e-9 ? 0 : (amb_ms)ceil(need / b->rate * 1000.0);
}

/* ---- calls ---- */

static void pump(void *arg);

static void op_free(struct amb_store_op *op) {
    amb_buf_free(&op->body);
    free(op);
}

static void tell_parsed(struct amb_store_op *op, int status, const char *body, size_t len) {
    cbor_item_t *item = len ? amb_cbor_parse(body, len) : NULL;
    /* An answer that can't be read proves nothing about what was done. */
    if (status == 200 && !item) status = 0;
    if (op->fn) op->fn(op->arg, status, item);
    if (item) cbor_decref(&item);
}

/* The answer to a call that follows changes has no bound but this node's: who asked must know. */
static void op_done(void *arg, int status, const char *body, size_t len) {
    struct amb_store_op *op = arg;
    struct amb_store *store = op->store;
    amb_ms now = amb_now();
    if (status == 429) store->held_until = now + store->call_timeout / 4;
    if (status == 429 && op->writes) amb_store_limits_lowered(store, "too many changes");
    if (status == 0 || status == 503)
        store->failed_at = now;
    else if (status != 429)
        store->ok_at = now;
    if (op->urgency == AMB_URGENT_USER) {
        store->user_pending -= op->writes;
        if (status != 200) store->user_writes.tokens -= op->writes; /* no news will tell of it */
    }
    if (status == AMB_HTTP_ANSWER_TOO_LONG && !op->bytes_fn) status = 0; /* what it said is not known */
    if (op->bytes_fn)
        op->bytes_fn(op->arg, status, body, len);
    else
        tell_parsed(op, status, body, len);
    op_free(op);
}

static void op_send(struct amb_store_op *op) {
    struct amb_store *store = op->store;
    store->requests.tokens -= 1;
    if (op->urgency == AMB_URGENT_USER)
        store->user_pending += op->writes;
    else
        store->writes.tokens -= op->writes;
    amb_http_call(store->addr, op->method, op->path, "application/cbor", op->body.data, op->body.len,
                  op->timeout, op_done, op);
}

/* Users come to one node after another, in bursts. Were their half of the writes parted among the nodes, one
 * submission would use up a small share and the next be refused while the others' tokens lie unused. All
 * nodes follow all jobs, so each can count what the others write and draw on the whole. */
static amb_ms user_wait(const struct amb_store *store, uint32_t n, double keep) {
    return n ? amb_budget_wait(&store->user_writes, store->user_pending + n + keep * store->user_writes.rate)
             : 0;
}

void amb_store_user_wrote(struct amb_store *store) {
    amb_budget_refill(&store->user_writes, amb_now());
    /* Seen late, many at a time, they were spread over the time before: no more than one bucket of debt. */
    store->user_writes.tokens = fmax(store->user_writes.tokens - 1, -store->user_writes.rate);
}

void amb_store_lent(struct amb_store *store, double tokens) {
    amb_budget_refill(&store->user_writes, amb_now());
    double most = store->user_writes.rate;
    store->user_writes.tokens = fmax(-most, fmin(store->user_writes.tokens + tokens, most));
}

static void refill(struct amb_store *store) {
    amb_ms now = amb_now();
    amb_budget_refill(&store->requests, now);
    amb_budget_refill(&store->writes, now);
    amb_budget_refill(&store->user_writes, now);
}

/* Does a write of the leader's half wait for tokens? */
static bool own_writes_wait(const struct amb_store *store) {
    for (int u = AMB_URGENT_FINAL; u < AMB_URGENCIES; u++)
        for (const struct amb_store_op *op = store->queue[u]; op; op = op->next)
            if (op->writes) return true;
    return false;
}

/* What the leader's half may take of the users', which keep most of a bucket for a burst. */
static const double USERS_KEEP = 0.7;

static double borrowable(const struct amb_store *store, double users) {
    if (!own_writes_wait(store)) return 0;
    double most =
        fmin(users - store->user_writes.rate * USERS_KEEP, store->writes.rate - store->writes.tokens);
    return most < 1 ? 0 : floor(most);
}

/* When a fleet starts, or comes back after an outage, users have much to say and the leader nothing to
 * record: with their own half alone the first services were accepted up to 9 s late. When many small jobs
 * come and end, the leader has three records to write for each and users one: with its own half alone starts,
 * or ends, came a minute late. */
double amb_store_lend(struct amb_store *store) {
    refill(store);
    double users = store->user_writes.tokens - store->user_pending;
    double spare = fmin(store->writes.tokens - store->writes.rate / 2, store->user_writes.rate - users);
    double lend = spare >= 1 ? floor(spare) : -borrowable(store, users);
    if (lend == 0) return 0;
    store->writes.tokens -= lend;
    amb_store_lent(store, lend);
    pump(store);
    return lend;
}

/* What reads of changes leave of the requests of a second. One read answers all questions that wait for it,
 * so nothing is lost if it is a little later. (While jobs came and ended fast, and while users asked many
 * times as often, a follower had no request left for one submission in three.) */
static const double NEWS_LEAVE = 0.25;

static amb_ms request_wait(const struct amb_store *store, const struct amb_store_op *op) {
    double left = op->urgency == AMB_URGENT_NEWS ? store->requests.rate * NEWS_LEAVE : 0;
    return amb_budget_wait(&store->requests, 1 + left);
}

/* How long until there are tokens for the operation. */
static amb_ms token_wait(const struct amb_store *store, const struct amb_store_op *op, amb_ms now) {
    if (op->urgency == AMB_URGENT_LEASE) return 0; /* keeping the leadership never waits for tokens */
    amb_ms request = request_wait(store, op);
    amb_ms write = op->urgency == AMB_URGENT_USER ? user_wait(store, op->writes, 0)
                   : op->writes                   ? amb_budget_wait(&store->writes, op->writes)
                                                  : 0;
    amb_ms wait = request > write ? request : write;
    return store->held_until - now > wait ? store->held_until - now : wait;
}

static void pump(void *arg) {
    struct amb_store *store = arg;
    amb_ms now = amb_now();
    refill(store);
    amb_ms next = 0;
    bool write_waits = false; /* a more urgent write of our own half does */
    for (int u = 0; u < AMB_URGENCIES; u++) {
        while (store->queue[u]) {
            struct amb_store_op *op = store->queue[u];
            /* Else small writes would take each token as it comes, and a larger one never find enough: jobs
             * that had ended were called done minutes late while placements went on. */
            if (write_waits && op->writes) break;
            amb_ms wait = token_wait(store, op, now);
            if (wait > 0) {
                if (!next || wait < next) next = wait;
                if (op->writes && u != AMB_URGENT_USER) write_waits = true;
                break; /* in order within a class; a read may pass a write that waits */
            }
            store->queue[u] = op->next;
            if (!op->next) store->tail[u] = NULL;
            op_send(op);
        }
    }
    if (next) amb_timer_in(&store->pump, next, pump, store);
}

static struct amb_store_op *op_new(struct amb_store *store, const char *method, enum amb_urgency u,
                                   amb_store_done fn, void *arg) {
    struct amb_store_op *op = amb_alloc(sizeof *op);
    op->store = store;
    snprintf(op->method, sizeof op->method, "%s", method);
    op->timeout = store->call_timeout;
    op->urgency = u;
    op->fn = fn;
    op->arg = arg;
    return op;
}

static void op_queue(struct amb_store_op *op) {
    struct amb_store *store = op->store;
    enum amb_urgency u = op->urgency;
    op->next = NULL;
    if (store->tail[u])
        store->tail[u]->next = op;
    else
        store->queue[u] = op;
    store->tail[u] = op;
    pump(store);
}

void amb_store_init(struct amb_store *store, const struct amb_settings *settings, amb_ms call_timeout) {
    memset(store, 0, sizeof *store);
    strcpy(store->addr, settings->state);
    store->rps = settings->state_rps;
    store->write_rps = settings->state_write_rps;
    store->lowered_write_rps = amb_settings_lowered_limits(settings).write_rps;
    store->members = settings->npeers + 1;
    store->call_timeout = call_timeout;
    store->requests.tokens = store->rps / store->members;
    store->writes.tokens = store->write_rps / store->members;
    store->user_writes.tokens = store->write_rps * 0.5;
    amb_store_share(store, false);
}

/* The leader's share of all writes, and that of all nodes for what they write as followers. */
static const double LEADER_WRITES = 0.5, FOLLOWER_WRITES = 0.5;

/* What holders of duties may write together, taken from the followers' share, so that the sum of all shares
 * stays what it is without duties. Parted among the nodes alike, the two writes of a rental waited 2 s for
 * tokens at its holder, while nobody else needed the others'. */
static const double HOLDERS_PART = 0.5;

static double write_share(const struct amb_store *store) {
    double follower = FOLLOWER_WRITES / store->members;
    double others = FOLLOWER_WRITES - follower; /* of all nodes but the leader */
    if (!store->duties_in_use) return store->leading ? LEADER_WRITES : follower;
    double base = store->leading ? LEADER_WRITES : follower * (1 - HOLDERS_PART);
    return base + others * HOLDERS_PART * store->duty_part;
}

void amb_store_share(struct amb_store *store, bool leading) {
    /* Requests: half of what there is goes to the leader, the other half to the other nodes alike. Writes:
     * half is for users, whichever node they come to, and half for what the leader records. */
    store->leading = leading;
    double share = store->members == 1 ? 1.0 : leading ? 0.5 : 0.5 / (store->members - 1);
    amb_budget_rate(&store->requests, store->rps * share);
    amb_budget_rate(&store->writes, store->write_rps * write_share(store));
    amb_budget_rate(&store->user_writes, store->write_rps * 0.5);
}

void amb_store_share_duties(struct amb_store *store, bool in_use, double part) {
    if (store->duties_in_use == in_use && store->duty_part == part) return;
    refill(store); /* what has passed counts at the old rate */
    store->duties_in_use = in_use;
    store->duty_part = part;
    amb_store_share(store, store->leading);
}

void amb_store_limits_lowered(struct amb_store *store, const char *sign) {
    if (store->limits_lowered) return;
    store->limits_lowered = true;
    amb_info("state service: limits lowered, %g instead of %g changes a second: %s", store->lowered_write_rps,
             store->write_rps, sign);
    store->write_rps = store->lowered_write_rps;
    amb_store_share(store, store->leading);
}

bool amb_store_can_write(struct amb_store *store, uint32_t n, double keep) {
    refill(store);
    return amb_now() >= store->held_until && !store->queue[AMB_URGENT_USER] &&
           !amb_budget_wait(&store->requests, 1) && !user_wait(store, n, keep);
}

void amb_store_get(struct amb_store *store, const char *key, enum amb_urgency u, amb_store_done fn,
                   void *arg) {
    struct amb_store_op *op = op_new(store, "GET", u, fn, arg);
    snprintf(op->path, sizeof op->path, "/store/%s", key);
    op_queue(op);
}

void amb_store_list(struct amb_store *store, const char *prefix, const char *after, amb_store_done fn,
                    void *arg) {
    struct amb_store_op *op = op_new(store, "GET", AMB_URGENT_NEWS, fn, arg);
    op->timeout *= 3; /* up to 512 KiB */
    if (after && *after)
        snprintf(op->path, sizeof op->path, "/store?prefix=%s&after=%s&most=200", prefix, after);
    else
        snprintf(op->path, sizeof op->path, "/store?prefix=%s&most=200", prefix);
    op_queue(op);
}

void amb_store_follow(struct amb_store *store, const char *prefix, uint64_t after, amb_ms wait,
                      amb_store_bytes_done fn, void *arg) {
    struct amb_store_op *op = op_new(store, "GET", AMB_URGENT_NEWS, NULL, arg);
    op->bytes_fn = fn;
    op->timeout += wait;
    snprintf(op->path, sizeof op->path, "/follow?prefix=%s&after=%llu&wait_ms=%lld", prefix,
             (unsigned long long)after, (long long)wait);
    op_queue(op);
}

void amb_store_commit(struct amb_store *store, struct amb_txn *transaction, enum amb_urgency u,
                      amb_store_done fn, void *arg) {
    struct amb_store_op *op = op_new(store, "POST", u, fn, arg);
    strcpy(op->path, "/commit");
    op->writes = transaction->nops;
    amb_w_map(&op->body, 2);
    amb_w_str(&op->body, "guards");
    amb_w_list(&op->body, transaction->nguards);
    amb_buf_add(&op->body, transaction->guards.data, transaction->guards.len);
    amb_w_str(&op->body, "then");
    amb_w_list(&op->body, transaction->nops);
    amb_buf_add(&op->body, transaction->then.data, transaction->then.len);
    amb_buf_free(&transaction->guards);
    amb_buf_free(&transaction->then);
    memset(transaction, 0, sizeof *transaction);
    op_queue(op);
}

void amb_store_grant(struct amb_store *store, amb_ms ttl, amb_store_done fn, void *arg) {
    struct amb_store_op *op = op_new(store, "POST", AMB_URGENT_LEASE, fn, arg);
    strcpy(op->path, "/leases");
    amb_w_map(&op->body, 1);
    amb_w_str(&op->body, "ttl_ms");
    amb_w_uint(&op->body, (uint64_t)ttl);
    op_queue(op);
}

void amb_store_extend(struct amb_store *store, uint64_t lease, amb_store_done fn, void *arg) {
    struct amb_store_op *op = op_new(store, "POST", AMB_URGENT_LEASE, fn, arg);
    snprintf(op->path, sizeof op->path, "/leases/%llu/extend", (unsigned long long)lease);
    op_queue(op);
}

void amb_store_drop(struct amb_store *store, uint64_t lease) {
    struct amb_store_op *op = op_new(store, "DELETE", AMB_URGENT_LEASE, NULL, NULL);
    snprintf(op->path, sizeof op->path, "/leases/%llu", (unsigned long long)lease);
    op_queue(op);
}
