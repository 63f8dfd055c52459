/* Drafts: submissions of jobs that are not accepted yet. A draft is held while its request waits for a read
 * of the key-value store or for the answer to its transaction. Its size counts towards a share of the memory,
 * and while it is written the size of the job towards the job table (memory_budget.h). */
#ifndef AMBERPIN_API_DRAFT_H
#define AMBERPIN_API_DRAFT_H

#include "amberpin/api/admission.h"
#include "amberpin/codec/user_messages.h"

struct amb_draft {
    struct amb_submission_error error;  /* why the submission is malformed */
    struct amb_job *job;                /* owned; without a description if the submission is malformed */
    struct amb_name_list *dependencies; /* owned; NULL: none */
    bool dependencies_too_large;        /* they do not fit the record, and were dropped */
    struct amb_dependency_usage usage;  /* of its dependencies, set by amb_draft_can_be_accepted */
    size_t held_bytes;                  /* that the draft takes */
    size_t reserved_bytes;              /* of the job table, while the job is written */
};

/* Decodes a submission from its body, which may be malformed. */
struct amb_draft *amb_draft_new(struct amb_node *node, const struct amb_cbor_item *body);
/* Frees the draft and what is reserved for it. NULL has no effect. */
void amb_draft_free(struct amb_node *node, struct amb_draft *draft);

/* Whether the drafts that this node holds exceed their share of the memory. */
bool amb_drafts_exceed_memory(const struct amb_node *node);
/* Returns whether the job can ever run, as far as this node knows. */
enum amb_admission amb_draft_check(struct amb_node *node, const struct amb_draft *draft);
/* Whether a job that can run, or of which that is undecided, can be accepted now. Logs the cause if not. */
bool amb_draft_can_be_accepted(struct amb_node *node, struct amb_draft *draft, enum amb_admission admission);
/* Whether the job may be accepted only after a fresh read: there is little room left for jobs with
 * dependencies, and other nodes may have used it. */
bool amb_draft_needs_fresh_read(const struct amb_node *node, const struct amb_draft *draft);
/* Reserves room in the job table for a job that can be accepted, before it is written. */
void amb_draft_reserve(struct amb_node *node, struct amb_draft *draft);

#endif
