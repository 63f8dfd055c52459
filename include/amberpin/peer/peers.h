/* Node to node: heartbeats, what they say, and what they show of this node's lead and place. */
#ifndef AMBERPIN_PEER_H
#define AMBERPIN_PEER_H

#include "amberpin/base/loop.h"
#include "amberpin/config/settings.h"
#include "amberpin/duty/scaling_path.h"
#include "amberpin/election/format_version.h"
#include "amberpin/model/model.h"
#include "amberpin/peer/image_locations.h"

struct amb_node;
struct json_t;

struct amb_peer_cached_message { /* of a peer, as it was read: the next one is mostly the same */
    char *text;
    size_t len;
    struct json_t *parsed;
};

struct amb_peer_status { /* what a node says of itself in every message, beside cancellations */
    uint64_t term;
    bool has_read_store, is_leader, store_reachable, receives_agent_heartbeats, limits_lowered;
};

struct amb_peer_sent_message { /* a message of this node, kept as long as it would say the same */
    struct amb_peer_status status;
    uint64_t cancellation_changes; /* count of them when it was made */
    int64_t encoded_wall_ms,
        expires_wall_ms; /* time of day; one of the cancellations that it lists is too old then */
    char *text;
};

struct amb_peer {
    char member[AMB_NAME_SIZE], addr[AMB_NAME_SIZE];
    amb_ms last_heard_at, confirmed_at; /* any word; word that it does not lead and knows no higher term */
    uint64_t fenced_term;               /* the last term of ours that it has heeded, and since when */
    amb_ms fenced_at;
    uint64_t term;
    enum amb_format format;      /* its last word */
    enum amb_peer_duties duties; /* likewise */
    uint64_t store_revision; /* up to which it knows all changes, by its last heartbeat; 0: it has not said */
    bool is_leader, store_reachable, receives_agent_heartbeats, heartbeat_in_flight;
    amb_ms heartbeat_sent_at;
    struct amb_peer_cached_message last_heartbeat, last_reply; /* its last of each */
    struct amb_node *node;
};

struct amb_peers {
    struct amb_image_locations image_locations; /* that machines hold, as the leader says */
    /* With the cancellations of late; and with none, for a leader that knows of all. */
    struct amb_peer_sent_message with_recent_cancellations, without_cancellations;
    uint32_t count;
    struct amb_peer list[AMB_PEERS_MAX];
    struct amb_timer heartbeat_timer;
};

/* Bytes of a message between nodes. What a leader tells of jobs and machines grows with the fleet, so it is
 * told in parts that leave room for the rest (heartbeat_sent.c). */
enum { AMB_HEARTBEAT_MAX_BYTES = 1024 * 1024 };

void amb_peer_start(struct amb_node *node);
void amb_peer_clear_cached_messages(struct amb_node *node); /* the messages that are kept */
char *amb_peer_encode_heartbeat(
    struct amb_node *node); /* what a node tells the others twice a report; to be freed */
void amb_peer_mark_heartbeat_sent(struct amb_node *node); /* and every other node has been sent it */
/* To a heartbeat, as a tree; request() answers with this as text, kept while it stays the same. */
struct json_t *amb_peer_encode_reply(struct amb_node *node,
                                     const struct json_t *heartbeat); /* to be released */
/* What another node says of itself; sent_at: when we asked, 0 when it spoke first. */
void amb_peer_apply_message(struct amb_node *node, struct amb_peer *peer, const struct json_t *message,
                            amb_ms asked_at);

#endif
