/* Which format of records and messages the cluster uses while nodes of two versions run. Every node names in
 * its heartbeats, and in the answers to them, the latest format that it reads and writes. Once the last
 * message of each peer has named the newer one, the leader writes that down under `a/format`, for good; only
 * then does any node write what an older one can't read. docs/safety.md, "Formats and records", has the
 * reasoning.
 */
#ifndef AMBERPIN_FORMAT_VERSION_H
#define AMBERPIN_FORMAT_VERSION_H

#include "amberpin/codec/messages.h"

struct amb_node;
struct amb_peer;

enum amb_format {
    AMB_FORMAT_UNKNOWN, /* of a peer that has not been heard of */
    AMB_FORMAT_1,       /* placement blocks whose size follows from the settings; is not announced */
    AMB_FORMAT_2,       /* placement blocks that name their tasks; dependencies of jobs */
    AMB_FORMAT_LATEST = AMB_FORMAT_2,
};

/* What this node knows of the change to the latest format. */
struct amb_format_negotiation {
    enum amb_format
        test_override;        /* tests only: the node acts as a process of this format. UNKNOWN: latest */
    enum amb_format recorded; /* what `a/format` says; UNKNOWN: there is no such key */
    bool upgrade_complete;    /* the store has shown that no older process comes back */
    bool write_pending;       /* this node is writing the key */
    amb_ms retry_at;
};

/* The latest format that this node reads and writes. */
enum amb_format amb_format_supported(const struct amb_node *node);

/* The format that may be written now. It never falls. */
enum amb_format amb_format_active(const struct amb_node *node);

/* Whether the last message of some peer named an older format, so that the peer would drop what it does not
 * know. */
bool amb_format_has_older_peer(const struct amb_node *node);

/* A message of the peer named this format; UNKNOWN: none, which means the first. */
void amb_format_update_peer(struct amb_peer *peer, enum amb_format format);

/* `a/format` was read or has changed; value NULL: there is no such key. */
void amb_format_apply_key(struct amb_node *node, const cbor_item_t *value);

/* The store behaves as only after the upgrade; `evidence` goes to the log. */
void amb_format_complete_upgrade(struct amb_node *node, const char *evidence);

/* The leader's: writes the key as soon as every node supports the latest format. */
void amb_format_tick(struct amb_node *node, amb_ms now);

#endif
