/* The durable form of placements and results. A job's tasks are recorded in blocks, so that the largest jobs
 * and the smallest values go together. No run order may go out before the block that names the machine is
 * known to be written. */
#include "amberpin/log.h"
#include "amberpin/node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char PREFIX[] = "b/p/";
static const char LEADER_KEY[] = "a/leader";

/* The longest a task takes: index, attempt, machine, type, zone, kind. */
enum { ENTRY_BYTES = 40 };

uint32_t amb_record_tasks_per_block(const struct amb_settings *s) {
    uint32_t n = (uint32_t)(s->value_kb * 1024 * 0.8 / ENTRY_BYTES);
    return n ? n : 1;
}

static void block_key(char *out, size_t cap, const struct amb_block *k) {
    snprintf(out, cap, "%s%s/%05u", PREFIX, k->job->ref, k->index);
}

static void span(const struct amb_node *n, const struct amb_block *k, uint32_t *from, uint32_t *to) {
    uint32_t per = amb_record_tasks_per_block(&n->set);
    *from = k->index * per;
    *to = *from + per < k->job->spec->tasks ? *from + per : k->job->spec->tasks;
}

void amb_record_encode(struct amb_node *n, const struct amb_block *k, struct amb_buf *out) {
    struct amb_buf placed = {0}, done = {0};
    uint32_t from, to;
    span(n, k, &from, &to);
    for (uint32_t i = from; i < to; i++) {
        const struct amb_task *t = &k->job->tasks[i];
        if (t->done && (i == from || !k->job->tasks[i - 1].done)) {
            uint32_t last = i;
            while (last + 1 < to && k->job->tasks[last + 1].done) last++;
            amb_buf_fmt(&done, "%u-%u;", i, last);
        }
        if (t->machine && !t->done)
            amb_buf_fmt(&placed, "%u,%llu,%s,%d,%d,%d;", i, (unsigned long long)t->attempt, t->machine->name,
                        t->machine->type, t->machine->zone, t->machine->spot);
    }
    amb_w_map(out, 7);
    amb_w_str(out, "at"); /* its machines were there then */
    amb_w_uint(out, (uint64_t)amb_wall_ms());
    amb_w_str(out, "w");
    amb_w_str(out, k->write_id);
    amb_w_str(out, "n");
    amb_w_uint(out, k->job->next_attempt);
    amb_w_str(out, "p");
    amb_w_strn(out, placed.data ? placed.data : "", placed.len);
    amb_w_str(out, "d");
    amb_w_strn(out, done.data ? done.data : "", done.len);
    amb_w_str(out, "t"); /* the names that the numbers stand for */
    amb_w_list(out, n->catalog.ntypes);
    for (uint32_t i = 0; i < n->catalog.ntypes; i++) amb_w_str(out, n->catalog.types[i].name);
    amb_w_str(out, "z");
    amb_w_list(out, n->catalog.nzones);
    for (uint32_t i = 0; i < n->catalog.nzones; i++) amb_w_str(out, n->catalog.zones[i]);
    amb_buf_free(&placed);
    amb_buf_free(&done);
}

void amb_record_dirty(struct amb_node *n, struct amb_task *t, bool urgent) {
    struct amb_block *k = &t->job->blocks[t->index / amb_record_tasks_per_block(&n->set)];
    if (!k->dirty) k->dirty_at = amb_now();
    k->dirty = true;
    if (urgent) k->urgent = true;
}

/* ---- writing ---- */

struct write { /* a call under way; the job may be gone when it ends, so it is found again by name */
    struct amb_node *node;
    uint64_t term;
    char ref[AMB_NAME];
    uint32_t index;
};

static struct write *write_new(struct amb_node *n, const struct amb_block *k) {
    struct write *w = amb_alloc(sizeof *w);
    w->node = n;
    w->term = n->election.term;
    strcpy(w->ref, k->job->ref);
    w->index = k->index;
    return w;
}

/* The block, if this node still leads under the term of the call. Frees the call's memory. */
static struct amb_block *write_block(struct write *w, struct amb_node **n) {
    *n = w->node;
    struct amb_block *k = NULL;
    if ((*n)->election.role >= AMB_ROLE_LEADING && (*n)->election.term == w->term) {
        struct amb_job *j = amb_job_find(*n, w->ref);
        if (j && j->live && w->index < j->nblocks) k = &j->blocks[w->index];
    }
    free(w);
    return k;
}

static void leader_lost(struct amb_node *n, const cbor_item_t *body) {
    const cbor_item_t *failed = amb_cbor_get(body, "failed");
    for (size_t i = 0; i < amb_cbor_len(failed); i++)
        if (amb_cbor_eq(amb_cbor_at(failed, i), LEADER_KEY))
            amb_election_saw_term(n, n->election.term + 1, "a refused write");
}

/* What was sent is now known to stand there. */
static void landed(struct amb_node *n, struct amb_block *k, uint64_t stamp) {
    uint32_t from, to;
    k->stamp = stamp;
    k->in_flight = false;
    k->retry_at = 0;
    amb_buf_free(&k->value);
    span(n, k, &from, &to);
    for (uint32_t i = from; i < to; i++) {
        struct amb_task *t = &k->job->tasks[i];
        if (t->in_flight && t->state == AMB_TASK_PLACED) {
            amb_task_state(n, t, AMB_TASK_BOUND, "recorded");
            amb_fleet_tell(t);
        }
        t->in_flight = false;
        if (t->done_sent) t->done_saved = true;
    }
}

/* It is now known that what was sent does not stand there and never will. */
static void undone(struct amb_node *n, struct amb_block *k) {
    uint32_t from, to;
    k->in_flight = false;
    k->retry_at = 0;
    k->dirty = true;
    k->stamp_unsure = true; /* it may have been written before the job changed */
    amb_buf_free(&k->value);
    span(n, k, &from, &to);
    for (uint32_t i = from; i < to; i++) {
        struct amb_task *t = &k->job->tasks[i];
        t->in_flight = false;
        if (!t->done_saved) t->done_sent = false;
        if (t->machine && t->state == AMB_TASK_PLACED && k->job->state != AMB_JOB_QUEUED)
            amb_task_unbind(n, t, "its job is over, and no order went out");
    }
}

static void block_read(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *n;
    struct amb_block *k = write_block(arg, &n);
    uint64_t stamp = 0;
    if (!k || !k->in_flight) return;
    if (status == 200 && amb_cbor_uint(amb_cbor_get(body, "stamp"), &stamp)) {
        if (amb_cbor_eq(amb_cbor_get(amb_cbor_get(body, "value"), "w"), k->write_id)) {
            landed(n, k, stamp);
            return;
        }
        if (stamp != k->stamp) { /* cannot be: only one leader at a time writes here */
            amb_error("block %s/%u: changed by another", k->job->ref, k->index);
            k->stamp = stamp;
        }
    }
    /* The very same content is sent again, under the same guards: whichever copy comes first makes every
     * other fail. Only when the job itself has changed can no copy ever be carried out. */
    k->retry_at = amb_now() + n->store.call_timeout / 10;
}

static void block_written(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *n;
    struct amb_block *k = write_block(arg, &n);
    uint64_t stamp;
    if (!k) return;
    if (status == 200 && amb_cbor_uint(amb_cbor_get(body, "epoch"), &stamp)) {
        landed(n, k, stamp);
        return;
    }
    k->retry_at = amb_now() + n->store.call_timeout / 5;
    if (status == 409) {
        leader_lost(n, body);
        if (n->election.role < AMB_ROLE_LEADING) return;
    }
    if (status == 0 || status == 409) {
        char key[AMB_NAME + 32];
        block_key(key, sizeof key, k);
        k->retry_at += n->store.call_timeout;
        amb_store_get(&n->store, key, AMB_URGENT_PLACE, block_read, write_new(n, k));
    } else if (status == 400) {
        amb_error("block %s/%u: the state service calls it malformed", k->job->ref, k->index);
        k->retry_at += n->store.call_timeout * 10;
    }
}

static void block_send(struct amb_node *n, struct amb_block *k) {
    char key[AMB_NAME + 32], job_key[AMB_NAME + 16];
    struct amb_txn t = {0};
    block_key(key, sizeof key, k);
    amb_job_key(job_key, sizeof job_key, k->job->ref);
    amb_txn_guard(&t, LEADER_KEY, n->election.term);
    amb_txn_guard(&t, job_key, k->job_stamp);
    amb_txn_guard(&t, key, k->stamp);
    amb_txn_put(&t, key, &k->value, 0);
    k->retry_at = INT64_MAX; /* set when the call ends */
    amb_store_commit(&n->store, &t, AMB_URGENT_PLACE, block_written, write_new(n, k));
}

static void block_begin(struct amb_node *n, struct amb_block *k) {
    static uint64_t counter;
    uint32_t from, to;
    span(n, k, &from, &to);
    for (uint32_t i = from; i < to; i++) {
        struct amb_task *t = &k->job->tasks[i];
        if (t->state == AMB_TASK_PLACED) t->in_flight = true;
        if (t->done) t->done_sent = true;
    }
    snprintf(k->write_id, sizeof k->write_id, "%llu-%llu", (unsigned long long)n->election.term,
             (unsigned long long)++counter);
    amb_record_encode(n, k, &k->value);
    k->job_stamp = k->job->stamp;
    k->dirty = k->urgent = false;
    k->in_flight = true;
    block_send(n, k);
}

/* ---- the end of a job: its final state, and its blocks removed when there is nothing else to write ---- */

static void stamp_read(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *n;
    struct amb_block *k = write_block(arg, &n);
    if (!k) return;
    k->in_flight = false;
    if (status == 404) {
        k->stamp = 0;
        k->stamp_unsure = false;
    } else if (status == 200 && amb_cbor_uint(amb_cbor_get(body, "stamp"), &k->stamp)) {
        k->stamp_unsure = false;
    }
    k->retry_at = amb_now() + n->store.call_timeout / 4;
}

static void removed(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *n;
    struct amb_block *k = write_block(arg, &n);
    if (!k) return;
    k->in_flight = false;
    k->retry_at = amb_now() + n->store.call_timeout / 4;
    if (status == 200)
        k->stamp = 0;
    else if (status == 0 || status == 409)
        k->stamp_unsure = true;
    if (status == 409) leader_lost(n, body);
}

/* Only once nothing of the job is on any machine. */
static void block_remove(struct amb_node *n, struct amb_block *k) {
    char key[AMB_NAME + 32];
    block_key(key, sizeof key, k);
    k->in_flight = true;
    k->retry_at = INT64_MAX;
    amb_buf_free(&k->value);
    if (k->stamp_unsure) {
        amb_store_get(&n->store, key, AMB_URGENT_READ, stamp_read, write_new(n, k));
        return;
    }
    struct amb_txn t = {0};
    amb_txn_guard(&t, LEADER_KEY, n->election.term);
    amb_txn_guard(&t, key, k->stamp);
    amb_txn_remove(&t, key);
    amb_store_commit(&n->store, &t, AMB_URGENT_READ, removed, write_new(n, k));
}

static void finished(void *arg, int status, const cbor_item_t *body) {
    struct write *w = arg;
    struct amb_node *n = w->node;
    char ref[AMB_NAME];
    strcpy(ref, w->ref);
    bool ours = n->election.role >= AMB_ROLE_LEADING && n->election.term == w->term;
    free(w);
    struct amb_job *j = amb_job_find(n, ref);
    if (!j || !ours || !j->live) return;
    j->finishing = false;
    j->finish_retry_at = amb_now() + n->store.call_timeout / 5;
    uint64_t stamp;
    if (status == 200 && amb_cbor_uint(amb_cbor_get(body, "epoch"), &stamp)) {
        amb_job_written(n, j, AMB_JOB_DONE, stamp);
    } else if (status == 409) {
        leader_lost(n, body); /* else the job was cancelled, or an earlier try went through: news tells */
    }
}

static void finish(struct amb_node *n, struct amb_job *j) {
    char key[AMB_NAME + 32];
    struct amb_txn t = {0};
    struct amb_buf v = {0};
    amb_txn_guard(&t, LEADER_KEY, n->election.term);
    amb_job_key(key, sizeof key, j->ref);
    amb_txn_guard(&t, key, j->stamp);
    amb_job_value(&v, j, AMB_JOB_DONE);
    amb_txn_put(&t, key, &v, 0);
    amb_buf_free(&v);
    struct write *w = amb_alloc(sizeof *w);
    w->node = n;
    w->term = n->election.term;
    strcpy(w->ref, j->ref);
    j->finishing = true;
    amb_store_commit(&n->store, &t, AMB_URGENT_FINAL, finished, w);
}

static bool in_flight(const struct amb_job *j) {
    for (uint32_t i = 0; i < j->nblocks; i++)
        if (j->blocks[i].in_flight) return true;
    return false;
}

static void pump_job(struct amb_node *n, struct amb_job *j, amb_ms now) {
    /* A block that is still being written comes first: its write may have to be sent again, and the end of
     * the job must not pass it by. */
    if (j->state == AMB_JOB_QUEUED && j->ndone == j->spec->tasks && !j->nbound && !in_flight(j)) {
        if (!j->finishing && now >= j->finish_retry_at) finish(n, j);
        return;
    }
    bool stood = false;
    for (uint32_t i = 0; i < j->nblocks; i++) {
        struct amb_block *k = &j->blocks[i];
        if (k->in_flight) {
            stood = true;
            if (k->value.len && now >= k->retry_at) {
                /* The guard on the job's stamp can hold no more: no copy will ever be carried out. */
                if (k->job_stamp != j->stamp)
                    undone(n, k);
                else
                    block_send(n, k);
            }
            continue;
        }
        if (j->state != AMB_JOB_QUEUED) {
            bool there = k->stamp || k->stamp_unsure;
            if (there) stood = true;
            if (there && !j->nbound && now >= k->retry_at) block_remove(n, k);
            continue;
        }
        /* Results wait a little so that one write holds several; placements go at once. */
        amb_ms patience = k->urgent ? 0 : (amb_ms)(n->set.report_s * 2000);
        if (k->dirty && now >= k->retry_at && now - k->dirty_at >= patience) block_begin(n, k);
    }
    if (j->state != AMB_JOB_QUEUED && !j->nbound && !stood) amb_job_leave(n, j);
}

void amb_record_pump(struct amb_node *n) {
    if (!amb_may_start(n) || !n->ctl.loaded_at) return;
    amb_ms now = amb_now();
    for (struct amb_job *j = n->jobs.live, *next; j; j = next) {
        next = j->next_live;
        pump_job(n, j, now);
    }
}

/* ---- reading, by a new leader ---- */

static int mapped(const cbor_item_t *names, long i, struct amb_node *n, bool zone) {
    char name[AMB_NAME];
    if (i < 0 || (size_t)i >= amb_cbor_len(names) ||
        !amb_cbor_str(amb_cbor_at(names, (size_t)i), name, sizeof name))
        return -1;
    return zone ? amb_catalog_zone(&n->catalog, name) : amb_catalog_type(&n->catalog, name);
}

/* Of a job that is done or whose tasks are gone: its leader was lost before it had removed this. */
static void remove_leftover(struct amb_node *n, const char *key, uint64_t stamp) {
    struct amb_txn t = {0};
    amb_txn_guard(&t, LEADER_KEY, n->election.term);
    amb_txn_guard(&t, key, stamp);
    amb_txn_remove(&t, key);
    amb_store_commit(&n->store, &t, AMB_URGENT_READ, NULL, NULL);
}

/* Marks the tasks that a block's record names as done: "4;7-9;". */
static void load_done(struct amb_node *n, struct amb_job *j, uint32_t from, uint32_t to, char *text) {
    char *end;
    for (char *at = text; *at; at = end + 1) {
        unsigned long a = strtoul(at, &end, 10), b = a;
        if (*end == '-') b = strtoul(end + 1, &end, 10);
        if (*end != ';') break;
        for (unsigned long i = a; i <= b && i < to; i++)
            if (i >= from && !j->tasks[i].done) {
                j->tasks[i].done = j->tasks[i].done_sent = j->tasks[i].done_saved = true;
                amb_task_state(n, &j->tasks[i], AMB_TASK_DONE, "its record says so");
                j->ndone++;
            }
    }
}

void amb_record_load(struct amb_node *n, const char *key, const cbor_item_t *value, uint64_t stamp) {
    char ref[AMB_NAME];
    if (strncmp(key, PREFIX, sizeof PREFIX - 1)) return;
    const char *p = key + sizeof PREFIX - 1, *slash = strchr(p, '/');
    if (!slash || (size_t)(slash - p) >= sizeof ref) return;
    memcpy(ref, p, (size_t)(slash - p));
    ref[slash - p] = 0;
    uint32_t index = (uint32_t)strtoul(slash + 1, NULL, 10);
    struct amb_job *j = amb_job_find(n, ref);
    if (!j || !j->spec) {
        amb_debug("block %s: its job is over", key);
        if (j && (j->state == AMB_JOB_DONE || j->tasks_gone)) remove_leftover(n, key, stamp);
        return;
    }
    amb_job_take(n, j);
    if (!j->live || index >= j->nblocks) return;
    struct amb_block *k = &j->blocks[index];
    k->stamp = stamp;
    uint64_t next;
    if (amb_cbor_uint(amb_cbor_get(value, "n"), &next) && next > j->next_attempt) j->next_attempt = next;
    uint32_t from, to;
    span(n, k, &from, &to);
    const cbor_item_t *d = amb_cbor_get(value, "d"), *pl = amb_cbor_get(value, "p");
    uint64_t at_wall = 0;
    int64_t age = 0;
    if (amb_cbor_uint(amb_cbor_get(value, "at"), &at_wall)) age = amb_wall_ms() - (int64_t)at_wall;
    size_t cap = (size_t)(n->set.value_kb * 1024) + 1;
    char *text = amb_alloc(cap);
    if (amb_cbor_str(d, text, cap)) load_done(n, j, from, to, text);
    if (amb_cbor_str(pl, text, cap))
        for (char *at = text; *at;) {
            unsigned long i, attempt;
            char machine[AMB_NAME];
            long type, zone, spot;
            int used = 0;
            /* NOLINTNEXTLINE(cert-err34-c): numbers out of range come out at the limit, out of bounds */
            if (sscanf(at, "%lu,%lu,%63[^,],%ld,%ld,%ld;%n", &i, &attempt, machine, &type, &zone, &spot,
                       &used) != 6 ||
                !used || i < from || i >= to)
                break;
            at += used;
            struct amb_machine *m = amb_machine_get(n, machine, true);
            if (!m) continue;
            if (m->type < 0) m->type = mapped(amb_cbor_get(value, "t"), type, n, false);
            if (m->zone < 0) amb_machine_learn_zone(m, mapped(amb_cbor_get(value, "z"), zone, n, true));
            /* A list asked for long after that must name the machine: else it is gone, and need not be waited
             * for as if it had been met just now. */
            if (age > 0 && amb_now() - age < m->first_at) m->first_at = amb_now() - age;
            m->spot = spot;
            if (!j->tasks[i].machine) {
                amb_task_bind(n, &j->tasks[i], m, attempt, AMB_TASK_BOUND);
                j->tasks[i].foreign = true;
            }
        }
    free(text);
    if (j->spec->kind == AMB_GANG && j->nbound && j->gang == AMB_GANG_IDLE)
        amb_gang_state(j, AMB_GANG_STARTING, "taken over");
    if (j->state == AMB_JOB_CANCELLED)
        for (uint32_t i = from; i < to; i++) amb_task_halt(n, &j->tasks[i], 0, "its job is cancelled");
}
