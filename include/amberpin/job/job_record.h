/* A job's record in the key-value store: its key, and its value as CBOR. Pure: nothing is sent from here and
 * no table is changed. */
#ifndef AMBERPIN_JOB_RECORD_H
#define AMBERPIN_JOB_RECORD_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/model/job.h"

/* What a record says. */
struct amb_job_record {
    enum amb_job_state state;
    uint64_t accepted_wall_ms, cancelled_wall_ms, tasks_done;
    bool has_accepted, has_cancelled, has_tasks_done;
    const cbor_item_t *description; /* borrowed; NULL: none, or not parsed yet */
    /* The description's bytes, borrowed; NULL unless the record was decoded from bytes. */
    const unsigned char *description_start, *description_end;
};

/* Writes the key of the job's record, cut off at `cap` bytes. */
void amb_job_format_key(char *out, size_t cap, const char *ref);

/* Appends the job's value, as it would be in this state. A job that is done keeps no description. */
void amb_job_encode_record(struct amb_buf *buffer, const struct amb_job *job, enum amb_job_state state);

/* The record borrows from the value. */
struct amb_job_record amb_job_record_decode_item(const cbor_item_t *value);

/* The same from bytes, without a tree of items and without its description, which most readers know already.
 * False: the value uses an encoding that only amb_cbor_parse reads; the record then means nothing. */
bool amb_job_record_try_decode_bytes(const void *value, size_t value_len, struct amb_job_record *record);

#endif
