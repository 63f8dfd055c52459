/* The messages with users, workers and the cloud, as CBOR. The wire's own names for fields and values stand
 * in the files codec_*.c and nowhere else, so that the rest of the code can speak of jobs, tasks and
 * machines. */
#ifndef AMBERPIN_CODEC_H
#define AMBERPIN_CODEC_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/codec/cbor_writer.h"
#include "amberpin/model/model.h"

enum amb_parse { AMB_PARSE_OK, AMB_PARSE_BAD };

/* ---- submissions (submission.c) ---- */

bool amb_ref_ok(const char *ref);
enum amb_parse amb_codec_spec(const cbor_item_t *map, struct amb_job_spec *spec);
/* What a submission says of the jobs that it awaits, each name once; allocated, NULL: none. */
enum amb_parse amb_codec_awaits(const cbor_item_t *map, struct amb_job_dependencies **out);
void amb_codec_put_spec(struct amb_buf *out, const struct amb_job_spec *spec);
/* A whole submission. Readers that know nothing of `awaits` read the rest as before. */
void amb_codec_put_job(struct amb_buf *out, const struct amb_job_spec *spec,
                       const struct amb_job_dependencies *awaits);
const char *amb_codec_job_state(enum amb_job_state state, bool running);

/* ---- workers' reports (agent_heartbeat.c) ---- */

enum amb_parse amb_codec_report(const cbor_item_t *map,
                                struct amb_agent_heartbeat *heartbeat); /* allocates its tasks */
/* The same from a body's bytes, mostly without a tree of items. */
enum amb_parse amb_codec_read_report(const void *data, size_t len, struct amb_agent_heartbeat *out);
/* The part of it that needs none. False: not a report, or one in an encoding that only amb_cbor_parse knows.
 */
bool amb_codec_report_quick(const void *data, size_t len, struct amb_agent_heartbeat *out);
void amb_report_free(struct amb_agent_heartbeat *heartbeat);

/* ---- orders to workers (agent_commands.c) ---- */

void amb_codec_put_orders(struct amb_buf *out, const struct amb_agent_command *orders, size_t count);

/* ---- the cloud's catalogue (catalog.c) ---- */

bool amb_codec_type(const cbor_item_t *map, struct amb_machine_type *type);

#endif
