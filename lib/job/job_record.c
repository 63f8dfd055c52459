#include "amberpin/job/job_record.h"

#include "amberpin/codec/cbor_reader.h"
#include "amberpin/codec/messages.h"

#include <stdio.h>

static const char JOB_PREFIX[] = "a/job/";

void amb_job_format_key(char *out, size_t cap, const char *ref) {
    snprintf(out, cap, "%s%s", JOB_PREFIX, ref);
}

/* ---- writing ---- */

void amb_job_encode_record(struct amb_buf *buffer, const struct amb_job *job,
                           const struct amb_name_list *dependencies, enum amb_job_state state) {
    bool omits_description = state == AMB_JOB_DONE; /* nothing needs it any more */
    amb_cbor_write_map(buffer,
                       omits_description ? 2 : 2u + (state == AMB_JOB_CANCELLED) + (job->spec != NULL));
    amb_cbor_write_string(buffer, "s");
    amb_cbor_write_string(buffer, amb_codec_job_state_text(state, false));
    if (omits_description) {
        amb_cbor_write_string(buffer, "n");
        amb_cbor_write_uint(buffer, job->spec ? job->spec->task_count : job->done_count);
        return;
    }
    amb_cbor_write_string(buffer, "a");
    amb_cbor_write_uint(buffer, (uint64_t)job->accepted_wall_ms);
    if (state == AMB_JOB_CANCELLED) {
        amb_cbor_write_string(buffer, "c");
        amb_cbor_write_uint(buffer, (uint64_t)job->cancelled_wall_ms);
    }
    if (!job->spec) return; /* the record that was read has no valid description */
    amb_cbor_write_string(buffer, "d");
    amb_codec_encode_job(buffer, job->spec, dependencies);
}

/* ---- reading ---- */

static enum amb_job_state state_of_item(const struct amb_cbor_item *value) {
    const struct amb_cbor_item *state = amb_cbor_map_get(value, "s");
    if (amb_cbor_equals(state, "done")) return AMB_JOB_DONE;
    return amb_cbor_equals(state, "cancelled") ? AMB_JOB_CANCELLED : AMB_JOB_QUEUED;
}

struct amb_job_record amb_job_record_decode_item(const struct amb_cbor_item *value) {
    struct amb_job_record record = {.state = state_of_item(value),
                                    .description = amb_cbor_map_get(value, "d")};
    record.has_accepted = amb_cbor_get_uint(amb_cbor_map_get(value, "a"), &record.accepted_wall_ms);
    record.has_cancelled = amb_cbor_get_uint(amb_cbor_map_get(value, "c"), &record.cancelled_wall_ms);
    record.has_tasks_done = amb_cbor_get_uint(amb_cbor_map_get(value, "n"), &record.tasks_done);
    return record;
}

static enum amb_job_state state_of_text(struct amb_cbor_text name) {
    if (amb_cbor_text_equals(name, "done")) return AMB_JOB_DONE;
    return amb_cbor_text_equals(name, "cancelled") ? AMB_JOB_CANCELLED : AMB_JOB_QUEUED;
}

/* A field that occurs twice makes the decoder fail: the general parser handles it. */
static uint64_t read_unique_uint(struct amb_cbor_reader *reader, bool *seen) {
    if (*seen) reader->failed = true;
    *seen = true;
    return amb_cbor_read_uint(reader);
}

static void read_field(struct amb_cbor_reader *reader, struct amb_job_record *record, bool *has_state) {
    struct amb_cbor_text name = amb_cbor_read_text(reader);
    if (amb_cbor_text_equals(name, "s")) {
        if (*has_state) reader->failed = true;
        *has_state = true;
        record->state = state_of_text(amb_cbor_read_text(reader));
    } else if (amb_cbor_text_equals(name, "a")) {
        record->accepted_wall_ms = read_unique_uint(reader, &record->has_accepted);
    } else if (amb_cbor_text_equals(name, "c")) {
        record->cancelled_wall_ms = read_unique_uint(reader, &record->has_cancelled);
    } else if (amb_cbor_text_equals(name, "n")) {
        record->tasks_done = read_unique_uint(reader, &record->has_tasks_done);
    } else if (amb_cbor_text_equals(name, "d")) {
        if (record->description_start) reader->failed = true;
        record->description_start = reader->at;
        amb_cbor_skip_value(reader);
        record->description_end = reader->at;
    } else {
        amb_cbor_skip_value(reader);
    }
}

bool amb_job_record_try_decode_bytes(const void *value, size_t value_len, struct amb_job_record *record) {
    struct amb_cbor_reader reader = amb_cbor_reader_init(value, value_len);
    bool has_state = false;
    *record = (struct amb_job_record){.state = AMB_JOB_QUEUED};
    for (size_t pairs = amb_cbor_read_map(&reader); pairs && !reader.failed; pairs--)
        read_field(&reader, record, &has_state);
    return !reader.failed && reader.at == reader.end;
}
