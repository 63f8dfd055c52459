/* CBOR encodings of job descriptions, agents' heartbeats, commands to agents and the cloud's machine types.
 * The names that fields and values have on the wire appear only in lib/codec; other code uses jobs, tasks and
 * machines. */
#ifndef AMBERPIN_CODEC_MESSAGES_H
#define AMBERPIN_CODEC_MESSAGES_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/codec/cbor_writer.h"
#include "amberpin/model/model.h"

enum amb_codec_result {
    AMB_CODEC_OK,
    AMB_CODEC_MALFORMED, /* a field is missing, of the wrong type or out of bounds */
};

/* ---- jobs (submission.c) ---- */

/* Whether a text is a valid job name: "wk-" and one to 45 letters, digits, hyphens or underscores. */
bool amb_codec_is_job_ref(const char *ref);
/* Decodes a job's description from a submission or a job's record. user_messages.h has a variant that reports
 * the field at fault. */
enum amb_codec_result amb_codec_decode_spec(const struct amb_cbor_item *map, struct amb_job_spec *spec);
/* Decodes the jobs that must be done before the job may start, sorted and without duplicates. *out is
 * allocated; NULL if there are none. */
enum amb_codec_result amb_codec_decode_dependencies(const struct amb_cbor_item *map,
                                                    struct amb_name_list **out);
void amb_codec_encode_spec(struct amb_buf *out, const struct amb_job_spec *spec);
/* Encodes the description with its dependencies; NULL: none. Readers that do not know of dependencies can
 * still read the description. */
void amb_codec_encode_job(struct amb_buf *out, const struct amb_job_spec *spec,
                          const struct amb_name_list *dependencies);
/* Name of a job's state in responses to users and in records. is_running: a task of the job runs. */
const char *amb_codec_job_state_text(enum amb_job_state state, bool is_running);

/* ---- agents' heartbeats (agent_heartbeat.c) ---- */

/* Decodes a heartbeat, whose tasks amb_codec_free_heartbeat frees. A malformed heartbeat leaves nothing to
 * free. */
enum amb_codec_result amb_codec_decode_heartbeat(const void *data, size_t len,
                                                 struct amb_agent_heartbeat *heartbeat);
/* The fast path of amb_codec_decode_heartbeat, which reads the bytes directly; public for tests and
 * benchmarks. It supports only the plain encodings of cbor_reader.h. Returns false if the heartbeat is
 * malformed or in another encoding. */
bool amb_codec_decode_heartbeat_fast(const void *data, size_t len, struct amb_agent_heartbeat *heartbeat);
/* The slow path of amb_codec_decode_heartbeat, item by item, which supports every encoding. */
enum amb_codec_result amb_codec_decode_heartbeat_item(const struct amb_cbor_item *map,
                                                      struct amb_agent_heartbeat *heartbeat);
void amb_codec_free_heartbeat(struct amb_agent_heartbeat *heartbeat);
/* Decodes the incarnation in an agent's response to a probe. Returns false if it has none. */
bool amb_codec_decode_incarnation(const struct amb_cbor_item *map, uint64_t *incarnation);

/* ---- commands to agents (commands.c) ---- */

/* Encodes the bare list of commands, without the surrounding message. */
void amb_codec_encode_commands(struct amb_buf *out, const struct amb_agent_command *commands, size_t count);
/* Encodes the body of the response to a heartbeat: the responder's term as the fencing token, and
 * commands. */
void amb_codec_encode_heartbeat_response(struct amb_buf *out, uint64_t term,
                                         const struct amb_agent_command *commands, size_t count);
/* Encodes the body of a response that redirects the agent to the leader, given by its member name; NULL if
 * unknown. */
void amb_codec_encode_heartbeat_redirect(struct amb_buf *out, const char *leader);
/* Encodes the body of a command request, which only this incarnation of the agent carries out. */
void amb_codec_encode_command_request(struct amb_buf *out, uint64_t term, uint64_t incarnation,
                                      const struct amb_agent_command *commands, size_t count);

/* ---- the cloud's machine types (catalog.c) ---- */

/* Returns false if the name or the resources are missing or malformed. Other missing or malformed fields are
 * zero. */
bool amb_codec_decode_machine_type(const struct amb_cbor_item *map, struct amb_machine_type *type);

#endif
