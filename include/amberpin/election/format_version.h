/* Which form of records and messages the cluster uses while nodes of two versions run. Every node says in its
 * heartbeats, and in the answers to them, up to which format it reads and writes. Once each peer's last word
 * is the newer one, the leader writes that down under `a/format`, for good; only then does any node write
 * what an older one can't read. docs/safety.md, "Formats and records", has the reasoning. */
#ifndef AMBERPIN_FORMATS_H
#define AMBERPIN_FORMATS_H

#include "amberpin/codec/messages.h"

struct amb_node;
struct amb_peer;

enum amb_format {
    AMB_FORMAT_UNKNOWN, /* a peer that has not been heard of */
    AMB_FORMAT_1,       /* blocks of records whose size follows from the settings; is not announced */
    AMB_FORMAT_2,       /* blocks of records that name the tasks they hold; `awaits` of jobs */
    AMB_FORMAT_LATEST = AMB_FORMAT_2,
};

struct amb_format_negotiation {
    enum amb_format
        test_override; /* tests only: the node behaves as a process of this format. UNKNOWN: the latest */
    enum amb_format recorded; /* what `a/format` says; UNKNOWN: there is no such key */
    bool upgrade_complete;    /* the state service has shown that no older process comes back */
    bool write_pending;       /* the key is being written */
    amb_ms retry_at;
};

/* The newest format that this node speaks. */
enum amb_format amb_format_supported(const struct amb_node *node);
/* The format that may be written now. Never falls. */
enum amb_format amb_format_active(const struct amb_node *node);
/* Is some peer's last word an older format than ours, so that it would drop what it does not know? */
bool amb_format_has_older_peer(const struct amb_node *node);
/* A message of a peer said this; UNKNOWN when it did not name a format. */
void amb_format_update_peer(struct amb_peer *peer, enum amb_format format);
/* News of `a/format`; value NULL: it is gone. */
void amb_format_apply_key(struct amb_node *node, const cbor_item_t *value);
/* The state service behaves as only after the upgrade. */
void amb_format_complete_upgrade(struct amb_node *node, const char *evidence);
/* The leader writes the key when its time has come. */
void amb_format_tick(struct amb_node *node, amb_ms now);

#endif
