/* The messages with users, workers and the cloud, as CBOR. The wire's own names for fields and values stand
 * in the files codec_*.c and nowhere else, so that the rest of the code can speak of jobs, tasks and
 * machines. */
#ifndef AMBERPIN_CODEC_H
#define AMBERPIN_CODEC_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/codec/cbor_writer.h"
#include "amberpin/model/model.h"

enum amb_codec_result { AMB_CODEC_OK, AMB_CODEC_MALFORMED };

/* ---- submissions (submission.c) ---- */

bool amb_codec_is_job_ref(const char *ref);
enum amb_codec_result amb_codec_decode_spec(const cbor_item_t *map, struct amb_job_spec *spec);
/* What a submission says of the jobs that it awaits, each name once; allocated, NULL: none. */
enum amb_codec_result amb_codec_decode_dependencies(const cbor_item_t *map,
                                                    struct amb_job_dependencies **out);
void amb_codec_encode_spec(struct amb_buf *out, const struct amb_job_spec *spec);
/* A whole submission. Readers that know nothing of `awaits` read the rest as before. */
void amb_codec_encode_job(struct amb_buf *out, const struct amb_job_spec *spec,
                          const struct amb_job_dependencies *awaits);
const char *amb_codec_job_state_text(enum amb_job_state state, bool running);

/* ---- workers' reports (agent_heartbeat.c) ---- */

enum amb_codec_result
amb_codec_decode_heartbeat_item(const cbor_item_t *map,
                                struct amb_agent_heartbeat *heartbeat); /* allocates its tasks */
/* The same from a body's bytes, mostly without a tree of items. */
enum amb_codec_result amb_codec_decode_heartbeat(const void *data, size_t len,
                                                 struct amb_agent_heartbeat *out);
/* The part of it that needs none. False: not a report, or one in an encoding that only amb_cbor_parse knows.
 */
bool amb_codec_decode_heartbeat_fast(const void *data, size_t len, struct amb_agent_heartbeat *out);
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

/* ---- the cloud's catalogue (catalog.c) ---- */

bool amb_codec_decode_machine_type(const cbor_item_t *map, struct amb_machine_type *type);

#endif
