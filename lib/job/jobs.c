/* The table of all jobs: what the state service says of each, and the changes of a job's state. */
#include "amberpin/base/log.h"
#include "amberpin/codec/cbor_reader.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char JOB_PREFIX[] = "a/job/";

void amb_job_format_key(char *out, size_t cap, const char *ref) {
    snprintf(out, cap, "%s%s", JOB_PREFIX, ref);
}

struct amb_job *amb_job_find(struct amb_node *node, const char *ref) {
    struct amb_job *job;
    HASH_FIND_STR(node->jobs.all, ref, job);
    return job;
}

void amb_job_encode_record(struct amb_buf *buffer, const struct amb_job *job, enum amb_job_state state) {
    bool brief = state == AMB_JOB_DONE; /* a job that is done needs no description any more */
    amb_cbor_write_map(buffer, brief ? 2 : 2u + (state == AMB_JOB_CANCELLED) + (job->spec != NULL));
    amb_cbor_write_string(buffer, "s");
    amb_cbor_write_string(buffer, amb_codec_job_state_text(state, false));
    if (brief) {
        amb_cbor_write_string(buffer, "n");
        amb_cbor_write_uint(buffer, job->spec ? job->spec->task_count : job->done_count);
        return;
    }
    amb_cbor_write_string(buffer, "a");
    amb_cbor_write_uint(buffer, (uint64_t)job->accepted_wall_ms);
    if (state == AMB_JOB_CANCELLED) {
        amb_cbor_write_string(buffer, "c");
        amb_cbor_write_uint(buffer, (uint64_t)job->cancelled_wall_ms);
    }
    if (!job->spec) return; /* its record could not be read */
    amb_cbor_write_string(buffer, "d");
    amb_codec_encode_job(buffer, job->spec, job->dependencies);
}

/* Tasks that can't have been started are taken off their machines, all others are told to stop. */
static void stop_tasks(struct amb_node *node, struct amb_job *job, const char *cause) {
    for (uint32_t i = 0; i < job->spec->task_count; i++) {
        struct amb_task *task = &job->tasks[i];
        if (!task->machine) continue;
        if (task->state == AMB_TASK_PLACED && !task->write_in_flight)
            amb_task_unbind(node, task, cause);
        else
            amb_task_request_stop(node, task, 0, cause);
    }
    if (job->spec->kind == AMB_JOB_KIND_GANG) amb_gang_set_state(job, AMB_GANG_TEARING, cause);
}

/* True if this is news. Jobs that await it are not told. */
static bool change_state(struct amb_node *node, struct amb_job *job, enum amb_job_state new_state) {
    if (new_state == AMB_JOB_CANCELLED) amb_cancellations_update(node, job);
    if (job->state == new_state) return false;
    amb_info("job %s: %s -> %s", job->ref, amb_codec_job_state_text(job->state, false),
             amb_codec_job_state_text(new_state, false));
    job->state = new_state;
    if (new_state == AMB_JOB_DONE && !job->active) amb_job_drop_spec(node, job);
    if (new_state == AMB_JOB_CANCELLED && job->active) {
        stop_tasks(node, job, "its job is cancelled");
        amb_node_request_cycle(node);
    }
    return true;
}

static void set_state(struct amb_node *node, struct amb_job *job, enum amb_job_state new_state) {
    if (change_state(node, job, new_state) && new_state != AMB_JOB_QUEUED)
        amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_JOB_FINAL, .job = job});
}

void amb_job_cancel_with_dependency(struct amb_node *node, struct amb_job *job, const struct amb_job *cause) {
    job->cancel_revision = cause->cancel_revision;
    job->cancelled_wall_ms = cause->cancelled_wall_ms;
    change_state(node, job, AMB_JOB_CANCELLED);
}

static struct amb_job *add_job(struct amb_node *node, const char *ref) {
    struct amb_job *job = amb_alloc(sizeof *job);
    strcpy(job->ref, ref);
    HASH_ADD_STR(node->jobs.all, ref, job);
    return job;
}

/* ---- records of jobs, from an item or straight from the bytes ---- */

struct job_record {
    enum amb_job_state state;
    uint64_t accepted_wall_ms, cancelled_wall_ms, tasks_done;
    bool has_accepted, has_cancelled, has_tasks_done;
    const cbor_item_t *description;                           /* from an item */
    const unsigned char *description_start, *description_end; /* from bytes; the same: none */
};

static enum amb_job_state read_state(const cbor_item_t *value) {
    const cbor_item_t *state = amb_cbor_map_get(value, "s");
    if (amb_cbor_equals(state, "done")) return AMB_JOB_DONE;
    return amb_cbor_equals(state, "cancelled") ? AMB_JOB_CANCELLED : AMB_JOB_QUEUED;
}

static struct job_record record_of_item(const cbor_item_t *value) {
    struct job_record record = {.state = read_state(value), .description = amb_cbor_map_get(value, "d")};
    record.has_accepted = amb_cbor_get_uint(amb_cbor_map_get(value, "a"), &record.accepted_wall_ms);
    record.has_cancelled = amb_cbor_get_uint(amb_cbor_map_get(value, "c"), &record.cancelled_wall_ms);
    record.has_tasks_done = amb_cbor_get_uint(amb_cbor_map_get(value, "n"), &record.tasks_done);
    return record;
}

static enum amb_job_state state_named(struct amb_cbor_dup_string name) {
    if (amb_cbor_text_equals(name, "done")) return AMB_JOB_DONE;
    return amb_cbor_text_equals(name, "cancelled") ? AMB_JOB_CANCELLED : AMB_JOB_QUEUED;
}

/* A field that comes twice makes the reader odd. */
static uint64_t read_unique_uint(struct amb_cbor_reader *reader, bool *seen) {
    if (*seen) reader->failed = true;
    *seen = true;
    return amb_cbor_read_uint(reader);
}

static void read_field(struct amb_cbor_reader *reader, struct job_record *record, bool *has_state) {
    struct amb_cbor_dup_string name = amb_cbor_read_text(reader);
    if (amb_cbor_text_equals(name, "s")) {
        if (*has_state) reader->failed = true;
        *has_state = true;
        record->state = state_named(amb_cbor_read_text(reader));
    } else if (amb_cbor_text_equals(name, "a")) {
        record->accepted_wall_ms = read_unique_uint(reader, &record->has_accepted);
    } else if (amb_cbor_text_equals(name, "c")) {
        record->cancelled_wall_ms = read_unique_uint(reader, &record->has_cancelled);
    } else if (amb_cbor_text_equals(name, "n")) {
        record->tasks_done = read_unique_uint(reader, &record->has_tasks_done);
    } else if (amb_cbor_text_equals(name, "d")) {
        if (record->description_start) reader->failed = true;
        record->description_start = reader->at;
        amb_cbor_skip_value(reader);
        record->description_end = reader->at;
    } else {
        amb_cbor_skip_value(reader);
    }
}

/* False: in an encoding that only amb_cbor_parse knows. */
static bool read_record(const void *value, size_t value_len, struct job_record *record) {
    struct amb_cbor_reader reader = amb_cbor_reader(value, value_len);
    bool has_state = false;
    *record = (struct job_record){.state = AMB_JOB_QUEUED};
    for (size_t pairs = amb_cbor_read_map(&reader); pairs && !reader.failed; pairs--)
        read_field(&reader, record, &has_state);
    return !reader.failed && reader.at == reader.end;
}

static void read_spec(struct amb_node *node, struct amb_job *job, const cbor_item_t *description) {
    struct amb_job_spec *spec = amb_alloc(sizeof *spec);
    if (amb_codec_decode_spec(description, spec) == AMB_CODEC_OK &&
        amb_codec_decode_dependencies(description, &job->dependencies) == AMB_CODEC_OK) {
        job->spec = spec;
        node->jobs.spec_count++;
        job->team = amb_settings_find_team(&node->settings, spec->team);
    } else {
        amb_error("job %s: its record can't be read", job->ref);
        free(spec);
    }
}

/* Whether the description in a record of this state says something that is not known; job NULL: it is new. */
static bool needs_description(const struct amb_job *job, enum amb_job_state state) {
    return state != AMB_JOB_DONE && (!job || (!job->spec && !job->tasks_gone));
}

/* Is what this stamp tells of the job known already? Older news change nothing, and most news are echoes of
 * what this node wrote. job NULL: it is new. */
static bool is_known_revision(const struct amb_job *job, uint64_t revision) {
    return job && revision <= job->revision;
}

static void apply_record(struct amb_node *node, const char *ref, const struct job_record *record,
                         uint64_t revision) {
    struct amb_job *job = amb_job_find(node, ref);
    if (is_known_revision(job, revision)) return;
    if (strlen(ref) >= AMB_NAME_SIZE) return;
    bool is_new = !job;
    if (is_new) job = add_job(node, ref);
    job->revision = revision;
    enum amb_job_state new_state = record->state;
    if (record->has_accepted) job->accepted_wall_ms = (int64_t)record->accepted_wall_ms;
    if (record->has_cancelled) job->cancelled_wall_ms = (int64_t)record->cancelled_wall_ms;
    if (record->has_tasks_done) job->progress_done = (uint32_t)record->tasks_done;
    if (needs_description(job, new_state)) read_spec(node, job, record->description);
    if (new_state == AMB_JOB_CANCELLED) job->cancel_revision = revision;
    /* Another node's word may come before the news of the job: a cancellation is final. (One that is derived
     * from another job's may bear an older stamp than the job itself.) */
    if (new_state == AMB_JOB_QUEUED && job->state == AMB_JOB_CANCELLED) new_state = AMB_JOB_CANCELLED;
    /* A user's submission or cancellation, at whichever node. */
    if (node->watch.loaded && (is_new || new_state == AMB_JOB_CANCELLED))
        amb_store_count_user_write(&node->store);
    set_state(node, job, new_state);
    if (new_state == AMB_JOB_QUEUED && job->dependencies)
        amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_JOB_HAS_DEPENDENCIES, .job = job});
    if (is_new) amb_job_handle_ready(node, job);
}

void amb_jobs_apply_item(struct amb_node *node, const char *ref, const cbor_item_t *value,
                         uint64_t revision) {
    if (!value) return; /* jobs are never removed */
    struct job_record record = record_of_item(value);
    apply_record(node, ref, &record, revision);
}

static void apply_parsed(struct amb_node *node, const char *ref, const void *value, size_t value_len,
                         uint64_t revision) {
    cbor_item_t *item = amb_cbor_parse(value, value_len);
    amb_jobs_apply_item(node, ref, item, revision);
    if (item) cbor_decref(&item);
}

void amb_jobs_apply_bytes(struct amb_node *node, const char *ref, const void *value, size_t value_len,
                          uint64_t revision) {
    struct job_record record;
    const struct amb_job *job = amb_job_find(node, ref);
    if (!value || is_known_revision(job, revision)) return;
    if (!read_record(value, value_len, &record)) {
        apply_parsed(node, ref, value, value_len, revision);
        return;
    }
    cbor_item_t *description = NULL;
    size_t description_len = (size_t)(record.description_end - record.description_start);
    if (description_len && needs_description(job, record.state))
        description = amb_cbor_parse(record.description_start, description_len);
    record.description = description;
    apply_record(node, ref, &record, revision);
    if (description) cbor_decref(&description);
}

void amb_job_handle_ready(struct amb_node *node, struct amb_job *job) {
    if (job->dependencies_pending) return;
    if (node->watch.loaded)
        amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_JOB_READY, .job = job});
    if (amb_election_has_leader_role(node) && node->controller.restored_at && job->state == AMB_JOB_QUEUED) {
        amb_job_activate_if_room(node, job);
        amb_node_request_cycle(node);
    }
}

void amb_job_apply_own_write(struct amb_node *node, const struct amb_job *job, enum amb_job_state state,
                             uint64_t revision) {
    struct amb_buf value = {0};
    amb_job_encode_record(&value, job, state);
    amb_jobs_apply_bytes(node, job->ref, value.data, value.len, revision);
    amb_buf_free(&value);
}

void amb_job_apply_own_cancellation(struct amb_node *node, struct amb_job *job, uint64_t revision) {
    if (revision <= job->revision) return; /* news were here first */
    job->revision = job->cancel_revision = revision;
    job->cancelled_wall_ms = amb_wall_ms();
    amb_store_count_user_write(&node->store);
    set_state(node, job, AMB_JOB_CANCELLED);
}

/* The stamp stays what it was: no write of ours under it can succeed, and the news, when it comes, is newer.
 * A job that we have never heard of is remembered, without a description: its tasks may be on machines that
 * report to us. */
void amb_job_apply_cancel_hint(struct amb_node *node, const char *ref, int64_t cancelled_wall_ms,
                               uint64_t revision) {
    struct amb_job *job = amb_job_find(node, ref);
    if (!job && strlen(ref) < AMB_NAME_SIZE) job = add_job(node, ref);
    if (!job || job->state != AMB_JOB_QUEUED) return;
    job->cancelled_wall_ms = cancelled_wall_ms;
    job->cancel_revision = revision;
    set_state(node, job, AMB_JOB_CANCELLED);
}
