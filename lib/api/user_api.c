/* Users' requests: submissions, queries and cancellations. A user is told only what is durable in the
 * key-value store, so a fresh read from the store precedes every answer about a job whose state is not final.
 */
#include "amberpin/api/user_api.h"

#include "amberpin/api/draft.h"
#include "amberpin/base/log.h"
#include "amberpin/codec/kvstore_messages.h"
#include "amberpin/codec/user_messages.h"
#include "amberpin/job/cancellation_notice.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

enum { RETRY_AFTER_S = 1, CANCEL_RETRIES = 3 };

struct user_request { /* a request in progress */
    struct amb_node *node;
    struct amb_http_req *http_request;
    enum amb_user_operation operation;
    char ref[AMB_NAME_SIZE];
    int cancel_retries; /* only for a cancellation: transactions that failed because the job had changed */
    /* Only for the submission of a job that is not known: */
    struct amb_draft *draft; /* owned */
    bool is_sent;            /* a transaction with the draft was sent */
};

static void request_free(struct user_request *request) {
    amb_draft_free(request->node, request->draft);
    free(request);
}

static void reply_status(struct user_request *request, enum amb_http_status status) {
    int retry_after_s = status == AMB_HTTP_SERVICE_UNAVAILABLE ? RETRY_AFTER_S : 0;
    amb_http_reply(request->http_request, status, NULL, NULL, 0, retry_after_s);
    request_free(request);
}

/* The leader counts the tasks of active jobs; other nodes use the progress that it last reported to them. */
static struct amb_job_status status_of(const struct amb_job *job) {
    struct amb_job_status status = {.job_ref = job->ref, .state = job->state};
    status.done_tasks = job->active ? job->done_count : job->progress_done;
    if (job->state == AMB_JOB_DONE && job->spec) status.done_tasks = job->spec->task_count;
    if (job->state == AMB_JOB_QUEUED)
        status.running_tasks = job->active ? job->running_count : job->progress_running;
    return status;
}

static void reply_job(struct user_request *request, enum amb_http_status status, struct amb_job *job) {
    bool is_query = request->operation == AMB_USER_QUERY;
    const struct amb_job_status job_status = status_of(job);
    struct amb_buf body = {0};
    if (job->state == AMB_JOB_CANCELLED) {
        amb_debug("job %s: telling a user that it is cancelled, revision %llu", job->ref,
                  (unsigned long long)job->cancel_revision);
        amb_cancellation_notice_send_cancelled(request->node, job);
    }
    amb_codec_encode_job_status(&body, &job_status, is_query ? AMB_JOB_STATUS_FULL : AMB_JOB_STATUS_BRIEF);
    amb_http_reply_cbor(request->http_request, status, &body, 0);
    request_free(request);
}

static void on_fresh_read(void *arg, bool ok);

static void request_fresh_read(struct user_request *request) {
    amb_watch_read_fresh(request->node, on_fresh_read, request);
}

static void on_submission_written(void *arg, int status, const struct amb_cbor_item *body) {
    struct user_request *request = arg;
    struct amb_node *node = request->node;
    uint64_t revision;
    if (status == AMB_HTTP_OK && amb_kvstore_decode_commit(body, &revision)) {
        const struct amb_draft *draft = request->draft;
        const struct amb_job_spec *spec = draft->job->spec;
        amb_job_apply_own_write(node, draft->job, draft->dependencies, AMB_JOB_QUEUED, revision);
        amb_info("job %s: accepted for %s, %u tasks of class %s", request->ref, spec->team, spec->task_count,
                 spec->class_name);
        amb_debug("job %s: a task takes %g vcpus, %g accelerators, %g GB, image %g GB, for %g s, due in %g s",
                  request->ref, spec->task_resources.cpus, spec->task_resources.gpus,
                  spec->task_resources.memory_gb, spec->image_gb, spec->estimated_runtime_s,
                  spec->deadline_s);
        reply_job(request, AMB_HTTP_CREATED, amb_job_find(node, request->ref));
    } else if (status == AMB_HTTP_CONFLICT || amb_job_find(node, request->ref)) {
        /* Another node accepted the job first, or only the response was lost and the watch has delivered the
         * job since. Its state in the watch may be older than the request. */
        request_fresh_read(request);
    } else {
        reply_status(request, AMB_HTTP_SERVICE_UNAVAILABLE);
    }
}

static void on_cancellation_written(void *arg, int status, const struct amb_cbor_item *body) {
    struct user_request *request = arg;
    struct amb_node *node = request->node;
    uint64_t revision;
    struct amb_job *job = amb_job_find(node, request->ref);
    if (status == AMB_HTTP_OK && amb_kvstore_decode_commit(body, &revision)) {
        amb_job_apply_own_cancellation(node, job, revision);
        reply_job(request, AMB_HTTP_OK, job);
    } else if (job->state != AMB_JOB_QUEUED) { /* only the response was lost, or another node wrote first */
        reply_job(request, AMB_HTTP_OK, job);
    } else if (status == AMB_HTTP_CONFLICT && request->cancel_retries++ < CANCEL_RETRIES) {
        /* The job changed meanwhile. */
        request_fresh_read(request);
    } else {
        reply_status(request, AMB_HTTP_SERVICE_UNAVAILABLE);
    }
}

/* Writes the job in this state, provided that its revision in the key-value store is still job->revision. */
static void write_job(struct user_request *request, const struct amb_job *job,
                      const struct amb_name_list *dependencies, enum amb_job_state state,
                      amb_store_callback done) {
    char key[AMB_NAME_SIZE + 16];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_job_format_key(key, sizeof key, request->ref);
    amb_job_encode_record(&value, job, dependencies, state);
    amb_txn_compare(&transaction, key, job->revision);
    amb_txn_put(&transaction, key, &value, 0);
    amb_buf_free(&value);
    amb_store_commit(&request->node->store, &transaction, AMB_STORE_PRIORITY_USER, done, request);
}

static void send_cancellation(struct user_request *request, struct amb_job *job) {
    if (!amb_store_can_write_for_user(&request->node->store, 1, 0)) {
        reply_status(request, AMB_HTTP_SERVICE_UNAVAILABLE);
        return;
    }
    struct amb_job changed = *job;
    struct amb_name_list *dependencies =
        amb_job_dependencies_names(&request->node->jobs.names, job->dependencies);
    changed.cancelled_wall_ms = amb_wall_ms();
    amb_cancellation_notice_send_pending(request->node, job);
    write_job(request, &changed, dependencies, AMB_JOB_CANCELLED, on_cancellation_written);
    free(dependencies);
}

static void decide_submission(struct user_request *request, bool is_fresh);

/* Handles a request for a job of a name that had not been accepted when the request arrived. */
static void handle_unknown_job(struct user_request *request) {
    if (request->operation != AMB_USER_SUBMIT)
        reply_status(request, AMB_HTTP_NOT_FOUND);
    else if (request->is_sent) /* the transaction may still be carried out */
        reply_status(request, AMB_HTTP_SERVICE_UNAVAILABLE);
    else
        decide_submission(request, true);
}

/* If the read succeeded, the table of jobs contains all changes made before the request arrived. */
static void on_fresh_read(void *arg, bool ok) {
    struct user_request *request = arg;
    struct amb_node *node = request->node;
    struct amb_job *job = amb_job_find(node, request->ref);
    if (!ok) {
        /* A final state does not change; any other state may have changed since. */
        if (job && job->state != AMB_JOB_QUEUED)
            reply_job(request, AMB_HTTP_OK, job);
        else
            reply_status(request, AMB_HTTP_SERVICE_UNAVAILABLE);
    } else if (!job) {
        handle_unknown_job(request);
    } else if (request->operation == AMB_USER_CANCEL && job->state == AMB_JOB_QUEUED) {
        send_cancellation(request, job);
    } else {
        reply_job(request, AMB_HTTP_OK, job);
    }
}

static void send_submission(struct user_request *request) {
    struct amb_draft *draft = request->draft;
    struct amb_job *job = draft->job; /* revision 0: the transaction fails if the job exists */
    job->accepted_wall_ms = amb_wall_ms();
    request->is_sent = true;
    amb_draft_reserve(request->node, draft);
    write_job(request, job, draft->dependencies, AMB_JOB_QUEUED, on_submission_written);
}

/* Decides on the submission of a job that is not known here. is_fresh: a fresh read has shown that the job
 * was not in the key-value store either when the request arrived. An accepted job must never be refused when
 * its submission is repeated, so every refusal needs a fresh read first, also that of a malformed repetition.
 * So does a refusal for an unknown dependency, which another node may just have accepted. */
static void decide_submission(struct user_request *request, bool is_fresh) {
    struct amb_node *node = request->node;
    struct amb_draft *draft = request->draft;
    enum amb_admission admission = amb_draft_check(node, draft);
    if (admission == AMB_ADMISSION_MALFORMED || admission == AMB_ADMISSION_NEVER_RUNS) {
        if (is_fresh)
            reply_status(request, admission == AMB_ADMISSION_MALFORMED ? AMB_HTTP_BAD_REQUEST
                                                                       : AMB_HTTP_UNPROCESSABLE_CONTENT);
        else
            request_fresh_read(request);
    } else if (!amb_draft_can_be_accepted(node, draft, admission)) {
        reply_status(request, AMB_HTTP_SERVICE_UNAVAILABLE);
    } else if (!is_fresh && amb_draft_needs_fresh_read(node, draft)) {
        request_fresh_read(request);
    } else {
        send_submission(request);
    }
}

static void submit_unknown(struct user_request *request, const struct amb_cbor_item *body) {
    request->draft = amb_draft_new(request->node, body);
    if (amb_drafts_exceed_memory(request->node)) {
        amb_debug("job %s: not accepted now: no memory left for submissions", request->ref);
        reply_status(request, AMB_HTTP_SERVICE_UNAVAILABLE);
    } else {
        decide_submission(request, false);
    }
}

/* The rest of a repeated submission is not read: the job is what the first one made of it. */
static void submit(struct user_request *request) {
    const struct amb_http_req *http_request = request->http_request;
    const struct amb_cbor_item *body = amb_cbor_parse(http_request->body, http_request->body_len);
    amb_codec_decode_submission_ref(body, request->ref);
    struct amb_job *known = amb_job_find(request->node, request->ref);
    if (!amb_codec_is_job_ref(request->ref)) /* no job can have been accepted under such a name */
        reply_status(request, AMB_HTTP_BAD_REQUEST);
    else if (known && known->state != AMB_JOB_QUEUED)
        reply_job(request, AMB_HTTP_OK, known);
    else if (known)
        request_fresh_read(request);
    else
        submit_unknown(request, body);
}

static void look_up(struct user_request *request) {
    struct amb_job *job = amb_job_find(request->node, request->ref);
    if (!amb_codec_is_job_ref(request->ref))
        reply_status(request, AMB_HTTP_NOT_FOUND);
    else if (job && job->state != AMB_JOB_QUEUED)
        reply_job(request, AMB_HTTP_OK, job);
    else
        request_fresh_read(request);
}

static struct user_request *request_new(struct amb_node *node, struct amb_http_req *http_request,
                                        const struct amb_user_route *route) {
    struct user_request *request = amb_alloc(sizeof *request);
    request->node = node;
    request->http_request = http_request;
    request->operation = route->operation;
    strcpy(request->ref, route->job_ref);
    return request;
}

bool amb_api_handle_request(struct amb_node *node, struct amb_http_req *http_request) {
    struct amb_user_route route;
    enum amb_user_route_result result =
        amb_codec_decode_user_route(http_request->method, http_request->path, &route);
    if (result == AMB_USER_ROUTE_FOREIGN) return false;
    struct user_request *request = request_new(node, http_request, &route);
    if (result == AMB_USER_ROUTE_UNKNOWN)
        reply_status(request, AMB_HTTP_NOT_FOUND);
    else if (result == AMB_USER_ROUTE_WRONG_METHOD)
        reply_status(request, AMB_HTTP_METHOD_NOT_ALLOWED);
    else if (!node->watch.loaded)
        reply_status(request, AMB_HTTP_SERVICE_UNAVAILABLE);
    else if (route.operation == AMB_USER_SUBMIT)
        submit(request);
    else
        look_up(request);
    return true;
}
