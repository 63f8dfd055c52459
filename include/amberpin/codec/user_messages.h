/* Messages to and from users: routes of requests, submissions, and the status of a job. */
#ifndef AMBERPIN_CODEC_USER_MESSAGES_H
#define AMBERPIN_CODEC_USER_MESSAGES_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/model/model.h"

/* ---- requests ---- */

enum amb_user_operation { AMB_USER_SUBMIT, AMB_USER_QUERY, AMB_USER_CANCEL };

struct amb_user_route {
    enum amb_user_operation operation;
    char job_ref[AMB_NAME_SIZE]; /* copied from the path, valid or not; empty for a submission */
};

enum amb_user_route_result {
    AMB_USER_ROUTE_FOUND,
    AMB_USER_ROUTE_FOREIGN,      /* the path does not belong to the users' interface */
    AMB_USER_ROUTE_UNKNOWN,      /* the path belongs to it, but names nothing */
    AMB_USER_ROUTE_WRONG_METHOD, /* the operation needs another method */
};

/* Determines the operation that a request asks for. The route is valid if the result is
 * AMB_USER_ROUTE_FOUND. */
enum amb_user_route_result amb_codec_decode_user_route(const char *method, const char *path,
                                                       struct amb_user_route *route);

/* ---- submissions ---- */

enum amb_submission_problem {
    AMB_SUBMISSION_VALID,
    AMB_SUBMISSION_NOT_A_MAP, /* the body is not a CBOR map */
    AMB_SUBMISSION_FIELD_MISSING,
    AMB_SUBMISSION_FIELD_INVALID, /* of the wrong type, out of bounds, or not an allowed value */
};

/* Why a submission is malformed: the problem of the first invalid field. */
struct amb_submission_error {
    enum amb_submission_problem problem;
    const char *field; /* its name on the wire, a constant; NULL: no single field is at fault */
};

/* The problem's name, for logs and tests. */
const char *amb_submission_problem_text(enum amb_submission_problem problem);

struct amb_submission {
    /* The name of the job, set even if the rest is malformed; empty: there is none. */
    char job_ref[AMB_NAME_SIZE];
    struct amb_job_spec *spec;          /* NULL: malformed */
    struct amb_name_list *dependencies; /* sorted, each once; NULL: none, or malformed */
};

/* Reads the name of the job from a request's body, also if other fields are invalid, because a job of this
 * name may have been accepted before. The name is empty if there is none. */
void amb_codec_decode_submission_ref(const struct amb_cbor_item *body, char job_ref[AMB_NAME_SIZE]);
/* Decodes a request's body; NULL: it is not well-formed. The caller frees spec and dependencies. */
struct amb_submission_error amb_codec_decode_submission_item(const struct amb_cbor_item *body,
                                                             struct amb_submission *submission);
/* Does the same with the bytes of a body. */
struct amb_submission_error amb_codec_decode_submission(const void *data, size_t len,
                                                        struct amb_submission *submission);

/* ---- the status of a job ---- */

enum amb_job_status_detail {
    AMB_JOB_STATUS_BRIEF, /* response to a submission or cancellation */
    AMB_JOB_STATUS_FULL,  /* response to a query, with task counts */
};

struct amb_job_status {
    const char *job_ref; /* borrowed */
    enum amb_job_state state;
    uint32_t done_tasks, running_tasks;
};

void amb_codec_encode_job_status(struct amb_buf *out, const struct amb_job_status *status,
                                 enum amb_job_status_detail detail);

#endif
