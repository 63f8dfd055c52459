/* Jobs as users describe them, agents' heartbeats, commands to agents and the cloud's machine types, as CBOR.
 * The wire's own names for fields and values stand in lib/codec and nowhere else, so that the rest of the
 * code can speak of jobs, tasks and machines. */
#ifndef AMBERPIN_CODEC_H
#define AMBERPIN_CODEC_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/codec/cbor_writer.h"
#include "amberpin/model/model.h"

enum amb_codec_result {
    AMB_CODEC_OK,
    AMB_CODEC_MALFORMED, /* a field is missing, of another type or out of its bounds */
};

/* ---- jobs (submission.c) ---- */

/* Whether a text can be a job's name: "wk-" and one to 45 letters, digits, hyphens or underscores. */
bool amb_codec_is_job_ref(const char *ref);
/* A job's description, of a submission or a job's record. user_messages.h has the same with the cause of a
 * failure. */
enum amb_codec_result amb_codec_decode_spec(const cbor_item_t *map, struct amb_job_spec *spec);
/* The jobs that must be done before the job may start, sorted, each once. *out is allocated; NULL: there are
 * none. */
enum amb_codec_result amb_codec_decode_dependencies(const cbor_item_t *map,
                                                    struct amb_job_dependencies **out);
void amb_codec_encode_spec(struct amb_buf *out, const struct amb_job_spec *spec);
/* The description with its dependencies; NULL: none. Readers that know nothing of dependencies read the rest
 * as before. */
void amb_codec_encode_job(struct amb_buf *out, const struct amb_job_spec *spec,
                          const struct amb_job_dependencies *dependencies);
/* A job's state as users and records are told; is_running: a task of it runs. */
const char *amb_codec_job_state_text(enum amb_job_state state, bool is_running);

/* ---- agents' heartbeats (agent_heartbeat.c) ---- */

/* Decodes a heartbeat; amb_codec_free_heartbeat frees its tasks. What is malformed holds nothing to free. */
enum amb_codec_result amb_codec_decode_heartbeat(const void *data, size_t len,
                                                 struct amb_agent_heartbeat *heartbeat);
/* Its two ways, for tests and measurements: straight from the bytes, which knows the plain encodings of
 * cbor_reader.h only (false: malformed, or in another encoding), ... */
bool amb_codec_decode_heartbeat_fast(const void *data, size_t len, struct amb_agent_heartbeat *heartbeat);
/* ... and from a tree of items, which knows all. */
enum amb_codec_result amb_codec_decode_heartbeat_item(const cbor_item_t *map,
                                                      struct amb_agent_heartbeat *heartbeat);
void amb_codec_free_heartbeat(struct amb_agent_heartbeat *heartbeat);
/* Decodes an agent's answer to an inspection, of which only its incarnation is used. False: it has none. */
bool amb_codec_decode_incarnation(const cbor_item_t *map, uint64_t *incarnation);

/* ---- commands to agents (commands.c) ---- */

/* A list of commands, without what surrounds it in a message. */
void amb_codec_encode_commands(struct amb_buf *out, const struct amb_agent_command *commands, size_t count);
/* The body of the response to a heartbeat: the responder's term as the fencing token, and commands. */
void amb_codec_encode_heartbeat_response(struct amb_buf *out, uint64_t term,
                                         const struct amb_agent_command *commands, size_t count);
/* The body of a response that sends the agent to the leader. leader: its member name; NULL if unknown. */
void amb_codec_encode_heartbeat_redirect(struct amb_buf *out, const char *leader);
/* The body of a command request, which only this incarnation of the agent carries out. */
void amb_codec_encode_command_request(struct amb_buf *out, uint64_t term, uint64_t incarnation,
                                      const struct amb_agent_command *commands, size_t count);

/* ---- the cloud's machine types (catalog.c) ---- */

/* False: its name or its resources are missing or malformed. Other fields that are, are zero. */
bool amb_codec_decode_machine_type(const cbor_item_t *map, struct amb_machine_type *type);

#endif
