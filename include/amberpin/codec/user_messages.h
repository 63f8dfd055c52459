/* Messages with users: which request a path names, submissions, and what is told of a job. */
#ifndef AMBERPIN_CODEC_USER_MESSAGES_H
#define AMBERPIN_CODEC_USER_MESSAGES_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/model/model.h"

/* ---- requests ---- */

enum amb_user_operation { AMB_USER_SUBMIT, AMB_USER_QUERY, AMB_USER_CANCEL };

struct amb_user_route {
    enum amb_user_operation operation;
    char job_ref[AMB_NAME_SIZE]; /* as the path has it, valid or not; empty for a submission */
};

enum amb_user_route_result {
    AMB_USER_ROUTE_FOUND,
    AMB_USER_ROUTE_FOREIGN,      /* the path is not of the users' interface */
    AMB_USER_ROUTE_UNKNOWN,      /* it is, and names nothing there */
    AMB_USER_ROUTE_WRONG_METHOD, /* the operation takes another method */
};

/* What a request asks for. The route is valid when it is found. */
enum amb_user_route_result amb_codec_decode_user_route(const char *method, const char *path,
                                                       struct amb_user_route *route);

/* ---- submissions ---- */

enum amb_submission_problem {
    AMB_SUBMISSION_VALID,
    AMB_SUBMISSION_NOT_A_MAP, /* the body is no CBOR map */
    AMB_SUBMISSION_FIELD_MISSING,
    AMB_SUBMISSION_FIELD_INVALID, /* of another type, out of its bounds, or not one of the values allowed */
};

/* Why a submission is malformed, by the first field that is at fault. */
struct amb_submission_error {
    enum amb_submission_problem problem;
    const char *field; /* its name on the wire, a constant; NULL: no field is */
};

/* The problem's name, for logs and tests. */
const char *amb_submission_problem_text(enum amb_submission_problem problem);

struct amb_submission {
    /* The name that it gives its job, also where the rest is malformed; empty: it gives none. */
    char job_ref[AMB_NAME_SIZE];
    struct amb_job_spec *spec;                 /* NULL: malformed */
    struct amb_job_dependencies *dependencies; /* NULL: none, or malformed */
};

/* Decodes a request's body. The caller frees spec and dependencies. */
struct amb_submission_error amb_codec_decode_submission(const void *data, size_t len,
                                                        struct amb_submission *submission);

/* ---- what users are told of a job ---- */

enum amb_job_status_detail {
    AMB_JOB_STATUS_BRIEF, /* of a submission or cancellation */
    AMB_JOB_STATUS_FULL,  /* of a query: with counts of tasks */
};

struct amb_job_status {
    const char *job_ref; /* borrowed */
    enum amb_job_state state;
    uint32_t done_tasks, running_tasks;
};

void amb_codec_encode_job_status(struct amb_buf *out, const struct amb_job_status *status,
                                 enum amb_job_status_detail detail);

#endif
