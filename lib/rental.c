#include "amberpin/log.h"
#include "amberpin/node.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char PREFIX[] = "b/r/";
static const char LEADER_KEY[] = "a/leader";
enum { LIST_PAGE = 500, RENT_MAX = 50, RELEASE_MAX = 100 };

/* ---- calls ---- */

struct cloud_call {
    struct amb_node *node;
    uint64_t term;
    amb_ms began;
    char charter[48];
};

static struct cloud_call *call_new(struct amb_node *n) {
    struct cloud_call *c = amb_alloc(sizeof *c);
    c->node = n;
    c->term = n->election.term;
    c->began = amb_now();
    return c;
}

/* Is the answer still for this node's term? */
static bool current(const struct cloud_call *c) {
    return amb_holds_lead(c->node) && c->node->election.term == c->term;
}

static void refill(struct amb_node *n, amb_ms now) {
    struct amb_rental *r = &n->rental;
    /* The leader makes nearly all calls; the others read the catalogue once. */
    double share = n->set.npeers ? (amb_leads(n) ? 0.8 : 0.2 / n->set.npeers) : 1.0;
    r->calls.seconds = 2; /* the protocol: bursts worth two seconds are permitted */
    amb_budget_rate(&r->calls, n->set.cloud_rps * share);
    amb_budget_refill(&r->calls, now);
}

static bool take_token(struct amb_node *n, amb_ms now) {
    struct amb_rental *r = &n->rental;
    refill(n, now);
    if (now < r->held_until || amb_budget_wait(&r->calls, 1) > 0) return false;
    r->calls.tokens -= 1;
    return true;
}

static void note_status(struct amb_node *n, int status) {
    if (status == 429) n->rental.held_until = amb_now() + amb_secs(1.0 / n->set.cloud_rps);
}

/* ---- the catalogue ---- */

static void catalog_done(void *arg, int status, const char *body, size_t len) {
    struct cloud_call *c = arg;
    struct amb_node *n = c->node;
    free(c);
    note_status(n, status);
    cbor_item_t *item = status == 200 ? amb_cbor_parse(body, len) : NULL;
    const cbor_item_t *types = amb_cbor_get(item, "hulls");
    for (size_t i = 0; i < amb_cbor_len(types); i++) {
        struct amb_type t;
        if (!amb_codec_type(amb_cbor_at(types, i), &t)) continue;
        int at = amb_catalog_type(&n->catalog, t.name);
        if (at < 0 && n->catalog.ntypes < AMB_TYPES) at = (int)n->catalog.ntypes++;
        if (at < 0) {
            amb_error("the cloud offers more than %d types: %s is not used", AMB_TYPES, t.name);
            continue;
        }
        n->catalog.types[at] = t;
        for (uint32_t z = 0; z < t.nzones; z++) amb_catalog_zone(&n->catalog, t.zones[z]);
        n->rental.catalog_known = true;
    }
    if (item) cbor_decref(&item);
}

/* ---- rentals: recorded, then asked for, and known by name before anything else is rented for the need ----
 */

static void charter_state(struct amb_charter *c, int to, const char *cause) {
    static const char *const names[] = {"recording", "asking", "done", "removing"};
    amb_debug("charter %s: %s -> %s: %s", c->id, names[c->state], names[to], cause);
    c->state = to;
}

static struct amb_charter *charter_find(struct amb_node *n, const char *id) {
    struct amb_charter *c = n->rental.charters;
    while (c && strcmp(c->id, id)) c = c->next;
    return c;
}

static void charter_drop(struct amb_node *n, struct amb_charter *c) {
    struct amb_charter **at = &n->rental.charters;
    while (*at != c) at = &(*at)->next;
    *at = c->next;
    free(c);
}

static struct amb_charter *charter_of(void *arg, struct amb_node **n) {
    struct cloud_call *call = arg;
    *n = call->node;
    struct amb_charter *c = current(call) ? charter_find(*n, call->charter) : NULL;
    free(call);
    if (c) c->busy = false;
    return c;
}

static struct cloud_call *charter_call(struct amb_node *n, struct amb_charter *c) {
    struct cloud_call *call = call_new(n);
    strcpy(call->charter, c->id);
    c->busy = true;
    return call;
}

/* The longest waiting is asked for first. */
static void charter_append(struct amb_rental *r, struct amb_charter *c) {
    struct amb_charter **at = &r->charters;
    while (*at) at = &(*at)->next;
    c->next = NULL;
    *at = c;
}

/* Calls are few: what is wanted beyond those that can be made now stays in the plan, where what is wanted of
 * the same kind adds up until its turn comes. (At the start of a day it all stood in a queue, 25 calls for a
 * machine or two each before the 9 that had been wanted first, 18 s late.) */
uint32_t amb_rental_calls(struct amb_node *n, amb_ms now) {
    refill(n, now);
    double left = fmax(n->rental.calls.tokens, 1);
    for (struct amb_charter *c = n->rental.charters; c; c = c->next)
        if (c->state == AMB_CHARTER_RECORDING || (c->state == AMB_CHARTER_ASKING && !c->busy)) left -= 1;
    return left > 0 ? (uint32_t)left : 0;
}

void amb_rental_want(struct amb_node *n, int type, int zone, bool spot, uint32_t count) {
    struct amb_rental *r = &n->rental;
    struct amb_charter *c = amb_alloc(sizeof *c);
    /* The term is never used twice, nor is the counter within it. */
    snprintf(c->id, sizeof c->id, "r-%llu-%llu", (unsigned long long)n->election.term,
             (unsigned long long)++r->counter);
    c->type = type;
    c->zone = zone;
    c->spot = spot;
    c->count = count > RENT_MAX ? RENT_MAX : count;
    c->node = n;
    charter_append(r, c);
    amb_info("charter %s: wants %u %s in %s%s", c->id, c->count, n->catalog.types[type].name,
             n->catalog.zones[zone], spot ? ", spot" : "");
}

static void recorded(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *n;
    struct amb_charter *c = charter_of(arg, &n);
    (void)body;
    if (!c) return;
    /* No answer: asking is safe all the same, since a successor that finds no record loses nothing but the
     * names, which the list shows. */
    if (status == 200 || status == 0)
        charter_state(c, AMB_CHARTER_ASKING, "recorded");
    else if (status == 409)
        charter_drop(n, c);
    else
        c->retry_at = amb_now() + n->store.call_timeout / 4;
}

static void record(struct amb_node *n, struct amb_charter *c) {
    char key[80];
    struct amb_txn t = {0};
    struct amb_buf v = {0};
    snprintf(key, sizeof key, "%s%s", PREFIX, c->id);
    amb_w_map(&v, 4);
    amb_w_str(&v, "type");
    amb_w_str(&v, n->catalog.types[c->type].name);
    amb_w_str(&v, "zone");
    amb_w_str(&v, n->catalog.zones[c->zone]);
    amb_w_str(&v, "spot");
    amb_w_bool(&v, c->spot);
    amb_w_str(&v, "count");
    amb_w_uint(&v, c->count);
    amb_txn_guard(&t, LEADER_KEY, n->election.term);
    amb_txn_put(&t, key, &v, 0);
    amb_buf_free(&v);
    amb_store_commit(&n->store, &t, AMB_URGENT_PLACE, recorded, charter_call(n, c));
}

static void rented(void *arg, int status, const char *body, size_t len) {
    struct amb_node *n;
    struct amb_charter *c = charter_of(arg, &n);
    if (!c) return;
    note_status(n, status);
    amb_ms now = amb_now();
    cbor_item_t *item = len ? amb_cbor_parse(body, len) : NULL;
    if (status == 200 && item) {
        const cbor_item_t *rigs = amb_cbor_get(item, "rigs");
        size_t got = amb_cbor_len(rigs);
        amb_info("charter %s: got %zu of %u", c->id, got, c->count);
        for (size_t i = 0; i < got; i++) {
            char name[AMB_NAME];
            if (!amb_cbor_str(amb_cbor_at(rigs, i), name, sizeof name)) continue;
            bool known = amb_machine_get(n, name, false) != NULL;
            struct amb_machine *m = amb_machine_get(n, name, true);
            if (!m) continue;
            m->type = c->type;
            amb_machine_learn_zone(m, c->zone);
            m->spot = c->spot;
            if (!known) amb_machine_state(m, AMB_MACHINE_BOOTING, "rented");
        }
        struct amb_refusal *ref = &n->rental.refused[c->type][c->zone][c->spot];
        if (got < c->count) {
            ref->until = now + amb_secs(n->set.lease_s * 1.5);
        } else {
            ref->times = 0;
        }
        c->done_at = now;
        charter_state(c, AMB_CHARTER_DONE, "answered");
        amb_controller_wake(n);
    } else if (status == 503 && amb_cbor_eq(amb_cbor_get(item, "error"), "no capacity")) {
        struct amb_refusal *ref = &n->rental.refused[c->type][c->zone][c->spot];
        ref->times++;
        ref->until = now + amb_secs(n->set.lease_s * (ref->times > 4 ? 4 : ref->times));
        amb_info("charter %s: no capacity", c->id);
        charter_state(c, AMB_CHARTER_REMOVING, "no capacity");
        amb_controller_wake(n);
    } else if (status == 400) {
        amb_error("charter %s: the cloud calls it malformed", c->id);
        charter_state(c, AMB_CHARTER_REMOVING, "malformed");
    } else { /* no answer, an outage, too many calls: the same name again rents nothing twice */
        c->retry_at = now + amb_secs(n->set.report_s / 2);
    }
    if (item) cbor_decref(&item);
}

static void ask(struct amb_node *n, struct amb_charter *c) {
    struct amb_buf b = {0};
    amb_w_map(&b, 5);
    amb_w_str(&b, "charter");
    amb_w_str(&b, c->id);
    amb_w_str(&b, "hull");
    amb_w_str(&b, n->catalog.types[c->type].name);
    amb_w_str(&b, "yard");
    amb_w_str(&b, n->catalog.zones[c->zone]);
    amb_w_str(&b, "driftwood");
    amb_w_bool(&b, c->spot);
    amb_w_str(&b, "count");
    amb_w_uint(&b, c->count);
    amb_http_call(n->set.cloud, "POST", "/machines", "application/cbor", b.data, b.len,
                  amb_secs(n->set.report_s * 2), rented, charter_call(n, c));
    amb_buf_free(&b);
}

static void unrecorded(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *n;
    struct amb_charter *c = charter_of(arg, &n);
    (void)body;
    if (!c) return;
    if (status == 200 || status == 409)
        charter_drop(n, c);
    else
        c->retry_at = amb_now() + n->store.call_timeout;
}

static void unrecord(struct amb_node *n, struct amb_charter *c) {
    char key[80];
    struct amb_txn t = {0};
    snprintf(key, sizeof key, "%s%s", PREFIX, c->id);
    amb_txn_guard(&t, LEADER_KEY, n->election.term);
    amb_txn_remove(&t, key);
    amb_store_commit(&n->store, &t, AMB_URGENT_READ, unrecorded, charter_call(n, c));
}

void amb_rental_load(struct amb_node *n, const char *key, const cbor_item_t *value) {
    char name[AMB_NAME];
    uint64_t count;
    if (strncmp(key, PREFIX, sizeof PREFIX - 1)) return;
    struct amb_charter *c = amb_alloc(sizeof *c);
    snprintf(c->id, sizeof c->id, "%s", key + sizeof PREFIX - 1);
    c->type = amb_cbor_str(amb_cbor_get(value, "type"), name, sizeof name)
                  ? amb_catalog_type(&n->catalog, name)
                  : -1;
    c->zone = amb_cbor_str(amb_cbor_get(value, "zone"), name, sizeof name)
                  ? amb_catalog_zone(&n->catalog, name)
                  : -1;
    amb_cbor_bool(amb_cbor_get(value, "spot"), &c->spot);
    if (!amb_cbor_uint(amb_cbor_get(value, "count"), &count) || c->type < 0 || c->zone < 0) {
        free(c);
        return;
    }
    c->count = (uint32_t)count;
    c->node = n;
    c->state = AMB_CHARTER_ASKING; /* repeated: the answer names what an earlier leader rented */
    charter_append(&n->rental, c);
}

bool amb_rental_refused(const struct amb_node *n, int type, int zone, bool spot, amb_ms now) {
    return now < n->rental.refused[type][zone][spot].until;
}

/* ---- returns ---- */

static void post_gone(struct amb_node *n, struct amb_machine *m, enum amb_absence proof) {
    amb_event_post(n, &(struct amb_event){.type = AMB_EVENT_MACHINE_GONE, .machine = m, .proof = proof});
}

void amb_rental_release(struct amb_node *n, struct amb_machine *m, const char *cause) {
    if (m->release_wanted) return;
    m->release_wanted = true;
    amb_info("machine %s: to be returned: %s", m->name, cause);
    (void)n;
}

static void released(void *arg, int status, const char *body, size_t len) {
    struct cloud_call *c = arg;
    struct amb_node *n = c->node;
    struct amb_rental *r = &n->rental;
    (void)body, (void)len;
    bool ours = current(c);
    free(c);
    if (!ours) return;
    note_status(n, status);
    r->releasing = false;
    if (status != 200) {
        r->release_retry_at = amb_now() + amb_secs(n->set.report_s / 4);
        return;
    }
    for (uint32_t i = 0; i < r->nrelease; i++) {
        struct amb_machine *m = amb_machine_get(n, r->release_names[i], false);
        if (m) post_gone(n, m, AMB_ABSENCE_RETURNED);
    }
    r->nrelease = 0;
}

static bool pick_releases(struct amb_node *n) {
    struct amb_rental *r = &n->rental;
    if (r->nrelease) return true; /* the same again until it is answered */
    struct amb_machine *m, *next;
    HASH_ITER(hh, n->fleet.all, m, next) {
        if (!m->release_wanted || r->nrelease == RELEASE_MAX) continue;
        amb_machine_state(m, AMB_MACHINE_RELEASING, "being returned");
        strcpy(r->release_names[r->nrelease++], m->name);
    }
    return r->nrelease > 0;
}

static void release(struct amb_node *n) {
    struct amb_rental *r = &n->rental;
    struct amb_buf b = {0};
    amb_w_map(&b, 1);
    amb_w_str(&b, "rigs");
    amb_w_list(&b, r->nrelease);
    for (uint32_t i = 0; i < r->nrelease; i++) amb_w_str(&b, r->release_names[i]);
    r->releasing = true;
    amb_http_call(n->set.cloud, "POST", "/machines/release", "application/cbor", b.data, b.len,
                  amb_secs(n->set.report_s * 2), released, call_new(n));
    amb_buf_free(&b);
}

/* ---- the list ---- */

static void listed_machine(struct amb_node *n, const cbor_item_t *e, amb_ms began) {
    char name[AMB_NAME], text[AMB_NAME];
    double held = 0;
    if (!amb_cbor_str(amb_cbor_get(e, "ref"), name, sizeof name)) return;
    snprintf(n->rental.list_after, sizeof n->rental.list_after, "%s", name);
    bool known = amb_machine_get(n, name, false) != NULL;
    struct amb_machine *m = amb_machine_get(n, name, true);
    if (!m) return;
    const cbor_item_t *stance = amb_cbor_get(e, "stance");
    m->list_pass = n->rental.list_pass;
    m->listed = true;
    m->listed_at = began;
    if (m->type < 0 && amb_cbor_str(amb_cbor_get(e, "hull"), text, sizeof text))
        m->type = amb_catalog_type(&n->catalog, text);
    if (m->zone < 0 && amb_cbor_str(amb_cbor_get(e, "yard"), text, sizeof text))
        amb_machine_learn_zone(m, amb_catalog_zone(&n->catalog, text));
    if (!m->addr[0]) amb_cbor_str(amb_cbor_get(e, "address"), m->addr, sizeof m->addr);
    if (!known) {
        amb_cbor_bool(amb_cbor_get(e, "driftwood"), &m->spot);
        if (amb_cbor_num(amb_cbor_get(e, "held_s"), &held)) m->known_at = began - amb_secs(held);
        if (amb_cbor_eq(stance, "booting")) amb_machine_state(m, AMB_MACHINE_BOOTING, "listed");
    }
    /* A list may be old, but a machine that failed once never works again. */
    if (amb_cbor_eq(stance, "failed") && m->state != AMB_MACHINE_RELEASING) {
        m->failed = true;
        amb_rental_release(n, m, "the cloud says it failed");
    }
}

static void list_page(struct amb_node *n);

static void list_over(struct amb_node *n, amb_ms began) {
    n->rental.listed = true;
    amb_ms span = amb_absence_list_span(n->set.list_lag_s, n->set.report_s);
    struct amb_machine *m, *next;
    HASH_ITER(hh, n->fleet.all, m, next) {
        if (m->list_pass == n->rental.list_pass) continue;
        const struct amb_list_evidence evidence = {.list_span = span,
                                                   .asked_at = began,
                                                   .known_at = m->first_at,
                                                   .reported_at = m->reported_at,
                                                   .last_named_at = m->listed_at};
        enum amb_absence proof = amb_absence_by_list(&evidence);
        if (amb_absence_proven(proof)) post_gone(n, m, proof);
    }
}

static void list_done(void *arg, int status, const char *body, size_t len) {
    struct cloud_call *c = arg;
    struct amb_node *n = c->node;
    struct amb_rental *r = &n->rental;
    bool ours = current(c);
    free(c);
    if (!ours) return;
    r->listing = false;
    note_status(n, status);
    cbor_item_t *item = status == 200 ? amb_cbor_parse(body, len) : NULL;
    const cbor_item_t *rigs = amb_cbor_get(item, "rigs");
    bool more = false;
    amb_cbor_bool(amb_cbor_get(item, "truncated"), &more);
    for (size_t i = 0; i < amb_cbor_len(rigs); i++) listed_machine(n, amb_cbor_at(rigs, i), r->list_began);
    if (item && more && amb_cbor_len(rigs)) {
        r->listing = true;
        list_page(n);
    } else if (item && cbor_isa_map(item) && amb_cbor_get(item, "rigs")) {
        list_over(n, r->list_began);
    }
    if (item) cbor_decref(&item);
}

static void list_page(struct amb_node *n) {
    char path[160];
    struct amb_rental *r = &n->rental;
    if (r->list_after[0])
        snprintf(path, sizeof path, "/machines?after=%s&most=%d", r->list_after, LIST_PAGE);
    else
        snprintf(path, sizeof path, "/machines?most=%d", LIST_PAGE);
    amb_http_call(n->set.cloud, "GET", path, NULL, NULL, 0, amb_secs(n->set.report_s * 3), list_done,
                  call_new(n));
}

/* ---- the module's turn ---- */

static void tick_charter(struct amb_node *n, struct amb_charter *c, amb_ms now) {
    if (c->busy || now < c->retry_at) return;
    switch (c->state) {
    case AMB_CHARTER_RECORDING:
        if (amb_may_start(n)) record(n, c);
        break;
    case AMB_CHARTER_ASKING:
        if (amb_may_start(n) && take_token(n, now)) ask(n, c);
        break;
    case AMB_CHARTER_DONE:
        /* Kept until the machines must be listed: until then only this record tells a successor of them. */
        if (now - c->done_at > amb_secs(n->set.list_lag_s * 2.2))
            charter_state(c, AMB_CHARTER_REMOVING, "listed by now");
        break;
    case AMB_CHARTER_REMOVING:
        if (amb_may_start(n)) unrecord(n, c);
        break;
    }
}

void amb_rental_tick(struct amb_node *n, amb_ms now) {
    struct amb_rental *r = &n->rental;
    amb_ms stale = r->catalog_known ? amb_secs(n->set.lease_s * 6) : amb_secs(n->set.report_s / 2);
    if ((!r->catalog_known || amb_leads(n)) && (!r->catalog_at || now - r->catalog_at > stale) &&
        take_token(n, now)) {
        r->catalog_at = now;
        amb_http_call(n->set.cloud, "GET", "/catalog", NULL, NULL, 0, amb_secs(n->set.report_s * 3),
                      catalog_done, call_new(n));
    }
    if (!amb_leads(n) || !n->ctl.loaded_at) return;
    if (!r->releasing && now >= r->release_retry_at && amb_may_start(n) && pick_releases(n) &&
        take_token(n, now))
        release(n);
    for (struct amb_charter *c = r->charters, *next; c; c = next) {
        next = c->next;
        tick_charter(n, c, now);
    }
    amb_ms pace =
        amb_secs(n->set.list_lag_s * 0.25 > n->set.report_s ? n->set.list_lag_s * 0.25 : n->set.report_s);
    if (!r->listing && now - r->list_at > pace && take_token(n, now)) {
        r->list_at = r->list_began = now;
        r->list_pass++;
        r->list_after[0] = 0;
        r->listing = true;
        list_page(n);
    }
}

void amb_rental_clear(struct amb_node *n) {
    struct amb_rental *r = &n->rental;
    while (r->charters) charter_drop(n, r->charters);
    r->listing = r->releasing = r->listed = false;
    r->nrelease = 0;
    r->list_at = 0;
    memset(r->refused, 0, sizeof r->refused);
}

void amb_rental_init(struct amb_node *n) {
    n->rental.calls.tokens = 1;
}
