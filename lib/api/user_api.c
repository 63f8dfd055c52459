/* Requests of users: submissions, questions, cancellations. A user is answered only what is written in the
 * state service; what is not final is read afresh first. */
#include "amberpin/api/user_api.h"

#include "amberpin/api/admission.h"
#include "amberpin/base/log.h"
#include "amberpin/job/cancellation_notice.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { RETRY_AFTER_S = 1, CANCEL_RETRIES = 3 };

struct user_request { /* under way */
    struct amb_node *node;
    struct amb_http_req *http_request;
    enum { SUBMIT, QUERY, CANCEL } kind;
    char ref[AMB_NAME_SIZE];
    int tries;             /* cancel: transactions sent */
    struct amb_job *draft; /* submit: as it is to be accepted; its description is missing if malformed */
    bool is_sent;          /* submit: the draft was */
};

static void request_free(struct user_request *request) {
    if (request->draft) amb_job_free_spec(request->draft);
    free(request->draft);
    free(request);
}

static void reply_status(struct user_request *request, int status) {
    amb_http_reply(request->http_request, status, NULL, NULL, 0, status == 503 ? RETRY_AFTER_S : 0);
    request_free(request);
}

static void reply_job(struct user_request *request, int status, struct amb_job *job, bool brief) {
    struct amb_buf body = {0};
    if (job->state == AMB_JOB_CANCELLED) amb_cancellation_notice_send_cancelled(request->node, job);
    uint32_t done = job->active ? job->done_count : job->progress_done;
    uint32_t running = job->active ? job->running_count : job->progress_running;
    if (job->state != AMB_JOB_QUEUED) running = 0;
    if (job->state == AMB_JOB_DONE && job->spec) done = job->spec->task_count;
    amb_cbor_write_map(&body, brief ? 2 : 4);
    amb_cbor_write_string(&body, "ref");
    amb_cbor_write_string(&body, request->ref);
    amb_cbor_write_string(&body, "stance");
    amb_cbor_write_string(&body, amb_codec_job_state_text(job->state, running > 0));
    if (!brief) {
        amb_cbor_write_string(&body, "done");
        amb_cbor_write_uint(&body, done);
        amb_cbor_write_string(&body, "running");
        amb_cbor_write_uint(&body, running);
    }
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
    uint64_t stamp;
    if (status == 200 && amb_cbor_get_uint(amb_cbor_map_get(body, "epoch"), &stamp)) {
        const struct amb_job_spec *spec = request->draft->spec;
        amb_job_apply_own_write(node, request->draft, AMB_JOB_QUEUED, stamp);
        amb_info("job %s: accepted for %s, %u tasks of class %s", request->ref, spec->team, spec->task_count,
                 spec->class_name);
        amb_debug("job %s: a task takes %g vcpus, %g accelerators, %g GB, image %g GB, for %g s, due in %g s",
                  request->ref, spec->task_resources.cpus, spec->task_resources.gpus,
                  spec->task_resources.memory_gb, spec->image_gb, spec->estimated_runtime_s,
                  spec->deadline_s);
        reply_job(request, 201, amb_job_find(node, request->ref), true);
    } else if (status == 409 || amb_job_find(node, request->ref)) {
        /* Another node was first, or only the answer was lost and news have told of the job since. Such news
         * may be older than the question. */
        request_fresh_read(request);
    } else {
        reply_status(request, 503);
    }
}

static void on_cancellation_written(void *arg, int status, const cbor_item_t *body) {
    struct user_request *request = arg;
    struct amb_node *node = request->node;
    uint64_t stamp;
    struct amb_job *job = amb_job_find(node, request->ref);
    if (status == 200 && amb_cbor_get_uint(amb_cbor_map_get(body, "epoch"), &stamp)) {
        amb_job_apply_own_cancellation(node, job, stamp);
        reply_job(request, 200, job, true);
    } else if (job->state != AMB_JOB_QUEUED) { /* only the answer was lost, or another node was first */
        reply_job(request, 200, job, true);
    } else if (status == 409 && request->tries++ < CANCEL_RETRIES) { /* it changed meanwhile */
        request_fresh_read(request);
    } else {
        reply_status(request, 503);
    }
}

/* Writes the job in this state, if its stamp in the state service still is what the job says. */
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
        reply_status(request, 503);
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
    if (request->kind != SUBMIT)
        reply_status(request, 404);
    else if (request->is_sent) /* and may still be carried out */
        reply_status(request, 503);
    else
        decide_submission(request, true);
}

/* The table of jobs now holds all that was true when the request came, if the read succeeded. */
static void on_fresh_read(void *arg, bool ok) {
    struct user_request *request = arg;
    struct amb_node *node = request->node;
    struct amb_job *job = amb_job_find(node, request->ref);
    if (!ok) {
        /* What is final stays so; anything else may have changed unseen. */
        if (job && job->state != AMB_JOB_QUEUED)
            reply_job(request, 200, job, request->kind != QUERY);
        else
            reply_status(request, 503);
    } else if (!job) {
        handle_unknown_job(request);
    } else if (request->kind == CANCEL && job->state == AMB_JOB_QUEUED) {
        send_cancellation(request, job);
    } else {
        reply_job(request, 200, job, request->kind != QUERY);
    }
}

/* When more comes than can be written, what users wait for most is accepted first. */
static double reserved_write_share(const struct amb_job_spec *spec) {
    return spec->priority == AMB_PRIORITY_PRODUCTION ? 0 : spec->priority == AMB_PRIORITY_HIGH ? 0.2 : 0.3;
}

static void send_submission(struct user_request *request) {
    struct amb_job *draft = request->draft; /* its stamp, 0, guards: the job must be new */
    draft->accepted_wall_ms = amb_wall_ms();
    request->is_sent = true;
    write_job(request, draft, AMB_JOB_QUEUED, on_submission_written);
}

/* Reads the body into the draft; a readable name goes to the request even if the rest is malformed. */
static void read_submission(struct user_request *request) {
    cbor_item_t *body = amb_cbor_parse(request->http_request->body, request->http_request->body_len);
    struct amb_job *draft = request->draft = amb_alloc(sizeof *draft);
    draft->spec = amb_alloc(sizeof *draft->spec);
    if (amb_codec_decode_spec(body, draft->spec) != AMB_CODEC_OK ||
        amb_codec_decode_dependencies(body, &draft->dependencies) != AMB_CODEC_OK)
        amb_job_free_spec(draft);
    if (!amb_cbor_copy_string(amb_cbor_map_get(body, "ref"), request->ref, sizeof request->ref))
        request->ref[0] = 0;
    strcpy(draft->ref, request->ref);
    if (body) cbor_decref(&body);
}

static enum amb_admission check_admission(const struct user_request *request) {
    const struct amb_job *draft = request->draft;
    if (!draft->spec) return AMB_ADMISSION_MALFORMED;
    enum amb_admission admission = amb_admission_check_job(request->node, draft->spec);
    if (admission == AMB_ADMISSION_NEVER_RUNS) return admission;
    if (amb_admission_check_record(request->node, draft) == AMB_ADMISSION_NEVER_RUNS)
        return AMB_ADMISSION_NEVER_RUNS;
    enum amb_admission awaits = amb_admission_check_dependencies(request->node, draft->dependencies);
    return awaits == AMB_ADMISSION_CAN_RUN ? admission : awaits;
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

/* The job is not known here; `read`: nor was it anywhere when the request came. Once accepted, a job is never
 * refused: so a refusal, of a malformed repetition too, needs a fresh read first. So does one for a name that
 * is awaited: another node may just have accepted it. */
static void decide_submission(struct user_request *request, bool is_fresh) {
    enum amb_admission admission = check_admission(request);
    if (admission == AMB_ADMISSION_MALFORMED || admission == AMB_ADMISSION_NEVER_RUNS) {
        if (is_fresh)
            reply_status(request, admission == AMB_ADMISSION_MALFORMED ? 400 : 422);
        else
            request_fresh_read(request);
    } else if (!can_accept_now(request, admission)) {
        reply_status(request, 503);
    } else {
        send_submission(request);
    }
}

static void submit(struct user_request *request) {
    read_submission(request);
    struct amb_job *known = amb_job_find(request->node, request->ref);
    if (!amb_codec_is_job_ref(request->ref)) /* no job of that name can have been accepted */
        reply_status(request, 400);
    else if (known && known->state != AMB_JOB_QUEUED)
        reply_job(request, 200, known, true);
    else if (known)
        request_fresh_read(request);
    else
        decide_submission(request, false);
}

static void look_up(struct user_request *request) {
    struct amb_job *job = amb_job_find(request->node, request->ref);
    if (!amb_codec_is_job_ref(request->ref))
        reply_status(request, 404);
    else if (job && job->state != AMB_JOB_QUEUED)
        reply_job(request, 200, job, request->kind != QUERY);
    else
        request_fresh_read(request);
}

bool amb_api_handle_request(struct amb_node *node, struct amb_http_req *req) {
    static const char base[] = "/v1/jobs";
    const char *path = req->path;
    if (strncmp(path, base, sizeof base - 1)) return false;
    const char *rest = path + sizeof base - 1;
    if (*rest && *rest != '/') return false;
    struct user_request *user_request = amb_alloc(sizeof *user_request);
    user_request->node = node;
    user_request->http_request = req;
    if (!*rest) {
        user_request->kind = SUBMIT;
    } else {
        const char *slash = strchr(rest + 1, '/');
        size_t len = slash ? (size_t)(slash - rest - 1) : strlen(rest + 1);
        user_request->kind = slash ? CANCEL : QUERY;
        if (!len || len >= sizeof user_request->ref || (slash && strcmp(slash, "/cancel"))) {
            reply_status(user_request, 404);
            return true;
        }
        memcpy(user_request->ref, rest + 1, len);
    }
    if (strcmp(req->method, user_request->kind == QUERY ? "GET" : "POST"))
        reply_status(user_request, 405);
    else if (!node->watch.loaded)
        reply_status(user_request, 503);
    else if (user_request->kind == SUBMIT)
        submit(user_request);
    else
        look_up(user_request);
    return true;
}
