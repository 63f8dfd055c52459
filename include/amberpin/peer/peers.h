/* Heartbeats between controllers: what each peer has last said of itself, the messages that carry it, and
 * what they show of this controller's leadership. */
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

/* A peer's last message of a kind, as it was read: the next one is mostly the same. */
struct amb_peer_cached_message {
    char *text; /* owned; `len` bytes, not terminated */
    size_t len;
    struct amb_peer_message *message; /* one reference; NULL: none is cached */
};

/* A reply of this controller, kept as text as long as it would not change. */
struct amb_peer_sent_message {
    struct amb_peer_status status;
    uint64_t cancellation_changes; /* amb_cancellations.change_count when it was encoded */
    int64_t encoded_wall_ms;
    int64_t expires_wall_ms; /* from then on one of the cancellations that it lists is not recent any more */
    char *text;              /* owned; NULL: none is cached */
};

/* Another controller, as its messages show it. */
struct amb_peer {
    char member[AMB_NAME_SIZE], addr[AMB_NAME_SIZE];
    amb_ms last_heard_at; /* any message */
    amb_ms confirmed_at;  /* when we sent the heartbeat whose reply last confirmed our leadership */
    uint64_t fenced_term; /* the last term of ours under which it has confirmed that it does not lead */
    amb_ms fenced_at;     /* and since when */
    uint64_t term;        /* by its last message, as are the following */
    enum amb_format format;
    enum amb_peer_duties duties;
    bool is_leader, store_reachable, receives_agent_heartbeats;
    uint64_t store_revision; /* it knows all changes up to here, by its last heartbeat; 0: it has not said */
    bool heartbeat_in_flight;
    amb_ms heartbeat_sent_at; /* the last of ours to it */
    struct amb_peer_cached_message last_heartbeat, last_reply;
    struct amb_node *node;
};

struct amb_peers {
    struct amb_image_locations image_locations;
    /* Replies: to peers that have not said what they know; and to those that know all cancellations. */
    struct amb_peer_sent_message with_recent_cancellations, without_cancellations;
    uint32_t count;
    struct amb_peer list[AMB_PEERS_MAX];
    struct amb_timer heartbeat_timer;
};

/* The largest message between controllers. What a leader says of jobs and machines grows with the fleet, so
 * it is sent in parts that leave room for the rest (heartbeat_sent.c). */
enum { AMB_HEARTBEAT_MAX_BYTES = 1024 * 1024 };

/* Takes the peers from the settings, opens the server for them and sends the first heartbeats. */
void amb_peer_start(struct amb_node *node);
/* Frees all messages that are kept. */
void amb_peer_clear_cached_messages(struct amb_node *node);

/* The next heartbeat to all peers, as JSON, to be freed. Two go out in each heartbeat period of the agents.
 */
char *amb_peer_encode_heartbeat(struct amb_node *node);
/* The latest heartbeat was sent to every peer: what has changed before it need not be sent again. */
void amb_peer_mark_heartbeat_sent(struct amb_node *node);
/* The reply to the heartbeat of a peer that knows all changes of the store up to this revision (0: it has not
 * said), to be released. */
struct amb_peer_message *amb_peer_encode_reply(struct amb_node *node, uint64_t known_revision);
/* Applies what a peer says of itself, and its cancellations. asked_at: when the heartbeat was sent that this
 * is the reply to; 0: it is a heartbeat. On an error nothing is applied. */
struct amb_peer_message_error amb_peer_apply_message(struct amb_node *node, struct amb_peer *peer,
                                                     const struct amb_peer_message *message, amb_ms asked_at);

#endif
