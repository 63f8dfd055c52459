/* Encodes and decodes the record of a job in the key-value store: its key, and its value in CBOR. This module
 * sends nothing and changes no table. */
#ifndef AMBERPIN_JOB_RECORD_H
#define AMBERPIN_JOB_RECORD_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/model/job.h"
#include "amberpin/model/name_list.h"

/* A decoded record. */
struct amb_job_record {
    enum amb_job_state state;
    uint64_t accepted_wall_ms, cancelled_wall_ms, tasks_done;
    bool has_accepted, has_cancelled, has_tasks_done;
    const struct amb_cbor_item *description; /* borrowed; NULL if there is none, or if it is not parsed yet */
    /* The encoded description, borrowed; NULL unless the record was decoded from bytes. */
    const unsigned char *description_start, *description_end;
};

/* Writes the key of the job's record, truncated to `cap` bytes. */
void amb_job_format_key(char *out, size_t cap, const char *ref);

/* Appends the value of the job's record in this state, with the names of its dependencies; NULL: none. A
 * record in state DONE has no description, and so no dependencies. */
void amb_job_encode_record(struct amb_buf *buffer, const struct amb_job *job,
                           const struct amb_name_list *dependencies, enum amb_job_state state);

/* Decodes a parsed value. The record borrows from the value. */
struct amb_job_record amb_job_record_decode_item(const struct amb_cbor_item *value);

/* Decodes a value from bytes, in one pass and without parsing the description, which
 * most readers know already. Returns false if the value uses an encoding that only amb_cbor_parse reads; the
 * content of `record` is then meaningless. */
bool amb_job_record_try_decode_bytes(const void *value, size_t value_len, struct amb_job_record *record);

#endif
