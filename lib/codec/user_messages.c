/* Routes users' requests by path and method, and encodes the status of a job. submission.c decodes
 * submissions. */
#include "amberpin/codec/user_messages.h"

#include "amberpin/codec/messages.h"
#include "fields.h"

#include <string.h>

static const char JOBS_PATH[] = "/v1/jobs";
static const char CANCEL_SUFFIX[] = "/cancel";

/* Decodes the part of a path after JOBS_PATH: "/REF" or "/REF/cancel". */
static enum amb_user_route_result decode_job_path(const char *path, struct amb_user_route *route) {
    const char *ref = path + 1, *suffix = strchr(ref, '/');
    size_t len = suffix ? (size_t)(suffix - ref) : strlen(ref);
    if (!len || len >= sizeof route->job_ref) return AMB_USER_ROUTE_UNKNOWN;
    if (suffix && strcmp(suffix, CANCEL_SUFFIX)) return AMB_USER_ROUTE_UNKNOWN;
    memcpy(route->job_ref, ref, len);
    route->operation = suffix ? AMB_USER_CANCEL : AMB_USER_QUERY;
    return AMB_USER_ROUTE_FOUND;
}

enum amb_user_route_result amb_codec_decode_user_route(const char *method, const char *path,
                                                       struct amb_user_route *route) {
    const size_t prefix_len = sizeof JOBS_PATH - 1;
    memset(route, 0, sizeof *route);
    if (strncmp(path, JOBS_PATH, prefix_len)) return AMB_USER_ROUTE_FOREIGN;
    const char *rest = path + prefix_len;
    if (*rest && *rest != '/') return AMB_USER_ROUTE_FOREIGN;
    if (*rest) {
        enum amb_user_route_result result = decode_job_path(rest, route);
        if (result != AMB_USER_ROUTE_FOUND) return result;
    }
    const char *expected_method = route->operation == AMB_USER_QUERY ? "GET" : "POST";
    return strcmp(method, expected_method) ? AMB_USER_ROUTE_WRONG_METHOD : AMB_USER_ROUTE_FOUND;
}

const char *amb_codec_job_state_text(enum amb_job_state state, bool is_running) {
    if (state == AMB_JOB_DONE) return "done";
    if (state == AMB_JOB_CANCELLED) return "cancelled";
    return is_running ? "running" : "queued";
}

void amb_codec_encode_job_status(struct amb_buf *out, const struct amb_job_status *status,
                                 enum amb_job_status_detail detail) {
    amb_cbor_write_map(out, detail == AMB_JOB_STATUS_BRIEF ? 2 : 4);
    amb_codec_put_text(out, "ref", status->job_ref);
    amb_codec_put_text(out, "stance", amb_codec_job_state_text(status->state, status->running_tasks > 0));
    if (detail == AMB_JOB_STATUS_BRIEF) return;
    amb_codec_put_uint(out, "done", status->done_tasks);
    amb_codec_put_uint(out, "running", status->running_tasks);
}
