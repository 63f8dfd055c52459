#include "amberpin/api/draft.h"

#include "amberpin/base/log.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

/* Shares of the write budget that are reserved for jobs of higher priority, so that those are accepted first
 * when more jobs are submitted than can be written. */
static const double RESERVED_FROM_HIGH = 0.2, RESERVED_FROM_OTHERS = 0.3;

/* ---- reading ---- */

static void set_dependencies(const struct amb_node *node, struct amb_draft *draft,
                             struct amb_name_list *dependencies) {
    draft->dependencies_too_large = !amb_admission_fits_record(&node->settings, dependencies);
    if (draft->dependencies_too_large)
        free(dependencies);
    else
        draft->dependencies = dependencies;
}

static size_t size_of(const struct amb_draft *draft) {
    size_t bytes = sizeof *draft + sizeof *draft->job;
    if (draft->job->spec) bytes += sizeof *draft->job->spec;
    if (draft->dependencies) bytes += sizeof *draft->dependencies + draft->dependencies->text_bytes;
    return bytes;
}

struct amb_draft *amb_draft_new(struct amb_node *node, const struct amb_cbor_item *body) {
    struct amb_draft *draft = amb_alloc(sizeof *draft);
    struct amb_submission submission;
    draft->error = amb_codec_decode_submission_item(body, &submission);
    draft->job = amb_alloc(sizeof *draft->job);
    strcpy(draft->job->ref, submission.job_ref);
    draft->job->spec = submission.spec;
    set_dependencies(node, draft, submission.dependencies);
    draft->held_bytes = size_of(draft);
    node->jobs.draft_bytes += draft->held_bytes;
    return draft;
}

void amb_draft_free(struct amb_node *node, struct amb_draft *draft) {
    if (!draft) return;
    node->jobs.draft_bytes -= draft->held_bytes;
    node->jobs.reserved_bytes -= draft->reserved_bytes;
    free(draft->job->spec);
    free(draft->job);
    free(draft->dependencies);
    free(draft);
}

/* ---- deciding ---- */

bool amb_drafts_exceed_memory(const struct amb_node *node) {
    return node->jobs.draft_bytes > amb_memory_max_draft_bytes(&node->settings);
}

enum amb_admission amb_draft_check(struct amb_node *node, const struct amb_draft *draft) {
    const struct amb_job *job = draft->job;
    if (draft->error.problem != AMB_SUBMISSION_VALID) return AMB_ADMISSION_MALFORMED;
    if (draft->dependencies_too_large) return AMB_ADMISSION_NEVER_RUNS;
    enum amb_admission admission = amb_admission_check_job(node, job->spec);
    if (admission == AMB_ADMISSION_NEVER_RUNS) return admission;
    if (amb_admission_check_record(node, job, draft->dependencies) == AMB_ADMISSION_NEVER_RUNS)
        return AMB_ADMISSION_NEVER_RUNS;
    enum amb_admission by_dependencies =
        amb_admission_check_dependencies(node, job->ref, draft->dependencies);
    return by_dependencies == AMB_ADMISSION_CAN_RUN ? admission : by_dependencies;
}

static double reserved_write_share(const struct amb_job_spec *spec) {
    if (spec->priority == AMB_PRIORITY_PRODUCTION) return 0;
    return spec->priority == AMB_PRIORITY_HIGH ? RESERVED_FROM_HIGH : RESERVED_FROM_OTHERS;
}

static bool log_refusal(const struct amb_draft *draft, const char *cause) {
    amb_debug("job %s: not accepted now: %s", draft->job->ref, cause);
    return false;
}

bool amb_draft_can_be_accepted(struct amb_node *node, struct amb_draft *draft, enum amb_admission admission) {
    const struct amb_job_spec *spec = draft->job->spec;
    draft->usage = amb_job_names_added_usage(&node->jobs.names, draft->job->ref, draft->dependencies);
    if (admission == AMB_ADMISSION_UNDECIDED)
        return log_refusal(draft, "it is undecided whether the job can run");
    if (!amb_memory_has_room_for_job(node, spec, &draft->usage))
        return log_refusal(draft, "no memory left for jobs");
    if (!amb_store_can_write_for_user(&node->store, 1, reserved_write_share(spec)))
        return log_refusal(draft, "too many writes to the state service are queued");
    return true;
}

bool amb_draft_needs_fresh_read(const struct amb_node *node, const struct amb_draft *draft) {
    return draft->dependencies && amb_memory_is_nearly_full(node);
}

void amb_draft_reserve(struct amb_node *node, struct amb_draft *draft) {
    draft->reserved_bytes = amb_memory_job_bytes(&draft->usage);
    node->jobs.reserved_bytes += draft->reserved_bytes;
}
