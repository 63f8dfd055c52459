#include "amberpin/job/jobs.h"

#include "amberpin/base/log.h"
#include "amberpin/job/job_record.h"
#include "amberpin/job/job_specs.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

struct amb_job *amb_job_find(struct amb_node *node, const char *ref) {
    struct amb_job *job;
    HASH_FIND_STR(node->jobs.all, ref, job);
    return job;
}

static void withdraw_tasks(struct amb_node *node, struct amb_job *job, const char *cause) {
    for (uint32_t i = 0; i < job->spec->task_count; i++) amb_task_withdraw(node, &job->tasks[i], cause);
    if (job->spec->kind == AMB_JOB_KIND_GANG) amb_gang_set_state(job, AMB_GANG_TEARING, cause);
}

/* Returns whether the state has changed. Does not notify the jobs that depend on this one. */
static bool change_state(struct amb_node *node, struct amb_job *job, enum amb_job_state new_state) {
    if (new_state == AMB_JOB_CANCELLED) amb_cancellations_update(node, job);
    if (job->state == new_state) return false;
    amb_info("job %s: %s -> %s", job->ref, amb_codec_job_state_text(job->state, false),
             amb_codec_job_state_text(new_state, false));
    job->state = new_state;
    if (new_state == AMB_JOB_CANCELLED && job->active) {
        withdraw_tasks(node, job, "job cancelled");
        amb_node_request_cycle(node);
    }
    return true;
}

/* The description is dropped after the event, because pipelines use its list of dependencies until then. */
static void set_state(struct amb_node *node, struct amb_job *job, enum amb_job_state new_state) {
    if (!change_state(node, job, new_state) || new_state == AMB_JOB_QUEUED) return;
    amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_JOB_FINAL, .job = job});
    if (new_state == AMB_JOB_DONE && !job->active) amb_job_drop_spec(node, job);
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

static void read_spec(struct amb_node *node, struct amb_job *job, const struct amb_cbor_item *description) {
    struct amb_job_spec *spec = amb_alloc(sizeof *spec);
    struct amb_name_list *dependencies = NULL;
    if (amb_codec_decode_spec(description, spec) == AMB_CODEC_OK &&
        amb_codec_decode_dependencies(description, &dependencies) == AMB_CODEC_OK) {
        job->spec = spec;
        job->dependencies = amb_job_dependencies_new(&node->jobs.names, job->ref, dependencies);
        node->jobs.spec_count++;
        job->team = amb_settings_find_team(&node->settings, spec->team);
    } else {
        amb_error("job %s: record cannot be decoded", job->ref);
        free(spec);
    }
    free(dependencies);
}

/* Whether the description of a record with this state has to be decoded. A NULL job is a new one. */
static bool needs_description(const struct amb_job *job, enum amb_job_state state) {
    return state != AMB_JOB_DONE && (!job || (!job->spec && !job->tasks_gone));
}

/* Whether a change is already applied: it is older than the job's last change, or it is a write of this node,
 * as most changes are. A NULL job is a new one. */
static bool is_known_revision(const struct amb_job *job, uint64_t revision) {
    return job && revision <= job->revision;
}

static void copy_fields(struct amb_job *job, const struct amb_job_record *record, uint64_t revision) {
    job->revision = revision;
    if (record->has_accepted) job->accepted_wall_ms = (int64_t)record->accepted_wall_ms;
    if (record->has_cancelled) job->cancelled_wall_ms = (int64_t)record->cancelled_wall_ms;
    if (record->has_tasks_done) job->progress_done = (uint32_t)record->tasks_done;
    if (record->state == AMB_JOB_CANCELLED) job->cancel_revision = revision;
}

static void log_cancellation(const struct amb_job *job, uint64_t revision, const char *source) {
    amb_debug("job %s: cancellation of revision %llu %s", job->ref, (unsigned long long)revision, source);
}

static void apply_record(struct amb_node *node, const char *ref, const struct amb_job_record *record,
                         uint64_t revision) {
    struct amb_job *job = amb_job_find(node, ref);
    if (is_known_revision(job, revision)) return;
    if (strlen(ref) >= AMB_NAME_SIZE) return;
    bool is_new = !job;
    if (is_new) job = add_job(node, ref);
    enum amb_job_state new_state = record->state;
    if (new_state == AMB_JOB_CANCELLED) log_cancellation(job, revision, "read from the state service");
    copy_fields(job, record, revision);
    if (needs_description(job, new_state)) read_spec(node, job, record->description);
    /* A peer may report a cancellation before the job's record is read, and a cancellation is final. (One
     * that follows from the cancellation of a dependency may have an older revision than the job itself.) */
    if (new_state == AMB_JOB_QUEUED && job->state == AMB_JOB_CANCELLED) new_state = AMB_JOB_CANCELLED;
    /* This is a user's submission or cancellation, through any node. */
    if (node->watch.loaded && (is_new || new_state == AMB_JOB_CANCELLED))
        amb_store_count_user_write(&node->store);
    set_state(node, job, new_state);
    if (new_state == AMB_JOB_QUEUED && job->dependencies)
        amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_JOB_HAS_DEPENDENCIES, .job = job});
    if (is_new) amb_job_handle_ready(node, job);
}

void amb_jobs_apply_item(struct amb_node *node, const char *ref, const struct amb_cbor_item *value,
                         uint64_t revision) {
    if (!value) return; /* jobs are never removed */
    struct amb_job_record record = amb_job_record_decode_item(value);
    apply_record(node, ref, &record, revision);
}

static void apply_parsed(struct amb_node *node, const char *ref, const void *value, size_t value_len,
                         uint64_t revision) {
    const struct amb_cbor_item *item = amb_cbor_parse(value, value_len);
    amb_jobs_apply_item(node, ref, item, revision);
}

/* Returns NULL if there is no description, if it is not needed, or if it is not valid CBOR. */
static const struct amb_cbor_item *parse_description(const struct amb_job *job,
                                                     const struct amb_job_record *record) {
    size_t description_len = (size_t)(record->description_end - record->description_start);
    if (!description_len || !needs_description(job, record->state)) return NULL;
    return amb_cbor_parse(record->description_start, description_len);
}

void amb_jobs_apply_bytes(struct amb_node *node, const char *ref, const void *value, size_t value_len,
                          uint64_t revision) {
    struct amb_job_record record;
    const struct amb_job *job = amb_job_find(node, ref);
    if (!value || is_known_revision(job, revision)) return;
    if (!amb_job_record_try_decode_bytes(value, value_len, &record)) {
        apply_parsed(node, ref, value, value_len, revision);
        return;
    }
    record.description = parse_description(job, &record);
    apply_record(node, ref, &record, revision);
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

void amb_job_apply_own_write(struct amb_node *node, const struct amb_job *job,
                             const struct amb_name_list *dependencies, enum amb_job_state state,
                             uint64_t revision) {
    struct amb_buf value = {0};
    amb_job_encode_record(&value, job, dependencies, state);
    amb_jobs_apply_bytes(node, job->ref, value.data, value.len, revision);
    amb_buf_free(&value);
}

void amb_job_apply_own_cancellation(struct amb_node *node, struct amb_job *job, uint64_t revision) {
    if (revision <= job->revision) return; /* the watch has already delivered it */
    log_cancellation(job, revision, "written by this node");
    job->revision = job->cancel_revision = revision;
    job->cancelled_wall_ms = amb_wall_ms();
    amb_store_count_user_write(&node->store);
    set_state(node, job, AMB_JOB_CANCELLED);
}

/* The job keeps its revision: a compare-and-swap of this node under that revision fails, and the change is
 * newer when it is read. An unknown job is added without a description, because its tasks may be on machines
 * that send their heartbeats to this node. */
void amb_job_apply_cancel_hint(struct amb_node *node, const char *ref, int64_t cancelled_wall_ms,
                               uint64_t revision) {
    struct amb_job *job = amb_job_find(node, ref);
    if (!job && strlen(ref) < AMB_NAME_SIZE) job = add_job(node, ref);
    if (!job || job->state != AMB_JOB_QUEUED) return;
    log_cancellation(job, revision, "heard from a peer");
    job->cancelled_wall_ms = cancelled_wall_ms;
    job->cancel_revision = revision;
    set_state(node, job, AMB_JOB_CANCELLED);
}
