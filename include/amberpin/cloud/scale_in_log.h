/* The scale-in intent log: a durable record of the machines that the leader is releasing. It is written
 * before the cloud is called, and every new leader reads it before it places any task: a release call of an
 * earlier leader may reach the cloud at any later time, and must not release a machine that has been given
 * work in the meantime (docs/safety.md, Rentals). */
#ifndef AMBERPIN_CLOUD_SCALE_IN_LOG_H
#define AMBERPIN_CLOUD_SCALE_IN_LOG_H

#include "amberpin/base/util.h"

#include "amberpin/codec/cbor_item.h"

struct amb_machine;
struct amb_node;

enum amb_scale_in_log_state {
    AMB_SCALE_IN_LOG_UNRECORDED, /* the machines of the current release are not recorded */
    AMB_SCALE_IN_LOG_WRITING,
    AMB_SCALE_IN_LOG_UNKNOWN, /* a write was refused or not answered: the record must be read back */
    AMB_SCALE_IN_LOG_READING,
    AMB_SCALE_IN_LOG_RECORDED, /* the machines are recorded; the cloud may be called */
};

struct amb_scale_in_log {
    enum amb_scale_in_log_state state;
    uint64_t revision; /* last known revision of the key; 0: the key does not exist */
    amb_ms retry_at;   /* the record is neither written nor read before this */
};

/* Are the machines of the current release recorded? If not, takes the next step towards it: a write, or a
 * read of the record. */
bool amb_scale_in_log_ensure_recorded(struct amb_node *node, amb_ms now);
/* The bytes available for the names of one release. A name takes its length plus AMB_SCALE_IN_NAME_BYTES. */
size_t amb_scale_in_log_capacity_bytes(const struct amb_node *node);
/* Notes that the cloud has confirmed the release. A late copy of the call can then do no harm, and the record
 * may be overwritten. */
void amb_scale_in_log_note_released(struct amb_node *node);
/* Restores the record on a new leader, if the key is that of the log. revision: of the key. */
void amb_scale_in_log_restore(struct amb_node *node, const char *key, const struct amb_cbor_item *value,
                              uint64_t revision);
/* Marks a machine that is new to the leader's table as releasing if the current release names it. */
void amb_scale_in_log_note_machine(struct amb_node *node, struct amb_machine *machine);
/* Discards what is known about the record. */
void amb_scale_in_log_reset(struct amb_node *node);

#endif
