/* Heartbeats between controllers: the last status of each peer, the messages that carry it, and whether they
 * confirm this controller's leadership. */
#ifndef AMBERPIN_PEER_PEERS_H
#define AMBERPIN_PEER_PEERS_H

#include "amberpin/base/loop.h"
#include "amberpin/codec/peer_messages.h"
#include "amberpin/config/settings.h"
#include "amberpin/duty/scaling_path.h"
#include "amberpin/election/format_version.h"
#include "amberpin/model/model.h"
#include "amberpin/peer/image_locations.h"

struct amb_node;

/* The last message of one kind from a peer, with its parsed form: the next message is usually identical. */
struct amb_peer_cached_message {
    char *text; /* owned; `len` bytes, not terminated */
    size_t len;
    struct amb_peer_message *message; /* one reference; NULL: none is cached */
};

/* An encoded reply of this controller, which is sent again until its content would change. */
struct amb_peer_cached_reply {
    struct amb_peer_status status;
    uint64_t cancellation_changes; /* amb_cancellations.change_count when it was encoded */
    int64_t encoded_wall_ms;
    int64_t expires_wall_ms; /* when the first cancellation that it lists ceases to be recent */
    char *text;              /* owned; NULL: none is cached */
};

/* Another controller, as known from its messages. */
struct amb_peer {
    char member[AMB_NAME_SIZE], addr[AMB_NAME_SIZE];
    amb_ms last_heard_at; /* when its last message of any kind arrived */
    amb_ms confirmed_at;  /* when we sent the heartbeat whose reply last confirmed our leadership */
    uint64_t fenced_term; /* our latest term for which it has confirmed that it does not lead */
    amb_ms fenced_at;     /* when it first confirmed that for fenced_term */
    /* From its last message: */
    uint64_t term;
    enum amb_format format;
    enum amb_peer_duties duties;
    bool is_leader, store_reachable, receives_agent_heartbeats;
    uint64_t store_revision; /* by its last heartbeat, it knows all changes up to here; 0: not said */
    bool heartbeat_in_flight;
    amb_ms heartbeat_sent_at; /* when we last sent it a heartbeat */
    struct amb_peer_cached_message last_heartbeat, last_reply;
    struct amb_node *node;
};

struct amb_peers {
    struct amb_image_locations image_locations;
    struct amb_peer_cached_reply reply_with_recent_cancellations; /* to peers whose revision is unknown */
    struct amb_peer_cached_reply reply_without_cancellations;     /* to peers that know all cancellations */
    uint32_t count;
    struct amb_peer list[AMB_PEERS_MAX];
    struct amb_timer heartbeat_timer;
};

/* The largest message between controllers. The leader's data on jobs and machines grows with the fleet, so it
 * is sent in parts that leave room for the rest of the message (heartbeat_sent.c). */
enum { AMB_HEARTBEAT_MAX_BYTES = 1024 * 1024 };

/* Initializes the peers from the settings, opens the server for their requests and sends the first
 * heartbeats. */
void amb_peer_start(struct amb_node *node);
/* Frees all cached messages and replies. */
void amb_peer_clear_cached_messages(struct amb_node *node);

/* Returns the next heartbeat to all peers as JSON text, which the caller frees. Two are sent in each
 * heartbeat period of the agents. */
char *amb_peer_encode_heartbeat(struct amb_node *node);
/* To be called when the latest heartbeat has been sent to every peer: changes that it contains are not sent
 * again. */
void amb_peer_mark_heartbeat_sent(struct amb_node *node);
/* Returns the reply to the heartbeat of a peer that knows all changes of the store up to this revision (0: it
 * has not said). The caller releases it. */
struct amb_peer_message *amb_peer_encode_reply(struct amb_node *node, uint64_t known_revision);
/* Applies the peer's status and cancellations. asked_at: when we sent the heartbeat to which the message
 * replies; 0: the message is a heartbeat itself. On an error nothing is applied. */
struct amb_peer_message_error amb_peer_apply_message(struct amb_node *node, struct amb_peer *peer,
                                                     const struct amb_peer_message *message, amb_ms asked_at);

#endif
