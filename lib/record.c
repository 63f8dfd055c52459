/* Writing and reading the records of placements and results, whose form record_layout.c has. A job's tasks
 * are recorded in blocks, so that the largest jobs and the smallest values go together. No run order may go
 * out before the block that names the machine is known to be written. */
#include "amberpin/cbor_reader.h"
#include "amberpin/log.h"
#include "amberpin/node.h"
#include "amberpin/record_layout.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char LEADER_KEY[] = "a/leader";

static void block_key(char out[AMB_BLOCK_KEY], const struct amb_block *k) {
    amb_layout_key(out, k->job->ref, k->id);
}

/* ---- the blocks of a job ---- */

uint32_t amb_record_tasks_per_block(const struct amb_settings *s) {
    return amb_layout_tasks_per_block(AMB_LAYOUT_BY_SETTINGS, s->value_kb);
}

/* What is written from now on. Before the second format is in use, exactly what a process of the first one
 * reads; after that, what the state service takes also when it has lowered its limits. */
static enum amb_layout layout_in_use(const struct amb_node *n) {
    return amb_format_in_use(n) >= AMB_FORMAT_2 ? AMB_LAYOUT_BY_KEY : AMB_LAYOUT_BY_SETTINGS;
}

static double lowered_value_kb(const struct amb_node *n) {
    return amb_settings_lowered_limits(&n->set).value_kb;
}

static uint32_t tasks_per_block(const struct amb_node *n, const struct amb_job *j) {
    if (layout_in_use(n) == AMB_LAYOUT_BY_SETTINGS) return amb_record_tasks_per_block(&n->set);
    uint32_t tasks = amb_layout_tasks_per_block(AMB_LAYOUT_BY_KEY, lowered_value_kb(n));
    return j->fitting_tasks && j->fitting_tasks < tasks ? j->fitting_tasks : tasks;
}

static void make_blocks(struct amb_job *j, enum amb_layout layout, uint32_t per) {
    j->layout = layout;
    j->tasks_per_block = per;
    j->nblocks = (j->spec->tasks + per - 1) / per;
    j->blocks = amb_alloc(j->nblocks * sizeof *j->blocks);
    for (uint32_t i = 0; i < j->nblocks; i++) {
        j->blocks[i].job = j;
        j->blocks[i].id = (struct amb_block_id){layout, per, i};
        j->blocks[i].tasks = amb_layout_range(j->blocks[i].id, j->spec->tasks);
    }
}

void amb_record_job_taken(struct amb_node *n, struct amb_job *j) {
    j->fitting_tasks = 0;
    make_blocks(j, layout_in_use(n), tasks_per_block(n, j));
}

void amb_record_job_left(struct amb_job *j) {
    for (uint32_t i = 0; i < j->nblocks; i++) amb_buf_free(&j->blocks[i].value);
    free(j->blocks);
    free(j->replaced);
    j->blocks = j->replaced = NULL;
    j->nblocks = j->nreplaced = 0;
}

static struct amb_block *add_replaced(struct amb_job *j) {
    j->replaced = amb_grow(j->replaced, (j->nreplaced + 1) * sizeof *j->replaced);
    struct amb_block *k = &j->replaced[j->nreplaced++];
    memset(k, 0, sizeof *k);
    k->job = j;
    k->replaced = true;
    return k;
}

static bool same_id(struct amb_block_id a, struct amb_block_id b) {
    return a.layout == b.layout && a.tasks_per_block == b.tasks_per_block && a.index == b.index;
}

static struct amb_block *block_find(struct amb_job *j, struct amb_block_id id) {
    if (id.layout == j->layout && id.tasks_per_block == j->tasks_per_block && id.index < j->nblocks)
        return &j->blocks[id.index];
    for (uint32_t i = 0; i < j->nreplaced; i++)
        if (same_id(j->replaced[i].id, id)) return &j->replaced[i];
    return NULL;
}

void amb_record_encode(struct amb_node *n, const struct amb_block *k, struct amb_buf *out) {
    struct amb_block_text text = {0};
    const struct amb_task *tasks = k->job->tasks;
    for (uint32_t i = k->tasks.first; i < k->tasks.end; i++) {
        const struct amb_task *t = &tasks[i];
        if (t->done && (i == k->tasks.first || !tasks[i - 1].done)) {
            uint32_t last = i;
            while (last + 1 < k->tasks.end && tasks[last + 1].done) last++;
            amb_layout_add_done(&text, (struct amb_task_range){i, last + 1});
        }
        if (!t->machine || t->done) continue;
        struct amb_placement placement = {.task = i,
                                          .attempt = t->attempt,
                                          .type = t->machine->type,
                                          .zone = t->machine->zone,
                                          .spot = t->machine->spot};
        strcpy(placement.machine, t->machine->name);
        amb_layout_add_placement(&text, &placement);
    }
    const struct amb_block_head block_head = {.wall_ms = amb_wall_ms(),
                                              .write_id = k->write_id,
                                              .next_attempt = k->job->next_attempt,
                                              .catalog = &n->catalog};
    amb_layout_value(out, &block_head, &text);
}

static void set_dirty(struct amb_block *k, bool urgent) {
    if (!k->dirty) k->dirty_at = amb_now();
    k->dirty = true;
    if (urgent) k->urgent = true;
}

void amb_record_dirty(struct amb_node *n, struct amb_task *t, bool urgent) {
    (void)n;
    set_dirty(&t->job->blocks[t->index / t->job->tasks_per_block], urgent);
}

/* ---- blocks of another size ----
 * A block that has become too large to write can't be changed any more, not even to say that it counts no
 * longer. So the blocks that replace it count for the tasks that they hold from the moment when they stand
 * there, whatever it says, and it counts for the others: no step of the change needs another one. */

static bool has_news(const struct amb_task *t) {
    return t->state == AMB_TASK_PLACED || (t->done && !t->done_saved);
}

/* What was sent may be carried out still; what it says of its tasks is written anew in any case. */
static void give_up_write(struct amb_block *k) {
    k->in_flight = false;
    k->stamp_unsure = true;
    amb_buf_free(&k->value);
    for (uint32_t i = k->tasks.first; i < k->tasks.end; i++) {
        struct amb_task *t = &k->job->tasks[i];
        t->in_flight = false;
        if (!t->done_saved) t->done_sent = false;
    }
}

static void replace_blocks(struct amb_job *j, enum amb_layout layout, uint32_t per) {
    struct amb_block *old = j->blocks;
    uint32_t nold = j->nblocks;
    amb_info("job %s: %u blocks of %u tasks are replaced by blocks of %u", j->ref, nold, j->tasks_per_block,
             per);
    for (uint32_t i = 0; i < nold; i++) {
        if (old[i].in_flight) give_up_write(&old[i]);
        if (!old[i].stamp && !old[i].stamp_unsure) continue;
        struct amb_block *k = add_replaced(j);
        k->stamp = old[i].stamp;
        k->stamp_unsure = old[i].stamp_unsure;
        k->id = old[i].id;
        k->tasks = old[i].tasks;
    }
    free(old);
    make_blocks(j, layout, per);
    for (uint32_t i = 0; i < j->spec->tasks; i++)
        if (has_news(&j->tasks[i])) set_dirty(&j->blocks[i / per], true);
}

/* The size that is to be written may have changed: the second format has come into use, or a block came out
 * too large. Tasks are never moved to larger blocks, which would not count. */
static void adapt_blocks(struct amb_node *n, struct amb_job *j) {
    enum amb_layout layout = layout_in_use(n);
    uint32_t per = tasks_per_block(n, j);
    const struct amb_block_id wanted = {layout, per, 0}, present = {j->layout, j->tasks_per_block, 0};
    if (amb_layout_precedes(wanted, present)) replace_blocks(j, layout, per);
}

/* ---- writing ---- */

struct write { /* a call under way; the job may be gone when it ends, so it is found again by name */
    struct amb_node *node;
    uint64_t term;
    char ref[AMB_NAME];
    struct amb_block_id id;
};

static struct write *write_new(struct amb_node *n, const struct amb_block *k) {
    struct write *w = amb_alloc(sizeof *w);
    w->node = n;
    w->term = n->election.term;
    strcpy(w->ref, k->job->ref);
    w->id = k->id;
    return w;
}

/* The block, if this node still leads under the term of the call. Frees the call's memory. */
static struct amb_block *write_block(struct write *w, struct amb_node **n) {
    *n = w->node;
    struct amb_block *k = NULL;
    if ((*n)->election.role >= AMB_ROLE_LEADING && (*n)->election.term == w->term) {
        struct amb_job *j = amb_job_find(*n, w->ref);
        if (j && j->live) k = block_find(j, w->id);
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
    k->stamp = stamp;
    k->in_flight = false;
    k->retry_at = 0;
    amb_buf_free(&k->value);
    for (uint32_t i = k->tasks.first; i < k->tasks.end; i++) {
        struct amb_task *t = &k->job->tasks[i];
        if (t->in_flight && t->state == AMB_TASK_PLACED) {
            amb_task_state(n, t, AMB_TASK_BOUND, "recorded");
            amb_event_post(n, &(struct amb_event){.type = AMB_EVENT_TASK_RECORDED, .task = t});
        }
        t->in_flight = false;
        if (t->done_sent) t->done_saved = true;
    }
}

/* It is now known that what was sent does not stand there and never will. */
static void undone(struct amb_node *n, struct amb_block *k) {
    give_up_write(k); /* it may have been written before the job changed */
    k->retry_at = 0;
    k->dirty = true;
    for (uint32_t i = k->tasks.first; i < k->tasks.end; i++) {
        struct amb_task *t = &k->job->tasks[i];
        if (t->machine && t->state == AMB_TASK_PLACED && k->job->state != AMB_JOB_QUEUED)
            amb_task_unbind(n, t, "its job is over, and no order went out");
    }
}

static void block_read(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *n;
    struct amb_block *k = write_block(arg, &n);
    uint64_t stamp = 0;
    if (!k || k->replaced || !k->in_flight) return;
    if (status == 200 && amb_cbor_uint(amb_cbor_get(body, "stamp"), &stamp)) {
        if (amb_cbor_eq(amb_cbor_get(amb_cbor_get(body, "value"), "w"), k->write_id)) {
            landed(n, k, stamp);
            return;
        }
        if (stamp != k->stamp) { /* cannot be: only one leader at a time writes here */
            amb_error("block %s/%u: changed by another", k->job->ref, k->id.index);
            k->stamp = stamp;
        }
    }
    /* The very same content is sent again, under the same guards: whichever copy comes first makes every
     * other fail. Only when the job itself has changed can no copy ever be carried out. */
    k->retry_at = amb_now() + n->store.call_timeout / 10;
}

/* A value that the limits of now allow and the lowered ones don't is refused only once they are lowered,
 * which happens after the upgrade. The block keeps its content until it is replaced by smaller ones. */
static void refused_as_bad(struct amb_node *n, struct amb_block *k) {
    double size = (double)amb_cbor_json_size(k->value.data, k->value.len);
    if (size > lowered_value_kb(n) * 1024 && size <= n->set.value_kb * 1024) {
        amb_store_limits_lowered(&n->store, "a value was refused for its size");
        amb_format_upgrade_over(n, "a value was refused for its size");
        k->retry_at += n->store.call_timeout;
    } else {
        amb_error("block %s/%u: the state service calls it malformed", k->job->ref, k->id.index);
        k->retry_at += n->store.call_timeout * 10;
    }
}

static void block_written(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *n;
    struct amb_block *k = write_block(arg, &n);
    uint64_t stamp;
    if (!k || k->replaced) return;
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
        char key[AMB_BLOCK_KEY];
        block_key(key, k);
        k->retry_at += n->store.call_timeout;
        amb_store_get(&n->store, key, AMB_URGENT_PLACE, block_read, write_new(n, k));
    } else if (status == 400) {
        refused_as_bad(n, k);
    }
}

static void block_send(struct amb_node *n, struct amb_block *k) {
    char key[AMB_BLOCK_KEY], job_key[AMB_NAME + 16];
    struct amb_txn t = {0};
    block_key(key, k);
    amb_job_key(job_key, sizeof job_key, k->job->ref);
    amb_txn_guard(&t, LEADER_KEY, n->election.term);
    amb_txn_guard(&t, job_key, k->job_stamp);
    amb_txn_guard(&t, key, k->stamp);
    amb_txn_put(&t, key, &k->value, 0);
    k->retry_at = INT64_MAX; /* set when the call ends */
    amb_store_commit(&n->store, &t, AMB_URGENT_PLACE, block_written, write_new(n, k));
}

/* Blocks of the first format keep their size: an older process must be able to read them. */
static bool too_large(const struct amb_node *n, const struct amb_block *k) {
    return k->id.layout == AMB_LAYOUT_BY_KEY && k->id.tasks_per_block > 1 &&
           (double)amb_cbor_json_size(k->value.data, k->value.len) > lowered_value_kb(n) * 1024;
}

static void block_begin(struct amb_node *n, struct amb_block *k) {
    static uint64_t counter;
    snprintf(k->write_id, sizeof k->write_id, "%llu-%llu", (unsigned long long)n->election.term,
             (unsigned long long)++counter);
    amb_record_encode(n, k, &k->value);
    if (too_large(n, k)) {
        amb_buf_free(&k->value);
        k->job->fitting_tasks = k->id.tasks_per_block / 2;
        return;
    }
    for (uint32_t i = k->tasks.first; i < k->tasks.end; i++) {
        struct amb_task *t = &k->job->tasks[i];
        if (t->state == AMB_TASK_PLACED) t->in_flight = true;
        if (t->done) t->done_sent = true;
    }
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
    char key[AMB_BLOCK_KEY];
    block_key(key, k);
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

/* A block of a job that is over, removed when nothing of the job is on any machine. True: it still stands
 * there, or may. */
static bool pump_removal(struct amb_node *n, struct amb_block *k, amb_ms now) {
    if (k->in_flight) return true;
    bool there = k->stamp || k->stamp_unsure;
    if (there && !k->job->nbound && now >= k->retry_at) block_remove(n, k);
    return there;
}

static void pump_job(struct amb_node *n, struct amb_job *j, amb_ms now) {
    /* A block that is still being written comes first: its write may have to be sent again, and the end of
     * the job must not pass it by. */
    if (j->state == AMB_JOB_QUEUED && j->ndone == j->spec->tasks && !j->nbound && !in_flight(j)) {
        if (!j->finishing && now >= j->finish_retry_at) finish(n, j);
        return;
    }
    if (j->state == AMB_JOB_QUEUED && !j->finishing) adapt_blocks(n, j);
    bool stood = false;
    /* Not before the job's end, even if others hold all their tasks: of a write that was sent more than once
     * a late copy, guarded with the key's absence, would find the key absent again. */
    for (uint32_t i = 0; i < j->nreplaced && j->state != AMB_JOB_QUEUED; i++)
        stood |= pump_removal(n, &j->replaced[i], now);
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
            stood |= pump_removal(n, k, now);
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

/* For each task, whether a block that counts more than this one speaks of it; NULL: none does. Such blocks
 * come first in the listing. */
static bool *spoken_of(const struct amb_job *j, const struct amb_block *k) {
    bool *spoken = NULL;
    for (uint32_t b = 0; b < j->nblocks + j->nreplaced; b++) {
        const struct amb_block *other = b < j->nblocks ? &j->blocks[b] : &j->replaced[b - j->nblocks];
        if (!other->stamp || !amb_layout_precedes(other->id, k->id)) continue;
        if (!spoken) spoken = amb_alloc(j->spec->tasks * sizeof *spoken);
        for (uint32_t i = other->tasks.first; i < other->tasks.end; i++) spoken[i] = true;
    }
    return spoken;
}

struct loading { /* a block being read */
    struct amb_node *node;
    struct amb_job *job;
    const cbor_item_t *value;
    amb_ms age;
    struct amb_task_range holds; /* what it can speak of */
    bool *spoken_of;             /* by task; NULL: none */
    struct amb_task_range named; /* the tasks that it speaks of lie in here */
};

/* Does the block count for the task? */
static bool counts_for(struct loading *l, uint32_t task) {
    if (task < l->holds.first || task >= l->holds.end) return false;
    bool first = l->named.first == l->named.end;
    if (first || task < l->named.first) l->named.first = task;
    if (first || task >= l->named.end) l->named.end = task + 1;
    return !l->spoken_of || !l->spoken_of[task];
}

static void load_done(struct loading *l, const char *text) {
    struct amb_task_range done;
    while (amb_layout_next_done(&text, &done))
        for (uint32_t i = done.first; i < done.end && i < l->holds.end; i++) {
            struct amb_task *t = &l->job->tasks[i];
            if (!counts_for(l, i) || t->done) continue;
            t->done = t->done_sent = t->done_saved = true;
            amb_task_state(l->node, t, AMB_TASK_DONE, "its record says so");
            l->job->ndone++;
        }
}

static void load_placement(struct loading *l, const struct amb_placement *p) {
    struct amb_node *n = l->node;
    if (!counts_for(l, p->task)) return;
    struct amb_machine *m = amb_machine_get(n, p->machine, true);
    if (!m) return;
    if (m->type < 0) m->type = mapped(amb_cbor_get(l->value, "t"), p->type, n, false);
    if (m->zone < 0) amb_machine_learn_zone(m, mapped(amb_cbor_get(l->value, "z"), p->zone, n, true));
    /* A list asked for long after that must name the machine: else it is gone, and need not be waited for as
     * if it had been met just now. */
    if (l->age > 0 && amb_now() - l->age < m->first_at) m->first_at = amb_now() - l->age;
    m->spot = p->spot;
    struct amb_task *t = &l->job->tasks[p->task];
    if (t->machine) return;
    amb_task_bind(n, t, m, p->attempt, AMB_TASK_BOUND);
    t->foreign = true;
}

static void load_placements(struct loading *l, const char *text) {
    struct amb_placement placement;
    while (amb_layout_next_placement(&text, &placement)) load_placement(l, &placement);
}

static amb_ms value_age(const cbor_item_t *value) {
    uint64_t wall;
    return amb_cbor_uint(amb_cbor_get(value, "at"), &wall) ? amb_wall_ms() - (int64_t)wall : 0;
}

/* A block of the first format may have had any size: it speaks of the tasks that it names. */
static struct amb_task_range may_hold(const struct amb_job *j, struct amb_block_id id) {
    const struct amb_task_range all = {0, j->spec->tasks};
    return id.layout == AMB_LAYOUT_BY_SETTINGS ? all : amb_layout_range(id, all.end);
}

/* What a block says counts for the tasks of which no block that precedes it speaks. The tasks that it names
 * lie in the range that is returned. */
static struct amb_task_range load_value(struct amb_node *n, struct amb_block *k, const cbor_item_t *value) {
    struct loading loading = {.node = n,
                              .job = k->job,
                              .value = value,
                              .age = value_age(value),
                              .holds = may_hold(k->job, k->id),
                              .spoken_of = spoken_of(k->job, k)};
    char *done = amb_cbor_text(amb_cbor_get(value, "d")), *placed = amb_cbor_text(amb_cbor_get(value, "p"));
    if (done) load_done(&loading, done);
    if (placed) load_placements(&loading, placed);
    free(done);
    free(placed);
    free(loading.spoken_of);
    return loading.named;
}

/* The place for a block that has been read. */
static struct amb_block *block_read_from(struct amb_node *n, struct amb_job *j, struct amb_block_id id) {
    if (id.layout == AMB_LAYOUT_BY_SETTINGS) id.tasks_per_block = amb_record_tasks_per_block(&n->set);
    const struct amb_block_id present = {j->layout, j->tasks_per_block, 0};
    if (amb_layout_precedes(id, present)) { /* of a leader that had to write smaller ones */
        j->fitting_tasks = id.tasks_per_block;
        replace_blocks(j, id.layout, id.tasks_per_block);
    }
    struct amb_block *k = block_find(j, id);
    if (k) return k;
    k = add_replaced(j);
    k->id = id;
    k->tasks = may_hold(j, id);
    return k;
}

void amb_record_load(struct amb_node *n, const char *key, const cbor_item_t *value, uint64_t stamp) {
    char ref[AMB_NAME];
    struct amb_block_id id;
    if (!amb_layout_parse_key(key, ref, &id)) return;
    if (id.layout == AMB_LAYOUT_BY_KEY && amb_format_spoken(n) < AMB_FORMAT_2) return;
    struct amb_job *j = amb_job_find(n, ref);
    if (!j || !j->spec) {
        amb_debug("block %s: its job is over", key);
        if (j && (j->state == AMB_JOB_DONE || j->tasks_gone)) remove_leftover(n, key, stamp);
        return;
    }
    amb_job_take(n, j);
    if (!j->live) return;
    struct amb_block *k = block_read_from(n, j, id);
    k->stamp = stamp;
    uint64_t next;
    if (amb_cbor_uint(amb_cbor_get(value, "n"), &next) && next > j->next_attempt) j->next_attempt = next;
    struct amb_task_range named = load_value(n, k, value);
    if (j->spec->kind == AMB_GANG && j->nbound && j->gang == AMB_GANG_IDLE)
        amb_gang_state(j, AMB_GANG_STARTING, "taken over");
    if (j->state == AMB_JOB_CANCELLED)
        for (uint32_t i = named.first; i < named.end; i++)
            amb_task_halt(n, &j->tasks[i], 0, "its job is cancelled");
}
