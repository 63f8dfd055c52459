/* Zone loss and return on a node: one verdict a zone, the order in which lost replicas come back, and the
 * record from which a new leader goes on. docs/zone_recovery.md has the reasoning. All of it is the leader's,
 * and off unless the operators switch it on. */
#ifndef AMBERPIN_ZONE_RECOVERY_H
#define AMBERPIN_ZONE_RECOVERY_H

#include "amberpin/zone_recovery/health.h"
#include "amberpin/zone_recovery/recovery_order.h"

#include <cbor.h>

struct amb_job;
struct amb_machine;
struct amb_node;
struct amb_options;

enum amb_zone_record_state {
    AMB_ZONE_RECORD_CURRENT, /* it says what is the case, or there is nothing to say */
    AMB_ZONE_RECORD_DIRTY,   /* something has changed */
    AMB_ZONE_RECORD_WRITING,
    AMB_ZONE_RECORD_UNCERTAIN, /* a write was refused, or had no answer: what stands there must be read */
    AMB_ZONE_RECORD_READING,
};

struct amb_zone_record {
    enum amb_zone_record_state state;
    uint64_t revision; /* of the key, as last known; 0: not there */
    amb_ms retry_at;
    bool changed_since_write;           /* since the write under way began */
    uint32_t writing_unavailable_zones; /* zones that it calls lost or returning, as a mask */
    uint32_t unavailable_zones;         /* zones that what stands there may call so */
};

struct amb_zone_recovery {
    struct amb_zone_settings settings;
    struct amb_zone_health zones[AMB_ZONES_MAX];
    struct amb_recovery_order order;
    amb_ms order_checked_at;
    struct amb_zone_record record;
};

enum { AMB_RECOVERY_NO_STEP = UINT8_MAX }; /* the job belongs to no step of the order */

/* ---- settings (activation.c) ---- */

/* Can the operators' settings be used? False: err names file and field, and what is allowed. */
bool amb_zone_recovery_check(const struct amb_settings *settings, const struct amb_options *options,
                             const char *file, char *err, size_t cap);
bool amb_zone_recovery_is_enabled(const struct amb_node *node);
/* Before the node serves. */
void amb_zone_recovery_init(struct amb_node *node);

/* ---- evidence (evidence.c) ---- */

/* How long a machine may be silent before it counts as such. */
amb_ms amb_zone_heartbeat_timeout(const struct amb_node *node);
/* Is the leader so new that it has heard nobody yet? */
bool amb_zone_leader_is_warming_up(const struct amb_node *node, amb_ms now);
/* Should the machine report, and does it? */
bool amb_zone_machine_is_expected(const struct amb_node *node, const struct amb_machine *machine, amb_ms now);
bool amb_zone_machine_is_responsive(const struct amb_node *node, const struct amb_machine *machine,
                                    amb_ms now);

/* ---- verdicts (verdicts.c) ---- */

/* Judges all zones. Not while a new leader has heard nobody yet. */
void amb_zone_health_tick(struct amb_node *node, amb_ms now);
/* The lead is over, or begins: nothing is known. */
void amb_zone_recovery_clear(struct amb_node *node);

/* ---- what they mean (state.c) ---- */

/* Is the zone back, but not steady yet? Always no while recovery is off. */
bool amb_zone_is_returning(const struct amb_node *node, int zone);
/* Zones that are lost or returning by their verdicts, as a mask. */
uint32_t amb_zones_unavailable(const struct amb_node *node);
/* Zones in which no batch work may start, as a mask: these, and those that are so by what may be on record.
 */
uint32_t amb_zones_without_batch(const struct amb_node *node);

/* ---- the order of return (return_order.c) ---- */

/* The zone is lost: its classes get their steps. */
void amb_zone_recovery_handle_loss(struct amb_node *node, int zone, amb_ms now);
void amb_zone_recovery_order_tick(struct amb_node *node, amb_ms now);
/* Was a replica of the job running before, and waits for its place? */
bool amb_job_is_recovering(const struct amb_node *node, const struct amb_job *job);
/* The step with which the job has its turn, AMB_RECOVERY_NO_STEP: after all of them. */
uint8_t amb_zone_recovery_step_of(const struct amb_node *node, const struct amb_job *job);

/* ---- the record (record.c) ---- */

/* Verdicts or steps have changed. */
void amb_zone_record_mark_dirty(struct amb_node *node);
void amb_zone_record_tick(struct amb_node *node, amb_ms now);
/* A new leader reads this key; it may be any under `b/`. */
void amb_zone_record_load(struct amb_node *node, const char *key, const cbor_item_t *value,
                          uint64_t revision);

#endif
