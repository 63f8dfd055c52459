#define _GNU_SOURCE
#include "world.h"

#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

struct deployment deployment;
ms_t started_at;
int front_port[NODES_MAX];
double (*run_seconds)(const char *leg);

ms_t since_start(void) { return now_ms() - started_at; }

void note(const char *format, ...) {
    va_list args;
    va_start(args, format);
    printf("%8.3f ", (double)since_start() / 1000);
    vprintf(format, args);
    printf("\n");
    fflush(stdout);
    va_end(args);
}

/* ============ state service ============ */

enum { CHANGES_KEPT = 10000, KEYS_MAX = 20000, LEASES_MAX = 64, PAGE_MAX = 1000, PAGE_BYTES = 400000, NORMAL_MS = 3 };
struct key { char path[201]; struct buf value; uint64_t stamp, tenure; };
struct change { char path[201]; struct buf value; bool removed; uint64_t stamp; };
struct lease { uint64_t id; ms_t ttl, end; };
struct follow { struct request *request; int node; char prefix[201]; uint64_t after; bool used; uint64_t serial; };

static struct key *keys[KEYS_MAX]; /* sorted by path */
static int key_count;
static struct change changes[CHANGES_KEPT];
static uint64_t change_total, epoch = 100, lease_ids, follow_ids;
static struct lease leases[LEASES_MAX];
static int lease_count;
static struct follow follows[64];
static enum state_mode state_mode[NODES_MAX];
static bool outage;
static int state_port[NODES_MAX], cloud_port;
static ms_t slow_delay[NODES_MAX], slow_until[NODES_MAX];
static int leader = -1;
void (*on_commit_done)(int node, const struct val *transaction);

static int key_place(const char *path, bool *found) {
    int low = 0, high = key_count;
    while (low < high) {
        int mid = (low + high) / 2, c = strcmp(keys[mid]->path, path);
        if (!c) { *found = true; return mid; }
        if (c < 0) low = mid + 1; else high = mid;
    }
    *found = false;
    return low;
}

static void record_change(const char *path, const struct buf *value) {
    struct change *c = &changes[change_total++ % CHANGES_KEPT];
    buf_free(&c->value);
    snprintf(c->path, sizeof c->path, "%s", path);
    c->removed = !value;
    if (value) buf_add(&c->value, value->data, value->len);
    c->stamp = epoch;
    if (!strcmp(path, "a/leader")) {
        struct val *v = value ? cbor_parse(value->data, value->len) : NULL;
        leader = -1;
        for (size_t i = 0; v && v->kind == K_MAP && i < v->count; i++)
            for (int n = 0; n < deployment.nodes; n++) {
                char name[16];
                snprintf(name, sizeof name, "node-%d", n);
                if (v->items[2 * i + 1]->kind == K_TEXT && !strcmp(v->items[2 * i + 1]->text, name)) leader = n;
            }
        note("state: leader key %s, stamp %llu: node %d", value ? "written" : "removed", (unsigned long long)epoch, leader);
        val_free(v);
    }
}

int leader_node(void) { return leader; }

static void key_remove(int at) {
    record_change(keys[at]->path, NULL);
    buf_free(&keys[at]->value);
    free(keys[at]);
    memmove(&keys[at], &keys[at + 1], (size_t)(--key_count - at) * sizeof *keys);
}

static void put_json_pair(struct buf *b, const char *name, uint64_t n) {
    put_map(b, 1);
    put_text(b, name);
    put_uint(b, n);
}

struct late { struct request *request; int status; struct buf body; };
static void send_late(void *arg, uint64_t extra) {
    struct late *l = arg;
    (void)extra;
    reply(l->request, l->status, &l->body);
    buf_free(&l->body);
    free(l);
}

static void answer(struct request *r, int status, struct buf *body, ms_t delay) {
    struct late *l = calloc(1, sizeof *l);
    l->request = r;
    l->status = status;
    if (body) l->body = *body;
    after(delay, send_late, l, 0);
}

static ms_t follow_delay(int node) { return now_ms() < slow_until[node] ? slow_delay[node] : NORMAL_MS; }

static bool refused(int node) { return outage || state_mode[node] == STATE_REFUSES; }

static bool answer_follow(struct follow *f, bool empty_too) {
    struct buf list = {0}, body = {0};
    size_t count = 0;
    uint64_t oldest = change_total > CHANGES_KEPT ? changes[change_total % CHANGES_KEPT].stamp : 0;
    if (oldest && f->after + 1 < oldest) {
        answer(f->request, 410, NULL, NORMAL_MS);
        f->used = false;
        return true;
    }
    uint64_t first = change_total > CHANGES_KEPT ? change_total - CHANGES_KEPT : 0;
    uint64_t i = change_total;
    while (i > first && changes[(i - 1) % CHANGES_KEPT].stamp > f->after) i--;
    for (; i < change_total; i++) {
        struct change *c = &changes[i % CHANGES_KEPT];
        if (strncmp(c->path, f->prefix, strlen(f->prefix))) continue;
        count++;
        put_map(&list, c->removed ? 2 : 3);
        put_text(&list, c->removed ? "remove" : "put");
        put_text(&list, c->path);
        if (!c->removed) { put_text(&list, "value"); buf_add(&list, c->value.data, c->value.len); }
        put_text(&list, "stamp");
        put_uint(&list, c->stamp);
    }
    if (!count && !empty_too) return false;
    put_map(&body, 2);
    put_text(&body, "epoch");
    put_uint(&body, epoch);
    put_text(&body, "news");
    put_list(&body, count);
    if (list.len) buf_add(&body, list.data, list.len);
    buf_free(&list);
    answer(f->request, 200, &body, follow_delay(f->node));
    f->used = false;
    return true;
}

static void notify_follows(void) {
    for (int i = 0; i < 64; i++)
        if (follows[i].used && !refused(follows[i].node) && state_mode[follows[i].node] == STATE_SERVES)
            answer_follow(&follows[i], false);
}

static void follow_timed_out(void *arg, uint64_t serial) {
    struct follow *f = arg;
    if (!f->used || f->serial != serial) return;
    /* An open watch stays open while its node is refused, cut off, or in an outage. */
    if (refused(f->node) || state_mode[f->node] == STATE_HELD) { after(100, follow_timed_out, f, serial); return; }
    answer_follow(f, true);
}

static void expire_leases(void *arg, uint64_t extra) {
    ms_t now = now_ms();
    bool any = false;
    (void)arg, (void)extra;
    for (int i = 0; i < lease_count; i++) {
        if (outage) leases[i].end = now + leases[i].ttl;
        if (leases[i].end > now) continue;
        for (int k = key_count - 1; k >= 0; k--)
            if (keys[k]->tenure == leases[i].id) { epoch++; key_remove(k); any = true; }
        leases[i--] = leases[--lease_count];
    }
    if (any) notify_follows();
    if (extra) after(20, expire_leases, NULL, 1);
}

static struct lease *lease_of(uint64_t id) {
    for (int i = 0; i < lease_count; i++) if (leases[i].id == id) return &leases[i];
    return NULL;
}

static void commit(int node, struct request *r, ms_t delay) {
    struct val *t = cbor_parse(r->body, r->len);
    const struct val *guards = map_get(t, "guards"), *then = map_get(t, "then");
    struct buf failed = {0}, body = {0};
    size_t failures = 0;
    for (size_t i = 0; then && i < then->count; i++)
        if (map_has(then->items[i], "tenure") && !lease_of(map_uint(then->items[i], "tenure"))) {
            answer(r, 400, NULL, delay);
            val_free(t);
            return;
        }
    for (size_t i = 0; guards && i < guards->count; i++) {
        bool found;
        int at = key_place(map_text(guards->items[i], "path"), &found);
        if ((found ? keys[at]->stamp : 0) == map_uint(guards->items[i], "stamp")) continue;
        failures++;
        put_text(&failed, map_text(guards->items[i], "path"));
    }
    if (failures) {
        put_map(&body, 2);
        put_text(&body, "failed");
        put_list(&body, failures);
        buf_add(&body, failed.data, failed.len);
        put_text(&body, "epoch");
        put_uint(&body, epoch);
        buf_free(&failed);
        answer(r, 409, &body, delay);
        val_free(t);
        return;
    }
    if (then && then->count) epoch++;
    for (size_t i = 0; then && i < then->count; i++) {
        const struct val *op = then->items[i], *value = map_get(op, "value");
        bool found, is_put = map_has(op, "put");
        const char *path = map_text(op, is_put ? "put" : "remove");
        int at = key_place(path, &found);
        if (!is_put) { if (found) key_remove(at); continue; }
        if (!found) {
            memmove(&keys[at + 1], &keys[at], (size_t)(key_count++ - at) * sizeof *keys);
            keys[at] = calloc(1, sizeof **keys);
            snprintf(keys[at]->path, sizeof keys[at]->path, "%s", path);
        }
        buf_free(&keys[at]->value);
        buf_add(&keys[at]->value, value->raw, value->raw_len);
        keys[at]->stamp = epoch;
        keys[at]->tenure = map_uint(op, "tenure");
        record_change(path, &keys[at]->value);
    }
    put_json_pair(&body, "epoch", epoch);
    answer(r, 200, &body, delay);
    if (on_commit_done) on_commit_done(node, t);
    notify_follows();
    val_free(t);
}

static void parameter(const char *path, const char *name, char *out, size_t cap) {
    const char *at = strstr(path, name);
    out[0] = 0;
    if (at) snprintf(out, cap, "%.*s", (int)strcspn(at + strlen(name), "&"), at + strlen(name));
}

static void put_pair(struct buf *b, const struct key *k) {
    put_map(b, 3);
    put_text(b, "path");
    put_text(b, k->path);
    put_text(b, "value");
    buf_add(b, k->value.data, k->value.len);
    put_text(b, "stamp");
    put_uint(b, k->stamp);
}

static void list_keys(struct request *r, ms_t delay) {
    char prefix[201], after_key[201], most[32];
    struct buf list = {0}, body = {0};
    parameter(r->path, "prefix=", prefix, sizeof prefix);
    parameter(r->path, "after=", after_key, sizeof after_key);
    parameter(r->path, "most=", most, sizeof most);
    size_t limit = most[0] ? strtoul(most, NULL, 10) : PAGE_MAX, count = 0;
    bool more = false;
    if (limit > PAGE_MAX) limit = PAGE_MAX;
    for (int i = 0; i < key_count; i++) {
        if (strncmp(keys[i]->path, prefix, strlen(prefix)) || strcmp(keys[i]->path, after_key) <= 0) continue;
        if (count == limit || list.len > PAGE_BYTES) { more = true; break; }
        put_pair(&list, keys[i]);
        count++;
    }
    put_map(&body, 3);
    put_text(&body, "pairs");
    put_list(&body, count);
    if (list.len) buf_add(&body, list.data, list.len);
    put_text(&body, "truncated");
    put_bool(&body, more);
    put_text(&body, "epoch");
    put_uint(&body, epoch);
    buf_free(&list);
    answer(r, 200, &body, delay);
}

static void read_key(struct request *r, const char *path, ms_t delay) {
    struct buf body = {0};
    bool found;
    int at = key_place(path, &found);
    if (!found) {
        put_json_pair(&body, "epoch", epoch);
        answer(r, 404, &body, delay);
        return;
    }
    put_map(&body, 4);
    put_text(&body, "path");
    put_text(&body, path);
    put_text(&body, "value");
    buf_add(&body, keys[at]->value.data, keys[at]->value.len);
    put_text(&body, "stamp");
    put_uint(&body, keys[at]->stamp);
    put_text(&body, "tenure");
    if (keys[at]->tenure) put_uint(&body, keys[at]->tenure); else put_null(&body);
    answer(r, 200, &body, delay);
}

static void on_lease_call(struct request *r, ms_t delay) {
    struct buf body = {0};
    if (!strcmp(r->path, "/leases")) {
        struct val *v = cbor_parse(r->body, r->len);
        if (lease_count == LEASES_MAX) abort();
        struct lease *l = &leases[lease_count++];
        *l = (struct lease){++lease_ids, (ms_t)map_number(v, "ttl_ms"), 0};
        l->end = now_ms() + l->ttl;
        val_free(v);
        put_json_pair(&body, "tenure", l->id);
        answer(r, 200, &body, delay);
        return;
    }
    uint64_t id = strtoull(r->path + strlen("/leases/"), NULL, 10);
    struct lease *l = lease_of(id);
    if (!l) { answer(r, 404, NULL, delay); return; }
    l->end = now_ms() + (strcmp(r->method, "DELETE") ? l->ttl : 0);
    if (!strcmp(r->method, "DELETE")) expire_leases(NULL, 0);
    put_json_pair(&body, "tenure", id);
    answer(r, 200, &body, delay);
}

struct held { struct request *request; struct held *next; };
static struct held *held_first[NODES_MAX], **held_end[NODES_MAX];

static void serve_state(int node, struct request *r) {
    ms_t delay = NORMAL_MS;
    if (refused(node)) { answer(r, 503, NULL, delay); return; }
    if (!strcmp(r->path, "/commit")) commit(node, r, delay);
    else if (!strncmp(r->path, "/store?", 7)) list_keys(r, delay);
    else if (!strncmp(r->path, "/store/", 7)) read_key(r, r->path + 7, delay);
    else if (!strncmp(r->path, "/leases", 7)) on_lease_call(r, delay);
    else if (!strncmp(r->path, "/follow", 7)) {
        char text[64];
        int i = 0;
        while (i < 64 && follows[i].used) i++;
        if (i == 64) abort();
        struct follow *f = &follows[i];
        *f = (struct follow){.request = r, .node = node, .used = true, .serial = ++follow_ids};
        parameter(r->path, "prefix=", f->prefix, sizeof f->prefix);
        parameter(r->path, "after=", text, sizeof text);
        f->after = strtoull(text, NULL, 10);
        parameter(r->path, "wait_ms=", text, sizeof text);
        ms_t wait = strtoll(text, NULL, 10);
        if (!answer_follow(f, wait <= 0)) after(wait, follow_timed_out, f, f->serial);
    } else answer(r, 400, NULL, delay);
}

static void on_state(void *arg, struct request *r) {
    int node = (int)(intptr_t)arg;
    if (state_mode[node] == STATE_HELD) { /* the packets wait until the cut is over */
        struct held *h = calloc(1, sizeof *h);
        h->request = r;
        if (!held_end[node]) held_end[node] = &held_first[node];
        *held_end[node] = h;
        held_end[node] = &h->next;
        return;
    }
    serve_state(node, r);
}

void state_set(int node, enum state_mode mode) {
    state_mode[node] = mode;
    if (mode == STATE_HELD) return;
    struct held *h = held_first[node];
    held_first[node] = NULL;
    held_end[node] = NULL;
    while (h) {
        struct held *next = h->next;
        serve_state(node, h->request);
        free(h);
        h = next;
    }
    notify_follows();
}

void state_outage(bool on) {
    expire_leases(NULL, 0);
    outage = on;
    if (!on) notify_follows();
}

void follow_slow(int node, ms_t delay, ms_t for_ms) {
    slow_delay[node] = delay;
    slow_until[node] = now_ms() + for_ms;
}

/* ============ machines ============ */

struct machine {
    bool used, up;
    char name[NAME];
    int index, port, zone;
    ms_t rented_at, session_since, answered_sent_at, sent_at, last_sent_at;
    uint64_t watch, tally, baton;
    struct task tasks[TASKS_MAX];
    struct client *client;
    int node;
    bool changed;
    uint64_t turn;
    size_t sent_bytes;
};
static struct machine machines[MACHINES_MAX];
static int machine_count;
ms_t last_report_at[MACHINES_MAX];
int lease_ends;
void (*on_lease_end)(int machine, int killed);
void (*on_run)(int machine, const char *leg, uint64_t attempt);
void (*on_task_start)(int machine, const char *leg);
enum { FETCH_MS = 50 }; /* the images are small here */

struct machine_view machine_view(int i) {
    struct machine_view v = {.name = machines[i].name, .up = machines[i].used && machines[i].up};
    for (int t = 0; t < TASKS_MAX; t++) v.tasks += machines[i].tasks[t].used && !machines[i].tasks[t].exited;
    return v;
}

static struct task *task_find(struct machine *m, const char *leg, uint64_t attempt) {
    for (int i = 0; i < TASKS_MAX; i++)
        if (m->tasks[i].used && m->tasks[i].attempt == attempt && !strcmp(m->tasks[i].leg, leg)) return &m->tasks[i];
    return NULL;
}

static void exit_task(struct machine *m, struct task *t, const char *cause) {
    if (t->exited) return;
    note("worker %s: task %s attempt %llu exits, %s", m->name, t->leg, (unsigned long long)t->attempt, cause);
    t->exited = true;
    t->stance = "exited";
    t->cause = cause;
    m->changed = true;
}

static void carry_out(struct machine *m, const struct val *orders) {
    for (size_t i = 0; orders && orders->kind == K_LIST && i < orders->count; i++) {
        const struct val *o = orders->items[i];
        const char *verb = map_text(o, "verb"), *leg = map_text(o, "leg");
        uint64_t attempt = map_uint(o, "try");
        struct task *t = task_find(m, leg, attempt);
        if (!strcmp(verb, "run") && !t) {
            int f = 0;
            while (f < TASKS_MAX && m->tasks[f].used) f++;
            if (f == TASKS_MAX) abort();
            t = &m->tasks[f];
            *t = (struct task){.used = true, .attempt = attempt, .stance = "fetching", .ready_at = now_ms() + FETCH_MS};
            snprintf(t->leg, sizeof t->leg, "%s", leg);
            note("worker %s: run %s attempt %llu", m->name, leg, (unsigned long long)attempt);
            if (on_run) on_run(m->index, leg, attempt);
            m->changed = true;
        } else if (!strcmp(verb, "halt") && t) {
            exit_task(m, t, "stopped");
        } else if (!strcmp(verb, "clear") && t && t->exited) {
            t->used = false;
            m->changed = true;
        }
    }
}

static void put_report(struct buf *b, struct machine *m) {
    size_t count = 0;
    char address[64];
    for (int i = 0; i < TASKS_MAX; i++) count += m->tasks[i].used;
    snprintf(address, sizeof address, "127.0.0.1:%d", m->port);
    m->tally++;
    put_map(b, 10);
    put_text(b, "rig"); put_text(b, m->name);
    put_text(b, "address"); put_text(b, address);
    put_text(b, "hull"); put_text(b, deployment.hull.name);
    put_text(b, "yard"); put_text(b, deployment.zones[m->zone]);
    put_text(b, "driftwood"); put_bool(b, false);
    put_text(b, "watch"); put_uint(b, m->watch);
    put_text(b, "tally"); put_uint(b, m->tally);
    put_text(b, "baton"); put_uint(b, m->baton);
    put_text(b, "recall_s"); put_null(b);
    put_text(b, "legs"); put_list(b, count);
    for (int i = 0; i < TASKS_MAX; i++) {
        const struct task *t = &m->tasks[i];
        if (!t->used) continue;
        put_map(b, t->exited ? 4 : 3);
        put_text(b, "leg"); put_text(b, t->leg);
        put_text(b, "try"); put_uint(b, t->attempt);
        put_text(b, "stance"); put_text(b, t->stance);
        if (t->exited) { put_text(b, "cause"); put_text(b, t->cause); }
    }
}

static void on_worker(void *arg, struct request *r) {
    struct machine *m = arg;
    struct buf body = {0};
    int status = 200;
    if (!strcmp(r->path, "/commands")) {
        struct val *v = cbor_parse(r->body, r->len);
        if (!map_has(v, "baton") || !map_has(v, "watch")) status = 400;
        else if (map_uint(v, "baton") < m->baton || map_uint(v, "watch") != m->watch) status = 409;
        else {
            if (map_uint(v, "baton") > m->baton) { m->baton = map_uint(v, "baton"); m->changed = true; }
            carry_out(m, map_get(v, "orders"));
        }
        val_free(v);
    }
    if (status != 400) put_report(&body, m);
    reply(r, status, &body);
    buf_free(&body);
}

static void next_session(struct machine *m) {
    int killed = 0;
    for (int i = 0; i < TASKS_MAX; i++) {
        killed += m->tasks[i].used && !m->tasks[i].exited;
        m->tasks[i].used = false;
    }
    note("worker %s: lease is over, session %llu begins, %d tasks killed", m->name, (unsigned long long)m->watch + 1, killed);
    lease_ends++;
    if (on_lease_end) on_lease_end(m->index, killed);
    m->watch++;
    m->session_since = now_ms();
    m->answered_sent_at = 0;
    m->changed = true;
}

static void worker_turn(void *arg, uint64_t turn);

static void plan_turn(struct machine *m, ms_t delay) { after(delay < 0 ? 0 : delay, worker_turn, m, ++m->turn); }

static void on_report_answer(void *arg, int status, const char *body, size_t len) {
    struct machine *m = arg;
    struct val *v = len ? cbor_parse(body, len) : NULL;
    ms_t period = (ms_t)(deployment.report_s * 1000);
    ms_t left = m->sent_at + period + (rand() % (int)(period / 2)) - period / 4 - now_ms();
    if (status == 200) {
        uint64_t baton = map_uint(v, "baton");
        if (map_has(v, "baton") && baton >= m->baton) {
            if (baton > m->baton) { m->baton = baton; m->changed = true; }
            m->answered_sent_at = m->sent_at;
            carry_out(m, map_get(v, "orders"));
        }
    } else {
        int node = -1;
        if (status != 421) note("worker %s: a report of %zu bytes to node-%d is answered %d", m->name, m->sent_bytes, m->node, status);
        if (status == 421)
            for (int n = 0; n < deployment.nodes; n++) {
                char name[16];
                snprintf(name, sizeof name, "node-%d", n);
                if (!strcmp(map_text(v, "harbour"), name) && n != m->node) node = n;
            }
        client_close(m->client);
        m->node = node >= 0 ? node : (m->node + 1) % deployment.nodes;
        left = node >= 0 ? rand() % 500 : 1000;
        if (left < m->sent_at + 500 - now_ms()) left = m->sent_at + 500 - now_ms();
    }
    val_free(v);
    plan_turn(m, left);
}

static void send_report(struct machine *m) {
    struct buf b = {0};
    m->sent_at = now_ms();
    last_report_at[m->index] = m->sent_at;
    m->changed = false;
    m->turn++;
    put_report(&b, m);
    m->sent_bytes = b.len;
    client_call(m->client, front_port[m->node], "POST", "/hello", &b, 4000, on_report_answer, m);
    buf_free(&b);
}

static void worker_turn(void *arg, uint64_t turn) {
    struct machine *m = arg;
    if (!m->used || !m->up || turn != m->turn || client_is_busy(m->client)) return;
    send_report(m);
}

/* Tasks get their image, run and end; leases end; changes are reported. */
static void tick_machines(void *arg, uint64_t extra) {
    ms_t now = now_ms(), lease = (ms_t)(deployment.lease_s * 1000);
    (void)arg, (void)extra;
    for (int i = 0; i < machine_count; i++) {
        struct machine *m = &machines[i];
        if (!m->used || !m->up) continue;
        ms_t since = m->answered_sent_at ? m->answered_sent_at : m->session_since;
        if (now - since > lease) next_session(m);
        for (int t = 0; t < TASKS_MAX; t++) {
            struct task *task = &m->tasks[t];
            if (!task->used || task->exited) continue;
            if (!strcmp(task->stance, "fetching") && now >= task->ready_at) {
                double seconds = run_seconds ? run_seconds(task->leg) : 0;
                task->stance = "running";
                task->end_at = seconds > 0 ? now + (ms_t)(seconds * 1000) : 0;
                m->changed = true;
                if (on_task_start) on_task_start(m->index, task->leg);
            }
            if (task->end_at && now >= task->end_at) exit_task(m, task, "done");
        }
        if (m->changed && !client_is_busy(m->client) && now - m->sent_at >= 500) send_report(m);
    }
    after(20, tick_machines, NULL, 0);
}

static struct machine *machine_new(int zone, ms_t up_in);

static void machine_comes_up(void *arg, uint64_t extra) {
    struct machine *m = arg;
    (void)extra;
    if (!m->used) return;
    m->up = true;
    m->watch = 1;
    m->session_since = now_ms();
    m->node = rand() % deployment.nodes;
    note("worker %s: up", m->name);
    plan_turn(m, 0);
}

/* Names are not used again, so machines that were returned keep their place in the table. */
static struct machine *machine_new(int zone, ms_t up_in) {
    int in_use = 0;
    for (int i = 0; i < machine_count; i++) in_use += machines[i].used;
    if (machine_count == MACHINES_MAX || in_use >= deployment.cloud_machines) return NULL;
    struct machine *m = &machines[machine_count];
    m->index = machine_count++;
    m->used = true;
    snprintf(m->name, sizeof m->name, "m-%06d", m->index + 1);
    m->zone = zone;
    m->rented_at = now_ms();
    m->client = client_new();
    m->port = serve(on_worker, m);
    after(up_in, machine_comes_up, m, 0);
    return m;
}

/* ============ cloud ============ */

enum { BOOT_MS = 3000, CLOUD_MS = 60 };
static struct { char name[NAME]; char rigs[50][NAME]; int count; } charters[64];
static int charter_count;

static void on_cloud(void *arg, struct request *r) {
    struct buf body = {0};
    struct val *v = r->len ? cbor_parse(r->body, r->len) : NULL;
    int status = 200;
    (void)arg;
    if (!strcmp(r->path, "/catalog")) {
        put_map(&body, 1);
        put_text(&body, "hulls");
        put_list(&body, 1);
        put_map(&body, 10);
        put_text(&body, "name"); put_text(&body, deployment.hull.name);
        put_text(&body, "vcpus"); put_real(&body, deployment.hull.cpus);
        put_text(&body, "accelerators"); put_real(&body, deployment.hull.gpus);
        put_text(&body, "ram_gb"); put_real(&body, deployment.hull.memory_gb);
        put_text(&body, "local_gb"); put_real(&body, 600);
        put_text(&body, "fetch_gb_per_s"); put_real(&body, 4);
        put_text(&body, "hourly"); put_real(&body, 21.55);
        put_text(&body, "market_price"); put_real(&body, 7.41);
        put_text(&body, "boot_s"); put_real(&body, 50);
        put_text(&body, "yards"); put_list(&body, 2);
        put_text(&body, deployment.zones[0]); put_text(&body, deployment.zones[1]);
    } else if (!strcmp(r->path, "/machines")) {
        const char *name = map_text(v, "charter");
        int c = 0;
        while (c < charter_count && strcmp(charters[c].name, name)) c++;
        if (c == charter_count && charter_count == 64) status = 503;
        if (status == 200 && c == charter_count) {
            snprintf(charters[charter_count++].name, NAME, "%s", name);
            int zone = strcmp(map_text(v, "yard"), deployment.zones[0]) ? 1 : 0;
            for (uint64_t i = 0; i < map_uint(v, "count"); i++) {
                struct machine *m = machine_new(zone, BOOT_MS);
                if (!m) break;
                note("cloud: %s rented for %s", m->name, name);
                snprintf(charters[c].rigs[charters[c].count++], NAME, "%s", m->name);
            }
            if (!charters[c].count) { charter_count--; status = 503; } /* after a 503 the request may be sent again */
        }
        if (status == 200) {
            put_map(&body, 1);
            put_text(&body, "rigs");
            put_list(&body, (size_t)charters[c].count);
            for (int i = 0; i < charters[c].count; i++) put_text(&body, charters[c].rigs[i]);
        } else {
            put_map(&body, 1);
            put_text(&body, "error");
            put_text(&body, "no capacity");
        }
    } else if (!strcmp(r->path, "/machines/release")) {
        const struct val *rigs = map_get(v, "rigs");
        for (size_t i = 0; rigs && i < rigs->count; i++)
            for (int k = 0; k < machine_count; k++)
                if (machines[k].used && rigs->items[i]->kind == K_TEXT && !strcmp(rigs->items[i]->text, machines[k].name)) {
                    note("cloud: %s is returned", machines[k].name);
                    machines[k].used = machines[k].up = false;
                    client_close(machines[k].client);
                }
        put_map(&body, 0);
    } else {
        char from[NAME];
        size_t count = 0;
        parameter(r->path, "after=", from, sizeof from);
        for (int k = 0; k < machine_count; k++) count += machines[k].used && strcmp(machines[k].name, from) > 0;
        put_map(&body, 2);
        put_text(&body, "rigs");
        put_list(&body, count);
        for (int k = 0; k < machine_count; k++) {
            struct machine *m = &machines[k];
            char address[64];
            if (!m->used || strcmp(m->name, from) <= 0) continue;
            snprintf(address, sizeof address, "127.0.0.1:%d", m->port);
            put_map(&body, 7);
            put_text(&body, "ref"); put_text(&body, m->name);
            put_text(&body, "address"); put_text(&body, address);
            put_text(&body, "hull"); put_text(&body, deployment.hull.name);
            put_text(&body, "yard"); put_text(&body, deployment.zones[m->zone]);
            put_text(&body, "driftwood"); put_bool(&body, false);
            put_text(&body, "stance"); put_text(&body, m->up ? "running" : "booting");
            put_text(&body, "held_s"); put_real(&body, (double)(now_ms() - m->rented_at) / 1000);
        }
        put_text(&body, "truncated");
        put_bool(&body, false);
    }
    val_free(v);
    answer(r, status, &body, CLOUD_MS);
}

/* ============ controllers ============ */

static const char *program_path, *work_directory;
static pid_t pids[NODES_MAX];
static int cluster_port[NODES_MAX];
static struct proxy *peer_proxy[NODES_MAX][NODES_MAX];
static int peer_port[NODES_MAX][NODES_MAX];

void peers_set(int from, int to, enum proxy_mode mode) {
    if (from != to) proxy_set(peer_proxy[from][to], mode);
}

static void write_settings(int n) {
    char path[512];
    snprintf(path, sizeof path, "%s/node-%d.toml", work_directory, n);
    FILE *f = fopen(path, "w");
    if (!f) { perror(path); exit(2); }
    fprintf(f, "member = \"node-%d\"\narea = \"%s\"\nfront = \"127.0.0.1:%d\"\ncluster_listen = \"127.0.0.1:%d\"\n", n,
            deployment.zones[n % 2], front_port[n], cluster_port[n]);
    for (int o = 0; o < deployment.nodes; o++)
        if (o != n)
            fprintf(f, "[[others]]\nmember = \"node-%d\"\narea = \"%s\"\naddr = \"127.0.0.1:%d\"\n", o, deployment.zones[o % 2],
                    peer_port[n][o]);
    fprintf(f, "[endpoints]\ncloud = \"127.0.0.1:%d\"\nstate = \"127.0.0.1:%d\"\n", cloud_port, state_port[n]);
    fprintf(f, "[params]\ninitial_size = %d\nzones = [\"%s\", \"%s\"]\nskew_ms = 5.0\n", deployment.nodes, deployment.zones[0],
            deployment.zones[1]);
    for (int t = 0; t < deployment.teams; t++)
        fprintf(f, "[[params.teams]]\nname = \"%s\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = %.1f\ngpus_max = %.1f\n",
                deployment.team[t].name, deployment.team[t].gpus, deployment.team[t].gpus_max);
    fprintf(f, "[[params.objectives]]\nkind = \"wait\"\nclass = \"rider-help\"\nwithin_s = 40.0\nshare = 0.82\n");
    fprintf(f, "[params.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 50.0\ngang_peer_s = 5.0\ncancel_s = %.1f\n",
            deployment.report_s, deployment.lease_s, deployment.cancel_s);
    fprintf(f, "[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %d.0\ntxn_ops = %d\n", deployment.rps,
            deployment.write_rps, deployment.value_kb, deployment.txn_ops);
    fprintf(f, "[params.cloud]\nrps = 8.0\nlist_lag_s = 5.0\n");
    fprintf(f, "[params.quota]\ncores = 0.064\nmemory_mb = %.1f\nfd_limit = 500\n", deployment.memory_mb);
    fclose(f);
}

void controller_start(int n) {
    char settings[512], log[512];
    if (pids[n]) return;
    snprintf(settings, sizeof settings, "%s/node-%d.toml", work_directory, n);
    snprintf(log, sizeof log, "%s/node-%d.log", work_directory, n);
    pids[n] = fork();
    if (pids[n] == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, 1);
        dup2(fd, 2);
        execl(program_path, program_path, "--config", settings, (char *)NULL);
        _exit(127);
    }
    note("controller node-%d started", n);
}

void controller_kill(int n) {
    if (!pids[n]) return;
    kill(pids[n], SIGKILL);
    waitpid(pids[n], NULL, 0);
    pids[n] = 0;
}

void controller_stop(int n) { if (pids[n]) kill(pids[n], SIGSTOP); }
void controller_continue(int n) { if (pids[n]) kill(pids[n], SIGCONT); }

void controllers_end(void) {
    for (int n = 0; n < deployment.nodes; n++) controller_kill(n);
}

bool controllers_alive(void) {
    for (int n = 0; n < deployment.nodes; n++)
        if (pids[n] && waitpid(pids[n], NULL, WNOHANG) == pids[n]) {
            note("controller node-%d has ended by itself", n);
            pids[n] = 0;
            return false;
        }
    return true;
}

/* ============ load balancer ============ */

static struct { bool healthy, ever; int history[6]; int failures, successes; ms_t unhealthy_since, pause; int open; struct client *probe; } lb[NODES_MAX];
static struct user *lb_users[USERS_MAX];
static int lb_user_count;

static void on_probe(void *arg, int status, const char *body, size_t len) {
    int n = (int)(intptr_t)arg, failed = 0;
    (void)body, (void)len;
    memmove(lb[n].history + 1, lb[n].history, 5 * sizeof(int));
    lb[n].history[0] = status != 200;
    lb[n].failures = status == 200 ? 0 : lb[n].failures + 1;
    lb[n].successes = status == 200 ? lb[n].successes + 1 : 0;
    for (int i = 0; i < 6; i++) failed += lb[n].history[i];
    if (lb[n].healthy && (lb[n].failures >= 2 || failed >= 3)) {
        lb[n].healthy = false;
        lb[n].unhealthy_since = now_ms();
        lb[n].pause = lb[n].pause ? (lb[n].pause * 2 > 60000 ? 60000 : lb[n].pause * 2) : 3000;
        note("load balancer: node-%d is unhealthy", n);
    } else if (!lb[n].healthy && lb[n].successes >= (lb[n].ever ? 2 : 1) &&
               (!lb[n].ever || now_ms() - lb[n].unhealthy_since >= lb[n].pause)) {
        lb[n].healthy = lb[n].ever = true;
        memset(lb[n].history, 0, sizeof lb[n].history);
        note("load balancer: node-%d is healthy", n);
    }
}

static void tick_lb(void *arg, uint64_t extra) {
    (void)arg, (void)extra;
    for (int n = 0; n < deployment.nodes; n++) {
        if (!lb[n].probe) lb[n].probe = client_new();
        if (!client_is_busy(lb[n].probe))
            client_call(lb[n].probe, front_port[n], "GET", "/healthz", NULL, 1000, on_probe, (void *)(intptr_t)n);
        if (!lb[n].healthy && lb[n].ever && now_ms() - lb[n].unhealthy_since >= 5000)
            for (int u = 0; u < lb_user_count; u++)
                if (lb_users[u]->node == n && client_is_open(lb_users[u]->client)) {
                    note("load balancer: a user's connection to node-%d is reset", n);
                    client_close(lb_users[u]->client);
                }
    }
    after(1000, tick_lb, NULL, 0);
}

int pick_node(void) {
    int best = -1, open[NODES_MAX] = {0};
    for (int u = 0; u < lb_user_count; u++)
        if (lb_users[u]->node >= 0 && client_is_open(lb_users[u]->client)) open[lb_users[u]->node]++;
    for (int n = 0; n < deployment.nodes; n++)
        if (lb[n].healthy && (best < 0 || open[n] < open[best])) best = n;
    return best;
}

void user_call(struct user *u, const char *method, const char *path, const struct buf *body, ms_t timeout, done_fn done, void *arg) {
    if (!u->client) {
        u->client = client_new();
        u->node = -1;
        if (lb_user_count == USERS_MAX) abort();
        lb_users[lb_user_count++] = u;
    }
    if (!client_is_open(u->client)) u->node = pick_node();
    client_call(u->client, u->node < 0 ? 1 : front_port[u->node], method, path, body, timeout, done, arg);
}

void submit_body(struct buf *b, const struct job_form *f) {
    put_map(b, 19);
    put_text(b, "ref"); put_text(b, f->ref);
    put_text(b, "berth"); put_text(b, f->berth);
    put_text(b, "crew"); put_text(b, f->crew);
    put_text(b, "shape"); put_text(b, f->shape);
    put_text(b, "rank"); put_text(b, f->rank);
    put_text(b, "legs"); put_uint(b, (uint64_t)f->legs);
    put_text(b, "vcpus"); put_real(b, f->vcpus);
    put_text(b, "accelerators"); put_real(b, f->accelerators);
    put_text(b, "ram_gb"); put_real(b, f->ram_gb);
    put_text(b, "cask"); put_text(b, "img-07");
    put_text(b, "size_gb"); put_real(b, 0.2);
    put_text(b, "hulls"); put_null(b);
    put_text(b, "yard"); put_null(b);
    put_text(b, "one_zone"); put_bool(b, false);
    put_text(b, "scatter"); put_bool(b, false);
    put_text(b, "driftwood"); put_bool(b, false);
    put_text(b, "reckon_s"); put_real(b, strcmp(f->shape, "daemon") ? 60 : 0);
    put_text(b, "mark_s"); put_real(b, 0);
    put_text(b, "stow_s"); put_real(b, 0);
}

/* ============ opening ============ */

void world_open(const char *program, const char *directory) {
    program_path = program;
    work_directory = directory;
    started_at = now_ms();
    if (!deployment.hull.name) deployment.hull.name = "taff-box", deployment.hull.cpus = 48, deployment.hull.gpus = 8, deployment.hull.memory_gb = 288;
    if (!deployment.cloud_machines) deployment.cloud_machines = MACHINES_MAX;
    srand((unsigned)now_ms());
    cloud_port = serve(on_cloud, NULL);
    for (int n = 0; n < deployment.nodes; n++) {
        state_port[n] = serve(on_state, (void *)(intptr_t)n);
        front_port[n] = reserve_port();
        cluster_port[n] = reserve_port();
    }
    for (int n = 0; n < deployment.nodes; n++)
        for (int o = 0; o < deployment.nodes; o++)
            if (n != o) peer_proxy[n][o] = proxy_new(&peer_port[n][o], cluster_port[o]);
    for (int n = 0; n < deployment.nodes; n++) write_settings(n);
    for (int i = 0; i < deployment.machines; i++) machine_new(i % 2, 200);
    expire_leases(NULL, 1);
    tick_machines(NULL, 0);
    tick_lb(NULL, 0);
}
