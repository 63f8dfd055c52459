/* The table of all jobs: what the state service says of each, and the changes of a job's state. */
#include "amberpin/base/log.h"
#include "amberpin/codec/cbor_reader.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char JOB_PREFIX[] = "a/job/";

void amb_job_key(char *out, size_t cap, const char *ref) {
    snprintf(out, cap, "%s%s", JOB_PREFIX, ref);
}

struct amb_job *amb_job_find(struct amb_node *node, const char *ref) {
    struct amb_job *job;
    HASH_FIND_STR(node->jobs.all, ref, job);
    return job;
}

void amb_job_value(struct amb_buf *buffer, const struct amb_job *job, enum amb_job_state state) {
    bool brief = state == AMB_JOB_DONE; /* a job that is done needs no description any more */
    amb_w_map(buffer, brief ? 2 : 2u + (state == AMB_JOB_CANCELLED) + (job->spec != NULL));
    amb_w_str(buffer, "s");
    amb_w_str(buffer, amb_codec_job_state(state, false));
    if (brief) {
        amb_w_str(buffer, "n");
        amb_w_uint(buffer, job->spec ? job->spec->tasks : job->ndone);
        return;
    }
    amb_w_str(buffer, "a");
    amb_w_uint(buffer, (uint64_t)job->accepted_wall);
    if (state == AMB_JOB_CANCELLED) {
        amb_w_str(buffer, "c");
        amb_w_uint(buffer, (uint64_t)job->cancelled_wall);
    }
    if (!job->spec) return; /* its record could not be read */
    amb_w_str(buffer, "d");
    amb_codec_put_job(buffer, job->spec, job->awaits);
}

/* Tasks that can't have been started are taken off their machines, all others are told to stop. */
static void stop_tasks(struct amb_node *node, struct amb_job *job, const char *cause) {
    for (uint32_t i = 0; i < job->spec->tasks; i++) {
        struct amb_task *task = &job->tasks[i];
        if (!task->machine) continue;
        if (task->state == AMB_TASK_PLACED && !task->in_flight)
            amb_task_unbind(node, task, cause);
        else
            amb_task_halt(node, task, 0, cause);
    }
    if (job->spec->kind == AMB_GANG) amb_gang_state(job, AMB_GANG_TEARING, cause);
}

/* True if this is news. Jobs that await it are not told. */
static bool change_state(struct amb_node *node, struct amb_job *job, enum amb_job_state to) {
    if (to == AMB_JOB_CANCELLED) amb_cancellation_note(node, job);
    if (job->state == to) return false;
    amb_info("job %s: %s -> %s", job->ref, amb_codec_job_state(job->state, false),
             amb_codec_job_state(to, false));
    job->state = to;
    if (to == AMB_JOB_DONE && !job->live) amb_job_drop_spec(node, job);
    if (to == AMB_JOB_CANCELLED && job->live) {
        stop_tasks(node, job, "its job is cancelled");
        amb_controller_wake(node);
    }
    return true;
}

static void job_state(struct amb_node *node, struct amb_job *job, enum amb_job_state to) {
    if (change_state(node, job, to) && to != AMB_JOB_QUEUED)
        amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_JOB_OVER, .job = job});
}

void amb_job_cancelled_with(struct amb_node *node, struct amb_job *job, const struct amb_job *cause) {
    job->cancel_stamp = cause->cancel_stamp;
    job->cancelled_wall = cause->cancelled_wall;
    change_state(node, job, AMB_JOB_CANCELLED);
}

static struct amb_job *job_add(struct amb_node *node, const char *ref) {
    struct amb_job *job = amb_alloc(sizeof *job);
    strcpy(job->ref, ref);
    HASH_ADD_STR(node->jobs.all, ref, job);
    return job;
}

/* ---- records of jobs, from an item or straight from the bytes ---- */

struct job_record {
    enum amb_job_state state;
    uint64_t accepted_wall, cancelled_wall, tasks_done;
    bool says_accepted, says_cancelled, says_done;
    const cbor_item_t *description;                           /* from an item */
    const unsigned char *description_start, *description_end; /* from bytes; the same: none */
};

static enum amb_job_state read_state(const cbor_item_t *value) {
    const cbor_item_t *state = amb_cbor_get(value, "s");
    if (amb_cbor_eq(state, "done")) return AMB_JOB_DONE;
    return amb_cbor_eq(state, "cancelled") ? AMB_JOB_CANCELLED : AMB_JOB_QUEUED;
}

static struct job_record record_of_item(const cbor_item_t *value) {
    struct job_record record = {.state = read_state(value), .description = amb_cbor_get(value, "d")};
    record.says_accepted = amb_cbor_uint(amb_cbor_get(value, "a"), &record.accepted_wall);
    record.says_cancelled = amb_cbor_uint(amb_cbor_get(value, "c"), &record.cancelled_wall);
    record.says_done = amb_cbor_uint(amb_cbor_get(value, "n"), &record.tasks_done);
    return record;
}

static enum amb_job_state state_named(struct amb_cbor_text name) {
    if (amb_cbor_text_is(name, "done")) return AMB_JOB_DONE;
    return amb_cbor_text_is(name, "cancelled") ? AMB_JOB_CANCELLED : AMB_JOB_QUEUED;
}

/* A field that comes twice makes the reader odd. */
static uint64_t read_once(struct amb_cbor_reader *in, bool *said) {
    if (*said) in->odd = true;
    *said = true;
    return amb_cbor_read_uint(in);
}

static void read_field(struct amb_cbor_reader *in, struct job_record *record, bool *says_state) {
    struct amb_cbor_text name = amb_cbor_read_text(in);
    if (amb_cbor_text_is(name, "s")) {
        if (*says_state) in->odd = true;
        *says_state = true;
        record->state = state_named(amb_cbor_read_text(in));
    } else if (amb_cbor_text_is(name, "a")) {
        record->accepted_wall = read_once(in, &record->says_accepted);
    } else if (amb_cbor_text_is(name, "c")) {
        record->cancelled_wall = read_once(in, &record->says_cancelled);
    } else if (amb_cbor_text_is(name, "n")) {
        record->tasks_done = read_once(in, &record->says_done);
    } else if (amb_cbor_text_is(name, "d")) {
        if (record->description_start) in->odd = true;
        record->description_start = in->at;
        amb_cbor_skip(in);
        record->description_end = in->at;
    } else {
        amb_cbor_skip(in);
    }
}

/* False: in an encoding that only amb_cbor_parse knows. */
static bool read_record(const void *value, size_t len, struct job_record *record) {
    struct amb_cbor_reader in = amb_cbor_reader(value, len);
    bool says_state = false;
    *record = (struct job_record){.state = AMB_JOB_QUEUED};
    for (size_t pairs = amb_cbor_read_map(&in); pairs && !in.odd; pairs--)
        read_field(&in, record, &says_state);
    return !in.odd && in.at == in.end;
}

static void read_spec(struct amb_node *node, struct amb_job *job, const cbor_item_t *described) {
    struct amb_spec *spec = amb_alloc(sizeof *spec);
    if (amb_codec_spec(described, spec) == AMB_PARSE_OK &&
        amb_codec_awaits(described, &job->awaits) == AMB_PARSE_OK) {
        job->spec = spec;
        node->jobs.described++;
        job->team = amb_settings_team(&node->set, spec->team);
    } else {
        amb_error("job %s: its record can't be read", job->ref);
        free(spec);
    }
}

/* Whether the description in a record of this state says something that is not known; job NULL: it is new. */
static bool description_is_news(const struct amb_job *job, enum amb_job_state state) {
    return state != AMB_JOB_DONE && (!job || (!job->spec && !job->tasks_gone));
}

/* Is what this stamp tells of the job known already? Older news change nothing, and most news are echoes of
 * what this node wrote. job NULL: it is new. */
static bool known_already(const struct amb_job *job, uint64_t stamp) {
    return job && stamp <= job->stamp;
}

static void apply_record(struct amb_node *node, const char *ref, const struct job_record *record,
                         uint64_t stamp) {
    struct amb_job *job = amb_job_find(node, ref);
    if (known_already(job, stamp)) return;
    if (strlen(ref) >= AMB_NAME) return;
    bool fresh = !job;
    if (fresh) job = job_add(node, ref);
    job->stamp = stamp;
    enum amb_job_state to = record->state;
    if (record->says_accepted) job->accepted_wall = (int64_t)record->accepted_wall;
    if (record->says_cancelled) job->cancelled_wall = (int64_t)record->cancelled_wall;
    if (record->says_done) job->shown_done = (uint32_t)record->tasks_done;
    if (description_is_news(job, to)) read_spec(node, job, record->description);
    if (to == AMB_JOB_CANCELLED) job->cancel_stamp = stamp;
    /* Another node's word may come before the news of the job: a cancellation is final. (One that is derived
     * from another job's may bear an older stamp than the job itself.) */
    if (to == AMB_JOB_QUEUED && job->state == AMB_JOB_CANCELLED) to = AMB_JOB_CANCELLED;
    /* A user's submission or cancellation, at whichever node. */
    if (node->jobs.loaded && (fresh || to == AMB_JOB_CANCELLED)) amb_store_count_user_write(&node->store);
    job_state(node, job, to);
    if (to == AMB_JOB_QUEUED && job->awaits)
        amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_JOB_AWAITS, .job = job});
    if (fresh) amb_job_can_start(node, job);
}

void amb_jobs_apply(struct amb_node *node, const char *ref, const cbor_item_t *value, uint64_t stamp) {
    if (!value) return; /* jobs are never removed */
    struct job_record record = record_of_item(value);
    apply_record(node, ref, &record, stamp);
}

static void apply_parsed(struct amb_node *node, const char *ref, const void *value, size_t len,
                         uint64_t stamp) {
    cbor_item_t *item = amb_cbor_parse(value, len);
    amb_jobs_apply(node, ref, item, stamp);
    if (item) cbor_decref(&item);
}

void amb_jobs_apply_bytes(struct amb_node *node, const char *ref, const void *value, size_t len,
                          uint64_t stamp) {
    struct job_record record;
    const struct amb_job *job = amb_job_find(node, ref);
    if (!value || known_already(job, stamp)) return;
    if (!read_record(value, len, &record)) {
        apply_parsed(node, ref, value, len, stamp);
        return;
    }
    cbor_item_t *description = NULL;
    size_t description_len = (size_t)(record.description_end - record.description_start);
    if (description_len && description_is_news(job, record.state))
        description = amb_cbor_parse(record.description_start, description_len);
    record.description = description;
    apply_record(node, ref, &record, stamp);
    if (description) cbor_decref(&description);
}

void amb_job_can_start(struct amb_node *node, struct amb_job *job) {
    if (job->awaiting) return;
    if (node->jobs.loaded) amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_JOB_KNOWN, .job = job});
    if (amb_election_has_leader_role(node) && node->ctl.loaded_at && job->state == AMB_JOB_QUEUED) {
        amb_job_take_if_room(node, job);
        amb_controller_wake(node);
    }
}

void amb_job_written(struct amb_node *node, const struct amb_job *job, enum amb_job_state state,
                     uint64_t stamp) {
    struct amb_buf value = {0};
    amb_job_value(&value, job, state);
    amb_jobs_apply_bytes(node, job->ref, value.data, value.len, stamp);
    amb_buf_free(&value);
}

void amb_job_cancelled(struct amb_node *node, struct amb_job *job, uint64_t stamp) {
    if (stamp <= job->stamp) return; /* news were here first */
    job->stamp = job->cancel_stamp = stamp;
    job->cancelled_wall = amb_wall_ms();
    amb_store_count_user_write(&node->store);
    job_state(node, job, AMB_JOB_CANCELLED);
}

/* The stamp stays what it was: no write of ours under it can succeed, and the news, when it comes, is newer.
 * A job that we have never heard of is remembered, without a description: its tasks may be on machines that
 * report to us. */
void amb_job_cancel_hint(struct amb_node *node, const char *ref, int64_t wall, uint64_t stamp) {
    struct amb_job *job = amb_job_find(node, ref);
    if (!job && strlen(ref) < AMB_NAME) job = job_add(node, ref);
    if (!job || job->state != AMB_JOB_QUEUED) return;
    job->cancelled_wall = wall;
    job->cancel_stamp = stamp;
    job_state(node, job, AMB_JOB_CANCELLED);
}
