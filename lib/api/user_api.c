/* Users' requests: submissions, queries, cancellations. A user is told only what is durable in the key-value
 * store; a job's state that is not final is read afresh from there first. */
#include "amberpin/api/user_api.h"

#include "amberpin/api/admission.h"
#include "amberpin/base/log.h"
#include "amberpin/codec/kvstore_messages.h"
#include "amberpin/codec/user_messages.h"
#include "amberpin/job/cancellation_notice.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

enum { RETRY_AFTER_S = 1, CANCEL_RETRIES = 3 };

struct user_request { /* under way */
    struct amb_node *node;
    struct amb_http_req *http_request;
    enum amb_user_operation operation;
    char ref[AMB_NAME_SIZE];
    int tries; /* cancel: transactions sent */
    /* submit: */
    struct amb_submission_error error; /* why it is malformed */
    struct amb_job *draft;             /* as it is to be accepted; without a description if malformed */
    bool is_sent;                      /* the draft was */
};

static void request_free(struct user_request *request) {
    if (request->draft) amb_job_free_spec(request->draft);
    free(request->draft);
    free(request);
}

static void reply_status(struct user_request *request, enum amb_http_status status) {
    int retry_after_s = status == AMB_HTTP_SERVICE_UNAVAILABLE ? RETRY_AFTER_S : 0;
    amb_http_reply(request->http_request, status, NULL, NULL, 0, retry_after_s);
    request_free(request);
}

/* The leader counts the tasks of active jobs; other nodes know what it last told them. */
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
    if (job->state == AMB_JOB_CANCELLED) amb_cancellation_notice_send_cancelled(request->node, job);
    amb_codec_encode_job_status(&body, &job_status, is_query ? AMB_JOB_STATUS_FULL : AMB_JOB_STATUS_BRIEF);
    amb_http_reply_cbor(request->http_request, status, &body, 0);
    request_free(request);
}

static void on_fresh_read(void *arg, bool ok);

static void request_fresh_read(struct user_request *request) {
    amb_watch_read_fresh(request->node, on_fresh_read, request);
}

static void on_submission_written(void *arg, int status, const cbor_item_t *body) {
    struct user_request *request = arg;
    struct amb_node *node = request->node;
    uint64_t revision;
    if (status == AMB_HTTP_OK && amb_kvstore_decode_commit(body, &revision)) {
        const struct amb_job_spec *spec = request->draft->spec;
        amb_job_apply_own_write(node, request->draft, AMB_JOB_QUEUED, revision);
        amb_info("job %s: accepted for %s, %u tasks of class %s", request->ref, spec->team, spec->task_count,
                 spec->class_name);
        amb_debug("job %s: a task takes %g vcpus, %g accelerators, %g GB, image %g GB, for %g s, due in %g s",
                  request->ref, spec->task_resources.cpus, spec->task_resources.gpus,
                  spec->task_resources.memory_gb, spec->image_gb, spec->estimated_runtime_s,
                  spec->deadline_s);
        reply_job(request, AMB_HTTP_CREATED, amb_job_find(node, request->ref));
    } else if (status == AMB_HTTP_CONFLICT || amb_job_find(node, request->ref)) {
        /* Another node was first, or only the response was lost and the watch has brought the job since. What
         * it brought may be older than the request. */
        request_fresh_read(request);
    } else {
        reply_status(request, AMB_HTTP_SERVICE_UNAVAILABLE);
    }
}

static void on_cancellation_written(void *arg, int status, const cbor_item_t *body) {
    struct user_request *request = arg;
    struct amb_node *node = request->node;
    uint64_t revision;
    struct amb_job *job = amb_job_find(node, request->ref);
    if (status == AMB_HTTP_OK && amb_kvstore_decode_commit(body, &revision)) {
        amb_job_apply_own_cancellation(node, job, revision);
        reply_job(request, AMB_HTTP_OK, job);
    } else if (job->state != AMB_JOB_QUEUED) { /* only the response was lost, or another node was first */
        reply_job(request, AMB_HTTP_OK, job);
    } else if (status == AMB_HTTP_CONFLICT && request->tries++ < CANCEL_RETRIES) { /* it changed meanwhile */
        request_fresh_read(request);
    } else {
        reply_status(request, AMB_HTTP_SERVICE_UNAVAILABLE);
    }
}

/* Writes the job in this state, if its revision in the key-value store still is what the job says. */
static void write_job(struct user_request *request, const struct amb_job *job, enum amb_job_state state,
                      amb_store_callback done) {
    char key[AMB_NAME_SIZE + 16];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_job_format_key(key, sizeof key, request->ref);
    amb_job_encode_record(&value, job, state);
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
    changed.cancelled_wall_ms = amb_wall_ms();
    amb_cancellation_notice_send_pending(request->node, job);
    write_job(request, &changed, AMB_JOB_CANCELLED, on_cancellation_written);
}

static void decide_submission(struct user_request *request, bool is_fresh);

/* No job of that name was accepted when the request came. */
static void handle_unknown_job(struct user_request *request) {
    if (request->operation != AMB_USER_SUBMIT)
        reply_status(request, AMB_HTTP_NOT_FOUND);
    else if (request->is_sent) /* and may still be carried out */
        reply_status(request, AMB_HTTP_SERVICE_UNAVAILABLE);
    else
        decide_submission(request, true);
}

/* The table of jobs now holds all that was true when the request came, if the read succeeded. */
static void on_fresh_read(void *arg, bool ok) {
    struct user_request *request = arg;
    struct amb_node *node = request->node;
    struct amb_job *job = amb_job_find(node, request->ref);
    if (!ok) {
        /* A final state stays so; any other may have changed since. */
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

/* The share of the write budget that is left to jobs of higher priority: when more comes than can be written,
 * they are accepted first. */
static double reserved_write_share(const struct amb_job_spec *spec) {
    return spec->priority == AMB_PRIORITY_PRODUCTION ? 0 : spec->priority == AMB_PRIORITY_HIGH ? 0.2 : 0.3;
}

static void send_submission(struct user_request *request) {
    struct amb_job *draft = request->draft; /* its revision is 0: the job must be new */
    draft->accepted_wall_ms = amb_wall_ms();
    request->is_sent = true;
    write_job(request, draft, AMB_JOB_QUEUED, on_submission_written);
}

/* Decodes the body into the draft. The job's name goes to the request even if the rest is malformed. */
static void read_submission(struct user_request *request) {
    const struct amb_http_req *http_request = request->http_request;
    struct amb_submission submission;
    request->error = amb_codec_decode_submission(http_request->body, http_request->body_len, &submission);
    strcpy(request->ref, submission.job_ref);
    request->draft = amb_alloc(sizeof *request->draft);
    strcpy(request->draft->ref, submission.job_ref);
    request->draft->spec = submission.spec;
    request->draft->dependencies = submission.dependencies;
}

static enum amb_admission check_admission(const struct user_request *request) {
    const struct amb_job *draft = request->draft;
    if (request->error.problem != AMB_SUBMISSION_VALID) return AMB_ADMISSION_MALFORMED;
    enum amb_admission admission = amb_admission_check_job(request->node, draft->spec);
    if (admission == AMB_ADMISSION_NEVER_RUNS) return admission;
    if (amb_admission_check_record(request->node, draft) == AMB_ADMISSION_NEVER_RUNS)
        return AMB_ADMISSION_NEVER_RUNS;
    enum amb_admission by_dependencies = amb_admission_check_dependencies(request->node, draft->dependencies);
    return by_dependencies == AMB_ADMISSION_CAN_RUN ? admission : by_dependencies;
}

static bool log_refusal(const struct user_request *request, const char *cause) {
    amb_debug("job %s: not accepted now: %s", request->ref, cause);
    return false;
}

static bool can_accept_now(const struct user_request *request, enum amb_admission admission) {
    struct amb_node *node = request->node;
    const struct amb_job_spec *spec = request->draft->spec;
    if (admission == AMB_ADMISSION_UNDECIDED) return log_refusal(request, "not known whether it can run");
    if (!amb_memory_has_room_for_job(node, spec)) return log_refusal(request, "no memory left for jobs");
    if (!amb_store_can_write_for_user(&node->store, 1, reserved_write_share(spec)))
        return log_refusal(request, "too many changes of the state service wait");
    return true;
}

/* The job is not known here; is_fresh: nor was it in the key-value store when the request came. Once
 * accepted, a job is never refused: so a refusal, of a malformed repetition too, needs a fresh read first. So
 * does one for a dependency that is not known: another node may just have accepted it. */
static void decide_submission(struct user_request *request, bool is_fresh) {
    enum amb_admission admission = check_admission(request);
    if (admission == AMB_ADMISSION_MALFORMED || admission == AMB_ADMISSION_NEVER_RUNS) {
        if (is_fresh)
            reply_status(request, admission == AMB_ADMISSION_MALFORMED ? AMB_HTTP_BAD_REQUEST
                                                                       : AMB_HTTP_UNPROCESSABLE_CONTENT);
        else
            request_fresh_read(request);
    } else if (!can_accept_now(request, admission)) {
        reply_status(request, AMB_HTTP_SERVICE_UNAVAILABLE);
    } else {
        send_submission(request);
    }
}

static void submit(struct user_request *request) {
    read_submission(request);
    struct amb_job *known = amb_job_find(request->node, request->ref);
    if (!amb_codec_is_job_ref(request->ref)) /* no job of that name can have been accepted */
        reply_status(request, AMB_HTTP_BAD_REQUEST);
    else if (known && known->state != AMB_JOB_QUEUED)
        reply_job(request, AMB_HTTP_OK, known);
    else if (known)
        request_fresh_read(request);
    else
        decide_submission(request, false);
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
