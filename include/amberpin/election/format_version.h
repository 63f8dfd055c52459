/* Negotiates the format version of records and messages while nodes of two versions run in the cluster. Every
 * node announces, in its heartbeats and in the answers to them, the latest format that it reads and writes.
 * Once the last message of each peer has announced the newer format, the leader records it permanently under
 * `a/format`. Only then does any node write data that an older one cannot read. docs/safety.md, "Formats and
 * records", explains why. */
#ifndef AMBERPIN_FORMAT_VERSION_H
#define AMBERPIN_FORMAT_VERSION_H

#include "amberpin/codec/messages.h"

struct amb_node;
struct amb_peer;

enum amb_format {
    AMB_FORMAT_UNKNOWN, /* format of a peer that has not been heard from */
    AMB_FORMAT_1,       /* placement blocks whose size follows from the settings; not announced */
    AMB_FORMAT_2,       /* placement blocks that name their tasks; job dependencies */
    AMB_FORMAT_LATEST = AMB_FORMAT_2,
};

/* What this node knows of the upgrade to the latest format. */
struct amb_format_negotiation {
    enum amb_format
        test_override; /* tests only: the node behaves like a process of this format. UNKNOWN: latest */
    enum amb_format recorded; /* value of `a/format`; UNKNOWN: the key does not exist */
    /* The key-value store has lowered its limits, which it does only after all nodes have been upgraded: no
     * node will again run software that does not support the latest format. */
    bool upgrade_complete;
    bool write_pending; /* a write of the key by this node is in flight */
    amb_ms retry_at;
};

/* The latest format that this node reads and writes. */
enum amb_format amb_format_supported(const struct amb_node *node);

/* The format that may currently be written. It never decreases. */
enum amb_format amb_format_active(const struct amb_node *node);

/* Whether the last message of some peer announced an older format. Such a peer would drop fields that it does
 * not know. */
bool amb_format_has_older_peer(const struct amb_node *node);

/* Records the format that a message of the peer announced. UNKNOWN: it announced none, which means
 * AMB_FORMAT_1. */
void amb_format_update_peer(struct amb_peer *peer, enum amb_format format);

/* Call this when `a/format` was read or has changed. value NULL: the key does not exist. */
void amb_format_apply_key(struct amb_node *node, const struct amb_cbor_item *value);

/* Call this when the store behaves in a way that it does only after the upgrade. `evidence` is for the log.
 */
void amb_format_complete_upgrade(struct amb_node *node, const char *evidence);

/* On the leader: writes the key once every node supports the latest format. */
void amb_format_tick(struct amb_node *node, amb_ms now);

#endif
